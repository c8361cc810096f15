//! Backup of flow pins at other VMs, so that flows survive the failure of their owner.

use std::collections::BTreeMap;

use wire::{HostId, Member};

use crate::cell::HEARTBEAT;
use crate::msg::{Count, FlowKey, FlowPin, Msg, PinBatch};
use crate::node::Node;
use crate::rendezvous;
use crate::time::{Ms, Time};

/// Most backup pins sent with each heartbeat.
const BACKUP_BATCH: usize = 256;
/// Time allowed for handed-over pins to arrive before the VM stops.
const HANDOVER_TIME: Ms = Ms(300);
/// Most pins handed over in one message.
const HANDOVER_BATCH: usize = 4096;

impl Node {
    /// Numbers of flows that this VM owns at the targets of this failure domain, by
    /// admission controller.
    pub(crate) fn flow_counts(&self) -> BTreeMap<Member, Vec<Count>> {
        let mut counts: BTreeMap<Member, Vec<Count>> = BTreeMap::new();
        for (host, count) in self.pins.counts() {
            let local = self.catalogue.host(host);
            let local = local.filter(|h| h.domain == self.domain);
            if let Some(controller) = local.and_then(|h| self.controller_of(h)) {
                counts
                    .entry(controller)
                    .or_default()
                    .push(Count { host, count });
            }
        }
        counts
    }

    /// Records the numbers of flows that an owner reports for the targets that this VM
    /// controls admission to.
    pub(crate) fn record_flow_counts(
        &mut self,
        from: Member,
        counts: &[Count],
        echo: Option<Time>,
    ) {
        // `from` may receive an `Admitted` later than a heartbeat that was sent after it, so
        // its report surely includes only flows admitted two heartbeats before the echo.
        let known = echo.map_or(Time(0), |at| Time(at.0.saturating_sub(2 * HEARTBEAT.0)));
        let now = self.now;
        for (id, target) in &mut self.admission.targets {
            let reported = counts.iter().find(|c| c.host == *id);
            target.record_flows(now, from, reported.map_or(0, |c| c.count), known);
        }
        let reported: Vec<HostId> = self
            .cell
            .peer(from.vm)
            .into_iter()
            .flat_map(|p| p.last_heartbeat.loads.iter().map(|l| l.host))
            .collect();
        for host in reported {
            self.flows.recently_admitted.remove(&host);
        }
    }

    /// Sends new pins and ended flows to the backup members.
    pub(crate) fn send_backups(&mut self) {
        if self.flows.resend_all && self.flows.backlog.is_empty() {
            self.flows.resend_all = false;
            self.flows.backlog = self.pins.owned_keys();
        }
        let mut batches: BTreeMap<Member, PinBatch> = BTreeMap::new();
        let rest = self.flows.backlog.len().saturating_sub(BACKUP_BATCH);
        for key in self.flows.backlog.split_off(rest) {
            let pin = self.pins.get(self.now, key).filter(|p| p.owned);
            let next = pin.and_then(|p| self.backup_member(key, p.host));
            if let (Some(pin), Some(next)) = (pin, next) {
                let host = pin.host;
                batches
                    .entry(next)
                    .or_default()
                    .pins
                    .push(FlowPin { key, host });
            }
        }
        for key in std::mem::take(&mut self.flows.ended) {
            let pin = self.pins.get(self.now, key);
            if let Some(next) = pin.and_then(|p| self.backup_member(key, p.host)) {
                batches.entry(next).or_default().ended.push(key);
            }
        }
        if self.flows.handed_over.is_some() && !batches.is_empty() {
            self.flows.handed_over = Some(self.now);
        }
        for (to, batch) in batches {
            self.send(to, Msg::Pins(batch));
        }
    }

    /// VM that holds the backup of a flow: the next-ranked live VM of this cell, or else
    /// the first-ranked live one of another cell of the service.
    pub(crate) fn backup_member(&self, key: FlowKey, host: HostId) -> Option<Member> {
        let staying = self
            .cell
            .alive(self.now)
            .filter(|p| !p.last_heartbeat.leaving);
        let candidates: Vec<Member> = staying.map(|p| p.member).collect();
        let next = rendezvous::pick(key.0, &candidates);
        next.or_else(|| {
            let service = &self.catalogue.host(host)?.service;
            self.remote_owners(service, key).into_iter().next()
        })
    }

    pub(crate) fn is_remote(&self, member: Member) -> bool {
        let vm = self.catalogue.vm(member.vm);
        vm.is_none_or(|v| v.domain != self.domain)
    }

    /// Stores pins as a backup for their owner. A flow that this VM owns is left as it
    /// is.
    pub(crate) fn store_backups(&mut self, from: Member, batch: PinBatch) {
        let remote = self.is_remote(from);
        let members = self.cell.view().members.clone();
        for FlowPin { key, host } in batch.pins {
            if self.pins.get(self.now, key).is_some_and(|p| p.owned) {
                continue;
            }
            // A sender that is no member of the view any more hands its flows over.
            if !remote
                && !members.contains(&from)
                && rendezvous::pick(key.0, &members) == Some(self.me)
            {
                self.take_ownership(key, host);
            } else {
                self.pins.set_backup(self.now, key, host, remote);
            }
        }
        for key in batch.ended {
            self.pins.mark_ended(self.now, key);
        }
    }

    /// Takes over the flows with a backup pin here that this VM owns under the new view.
    pub(crate) fn take_over_flows(&mut self) {
        let members = &self.cell.view().members;
        let me = self.me;
        let taken = self
            .pins
            .promote(self.now, |key| rendezvous::pick(key.0, members) == Some(me));
        self.flows.backlog.extend(taken);
    }

    /// Sends the pins of this VM's flows, and those it backs up for other cells, to their
    /// next owners before it stops. Returns whether no flow is undecided and
    /// [`HANDOVER_TIME`] has passed since pins were last sent, so that they have arrived.
    pub(crate) fn hand_over_pins(&mut self) -> bool {
        if let Some(at) = self.flows.handed_over {
            let decided = self.flows.pending.is_empty() && self.flows.backlog.is_empty();
            return decided && self.now >= at + HANDOVER_TIME;
        }
        self.flows.handed_over = Some(self.now);
        let mut lists: BTreeMap<Member, Vec<FlowPin>> = BTreeMap::new();
        for key in self.pins.handover_keys() {
            let pin = self.pins.get(self.now, key);
            let next = pin.and_then(|p| self.backup_member(key, p.host));
            if let (Some(pin), Some(next)) = (pin, next) {
                let host = pin.host;
                lists.entry(next).or_default().push(FlowPin { key, host });
            }
        }
        for (to, pins) in lists {
            for batch in pins.chunks(HANDOVER_BATCH) {
                let pins = batch.to_vec();
                let ended = Vec::new();
                self.send(to, Msg::Pins(PinBatch { pins, ended }));
            }
        }
        false
    }
}
