//! Which entry VMs exist, as the VMs tell each other.
//!
//! Each VM keeps an entry for every VM of its own failure domain and for the
//! first-ranked ones of each other domain. Entries travel with the catalogue
//! exchange. Of two entries for a VM the one with the higher incarnation is valid,
//! then the one with more refutations, then the worse condition. A VM that hears
//! that it is suspect or gone refutes it with a higher entry, so merging is a join:
//! order, loss and repetition do not matter.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire::{Address, DomainId, Incarnation, Member, VmId};

use crate::link_rate::LinkRate;
use crate::rendezvous;
use crate::time::{Ms, Time};

/// Time for which a peer that failed to answer is not selected by this VM.
pub(crate) const AVOID_TIME: Ms = Ms(5000);
/// Time after which a suspect that has not refuted counts as gone.
const SUSPICION_TIMEOUT: Ms = Ms(5000);
/// Time for which a failure to reach a peer may still make it suspect. It does so
/// only once another peer answers: before, this VM itself may be cut off.
const ACCUSATION_TTL: Ms = Ms(10_000);
/// Time after which an entry of a gone VM is dropped.
const FORGET_AFTER: Ms = Ms(120_000);
/// Number of live entries kept of each other failure domain.
const FOREIGN_MAX: usize = 8;
/// Rendezvous key by which all VMs rank each other.
const RANK_KEY: u64 = 0;

/// An entry VM as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Identifier and incarnation.
    pub member: Member,
    /// Failure domain that the VM runs in.
    pub domain: DomainId,
    /// Address that it answers peers at.
    pub address: Address,
    /// Capacity of its link.
    pub link: LinkRate,
}

impl Peer {
    /// Sort key of the ranking in which VMs serve others: those with fast links
    /// first, the rest in an order that all VMs compute alike.
    pub(crate) fn rank(&self) -> (Reverse<LinkRate>, Reverse<u64>) {
        let id = u64::from(self.member.vm.0);
        (Reverse(self.link), Reverse(rendezvous::score(RANK_KEY, id)))
    }
}

/// Condition of a VM, in ascending order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// Running.
    Alive,
    /// Did not answer a peer.
    Suspect,
    /// Stopped, or suspect for too long.
    Gone,
}

/// What one VM tells another about a third, or about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNews {
    /// The VM.
    pub peer: Peer,
    /// Number of times that this incarnation has refuted a suspicion.
    pub refutations: u32,
    /// Its condition.
    pub condition: Condition,
}

impl MemberNews {
    fn precedence(&self) -> (Incarnation, u32, Condition) {
        let incarnation = self.peer.member.incarnation;
        (incarnation, self.refutations, self.condition)
    }
}

#[derive(Debug, Clone)]
struct Entry {
    news: MemberNews,
    /// Number of this VM's change that set the entry.
    change: u64,
    /// When the condition was set.
    since: Time,
    /// Peer that told this VM.
    source: Option<VmId>,
    /// Last direct contact.
    heard: Option<Time>,
    /// End of the time for which this VM does not select the peer.
    avoid_until: Time,
}

/// The VMs that one VM knows.
#[derive(Debug)]
pub struct Membership {
    own: MemberNews,
    own_change: u64,
    entries: BTreeMap<VmId, Entry>,
    /// Number of changes so far.
    changes: u64,
    /// Peers that failed to answer since another one answered.
    accusations: BTreeMap<VmId, Time>,
    /// Last direct contact with any peer.
    last_contact: Option<Time>,
}

impl Membership {
    /// Membership of VM `own`, which knows no other.
    pub fn new(own: Peer) -> Membership {
        Membership {
            own: MemberNews {
                peer: own,
                refutations: 0,
                condition: Condition::Alive,
            },
            own_change: 1,
            entries: BTreeMap::new(),
            changes: 1,
            accusations: BTreeMap::new(),
            last_contact: None,
        }
    }

    /// This VM.
    pub fn own(&self) -> &Peer {
        &self.own.peer
    }

    /// What this VM tells about itself.
    pub fn own_news(&self) -> MemberNews {
        self.own.clone()
    }

    /// Number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records that this VM stops, so that peers turn to others at once.
    pub fn leave(&mut self) {
        self.own.condition = Condition::Gone;
        self.own_change = self.next_change();
    }

    fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// Merges what `source` tells about a VM. Returns whether that changed anything.
    pub fn merge(&mut self, now: Time, source: Option<VmId>, news: MemberNews) -> bool {
        let vm = news.peer.member.vm;
        if vm == self.own.peer.member.vm {
            return self.refute(&news);
        }
        let known = self.entries.get(&vm);
        let outdated = known.map_or(news.condition == Condition::Gone, |e| {
            e.news.precedence() >= news.precedence()
        });
        if outdated {
            return false;
        }
        let (heard, avoid_until) = match known {
            // A refutation or a restart ends what this VM held against the peer.
            Some(e) if news.condition != Condition::Alive => (e.heard, e.avoid_until),
            _ => (None, Time(0)),
        };
        let domain = news.peer.domain.clone();
        let entry = Entry {
            news,
            change: self.next_change(),
            since: now,
            source,
            heard,
            avoid_until,
        };
        self.entries.insert(vm, entry);
        self.accusations.remove(&vm);
        if domain != self.own.peer.domain {
            self.trim(&domain);
        }
        true
    }

    /// Refutes what a peer holds against this VM, or outranks an entry that an
    /// earlier run of it left behind. The clock that incarnations are taken from may
    /// have been set back meanwhile.
    fn refute(&mut self, news: &MemberNews) -> bool {
        let own = &mut self.own;
        if own.condition == Condition::Gone || news.precedence() <= own.precedence() {
            return false;
        }
        let other = news.peer.member.incarnation;
        if other > own.peer.member.incarnation {
            own.peer.member.incarnation = Incarnation(other.0.saturating_add(1));
            own.refutations = 0;
        } else {
            own.refutations = news.refutations.saturating_add(1);
        }
        self.own_change = self.next_change();
        true
    }

    /// Keeps only the first-ranked live entries of another failure domain.
    fn trim(&mut self, domain: &DomainId) {
        let live = |e: &&Entry| e.news.peer.domain == *domain && is_live(e);
        let mut ranked: Vec<_> = self
            .entries
            .values()
            .filter(live)
            .map(|e| (e.news.peer.rank(), e.news.peer.member.vm))
            .collect();
        ranked.sort_unstable();
        for (_, vm) in ranked.into_iter().skip(FOREIGN_MAX) {
            self.entries.remove(&vm);
        }
    }

    /// Records that a peer answered or sent a request. Peers that failed to answer
    /// shortly before become suspect.
    pub fn record_contact(&mut self, now: Time, vm: VmId) {
        self.last_contact = Some(now);
        self.accusations.remove(&vm);
        if let Some(entry) = self.entries.get_mut(&vm) {
            entry.heard = Some(now);
            entry.avoid_until = Time(0);
        }
        for (accused, at) in std::mem::take(&mut self.accusations) {
            if now.since(at) < ACCUSATION_TTL {
                self.set_condition(now, accused, Condition::Suspect);
            }
        }
    }

    /// Records that a peer failed to answer. It is not selected for `avoid`.
    pub fn record_failure(&mut self, now: Time, vm: VmId, avoid: Ms) {
        self.accusations.insert(vm, now);
        if let Some(entry) = self.entries.get_mut(&vm) {
            entry.avoid_until = now + avoid;
        }
    }

    /// Sets a worse condition.
    fn set_condition(&mut self, now: Time, vm: VmId, condition: Condition) {
        let change = self.changes + 1;
        let known = self.entries.get_mut(&vm);
        if let Some(entry) = known.filter(|e| e.news.condition < condition) {
            entry.news.condition = condition;
            entry.since = now;
            entry.source = None;
            entry.change = change;
            self.changes = change;
        }
    }

    /// Marks suspects that have not refuted in time as gone, and forgets VMs that
    /// were gone long ago. A VM that hears from nobody may itself be cut off, so it
    /// declares nobody gone.
    pub fn expire(&mut self, now: Time) {
        let in_touch = self
            .last_contact
            .is_some_and(|at| now.since(at) < SUSPICION_TIMEOUT);
        let overdue = |e: &Entry| {
            e.news.condition == Condition::Suspect && now.since(e.since) >= SUSPICION_TIMEOUT
        };
        let expired: Vec<VmId> = self
            .entries
            .iter()
            .filter(|(_, e)| in_touch && overdue(e))
            .map(|(vm, _)| *vm)
            .collect();
        for vm in expired {
            self.set_condition(now, vm, Condition::Gone);
        }
        self.entries.retain(|_, e| {
            e.news.condition != Condition::Gone || now.since(e.since) < FORGET_AFTER
        });
    }

    /// Peers that this VM may select.
    pub fn usable(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let usable = move |e: &&Entry| e.news.condition == Condition::Alive && now >= e.avoid_until;
        self.entries.values().filter(usable).map(|e| &e.news.peer)
    }

    /// VMs of a failure domain that run, this one included.
    pub fn live_in(&self, domain: &DomainId) -> impl Iterator<Item = &Peer> {
        let others = self.entries.values().filter(|e| is_live(e));
        let own = Some(&self.own.peer).filter(|_| self.own.condition == Condition::Alive);
        let peers = others.map(|e| &e.news.peer).chain(own);
        let domain = domain.clone();
        peers.filter(move |p| p.domain == domain)
    }

    /// Peers that count as gone. They are asked at times: after a cut, two halves of
    /// a fleet may each hold the other for gone.
    pub fn gone(&self) -> impl Iterator<Item = &Peer> {
        let gone = |e: &&Entry| e.news.condition == Condition::Gone;
        self.entries.values().filter(gone).map(|e| &e.news.peer)
    }

    /// Whether a peer has been in direct contact after `time`, or its entry was set
    /// after it.
    pub fn is_heard_since(&self, vm: VmId, time: Time) -> bool {
        self.entries
            .get(&vm)
            .is_none_or(|e| e.since > time || e.heard.is_some_and(|at| at > time))
    }

    /// Entries that changed after this VM's change number `change`, without those
    /// that `peer` told.
    pub fn news_since(&self, change: u64, peer: Option<VmId>) -> Vec<MemberNews> {
        let is_news = |e: &&Entry| e.change > change && (peer.is_none() || e.source != peer);
        let others = self.entries.values().filter(is_news).map(|e| &e.news);
        let own = Some(&self.own).filter(|_| self.own_change > change);
        others.chain(own).cloned().collect()
    }

    /// What this VM knows of a peer whose own entry for itself is `told`, if that is
    /// outdated: the peer must refute it.
    pub fn correction(&self, told: &MemberNews) -> Option<MemberNews> {
        let known = &self.entries.get(&told.peer.member.vm)?.news;
        (known.precedence() > told.precedence()).then(|| known.clone())
    }
}

fn is_live(entry: &Entry) -> bool {
    entry.news.condition != Condition::Gone
}
