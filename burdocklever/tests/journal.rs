//! The log: bounded, never waiting, and honest about what it leaves out.

use std::io::Write;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use burdocklever::json_log::JsonAppender;
use log4rs::append::Append;

/// Keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A reader that has stopped reading until it is let go.
struct Stuck {
    gate: Arc<(Mutex<bool>, Condvar)>,
    entered: Sender<()>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.entered.send(());
        let open = self.gate.0.lock().unwrap();
        let _open = self.gate.1.wait_while(open, |open| !*open).unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write(journal: &JsonAppender, part: &str, event: &str) {
    let mut record = log::Record::builder();
    record.level(log::Level::Info).target(part);
    journal
        .append(&record.args(format_args!("{event}")).build())
        .unwrap();
}

#[test]
fn a_line_is_one_json_object_and_survives_the_end() {
    let kept = Kept::default();
    let journal = JsonAppender::spawn(kept.clone()).unwrap();
    write(&journal, "daemon", "stopped");
    journal.flush();
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    let line: serde_json::Value = serde_json::from_str(text.trim()).unwrap();
    assert_eq!(line["part"], "daemon");
    assert_eq!(line["event"], "stopped");
    assert_eq!(journal.counts(), (1, 0));
}

#[test]
fn a_busy_part_is_cut_and_leaves_room_for_others() {
    let kept = Kept::default();
    let journal = JsonAppender::spawn(kept.clone()).unwrap();
    for _ in 0..500 {
        write(&journal, "flow", "flow opened");
    }
    write(&journal, "daemon", "stopping");
    let (written, omitted) = journal.counts();
    assert_eq!(written + omitted, 501);
    // A second may begin meanwhile, so at most two budgets.
    assert!((101..=201).contains(&written), "{written}");
    journal.flush();
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("stopping"));
}

#[test]
fn a_reader_that_stops_reading_blocks_nobody() {
    let (entered, stuck) = channel();
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let out = Stuck {
        gate: gate.clone(),
        entered,
    };
    let journal = JsonAppender::spawn(out).unwrap();
    write(&journal, "first", "line");
    stuck.recv_timeout(Duration::from_secs(10)).unwrap();
    for part in 0..3000 {
        write(&journal, &format!("part-{part}"), "line");
    }
    let (written, omitted) = journal.counts();
    assert_eq!(written + omitted, 3001);
    assert!(
        omitted >= 1900,
        "the queue holds some thousand lines: {omitted}"
    );
    // A writer that waited for the reader would never have come here.
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
}
