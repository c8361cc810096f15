//! Flows: who decides on a packet, and where it goes.
//!
//! The owner of a flow chooses its target with the first packet. An entry VM
//! learns the target when it passes a packet on, and sends later ones straight
//! there. An owner that does not know a flow asks its cell before it decides.

use std::collections::{BTreeMap, BTreeSet};

use wire::{Address, HostId, Member, ServiceId};

use crate::code::Code;
use crate::event::{Action, Mark, Packet, PacketId};
use crate::flow_admission::REMOTE_LOAD_MAX_AGE;
use crate::msg::{FlowKey, Load, Msg, PinBatch};
use crate::node::Node;
use crate::pin::{FLOW_IDLE, PIN_REFRESH};
use crate::rendezvous;
use crate::time::{Ms, Time};

/// Time to wait for answers to `FindFlow` and `Admit`.
pub(crate) const REPLY_TIMEOUT: Ms = Ms(100);
/// Members of another cell that are asked whether they know a flow: one may
/// have joined since.
pub(crate) const REMOTE_OWNERS: usize = 2;
/// Longest wait for a higher-ranked VM's decision on the same flow.
pub(crate) const DECISION_TIMEOUT: Ms = Ms(800);
/// Flows that may wait for a decision at once.
pub(crate) const PENDING_MAX: usize = 4096;
/// Packets of one flow that may wait.
pub(crate) const PENDING_PACKETS_MAX: usize = 8;

/// What the owner of an undecided flow waits for.
#[derive(Debug, Clone)]
pub(crate) enum Wait {
    /// Whether one of these knows the flow.
    FlowReplies(BTreeSet<Member>),
    /// Whether the admission controller admits it.
    Admission(Member),
}

#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) service: ServiceId,
    pub(crate) packets: Vec<PacketId>,
    pub(crate) first: bool,
    pub(crate) wait: Wait,
    pub(crate) since: Time,
    pub(crate) until: Time,
    pub(crate) tried: Vec<Member>,
    /// VMs that want to know the decision.
    pub(crate) askers: Vec<Member>,
    /// Higher-ranked VMs that are deciding on the flow too.
    pub(crate) competing: BTreeSet<Member>,
}

/// Load of a target of another cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RemoteLoad {
    pub(crate) controller: Member,
    pub(crate) load: Load,
    pub(crate) at: Time,
}

/// A packet that another VM decides on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ForwardedPacket {
    pub(crate) packet: Packet,
    pub(crate) hint: Option<HostId>,
}

/// Members of the view before, which may still own some flows.
#[derive(Debug, Default)]
pub(crate) struct PreviousView {
    pub(crate) members: Vec<Member>,
    /// Until when that matters.
    pub(crate) until: Time,
}

/// Packets that await a decision here or at another VM.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    pub(crate) pending: BTreeMap<FlowKey, Pending>,
    pub(crate) forwarded: BTreeMap<PacketId, ForwardedPacket>,
    /// Flows admitted since the admission controller last told its loads.
    pub(crate) recently_admitted: BTreeMap<HostId, u32>,
    /// Loads that admission controllers of other cells told last.
    pub(crate) remote_loads: BTreeMap<HostId, RemoteLoad>,
    /// Services whose flows may have changed cells, and until when that matters.
    pub(crate) reassigned: BTreeMap<ServiceId, Time>,
    /// The view before.
    pub(crate) previous: PreviousView,
    /// Pins to send to the next-ranked member.
    pub(crate) backlog: Vec<FlowKey>,
    pub(crate) ended: Vec<FlowKey>,
    pub(crate) resend_all: bool,
    pub(crate) handed_over: Option<Time>,
}

impl Flows {
    /// Notes that targets of a service changed, which moves some of its flows.
    pub(crate) fn mark_reassigned(&mut self, now: Time, service: ServiceId) {
        self.reassigned.insert(service, now + FLOW_IDLE);
    }

    /// Notes a new view: other members now own and keep some flows.
    pub(crate) fn view_changed(&mut self, now: Time, members: Vec<Member>) {
        let until = now + FLOW_IDLE;
        self.previous = PreviousView { members, until };
        self.resend_all = true;
    }

    /// Forgets what does not matter any more.
    pub(crate) fn expire(&mut self, now: Time) {
        self.reassigned.retain(|_, until| now < *until);
        self.remote_loads
            .retain(|_, far| now.since(far.at) < REMOTE_LOAD_MAX_AGE);
    }
}

impl Node {
    pub(crate) fn handle_packet(&mut self, id: PacketId, packet: Packet) {
        if !self.has_catalogue() {
            return self.drop_packet(id, Code::NotReady);
        }
        let pin = self.pins.get(self.now, packet.key).filter(|p| !p.ended);
        let Some(pin) = pin else {
            return self.route_packet(id, packet, None);
        };
        let Some(address) = self.serving_address(packet.service, pin.host) else {
            self.pins.remove(packet.key);
            return self.drop_packet(id, Code::FlowEnded);
        };
        if pin.own {
            self.deliver_as_owner(id, packet, pin.host, address);
        } else if pin.age < PIN_REFRESH && packet.mark == Mark::Later {
            self.counts.delivered += 1;
            self.emit(Action::Deliver(id, pin.host, address));
        } else {
            self.route_packet(id, packet, Some(pin.host));
        }
    }

    /// Address of a target that may get packets of an open flow.
    pub(crate) fn serving_address(&self, service: Address, host: HostId) -> Option<Address> {
        let host = self.catalogue.host(host)?;
        let belongs = self.catalogue.service_at(service) == Some(&host.service);
        (belongs && self.catalogue.serves(host)).then_some(host.address)
    }

    pub(crate) fn deliver_as_owner(
        &mut self,
        id: PacketId,
        packet: Packet,
        host: HostId,
        address: Address,
    ) {
        if packet.mark == Mark::Last {
            self.end_flow(packet.key, host);
        } else {
            self.pins.touch(self.now, packet.key);
        }
        self.counts.delivered += 1;
        self.emit(Action::Deliver(id, host, address));
    }

    /// Ends a flow, and tells the VMs that may take themselves for its owner.
    pub(crate) fn end_flow(&mut self, key: FlowKey, host: HostId) {
        self.pins.end(self.now, key);
        self.flows.ended.push(key);
        let Some(host) = self.catalogue.host(host) else {
            return;
        };
        let mut told = BTreeSet::new();
        if host.domain != self.domain {
            told.extend(self.controller_of(host));
        }
        told.extend(self.possible_owners(&host.service, key));
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
            self.counts.unknown_flow += 1;
        }
        self.emit(Action::Drop(id, code));
    }

    /// Passes a packet to the flow's owner, or decides as the owner.
    pub(crate) fn route_packet(&mut self, id: PacketId, packet: Packet, hint: Option<HostId>) {
        let Some(service) = self.catalogue.service_at(packet.service).cloned() else {
            return self.drop_packet(id, Code::NoService);
        };
        match self.flow_owner(&service, packet.key) {
            Some(owner) if owner != self.me => {
                self.flows
                    .forwarded
                    .insert(id, ForwardedPacket { packet, hint });
                self.emit(Action::ForwardPacket(id, packet, owner, hint));
            }
            _ => self.handle_as_owner(id, packet, service, hint),
        }
    }

    /// The first VM in the order of cells and members that is believed to live.
    pub(crate) fn flow_owner(&self, service: &ServiceId, key: FlowKey) -> Option<Member> {
        for domain in self.catalogue.cells_for(service, key.0) {
            let Some(view) = self.catalogue.view(&domain) else {
                continue;
            };
            let members = if domain == self.domain {
                self.cell.live_members(self.now)
            } else {
                view.members.clone()
            };
            let order = rendezvous::rank(key.0, &members);
            let live = order.into_iter().find(|m| !self.is_suspect(*m));
            if live.is_some() {
                return live;
            }
        }
        None
    }

    pub(crate) fn handle_peer_packet(
        &mut self,
        id: PacketId,
        packet: Packet,
        hint: Option<HostId>,
    ) {
        if !self.has_catalogue() {
            return self.drop_packet(id, Code::NotReady);
        }
        let Some(service) = self.catalogue.service_at(packet.service).cloned() else {
            return self.drop_packet(id, Code::NoService);
        };
        self.handle_as_owner(id, packet, service, hint);
    }

    pub(crate) fn handle_as_owner(
        &mut self,
        id: PacketId,
        packet: Packet,
        service: ServiceId,
        hint: Option<HostId>,
    ) {
        let key = packet.key;
        if let Some(host) = self.known_target(&packet, hint) {
            let Some(address) = self.serving_address(packet.service, host) else {
                self.pins.remove(key);
                return self.drop_packet(id, Code::FlowEnded);
            };
            if !self.pins.get(self.now, key).is_some_and(|p| p.own) && packet.mark != Mark::Last {
                self.take_ownership(key, host);
            }
            return self.deliver_as_owner(id, packet, host, address);
        }
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.first |= packet.mark == Mark::First;
            if pending.packets.len() < PENDING_PACKETS_MAX {
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
            wait: Wait::FlowReplies(BTreeSet::new()),
            since: self.now,
            until: self.now + REPLY_TIMEOUT,
            tried: Vec::new(),
            askers: Vec::new(),
            competing: BTreeSet::new(),
        };
        self.flows.pending.insert(key, pending);
        self.query_flow(key);
    }

    /// Target of a flow by this VM's own pin, or else by what another VM told.
    /// A first packet opens a flow anew after its end, and does not follow
    /// hearsay to a target that takes no new flows.
    pub(crate) fn known_target(&self, packet: &Packet, hint: Option<HostId>) -> Option<HostId> {
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
            .is_some_and(|h| self.catalogue.accepts_new(h));
        (takes_new || !first).then_some(told)
    }

    /// Takes on a flow whose target another VM knew.
    pub(crate) fn take_ownership(&mut self, key: FlowKey, host: HostId) {
        self.pins.set(self.now, key, host, true);
        self.flows.backlog.push(key);
    }

    /// Asks who knows a flow. A first packet is decided at once while no owner
    /// can have changed.
    pub(crate) fn query_flow(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        let asked = if pending.first {
            self.possible_owners(&pending.service, key)
        } else {
            self.possible_holders(&pending.service, key)
        };
        for to in &asked {
            self.send(*to, Msg::FindFlow { key });
        }
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.wait = Wait::FlowReplies(asked);
        }
        self.decide_if_unknown(key);
    }

    /// VMs that may take themselves for the owner of a flow, or did so a short
    /// while ago.
    pub(crate) fn possible_owners(&self, service: &ServiceId, key: FlowKey) -> BTreeSet<Member> {
        let moved = self
            .flows
            .reassigned
            .get(service)
            .is_some_and(|t| self.now < *t);
        let home = self.catalogue.cells_for(service, key.0).into_iter().next();
        let members = &self.cell.view().members;
        let mine = home.as_ref() == Some(&self.domain)
            && rendezvous::pick(key.0, members) == Some(self.me);
        if moved || !mine {
            return self.possible_holders(service, key);
        }
        let before = &self.flows.previous;
        let owner = rendezvous::pick(key.0, &before.members);
        let owner = owner.filter(|m| *m != self.me && self.now < before.until);
        match owner {
            None => BTreeSet::new(),
            Some(owner) if self.cell.is_alive(self.now, owner) => BTreeSet::from([owner]),
            Some(_) => self.possible_holders(service, key),
        }
    }

    /// Live members of this cell, and the flow's would-be owners in the others.
    pub(crate) fn possible_holders(&self, service: &ServiceId, key: FlowKey) -> BTreeSet<Member> {
        let near = self.cell.alive(self.now).map(|p| p.member);
        near.chain(self.remote_owners(service, key)).collect()
    }

    /// First-ranked live members for a flow in the other cells of its service.
    pub(crate) fn remote_owners(&self, service: &ServiceId, key: FlowKey) -> Vec<Member> {
        let domains: BTreeSet<_> = self
            .catalogue
            .hosts(service)
            .filter(|h| h.domain != self.domain)
            .map(|h| &h.domain)
            .collect();
        let mut owners = Vec::new();
        for domain in domains {
            let members = self.catalogue.view(domain).map(|v| v.members.as_slice());
            let order = rendezvous::rank(key.0, members.unwrap_or_default());
            let live = order.into_iter().filter(|m| !self.is_suspect(*m));
            owners.extend(live.take(REMOTE_OWNERS));
        }
        owners
    }

    /// Answers whether this VM knows a flow. Of two VMs that are deciding on the
    /// same flow, the lower-ranked one waits for the other's decision.
    pub(crate) fn handle_find_flow(&mut self, from: Member, key: FlowKey) {
        let outranked = rendezvous::pick(key.0, &[self.me, from]) == Some(from);
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            if !outranked {
                pending.askers.push(from);
                return;
            }
            pending.competing.insert(from);
            if let Wait::FlowReplies(asked) = &mut pending.wait {
                if asked.insert(from) {
                    self.send(from, Msg::FindFlow { key });
                }
            }
        }
        self.send_flow_reply(from, key);
        self.pins.yield_to_owner(self.now, key);
    }

    pub(crate) fn send_flow_reply(&mut self, to: Member, key: FlowKey) {
        let open = self.pins.get(self.now, key).filter(|p| !p.ended);
        let serves = |id| {
            let host = self.catalogue.host(id);
            host.is_some_and(|h| self.catalogue.serves(h))
        };
        let host = open.map(|p| p.host).filter(|id| serves(*id));
        let authoritative = open.is_some_and(|p| p.own || p.kept);
        self.send(
            to,
            Msg::FlowReply {
                key,
                host,
                authoritative,
            },
        );
    }

    pub(crate) fn handle_flow_reply(
        &mut self,
        from: Member,
        key: FlowKey,
        host: Option<HostId>,
        authoritative: bool,
    ) {
        let takes_new = |id| {
            let host = self.catalogue.host(id);
            host.is_some_and(|h| self.catalogue.accepts_new(h))
        };
        let likely = authoritative || host.is_some_and(takes_new);
        let Some(pending) = self.flows.pending.get_mut(&key) else {
            return;
        };
        let Wait::FlowReplies(asked) = &mut pending.wait else {
            return;
        };
        asked.remove(&from);
        if let Some(host) = host.filter(|_| likely || !pending.first) {
            self.take_ownership(key, host);
            self.assign_target(key, host);
        } else {
            self.decide_if_unknown(key);
        }
    }

    /// Decides on a flow once nobody is left who may know it.
    pub(crate) fn decide_if_unknown(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        if !matches!(&pending.wait, Wait::FlowReplies(asked) if asked.is_empty()) {
            return;
        }
        if pending.first {
            self.request_admission(key);
        } else {
            self.drop_pending(key, Code::NoFlow);
        }
    }

    /// Delivers the packets that waited for a flow's target.
    pub(crate) fn assign_target(&mut self, key: FlowKey, host: HostId) {
        let Some(pending) = self.flows.pending.remove(&key) else {
            return;
        };
        for asker in &pending.askers {
            self.send_flow_reply(*asker, key);
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
            self.emit(Action::Deliver(id, host, address));
        }
    }

    pub(crate) fn drop_pending(&mut self, key: FlowKey, code: Code) {
        let Some(pending) = self.flows.pending.remove(&key) else {
            return;
        };
        for asker in pending.askers {
            self.send_flow_reply(asker, key);
        }
        for id in pending.packets {
            self.drop_packet(id, code);
        }
    }

    pub(crate) fn handle_peer_delivered(&mut self, id: PacketId, key: FlowKey, host: HostId) {
        self.flows.forwarded.remove(&id);
        if !self.pins.get(self.now, key).is_some_and(|p| p.own) {
            self.pins.set(self.now, key, host, false);
        }
    }

    pub(crate) fn handle_peer_dropped(&mut self, id: PacketId, code: Code) {
        let passed = self.flows.forwarded.remove(&id);
        if let Some(passing) = passed.filter(|_| code == Code::FlowEnded) {
            self.pins.remove(passing.packet.key);
        }
        self.counts.dropped += 1;
    }

    /// Tries the next VM after one could not be reached.
    pub(crate) fn handle_peer_unreachable(&mut self, id: PacketId, to: Member) {
        self.mark_suspect(to);
        if let Some(ForwardedPacket { packet, hint }) = self.flows.forwarded.remove(&id) {
            self.route_packet(id, packet, hint);
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
                Wait::FlowReplies(asked) => {
                    let limit = pending.since + DECISION_TIMEOUT;
                    asked.retain(|m| now < limit && pending.competing.contains(m));
                    pending.until = limit;
                    self.decide_if_unknown(key);
                }
                Wait::Admission(_) => self.request_admission(key),
            }
        }
    }
}
