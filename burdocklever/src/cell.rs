//! A cell: the VMs of one failure domain, their liveness, view and leases.
//!
//! The view is a platform object, moved only by conditional writes. Acting
//! under it needs a lease: grants less than [`LEASE`] old from a majority of its
//! members, which ride on heartbeats. A new view is active once so many members
//! of each older view have let their grants lapse that no majority remains.

use std::collections::BTreeMap;

use wire::{Member, View, ViewNumber, VmId};

use crate::msg::{Heartbeat, Load};
use crate::time::{Ms, Time};

/// Time between heartbeats to one peer.
pub const HEARTBEAT: Ms = Ms(250);
/// Silence after which a peer is believed dead.
pub const PEER_TIMEOUT: Ms = Ms(1000);
/// Time for which a grant holds, counted from the heartbeat that it answers.
pub const LEASE: Ms = Ms(1500);
/// Largest share of a second by which clocks drift: one in this many.
pub const DRIFT_DIVISOR: u64 = 64;
/// Time for which a changed set of live members must last before it is proposed.
pub(crate) const STABLE_TIME: Ms = Ms(500);
/// Time that a VM waits before it proposes the first view or replaces a view
/// whose members are all silent.
pub(crate) const VIEW_TAKEOVER_DELAY: Ms = Ms(3000);

/// Time between two proposals of one VM.
const PROPOSE_INTERVAL: Ms = Ms(1000);

/// Grant period as its giver must count it, with the largest drift.
const GRANT_TIME: Ms = Ms(LEASE.0 + LEASE.0 / DRIFT_DIVISOR + 1);

/// What a VM knows of a peer in its failure domain.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Which life.
    pub(crate) member: Member,
    /// When the last heartbeat arrived.
    pub(crate) last_heard: Time,
    /// The last heartbeat.
    pub(crate) last_heartbeat: Heartbeat,
    /// When the last grant to the peer grant_ends.
    granted_until: Time,
    /// Until when the peer's grant to this VM holds, and under which view.
    grant: Time,
    grant_view: ViewNumber,
}

/// A cell as one of its VMs sees it.
#[derive(Debug, Clone)]
pub(crate) struct Cell {
    me: Member,
    view: View,
    view_since: Time,
    peers: BTreeMap<VmId, Peer>,
    grant_ends: BTreeMap<Member, Time>,
    /// When every grant made under older views grant_ends.
    old_grants_end: Time,
    proposal: Vec<Member>,
    proposal_since: Time,
    started: Time,
    propose_due: Time,
}

impl Cell {
    pub(crate) fn new(me: Member, now: Time) -> Cell {
        Cell {
            me,
            view: View {
                number: ViewNumber(0),
                members: Vec::new(),
                previous: Vec::new(),
            },
            view_since: now,
            peers: BTreeMap::new(),
            grant_ends: BTreeMap::new(),
            old_grants_end: now,
            proposal: Vec::new(),
            proposal_since: now,
            started: now,
            propose_due: now,
        }
    }

    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    pub(crate) fn is_member(&self) -> bool {
        self.view.members.contains(&self.me)
    }

    /// Follows a newer view. Grants under older ones are made no more.
    pub(crate) fn set_view(&mut self, now: Time, view: &View) -> bool {
        if view.number <= self.view.number {
            return false;
        }
        let granted_until = self.peers.values().map(|p| p.granted_until);
        self.old_grants_end = granted_until.fold(self.old_grants_end, Time::max);
        self.view = view.clone();
        self.view_since = now;
        self.grant_ends.clear();
        self.grant_ends.insert(self.me, self.old_grants_end);
        true
    }

    /// Takes in a peer's heartbeat. A life older than one last_heard before is ignored.
    pub(crate) fn handle_heartbeat(&mut self, now: Time, from: Member, beat: Heartbeat) -> bool {
        let known = self.peers.get(&from.vm);
        if known.is_some_and(|p| p.member.incarnation > from.incarnation) {
            return false;
        }
        let reordered = known.is_some_and(|p| p.member == from && p.last_heartbeat.at > beat.at);
        if reordered {
            return false;
        }
        if let Some(ended) = known.map(|p| p.member).filter(|m| *m != from) {
            self.record_gone(now, ended);
        }
        let known = self.peers.get(&from.vm);
        let same = known.filter(|p| p.member == from);
        let mut peer = Peer {
            member: from,
            last_heard: now,
            granted_until: known.map_or(now, |p| p.granted_until),
            grant: same.map_or(Time(0), |p| p.grant),
            grant_view: same.map_or(ViewNumber(0), |p| p.grant_view),
            last_heartbeat: beat,
        };
        if let Some(echo) = peer.last_heartbeat.echo {
            if peer.last_heartbeat.view == self.view.number {
                let until = echo + LEASE;
                peer.grant = if peer.grant_view == self.view.number {
                    peer.grant.max(until)
                } else {
                    until
                };
                peer.grant_view = self.view.number;
            }
        }
        if peer.last_heartbeat.view >= self.view.number {
            let lapse = now + drifted(peer.last_heartbeat.lapse);
            self.grant_ends.entry(from).or_insert(lapse);
        }
        self.peers.insert(from.vm, peer);
        true
    }

    /// Echo for a heartbeat to `to`, recorded as a grant.
    pub(crate) fn grant(&mut self, now: Time, to: VmId) -> Option<Time> {
        let number = self.view.number;
        let members = &self.view.members;
        let peer = self.peers.get_mut(&to)?;
        if peer.last_heartbeat.view != number || !members.contains(&peer.member) {
            return None;
        }
        peer.granted_until = now + GRANT_TIME;
        Some(peer.last_heartbeat.at)
    }

    /// Time until no grant that this VM made under an older view runs.
    pub(crate) fn old_grants_left(&self, now: Time) -> Ms {
        self.old_grants_end.since(now)
    }

    /// Notes that the platform says a member has ended: it grants no more.
    pub(crate) fn record_gone(&mut self, now: Time, member: Member) {
        self.grant_ends.entry(member).or_insert(now + GRANT_TIME);
    }

    /// End of this VM's lease under the current view, if it is a member.
    pub(crate) fn lease(&self) -> Option<Time> {
        if !self.is_member() {
            return None;
        }
        let number = self.view.number;
        let own = std::iter::once(Time(u64::MAX));
        let others = self.view.members.iter().filter_map(|m| {
            let peer = self.peers.get(&m.vm)?;
            (peer.member == *m && peer.grant_view == number).then_some(peer.grant)
        });
        let mut grants: Vec<Time> = own.chain(others).collect();
        grants.sort_by_key(|t| std::cmp::Reverse(*t));
        grants.get(majority(self.view.members.len()) - 1).copied()
    }

    /// Whether this VM's lease holds at `now`.
    pub(crate) fn holds_lease(&self, now: Time) -> bool {
        self.lease().is_some_and(|until| now < until)
    }

    /// When no lease under an older view can run any more, if that is known.
    pub(crate) fn active_at(&self) -> Option<Time> {
        let mut at = self.view_since;
        for members in &self.view.previous {
            let mut grant_ends: Vec<Time> = members
                .iter()
                .filter_map(|m| self.grant_ends.get(m).copied())
                .collect();
            grant_ends.sort();
            let need = members.len() - majority(members.len()) + 1;
            at = at.max(*grant_ends.get(need - 1)?);
        }
        Some(at)
    }

    pub(crate) fn is_active(&self, now: Time) -> bool {
        self.active_at().is_some_and(|at| now >= at)
    }

    /// Whether a peer was last_heard within [`PEER_TIMEOUT`].
    pub(crate) fn is_alive(&self, now: Time, member: Member) -> bool {
        member == self.me
            || self
                .peers
                .get(&member.vm)
                .is_some_and(|p| p.member == member && now.since(p.last_heard) < PEER_TIMEOUT)
    }

    /// Peers last_heard within [`PEER_TIMEOUT`].
    pub(crate) fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |p| now.since(p.last_heard) < PEER_TIMEOUT)
    }

    /// Members of the view that are believed alive, or all if none is.
    pub(crate) fn live_members(&self, now: Time) -> Vec<Member> {
        let alive = |m: &&Member| self.is_alive(now, **m);
        let live: Vec<Member> = self.view.members.iter().filter(alive).copied().collect();
        if live.is_empty() {
            self.view.members.clone()
        } else {
            live
        }
    }

    pub(crate) fn peer(&self, vm: VmId) -> Option<&Peer> {
        self.peers.get(&vm)
    }

    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Loads that live peers told of the targets that they control admission to.
    pub(crate) fn loads(&self, now: Time) -> impl Iterator<Item = (Member, &Load)> {
        self.alive(now)
            .flat_map(|p| p.last_heartbeat.loads.iter().map(move |l| (p.member, l)))
    }

    /// The next view, if this VM should write it now.
    pub(crate) fn propose(&mut self, now: Time, leaving: bool, settled: bool) -> Option<View> {
        let mut wanted: Vec<Member> = self
            .alive(now)
            .filter(|p| !p.last_heartbeat.leaving)
            .map(|p| p.member)
            .collect();
        if !leaving {
            wanted.push(self.me);
        }
        wanted.sort();
        if wanted != self.proposal {
            self.proposal = wanted;
            self.proposal_since = now;
        }
        let steady = now.since(self.proposal_since) >= STABLE_TIME;
        let changed = self.proposal != self.view.members && !self.proposal.is_empty();
        if !steady || !changed || !self.is_proposer(now) {
            return None;
        }
        if !settled && now.since(self.view_since) < VIEW_TAKEOVER_DELAY {
            return None;
        }
        if now < self.propose_due {
            return None;
        }
        self.propose_due = now + PROPOSE_INTERVAL;
        Some(self.next_view(now))
    }

    fn next_view(&self, now: Time) -> View {
        let mut old = if self.is_active(now) {
            Vec::new()
        } else {
            self.view.previous.clone()
        };
        if !self.view.members.is_empty() {
            old.push(self.view.members.clone());
        }
        old.dedup();
        View {
            number: ViewNumber(self.view.number.0 + 1),
            members: self.proposal.clone(),
            previous: old,
        }
    }

    /// The first live member proposes; without one, the first live VM does
    /// after [`VIEW_TAKEOVER_DELAY`].
    fn is_proposer(&self, now: Time) -> bool {
        let members = &self.view.members;
        let first = members.iter().find(|m| self.is_alive(now, **m));
        if let Some(first) = first {
            return *first == self.me;
        }
        let quiet = members
            .iter()
            .filter_map(|m| self.peers.get(&m.vm).filter(|p| p.member == *m))
            .all(|p| now.since(p.last_heard) >= VIEW_TAKEOVER_DELAY);
        quiet
            && now.since(self.started) >= VIEW_TAKEOVER_DELAY
            && self.proposal.first() == Some(&self.me)
    }
}

fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// A peer's span as this VM must count it, with the largest drift.
fn drifted(span: Ms) -> Ms {
    Ms(span.0 + span.0 / DRIFT_DIVISOR + 1)
}
