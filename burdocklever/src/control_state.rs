//! What the tasks of a VM's control plane share: the replica, the membership and the
//! answers to peers.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use wire::{Address, Body, Incarnation, Object, Version, VmId};

use crate::code::Code;
use crate::freshness::Bounds;
use crate::load_report::{DomainKey, PackedLoad};
use crate::load_table::{
    shares_load, sharing_reason, LoadBudget, LoadStats, LoadTable, LoadTarget, Recipient,
    LOAD_INTERVAL,
};
use crate::membership::{Condition, MemberNews, Membership, Peer};
use crate::observed::Observed;
use crate::peer_selection::{position, Position};
use crate::platform_client::{Error, Result};
use crate::rendezvous;
use crate::replica::{Replica, ReplicaUpdate};
use crate::store::{CallFuture, Feed, Store};
use crate::switch::Switch;
use crate::target_load::{SharedLoad, TargetLoad};
use crate::time::{Ms, Time};
use crate::token::Token;

/// Time after its timeout in which an answer may still be taken: a VM with a small share
/// of a core reads late.
const ANSWER_SLACK: Ms = Ms(500);
/// Part of a link, as a divisor, that replies to peers may take. Packets share it.
const REPLY_LINK_DIVISOR: u64 = 8;

/// Request of one VM for what another VM knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogueRequest {
    /// Revision up to which the requester knows each feed.
    pub from: [Version; Feed::COUNT],
    /// Longest time to wait for a change.
    pub wait: Ms,
    /// Cursor of the last reply received from this VM, if any.
    pub cursor: Option<Cursor>,
    /// The requester, as it knows itself.
    pub sender: MemberNews,
    /// VMs that the requester has heard of since its last request to this VM.
    pub members: Vec<MemberNews>,
    /// Whether the requester wants no members in return.
    pub brief: bool,
    /// Load of the targets below the requester, or in its failure domain. Left out
    /// unless load is shared: a build without the field refuses longer messages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<PackedLoad>,
}

/// Identifies the state of a VM at the time of a reply. A requester that returns the
/// current cursor lacks nothing, so its request can wait for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    #[serde(rename = "life")]
    incarnation: Incarnation,
    progress: Progress,
    /// Change number of the membership.
    members: u64,
}

impl Cursor {
    /// Cursor of a requester that got the members alone. With the full one, the peer
    /// would hold the next request until its catalogue changes.
    pub(crate) fn without_catalogue(self) -> Cursor {
        Cursor {
            progress: Progress::default(),
            ..self
        }
    }
}

/// Reply to a [`CatalogueRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogueReply {
    /// Changes that the requester lacks; none if they exceed the byte budget for
    /// peers, or if this VM has no catalogue yet.
    pub update: Option<ReplicaUpdate>,
    /// The VM that answers, as it knows itself.
    pub sender: MemberNews,
    /// VMs that the requester may not have heard of.
    pub members: Vec<MemberNews>,
    /// Cursor for the next request.
    pub cursor: Cursor,
    /// Load of the targets, if the request had one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<PackedLoad>,
}

/// Sends a request to the peer at an address, with a timeout.
pub type QueryPeer =
    dyn Fn(Address, CatalogueRequest, Ms) -> CallFuture<CatalogueReply> + Send + Sync;

/// Where a change to the replica came from, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// The platform's store.
    Store,
    /// A peer.
    Peer(VmId),
    /// The end of the time for which the change was held back.
    Deferred,
}

impl fmt::Display for ChangeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeSource::Store => f.write_str("store"),
            ChangeSource::Peer(vm) => write!(f, "{}", vm.0),
            ChangeSource::Deferred => f.write_str("deferred"),
        }
    }
}

/// Event passed to [`Environment::on_event`].
#[derive(Debug)]
pub enum ControlEvent<'a> {
    /// Objects that changed, and the replica after the change.
    Changed(&'a [Object], &'a Replica),
    /// Number of VMs in this VM's failure domain.
    DomainSize(usize),
    /// A call to the store failed.
    StoreFailed(Feed),
}

/// I/O, clock and random numbers of a control plane.
pub struct Environment {
    /// The platform's store.
    pub store: Store,
    /// Queries another VM.
    pub query_peer: Box<QueryPeer>,
    /// This VM's monotonic clock. It must start high enough that instants before the
    /// VM's start can be expressed: peers tell the age of what they know.
    pub clock: Box<dyn Fn() -> Time + Send + Sync>,
    /// Random numbers from 0 to 1, which spread the calls of VMs over time.
    pub random: Box<dyn Fn() -> f64 + Send + Sync>,
    /// Receives changes and store failures.
    pub on_event: Box<dyn Fn(ControlEvent<'_>) + Send + Sync>,
}

/// Progress of a VM's replica, which wakes long polls of peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Progress {
    /// Number of changes.
    changes: u64,
    /// Time up to which all feeds were last confirmed by the store.
    confirmed: Time,
}

/// State shared by the tasks of a control plane.
pub struct ControlState {
    pub(crate) bounds: Bounds,
    replica: Mutex<Replica>,
    members: Mutex<Membership>,
    progress: Observed<Progress>,
    /// Whether this VM reads the store itself.
    pub(crate) reads_store: Observed<bool>,
    /// Wakes the task that applies deferred changes.
    pub(crate) change_deferred: Notify,
    /// Wakes a VM without a catalogue when it hears of a peer.
    pub(crate) peer_learned: Notify,
    /// Wakes feeds that wait for the store.
    store_back: Notify,
    /// Whether no peer answered when this VM last asked several.
    isolated: AtomicBool,
    /// Number of changes that were held back when the replica was last published.
    held: AtomicUsize,
    /// Feeds with a failed store call since the last call of `store_recovered`.
    failing: Mutex<BTreeSet<Feed>>,
    /// Last answer of a peer: when, and how old its catalogue was in percent of the
    /// maximum.
    peer_answer: Mutex<Option<(Time, u64)>>,
    reply_budget: Mutex<ByteBudget>,
    load: Mutex<LoadState>,
    pub(crate) query_peer: Box<QueryPeer>,
    pub(crate) clock: Box<dyn Fn() -> Time + Send + Sync>,
    pub(crate) random: Box<dyn Fn() -> f64 + Send + Sync>,
    on_event: Box<dyn Fn(ControlEvent<'_>) + Send + Sync>,
}

/// Shared load, and whether it is on.
#[derive(Debug)]
struct LoadState {
    table: LoadTable,
    share: Switch,
    /// Whether load is shared now; none before that was first decided.
    on: Option<bool>,
    /// Whether there were shared figures last.
    available: bool,
    /// Number of changes to the replica when the targets were last taken from it.
    changes: u64,
}

/// Token bucket over bytes of replies, with a burst of one second.
#[derive(Debug)]
struct ByteBudget {
    rate: u64,
    bytes: u64,
    refilled_at: Time,
}

impl ByteBudget {
    /// Takes `bytes` if that many are available, or all if the bucket is full: a reply
    /// larger than the burst would never be sent otherwise.
    fn take(&mut self, now: Time, bytes: u64) -> bool {
        let elapsed = now.since(self.refilled_at);
        let refill = elapsed.0.saturating_mul(self.rate) / 1000;
        self.bytes = self.bytes.saturating_add(refill).min(self.rate);
        self.refilled_at = now;
        let available = bytes <= self.bytes || self.bytes == self.rate;
        if available {
            self.bytes = self.bytes.saturating_sub(bytes);
        }
        available
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic in one task must not stop the others, so poisoning is ignored.
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl ControlState {
    /// State of VM `own` without a catalogue. Also returns the store.
    pub(crate) fn new(own: Peer, bounds: Bounds, environment: Environment) -> (Self, Store) {
        let rate = own.link.bytes_per_s() / REPLY_LINK_DIVISOR;
        let load = LoadState {
            table: LoadTable::new(DomainKey::of(&own.domain), LoadBudget::default()),
            share: Switch::Off,
            on: None,
            available: false,
            changes: 0,
        };
        let state = ControlState {
            bounds,
            replica: Mutex::new(Replica::new(bounds)),
            members: Mutex::new(Membership::new(own)),
            progress: Observed::default(),
            reads_store: Observed::default(),
            change_deferred: Notify::new(),
            peer_learned: Notify::new(),
            store_back: Notify::new(),
            isolated: AtomicBool::new(false),
            held: AtomicUsize::new(0),
            failing: Mutex::default(),
            peer_answer: Mutex::default(),
            reply_budget: Mutex::new(ByteBudget {
                rate,
                bytes: rate,
                refilled_at: (environment.clock)(),
            }),
            load: Mutex::new(load),
            query_peer: environment.query_peer,
            clock: environment.clock,
            random: environment.random,
            on_event: environment.on_event,
        };
        (state, environment.store)
    }

    /// Locks the replica.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        lock(&self.replica)
    }

    /// Locks the membership. Not to be held while the replica is locked.
    pub fn members(&self) -> MutexGuard<'_, Membership> {
        lock(&self.members)
    }

    /// Calls `f` with the current time and the locked replica.
    pub(crate) fn with_replica<T>(&self, f: impl FnOnce(Time, &mut Replica) -> T) -> T {
        let mut replica = self.replica();
        f((self.clock)(), &mut replica)
    }

    /// This VM's place among the peers that it can use.
    pub fn position(&self) -> Position {
        let now = (self.clock)();
        let members = self.members();
        let usable: Vec<Peer> = members.usable(now).cloned().collect();
        position(members.own(), &usable)
    }

    /// Number of times that the store came back from an older copy.
    pub fn store_era(&self) -> u16 {
        self.replica().era()
    }

    /// Number of the newest configuration that is in force.
    pub fn config_number(&self) -> u64 {
        self.replica().config_number()
    }

    /// Number of changes that are held back.
    pub fn deferred_changes(&self) -> usize {
        self.replica().deferred_changes()
    }

    /// Number of feeds with a failed store call and no reported recovery since.
    pub fn failing_feeds(&self) -> usize {
        lock(&self.failing).len()
    }

    /// Whether this VM reads the store itself.
    pub fn reads_store(&self) -> bool {
        self.reads_store.get()
    }

    /// Age of the replica in percent of the maximum; the highest value of all feeds.
    pub fn age_percent(&self) -> u64 {
        self.with_replica(|now, replica| replica.age_percent(now))
    }

    /// Age of the catalogue in the last answer of a peer within `ttl`, in percent of
    /// the maximum.
    pub(crate) fn peer_age_percent(&self, ttl: Ms) -> u64 {
        let now = (self.clock)();
        let answer = *lock(&self.peer_answer);
        let recent = answer.filter(|(at, _)| now.since(*at) < ttl);
        recent.map_or(u64::MAX, |(_, percent)| percent)
    }

    /// Whether no peer answered when this VM last asked several.
    pub(crate) fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }

    pub(crate) fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
    }

    /// Returns when this VM has a catalogue.
    pub(crate) async fn has_catalogue(&self) {
        self.progress.wait_for(|p| p.changes > 0).await;
    }

    /// Answers a peer with an encoded [`CatalogueReply`]. Waits for a change if the
    /// peer lacks nothing, and for a catalogue if this VM has none.
    ///
    /// # Errors
    ///
    /// [`Code::NoPeer`] if the reply cannot be encoded.
    pub async fn answer(&self, request: &CatalogueRequest) -> Result<Vec<u8>> {
        let sender = request.sender.peer.member.vm;
        self.merge_members(sender, &request.members, Some(&request.sender));
        self.accept_load(&request.sender, request.load.as_ref());
        self.wait_for_news(request).await;
        let (members, change) = self.members_for(request);
        let own = self.members().own_news();
        let progress = self.progress.get();
        let mut reply = CatalogueReply {
            update: self.with_replica(|now, replica| {
                // Brief requests come often and have no cursor.
                let is_first = request.cursor.is_none() && !request.brief;
                let update = || match is_first {
                    true => replica.first_update(now, &request.from),
                    false => replica.update_since(now, &request.from),
                };
                replica.is_complete().then(update)
            }),
            members,
            cursor: Cursor {
                incarnation: own.peer.member.incarnation,
                progress,
                members: change,
            },
            sender: own,
            load: request.load.as_ref().and_then(|_| {
                let domain = DomainKey::of(&request.sender.peer.domain);
                self.load_report(sender, Recipient::Requester(domain))
            }),
        };
        let body = rmp_serde::to_vec(&reply).map_err(peer_error)?;
        if lock(&self.reply_budget).take((self.clock)(), body.len() as u64) {
            return Ok(body);
        }
        log::info!(target: "peer", vm = sender.0, bytes = body.len();
            "reply exceeds the byte budget; the peer gets only the members");
        reply.update = None;
        rmp_serde::to_vec(&reply).map_err(peer_error)
    }

    async fn wait_for_news(&self, request: &CatalogueRequest) {
        let incarnation = self.members().own().member.incarnation;
        let known = request.cursor.filter(|c| c.incarnation == incarnation);
        let step = Ms(self.bounds.watch_interval().0 / 2);
        let has_news = |progress: &Progress| match known.map(|c| c.progress) {
            _ if progress.changes == 0 => false,
            Some(seen) => {
                seen.changes != progress.changes || progress.confirmed.since(seen.confirmed) >= step
            }
            None => true,
        };
        let limit = match request.load {
            Some(_) => self.bounds.long_poll().min(LOAD_INTERVAL),
            None => self.bounds.long_poll(),
        };
        let wait = Duration::from_millis(request.wait.min(limit).0);
        // A timeout is answered too, with an empty update.
        let _ = tokio::time::timeout(wait, self.progress.wait_for(has_news)).await;
    }

    /// Members to tell a requester, and the change number for its cursor.
    fn members_for(&self, request: &CatalogueRequest) -> (Vec<MemberNews>, u64) {
        let members = self.members();
        let incarnation = members.own().member.incarnation;
        let known = request.cursor.filter(|c| c.incarnation == incarnation);
        let sender = request.sender.peer.member.vm;
        let own = members.own().member.vm;
        let mut news = match request.brief {
            true => Vec::new(),
            false => members.news_since(known.map_or(0, |c| c.members), Some(sender)),
        };
        news.retain(|n| n.peer.member.vm != sender && n.peer.member.vm != own);
        news.extend(members.correction(&request.sender));
        (news, members.changes())
    }

    /// Merges what a peer told of itself and of others.
    pub(crate) fn merge_members(
        &self,
        source: VmId,
        news: &[MemberNews],
        sender: Option<&MemberNews>,
    ) {
        let now = (self.clock)();
        let mut members = self.members();
        let mut changed = false;
        for one in news.iter().chain(sender) {
            changed |= members.merge(now, Some(source), one.clone());
        }
        members.record_contact(now, source);
        self.report_members(members, changed);
    }

    /// Merges peers that the store lists as contact points. They may be gone.
    pub(crate) fn merge_contacts(&self, peers: Vec<Peer>) {
        let now = (self.clock)();
        let mut members = self.members();
        let mut changed = false;
        for peer in peers {
            let news = MemberNews {
                peer,
                refutations: 0,
                condition: Condition::Alive,
            };
            changed |= members.merge(now, None, news);
        }
        self.report_members(members, changed);
    }

    pub(crate) fn report_members(&self, members: MutexGuard<'_, Membership>, changed: bool) {
        if !changed {
            return;
        }
        let domain = members.own().domain.clone();
        let count = members.live_in(&domain).count();
        drop(members);
        self.peer_learned.notify_one();
        (self.on_event)(ControlEvent::DomainSize(count));
    }

    /// Whether an answer is taken so long after its timeout that this VM was suspended
    /// meanwhile, which its timers do not notice.
    pub(crate) fn is_late(&self, sent: Time, timeout: Ms) -> bool {
        (self.clock)().since(sent) > timeout + ANSWER_SLACK
    }

    /// Applies a peer's reply to a request that was sent at `sent` and had `limit` to be
    /// answered. Returns whether it had a catalogue.
    pub(crate) fn apply_reply(&self, reply: CatalogueReply, sent: Time, limit: Ms) -> bool {
        let vm = reply.sender.peer.member.vm;
        self.merge_members(vm, &reply.members, Some(&reply.sender));
        self.accept_load(&reply.sender, reply.load.as_ref());
        let Some(mut update) = reply.update else {
            return false;
        };
        if self.is_late(sent, limit) {
            // The age that the peer tells was true some time ago.
            log::info!(target: "peer", vm = vm.0;
                "reply taken after its timeout; it does not confirm the catalogue");
            update.age = [None; Feed::COUNT];
        }
        let percent = update.age_percent(&self.bounds);
        *lock(&self.peer_answer) = Some(((self.clock)(), percent));
        let changed = self.with_replica(|now, replica| replica.apply_update(now, update));
        self.publish(&changed, ChangeSource::Peer(vm));
        true
    }

    /// Reports changed objects to `on_event`, and wakes long polls of peers if there are
    /// any, if other changes are held back than before, or if the replica was confirmed.
    pub(crate) fn publish(&self, objects: &[Object], source: ChangeSource) {
        let replica = self.replica();
        let held_changed = self.note_held(&replica, source);
        (self.on_event)(ControlEvent::Changed(objects, &replica));
        if replica.next_deferred_change().is_some() {
            self.change_deferred.notify_one();
        }
        let (complete, confirmed) = (replica.is_complete(), replica.confirmed());
        drop(replica);
        log_changes(objects, source);
        if !complete {
            return;
        }
        self.progress.modify(|progress| {
            let changed = !objects.is_empty() || held_changed || progress.changes == 0;
            progress.changes += u64::from(changed);
            let confirmed = confirmed.max(progress.confirmed);
            let advanced = std::mem::replace(&mut progress.confirmed, confirmed) != confirmed;
            changed || advanced
        });
    }

    /// Logs the number of changes that are held back if it is another than before. Returns
    /// whether it is.
    fn note_held(&self, replica: &Replica, source: ChangeSource) -> bool {
        let held = replica.deferred_changes();
        let before = self.held.swap(held, Ordering::Relaxed);
        if held != before {
            log::info!(target: "catalogue", held = held, before = before,
                config = replica.config_number(), era = replica.era(),
                source = source.to_string().as_str();
                "changes held back since the store's return or an outage");
        }
        held != before
    }

    /// Sets whether load is shared, and the bytes per second that this VM may send of it.
    pub fn set_load_sharing(&self, share: Switch, budget: LoadBudget) {
        let mut load = lock(&self.load);
        load.share = share;
        load.table.set_budget(budget);
    }

    /// Sets this VM's own figures. Returns those of all VMs; there are none while load is
    /// not shared. To be called once a second.
    pub fn exchange_load(&self, own: Vec<(Token, TargetLoad)>) -> SharedLoad {
        let now = (self.clock)();
        let vms = {
            let members = self.members();
            members.live_in(&members.own().domain).count()
        };
        let changes = self.progress.get().changes;
        let mut load = lock(&self.load);
        let on = shares_load(load.share, vms);
        if load.on.replace(on) != Some(on) {
            log::info!(target: "load", shared = on, reason = sharing_reason(load.share, vms).as_str();
                "sharing of load decided");
        }
        if !on {
            load.table.clear();
        } else if load.changes != changes || load.changes == 0 {
            load.changes = changes;
            drop(load);
            let targets = self.load_targets();
            load = lock(&self.load);
            load.table.set_targets(targets);
        }
        if on {
            load.table.set_own(now, own);
        }
        let shared = load.table.shared(now);
        let available = !shared.targets.is_empty();
        if std::mem::replace(&mut load.available, available) != available {
            match available {
                true => log::info!(target: "load", vms = shared.vms,
                    targets = shared.targets.len(); "shared load available"),
                false => log::warn!(target: "load", shared = on;
                    "shared load too old; placing by own figures"),
            }
        }
        shared
    }

    /// Targets of the catalogue.
    fn load_targets(&self) -> Vec<LoadTarget> {
        let replica = self.replica();
        let target = |object: &Object| match &object.body {
            Body::Host(host) => Some(LoadTarget {
                domain: DomainKey::of(&host.domain),
                service: rendezvous::hash(host.service.as_str().as_bytes()),
                token: Token::of(host.id, host.incarnation),
            }),
            _ => None,
        };
        replica.catalogue().objects().filter_map(target).collect()
    }

    /// Counters and gauges of shared load.
    pub fn load_stats(&self) -> LoadStats {
        lock(&self.load).table.stats()
    }

    /// Sets whether this VM is the root of its failure domain, which sums up its load.
    pub(crate) fn set_load_root(&self, root: bool) {
        lock(&self.load).table.set_root(root);
    }

    /// Load to send to a peer; none while it is not shared.
    pub(crate) fn load_report(&self, to: VmId, recipient: Recipient) -> Option<PackedLoad> {
        let mut load = lock(&self.load);
        let on = load.on == Some(true);
        on.then(|| load.table.report((self.clock)(), to, recipient))?
    }

    /// Load for a request to a peer that this VM polls: to its parent, or as the root of
    /// its failure domain to another root.
    pub(crate) fn load_request(&self, to: &Peer) -> Option<PackedLoad> {
        let local = self.members().own().domain == to.domain;
        let recipient = match (lock(&self.load).table.is_root(), local) {
            (false, true) => Recipient::Parent,
            (true, false) => Recipient::Root,
            _ => return None,
        };
        self.load_report(to.member.vm, recipient)
    }

    /// Merges the load in a peer's message, if load is shared.
    fn accept_load(&self, sender: &MemberNews, packed: Option<&PackedLoad>) {
        let now = (self.clock)();
        let mut load = lock(&self.load);
        let Some(packed) = packed.filter(|_| load.on == Some(true)) else {
            return;
        };
        let peer = &sender.peer;
        let read = load
            .table
            .accept(now, peer.member, DomainKey::of(&peer.domain), packed);
        if !read {
            log::warn!(target: "load", vm = peer.member.vm.0, bytes = packed.0.len();
                "load report cannot be read; left out");
        }
    }

    /// Records and reports that a call to the store failed.
    pub(crate) fn store_failed(&self, feed: Feed, error: &Error) {
        (self.on_event)(ControlEvent::StoreFailed(feed));
        if lock(&self.failing).insert(feed) {
            log::warn!(target: "store", feed = feed.to_string().as_str(),
                error = error.to_string().as_str();
                "store lost, going on with what is known");
        }
    }

    /// Records that the store answers again.
    pub(crate) fn store_recovered(&self, feed: Feed) {
        self.store_back.notify_waiters();
        if lock(&self.failing).remove(&feed) {
            log::info!(target: "store", feed = feed.to_string().as_str(); "store regained");
        }
    }

    /// Whether the last call for a feed failed.
    pub(crate) fn is_failing(&self, feed: Feed) -> bool {
        lock(&self.failing).contains(&feed)
    }

    /// Returns when the store answers again, or after `limit`.
    pub(crate) async fn wait_for_store(&self, limit: Duration) {
        // A timeout means that the caller tries for itself.
        let _ = tokio::time::timeout(limit, self.store_back.notified()).await;
    }

    /// Starts or stops reading the store.
    pub(crate) fn set_reads_store(&self, on: bool) {
        let changed = self
            .reads_store
            .modify(|reads| std::mem::replace(reads, on) != on);
        if changed {
            log::info!(target: "peer", direct = on; "reads the store itself");
        }
    }

    /// Request for changes to send to `to`, with the members that changed after change
    /// number `members`. Also returns the current change number.
    pub(crate) fn request(
        &self,
        wait: Ms,
        cursor: Option<Cursor>,
        to: Option<VmId>,
        members: u64,
    ) -> (CatalogueRequest, u64) {
        let from = self.replica().revisions();
        let known = self.members();
        let own = known.own().member.vm;
        let mut news = known.news_since(members, to);
        news.retain(|n| n.peer.member.vm != own);
        let request = CatalogueRequest {
            from,
            wait,
            cursor,
            sender: known.own_news(),
            members: news,
            brief: false,
            load: None,
        };
        (request, known.changes())
    }

    /// Request that exchanges no members but this VM itself. It is answered at once.
    pub(crate) fn brief_request(&self) -> CatalogueRequest {
        let (request, _) = self.request(Ms(0), None, None, u64::MAX);
        CatalogueRequest {
            brief: true,
            ..request
        }
    }
}

pub(crate) fn peer_error(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::NoPeer,
        detail: error.to_string().into(),
    }
}

/// Largest number of changes that are logged one by one; more are only counted.
const LOGGED_CHANGES_MAX: usize = 20;

fn log_changes(objects: &[Object], source: ChangeSource) {
    let source = source.to_string();
    if objects.len() > LOGGED_CHANGES_MAX {
        let newest = objects.iter().map(|o| o.version).max().unwrap_or_default();
        log::info!(target: "catalogue", objects = objects.len(), newest = newest.revision(),
            era = newest.era(), source = source.as_str();
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
            version = object.version.revision(), era = object.version.era(),
            state = state.as_str(), config = object.change, source = source.as_str(); "changed");
    }
}
