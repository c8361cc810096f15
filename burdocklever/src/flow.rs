//! Routing of packets to the owner and the target of their flow.
//!
//! The owner of a flow chooses its target at the first packet. Another entry VM
//! learns the target when it forwards a packet to the owner, and sends later packets
//! straight to the target. An owner that does not know a flow queries the other VMs
//! that may know it before it decides.

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

/// Time to wait for the replies to `FindFlow` and `Admit`.
pub(crate) const REPLY_TIMEOUT: Ms = Ms(100);
/// Number of VMs queried for a flow in every other cell: the second-ranked one was the
/// first-ranked one if a VM has joined that cell since.
pub(crate) const REMOTE_OWNERS: usize = 2;
/// Longest wait for a higher-ranked VM that decides on the same flow.
pub(crate) const DECISION_TIMEOUT: Ms = Ms(800);
/// Most flows that wait for a decision at once.
pub(crate) const PENDING_MAX: usize = 4096;
/// Most packets of one flow that wait for a decision.
pub(crate) const PENDING_PACKETS_MAX: usize = 8;

/// What the decision on a flow waits for.
#[derive(Debug, Clone)]
pub(crate) enum Wait {
    /// Replies of these VMs to `FindFlow`.
    FlowReplies(BTreeSet<Member>),
    /// Reply of this admission controller to `Admit`.
    Admission(Member),
}

/// A flow that waits for a decision.
#[derive(Debug, Clone)]
pub(crate) struct PendingFlow {
    pub(crate) service: ServiceId,
    pub(crate) packets: Vec<PacketId>,
    /// Whether the first packet of the flow is among the packets.
    pub(crate) has_first: bool,
    pub(crate) wait: Wait,
    pub(crate) since: Time,
    /// When to stop waiting for the replies.
    pub(crate) until: Time,
    /// Admission controllers that were asked to admit the flow.
    pub(crate) tried: Vec<Member>,
    /// VMs that asked for the flow and wait for the decision.
    pub(crate) inquirers: Vec<Member>,
    /// Higher-ranked VMs that decide on the same flow.
    pub(crate) competing: BTreeSet<Member>,
}

/// Load of a target of another cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RemoteLoad {
    pub(crate) controller: Member,
    pub(crate) load: Load,
    pub(crate) at: Time,
}

/// A packet that was forwarded to another VM.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ForwardedPacket {
    pub(crate) packet: Packet,
    pub(crate) hint: Option<HostId>,
}

/// Members of the previous view, which may still own some flows.
#[derive(Debug, Default)]
pub(crate) struct PreviousView {
    pub(crate) members: Vec<Member>,
    /// Time until which such flows may remain.
    pub(crate) until: Time,
}

/// State of the flows that this VM decides on.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    pub(crate) pending: BTreeMap<FlowKey, PendingFlow>,
    pub(crate) forwarded: BTreeMap<PacketId, ForwardedPacket>,
    /// Flows admitted since the last load report of the target's admission controller.
    pub(crate) recently_admitted: BTreeMap<HostId, u32>,
    /// Last load reports of the admission controllers of other cells.
    pub(crate) remote_loads: BTreeMap<HostId, RemoteLoad>,
    /// Services whose flows may belong to another cell than before, and until when.
    pub(crate) reassigned: BTreeMap<ServiceId, Time>,
    pub(crate) previous: PreviousView,
    /// Flows whose pins are to be sent to their backup member.
    pub(crate) backlog: Vec<FlowKey>,
    /// Ended flows to report to their backup member.
    pub(crate) ended: Vec<FlowKey>,
    /// Send all own pins again, since the backup members may have changed.
    pub(crate) resend_all: bool,
    /// When pins were last handed over before the VM stops.
    pub(crate) handed_over: Option<Time>,
}

impl Flows {
    /// Records that the targets of a service changed, which moves some of its flows to
    /// other cells.
    pub(crate) fn mark_reassigned(&mut self, now: Time, service: ServiceId) {
        self.reassigned.insert(service, now + FLOW_IDLE);
    }

    /// Records a new view, under which some flows have other owners and backups.
    /// `members` are those of the previous view.
    pub(crate) fn view_changed(&mut self, now: Time, members: Vec<Member>) {
        let until = now + FLOW_IDLE;
        self.previous = PreviousView { members, until };
        self.resend_all = true;
    }

    /// Removes expired state.
    pub(crate) fn expire(&mut self, now: Time) {
        self.reassigned.retain(|_, until| now < *until);
        self.remote_loads
            .retain(|_, remote| now.since(remote.at) < REMOTE_LOAD_MAX_AGE);
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
        if pin.owned {
            self.deliver_as_owner(id, packet, pin.host, address);
        } else if pin.age < PIN_REFRESH && packet.mark == Mark::Later {
            self.counts.delivered += 1;
            self.emit(Action::Deliver(id, pin.host, address));
        } else {
            self.route_packet(id, packet, Some(pin.host));
        }
    }

    /// Address of a target, if it belongs to the service and may get packets of open
    /// flows.
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

    /// Ends a flow and notifies the other VMs that may consider themselves its owner.
    pub(crate) fn end_flow(&mut self, key: FlowKey, host: HostId) {
        self.pins.mark_ended(self.now, key);
        self.flows.ended.push(key);
        let Some(host) = self.catalogue.host(host) else {
            return;
        };
        let mut recipients = BTreeSet::new();
        if host.domain != self.domain {
            recipients.extend(self.controller_of(host));
        }
        recipients.extend(self.possible_owners(&host.service, key));
        for to in recipients {
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

    /// Forwards a packet to the owner of its flow, or handles it as the owner.
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
            _ => self.handle_as_flow_owner(id, packet, service, hint),
        }
    }

    /// Owner of a flow: the first-ranked live VM in the first-ranked cell that has one.
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
        self.handle_as_flow_owner(id, packet, service, hint);
    }

    pub(crate) fn handle_as_flow_owner(
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
            if !self.pins.get(self.now, key).is_some_and(|p| p.owned) && packet.mark != Mark::Last {
                self.take_ownership(key, host);
            }
            return self.deliver_as_owner(id, packet, host, address);
        }
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.has_first |= packet.mark == Mark::First;
            if pending.packets.len() < PENDING_PACKETS_MAX {
                pending.packets.push(id);
                return;
            }
            return self.drop_packet(id, Code::Backlog);
        }
        if self.flows.pending.len() >= PENDING_MAX {
            return self.drop_packet(id, Code::Backlog);
        }
        let pending = PendingFlow {
            service,
            packets: vec![id],
            has_first: packet.mark == Mark::First,
            wait: Wait::FlowReplies(BTreeSet::new()),
            since: self.now,
            until: self.now + REPLY_TIMEOUT,
            tried: Vec::new(),
            inquirers: Vec::new(),
            competing: BTreeSet::new(),
        };
        self.flows.pending.insert(key, pending);
        self.query_flow(key);
    }

    /// Target of a flow according to this VM's pin, or else to the VM that forwarded
    /// the packet. A first packet reopens an ended flow. It follows a pin of a flow
    /// that this VM does not own, or a hint, only to a target that takes new flows.
    pub(crate) fn known_target(&self, packet: &Packet, hint: Option<HostId>) -> Option<HostId> {
        let first = packet.mark == Mark::First;
        if let Some(pin) = self.pins.get(self.now, packet.key) {
            if pin.owned || !first {
                return Some(pin.host);
            }
            if pin.ended {
                return None;
            }
        }
        let host = self
            .pins
            .get(self.now, packet.key)
            .map(|p| p.host)
            .or(hint)?;
        let takes_new = self
            .catalogue
            .host(host)
            .is_some_and(|h| self.catalogue.accepts_new(h));
        (takes_new || !first).then_some(host)
    }

    /// Makes this VM the owner of a flow with a known target.
    pub(crate) fn take_ownership(&mut self, key: FlowKey, host: HostId) {
        self.pins.set(self.now, key, host, true);
        self.flows.backlog.push(key);
    }

    /// Queries the VMs that may know a flow. With a first packet, these are only the
    /// other possible owners, and none if the owner cannot have changed.
    pub(crate) fn query_flow(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        let queried = if pending.has_first {
            self.possible_owners(&pending.service, key)
        } else {
            self.possible_holders(&pending.service, key)
        };
        for to in &queried {
            self.send(*to, Msg::FindFlow { key });
        }
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            pending.wait = Wait::FlowReplies(queried);
        }
        self.decide_if_all_replied(key);
    }

    /// Other VMs that may consider themselves the owner of a flow, or did so recently.
    pub(crate) fn possible_owners(&self, service: &ServiceId, key: FlowKey) -> BTreeSet<Member> {
        let reassigned = self
            .flows
            .reassigned
            .get(service)
            .is_some_and(|t| self.now < *t);
        let home = self.catalogue.cells_for(service, key.0).into_iter().next();
        let members = &self.cell.view().members;
        let is_owner = home.as_ref() == Some(&self.domain)
            && rendezvous::pick(key.0, members) == Some(self.me);
        if reassigned || !is_owner {
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

    /// VMs that may know a flow: the live VMs of this cell and the first-ranked members
    /// of the other cells.
    pub(crate) fn possible_holders(&self, service: &ServiceId, key: FlowKey) -> BTreeSet<Member> {
        let local = self.cell.alive(self.now).map(|p| p.member);
        local.chain(self.remote_owners(service, key)).collect()
    }

    /// The [`REMOTE_OWNERS`] highest-ranked members for a flow that are not suspects, of
    /// every other cell of its service.
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

    /// Replies whether this VM knows a flow, and gives up its ownership, since the VM that
    /// asks considers itself the owner. Of two VMs that decide on the same flow, the
    /// lower-ranked one waits for the decision of the other.
    pub(crate) fn handle_find_flow(&mut self, from: Member, key: FlowKey) {
        let outranked = rendezvous::pick(key.0, &[self.me, from]) == Some(from);
        if let Some(pending) = self.flows.pending.get_mut(&key) {
            if !outranked {
                pending.inquirers.push(from);
                return;
            }
            pending.competing.insert(from);
            if let Wait::FlowReplies(queried) = &mut pending.wait {
                if queried.insert(from) {
                    self.send(from, Msg::FindFlow { key });
                }
            }
        }
        self.send_flow_reply(from, key);
        self.pins.release_ownership(self.now, key);
    }

    pub(crate) fn send_flow_reply(&mut self, to: Member, key: FlowKey) {
        let open = self.pins.get(self.now, key).filter(|p| !p.ended);
        let serves = |id| {
            let host = self.catalogue.host(id);
            host.is_some_and(|h| self.catalogue.serves(h))
        };
        let host = open.map(|p| p.host).filter(|id| serves(*id));
        let authoritative = open.is_some_and(|p| p.owned || p.backup);
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
        // A first packet follows an uncertain reply only to a target that takes new flows.
        let usable = authoritative || host.is_some_and(takes_new);
        let Some(pending) = self.flows.pending.get_mut(&key) else {
            return;
        };
        let Wait::FlowReplies(queried) = &mut pending.wait else {
            return;
        };
        queried.remove(&from);
        if let Some(host) = host.filter(|_| usable || !pending.has_first) {
            self.take_ownership(key, host);
            self.assign_target(key, host);
        } else {
            self.decide_if_all_replied(key);
        }
    }

    /// Decides on a flow once every queried VM has replied or timed out.
    pub(crate) fn decide_if_all_replied(&mut self, key: FlowKey) {
        let Some(pending) = self.flows.pending.get(&key) else {
            return;
        };
        if !matches!(&pending.wait, Wait::FlowReplies(queried) if queried.is_empty()) {
            return;
        }
        if pending.has_first {
            self.request_admission(key);
        } else {
            self.drop_pending(key, Code::NoFlow);
        }
    }

    /// Sends the target of a flow to the VMs that asked for it, and delivers the packets
    /// that waited for it. If the target is no longer in service, drops them instead.
    pub(crate) fn assign_target(&mut self, key: FlowKey, host: HostId) {
        let Some(pending) = self.flows.pending.remove(&key) else {
            return;
        };
        for inquirer in &pending.inquirers {
            self.send_flow_reply(*inquirer, key);
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

    /// Drops the packets of a flow that was not assigned a target.
    pub(crate) fn drop_pending(&mut self, key: FlowKey, code: Code) {
        let Some(pending) = self.flows.pending.remove(&key) else {
            return;
        };
        for inquirer in pending.inquirers {
            self.send_flow_reply(inquirer, key);
        }
        for id in pending.packets {
            self.drop_packet(id, code);
        }
    }

    pub(crate) fn handle_peer_delivered(&mut self, id: PacketId, key: FlowKey, host: HostId) {
        self.flows.forwarded.remove(&id);
        if !self.pins.get(self.now, key).is_some_and(|p| p.owned) {
            self.pins.set(self.now, key, host, false);
        }
    }

    pub(crate) fn handle_peer_dropped(&mut self, id: PacketId, code: Code) {
        let forwarded = self.flows.forwarded.remove(&id);
        if let Some(forwarded) = forwarded.filter(|_| code == Code::FlowEnded) {
            self.pins.remove(forwarded.packet.key);
        }
        self.counts.dropped += 1;
    }

    /// Routes a packet again after the VM that it was forwarded to was unreachable.
    pub(crate) fn handle_peer_unreachable(&mut self, id: PacketId, to: Member) {
        self.mark_suspect(to);
        if let Some(ForwardedPacket { packet, hint }) = self.flows.forwarded.remove(&id) {
            self.route_packet(id, packet, hint);
        }
    }

    /// Handles queries that were not answered in time. Only the replies of higher-ranked
    /// VMs that decide on the same flow are waited for up to [`DECISION_TIMEOUT`].
    pub(crate) fn tick_flows(&mut self) {
        let now = self.now;
        let late = self.flows.pending.iter().filter(|(_, p)| now >= p.until);
        let late: Vec<FlowKey> = late.map(|(key, _)| *key).collect();
        for key in late {
            let Some(pending) = self.flows.pending.get_mut(&key) else {
                continue;
            };
            match &mut pending.wait {
                Wait::FlowReplies(queried) => {
                    let limit = pending.since + DECISION_TIMEOUT;
                    queried.retain(|m| now < limit && pending.competing.contains(m));
                    pending.until = limit;
                    self.decide_if_all_replied(key);
                }
                Wait::Admission(_) => self.request_admission(key),
            }
        }
    }
}
