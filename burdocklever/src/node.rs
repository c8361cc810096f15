//! One entry VM's decisions, without I/O, clock or randomness.
//!
//! A driver feeds events with the time of its monotonic clock and pulls the
//! actions that follow. The same events give the same actions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use wire::{
    Body, DomainId, HostId, Lifecycle, Member, Object, ObjectKey, ServiceId, Version, View,
};

use crate::admission::AdmissionControl;
use crate::catalogue::{Catalogue, Delta};
use crate::cell::{Cell, HEARTBEAT};
use crate::claim::Claims;
use crate::claim_transfer::Settle;
use crate::event::{Action, Counts, Event};
use crate::flow::Flows;
use crate::msg::{Count, Heartbeat, Load, Msg};
use crate::pin::{Pins, FLOW_IDLE};
use crate::rendezvous;
use crate::request::Jobs;
use crate::time::{Ms, Time};

/// Time between checks of the pin table and greetings to other cells.
const HOUSEKEEPING: Ms = Ms(1000);
/// Members of a cell that watch the platform.
const WATCHERS: usize = 2;
/// Time for which a VM that failed to answer is passed over.
const SUSPECT: Ms = Ms(1000);

/// Decision state of one entry VM.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: Member,
    pub(crate) domain: DomainId,
    pub(crate) now: Time,
    pub(crate) catalogue: Catalogue,
    pub(crate) cell: Cell,
    pub(crate) settle: Settle,
    pub(crate) claims: Claims,
    pub(crate) pins: Pins,
    pub(crate) flows: Flows,
    pub(crate) jobs: Jobs,
    pub(crate) admission: AdmissionControl,
    pub(crate) suspects: BTreeMap<Member, Time>,
    pub(crate) counts: Counts,
    pub(crate) leaving: bool,
    out: VecDeque<Action>,
    beat_due: Time,
    keep_due: Time,
    watching: bool,
    greeted: u64,
    stopped: bool,
}

impl Node {
    /// A VM that knows nothing yet.
    pub fn new(now: Time, me: Member, domain: DomainId) -> Node {
        Node {
            me,
            domain,
            now,
            catalogue: Catalogue::default(),
            cell: Cell::new(me, now),
            settle: Settle::new(now),
            claims: Claims::default(),
            pins: Pins::default(),
            flows: Flows::default(),
            jobs: Jobs::default(),
            admission: AdmissionControl::default(),
            suspects: BTreeMap::new(),
            counts: Counts::default(),
            leaving: false,
            out: VecDeque::new(),
            beat_due: now,
            keep_due: now,
            watching: false,
            greeted: me.vm.0.into(),
            stopped: false,
        }
    }

    /// Takes in an event. `now` never goes back.
    pub fn feed(&mut self, now: Time, event: Event) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::CatalogueDelta(delta) => self.synced(delta),
            Event::Msg(from, msg) => self.receive(from, msg),
            Event::Packet(id, packet) => self.packet(id, packet),
            Event::PeerPacket(id, packet, hint) => self.passed(id, packet, hint),
            Event::PeerDelivered(id, key, host) => self.pass_done(id, key, host),
            Event::PeerDropped(id, code) => self.pass_dropped(id, code),
            Event::PeerUnreachable(id, to) => self.pass_failed(id, to),
            Event::Request(id, request) => self.request(id, request),
            Event::PeerRequest(id, hop, request) => self.work(id, hop, request),
            Event::PeerReplied(id, end) => self.forwarded(id, end),
            Event::DispatchEnded(id, end) => self.ended(id, end),
            Event::Stop => self.leaving = true,
        }
    }

    /// The next action, in order.
    pub fn pull(&mut self) -> Option<Action> {
        self.out.pop_front()
    }

    /// This life of the VM.
    pub fn member(&self) -> Member {
        self.me
    }

    /// What the VM knows of the platform's objects.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The cell's view that this VM follows.
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

    /// Number of requests in this VM's care.
    pub fn in_progress(&self) -> usize {
        self.jobs.len()
    }

    /// Whether this VM holds a lease under its cell's view.
    pub fn holds_lease(&self) -> bool {
        self.cell.holds_lease(self.now)
    }

    /// Whether the VM may take traffic: it has a catalogue and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.has_catalogue() && !self.leaving
    }

    /// Loads of the targets whose admission controller is this VM.
    pub fn loads(&self) -> Vec<Load> {
        self.admission.loads(|host| self.elsewhere(host))
    }

    pub(crate) fn has_catalogue(&self) -> bool {
        self.catalogue.through() > Version(0)
    }

    pub(crate) fn act(&mut self, action: Action) {
        self.out.push_back(action);
    }

    pub(crate) fn send(&mut self, to: Member, msg: Msg) {
        self.act(Action::Send(to, msg));
    }

    fn tick(&mut self) {
        if !self.has_catalogue() {
            return;
        }
        self.note_ended_members();
        self.settle_view();
        if self.now >= self.beat_due {
            self.beat_due = self.now + HEARTBEAT;
            self.send_backups();
            self.beat();
            self.propose();
            self.update_watch();
        }
        self.tick_flows();
        self.tick_jobs();
        if self.now >= self.keep_due {
            self.keep_due = self.now + HOUSEKEEPING;
            self.keep_house();
        }
        self.check_stopped();
    }

    /// VMs of this failure domain, without this one.
    pub(crate) fn neighbours(&self) -> Vec<Member> {
        let near = self.catalogue.vms_in(&self.domain);
        near.filter(|v| v.state != Lifecycle::Gone)
            .map(|v| v.member)
            .filter(|m| m.vm != self.me.vm)
            .collect()
    }

    fn beat(&mut self) {
        let loads: Arc<[Load]> = self.loads().into();
        let busy: Arc<[Count]> = self.admission.foreign().into();
        let mut counts = self.pin_counts();
        for to in self.neighbours() {
            let beat = Heartbeat {
                at: self.now,
                echo: self.cell.grant(self.now, to.vm),
                view: self.cell.view().number,
                lapse: self.cell.lapse(self.now),
                through: self.catalogue.through(),
                leaving: self.leaving,
                loads: loads.clone(),
                busy: busy.clone(),
                pins: counts.remove(&to).unwrap_or_default(),
            };
            self.send(to, Msg::Heartbeat(Box::new(beat)));
        }
    }

    fn propose(&mut self) {
        let settled = self.settle.is_settled();
        if let Some(view) = self.cell.propose(self.now, self.leaving, settled) {
            let key = ObjectKey::new("view", &self.domain);
            let version = self.catalogue.version(&key);
            self.act(Action::PutView(key, version, view));
        }
    }

    fn update_watch(&mut self) {
        let key = rendezvous::hash(self.domain.as_str().as_bytes());
        let alive = self.cell.alive(self.now).map(|p| p.member.vm);
        let watch = rendezvous::is_in_top(key, alive, self.me.vm, WATCHERS);
        if watch != self.watching {
            self.watching = watch;
            self.act(Action::Watch(watch));
        }
    }

    fn note_ended_members(&mut self) {
        let view = self.cell.view();
        let all = view.members.iter().chain(view.previous.iter().flatten());
        let ended: Vec<Member> = all
            .copied()
            .filter(|m| self.catalogue.is_gone(*m))
            .collect();
        for member in ended {
            self.cell.note_gone(self.now, member);
        }
    }

    fn keep_house(&mut self) {
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
        self.greet();
    }

    /// Tells one VM of each other failure domain, in turn, how much of the
    /// catalogue is known.
    fn greet(&mut self) {
        let mut domains: BTreeMap<&DomainId, Vec<Member>> = BTreeMap::new();
        for vm in self.catalogue.vms() {
            if vm.domain != self.domain && vm.state != Lifecycle::Gone {
                domains.entry(&vm.domain).or_default().push(vm.member);
            }
        }
        self.greeted += 1;
        let pick = |vms: &Vec<Member>| vms[(self.greeted % vms.len() as u64) as usize];
        let chosen: Vec<Member> = domains.values().map(pick).collect();
        let through = self.catalogue.through();
        let loads: Arc<[Load]> = self.loads().into();
        for to in chosen {
            let loads = loads.clone();
            self.send(to, Msg::Hello { through, loads });
        }
    }

    fn receive(&mut self, from: Member, msg: Msg) {
        match msg {
            Msg::Heartbeat(beat) => self.heard(from, *beat),
            Msg::Hello { through, loads } => self.greeted_by(from, through, &loads),
            Msg::Pull { from: above } => {
                if self.catalogue.through() > above {
                    let delta = self.catalogue.delta(above);
                    self.send(from, Msg::Delta(delta));
                }
            }
            Msg::Delta(delta) => {
                self.merge(delta);
            }
            Msg::RequestClaims { view } => self.asked(from, view),
            Msg::Handover {
                view,
                incomplete_for,
                claims,
            } => self.handed(from, view, incomplete_for, *claims),
            Msg::RecordClaim { view, key } => self.note(from, view, key),
            Msg::ClaimRecorded { view, key } => self.noted(view, key),
            Msg::FindFlow { key } => self.find(from, key),
            Msg::FlowReply {
                key,
                host,
                authoritative,
            } => self.found(from, key, host, authoritative),
            Msg::Admit { key, service, host } => self.admit(from, key, &service, host),
            Msg::Admitted { key, host } => self.admitted(from, key, host),
            Msg::Pins(batch) => self.back_up(from, batch),
        }
    }

    fn heard(&mut self, from: Member, beat: Heartbeat) {
        let through = beat.through;
        let counts = beat.pins.clone();
        let echo = beat.echo;
        if !self.cell.hear(self.now, from, beat) {
            return;
        }
        if through > self.catalogue.through() {
            let above = self.catalogue.through();
            self.send(from, Msg::Pull { from: above });
        }
        self.told_busy(from);
        self.told_pins(from, &counts, echo);
    }

    fn greeted_by(&mut self, from: Member, through: Version, loads: &[Load]) {
        self.told_far_loads(from, loads);
        let mine = self.catalogue.through();
        if through > mine {
            self.send(from, Msg::Pull { from: mine });
        } else if through < mine {
            let loads = self.loads().into();
            self.send(
                from,
                Msg::Hello {
                    through: mine,
                    loads,
                },
            );
        }
    }

    /// Takes in what the platform told and pushes it to the neighbours.
    fn synced(&mut self, delta: Delta) {
        let from = self.catalogue.through();
        let objects = self.merge(delta);
        if objects.is_empty() || from == Version(0) {
            return;
        }
        let through = self.catalogue.through();
        for to in self.neighbours() {
            let delta = Delta {
                from,
                through,
                objects: objects.clone(),
            };
            self.send(to, Msg::Delta(delta));
        }
    }

    fn merge(&mut self, delta: Delta) -> Vec<Object> {
        let first = !self.has_catalogue();
        let fresh = self.catalogue.apply(delta);
        if !first {
            self.end_flows_of_changed_domains(&fresh);
        }
        self.note_moved_services(&fresh);
        let before = self.cell.view().members.clone();
        let view = self.catalogue.view(&self.domain).cloned();
        let newer = view.is_some_and(|view| self.cell.set_view(self.now, &view));
        if newer {
            self.view_changed(before);
            self.take_flows();
        }
        if newer || !fresh.is_empty() {
            self.take_targets();
        }
        fresh
    }

    /// Notes the services whose flows some change of targets may have moved to
    /// other cells.
    fn note_moved_services(&mut self, fresh: &[Object]) {
        for object in fresh {
            match &object.body {
                Body::Host(host) => self.flows.moved(self.now, host.service.clone()),
                Body::Domain { .. } => {
                    let there = |h: &&wire::Host| h.domain.as_str() == &*object.key.name;
                    let hosts = self.catalogue.all_hosts().filter(there);
                    let services: BTreeSet<ServiceId> = hosts.map(|h| h.service.clone()).collect();
                    for service in services {
                        self.flows.moved(self.now, service);
                    }
                }
                _ => {}
            }
        }
    }

    /// Ends the flows of failure domains that went out. One that is in again
    /// went out in between, even if that version was never seen.
    fn end_flows_of_changed_domains(&mut self, fresh: &[Object]) {
        for object in fresh.iter().filter(|o| &*o.key.kind == "domain") {
            let there = |id| {
                let host = self.catalogue.host(id);
                host.is_some_and(|h| h.domain.as_str() == &*object.key.name)
            };
            self.pins.sweep(self.now, |id| !there(id));
            let kept = |id: &HostId| !there(*id);
            self.admission.targets.retain(|id, _| kept(id));
        }
    }

    /// Member that is the admission controller of a target, by its cell's view.
    pub(crate) fn controller_of(&self, host: &wire::Host) -> Option<Member> {
        let view = self.catalogue.view(&host.domain)?;
        rendezvous::pick(host.id.0, &view.members)
    }

    pub(crate) fn suspect(&mut self, member: Member) {
        self.suspects.insert(member, self.now + SUSPECT);
    }

    pub(crate) fn is_suspect(&self, member: Member) -> bool {
        self.suspects.get(&member).is_some_and(|t| self.now < *t) || self.catalogue.is_gone(member)
    }

    fn check_stopped(&mut self) {
        if !self.leaving || self.stopped {
            return;
        }
        let others = self.cell.alive(self.now).any(|p| !p.last.leaving);
        let left = !self.cell.is_member() || !others;
        let idle = self.jobs.is_empty() && self.admission.total_running() == 0;
        if left && idle && self.hand_pins() {
            self.stopped = true;
            self.act(Action::Stopped);
        }
    }
}
