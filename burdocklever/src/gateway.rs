//! The daemon of a gateway: an entry VM whose packets carry tokens.
//!
//! A dedicated thread receives and forwards packets, so that none is delayed
//! while a large catalogue is parsed. Everything else runs on the runtime that
//! [`Gateway::spawn`] is called on.

use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};

use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use wire::{Address, HostId, Member, Object, VmId};

use crate::control_plane::ControlPlane;
use crate::control_state::{ControlEvent, ControlState, Environment};
use crate::daemon::{bind_error, new_incarnation, Error, Result};
use crate::exchange;
use crate::forwarder::{CheckRequest, Forwarder, ForwarderConfig};
use crate::gateway_checks::{check_targets, CheckTarget, CHECK_QUEUE_LEN};
use crate::gateway_packets::{expire_held_packets, release_held_packets, spawn_receiver};
use crate::gateway_settings::GatewaySettings;
use crate::held_packets::HeldPackets;
use crate::join::Start;
use crate::load_table::LoadBudget;
use crate::membership::Peer;
use crate::metrics::{Metrics, Sample};
use crate::platform_client::{self, jitter};
use crate::refusal::{RefusalState, ServiceRoom};
use crate::replica::Replica;
use crate::segment::Segment;
use crate::shortage::ShortageSettings;
use crate::store::{Feed, Store};
use crate::switch::Switch;
use crate::time::{Clock, Ms, Time};
use crate::token::Token;

/// Interval at which the settings file is checked for changes and expired state
/// is dropped.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Percentage of the `leave` limit for which packets are still forwarded into a
/// failure domain that goes out of service. The rest allows for the time until
/// the change reaches this VM.
const EVACUATION_PERCENT: u64 = 80;
/// Time without packets after which a stopping VM exits: the fabric has stopped
/// sending to it.
const DRAINED_AFTER: Ms = Ms(700);
/// Minimum duration of a stop. The fabric probes readiness twice per second and
/// acts on the second failed probe.
const MIN_STOP_TIME: Ms = Ms(1500);
/// Time allowed to tell a peer that this VM stops.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Percentage of the time until a stopping VM is killed after which it stops
/// anyway.
const STOP_PERCENT: u64 = 80;

/// Conversion between packets in the platform's format and segments.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Decodes a packet; none if it is malformed.
    pub decode: fn(&[u8]) -> Option<Segment>,
    /// Encodes a received packet for a target, with the target's token, into the
    /// buffer.
    pub forward: fn(&[u8], HostId, Token, &mut Vec<u8>),
    /// Encodes a reset of a segment's flow into the buffer, given this VM's address.
    /// Returns the address to send it to.
    pub reset: fn(&Segment, Address, &mut Vec<u8>) -> Address,
}

/// The platform-specific parts of a gateway.
pub struct Adapter {
    /// Packet format.
    pub codec: Codec,
    /// Connects to the platform's store.
    pub open_store: OpenStore,
    /// Checks whether a target is alive.
    pub check: CheckTarget,
}

/// Opens the store at the address in the settings.
pub type OpenStore = Box<dyn Fn(&GatewaySettings) -> platform_client::Result<Store> + Send + Sync>;

/// Event counters since the start.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) forwarded: AtomicU64,
    pub(crate) flows_opened: AtomicU64,
    pub(crate) resets: AtomicU64,
    pub(crate) dropped: AtomicU64,
    /// Packets that waited for the catalogue.
    pub(crate) held: AtomicU64,
    pub(crate) malformed: AtomicU64,
    pub(crate) unsent: AtomicU64,
    pub(crate) store_errors: AtomicU64,
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// State shared by the tasks and threads of a gateway.
pub(crate) struct GatewayState {
    pub(crate) forwarder: Mutex<Forwarder>,
    pub(crate) socket: std::net::UdpSocket,
    /// Address that packets are received on.
    pub(crate) address: Address,
    pub(crate) codec: Codec,
    pub(crate) clock: Clock,
    pub(crate) stopping: AtomicBool,
    /// Whether the catalogue is complete, so that packets can be decided on.
    pub(crate) complete: AtomicBool,
    pub(crate) held_packets: Mutex<HeldPackets>,
    /// Time of the last packet, in milliseconds since the start.
    pub(crate) last_packet: AtomicU64,
    /// Queue of targets to check.
    pub(crate) check_queue: mpsc::Sender<CheckRequest>,
    pub(crate) counters: Counters,
    pub(crate) metrics: Metrics,
}

impl GatewayState {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn forwarder(&self) -> MutexGuard<'_, Forwarder> {
        lock(&self.forwarder)
    }
}

/// Locks a mutex even if it is poisoned: a panic in one place must not stop all
/// forwarding.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// OS signals that a gateway handles.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Registers the signal handlers. To be called first: until then, each of
    /// these signals ends the process.
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
    state: Arc<GatewayState>,
    settings: GatewaySettings,
    /// Path of the settings file.
    path: PathBuf,
    /// Modification time of the settings file when it was last read.
    modified: Option<SystemTime>,
    open_store: OpenStore,
    control: ControlPlane,
}

impl Gateway {
    /// Binds all addresses and starts to serve. `path` is the file that `settings`
    /// were read from; it is read again when it changes.
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
        let mut forwarder = Forwarder::new(settings.domain.clone(), config(&settings));
        forwarder.set_load_share(settings.load_share);
        forwarder.set_shortage(settings.shortage);
        let (check_queue, check_requests) = mpsc::channel(CHECK_QUEUE_LEN);
        let state = Arc::new(GatewayState {
            forwarder: Mutex::new(forwarder),
            socket,
            address: settings.datagram,
            codec: adapter.codec,
            clock: Clock::start(),
            stopping: AtomicBool::new(false),
            complete: AtomicBool::new(false),
            held_packets: Mutex::default(),
            last_packet: AtomicU64::new(0),
            check_queue,
            counters: Counters::default(),
            metrics: Metrics::open().map_err(bind_error)?,
        });
        let store = (adapter.open_store)(&settings).map_err(store_error)?;
        let environment = environment(&state, store)?;
        let serves_peers = settings.peer.is_some();
        let control = ControlPlane::spawn(
            own_peer(&settings),
            serves_peers,
            settings.bounds,
            &start(&settings),
            environment,
        );
        let control_state = control.state();
        control_state.set_load_sharing(settings.load_share, settings.load_budget);
        if let Some(address) = settings.peer {
            serve(address, exchange::app(control_state.clone())).await?;
        }
        spawn_receiver(state.clone()).map_err(bind_error)?;
        serve(
            settings.ready,
            ready_app(state.clone(), control_state.clone()),
        )
        .await?;
        if let Some(address) = settings.metrics {
            serve(address, metrics_app(state.clone(), control_state.clone())).await?;
        }
        tokio::spawn(check_targets(
            state.clone(),
            control_state,
            check_requests,
            adapter.check,
        ));
        log::info!(target: "daemon", vm = &*settings.name, domain = settings.domain.as_str();
            "started");
        Ok(Gateway {
            state,
            modified: modified_time(path),
            path: path.into(),
            settings,
            open_store: adapter.open_store,
            control,
        })
    }

    /// Serves until SIGTERM or SIGINT. Then reports that the VM is not ready,
    /// forwards the packets that still arrive and returns once none do, or
    /// shortly before the VM would be killed.
    pub async fn run(mut self, mut signals: Signals) {
        let mut housekeeping = tokio::time::interval(HOUSEKEEPING_INTERVAL);
        let mut suspects = 0;
        let mut rooms = Vec::new();
        loop {
            tokio::select! {
                _ = signals.term.recv() => break,
                _ = signals.int.recv() => break,
                _ = signals.hup.recv() => self.reload("signal"),
                _ = housekeeping.tick() => {
                    if modified_time(&self.path) != self.modified {
                        self.reload("file changed");
                    }
                    suspects = drop_expired(&self.state, &self.control.state(), suspects);
                    rooms = log_rooms(&self.state, rooms);
                    expire_held_packets(&self.state);
                    share_load(&self.state, &self.control.state());
                }
            }
        }
        self.stop().await;
    }

    async fn stop(&self) {
        self.state.stopping.store(true, Ordering::Relaxed);
        log::info!(target: "daemon", flows = self.state.forwarder().flow_count(); "stopping");
        let stop_start = self.state.now();
        if tokio::time::timeout(LEAVE_TIMEOUT, self.control.leave())
            .await
            .is_err()
        {
            log::info!(target: "daemon", "no peer was told of the stop; they will notice it");
        }
        let stop_max = Ms(self.settings.stop_timeout.0 * STOP_PERCENT / 100);
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let now = self.state.now();
            let last = Time(self.state.last_packet.load(Ordering::Relaxed));
            let quiet = now.since(last) >= DRAINED_AFTER && now.since(stop_start) >= MIN_STOP_TIME;
            if quiet || now.since(stop_start) >= stop_max {
                log::info!(target: "daemon", quiet = quiet, after_ms = now.since(stop_start).0; "stopped");
                return;
            }
        }
    }

    /// Reloads the settings file. If it is invalid, the current settings stay in
    /// force.
    fn reload(&mut self, cause: &str) {
        self.modified = modified_time(&self.path);
        let settings = match GatewaySettings::open(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(target: "daemon", cause = cause, error = error.to_string().as_str();
                    "settings not reloaded; keeping the current ones");
                return;
            }
        };
        let old = std::mem::replace(&mut self.settings, settings);
        self.control
            .state()
            .set_load_sharing(self.settings.load_share, self.settings.load_budget);
        let mut forwarder = self.state.forwarder();
        forwarder.set_config(config(&self.settings));
        forwarder.set_load_share(self.settings.load_share);
        forwarder.set_shortage(self.settings.shortage);
        drop(forwarder);
        if fixed_settings(&old) != fixed_settings(&self.settings) {
            log::warn!(target: "daemon",
                "changes to [vm], [listen], [log] and the bounds take effect only after a restart");
        }
        if (old.platform, &old.seeds) != (self.settings.platform, &self.settings.seeds) {
            match (self.open_store)(&self.settings) {
                Ok(store) => self.control.restart(&start(&self.settings), store),
                Err(error) => log::error!(target: "daemon", error = error.to_string().as_str();
                    "cannot open the store of the new settings"),
            }
        }
        log::info!(target: "daemon", cause = cause, changed = old != self.settings;
            "settings reloaded");
    }
}

fn store_error(error: platform_client::Error) -> Error {
    Error {
        code: error.code,
        detail: error.detail,
    }
}

/// The settings without those that a reload puts in force, for comparison: these get
/// the same value whatever they are.
fn fixed_settings(settings: &GatewaySettings) -> GatewaySettings {
    GatewaySettings {
        platform: settings.datagram,
        seeds: Vec::new(),
        first_start: false,
        evacuation_time: Ms(0),
        heartbeat_interval: Ms(0),
        stop_timeout: Ms(0),
        load_share: Switch::Auto,
        load_budget: LoadBudget::default(),
        shortage: ShortageSettings::default(),
        ..settings.clone()
    }
}

fn start(settings: &GatewaySettings) -> Start {
    Start {
        seeds: settings.seeds.clone(),
        first: settings.first_start,
    }
}

/// This VM as its peers know it. Its ID is derived from its address.
fn own_peer(settings: &GatewaySettings) -> Peer {
    let id = match settings.datagram.ip() {
        IpAddr::V4(ip) => VmId(ip.into()),
        IpAddr::V6(ip) => VmId(crate::rendezvous::hash(&ip.octets()) as u32),
    };
    Peer {
        member: Member {
            vm: id,
            incarnation: new_incarnation(),
        },
        domain: settings.domain.clone(),
        address: settings.peer.unwrap_or(settings.datagram),
        link: settings.link,
    }
}

/// Environment of the control plane: sends HTTP requests to peers and passes
/// changes on to the forwarder.
fn environment(state: &Arc<GatewayState>, store: Store) -> Result<Environment> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .map_err(bind_error)?;
    let (clock_state, event_state) = (state.clone(), state.clone());
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
        clock: Box::new(move || clock_state.now()),
        random: Box::new(jitter),
        on_event: Box::new(move |event| match event {
            ControlEvent::Changed(objects, replica) => {
                apply_changes(&event_state, objects, replica)
            }
            ControlEvent::DomainSize(vms) => event_state.forwarder().set_domain_size(vms as u32),
            ControlEvent::StoreFailed(_) => increment(&event_state.counters.store_errors),
        }),
    })
}

/// Applies changed catalogue objects to the forwarder.
fn apply_changes(state: &GatewayState, objects: &[Object], replica: &Replica) {
    let now = state.now();
    let mut forwarder = state.forwarder();
    for object in objects {
        forwarder.apply(now, object);
    }
    if let Some(at) = replica.confirmed_at(Feed::Routes) {
        forwarder.confirm_routes(at);
    }
    if let Some(revision) = replica.revision(Feed::Hosts) {
        forwarder.set_revision(revision);
    }
    drop(forwarder);
    if replica.is_complete() && !state.complete.load(Ordering::Relaxed) {
        release_held_packets(state);
    }
}

fn config(settings: &GatewaySettings) -> ForwarderConfig {
    ForwarderConfig {
        evacuation_time: Ms(settings.evacuation_time.0 * EVACUATION_PERCENT / 100),
        propagation_delay: settings.heartbeat_interval,
        max_route_age: settings.bounds.max_age(Feed::Routes),
    }
}

fn modified_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Drops expired state, and logs a change in the number of suspect targets.
/// Returns that number.
fn drop_expired(state: &GatewayState, control_state: &ControlState, suspects: usize) -> usize {
    let mut forwarder = state.forwarder();
    forwarder.sweep(state.now());
    let new_suspects = forwarder.suspect_targets();
    let available = forwarder.available_targets();
    drop(forwarder);
    control_state.replica().prune_tombstones();
    if new_suspects != suspects {
        log::info!(target: "target", suspects = new_suspects, before = suspects, open = available;
            "targets that do not answer");
    }
    new_suspects
}

/// Exchanges this VM's figures on the load of targets for those of all VMs.
fn share_load(state: &GatewayState, control_state: &ControlState) {
    let now = state.now();
    let own = state.forwarder().own_load(now);
    let shared = control_state.exchange_load(own);
    state.forwarder().set_shared_load(now, shared);
}

/// Logs the services that begin or cease to refuse flows, and those that refuse none
/// for another reason than room. Returns the present state.
fn log_rooms(state: &GatewayState, before: Vec<ServiceRoom>) -> Vec<ServiceRoom> {
    let rooms = state.forwarder().rooms(state.now());
    for room in &rooms {
        let earlier = before.iter().find(|r| r.service == room.service);
        let earlier = earlier.map(|r| &r.state);
        if earlier == Some(&room.state) {
            continue;
        }
        let (service, occupancy) = (&*room.service, room.occupancy.unwrap_or(0));
        match (&room.state, earlier) {
            (RefusalState::Off(reason), _) => {
                log::info!(target: "shortage", service = service, cause = *reason;
                    "refuses no flows for lack of room");
            }
            (RefusalState::Short, _) => {
                log::warn!(target: "shortage", service = service, occupancy = occupancy,
                    age_ms = room.age.0; "shortage of room begins");
            }
            (RefusalState::Room, Some(RefusalState::Short)) => {
                log::info!(target: "shortage", service = service, occupancy = occupancy,
                    age_ms = room.age.0; "shortage of room ends");
            }
            (RefusalState::Room, _) => {
                log::info!(target: "shortage", service = service, occupancy = occupancy,
                    age_ms = room.age.0; "refuses flows when room is short");
            }
        }
    }
    rooms
}

async fn serve(address: Address, app: Router) -> Result<()> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(bind_error)?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, app).await {
            log::error!(target: "daemon", error = error.to_string().as_str(); "HTTP server failed");
        }
    });
    Ok(())
}

fn is_ready(state: &GatewayState, control_state: &ControlState) -> bool {
    !state.stopping.load(Ordering::Relaxed) && control_state.replica().is_complete()
}

fn ready_app(state: Arc<GatewayState>, control_state: Arc<ControlState>) -> Router {
    let handler = move || {
        let ready = is_ready(&state, &control_state);
        async move {
            if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    Router::new().fallback(handler)
}

fn metrics_app(state: Arc<GatewayState>, control_state: Arc<ControlState>) -> Router {
    let handler = move || {
        let text = state.metrics.encode(sample(&state, &control_state));
        async move { text }
    };
    Router::new().route("/metrics", get(handler))
}

fn sample(state: &GatewayState, control_state: &ControlState) -> Sample {
    let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let c = &state.counters;
    // Lock order: the control state before the forwarder.
    let ready = is_ready(state, control_state);
    let era = u64::from(control_state.store_era());
    let config_number = control_state.config_number();
    let deferred = control_state.deferred_changes();
    let load_stats = control_state.load_stats();
    let forwarder = state.forwarder();
    Sample {
        counters: vec![
            ("packets_forwarded", load(&c.forwarded)),
            ("packets_dropped", load(&c.dropped)),
            ("packets_held", load(&c.held)),
            ("packets_malformed", load(&c.malformed)),
            ("packets_unsent", load(&c.unsent)),
            ("flows_opened", load(&c.flows_opened)),
            ("flows_reset", load(&c.resets)),
            ("store_calls_failed", load(&c.store_errors)),
            ("load_bytes_sent", load_stats.bytes_sent),
            ("load_entries_refused", load_stats.entries_refused),
        ],
        gauges: vec![
            ("flows", forwarder.flow_count() as u64),
            ("targets_open", forwarder.available_targets() as u64),
            ("targets_suspect", forwarder.suspect_targets() as u64),
            ("ready", u64::from(ready)),
            ("feeds_lost", control_state.failing_feeds() as u64),
            ("store_era", era),
            ("config_number", config_number),
            ("changes_deferred", deferred as u64),
            ("load_targets", load_stats.targets),
            ("load_vms", load_stats.vms),
            ("load_age_ms", load_stats.age.0),
        ],
        refused: forwarder.refused_flows(),
        rooms: forwarder.rooms(state.now()),
    }
}
