//! Writes to `record.txt` what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record of one run. Times are seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Adds a line with the present time.
    pub fn line(&self, text: &str) {
        let now = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:9.4} {text}").expect("the record can be written");
    }
}
