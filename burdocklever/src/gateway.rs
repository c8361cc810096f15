//! The daemon of a gateway: an entry VM whose packets carry tokens.
//!
//! One thread receives packets and does nothing else, so that no packet waits
//! for the reading of a large catalogue. All else runs on the caller's runtime.

use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use wire::{Address, DomainId, HostId, Lifecycle, Member, Object, Vm, VmId};

use crate::control_plane::{ControlEvent, ControlPlane, ControlState, Environment};
use crate::daemon::{bind_error, new_incarnation, Error, Result};
use crate::exchange;
use crate::forwarder::{CheckRequest, Forwarder, ForwarderConfig};
use crate::gateway_checks::{check_targets, CheckTarget, DOUBTS_MAX};
use crate::gateway_packets::spawn_receiver;
use crate::gateway_settings::GatewaySettings;
use crate::metrics::{Metrics, Sample};
use crate::platform_client::{self, jitter};
use crate::replica::Replica;
use crate::segment::Segment;
use crate::store::{Feed, Store};
use crate::time::{Ms, Time};
use crate::token::Token;

/// Time between looks at the settings file and sweeps of the flows.
const HOUSEKEEPING: Duration = Duration::from_secs(1);
/// Part of a failure domain's time to leave, in percent, for which its flows go
/// on. The rest is for the news to arrive.
const LEAVE_PERCENT: u64 = 80;
/// Time without a packet after which a stopping VM is out of rotation.
const QUIET: Ms = Ms(700);
/// Shortest stop: the fabric asks twice a second and believes the second miss.
const STOP_MIN: Ms = Ms(1500);
/// Part of the time before a stopping VM is killed, in percent, that it uses.
const STOP_PERCENT: u64 = 80;

/// Translation between packets as they travel and as decisions see them.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads a packet.
    pub decode: fn(&[u8]) -> Option<Segment>,
    /// Writes a packet for a target, marked with a token.
    pub forward: fn(&[u8], HostId, Token, &mut Vec<u8>),
    /// Writes a reset of a segment's flow. Gets this VM's address and returns
    /// the one to send to.
    pub reset: fn(&Segment, Address, &mut Vec<u8>) -> Address,
}

/// What a platform's adapter gives.
pub struct Adapter {
    /// Translation of packets.
    pub codec: Codec,
    /// The way to the platform's store.
    pub open_store: OpenStore,
    /// The way to find out whether a target lives.
    pub check: CheckTarget,
}

/// Opens the store that settings name.
pub type OpenStore = Box<dyn Fn(&GatewaySettings) -> platform_client::Result<Store> + Send + Sync>;

/// Counters since the start.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) forwarded: AtomicU64,
    pub(crate) opened: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) dropped: AtomicU64,
    pub(crate) malformed: AtomicU64,
    pub(crate) unsent: AtomicU64,
    pub(crate) calls_failed: AtomicU64,
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) struct Shared {
    pub(crate) forwarder: Mutex<Forwarder>,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) own: Address,
    pub(crate) domain: DomainId,
    pub(crate) codec: Codec,
    pub(crate) started: Instant,
    pub(crate) stopping: AtomicBool,
    /// Milliseconds since the start of the last packet.
    pub(crate) last_packet: AtomicU64,
    /// Targets to check.
    pub(crate) doubts: mpsc::Sender<CheckRequest>,
    pub(crate) counters: Counters,
    pub(crate) metrics: Metrics,
}

impl Shared {
    pub(crate) fn now(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
    }

    pub(crate) fn forwarder(&self) -> MutexGuard<'_, Forwarder> {
        lock(&self.forwarder)
    }
}

/// A panic in one place must not stop packets everywhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Signals that a gateway takes.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Starts to take signals. To be called before anything else: until then
    /// each of them ends the process.
    ///
    /// # Errors
    ///
    /// [`crate::Code::NoBind`] if signals cannot be received.
    pub fn open() -> Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate()).map_err(bind_error)?,
            int: signal(SignalKind::interrupt()).map_err(bind_error)?,
            hup: signal(SignalKind::hangup()).map_err(bind_error)?,
        })
    }
}

/// A running gateway.
pub struct Gateway {
    shared: Arc<Shared>,
    settings: GatewaySettings,
    path: PathBuf,
    changed: Option<SystemTime>,
    open_store: OpenStore,
    control: ControlPlane,
}

impl Gateway {
    /// Binds all addresses and starts to serve with the settings at `path`.
    ///
    /// # Errors
    ///
    /// [`crate::Code::NoBind`] if an address cannot be bound, [`crate::Code::NoPlatform`] if
    /// the store's client cannot be set up.
    pub async fn spawn(
        path: &Path,
        settings: GatewaySettings,
        adapter: Adapter,
    ) -> Result<Gateway> {
        let socket = std::net::UdpSocket::bind(settings.datagram).map_err(bind_error)?;
        socket.set_nonblocking(true).map_err(bind_error)?;
        let forwarder = Forwarder::new(settings.domain.clone(), config(&settings));
        let (doubts, doubtful) = mpsc::channel(DOUBTS_MAX);
        let shared = Arc::new(Shared {
            forwarder: Mutex::new(forwarder),
            socket,
            own: settings.datagram,
            domain: settings.domain.clone(),
            codec: adapter.codec,
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            last_packet: AtomicU64::new(0),
            doubts,
            counters: Counters::default(),
            metrics: Metrics::open().map_err(bind_error)?,
        });
        let store = (adapter.open_store)(&settings).map_err(no_store)?;
        let environment = environment(&shared, store)?;
        let listed = settings.peer.is_some();
        let control =
            ControlPlane::spawn(own_entry(&settings), listed, &settings.seeds, environment);
        let known = control.state();
        if let Some(address) = settings.peer {
            serve(address, exchange::app(known.clone())).await?;
        }
        spawn_receiver(shared.clone()).map_err(bind_error)?;
        serve(settings.ready, ready_app(shared.clone(), known.clone())).await?;
        if let Some(address) = settings.metrics {
            serve(address, metrics_app(shared.clone(), known.clone())).await?;
        }
        tokio::spawn(check_targets(
            shared.clone(),
            known,
            doubtful,
            adapter.check,
        ));
        log::info!(target: "daemon", vm = &*settings.name, domain = settings.domain.as_str();
            "started");
        Ok(Gateway {
            shared,
            changed: modified(path),
            path: path.into(),
            settings,
            open_store: adapter.open_store,
            control,
        })
    }

    /// Serves until SIGTERM or SIGINT, then stops: tells the fabric, forwards
    /// what still arrives and returns once nothing does.
    pub async fn run(mut self, mut signals: Signals) {
        let mut house = tokio::time::interval(HOUSEKEEPING);
        let mut suspects = 0;
        loop {
            tokio::select! {
                _ = signals.term.recv() => break,
                _ = signals.int.recv() => break,
                _ = signals.hup.recv() => self.reload("signal"),
                _ = house.tick() => {
                    if modified(&self.path) != self.changed {
                        self.reload("file changed");
                    }
                    suspects = keep_house(&self.shared, &self.control.state(), suspects);
                }
            }
        }
        self.stop().await;
    }

    async fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        log::info!(target: "daemon", flows = self.shared.forwarder().flow_count(); "stopping");
        let begun = self.shared.now();
        let latest = Ms(self.settings.stop.0 * STOP_PERCENT / 100);
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let now = self.shared.now();
            let last = Time(self.shared.last_packet.load(Ordering::Relaxed));
            let quiet = now.since(last) >= QUIET && now.since(begun) >= STOP_MIN;
            if quiet || now.since(begun) >= latest {
                log::info!(target: "daemon", quiet = quiet, after_ms = now.since(begun).0; "stopped");
                return;
            }
        }
    }

    /// Reads the settings again. Faulty ones change nothing.
    fn reload(&mut self, cause: &str) {
        self.changed = modified(&self.path);
        let fresh = match GatewaySettings::open(&self.path) {
            Ok(fresh) => fresh,
            Err(error) => {
                log::error!(target: "daemon", cause = cause, error = error.to_string().as_str();
                    "settings not reloaded, going on with the old ones");
                return;
            }
        };
        let old = std::mem::replace(&mut self.settings, fresh);
        self.shared.forwarder().set_config(config(&self.settings));
        let rebind = (old.datagram, old.ready, old.metrics)
            != (
                self.settings.datagram,
                self.settings.ready,
                self.settings.metrics,
            );
        if rebind {
            log::warn!(target: "daemon", "listen addresses change only with a restart");
        }
        if old.platform != self.settings.platform {
            match (self.open_store)(&self.settings) {
                Ok(store) => self.control.restart(&self.settings.seeds, store),
                Err(error) => log::error!(target: "daemon", error = error.to_string().as_str();
                    "store of the new settings not opened"),
            }
        }
        log::info!(target: "daemon", cause = cause, changed = old != self.settings;
            "settings reloaded");
    }
}

fn no_store(error: platform_client::Error) -> Error {
    Error {
        code: error.code,
        detail: error.detail,
    }
}

/// This VM's entry: its address is its identity.
fn own_entry(settings: &GatewaySettings) -> Vm {
    let id = match settings.datagram.ip() {
        IpAddr::V4(ip) => VmId(ip.into()),
        IpAddr::V6(ip) => VmId(crate::rendezvous::hash(&ip.octets()) as u32),
    };
    Vm {
        member: Member {
            vm: id,
            incarnation: new_incarnation(),
        },
        domain: settings.domain.clone(),
        datagram: settings.datagram,
        peer: settings.peer.unwrap_or(settings.datagram),
        http: settings.ready,
        state: Lifecycle::Live,
    }
}

/// Connections of the control: HTTP to peers, changes to the forwarder.
fn environment(shared: &Arc<Shared>, store: Store) -> Result<Environment> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .map_err(bind_error)?;
    let (clock, told) = (shared.clone(), shared.clone());
    Ok(Environment {
        store,
        query_peer: Box::new(move |address, request, timeout| {
            Box::pin(exchange::query_peer(
                http.clone(),
                address,
                request,
                timeout,
            ))
        }),
        clock: Box::new(move || clock.now()),
        random: Box::new(jitter),
        on_event: Box::new(move |event| match event {
            ControlEvent::Changed(objects, replica) => adopt(&told, objects, replica),
            ControlEvent::StoreFailed(_) => count(&told.counters.calls_failed),
        }),
    })
}

/// Steers by changed objects.
fn adopt(shared: &Shared, objects: &[Object], replica: &Replica) {
    let now = shared.now();
    let peers = replica.catalogue().vms_in(&shared.domain).count();
    let mut forwarder = shared.forwarder();
    forwarder.set_domain_size(peers as u32);
    for object in objects {
        forwarder.apply(now, object);
    }
    if let Some(at) = replica.confirmed_at(Feed::Routes) {
        forwarder.confirm_routes(at);
    }
    if let Some(revision) = replica.revision(Feed::Hosts) {
        forwarder.set_revision(revision);
    }
}

fn config(settings: &GatewaySettings) -> ForwarderConfig {
    ForwarderConfig {
        evacuation_time: Ms(settings.leave.0 * LEAVE_PERCENT / 100),
        propagation_delay: settings.heartbeat,
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Forgets what is old, and tells when targets stop or start to answer.
fn keep_house(shared: &Shared, known: &ControlState, suspects: usize) -> usize {
    let mut forwarder = shared.forwarder();
    forwarder.sweep(shared.now());
    let found = forwarder.suspect_targets();
    let open = forwarder.available_targets();
    drop(forwarder);
    known.replica().prune_tombstones();
    if found != suspects {
        log::info!(target: "target", suspects = found, before = suspects, open = open;
            "targets that do not answer");
    }
    found
}

async fn serve(address: Address, app: Router) -> Result<()> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(bind_error)?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, app).await {
            log::error!(target: "daemon", error = error.to_string().as_str(); "HTTP server ended");
        }
    });
    Ok(())
}

fn is_ready(shared: &Shared, known: &ControlState) -> bool {
    !shared.stopping.load(Ordering::Relaxed) && known.replica().is_complete()
}

fn ready_app(shared: Arc<Shared>, known: Arc<ControlState>) -> Router {
    let answer = move || {
        let ready = is_ready(&shared, &known);
        async move {
            if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    Router::new().fallback(answer)
}

fn metrics_app(shared: Arc<Shared>, known: Arc<ControlState>) -> Router {
    let answer = move || {
        let text = shared.metrics.encode(sample(&shared, &known));
        async move { text }
    };
    Router::new().route("/metrics", get(answer))
}

fn sample(shared: &Shared, known: &ControlState) -> Sample {
    let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let c = &shared.counters;
    // What is known is locked before the forwarder, never the other way round.
    let ready = is_ready(shared, known);
    let forwarder = shared.forwarder();
    Sample {
        counters: vec![
            ("packets_forwarded", read(&c.forwarded)),
            ("packets_dropped", read(&c.dropped)),
            ("packets_malformed", read(&c.malformed)),
            ("packets_unsent", read(&c.unsent)),
            ("flows_opened", read(&c.opened)),
            ("flows_reset", read(&c.refused)),
            ("store_calls_failed", read(&c.calls_failed)),
        ],
        gauges: vec![
            ("flows", forwarder.flow_count() as u64),
            ("targets_open", forwarder.available_targets() as u64),
            ("targets_suspect", forwarder.suspect_targets() as u64),
            ("ready", u64::from(ready)),
            ("feeds_lost", known.unreachable_feeds() as u64),
        ],
    }
}
