//! Several nodes, one queue of events, and fakes at their interfaces.

use std::collections::{BTreeMap, BTreeSet};

use burdocklever::{
    hash, Action, Answer, Code, End, Event, FlowKey, Hop, Key, Mark, Ms, Msg, Node, Packet,
    PacketId, ReqId, Request, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{
    Address, Body, Class, DomainId, DomainState, Host, HostId, Incarnation, Limits, Member,
    ObjectKey, Service, ServiceId, State, Version, Vm, VmId,
};

use crate::oracle::{Oracle, Truth, IN_FORCE_MS};
use crate::platform::{Mode, Platform};
use crate::step::{Faults, Step};

/// Entry VMs by failure domain.
const DOMAINS: [(&str, usize); 3] = [("accra", 3), ("tema", 2), ("kumasi", 2)];
/// Targets of each service by failure domain.
const HOSTS: [[usize; 3]; 2] = [[2, 1, 1], [1, 1, 1]];
const SERVICES: [&str; 2] = ["kiosk-ledger", "manifest-desk"];
const FLOWS: u8 = 32;
const KEYS: u8 = 24;
const TICK_MS: u64 = 50;
const POLL_MS: u64 = 500;
const LOOK_MS: u64 = 30_000;
const CALL_TIMEOUT_MS: u64 = 400;
const CONNECT_TIMEOUT_MS: u64 = 300;
const SLOW_MS: u64 = 1500;
/// Lag of the platform's list of VMs.
const LIST_LAG_MS: u64 = 2500;
const RESTART_MS: u64 = 1000;
const WORK_MS: u64 = 40;
const DEADLINE_MS: u64 = 2000;
const WAIT_UNIT_MS: u64 = 32;
/// Time that a case may go on before all service must be back.
const RECOVERY_MS: u64 = 10_000;
/// Largest clock drift in parts per thousand; two clocks differ by twice that.
const DRIFT_MAX: i64 = 7;
/// Chance in percent that a message between VMs arrives twice.
const COPY_PERCENT: u32 = 3;
const LIMITS: Limits = Limits {
    slots: 2,
    conns: 16,
    cold_slots: 1,
    cold_conns: 4,
};
/// Time for which a new target bears only its cold number of flows.
const COLD_MS: u64 = 2000;

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    Work,
    Shed,
    Hang,
    Late,
}

/// A target's process.
#[derive(Debug)]
struct Target {
    address: Address,
    manner: Manner,
    life: Incarnation,
}

/// An entry VM's process.
struct Slot {
    domain: usize,
    member: Member,
    node: Option<Node>,
    paused: bool,
    backlog: Vec<Event>,
    watching: bool,
    drift: i64,
    /// Since when it can learn of changes in time.
    clear: Option<u64>,
    last_id: u64,
    looked: u64,
}

/// What waits for its time.
enum Due {
    Tick(usize, Member),
    Poll(usize, Member),
    Feed(usize, Member, Event),
    /// A passed packet was not answered in time.
    PassLate(usize, Member, PacketId, Member),
    Finish(usize, Member, ReqId, HostId, End),
    Lapse(Member),
    Start(usize),
    List(usize, Member),
    Put(ObjectKey, Version, Body),
    Occupy(HostId),
}

/// A request of a caller.
struct Asked {
    key: Option<u64>,
    body: Vec<u8>,
}

/// A request on its way between two VMs.
struct Relay {
    from: usize,
    member: Member,
    id: ReqId,
}

/// The nodes and what is around them.
pub struct World {
    now: u64,
    seq: u64,
    queue: BTreeMap<(u64, u64), Due>,
    rng: ChaCha8Rng,
    faults: Faults,
    slots: Vec<Slot>,
    platform: Platform,
    targets: BTreeMap<HostId, Target>,
    at: BTreeMap<Address, HostId>,
    hosts: Vec<HostId>,
    cuts: BTreeSet<(usize, usize)>,
    no_platform: BTreeSet<usize>,
    packets: BTreeMap<(usize, PacketId), Packet>,
    passes: BTreeMap<(usize, PacketId), (usize, Member, PacketId)>,
    passing: BTreeSet<(usize, PacketId)>,
    asked: BTreeMap<(usize, ReqId), Asked>,
    relays: BTreeMap<(usize, ReqId), Relay>,
    works: BTreeMap<(usize, ReqId), (Option<u64>, Vec<u8>)>,
    issued: BTreeMap<u8, Key>,
    ports: BTreeMap<u8, u8>,
    changed: BTreeMap<u64, Version>,
    seen: BTreeMap<(usize, ObjectKey), Version>,
    oracle: Oracle,
    /// Prints events and actions up to the first violation.
    pub trace: bool,
}

fn domain_id(i: usize) -> DomainId {
    DOMAINS[i].0.parse().unwrap()
}

fn service_id(i: usize) -> ServiceId {
    SERVICES[i].parse().unwrap()
}

fn service_address(i: usize) -> Address {
    Address::from(([10, 0, 0, 1], 9000 + i as u16))
}

impl World {
    /// A deployment whose VMs have all started and settled.
    pub fn open(seed: u64, faults: Faults) -> World {
        let mut world = World {
            now: 1000,
            seq: 0,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            faults,
            slots: Vec::new(),
            platform: Platform::new(),
            targets: BTreeMap::new(),
            at: BTreeMap::new(),
            hosts: Vec::new(),
            cuts: BTreeSet::new(),
            no_platform: BTreeSet::new(),
            packets: BTreeMap::new(),
            passes: BTreeMap::new(),
            passing: BTreeSet::new(),
            asked: BTreeMap::new(),
            relays: BTreeMap::new(),
            works: BTreeMap::new(),
            issued: BTreeMap::new(),
            ports: BTreeMap::new(),
            changed: BTreeMap::new(),
            seen: BTreeMap::new(),
            oracle: Oracle::default(),
            trace: false,
        };
        world.write_catalogue();
        for (domain, (_, count)) in DOMAINS.iter().enumerate() {
            for _ in 0..*count {
                world.add_vm(domain);
            }
        }
        world.run_for(8000);
        world
    }

    fn write_catalogue(&mut self) {
        for (i, once) in [(0, true), (1, false)] {
            let service = Service {
                owner: "desk".into(),
                class: if once { Class::Critical } else { Class::Bulk },
                address: service_address(i),
                limits: LIMITS,
                once,
                deadline_ms: DEADLINE_MS,
            };
            let key = ObjectKey::new("service", SERVICES[i]);
            self.platform.write(key, Body::Service(service));
        }
        for (service, counts) in HOSTS.iter().enumerate() {
            for (domain, count) in counts.iter().enumerate() {
                for _ in 0..*count {
                    let address = Address::from(([10, 1, 0, 1], 1 + self.hosts.len() as u16));
                    let id = self.add_host(service, domain, address);
                    self.hosts.push(id);
                }
            }
        }
    }

    fn add_host(&mut self, service: usize, domain: usize, address: Address) -> HostId {
        let id = HostId(1 + self.targets.len() as u64);
        let truth = Truth {
            service,
            domain: domain_id(domain),
            slots: LIMITS.slots as usize,
            conns: LIMITS.conns as usize,
            cold_slots: LIMITS.cold_slots as usize,
            cold_conns: LIMITS.cold_conns as usize,
            running: BTreeSet::new(),
            answers: 0,
            cold_until: self.now + COLD_MS,
            silent_turn: false,
            leaving: None,
            gone: false,
        };
        self.oracle.truths.insert(id, truth);
        let target = Target {
            address,
            manner: Manner::Work,
            life: Incarnation(1),
        };
        self.targets.insert(id, target);
        self.at.insert(address, id);
        self.list_host(id, State::Live);
        id
    }

    fn list_host(&mut self, id: HostId, state: State) {
        let truth = &self.oracle.truths[&id];
        let host = Host {
            id,
            service: service_id(truth.service),
            domain: truth.domain.clone(),
            address: self.targets[&id].address,
            state,
        };
        self.write(ObjectKey::new("host", id), Body::Host(host));
    }

    fn add_vm(&mut self, domain: usize) {
        let vm = VmId(1 + self.slots.len() as u32);
        let drift = self.rng.random_range(-DRIFT_MAX..=DRIFT_MAX);
        self.slots.push(Slot {
            domain,
            member: Member {
                vm,
                life: Incarnation(0),
            },
            node: None,
            paused: false,
            backlog: Vec::new(),
            watching: true,
            drift,
            clear: None,
            last_id: 0,
            looked: 0,
        });
        self.start(self.slots.len() - 1);
    }

    fn start(&mut self, i: usize) {
        if self.slots[i].node.is_some() {
            return;
        }
        let now = self.local(i);
        let slot = &mut self.slots[i];
        slot.member.life = Incarnation(slot.member.life.0 + 1);
        slot.node = Some(Node::new(now, slot.member, domain_id(slot.domain)));
        slot.paused = false;
        slot.watching = true;
        slot.backlog.clear();
        let member = slot.member;
        self.seen.retain(|(vm, _), _| *vm != i);
        self.after(0, Due::List(i, member));
        self.after(1, Due::Tick(i, member));
        self.after(2, Due::Poll(i, member));
        self.refresh_clear();
    }

    fn list_vm(&mut self, i: usize, member: Member, state: State) {
        let port = 1 + i as u16;
        let vm = Vm {
            member,
            domain: domain_id(self.slots[i].domain),
            datagram: Address::from(([10, 2, 0, 1], port)),
            peer: Address::from(([10, 2, 0, 2], port)),
            http: Address::from(([10, 2, 0, 3], port)),
            state,
        };
        self.write(ObjectKey::new("vm", member.vm), Body::Vm(vm));
    }

    /// A VM's clock, which drifts.
    fn local(&self, i: usize) -> Time {
        let drift = self.slots[i].drift;
        Time((self.now as i64 + self.now as i64 * drift / 1000) as u64)
    }

    fn after(&mut self, ms: u64, due: Due) {
        self.seq += 1;
        self.queue.insert((self.now + ms, self.seq), due);
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let due = entry.remove();
            self.now = self.now.max(at);
            self.carry_out(due);
        }
        self.now = end;
    }

    fn carry_out(&mut self, due: Due) {
        match due {
            Due::Tick(i, member) => {
                if self.is_alive(i, member) {
                    self.after(TICK_MS, Due::Tick(i, member));
                    if !self.slots[i].paused {
                        self.feed(i, Event::Tick);
                        self.check_versions(i);
                    }
                }
            }
            Due::Poll(i, member) => self.poll(i, member),
            Due::Feed(i, member, event) => {
                if self.is_alive(i, member) {
                    self.feed(i, event);
                }
            }
            Due::PassLate(i, member, id, to) => {
                if self.passing.remove(&(i, id)) && self.is_alive(i, member) {
                    self.feed(i, Event::PassFailed(id, to));
                }
            }
            Due::Finish(i, member, id, host, end) => self.finish(i, member, id, host, end),
            Due::Lapse(member) => self.lapse(member),
            Due::Start(i) => self.start(i),
            Due::List(i, member) => {
                if self.platform_answers(self.slots[i].domain) {
                    if self.is_alive(i, member) {
                        self.list_vm(i, member, State::Live);
                    }
                } else {
                    self.after(POLL_MS, Due::List(i, member));
                }
            }
            Due::Put(key, version, body) => {
                if self.platform.mode != Mode::Down && self.platform.put(key, version, body) {
                    self.announce();
                }
            }
            Due::Occupy(old) => self.occupy(old),
        }
    }

    fn is_alive(&self, i: usize, member: Member) -> bool {
        self.slots[i].member == member && self.slots[i].node.is_some()
    }

    fn platform_answers(&self, domain: usize) -> bool {
        self.platform.mode != Mode::Down && !self.no_platform.contains(&domain)
    }

    /// The platform's list says that a VM has ended, some time after it did.
    fn lapse(&mut self, member: Member) {
        if self.platform.mode == Mode::Down {
            self.after(POLL_MS, Due::Lapse(member));
            return;
        }
        let key = ObjectKey::new("vm", member.vm);
        let listed = matches!(self.platform.get(&key), Some(Body::Vm(v)) if v.member == member);
        if listed {
            self.list_vm(member.vm.0 as usize - 1, member, State::Gone);
        }
    }

    fn poll(&mut self, i: usize, member: Member) {
        if !self.is_alive(i, member) {
            return;
        }
        self.after(POLL_MS, Due::Poll(i, member));
        let slot = &self.slots[i];
        let through = slot
            .node
            .as_ref()
            .map_or(Version(0), |n| n.catalogue().through());
        let look = self.now >= slot.looked + LOOK_MS;
        if slot.watching || through == Version(0) || look {
            self.slots[i].looked = self.now;
            self.sync(i);
        }
    }

    /// Sends what is new to a VM that watches.
    fn sync(&mut self, i: usize) {
        let slot = &self.slots[i];
        if !self.platform_answers(slot.domain) {
            return;
        }
        let Some(node) = &slot.node else { return };
        let through = node.catalogue().through();
        if through >= self.platform.version() {
            return;
        }
        let delta = self.platform.delta(through);
        let late = if self.platform.mode == Mode::Slow {
            SLOW_MS
        } else {
            5
        };
        let member = slot.member;
        self.after(late, Due::Feed(i, member, Event::Synced(delta)));
    }

    /// Writes an object and tells the watchers.
    fn write(&mut self, key: ObjectKey, body: Body) {
        self.platform.write(key, body);
        self.announce();
    }

    fn announce(&mut self) {
        self.changed.insert(self.now, self.platform.version());
        for i in 0..self.slots.len() {
            if self.slots[i].watching {
                self.sync(i);
            }
        }
    }

    fn feed(&mut self, i: usize, event: Event) {
        if self.slots[i].paused {
            self.slots[i].backlog.push(event);
            return;
        }
        let now = self.local(i);
        let Some(node) = &mut self.slots[i].node else {
            return;
        };
        let trace = self.trace && self.oracle.wrong.is_empty();
        if trace && !is_routine(&event) {
            println!("  {} VM {} < {event:?}", self.now, i + 1);
        }
        node.feed(now, event);
        let actions: Vec<Action> = std::iter::from_fn(|| node.pull()).collect();
        for action in actions {
            if trace && !is_routine_action(&action) {
                println!("  {} VM {} > {action:?}", self.now, i + 1);
            }
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        let member = self.slots[i].member;
        match action {
            Action::Deliver(id, _, address) => self.deliver(i, id, address),
            Action::Pass(id, packet, to, hint) => self.pass(i, id, packet, to, hint),
            Action::Drop(id, code) => self.drop_packet(i, id, code),
            Action::Send(to, msg) => self.send(i, to, msg),
            Action::Reply(id, end) => self.reply(i, id, end),
            Action::Forward(id, to, hop, request) => self.forward(i, id, to, hop, request),
            Action::Dispatch(id, _, address, budget) => self.dispatch(i, id, address, budget),
            Action::Cancel(id) => self.cancel(i, id),
            Action::PutView(key, version, view) => {
                if self.platform_answers(self.slots[i].domain) {
                    let late = if self.platform.mode == Mode::Slow {
                        SLOW_MS
                    } else {
                        5
                    };
                    self.after(late, Due::Put(key, version, Body::View(view)));
                }
            }
            Action::Watch(on) => {
                self.slots[i].watching = on;
                if on {
                    self.sync(i);
                }
            }
            Action::Stopped => self.stopped(i, member),
        }
    }

    fn linked(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Whether a VM and the targets of a failure domain reach each other.
    fn reaches(&self, vm: usize, domain: &DomainId) -> bool {
        let own = self.slots[vm].domain;
        if domain_id(own) == *domain {
            return true;
        }
        let there = (0..self.slots.len()).find(|i| domain_id(self.slots[*i].domain) == *domain);
        there.is_some_and(|other| self.linked(vm, other) && self.linked(other, vm))
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..6)
    }

    fn index(&self, member: Member) -> usize {
        member.vm.0 as usize - 1
    }

    fn send(&mut self, i: usize, to: Member, msg: Msg) {
        let j = self.index(to);
        if !self.linked(i, j) || !self.is_alive(j, to) {
            return;
        }
        let from = self.slots[i].member;
        let copies = 1 + u32::from(self.rng.random_range(0..100) < COPY_PERCENT);
        for _ in 0..copies {
            let late = self.latency();
            let event = Event::Msg(from, msg.clone());
            self.after(late, Due::Feed(j, to, event));
        }
    }

    fn deliver(&mut self, i: usize, id: PacketId, address: Address) {
        let Some(packet) = self.packets.remove(&(i, id)) else {
            return;
        };
        let Some(host) = self.at.get(&address).copied() else {
            return self.answer_pass(i, id, None, packet);
        };
        let domain = self.oracle.truths[&host].domain.clone();
        if self.reaches(i, &domain) {
            let service = (0..2)
                .find(|s| service_address(*s) == packet.service)
                .unwrap();
            let prompt = self.is_prompt(i);
            let first = packet.mark == Mark::First;
            self.oracle
                .packet(self.now, packet.key, first, service, host, prompt);
            if packet.mark == Mark::Last {
                self.oracle.last(packet.key);
            }
        }
        self.answer_pass(i, id, Some(host), packet);
    }

    fn answer_pass(&mut self, i: usize, id: PacketId, host: Option<HostId>, packet: Packet) {
        let Some((from, member, origin)) = self.passes.remove(&(i, id)) else {
            return;
        };
        if !self.linked(i, from) || !self.passing.remove(&(from, origin)) {
            return;
        }
        let event = match host {
            Some(host) => Event::PassDone(origin, packet.key, host),
            None => Event::PassDropped(origin, Code::FlowEnded),
        };
        let late = self.latency();
        self.after(late, Due::Feed(from, member, event));
    }

    fn pass(&mut self, i: usize, id: PacketId, packet: Packet, to: Member, hint: Option<HostId>) {
        let j = self.index(to);
        let member = self.slots[i].member;
        self.passing.insert((i, id));
        let down = !self.is_alive(j, to) || !self.linked(i, j);
        let wait = if down {
            CONNECT_TIMEOUT_MS
        } else {
            CALL_TIMEOUT_MS
        };
        self.after(wait, Due::PassLate(i, member, id, to));
        if down {
            return;
        }
        let there = self.next_packet(j, packet);
        self.passes.insert((j, there), (i, member, id));
        let late = self.latency();
        self.after(late, Due::Feed(j, to, Event::Passed(there, packet, hint)));
    }

    fn next_packet(&mut self, i: usize, packet: Packet) -> PacketId {
        self.slots[i].last_id += 1;
        let id = PacketId(self.slots[i].last_id);
        self.packets.insert((i, id), packet);
        id
    }

    fn drop_packet(&mut self, i: usize, id: PacketId, code: Code) {
        let Some(packet) = self.packets.remove(&(i, id)) else {
            return;
        };
        if code == Code::NoFlow {
            self.oracle.dropped(self.now, packet.key);
        }
        let Some((from, member, origin)) = self.passes.remove(&(i, id)) else {
            return;
        };
        if self.linked(i, from) && self.passing.remove(&(from, origin)) {
            let late = self.latency();
            self.after(
                late,
                Due::Feed(from, member, Event::PassDropped(origin, code)),
            );
        }
    }

    fn reply(&mut self, i: usize, id: ReqId, end: End) {
        if let Some(asked) = self.asked.remove(&(i, id)) {
            self.oracle.reply(self.now, asked.key, &asked.body, &end);
        }
        if let Some(relay) = self.relays.remove(&(i, id)) {
            let end = if self.linked(i, relay.from) {
                end
            } else {
                End::Unknown { after: Ms(0) }
            };
            let late = self.latency();
            let event = Event::Forwarded(relay.id, end);
            self.after(late, Due::Feed(relay.from, relay.member, event));
        }
    }

    fn forward(&mut self, i: usize, id: ReqId, to: Member, hop: Hop, request: Request) {
        let j = self.index(to);
        let member = self.slots[i].member;
        if !self.is_alive(j, to) || !self.linked(i, j) || !self.linked(j, i) {
            let end = End::NotStarted {
                after: Ms(200),
                shed: false,
            };
            let event = Event::Forwarded(id, end);
            return self.after(CONNECT_TIMEOUT_MS, Due::Feed(i, member, event));
        }
        let Some(work) = self.works.get(&(i, id)).cloned() else {
            return;
        };
        self.slots[j].last_id += 1;
        let there = ReqId(self.slots[j].last_id);
        self.works.insert((j, there), work);
        let from = i;
        self.relays.insert((j, there), Relay { from, member, id });
        let late = self.latency();
        self.after(late, Due::Feed(j, to, Event::Work(there, hop, request)));
    }

    fn dispatch(&mut self, i: usize, id: ReqId, address: Address, budget: Ms) {
        let member = self.slots[i].member;
        let not_started = |shed| End::NotStarted { after: Ms(0), shed };
        let Some(host) = self.at.get(&address).copied() else {
            let event = Event::Ended(id, not_started(false));
            return self.after(1, Due::Feed(i, member, event));
        };
        let domain = self.oracle.truths[&host].domain.clone();
        if !self.reaches(i, &domain) {
            let event = Event::Ended(id, not_started(false));
            return self.after(CONNECT_TIMEOUT_MS, Due::Feed(i, member, event));
        }
        let (key, body) = self.works.get(&(i, id)).cloned().unwrap_or_default();
        let manner = self.targets[&host].manner;
        if manner == Manner::Shed {
            let event = Event::Ended(id, not_started(true));
            return self.after(2, Due::Feed(i, member, event));
        }
        let prompt = self.is_prompt(i);
        self.oracle
            .start(self.now, host, (member, id.0), key, prompt);
        let answer = Answer {
            status: 200,
            life: self.targets[&host].life,
            body: body.into(),
        };
        let late = End::Unknown { after: Ms(0) };
        let (wait, end) = match manner {
            Manner::Work | Manner::Shed => (WORK_MS, End::Answered(answer)),
            Manner::Late => (budget.0 / 2, End::Answered(answer)),
            Manner::Hang => (budget.0 + 1, late.clone()),
        };
        let (wait, end) = if wait <= budget.0 {
            (wait, end)
        } else {
            (budget.0, late)
        };
        self.after(wait, Due::Finish(i, member, id, host, end));
    }

    /// A request ends at its target, unless it was cancelled before.
    fn finish(&mut self, i: usize, member: Member, id: ReqId, host: HostId, end: End) {
        let by = (member, id.0);
        let running = self
            .oracle
            .truths
            .get(&host)
            .is_some_and(|t| t.running.contains(&by));
        if !running {
            return;
        }
        self.oracle.end(host, by, matches!(end, End::Answered(_)));
        if self.is_alive(i, member) {
            self.after(1, Due::Feed(i, member, Event::Ended(id, end)));
        }
    }

    fn cancel(&mut self, i: usize, id: ReqId) {
        let by = (self.slots[i].member, id.0);
        let host = self
            .oracle
            .truths
            .iter()
            .find(|(_, t)| t.running.contains(&by));
        if let Some(host) = host.map(|(id, _)| *id) {
            self.finish(i, by.0, id, host, End::Unknown { after: Ms(0) });
        }
    }

    /// A VM says that it may exit.
    fn stopped(&mut self, i: usize, member: Member) {
        let busy = self.oracle.truths.values().flat_map(|t| &t.running);
        let cut = busy.filter(|(by, _)| *by == member).count();
        let open = self.asked.keys().filter(|(vm, _)| *vm == i).count();
        self.oracle.must(cut == 0 && open == 0, self.now, || {
            format!(
                "9: VM {} stopped with {cut} requests running and {open} open",
                member.vm
            )
        });
        self.end_vm(i);
        self.list_vm_if_reached(i, member);
        self.after(RESTART_MS, Due::Start(i));
    }

    fn list_vm_if_reached(&mut self, i: usize, member: Member) {
        if self.platform_answers(self.slots[i].domain) {
            self.list_vm(i, member, State::Gone);
        } else {
            self.after(LIST_LAG_MS, Due::Lapse(member));
        }
    }

    /// A VM's process ends: its connections break.
    fn end_vm(&mut self, i: usize) {
        let member = self.slots[i].member;
        self.slots[i].node = None;
        self.slots[i].paused = false;
        for truth in self.oracle.truths.values_mut() {
            truth.running.retain(|(by, _)| *by != member);
        }
        self.asked.retain(|(vm, _), _| *vm != i);
        self.packets.retain(|(vm, _), _| *vm != i);
        self.passing.retain(|(vm, _)| *vm != i);
        self.works.retain(|(vm, _), _| *vm != i);
        let broken: Vec<(usize, ReqId)> = self
            .relays
            .keys()
            .filter(|(vm, _)| *vm == i)
            .copied()
            .collect();
        for place in broken {
            if let Some(relay) = self.relays.remove(&place) {
                let event = Event::Forwarded(relay.id, End::Unknown { after: Ms(0) });
                self.after(1, Due::Feed(relay.from, relay.member, event));
            }
        }
        self.refresh_clear();
    }

    /// Keeps track of which VMs can learn of changes in time.
    fn refresh_clear(&mut self) {
        let direct: Vec<bool> = (0..DOMAINS.len())
            .map(|d| self.platform.mode == Mode::Up && !self.no_platform.contains(&d))
            .collect();
        for i in 0..self.slots.len() {
            let slot = &self.slots[i];
            let through_other = (0..self.slots.len()).any(|j| {
                let other = &self.slots[j];
                direct[other.domain]
                    && other.node.is_some()
                    && !other.paused
                    && other.clear.is_some()
                    && self.linked(i, j)
                    && self.linked(j, i)
            });
            let near_ok = (0..self.slots.len()).all(|j| {
                self.slots[j].domain != slot.domain || (self.linked(i, j) && self.linked(j, i))
            });
            let ok = slot.node.is_some()
                && !slot.paused
                && near_ok
                && (direct[slot.domain] || through_other);
            let clear = if ok {
                slot.clear.or(Some(self.now))
            } else {
                None
            };
            self.slots[i].clear = clear;
        }
    }

    /// Whether a VM could know every change accepted more than 4 s ago.
    fn is_prompt(&self, i: usize) -> bool {
        self.slots[i]
            .clear
            .is_some_and(|at| self.now >= at + IN_FORCE_MS)
    }

    /// Point 10: accepted changes are in force in time, and nothing reverts.
    fn check_versions(&mut self, i: usize) {
        let Some(node) = &self.slots[i].node else {
            return;
        };
        let through = node.catalogue().through();
        let mut reverted = None;
        for object in node.catalogue().objects() {
            let place = (i, object.key.clone());
            let before = self.seen.get(&place).copied().unwrap_or_default();
            if object.version < before {
                reverted = Some(object.key.clone());
            }
            self.seen.insert(place, object.version);
        }
        let now = self.now;
        self.oracle.must(reverted.is_none(), now, || {
            format!("10: {reverted:?} reverted")
        });
        // A VM without a catalogue takes no traffic, so nothing is in force there.
        if !self.is_prompt(i) || through == Version(0) {
            return;
        }
        let due = self
            .changed
            .range(..now.saturating_sub(IN_FORCE_MS))
            .next_back();
        if let Some((at, version)) = due.map(|(at, version)| (*at, *version)) {
            self.oracle.must(through >= version, now, || {
                format!(
                    "10: VM {} at {through}, {version} accepted at {at} ms",
                    i + 1
                )
            });
        }
    }

    /// Carries out one step and a little time.
    pub fn step(&mut self, step: &Step) {
        const STEP_MS: u64 = 10;
        if self.faults.allows(step) {
            self.cause(*step);
        }
        self.run_for(STEP_MS);
    }

    fn cause(&mut self, step: Step) {
        match step {
            Step::Wait(n) => self.run_for(u64::from(n) * WAIT_UNIT_MS),
            Step::Packet { flow, vm, copy } => {
                self.send_packet(flow, vm, false);
                if copy {
                    self.send_packet(flow, vm.wrapping_add(1), false);
                }
            }
            Step::Burst { flow } => {
                for n in 0..self.slots.len() as u8 {
                    self.send_packet(flow.wrapping_add(n % 4), n, false);
                }
            }
            Step::Last { flow, vm } => self.send_packet(flow, vm, true),
            Step::Issued { key, vm } => self.send_issued(key % KEYS, vm),
            Step::Made { key, vm } => {
                let key = key % KEYS;
                let made = Key::Made(hash(&[key]));
                self.send_request(0, Some(made), vm);
            }
            Step::Plain { vm } => self.send_request(1, None, vm),
            Step::Kill { vm } => self.kill(vm),
            Step::Pause { vm } => self.pause(vm),
            Step::Stop { vm } => {
                let i = self.pick_vm(vm);
                self.feed(i, Event::Stop);
            }
            Step::Cut { from, to, both } => self.cut(from, to, both),
            Step::CutPlatform { domain } => {
                self.oracle.disturbed = true;
                self.no_platform.insert(usize::from(domain) % DOMAINS.len());
                self.refresh_clear();
            }
            Step::Heal => {
                self.cuts.clear();
                self.no_platform.clear();
                self.refresh_clear();
            }
            Step::Platform { mode } => self.set_platform(mode),
            Step::Domain { domain } => self.turn_domain(usize::from(domain) % DOMAINS.len()),
            Step::Drain { host } => self.drain(host),
            Step::Reuse { host } => self.reuse(host),
            Step::Cold { host } => self.turn_cold(host),
            Step::Mode { host, mode } => {
                let host = self.pick_host(host);
                let target = self.targets.get_mut(&host).unwrap();
                target.manner =
                    [Manner::Work, Manner::Shed, Manner::Hang, Manner::Late][usize::from(mode % 4)];
            }
        }
    }

    fn pick_vm(&self, vm: u8) -> usize {
        usize::from(vm) % self.slots.len()
    }

    fn pick_host(&self, host: u8) -> HostId {
        self.hosts[usize::from(host) % self.hosts.len()]
    }

    fn send_packet(&mut self, flow: u8, vm: u8, last: bool) {
        let flow = flow % FLOWS;
        let i = self.pick_vm(vm);
        if self.slots[i].node.is_none() {
            return;
        }
        let key = self.flow_key(flow);
        let mark = match (self.oracle.host_of(key), last) {
            (None, true) => return,
            (None, false) => Mark::First,
            (Some(_), true) => Mark::Last,
            (Some(_), false) => Mark::Later,
        };
        let service = service_address(usize::from(flow) % 2);
        let packet = Packet { key, service, mark };
        let id = self.next_packet(i, packet);
        self.feed(i, Event::Packet(id, packet));
    }

    /// Key of a caller's flow. A caller opens its next flow from another port.
    fn flow_key(&mut self, flow: u8) -> FlowKey {
        let port = self.ports.entry(flow).or_default();
        if self.oracle.has_ended(FlowKey(hash(&[flow, *port]))) {
            *port = port.wrapping_add(1);
        }
        FlowKey(hash(&[flow, *port]))
    }

    fn send_issued(&mut self, key: u8, vm: u8) {
        let i = self.pick_vm(vm);
        let issued = match self.issued.get(&key) {
            Some(issued) => *issued,
            None => {
                let paused = self.slots[i].paused;
                let Some(node) = self.slots[i].node.as_mut().filter(|_| !paused) else {
                    return;
                };
                let issued = node.issue_key();
                self.issued.insert(key, issued);
                issued
            }
        };
        self.send_request(0, Some(issued), vm);
    }

    fn send_request(&mut self, service: usize, key: Option<Key>, vm: u8) {
        let i = self.pick_vm(vm);
        if self.slots[i].node.is_none() {
            return;
        }
        self.oracle.tally.requests += 1;
        self.slots[i].last_id += 1;
        let id = ReqId(self.slots[i].last_id);
        let hash = key.map(|k| k.hash());
        let body = match hash {
            Some(hash) => hash.to_be_bytes().to_vec(),
            None => format!("{i}-{}", id.0).into_bytes(),
        };
        let asked = Asked {
            key: hash,
            body: body.clone(),
        };
        self.asked.insert((i, id), asked);
        self.works.insert((i, id), (hash, body));
        let request = Request {
            service: service_id(service),
            key,
            deadline: Ms(DEADLINE_MS),
        };
        self.feed(i, Event::Request(id, request));
    }

    fn kill(&mut self, vm: u8) {
        let i = self.pick_vm(vm);
        if self.slots[i].node.is_none() {
            return self.start(i);
        }
        self.oracle.disturbed = true;
        let member = self.slots[i].member;
        self.end_vm(i);
        self.after(LIST_LAG_MS, Due::Lapse(member));
    }

    fn pause(&mut self, vm: u8) {
        let i = self.pick_vm(vm);
        if self.slots[i].node.is_none() {
            return;
        }
        self.oracle.disturbed = true;
        self.slots[i].paused = !self.slots[i].paused;
        if !self.slots[i].paused {
            for event in std::mem::take(&mut self.slots[i].backlog) {
                self.feed(i, event);
            }
        }
        self.refresh_clear();
    }

    fn cut(&mut self, from: u8, to: u8, both: bool) {
        self.oracle.disturbed = true;
        let (from, to) = (
            usize::from(from) % DOMAINS.len(),
            usize::from(to) % DOMAINS.len(),
        );
        let of = |domain: usize| {
            let all = self.slots.iter().enumerate();
            let there = all.filter(move |(_, s)| s.domain == domain);
            there.map(|(i, _)| i).collect::<Vec<usize>>()
        };
        let (senders, receivers) = if from == to {
            // Within a failure domain, the link between two VMs.
            let vms = of(from);
            (vec![vms[0]], vec![vms[1]])
        } else {
            (of(from), of(to))
        };
        for a in &senders {
            for b in &receivers {
                self.cuts.insert((*a, *b));
                if both {
                    self.cuts.insert((*b, *a));
                }
            }
        }
        self.refresh_clear();
    }

    fn set_platform(&mut self, mode: u8) {
        self.oracle.disturbed = true;
        self.platform.mode = [Mode::Up, Mode::Down, Mode::Slow, Mode::Lose][usize::from(mode % 4)];
        self.refresh_clear();
    }

    fn turn_domain(&mut self, domain: usize) {
        if self.platform.mode == Mode::Down {
            return;
        }
        let id = domain_id(domain);
        let state = if self.oracle.out.remove(&id).is_some() {
            DomainState::In
        } else {
            self.oracle.take_out(self.now, &id);
            DomainState::Out
        };
        self.write(ObjectKey::new("domain", &id), Body::Domain { state });
    }

    fn drain(&mut self, host: u8) {
        let id = self.pick_host(host);
        if self.platform.mode == Mode::Down || self.oracle.truths[&id].gone {
            return;
        }
        let truth = self.oracle.truths.get_mut(&id).unwrap();
        let state = if truth.leaving.take().is_some() {
            State::Live
        } else {
            truth.leaving = Some(self.now);
            State::Leaving
        };
        self.list_host(id, state);
    }

    /// A target ends. Its address is free for another once every VM knows.
    fn reuse(&mut self, host: u8) {
        let id = self.pick_host(host);
        if self.platform.mode == Mode::Down || self.oracle.truths[&id].gone {
            return;
        }
        let address = self.targets[&id].address;
        self.at.remove(&address);
        self.break_off(id);
        self.oracle.truths.get_mut(&id).unwrap().gone = true;
        self.list_host(id, State::Gone);
        self.after(IN_FORCE_MS + 1, Due::Occupy(id));
    }

    fn occupy(&mut self, old: HostId) {
        let all_know =
            (0..self.slots.len()).all(|i| self.slots[i].node.is_none() || self.is_prompt(i));
        if !all_know || self.platform.mode == Mode::Down {
            return self.after(POLL_MS, Due::Occupy(old));
        }
        let truth = &self.oracle.truths[&old];
        let domain = (0..DOMAINS.len())
            .find(|d| domain_id(*d) == truth.domain)
            .unwrap();
        let service = 1 - truth.service;
        let address = self.targets[&old].address;
        let id = self.add_host(service, domain, address);
        let place = self.hosts.iter().position(|h| *h == old);
        if let Some(place) = place {
            self.hosts[place] = id;
        }
    }

    fn turn_cold(&mut self, host: u8) {
        let id = self.pick_host(host);
        if self.oracle.truths[&id].gone {
            return;
        }
        self.break_off(id);
        let target = self.targets.get_mut(&id).unwrap();
        target.life = Incarnation(target.life.0 + 1);
        let truth = self.oracle.truths.get_mut(&id).unwrap();
        truth.answers = 0;
        truth.silent_turn = true;
    }

    /// Breaks the connections of all requests in progress at a target.
    fn break_off(&mut self, id: HostId) {
        let running: Vec<(Member, u64)> = self.oracle.truths[&id].running.iter().copied().collect();
        for (member, req) in running {
            let i = self.index(member);
            let end = End::Unknown { after: Ms(0) };
            self.finish(i, member, ReqId(req), id, end);
        }
    }

    /// Takes all faults back and checks that all service returns.
    pub fn close(mut self) -> Oracle {
        self.cuts.clear();
        self.no_platform.clear();
        self.platform.mode = Mode::Up;
        for target in self.targets.values_mut() {
            target.manner = Manner::Work;
        }
        for i in 0..self.slots.len() {
            if self.slots[i].paused {
                self.pause(i as u8);
            }
            self.start(i);
        }
        self.refresh_clear();
        for domain in 0..DOMAINS.len() {
            if self.oracle.out.contains_key(&domain_id(domain)) {
                self.turn_domain(domain);
            }
        }
        self.run_for(RECOVERY_MS);
        for i in 0..self.slots.len() {
            self.probe(i);
        }
        self.oracle
    }

    /// Each VM serves a request of either kind, and opens a flow.
    fn probe(&mut self, i: usize) {
        const TRIES: u8 = 8;
        const PAUSE_MS: u64 = 500;
        let name = format!("VM {}", i + 1);
        let free = |world: &World, service: usize| {
            world
                .oracle
                .truths
                .values()
                .any(|t| t.service == service && !t.gone && t.leaving.is_none())
        };
        for (service, what) in [(0, "request with an issued key"), (1, "plain request")] {
            let before = self.oracle.tally.answered;
            for _ in 0..TRIES {
                let key = match (service, &mut self.slots[i].node) {
                    (0, Some(node)) => Some(node.issue_key()),
                    _ => None,
                };
                self.send_request(service, key, i as u8);
                self.run_for(PAUSE_MS);
                if self.oracle.tally.answered > before {
                    break;
                }
            }
            let served = self.oracle.tally.answered > before || !free(self, service);
            let now = self.now;
            self.oracle.must(served, now, || {
                format!("availability: {name}, no {what} served")
            });
        }
    }
}

fn is_routine(event: &Event) -> bool {
    match event {
        Event::Tick | Event::Synced(_) => true,
        Event::Msg(_, msg) => is_routine_msg(msg),
        _ => false,
    }
}

fn is_routine_action(action: &Action) -> bool {
    matches!(action, Action::Send(_, msg) if is_routine_msg(msg))
}

fn is_routine_msg(msg: &Msg) -> bool {
    matches!(
        msg,
        Msg::Heartbeat(_) | Msg::Hello { .. } | Msg::Pull { .. } | Msg::Delta(_)
    )
}
