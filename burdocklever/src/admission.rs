//! Admission control: one member of the cell counts what each target has
//! in progress and admits no more than it bears.
//!
//! An admission controller acts only while its lease holds. It takes a target over once the
//! view is active and every VM that may have dispatched to the target before
//! has told what it still has in progress, has ended, or has had time to finish.

use std::collections::{BTreeMap, BTreeSet};

use wire::{HostId, Limits, Member, ViewNumber};

use crate::capacity::CapacityEstimate;
use crate::event::RequestId;
use crate::msg::{Count, FlowKey, Load};
use crate::time::Time;

/// What an admission controller knows of one target.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) limits: Limits,
    pub(crate) capacity: CapacityEstimate,
    /// View under which this VM became the admission controller.
    pub(crate) since: ViewNumber,
    /// VMs that have not told what they still have in progress here.
    pub(crate) awaited: BTreeSet<Member>,
    /// When work of the awaited VMs has ended at the latest.
    pub(crate) hold: Time,
    /// Flows admitted since the owner's last count.
    admitted: BTreeMap<FlowKey, (Member, Time)>,
    /// Flows by owner, as last told.
    told: BTreeMap<Member, (u32, Time)>,
}

impl Target {
    pub(crate) fn new(now: Time, limits: Limits, since: ViewNumber) -> Target {
        Target {
            limits,
            capacity: CapacityEstimate::cold(now, &limits),
            since,
            awaited: BTreeSet::new(),
            hold: now,
            admitted: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    /// Whether nothing of an earlier admission controller can be in progress unknown to this one.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.awaited.is_empty() || now >= self.hold
    }

    /// Open flows, as far as owners have told, with those admitted since.
    pub(crate) fn conns(&self) -> u32 {
        let told: u32 = self.told.values().map(|(n, _)| n).sum();
        told + self.admitted.len() as u32
    }

    /// Admits a flow if the target bears one more. A repeated request counts once.
    pub(crate) fn admit(&mut self, now: Time, key: FlowKey, owner: Member) -> bool {
        if self.admitted.contains_key(&key) {
            return true;
        }
        let full = self.conns() >= self.capacity.conns(&self.limits);
        if !full {
            self.admitted.insert(key, (owner, now));
        }
        !full
    }

    /// Takes in an owner's count, sent after it had heard of what was admitted
    /// before `known`.
    pub(crate) fn count(&mut self, now: Time, owner: Member, flows: u32, known: Time) {
        self.admitted
            .retain(|_, (by, at)| *by != owner || *at >= known);
        if flows == 0 {
            self.told.remove(&owner);
        } else {
            self.told.insert(owner, (flows, now));
        }
    }

    /// Forgets counts of owners that have been silent for `idle`.
    pub(crate) fn expire(&mut self, now: Time, idle: crate::time::Ms) {
        self.told.retain(|_, (_, at)| now.since(*at) < idle);
        self.admitted.retain(|_, (_, at)| now.since(*at) < idle);
    }
}

/// Requests in progress that this VM dispatched, and the targets it guards.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdmissionControl {
    pub(crate) targets: BTreeMap<HostId, Target>,
    running: BTreeMap<HostId, BTreeSet<RequestId>>,
}

impl AdmissionControl {
    /// Requests that this VM has in progress at a target.
    pub(crate) fn running(&self, host: HostId) -> u32 {
        self.running.get(&host).map_or(0, |set| set.len() as u32)
    }

    pub(crate) fn total_running(&self) -> usize {
        self.running.values().map(BTreeSet::len).sum()
    }

    pub(crate) fn start(&mut self, host: HostId, req: RequestId) {
        self.running.entry(host).or_default().insert(req);
    }

    pub(crate) fn end(&mut self, host: HostId, req: RequestId) {
        if let Some(set) = self.running.get_mut(&host) {
            set.remove(&req);
            if set.is_empty() {
                self.running.remove(&host);
            }
        }
    }

    /// Requests in progress at targets that this VM does not guard.
    pub(crate) fn foreign(&self) -> Vec<Count> {
        let away = self
            .running
            .iter()
            .filter(|(host, _)| !self.targets.contains_key(host));
        away.map(|(host, set)| Count {
            host: *host,
            count: set.len() as u32,
        })
        .collect()
    }

    /// Load of each guarded target; `elsewhere` gives what other VMs still run.
    pub(crate) fn loads(&self, elsewhere: impl Fn(HostId) -> u32) -> Vec<Load> {
        let load = |(host, t): (&HostId, &Target)| Load {
            host: *host,
            conns: t.conns(),
            conn_limit: t.capacity.conns(&t.limits),
            busy: self.running(*host) + elsewhere(*host),
            slots: t.capacity.slots(&t.limits),
        };
        self.targets.iter().map(load).collect()
    }
}
