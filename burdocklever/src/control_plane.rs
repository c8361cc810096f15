//! Keeps what a VM knows up to date: from peers, or from the store.
//!
//! All I/O goes through [`Environment`]: store, peers, clock and random numbers. Real ones make
//! a gateway; simulated ones let a whole fleet run in one process.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use wire::{Address, Body, DomainId, Incarnation, Object, ObjectKey, Version, Vm, VmId};

use crate::code::Code;
use crate::follow::{follow, register, register_pause};
use crate::peer_selection::{self, max_staleness, PeerSelector};
use crate::platform_client::{Error, Result};
use crate::replica::{Replica, ReplicaUpdate};
use crate::store::{CallFuture, Feed, Registration, Store};
use crate::time::{Ms, Time};

/// Time that seeds have to answer a VM that starts before it reads the store.
/// They answer in about 5 ms.
const SEED_WAIT: Ms = Ms(15);
/// Time between looks at the VM that this one looks after, and looks without
/// an answer after which its entry is removed: more than a failure domain is
/// cut off for, usually.
const LOOK: Duration = Duration::from_secs(30);
const LOOKS: u32 = 6;
/// Time that a VM takes to read from the store what a peer would not tell.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Pause between questions to a VM that stands in for the store: a part of the
/// 3 s in which changes must be in force.
const SUBSTITUTE_PAUSE: Duration = Duration::from_millis(300);
/// Pause before a peer is asked again after one failed.
const PEER_RETRY: Ms = Ms(100);
const PEER_RETRY_MIN: Ms = Ms(10);
/// Pause before a peer is asked again that knows nothing fresh itself.
const FRESH_RETRY: Duration = Duration::from_millis(200);
/// VMs that join in, at each such pause, when those that read the store cannot
/// reach it: enough that one of them soon can, few enough for the store's rate.
const JOINERS: f64 = 64.0;
/// Longest time that a peer may be asked to wait. With it and the trip there,
/// what the asker knows is no older than `peer_selection::max_staleness` while all is well.
pub(crate) const WAIT: Ms = Ms(800);
/// Time that the trip to a peer and back may take, and its processor time.
const TRIP: Ms = Ms(400);
/// Peers of any failure domain that are asked at once whether this VM's link is
/// free.
const LINK_CHECKS: usize = 2;
/// Bytes a second that a VM tells its peers, and as a burst: a tenth of the
/// smallest link, 10 Mbit/s. Packets share the link; larger news is read from
/// the store.
const BYTES_RATE: u64 = 125_000;

/// What one VM asks another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogueRequest {
    /// Revision up to which the asker knows each feed.
    pub from: [Version; Feed::COUNT],
    /// Time that it is willing to wait for news.
    pub wait: Ms,
    /// Cursor of the last answer that the asker got from this VM, if any.
    pub cursor: Option<Cursor>,
}

/// Names what a VM had learned when it answered. It tells an asker that has heard
/// all of it apart from one that lacks something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    life: Incarnation,
    changes: u64,
}

/// What one VM tells another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogueReply {
    /// What the asker lacks.
    pub update: ReplicaUpdate,
    /// To be given back with the next question.
    pub cursor: Cursor,
}

/// Asks the peer at an address, for so long at most.
pub type QueryPeer =
    dyn Fn(Address, CatalogueRequest, Ms) -> CallFuture<CatalogueReply> + Send + Sync;

/// What is to be told of what a VM learns.
#[derive(Debug)]
pub enum ControlEvent<'a> {
    /// Objects that changed, and what is known now.
    Changed(&'a [Object], &'a Replica),
    /// A call to the store failed.
    StoreFailed(Feed),
}

/// Connections of a VM's control to the world.
pub struct Environment {
    /// The platform's store.
    pub store: Store,
    /// Other VMs.
    pub query_peer: Box<QueryPeer>,
    /// This VM's monotonic clock.
    pub clock: Box<dyn Fn() -> Time + Send + Sync>,
    /// Random numbers from 0 to 1, so that VMs do not call together.
    pub random: Box<dyn Fn() -> f64 + Send + Sync>,
    /// Hears what was learned.
    pub on_event: Box<dyn Fn(ControlEvent<'_>) + Send + Sync>,
}

/// What a VM knows, and how it got it.
pub struct ControlState {
    own: VmId,
    life: Incarnation,
    domain: DomainId,
    replica: Mutex<Replica>,
    /// Counts changes of the replica, for peers that wait for one.
    changes: watch::Sender<u64>,
    /// Whether this VM reads the store itself.
    direct: watch::Sender<bool>,
    /// Wakes whoever ends the targets' time to come back.
    grace: Notify,
    /// Feeds whose store does not answer.
    lost: Mutex<BTreeSet<Feed>>,
    /// Bytes that may be told peers now.
    allowance: Mutex<Allowance>,
    query_peer: Box<QueryPeer>,
    pub(crate) clock: Box<dyn Fn() -> Time + Send + Sync>,
    pub(crate) random: Box<dyn Fn() -> f64 + Send + Sync>,
    on_event: Box<dyn Fn(ControlEvent<'_>) + Send + Sync>,
}

/// Bytes that may be told now.
#[derive(Debug)]
struct Allowance {
    bytes: u64,
    filled: Time,
}

impl Allowance {
    /// Takes `bytes` if so many are left.
    fn take(&mut self, now: Time, bytes: u64) -> bool {
        let fresh = now.since(self.filled).0.saturating_mul(BYTES_RATE) / 1000;
        self.bytes = self.bytes.saturating_add(fresh).min(BYTES_RATE);
        self.filled = now;
        let fits = bytes <= self.bytes;
        if fits {
            self.bytes -= bytes;
        }
        fits
    }
}

/// A VM's control, running until it is dropped.
pub struct ControlPlane {
    known: Arc<ControlState>,
    tasks: JoinSet<()>,
    own: Vm,
    /// Whether other VMs may ask this one.
    listed: bool,
}

impl ControlPlane {
    /// Starts to learn as VM `own`, from `seeds` first. `listed` says whether it
    /// takes questions of other VMs, and so is to be listed in the store.
    pub fn spawn(
        own: Vm,
        listed: bool,
        seeds: &[Address],
        environment: Environment,
    ) -> ControlPlane {
        let known = Arc::new(ControlState {
            own: own.member.vm,
            life: own.member.incarnation,
            domain: own.domain.clone(),
            replica: Mutex::default(),
            changes: watch::Sender::new(0),
            direct: watch::Sender::new(false),
            grace: Notify::new(),
            lost: Mutex::default(),
            allowance: Mutex::new(Allowance {
                bytes: BYTES_RATE,
                filled: Time(0),
            }),
            query_peer: environment.query_peer,
            clock: environment.clock,
            random: environment.random,
            on_event: environment.on_event,
        });
        let mut control = ControlPlane {
            known,
            tasks: JoinSet::new(),
            own,
            listed,
        };
        control.restart(seeds, environment.store);
        control
    }

    /// Starts anew with another store. What is known stays.
    pub fn restart(&mut self, seeds: &[Address], store: Store) {
        self.tasks.abort_all();
        let store = Arc::new(store);
        for feed in Feed::ALL {
            let direct = self.known.direct.subscribe();
            let reading = follow(self.known.clone(), store.clone(), feed, direct);
            self.tasks.spawn(reading);
        }
        let selector = PeerSelector::new(self.own.member.vm, self.own.domain.clone());
        let asking = ask_peers(self.known.clone(), selector, seeds.to_vec());
        self.tasks.spawn(asking);
        self.tasks.spawn(end_graces(self.known.clone()));
        if !self.listed {
            return;
        }
        let keeping = keep_entry(self.known.clone(), store.clone(), self.own.clone());
        self.tasks.spawn(keeping);
        let looking = look_after_next(self.known.clone(), store, self.own.member.vm);
        self.tasks.spawn(looking);
    }

    /// What the VM knows.
    pub fn state(&self) -> Arc<ControlState> {
        self.known.clone()
    }
}

impl ControlState {
    /// What is known now.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        // A panic in one place must not stop the others.
        self.replica.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Runs a step on what is known.
    pub(crate) fn with_replica<T>(&self, step: impl FnOnce(Time, &mut Replica) -> T) -> T {
        let mut replica = self.replica();
        step((self.clock)(), &mut replica)
    }

    /// Feeds whose store does not answer.
    pub fn unreachable_feeds(&self) -> usize {
        self.lost.lock().unwrap_or_else(|e| e.into_inner()).len()
    }

    /// Whether the VM reads the store itself.
    pub fn reads_store(&self) -> bool {
        *self.direct.borrow()
    }

    /// What an asker lacks, as it travels. Waits for news while there is none.
    ///
    /// # Errors
    ///
    /// [`Code::NotFresh`] while nothing fresh is known, [`Code::TooMuch`] if the
    /// answer is more than the link should carry.
    pub async fn answer(&self, question: &CatalogueRequest) -> Result<Vec<u8>> {
        let mut changed = self.changes.subscribe();
        changed.borrow_and_update();
        let cursor = || Cursor {
            life: self.life,
            changes: *self.changes.borrow(),
        };
        if question.cursor == Some(cursor()) {
            let wait = Duration::from_millis(question.wait.0.min(WAIT.0));
            // A timeout is an answer too: nothing has changed.
            let _ = tokio::time::timeout(wait, changed.changed()).await;
        }
        let reply = CatalogueReply {
            cursor: cursor(),
            update: self.update(question)?,
        };
        let body = rmp_serde::to_vec(&reply).map_err(no_peer)?;
        let now = (self.clock)();
        let mut allowance = self.allowance.lock().unwrap_or_else(|e| e.into_inner());
        if !allowance.take(now, body.len() as u64) {
            return Err(Error {
                code: Code::TooMuch,
                detail: "read it from the store".into(),
            });
        }
        Ok(body)
    }

    fn update(&self, question: &CatalogueRequest) -> Result<ReplicaUpdate> {
        self.with_replica(|now, replica| {
            if replica.time_until_stale(now, max_staleness) == Ms(0) {
                return Err(Error {
                    code: Code::NotFresh,
                    detail: "ask another peer".into(),
                });
            }
            Ok(replica.update_since(now, &question.from))
        })
    }

    /// Takes in what changed, and wakes peers that wait for it.
    pub(crate) fn adopt(&self, objects: &[Object]) {
        let replica = self.replica();
        (self.on_event)(ControlEvent::Changed(objects, &replica));
        if replica.next_deferred_removal().is_some() {
            self.grace.notify_one();
        }
        drop(replica);
        log_changes(objects);
        if !objects.is_empty() {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Takes in that a call to the store failed.
    pub(crate) fn failed(&self, feed: Feed, error: &Error) {
        (self.on_event)(ControlEvent::StoreFailed(feed));
        let mut lost = self.lost.lock().unwrap_or_else(|e| e.into_inner());
        if lost.insert(feed) {
            log::warn!(target: "store", feed = feed.to_string().as_str(),
                error = error.to_string().as_str();
                "store lost, going on with what is known");
        }
    }

    /// Takes in that the store answers again.
    pub(crate) fn regained(&self, feed: Feed) {
        let mut lost = self.lost.lock().unwrap_or_else(|e| e.into_inner());
        if lost.remove(&feed) {
            log::info!(target: "store", feed = feed.to_string().as_str(); "store regained");
        }
    }

    /// Whether some peer answers within `limit`, whatever it answers. Asks several
    /// at once, chosen by chance: some may be dead.
    pub async fn any_peer_responds(&self, limit: Ms) -> bool {
        let ask = |address| (self.query_peer)(address, self.question(Ms(0), None), limit);
        let mut asked = JoinSet::new();
        for peer in self.any_peers() {
            asked.spawn(ask(peer));
        }
        let first = async {
            while let Some(answer) = asked.join_next().await {
                match answer {
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

    /// Addresses of other VMs, chosen by chance: one of the own failure domain,
    /// which may be cut off from the others, and some of all.
    fn any_peers(&self) -> Vec<Address> {
        let replica = self.replica();
        let vms = replica
            .catalogue()
            .vms()
            .filter(|vm| vm.member.vm != self.own);
        let all: Vec<&Vm> = vms.collect();
        let near: Vec<&Vm> = all
            .iter()
            .copied()
            .filter(|vm| vm.domain == self.domain)
            .collect();
        let pick = |list: &[&Vm]| {
            let at = ((self.random)() * list.len() as f64) as usize;
            list.get(at).map(|vm| vm.peer)
        };
        let far = (0..LINK_CHECKS).filter_map(|_| pick(&all));
        pick(&near).into_iter().chain(far).collect()
    }

    fn learn_from_peer(&self, update: ReplicaUpdate) {
        let fresh = self.with_replica(|now, replica| replica.apply_update(now, update));
        self.adopt(&fresh);
    }

    /// Whether this VM is among those that join in to read the store.
    fn joins_in(&self) -> bool {
        let vms = self.replica().catalogue().vms().count().max(1);
        (self.random)() < JOINERS / vms as f64
    }

    /// Starts or stops to read the store.
    fn read_store(&self, on: bool) {
        let changed = self
            .direct
            .send_if_modified(|direct| std::mem::replace(direct, on) != on);
        if changed {
            log::info!(target: "peer", direct = on; "reads the store itself");
        }
    }

    fn question(&self, wait: Ms, cursor: Option<Cursor>) -> CatalogueRequest {
        CatalogueRequest {
            from: self.replica().revisions(),
            wait,
            cursor,
        }
    }
}

pub(crate) fn no_peer(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::NoPeer,
        detail: error.to_string().into(),
    }
}

/// Writes this VM's entry until the store has taken it.
async fn keep_entry(known: Arc<ControlState>, store: Arc<Store>, vm: Vm) {
    let mut failed = 0;
    while let Err(error) = register(&store, Registration::Put(vm.clone())).await {
        if failed == 0 {
            log::warn!(target: "store", error = error.to_string().as_str();
                "own entry not written yet");
        }
        failed += 1;
        tokio::time::sleep(register_pause(&known, failed)).await;
    }
}

/// Takes targets for gone that have not come back after an outage.
async fn end_graces(known: Arc<ControlState>) {
    loop {
        let next = known
            .with_replica(|now, replica| replica.next_deferred_removal().map(|at| at.since(now)));
        match next {
            Some(rest) => tokio::time::sleep(Duration::from_millis(rest.0)).await,
            None => known.grace.notified().await,
        }
        for feed in Feed::ALL {
            let due = known.with_replica(|now, replica| replica.apply_due_removals(now, feed));
            if !due.is_empty() {
                known.adopt(&due);
            }
        }
    }
}

/// Removes the entry of the next VM in the ring if it is gone for good: nobody
/// else would, since entries do not lapse.
async fn look_after_next(known: Arc<ControlState>, store: Arc<Store>, own: VmId) {
    let mut missed = (VmId(0), 0);
    loop {
        tokio::time::sleep(LOOK).await;
        let next = peer_selection::successor(own, known.replica().catalogue());
        let Some(next) = next else {
            continue;
        };
        let id = next.member.vm;
        let question = known.question(Ms(0), None);
        let silent = match (known.query_peer)(next.peer, question, TRIP).await {
            Ok(_) => false,
            // A refusal shows that it lives.
            Err(error) => error.code == Code::NoPeer,
        };
        if !silent {
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
        let key = ObjectKey::new("vm", id);
        let version = known.replica().catalogue().version(&key);
        match register(&store, Registration::Delete(id, version)).await {
            Ok(()) => log::info!(target: "peer", vm = id.0; "entry of a VM that is gone removed"),
            Err(error) => log::warn!(target: "peer", vm = id.0, error = error.to_string().as_str();
                "entry of a VM that is gone not removed"),
        }
    }
}

/// Asks peers for the catalogue, and has the store read while none knows it
/// well enough.
async fn ask_peers(known: Arc<ControlState>, mut selector: PeerSelector, seeds: Vec<Address>) {
    ask_seeds(&known, &seeds).await;
    let mut asked: Option<VmId> = None;
    let mut cursor = None;
    loop {
        let now = (known.clock)();
        let source = selector.select_peer(now, known.replica().catalogue());
        let next = source.as_ref().map(|vm| vm.member.vm);
        if next != asked {
            log::info!(target: "peer", from = asked.map_or(0, |v| v.0), to = next.map_or(0, |v| v.0);
                "source of the catalogue changes; 0 is the store");
            asked = next;
            cursor = None;
        }
        let Some(vm) = source else {
            known.read_store(true);
            ask_substitute(&known, &mut selector).await;
            continue;
        };
        let fresh = known.replica().time_until_stale(now, max_staleness);
        match ask_within(&known, fresh.max(SEED_WAIT), &vm, cursor).await {
            Ok(reply) => {
                cursor = Some(reply.cursor);
                known.learn_from_peer(reply.update);
            }
            Err(error) if error.code == Code::TooMuch => {
                known.read_store(true);
                tokio::time::sleep(CATCH_UP).await;
                continue;
            }
            // It lives, and tries to reach the store itself. Some of the others
            // help it find out whether the store is there.
            Err(error) if error.code == Code::NotFresh => {
                if fresh == Ms(0) && known.joins_in() {
                    known.read_store(true);
                }
                tokio::time::sleep(FRESH_RETRY).await;
                continue;
            }
            Err(error) => {
                selector.suspect((known.clock)(), vm.member.vm);
                log::info!(target: "peer", vm = vm.member.vm.0, error = error.to_string().as_str();
                    "peer passed over for a while");
                let pause = PEER_RETRY.min(fresh).max(PEER_RETRY_MIN);
                tokio::time::sleep(Duration::from_millis(pause.0)).await;
            }
        }
        let fresh = known
            .replica()
            .time_until_stale((known.clock)(), max_staleness);
        known.read_store(fresh == Ms(0));
    }
}

/// Asks another VM that reads the store while this one cannot reach it, or cannot
/// tell whether the store was away for all. Its peers lag no more than it does.
async fn ask_substitute(known: &ControlState, selector: &mut PeerSelector) {
    let now = (known.clock)();
    let alone = known.unreachable_feeds() > 0 || known.replica().in_grace_period(now);
    let substitute = match alone {
        true => selector.select_substitute(now, known.replica().catalogue()),
        false => None,
    };
    let Some(vm) = substitute else {
        return tokio::time::sleep(Duration::from_millis(WAIT.0)).await;
    };
    match ask_within(known, WAIT + TRIP, &vm, None).await {
        Ok(reply) => {
            known.learn_from_peer(reply.update);
            tokio::time::sleep(SUBSTITUTE_PAUSE).await;
        }
        Err(error) => {
            selector.suspect((known.clock)(), vm.member.vm);
            log::info!(target: "peer", vm = vm.member.vm.0, error = error.to_string().as_str();
                "peer passed over for a while");
            tokio::time::sleep(Duration::from_millis(PEER_RETRY.0)).await;
        }
    }
}

/// Asks a peer, and gives it up once what is known would grow too old.
async fn ask_within(
    known: &ControlState,
    limit: Ms,
    vm: &Vm,
    cursor: Option<Cursor>,
) -> Result<CatalogueReply> {
    let limit = Duration::from_millis(limit.0);
    let asked = (known.query_peer)(vm.peer, known.question(WAIT, cursor), WAIT + TRIP);
    match tokio::time::timeout(limit, asked).await {
        Ok(answer) => answer,
        Err(_) => Err(no_peer(format!("no answer within {limit:?}"))),
    }
}

/// Asks all seeds at once, and goes on with the first answer, or without one.
async fn ask_seeds(known: &Arc<ControlState>, seeds: &[Address]) {
    let mut asked = JoinSet::new();
    for seed in seeds.iter().copied() {
        asked.spawn((known.query_peer)(seed, known.question(Ms(0), None), TRIP));
    }
    let first = async {
        while let Some(answer) = asked.join_next().await {
            if let Ok(Ok(reply)) = answer {
                return Some(reply.update);
            }
        }
        None
    };
    let wait = Duration::from_millis(SEED_WAIT.0);
    match tokio::time::timeout(wait, first).await {
        Ok(Some(update)) => known.learn_from_peer(update),
        _ => known.read_store(true),
    }
}

/// Changes that are logged one by one; more than these are only counted.
const CHANGES_LOGGED: usize = 20;

fn log_changes(objects: &[Object]) {
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
