//! Explains what became of one flow, from the logs of all VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::code::Code;

/// Time before and after a flow's own lines in which what its VMs and its
/// targets went through is shown, in milliseconds: the longest request.
const AROUND_MS: u64 = 10_000;

/// One line of the log.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    #[serde(default)]
    unix_ms: u64,
    #[serde(default)]
    part: Box<str>,
    #[serde(default)]
    event: Box<str>,
    #[serde(flatten)]
    fields: Map<String, Value>,
    #[serde(skip)]
    source: Box<str>,
}

impl Line {
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

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}: {}",
            self.unix_ms, self.source, self.part, self.event
        )?;
        for (name, value) in self.fields.iter().filter(|(n, _)| *n != "level") {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// What became of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Lines about the flow, its targets and its VMs, in order of time.
    pub lines: Vec<Box<str>>,
    /// The cause of its end, as far as the lines show one.
    pub cause: Box<str>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// Explains a flow, named by the caller's and the service's address with a `-`
/// between, from `logs`: names of VMs with the text of their logs. A line may
/// have other text before its JSON object.
pub fn explain(flow: &str, logs: &[(Box<str>, Box<str>)]) -> Explanation {
    let mut unreadable = 0;
    let mut all = Vec::new();
    for (source, text) in logs {
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            match parse(source, line) {
                Some(line) => all.push(line),
                None => unreadable += 1,
            }
        }
    }
    name_sources(&mut all);
    all.sort_by_key(|l| l.unix_ms);
    let own: Vec<&Line> = all
        .iter()
        .filter(|l| l.text("flow") == Some(flow))
        .collect();
    let hosts: BTreeSet<u64> = own.iter().filter_map(|l| l.number("host")).collect();
    let sources: BTreeSet<&str> = own.iter().map(|l| &*l.source).collect();
    let first = own
        .first()
        .map_or(0, |l| l.unix_ms.saturating_sub(AROUND_MS));
    let last = own.last().map_or(0, |l| l.unix_ms + AROUND_MS);
    let concerns = |l: &&Line| {
        let near = (first..=last).contains(&l.unix_ms);
        let of_flow = l.text("flow") == Some(flow);
        of_flow || (near && (is_of_target(l, &hosts) || is_of_vm(l, &sources)))
    };
    let lines: Vec<&Line> = all.iter().filter(concerns).collect();
    Explanation {
        lines: lines.iter().map(|l| l.to_string().into()).collect(),
        cause: cause(&own, &lines).into(),
        unreadable,
    }
}

fn parse(source: &str, line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let mut parsed: Line = serde_json::from_str(&line[start..]).ok()?;
    let before = line[..start].trim();
    parsed.source = match before.rsplit(' ').next() {
        Some(name) if !name.is_empty() => name.into(),
        _ => source.into(),
    };
    Some(parsed)
}

/// Names each file's lines by the VM that says in it that it started.
fn name_sources(all: &mut [Line]) {
    let names: BTreeMap<Box<str>, Box<str>> = all
        .iter()
        .filter(|l| *l.event == *"started")
        .filter_map(|l| Some((l.source.clone(), l.text("vm")?.into())))
        .collect();
    for line in all {
        if let Some(name) = names.get(&line.source) {
            line.source = name.clone();
        }
    }
}

/// A change of what is believed of one of the flow's targets.
fn is_of_target(line: &Line, hosts: &BTreeSet<u64>) -> bool {
    let object = line.text("object").and_then(|o| o.strip_prefix("host/"));
    let named = object.and_then(|id| id.parse().ok());
    let given_up = (&*line.part == "target").then(|| line.number("host"));
    let host = named.or(given_up.flatten());
    host.is_some_and(|host| hosts.contains(&host))
}

/// A VM's start or stop, or a dependency that it lost or regained.
fn is_of_vm(line: &Line, sources: &BTreeSet<&str>) -> bool {
    sources.contains(&*line.source) && ["daemon", "store", "peer"].contains(&&*line.part)
}

fn cause(own: &[&Line], lines: &[&Line]) -> String {
    let Some(end) = own.iter().rev().find_map(|l| Some((l, l.code()?))) else {
        return silent(own, lines);
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
        Code::NoService => format!("{vm} knew no service at the address, or it was removed"),
        Code::NoFlow => format!("{vm} did not know the target of the token"),
        Code::FlowEnded => {
            let given_up = lines
                .iter()
                .rev()
                .find(|l| l.event.starts_with("target given up") && l.unix_ms <= line.unix_ms + 1);
            let parts = |l: &&Line| {
                let host = l.number("host")?;
                Some((host, l.text("finding")?.to_owned(), l.number("silent_ms")?))
            };
            match given_up.and_then(parts) {
                Some((host, finding, silent)) => {
                    format!("target {host} died: {finding}, no sign of life for {silent} ms")
                }
                None => format!("{vm}: the target's failure domain is out of service"),
            }
        }
        code => format!("{vm}: {code} {}", code.text()),
    }
}

/// The cause if no VM decided against the flow.
fn silent(own: &[&Line], lines: &[&Line]) -> String {
    if own.is_empty() {
        return "no VM logged a decision on this flow: its packets reached none, or the lines \
                were left out (see `lines left out`)"
            .into();
    }
    let copies = own
        .iter()
        .filter(|l| l.number("copy").unwrap_or(0) > 0)
        .count();
    let stopped = lines.iter().rev().find(|l| *l.event == *"started");
    match (copies, stopped) {
        (0, Some(start)) => format!(
            "no VM ended the flow; {} started anew at {}, so packets were lost before",
            start.source, start.unix_ms
        ),
        (0, None) => "no VM ended the flow: it was forwarded to its target".into(),
        (n, _) => format!("the first target did not accept the flow; {n} copies went elsewhere"),
    }
}
