//! Dispatch of requests to targets, within the capacity of each.

use std::collections::BTreeMap;

use wire::{Class, HostId, Member, ServiceId};

use crate::event::{Action, Outcome, RequestId};
use crate::node::Node;
use crate::rendezvous;
use crate::request::{not_started, JobStage, RETRY_AFTER};
use crate::time::Ms;

/// Longest time that a request waits at an admission controller for a free slot.
const QUEUE_TIMEOUT: Ms = Ms(250);
/// Queue length from which an admission controller refuses a request, by the
/// request's class.
const QUEUE_LIMIT_CRITICAL: usize = 16;
const QUEUE_LIMIT_NORMAL: usize = 8;
const QUEUE_LIMIT_BULK: usize = 4;
/// Time by which each queued request lengthens the retry delay.
const RETRY_STEP: Ms = Ms(25);

impl Node {
    /// Chooses an admission controller to run a request. Cells are tried in an order
    /// that is pseudo-random by request and weighted by their number of targets. A
    /// controller that refused recently is passed over, and one of this cell also if
    /// it has no free slot. If all are passed over, returns the first one found.
    pub(crate) fn choose_request_controller(
        &self,
        id: RequestId,
        service: &ServiceId,
        tried: &[Member],
    ) -> Option<Member> {
        let seed = rendezvous::score(id.0, self.me.vm.0.into());
        let mut fallback = None;
        for domain in self.catalogue.cells_for(service, seed) {
            let hosts = self
                .catalogue
                .hosts(service)
                .filter(|h| h.domain == domain && self.catalogue.accepts_new(h));
            let mut controllers: Vec<(u64, Member)> = hosts
                .filter_map(|h| Some((rendezvous::score(seed, h.id.0), self.controller_of(h)?)))
                .filter(|(_, m)| !tried.contains(m) && !self.is_suspect(*m))
                .collect();
            controllers.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
            let full = |m: &Member| self.jobs.full_until.get(m).is_some_and(|t| self.now < *t);
            let best = if domain == self.domain {
                self.first_with_slot(service, &controllers)
            } else {
                controllers.iter().map(|(_, m)| *m).find(|m| !full(m))
            };
            if best.is_some() {
                return best;
            }
            fallback = fallback.or(controllers.first().map(|(_, m)| *m));
        }
        fallback
    }

    /// The first of `controllers` that has a free slot for a service and has not
    /// refused recently.
    pub(crate) fn first_with_slot(
        &self,
        service: &ServiceId,
        controllers: &[(u64, Member)],
    ) -> Option<Member> {
        let mut free: BTreeMap<Member, u32> = BTreeMap::new();
        for (member, load) in self.cell_loads() {
            let host = self.catalogue.host(load.host);
            if host.is_some_and(|h| h.service == *service) {
                let slots = free.entry(member).or_default();
                *slots = slots.saturating_add(load.slots.saturating_sub(load.busy));
            }
        }
        let has_room = |m: &Member| {
            free.get(m).copied().unwrap_or(0) > 0
                && self.jobs.full_until.get(m).is_none_or(|t| self.now >= *t)
        };
        controllers.iter().map(|(_, m)| *m).find(has_room)
    }

    /// Runs a request at a target that this VM is admission controller of, now or once
    /// one has a free slot.
    pub(crate) fn run_locally(&mut self, id: RequestId) {
        let Some(job) = self.jobs.map.get(&id) else {
            return;
        };
        if let Some(host) = self.free_target(&job.request.service) {
            return self.dispatch(id, host);
        }
        let limit = match job.class {
            Class::Critical => QUEUE_LIMIT_CRITICAL,
            Class::Normal => QUEUE_LIMIT_NORMAL,
            Class::Bulk => QUEUE_LIMIT_BULK,
        };
        let has_target = self.controls_target_of(&job.request.service);
        let queued = self.jobs.queued();
        if !has_target || queued >= limit {
            return self.attempt_ended(id, not_started(self.retry_delay()));
        }
        let until = (self.now + QUEUE_TIMEOUT).min(job.until);
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = JobStage::Queued(until);
        }
    }

    /// Time after which a refused caller should retry; grows with the queue.
    pub(crate) fn retry_delay(&self) -> Ms {
        RETRY_AFTER + Ms(RETRY_STEP.0 * self.jobs.queued() as u64)
    }

    /// Whether this VM is admission controller of a target that takes new requests
    /// for a service.
    pub(crate) fn controls_target_of(&self, service: &ServiceId) -> bool {
        let mut ids = self.admission.targets.keys();
        ids.any(|id| self.takes_new_for(*id, service))
    }

    /// Whether a target takes new requests for a service.
    pub(crate) fn takes_new_for(&self, id: HostId, service: &ServiceId) -> bool {
        let host = self.catalogue.host(id);
        host.is_some_and(|h| h.service == *service && self.catalogue.accepts_new(h))
    }

    /// The least utilised target of a service that this VM is admission controller of
    /// and that has a free slot.
    pub(crate) fn free_target(&self, service: &ServiceId) -> Option<HostId> {
        if !self.cell.holds_lease(self.now) || !self.cell.is_active(self.now) {
            return None;
        }
        let open = self
            .admission
            .targets
            .iter()
            .filter(|(id, t)| t.is_open(self.now) && self.takes_new_for(**id, service));
        let candidates = open.filter_map(|(id, t)| {
            let busy = self.admission.running(*id) + self.remote_busy(*id);
            let slots = t.capacity.slots(&t.limits);
            (busy < slots).then(|| (busy.saturating_mul(1024) / slots, t.conns(), *id))
        });
        candidates.min().map(|(_, _, id)| id)
    }

    /// Sends a request to a target.
    pub(crate) fn dispatch(&mut self, id: RequestId, host: HostId) {
        let Some(address) = self.catalogue.host(host).map(|h| h.address) else {
            return;
        };
        self.mark_started(id);
        self.admission.start(host, id);
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = JobStage::Running(host);
            let budget = job.until.since(self.now);
            self.emit(Action::Dispatch(id, host, address, budget));
        }
    }

    /// Updates the capacity estimate of a target with the outcome of a request.
    pub(crate) fn update_capacity(&mut self, host: HostId, outcome: &Outcome) {
        let Some(target) = self.admission.targets.get_mut(&host) else {
            return;
        };
        let limits = target.limits;
        match outcome {
            Outcome::Answered(response) => {
                target
                    .capacity
                    .record_response(self.now, response.incarnation, &limits)
            }
            Outcome::NotStarted { .. } | Outcome::Unknown { .. } => {
                target.capacity.record_failure(self.now)
            }
            _ => {}
        }
    }

    /// Dispatches queued requests to targets with free slots, the most important class
    /// first.
    pub(crate) fn drain_queue(&mut self) {
        let jobs = self.jobs.map.iter();
        let mut queue: Vec<(Class, RequestId)> = jobs
            .filter(|(_, j)| matches!(j.stage, JobStage::Queued(_)))
            .map(|(id, j)| (j.class, *id))
            .collect();
        queue.sort();
        for (_, id) in queue {
            let service = self.jobs.map.get(&id).map(|j| j.request.service.clone());
            let host = service.and_then(|s| self.free_target(&s));
            if let Some(host) = host {
                self.dispatch(id, host);
            }
        }
    }
}
