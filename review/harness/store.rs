//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::json;
use crate::record::Record;

/// Most items of a page, as `page` in the users' site files says.
const PAGE_ITEMS: usize = 50;
/// Lists that are recorded one by one; of more, every thousandth is.
const LISTS_RECORDED: u64 = 200;
/// Time for which the store keeps its history, `RetentionS`.
const RETENTION: Duration = Duration::from_secs(20);
/// Most bytes of a page.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Vec<u8>,
}

struct Event {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    object: Stored,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The revision that the store started with.
    first: u64,
    /// Number of times that the store came back from a copy.
    era: u16,
    /// Whether it cannot be reached.
    away: bool,
    objects: BTreeMap<(String, String), Stored>,
    history: Vec<Event>,
    /// Number of lists that were read.
    lists: u64,
    /// How far behind serializable answers are: of a list's first page, and of the
    /// pages that continue it.
    lag: (Duration, Duration),
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on a free port.
    pub fn spawn(ip: Ipv4Addr, record: Record) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store {
            shared: Arc::default(),
            record,
            address: listener.local_addr()?,
        };
        store.set_first_revision(100);
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets the revision that the store starts with. To be called before anything is
    /// written.
    pub fn set_first_revision(&self, revision: u64) {
        let mut state = self.lock();
        (state.revision, state.first) = (revision, revision);
    }

    /// Is away for a moment and comes back from a copy of some time ago. Revisions are
    /// given out again.
    pub fn come_back(&self, age: Duration, away: Duration) {
        self.lock().away = true;
        self.shared.1.notify_all();
        std::thread::sleep(away);
        let mut state = self.lock();
        state.history.retain(|e| e.at.elapsed() >= age + away);
        state.revision = state.history.last().map_or(state.first, |e| e.revision);
        state.objects.clear();
        let mut objects = BTreeMap::new();
        for event in &state.history {
            let key = (event.kind.clone(), event.name.clone());
            match event.deleted {
                true => drop(objects.remove(&key)),
                false => drop(objects.insert(key, event.object.clone())),
            }
        }
        state.objects = objects;
        state.era += 1;
        state.away = false;
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        self.record
            .line(&format!("store: back from a copy, at revision {revision}"));
    }

    /// Sets how far behind serializable answers are.
    pub fn set_lag(&self, first: Duration, continued: Duration) {
        self.lock().lag = (first, continued);
    }

    /// Creates or replaces an object. One that is the same stays as it is.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let mut state = self.lock();
        let key = (kind.to_string(), name.to_string());
        if let Some(old) = state.objects.get(&key).filter(|o| o.spec == spec) {
            return old.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = state.objects.get(&key).map_or(revision, |o| o.created);
        let object = Stored {
            revision,
            created,
            spec: spec.to_vec(),
        };
        state.objects.insert(key, object.clone());
        state.push(kind, name, object, false);
        drop(state);
        self.shared.1.notify_all();
        let shown = String::from_utf8_lossy(spec);
        let shown: String = shown.chars().take(300).collect();
        self.record.line(&format!(
            "store: {kind}/{name} written at revision {revision}: {shown}"
        ));
        revision
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some(object) = state.objects.remove(&(kind.to_string(), name.to_string())) else {
            return;
        };
        state.revision += 1;
        state.push(kind, name, object, true);
        drop(state);
        self.shared.1.notify_all();
        self.record.line(&format!("store: {kind}/{name} removed"));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some((method, target, body)) = read_request(&mut input) {
            let (status, reply) = self.answer(&method, &target, &body);
            let (away, era) = {
                let state = self.lock();
                (state.away, state.era)
            };
            if away {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                reply.len()
            );
            if out
                .write_all(head.as_bytes())
                .and_then(|()| out.write_all(&reply))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return (404, b"{}".to_vec());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let param = |key: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .into_iter()
                .find(|(k, _)| *k == key)
                .map(|(_, v)| percent_decode(v))
        };
        match (method, name) {
            ("GET", "") => match param("Watch").and_then(|w| w.parse().ok()) {
                Some(from) => {
                    let wait = param("WaitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait))
                }
                None => {
                    let serializable = param("Serializable").as_deref() == Some("1");
                    self.list(kind, &param("after").unwrap_or_default(), serializable)
                }
            },
            ("GET", _) => {
                let state = self.lock();
                match state.objects.get(&(kind.to_string(), name.to_string())) {
                    Some(object) => (200, encode(name, object)),
                    None => (404, b"{}".to_vec()),
                }
            }
            ("POST", "") => {
                let meta = json::field(body, "meta");
                let Some(name) = meta.and_then(|m| json::text(m, "Name")) else {
                    return (400, b"{}".to_vec());
                };
                let key = (kind.to_string(), name.clone());
                let exists = self.lock().objects.get(&key).cloned();
                if let Some(object) = exists {
                    return (409, encode(&name, &object));
                }
                self.write(kind, &name, body)
            }
            ("PUT", _) => self.write(kind, name, body),
            ("DELETE", _) => {
                self.delete(kind, name);
                (200, b"{}".to_vec())
            }
            _ => (405, b"{}".to_vec()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let spec = json::field(body, "spec").unwrap_or(b"null").to_vec();
        self.put(kind, name, &spec);
        let state = self.lock();
        match state.objects.get(&(kind.to_string(), name.to_string())) {
            Some(object) => (200, encode(name, object)),
            None => (404, b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str, after: &str, serializable: bool) -> (u16, Vec<u8>) {
        let mut state = self.lock();
        state.lists += 1;
        let count = state.lists;
        let lag = match (serializable, after) {
            (false, _) => Duration::ZERO,
            (true, "") => state.lag.0,
            (true, _) => state.lag.1,
        };
        let (revision, objects) = state.as_of(kind, lag);
        drop(state);
        let mut items: Vec<Vec<u8>> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (name, object) in objects.iter().filter(|(name, _)| name.as_str() > after) {
            let item = encode(name, object);
            if items.len() == PAGE_ITEMS || (bytes + item.len() > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        if count <= LISTS_RECORDED || count % 1000 == 0 {
            self.record.line(&format!(
                "store: list {count}, of {kind} after '{after}', serializable {serializable}: {} items as of revision {revision}, more {more}",
                items.len()
            ));
        }
        let mut reply = b"{\"items\":[".to_vec();
        reply.extend(items.join(&b','));
        reply.extend(format!("],\"HasMore\":{more},\"CurrentRev\":{revision}}}").bytes());
        (200, reply)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.lock();
        loop {
            let is_gone = |e: &Event| e.revision > from && e.at.elapsed() > RETENTION;
            if from > state.revision || state.history.iter().any(is_gone) {
                return (410, b"{}".to_vec());
            }
            let is_news = |e: &&Event| e.kind == kind && e.revision > from;
            let events: Vec<Vec<u8>> = state
                .history
                .iter()
                .filter(is_news)
                .map(encode_event)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.away {
                let mut reply = b"{\"events\":[".to_vec();
                reply.extend(events.join(&b','));
                reply.extend(format!("],\"CurrentRev\":{}}}", state.revision).bytes());
                return (200, reply);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

impl State {
    fn push(&mut self, kind: &str, name: &str, object: Stored, deleted: bool) {
        let event = Event {
            at: Instant::now(),
            revision: self.revision,
            kind: kind.to_string(),
            name: name.to_string(),
            object,
            deleted,
        };
        self.history.push(event);
    }

    /// Revision and objects of a kind as they were some time ago.
    fn as_of(&self, kind: &str, lag: Duration) -> (u64, BTreeMap<String, Stored>) {
        let mut objects = BTreeMap::new();
        let mut revision = self.first;
        for event in &self.history {
            if event.at.elapsed() < lag {
                break;
            }
            revision = event.revision;
            if event.kind != kind {
                continue;
            }
            if event.deleted {
                objects.remove(&event.name);
            } else {
                objects.insert(event.name.clone(), event.object.clone());
            }
        }
        (revision, objects)
    }
}

fn encode(name: &str, object: &Stored) -> Vec<u8> {
    let name = name.replace('\\', "\\\\").replace('"', "\\\"");
    let mut out = format!(
        "{{\"meta\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"spec\":",
        object.revision, object.created
    )
    .into_bytes();
    out.extend(&object.spec);
    out.extend(b",\"status\":null}");
    out
}

fn encode_event(event: &Event) -> Vec<u8> {
    let mut out = format!("{{\"Deleted\":{},\"Object\":", event.deleted).into_bytes();
    out.extend(encode(&event.name, &event.object));
    out.push(b'}');
    out
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten();
        let hex = hex.and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        match hex {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a request: method, target and body.
pub fn read_request(input: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let mut length = 0;
    loop {
        let mut header = String::new();
        input.read_line(&mut header).ok()?;
        let header = header.trim();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((method, target, body))
}
