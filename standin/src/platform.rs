//! Stand-in for the platform's object API.
//!
//! It can be told to fail: `POST /control` with `up`, `down`, `slow` or `lose`
//! (the answer after a write).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use wire::{Object, ObjectKey, PutReply, PutRequest, Version, WatchReply};

/// Delay of each answer while told to be slow.
const SLOW: Duration = Duration::from_millis(1500);

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Mode {
    /// Answers.
    #[default]
    Up,
    /// Refuses every call.
    Down,
    /// Answers late.
    Slow,
    /// Loses the answers to writes.
    Lose,
}

/// Calls since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Calls {
    /// Reads, lists and watches.
    pub(crate) reads: u64,
    /// Writes.
    pub(crate) writes: u64,
}

#[derive(Debug, Default)]
struct Store {
    objects: BTreeMap<ObjectKey, Object>,
    version: Version,
    mode: Mode,
    calls: Calls,
}

#[derive(Clone, Default)]
struct Shared {
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether a watch from a version has to answer now.
    fn is_due(&self, from: Version) -> bool {
        let store = self.lock();
        store.version > from || store.mode == Mode::Down
    }

    /// Behaves as told, before a call is served.
    async fn admit(&self, write: bool) -> Result<Mode, StatusCode> {
        let mode = {
            let mut store = self.lock();
            if write {
                store.calls.writes += 1;
            } else {
                store.calls.reads += 1;
            }
            store.mode
        };
        match mode {
            Mode::Down => return Err(StatusCode::SERVICE_UNAVAILABLE),
            Mode::Slow => tokio::time::sleep(SLOW).await,
            Mode::Up | Mode::Lose => {}
        }
        Ok(mode)
    }
}

/// Serves until the process ends.
pub(crate) async fn serve(listen: SocketAddr) -> std::io::Result<()> {
    let app = Router::new()
        .route("/v1/objects", get(list))
        .route("/v1/watch", get(watch))
        .route("/v1/objects/{kind}/{name}", get(read).put(write))
        .route("/control", post(control))
        .route("/calls", get(calls))
        .with_state(Shared::default());
    axum::serve(tokio::net::TcpListener::bind(listen).await?, app).await
}

#[derive(Debug, Deserialize)]
struct From {
    from: u64,
    wait_ms: Option<u64>,
}

fn above(store: &Store, from: Version) -> WatchReply {
    let mut objects: Vec<Object> = store
        .objects
        .values()
        .filter(|o| o.version > from)
        .cloned()
        .collect();
    objects.sort_by_key(|o| o.version);
    WatchReply {
        version: store.version,
        objects,
    }
}

async fn list(State(shared): State<Shared>, Query(query): Query<From>) -> Response {
    if let Err(status) = shared.admit(false).await {
        return status.into_response();
    }
    let watch = above(&shared.lock(), Version(query.from));
    Json(watch).into_response()
}

async fn watch(State(shared): State<Shared>, Query(query): Query<From>) -> Response {
    if let Err(status) = shared.admit(false).await {
        return status.into_response();
    }
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0));
    let changed = async {
        loop {
            let notified = shared.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if shared.is_due(Version(query.from)) {
                return;
            }
            notified.await;
        }
    };
    let _ = tokio::time::timeout(wait, changed).await;
    let store = shared.lock();
    if store.mode == Mode::Down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(above(&store, Version(query.from))).into_response()
}

async fn read(State(shared): State<Shared>, Path(path): Path<(Box<str>, Box<str>)>) -> Response {
    if let Err(status) = shared.admit(false).await {
        return status.into_response();
    }
    let key = ObjectKey {
        kind: path.0,
        name: path.1,
    };
    match shared.lock().objects.get(&key) {
        Some(object) => Json(object.clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    State(shared): State<Shared>,
    Path(path): Path<(Box<str>, Box<str>)>,
    Json(put): Json<PutRequest>,
) -> Response {
    let mode = match shared.admit(true).await {
        Ok(mode) => mode,
        Err(status) => return status.into_response(),
    };
    let key = ObjectKey {
        kind: path.0,
        name: path.1,
    };
    let reply = {
        let mut store = shared.lock();
        let known = store.objects.get(&key);
        if known.map_or(Version(0), |o| o.version) != put.expect {
            PutReply::Conflict {
                current: known.cloned().map(Box::new),
            }
        } else {
            store.version = Version(store.version.0 + 1);
            let version = store.version;
            let object = Object {
                key: key.clone(),
                version,
                change: put.change,
                body: put.body,
            };
            store.objects.insert(key, object);
            PutReply::Written { version }
        }
    };
    shared.changed.notify_waiters();
    if mode == Mode::Lose {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(reply).into_response()
}

async fn control(State(shared): State<Shared>, word: String) -> StatusCode {
    let mode = match word.trim() {
        "up" => Mode::Up,
        "down" => Mode::Down,
        "slow" => Mode::Slow,
        "lose" => Mode::Lose,
        _ => return StatusCode::BAD_REQUEST,
    };
    shared.lock().mode = mode;
    shared.changed.notify_waiters();
    StatusCode::NO_CONTENT
}

async fn calls(State(shared): State<Shared>) -> Json<Calls> {
    Json(shared.lock().calls)
}
