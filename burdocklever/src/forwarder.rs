//! Steering: where a packet that carries a token goes.
//!
//! A later packet names its target by its token, so it needs no state of its
//! flow. Only an opening packet needs a decision. What a VM remembers of flows
//! is soft: it serves to judge the targets and may be lost at any time.

use std::collections::hash_map::Entry;

use rustc_hash::FxHashMap;
use wire::{Address, DomainId, HostId, Object, Version};

use crate::code::Code;
use crate::msg::FlowKey;
use crate::place::{self, Candidate, Choice};
use crate::rendezvous;
use crate::segment::{Segment, Stage, Verdict};
use crate::table::{Table, Target};
use crate::time::{Ms, Time};
use crate::trail::{
    adopt, hear, is_dead, is_waiting, last_segment, note_data, release, Flow, NOWHERE, TRIES,
};

/// Flows remembered at most; 358 bytes each as measured, so 36 of the 64 MB that
/// a VM may use. At the target size a VM sees 13,500.
const FLOWS_MAX: usize = 100_000;
/// Time after which a flow without packets is forgotten. Callers end a request
/// after at most 10 s.
const FLOW_IDLE: Ms = Ms(12_000);
/// Time after which a target that is gone from the list is forgotten: no flow
/// lives longer.
const TARGET_KEPT: Ms = Ms(120_000);
/// Age of the catalogue up to which "no such service" is certain.
const FRESH: Ms = Ms(2000);

/// Times that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwarderConfig {
    /// Time for which flows into a failure domain that goes out may go on.
    pub evacuation_time: Ms,
    /// Longest time until the list shows what a target wrote.
    pub propagation_delay: Ms,
}

/// An opening packet's decision, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenDecision {
    /// The chosen target.
    pub host: HostId,
    /// Its load, in sixteenths of a flow a slot.
    pub load: u32,
    /// Targets in this failure domain that had room.
    pub near: u32,
    /// Targets elsewhere that had room.
    pub far: u32,
    /// Targets that seemed not to answer.
    pub suspects: u32,
    /// Copies of the packet sent before.
    pub copy: u32,
    /// Revision of the list of targets that it was chosen from.
    pub revision: Version,
    /// Time since the routes were last known to be up to date.
    pub age: Ms,
}

/// A target whose life is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckRequest {
    /// The target.
    pub host: HostId,
    /// Where it listens.
    pub address: Address,
}

/// What a check of a target in doubt found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckOutcome {
    /// It lives, though it may be too busy to answer.
    Alive,
    /// Its process is gone.
    Refused,
    /// Another target has its address.
    AddressReused,
    /// It cannot be reached, while others can.
    Unreachable,
    /// Nothing can be said: this VM reaches nobody.
    Inconclusive,
}

impl CheckOutcome {
    /// The finding in words, for the log.
    pub(crate) fn text(self) -> &'static str {
        match self {
            CheckOutcome::Alive => "takes connections",
            CheckOutcome::Refused => "refuses connections",
            CheckOutcome::AddressReused => "another target has its address",
            CheckOutcome::Unreachable => "cannot be reached",
            CheckOutcome::Inconclusive => "this VM reaches nobody",
        }
    }
}

/// A target that was given up, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetFailure {
    /// The target.
    pub host: HostId,
    /// What its check found.
    pub finding: CheckOutcome,
    /// Time since its last sign of life; none if there was none.
    pub silent: Option<Ms>,
    /// Whether the target is still on the list.
    pub listed: bool,
    /// Flows that are reset.
    pub flows: usize,
}

/// Decisions of one VM on packets that carry tokens.
#[derive(Debug)]
pub struct Forwarder {
    config: ForwarderConfig,
    /// VMs of this failure domain.
    peers: u32,
    now: Time,
    confirmed: Option<Time>,
    /// Revision of the list of targets.
    revision: Version,
    /// Last time that no packet waited to be read.
    drained: Time,
    table: Table,
    flows: FxHashMap<FlowKey, Flow>,
    opening: Option<OpenDecision>,
    resets: Vec<Segment>,
    given_up: Vec<TargetFailure>,
    doubts: Vec<CheckRequest>,
    answer: Option<Ms>,
}

impl Forwarder {
    /// A VM of failure domain `home` that knows nothing yet.
    pub fn new(home: DomainId, config: ForwarderConfig) -> Forwarder {
        Forwarder {
            config,
            peers: 1,
            now: Time(0),
            confirmed: None,
            revision: Version(0),
            drained: Time(0),
            table: Table::new(home),
            flows: FxHashMap::default(),
            opening: None,
            resets: Vec::new(),
            given_up: Vec::new(),
            doubts: Vec::new(),
            answer: None,
        }
    }

    /// Sets the deployment's times.
    pub fn set_config(&mut self, config: ForwarderConfig) {
        self.config = config;
    }

    /// Takes in that no packet waits to be read. Until then, the lack of an
    /// acknowledgement may only show that this VM is late.
    pub fn receive_queue_empty(&mut self, now: Time) {
        self.drained = self.drained.max(now);
    }

    /// Sets the number of VMs in this failure domain, this one included.
    pub fn set_domain_size(&mut self, peers: u32) {
        self.peers = peers;
    }

    /// Sets the revision up to which targets are known.
    pub fn set_revision(&mut self, revision: Version) {
        self.revision = revision;
    }

    /// Takes in that the routes known now were in force at `now`.
    pub fn confirm_routes(&mut self, now: Time) {
        self.confirmed = Some(self.confirmed.map_or(now, |t| t.max(now)));
    }

    /// Flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Targets that may get new flows.
    pub fn available_targets(&self) -> usize {
        let open = |t: &&Target| self.table.takes_new(t, self.now);
        self.table.targets.iter().filter(open).count()
    }

    /// Targets that seem not to answer.
    pub fn suspect_targets(&self) -> usize {
        let listed = self.table.targets.iter().filter(|t| t.left.is_none());
        listed.filter(|t| t.signals.is_suspect(self.now)).count()
    }

    /// The decision on the last opening packet that was forwarded.
    pub fn take_open_decision(&mut self) -> Option<OpenDecision> {
        self.opening.take()
    }

    /// How long the answer took whose first byte the last packet acknowledged.
    pub fn take_response_time(&mut self) -> Option<Ms> {
        self.answer.take()
    }

    /// A target that was shown to be dead.
    pub fn take_failure(&mut self) -> Option<TargetFailure> {
        self.given_up.pop()
    }

    /// A target whose life is in doubt. A check, and then [`Forwarder::record_check`],
    /// tells what becomes of its flows.
    pub fn take_check_request(&mut self) -> Option<CheckRequest> {
        self.doubts.pop()
    }

    /// Takes in what a check of a target found.
    pub fn record_check(&mut self, now: Time, host: HostId, finding: CheckOutcome) {
        self.now = self.now.max(now);
        let Some(index) = self.table.hosts.get(&host).copied() else {
            return;
        };
        let target = &mut self.table.targets[index];
        target.signals.judged(now);
        match finding {
            CheckOutcome::Alive => target.signals.vouch(now),
            CheckOutcome::Refused | CheckOutcome::AddressReused => {
                self.give_up(index, finding, None)
            }
            CheckOutcome::Unreachable => {
                target.signals.miss(now);
                let (signals, listed) = (&target.signals, target.left.is_none());
                let shows = |f: &Flow| f.target == index && is_dead(f, signals, listed);
                if self.flows.values().any(shows) {
                    self.give_up(index, finding, None);
                }
            }
            CheckOutcome::Inconclusive => {}
        }
    }

    /// Whether [`Forwarder::take_failure`] or [`Forwarder::take_reset`] has more.
    pub fn has_pending_resets(&self) -> bool {
        !self.given_up.is_empty() || !self.resets.is_empty()
    }

    /// A flow to reset although its caller sent nothing: the last packet that
    /// it might have sent.
    pub fn take_reset(&mut self) -> Option<Segment> {
        self.resets.pop()
    }

    /// Takes in a changed object of the catalogue.
    pub fn apply(&mut self, now: Time, object: &Object) {
        self.now = self.now.max(now);
        self.table
            .apply(self.now, self.config.propagation_delay, object);
    }

    /// Decides on a caller's packet.
    pub fn handle_packet(&mut self, now: Time, segment: &Segment) -> Verdict {
        self.now = self.now.max(now);
        let Some(route) = self.table.routes.get(&segment.service) else {
            return self.unknown_route(segment);
        };
        if route.removed {
            return Verdict::Reset(Code::NoService);
        }
        match segment.stage {
            Stage::Open => self.open(segment),
            Stage::Within | Stage::Close => self.later(segment),
        }
    }

    fn unknown_route(&self, segment: &Segment) -> Verdict {
        let fresh = |at: Time| self.now.since(at) < FRESH;
        let code = match self.confirmed {
            None => Code::NotReady,
            Some(_) => Code::NoService,
        };
        if segment.stage == Stage::Open && self.confirmed.is_some_and(fresh) {
            Verdict::Reset(code)
        } else {
            Verdict::Drop(code)
        }
    }

    fn open(&mut self, segment: &Segment) -> Verdict {
        let key = segment.key();
        let known = self.flows.get(&key).copied();
        let repeat = known.filter(|f| f.stage == Stage::Open && f.sent == segment.seq);
        let tried = repeat.map_or([NOWHERE; TRIES], |f| f.tried);
        if let Some(flow) = repeat {
            // The copy shows that the last choice has not answered yet.
            self.table.targets[flow.target].signals.repeated(self.now);
        }
        let Some(choice) = self.choose(segment, key, &tried) else {
            return Verdict::Reset(Code::NoRoom);
        };
        self.forget(key);
        let copies = tried.iter().filter(|t| **t != NOWHERE).count();
        let mut flow = Flow {
            caller: segment.caller,
            service: segment.service,
            target: choice.target,
            seen: self.now,
            asked: None,
            sent: segment.seq,
            acked: 0,
            stage: Stage::Open,
            tried,
            data: self.now,
            repeats: 0,
        };
        flow.tried[copies.min(TRIES - 1)] = choice.target;
        self.remember(key, flow);
        let target = &mut self.table.targets[choice.target];
        target.signals.opened(self.now);
        self.opening = Some(OpenDecision {
            host: target.host,
            load: choice.load,
            near: choice.near,
            far: choice.far,
            suspects: choice.suspects,
            copy: segment.ack,
            revision: self.revision,
            age: self.confirmed.map_or(Ms(0), |at| self.now.since(at)),
        });
        Verdict::Forward {
            host: target.host,
            address: target.address,
            token: target.token,
        }
    }

    fn choose(&self, segment: &Segment, key: FlowKey, tried: &[usize]) -> Option<Choice> {
        let route = self.table.routes.get(&segment.service)?;
        let shares: Vec<(usize, u64, u32)> = route
            .shares
            .iter()
            .map(|(service, weight)| (*service, *service as u64, *weight))
            .collect();
        let choose = |service| {
            let list = self.candidates(service, key, tried);
            place::choose(&list, route.goal)
        };
        // The weights say where flows go while there is room. A flow of a full
        // service goes to the route's next one that has some.
        let services = rendezvous::rank_weighted(key.0, &shares);
        let choices: Vec<Choice> = services.into_iter().filter_map(choose).collect();
        let roomy = choices.iter().find(|c| !c.full).or(choices.first());
        roomy.copied()
    }

    fn candidates(&self, service: usize, key: FlowKey, tried: &[usize]) -> Vec<Candidate> {
        let service = &self.table.services[service];
        let conns = service.pool.as_ref().map_or(u32::MAX, |p| p.conns);
        let candidate = |i: &usize| {
            let target = &self.table.targets[*i];
            let signals = &target.signals;
            let suspect = signals.is_suspect(self.now) && !signals.is_due(self.now);
            let open = self.table.takes_new(target, self.now)
                && service.tokens.get(&target.token) == Some(i)
                && signals.flows < conns;
            open.then(|| Candidate {
                target: *i,
                near: self.table.domains[target.domain].near,
                suspect: suspect || tried.contains(i),
                load: place::load(signals.flows, signals.waiting, target.slots),
                answer: signals.answer_time(),
                busy: place::is_busy(signals.waiting, self.peers, target.slots),
                tie: rendezvous::score(key.0, target.host.0),
            })
        };
        service.targets.iter().filter_map(candidate).collect()
    }

    fn later(&mut self, segment: &Segment) -> Verdict {
        let Some(index) = self.table.target_of(segment) else {
            return Verdict::Drop(Code::NoFlow);
        };
        let domain = &self.table.domains[self.table.targets[index].domain];
        let left = |at: Time| self.now.since(at) >= self.config.evacuation_time;
        if domain.out.is_some_and(left) {
            self.forget(segment.key());
            return Verdict::Drop(Code::FlowEnded);
        }
        self.watch(segment, index);
        let signals = &self.table.targets[index].signals;
        if segment.len > 0 && signals.is_given_up() && !signals.is_checking(self.now) {
            let key = segment.key();
            let waits = self.flows.get(&key).is_some_and(|f| f.repeats > 0);
            if !(waits && self.is_once(segment.service)) {
                self.forget(key);
                return Verdict::Reset(Code::FlowEnded);
            }
        }
        let target = &self.table.targets[index];
        Verdict::Forward {
            host: target.host,
            address: target.address,
            token: target.token,
        }
    }

    /// Learns from a later packet how its target does.
    fn watch(&mut self, segment: &Segment, index: usize) {
        let key = segment.key();
        let now = self.now;
        let known = self.flows.get(&key).is_some_and(|f| f.target == index);
        if !known {
            self.forget(key);
            self.remember(key, adopt(now, segment, index));
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let target = &mut self.table.targets[index];
        flow.seen = now;
        let took = hear(now, segment, flow, &mut target.signals);
        self.answer = took;
        let mut repeats = false;
        if segment.len > 0 && known {
            repeats = note_data(now, self.drained, segment, flow, &mut target.signals);
        }
        if segment.stage == Stage::Close && flow.stage != Stage::Close {
            release(&mut target.signals, flow);
            flow.stage = Stage::Close;
            flow.asked = None;
        }
        let lost = target.left.is_some() || target.signals.is_given_up();
        if repeats || (segment.len > 0 && lost) {
            self.doubt(key, index);
        }
    }

    /// Has a target checked that seems not to answer a flow's request, or gives it
    /// up if it was found unreachable just now.
    fn doubt(&mut self, key: FlowKey, index: usize) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let target = &mut self.table.targets[index];
        let (signals, listed) = (&mut target.signals, target.left.is_none());
        if !is_waiting(flow, signals) {
            return;
        }
        let dead = signals.is_unreachable(self.now) && is_dead(flow, signals, listed);
        if dead && !signals.is_given_up() {
            self.give_up(index, CheckOutcome::Unreachable, Some(key));
        } else if signals.take_check(self.now) {
            let (host, address) = (target.host, target.address);
            if self.table.is_replaced(index) {
                self.table.targets[index].signals.judged(self.now);
                self.give_up(index, CheckOutcome::AddressReused, Some(key));
            } else {
                self.doubts.push(CheckRequest { host, address });
            }
        }
    }

    /// Whether requests to a service's address may not be repeated.
    fn is_once(&self, service: Address) -> bool {
        self.table.routes.get(&service).is_some_and(|r| r.once)
    }

    /// Believes a target dead and ends its flows, so that callers need not wait
    /// for their deadlines to find out. Requests in progress that may not be
    /// repeated are left alone while an answer may still come. `spared` is the
    /// flow whose packet is being decided on.
    fn give_up(&mut self, index: usize, finding: CheckOutcome, spared: Option<FlowKey>) {
        let target = &mut self.table.targets[index];
        if target.signals.is_given_up() {
            return;
        }
        target.signals.give_up();
        let token = target.token;
        let given_up = TargetFailure {
            host: target.host,
            finding,
            silent: target.signals.silence(self.now),
            listed: target.left.is_none(),
            flows: 0,
        };
        let ends = |(key, flow): &(&FlowKey, &Flow)| {
            let open = flow.target == index && flow.stage == Stage::Within;
            let hopes = finding == CheckOutcome::Unreachable && flow.asked.is_some();
            open && Some(**key) != spared && !(hopes && self.is_once(flow.service))
        };
        let mut ended: Vec<FlowKey> = self.flows.iter().filter(ends).map(|(k, _)| *k).collect();
        ended.sort_unstable();
        self.given_up.push(TargetFailure {
            flows: ended.len(),
            ..given_up
        });
        for key in ended {
            if let Some(flow) = self.flows.get(&key) {
                self.resets.push(last_segment(flow, token));
            }
            self.forget(key);
        }
    }

    fn remember(&mut self, key: FlowKey, flow: Flow) {
        if self.flows.len() >= FLOWS_MAX {
            return;
        }
        if let Entry::Vacant(slot) = self.flows.entry(key) {
            slot.insert(flow);
            let signals = &mut self.table.targets[flow.target].signals;
            signals.flows += u32::from(flow.stage != Stage::Close);
            signals.waiting += u32::from(flow.asked.is_some());
        }
    }

    fn forget(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(&key) {
            release(&mut self.table.targets[flow.target].signals, &flow);
        }
    }

    /// Forgets flows without packets and targets that are long gone.
    pub fn sweep(&mut self, now: Time) {
        self.now = self.now.max(now);
        let now = self.now;
        let targets = &mut self.table.targets;
        self.flows.retain(|_, flow| {
            let kept = now.since(flow.seen) < FLOW_IDLE;
            if !kept {
                release(&mut targets[flow.target].signals, flow);
            }
            kept
        });
        let gone = |t: &Target| t.left.is_some_and(|at| now.since(at) >= TARGET_KEPT);
        if self.table.targets.iter().any(gone) {
            self.drop_targets(gone);
        }
    }

    /// Removes targets and renumbers the others.
    fn drop_targets(&mut self, gone: impl Fn(&Target) -> bool) {
        let mut moved = vec![NOWHERE; self.table.targets.len()];
        let mut next = 0;
        for (i, target) in self.table.targets.iter().enumerate() {
            if !gone(target) {
                moved[i] = next;
                next += 1;
            }
        }
        self.table.targets.retain(|t| !gone(t));
        self.table.hosts.retain(|_, i| {
            *i = moved[*i];
            *i != NOWHERE
        });
        for service in &mut self.table.services {
            service.targets.retain_mut(|i| {
                *i = moved[*i];
                *i != NOWHERE
            });
            service.tokens.retain(|_, i| {
                *i = moved[*i];
                *i != NOWHERE
            });
        }
        self.flows.retain(|_, flow| {
            flow.target = moved[flow.target];
            for tried in flow.tried.iter_mut().filter(|i| **i != NOWHERE) {
                *tried = moved[*tried];
            }
            flow.target != NOWHERE
        });
    }
}
