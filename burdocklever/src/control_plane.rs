//! Keeps a VM's replica of the catalogue up to date, from peers or from the store.
//!
//! All I/O goes through an [`Environment`]. A gateway supplies real sockets and
//! clocks; a simulation supplies virtual ones and runs a whole fleet in one process.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use wire::{Address, VmId};

use crate::contacts::publish_contacts;
use crate::control_state::{ChangeSource, ControlState, Cursor, Environment};
use crate::feed_watch::watch_feed;
use crate::freshness::Bounds;
use crate::join::{join, Start};
use crate::membership::{Peer, AVOID_TIME};
use crate::peer_selection::{reads_for_itself, Position, Staleness, SEEK_PERCENT};
use crate::platform_client::{Error, Result};
use crate::store::{Feed, Store};
use crate::time::{Ms, Time};

/// Time allowed for the round trip to a peer, including its processing.
const ROUND_TRIP_MAX: Ms = Ms(400);
/// Pause after a peer failed to answer.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a peer had no catalogue to give, or too little of its byte budget left.
const WITHHELD_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which a store reader checks whether it still is one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request for a fresher catalogue.
const SEEK_TIMEOUT: Ms = Ms(300);
/// Pause between such requests at first, and its limit as it doubles.
const SEEK_PAUSE: Ms = Ms(200);
const SEEK_PAUSE_MAX: Ms = Ms(800);
/// Interval at which a VM with a stale replica checks whether to read the store.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the root of a failure domain exchanges members with another.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Of that many exchanges, one is with a VM that counts as gone.
const GONE_TURN: u64 = 8;
/// Requests a second to seeds, by the whole fleet. By them a seed that has just
/// started learns of the others.
const SEED_REQUESTS_PER_S: u64 = 8;
/// Interval at which conditions of members expire.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a request of a VM that polls this one after which it is suspect.
const CHILD_SILENCE: Ms = Ms(10_000);
/// Shortest interval at which deferred changes are checked.
const DUE_CHECK_MIN: Duration = Duration::from_millis(50);
/// Number of peers of any failure domain that are queried in parallel to check
/// this VM's link.
const LINK_PROBES: usize = 2;

/// Tasks that keep a VM's replica up to date. They end when this is dropped.
pub struct ControlPlane {
    state: Arc<ControlState>,
    tasks: JoinSet<()>,
    /// Whether this VM answers peers, and asks them.
    answers_peers: bool,
}

impl ControlPlane {
    /// Starts the tasks of VM `own`. A VM that does not answer peers reads the store
    /// itself.
    pub fn spawn(
        own: Peer,
        answers_peers: bool,
        bounds: Bounds,
        start: &Start,
        environment: Environment,
    ) -> ControlPlane {
        let (state, store) = ControlState::new(own, bounds, environment);
        let mut control = ControlPlane {
            state: Arc::new(state),
            tasks: JoinSet::new(),
            answers_peers,
        };
        control.restart(start, store);
        control
    }

    /// Restarts all tasks with another store. The replica is kept.
    pub fn restart(&mut self, start: &Start, store: Store) {
        self.tasks.abort_all();
        let store = Arc::new(store);
        for feed in Feed::ALL {
            let watching = watch_feed(self.state.clone(), store.clone(), feed);
            self.tasks.spawn(watching);
        }
        self.tasks.spawn(apply_deferred_changes(self.state.clone()));
        if !self.answers_peers {
            self.state.set_reads_store(true);
            return;
        }
        let (state, start) = (self.state.clone(), start.clone());
        self.tasks.spawn(async move {
            join(&state, &store, &start).await;
            tokio::join!(
                follow(&state),
                seek(&state),
                gossip(&state),
                greet_seeds(&state, &start.seeds),
                expire_members(&state),
                publish_contacts(&state, &store),
            );
        });
    }

    /// State shared with the tasks.
    pub fn state(&self) -> Arc<ControlState> {
        self.state.clone()
    }

    /// Tells a peer that this VM stops.
    pub async fn leave(&self) {
        if !self.answers_peers {
            return;
        }
        self.state.members().leave();
        let position = self.state.position();
        let peer = position.parent.as_ref().or(position.roots.first());
        if let Some(peer) = peer {
            // Without an answer the others find out by themselves.
            let _ = self.state.query(peer, Ms(0), &mut Link::default()).await;
        }
    }
}

/// State of the exchange with one peer.
#[derive(Debug, Default)]
struct Link {
    cursor: Option<Cursor>,
    /// This VM's change number of the members that the peer was told.
    members: u64,
}

impl ControlState {
    /// Queries a peer, which may hold the request for `wait`, and applies its reply.
    /// Returns whether the reply had a catalogue.
    async fn query(&self, peer: &Peer, wait: Ms, link: &mut Link) -> Result<bool> {
        let vm = peer.member.vm;
        let (mut request, members) = self.request(wait, link.cursor, Some(vm), link.members);
        request.load = self.load_request(peer);
        let limit = wait + ROUND_TRIP_MAX;
        let sent = (self.clock)();
        let reply = (self.query_peer)(peer.address, request, limit).await;
        match reply {
            Ok(reply) => {
                link.members = members;
                link.cursor = Some(match reply.update {
                    Some(_) => reply.cursor,
                    None => reply.cursor.without_catalogue(),
                });
                Ok(self.apply_reply(reply, sent, limit))
            }
            Err(error) => {
                *link = Link::default();
                self.record_failure(vm, &error);
                Err(error)
            }
        }
    }

    fn record_failure(&self, vm: VmId, error: &Error) {
        let now = (self.clock)();
        self.members().record_failure(now, vm, AVOID_TIME);
        log::info!(target: "peer", vm = vm.0, error = error.to_string().as_str();
            "peer passed over for a while");
    }

    /// Whether any peer sends any response within `limit`. Several random peers are
    /// queried in parallel, since some may be down.
    pub async fn any_peer_responds(&self, limit: Ms) -> bool {
        let mut queries = JoinSet::new();
        for peer in self.sample_peers() {
            queries.spawn((self.query_peer)(peer.address, self.brief_request(), limit));
        }
        let first = async {
            while let Some(reply) = queries.join_next().await {
                if let Ok(Ok(_)) = reply {
                    return true;
                }
            }
            false
        };
        let limit = Duration::from_millis(limit.0);
        tokio::time::timeout(limit, first).await.unwrap_or(false)
    }

    /// Random peers: one of this VM's failure domain, which may be cut off from the
    /// others, and [`LINK_PROBES`] of any domain.
    fn sample_peers(&self) -> Vec<Peer> {
        let now = (self.clock)();
        let members = self.members();
        let all: Vec<&Peer> = members.usable(now).collect();
        let domain = &members.own().domain;
        let local: Vec<&Peer> = all
            .iter()
            .copied()
            .filter(|p| p.domain == *domain)
            .collect();
        let pick = |list: &[&Peer]| {
            let index = ((self.random)() * list.len() as f64) as usize;
            list.get(index).map(|p| (*p).clone())
        };
        let any = (0..LINK_PROBES).filter_map(|_| pick(&all));
        pick(&local).into_iter().chain(any).collect()
    }
}

/// Long-polls the peer above this VM. A store reader has none.
async fn follow(state: &ControlState) {
    let mut current = None;
    let mut link = Link::default();
    loop {
        let position = state.position();
        update_reading(state, &position);
        state.set_load_root(position.rank == 0);
        let next = position.parent.as_ref().map(|p| p.member.vm);
        if next != current {
            log::info!(target: "peer", from = current.map_or(0, |v: VmId| v.0),
                to = next.map_or(0, |v| v.0), rank = position.rank;
                "source of the catalogue changes; 0 is the store");
            current = next;
            link = Link::default();
        }
        let Some(peer) = position.parent else {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        };
        let pause = match state
            .query(&peer, state.bounds.long_poll(), &mut link)
            .await
        {
            Ok(true) => continue,
            Ok(false) => WITHHELD_PAUSE,
            Err(_) => PEER_RETRY_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Starts or stops reading the store, as this VM's place and its replica require.
fn update_reading(state: &ControlState, position: &Position) {
    let staleness = Staleness {
        age: state.age_percent(),
        peer_age: state.peer_age_percent(state.bounds.watch_interval()),
        isolated: state.is_isolated(),
        reading: state.reads_store(),
    };
    let reads = position.is_reader() || reads_for_itself(position.rank, staleness);
    state.set_reads_store(reads);
}

/// Asks further peers while the replica is stale, and has this VM read the store if
/// they cannot help. A store reader also asks while it cannot reach the store, or
/// cannot tell yet whether an outage affected all VMs: the peers that poll it then lag
/// little behind those of the other reader.
async fn seek(state: &ControlState) {
    let mut turn = 0;
    let mut pause = SEEK_PAUSE;
    let mut asked_at = Time(0);
    loop {
        let position = state.position();
        let now = (state.clock)();
        let in_doubt = position.is_reader()
            && (state.failing_feeds() > 0 || state.replica().in_grace_period(now));
        let fresh_for = state.with_replica(|now, r| r.time_until_age(now, SEEK_PERCENT));
        if fresh_for > Ms(0) && !in_doubt {
            pause = SEEK_PAUSE;
            state.set_isolated(false);
            let limit = match position.is_reader() {
                true => READER_CHECK_INTERVAL,
                false => Duration::MAX,
            };
            tokio::time::sleep(limit.min(Duration::from_millis(fresh_for.0))).await;
            continue;
        }
        if now.since(asked_at) >= pause {
            asked_at = now;
            turn += 1;
            state.set_isolated(!ask_alternatives(state, &position, turn).await);
            pause = SEEK_PAUSE_MAX.min(Ms(pause.0 * 2));
        }
        update_reading(state, &state.position());
        tokio::time::sleep(STALE_CHECK_INTERVAL).await;
    }
}

/// Asks some alternatives to the peer above this VM. Returns whether any answered.
async fn ask_alternatives(state: &ControlState, position: &Position, turn: usize) -> bool {
    let mut calls = JoinSet::new();
    let sent = (state.clock)();
    for peer in position.alternatives(turn, &state.random) {
        let vm = peer.member.vm;
        let call = (state.query_peer)(peer.address, state.brief_request(), SEEK_TIMEOUT);
        calls.spawn(async move { (vm, call.await) });
    }
    let mut answered = false;
    while let Some(done) = calls.join_next().await {
        match done {
            Ok((_, Ok(reply))) => {
                answered = true;
                state.apply_reply(reply, sent, SEEK_TIMEOUT);
            }
            Ok((vm, Err(error))) => state.record_failure(vm, &error),
            Err(error) => log::error!(target: "peer", error = error.to_string().as_str();
                "request to a peer was not finished"),
        }
    }
    answered
}

/// Exchanges members with the roots of the other failure domains in turn, and at
/// times with a VM that counts as gone. Only the root of a failure domain does.
async fn gossip(state: &ControlState) {
    let mut links: HashMap<VmId, Link> = HashMap::new();
    let mut turn: u64 = 0;
    loop {
        tokio::time::sleep(GOSSIP_INTERVAL).await;
        let position = state.position();
        if position.rank > 0 {
            links.clear();
            continue;
        }
        turn += 1;
        let peer = match turn % GONE_TURN {
            0 => {
                let members = state.members();
                let gone: Vec<&Peer> = members.gone().collect();
                let index = ((state.random)() * gone.len() as f64) as usize;
                gone.get(index).map(|p| (*p).clone())
            }
            _ => {
                let index = turn as usize % position.roots.len().max(1);
                position.roots.get(index).cloned()
            }
        };
        if let Some(peer) = peer {
            let link = links.entry(peer.member.vm).or_default();
            // A failure is recorded and logged by the query.
            let _ = state.query(&peer, Ms(0), link).await;
        }
    }
}

/// Sends a request to a seed now and then, so that one that has just started learns
/// of this VM.
async fn greet_seeds(state: &ControlState, seeds: &[Address]) {
    let own = state.members().own().clone();
    let seeds: Vec<Address> = seeds
        .iter()
        .copied()
        .filter(|s| *s != own.address)
        .collect();
    if seeds.is_empty() {
        return;
    }
    loop {
        let (vms, domains) = {
            let position = state.position();
            let members = state.members();
            (
                members.live_in(&own.domain).count(),
                position.roots.len() + 1,
            )
        };
        let interval = (vms * domains) as u64 * 1000 / SEED_REQUESTS_PER_S;
        let spread = 0.5 + (state.random)();
        let pause = Duration::from_millis(interval.max(500)).mul_f64(spread);
        tokio::time::sleep(pause).await;
        let index = ((state.random)() * seeds.len() as f64) as usize;
        let Some(seed) = seeds.get(index) else {
            continue;
        };
        // Seeds may be gone for good, so a failure is no event.
        let sent = (state.clock)();
        if let Ok(reply) = (state.query_peer)(*seed, state.brief_request(), ROUND_TRIP_MAX).await {
            state.apply_reply(reply, sent, ROUND_TRIP_MAX);
        }
    }
}

/// Expires the conditions of members, and suspects VMs that ought to poll this one
/// but do not.
async fn expire_members(state: &ControlState) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let children = state.position().children;
        let now = (state.clock)();
        let mut members = state.members();
        let before = members.changes();
        let silent_since = Time(now.0.saturating_sub(CHILD_SILENCE.0));
        for child in children {
            if !members.is_heard_since(child, silent_since) {
                members.record_failure(now, child, Ms(0));
            }
        }
        members.expire(now);
        let changed = members.changes() != before;
        state.report_members(members, changed);
    }
}

/// Applies what an outage or an older copy of the store would undo, once the time to
/// write it again has passed.
async fn apply_deferred_changes(state: Arc<ControlState>) {
    loop {
        let next = state
            .with_replica(|now, replica| replica.next_deferred_change().map(|at| at.since(now)));
        let wait = match next {
            // What is overdue waits for the next confirmation by the store.
            Some(wait) => Duration::from_millis(wait.0).max(DUE_CHECK_MIN),
            None => Duration::MAX,
        };
        tokio::select! {
            biased;
            () = tokio::time::sleep(wait) => {}
            // An earlier one may have been added.
            () = state.change_deferred.notified() => {}
        }
        for feed in Feed::ALL {
            let due = state.with_replica(|now, replica| replica.apply_due_changes(now, feed));
            if !due.is_empty() {
                state.publish(&due, ChangeSource::Deferred);
            }
        }
    }
}
