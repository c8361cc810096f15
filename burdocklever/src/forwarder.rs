//! Forwarding decisions on packets that carry a token.
//!
//! A target is selected only for the opening packet of a flow. A later packet
//! identifies the target by its token, so forwarding it needs no state of the
//! flow. The state that a VM keeps of flows is soft: it serves to judge the
//! health of targets and may be lost at any time.

use std::collections::hash_map::Entry;

use rustc_hash::FxHashMap;
use wire::{Address, DomainId, HostId, Object, Version};

use crate::code::Code;
use crate::flow_state::{
    indicates_failure, is_unanswered, process_ack, process_data, release_counts, reset_segment,
    track_existing, FlowState, MAX_TRIED, NO_TARGET,
};
use crate::load_table::shares_load;
use crate::msg::FlowKey;
use crate::refusal::{Refusal, Refusals, ServiceRoom};
use crate::routing_table::{RoutingTable, Target};
use crate::segment::{Segment, Stage, Verdict};
use crate::shared_placement::Placed;
use crate::shortage::ShortageSettings;
use crate::switch::Switch;
use crate::time::{Ms, Time};

mod selection;

/// Maximum number of flows with state. At 358 bytes each, they take 36 of the 64
/// MB that a VM may use. At the intended fleet size a VM sees 13,500.
const MAX_FLOWS: usize = 100_000;
/// Time without packets after which the state of a flow is dropped. Callers end
/// a request after at most 10 s.
const FLOW_IDLE_TIMEOUT: Ms = Ms(12_000);
/// Time after which a target that was removed from the target list is forgotten.
/// No flow lives longer.
const REMOVED_TARGET_TTL: Ms = Ms(120_000);

/// Settings that depend on the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwarderConfig {
    /// Time for which packets are still forwarded into a failure domain that
    /// goes out of service.
    pub evacuation_time: Ms,
    /// Maximum time until the target list shows what a target has written.
    pub propagation_delay: Ms,
    /// Maximum age of the known routes at which an opening packet to an address
    /// without a route is reset. With older ones it is dropped, since the route may
    /// be new.
    pub max_route_age: Ms,
}

/// The placement of a new flow, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenDecision {
    /// The selected target.
    pub host: HostId,
    /// Its load: by shared figures in hundredths of a request per second and slot,
    /// otherwise in sixteenths of a flow per slot.
    pub load: u32,
    /// Age of the shared figures that decided; none if this VM's own ones did.
    pub shared_age: Option<Ms>,
    /// Candidates in this failure domain that are not suspect.
    pub local: u32,
    /// Candidates elsewhere that are not suspect.
    pub remote: u32,
    /// Candidates that are suspect.
    pub suspects: u32,
    /// Number of copies of the opening packet that were sent before.
    pub copy: u32,
    /// Revision of the target list that the decision is based on.
    pub revision: Version,
    /// Time since the routes were last confirmed to be up to date.
    pub age: Ms,
}

/// A target to check for liveness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckRequest {
    /// The target.
    pub host: HostId,
    /// Address that it listens on.
    pub address: Address,
}

/// Outcome of a target's liveness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The target accepts connections, though it may be too busy to answer.
    Alive,
    /// The target's process has ended.
    Refused,
    /// Another target has its address.
    AddressReused,
    /// The target cannot be reached, while others can.
    Unreachable,
    /// This VM can reach nobody, so the check says nothing about the target.
    Inconclusive,
}

impl CheckOutcome {
    /// The outcome in words, for the log.
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

/// A target that was marked as failed, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetFailure {
    /// The target.
    pub host: HostId,
    /// Outcome of its check.
    pub outcome: CheckOutcome,
    /// Time since its last response; none if there was none.
    pub silence: Option<Ms>,
    /// Whether the target is still on the target list.
    pub listed: bool,
    /// Number of flows that are reset.
    pub flows: usize,
}

/// Decides on packets that carry a token, for one VM.
#[derive(Debug)]
pub struct Forwarder {
    config: ForwarderConfig,
    /// Number of VMs in this failure domain, this one included.
    domain_size: u32,
    load_share: Switch,
    now: Time,
    /// Last time that the routes were confirmed to be up to date.
    routes_confirmed: Option<Time>,
    /// Revision of the target list.
    revision: Version,
    /// Last time that the receive queue was empty.
    queue_empty: Time,
    table: RoutingTable,
    flows: FxHashMap<FlowKey, FlowState>,
    /// Last packet of a flow up to which unanswered opening packets are counted.
    opens_counted: Time,
    refusals: Refusals,
    // Results that the caller has not taken yet.
    open_decision: Option<OpenDecision>,
    resets: Vec<Segment>,
    failures: Vec<TargetFailure>,
    check_requests: Vec<CheckRequest>,
    response_time: Option<Ms>,
}

impl Forwarder {
    /// Forwarder of a VM in `local_domain`, without a catalogue.
    pub fn new(local_domain: DomainId, config: ForwarderConfig) -> Forwarder {
        Forwarder {
            config,
            domain_size: 1,
            load_share: Switch::Off,
            now: Time(0),
            routes_confirmed: None,
            revision: Version(0),
            queue_empty: Time(0),
            table: RoutingTable::new(local_domain),
            flows: FxHashMap::default(),
            opens_counted: Time(0),
            refusals: Refusals::default(),
            open_decision: None,
            resets: Vec::new(),
            failures: Vec::new(),
            check_requests: Vec::new(),
            response_time: None,
        }
    }

    /// Replaces the deployment's settings.
    pub fn set_config(&mut self, config: ForwarderConfig) {
        self.config = config;
    }

    /// Replaces the settings of refusing for lack of room.
    pub fn set_shortage(&mut self, settings: ShortageSettings) {
        self.refusals.settings = settings;
    }

    /// Takes the details of a flow that the last packet's verdict refuses.
    pub fn take_refusal(&mut self) -> Option<Refusal> {
        self.refusals.take()
    }

    /// Number of flows refused for lack of room, by priority.
    pub fn refused_flows(&self) -> Vec<(u32, u64)> {
        let counts = self.refusals.counts.iter();
        counts
            .map(|(priority, flows)| (*priority, *flows))
            .collect()
    }

    /// Room of the services.
    pub fn rooms(&self, now: Time) -> Vec<ServiceRoom> {
        self.refusals.rooms(now, &self.table)
    }

    /// Records that the receive queue is empty. While it is not, an acknowledgement
    /// that seems to be missing may still be in it.
    pub fn record_empty_queue(&mut self, now: Time) {
        self.queue_empty = self.queue_empty.max(now);
    }

    /// Sets the number of VMs in this failure domain, this one included.
    pub fn set_domain_size(&mut self, vms: u32) {
        self.domain_size = vms;
    }

    /// Sets whether VMs share the load of targets. If so, flows go to the next service of
    /// their route only by shared figures, and are refused at once if no target can be
    /// reached; otherwise they go to targets that may not get them.
    pub fn set_load_share(&mut self, share: Switch) {
        self.load_share = share;
    }

    fn shares_load(&self) -> bool {
        shares_load(self.load_share, self.domain_size as usize)
    }

    /// Sets the revision up to which the target list is known.
    pub fn set_revision(&mut self, revision: Version) {
        self.revision = revision;
    }

    /// Records that the known routes were up to date at `time`.
    pub fn confirm_routes(&mut self, time: Time) {
        self.routes_confirmed = Some(self.routes_confirmed.map_or(time, |t| t.max(time)));
    }

    /// Number of flows with state.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Number of targets that may get new flows.
    pub fn available_targets(&self) -> usize {
        let available = |t: &&Target| self.table.accepts_flows(t, self.now);
        self.table.targets.iter().filter(available).count()
    }

    /// Number of targets that appear not to respond.
    pub fn suspect_targets(&self) -> usize {
        let listed = self.table.targets.iter().filter(|t| t.removed_at.is_none());
        listed.filter(|t| t.health.is_suspect(self.now)).count()
    }

    /// Takes the placement of the last flow that was opened.
    pub fn take_open_decision(&mut self) -> Option<OpenDecision> {
        self.open_decision.take()
    }

    /// Takes the response time of the response whose first byte the last packet
    /// acknowledged.
    pub fn take_response_time(&mut self) -> Option<Ms> {
        self.response_time.take()
    }

    /// Takes a target that was marked as failed.
    pub fn take_failure(&mut self) -> Option<TargetFailure> {
        self.failures.pop()
    }

    /// Takes a target to check. The outcome is to be passed to
    /// [`Forwarder::record_check`], which resets the flows of a failed target.
    pub fn take_check_request(&mut self) -> Option<CheckRequest> {
        self.check_requests.pop()
    }

    /// Records the outcome of a target's check.
    pub fn record_check(&mut self, now: Time, host: HostId, outcome: CheckOutcome) {
        self.now = self.now.max(now);
        let Some(index) = self.table.hosts.get(&host).copied() else {
            return;
        };
        let target = &mut self.table.targets[index];
        target.health.finish_check(now);
        match outcome {
            CheckOutcome::Alive => target.health.record_alive(now),
            CheckOutcome::Refused | CheckOutcome::AddressReused => {
                self.mark_failed(index, outcome, None)
            }
            CheckOutcome::Unreachable => {
                target.health.record_unreachable(now);
                let (health, listed) = (&target.health, target.removed_at.is_none());
                let failing =
                    |f: &FlowState| f.target == index && indicates_failure(f, health, listed);
                if self.flows.values().any(failing) {
                    self.mark_failed(index, outcome, None);
                }
            }
            CheckOutcome::Inconclusive => {}
        }
    }

    /// Whether [`Forwarder::take_failure`] or [`Forwarder::take_reset`] has a
    /// result.
    pub fn has_pending_resets(&self) -> bool {
        !self.failures.is_empty() || !self.resets.is_empty()
    }

    /// Takes a flow to reset without a packet of its caller, as the last segment
    /// that the caller may have sent.
    pub fn take_reset(&mut self) -> Option<Segment> {
        self.resets.pop()
    }

    /// Applies a changed catalogue object.
    pub fn apply(&mut self, now: Time, object: &Object) {
        self.now = self.now.max(now);
        self.table
            .apply(self.now, self.config.propagation_delay, object);
    }

    /// Decides on a caller's packet.
    pub fn handle_packet(&mut self, now: Time, segment: &Segment) -> Verdict {
        self.now = self.now.max(now);
        let Some(route) = self.table.routes.get(&segment.service) else {
            return self.reject_unknown_route(segment);
        };
        if route.removed {
            return Verdict::Reset(Code::NoService);
        }
        match segment.stage {
            Stage::Open => self.open(segment),
            Stage::Within | Stage::Close => self.forward(segment),
        }
    }

    fn reject_unknown_route(&self, segment: &Segment) -> Verdict {
        let fresh = |at: Time| self.now.since(at) < self.config.max_route_age;
        let code = match self.routes_confirmed {
            None => Code::NotReady,
            Some(_) => Code::NoService,
        };
        if segment.stage == Stage::Open && self.routes_confirmed.is_some_and(fresh) {
            Verdict::Reset(code)
        } else {
            Verdict::Drop(code)
        }
    }

    /// Selects a target for an opening packet. Copies of the packet go to
    /// different targets.
    fn open(&mut self, segment: &Segment) -> Verdict {
        let key = segment.key();
        let known = self.flows.get(&key).copied();
        let earlier_copy = known.filter(|f| f.stage == Stage::Open && f.next_seq == segment.seq);
        let tried = earlier_copy.map_or([NO_TARGET; MAX_TRIED], |f| f.tried);
        if earlier_copy.is_none() {
            let verdict = self.refusals.decide(self.now, &self.table, segment, key);
            if let Some(verdict) = verdict {
                return verdict;
            }
        }
        if let Some(flow) = earlier_copy {
            // The previously selected target has not answered yet.
            let target = &mut self.table.targets[flow.target];
            target.health.record_retransmission(self.now);
            record_silence(self.now, flow.last_packet, target);
        }
        let unreachable = self.unreachable_domains();
        let placed = self.select_target(segment, key, &tried, &unreachable);
        let Some(Placed { choice, age, .. }) = placed else {
            let cut = unreachable.contains(&true);
            return Verdict::Reset(if cut { Code::Unreachable } else { Code::NoRoom });
        };
        if earlier_copy.is_none() && age.is_none() {
            let expected = self.expected_time(choice.target);
            let target = &self.table.targets[choice.target];
            let refusals = &mut self.refusals;
            let verdict =
                refusals.decide_late(self.now, &self.table, segment, target.service, expected);
            if let Some(verdict) = verdict {
                return verdict;
            }
        }
        self.forget(key);
        let attempts = tried.iter().filter(|t| **t != NO_TARGET).count();
        let mut flow = FlowState {
            caller: segment.caller,
            service: segment.service,
            target: choice.target,
            last_packet: self.now,
            request_sent: None,
            next_seq: segment.seq,
            acked: 0,
            stage: Stage::Open,
            tried,
            last_data: self.now,
            retransmissions: 0,
        };
        flow.tried[attempts.min(MAX_TRIED - 1)] = choice.target;
        self.remember(key, flow);
        let target = &mut self.table.targets[choice.target];
        target.health.record_open(self.now);
        target.own.record_open(self.now);
        self.open_decision = Some(OpenDecision {
            host: target.host,
            load: choice.load,
            shared_age: age,
            local: choice.local,
            remote: choice.remote,
            suspects: choice.suspects,
            copy: segment.ack,
            revision: self.revision,
            age: self.routes_confirmed.map_or(Ms(0), |at| self.now.since(at)),
        });
        Verdict::Forward {
            host: target.host,
            address: target.address,
            token: target.token,
        }
    }

    /// Decides on a later packet, by its token.
    fn forward(&mut self, segment: &Segment) -> Verdict {
        let Some(index) = self.table.resolve_token(segment) else {
            return Verdict::Drop(Code::NoFlow);
        };
        let domain = &self.table.domains[self.table.targets[index].domain];
        let evacuated = |since: Time| self.now.since(since) >= self.config.evacuation_time;
        if domain.out_since.is_some_and(evacuated) {
            self.forget(segment.key());
            return Verdict::Drop(Code::FlowEnded);
        }
        self.track(segment, index);
        let health = &self.table.targets[index].health;
        if segment.len > 0 && health.is_failed() && !health.check_in_progress(self.now) {
            let key = segment.key();
            // A non-idempotent request that was sent before may still be answered.
            let retransmits = self.flows.get(&key).is_some_and(|f| f.retransmissions > 0);
            if !(retransmits && self.is_non_idempotent(segment.service)) {
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

    /// Updates the state of a later packet's flow and the health of its target.
    fn track(&mut self, segment: &Segment, index: usize) {
        let key = segment.key();
        let now = self.now;
        let known = self.flows.get(&key).is_some_and(|f| f.target == index);
        if !known {
            self.forget(key);
            let target = &mut self.table.targets[index];
            if segment.len > 0 && target.token == segment.token {
                target.own.record_request(now);
            }
            self.remember(key, track_existing(now, segment, index));
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let target = &mut self.table.targets[index];
        flow.last_packet = now;
        self.response_time = process_ack(now, segment, flow, &mut target.health);
        // Flows of an earlier incarnation say nothing about the load of this one.
        let current = target.token == segment.token;
        if let (true, Some(time)) = (current, self.response_time) {
            target.own.record_response(now, time);
        }
        let mut retransmission = false;
        if segment.len > 0 && known {
            let health = &mut target.health;
            let waiting = flow.request_sent.is_some();
            retransmission = process_data(now, self.queue_empty, segment, flow, health);
            if current && !waiting && flow.request_sent.is_some() {
                target.own.record_request(now);
            }
            // Later copies of the same request are not counted again.
            if let (true, 1, Some(sent)) = (
                current && retransmission,
                flow.retransmissions,
                flow.request_sent,
            ) {
                record_silence(now, sent, target);
            }
        }
        if segment.stage == Stage::Close && flow.stage != Stage::Close {
            release_counts(&mut target.health, flow);
            flow.stage = Stage::Close;
            flow.request_sent = None;
        }
        let doubtful = target.removed_at.is_some() || target.health.is_failed();
        if retransmission || (segment.len > 0 && doubtful) {
            self.check_liveness(key, index);
        }
    }

    /// Requests a check of a target that has not answered a flow's request, or
    /// marks it as failed if a recent check could not reach it or another target
    /// has its address.
    fn check_liveness(&mut self, key: FlowKey, index: usize) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let target = &mut self.table.targets[index];
        let (health, listed) = (&mut target.health, target.removed_at.is_none());
        if !is_unanswered(flow, health) {
            return;
        }
        let failing = health.is_unreachable(self.now) && indicates_failure(flow, health, listed);
        if failing && !health.is_failed() {
            self.mark_failed(index, CheckOutcome::Unreachable, Some(key));
        } else if health.try_start_check(self.now) {
            let (host, address) = (target.host, target.address);
            if self.table.is_address_reused(index) {
                self.table.targets[index].health.finish_check(self.now);
                self.mark_failed(index, CheckOutcome::AddressReused, Some(key));
            } else {
                self.check_requests.push(CheckRequest { host, address });
            }
        }
    }

    /// Whether requests to a service's address must not be repeated.
    fn is_non_idempotent(&self, service: Address) -> bool {
        self.table
            .routes
            .get(&service)
            .is_some_and(|r| r.non_idempotent)
    }

    /// Marks a target as failed and resets its flows, so that callers need not wait
    /// for their deadlines. Non-idempotent requests in progress are not reset
    /// while a response may still come. `current` is the flow of the packet that
    /// is being handled; the verdict on that packet covers it.
    fn mark_failed(&mut self, index: usize, outcome: CheckOutcome, current: Option<FlowKey>) {
        let target = &mut self.table.targets[index];
        if target.health.is_failed() {
            return;
        }
        target.health.mark_failed();
        let token = target.token;
        let failure = TargetFailure {
            host: target.host,
            outcome,
            silence: target.health.time_since_response(self.now),
            listed: target.removed_at.is_none(),
            flows: 0,
        };
        let is_reset = |(key, flow): &(&FlowKey, &FlowState)| {
            let open = flow.target == index && flow.stage == Stage::Within;
            let may_respond = outcome == CheckOutcome::Unreachable && flow.request_sent.is_some();
            open && Some(**key) != current && !(may_respond && self.is_non_idempotent(flow.service))
        };
        let mut reset: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(is_reset)
            .map(|(k, _)| *k)
            .collect();
        reset.sort_unstable();
        self.failures.push(TargetFailure {
            flows: reset.len(),
            ..failure
        });
        for key in reset {
            if let Some(flow) = self.flows.get(&key) {
                self.resets.push(reset_segment(flow, token));
            }
            self.forget(key);
        }
    }

    fn remember(&mut self, key: FlowKey, flow: FlowState) {
        if self.flows.len() >= MAX_FLOWS {
            return;
        }
        if let Entry::Vacant(slot) = self.flows.entry(key) {
            slot.insert(flow);
            let health = &mut self.table.targets[flow.target].health;
            health.open_flows += u32::from(flow.stage != Stage::Close);
            health.pending += u32::from(flow.request_sent.is_some());
        }
    }

    fn forget(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(&key) {
            release_counts(&mut self.table.targets[flow.target].health, &flow);
        }
    }

    /// Drops the state of idle flows and forgets targets that were removed long ago.
    pub fn sweep(&mut self, now: Time) {
        self.now = self.now.max(now);
        let now = self.now;
        let targets = &mut self.table.targets;
        self.flows.retain(|_, flow| {
            let active = now.since(flow.last_packet) < FLOW_IDLE_TIMEOUT;
            if !active {
                release_counts(&mut targets[flow.target].health, flow);
            }
            active
        });
        let expired = |t: &Target| {
            t.removed_at
                .is_some_and(|at| now.since(at) >= REMOVED_TARGET_TTL)
        };
        if self.table.targets.iter().any(expired) {
            self.drop_targets(expired);
        }
    }

    /// Drops targets and renumbers the remaining ones.
    fn drop_targets(&mut self, expired: impl Fn(&Target) -> bool) {
        let mut new_index = vec![NO_TARGET; self.table.targets.len()];
        let mut next = 0;
        for (i, target) in self.table.targets.iter().enumerate() {
            if !expired(target) {
                new_index[i] = next;
                next += 1;
            }
        }
        self.table.targets.retain(|t| !expired(t));
        self.table.hosts.retain(|_, i| {
            *i = new_index[*i];
            *i != NO_TARGET
        });
        for service in &mut self.table.services {
            service.targets.retain_mut(|i| {
                *i = new_index[*i];
                *i != NO_TARGET
            });
            service.tokens.retain(|_, i| {
                *i = new_index[*i];
                *i != NO_TARGET
            });
        }
        self.flows.retain(|_, flow| {
            flow.target = new_index[flow.target];
            for tried in flow.tried.iter_mut().filter(|i| **i != NO_TARGET) {
                *tried = new_index[*tried];
            }
            flow.target != NO_TARGET
        });
    }
}

/// Counts a packet that was sent at `sent` and again at `now` as unanswered, unless
/// its target responded to anybody meanwhile.
fn record_silence(now: Time, sent: Time, target: &mut Target) {
    let gap = target.health.time_since_response(now);
    if gap.is_none_or(|gap| gap >= now.since(sent)) {
        target.own.record_unanswered(now);
    }
}
