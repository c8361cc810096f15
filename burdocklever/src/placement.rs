//! Placement: which target gets a new flow.
//!
//! Pure functions over what one VM knows of a service's targets. Each answers
//! one load pattern: [`choose`] a calm day and a full failure domain, its
//! suspects a target that died without a word, [`cheapest`] a herd of callers
//! that come back together.

use crate::time::Ms;

/// Requests that wait count as this many flows: a flow sends one about once a
/// second and is answered in tens of milliseconds, so most flows are quiet.
const WAITING_WEIGHT: u32 = 4;
/// Share of the route's goal, in percent, that answers may take before flows
/// leave the failure domain. Above it little is left for queues to grow.
const SPILL_PERCENT: u64 = 45;
/// Load is counted in parts of one flow a slot.
const LOAD_UNIT: u32 = 16;

/// A target that may take a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Index of the target.
    pub(crate) target: usize,
    /// Whether it runs in this VM's failure domain.
    pub(crate) near: bool,
    /// Whether it seems not to answer.
    pub(crate) suspect: bool,
    /// Load, from [`load`].
    pub(crate) load: u32,
    /// Mean time to the first byte of an answer.
    pub(crate) answer: Ms,
    /// Whether requests seem to queue there, from [`is_busy`].
    pub(crate) busy: bool,
    /// Breaks ties; differs from flow to flow.
    pub(crate) tie: u64,
}

/// The target for a new flow and what spoke for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) target: usize,
    pub(crate) load: u32,
    pub(crate) near: u32,
    pub(crate) far: u32,
    pub(crate) suspects: u32,
    /// Whether the target is full all the same.
    pub(crate) full: bool,
}

/// Rounds of requests that a target may have at hand before it counts as busy:
/// one that runs and one that waits for it.
const ROUNDS: u32 = 2;

/// Whether requests queue at a target where this VM has seen `waiting` of them
/// without an answer. The `peers` VMs of the failure domain see as many each.
pub(crate) fn is_busy(waiting: u32, peers: u32, slots: u32) -> bool {
    waiting > 0 && waiting.saturating_mul(peers.max(1)) >= slots.max(1) * ROUNDS
}

/// Load of a target that has `flows` open, `waiting` of them without an answer.
pub(crate) fn load(flows: u32, waiting: u32, slots: u32) -> u32 {
    let work = flows.saturating_add(waiting.saturating_mul(WAITING_WEIGHT));
    work.saturating_mul(LOAD_UNIT) / slots.max(1)
}

/// Picks the target of a new flow: the least loaded in this failure domain,
/// elsewhere once answers here use up too much of `goal`, and a suspect only
/// if no other is left.
pub(crate) fn choose(list: &[Candidate], goal: Ms) -> Option<Choice> {
    let healthy = || list.iter().filter(|c| !c.suspect);
    let near = cheapest(healthy().filter(|c| c.near));
    let far = cheapest(healthy().filter(|c| !c.near));
    let best = match (near, far) {
        (Some(near), Some(far)) if is_full(near, goal) && far.load < near.load => far,
        (Some(near), _) => near,
        (None, far) => far.or_else(|| cheapest(list.iter()))?,
    };
    let count = |f: &dyn Fn(&&Candidate) -> bool| list.iter().filter(f).count() as u32;
    Some(Choice {
        target: best.target,
        load: best.load,
        near: count(&|c| c.near && !c.suspect),
        far: count(&|c| !c.near && !c.suspect),
        suspects: count(&|c| c.suspect),
        full: best.suspect || is_full(best, goal),
    })
}

fn is_full(near: &Candidate, goal: Ms) -> bool {
    near.busy || near.answer.0 * 100 > goal.0 * SPILL_PERCENT
}

/// The least loaded target. Each flow breaks ties its own way, so that VMs
/// which all start with no flows do not all pick the same target.
fn cheapest<'a>(list: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    list.min_by_key(|c| (c.load, c.tie))
}
