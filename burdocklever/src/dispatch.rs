//! Running requests at targets, within what each bears.

use std::collections::BTreeMap;

use wire::{Class, HostId, Member, ServiceId};

use crate::event::{Action, Outcome, RequestId};
use crate::node::Node;
use crate::rendezvous;
use crate::request::{not_started, Stage, RETRY_AFTER};
use crate::time::Ms;

/// Time for which a request waits at an admission controller for a slot.
const QUEUE_WAIT: Ms = Ms(250);
/// Requests that may wait at one admission controller, by class.
const QUEUE_CRITICAL: usize = 16;
const QUEUE_NORMAL: usize = 8;
const QUEUE_BULK: usize = 4;

impl Node {
    /// An admission controller for a request: cells in the request's own order, weighted by
    /// targets; in this cell the one with the most free slots.
    pub(crate) fn choose_request_controller(
        &self,
        id: RequestId,
        service: &ServiceId,
        tried: &[Member],
    ) -> Option<Member> {
        let seed = rendezvous::score(id.0, self.me.vm.0.into());
        let mut last = None;
        for domain in self.catalogue.cells_for(service, seed) {
            let hosts = self
                .catalogue
                .hosts(service)
                .filter(|h| h.domain == domain && self.catalogue.takes_new(h));
            let mut controllers: Vec<(u64, Member)> = hosts
                .filter_map(|h| Some((rendezvous::score(seed, h.id.0), self.controller_of(h)?)))
                .filter(|(_, s)| !tried.contains(s) && !self.is_suspect(*s))
                .collect();
            controllers.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
            let full = |m: &Member| self.jobs.full.get(m).is_some_and(|t| self.now < *t);
            let best = if domain == self.domain {
                self.freest(service, &controllers)
            } else {
                controllers.iter().map(|(_, s)| *s).find(|s| !full(s))
            };
            if best.is_some() {
                return best;
            }
            last = last.or(controllers.first().map(|(_, s)| *s));
        }
        last
    }

    /// The member of this cell with the most free slots for a service.
    pub(crate) fn freest(
        &self,
        service: &ServiceId,
        controllers: &[(u64, Member)],
    ) -> Option<Member> {
        let mut free: BTreeMap<Member, u32> = BTreeMap::new();
        for (member, load) in self.cell_loads() {
            let host = self.catalogue.host(load.host);
            if host.is_some_and(|h| h.service == *service) {
                *free.entry(member).or_default() += load.slots.saturating_sub(load.busy);
            }
        }
        let open = |m: &Member| {
            free.get(m).copied().unwrap_or(0) > 0
                && self.jobs.full.get(m).is_none_or(|t| self.now >= *t)
        };
        controllers.iter().map(|(_, s)| *s).find(open)
    }

    /// Runs a request at a target that this VM guards, now or once one is free.
    pub(crate) fn run_locally(&mut self, id: RequestId) {
        let Some(job) = self.jobs.map.get(&id) else {
            return;
        };
        if let Some(host) = self.free_target(&job.request.service) {
            return self.start(id, host);
        }
        let limit = match job.class {
            Class::Critical => QUEUE_CRITICAL,
            Class::Normal => QUEUE_NORMAL,
            Class::Bulk => QUEUE_BULK,
        };
        let guards = self.guards(&job.request.service);
        let queued = self.jobs.queued();
        if !guards || queued >= limit {
            return self.attempt_ended(id, not_started(self.retry_delay()));
        }
        let until = (self.now + QUEUE_WAIT).min(job.until);
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = Stage::Queued(until);
        }
    }

    /// When a refused request should come back, by the length of the queue.
    pub(crate) fn retry_delay(&self) -> Ms {
        RETRY_AFTER + Ms(25 * self.jobs.queued() as u64)
    }

    pub(crate) fn guards(&self, service: &ServiceId) -> bool {
        let mut ids = self.admission.targets.keys();
        ids.any(|id| self.takes_for(*id, service))
    }

    pub(crate) fn takes_for(&self, id: HostId, service: &ServiceId) -> bool {
        let host = self.catalogue.host(id);
        host.is_some_and(|h| h.service == *service && self.catalogue.takes_new(h))
    }

    /// The guarded target of a service with the most room, if any has some.
    pub(crate) fn free_target(&self, service: &ServiceId) -> Option<HostId> {
        if !self.cell.holds_lease(self.now) || !self.cell.is_active(self.now) {
            return None;
        }
        let open = self
            .admission
            .targets
            .iter()
            .filter(|(id, t)| t.is_open(self.now) && self.takes_for(**id, service));
        let room = open.filter_map(|(id, t)| {
            let busy = self.admission.running(*id) + self.elsewhere(*id);
            let slots = t.capacity.slots(&t.limits);
            (busy < slots).then_some((busy * 1024 / slots, t.conns(), *id))
        });
        room.min().map(|(_, _, id)| id)
    }

    pub(crate) fn start(&mut self, id: RequestId, host: HostId) {
        let Some(address) = self.catalogue.host(host).map(|h| h.address) else {
            return;
        };
        self.mark_started(id);
        self.admission.start(host, id);
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = Stage::Running(host);
            let budget = job.until.since(self.now);
            self.act(Action::Dispatch(id, host, address, budget));
        }
    }

    /// Adjusts the estimate of what a target bears.
    pub(crate) fn update_capacity(&mut self, host: HostId, end: &Outcome) {
        let Some(target) = self.admission.targets.get_mut(&host) else {
            return;
        };
        let limits = target.limits;
        match end {
            Outcome::Answered(answer) => {
                target
                    .capacity
                    .answered(self.now, answer.incarnation, &limits)
            }
            Outcome::NotStarted { .. } | Outcome::Unknown { .. } => {
                target.capacity.troubled(self.now)
            }
            _ => {}
        }
    }

    /// Gives free slots to waiting requests, the most important first.
    pub(crate) fn drain_queue(&mut self) {
        let jobs = self.jobs.map.iter();
        let mut queue: Vec<(Class, RequestId)> = jobs
            .filter(|(_, j)| matches!(j.stage, Stage::Queued(_)))
            .map(|(id, j)| (j.class, *id))
            .collect();
        queue.sort();
        for (_, id) in queue {
            let service = self.jobs.map.get(&id).map(|j| j.request.service.clone());
            let host = service.and_then(|s| self.free_target(&s));
            if let Some(host) = host {
                self.start(id, host);
            }
        }
    }
}
