//! Several nodes, one queue of events, and fakes at their interfaces.

use std::collections::{BTreeMap, BTreeSet};

use burdocklever::{
    Action, Event, IdempotencyKey, Ms, Msg, Node, Outcome, Packet, PacketId, RequestId, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{
    Address, Body, Class, DomainId, Host, HostId, Incarnation, Lifecycle, Limits, Member,
    ObjectKey, Service, ServiceId, Version, Vm, VmId,
};

use crate::oracle::{Oracle, Truth, IN_FORCE_MS};
use crate::platform::{Mode, Platform};
use crate::step::{Faults, Step};

/// Entry VMs by failure domain.
pub(crate) const DOMAINS: [(&str, usize); 3] = [("accra", 3), ("tema", 2), ("kumasi", 2)];
/// Targets of each service by failure domain.
pub(crate) const HOSTS: [[usize; 3]; 2] = [[2, 1, 1], [1, 1, 1]];
pub(crate) const SERVICES: [&str; 2] = ["kiosk-ledger", "manifest-desk"];
pub(crate) const FLOWS: u8 = 32;
pub(crate) const KEYS: u8 = 24;
pub(crate) const TICK_MS: u64 = 50;
pub(crate) const POLL_MS: u64 = 500;
pub(crate) const LOOK_MS: u64 = 30_000;
pub(crate) const CALL_TIMEOUT_MS: u64 = 400;
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 300;
pub(crate) const SLOW_MS: u64 = 1500;
/// Lag of the platform's list of VMs.
pub(crate) const LIST_LAG_MS: u64 = 2500;
/// Time that a fleet runs before the first step.
pub(crate) const FRESH_MS: u64 = 8000;
pub(crate) const SETTLED_MS: u64 = 130_000;
pub(crate) const RESTART_MS: u64 = 1000;
pub(crate) const WORK_MS: u64 = 40;
pub(crate) const DEADLINE_MS: u64 = 2000;
pub(crate) const WAIT_UNIT_MS: u64 = 32;
/// Time that a case may go on before all service must be back.
pub(crate) const RECOVERY_MS: u64 = 10_000;
/// Largest clock drift in parts per thousand; two clocks differ by twice that.
pub(crate) const DRIFT_MAX: i64 = 7;
/// Chance in percent that a message between VMs arrives twice.
pub(crate) const COPY_PERCENT: u32 = 3;
pub(crate) const LIMITS: Limits = Limits {
    slots: 2,
    conns: 16,
    cold_slots: 1,
    cold_conns: 4,
};
/// Time for which a new target bears only its cold number of flows.
pub(crate) const COLD_MS: u64 = 2000;

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Manner {
    Work,
    Shed,
    Hang,
    Late,
}

/// A target's process.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) address: Address,
    pub(crate) manner: Manner,
    pub(crate) life: Incarnation,
}

/// An entry VM's process.
pub(crate) struct Slot {
    pub(crate) domain: usize,
    pub(crate) member: Member,
    pub(crate) node: Option<Node>,
    pub(crate) paused: bool,
    pub(crate) backlog: Vec<Event>,
    pub(crate) watching: bool,
    pub(crate) drift: i64,
    /// Since when it can learn of changes in time.
    pub(crate) clear: Option<u64>,
    pub(crate) last_id: u64,
    pub(crate) looked: u64,
}

/// What waits for its time.
pub(crate) enum Due {
    Tick(usize, Member),
    Poll(usize, Member),
    Feed(usize, Member, Event),
    /// A passed packet was not answered in time.
    PassLate(usize, Member, PacketId, Member),
    Finish(usize, Member, RequestId, HostId, Outcome),
    Lapse(Member),
    Start(usize),
    List(usize, Member),
    Put(ObjectKey, Version, Body),
    Occupy(HostId),
}

/// A request of a caller.
pub(crate) struct Asked {
    pub(crate) key: Option<u64>,
    pub(crate) body: Vec<u8>,
}

/// A request on its way between two VMs.
pub(crate) struct Relay {
    pub(crate) from: usize,
    pub(crate) member: Member,
    pub(crate) id: RequestId,
}

/// The nodes and what is around them.
pub struct World {
    pub(crate) now: u64,
    pub(crate) seq: u64,
    pub(crate) queue: BTreeMap<(u64, u64), Due>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) faults: Faults,
    pub(crate) slots: Vec<Slot>,
    pub(crate) platform: Platform,
    pub(crate) targets: BTreeMap<HostId, Target>,
    pub(crate) at: BTreeMap<Address, HostId>,
    pub(crate) hosts: Vec<HostId>,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) no_platform: BTreeSet<usize>,
    pub(crate) packets: BTreeMap<(usize, PacketId), Packet>,
    pub(crate) passes: BTreeMap<(usize, PacketId), (usize, Member, PacketId)>,
    pub(crate) passing: BTreeSet<(usize, PacketId)>,
    pub(crate) asked: BTreeMap<(usize, RequestId), Asked>,
    pub(crate) relays: BTreeMap<(usize, RequestId), Relay>,
    pub(crate) works: BTreeMap<(usize, RequestId), (Option<u64>, Vec<u8>)>,
    pub(crate) issued: BTreeMap<u8, IdempotencyKey>,
    pub(crate) ports: BTreeMap<u8, u8>,
    pub(crate) changed: BTreeMap<u64, Version>,
    pub(crate) seen: BTreeMap<(usize, ObjectKey), Version>,
    pub(crate) oracle: Oracle,
    /// Prints events and actions up to the first violation.
    pub trace: bool,
}

pub(crate) fn domain_id(i: usize) -> DomainId {
    DOMAINS[i].0.parse().unwrap()
}

pub(crate) fn service_id(i: usize) -> ServiceId {
    SERVICES[i].parse().unwrap()
}

pub(crate) fn service_address(i: usize) -> Address {
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
        // Every other case starts in a fleet that has long settled.
        let opening = if seed.is_multiple_of(2) {
            FRESH_MS
        } else {
            SETTLED_MS
        };
        world.run_for(opening);
        world
    }

    pub(crate) fn write_catalogue(&mut self) {
        for (i, once) in [(0, true), (1, false)] {
            let service = Service {
                owner: "desk".into(),
                class: if once { Class::Critical } else { Class::Bulk },
                address: service_address(i),
                limits: LIMITS,
                non_idempotent: once,
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

    pub(crate) fn add_host(&mut self, service: usize, domain: usize, address: Address) -> HostId {
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
        self.list_host(id, Lifecycle::Live);
        id
    }

    pub(crate) fn list_host(&mut self, id: HostId, state: Lifecycle) {
        let truth = &self.oracle.truths[&id];
        let host = Host {
            id,
            service: service_id(truth.service),
            domain: truth.domain.clone(),
            address: self.targets[&id].address,
            state,
            incarnation: wire::Incarnation(0),
            cold_ms: 0,
            slots: 0,
        };
        self.write(ObjectKey::new("host", id), Body::Host(host));
    }

    pub(crate) fn add_vm(&mut self, domain: usize) {
        let vm = VmId(1 + self.slots.len() as u32);
        let drift = self.rng.random_range(-DRIFT_MAX..=DRIFT_MAX);
        self.slots.push(Slot {
            domain,
            member: Member {
                vm,
                incarnation: Incarnation(0),
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

    pub(crate) fn start(&mut self, i: usize) {
        if self.slots[i].node.is_some() {
            return;
        }
        let now = self.local(i);
        let slot = &mut self.slots[i];
        slot.member.incarnation = Incarnation(slot.member.incarnation.0 + 1);
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

    pub(crate) fn list_vm(&mut self, i: usize, member: Member, state: Lifecycle) {
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
    pub(crate) fn local(&self, i: usize) -> Time {
        let drift = self.slots[i].drift;
        Time((self.now as i64 + self.now as i64 * drift / 1000) as u64)
    }

    pub(crate) fn after(&mut self, ms: u64, due: Due) {
        self.seq += 1;
        self.queue.insert((self.now + ms, self.seq), due);
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
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

    pub(crate) fn carry_out(&mut self, due: Due) {
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
                    self.feed(i, Event::PeerUnreachable(id, to));
                }
            }
            Due::Finish(i, member, id, host, end) => self.finish(i, member, id, host, end),
            Due::Lapse(member) => self.lapse(member),
            Due::Start(i) => self.start(i),
            Due::List(i, member) => {
                if self.platform_answers(self.slots[i].domain) {
                    if self.is_alive(i, member) {
                        self.list_vm(i, member, Lifecycle::Live);
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

    pub(crate) fn is_alive(&self, i: usize, member: Member) -> bool {
        self.slots[i].member == member && self.slots[i].node.is_some()
    }

    pub(crate) fn platform_answers(&self, domain: usize) -> bool {
        self.platform.mode != Mode::Down && !self.no_platform.contains(&domain)
    }

    /// The platform's list says that a VM has ended, some time after it did.
    pub(crate) fn lapse(&mut self, member: Member) {
        if self.platform.mode == Mode::Down {
            self.after(POLL_MS, Due::Lapse(member));
            return;
        }
        let key = ObjectKey::new("vm", member.vm);
        let listed = matches!(self.platform.get(&key), Some(Body::Vm(v)) if v.member == member);
        if listed {
            self.list_vm(member.vm.0 as usize - 1, member, Lifecycle::Gone);
        }
    }

    pub(crate) fn poll(&mut self, i: usize, member: Member) {
        if !self.is_alive(i, member) {
            return;
        }
        self.after(POLL_MS, Due::Poll(i, member));
        let slot = &self.slots[i];
        let through = slot
            .node
            .as_ref()
            .map_or(Version(0), |n| n.catalogue().revision());
        let look = self.now >= slot.looked + LOOK_MS;
        if slot.watching || through == Version(0) || look {
            self.slots[i].looked = self.now;
            self.sync(i);
        }
    }

    /// Sends what is new to a VM that watches.
    pub(crate) fn sync(&mut self, i: usize) {
        let slot = &self.slots[i];
        if !self.platform_answers(slot.domain) {
            return;
        }
        let Some(node) = &slot.node else { return };
        let through = node.catalogue().revision();
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
        self.after(late, Due::Feed(i, member, Event::CatalogueDelta(delta)));
    }

    /// Writes an object and tells the watchers.
    pub(crate) fn write(&mut self, key: ObjectKey, body: Body) {
        self.platform.write(key, body);
        self.announce();
    }

    pub(crate) fn announce(&mut self) {
        self.changed.insert(self.now, self.platform.version());
        for i in 0..self.slots.len() {
            if self.slots[i].watching {
                self.sync(i);
            }
        }
    }

    pub(crate) fn feed(&mut self, i: usize, event: Event) {
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

    pub(crate) fn act(&mut self, i: usize, action: Action) {
        let member = self.slots[i].member;
        match action {
            Action::Deliver(id, _, address) => self.deliver(i, id, address),
            Action::ForwardPacket(id, packet, to, hint) => self.pass(i, id, packet, to, hint),
            Action::Drop(id, code) => self.drop_packet(i, id, code),
            Action::Send(to, msg) => self.send(i, to, msg),
            Action::Reply(id, end) => self.reply(i, id, end),
            Action::ForwardRequest(id, to, task, request) => self.forward(i, id, to, task, request),
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

    /// A VM says that it may exit.
    pub(crate) fn stopped(&mut self, i: usize, member: Member) {
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

    pub(crate) fn list_vm_if_reached(&mut self, i: usize, member: Member) {
        if self.platform_answers(self.slots[i].domain) {
            self.list_vm(i, member, Lifecycle::Gone);
        } else {
            self.after(LIST_LAG_MS, Due::Lapse(member));
        }
    }

    /// A VM's process ends: its connections break.
    pub(crate) fn end_vm(&mut self, i: usize) {
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
        let broken: Vec<(usize, RequestId)> = self
            .relays
            .keys()
            .filter(|(vm, _)| *vm == i)
            .copied()
            .collect();
        for place in broken {
            if let Some(relay) = self.relays.remove(&place) {
                let event = Event::PeerReplied(relay.id, Outcome::Unknown { after: Ms(0) });
                self.after(1, Due::Feed(relay.from, relay.member, event));
            }
        }
        self.refresh_clear();
    }

    /// Keeps track of which VMs can learn of changes in time.
    pub(crate) fn refresh_clear(&mut self) {
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
    pub(crate) fn is_prompt(&self, i: usize) -> bool {
        self.slots[i]
            .clear
            .is_some_and(|at| self.now >= at + IN_FORCE_MS)
    }

    /// Point 10: accepted changes are in force in time, and nothing reverts.
    pub(crate) fn check_versions(&mut self, i: usize) {
        let Some(node) = &self.slots[i].node else {
            return;
        };
        let through = node.catalogue().revision();
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
    pub(crate) fn probe(&mut self, i: usize) {
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

pub(crate) fn is_routine(event: &Event) -> bool {
    match event {
        Event::Tick | Event::CatalogueDelta(_) => true,
        Event::Msg(_, msg) => is_routine_msg(msg),
        _ => false,
    }
}

pub(crate) fn is_routine_action(action: &Action) -> bool {
    matches!(action, Action::Send(_, msg) if is_routine_msg(msg))
}

pub(crate) fn is_routine_msg(msg: &Msg) -> bool {
    matches!(
        msg,
        Msg::Heartbeat(_) | Msg::Hello { .. } | Msg::Pull { .. } | Msg::Delta(_)
    )
}
