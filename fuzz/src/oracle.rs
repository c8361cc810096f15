//! The oracle: plain tables of what each promise allows.

use std::collections::{BTreeMap, BTreeSet};

use burdocklever::{FlowKey, Outcome};
use wire::{DomainId, HostId, Member};

/// Time after an accepted change until which it must be in force.
pub(crate) const IN_FORCE_MS: u64 = 4000;
/// Silence after which a flow counts as ended.
const IDLE_MS: u64 = 120_000;

/// A flow as targets see it.
#[derive(Debug, Clone)]
struct Flow {
    host: HostId,
    last: u64,
    ended: bool,
}

/// A target as it really is.
#[derive(Debug, Clone)]
pub(crate) struct Truth {
    pub(crate) service: usize,
    pub(crate) domain: DomainId,
    pub(crate) slots: usize,
    pub(crate) conns: usize,
    pub(crate) cold_slots: usize,
    pub(crate) cold_conns: usize,
    /// Requests in progress, by the VM that sent them.
    pub(crate) running: BTreeSet<(Member, u64)>,
    /// Answers given since the start of this incarnation.
    pub(crate) answers: u32,
    /// Until when it bears only the cold number of flows.
    pub(crate) cold_until: u64,
    /// It restarted and nobody can have learned of it.
    pub(crate) silent_turn: bool,
    /// Since when it is leaving, by the platform's word.
    pub(crate) leaving: Option<u64>,
    pub(crate) gone: bool,
}

/// Answers after which a target is warm.
const WARM_ANSWERS: u32 = 8;

impl Truth {
    fn slots_now(&self) -> usize {
        if self.answers < WARM_ANSWERS && !self.silent_turn {
            self.cold_slots
        } else {
            self.slots
        }
    }
}

/// A key as targets and callers saw it.
#[derive(Debug, Clone, Default)]
struct KeyFate {
    runs: u32,
    not_run: bool,
}

/// Numbers that a run came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Packets that reached targets.
    pub delivered: u64,
    /// Flows opened.
    pub opened: u64,
    /// Flows dropped while their target still served.
    pub broken: u64,
    /// Flows that reached another target than before.
    pub moved: u64,
    /// Requests made.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Refusals that say the request was not run.
    pub not_run: u64,
    /// Refusals that say nothing.
    pub busy: u64,
    /// Unknown outcomes.
    pub unknown: u64,
}

impl Tally {
    /// Adds another run's numbers.
    pub fn add(&mut self, other: &Tally) {
        self.delivered += other.delivered;
        self.opened += other.opened;
        self.broken += other.broken;
        self.moved += other.moved;
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.busy += other.busy;
        self.unknown += other.unknown;
    }
}

/// What was seen, and what was wrong with it.
#[derive(Debug, Default)]
pub struct Oracle {
    flows: BTreeMap<FlowKey, Flow>,
    broken: BTreeSet<FlowKey>,
    pub(crate) truths: BTreeMap<HostId, Truth>,
    keys: BTreeMap<u64, KeyFate>,
    pub(crate) out: BTreeMap<DomainId, u64>,
    /// Something happened that nobody planned.
    pub(crate) disturbed: bool,
    /// Numbers of the run.
    pub tally: Tally,
    /// Violated promises, by point of the brief, with the time.
    pub wrong: Vec<Box<str>>,
}

impl Oracle {
    /// Notes that a failure domain is out: its flows are given up.
    pub(crate) fn take_out(&mut self, now: u64, domain: &DomainId) {
        self.out.insert(domain.clone(), now);
        let truths = &self.truths;
        for flow in self.flows.values_mut() {
            flow.ended |= truths[&flow.host].domain == *domain;
        }
    }

    pub(crate) fn must(&mut self, holds: bool, now: u64, text: impl FnOnce() -> String) {
        if !holds {
            self.wrong.push(format!("{now} ms: {}", text()).into());
        }
    }

    pub(crate) fn host_of(&self, flow: FlowKey) -> Option<HostId> {
        let flow = self.flows.get(&flow).filter(|f| !f.ended)?;
        Some(flow.host)
    }

    pub(crate) fn has_ended(&self, flow: FlowKey) -> bool {
        self.flows.get(&flow).is_some_and(|f| f.ended)
    }

    fn serves(&self, host: HostId) -> bool {
        let truth = self.truths.get(&host);
        truth.is_some_and(|t| !t.gone && !self.out.contains_key(&t.domain))
    }

    /// A packet reached the target at an address. `prompt` says that the VM
    /// which sent it could know every change accepted more than 4 s ago.
    pub(crate) fn packet(
        &mut self,
        now: u64,
        key: FlowKey,
        first: bool,
        service: usize,
        to: HostId,
        prompt: bool,
    ) {
        self.tally.delivered += 1;
        let truth = self.truths[&to].clone();
        self.must(truth.service == service, now, || {
            format!("2: packet for service {service} reached target {to} of another")
        });
        if let Some(at) = self.out.get(&truth.domain).copied() {
            self.must(!prompt || now <= at + IN_FORCE_MS, now, || {
                format!("4: packet reached target {to}, out since {at} ms")
            });
        }
        match self.flows.get(&key).cloned() {
            Some(flow) if !flow.ended && flow.host != to => {
                let allowed = !self.serves(flow.host) || now > flow.last + IDLE_MS;
                self.tally.moved += u64::from(!allowed);
                self.must(allowed || self.disturbed, now, || {
                    format!("1: flow {key:?} moved from target {} to {to}", flow.host)
                });
                self.open(now, key, to, prompt);
            }
            Some(flow) if !flow.ended => {
                self.flows.insert(key, Flow { last: now, ..flow });
            }
            // A straggler of a flow that has ended opens nothing.
            _ if !first => {}
            _ => self.open(now, key, to, prompt),
        }
    }

    fn open(&mut self, now: u64, key: FlowKey, host: HostId, prompt: bool) {
        let truth = self.truths[&host].clone();
        if let Some(at) = truth.leaving {
            self.must(!prompt || now <= at + IN_FORCE_MS, now, || {
                format!("8: new flow at target {host}, leaving since {at} ms")
            });
        }
        self.tally.opened += 1;
        self.broken.remove(&key);
        let last = now;
        // A flow into a failure domain that is out was given up before it opened.
        let ended = self.out.contains_key(&truth.domain);
        self.flows.insert(key, Flow { host, last, ended });
        let open = self
            .flows
            .values()
            .filter(|f| f.host == host && !f.ended)
            .count();
        let bears = if now < truth.cold_until {
            truth.cold_conns
        } else {
            truth.conns
        };
        self.must(open <= bears, now, || {
            format!("3: target {host} has {open} flows and bears {bears}")
        });
    }

    /// A caller ended a flow.
    pub(crate) fn last(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.ended = true;
        }
    }

    /// A later packet of a flow was dropped as unknown.
    pub(crate) fn dropped(&mut self, now: u64, key: FlowKey) {
        let Some(flow) = self.flows.get(&key).filter(|f| !f.ended).cloned() else {
            return;
        };
        if !self.serves(flow.host) || now > flow.last + IDLE_MS {
            return;
        }
        if self.broken.insert(key) {
            self.tally.broken += 1;
            self.must(self.disturbed, now, || {
                format!("1: flow {key:?} to target {} dropped", flow.host)
            });
        }
    }

    /// A target started a request.
    pub(crate) fn start(
        &mut self,
        now: u64,
        host: HostId,
        by: (Member, u64),
        key: Option<u64>,
        prompt: bool,
    ) {
        let out = self.out.get(&self.truths[&host].domain).copied();
        if let Some(at) = out {
            self.must(!prompt || now <= at + IN_FORCE_MS, now, || {
                format!("4: request started at target {host}, out since {at} ms")
            });
        }
        let Some(truth) = self.truths.get_mut(&host) else {
            return;
        };
        truth.running.insert(by);
        let (busy, bears) = (truth.running.len(), truth.slots_now());
        let leaving = truth.leaving;
        self.must(busy <= bears, now, || {
            format!("3: target {host} has {busy} requests in progress and bears {bears}")
        });
        if let Some(at) = leaving {
            self.must(!prompt || now <= at + IN_FORCE_MS, now, || {
                format!("8: request started at target {host}, leaving since {at} ms")
            });
        }
        if let Some(key) = key {
            let fate = self.keys.entry(key).or_default();
            fate.runs += 1;
            let KeyFate { runs, not_run } = *fate;
            self.must(runs == 1, now, || {
                format!("7: key {key:x} started {runs} times")
            });
            self.must(!not_run, now, || {
                format!("6: key {key:x} started after `not run`")
            });
        }
    }

    /// A request is not in progress at a target any more.
    pub(crate) fn end(&mut self, host: HostId, by: (Member, u64), answered: bool) {
        if let Some(truth) = self.truths.get_mut(&host) {
            truth.running.remove(&by);
            truth.answers += u32::from(answered);
            if answered {
                truth.silent_turn = false;
            }
        }
    }

    /// A caller got its reply.
    pub(crate) fn reply(&mut self, now: u64, key: Option<u64>, body: &[u8], end: &Outcome) {
        match end {
            Outcome::Answered(answer) => {
                self.tally.answered += 1;
                self.must(&*answer.body == body, now, || {
                    "5: answer of another request".into()
                });
                if let Some(key) = key {
                    let runs = self.keys.get(&key).map_or(0, |f| f.runs);
                    self.must(runs == 1, now, || {
                        format!("5: key {key:x} answered but never ran")
                    });
                }
            }
            Outcome::NotRun { .. } => {
                self.tally.not_run += 1;
                if let Some(key) = key {
                    let fate = self.keys.entry(key).or_default();
                    fate.not_run = true;
                    let runs = fate.runs;
                    self.must(runs == 0, now, || {
                        format!("6: key {key:x} ran, `not run` was said")
                    });
                }
            }
            Outcome::Busy { .. } | Outcome::NeedKey(_) => self.tally.busy += 1,
            _ => self.tally.unknown += 1,
        }
    }
}
