//! Handling of requests: routing, claims and replies.
//!
//! A non-idempotent request goes to the owner of its idempotency key, which claims the
//! key and handles the request to its end. Any other request goes straight to the
//! admission controller of one of the service's targets, chosen by the entry VM.

use std::collections::BTreeMap;

use wire::{Class, HostId, Member, ViewNumber};

use crate::claim::{Claim, TargetResponse, KEY_LIFETIME};
use crate::code::Code;
use crate::event::{Action, Outcome, PeerTask, Request, RequestId};
use crate::idempotency_key::{IdempotencyKey, IssuedKey};
use crate::msg::Msg;
use crate::node::Node;
use crate::rendezvous;
use crate::time::{Ms, Time};

/// Most admission controllers that are asked to run one request.
pub(crate) const RUN_ATTEMPTS: usize = 4;
/// Time to wait for a witness to confirm a claim.
pub(crate) const WITNESS_TIMEOUT: Ms = Ms(100);
/// Time for which an admission controller without room is not asked again.
pub(crate) const FULL_BACKOFF: Ms = Ms(50);
/// Shortest retry delay sent to a refused caller.
pub(crate) const RETRY_AFTER: Ms = Ms(200);
/// Time that requests in progress may take to finish after their target's failure
/// domain was taken out of service.
pub(crate) const DOMAIN_OUT_GRACE: Ms = Ms(2000);

/// Stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobStage {
    /// Just arrived, or between two attempts.
    New,
    /// Forwarded to another VM.
    Forwarded(Member, PeerTask),
    /// Waits until this time for a witness to confirm the claim.
    Confirming(Time),
    /// Waits until this time for a free slot at a target.
    Queued(Time),
    /// In progress at a target.
    Running(HostId),
    /// Waits for the outcome of an earlier request with the same key.
    Waiting,
}

/// A request that this VM is handling.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) class: Class,
    /// Deadline.
    pub(crate) until: Time,
    /// What another VM forwarded the request for; none if a caller sent it.
    pub(crate) task: Option<PeerTask>,
    pub(crate) stage: JobStage,
    /// Key whose claim this request holds or waits for.
    pub(crate) claim: Option<u64>,
    /// Admission controllers that were asked to run the request.
    pub(crate) tried: Vec<Member>,
    pub(crate) replied: bool,
    /// When to cancel the request, since the target's failure domain is out of service.
    pub(crate) cancel_at: Option<Time>,
}

/// Requests that this VM is handling.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    pub(crate) map: BTreeMap<RequestId, Job>,
    /// Admission controllers without room, and until when they are not asked again.
    pub(crate) full_until: BTreeMap<Member, Time>,
    /// Number of keys issued.
    pub(crate) issued: u64,
}

impl Jobs {
    pub(crate) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    /// Requests whose claim no witness has confirmed yet, with their keys.
    pub(crate) fn unconfirmed(&self) -> Vec<(RequestId, u64)> {
        let confirming = self
            .map
            .iter()
            .filter(|(_, j)| matches!(j.stage, JobStage::Confirming(_)));
        confirming
            .filter_map(|(id, j)| Some((*id, j.claim?)))
            .collect()
    }

    pub(crate) fn queued(&self) -> usize {
        let queued = self
            .map
            .values()
            .filter(|j| matches!(j.stage, JobStage::Queued(_)));
        queued.count()
    }

    /// The request that holds the claim of `key`, if one is in progress.
    pub(crate) fn holder(&self, key: u64) -> Option<RequestId> {
        let holds = |j: &Job| j.claim == Some(key) && j.stage != JobStage::Waiting;
        self.map.iter().find(|(_, j)| holds(j)).map(|(id, _)| *id)
    }

    /// Requests that wait for the outcome of the holder of `key`'s claim.
    pub(crate) fn waiting(&self, key: u64) -> Vec<RequestId> {
        let waits = |j: &Job| j.claim == Some(key) && j.stage == JobStage::Waiting;
        let list = self.map.iter().filter(|(_, j)| waits(j));
        list.map(|(id, _)| *id).collect()
    }
}

impl Node {
    /// Issues an idempotency key that this VM owns.
    pub fn issue_key(&mut self) -> IdempotencyKey {
        self.jobs.issued += 1;
        IdempotencyKey::Issued(IssuedKey {
            member: self.me,
            at: self.now,
            seq: self.jobs.issued,
        })
    }

    pub(crate) fn handle_request(&mut self, id: RequestId, request: Request) {
        if !self.has_catalogue() {
            return self.emit(Action::Reply(id, Outcome::Refused(Code::NotReady)));
        }
        let Some(service) = self.catalogue.service(&request.service) else {
            return self.emit(Action::Reply(id, Outcome::Refused(Code::NoService)));
        };
        let non_idempotent = service.non_idempotent;
        let key = request.key;
        self.add_job(id, None, request);
        match key {
            _ if !non_idempotent => self.find_controller(id),
            None => {
                let key = self.issue_key();
                self.finish(id, Outcome::NeedKey(key));
            }
            Some(key) => self.route_to_owner(id, key),
        }
    }

    pub(crate) fn handle_peer_request(&mut self, id: RequestId, task: PeerTask, request: Request) {
        if !self.has_catalogue() || self.catalogue.service(&request.service).is_none() {
            let outcome = not_started(RETRY_AFTER);
            return self.emit(Action::Reply(id, outcome));
        }
        let key = request.key;
        self.add_job(id, Some(task), request);
        match (task, key) {
            (PeerTask::Run, _) => self.run_locally(id),
            (PeerTask::Own, Some(key)) => self.handle_as_key_owner(id, key),
            (PeerTask::Own, None) => self.finish(id, Outcome::Refused(Code::BadKey)),
        }
    }

    pub(crate) fn add_job(&mut self, id: RequestId, task: Option<PeerTask>, request: Request) {
        let service = self.catalogue.service(&request.service);
        let (class, longest) =
            service.map_or((Class::Bulk, Ms(0)), |s| (s.class, Ms(s.deadline_ms)));
        let job = Job {
            until: self.now + request.deadline.min(longest),
            request,
            class,
            task,
            stage: JobStage::New,
            claim: None,
            tried: Vec::new(),
            replied: false,
            cancel_at: None,
        };
        self.jobs.map.insert(id, job);
    }

    /// Routes a request to the owner of its key.
    pub(crate) fn route_to_owner(&mut self, id: RequestId, key: IdempotencyKey) {
        if let IdempotencyKey::Issued(issued) = key {
            if issued.member != self.me && self.catalogue.is_gone(issued.member) {
                return self.finish(id, Outcome::Lost);
            }
        }
        match self.key_owner(key) {
            None => self.reply_busy(id),
            Some(owner) if owner == self.me => self.handle_as_key_owner(id, key),
            Some(owner) => self.forward(id, owner, PeerTask::Own),
        }
    }

    pub(crate) fn key_owner(&self, key: IdempotencyKey) -> Option<Member> {
        match key {
            IdempotencyKey::Issued(issued) => Some(issued.member),
            IdempotencyKey::Made(hash) => {
                let view = self.catalogue.view(self.catalogue.home_cell(hash)?)?;
                rendezvous::pick(hash, &view.members)
            }
        }
    }

    pub(crate) fn forward(&mut self, id: RequestId, to: Member, task: PeerTask) {
        let now = self.now;
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = JobStage::Forwarded(to, task);
            let mut request = job.request.clone();
            request.deadline = job.until.since(now);
            self.emit(Action::ForwardRequest(id, to, task, request));
        }
    }

    /// Whether this VM owns a caller-made key under its view and may claim it now.
    pub(crate) fn may_own(&self, hash: u64) -> bool {
        self.catalogue.home_cell(hash) == Some(&self.domain)
            && rendezvous::pick(hash, &self.cell.view().members) == Some(self.me)
            && self.cell.holds_lease(self.now)
            && self.transfer.is_complete()
    }

    /// Claims the key of a request, or replies from an earlier claim.
    pub(crate) fn handle_as_key_owner(&mut self, id: RequestId, key: IdempotencyKey) {
        let hash = key.hash();
        if self.key_owner(key) != Some(self.me) {
            return self.reply_busy(id);
        }
        if matches!(key, IdempotencyKey::Made(_)) && !self.may_own(hash) {
            return self.reply_busy(id);
        }
        match self.claims.get(hash) {
            Some(Claim::Done(response)) => {
                let outcome = Outcome::Answered(response.clone());
                self.finish(id, outcome);
            }
            Some(Claim::NotRun) => self.finish(id, Outcome::NotRun { after: RETRY_AFTER }),
            Some(Claim::Foreign) => self.finish(id, Outcome::Unknown { after: RETRY_AFTER }),
            Some(_) => match self.jobs.holder(hash) {
                Some(_) => self.wait_for_holder(id, hash),
                None => self.resume(id, hash),
            },
            None => self.claim_key(id, key, hash),
        }
    }

    /// Lets a request wait for the outcome of the one that holds the claim of its key.
    pub(crate) fn wait_for_holder(&mut self, id: RequestId, hash: u64) {
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.claim = Some(hash);
            job.stage = JobStage::Waiting;
        }
    }

    /// Continues a claim that no request holds any more.
    pub(crate) fn resume(&mut self, id: RequestId, hash: u64) {
        match self.claims.get(hash) {
            Some(Claim::Ready) => {
                self.hold_claim(id, hash);
                self.find_controller(id);
            }
            Some(Claim::Unconfirmed) => self.request_witness(id, hash),
            _ => self.finish(id, Outcome::Unknown { after: RETRY_AFTER }),
        }
    }

    pub(crate) fn hold_claim(&mut self, id: RequestId, hash: u64) {
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.claim = Some(hash);
        }
    }

    pub(crate) fn claim_key(&mut self, id: RequestId, key: IdempotencyKey, hash: u64) {
        if let IdempotencyKey::Issued(issued) = key {
            let age = issued.age(self.now);
            // A request may start until its key is `KEY_LIFETIME` old, and its claim is kept
            // for `KEY_LIFETIME` after its last change. At twice that age the claim may have
            // been dropped.
            if age >= KEY_LIFETIME + KEY_LIFETIME {
                return self.finish(id, Outcome::Lost);
            }
            if age >= KEY_LIFETIME {
                return self.finish(id, Outcome::NotRun { after: Ms(0) });
            }
            self.hold_claim(id, hash);
            self.claims.set(self.now, hash, Claim::Ready);
            return self.find_controller(id);
        }
        if self.transfer.may_miss_claims(self.now) {
            return self.finish(id, Outcome::Unknown { after: RETRY_AFTER });
        }
        self.request_witness(id, hash);
    }

    /// Asks a witness to store the claim. The request may start after that.
    pub(crate) fn request_witness(&mut self, id: RequestId, hash: u64) {
        self.hold_claim(id, hash);
        let members = &self.cell.view().members;
        if members.len() == 1 {
            self.claims.set(self.now, hash, Claim::Ready);
            return self.find_controller(id);
        }
        let order = rendezvous::rank(hash, members);
        let witness = order
            .into_iter()
            .find(|m| *m != self.me && self.cell.is_alive(self.now, *m));
        let Some(witness) = witness else {
            return self.reply_busy(id);
        };
        self.claims.set(self.now, hash, Claim::Unconfirmed);
        let until = self.now + WITNESS_TIMEOUT;
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = JobStage::Confirming(until);
        }
        let view = self.cell.view().number;
        self.send(witness, Msg::RecordClaim { view, key: hash });
    }

    pub(crate) fn handle_claim_recorded(&mut self, view: ViewNumber, key: u64) {
        if view != self.cell.view().number || self.claims.get(key) != Some(&Claim::Unconfirmed) {
            return;
        }
        let Some(id) = self.jobs.holder(key) else {
            return;
        };
        self.claims.set(self.now, key, Claim::Ready);
        self.find_controller(id);
    }

    /// Chooses an admission controller to run the request and sends the request to it.
    pub(crate) fn find_controller(&mut self, id: RequestId) {
        let Some(job) = self.jobs.map.get_mut(&id) else {
            return;
        };
        job.stage = JobStage::New;
        let service = job.request.service.clone();
        let tried = job.tried.clone();
        let controller = if tried.len() < RUN_ATTEMPTS {
            self.choose_request_controller(id, &service, &tried)
        } else {
            None
        };
        let Some(controller) = controller else {
            return self.finish_not_run(id, RETRY_AFTER);
        };
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.tried.push(controller);
        }
        if controller == self.me {
            return self.run_locally(id);
        }
        self.mark_started(id);
        self.forward(id, controller, PeerTask::Run);
    }

    pub(crate) fn mark_started(&mut self, id: RequestId) {
        if let Some(key) = self.jobs.map.get(&id).and_then(|j| j.claim) {
            self.claims.set(self.now, key, Claim::Started);
        }
    }

    pub(crate) fn handle_dispatch_ended(&mut self, id: RequestId, outcome: Outcome) {
        let stage = self.jobs.map.get(&id).map(|j| j.stage);
        if let Some(JobStage::Running(host)) = stage {
            self.admission.end(host, id);
            self.update_capacity(host, &outcome);
        }
        self.attempt_ended(id, outcome);
        self.drain_queue();
    }

    pub(crate) fn handle_peer_reply(&mut self, id: RequestId, outcome: Outcome) {
        let Some(JobStage::Forwarded(to, task)) = self.jobs.map.get(&id).map(|j| j.stage) else {
            return;
        };
        match (task, outcome) {
            (PeerTask::Own, Outcome::NotStarted { after, .. }) => {
                self.mark_suspect(to);
                self.finish(id, Outcome::Busy { after });
            }
            (PeerTask::Own, outcome) => self.finish(id, outcome),
            (PeerTask::Run, outcome) => {
                if matches!(outcome, Outcome::NotStarted { .. }) {
                    self.jobs.full_until.insert(to, self.now + FULL_BACKOFF);
                }
                self.attempt_ended(id, outcome);
            }
        }
    }

    /// Handles the outcome of one attempt at a request: replies, or tries the next
    /// admission controller.
    pub(crate) fn attempt_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(job) = self.jobs.map.get(&id) else {
            return;
        };
        if job.task == Some(PeerTask::Run) {
            return self.finish(id, outcome);
        }
        match outcome {
            Outcome::NotStarted { after, .. } => {
                if let Some(key) = job.claim {
                    self.claims.set(self.now, key, Claim::Ready);
                }
                if self.now < job.until && !job.replied {
                    self.find_controller(id);
                } else {
                    self.finish_not_run(id, after);
                }
            }
            Outcome::Answered(response) => self.complete(id, response),
            _ => self.finish(id, Outcome::Unknown { after: RETRY_AFTER }),
        }
    }

    pub(crate) fn complete(&mut self, id: RequestId, response: TargetResponse) {
        self.counts.answered += 1;
        if let Some(key) = self.jobs.map.get(&id).and_then(|j| j.claim) {
            self.claims
                .set(self.now, key, Claim::Done(response.clone()));
        }
        self.finish(id, Outcome::Answered(response));
    }

    /// Ends a request that no admission controller could run. Its claim, if it holds one,
    /// records that it is never run.
    pub(crate) fn finish_not_run(&mut self, id: RequestId, after: Ms) {
        let claim = self.jobs.map.get(&id).and_then(|j| j.claim);
        let Some(key) = claim else {
            return self.finish(id, Outcome::Busy { after });
        };
        self.claims.set(self.now, key, Claim::NotRun);
        self.finish(id, Outcome::NotRun { after });
    }

    /// Replies that this VM is busy, which leaves open whether the request has run.
    pub(crate) fn reply_busy(&mut self, id: RequestId) {
        self.finish(id, Outcome::Busy { after: RETRY_AFTER });
    }

    /// Ends a request with a reply, and gives the same reply to the requests that wait
    /// for its outcome.
    pub(crate) fn finish(&mut self, id: RequestId, outcome: Outcome) {
        let Some(job) = self.jobs.map.remove(&id) else {
            return;
        };
        if !job.replied {
            self.count_outcome(&outcome);
            self.emit(Action::Reply(id, outcome.clone()));
        }
        if let Some(key) = job.claim.filter(|_| job.stage != JobStage::Waiting) {
            for waiting in self.jobs.waiting(key) {
                self.finish(waiting, outcome.clone());
            }
        }
    }

    pub(crate) fn count_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Busy { .. } | Outcome::NotRun { .. } => self.counts.refused += 1,
            Outcome::Unknown { .. } | Outcome::Lost => self.counts.unknown += 1,
            _ => {}
        }
    }

    /// Handles timeouts.
    pub(crate) fn tick_jobs(&mut self) {
        self.drop_gone_awaited();
        self.drain_queue();
        let now = self.now;
        self.jobs.full_until.retain(|_, until| now < *until);
        let ids: Vec<RequestId> = self.jobs.map.keys().copied().collect();
        for id in ids {
            self.tick_job(id);
        }
    }

    pub(crate) fn tick_job(&mut self, id: RequestId) {
        let now = self.now;
        let Some(job) = self.jobs.map.get(&id) else {
            return;
        };
        match job.stage {
            JobStage::Queued(until) if now >= until => {
                let after = self.retry_delay();
                self.attempt_ended(id, not_started(after));
            }
            JobStage::Confirming(until) if now >= until => {
                if let Some(key) = job.claim {
                    self.claims.remove(key);
                }
                self.reply_busy(id);
            }
            JobStage::Waiting if now >= job.until => {
                self.finish(id, Outcome::Unknown { after: RETRY_AFTER });
            }
            JobStage::Running(host) => {
                self.cancel_if_out(id, host);
                self.reply_if_late(id);
            }
            JobStage::Forwarded(..) => self.reply_if_late(id),
            _ => {}
        }
    }

    /// Replies at the deadline. The request is kept until its outcome is known.
    pub(crate) fn reply_if_late(&mut self, id: RequestId) {
        let now = self.now;
        let Some(job) = self.jobs.map.get_mut(&id) else {
            return;
        };
        if now < job.until || job.replied {
            return;
        }
        job.replied = true;
        let running = matches!(job.stage, JobStage::Running(_));
        self.counts.unknown += 1;
        self.emit(Action::Reply(id, Outcome::Unknown { after: RETRY_AFTER }));
        if running {
            self.emit(Action::Cancel(id));
        }
    }

    /// Cancels a request once its target's failure domain has been out of service for
    /// [`DOMAIN_OUT_GRACE`].
    pub(crate) fn cancel_if_out(&mut self, id: RequestId, host: HostId) {
        let serves = self
            .catalogue
            .host(host)
            .is_some_and(|h| self.catalogue.serves(h));
        let now = self.now;
        let Some(job) = self.jobs.map.get_mut(&id) else {
            return;
        };
        if serves {
            job.cancel_at = None;
            return;
        }
        match job.cancel_at {
            None => job.cancel_at = Some(now + DOMAIN_OUT_GRACE),
            Some(at) if now >= at => {
                // Never due again: one cancellation is enough.
                job.cancel_at = Some(Time(u64::MAX));
                self.emit(Action::Cancel(id));
            }
            Some(_) => {}
        }
    }
}

pub(crate) fn not_started(after: Ms) -> Outcome {
    Outcome::NotStarted { after, shed: false }
}
