//! Selects which VMs read the store and which peer every other VM polls.
//!
//! A few VMs, the store readers, read the store; each other VM polls one of them.
//! All VMs compute the same ranking with rendezvous hashing, so no coordination is
//! needed. A VM reads the store itself once its replica is older than
//! [`max_staleness`], so a dead, frozen or unreachable reader delays changes by
//! that much at most.

use std::collections::HashMap;

use wire::{DomainId, Lifecycle, Vm, VmId};

use crate::catalogue::Catalogue;
use crate::rendezvous;
use crate::store::Feed;
use crate::time::{Ms, Time};

/// Number of VMs per store reader. Each VM polls its reader once or twice a second,
/// and a reply takes the reader about 0.1 ms of a core.
const VMS_PER_READER: usize = 32;
/// Additional store readers, so that the failure of one does no harm.
const SPARE_READERS: usize = 1;
/// Age of a VM's replica above which it reads the store itself. Changes to routes
/// and targets must take effect within 3 s, to failure domains within 5 s; the
/// difference is left for reading the store.
pub const fn max_staleness(feed: Feed) -> Ms {
    match feed {
        Feed::Routes | Feed::Hosts => Ms(2300),
        Feed::Domains => Ms(3800),
        Feed::Vms => Ms(60_000),
    }
}

/// Time for which a peer that failed to answer is not selected.
const SUSPECT_TIME: Ms = Ms(5000);

/// Peer selection of one VM, with the peers that it suspects.
#[derive(Debug)]
pub struct PeerSelector {
    own: VmId,
    domain: DomainId,
    suspects: HashMap<VmId, Time>,
}

impl PeerSelector {
    /// Selector of VM `own` in failure domain `domain`.
    pub fn new(own: VmId, domain: DomainId) -> PeerSelector {
        PeerSelector {
            own,
            domain,
            suspects: HashMap::new(),
        }
    }

    /// Excludes a peer from selection for a while.
    pub fn suspect(&mut self, now: Time, vm: VmId) {
        self.suspects.insert(vm, now + SUSPECT_TIME);
        self.suspects.retain(|_, until| now < *until);
    }

    /// VMs that read the store, highest score first.
    fn store_readers<'a>(&self, now: Time, catalogue: &'a Catalogue) -> Vec<&'a Vm> {
        let is_eligible = |vm: &&Vm| {
            let until = self.suspects.get(&vm.member.vm);
            vm.state == Lifecycle::Live && until.is_none_or(|until| now >= *until)
        };
        let mut list: Vec<&Vm> = catalogue.vms().filter(is_eligible).collect();
        let count = list.len().div_ceil(VMS_PER_READER) + SPARE_READERS;
        list.sort_by_key(|vm| {
            std::cmp::Reverse(rendezvous::score(READER_KEY, vm.member.vm.0.into()))
        });
        list.truncate(count);
        list
    }

    /// Another store reader, to poll while this VM is one and cannot reach the store.
    pub fn select_substitute(&self, now: Time, catalogue: &Catalogue) -> Option<Vm> {
        let readers = self.store_readers(now, catalogue);
        let others = readers.into_iter().filter(|vm| vm.member.vm != self.own);
        let score = |vm: &Vm| rendezvous::score(self.own.0.into(), vm.member.vm.0.into());
        others.max_by_key(|vm| score(vm)).cloned()
    }

    /// The peer to poll; none if this VM is to read the store itself. Readers in the
    /// same failure domain are preferred, since the link to them is the shortest.
    pub fn select_peer(&self, now: Time, catalogue: &Catalogue) -> Option<Vm> {
        let readers = self.store_readers(now, catalogue);
        if readers.iter().any(|vm| vm.member.vm == self.own) {
            return None;
        }
        let same_domain = |vm: &Vm| vm.domain == self.domain;
        let score = |vm: &Vm| rendezvous::score(self.own.0.into(), vm.member.vm.0.into());
        let best = readers
            .into_iter()
            .max_by_key(|vm| (same_domain(vm), score(vm)));
        best.cloned()
    }
}

/// The VM that `own` monitors: the one with the next higher number, or the lowest
/// after the last. Each VM is monitored by exactly one other at any fleet size.
pub fn successor(own: VmId, catalogue: &Catalogue) -> Option<Vm> {
    let others = || catalogue.vms().filter(|vm| vm.member.vm != own);
    let next = others()
        .filter(|vm| vm.member.vm > own)
        .min_by_key(|vm| vm.member.vm);
    next.or_else(|| others().min_by_key(|vm| vm.member.vm))
        .cloned()
}

/// Rendezvous key by which all VMs rank the store readers.
const READER_KEY: u64 = 0;
