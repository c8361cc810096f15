//! Requests: who owns a key, who runs a request, and what the caller is told.
//!
//! A request that may not be repeated goes to the owner of its key, which
//! claims it and sees it through. Any other request is run by the steward of
//! one of the service's targets, chosen by the entry VM.

use std::collections::BTreeMap;

use wire::{Class, HostId, Member, Number, ServiceId};

use crate::cell::LEASE;
use crate::claim::{Answer, Claim, KEY_LIFE};
use crate::code::Code;
use crate::key::{Issued, Key};
use crate::msg::Msg;
use crate::node::{Action, End, Hop, Node, ReqId, Request};
use crate::rank;
use crate::time::{Ms, Time};

/// Stewards that are asked to run one request.
const RUN_TRIES: usize = 4;
/// Time for which a request waits at a steward for a slot.
const QUEUE_WAIT: Ms = Ms(250);
/// Requests that may wait at one steward, by class.
const QUEUE_CRITICAL: usize = 16;
const QUEUE_NORMAL: usize = 8;
const QUEUE_BULK: usize = 4;
/// Time to wait for a witness.
const NOTE_WAIT: Ms = Ms(100);
/// Time for which a steward without room is passed over.
const FULL: Ms = Ms(50);
/// Shortest time that a refused caller is told to stay away.
const AFTER: Ms = Ms(200);
/// Time that requests in progress have to finish once their target's failure
/// domain is out.
const OUT_GRACE: Ms = Ms(2000);

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Just arrived, or between two attempts.
    New,
    /// Another VM works on it.
    Forwarded(Member, Hop),
    /// A witness was asked to keep the claim.
    Noting(Time),
    /// Waits for a slot.
    Queued(Time),
    /// In progress at a target.
    Running(HostId),
    /// Waits for the outcome of an earlier copy.
    Waiting,
}

#[derive(Debug, Clone)]
struct Job {
    request: Request,
    class: Class,
    until: Time,
    hop: Option<Hop>,
    stage: Stage,
    /// Key whose claim this request holds or waits for.
    claim: Option<u64>,
    tried: Vec<Member>,
    replied: bool,
    /// When to cancel, once the target's failure domain is out.
    cut: Option<Time>,
}

/// Requests in the care of this VM.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    map: BTreeMap<ReqId, Job>,
    full: BTreeMap<Member, Time>,
    issued: u64,
}

impl Jobs {
    pub(crate) fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    /// Requests whose claim no witness has confirmed, with their keys.
    pub(crate) fn noting(&self) -> Vec<(ReqId, u64)> {
        let noting = self
            .map
            .iter()
            .filter(|(_, j)| matches!(j.stage, Stage::Noting(_)));
        noting.filter_map(|(id, j)| Some((*id, j.claim?))).collect()
    }

    fn queued(&self) -> usize {
        let queued = self
            .map
            .values()
            .filter(|j| matches!(j.stage, Stage::Queued(_)));
        queued.count()
    }

    /// The request that holds the claim of `key`, if one is in progress.
    fn holder(&self, key: u64) -> Option<ReqId> {
        let holds = |j: &Job| j.claim == Some(key) && j.stage != Stage::Waiting;
        self.map.iter().find(|(_, j)| holds(j)).map(|(id, _)| *id)
    }

    fn waiting(&self, key: u64) -> Vec<ReqId> {
        let waits = |j: &Job| j.claim == Some(key) && j.stage == Stage::Waiting;
        let list = self.map.iter().filter(|(_, j)| waits(j));
        list.map(|(id, _)| *id).collect()
    }
}

impl Node {
    /// A fresh key that this VM owns.
    pub fn issue_key(&mut self) -> Key {
        self.jobs.issued += 1;
        Key::Issued(Issued {
            member: self.me,
            at: self.now,
            seq: self.jobs.issued,
        })
    }

    pub(crate) fn request(&mut self, id: ReqId, request: Request) {
        if !self.has_catalogue() {
            return self.act(Action::Reply(id, End::Refused(Code::NotReady)));
        }
        let Some(service) = self.catalogue.service(&request.service) else {
            return self.act(Action::Reply(id, End::Refused(Code::NoService)));
        };
        let once = service.once;
        let key = request.key;
        self.add_job(id, None, request);
        match key {
            _ if !once => self.seek(id),
            None => {
                let key = self.issue_key();
                self.finish(id, End::NeedKey(key));
            }
            Some(key) => self.seek_owner(id, key),
        }
    }

    pub(crate) fn work(&mut self, id: ReqId, hop: Hop, request: Request) {
        if !self.has_catalogue() || self.catalogue.service(&request.service).is_none() {
            let end = not_started(AFTER);
            return self.act(Action::Reply(id, end));
        }
        let key = request.key;
        self.add_job(id, Some(hop), request);
        match (hop, key) {
            (Hop::Run, _) => self.run_here(id),
            (Hop::Own, Some(key)) => self.own(id, key),
            (Hop::Own, None) => self.finish(id, End::Refused(Code::BadKey)),
        }
    }

    fn add_job(&mut self, id: ReqId, hop: Option<Hop>, request: Request) {
        let service = self.catalogue.service(&request.service);
        let (class, longest) =
            service.map_or((Class::Bulk, Ms(0)), |s| (s.class, Ms(s.deadline_ms)));
        let job = Job {
            until: self.now + request.deadline.min(longest),
            request,
            class,
            hop,
            stage: Stage::New,
            claim: None,
            tried: Vec::new(),
            replied: false,
            cut: None,
        };
        self.jobs.map.insert(id, job);
    }

    /// Takes a request to the owner of its key.
    fn seek_owner(&mut self, id: ReqId, key: Key) {
        if let Key::Issued(issued) = key {
            if issued.member != self.me && self.catalogue.is_gone(issued.member) {
                return self.finish(id, End::Lost);
            }
        }
        match self.key_owner(key) {
            None => self.reply_busy(id),
            Some(owner) if owner == self.me => self.own(id, key),
            Some(owner) => self.forward(id, owner, Hop::Own),
        }
    }

    fn key_owner(&self, key: Key) -> Option<Member> {
        match key {
            Key::Issued(issued) => Some(issued.member),
            Key::Made(hash) => {
                let view = self.catalogue.view(self.catalogue.home(hash)?)?;
                rank::top(hash, &view.members)
            }
        }
    }

    fn forward(&mut self, id: ReqId, to: Member, hop: Hop) {
        let now = self.now;
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = Stage::Forwarded(to, hop);
            let mut request = job.request.clone();
            request.deadline = job.until.since(now);
            self.act(Action::Forward(id, to, hop, request));
        }
    }

    /// Whether this VM may claim keys that callers made and it has not seen.
    fn may_own(&self, hash: u64) -> bool {
        self.catalogue.home(hash) == Some(&self.domain)
            && rank::top(hash, &self.cell.view().members) == Some(self.me)
            && self.cell.holds_lease(self.now)
            && self.settle.is_settled()
    }

    /// Claims the key of a request, or answers from an earlier claim.
    fn own(&mut self, id: ReqId, key: Key) {
        let hash = key.hash();
        if self.key_owner(key) != Some(self.me) {
            return self.reply_busy(id);
        }
        if matches!(key, Key::Made(_)) && !self.may_own(hash) {
            return self.reply_busy(id);
        }
        match self.claims.get(hash) {
            Some(Claim::Done(answer)) => {
                let end = End::Answered(answer.clone());
                self.finish(id, end);
            }
            Some(Claim::Sealed) => self.finish(id, End::NotRun { after: AFTER }),
            Some(Claim::Foreign) => self.finish(id, End::Unknown { after: AFTER }),
            Some(_) => match self.jobs.holder(hash) {
                Some(_) => self.wait_for(id, hash),
                None => self.resume(id, hash),
            },
            None => self.claim(id, key, hash),
        }
    }

    fn wait_for(&mut self, id: ReqId, hash: u64) {
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.claim = Some(hash);
            job.stage = Stage::Waiting;
        }
    }

    /// Goes on with a claim that no request holds any more.
    fn resume(&mut self, id: ReqId, hash: u64) {
        match self.claims.get(hash) {
            Some(Claim::Ready) => {
                self.hold(id, hash);
                self.seek(id);
            }
            Some(Claim::Noting) => self.confirm(id, hash),
            _ => self.finish(id, End::Unknown { after: AFTER }),
        }
    }

    fn hold(&mut self, id: ReqId, hash: u64) {
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.claim = Some(hash);
        }
    }

    fn claim(&mut self, id: ReqId, key: Key, hash: u64) {
        if let Key::Issued(issued) = key {
            let age = issued.age(self.now);
            // A claim outlives the age at which its key may start by KEY_LIFE.
            if age >= KEY_LIFE + KEY_LIFE {
                return self.finish(id, End::Lost);
            }
            if age >= KEY_LIFE {
                return self.finish(id, End::NotRun { after: Ms(0) });
            }
            self.hold(id, hash);
            self.claims.set(self.now, hash, Claim::Ready);
            return self.seek(id);
        }
        if self.settle.is_tainted(self.now) {
            return self.finish(id, End::Unknown { after: AFTER });
        }
        self.confirm(id, hash);
    }

    /// Has a witness keep the claim before the request may start.
    fn confirm(&mut self, id: ReqId, hash: u64) {
        self.hold(id, hash);
        let members = &self.cell.view().members;
        if members.len() == 1 {
            self.claims.set(self.now, hash, Claim::Ready);
            return self.seek(id);
        }
        let order = rank::order(hash, members);
        let witness = order
            .into_iter()
            .find(|m| *m != self.me && self.cell.is_alive(self.now, *m));
        let Some(witness) = witness else {
            return self.reply_busy(id);
        };
        self.claims.set(self.now, hash, Claim::Noting);
        let until = self.now + NOTE_WAIT;
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = Stage::Noting(until);
        }
        let view = self.cell.view().number;
        self.send(witness, Msg::Note { view, key: hash });
    }

    pub(crate) fn noted(&mut self, view: Number, key: u64) {
        if view != self.cell.view().number || self.claims.get(key) != Some(&Claim::Noting) {
            return;
        }
        let Some(id) = self.jobs.holder(key) else {
            return;
        };
        self.claims.set(self.now, key, Claim::Ready);
        self.seek(id);
    }

    /// Finds a steward to run the request.
    fn seek(&mut self, id: ReqId) {
        let Some(job) = self.jobs.map.get_mut(&id) else {
            return;
        };
        job.stage = Stage::New;
        let service = job.request.service.clone();
        let tried = job.tried.clone();
        let steward = if tried.len() < RUN_TRIES {
            self.choose_runner(id, &service, &tried)
        } else {
            None
        };
        let Some(steward) = steward else {
            return self.exhausted(id, AFTER);
        };
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.tried.push(steward);
        }
        if steward == self.me {
            return self.run_here(id);
        }
        self.mark_started(id);
        self.forward(id, steward, Hop::Run);
    }

    /// A steward for a request: cells in the request's own order, weighted by
    /// targets; in this cell the one with the most free slots.
    fn choose_runner(&self, id: ReqId, service: &ServiceId, tried: &[Member]) -> Option<Member> {
        let seed = rank::score(id.0, self.me.vm.0.into());
        let mut last = None;
        for domain in self.catalogue.cells_for(service, seed) {
            let hosts = self
                .catalogue
                .hosts(service)
                .filter(|h| h.domain == domain && self.catalogue.takes_new(h));
            let mut stewards: Vec<(u64, Member)> = hosts
                .filter_map(|h| Some((rank::score(seed, h.id.0), self.steward_of(h)?)))
                .filter(|(_, s)| !tried.contains(s) && !self.is_suspect(*s))
                .collect();
            stewards.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
            let full = |m: &Member| self.jobs.full.get(m).is_some_and(|t| self.now < *t);
            let best = if domain == self.domain {
                self.freest(service, &stewards)
            } else {
                stewards.iter().map(|(_, s)| *s).find(|s| !full(s))
            };
            if best.is_some() {
                return best;
            }
            last = last.or(stewards.first().map(|(_, s)| *s));
        }
        last
    }

    /// The member of this cell with the most free slots for a service.
    fn freest(&self, service: &ServiceId, stewards: &[(u64, Member)]) -> Option<Member> {
        let own = self.loads();
        let peers = self
            .cell
            .loads(self.now)
            .map(|(member, load)| (member, *load));
        let all = own.into_iter().map(|load| (self.me, load)).chain(peers);
        let mut free: BTreeMap<Member, u32> = BTreeMap::new();
        for (member, load) in all {
            let host = self.catalogue.host(load.host);
            if host.is_some_and(|h| h.service == *service) {
                *free.entry(member).or_default() += load.slots.saturating_sub(load.busy);
            }
        }
        let open = |m: &Member| {
            free.get(m).copied().unwrap_or(0) > 0
                && self.jobs.full.get(m).is_none_or(|t| self.now >= *t)
        };
        stewards.iter().map(|(_, s)| *s).find(open)
    }

    /// Runs a request at a target that this VM guards, now or once one is free.
    fn run_here(&mut self, id: ReqId) {
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
            return self.attempt_ended(id, not_started(self.come_back()));
        }
        let until = (self.now + QUEUE_WAIT).min(job.until);
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = Stage::Queued(until);
        }
    }

    /// When a refused request should come back, by the length of the queue.
    fn come_back(&self) -> Ms {
        AFTER + Ms(25 * self.jobs.queued() as u64)
    }

    fn guards(&self, service: &ServiceId) -> bool {
        let mut ids = self.stewards.targets.keys();
        ids.any(|id| self.takes_for(*id, service))
    }

    fn takes_for(&self, id: HostId, service: &ServiceId) -> bool {
        let host = self.catalogue.host(id);
        host.is_some_and(|h| h.service == *service && self.catalogue.takes_new(h))
    }

    /// The guarded target of a service with the most room, if any has some.
    fn free_target(&self, service: &ServiceId) -> Option<HostId> {
        if !self.cell.holds_lease(self.now) || !self.cell.is_active(self.now) {
            return None;
        }
        let open = self
            .stewards
            .targets
            .iter()
            .filter(|(id, t)| t.is_open(self.now) && self.takes_for(**id, service));
        let room = open.filter_map(|(id, t)| {
            let busy = self.stewards.running(*id) + self.elsewhere(*id);
            let slots = t.bearing.slots(&t.limits);
            (busy < slots).then_some((busy * 1024 / slots, t.conns(), *id))
        });
        room.min().map(|(_, _, id)| id)
    }

    /// Requests that other VMs still have in progress at a target guarded here.
    pub(crate) fn elsewhere(&self, host: HostId) -> u32 {
        let longest = self
            .catalogue
            .host(host)
            .and_then(|h| self.catalogue.service(&h.service))
            .map_or(Ms(0), |s| Ms(s.deadline_ms));
        let may_run = |p: &&crate::cell::Peer| {
            !self.catalogue.is_gone(p.member) && self.now.since(p.heard) < LEASE + longest
        };
        let peers = self.cell.peers().filter(may_run);
        let counts = peers.flat_map(|p| p.last.busy.iter());
        counts.filter(|c| c.host == host).map(|c| c.count).sum()
    }

    fn start(&mut self, id: ReqId, host: HostId) {
        let Some(address) = self.catalogue.host(host).map(|h| h.address) else {
            return;
        };
        self.mark_started(id);
        self.stewards.start(host, id);
        if let Some(job) = self.jobs.map.get_mut(&id) {
            job.stage = Stage::Running(host);
            let budget = job.until.since(self.now);
            self.act(Action::Dispatch(id, host, address, budget));
        }
    }

    fn mark_started(&mut self, id: ReqId) {
        if let Some(key) = self.jobs.map.get(&id).and_then(|j| j.claim) {
            self.claims.set(self.now, key, Claim::Started);
        }
    }

    pub(crate) fn ended(&mut self, id: ReqId, end: End) {
        let stage = self.jobs.map.get(&id).map(|j| j.stage);
        if let Some(Stage::Running(host)) = stage {
            self.stewards.end(host, id);
            self.learn(host, &end);
        }
        self.attempt_ended(id, end);
        self.drain_queue();
    }

    /// Adjusts the estimate of what a target bears.
    fn learn(&mut self, host: HostId, end: &End) {
        let Some(target) = self.stewards.targets.get_mut(&host) else {
            return;
        };
        let limits = target.limits;
        match end {
            End::Answered(answer) => target.bearing.answered(self.now, answer.life, &limits),
            End::NotStarted { .. } | End::Unknown { .. } => target.bearing.troubled(self.now),
            _ => {}
        }
    }

    /// Gives free slots to waiting requests, the most important first.
    fn drain_queue(&mut self) {
        let jobs = self.jobs.map.iter();
        let mut queue: Vec<(Class, ReqId)> = jobs
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

    pub(crate) fn forwarded(&mut self, id: ReqId, end: End) {
        let Some(Stage::Forwarded(to, hop)) = self.jobs.map.get(&id).map(|j| j.stage) else {
            return;
        };
        match (hop, end) {
            (Hop::Own, End::NotStarted { after, .. }) => {
                self.suspect(to);
                self.finish(id, End::Busy { after });
            }
            (Hop::Own, end) => self.finish(id, end),
            (Hop::Run, end) => {
                if matches!(end, End::NotStarted { .. }) {
                    self.jobs.full.insert(to, self.now + FULL);
                }
                self.attempt_ended(id, end);
            }
        }
    }

    /// Settles what one attempt at a request came to.
    fn attempt_ended(&mut self, id: ReqId, end: End) {
        let Some(job) = self.jobs.map.get(&id) else {
            return;
        };
        if job.hop == Some(Hop::Run) {
            return self.finish(id, end);
        }
        match end {
            End::NotStarted { after, .. } => {
                if let Some(key) = job.claim {
                    self.claims.set(self.now, key, Claim::Ready);
                }
                if self.now < job.until && !job.replied {
                    self.seek(id);
                } else {
                    self.exhausted(id, after);
                }
            }
            End::Answered(answer) => self.answered(id, answer),
            _ => self.finish(id, End::Unknown { after: AFTER }),
        }
    }

    fn answered(&mut self, id: ReqId, answer: Answer) {
        self.counts.answered += 1;
        if let Some(key) = self.jobs.map.get(&id).and_then(|j| j.claim) {
            self.claims.set(self.now, key, Claim::Done(answer.clone()));
        }
        self.finish(id, End::Answered(answer));
    }

    /// Gives up a request that no steward would run.
    fn exhausted(&mut self, id: ReqId, after: Ms) {
        let claim = self.jobs.map.get(&id).and_then(|j| j.claim);
        let Some(key) = claim else {
            return self.finish(id, End::Busy { after });
        };
        self.claims.set(self.now, key, Claim::Sealed);
        self.finish(id, End::NotRun { after });
    }

    /// Says nothing of a request but when to ask again.
    pub(crate) fn reply_busy(&mut self, id: ReqId) {
        self.finish(id, End::Busy { after: AFTER });
    }

    /// Replies, and gives the same reply to the copies that wait for this one.
    fn finish(&mut self, id: ReqId, end: End) {
        let Some(job) = self.jobs.map.remove(&id) else {
            return;
        };
        if !job.replied {
            self.count_end(&end);
            self.act(Action::Reply(id, end.clone()));
        }
        if let Some(key) = job.claim.filter(|_| job.stage != Stage::Waiting) {
            for copy in self.jobs.waiting(key) {
                self.finish(copy, end.clone());
            }
        }
    }

    fn count_end(&mut self, end: &End) {
        match end {
            End::Busy { .. } | End::NotRun { .. } => self.counts.refused += 1,
            End::Unknown { .. } | End::Lost => self.counts.unknown += 1,
            _ => {}
        }
    }

    /// Gives up on what is late.
    pub(crate) fn tick_jobs(&mut self) {
        self.update_awaited();
        self.drain_queue();
        let now = self.now;
        self.jobs.full.retain(|_, until| now < *until);
        let ids: Vec<ReqId> = self.jobs.map.keys().copied().collect();
        for id in ids {
            self.tick_job(id);
        }
    }

    fn tick_job(&mut self, id: ReqId) {
        let now = self.now;
        let Some(job) = self.jobs.map.get(&id) else {
            return;
        };
        match job.stage {
            Stage::Queued(until) if now >= until => {
                let after = self.come_back();
                self.attempt_ended(id, not_started(after));
            }
            Stage::Noting(until) if now >= until => {
                if let Some(key) = job.claim {
                    self.claims.remove(key);
                }
                self.reply_busy(id);
            }
            Stage::Waiting if now >= job.until => {
                self.finish(id, End::Unknown { after: AFTER });
            }
            Stage::Running(host) => {
                self.cut_if_out(id, host);
                self.reply_if_late(id);
            }
            Stage::Forwarded(..) => self.reply_if_late(id),
            _ => {}
        }
    }

    /// Replies at the deadline. The request stays until its end is known.
    fn reply_if_late(&mut self, id: ReqId) {
        let now = self.now;
        let Some(job) = self.jobs.map.get_mut(&id) else {
            return;
        };
        if now < job.until || job.replied {
            return;
        }
        job.replied = true;
        let running = matches!(job.stage, Stage::Running(_));
        self.counts.unknown += 1;
        self.act(Action::Reply(id, End::Unknown { after: AFTER }));
        if running {
            self.act(Action::Cancel(id));
        }
    }

    /// Cancels a request some time after its target's failure domain went out.
    fn cut_if_out(&mut self, id: ReqId, host: HostId) {
        let serves = self
            .catalogue
            .host(host)
            .is_some_and(|h| self.catalogue.serves(h));
        let now = self.now;
        let Some(job) = self.jobs.map.get_mut(&id) else {
            return;
        };
        if serves {
            job.cut = None;
            return;
        }
        match job.cut {
            None => job.cut = Some(now + OUT_GRACE),
            Some(at) if now >= at => {
                job.cut = Some(Time(u64::MAX));
                self.act(Action::Cancel(id));
            }
            Some(_) => {}
        }
    }

    /// Notes that a VM has told what it has in progress at targets guarded here.
    pub(crate) fn told_busy(&mut self, from: Member) {
        let Some(view) = self.cell.peer(from.vm).map(|p| p.last.view) else {
            return;
        };
        for target in self.stewards.targets.values_mut() {
            if view >= target.since {
                target.awaited.remove(&from);
            }
        }
    }

    fn update_awaited(&mut self) {
        let catalogue = &self.catalogue;
        for target in self.stewards.targets.values_mut() {
            target.awaited.retain(|m| !catalogue.is_gone(*m));
        }
    }
}

fn not_started(after: Ms) -> End {
    End::NotStarted { after, shed: false }
}
