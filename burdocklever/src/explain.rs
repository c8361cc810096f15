//! Explains what happened to a flow, from the logs of the VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::code::Code;
use crate::json_log::SOURCE_FIELD;

/// Time before the first and after the last line of a flow within which lines about
/// its VMs and targets are included. No request lasts longer.
const CONTEXT_MS: u64 = 10_000;

/// A log line.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    #[serde(default)]
    unix_ms: u64,
    #[serde(default)]
    part: Box<str>,
    #[serde(default)]
    event: Box<str>,
    #[serde(flatten)]
    fields: Map<String, Value>,
    /// Name of the VM that logged the line, or of the log file.
    #[serde(skip)]
    source: Box<str>,
}

impl LogLine {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    fn code(&self) -> Option<Code> {
        self.text("code")?.parse().ok()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}: {}",
            self.unix_ms, self.source, self.part, self.event
        )?;
        for (name, value) in self
            .fields
            .iter()
            .filter(|(n, _)| *n != "level" && *n != SOURCE_FIELD)
        {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// What happened to a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Lines about the flow, its targets and its VMs, ordered by time.
    pub lines: Vec<Box<str>>,
    /// Cause of the flow's end, as far as the logs show it.
    pub cause: Box<str>,
    /// Number of lines that could not be parsed.
    pub unreadable: usize,
}

/// Explains a flow. `flow` is the caller's and the service's address, joined by `-`;
/// `logs` are names and contents of log files. A line may have other text before
/// its JSON object; the last word of that text is then taken as the VM's name.
pub fn explain(flow: &str, logs: &[(Box<str>, Box<str>)]) -> Explanation {
    let mut unreadable = 0;
    let mut all_lines = Vec::new();
    for (source, text) in logs {
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            match parse_line(source, line) {
                Some(line) => all_lines.push(line),
                None => unreadable += 1,
            }
        }
    }
    name_sources(&mut all_lines);
    all_lines.sort_by_key(|l| l.unix_ms);
    let flow_lines: Vec<&LogLine> = all_lines
        .iter()
        .filter(|l| l.text("flow") == Some(flow))
        .collect();
    let hosts: BTreeSet<u64> = flow_lines.iter().filter_map(|l| l.number("host")).collect();
    let sources: BTreeSet<&str> = flow_lines.iter().map(|l| &*l.source).collect();
    let from = flow_lines
        .first()
        .map_or(0, |l| l.unix_ms.saturating_sub(CONTEXT_MS));
    let to = flow_lines.last().map_or(0, |l| l.unix_ms + CONTEXT_MS);
    let is_relevant = |l: &&LogLine| {
        let in_time = (from..=to).contains(&l.unix_ms);
        let of_flow = l.text("flow") == Some(flow);
        let seen = sources.contains(&*l.source);
        of_flow || (in_time && seen && (concerns_target(l, &hosts) || concerns_vm(l)))
    };
    let lines: Vec<&LogLine> = all_lines.iter().filter(is_relevant).collect();
    Explanation {
        lines: lines.iter().map(|l| l.to_string().into()).collect(),
        cause: find_cause(&flow_lines, &lines).into(),
        unreadable,
    }
}

fn parse_line(source: &str, line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let mut parsed: LogLine = serde_json::from_str(&line[start..]).ok()?;
    let before = line[..start].trim();
    let named = parsed.text(SOURCE_FIELD).map(Box::from);
    parsed.source = match before.rsplit(' ').next() {
        Some(name) if !name.is_empty() => name.into(),
        _ => named.unwrap_or_else(|| source.into()),
    };
    Some(parsed)
}

/// Replaces the file name of each line of an older build, which does not carry the
/// VM's name, by the name of the VM that logs its start in that file.
fn name_sources(lines: &mut [LogLine]) {
    let names: BTreeMap<Box<str>, Box<str>> = lines
        .iter()
        .filter(|l| *l.event == *"started" && l.text(SOURCE_FIELD).is_none())
        .filter_map(|l| Some((l.source.clone(), l.text("vm")?.into())))
        .collect();
    for line in lines.iter_mut().filter(|l| l.text(SOURCE_FIELD).is_none()) {
        if let Some(name) = names.get(&line.source) {
            line.source = name.clone();
        }
    }
}

/// Whether a line reports a change or the failure of one of `hosts`.
fn concerns_target(line: &LogLine, hosts: &BTreeSet<u64>) -> bool {
    let object = line.text("object").and_then(|o| o.strip_prefix("host/"));
    let changed = object.and_then(|id| id.parse().ok());
    let failed = (&*line.part == "target").then(|| line.number("host"));
    let host = changed.or(failed.flatten());
    host.is_some_and(|host| hosts.contains(&host))
}

/// Whether a line reports the start or stop of its VM, or a change of the VM's
/// connection to the store or to peers.
fn concerns_vm(line: &LogLine) -> bool {
    ["daemon", "store", "peer"].contains(&&*line.part)
}

fn find_cause(flow_lines: &[&LogLine], lines: &[&LogLine]) -> String {
    let Some(end) = flow_lines.iter().rev().find_map(|l| Some((l, l.code()?))) else {
        return cause_without_code(flow_lines, lines);
    };
    let (line, code) = end;
    let vm = &line.source;
    match code {
        Code::NotReady => {
            let started = lines
                .iter()
                .rev()
                .find(|l| *l.event == *"started" && l.source == *vm && l.unix_ms <= line.unix_ms);
            match started {
                Some(start) => {
                    let age = line.unix_ms - start.unix_ms;
                    format!("{vm} had started {age} ms before and had no catalogue yet")
                }
                None => format!("{vm} had no catalogue yet"),
            }
        }
        Code::NoRoom => format!("{vm} refused the flow: no target could take it"),
        Code::Unreachable => format!("{vm} refused the flow: it could reach no target"),
        Code::NoService => format!("{vm} knew no service at the address, or it was removed"),
        Code::NoFlow => format!("{vm} did not know the target of the token"),
        Code::FlowEnded => {
            let failure = lines
                .iter()
                .rev()
                .find(|l| l.event.starts_with("target given up") && l.unix_ms <= line.unix_ms + 1);
            let details = |l: &&LogLine| {
                let host = l.number("host")?;
                Some((host, l.text("finding")?.to_owned(), l.number("silent_ms")?))
            };
            match failure.and_then(details) {
                Some((host, finding, silent)) => {
                    format!("target {host} died: {finding}, no sign of life for {silent} ms")
                }
                None => format!("{vm}: the target's failure domain is out of service"),
            }
        }
        Code::LowPriority => {
            let field = |name| line.number(name).unwrap_or(0);
            if let Some(expected) = line.number("expected_ms") {
                return format!(
                    "{vm} refused the flow for lack of room: its target takes {expected} ms to \
                     respond, {}% of the flows of priority {} refused",
                    field("share"),
                    field("priority")
                );
            }
            format!(
                "{vm} refused the flow for lack of room: {} requests in progress per 100 slots \
                 {} ms before, {}% of the flows of priority {} refused",
                field("occupancy"),
                field("age_ms"),
                field("share"),
                field("priority")
            )
        }
        code => format!("{vm}: {code} {}", code.text()),
    }
}

/// The cause if no VM logged a result code for the flow.
fn cause_without_code(flow_lines: &[&LogLine], lines: &[&LogLine]) -> String {
    if flow_lines.is_empty() {
        return "no VM logged a decision on this flow: its packets reached none, or the lines \
                were left out (see `lines left out`)"
            .into();
    }
    let copies = flow_lines
        .iter()
        .filter(|l| l.number("copy").unwrap_or(0) > 0)
        .count();
    let restart = lines.iter().rev().find(|l| *l.event == *"started");
    match (copies, restart) {
        (0, Some(start)) => format!(
            "no VM ended the flow; {} restarted at {}, so packets were lost before",
            start.source, start.unix_ms
        ),
        (0, None) => "no VM ended the flow: it was forwarded to its target".into(),
        (n, _) => format!(
            "the first target did not accept the flow; {n} retransmissions went to other targets"
        ),
    }
}
