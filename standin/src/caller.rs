//! Stand-in for callers: long datagram flows, requests and downloads.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::Instant;
use wire::{header, mark, HostId, ServiceId};

use crate::target::DOWNLOAD_BYTES;

/// Time between datagrams of a flow.
const DATAGRAM_EVERY: Duration = Duration::from_millis(200);
/// Time to wait for the answer to a datagram.
const DATAGRAM_WAIT: Duration = Duration::from_millis(600);
/// Datagrams without an answer after which a flow counts as broken.
const SILENT_MAX: u32 = 6;
/// First datagrams sent before opening a flow fails.
const OPEN_TRIES: u32 = 8;
/// Time for which a caller goes on with one request.
const REQUEST_LIFE: Duration = Duration::from_secs(12);
/// Time that a caller waits for one answer.
const REQUEST_WAIT: Duration = Duration::from_secs(6);
/// Time after which a download counts as broken off.
const DOWNLOAD_WAIT: Duration = Duration::from_secs(15);
/// Longest pause that a caller keeps, whatever it is told.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// A service and the address that callers reach it at.
#[derive(Debug, Clone)]
pub(crate) struct At {
    service: ServiceId,
    address: SocketAddr,
}

impl FromStr for At {
    type Err = String;

    fn from_str(s: &str) -> Result<At, String> {
        let fail = || format!("expected SERVICE@ADDRESS, found `{s}`");
        let (service, address) = s.split_once('@').ok_or_else(fail)?;
        Ok(At {
            service: service.parse().map_err(|_| fail())?,
            address: address.parse().map_err(|_| fail())?,
        })
    }
}

/// What callers do.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Plan {
    /// Service for flows and for requests that may not be repeated
    #[bpaf(long, argument("SERVICE@ADDRESS"))]
    once: At,
    /// Service for other requests and downloads
    #[bpaf(long, argument("SERVICE@ADDRESS"))]
    plain: At,
    /// Flows
    #[bpaf(long, argument("N"))]
    flows: u32,
    /// Requests a second to each service
    #[bpaf(long, argument("N"))]
    rate: u32,
    /// Downloads at a time
    #[bpaf(long, argument("N"))]
    downloads: u32,
    /// Seconds to run
    #[bpaf(long, argument("N"))]
    seconds: u64,
    /// Name that tells these callers' requests from others'
    #[bpaf(long, argument("NAME"))]
    name: String,
    /// Callers make their own idempotency keys
    #[bpaf(long)]
    own_keys: bool,
}

/// A flow that stopped being answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Broken {
    /// Target that it went to.
    pub(crate) host: HostId,
    /// Seconds since the start.
    pub(crate) at: f64,
}

/// What callers saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Flows opened.
    pub(crate) opened: u64,
    /// Flows that could not be opened.
    pub(crate) unopened: u64,
    /// Flows that broke.
    pub(crate) broken: Vec<Broken>,
    /// Flows answered by another target than before.
    pub(crate) moved: u64,
    /// Requests made.
    pub(crate) requests: u64,
    /// Requests answered.
    pub(crate) answered: u64,
    /// Refusals, each followed by another try.
    pub(crate) refused: u64,
    /// Requests that ended with an unknown outcome.
    pub(crate) unknown: u64,
    /// Requests that ended without an answer although they could be tried again.
    pub(crate) unserved: u64,
    /// Answers that belong to another request.
    pub(crate) crossed: u64,
    /// Keys that callers were told never ran.
    pub(crate) not_run: Vec<String>,
    /// Downloads finished.
    pub(crate) downloads: u64,
    /// Downloads that broke off.
    pub(crate) cut: u64,
    /// Microseconds that answered requests took.
    pub(crate) micros: Vec<u64>,
}

type Handle = Arc<Mutex<Report>>;

fn lock(report: &Handle) -> MutexGuard<'_, Report> {
    report.lock().unwrap_or_else(|e| e.into_inner())
}

/// Runs a plan and prints the report as JSON.
pub(crate) async fn run(plan: Plan) -> std::io::Result<()> {
    let report = Handle::default();
    let started = Instant::now();
    let end = started + Duration::from_secs(plan.seconds);
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..plan.flows {
        tasks.spawn(flow(plan.once.clone(), n, started, end, report.clone()));
        if n % 20 == 19 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    for n in 0..plan.downloads {
        tasks.spawn(downloads(plan.plain.clone(), n, end, report.clone()));
    }
    let http = reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .build()
        .map_err(std::io::Error::other)?;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / plan.rate.max(1));
    let mut n = 0u64;
    while Instant::now() < end && plan.rate > 0 {
        interval.tick().await;
        n += 1;
        let body = format!("{}-{n}", plan.name);
        let own_key = plan.own_keys.then(|| format!("key-{body}"));
        tasks.spawn(request(
            http.clone(),
            plan.once.clone(),
            body,
            true,
            own_key,
            report.clone(),
        ));
        let body = format!("{}-plain-{n}", plan.name);
        tasks.spawn(request(
            http.clone(),
            plan.plain.clone(),
            body,
            false,
            None,
            report.clone(),
        ));
    }
    while tasks.join_next().await.is_some() {}
    let text = serde_json::to_string(&*lock(&report)).map_err(std::io::Error::other)?;
    println!("{text}");
    Ok(())
}

fn payload(mark: u8, flow: u32, seq: u32, service: &ServiceId) -> Vec<u8> {
    let mut bytes = vec![mark];
    bytes.extend_from_slice(&u64::from(flow).to_be_bytes());
    bytes.extend_from_slice(&seq.to_be_bytes());
    bytes.extend_from_slice(service.as_str().as_bytes());
    bytes
}

/// Sends a datagram and waits for its answer. Returns the target's identity.
async fn exchange(socket: &UdpSocket, at: &At, payload: &[u8]) -> Option<HostId> {
    const REPLY_MAX: usize = 256;
    socket.send_to(payload, at.address).await.ok()?;
    let mut buffer = [0; REPLY_MAX];
    let answer = async {
        loop {
            let (n, _) = socket.recv_from(&mut buffer).await.ok()?;
            if n > 8 && &buffer[8..n] == payload {
                let id = buffer[..8].try_into().ok()?;
                return Some(HostId(u64::from_be_bytes(id)));
            }
        }
    };
    tokio::time::timeout(DATAGRAM_WAIT, answer).await.ok()?
}

/// One flow from its first datagram to its last.
async fn flow(at: At, n: u32, started: Instant, end: Instant, report: Handle) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else {
        return;
    };
    let mut host = None;
    for _ in 0..OPEN_TRIES {
        host = exchange(&socket, &at, &payload(mark::FIRST, n, 0, &at.service)).await;
        if host.is_some() {
            break;
        }
    }
    let Some(host) = host else {
        lock(&report).unopened += 1;
        return;
    };
    lock(&report).opened += 1;
    let mut silent = 0;
    let mut seq = 0;
    while Instant::now() < end {
        seq += 1;
        match exchange(&socket, &at, &payload(mark::LATER, n, seq, &at.service)).await {
            Some(other) if other != host => {
                lock(&report).moved += 1;
                return;
            }
            Some(_) => silent = 0,
            None => silent += 1,
        }
        if silent >= SILENT_MAX {
            let at = started.elapsed().as_secs_f64();
            lock(&report).broken.push(Broken { host, at });
            return;
        }
        tokio::time::sleep(DATAGRAM_EVERY).await;
    }
    exchange(&socket, &at, &payload(mark::LAST, n, seq + 1, &at.service)).await;
}

/// How one try at a request ended.
enum Tried {
    Answered(String),
    /// Come back, with the same key or with a new one.
    Refused(Duration, bool),
    /// The request needs this key.
    NeedKey(String),
    Unknown(Duration),
    Final,
}

async fn try_request(http: &reqwest::Client, at: &At, body: &str, key: Option<&str>) -> Tried {
    let url = format!("http://{}/work", at.address);
    let mut request = http
        .post(url)
        .timeout(REQUEST_WAIT)
        .header(header::SERVICE, at.service.as_str())
        .header(header::DEADLINE, "5000")
        .body(body.to_string());
    if let Some(key) = key {
        request = request.header(header::IDEMPOTENCY_KEY, key);
    }
    let reply = match request.send().await {
        Ok(reply) => reply,
        Err(error) if error.is_connect() => {
            return Tried::Refused(Duration::from_millis(200), false);
        }
        Err(_) => return Tried::Unknown(Duration::from_millis(200)),
    };
    let text = |name: &str| {
        let value = reply.headers().get(name)?;
        Some(value.to_str().ok()?.to_string())
    };
    let after = text("retry-after").and_then(|t| t.parse().ok());
    let after = Duration::from_secs(after.unwrap_or(1)).min(PAUSE_MAX);
    match text(header::CODE).as_deref() {
        None => match reply.text().await {
            Ok(text) => Tried::Answered(text),
            Err(_) => Tried::Unknown(after),
        },
        Some("BL101") => match text(header::NEXT_IDEMPOTENCY_KEY) {
            Some(key) => Tried::NeedKey(key),
            None => Tried::Final,
        },
        Some("BL111") => Tried::Refused(after, true),
        Some("BL112") => Tried::Unknown(after),
        Some("BL113") => Tried::Final,
        Some(_) => Tried::Refused(after, false),
    }
}

/// One request, tried again as the answers tell, until it is answered or its
/// time is up. One that may have run is only ever repeated with its own key.
async fn request(
    http: reqwest::Client,
    at: At,
    body: String,
    once: bool,
    own_key: Option<String>,
    report: Handle,
) {
    lock(&report).requests += 1;
    let started = Instant::now();
    let mut key = own_key;
    let mut generation = 0;
    let mut unknown = false;
    while started.elapsed() < REQUEST_LIFE {
        let pause = match try_request(&http, &at, &body, key.as_deref()).await {
            Tried::Answered(text) => {
                let mut report = lock(&report);
                report.answered += 1;
                report.crossed += u64::from(text != body);
                report.micros.push(started.elapsed().as_micros() as u64);
                return;
            }
            Tried::NeedKey(new) => {
                key = Some(new);
                continue;
            }
            Tried::Refused(after, new_key) => {
                lock(&report).refused += 1;
                if new_key && once {
                    generation += 1;
                    let next = own_key_again(&body, generation, &key);
                    let old = std::mem::replace(&mut key, next);
                    lock(&report).not_run.extend(old);
                }
                after
            }
            Tried::Unknown(after) => {
                unknown |= once && key.is_some();
                after
            }
            Tried::Final => {
                lock(&report).unknown += 1;
                return;
            }
        };
        tokio::time::sleep(pause).await;
    }
    let mut report = lock(&report);
    if unknown {
        report.unknown += 1;
    } else {
        report.unserved += 1;
    }
}

/// A caller that makes its own keys makes another; one that is issued keys
/// asks for a fresh one by sending none.
fn own_key_again(body: &str, generation: u32, old: &Option<String>) -> Option<String> {
    let own = old.as_ref().is_some_and(|k| k.starts_with("key-"));
    own.then(|| format!("key-{body}-{generation}"))
}

/// Downloads one after another.
async fn downloads(at: At, n: u32, end: Instant, report: Handle) {
    let Ok(http) = reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .build()
    else {
        return;
    };
    tokio::time::sleep(Duration::from_millis(u64::from(n) * 300)).await;
    while Instant::now() < end {
        let url = format!("http://{}/download", at.address);
        let request = http
            .get(url)
            .timeout(DOWNLOAD_WAIT)
            .header(header::SERVICE, at.service.as_str());
        let reply = match request.send().await {
            Ok(reply) if reply.status().is_success() => reply,
            _ => {
                tokio::time::sleep(Duration::from_millis(300)).await;
                continue;
            }
        };
        let whole = reply.bytes().await.is_ok_and(|b| b.len() == DOWNLOAD_BYTES);
        let mut report = lock(&report);
        if whole {
            report.downloads += 1;
        } else {
            report.cut += 1;
        }
    }
}
