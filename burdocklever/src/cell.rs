//! A cell: the entry VMs of one failure domain, their liveness, view and leases.
//!
//! The view is the cell's current membership: a platform object that changes only
//! by conditional writes. To act under it, a VM needs a lease: grants less than
//! [`LEASE`] old from a majority of the members, carried by heartbeats. A new view
//! is active once the grants of so many members of each earlier view have expired
//! that no majority remains there.

use std::collections::BTreeMap;

use wire::{Member, View, ViewNumber, VmId};

use crate::msg::{Heartbeat, Load};
use crate::time::{Ms, Time};

/// Time between heartbeats to one peer.
pub const HEARTBEAT: Ms = Ms(250);
/// Time without a heartbeat after which a peer counts as failed.
pub const PEER_TIMEOUT: Ms = Ms(1000);
/// Validity of a grant, from the sending of the heartbeat that it answers.
pub const LEASE: Ms = Ms(1500);
/// Largest clock drift, as a divisor: 1 ms in this many milliseconds.
pub const DRIFT_DIVISOR: u64 = 64;
/// Time for which the set of live members must be unchanged before it is proposed.
pub(crate) const STABLE_TIME: Ms = Ms(500);
/// Time that a VM waits before it proposes the first view, or replaces a view whose
/// members are all silent or whose claim transfer does not finish.
pub(crate) const VIEW_TAKEOVER_DELAY: Ms = Ms(3000);

/// Shortest time between two proposals of one VM.
const PROPOSE_INTERVAL: Ms = Ms(1000);

/// Validity of a grant on the clock of its giver, with the largest drift.
const GRANT_TIME: Ms = Ms(LEASE.0 + LEASE.0 / DRIFT_DIVISOR + 1);

/// State of a peer in the same failure domain.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its latest incarnation.
    pub(crate) member: Member,
    /// Arrival of the last heartbeat.
    pub(crate) last_heard: Time,
    pub(crate) last_heartbeat: Heartbeat,
    /// Expiry of the last grant to the peer.
    granted_until: Time,
    /// Expiry of the peer's grant to this VM.
    lease_until: Time,
    /// View under which the peer made that grant.
    lease_view: ViewNumber,
}

/// State of a cell, as seen by one of its VMs.
#[derive(Debug, Clone)]
pub(crate) struct Cell {
    me: Member,
    view: View,
    /// When this VM learnt of the view.
    view_since: Time,
    peers: BTreeMap<VmId, Peer>,
    /// When the grants that each member made under earlier views have expired.
    grant_expiry: BTreeMap<Member, Time>,
    /// Expiry of the last grant that this VM made under an earlier view.
    own_expiry: Time,
    /// Live members, as the next view would have them, and since when.
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
            grant_expiry: BTreeMap::new(),
            own_expiry: now,
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

    /// Switches to a newer view and makes no further grants under earlier ones.
    /// Returns whether the view was newer.
    pub(crate) fn set_view(&mut self, now: Time, view: &View) -> bool {
        if view.number <= self.view.number {
            return false;
        }
        let granted_until = self.peers.values().map(|p| p.granted_until);
        self.own_expiry = granted_until.fold(self.own_expiry, Time::max);
        self.view = view.clone();
        self.view_since = now;
        self.grant_expiry.clear();
        self.grant_expiry.insert(self.me, self.own_expiry);
        true
    }

    /// Records a peer's heartbeat. Returns false for one that is out of order or from
    /// an earlier incarnation; these are ignored.
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
            lease_until: same.map_or(Time(0), |p| p.lease_until),
            lease_view: same.map_or(ViewNumber(0), |p| p.lease_view),
            last_heartbeat: beat,
        };
        if let Some(echo) = peer.last_heartbeat.echo {
            if peer.last_heartbeat.view == self.view.number {
                let until = echo + LEASE;
                peer.lease_until = if peer.lease_view == self.view.number {
                    peer.lease_until.max(until)
                } else {
                    until
                };
                peer.lease_view = self.view.number;
            }
        }
        if peer.last_heartbeat.view >= self.view.number {
            let expiry = now + with_drift(peer.last_heartbeat.grants_expire);
            self.grant_expiry.entry(from).or_insert(expiry);
        }
        self.peers.insert(from.vm, peer);
        true
    }

    /// Makes a grant to `to`. Returns the echo that carries it in the next heartbeat.
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

    /// Time until the last grant that this VM made under an earlier view expires.
    pub(crate) fn old_grants_left(&self, now: Time) -> Ms {
        self.own_expiry.since(now)
    }

    /// Records that a member has ended, as listed by the platform: it makes no further
    /// grants.
    pub(crate) fn record_gone(&mut self, now: Time, member: Member) {
        self.grant_expiry.entry(member).or_insert(now + GRANT_TIME);
    }

    /// Expiry of this VM's lease under the current view, if it is a member.
    pub(crate) fn lease(&self) -> Option<Time> {
        if !self.is_member() {
            return None;
        }
        let number = self.view.number;
        let own = std::iter::once(Time(u64::MAX));
        let others = self.view.members.iter().filter_map(|m| {
            let peer = self.peers.get(&m.vm)?;
            (peer.member == *m && peer.lease_view == number).then_some(peer.lease_until)
        });
        let mut grants: Vec<Time> = own.chain(others).collect();
        grants.sort_by_key(|t| std::cmp::Reverse(*t));
        grants.get(majority(self.view.members.len()) - 1).copied()
    }

    /// Whether this VM's lease holds at `now`.
    pub(crate) fn holds_lease(&self, now: Time) -> bool {
        self.lease().is_some_and(|until| now < until)
    }

    /// When every lease under an earlier view has expired, if that is known.
    pub(crate) fn active_at(&self) -> Option<Time> {
        let mut at = self.view_since;
        for members in &self.view.previous {
            let mut expiries: Vec<Time> = members
                .iter()
                .filter_map(|m| self.grant_expiry.get(m).copied())
                .collect();
            expiries.sort();
            let need = members.len() - majority(members.len()) + 1;
            at = at.max(*expiries.get(need - 1)?);
        }
        Some(at)
    }

    pub(crate) fn is_active(&self, now: Time) -> bool {
        self.active_at().is_some_and(|at| now >= at)
    }

    /// Whether a heartbeat of a peer arrived within [`PEER_TIMEOUT`].
    pub(crate) fn is_alive(&self, now: Time, member: Member) -> bool {
        member == self.me
            || self
                .peers
                .get(&member.vm)
                .is_some_and(|p| p.member == member && now.since(p.last_heard) < PEER_TIMEOUT)
    }

    /// Peers with a heartbeat within [`PEER_TIMEOUT`].
    pub(crate) fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |p| now.since(p.last_heard) < PEER_TIMEOUT)
    }

    /// Members of the view that count as alive, or all of them if none does.
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

    /// Loads reported by live peers for the targets that they control admission to.
    pub(crate) fn loads(&self, now: Time) -> impl Iterator<Item = (Member, &Load)> {
        self.alive(now)
            .flat_map(|p| p.last_heartbeat.loads.iter().map(move |l| (p.member, l)))
    }

    /// Returns the next view if this VM should write it now. `transferred` says whether
    /// the claims of earlier views have been transferred.
    pub(crate) fn propose(&mut self, now: Time, leaving: bool, transferred: bool) -> Option<View> {
        let mut members: Vec<Member> = self
            .alive(now)
            .filter(|p| !p.last_heartbeat.leaving)
            .map(|p| p.member)
            .collect();
        if !leaving {
            members.push(self.me);
        }
        members.sort();
        if members != self.proposal {
            self.proposal = members;
            self.proposal_since = now;
        }
        let stable = now.since(self.proposal_since) >= STABLE_TIME;
        let changed = self.proposal != self.view.members && !self.proposal.is_empty();
        if !stable || !changed || !self.is_proposer(now) {
            return None;
        }
        if !transferred && now.since(self.view_since) < VIEW_TAKEOVER_DELAY {
            return None;
        }
        if now < self.propose_due {
            return None;
        }
        self.propose_due = now + PROPOSE_INTERVAL;
        Some(self.next_view(now))
    }

    fn next_view(&self, now: Time) -> View {
        let mut previous = if self.is_active(now) {
            Vec::new()
        } else {
            self.view.previous.clone()
        };
        if !self.view.members.is_empty() {
            previous.push(self.view.members.clone());
        }
        previous.dedup();
        View {
            number: ViewNumber(self.view.number.0 + 1),
            members: self.proposal.clone(),
            previous,
        }
    }

    /// The first live member proposes. If there is none, the first live VM does so
    /// after [`VIEW_TAKEOVER_DELAY`].
    fn is_proposer(&self, now: Time) -> bool {
        let members = &self.view.members;
        let first = members.iter().find(|m| self.is_alive(now, **m));
        if let Some(first) = first {
            return *first == self.me;
        }
        let all_silent = members
            .iter()
            .filter_map(|m| self.peers.get(&m.vm).filter(|p| p.member == *m))
            .all(|p| now.since(p.last_heard) >= VIEW_TAKEOVER_DELAY);
        all_silent
            && now.since(self.started) >= VIEW_TAKEOVER_DELAY
            && self.proposal.first() == Some(&self.me)
    }
}

fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Upper bound, on this VM's clock, of a time span measured on a peer's clock.
fn with_drift(span: Ms) -> Ms {
    Ms(span.0 + span.0 / DRIFT_DIVISOR + 1)
}
