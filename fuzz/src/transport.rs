//! What travels between nodes, targets and callers.

use burdocklever::{
    Code, Event, Mark, Ms, Msg, Outcome, Packet, PacketId, PeerTask, Request, RequestId,
    TargetResponse,
};
use rand::Rng;
use wire::{Address, DomainId, HostId, Member};

use crate::world::*;

impl World {
    pub(crate) fn linked(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Whether a VM and the targets of a failure domain reach each other.
    pub(crate) fn reaches(&self, vm: usize, domain: &DomainId) -> bool {
        let own = self.slots[vm].domain;
        if domain_id(own) == *domain {
            return true;
        }
        let there = (0..self.slots.len()).find(|i| domain_id(self.slots[*i].domain) == *domain);
        there.is_some_and(|other| self.linked(vm, other) && self.linked(other, vm))
    }

    pub(crate) fn latency(&mut self) -> u64 {
        self.rng.random_range(1..6)
    }

    pub(crate) fn index(&self, member: Member) -> usize {
        member.vm.0 as usize - 1
    }

    pub(crate) fn send(&mut self, i: usize, to: Member, msg: Msg) {
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

    pub(crate) fn deliver(&mut self, i: usize, id: PacketId, address: Address) {
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

    pub(crate) fn answer_pass(
        &mut self,
        i: usize,
        id: PacketId,
        host: Option<HostId>,
        packet: Packet,
    ) {
        let Some((from, member, origin)) = self.passes.remove(&(i, id)) else {
            return;
        };
        if !self.linked(i, from) || !self.passing.remove(&(from, origin)) {
            return;
        }
        let event = match host {
            Some(host) => Event::PeerDelivered(origin, packet.key, host),
            None => Event::PeerDropped(origin, Code::FlowEnded),
        };
        let late = self.latency();
        self.after(late, Due::Feed(from, member, event));
    }

    pub(crate) fn pass(
        &mut self,
        i: usize,
        id: PacketId,
        packet: Packet,
        to: Member,
        hint: Option<HostId>,
    ) {
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
        self.after(
            late,
            Due::Feed(j, to, Event::PeerPacket(there, packet, hint)),
        );
    }

    pub(crate) fn next_packet(&mut self, i: usize, packet: Packet) -> PacketId {
        self.slots[i].last_id += 1;
        let id = PacketId(self.slots[i].last_id);
        self.packets.insert((i, id), packet);
        id
    }

    pub(crate) fn drop_packet(&mut self, i: usize, id: PacketId, code: Code) {
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
                Due::Feed(from, member, Event::PeerDropped(origin, code)),
            );
        }
    }

    pub(crate) fn reply(&mut self, i: usize, id: RequestId, end: Outcome) {
        if let Some(asked) = self.asked.remove(&(i, id)) {
            self.oracle.reply(self.now, asked.key, &asked.body, &end);
        }
        if let Some(relay) = self.relays.remove(&(i, id)) {
            let end = if self.linked(i, relay.from) {
                end
            } else {
                Outcome::Unknown { after: Ms(0) }
            };
            let late = self.latency();
            let event = Event::PeerReplied(relay.id, end);
            self.after(late, Due::Feed(relay.from, relay.member, event));
        }
    }

    pub(crate) fn forward(
        &mut self,
        i: usize,
        id: RequestId,
        to: Member,
        task: PeerTask,
        request: Request,
    ) {
        let j = self.index(to);
        let member = self.slots[i].member;
        if !self.is_alive(j, to) || !self.linked(i, j) || !self.linked(j, i) {
            let end = Outcome::NotStarted {
                after: Ms(200),
                shed: false,
            };
            let event = Event::PeerReplied(id, end);
            return self.after(CONNECT_TIMEOUT_MS, Due::Feed(i, member, event));
        }
        let Some(work) = self.works.get(&(i, id)).cloned() else {
            return;
        };
        self.slots[j].last_id += 1;
        let there = RequestId(self.slots[j].last_id);
        self.works.insert((j, there), work);
        let from = i;
        self.relays.insert((j, there), Relay { from, member, id });
        let late = self.latency();
        self.after(
            late,
            Due::Feed(j, to, Event::PeerRequest(there, task, request)),
        );
    }

    pub(crate) fn dispatch(&mut self, i: usize, id: RequestId, address: Address, budget: Ms) {
        let member = self.slots[i].member;
        let not_started = |shed| Outcome::NotStarted { after: Ms(0), shed };
        let Some(host) = self.at.get(&address).copied() else {
            let event = Event::DispatchEnded(id, not_started(false));
            return self.after(1, Due::Feed(i, member, event));
        };
        let domain = self.oracle.truths[&host].domain.clone();
        if !self.reaches(i, &domain) {
            let event = Event::DispatchEnded(id, not_started(false));
            return self.after(CONNECT_TIMEOUT_MS, Due::Feed(i, member, event));
        }
        let (key, body) = self.works.get(&(i, id)).cloned().unwrap_or_default();
        let manner = self.targets[&host].manner;
        if manner == Manner::Shed {
            let event = Event::DispatchEnded(id, not_started(true));
            return self.after(2, Due::Feed(i, member, event));
        }
        let prompt = self.is_prompt(i);
        self.oracle
            .start(self.now, host, (member, id.0), key, prompt);
        let answer = TargetResponse {
            status: 200,
            incarnation: self.targets[&host].life,
            body: body.into(),
        };
        let late = Outcome::Unknown { after: Ms(0) };
        let (wait, end) = match manner {
            Manner::Work | Manner::Shed => (WORK_MS, Outcome::Answered(answer)),
            Manner::Late => (budget.0 / 2, Outcome::Answered(answer)),
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
    pub(crate) fn finish(
        &mut self,
        i: usize,
        member: Member,
        id: RequestId,
        host: HostId,
        end: Outcome,
    ) {
        let by = (member, id.0);
        let running = self
            .oracle
            .truths
            .get(&host)
            .is_some_and(|t| t.running.contains(&by));
        if !running {
            return;
        }
        self.oracle
            .end(host, by, matches!(end, Outcome::Answered(_)));
        if self.is_alive(i, member) {
            self.after(1, Due::Feed(i, member, Event::DispatchEnded(id, end)));
        }
    }

    pub(crate) fn cancel(&mut self, i: usize, id: RequestId) {
        let by = (self.slots[i].member, id.0);
        let host = self
            .oracle
            .truths
            .iter()
            .find(|(_, t)| t.running.contains(&by));
        if let Some(host) = host.map(|(id, _)| *id) {
            self.finish(i, by.0, id, host, Outcome::Unknown { after: Ms(0) });
        }
    }
}
