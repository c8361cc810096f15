//! Structured log: one JSON object a line on standard output.
//!
//! A line never waits. Each part of the system may write so many lines a second;
//! a thread of its own writes them out, and what it cannot keep up with is left
//! out. Lines left out are counted and told as soon as there is room again.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde::ser::{SerializeMap, Serializer};

/// Lines that may wait to be written; some 300 bytes each, so 300 KB.
const WAITING_MAX: usize = 1024;
/// Lines a second that one part may write. At 300 bytes a line and three busy
/// parts this is below 100 KB a second.
const BUDGET: u32 = 100;
/// Time for which lines are gathered before they are written together. A
/// process that is killed loses this much of its log.
const GATHER: Duration = Duration::from_millis(25);
/// Time that a stopping process waits for its last lines to be written.
const FLUSH: Duration = Duration::from_millis(200);
/// Time between notes of what was left out.
const NOTE_EVERY: Duration = Duration::from_secs(1);

/// Counts of lines by fate.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) written: AtomicU64,
    pub(crate) omitted: AtomicU64,
}

/// What the writing thread is told.
#[derive(Debug)]
enum Order {
    /// Write a line.
    Line(Vec<u8>),
    /// Write all lines so far, then say so.
    Flush(SyncSender<()>),
}

/// Lines of one part in the current second.
#[derive(Debug, Clone, Copy)]
struct Window {
    start: Instant,
    lines: u32,
}

/// The appender behind the `log` macros.
#[derive(Debug)]
pub struct JsonAppender {
    orders: SyncSender<Order>,
    windows: Mutex<HashMap<Box<str>, Window>>,
    tally: Arc<Tally>,
}

impl JsonAppender {
    /// Starts a journal whose lines are written to `out` by a thread.
    ///
    /// # Errors
    ///
    /// The system's error if no thread can be started.
    pub fn spawn(out: impl Write + Send + 'static) -> std::io::Result<JsonAppender> {
        let (orders, waiting) = sync_channel(WAITING_MAX);
        let tally = Arc::new(Tally::default());
        let seen = tally.clone();
        std::thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_out(&waiting, out, &seen))?;
        Ok(JsonAppender {
            orders,
            windows: Mutex::default(),
            tally,
        })
    }

    /// Lines written and left out so far.
    pub fn counts(&self) -> (u64, u64) {
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (read(&self.tally.written), read(&self.tally.omitted))
    }

    /// Whether `part` may write one more line this second.
    fn admits(&self, part: &str) -> bool {
        let now = Instant::now();
        let mut windows = self.windows.lock().unwrap_or_else(|e| e.into_inner());
        let fresh = Window {
            start: now,
            lines: 0,
        };
        let window = match windows.get_mut(part) {
            Some(window) => window,
            None => windows.entry(part.into()).or_insert(fresh),
        };
        if now.duration_since(window.start) >= Duration::from_secs(1) {
            *window = fresh;
        }
        window.lines += 1;
        window.lines <= BUDGET
    }
}

impl Append for JsonAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let fits = self.admits(record.target());
        let sent = fits && self.orders.try_send(Order::Line(encode(record)?)).is_ok();
        let count = if sent {
            &self.tally.written
        } else {
            &self.tally.omitted
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        // A queue that is full, or a reader that does not read, loses the rest.
        if self.orders.try_send(Order::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH);
        }
    }
}

/// Adds a record's fields to a JSON object.
struct Fields<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let key = key.as_str();
        let done = if let Some(number) = value.to_u64() {
            self.0.serialize_entry(key, &number)
        } else if let Some(flag) = value.to_bool() {
            self.0.serialize_entry(key, &flag)
        } else {
            self.0.serialize_entry(key, &value.to_string())
        };
        done.map_err(|e| log::kv::Error::boxed(e.to_string()))
    }
}

fn encode(record: &Record<'_>) -> anyhow::Result<Vec<u8>> {
    let mut line = Vec::with_capacity(256);
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let mut json = serde_json::Serializer::new(&mut line);
    let mut map = json.serialize_map(None)?;
    map.serialize_entry("unix_ms", &since.map_or(0, |d| d.as_millis() as u64))?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("part", record.target())?;
    map.serialize_entry("event", &record.args().to_string())?;
    record.key_values().visit(&mut Fields(&mut map))?;
    map.end()?;
    line.push(b'\n');
    Ok(line)
}

fn write_out(orders: &Receiver<Order>, mut out: impl Write, tally: &Tally) {
    let mut noted = Instant::now();
    let mut told = 0;
    loop {
        let first = match orders.recv_timeout(NOTE_EVERY) {
            Ok(order) => Some(order),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if matches!(first, Some(Order::Line(_))) {
            std::thread::sleep(GATHER);
        }
        let mut batch = Vec::new();
        let mut waiters = Vec::new();
        for order in first.into_iter().chain(orders.try_iter()) {
            match order {
                Order::Line(line) => batch.extend_from_slice(&line),
                Order::Flush(done) => waiters.push(done),
            }
        }
        let omitted = tally.omitted.load(Ordering::Relaxed);
        if omitted > told && noted.elapsed() >= NOTE_EVERY {
            let lines = omitted - told;
            let note = format!(
                "{{\"part\":\"journal\",\"event\":\"lines left out\",\"lines\":{lines}}}\n"
            );
            batch.extend_from_slice(note.as_bytes());
            told = omitted;
            noted = Instant::now();
        }
        // Nobody is left to tell when standard output fails.
        if !batch.is_empty() && out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
        for done in waiters {
            // Whoever waited may have given up.
            let _ = done.try_send(());
        }
    }
}

/// Sends the `log` macros' records to a journal on standard output.
///
/// # Errors
///
/// The system's error if no thread can be started, or if logging is set up
/// already.
pub fn open(level: LevelFilter) -> std::io::Result<()> {
    let journal = JsonAppender::spawn(std::io::stdout())?;
    let quiet = level.min(LevelFilter::Warn);
    let mut config =
        Config::builder().appender(Appender::builder().build("main", Box::new(journal)));
    for library in crate::text_log::LIBRARIES {
        config = config.logger(log4rs::config::Logger::builder().build(*library, quiet));
    }
    let config = config
        .build(Root::builder().appender("main").build(level))
        .map_err(std::io::Error::other)?;
    log4rs::init_config(config).map_err(std::io::Error::other)?;
    Ok(())
}
