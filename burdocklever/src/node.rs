//! State machine of one entry VM, without I/O, clock or randomness.
//!
//! A driver feeds events with the time of its monotonic clock and pulls the
//! resulting actions. The same events always give the same actions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use wire::{Body, DomainId, Lifecycle, Member, Object, ObjectKey, ServiceId, Version, View};

use crate::admission::AdmissionControl;
use crate::catalogue::{Catalogue, Delta};
use crate::cell::{Cell, HEARTBEAT};
use crate::claim::Claims;
use crate::claim_transfer::ClaimTransfer;
use crate::event::{Action, Counts, Event};
use crate::flow::Flows;
use crate::msg::{Count, Heartbeat, Load, Msg};
use crate::pin::{Pins, FLOW_IDLE};
use crate::rendezvous;
use crate::request::Jobs;
use crate::time::{Ms, Time};

/// Time between sweeps of expired state and between `Hello` messages to other cells.
const MAINTENANCE_INTERVAL: Ms = Ms(1000);
/// VMs of a cell that watch the platform.
const WATCHERS: usize = 2;
/// Time for which a VM that was unreachable is not chosen.
const SUSPECT_TIME: Ms = Ms(1000);

/// State of one entry VM.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: Member,
    pub(crate) domain: DomainId,
    pub(crate) now: Time,
    pub(crate) catalogue: Catalogue,
    pub(crate) cell: Cell,
    pub(crate) transfer: ClaimTransfer,
    pub(crate) claims: Claims,
    pub(crate) pins: Pins,
    pub(crate) flows: Flows,
    pub(crate) jobs: Jobs,
    pub(crate) admission: AdmissionControl,
    pub(crate) suspects: BTreeMap<Member, Time>,
    pub(crate) counts: Counts,
    pub(crate) leaving: bool,
    actions: VecDeque<Action>,
    heartbeat_due: Time,
    maintenance_due: Time,
    watching: bool,
    hello_round: u64,
    stopped: bool,
}

impl Node {
    /// Creates the state of a VM that has just started and has no catalogue.
    pub fn new(now: Time, me: Member, domain: DomainId) -> Node {
        Node {
            me,
            domain,
            now,
            catalogue: Catalogue::default(),
            cell: Cell::new(me, now),
            transfer: ClaimTransfer::new(now),
            claims: Claims::default(),
            pins: Pins::default(),
            flows: Flows::default(),
            jobs: Jobs::default(),
            admission: AdmissionControl::default(),
            suspects: BTreeMap::new(),
            counts: Counts::default(),
            leaving: false,
            actions: VecDeque::new(),
            heartbeat_due: now,
            maintenance_due: now,
            watching: false,
            hello_round: me.vm.0.into(),
            stopped: false,
        }
    }

    /// Processes an event. If `now` is earlier than that of an earlier event, the later
    /// time counts.
    pub fn feed(&mut self, now: Time, event: Event) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::CatalogueDelta(delta) => self.apply_platform_delta(delta),
            Event::Msg(from, msg) => self.handle_message(from, msg),
            Event::Packet(id, packet) => self.handle_packet(id, packet),
            Event::PeerPacket(id, packet, hint) => self.handle_peer_packet(id, packet, hint),
            Event::PeerDelivered(id, key, host) => self.handle_peer_delivered(id, key, host),
            Event::PeerDropped(id, code) => self.handle_peer_dropped(id, code),
            Event::PeerUnreachable(id, to) => self.handle_peer_unreachable(id, to),
            Event::Request(id, request) => self.handle_request(id, request),
            Event::PeerRequest(id, task, request) => self.handle_peer_request(id, task, request),
            Event::PeerReplied(id, outcome) => self.handle_peer_reply(id, outcome),
            Event::DispatchEnded(id, outcome) => self.handle_dispatch_ended(id, outcome),
            Event::Stop => self.leaving = true,
        }
    }

    /// Removes and returns the oldest action that has not been pulled.
    pub fn pull(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Identity and incarnation of this VM.
    pub fn member(&self) -> Member {
        self.me
    }

    /// The VM's copy of the platform's objects.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// View of its cell that this VM follows.
    pub fn view(&self) -> &View {
        self.cell.view()
    }

    /// Number of flow pins held.
    pub fn pins(&self) -> usize {
        self.pins.len()
    }

    /// Failure domain that this VM runs in.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// Number of claims held.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Number of requests that this VM is handling.
    pub fn in_progress(&self) -> usize {
        self.jobs.len()
    }

    /// Whether this VM holds a lease under its view.
    pub fn holds_lease(&self) -> bool {
        self.cell.holds_lease(self.now)
    }

    /// Whether the VM may take traffic: it has a catalogue and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.has_catalogue() && !self.leaving
    }

    /// Loads of the targets that this VM controls admission to.
    pub fn loads(&self) -> Vec<Load> {
        self.admission.loads(|host| self.remote_busy(host))
    }

    pub(crate) fn has_catalogue(&self) -> bool {
        self.catalogue.revision() > Version(0)
    }

    pub(crate) fn emit(&mut self, action: Action) {
        self.actions.push_back(action);
    }

    pub(crate) fn send(&mut self, to: Member, msg: Msg) {
        self.emit(Action::Send(to, msg));
    }

    fn tick(&mut self) {
        if !self.has_catalogue() {
            return;
        }
        self.record_gone_members();
        self.advance_claim_transfer();
        if self.now >= self.heartbeat_due {
            self.heartbeat_due = self.now + HEARTBEAT;
            self.send_backups();
            self.send_heartbeats();
            self.propose_view();
            self.update_watch();
        }
        self.tick_flows();
        self.tick_jobs();
        if self.now >= self.maintenance_due {
            self.maintenance_due = self.now + MAINTENANCE_INTERVAL;
            self.run_maintenance();
        }
        self.check_stopped();
    }

    /// Other VMs of this failure domain.
    pub(crate) fn domain_peers(&self) -> Vec<Member> {
        let vms = self.catalogue.vms_in(&self.domain);
        vms.filter(|v| v.state != Lifecycle::Gone)
            .map(|v| v.member)
            .filter(|m| m.vm != self.me.vm)
            .collect()
    }

    fn send_heartbeats(&mut self) {
        let loads: Arc<[Load]> = self.loads().into();
        let busy: Arc<[Count]> = self.admission.remote_requests().into();
        let mut counts = self.flow_counts();
        for to in self.domain_peers() {
            let heartbeat = Heartbeat {
                at: self.now,
                echo: self.cell.grant(self.now, to.vm),
                view: self.cell.view().number,
                grants_expire: self.cell.old_grants_left(self.now),
                through: self.catalogue.revision(),
                leaving: self.leaving,
                loads: loads.clone(),
                busy: busy.clone(),
                pins: counts.remove(&to).unwrap_or_default(),
            };
            self.send(to, Msg::Heartbeat(Box::new(heartbeat)));
        }
    }

    fn propose_view(&mut self) {
        let transferred = self.transfer.is_complete();
        if let Some(view) = self.cell.propose(self.now, self.leaving, transferred) {
            let key = ObjectKey::new("view", &self.domain);
            let version = self.catalogue.version(&key);
            self.emit(Action::PutView(key, version, view));
        }
    }

    fn update_watch(&mut self) {
        let key = rendezvous::hash(self.domain.as_str().as_bytes());
        let alive = self.cell.alive(self.now).map(|p| p.member.vm);
        let watch = rendezvous::is_in_top(key, alive, self.me.vm, WATCHERS);
        if watch != self.watching {
            self.watching = watch;
            self.emit(Action::Watch(watch));
        }
    }

    fn record_gone_members(&mut self) {
        let view = self.cell.view();
        let all = view.members.iter().chain(view.previous.iter().flatten());
        let gone: Vec<Member> = all
            .copied()
            .filter(|m| self.catalogue.is_gone(*m))
            .collect();
        for member in gone {
            self.cell.record_gone(self.now, member);
        }
    }

    fn run_maintenance(&mut self) {
        let catalogue = &self.catalogue;
        let serves = |id| catalogue.host(id).is_some_and(|h| catalogue.serves(h));
        self.pins.sweep(self.now, serves);
        self.claims.expire(self.now);
        self.flows.expire(self.now);
        let now = self.now;
        self.suspects.retain(|_, until| now < *until);
        for target in self.admission.targets.values_mut() {
            let limits = target.limits;
            target.capacity.tick(now, &limits);
            target.expire(now, FLOW_IDLE);
        }
        self.send_hellos();
    }

    /// Sends a `Hello` to one VM of every other failure domain, to the next one each time.
    fn send_hellos(&mut self) {
        let mut domains: BTreeMap<&DomainId, Vec<Member>> = BTreeMap::new();
        for vm in self.catalogue.vms() {
            if vm.domain != self.domain && vm.state != Lifecycle::Gone {
                domains.entry(&vm.domain).or_default().push(vm.member);
            }
        }
        self.hello_round += 1;
        let pick = |vms: &Vec<Member>| vms[(self.hello_round % vms.len() as u64) as usize];
        let chosen: Vec<Member> = domains.values().map(pick).collect();
        let through = self.catalogue.revision();
        let loads: Arc<[Load]> = self.loads().into();
        for to in chosen {
            let loads = loads.clone();
            self.send(to, Msg::Hello { through, loads });
        }
    }

    fn handle_message(&mut self, from: Member, msg: Msg) {
        match msg {
            Msg::Heartbeat(heartbeat) => self.handle_heartbeat(from, *heartbeat),
            Msg::Hello { through, loads } => self.handle_hello(from, through, &loads),
            Msg::Pull { from: above } => {
                if self.catalogue.revision() > above {
                    let delta = self.catalogue.delta(above);
                    self.send(from, Msg::Delta(delta));
                }
            }
            Msg::Delta(delta) => {
                self.apply_delta(delta);
            }
            Msg::RequestClaims { view } => self.handle_request_claims(from, view),
            Msg::Handover {
                view,
                incomplete_for,
                claims,
            } => self.handle_handover(from, view, incomplete_for, *claims),
            Msg::RecordClaim { view, key } => self.handle_record_claim(from, view, key),
            Msg::ClaimRecorded { view, key } => self.handle_claim_recorded(view, key),
            Msg::FindFlow { key } => self.handle_find_flow(from, key),
            Msg::FlowReply {
                key,
                host,
                authoritative,
            } => self.handle_flow_reply(from, key, host, authoritative),
            Msg::Admit { key, service, host } => self.handle_admit(from, key, &service, host),
            Msg::Admitted { key, host } => self.handle_admitted(from, key, host),
            Msg::Pins(batch) => self.store_backups(from, batch),
        }
    }

    fn handle_heartbeat(&mut self, from: Member, heartbeat: Heartbeat) {
        let through = heartbeat.through;
        let counts = heartbeat.pins.clone();
        let echo = heartbeat.echo;
        if !self.cell.handle_heartbeat(self.now, from, heartbeat) {
            return;
        }
        if through > self.catalogue.revision() {
            let above = self.catalogue.revision();
            self.send(from, Msg::Pull { from: above });
        }
        self.record_busy_report(from);
        self.record_flow_counts(from, &counts, echo);
    }

    fn handle_hello(&mut self, from: Member, through: Version, loads: &[Load]) {
        self.record_remote_loads(from, loads);
        let own = self.catalogue.revision();
        if through > own {
            self.send(from, Msg::Pull { from: own });
        } else if through < own {
            let loads = self.loads().into();
            self.send(
                from,
                Msg::Hello {
                    through: own,
                    loads,
                },
            );
        }
    }

    /// Merges objects received from the platform and pushes the new ones to the other
    /// VMs of the failure domain.
    fn apply_platform_delta(&mut self, delta: Delta) {
        let from = self.catalogue.revision();
        let fresh = self.apply_delta(delta);
        if fresh.is_empty() || from == Version(0) {
            return;
        }
        // Also what a peer's delta brought before: a VM that missed that one would count
        // this one as complete.
        let delta = self.catalogue.delta(from);
        for to in self.domain_peers() {
            self.send(to, Msg::Delta(delta.clone()));
        }
    }

    fn apply_delta(&mut self, delta: Delta) -> Vec<Object> {
        let first = !self.has_catalogue();
        let fresh = self.catalogue.apply(delta);
        if !first {
            self.reset_changed_domains(&fresh);
        }
        self.mark_reassigned_services(&fresh);
        let previous_members = self.cell.view().members.clone();
        let view = self.catalogue.view(&self.domain).cloned();
        let newer = view.is_some_and(|view| self.cell.set_view(self.now, &view));
        if newer {
            self.begin_claim_transfer(previous_members);
            self.take_over_flows();
        }
        if newer || !fresh.is_empty() {
            self.take_over_targets();
        }
        fresh
    }

    /// Marks the services whose flows may now belong to other cells, since their
    /// targets changed.
    fn mark_reassigned_services(&mut self, fresh: &[Object]) {
        for object in fresh {
            match &object.body {
                Body::Host(host) => self.flows.mark_reassigned(self.now, host.service.clone()),
                Body::Domain { .. } => {
                    let in_domain = |h: &&wire::Host| h.domain.as_str() == &*object.key.name;
                    let hosts = self.catalogue.all_hosts().filter(in_domain);
                    let services: BTreeSet<ServiceId> = hosts.map(|h| h.service.clone()).collect();
                    for service in services {
                        self.flows.mark_reassigned(self.now, service);
                    }
                }
                _ => {}
            }
        }
    }

    /// Drops the flows and admission state of changed failure domains. A domain that
    /// is in service again was out in between, even if this VM never saw that version.
    fn reset_changed_domains(&mut self, fresh: &[Object]) {
        for object in fresh.iter().filter(|o| &*o.key.kind == "domain") {
            let in_domain = |id| {
                let host = self.catalogue.host(id);
                host.is_some_and(|h| h.domain.as_str() == &*object.key.name)
            };
            self.pins.sweep(self.now, |id| !in_domain(id));
            self.admission.targets.retain(|id, _| !in_domain(*id));
        }
    }

    /// Admission controller of a target, according to the view of its cell.
    pub(crate) fn controller_of(&self, host: &wire::Host) -> Option<Member> {
        let view = self.catalogue.view(&host.domain)?;
        rendezvous::pick(host.id.0, &view.members)
    }

    pub(crate) fn mark_suspect(&mut self, member: Member) {
        self.suspects.insert(member, self.now + SUSPECT_TIME);
    }

    /// Whether a VM was unreachable a short while ago or has ended.
    pub(crate) fn is_suspect(&self, member: Member) -> bool {
        self.suspects.get(&member).is_some_and(|t| self.now < *t) || self.catalogue.is_gone(member)
    }

    /// Stops a leaving VM once its requests have ended and its pins are handed over. Before
    /// that, it waits until it has left the view, unless no other VM of its cell stays.
    fn check_stopped(&mut self) {
        if !self.leaving || self.stopped {
            return;
        }
        let others_stay = self.cell.alive(self.now).any(|p| !p.last_heartbeat.leaving);
        let may_leave = !self.cell.is_member() || !others_stay;
        let idle = self.jobs.is_empty() && self.admission.total_running() == 0;
        if may_leave && idle && self.hand_over_pins() {
            self.stopped = true;
            self.emit(Action::Stopped);
        }
    }
}
