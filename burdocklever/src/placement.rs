//! Placement: selects the target of a new flow.
//!
//! Pure functions of what one VM knows about a service's targets. [`select`]
//! prefers targets of the VM's own failure domain, spills over to others when
//! that domain is full, and avoids suspect targets, which may have died without
//! notice. [`least_loaded`] spreads callers that reconnect together after an
//! outage.

use crate::time::Ms;

/// Weight of a pending request in a target's load, in flows. A flow sends a
/// request about once per second and gets its response within tens of
/// milliseconds, so most flows are idle.
const PENDING_WEIGHT: u32 = 4;
/// Share of the route's response-time goal, in percent, above which flows leave
/// the failure domain. The rest of the goal allows for queues that grow.
const SPILL_PERCENT: u64 = 45;
/// Load of a target that has one flow per slot.
const LOAD_UNIT: u32 = 16;
/// Pending requests per slot from which a target counts as busy: one that runs
/// and one that waits.
const BUSY_PER_SLOT: u32 = 2;

/// A target that may take a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Index of the target.
    pub(crate) target: usize,
    /// Whether it runs in this VM's failure domain.
    pub(crate) local: bool,
    /// Whether it appears not to respond.
    pub(crate) suspect: bool,
    /// Load, from [`load`].
    pub(crate) load: u32,
    /// Mean time to the first byte of a response.
    pub(crate) response_time: Ms,
    /// Whether requests probably queue there, from [`is_busy`].
    pub(crate) busy: bool,
    /// Orders candidates of equal load; differs from flow to flow.
    pub(crate) tie_breaker: u64,
}

/// The target of a new flow, and the number of candidates by group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) target: usize,
    pub(crate) load: u32,
    pub(crate) local: u32,
    pub(crate) remote: u32,
    pub(crate) suspects: u32,
    /// Whether the target is suspect, busy or too slow, since no better one was left.
    pub(crate) full: bool,
}

/// Whether requests probably queue at a target. This VM knows of `pending`
/// requests there; each of the `domain_size` VMs of the failure domain is
/// assumed to have as many.
pub(crate) fn is_busy(pending: u32, domain_size: u32, slots: u32) -> bool {
    pending > 0
        && pending.saturating_mul(domain_size.max(1)) >= slots.max(1).saturating_mul(BUSY_PER_SLOT)
}

/// Load of a target with `flows` open flows, of which `pending` have an
/// unanswered request.
pub(crate) fn load(flows: u32, pending: u32, slots: u32) -> u32 {
    let work = flows.saturating_add(pending.saturating_mul(PENDING_WEIGHT));
    work.saturating_mul(LOAD_UNIT) / slots.max(1)
}

/// Selects the target of a new flow: the least loaded one of this failure
/// domain. If that one is busy, or its responses take too large a share of `goal`,
/// a less loaded one elsewhere is preferred. A suspect target is selected only if
/// there is no other.
pub(crate) fn select(candidates: &[Candidate], goal: Ms) -> Option<Choice> {
    let healthy = || candidates.iter().filter(|c| !c.suspect);
    let local = least_loaded(healthy().filter(|c| c.local));
    let remote = least_loaded(healthy().filter(|c| !c.local));
    let best = match (local, remote) {
        (Some(local), Some(remote)) if is_full(local, goal) && remote.load < local.load => remote,
        (Some(local), _) => local,
        (None, remote) => remote.or_else(|| least_loaded(candidates.iter()))?,
    };
    let count = |f: &dyn Fn(&&Candidate) -> bool| candidates.iter().filter(f).count() as u32;
    Some(Choice {
        target: best.target,
        load: best.load,
        local: count(&|c| c.local && !c.suspect),
        remote: count(&|c| !c.local && !c.suspect),
        suspects: count(&|c| c.suspect),
        full: best.suspect || is_full(best, goal),
    })
}

/// Whether a candidate is busy or its responses take too large a share of `goal`.
fn is_full(candidate: &Candidate, goal: Ms) -> bool {
    candidate.busy || candidate.response_time.0 * 100 > goal.0 * SPILL_PERCENT
}

/// The least loaded candidate. The tie breaker differs per flow, so that VMs
/// that all start without flows do not all select the same target.
fn least_loaded<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    candidates.min_by_key(|c| (c.load, c.tie_breaker))
}
