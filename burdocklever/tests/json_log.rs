//! The JSON log: rate limited, never blocking, and counting the lines it drops.

use std::io::Write;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use burdocklever::json_log::JsonAppender;
use log4rs::append::Append;

/// Collects what is written.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output that blocks until its gate is opened.
struct BlockedOutput {
    gate: Arc<(Mutex<bool>, Condvar)>,
    entered: Sender<()>,
}

impl Write for BlockedOutput {
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

fn write(appender: &JsonAppender, part: &str, event: &str) {
    let mut record = log::Record::builder();
    record.level(log::Level::Info).target(part);
    appender
        .append(&record.args(format_args!("{event}")).build())
        .unwrap();
}

#[test]
fn a_line_is_one_json_object_and_is_written_by_flush() {
    let buffer = Buffer::default();
    let appender = JsonAppender::spawn("edge-1", buffer.clone()).unwrap();
    write(&appender, "daemon", "stopped");
    appender.flush();
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let line: serde_json::Value = serde_json::from_str(text.trim()).unwrap();
    assert_eq!(line["part"], "daemon");
    assert_eq!(line["event"], "stopped");
    assert_eq!(appender.counts(), (1, 0));
}

#[test]
fn the_rate_limit_of_one_part_leaves_room_for_others() {
    let buffer = Buffer::default();
    let appender = JsonAppender::spawn("edge-1", buffer.clone()).unwrap();
    for _ in 0..500 {
        write(&appender, "flow", "flow opened");
    }
    write(&appender, "daemon", "stopping");
    let (written, dropped) = appender.counts();
    assert_eq!(written + dropped, 501);
    // The run may extend into a second rate-limit window, so at most two limits.
    assert!((101..=201).contains(&written), "{written}");
    appender.flush();
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("stopping"));
}

#[test]
fn a_blocked_output_does_not_block_logging() {
    let (entered, blocked) = channel();
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let out = BlockedOutput {
        gate: gate.clone(),
        entered,
    };
    let appender = JsonAppender::spawn("edge-1", out).unwrap();
    write(&appender, "first", "line");
    blocked.recv_timeout(Duration::from_secs(10)).unwrap();
    for part in 0..3000 {
        write(&appender, &format!("part-{part}"), "line");
    }
    let (written, dropped) = appender.counts();
    assert_eq!(written + dropped, 3001);
    assert!(
        dropped >= 1900,
        "the queue holds about a thousand lines: {dropped}"
    );
    // If logging waited for the output, this point would not be reached.
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
}

#[test]
fn each_line_carries_its_vm() {
    let buffer = Buffer::default();
    let appender = JsonAppender::spawn("edge-1", buffer.clone()).unwrap();
    write(&appender, "peer", "one");
    write(&appender, "store", "two");
    appender.flush();
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    for line in text.lines() {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["at_vm"], "edge-1");
    }
    assert_eq!(text.lines().count(), 2);
}
