//! Admission control: for each target, one member of its cell counts the flows and
//! requests in progress and admits no more than the target can take.
//!
//! An admission controller acts only while its lease holds. It admits work to a target
//! that it has taken over once the view is active and each VM that may have sent
//! requests to the target before has reported what it still has in progress, has ended,
//! or has had enough time to finish.

use std::collections::{BTreeMap, BTreeSet};

use wire::{HostId, Limits, Member, ViewNumber};

use crate::capacity::CapacityEstimate;
use crate::event::RequestId;
use crate::msg::{Count, FlowKey, Load};
use crate::time::Time;

/// Admission state of one target.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionTarget {
    pub(crate) limits: Limits,
    pub(crate) capacity: CapacityEstimate,
    /// View under which this VM became the admission controller.
    pub(crate) since: ViewNumber,
    /// VMs that have not yet reported their requests in progress at the target.
    pub(crate) awaited: BTreeSet<Member>,
    /// Time by which the requests of the awaited VMs have ended in any case.
    pub(crate) hold_until: Time,
    /// Flows admitted since the last report of their owner, and when.
    admitted: BTreeMap<FlowKey, (Member, Time)>,
    /// Number of flows in the last report of each owner, and when it arrived.
    reported: BTreeMap<Member, (u32, Time)>,
}

impl AdmissionTarget {
    pub(crate) fn new(now: Time, limits: Limits, since: ViewNumber) -> AdmissionTarget {
        AdmissionTarget {
            limits,
            capacity: CapacityEstimate::cold(now, &limits),
            since,
            awaited: BTreeSet::new(),
            hold_until: now,
            admitted: BTreeMap::new(),
            reported: BTreeMap::new(),
        }
    }

    /// Whether no request that is unknown to this VM can be in progress at the target.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.awaited.is_empty() || now >= self.hold_until
    }

    /// Open flows: those reported by the owners and those admitted since.
    pub(crate) fn conns(&self) -> u32 {
        let reported: u32 = self.reported.values().map(|(n, _)| n).sum();
        reported + self.admitted.len() as u32
    }

    /// Admits a flow if the target has room. A repeated call for the same flow counts
    /// once.
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

    /// Records the number of flows that an owner reports, which includes those admitted
    /// before `known`.
    pub(crate) fn record_flows(&mut self, now: Time, owner: Member, flows: u32, known: Time) {
        self.admitted
            .retain(|_, (by, at)| *by != owner || *at >= known);
        if flows == 0 {
            self.reported.remove(&owner);
        } else {
            self.reported.insert(owner, (flows, now));
        }
    }

    /// Removes the reports of owners that have been silent for `idle`, and admissions
    /// of that age.
    pub(crate) fn expire(&mut self, now: Time, idle: crate::time::Ms) {
        self.reported.retain(|_, (_, at)| now.since(*at) < idle);
        self.admitted.retain(|_, (_, at)| now.since(*at) < idle);
    }
}

/// Requests that this VM has in progress at targets, and the targets that it controls
/// admission to.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdmissionControl {
    pub(crate) targets: BTreeMap<HostId, AdmissionTarget>,
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

    /// Requests in progress at targets of other admission controllers.
    pub(crate) fn remote_requests(&self) -> Vec<Count> {
        let remote = self
            .running
            .iter()
            .filter(|(host, _)| !self.targets.contains_key(host));
        remote
            .map(|(host, set)| Count {
                host: *host,
                count: set.len() as u32,
            })
            .collect()
    }

    /// Load of each target that this VM controls admission to. `remote_busy` gives the
    /// requests that other VMs have in progress there.
    pub(crate) fn loads(&self, remote_busy: impl Fn(HostId) -> u32) -> Vec<Load> {
        let load = |(host, t): (&HostId, &AdmissionTarget)| Load {
            host: *host,
            conns: t.conns(),
            conn_limit: t.capacity.conns(&t.limits),
            busy: self.running(*host) + remote_busy(*host),
            slots: t.capacity.slots(&t.limits),
        };
        self.targets.iter().map(load).collect()
    }
}
