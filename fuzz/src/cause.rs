//! Carrying out the steps of a case: what callers send, and what goes wrong.

use burdocklever::{
    hash, Event, FlowKey, IdempotencyKey, Mark, Ms, Outcome, Packet, Request, RequestId,
};
use wire::{Body, DomainState, HostId, Incarnation, Lifecycle, Member, ObjectKey};

use crate::oracle::IN_FORCE_MS;
use crate::platform::Mode;
use crate::step::Step;
use crate::world::*;

impl World {
    pub(crate) fn cause(&mut self, step: Step) {
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
                let made = IdempotencyKey::Made(hash(&[key]));
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

    pub(crate) fn pick_vm(&self, vm: u8) -> usize {
        usize::from(vm) % self.slots.len()
    }

    pub(crate) fn pick_host(&self, host: u8) -> HostId {
        self.hosts[usize::from(host) % self.hosts.len()]
    }

    pub(crate) fn send_packet(&mut self, flow: u8, vm: u8, last: bool) {
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
    pub(crate) fn flow_key(&mut self, flow: u8) -> FlowKey {
        let port = self.ports.entry(flow).or_default();
        if self.oracle.has_ended(FlowKey(hash(&[flow, *port]))) {
            *port = port.wrapping_add(1);
        }
        FlowKey(hash(&[flow, *port]))
    }

    pub(crate) fn send_issued(&mut self, key: u8, vm: u8) {
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

    pub(crate) fn send_request(&mut self, service: usize, key: Option<IdempotencyKey>, vm: u8) {
        let i = self.pick_vm(vm);
        if self.slots[i].node.is_none() {
            return;
        }
        self.oracle.tally.requests += 1;
        self.slots[i].last_id += 1;
        let id = RequestId(self.slots[i].last_id);
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

    pub(crate) fn kill(&mut self, vm: u8) {
        let i = self.pick_vm(vm);
        if self.slots[i].node.is_none() {
            return self.start(i);
        }
        self.oracle.disturbed = true;
        let member = self.slots[i].member;
        self.end_vm(i);
        self.after(LIST_LAG_MS, Due::Lapse(member));
    }

    pub(crate) fn pause(&mut self, vm: u8) {
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

    pub(crate) fn cut(&mut self, from: u8, to: u8, both: bool) {
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

    pub(crate) fn set_platform(&mut self, mode: u8) {
        self.oracle.disturbed = true;
        self.platform.mode = [Mode::Up, Mode::Down, Mode::Slow, Mode::Lose][usize::from(mode % 4)];
        self.refresh_clear();
    }

    pub(crate) fn turn_domain(&mut self, domain: usize) {
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

    pub(crate) fn drain(&mut self, host: u8) {
        let id = self.pick_host(host);
        if self.platform.mode == Mode::Down || self.oracle.truths[&id].gone {
            return;
        }
        let truth = self.oracle.truths.get_mut(&id).unwrap();
        let state = if truth.leaving.take().is_some() {
            Lifecycle::Live
        } else {
            truth.leaving = Some(self.now);
            Lifecycle::Leaving
        };
        self.list_host(id, state);
    }

    /// A target ends. Its address is free for another once every VM knows.
    pub(crate) fn reuse(&mut self, host: u8) {
        let id = self.pick_host(host);
        if self.platform.mode == Mode::Down || self.oracle.truths[&id].gone {
            return;
        }
        let address = self.targets[&id].address;
        self.at.remove(&address);
        self.break_off(id);
        self.oracle.truths.get_mut(&id).unwrap().gone = true;
        self.list_host(id, Lifecycle::Gone);
        self.after(IN_FORCE_MS + 1, Due::Occupy(id));
    }

    pub(crate) fn occupy(&mut self, old: HostId) {
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

    pub(crate) fn turn_cold(&mut self, host: u8) {
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
    pub(crate) fn break_off(&mut self, id: HostId) {
        let running: Vec<(Member, u64)> = self.oracle.truths[&id].running.iter().copied().collect();
        for (member, req) in running {
            let i = self.index(member);
            let end = Outcome::Unknown { after: Ms(0) };
            self.finish(i, member, RequestId(req), id, end);
        }
    }
}
