//! Who of the fleet reads the store, and whom the others ask.
//!
//! A few VMs, the watchers, read the store; the others ask one of them. Every
//! VM ranks the same VMs alike, so nobody has to agree on anything. A VM reads
//! the store itself as soon as what it knows grows older than [`max_staleness`], so
//! a dead, frozen or cut-off watcher delays changes by that much at most.

use std::collections::HashMap;

use wire::{DomainId, Lifecycle, Vm, VmId};

use crate::catalogue::Catalogue;
use crate::rendezvous;
use crate::store::Feed;
use crate::time::{Ms, Time};

/// VMs that one watcher serves. Each asks once or twice a second, and an answer
/// takes some 0.1 ms of a core.
const SPAN: usize = 32;
/// Watchers beyond those that the span asks for, so that one may die unnoticed.
const SPARE: usize = 1;
/// Age of what a VM knows above which it reads the store itself. Changes of
/// routes and targets must be in force within 3 s, of failure domains within
/// 5 s; the rest is for the read.
pub const fn max_staleness(feed: Feed) -> Ms {
    match feed {
        Feed::Routes | Feed::Hosts => Ms(2300),
        Feed::Domains => Ms(3800),
        Feed::Vms => Ms(60_000),
    }
}

/// Time for which a peer that failed to answer is passed over.
const SUSPECT: Ms = Ms(5000);

/// Peers, as one VM sees them.
#[derive(Debug)]
pub struct PeerSelector {
    own: VmId,
    domain: DomainId,
    suspects: HashMap<VmId, Time>,
}

impl PeerSelector {
    /// The view of VM `own` in failure domain `domain`.
    pub fn new(own: VmId, domain: DomainId) -> PeerSelector {
        PeerSelector {
            own,
            domain,
            suspects: HashMap::new(),
        }
    }

    /// Passes over a peer for a while.
    pub fn suspect(&mut self, now: Time, vm: VmId) {
        self.suspects.insert(vm, now + SUSPECT);
        self.suspects.retain(|_, until| now < *until);
    }

    /// VMs that read the store, in the order of their rank.
    fn watchers<'a>(&self, now: Time, catalogue: &'a Catalogue) -> Vec<&'a Vm> {
        let trusted = |vm: &&Vm| {
            let until = self.suspects.get(&vm.member.vm);
            vm.state == Lifecycle::Live && until.is_none_or(|until| now >= *until)
        };
        let mut list: Vec<&Vm> = catalogue.vms().filter(trusted).collect();
        let count = list.len().div_ceil(SPAN) + SPARE;
        list.sort_by_key(|vm| std::cmp::Reverse(rendezvous::score(RANK, vm.member.vm.0.into())));
        list.truncate(count);
        list
    }

    /// The peer to ask while this VM is to read the store and cannot reach it.
    pub fn select_substitute(&self, now: Time, catalogue: &Catalogue) -> Option<Vm> {
        let watchers = self.watchers(now, catalogue);
        let others = watchers.into_iter().filter(|vm| vm.member.vm != self.own);
        let score = |vm: &Vm| rendezvous::score(self.own.0.into(), vm.member.vm.0.into());
        others.max_by_key(|vm| score(vm)).cloned()
    }

    /// The peer to ask; none if this VM is to read the store itself. A watcher
    /// of the own failure domain goes first: the link to it is the shortest.
    pub fn select_peer(&self, now: Time, catalogue: &Catalogue) -> Option<Vm> {
        let watchers = self.watchers(now, catalogue);
        if watchers.iter().any(|vm| vm.member.vm == self.own) {
            return None;
        }
        let near = |vm: &Vm| vm.domain == self.domain;
        let score = |vm: &Vm| rendezvous::score(self.own.0.into(), vm.member.vm.0.into());
        let best = watchers.into_iter().max_by_key(|vm| (near(vm), score(vm)));
        best.cloned()
    }
}

/// The VM that `own` looks after: the next one by number, round in a ring. So
/// each VM is looked after by one other, whatever the size of the fleet.
pub fn successor(own: VmId, catalogue: &Catalogue) -> Option<Vm> {
    let others = || catalogue.vms().filter(|vm| vm.member.vm != own);
    let next = others()
        .filter(|vm| vm.member.vm > own)
        .min_by_key(|vm| vm.member.vm);
    next.or_else(|| others().min_by_key(|vm| vm.member.vm))
        .cloned()
}

/// Key by which the fleet ranks its watchers.
const RANK: u64 = 0;
