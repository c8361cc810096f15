//! Flows: who decides on a packet, and where it goes.
//!
//! The owner of a flow chooses its target with the first packet. An entry VM
//! learns the target when it passes a packet on, and sends later ones straight
//! there. An owner that does not know a flow asks its cell before it decides.

use std::collections::{BTreeMap, BTreeSet};

use wire::{Address, HostId, Member, ServiceId};

use crate::cell::{HEARTBEAT, LEASE};
use crate::code::Code;
use crate::msg::{Count, FlowKey, FlowPin, Load, Msg, PinBatch};
use crate::node::{Action, Mark, Node, Packet, PacketId};
use crate::pin::{IDLE, REFRESH};
use crate::rank;
use crate::steward::Target;
use crate::time::{Ms, Time};

/// Time to wait for answers to `Find` and `Admit`.
const ASK_WAIT: Ms = Ms(100);
/// Members of another cell that are asked whether they know a flow: one may
/// have joined since.
const FAR_OWNERS: usize = 2;
/// Longest wait for a higher-ranked VM's decision on the same flow.
const DECIDE_WAIT: Ms = Ms(800);
/// Age up to which another cell's loads are believed.
const FAR_FRESH: Ms = Ms(5000);
/// A target of another cell is taken if it has fewer flows by one in this many,
/// and by a few more.
const FAR_MARGIN: u32 = 100;
const FAR_MARGIN_MIN: u32 = 4;
/// Stewards that are asked to admit one flow.
const ADMIT_TRIES: usize = 4;
/// Flows that may wait for a decision at once.
const PENDING_MAX: usize = 4096;
/// Packets of one flow that may wait.
const PENDING_PACKETS: usize = 8;
/// Pins sent for safe keeping with each heartbeat.
const BACKUP_BATCH: usize = 256;
/// Time that handed pins may take to arrive.
const HAND_WAIT: Ms = Ms(300);
/// Pins handed over in one message.
const HAND_BATCH: usize = 4096;

/// What the owner of an undecided flow waits for.
#[derive(Debug, Clone)]
enum Wait {
    /// Whether one of these knows the flow.
    Found(BTreeSet<Member>),
    /// Whether the steward admits it.
    Admitted(Member),
}

#[derive(Debug, Clone)]
struct Pending {
    service: ServiceId,
    packets: Vec<PacketId>,
    first: bool,
    wait: Wait,
    since: Time,
    until: Time,
    tried: Vec<Member>,
    /// VMs that want to know the decision.
    askers: Vec<Member>,
    /// Higher-ranked VMs that are deciding on the flow too.
    deciders: BTreeSet<Member>,
}

/// Load of a target of another cell.
#[derive(Debug, Clone, Copy)]
struct FarLoad {
    steward: Member,
    load: Load,
    at: Time,
}

/// Packets that await a decision here or at another VM.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    pending: BTreeMap<FlowKey, Pending>,
    passed: BTreeMap<PacketId, (Packet, Option<HostId>)>,
    /// Flows admitted since the steward last told its loads.
    recent: BTreeMap<HostId, u32>,
    /// Loads that stewards of other cells told last.
    far: BTreeMap<HostId, FarLoad>,
    /// Until when the owner of a new flow may have changed since an earlier
    /// packet of it.
    unsure: Time,
    /// Pins to send to the next-ranked member.
    backlog: Vec<FlowKey>,
    ended: Vec<FlowKey>,
    refill: bool,
    handed: Option<Time>,
}

impl Flows {
    /// Notes that targets or failure domains changed, which moves some flows.
    pub(crate) fn moved(&mut self, now: Time) {
        self.unsure = now + IDLE;
    }

    /// Notes a new view: other members now own and keep some flows.
    pub(crate) fn view_changed(&mut self, now: Time) {
        self.unsure = now + IDLE;
        self.refill = true;
    }
}

impl Node {
    pub(crate) fn packet(&mut self, id: PacketId, packet: Packet) {
        if !self.has_catalogue() {
            return self.drop_packet(id, Code::NotReady);
        }
        let pin = self.pins.get(self.now, packet.key).filter(|p| !p.ended);
        let Some(pin) = pin else {
            return self.route(id, packet, None);
        };
        let Some(address) = self.serving(packet.service, pin.host) else {
            self.pins.remove(packet.key);
            return self.drop_packet(id, Code::FlowEnded);
        };
        if pin.own {
            self.deliver_own(id, packet, pin.host, address);
        } else if pin.age < REFRESH && packet.mark == Mark::Later {
            self.counts.delivered += 1;
            self.act(Action::Deliver(id, pin.host, address));
        } else {
            self.route(id, packet, Some(pin.host));
        }
    }

    /// Address of a target that may get packets of an open flow.
    fn serving(&self, service: Address, host: HostId) -> Option<Address> {
        let host = self.catalogue.host(host)?;
        let belongs = self.catalogue.service_at(service) == Some(&host.service);
        (belongs && self.catalogue.serves(host)).then_some(host.address)
    }

    fn deliver_own(&mut self, id: PacketId, packet: Packet, host: HostId, address: Address) {
        if packet.mark == Mark::Last {
            self.end_flow(packet.key, host);
        } else {
            self.pins.touch(self.now, packet.key);
        }
        self.counts.delivered += 1;
        self.act(Action::Deliver(id, host, address));
    }

    /// Ends a flow, and tells the VMs that may take themselves for its owner.
    fn end_flow(&mut self, key: FlowKey, host: HostId) {
        self.pins.end(self.now, key);
        self.flows.ended.push(key);
        let Some(host) = self.catalogue.host(host) else {
            return;
        };
        let mut told = BTreeSet::new();
        if host.domain != self.domain {
            told.extend(self.steward_of(host));
        }
        if self.now < self.flows.unsure {
            told.extend(self.may_know(&host.service, key));
        }
        for to in told {
            let batch = PinBatch {
                pins: Vec::new(),
                ended: vec![key],
            };
            self.send(to, Msg::Pins(batch));
        }
    }

    pub(crate) fn drop_packet(&mut self, id: PacketId, code: Code) {
        self.counts.dropped += 1;
        if code == Code::NoFlow {
            self.counts.broken += 1;
        }
        self.act(Action::Drop(id, code));
    }

    /// Passes a packet to the flow's owner, or decides as the owner.
    fn route(&mut self, id: PacketId, packet: Packet, hint: Option<HostId>) {
        let Some(service) = self.catalogue.service_at(packet.service).cloned() else {
            return self.drop_packet(id, Code::NoService);
        };
        match self.flow_owner(&service, packet.key) {
            Some(owner) if owner != self.me => {
                self.flows.passed.insert(id, (packet, hint));
                self.act(Action::Pass(id, packet, owner, hint));
            }
            _ => self.own_packet(id, packet, service, hint),
        }
    }

    /// The first VM in the order of cells and members that is believed to live.
    fn flow_owner(&self, service: &ServiceId, key: FlowKey) -> Option<Member> {
        for domain in self.catalogue.cells_for(service, key.0) {
            let Some(view) = self.catalogue.view(&domain) else {
                continue;
            };
            let members = if domain == self.domain {
                self.cell.live_members(self.now)
            } else {
                view.members.clone()
            };
            let order = rank::order(key.0, &members);
            let live = order.into_iter().find(|m| !self.is_suspect(*m));
            if live.is_some() {
                return live;
            }
        }
        None
    }

    pub(crate) fn passed(&mut self, id: PacketId, packet: Packet, hint: Option<HostId>) {
        if !self.has_catalogue() {
            return self.drop_packet(id, Code::NotReady);
        }
        let Some(service) = self.catalogue.service_at(packet.service).cloned() else {
            return self.drop_packet(id, Code::NoService);
        };
        self.own_packet(id, packet, service, hint);
    }

    fn own_packet(
        &mut self,
        id: PacketId,
        packet: Packet,
        service: ServiceId,
        hint: Option<HostId>,
    ) {
        let key = packet.key;
        if let Some(host) = self.known_target(&packet, hint) {
            let Some(address) = self.serving(packet.service, host) else {
                self.pins.remove(key);
                return self.drop_packet(id, Code::FlowEnded);
            };
            if !self.pins.get(self.now, key).is_some_and(|p| p.own) && packet.mark != Mark::Last {
                self.adopt(key, host);
            }
            return self.deliver_own(id, packet, host, address);
        }
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.first |= packet.mark == Mark::First;
            if pending.packets.len() < PENDING_PACKETS {
                pending.packets.push(id);
                return;
            }
            return self.drop_packet(id, Code::Backlog);
        }
        if self.flows.pending.len() >= PENDING_MAX {
            return self.drop_packet(id, Code::Backlog);
        }
        let pending = Pending {
            service,
            packets: vec![id],
            first: packet.mark == Mark::First,
            wait: Wait::Found(BTreeSet::new()),
            since: self.now,
            until: self.now + ASK_WAIT,
            tried: Vec::new(),
            askers: Vec::new(),
            deciders: BTreeSet::new(),
        };
        self.flows.pending.insert(key, pending);
        self.ask_for_flow(key);
    }

    /// Target of a flow by this VM's own pin, or else by what another VM told.
    /// A first packet opens a flow anew after its end, and does not follow
    /// hearsay to a target that takes no new flows.
    fn known_target(&self, packet: &Packet, hint: Option<HostId>) -> Option<HostId> {
        let first = packet.mark == Mark::First;
        if let Some(pin) = self.pins.get(self.now, packet.key) {
            if pin.own || !first {
                return Some(pin.host);
            }
            if pin.ended {
                return None;
            }
        }
        let told = self
            .pins
            .get(self.now, packet.key)
            .map(|p| p.host)
            .or(hint)?;
        let takes_new = self
            .catalogue
            .host(told)
            .is_some_and(|h| self.catalogue.takes_new(h));
        (takes_new || !first).then_some(told)
    }

    /// Takes on a flow whose target another VM knew.
    fn adopt(&mut self, key: FlowKey, host: HostId) {
        self.pins.set(self.now, key, host, true);
        self.flows.backlog.push(key);
    }

    /// Asks who knows a flow. A first packet is decided at once while no owner
    /// can have changed.
    fn ask_for_flow(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        let ask = !pending.first || self.now < self.flows.unsure;
        let asked = if ask {
            self.may_know(&pending.service, key)
        } else {
            BTreeSet::new()
        };
        for to in &asked {
            self.send(*to, Msg::Find { key });
        }
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.wait = Wait::Found(asked);
        }
        self.check_found(key);
    }

    /// Live members of this cell, and the flow's would-be owners in the others.
    fn may_know(&self, service: &ServiceId, key: FlowKey) -> BTreeSet<Member> {
        let near = self.cell.alive(self.now).map(|p| p.member);
        near.chain(self.far_owners(service, key)).collect()
    }

    /// First-ranked live members for a flow in the other cells of its service.
    fn far_owners(&self, service: &ServiceId, key: FlowKey) -> Vec<Member> {
        let domains: BTreeSet<_> = self
            .catalogue
            .hosts(service)
            .filter(|h| h.domain != self.domain)
            .map(|h| &h.domain)
            .collect();
        let mut owners = Vec::new();
        for domain in domains {
            let members = self.catalogue.view(domain).map(|v| v.members.as_slice());
            let order = rank::order(key.0, members.unwrap_or_default());
            let live = order.into_iter().filter(|m| !self.is_suspect(*m));
            owners.extend(live.take(FAR_OWNERS));
        }
        owners
    }

    /// Answers whether this VM knows a flow. Of two VMs that are deciding on the
    /// same flow, the lower-ranked one waits for the other's decision.
    pub(crate) fn find(&mut self, from: Member, key: FlowKey) {
        let outranked = rank::top(key.0, &[self.me, from]) == Some(from);
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            if !outranked {
                pending.askers.push(from);
                return;
            }
            pending.deciders.insert(from);
            if let Wait::Found(asked) = &mut pending.wait {
                if asked.insert(from) {
                    self.send(from, Msg::Find { key });
                }
            }
        }
        self.tell_flow(from, key);
        self.pins.yield_to_owner(self.now, key);
    }

    fn tell_flow(&mut self, to: Member, key: FlowKey) {
        let open = self.pins.get(self.now, key).filter(|p| !p.ended);
        let serves = |id| {
            let host = self.catalogue.host(id);
            host.is_some_and(|h| self.catalogue.serves(h))
        };
        let host = open.map(|p| p.host).filter(|id| serves(*id));
        let sure = open.is_some_and(|p| p.own || p.kept);
        self.send(to, Msg::Found { key, host, sure });
    }

    pub(crate) fn found(&mut self, from: Member, key: FlowKey, host: Option<HostId>, sure: bool) {
        let takes_new = |id| {
            let host = self.catalogue.host(id);
            host.is_some_and(|h| self.catalogue.takes_new(h))
        };
        let likely = sure || host.is_some_and(takes_new);
        let Some(pending) = self.flows.pending.get_mut(&key) else {
            return;
        };
        let Wait::Found(asked) = &mut pending.wait else {
            return;
        };
        asked.remove(&from);
        if let Some(host) = host.filter(|_| likely || !pending.first) {
            self.adopt(key, host);
            self.resolve(key, host);
        } else {
            self.check_found(key);
        }
    }

    /// Decides on a flow once nobody is left who may know it.
    fn check_found(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        if !matches!(&pending.wait, Wait::Found(asked) if asked.is_empty()) {
            return;
        }
        if pending.first {
            self.seek_admission(key);
        } else {
            self.give_up(key, Code::NoFlow);
        }
    }

    /// Delivers the packets that waited for a flow's target.
    fn resolve(&mut self, key: FlowKey, host: HostId) {
        let Some(pending) = self.flows.pending.remove(&key) else {
            return;
        };
        for asker in &pending.askers {
            self.tell_flow(*asker, key);
        }
        let serving = self
            .catalogue
            .host(host)
            .filter(|h| h.service == pending.service && self.catalogue.serves(h));
        let Some(address) = serving.map(|h| h.address) else {
            self.pins.remove(key);
            for id in pending.packets {
                self.drop_packet(id, Code::FlowEnded);
            }
            return;
        };
        for id in pending.packets {
            self.counts.delivered += 1;
            self.act(Action::Deliver(id, host, address));
        }
    }

    fn give_up(&mut self, key: FlowKey, code: Code) {
        let Some(pending) = self.flows.pending.remove(&key) else {
            return;
        };
        for asker in pending.askers {
            self.tell_flow(asker, key);
        }
        for id in pending.packets {
            self.drop_packet(id, code);
        }
    }

    /// Asks the next steward to admit a new flow.
    fn seek_admission(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        let service = pending.service.clone();
        let choice = if pending.tried.len() < ADMIT_TRIES {
            self.choose_steward(&service, key, &pending.tried)
        } else {
            None
        };
        let Some((steward, host)) = choice else {
            return self.give_up(key, Code::NoRoom);
        };
        let until = self.now + ASK_WAIT;
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.tried.push(steward);
            pending.wait = Wait::Admitted(steward);
            pending.until = until;
        }
        if steward == self.me {
            let host = self.admit_here(self.me, key, &service, host);
            self.admitted(self.me, key, host);
        } else {
            self.send(steward, Msg::Admit { key, service, host });
        }
    }

    /// Steward and target for a new flow: of the targets with room in this
    /// failure domain, the less loaded of two that the key ranks first; then
    /// the other cells in the key's order.
    fn choose_steward(
        &self,
        service: &ServiceId,
        key: FlowKey,
        tried: &[Member],
    ) -> Option<(Member, HostId)> {
        let near = emptiest(key, self.rooms(service, tried));
        let far = emptiest(key, self.far_rooms(service, key, tried));
        let best = match (near, far) {
            (Some(near), Some(far))
                if far.conns + far.conns / FAR_MARGIN + FAR_MARGIN_MIN < near.conns =>
            {
                Some(far)
            }
            (near, far) => near.or(far),
        };
        if let Some(best) = best {
            return Some((best.steward, best.host));
        }
        for domain in self.catalogue.cells_for(service, key.0) {
            if domain == self.domain {
                continue;
            }
            let hosts = self
                .catalogue
                .hosts(service)
                .filter(|h| h.domain == domain && self.catalogue.takes_new(h));
            let stewards = hosts.filter_map(|h| Some((self.steward_of(h)?, h.id)));
            let open = stewards.filter(|(s, _)| !tried.contains(s) && !self.is_suspect(*s));
            let best = open.max_by_key(|(_, host)| rank::score(key.0, host.0));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Targets of this cell with room, with their load in 1/1024 of what they bear.
    fn rooms(&self, service: &ServiceId, tried: &[Member]) -> Vec<Room> {
        let own = self.loads();
        let peers = self
            .cell
            .loads(self.now)
            .map(|(member, load)| (member, *load));
        let all = own.into_iter().map(|load| (self.me, load)).chain(peers);
        let fits = |host: HostId, steward: Member| {
            self.catalogue.host(host).is_some_and(|h| {
                h.service == *service
                    && self.catalogue.takes_new(h)
                    && self.steward_of(h) == Some(steward)
            })
        };
        // All owners see the same old loads, so each counts for all of them.
        let owners = self.cell.view().members.len() as u32;
        all.filter(|(steward, load)| !tried.contains(steward) && fits(load.host, *steward))
            .filter_map(|(steward, load)| {
                let recent = owners * self.flows.recent.get(&load.host).copied().unwrap_or(0);
                let conns = load.conns + if steward == self.me { 0 } else { recent };
                (conns < load.bears).then_some(Room {
                    steward,
                    host: load.host,
                    conns,
                })
            })
            .collect()
    }

    /// Targets with room in the cell that the key ranks second. All owners see
    /// the same old loads, so each counts its own flows since for all of them.
    fn far_rooms(&self, service: &ServiceId, key: FlowKey, tried: &[Member]) -> Vec<Room> {
        let cells = self.catalogue.cells_for(service, key.0);
        let Some(second) = cells.into_iter().find(|c| *c != self.domain) else {
            return Vec::new();
        };
        let owners = self
            .catalogue
            .cells()
            .map(|(_, view)| view.members.len() as u32);
        let owners: u32 = owners.sum();
        let fits = |id: &HostId, far: &FarLoad| {
            let host = self.catalogue.host(*id);
            host.is_some_and(|h| {
                h.domain == second
                    && h.service == *service
                    && self.catalogue.takes_new(h)
                    && self.steward_of(h) == Some(far.steward)
            }) && !tried.contains(&far.steward)
                && !self.is_suspect(far.steward)
                && self.now.since(far.at) < FAR_FRESH
        };
        let fitting = self.flows.far.iter().filter(|(id, far)| fits(id, far));
        let rooms = fitting.map(|(id, far)| Room {
            steward: far.steward,
            host: *id,
            conns: far.load.conns + owners * self.flows.recent.get(id).copied().unwrap_or(0),
        });
        rooms
            .filter(|r| r.conns < self.flows.far[&r.host].load.bears)
            .collect()
    }

    /// Takes in the loads that a steward of another cell told.
    pub(crate) fn told_far_loads(&mut self, from: Member, loads: &[Load]) {
        for load in loads {
            let far = FarLoad {
                steward: from,
                load: *load,
                at: self.now,
            };
            self.flows.far.insert(load.host, far);
            self.flows.recent.remove(&load.host);
        }
    }

    pub(crate) fn admit(&mut self, from: Member, key: FlowKey, service: &ServiceId, host: HostId) {
        let host = self.admit_here(from, key, service, host);
        // The flow may outlive the owner's whole cell.
        if let Some(host) = host.filter(|_| self.is_far(from)) {
            self.pins.keep(self.now, key, host, true);
        }
        self.send(from, Msg::Admitted { key, host });
    }

    /// Admits a flow at `host`, or at another target that this VM guards.
    fn admit_here(
        &mut self,
        owner: Member,
        key: FlowKey,
        service: &ServiceId,
        host: HostId,
    ) -> Option<HostId> {
        if !self.cell.holds_lease(self.now) {
            return None;
        }
        let others = self.stewards.targets.keys().copied().filter(|h| *h != host);
        let candidates: Vec<HostId> = std::iter::once(host).chain(others).collect();
        candidates.into_iter().find(|id| {
            let takes = self
                .catalogue
                .host(*id)
                .is_some_and(|h| h.service == *service && self.catalogue.takes_new(h));
            let own = self.pins.count(*id);
            let (now, me) = (self.now, self.me);
            let target = self.stewards.targets.get_mut(id).filter(|_| takes);
            target.is_some_and(|t| {
                t.count(now, me, own, now + Ms(1));
                t.is_open(now) && t.admit(now, key, owner)
            })
        })
    }

    pub(crate) fn admitted(&mut self, from: Member, key: FlowKey, host: Option<HostId>) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        if !matches!(pending.wait, Wait::Admitted(steward) if steward == from) {
            return;
        }
        let Some(host) = host else {
            return self.seek_admission(key);
        };
        self.counts.opened += 1;
        *self.flows.recent.entry(host).or_default() += 1;
        self.adopt(key, host);
        self.resolve(key, host);
    }

    pub(crate) fn pass_done(&mut self, id: PacketId, key: FlowKey, host: HostId) {
        self.flows.passed.remove(&id);
        if !self.pins.get(self.now, key).is_some_and(|p| p.own) {
            self.pins.set(self.now, key, host, false);
        }
    }

    pub(crate) fn pass_dropped(&mut self, id: PacketId, code: Code) {
        let passed = self.flows.passed.remove(&id);
        if let Some((packet, _)) = passed.filter(|_| code == Code::FlowEnded) {
            self.pins.remove(packet.key);
        }
        self.counts.dropped += 1;
    }

    /// Tries the next VM after one could not be reached.
    pub(crate) fn pass_failed(&mut self, id: PacketId, to: Member) {
        self.suspect(to);
        if let Some((packet, hint)) = self.flows.passed.remove(&id) {
            self.route(id, packet, hint);
        }
    }

    /// Moves on from questions that were not answered in time.
    pub(crate) fn tick_flows(&mut self) {
        let now = self.now;
        let late = self.flows.pending.iter().filter(|(_, p)| now >= p.until);
        let late: Vec<FlowKey> = late.map(|(key, _)| *key).collect();
        for key in late {
            let Some(pending) = self.flows.pending.get_mut(&key) else {
                continue;
            };
            match &mut pending.wait {
                Wait::Found(asked) => {
                    let limit = pending.since + DECIDE_WAIT;
                    asked.retain(|m| now < limit && pending.deciders.contains(m));
                    pending.until = limit;
                    self.check_found(key);
                }
                Wait::Admitted(_) => self.seek_admission(key),
            }
        }
    }

    /// Numbers of own flows at the targets of this failure domain, by steward.
    pub(crate) fn pin_counts(&self) -> BTreeMap<Member, Vec<Count>> {
        let mut counts: BTreeMap<Member, Vec<Count>> = BTreeMap::new();
        for (host, count) in self.pins.counts() {
            let near = self.catalogue.host(host);
            let near = near.filter(|h| h.domain == self.domain);
            if let Some(steward) = near.and_then(|h| self.steward_of(h)) {
                counts
                    .entry(steward)
                    .or_default()
                    .push(Count { host, count });
            }
        }
        counts
    }

    /// Takes in an owner's numbers of flows at the targets guarded here.
    pub(crate) fn told_pins(&mut self, from: Member, counts: &[Count], echo: Option<Time>) {
        // An answer sent before the echoed heartbeat may arrive after it.
        let known = echo.map_or(Time(0), |at| Time(at.0.saturating_sub(2 * HEARTBEAT.0)));
        let now = self.now;
        for (id, target) in &mut self.stewards.targets {
            let told = counts.iter().find(|c| c.host == *id);
            target.count(now, from, told.map_or(0, |c| c.count), known);
        }
        let told: Vec<HostId> = self
            .cell
            .peer(from.vm)
            .into_iter()
            .flat_map(|p| p.last.loads.iter().map(|l| l.host))
            .collect();
        for host in told {
            self.flows.recent.remove(&host);
        }
    }

    /// Sends new pins to the member that would own them next.
    pub(crate) fn send_backups(&mut self) {
        if self.flows.refill && self.flows.backlog.is_empty() {
            self.flows.refill = false;
            self.flows.backlog = self.pins.own_keys();
        }
        let mut batches: BTreeMap<Member, PinBatch> = BTreeMap::new();
        let rest = self.flows.backlog.len().saturating_sub(BACKUP_BATCH);
        for key in self.flows.backlog.split_off(rest) {
            let pin = self.pins.get(self.now, key).filter(|p| p.own);
            let next = pin.and_then(|p| self.keeper(key, p.host));
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
            if let Some(next) = pin.and_then(|p| self.keeper(key, p.host)) {
                batches.entry(next).or_default().ended.push(key);
            }
        }
        if self.flows.handed.is_some() && !batches.is_empty() {
            self.flows.handed = Some(self.now);
        }
        for (to, batch) in batches {
            self.send(to, Msg::Pins(batch));
        }
    }

    /// The VM that would be asked for a flow if this one ended: the next-ranked
    /// live member, or else the would-be owner in another cell of the service.
    fn keeper(&self, key: FlowKey, host: HostId) -> Option<Member> {
        let staying = self.cell.alive(self.now).filter(|p| !p.last.leaving);
        let near: Vec<Member> = staying.map(|p| p.member).collect();
        let next = rank::top(key.0, &near);
        next.or_else(|| {
            let service = &self.catalogue.host(host)?.service;
            self.far_owners(service, key).into_iter().next()
        })
    }

    fn is_far(&self, member: Member) -> bool {
        let vm = self.catalogue.vm(member.vm);
        vm.is_none_or(|v| v.domain != self.domain)
    }

    /// Keeps another owner's pins. A pin that this VM owns stays as it is.
    pub(crate) fn back_up(&mut self, from: Member, batch: PinBatch) {
        let far = self.is_far(from);
        let members = self.cell.view().members.clone();
        for FlowPin { key, host } in batch.pins {
            if self.pins.get(self.now, key).is_some_and(|p| p.own) {
                continue;
            }
            // The sender may have left the view already.
            if !far && !members.contains(&from) && rank::top(key.0, &members) == Some(self.me) {
                self.adopt(key, host);
            } else {
                self.pins.keep(self.now, key, host, far);
            }
        }
        for key in batch.ended {
            self.pins.end(self.now, key);
        }
    }

    /// Takes on the flows that this VM kept for an owner that left the view.
    pub(crate) fn take_flows(&mut self) {
        let members = &self.cell.view().members;
        let me = self.me;
        let taken = self
            .pins
            .promote(self.now, |key| rank::top(key.0, members) == Some(me));
        self.flows.backlog.extend(taken);
    }

    /// Hands all own pins to their next owners before this VM stops. Returns
    /// whether that was done long enough ago to have arrived.
    pub(crate) fn hand_pins(&mut self) -> bool {
        if let Some(at) = self.flows.handed {
            let decided = self.flows.pending.is_empty() && self.flows.backlog.is_empty();
            return decided && self.now >= at + HAND_WAIT;
        }
        self.flows.handed = Some(self.now);
        let mut lists: BTreeMap<Member, Vec<FlowPin>> = BTreeMap::new();
        for key in self.pins.handover_keys() {
            let pin = self.pins.get(self.now, key);
            let next = pin.and_then(|p| self.keeper(key, p.host));
            if let (Some(pin), Some(next)) = (pin, next) {
                let host = pin.host;
                lists.entry(next).or_default().push(FlowPin { key, host });
            }
        }
        for (to, pins) in lists {
            for batch in pins.chunks(HAND_BATCH) {
                let pins = batch.to_vec();
                let ended = Vec::new();
                self.send(to, Msg::Pins(PinBatch { pins, ended }));
            }
        }
        false
    }

    /// Takes over the targets that the view makes this VM steward of.
    pub(crate) fn take_targets(&mut self) {
        let number = self.cell.view().number;
        let near = self.catalogue.hosts_in(&self.domain);
        let mine: Vec<wire::Host> = near
            .filter(|h| self.catalogue.serves(h) && self.steward_of(h) == Some(self.me))
            .cloned()
            .collect();
        let ids: BTreeSet<HostId> = mine.iter().map(|h| h.id).collect();
        self.stewards.targets.retain(|id, _| ids.contains(id));
        for host in mine {
            let Some(service) = self.catalogue.service(&host.service) else {
                continue;
            };
            let (limits, longest) = (service.limits, Ms(service.deadline_ms));
            if let Some(target) = self.stewards.targets.get_mut(&host.id) {
                target.limits = limits;
                continue;
            }
            let mut target = Target::new(self.now, limits, number);
            target.awaited = self.neighbours().into_iter().collect();
            target.hold = self.now + LEASE + LEASE + longest;
            self.stewards.targets.insert(host.id, target);
        }
    }
}

/// A target with room.
#[derive(Debug, Clone, Copy)]
struct Room {
    steward: Member,
    host: HostId,
    conns: u32,
}

/// The target with the fewest flows, and of several the key's first-ranked.
fn emptiest(key: FlowKey, rooms: Vec<Room>) -> Option<Room> {
    let rank = |r: &Room| std::cmp::Reverse(rank::score(key.0, r.host.0));
    rooms.into_iter().min_by_key(|r| (r.conns, rank(r)))
}
