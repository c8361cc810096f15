//! Refuses new flows while a service has too little room for all of them.
//!
//! Pure functions of the shared load of a service's targets and of what one VM has
//! decided in the last seconds. The load pattern addressed: a failure domain is out
//! of service while demand doubles for a few seconds, and each of 68 VMs learns of it
//! 1 to 4 s late. Refused flows have not reached a target, so a caller can safely
//! try again.

use std::collections::VecDeque;
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use rustc_hash::FxHashMap;
use wire::ParseError;

use crate::msg::FlowKey;
use crate::rendezvous;
use crate::switch::Switch;
use crate::target_load::TargetLoad;
use crate::time::{Ms, Time};

/// Age from which figures are not used.
const FIGURES_MAX_AGE: Ms = Ms(6000);
/// Percentage of the goal that a mean response may take before flows are refused.
/// The rest allows for targets with longer queues than the mean, as in placement.
const GOAL_PERCENT: f64 = 45.0;
/// Percentage of a flow's goal that its target may take to respond before the flow is refused.
/// The rest allows for variation between responses.
const LATE_PERCENT: u64 = 60;
/// Requests in progress per slot from which every target counts as busy, so that
/// placement has no better target left.
const BUSY_PER_SLOT: f64 = 2.0;
/// Percentage of free slots from which a service has room, however long the queues
/// at its other targets are: these are a matter of placement.
const FREE_PERCENT: f64 = 20.0;
/// Part of the slots to fill while flows are refused, by a service time that includes
/// some waiting.
const UTILIZATION_GOAL: f64 = 1.0;
/// Time for which flows of the lowest priority are refused, down to the floor, before
/// those of the next one are. Long flows that were let in before last up to 60 s.
const LEVEL_TIME: Ms = Ms(60_000);
/// Time over which figures are averaged.
const FIGURES_SPAN: Ms = Ms(4000);
/// Time for which past depths are kept: figures of the maximum age and their span.
const PAST_TIME: Ms = Ms(12_000);
/// Divisor of the moving average that follows longer service times. Shorter ones count
/// at once, since a response time includes waiting.
const SERVICE_TIME_DIVISOR: f64 = 64.0;
/// Number of buckets that callers' hosts are hashed into.
const BUCKETS: usize = 256;
/// Time for which flows are counted per bucket, and refused flows remembered. A
/// caller gives up a flow 1.4 s after its first opening packet.
const HISTORY_TIME: Ms = Ms(2000);
/// Parts that the history of counts is divided into.
const HISTORY_PARTS: u64 = 4;
/// Maximum number of refused flows that are remembered for their copies.
const MAX_REFUSED: usize = 8192;
/// Seed that separates the decision's hash from the hash that selects targets.
const DECISION_SEED: u64 = 0x73_68_6f_72_74;

/// Percentage of a priority's flows that is always let in, from 1 to 50.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Floor(u32);

impl Floor {
    pub(crate) fn percent(self) -> u32 {
        self.0
    }
}

impl Default for Floor {
    fn default() -> Floor {
        Floor(10)
    }
}

impl fmt::Display for Floor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Floor {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Floor, ParseError> {
        let percent = s.parse().ok().filter(|n| (1..=50).contains(n));
        percent.map(Floor).ok_or_else(|| ParseError {
            expected: "a percentage from 1 to 50",
            found: s.into(),
        })
    }
}

/// Settings of refusing, from `[shortage]`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShortageSettings {
    /// Whether flows are refused.
    pub refuse: Switch,
    /// Percentage of flows that is always let in.
    pub floor: Floor,
}

/// Room of a service: the slots of its reachable targets and the requests there.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Room {
    /// Slots of the reachable targets.
    pub slots: u32,
    /// Slots of these targets without a request.
    free: f64,
    /// Requests in progress.
    in_progress: f64,
    /// Requests per second.
    rate: f64,
    /// Age of the oldest figures that are counted.
    age: Ms,
}

impl Room {
    /// Sums the slots and the figures of the reachable targets. A target without
    /// figures, or with figures that are too old, counts as free.
    pub fn sum(targets: impl Iterator<Item = (u32, Option<TargetLoad>)>) -> Room {
        let mut room = Room::default();
        for (slots, load) in targets {
            let load = load.filter(|l| l.age < FIGURES_MAX_AGE).unwrap_or_default();
            let rate = f64::from(load.rate.0) / 100.0;
            // Little's law.
            let in_progress = rate * load.response_time.0 as f64 / 1000.0;
            room.slots = room.slots.saturating_add(slots);
            room.free += (f64::from(slots) - in_progress).max(0.0);
            room.in_progress += in_progress;
            room.rate += rate;
            room.age = room.age.max(load.age);
        }
        room
    }

    /// Whether there are figures of any target.
    pub(crate) fn has_figures(&self) -> bool {
        self.rate > 0.0
    }

    /// Requests in progress per slot.
    pub fn occupancy(&self) -> f64 {
        self.in_progress / f64::from(self.slots.max(1))
    }

    /// Slots without a request, at least; none while figures show none.
    fn free_share(&self) -> f64 {
        self.free / f64::from(self.slots.max(1))
    }

    /// Mean time to the first byte of a response, in milliseconds.
    pub(crate) fn response_time(&self) -> f64 {
        1000.0 * self.in_progress / self.rate.max(0.01)
    }

    /// Part of the slots that the requests would take if none of them waited.
    fn utilization(&self, service_time: f64) -> f64 {
        self.rate * service_time / 1000.0 / f64::from(self.slots.max(1))
    }

    /// Excess of the occupancy over its limit: 0 while there is room, 1 at twice the
    /// limit, where all of the lowest priority's flows but the floor are refused. With
    /// more than one request per slot, a response takes the occupancy times the service
    /// time. The limit is where that exceeds the goal's allowance, or where all targets
    /// are busy if that is earlier.
    fn excess(&self, goal: Ms, service_time: f64) -> f64 {
        if self.free_share() * 100.0 >= FREE_PERCENT {
            return 0.0;
        }
        let allowance = goal.0 as f64 * GOAL_PERCENT / 100.0;
        let limit = (allowance / service_time.max(1.0)).clamp(1.0, BUSY_PER_SLOT);
        (self.occupancy() / limit - 1.0).max(0.0)
    }
}

/// Shortage of room at one service.
#[derive(Debug, Clone, Default)]
pub struct Shortage {
    room: Room,
    /// Time of the last update.
    updated: Time,
    /// Time that a request takes in its slot, in milliseconds; 0 if unknown.
    service_time: f64,
    /// Refused part of the flows, summed over the priorities: 1.5 stands for all of
    /// the lowest priority and half of the next one, down to the floor.
    depth: f64,
    /// Number of priorities that may be refused, and since when.
    levels: (u32, Time),
    /// Recent depths, with the time from which each was in force.
    past: VecDeque<(Time, f64)>,
}

impl Shortage {
    /// Updates the share to refuse with new figures. `goal` is the shortest goal of
    /// the service's routes.
    pub fn update(&mut self, now: Time, room: Room, goal: Ms) {
        if self.is_stale(now) {
            self.past.clear();
        }
        self.learn_service_time(&room);
        let figures_end = Time(now.0.saturating_sub(room.age.0));
        let past = self.mean_depth(figures_end);
        let excess = room.excess(goal, self.service_time);
        let mut utilization = room.utilization(self.service_time);
        if excess > 0.0 {
            // Requests queue, though targets may be slower than they were.
            utilization = utilization.max(UTILIZATION_GOAL + 0.05 * excess.min(1.0));
        }
        let depth = if past == 0.0 && excess == 0.0 {
            0.0
        } else {
            // Callers try three times, so the part of them that gets no flow grows
            // faster the larger the share is.
            let excess = utilization - UTILIZATION_GOAL;
            let gain = 1.0 / (1.0 + 2.0 * past.min(1.0).powi(2));
            past + if excess > 0.0 { gain * excess } else { excess }
        };
        let (levels, since) = (self.levels.0.max(1), self.levels.1);
        if depth <= 0.0 {
            self.levels = (1, now);
        } else if depth < f64::from(levels) || excess < 1.0 {
            self.levels = (levels, now);
        } else if now.since(since) >= LEVEL_TIME {
            self.levels = (levels + 1, now);
        }
        self.depth = depth.clamp(0.0, f64::from(self.levels.0));
        self.past.push_back((now, self.depth));
        while self
            .past
            .front()
            .is_some_and(|(at, _)| now.since(*at) > PAST_TIME)
        {
            self.past.pop_front();
        }
        self.room = room;
        self.updated = now;
    }

    /// Updates the time that a request takes in its slot while few requests wait.
    /// Otherwise responses take longer, or less if targets reject some at once.
    fn learn_service_time(&mut self, room: &Room) {
        if room.rate <= 0.0 {
            return;
        }
        let time = room.response_time() / room.occupancy().max(1.0);
        if self.service_time == 0.0 {
            self.service_time = time;
        } else if room.occupancy() * 100.0 <= 100.0 - FREE_PERCENT {
            let rise = (time - self.service_time) / SERVICE_TIME_DIVISOR;
            self.service_time = time.min(self.service_time + rise);
        }
    }

    /// Mean depth in the time over which figures that end at `end` are averaged.
    fn mean_depth(&self, end: Time) -> f64 {
        let start = Time(end.0.saturating_sub(FIGURES_SPAN.0));
        let covered = self
            .past
            .iter()
            .filter(|(at, _)| (start..=end).contains(at));
        let depths: Vec<f64> = covered.map(|(_, depth)| *depth).collect();
        depths.iter().sum::<f64>() / (depths.len().max(1) as f64)
    }

    /// Age of the figures.
    pub fn age(&self, now: Time) -> Ms {
        now.since(self.updated) + self.room.age
    }

    /// Whether the figures are too old to be used.
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        self.age(now) >= FIGURES_MAX_AGE
    }

    /// The room that the last figures showed.
    pub fn room(&self) -> &Room {
        &self.room
    }

    /// Whether flows are refused.
    pub fn is_short(&self, now: Time) -> bool {
        self.depth > 0.0 && !self.is_stale(now)
    }

    /// Slots that may be free for flows of another service; none if unknown.
    pub(crate) fn free_slots(&self, now: Time) -> f64 {
        if self.is_stale(now) {
            return 0.0;
        }
        self.room.free
    }

    /// Share of the flows of a priority to refuse, from 0 to 1. `level` is 0 for the
    /// lowest priority among the service's routes, 1 for the next one.
    pub fn share(&self, now: Time, level: u32, floor: Floor) -> f64 {
        if self.is_stale(now) {
            return 0.0;
        }
        let part = (self.depth - f64::from(level)).clamp(0.0, 1.0);
        part * (1.0 - f64::from(floor.0) / 100.0)
    }
}

/// Whether a response that takes as long as expected leaves a flow too little of its goal.
///
/// Load: few VMs, most requests on open flows, and more of them than the slots can do. Targets
/// reject what their queues do not hold, after a time that is most of the goal, and the callers'
/// second and third tries, which can only be answered late, take the slots of first ones. A
/// try that would wait so long is refused at once instead.
pub(crate) fn is_late(expected: Ms, goal: Ms) -> bool {
    expected.0 * 100 > goal.0 * LATE_PERCENT
}

/// Whether a flow belongs to the part that is always let in.
pub(crate) fn is_in_floor(key: FlowKey, floor: Floor) -> bool {
    unit(key) * 100.0 < f64::from(floor.0)
}

/// Flows of one priority that callers opened in the last two seconds, by the
/// bucket of the caller's host.
#[derive(Debug, Clone)]
pub struct CallerHistory {
    /// Number of the part of the history that the last flow falls into.
    part: u64,
    buckets: Vec<[Counts; HISTORY_PARTS as usize]>,
}

/// Flows of a bucket in one part of the history.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    opened: u32,
    refused: u32,
    /// Flows that count as returning after a refusal.
    returned: u32,
}

impl Default for CallerHistory {
    fn default() -> CallerHistory {
        CallerHistory {
            part: 0,
            buckets: vec![Default::default(); BUCKETS],
        }
    }
}

impl CallerHistory {
    /// Decides whether a flow is refused if `share` of all flows is to be. Hosts that
    /// open more than their share are refused first, then hosts that were not refused
    /// within two seconds.
    pub fn refuses(&mut self, now: Time, key: FlowKey, caller: IpAddr, share: f64) -> bool {
        let part = self.advance(now);
        let bucket = bucket(caller);
        self.buckets[bucket][part].opened += 1;
        if share <= 0.0 {
            return false;
        }
        let all: Vec<Counts> = self.buckets.iter().map(|b| sum(b)).collect();
        let mut opened: Vec<u32> = all.iter().map(|c| c.opened).collect();
        opened.sort_unstable();
        let total = opened.iter().sum::<u32>();
        let active = opened.iter().filter(|n| **n > 0).count() as u32;
        let limit = fair_limit(&opened, f64::from(total) * (1.0 - share));
        let own = all[bucket];
        // A bucket that opens far more than others returns no sooner than they do.
        let busy = own.opened * active > 2 * total;
        let returning = own.refused > own.returned && !busy;
        self.buckets[bucket][part].returned += u32::from(returning);
        let returned = all.iter().map(|c| c.returned).sum::<u32>() + u32::from(returning);
        let returned = f64::from(returned) / f64::from(total);
        let refused_share = 1.0 - (limit / f64::from(own.opened)).min(1.0);
        // First-time callers make room for those that return.
        let refused_share = match (busy, returning) {
            (true, _) => refused_share,
            (false, true) => (refused_share - (1.0 - returned)) / returned,
            (false, false) => refused_share / (1.0 - returned),
        };
        // A bucket that is far below its part by chance comes next.
        let let_in = f64::from(own.opened - 1 - own.refused);
        let expected = limit.min(f64::from(own.opened) * (1.0 - share));
        let behind = expected >= 2.0 && let_in < expected / 2.0;
        let refused = !behind && unit(key) < refused_share;
        self.buckets[bucket][part].refused += u32::from(refused);
        refused
    }

    /// Clears the parts that are out of date. Returns the index of the current part.
    fn advance(&mut self, now: Time) -> usize {
        let part = now.0 / (HISTORY_TIME.0 / HISTORY_PARTS);
        let first = (self.part + 1).max((part + 1).saturating_sub(HISTORY_PARTS));
        for old in first..=part {
            for bucket in &mut self.buckets {
                bucket[(old % HISTORY_PARTS) as usize] = Counts::default();
            }
        }
        self.part = self.part.max(part);
        (self.part % HISTORY_PARTS) as usize
    }
}

fn sum(parts: &[Counts]) -> Counts {
    let add = |a: Counts, b: &Counts| Counts {
        opened: a.opened + b.opened,
        refused: a.refused + b.refused,
        returned: a.returned + b.returned,
    };
    parts.iter().fold(Counts::default(), add)
}

/// Limit per bucket at which the buckets together get `allowed` flows, if each gets
/// what it opens up to the limit (max-min fairness). `opened` is in ascending order.
fn fair_limit(opened: &[u32], allowed: f64) -> f64 {
    let mut left = allowed;
    for (i, count) in opened.iter().enumerate() {
        let buckets = (opened.len() - i) as f64;
        if f64::from(*count) * buckets >= left {
            return left / buckets;
        }
        left -= f64::from(*count);
    }
    f64::INFINITY
}

fn bucket(caller: IpAddr) -> usize {
    let hash = match caller {
        IpAddr::V4(ip) => rendezvous::hash(&ip.octets()),
        IpAddr::V6(ip) => rendezvous::hash(&ip.octets()),
    };
    hash as usize % BUCKETS
}

/// Hash of a flow's key, mapped to the interval from 0 to 1 without 1.
fn unit(key: FlowKey) -> f64 {
    (rendezvous::score(key.0, DECISION_SEED) >> 11) as f64 / (1u64 << 53) as f64
}

/// Flows that were refused in the last seconds, so that copies of their opening packets get the
/// same answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct RefusedFlows<T> {
    flows: FxHashMap<FlowKey, T>,
    by_time: VecDeque<(Time, FlowKey)>,
}

impl<T> RefusedFlows<T> {
    pub(crate) fn insert(&mut self, now: Time, key: FlowKey, refusal: T) {
        self.expire(now);
        if self.by_time.len() < MAX_REFUSED && self.flows.insert(key, refusal).is_none() {
            self.by_time.push_back((now, key));
        }
    }

    pub(crate) fn get(&mut self, now: Time, key: FlowKey) -> Option<&T> {
        self.expire(now);
        self.flows.get(&key)
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.by_time.front() {
            if now.since(*at) < HISTORY_TIME {
                return;
            }
            self.flows.remove(key);
            self.by_time.pop_front();
        }
    }
}
