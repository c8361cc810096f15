//! Stand-in of the platform's metadata store: objects with revisions, lists, watches,
//! and a drill in which it comes back from an older copy.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that an answer takes: 4 ms at the store and a round trip between two zones.
const ANSWER_TIME: Duration = Duration::from_micros(6_800);
/// Round trip between two zones, which opening a connection takes as well.
const ROUND_TRIP: Duration = Duration::from_micros(2_800);

#[derive(Clone)]
struct Object {
    created: u64,
    revision: u64,
    spec: String,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    text: String,
    deleted: bool,
}

/// What the store holds, and what a copy of it keeps.
#[derive(Clone, Default)]
pub struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

struct State {
    content: Content,
    era: u32,
    away: bool,
    /// Whether calls that are cut stay without an answer instead of an end.
    silent: bool,
    /// Number of times that all connections were cut.
    cuts: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

fn object_text(name: &str, object: &Object) -> String {
    format!(
        r#"{{"meta":{{"Name":"{name}","Revision":{},"Created":{},"Finalizers":[],"Deleting":false}},"spec":{},"status":null}}"#,
        object.revision, object.created, object.spec
    )
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_string(), name.to_string());
        if self.objects.get(&key).is_some_and(|o| o.spec == spec) {
            return;
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object {
            created,
            revision: self.revision,
            spec: spec.to_string(),
        };
        self.history.push(Event {
            revision: self.revision,
            kind: kind.to_string(),
            text: object_text(name, &object),
            deleted: false,
        });
        self.objects.insert(key, object);
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_string(), name.to_string());
        if let Some(mut object) = self.objects.remove(&key) {
            self.revision += 1;
            object.revision = self.revision;
            self.history.push(Event {
                revision: self.revision,
                kind: kind.to_string(),
                text: object_text(name, &object),
                deleted: true,
            });
        }
    }
}

impl Store {
    /// Starts the store at an address.
    pub fn spawn(address: SocketAddr) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store(Arc::new(Shared {
            state: Mutex::new(State {
                content: Content::default(),
                era: 0,
                away: false,
                silent: false,
                cuts: 0,
            }),
            changed: Condvar::new(),
        }));
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object. Returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.0.state.lock().unwrap().content.put(kind, name, spec);
        self.0.changed.notify_all();
        Instant::now()
    }

    /// Removes an object. Returns the time of the acknowledgement.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        self.0.state.lock().unwrap().content.delete(kind, name);
        self.0.changed.notify_all();
        Instant::now()
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.0.state.lock().unwrap().content.revision
    }

    /// A copy of what the store holds now.
    pub fn copy(&self) -> Content {
        self.0.state.lock().unwrap().content.clone()
    }

    /// Answers nobody any more. Connections of before end, or fall silent for good.
    pub fn leave(&self, silent: bool) {
        let mut state = self.0.state.lock().unwrap();
        state.away = true;
        state.silent = silent;
        state.cuts += 1;
        drop(state);
        self.0.changed.notify_all();
    }

    /// Comes back from a copy.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.0.state.lock().unwrap();
        state.content = copy;
        state.era += 1;
        state.away = false;
        drop(state);
        self.0.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let cuts = {
            let state = self.0.state.lock().unwrap();
            if state.away && !state.silent {
                return;
            }
            // A connection that is opened while the store is away gets no answers either.
            state.cuts.wrapping_sub(u64::from(state.away))
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        let mut time = ANSWER_TIME + ROUND_TRIP;
        while let Some((request, body)) = self.read_request(&mut input, cuts) {
            std::thread::sleep(time);
            time = ANSWER_TIME;
            let Some((status, body, era)) = self.answer(&request, &body, cuts) else {
                break;
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
        // Waits until the caller gives up.
        while self.is_cut(cuts) && self.0.state.lock().unwrap().silent {
            match input.read(&mut [0; 256]) {
                Ok(0) => return,
                Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    }

    fn is_cut(&self, cuts: u64) -> bool {
        self.0.state.lock().unwrap().cuts != cuts
    }

    /// Reads the request line and the body; none if the connection is at its end.
    fn read_request(
        &self,
        input: &mut BufReader<TcpStream>,
        cuts: u64,
    ) -> Option<(String, String)> {
        let mut lines: Vec<String> = Vec::new();
        let mut line = Vec::new();
        loop {
            match input.read_until(b'\n', &mut line) {
                Ok(0) => return None,
                Ok(_) if line.ends_with(b"\n") => {
                    let text = String::from_utf8_lossy(&line).trim_end().to_string();
                    line.clear();
                    if text.is_empty() {
                        break;
                    }
                    lines.push(text);
                }
                Ok(_) => {}
                Err(error) => match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {}
                    _ => return None,
                },
            }
            if self.is_cut(cuts) {
                return None;
            }
        }
        let length = lines.iter().find_map(|l| {
            let (name, value) = l.split_once(':')?;
            let is_length = name.eq_ignore_ascii_case("content-length");
            is_length.then(|| value.trim().parse::<usize>().ok())?
        });
        let mut body = vec![0; length.unwrap_or(0)];
        let _ = input
            .get_ref()
            .set_read_timeout(Some(Duration::from_secs(2)));
        input.read_exact(&mut body).ok()?;
        let _ = input
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(100)));
        Some((lines.first()?.clone(), String::from_utf8(body).ok()?))
    }

    /// Status, body and era of an answer; none if the connection is cut meanwhile.
    fn answer(&self, request: &str, body: &str, cuts: u64) -> Option<(u16, String, u32)> {
        let mut words = request.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/api/objects/")?;
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let mut state = self.0.state.lock().unwrap();
        if state.cuts != cuts {
            return None;
        }
        match method {
            "POST" | "PUT" => {
                let name = match name {
                    "" => text_after(body, "\"Name\":\"")?
                        .split('"')
                        .next()?
                        .to_string(),
                    name => name.to_string(),
                };
                let key = (kind.to_string(), name.clone());
                let known = state.content.objects.contains_key(&key);
                if known == (method == "POST") {
                    let status = if known { 409 } else { 404 };
                    return Some((status, "{}".into(), state.era));
                }
                let spec = value_at(text_after(body, "\"spec\":")?)?.to_string();
                state.content.put(kind, &name, &spec);
                let text = object_text(&name, &state.content.objects[&key]);
                let era = state.era;
                drop(state);
                self.0.changed.notify_all();
                Some((200, text, era))
            }
            _ if !name.is_empty() => {
                let key = (kind.to_string(), name.to_string());
                let object = state.content.objects.get(&key);
                let text = object.map(|o| object_text(name, o));
                let status = if text.is_some() { 200 } else { 404 };
                Some((status, text.unwrap_or_else(|| "{}".into()), state.era))
            }
            _ => match parameter("Watch").and_then(|w| w.parse::<u64>().ok()) {
                None => {
                    let objects = state.content.objects.iter();
                    let of_kind = objects.filter(|((k, _), _)| k == kind);
                    let items: Vec<String> = of_kind.map(|((_, n), o)| object_text(n, o)).collect();
                    let revision = state.content.revision;
                    let body = format!(
                        r#"{{"items":[{}],"HasMore":false,"CurrentRev":{revision}}}"#,
                        items.join(",")
                    );
                    Some((200, body, state.era))
                }
                Some(from) => {
                    let wait: u64 = parameter("WaitMs")
                        .and_then(|w| w.parse().ok())
                        .unwrap_or(0);
                    let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                    loop {
                        if state.cuts != cuts {
                            return None;
                        }
                        if from > state.content.revision {
                            return Some((410, "{}".into(), state.era));
                        }
                        let history = state.content.history.iter();
                        let news = history.filter(|e| e.revision > from && e.kind == kind);
                        let events: Vec<String> = news
                            .map(|e| format!(r#"{{"Deleted":{},"Object":{}}}"#, e.deleted, e.text))
                            .collect();
                        let now = Instant::now();
                        if !events.is_empty() || now >= end {
                            let body = format!(
                                r#"{{"events":[{}],"CurrentRev":{}}}"#,
                                events.join(","),
                                state.content.revision
                            );
                            return Some((200, body, state.era));
                        }
                        let left = (end - now).min(Duration::from_millis(200));
                        state = self.0.changed.wait_timeout(state, left).unwrap().0;
                    }
                }
            },
        }
    }
}

fn text_after<'a>(text: &'a str, start: &str) -> Option<&'a str> {
    text.split_once(start).map(|(_, rest)| rest)
}

/// The JSON object, or the plain value, at the start of a text.
fn value_at(text: &str) -> Option<&str> {
    let mut depth = 0usize;
    let mut quoted = false;
    let mut escaped = false;
    for (i, byte) in text.bytes().enumerate() {
        if quoted {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => quoted = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' if depth == 0 => return Some(&text[..i]),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&text[..=i]);
                }
            }
            _ => {}
        }
    }
    None
}
