//! Takeover of targets by their admission controller after a change of the view or of
//! the catalogue.

use std::collections::BTreeSet;

use wire::{HostId, Member};

use crate::admission::AdmissionTarget;
use crate::cell::LEASE;
use crate::msg::Load;
use crate::node::Node;
use crate::time::Ms;

impl Node {
    /// Loads of all targets of this cell, with their admission controllers.
    pub(crate) fn cell_loads(&self) -> Vec<(Member, Load)> {
        let own = self.loads().into_iter().map(|load| (self.me, load));
        let peers = self.cell.loads(self.now);
        own.chain(peers.map(|(member, load)| (member, *load)))
            .collect()
    }

    /// Takes over the targets that the view assigns to this VM, and drops the others.
    pub(crate) fn take_over_targets(&mut self) {
        let number = self.cell.view().number;
        let local = self.catalogue.hosts_in(&self.domain);
        let assigned: Vec<wire::Host> = local
            .filter(|h| self.catalogue.serves(h) && self.controller_of(h) == Some(self.me))
            .cloned()
            .collect();
        let ids: BTreeSet<HostId> = assigned.iter().map(|h| h.id).collect();
        self.admission.targets.retain(|id, _| ids.contains(id));
        for host in assigned {
            let Some(service) = self.catalogue.service(&host.service) else {
                continue;
            };
            let (limits, longest) = (service.limits, Ms(service.deadline_ms));
            if let Some(target) = self.admission.targets.get_mut(&host.id) {
                target.limits = limits;
                continue;
            }
            let mut target = AdmissionTarget::new(self.now, limits, number);
            target.awaited = self.domain_peers().into_iter().collect();
            target.hold_until = self.now + LEASE + LEASE + longest;
            self.admission.targets.insert(host.id, target);
        }
    }

    /// Requests that other VMs have in progress at a target, according to their
    /// heartbeats. A VM that has been silent for a lease and the service's deadline is not
    /// counted, since its requests have ended by then.
    pub(crate) fn remote_busy(&self, host: HostId) -> u32 {
        let longest = self
            .catalogue
            .host(host)
            .and_then(|h| self.catalogue.service(&h.service))
            .map_or(Ms(0), |s| Ms(s.deadline_ms));
        let may_run = |p: &&crate::cell::Peer| {
            !self.catalogue.is_gone(p.member) && self.now.since(p.last_heard) < LEASE + longest
        };
        let peers = self.cell.peers().filter(may_run);
        let counts = peers.flat_map(|p| p.last_heartbeat.busy.iter());
        counts.filter(|c| c.host == host).map(|c| c.count).sum()
    }

    /// Records that a VM has reported its requests in progress. A target taken over under
    /// the view that the VM follows, or under an earlier one, no longer awaits its report.
    pub(crate) fn record_busy_report(&mut self, from: Member) {
        let Some(view) = self.cell.peer(from.vm).map(|p| p.last_heartbeat.view) else {
            return;
        };
        for target in self.admission.targets.values_mut() {
            if view >= target.since {
                target.awaited.remove(&from);
            }
        }
    }

    pub(crate) fn drop_gone_awaited(&mut self) {
        let catalogue = &self.catalogue;
        for target in self.admission.targets.values_mut() {
            target.awaited.retain(|m| !catalogue.is_gone(*m));
        }
    }
}
