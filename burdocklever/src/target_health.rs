//! Health of a target, inferred from the packets that one VM forwards to it.
//!
//! The VM sees only what callers send. An opening packet was answered if another
//! packet of the flow follows; a request was answered if the caller then
//! acknowledges new bytes. A packet that is retransmitted was not answered.

use crate::time::{Ms, Time};

/// Time within which a target accepts a flow. The handshake takes four one-way
/// trips of 1 to 3 ms; the rest allows for queueing at small VMs.
const ACCEPT_TIMEOUT: Ms = Ms(80);
/// Time without a response after which retransmissions make a target suspect.
/// Callers retransmit after 200 ms, so at a target that serves other flows a
/// single lost packet does not cause a gap this long.
const RESPONSE_GAP: Ms = Ms(150);
/// Interval between flows that probe a suspect target. Nine VMs that probe the
/// same target stay below the five flows per second that a cold one can take.
const PROBE_INTERVAL: Ms = Ms(4000);
/// Minimum interval between the starts of two checks of one target.
const CHECK_INTERVAL: Ms = Ms(900);
/// Time after which a check that has not reported counts as finished.
const CHECK_EXPIRY: Ms = Ms(400);
/// Time for which the result "unreachable" of a check is valid. A caller's
/// second retransmission comes 400 ms after the first, which starts the check.
const UNREACHABLE_TTL: Ms = Ms(1000);
/// Divisor of the moving average of response times: a new sample has a weight
/// of 1/8.
const AVERAGE_DIVISOR: u32 = 8;

/// Health of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TargetHealth {
    /// Open flows that this VM knows of.
    pub(crate) open_flows: u32,
    /// Flows whose last request is unanswered.
    pub(crate) pending: u32,
    /// Mean time to the first byte of a response, in microseconds; 0 if unknown.
    mean_us: u32,
    /// First opening packet since the last response.
    unanswered_since: Option<Time>,
    /// Last opening packet sent to the target.
    last_open: Option<Time>,
    /// First retransmission since the last response.
    first_retransmission: Option<Time>,
    /// Last time that a caller's packet showed a response.
    last_response: Option<Time>,
    /// Start of the last check.
    check_started: Option<Time>,
    /// End of the last check.
    check_finished: Option<Time>,
    /// Last check that found the target alive.
    confirmed_alive: Option<Time>,
    /// Last check that could not reach the target, unless it responded or passed a
    /// check since.
    unreachable_at: Option<Time>,
    /// Whether the target is marked as failed, so that its flows are reset.
    failed: bool,
}

impl TargetHealth {
    /// Records that an opening packet was sent to the target.
    pub(crate) fn record_open(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
        self.last_open = Some(now);
    }

    /// Records evidence that the target responds.
    pub(crate) fn mark_responsive(&mut self, now: Time) {
        self.last_response = Some(now);
        self.unanswered_since = None;
        self.first_retransmission = None;
        self.unreachable_at = None;
        self.failed = false;
    }

    /// Marks the target as failed.
    pub(crate) fn mark_failed(&mut self) {
        self.failed = true;
    }

    /// Whether the target is marked as failed.
    pub(crate) fn is_failed(&self) -> bool {
        self.failed
    }

    /// Records the start of a check, unless the last one started too recently.
    /// Returns whether the check is to be run.
    pub(crate) fn try_start_check(&mut self, now: Time) -> bool {
        let due = self
            .check_started
            .is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if due {
            self.check_started = Some(now);
        }
        due
    }

    /// Records that a check has ended, whatever its outcome.
    pub(crate) fn finish_check(&mut self, now: Time) {
        self.check_finished = Some(now);
    }

    /// Whether a check is in progress. A target that failed long ago may have
    /// recovered, so its flows are not reset until the check ends.
    pub(crate) fn check_in_progress(&self, now: Time) -> bool {
        let running = |start: Time| {
            now.since(start) <= CHECK_EXPIRY && self.check_finished.is_none_or(|end| end < start)
        };
        self.check_started.is_some_and(running)
    }

    /// Records a check that found the target alive. The target stays suspect,
    /// since it may still be too busy to answer.
    pub(crate) fn record_alive(&mut self, now: Time) {
        self.confirmed_alive = Some(now);
        self.unreachable_at = None;
        self.failed = false;
    }

    /// Records a check that could not reach the target.
    pub(crate) fn record_unreachable(&mut self, now: Time) {
        self.unreachable_at = Some(now);
    }

    /// Whether a recent check could not reach the target.
    pub(crate) fn is_unreachable(&self, now: Time) -> bool {
        self.unreachable_at
            .is_some_and(|at| now.since(at) <= UNREACHABLE_TTL)
    }

    /// Whether the target has neither responded nor passed a check after `time`.
    pub(crate) fn is_silent_since(&self, time: Time) -> bool {
        self.last_response
            .max(self.confirmed_alive)
            .is_none_or(|at| at <= time)
    }

    /// Adds a sample to the mean time to the first byte of a response.
    pub(crate) fn record_response_time(&mut self, sample: Ms) {
        let sample = u32::try_from(sample.0.saturating_mul(1000)).unwrap_or(u32::MAX);
        self.mean_us = match self.mean_us {
            0 => sample.max(1),
            mean => mean - mean / AVERAGE_DIVISOR + sample / AVERAGE_DIVISOR,
        };
    }

    /// Records that a caller retransmitted a packet.
    pub(crate) fn record_retransmission(&mut self, now: Time) {
        self.first_retransmission.get_or_insert(now);
    }

    /// Mean time to the first byte of a response; zero if unknown.
    pub(crate) fn mean_response_time(&self) -> Ms {
        Ms(u64::from(self.mean_us / 1000))
    }

    /// Time since the last response; none if there was none.
    pub(crate) fn time_since_response(&self, now: Time) -> Option<Ms> {
        self.last_response.map(|at| now.since(at))
    }

    /// Last time that a caller's packet showed a response.
    pub(crate) fn last_response(&self) -> Option<Time> {
        self.last_response
    }

    /// Last time that an opening packet was sent to the target.
    pub(crate) fn last_open(&self) -> Option<Time> {
        self.last_open
    }

    /// Time since which the target has left an opening packet unanswered.
    pub(crate) fn unaccepted_since(&self, now: Time) -> Option<Time> {
        self.unanswered_since
            .filter(|at| now.since(*at) >= ACCEPT_TIMEOUT)
    }

    /// Whether the target appears not to respond.
    pub(crate) fn is_suspect(&self, now: Time) -> bool {
        let unaccepted = self.unaccepted_since(now).is_some();
        let silent = self
            .time_since_response(now)
            .is_none_or(|gap| gap >= RESPONSE_GAP);
        unaccepted || (self.first_retransmission.is_some() && silent)
    }

    /// Whether a suspect target may get a flow as a probe.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        self.last_open
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL)
    }
}
