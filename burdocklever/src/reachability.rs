//! Whether a failure domain can be reached, inferred from the health of its targets.
//!
//! Load: a failure domain is cut off while its own targets are out of service. Every
//! flow then goes to targets that no VM there can reach, and callers wait until they give
//! up. A flow that cannot be served is to be refused at once.

use crate::target_health::TargetHealth;
use crate::time::{Ms, Time};

/// Silence of all targets of a failure domain after which it counts as unreachable.
/// Callers send two copies of an opening packet within 600 ms, and so long a gap in
/// which nobody responds is not due to lost packets.
const SILENCE: Ms = Ms(1000);
/// Number of targets that must have left an opening packet unanswered. Fewer may have
/// failed by themselves.
const MIN_TARGETS: usize = 3;
/// Interval between flows that probe an unreachable failure domain. A VM of a large fleet
/// opens a few flows a second, and responses to open flows end it sooner.
const PROBE_INTERVAL: Ms = Ms(1000);

/// Whether a failure domain with these targets is to get no new flows, since none of
/// them can be reached. One flow in [`PROBE_INTERVAL`] is let through as a probe.
pub(crate) fn is_unreachable<'a>(
    now: Time,
    targets: impl Iterator<Item = &'a TargetHealth>,
) -> bool {
    let mut unanswered = 0;
    let mut first_unanswered = None;
    let mut last_response = None;
    let mut last_open = None;
    for health in targets {
        if let Some(since) = health.unaccepted_since(now) {
            unanswered += 1;
            first_unanswered = Some(first_unanswered.map_or(since, |at: Time| at.min(since)));
        }
        last_response = last_response.max(health.last_response());
        last_open = last_open.max(health.last_open());
    }
    let is_past = |at: Option<Time>, time: Ms| at.is_none_or(|at| now.since(at) >= time);
    let silent = is_past(first_unanswered, SILENCE) && is_past(last_response, SILENCE);
    unanswered >= MIN_TARGETS && silent && !is_past(last_open, PROBE_INTERVAL)
}
