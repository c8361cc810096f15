//! Stand-in for targets: counts what reaches it and can be told to misbehave.
//!
//! `POST /control/ID` with `ok`, `shed`, `hang`, `late`, `cold` or `drain`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UdpSocket};
use wire::{header, mark, DomainId, Host, HostId, ObjectKey, ServiceId};

use crate::topology::Client;

/// Time that an ordinary request takes.
const WORK: Duration = Duration::from_millis(20);
/// Time that a request takes while told to be late.
const LATE: Duration = Duration::from_secs(12);
/// Chunks of a download, their size and the time between two.
const CHUNKS: usize = 50;
const CHUNK_BYTES: usize = 1024;
const CHUNK_EVERY: Duration = Duration::from_millis(40);
/// Requests in progress that a target bears.
const SLOTS: u32 = 2;
/// Requests in progress that a cold target bears, and for how long it is cold.
const COLD_SLOTS: u32 = 1;
const COLD: Duration = Duration::from_secs(3);

/// One target: its identity, service and address.
#[derive(Debug, Clone)]
pub(crate) struct Spec {
    /// Identity.
    pub(crate) id: HostId,
    /// Service.
    pub(crate) service: ServiceId,
    /// Address for datagrams and requests.
    pub(crate) address: SocketAddr,
}

impl FromStr for Spec {
    type Err = String;

    fn from_str(s: &str) -> Result<Spec, String> {
        let fail = || format!("expected ID/SERVICE/ADDRESS, found `{s}`");
        let mut parts = s.split('/');
        let id = parts.next().and_then(|p| p.parse().ok()).ok_or_else(fail)?;
        let service = parts.next().and_then(|p| p.parse().ok()).ok_or_else(fail)?;
        let address = parts.next().and_then(|p| p.parse().ok()).ok_or_else(fail)?;
        Ok(Spec {
            id,
            service,
            address,
        })
    }
}

impl std::fmt::Display for Spec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.id, self.service, self.address)
    }
}

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Ok,
    Shed,
    Hang,
    Late,
}

/// What one target has seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Seen {
    /// Service.
    pub(crate) service: String,
    /// Flows by caller.
    pub(crate) flows: BTreeSet<String>,
    /// Datagrams meant for another service.
    pub(crate) foreign: u64,
    /// Datagrams since the last look.
    pub(crate) datagrams: u64,
    /// Most requests in progress at once.
    pub(crate) busiest: u32,
    /// Requests that came over the limit and were shed.
    pub(crate) over: u64,
    /// Requests that came over the cold limit.
    pub(crate) over_cold: u64,
    /// Runs by request body, for requests with a key.
    pub(crate) runs: BTreeMap<String, u32>,
    /// Keys that ran.
    pub(crate) keys: BTreeSet<String>,
}

struct Target {
    spec: Spec,
    mode: Mode,
    life: u64,
    cold_until: tokio::time::Instant,
    busy: u32,
    seen: Seen,
}

type Handle = Arc<Mutex<Target>>;

fn lock(target: &Handle) -> MutexGuard<'_, Target> {
    target.lock().unwrap_or_else(|e| e.into_inner())
}

/// Serves targets until the process ends.
pub(crate) async fn serve(
    platform: SocketAddr,
    control: SocketAddr,
    domain: DomainId,
    specs: Vec<Spec>,
) -> std::io::Result<()> {
    let client = Client::open(platform);
    let mut targets = BTreeMap::new();
    for spec in specs {
        let target = Arc::new(Mutex::new(Target {
            mode: Mode::Ok,
            life: 1,
            cold_until: tokio::time::Instant::now() + COLD,
            busy: 0,
            seen: Seen {
                service: spec.service.to_string(),
                ..Seen::default()
            },
            spec: spec.clone(),
        }));
        let socket = UdpSocket::bind(spec.address).await?;
        tokio::spawn(answer_datagrams(socket, target.clone()));
        let app = Router::new().fallback(answer).with_state(target.clone());
        let listener = TcpListener::bind(spec.address).await?;
        tokio::spawn(async move { axum::serve(listener, app).await });
        list(&client, &domain, &spec, wire::Lifecycle::Live).await?;
        targets.insert(spec.id, target);
    }
    let control_state = Control {
        targets: Arc::new(targets),
        client,
        domain,
    };
    let app = Router::new()
        .route("/report", get(report))
        .route("/control/{id}", post(set_mode))
        .with_state(control_state);
    axum::serve(TcpListener::bind(control).await?, app).await
}

/// Lists a target in the platform, as the platform itself would.
async fn list(
    client: &Client,
    domain: &DomainId,
    spec: &Spec,
    state: wire::Lifecycle,
) -> std::io::Result<()> {
    let host = Host {
        id: spec.id,
        service: spec.service.clone(),
        domain: domain.clone(),
        address: spec.address,
        state,
        incarnation: wire::Incarnation(0),
        cold_ms: 0,
        slots: 0,
    };
    let key = ObjectKey::new("host", spec.id);
    let written = client.write(&key, &wire::Body::Host(host)).await;
    written.map(|_| ()).map_err(std::io::Error::other)
}

#[derive(Clone)]
struct Control {
    targets: Arc<BTreeMap<HostId, Handle>>,
    client: Client,
    domain: DomainId,
}

async fn report(State(control): State<Control>) -> Json<BTreeMap<HostId, Seen>> {
    let mut all = BTreeMap::new();
    for (id, target) in control.targets.iter() {
        let mut target = lock(target);
        all.insert(*id, target.seen.clone());
        target.seen.datagrams = 0;
    }
    Json(all)
}

async fn set_mode(
    State(control): State<Control>,
    Path(id): Path<HostId>,
    word: String,
) -> StatusCode {
    let Some(target) = control.targets.get(&id) else {
        return StatusCode::NOT_FOUND;
    };
    let spec = lock(target).spec.clone();
    let listed = match word.trim() {
        "drain" => Some(wire::Lifecycle::Leaving),
        "ok" => Some(wire::Lifecycle::Live),
        _ => None,
    };
    {
        let mut target = lock(target);
        match word.trim() {
            "ok" | "drain" => target.mode = Mode::Ok,
            "shed" => target.mode = Mode::Shed,
            "hang" => target.mode = Mode::Hang,
            "late" => target.mode = Mode::Late,
            "cold" => {
                target.life += 1;
                target.cold_until = tokio::time::Instant::now() + COLD;
            }
            _ => return StatusCode::BAD_REQUEST,
        }
    }
    if let Some(state) = listed {
        if list(&control.client, &control.domain, &spec, state)
            .await
            .is_err()
        {
            return StatusCode::BAD_GATEWAY;
        }
    }
    StatusCode::NO_CONTENT
}

/// Answers each datagram straight to the caller that its header names.
async fn answer_datagrams(socket: UdpSocket, target: Handle) {
    const DATAGRAM_MAX: usize = 2048;
    let mut buffer = [0; DATAGRAM_MAX];
    loop {
        let Ok((n, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(header) = ppp::v2::Header::try_from(&buffer[..n]) else {
            continue;
        };
        let ppp::v2::Addresses::IPv4(addresses) = header.addresses else {
            continue;
        };
        let caller = SocketAddr::from((addresses.source_address, addresses.source_port));
        let payload = &buffer[header.len()..n];
        let reply = {
            let mut target = lock(&target);
            target.seen.datagrams += 1;
            if payload.first() == Some(&mark::FIRST) {
                target.seen.flows.insert(caller.to_string());
            }
            // The payload names the service that the caller meant.
            let meant = payload.get(13..).unwrap_or_default();
            if meant != target.spec.service.as_str().as_bytes() {
                target.seen.foreign += 1;
            }
            let mut reply = target.spec.id.0.to_be_bytes().to_vec();
            reply.extend_from_slice(payload);
            reply
        };
        let _ = socket.send_to(&reply, caller).await;
    }
}

/// Counts a request as in progress until dropped.
struct Busy(Handle);

impl Drop for Busy {
    fn drop(&mut self) {
        lock(&self.0).busy -= 1;
    }
}

async fn answer(
    State(target): State<Handle>,
    uri: Uri,
    headers: HeaderMap,
    body: String,
) -> Response {
    let key = headers
        .get(header::IDEMPOTENCY_KEY)
        .and_then(|v| v.to_str().ok());
    let (mode, life, busy) = {
        let mut t = lock(&target);
        if t.mode == Mode::Shed || t.busy >= SLOTS {
            if t.mode != Mode::Shed {
                t.seen.over += 1;
            }
            return shed();
        }
        t.busy += 1;
        t.seen.busiest = t.seen.busiest.max(t.busy);
        if t.busy > COLD_SLOTS && tokio::time::Instant::now() < t.cold_until {
            t.seen.over_cold += 1;
        }
        if let Some(key) = key {
            *t.seen.runs.entry(body.clone()).or_default() += 1;
            t.seen.keys.insert(key.into());
        }
        (t.mode, t.life, Busy(target.clone()))
    };
    match mode {
        Mode::Hang => std::future::pending().await,
        Mode::Late => tokio::time::sleep(LATE).await,
        Mode::Ok | Mode::Shed => {}
    }
    let life = [(header::INCARNATION, life.to_string())];
    if uri.path() == "/echo" {
        drop(busy);
        return (life, body).into_response();
    }
    if uri.path() == "/download" {
        return (life, download(busy)).into_response();
    }
    tokio::time::sleep(WORK).await;
    drop(busy);
    (life, body).into_response()
}

fn shed() -> Response {
    let headers = [(header::CODE, "BL116"), ("retry-after", "1")];
    (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

fn download(busy: Busy) -> Body {
    let chunks = futures::stream::unfold((0, busy), |(n, busy)| async move {
        if n == CHUNKS {
            return None;
        }
        tokio::time::sleep(CHUNK_EVERY).await;
        let chunk = Ok::<_, std::io::Error>(vec![b'd'; CHUNK_BYTES]);
        Some((chunk, (n + 1, busy)))
    });
    Body::from_stream(chunks)
}

/// Bytes of a whole download.
pub(crate) const DOWNLOAD_BYTES: usize = CHUNKS * CHUNK_BYTES;
