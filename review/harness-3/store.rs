//! The platform's object store: lists, watches, writes and outages, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Most items in an answer to a list.
const PAGE_ITEMS: usize = 500;
/// Longest wait of a watch.
const WAIT_MAX_MS: u64 = 30_000;

/// An object with the revision of its last change and its `spec` as JSON text.
#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            r#"{{"meta":{{"Name":"{}","Revision":{},"Created":1,"Finalizers":[],"Deleting":false}},"spec":{},"status":null}}"#,
            self.name, self.revision, self.spec
        )
    }
}

/// A change, kept for watches.
struct Change {
    kind: String,
    revision: u64,
    deleted: bool,
    object: Object,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    revision: u64,
    down: bool,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts to serve on a free port of the address.
    pub fn spawn(ip: Ipv4Addr) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            revision: 1,
            ..State::default()
        };
        let store = Store {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                // A connection that fails ends alone.
                std::thread::spawn(move || store.serve(stream).ok());
            }
        });
        Ok(store)
    }

    /// Starts or ends an outage, in which every call is answered with 503.
    pub fn set_down(&self, down: bool) {
        self.shared.0.lock().unwrap().down = down;
        self.shared.1.notify_all();
    }

    /// Writes or deletes an object as an operator or a server does. Returns false, and does
    /// nothing, during an outage.
    pub fn write(&self, kind: &str, name: &str, spec: Option<&str>) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        if state.down {
            return false;
        }
        state.write(kind, name, spec);
        self.shared.1.notify_all();
        true
    }

    /// Deletes an entry that has expired, also during an outage.
    pub fn expire(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().write(kind, name, None);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        loop {
            let mut head = String::new();
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
            let mut length = 0;
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                let line = line.trim().to_ascii_lowercase();
                if line.is_empty() {
                    break;
                }
                if let Some(value) = line.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let mut words = head.split_whitespace();
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (status, answer) = self.answer(method, target, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} \r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            out.write_all(answer.as_bytes())?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/api/objects/").unwrap_or("");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let mut state = self.shared.0.lock().unwrap();
        if state.down {
            return (503, "{}".into());
        }
        if method != "GET" {
            return state.put(method, kind, name, body);
        }
        if let Some(from) = parameter(query, "Watch") {
            drop(state);
            let wait = parameter(query, "WaitMs").unwrap_or(0).min(WAIT_MAX_MS);
            return self.watch(kind, from, Duration::from_millis(wait));
        }
        let after = query.split('&').find_map(|p| p.strip_prefix("after="));
        state.list(kind, after.unwrap_or(""))
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.down {
                return (503, "{}".into());
            }
            let news = |c: &&Change| c.kind == kind && c.revision > from;
            let events: Vec<String> = state.changes.iter().filter(news).map(event).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"CurrentRev":{revision}}}"#),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn event(change: &Change) -> String {
    let object = change.object.json();
    format!(r#"{{"Deleted":{},"Object":{object}}}"#, change.deleted)
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let value = |part: &str| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    query.split('&').find_map(value)
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Option<&str>) {
        let key = (kind.to_string(), name.to_string());
        let known = self.objects.get(&key);
        if known.map(|o| o.spec.as_str()) == spec {
            return;
        }
        self.revision += 1;
        let object = Object {
            name: name.into(),
            revision: self.revision,
            spec: spec.unwrap_or("null").into(),
        };
        match spec {
            Some(_) => self.objects.insert(key, object.clone()),
            None => self.objects.remove(&key),
        };
        self.changes.push(Change {
            kind: kind.into(),
            revision: self.revision,
            deleted: spec.is_none(),
            object,
        });
    }

    /// Creates or replaces an object of the system's own kinds.
    fn put(&mut self, method: &str, kind: &str, name: &str, body: &str) -> (u16, String) {
        let named = body.split(r#""Name":""#).nth(1);
        let named = named.and_then(|rest| rest.split('"').next()).unwrap_or("");
        let name = if name.is_empty() { named } else { name };
        let spec = body
            .split_once(r#""spec":"#)
            .map_or("null", |(_, spec)| spec);
        let spec = spec.strip_suffix('}').unwrap_or(spec);
        let exists = self.objects.contains_key(&(kind.into(), name.into()));
        match (method, exists) {
            ("POST", true) => (409, "{}".into()),
            ("PUT", false) => (404, "{}".into()),
            _ => {
                self.write(kind, name, Some(spec));
                (200, "{}".into())
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let matches = |o: &(&(String, String), &Object)| o.0 .0 == kind && o.0 .1.as_str() > after;
        let mut found: Vec<String> = self
            .objects
            .iter()
            .filter(matches)
            .map(|(_, o)| o.json())
            .collect();
        let more = found.len() > PAGE_ITEMS;
        found.truncate(PAGE_ITEMS);
        let (items, revision) = (found.join(","), self.revision);
        (
            200,
            format!(r#"{{"items":[{items}],"HasMore":{more},"CurrentRev":{revision}}}"#),
        )
    }
}
