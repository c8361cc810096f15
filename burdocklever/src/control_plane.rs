//! Keeps a VM's replica of the catalogue up to date, from peers or from the store.
//!
//! All I/O goes through an [`Environment`]. A gateway supplies real sockets and
//! clocks; a simulation supplies virtual ones and runs a whole fleet in one process.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use wire::{Address, Body, DomainId, Incarnation, Object, ObjectKey, Version, Vm, VmId};

use crate::code::Code;
use crate::feed_watch::{register, register_pause, watch_feed};
use crate::peer_selection::{self, max_staleness, PeerSelector};
use crate::platform_client::{Error, Result};
use crate::replica::{Replica, ReplicaUpdate};
use crate::store::{CallFuture, Feed, Registration, Store};
use crate::time::{Ms, Time};

/// Time that a starting VM waits for its seeds before it reads the store, and the
/// shortest timeout of a poll. Seeds answer in about 5 ms.
const QUICK_REPLY_TIMEOUT: Ms = Ms(15);
/// Interval of liveness probes of the successor in the ring, and consecutive
/// failures after which its registration is removed. Their product, 3 min, is longer
/// than a failure domain is usually cut off.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);
const PROBE_FAILURES: u32 = 6;
/// Pause after a peer's update was too large to send. Meanwhile this VM reads the
/// changes from the store.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(500);
/// Pause between requests to a substitute for the store. Well below the 3 s
/// within which changes must take effect.
const SUBSTITUTE_PAUSE: Duration = Duration::from_millis(300);
/// Longest and shortest pause after a peer failed to answer.
const PEER_RETRY_MAX: Ms = Ms(100);
const PEER_RETRY_MIN: Ms = Ms(10);
/// Pause after a peer answered that its own replica is stale.
const STALE_PEER_PAUSE: Duration = Duration::from_millis(200);
/// Expected number of VMs that start to read the store in each [`STALE_PEER_PAUSE`]
/// while its regular readers cannot reach it: enough that one of them soon succeeds,
/// few enough for the store's rate limit.
const EXTRA_READERS: f64 = 64.0;
/// Longest long poll of a peer. Together with the round trip it keeps the asking
/// VM's replica within `peer_selection::max_staleness` in normal operation.
pub(crate) const LONG_POLL_MAX: Ms = Ms(800);
/// Time allowed for the round trip to a peer, including its processing.
const ROUND_TRIP_MAX: Ms = Ms(400);
/// Number of peers of any failure domain that are queried in parallel to check
/// this VM's link.
const LINK_PROBES: usize = 2;
/// Bytes per second, and burst, of replies to peers: a tenth of the smallest link,
/// 10 Mbit/s, which packets share. Peers read larger updates from the store.
const REPLY_BYTES_PER_S: u64 = 125_000;

/// Request of one VM for catalogue changes that another VM knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogueRequest {
    /// Revision up to which the requester knows each feed.
    pub from: [Version; Feed::COUNT],
    /// Longest time to wait for a change.
    pub wait: Ms,
    /// Cursor of the last reply received from this VM, if any.
    pub cursor: Option<Cursor>,
}

/// Identifies the state of a VM's replica at the time of a reply. A requester that
/// returns the current cursor lacks nothing, so its request can wait for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    #[serde(rename = "life")]
    incarnation: Incarnation,
    changes: u64,
}

/// Reply to a [`CatalogueRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogueReply {
    /// Changes that the requester lacks.
    pub update: ReplicaUpdate,
    /// Cursor for the next request.
    pub cursor: Cursor,
}

/// Sends a request to the peer at an address, with a timeout.
pub type QueryPeer =
    dyn Fn(Address, CatalogueRequest, Ms) -> CallFuture<CatalogueReply> + Send + Sync;

/// Event passed to [`Environment::on_event`].
#[derive(Debug)]
pub enum ControlEvent<'a> {
    /// Objects that changed, and the replica after the change.
    Changed(&'a [Object], &'a Replica),
    /// A call to the store failed.
    StoreFailed(Feed),
}

/// I/O, clock and random numbers of a [`ControlPlane`].
pub struct Environment {
    /// The platform's store.
    pub store: Store,
    /// Queries another VM.
    pub query_peer: Box<QueryPeer>,
    /// This VM's monotonic clock.
    pub clock: Box<dyn Fn() -> Time + Send + Sync>,
    /// Random numbers from 0 to 1, which spread the calls of VMs over time.
    pub random: Box<dyn Fn() -> f64 + Send + Sync>,
    /// Receives changes and store failures.
    pub on_event: Box<dyn Fn(ControlEvent<'_>) + Send + Sync>,
}

/// State shared by the tasks of a [`ControlPlane`].
pub struct ControlState {
    own: VmId,
    incarnation: Incarnation,
    domain: DomainId,
    replica: Mutex<Replica>,
    /// Number of changes to the replica. Wakes long polls of peers.
    changes: watch::Sender<u64>,
    /// Whether this VM reads the store itself.
    reads_store: watch::Sender<bool>,
    /// Wakes the task that applies deferred removals.
    removal_deferred: Notify,
    /// Feeds with a failed store call since the last call of `store_recovered`.
    failing: Mutex<BTreeSet<Feed>>,
    reply_budget: Mutex<ByteBudget>,
    query_peer: Box<QueryPeer>,
    pub(crate) clock: Box<dyn Fn() -> Time + Send + Sync>,
    pub(crate) random: Box<dyn Fn() -> f64 + Send + Sync>,
    on_event: Box<dyn Fn(ControlEvent<'_>) + Send + Sync>,
}

/// Token bucket over bytes of replies, refilled at [`REPLY_BYTES_PER_S`].
#[derive(Debug)]
struct ByteBudget {
    bytes: u64,
    refilled_at: Time,
}

impl ByteBudget {
    /// Takes `bytes` if that many are available.
    fn take(&mut self, now: Time, bytes: u64) -> bool {
        let elapsed = now.since(self.refilled_at);
        let refill = elapsed.0.saturating_mul(REPLY_BYTES_PER_S) / 1000;
        self.bytes = self.bytes.saturating_add(refill).min(REPLY_BYTES_PER_S);
        self.refilled_at = now;
        let available = bytes <= self.bytes;
        if available {
            self.bytes -= bytes;
        }
        available
    }
}

/// Tasks that keep a VM's replica up to date. They end when this is dropped.
pub struct ControlPlane {
    state: Arc<ControlState>,
    tasks: JoinSet<()>,
    own: Vm,
    /// Whether this VM answers peers. If so, it is registered in the store.
    answers_peers: bool,
}

impl ControlPlane {
    /// Starts the tasks of VM `own`, which queries `seeds` first. A VM that
    /// answers peers is also registered in the store.
    pub fn spawn(
        own: Vm,
        answers_peers: bool,
        seeds: &[Address],
        environment: Environment,
    ) -> ControlPlane {
        let state = Arc::new(ControlState {
            own: own.member.vm,
            incarnation: own.member.incarnation,
            domain: own.domain.clone(),
            replica: Mutex::default(),
            changes: watch::Sender::new(0),
            reads_store: watch::Sender::new(false),
            removal_deferred: Notify::new(),
            failing: Mutex::default(),
            reply_budget: Mutex::new(ByteBudget {
                bytes: REPLY_BYTES_PER_S,
                refilled_at: Time(0),
            }),
            query_peer: environment.query_peer,
            clock: environment.clock,
            random: environment.random,
            on_event: environment.on_event,
        });
        let mut control = ControlPlane {
            state,
            tasks: JoinSet::new(),
            own,
            answers_peers,
        };
        control.restart(seeds, environment.store);
        control
    }

    /// Restarts all tasks with another store. The replica is kept.
    pub fn restart(&mut self, seeds: &[Address], store: Store) {
        self.tasks.abort_all();
        let store = Arc::new(store);
        for feed in Feed::ALL {
            let enabled = self.state.reads_store.subscribe();
            let watching = watch_feed(self.state.clone(), store.clone(), feed, enabled);
            self.tasks.spawn(watching);
        }
        let selector = PeerSelector::new(self.own.member.vm, self.own.domain.clone());
        let polling = poll_peers(self.state.clone(), selector, seeds.to_vec());
        self.tasks.spawn(polling);
        self.tasks
            .spawn(apply_deferred_removals(self.state.clone()));
        if !self.answers_peers {
            return;
        }
        let registering = register_own(self.state.clone(), store.clone(), self.own.clone());
        self.tasks.spawn(registering);
        let monitoring = monitor_successor(self.state.clone(), store, self.own.member.vm);
        self.tasks.spawn(monitoring);
    }

    /// State shared with the tasks.
    pub fn state(&self) -> Arc<ControlState> {
        self.state.clone()
    }
}

impl ControlState {
    /// Locks the replica.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        // A panic in one task must not stop the others, so poisoning is ignored.
        self.replica.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Calls `f` with the current time and the locked replica.
    pub(crate) fn with_replica<T>(&self, f: impl FnOnce(Time, &mut Replica) -> T) -> T {
        let mut replica = self.replica();
        f((self.clock)(), &mut replica)
    }

    /// Number of feeds with a failed store call and no reported recovery since.
    pub fn failing_feeds(&self) -> usize {
        let failing = self.failing.lock().unwrap_or_else(|e| e.into_inner());
        failing.len()
    }

    /// Whether this VM reads the store itself.
    pub fn reads_store(&self) -> bool {
        *self.reads_store.borrow()
    }

    /// Answers a peer with an encoded [`CatalogueReply`]. Waits for a change if the
    /// peer lacks nothing.
    ///
    /// # Errors
    ///
    /// [`Code::StaleReplica`] if this VM's replica is stale,
    /// [`Code::UpdateTooLarge`] if the reply exceeds the byte budget for peers.
    pub async fn answer(&self, request: &CatalogueRequest) -> Result<Vec<u8>> {
        let mut changed = self.changes.subscribe();
        changed.borrow_and_update();
        let cursor = || Cursor {
            incarnation: self.incarnation,
            changes: *self.changes.borrow(),
        };
        if request.cursor == Some(cursor()) {
            let wait = Duration::from_millis(request.wait.0.min(LONG_POLL_MAX.0));
            // A timeout is answered too, with an empty update.
            let _ = tokio::time::timeout(wait, changed.changed()).await;
        }
        let reply = CatalogueReply {
            cursor: cursor(),
            update: self.update_for(request)?,
        };
        let body = rmp_serde::to_vec(&reply).map_err(peer_error)?;
        let now = (self.clock)();
        let mut budget = self.reply_budget.lock().unwrap_or_else(|e| e.into_inner());
        if !budget.take(now, body.len() as u64) {
            return Err(Error {
                code: Code::UpdateTooLarge,
                detail: format!("reply of {} bytes exceeds the byte budget", body.len()).into(),
            });
        }
        Ok(body)
    }

    fn update_for(&self, request: &CatalogueRequest) -> Result<ReplicaUpdate> {
        self.with_replica(|now, replica| {
            if replica.time_until_stale(now, max_staleness) == Ms(0) {
                return Err(Error {
                    code: Code::StaleReplica,
                    detail: "catalogue is stale".into(),
                });
            }
            Ok(replica.update_since(now, &request.from))
        })
    }

    /// Reports changed objects to `on_event` and wakes long polls of peers.
    pub(crate) fn publish(&self, objects: &[Object]) {
        let replica = self.replica();
        (self.on_event)(ControlEvent::Changed(objects, &replica));
        if replica.next_deferred_removal().is_some() {
            self.removal_deferred.notify_one();
        }
        drop(replica);
        log_changes(objects);
        if !objects.is_empty() {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Records and reports that a call to the store failed.
    pub(crate) fn store_failed(&self, feed: Feed, error: &Error) {
        (self.on_event)(ControlEvent::StoreFailed(feed));
        let mut failing = self.failing.lock().unwrap_or_else(|e| e.into_inner());
        if failing.insert(feed) {
            log::warn!(target: "store", feed = feed.to_string().as_str(),
                error = error.to_string().as_str();
                "store lost, going on with what is known");
        }
    }

    /// Records that the store answers again.
    pub(crate) fn store_recovered(&self, feed: Feed) {
        let mut failing = self.failing.lock().unwrap_or_else(|e| e.into_inner());
        if failing.remove(&feed) {
            log::info!(target: "store", feed = feed.to_string().as_str(); "store regained");
        }
    }

    /// Whether any peer sends any response within `limit`. Several random peers are
    /// queried in parallel, since some may be down.
    pub async fn any_peer_responds(&self, limit: Ms) -> bool {
        let query = |address| (self.query_peer)(address, self.request(Ms(0), None), limit);
        let mut queries = JoinSet::new();
        for peer in self.sample_peers() {
            queries.spawn(query(peer));
        }
        let first = async {
            while let Some(reply) = queries.join_next().await {
                match reply {
                    Ok(Ok(_)) => return true,
                    Ok(Err(error)) if error.code != Code::NoPeer => return true,
                    _ => {}
                }
            }
            false
        };
        let limit = Duration::from_millis(limit.0);
        tokio::time::timeout(limit, first).await.unwrap_or(false)
    }

    /// Addresses of random peers: one of this VM's failure domain, which may be cut
    /// off from the others, and [`LINK_PROBES`] of any domain.
    fn sample_peers(&self) -> Vec<Address> {
        let replica = self.replica();
        let vms = replica
            .catalogue()
            .vms()
            .filter(|vm| vm.member.vm != self.own);
        let all: Vec<&Vm> = vms.collect();
        let same_domain: Vec<&Vm> = all
            .iter()
            .copied()
            .filter(|vm| vm.domain == self.domain)
            .collect();
        let pick = |list: &[&Vm]| {
            let index = ((self.random)() * list.len() as f64) as usize;
            list.get(index).map(|vm| vm.peer)
        };
        let any = (0..LINK_PROBES).filter_map(|_| pick(&all));
        pick(&same_domain).into_iter().chain(any).collect()
    }

    fn apply_peer_update(&self, update: ReplicaUpdate) {
        let changed = self.with_replica(|now, replica| replica.apply_update(now, update));
        self.publish(&changed);
    }

    /// Decides at random whether this VM is one of the [`EXTRA_READERS`].
    fn becomes_extra_reader(&self) -> bool {
        let vms = self.replica().catalogue().vms().count().max(1);
        (self.random)() < EXTRA_READERS / vms as f64
    }

    /// Starts or stops reading the store.
    fn set_reads_store(&self, on: bool) {
        let changed = self
            .reads_store
            .send_if_modified(|reads| std::mem::replace(reads, on) != on);
        if changed {
            log::info!(target: "peer", direct = on; "reads the store itself");
        }
    }

    fn request(&self, wait: Ms, cursor: Option<Cursor>) -> CatalogueRequest {
        CatalogueRequest {
            from: self.replica().revisions(),
            wait,
            cursor,
        }
    }
}

pub(crate) fn peer_error(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::NoPeer,
        detail: error.to_string().into(),
    }
}

/// Registers this VM in the store, with retries.
async fn register_own(state: Arc<ControlState>, store: Arc<Store>, vm: Vm) {
    let mut failed = 0;
    while let Err(error) = register(&store, Registration::Put(vm.clone())).await {
        if failed == 0 {
            log::warn!(target: "store", error = error.to_string().as_str();
                "failed to register this VM, retrying");
        }
        failed += 1;
        tokio::time::sleep(register_pause(&state, failed)).await;
    }
}

/// Removes targets that have not registered again within the grace period after
/// an outage.
async fn apply_deferred_removals(state: Arc<ControlState>) {
    loop {
        let next = state
            .with_replica(|now, replica| replica.next_deferred_removal().map(|at| at.since(now)));
        match next {
            Some(wait) => tokio::time::sleep(Duration::from_millis(wait.0)).await,
            None => state.removal_deferred.notified().await,
        }
        for feed in Feed::ALL {
            let removed = state.with_replica(|now, replica| replica.apply_due_removals(now, feed));
            if !removed.is_empty() {
                state.publish(&removed);
            }
        }
    }
}

/// Probes the next VM in the ring, and removes its registration after
/// [`PROBE_FAILURES`] consecutive failures. Registrations do not expire, so nothing
/// else would remove it.
async fn monitor_successor(state: Arc<ControlState>, store: Arc<Store>, own: VmId) {
    let mut probed = VmId(0);
    let mut failures = 0;
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let next = peer_selection::successor(own, state.replica().catalogue());
        let Some(next) = next else {
            continue;
        };
        let id = next.member.vm;
        let request = state.request(Ms(0), None);
        let failed = match (state.query_peer)(next.peer, request, ROUND_TRIP_MAX).await {
            Ok(_) => false,
            // Any other error is a response, so the VM is alive.
            Err(error) => error.code == Code::NoPeer,
        };
        if !failed || id != probed {
            failures = 0;
        }
        probed = id;
        failures += u32::from(failed);
        if failures < PROBE_FAILURES {
            continue;
        }
        let key = ObjectKey::new("vm", id);
        let version = state.replica().catalogue().version(&key);
        match register(&store, Registration::Delete(id, version)).await {
            Ok(()) => log::info!(target: "peer", vm = id.0; "removed the entry of a dead VM"),
            Err(error) => log::warn!(target: "peer", vm = id.0, error = error.to_string().as_str();
                "failed to remove the entry of a dead VM"),
        }
    }
}

/// Polls peers for catalogue changes, and makes this VM read the store while no
/// peer keeps the replica fresh enough.
async fn poll_peers(state: Arc<ControlState>, mut selector: PeerSelector, seeds: Vec<Address>) {
    query_seeds(&state, &seeds).await;
    let mut current: Option<VmId> = None;
    let mut cursor = None;
    loop {
        let now = (state.clock)();
        let peer = selector.select_peer(now, state.replica().catalogue());
        let next = peer.as_ref().map(|vm| vm.member.vm);
        if next != current {
            log::info!(target: "peer", from = current.map_or(0, |v| v.0), to = next.map_or(0, |v| v.0);
                "source of the catalogue changes; 0 is the store");
            current = next;
            cursor = None;
        }
        let Some(vm) = peer else {
            state.set_reads_store(true);
            poll_substitute(&state, &mut selector).await;
            continue;
        };
        let left = state.replica().time_until_stale(now, max_staleness);
        match poll_peer(&state, left.max(QUICK_REPLY_TIMEOUT), &vm, cursor).await {
            Ok(reply) => {
                cursor = Some(reply.cursor);
                state.apply_peer_update(reply.update);
            }
            Err(error) if error.code == Code::UpdateTooLarge => {
                state.set_reads_store(true);
                tokio::time::sleep(CATCH_UP_PAUSE).await;
                continue;
            }
            // The peer is alive and tries to reach the store itself. Some of the
            // VMs that depend on it also try, to find out whether the store is up.
            Err(error) if error.code == Code::StaleReplica => {
                if left == Ms(0) && state.becomes_extra_reader() {
                    state.set_reads_store(true);
                }
                tokio::time::sleep(STALE_PEER_PAUSE).await;
                continue;
            }
            Err(error) => {
                selector.suspect((state.clock)(), vm.member.vm);
                log::info!(target: "peer", vm = vm.member.vm.0, error = error.to_string().as_str();
                    "peer passed over for a while");
                let pause = PEER_RETRY_MAX.min(left).max(PEER_RETRY_MIN);
                tokio::time::sleep(Duration::from_millis(pause.0)).await;
            }
        }
        let left = state
            .replica()
            .time_until_stale((state.clock)(), max_staleness);
        state.set_reads_store(left == Ms(0));
    }
}

/// Polls another store reader if this one cannot reach the store, or cannot tell yet
/// whether an outage affected all VMs. The peers that poll this VM then lag little
/// behind those of the other reader.
async fn poll_substitute(state: &ControlState, selector: &mut PeerSelector) {
    let now = (state.clock)();
    let isolated = state.failing_feeds() > 0 || state.replica().in_grace_period(now);
    let substitute = match isolated {
        true => selector.select_substitute(now, state.replica().catalogue()),
        false => None,
    };
    let Some(vm) = substitute else {
        return tokio::time::sleep(Duration::from_millis(LONG_POLL_MAX.0)).await;
    };
    match poll_peer(state, LONG_POLL_MAX + ROUND_TRIP_MAX, &vm, None).await {
        Ok(reply) => {
            state.apply_peer_update(reply.update);
            tokio::time::sleep(SUBSTITUTE_PAUSE).await;
        }
        Err(error) => {
            selector.suspect((state.clock)(), vm.member.vm);
            log::info!(target: "peer", vm = vm.member.vm.0, error = error.to_string().as_str();
                "peer passed over for a while");
            tokio::time::sleep(Duration::from_millis(PEER_RETRY_MAX.0)).await;
        }
    }
}

/// Long-polls a peer. `limit` ends the poll early, such as before the replica goes
/// stale.
async fn poll_peer(
    state: &ControlState,
    limit: Ms,
    vm: &Vm,
    cursor: Option<Cursor>,
) -> Result<CatalogueReply> {
    let limit = Duration::from_millis(limit.0);
    let request = state.request(LONG_POLL_MAX, cursor);
    let call = (state.query_peer)(vm.peer, request, LONG_POLL_MAX + ROUND_TRIP_MAX);
    match tokio::time::timeout(limit, call).await {
        Ok(reply) => reply,
        Err(_) => Err(peer_error(format!("no answer within {limit:?}"))),
    }
}

/// Queries all seeds in parallel and applies the first reply. Starts reading the
/// store if none arrives in time.
async fn query_seeds(state: &Arc<ControlState>, seeds: &[Address]) {
    let mut queries = JoinSet::new();
    for seed in seeds.iter().copied() {
        let request = state.request(Ms(0), None);
        queries.spawn((state.query_peer)(seed, request, ROUND_TRIP_MAX));
    }
    let first = async {
        while let Some(reply) = queries.join_next().await {
            if let Ok(Ok(reply)) = reply {
                return Some(reply.update);
            }
        }
        None
    };
    let wait = Duration::from_millis(QUICK_REPLY_TIMEOUT.0);
    match tokio::time::timeout(wait, first).await {
        Ok(Some(update)) => state.apply_peer_update(update),
        _ => state.set_reads_store(true),
    }
}

/// Largest number of changes that are logged one by one; more are only counted.
const LOGGED_CHANGES_MAX: usize = 20;

fn log_changes(objects: &[Object]) {
    if objects.len() > LOGGED_CHANGES_MAX {
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
