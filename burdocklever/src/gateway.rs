//! The daemon of a gateway: an entry VM whose packets carry tokens.
//!
//! One thread receives packets and does nothing else, so that no packet waits
//! for the reading of a large catalogue. All else runs on the caller's runtime.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::JoinSet;
use wire::{Address, Body, DomainId, HostId, Member, Object, ObjectKey, State, Vm, VmId};

use crate::book::{Book, Update};
use crate::code::Code;
use crate::daemon::{no_bind, start_life, Error, Result};
use crate::exchange::{self, Question};
use crate::follow::{follow, register, register_pause, News, Reader};
use crate::gateway_settings::GatewaySettings;
use crate::metrics::{Metrics, Sample};
use crate::platform;
use crate::relay::{self, age_max, Relay};
use crate::segment::{Segment, Verdict};
use crate::steer::{Bounds, Steering};
use crate::store::{Entry, Feed, Store};
use crate::time::{Ms, Time};
use crate::token::Token;

/// Largest packet in bytes: 32 of header and 1200 of data, with room to see
/// that one is too long.
const PACKET_MAX: usize = 2048;
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
/// Time that seeds have to answer a VM that starts before it reads the store.
/// They answer in about 5 ms.
const SEED_WAIT: Duration = Duration::from_millis(15);
/// Time between looks at the VM that this one looks after, and looks without
/// an answer after which its entry is removed: more than a failure domain is
/// cut off for, usually.
const LOOK: Duration = Duration::from_secs(30);
const LOOKS: u32 = 6;
/// Time that a VM takes to read from the store what a peer would not tell.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Pause before a peer is asked again after one failed.
const PEER_RETRY: Duration = Duration::from_millis(100);

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

/// Opens the store that settings name.
pub type OpenStore = Box<dyn Fn(&GatewaySettings) -> platform::Result<Store> + Send + Sync>;

/// Counters since the start.
#[derive(Debug, Default)]
struct Counters {
    forwarded: AtomicU64,
    opened: AtomicU64,
    refused: AtomicU64,
    dropped: AtomicU64,
    malformed: AtomicU64,
    unsent: AtomicU64,
    calls_failed: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

struct Shared {
    steering: Mutex<Steering>,
    book: Arc<Mutex<Book>>,
    /// Counts changes of the book, for peers that wait for one.
    changes: tokio::sync::watch::Sender<u64>,
    /// Whether this VM reads the store itself.
    direct: tokio::sync::watch::Sender<bool>,
    http: reqwest::Client,
    socket: UdpSocket,
    own: Address,
    domain: DomainId,
    codec: Codec,
    started: Instant,
    stopping: AtomicBool,
    /// Feeds whose store does not answer.
    lost: Mutex<BTreeSet<Feed>>,
    /// Milliseconds since the start of the last packet.
    last_packet: AtomicU64,
    counters: Counters,
    metrics: Metrics,
}

impl Shared {
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
    }

    fn steering(&self) -> MutexGuard<'_, Steering> {
        lock(&self.steering)
    }

    fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && lock(&self.book).is_complete()
    }
}

/// A panic in one place must not stop packets everywhere.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
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
    /// [`Code::NoBind`] if signals cannot be received.
    pub fn open() -> Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate()).map_err(no_bind)?,
            int: signal(SignalKind::interrupt()).map_err(no_bind)?,
            hup: signal(SignalKind::hangup()).map_err(no_bind)?,
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
    feeds: JoinSet<()>,
    vm: Vm,
}

impl Gateway {
    /// Binds all addresses and starts to serve with the settings at `path`.
    ///
    /// # Errors
    ///
    /// [`Code::NoBind`] if an address cannot be bound, [`Code::NoPlatform`] if
    /// the store's client cannot be set up.
    pub async fn spawn(
        path: &Path,
        settings: GatewaySettings,
        codec: Codec,
        open_store: OpenStore,
    ) -> Result<Gateway> {
        let packets = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .map_err(no_bind)?;
        let socket = {
            // The socket belongs to the runtime that reads it.
            let _guard = packets.enter();
            let socket = std::net::UdpSocket::bind(settings.datagram).map_err(no_bind)?;
            socket.set_nonblocking(true).map_err(no_bind)?;
            UdpSocket::from_std(socket).map_err(no_bind)?
        };
        let steering = Steering::new(settings.domain.clone(), bounds(&settings));
        let shared = Arc::new(Shared {
            steering: Mutex::new(steering),
            book: Arc::default(),
            changes: tokio::sync::watch::Sender::new(0),
            direct: tokio::sync::watch::Sender::new(false),
            http: peer_client()?,
            socket,
            own: settings.datagram,
            domain: settings.domain.clone(),
            codec,
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            lost: Mutex::default(),
            last_packet: AtomicU64::new(0),
            counters: Counters::default(),
            metrics: Metrics::open().map_err(no_bind)?,
        });
        let mut gateway = Gateway {
            shared: shared.clone(),
            changed: modified(path),
            path: path.into(),
            vm: own_entry(&settings),
            settings,
            open_store,
            feeds: JoinSet::new(),
        };
        if let Some(address) = gateway.settings.peer {
            serve(address, peer_app(shared.clone())).await?;
        }
        gateway.follow_all()?;
        let receiver = receive(shared.clone());
        std::thread::Builder::new()
            .name("packets".into())
            .spawn(move || packets.block_on(receiver))
            .map_err(no_bind)?;
        serve(gateway.settings.ready, ready_app(shared.clone())).await?;
        if let Some(address) = gateway.settings.metrics {
            serve(address, metrics_app(shared)).await?;
        }
        log::info!(target: "daemon", vm = &*gateway.settings.name,
            domain = gateway.settings.domain.as_str(); "started");
        Ok(gateway)
    }

    fn follow_all(&mut self) -> Result<()> {
        let store = (self.open_store)(&self.settings).map_err(|e| Error {
            code: e.code,
            detail: e.detail,
        })?;
        let store = Arc::new(store);
        for feed in Feed::ALL {
            let direct = self.shared.direct.subscribe();
            let reader = reader(&self.shared, store.clone());
            self.feeds.spawn(follow(reader, feed, direct));
        }
        let relay = Relay::new(self.vm.member.vm, self.settings.domain.clone());
        let seeds = self.settings.seeds.clone();
        self.feeds
            .spawn(ask_peers(self.shared.clone(), relay, seeds));
        if self.settings.peer.is_some() {
            self.feeds.spawn(keep_entry(store.clone(), self.vm.clone()));
            let own = self.vm.member.vm;
            self.feeds
                .spawn(look_after_next(self.shared.clone(), store, own));
        }
        Ok(())
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
                    suspects = keep_house(&self.shared, suspects);
                }
            }
        }
        self.stop().await;
    }

    async fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        log::info!(target: "daemon", flows = self.shared.steering().flows(); "stopping");
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
        self.shared.steering().set_bounds(bounds(&self.settings));
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
            self.feeds.abort_all();
            if let Err(error) = self.follow_all() {
                log::error!(target: "daemon", error = error.to_string().as_str();
                    "store of the new settings not opened");
            }
        }
        log::info!(target: "daemon", cause = cause, changed = old != self.settings;
            "settings reloaded");
    }
}

fn bounds(settings: &GatewaySettings) -> Bounds {
    Bounds {
        leave: Ms(settings.leave.0 * LEAVE_PERCENT / 100),
        lag: settings.heartbeat,
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Forgets what is old, and tells when targets stop or start to answer.
fn keep_house(shared: &Shared, suspects: usize) -> usize {
    let mut steering = shared.steering();
    steering.sweep(shared.now());
    let found = steering.suspects();
    let open = steering.open_targets();
    drop(steering);
    if found != suspects {
        log::info!(target: "target", suspects = found, before = suspects, open = open;
            "targets that do not answer");
    }
    found
}

async fn serve(address: Address, app: Router) -> Result<()> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(no_bind)?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, app).await {
            log::error!(target: "daemon", error = error.to_string().as_str(); "HTTP server ended");
        }
    });
    Ok(())
}

fn ready_app(shared: Arc<Shared>) -> Router {
    let answer = move || {
        let ready = shared.is_ready();
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

fn metrics_app(shared: Arc<Shared>) -> Router {
    let answer = move || {
        let text = shared.metrics.text(sample(&shared));
        async move { text }
    };
    Router::new().route("/metrics", get(answer))
}

fn sample(shared: &Shared) -> Sample {
    let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let c = &shared.counters;
    let steering = shared.steering();
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
            ("flows", steering.flows() as u64),
            ("targets_open", steering.open_targets() as u64),
            ("targets_suspect", steering.suspects() as u64),
            ("ready", u64::from(shared.is_ready())),
            ("feeds_lost", lock(&shared.lost).len() as u64),
        ],
    }
}

fn peer_client() -> Result<reqwest::Client> {
    let client = reqwest::Client::builder().no_proxy();
    client.build().map_err(no_bind)
}

/// This VM's entry: its address is its identity.
fn own_entry(settings: &GatewaySettings) -> Vm {
    let id = match settings.datagram.ip() {
        IpAddr::V4(ip) => VmId(ip.into()),
        IpAddr::V6(ip) => VmId(crate::rank::hash(&ip.octets()) as u32),
    };
    let peer = settings.peer.unwrap_or(settings.datagram);
    Vm {
        member: Member {
            vm: id,
            life: start_life(),
        },
        domain: settings.domain.clone(),
        datagram: settings.datagram,
        peer,
        http: settings.ready,
        state: State::Live,
    }
}

/// Writes this VM's entry until the store has taken it.
async fn keep_entry(store: Arc<Store>, vm: Vm) {
    let mut failed = 0;
    while let Err(error) = register(&store, Entry::Write(vm.clone())).await {
        if failed == 0 {
            log::warn!(target: "store", error = error.to_string().as_str();
                "own entry not written yet");
        }
        failed += 1;
        tokio::time::sleep(register_pause(failed)).await;
    }
}

/// Removes the entry of the next VM in the ring if it is gone for good: nobody
/// else would, since entries do not lapse.
async fn look_after_next(shared: Arc<Shared>, store: Arc<Store>, own: VmId) {
    let mut missed = (VmId(0), 0);
    loop {
        tokio::time::sleep(LOOK).await;
        let next = relay::successor(own, lock(&shared.book).catalogue());
        let Some(next) = next else {
            continue;
        };
        let id = next.member.vm;
        let question = Question {
            from: lock(&shared.book).all_through(),
            wait: Ms(0),
        };
        if exchange::ask(&shared.http, next.peer, &question)
            .await
            .is_ok()
        {
            missed = (id, 0);
            continue;
        }
        missed = if missed.0 == id {
            (id, missed.1 + 1)
        } else {
            (id, 1)
        };
        if missed.1 < LOOKS {
            continue;
        }
        let version = lock(&shared.book)
            .catalogue()
            .version(&ObjectKey::new("vm", id));
        match register(&store, Entry::Remove(id, version)).await {
            Ok(()) => log::info!(target: "peer", vm = id.0; "entry of a VM that is gone removed"),
            Err(error) => log::warn!(target: "peer", vm = id.0, error = error.to_string().as_str();
                "entry of a VM that is gone not removed"),
        }
    }
}

fn peer_app(shared: Arc<Shared>) -> Router {
    let changed = shared.changes.subscribe();
    let update = move |question: &Question| {
        let now = shared.now();
        let book = lock(&shared.book);
        let fresh = book.fresh_for(now, age_max) > Ms(0);
        fresh.then(|| book.update(now, &question.from))
    };
    exchange::app(exchange::Source {
        update: Box::new(update),
        changed,
    })
}

/// Asks peers for the catalogue, and has the store read while none knows it
/// well enough.
async fn ask_peers(shared: Arc<Shared>, mut relay: Relay, seeds: Vec<Address>) {
    ask_seeds(&shared, &seeds).await;
    let mut asked: Option<VmId> = None;
    loop {
        let now = shared.now();
        let source = relay.source(now, lock(&shared.book).catalogue());
        let next = source.as_ref().map(|vm| vm.member.vm);
        if next != asked {
            log::info!(target: "peer", from = asked.map_or(0, |v| v.0), to = next.map_or(0, |v| v.0);
                "source of the catalogue changes; 0 is the store");
            asked = next;
        }
        let Some(vm) = source else {
            read_store(&shared, true);
            tokio::time::sleep(Duration::from_millis(exchange::WAIT.0)).await;
            continue;
        };
        let question = Question {
            from: lock(&shared.book).all_through(),
            wait: exchange::WAIT,
        };
        let fresh = lock(&shared.book).fresh_for(now, age_max);
        let asked = exchange::ask(&shared.http, vm.peer, &question);
        match within(fresh, asked).await {
            Ok(update) => learn_from_peer(&shared, update),
            Err(error) if error.code == Code::TooMuch => {
                read_store(&shared, true);
                tokio::time::sleep(CATCH_UP).await;
                continue;
            }
            Err(error) => {
                relay.suspect(shared.now(), vm.member.vm);
                log::info!(target: "peer", vm = vm.member.vm.0, error = error.to_string().as_str();
                    "peer passed over for a while");
                tokio::time::sleep(PEER_RETRY.min(Duration::from_millis(fresh.0))).await;
            }
        }
        let fresh = lock(&shared.book).fresh_for(shared.now(), age_max);
        read_store(&shared, fresh == Ms(0));
    }
}

/// Waits for a peer's answer while what is known is fresh, and at least for
/// [`SEED_WAIT`].
async fn within(
    fresh: Ms,
    asked: impl std::future::Future<Output = platform::Result<Update>>,
) -> platform::Result<Update> {
    let limit = Duration::from_millis(fresh.0).max(SEED_WAIT);
    match tokio::time::timeout(limit, asked).await {
        Ok(answer) => answer,
        Err(_) => Err(platform::Error {
            code: Code::NoPeer,
            detail: format!("no answer within {limit:?}").into(),
        }),
    }
}

/// Starts or stops to read the store.
fn read_store(shared: &Shared, on: bool) {
    let changed = shared
        .direct
        .send_if_modified(|direct| std::mem::replace(direct, on) != on);
    if changed {
        log::info!(target: "peer", direct = on; "reads the store itself");
    }
}

/// Asks all seeds at once, and goes on with the first answer, or without one.
async fn ask_seeds(shared: &Arc<Shared>, seeds: &[Address]) {
    let mut asked = JoinSet::new();
    for seed in seeds.iter().copied() {
        let http = shared.http.clone();
        let question = Question {
            from: Default::default(),
            wait: Ms(0),
        };
        asked.spawn(async move { exchange::ask(&http, seed, &question).await });
    }
    let first = async {
        while let Some(answer) = asked.join_next().await {
            if let Ok(Ok(update)) = answer {
                return Some(update);
            }
        }
        None
    };
    match tokio::time::timeout(SEED_WAIT, first).await {
        Ok(Some(update)) => learn_from_peer(shared, update),
        _ => read_store(shared, true),
    }
}

fn learn_from_peer(shared: &Shared, update: Update) {
    let now = shared.now();
    let fresh = lock(&shared.book).learn(now, update);
    adopt(shared, &fresh, 0);
}

/// Ends of what follows the store: the book, and what becomes of its changes.
fn reader(shared: &Arc<Shared>, store: Arc<Store>) -> Reader {
    let clock = shared.clone();
    let told = shared.clone();
    Reader {
        store,
        book: shared.book.clone(),
        clock: Box::new(move || clock.now()),
        tell: Box::new(move |feed, news| hear(&told, feed, news)),
    }
}

/// Takes in what following a feed told.
fn hear(shared: &Shared, feed: Feed, news: News) {
    match news {
        News::Changed(objects, skipped) => adopt(shared, &objects, skipped),
        News::Lost(error) => {
            count(&shared.counters.calls_failed);
            if lock(&shared.lost).insert(feed) {
                log::warn!(target: "store", feed = feed.to_string().as_str(),
                    error = error.to_string().as_str();
                    "store lost, going on with what is known");
            }
        }
        News::Regained => {
            if lock(&shared.lost).remove(&feed) {
                log::info!(target: "store", feed = feed.to_string().as_str(); "store regained");
            }
        }
    }
}

/// Steers by changed objects and wakes peers that wait for a change.
fn adopt(shared: &Shared, objects: &[Object], skipped: usize) {
    let now = shared.now();
    let book = lock(&shared.book);
    let confirmed = book.confirmed(Feed::Routes);
    let peers = book.catalogue().vms_in(&shared.domain).count();
    drop(book);
    let mut steering = shared.steering();
    steering.set_peers(peers as u32);
    for object in objects {
        steering.apply(now, object);
    }
    if let Some(at) = confirmed {
        steering.confirm(at);
    }
    drop(steering);
    if !objects.is_empty() {
        shared.changes.send_modify(|n| *n += 1);
    }
    log_changes(objects, skipped);
}

/// Changes that are logged one by one; more than these are only counted.
const CHANGES_LOGGED: usize = 20;

fn log_changes(objects: &[Object], skipped: usize) {
    if skipped > 0 {
        log::warn!(target: "catalogue", skipped = skipped; "entries that cannot be used");
    }
    if objects.len() > CHANGES_LOGGED {
        let newest = objects.iter().map(|o| o.version.0).max();
        log::info!(target: "catalogue", objects = objects.len(), newest = newest.unwrap_or(0);
            "many changes");
        return;
    }
    for object in objects {
        let state = match &object.body {
            Body::Host(host) => format!("{:?}", host.state),
            Body::Domain { state } => format!("{state:?}"),
            Body::Removed => "Removed".into(),
            _ => "Set".into(),
        };
        log::info!(target: "catalogue", object = object.key.to_string().as_str(),
            version = object.version.0, state = state.as_str(); "changed");
    }
}

/// Receives packets for ever.
async fn receive(shared: Arc<Shared>) {
    let mut buffer = [0; PACKET_MAX];
    let mut out = Vec::with_capacity(PACKET_MAX);
    loop {
        match shared.socket.try_recv_from(&mut buffer) {
            Ok((length, _)) => handle(&shared, &buffer[..length], &mut out),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                shared.steering().drained(shared.now());
                if let Err(error) = shared.socket.readable().await {
                    log::error!(target: "packet", error = error.to_string().as_str();
                        "socket not readable any more");
                    return;
                }
            }
            // An ICMP error of an earlier send; nothing was received.
            Err(error) => {
                log::debug!(target: "packet", error = error.to_string().as_str(); "not received");
            }
        }
    }
}

fn handle(shared: &Shared, packet: &[u8], out: &mut Vec<u8>) {
    match (shared.codec.decode)(packet) {
        Some(segment) => steer(shared, packet, &segment, out),
        None => count(&shared.counters.malformed),
    }
}

fn steer(shared: &Shared, packet: &[u8], segment: &Segment, out: &mut Vec<u8>) {
    let now = shared.now();
    shared.last_packet.store(now.0, Ordering::Relaxed);
    let mut steering = shared.steering();
    let verdict = steering.packet(now, segment);
    let opening = steering.take_opening();
    let given_up = steering.take_given_up();
    let answer = steering.take_answer();
    let ended: Vec<Segment> = std::iter::from_fn(|| steering.pull_reset()).collect();
    drop(steering);
    if let Some(took) = answer {
        shared.metrics.answered(took);
    }
    if let Some(g) = given_up {
        log::warn!(target: "target", host = g.host.0, flow = flow_id(segment).as_str(),
            silent_ms = g.silent.map_or(0, |s| s.0), heard = g.silent.is_some(),
            repeats = g.repeats, asked_ms = g.asked.0, listed = g.listed, flows = g.flows;
            "target given up, its quiet flows are reset");
    }
    for segment in &ended {
        reset(shared, segment, Code::FlowEnded, out);
    }
    out.clear();
    let to = match verdict {
        Verdict::Forward {
            host,
            address,
            token,
        } => {
            (shared.codec.forward)(packet, host, token, out);
            count(&shared.counters.forwarded);
            address
        }
        Verdict::Reset(code) => return reset(shared, segment, code, out),
        Verdict::Drop(code) => {
            count(&shared.counters.dropped);
            log_end(segment, code, "packet dropped");
            return;
        }
    };
    send(shared, out, to);
    if let Some(o) = opening {
        count(&shared.counters.opened);
        log::info!(target: "flow", flow = flow_id(segment).as_str(), host = o.host.0, load = o.load,
            near = o.near, far = o.far, suspects = o.suspects, copy = o.copy; "flow opened");
    }
}

fn reset(shared: &Shared, segment: &Segment, code: Code, out: &mut Vec<u8>) {
    count(&shared.counters.refused);
    log_end(segment, code, "flow reset");
    out.clear();
    let to = (shared.codec.reset)(segment, shared.own, out);
    send(shared, out, to);
}

fn send(shared: &Shared, packet: &[u8], to: SocketAddr) {
    if let Err(error) = shared.socket.try_send_to(packet, to) {
        count(&shared.counters.unsent);
        log::warn!(target: "packet", to = to.to_string().as_str(),
            error = error.to_string().as_str(); "not sent");
    }
}

/// Name of a flow in the log: both ends' addresses.
fn flow_id(segment: &Segment) -> String {
    format!("{}-{}", segment.caller, segment.service)
}

fn log_end(segment: &Segment, code: Code, event: &str) {
    log::info!(target: "flow", flow = flow_id(segment).as_str(),
        code = code.to_string().as_str(), reason = code.text(), stage = format!("{:?}", segment.mark).as_str(),
        token = segment.token.to_string().as_str(); "{event}");
}
