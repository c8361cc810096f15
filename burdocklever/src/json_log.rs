//! Structured log: one JSON object per line on standard output.
//!
//! Logging never blocks. Each part of the system has a rate limit, and a separate
//! thread writes the lines. Lines over the limit, or that do not fit in the
//! thread's queue, are dropped and counted; a log line reports the count.

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

/// Capacity of the queue in lines. At about 300 bytes each, 300 KB.
const QUEUE_MAX: usize = 1024;
/// Rate limit of one part in lines per second. At 300 bytes per line and three busy
/// parts this is below 100 KB/s.
const LINES_PER_S: u32 = 100;
/// Time for which lines are batched into one write. A process that is killed loses
/// this much of its log.
const BATCH_TIME: Duration = Duration::from_millis(25);
/// Timeout of a flush, which writes the last lines of a stopping process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Shortest interval of reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of written and dropped lines.
#[derive(Debug, Default)]
pub(crate) struct LineCounts {
    pub(crate) written: AtomicU64,
    pub(crate) dropped: AtomicU64,
}

/// Message to the writer thread.
#[derive(Debug)]
enum Command {
    /// Write a line.
    Line(Vec<u8>),
    /// Write all queued lines, then signal completion.
    Flush(SyncSender<()>),
}

/// Rate-limit window of one part.
#[derive(Debug, Clone, Copy)]
struct Window {
    start: Instant,
    lines: u32,
}

/// Appender for the records of the `log` macros.
#[derive(Debug)]
pub struct JsonAppender {
    /// Name of the VM, which every line carries.
    vm: Box<str>,
    commands: SyncSender<Command>,
    windows: Mutex<HashMap<Box<str>, Window>>,
    counts: Arc<LineCounts>,
}

impl JsonAppender {
    /// Starts a thread that writes lines to `out`. Each line carries the name of the VM.
    ///
    /// # Errors
    ///
    /// The operating system's error if the thread cannot be started.
    pub fn spawn(vm: &str, out: impl Write + Send + 'static) -> std::io::Result<JsonAppender> {
        let (commands, queue) = sync_channel(QUEUE_MAX);
        let counts = Arc::new(LineCounts::default());
        let shared = counts.clone();
        std::thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_lines(&queue, out, &shared))?;
        Ok(JsonAppender {
            vm: vm.into(),
            commands,
            windows: Mutex::default(),
            counts,
        })
    }

    /// Numbers of lines written and dropped so far.
    pub fn counts(&self) -> (u64, u64) {
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (read(&self.counts.written), read(&self.counts.dropped))
    }

    /// Counts a line of `part`. Returns whether it is within the rate limit.
    fn is_within_limit(&self, part: &str) -> bool {
        let now = Instant::now();
        let mut windows = self.windows.lock().unwrap_or_else(|e| e.into_inner());
        let new_window = Window {
            start: now,
            lines: 0,
        };
        let window = match windows.get_mut(part) {
            Some(window) => window,
            None => windows.entry(part.into()).or_insert(new_window),
        };
        if now.duration_since(window.start) >= Duration::from_secs(1) {
            *window = new_window;
        }
        window.lines += 1;
        window.lines <= LINES_PER_S
    }
}

impl Append for JsonAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let allowed = self.is_within_limit(record.target());
        let queued = allowed
            && self
                .commands
                .try_send(Command::Line(encode(&self.vm, record)?))
                .is_ok();
        let count = if queued {
            &self.counts.written
        } else {
            &self.counts.dropped
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        // If the queue is full or the output blocks, the remaining lines are lost.
        if self.commands.try_send(Command::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Field with the name of the VM that logs a line. Other fields say `vm` of peers.
pub(crate) const SOURCE_FIELD: &str = "at_vm";

/// Adds a record's fields to a JSON object.
struct Fields<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let key = key.as_str();
        let result = if let Some(number) = value.to_u64() {
            self.0.serialize_entry(key, &number)
        } else if let Some(flag) = value.to_bool() {
            self.0.serialize_entry(key, &flag)
        } else {
            self.0.serialize_entry(key, &value.to_string())
        };
        result.map_err(|e| log::kv::Error::boxed(e.to_string()))
    }
}

fn encode(vm: &str, record: &Record<'_>) -> anyhow::Result<Vec<u8>> {
    let mut line = Vec::with_capacity(256);
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let mut json = serde_json::Serializer::new(&mut line);
    let mut map = json.serialize_map(None)?;
    map.serialize_entry("unix_ms", &unix_time.map_or(0, |d| d.as_millis() as u64))?;
    map.serialize_entry(SOURCE_FIELD, vm)?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("part", record.target())?;
    map.serialize_entry("event", &record.args().to_string())?;
    record.key_values().visit(&mut Fields(&mut map))?;
    map.end()?;
    line.push(b'\n');
    Ok(line)
}

fn write_lines(commands: &Receiver<Command>, mut out: impl Write, counts: &LineCounts) {
    let mut reported_at = Instant::now();
    let mut reported = 0;
    loop {
        let first = match commands.recv_timeout(REPORT_INTERVAL) {
            Ok(command) => Some(command),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if matches!(first, Some(Command::Line(_))) {
            std::thread::sleep(BATCH_TIME);
        }
        let mut batch = Vec::new();
        let mut waiters = Vec::new();
        for command in first.into_iter().chain(commands.try_iter()) {
            match command {
                Command::Line(line) => batch.extend_from_slice(&line),
                Command::Flush(done) => waiters.push(done),
            }
        }
        let dropped = counts.dropped.load(Ordering::Relaxed);
        if dropped > reported && reported_at.elapsed() >= REPORT_INTERVAL {
            let lines = dropped - reported;
            let line = format!(
                "{{\"part\":\"journal\",\"event\":\"lines left out\",\"lines\":{lines}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            reported = dropped;
            reported_at = Instant::now();
        }
        // If standard output fails, there is nowhere to report it.
        if !batch.is_empty() && out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
        for done in waiters {
            // The caller of `flush` may have timed out.
            let _ = done.try_send(());
        }
    }
}

/// Sends the records of the `log` macros to standard output as JSON.
///
/// # Errors
///
/// The operating system's error if the thread cannot be started, or an error if
/// logging is already initialised.
pub fn open(vm: &str, level: LevelFilter) -> std::io::Result<()> {
    let appender = JsonAppender::spawn(vm, std::io::stdout())?;
    let library_level = level.min(LevelFilter::Warn);
    let mut config =
        Config::builder().appender(Appender::builder().build("main", Box::new(appender)));
    for library in crate::text_log::LIBRARIES {
        config = config.logger(log4rs::config::Logger::builder().build(*library, library_level));
    }
    let config = config
        .build(Root::builder().appender("main").build(level))
        .map_err(std::io::Error::other)?;
    log4rs::init_config(config).map_err(std::io::Error::other)?;
    Ok(())
}
