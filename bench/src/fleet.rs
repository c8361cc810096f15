//! Nodes driven directly, with a fixed delay between them and no faults but
//! those a measurement causes.

use std::collections::{BTreeMap, BTreeSet};

use burdocklever::{
    hash, Action, Delta, Event, FlowKey, IdempotencyKey, Mark, Ms, Msg, Node, Outcome, Packet,
    PacketId, PeerTask, Request, RequestId, TargetResponse, Time,
};
use wire::{
    Address, Body, Class, DomainId, DomainState, Host, HostId, Incarnation, Lifecycle, Limits,
    Member, Object, ObjectKey, Service, ServiceId, Version, Vm, VmId,
};

/// One-way delay between VMs.
const DELAY_MS: u64 = 1;
const TICK_MS: u64 = 20;
/// Time that a request takes at its target.
const WORK_MS: u64 = 20;
/// Longest time that a request may take.
const DEADLINE_MS: u64 = 5000;

/// Limits of a target of gh-south and mu-island.
pub(crate) const LIMITS: Limits = Limits {
    slots: 2,
    conns: 2000,
    cold_slots: 1,
    cold_conns: 200,
};

/// A deployment: entry VMs and targets by failure domain.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Entry VMs of each failure domain.
    pub(crate) vms: Vec<usize>,
    /// Targets of each failure domain.
    pub(crate) hosts: Vec<usize>,
    /// Limits of each target.
    pub(crate) limits: Limits,
    /// Requests may not be repeated.
    pub(crate) once: bool,
}

impl Plan {
    /// The size of gh-south and mu-island: 9 VMs before 14 targets.
    pub(crate) fn today() -> Plan {
        Plan {
            vms: vec![3, 2, 2, 2],
            hosts: vec![4, 4, 3, 3],
            limits: LIMITS,
            once: true,
        }
    }
}

/// Messages and bytes sent between VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Messages.
    pub(crate) messages: u64,
    /// Bytes as encoded for the wire, without the transport's own.
    pub(crate) bytes: u64,
}

/// Replies that callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Replies {
    /// Answered by a target.
    pub(crate) answered: u64,
    /// Refused with a time to come back.
    pub(crate) refused: u64,
    /// Unknown outcome.
    pub(crate) unknown: u64,
}

/// A packet that waits for a decision, and the packet that it is at the VM
/// which passed it on.
struct Held {
    packet: Packet,
    origin: Option<(usize, PacketId)>,
}

/// Nodes, a queue of events and the platform's objects.
pub(crate) struct Fleet {
    pub(crate) now: u64,
    seq: u64,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    nodes: Vec<Option<Node>>,
    domains: Vec<usize>,
    objects: Vec<Object>,
    packets: BTreeMap<(usize, PacketId), Held>,
    relays: BTreeMap<(usize, RequestId), (usize, RequestId)>,
    asked: BTreeSet<(usize, RequestId)>,
    last_id: u64,
    /// Where each flow's last packet went.
    pub(crate) flows: BTreeMap<FlowKey, HostId>,
    /// Packets dropped.
    pub(crate) dropped: u64,
    /// Flows of dropped packets.
    pub(crate) lost: BTreeSet<FlowKey>,
    /// Messages between VMs.
    pub(crate) traffic: Traffic,
    /// Replies to callers.
    pub(crate) replies: Replies,
    /// Requests in progress by target.
    busy: BTreeMap<HostId, u32>,
    /// Most requests in progress at one target.
    pub(crate) busiest: u32,
}

pub(crate) fn domain_id(i: usize) -> DomainId {
    let name = format!("domain-{i}");
    name.parse()
        .unwrap_or_else(|_| unreachable!("the name is valid"))
}

pub(crate) fn service_id() -> ServiceId {
    let name = "kiosk-ledger";
    name.parse()
        .unwrap_or_else(|_| unreachable!("the name is valid"))
}

fn service_address() -> Address {
    Address::from(([10, 0, 0, 1], 9000))
}

fn member(i: usize) -> Member {
    Member {
        vm: VmId(i as u32 + 1),
        incarnation: Incarnation(1),
    }
}

impl Fleet {
    /// A fleet whose VMs have all settled and whose targets are warm.
    pub(crate) fn open(plan: &Plan) -> Fleet {
        let mut fleet = Fleet {
            now: 1000,
            seq: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            domains: Vec::new(),
            objects: Vec::new(),
            packets: BTreeMap::new(),
            relays: BTreeMap::new(),
            asked: BTreeSet::new(),
            last_id: 0,
            flows: BTreeMap::new(),
            dropped: 0,
            lost: BTreeSet::new(),
            traffic: Traffic::default(),
            replies: Replies::default(),
            busy: BTreeMap::new(),
            busiest: 0,
        };
        fleet.write_service(plan);
        for (domain, count) in plan.vms.iter().enumerate() {
            for _ in 0..*count {
                fleet.add_vm(domain);
            }
        }
        for (domain, count) in plan.hosts.iter().enumerate() {
            for _ in 0..*count {
                fleet.add_host(domain);
            }
        }
        fleet.sync();
        fleet.run_for(30_000);
        fleet
    }

    fn write_service(&mut self, plan: &Plan) {
        let service = Service {
            owner: "desk".into(),
            class: Class::Critical,
            address: service_address(),
            limits: plan.limits,
            non_idempotent: plan.once,
            deadline_ms: DEADLINE_MS,
        };
        self.write(
            ObjectKey::new("service", service_id()),
            Body::Service(service),
        );
    }

    fn write(&mut self, key: ObjectKey, body: Body) {
        let version = Version(self.objects.last().map_or(0, |o| o.version.0) + 1);
        self.objects.retain(|o| o.key != key);
        self.objects.push(Object {
            key,
            version,
            change: 0,
            body,
        });
    }

    fn add_vm(&mut self, domain: usize) {
        let i = self.nodes.len();
        let port = i as u16 + 1;
        let vm = Vm {
            member: member(i),
            domain: domain_id(domain),
            datagram: Address::from(([10, 2, 0, 1], port)),
            peer: Address::from(([10, 2, 0, 2], port)),
            http: Address::from(([10, 2, 0, 3], port)),
            state: Lifecycle::Live,
        };
        self.write(ObjectKey::new("vm", vm.member.vm), Body::Vm(vm));
        let node = Node::new(Time(self.now), member(i), domain_id(domain));
        self.nodes.push(Some(node));
        self.domains.push(domain);
        self.after(i as u64 % TICK_MS, i, Event::Tick);
    }

    /// Adds a live target. Returns its identity.
    pub(crate) fn add_host(&mut self, domain: usize) -> HostId {
        let hosts = self.objects.iter().filter(|o| &*o.key.kind == "host");
        let id = HostId(hosts.count() as u64 + 1);
        self.set_host(id, domain, Lifecycle::Live);
        id
    }

    /// Changes a target's state.
    pub(crate) fn set_host(&mut self, id: HostId, domain: usize, state: Lifecycle) {
        let port = id.0 as u32;
        let host = Host {
            id,
            service: service_id(),
            domain: domain_id(domain),
            address: Address::from(([10, 1, (port >> 15) as u8, 1], (port & 0x7fff) as u16 + 1)),
            state,
            incarnation: wire::Incarnation(0),
            cold_ms: 0,
            slots: 0,
        };
        self.write(ObjectKey::new("host", id), Body::Host(host));
    }

    /// Takes a failure domain out or brings it back.
    pub(crate) fn set_domain(&mut self, domain: usize, state: DomainState) {
        let key = ObjectKey::new("domain", domain_id(domain));
        self.write(key, Body::Domain { state });
    }

    /// Tells every VM what is new at the platform.
    pub(crate) fn sync(&mut self) {
        let through = self.objects.last().map_or(Version(0), |o| o.version);
        for i in 0..self.nodes.len() {
            let Some(node) = &self.nodes[i] else { continue };
            let from = node.catalogue().revision();
            let above = self.objects.iter().filter(|o| o.version > from);
            let delta = Delta {
                from,
                through,
                objects: above.cloned().collect(),
            };
            self.after(DELAY_MS, i, Event::CatalogueDelta(delta));
        }
    }

    /// Ends a VM's process without warning.
    pub(crate) fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
        self.asked.retain(|(vm, _)| *vm != i);
    }

    /// Targets in the failure domains of some VMs.
    pub(crate) fn targets_beside(&self, vms: &[usize]) -> BTreeSet<HostId> {
        let domains: Vec<DomainId> = vms.iter().map(|i| domain_id(self.domains[*i])).collect();
        let hosts = self.objects.iter().filter_map(|o| match &o.body {
            Body::Host(host) => Some(host),
            _ => None,
        });
        let near = hosts.filter(|h| domains.contains(&h.domain));
        near.map(|h| h.id).collect()
    }

    /// Number of VMs, dead ones too.
    pub(crate) fn vms(&self) -> usize {
        self.nodes.len()
    }

    /// A VM's node.
    pub(crate) fn node(&self, i: usize) -> Option<&Node> {
        self.nodes[i].as_ref()
    }

    fn after(&mut self, ms: u64, i: usize, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + ms, self.seq), (i, event));
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (i, event) = entry.remove();
            self.now = at;
            if matches!(event, Event::Tick) && self.nodes[i].is_some() {
                self.after(TICK_MS, i, Event::Tick);
            }
            self.feed(i, event);
        }
        self.now = end;
    }

    fn feed(&mut self, i: usize, event: Event) {
        if let Event::DispatchEnded(..) = event {
            self.note_end(&event);
        }
        let Some(node) = &mut self.nodes[i] else {
            return;
        };
        node.feed(Time(self.now), event);
        let actions: Vec<Action> = std::iter::from_fn(|| node.pull()).collect();
        for action in actions {
            self.act(i, action);
        }
    }

    fn note_end(&mut self, event: &Event) {
        if let Event::DispatchEnded(_, Outcome::Answered(answer)) = event {
            let host = HostId(u64::from(answer.status));
            if let Some(busy) = self.busy.get_mut(&host) {
                *busy -= 1;
            }
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Deliver(id, host, _) => self.deliver(i, id, host),
            Action::Drop(id, code) => {
                self.dropped += 1;
                let Some(Held { packet, origin }) = self.packets.remove(&(i, id)) else {
                    return;
                };
                self.lost.insert(packet.key);
                if let Some((j, origin)) = origin {
                    self.after(DELAY_MS, j, Event::PeerDropped(origin, code));
                }
            }
            Action::ForwardPacket(id, packet, to, hint) => self.pass(i, id, packet, to, hint),
            Action::Send(to, msg) => self.send(i, to, msg),
            Action::Reply(id, end) => self.reply(i, id, end),
            Action::ForwardRequest(id, to, task, request) => self.forward(i, id, to, task, request),
            Action::Dispatch(id, host, _, _) => self.dispatch(i, id, host),
            Action::PutView(key, version, view) => {
                let known = self.objects.iter().find(|o| o.key == key);
                if known.map_or(Version(0), |o| o.version) == version {
                    self.write(key, Body::View(view));
                    self.sync();
                }
            }
            Action::Cancel(_) | Action::Watch(_) | Action::Stopped => {}
        }
    }

    fn send(&mut self, i: usize, to: Member, msg: Msg) {
        self.traffic.messages += 1;
        self.traffic.bytes += encoded(&msg);
        let event = Event::Msg(member(i), msg);
        self.after(DELAY_MS, to.vm.0 as usize - 1, event);
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Sends a packet of flow `n` to a VM.
    pub(crate) fn packet(&mut self, i: usize, n: u64, mark: Mark) {
        let packet = Packet {
            key: flow_key(n),
            service: service_address(),
            mark,
        };
        let id = PacketId(self.next_id());
        let origin = None;
        self.packets.insert((i, id), Held { packet, origin });
        self.feed(i, Event::Packet(id, packet));
    }

    fn deliver(&mut self, i: usize, id: PacketId, host: HostId) {
        let Some(Held { packet, origin }) = self.packets.remove(&(i, id)) else {
            return;
        };
        self.flows.insert(packet.key, host);
        if let Some((j, origin)) = origin {
            self.after(DELAY_MS, j, Event::PeerDelivered(origin, packet.key, host));
        }
    }

    fn pass(&mut self, i: usize, id: PacketId, packet: Packet, to: Member, hint: Option<HostId>) {
        let j = to.vm.0 as usize - 1;
        if self.nodes[j].is_none() {
            return self.after(DELAY_MS, i, Event::PeerUnreachable(id, to));
        }
        let there = PacketId(self.next_id());
        self.packets.remove(&(i, id));
        let origin = Some((i, id));
        self.packets.insert((j, there), Held { packet, origin });
        self.after(DELAY_MS, j, Event::PeerPacket(there, packet, hint));
    }

    /// Sends a request to a VM, with a key that it issues if one is needed.
    pub(crate) fn request(&mut self, i: usize) {
        let Some(node) = &mut self.nodes[i] else {
            return;
        };
        let key: IdempotencyKey = node.issue_key();
        let request = Request {
            service: service_id(),
            key: Some(key),
            deadline: Ms(DEADLINE_MS),
        };
        let id = RequestId(self.next_id());
        self.asked.insert((i, id));
        self.feed(i, Event::Request(id, request));
    }

    fn reply(&mut self, i: usize, id: RequestId, end: Outcome) {
        if self.asked.remove(&(i, id)) {
            match end {
                Outcome::Answered(_) => self.replies.answered += 1,
                Outcome::Unknown { .. } | Outcome::Lost => self.replies.unknown += 1,
                _ => self.replies.refused += 1,
            }
        }
        if let Some((j, origin)) = self.relays.remove(&(i, id)) {
            self.after(DELAY_MS, j, Event::PeerReplied(origin, end));
        }
    }

    fn forward(&mut self, i: usize, id: RequestId, to: Member, task: PeerTask, request: Request) {
        let j = to.vm.0 as usize - 1;
        if self.nodes[j].is_none() {
            let end = Outcome::NotStarted {
                after: Ms(0),
                shed: false,
            };
            return self.after(DELAY_MS, i, Event::PeerReplied(id, end));
        }
        let there = RequestId(self.next_id());
        self.relays.insert((j, there), (i, id));
        self.after(DELAY_MS, j, Event::PeerRequest(there, task, request));
    }

    fn dispatch(&mut self, i: usize, id: RequestId, host: HostId) {
        let busy = self.busy.entry(host).or_default();
        *busy += 1;
        self.busiest = self.busiest.max(*busy);
        let answer = TargetResponse {
            // The status tells `note_end` which target answered.
            status: host.0 as u16,
            incarnation: Incarnation(1),
            body: [].into(),
        };
        self.after(
            WORK_MS,
            i,
            Event::DispatchEnded(id, Outcome::Answered(answer)),
        );
    }
}

/// Key of the `n`th flow.
pub(crate) fn flow_key(n: u64) -> FlowKey {
    FlowKey(hash(&n.to_le_bytes()))
}

/// Size of a message as it travels.
pub(crate) fn encoded(msg: &Msg) -> u64 {
    rmp_serde::to_vec(msg).map_or(0, |bytes| bytes.len() as u64)
}
