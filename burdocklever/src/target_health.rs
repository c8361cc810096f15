//! What a target's flows show of its health, as one VM sees them pass.
//!
//! A VM sees only what callers send. An opening packet that is followed by
//! another packet of the flow was answered; so was a request whose caller then
//! acknowledges new bytes. A repeated packet was not.

use crate::time::{Ms, Time};

/// Time in which a target accepts a flow. The handshake takes four trips of
/// 1 to 3 ms; the rest is for queues at small VMs.
const ACCEPT: Ms = Ms(80);
/// Time without any sign of life after which repeated packets count as trouble.
/// Callers repeat after 200 ms, so one lost packet shows no silence this long
/// at a target that serves other flows.
const SILENT: Ms = Ms(150);
/// Pause between flows that test a suspect target. Nine VMs that test one
/// target together stay below the five flows a second that a cold one bears.
const PROBE: Ms = Ms(4000);
/// Pause between two checks of one target.
const CHECK_PAUSE: Ms = Ms(900);
/// Longest time that a check runs.
const CHECK_RUNS: Ms = Ms(400);
/// Time for which a check holds that found a target unreachable. A caller's second
/// repeat comes 400 ms after the first, which asks for the check.
const UNREACHABLE: Ms = Ms(1000);
/// Weight of a new sample in the mean answer time, as one part in so many.
const SMOOTHING: u32 = 8;

/// Signs of one target's health.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Signals {
    /// Open flows seen by this VM.
    pub(crate) flows: u32,
    /// Flows whose last request has no answer yet.
    pub(crate) waiting: u32,
    /// Mean time to the first byte of an answer, in microseconds; 0 if unknown.
    mean_us: u32,
    /// First opening packet since the last sign of life.
    asked: Option<Time>,
    /// Last opening packet sent to the target.
    tried: Option<Time>,
    /// First repeated packet since the last sign of life.
    repeated: Option<Time>,
    /// Last sign of life.
    heard: Option<Time>,
    /// Last check that began.
    checked: Option<Time>,
    /// Last check that ended.
    judged: Option<Time>,
    /// Last check that found it alive.
    vouched: Option<Time>,
    /// Last check that could not reach it.
    unreachable: Option<Time>,
    /// Whether it is believed dead.
    given_up: bool,
}

impl Signals {
    /// Notes an opening packet sent to the target.
    pub(crate) fn opened(&mut self, now: Time) {
        self.asked.get_or_insert(now);
        self.tried = Some(now);
    }

    /// Notes a sign of life.
    pub(crate) fn heard(&mut self, now: Time) {
        self.heard = Some(now);
        self.asked = None;
        self.repeated = None;
        self.unreachable = None;
        self.given_up = false;
    }

    /// Notes that the target is believed dead.
    pub(crate) fn give_up(&mut self) {
        self.given_up = true;
    }

    /// Whether the target is believed dead.
    pub(crate) fn is_given_up(&self) -> bool {
        self.given_up
    }

    /// Whether a check may begin now. If so, it counts as begun.
    pub(crate) fn take_check(&mut self, now: Time) -> bool {
        let due = self.checked.is_none_or(|at| now.since(at) >= CHECK_PAUSE);
        if due {
            self.checked = Some(now);
        }
        due
    }

    /// Notes that a check has ended, whatever it found.
    pub(crate) fn judged(&mut self, now: Time) {
        self.judged = Some(now);
    }

    /// Whether a check is under way: a target that was given up long ago may be
    /// back, so nothing is held against it meanwhile.
    pub(crate) fn is_checking(&self, now: Time) -> bool {
        let runs = |at: Time| now.since(at) <= CHECK_RUNS && self.judged.is_none_or(|j| j < at);
        self.checked.is_some_and(runs)
    }

    /// Notes a check that found the target alive. It may still be too busy to
    /// answer, so it stays suspect.
    pub(crate) fn vouch(&mut self, now: Time) {
        self.vouched = Some(now);
        self.unreachable = None;
        self.given_up = false;
    }

    /// Notes a check that could not reach the target.
    pub(crate) fn miss(&mut self, now: Time) {
        self.unreachable = Some(now);
    }

    /// Whether a check could not reach the target lately.
    pub(crate) fn is_unreachable(&self, now: Time) -> bool {
        self.unreachable
            .is_some_and(|at| now.since(at) <= UNREACHABLE)
    }

    /// Whether there was no sign of life after `time`.
    pub(crate) fn is_silent_since(&self, time: Time) -> bool {
        self.heard.max(self.vouched).is_none_or(|at| at <= time)
    }

    /// Notes how long the target took for the first byte of an answer.
    pub(crate) fn answered(&mut self, took: Ms) {
        let sample = u32::try_from(took.0.saturating_mul(1000)).unwrap_or(u32::MAX);
        self.mean_us = match self.mean_us {
            0 => sample.max(1),
            mean => mean - mean / SMOOTHING + sample / SMOOTHING,
        };
    }

    /// Notes a packet that a caller had to repeat.
    pub(crate) fn repeated(&mut self, now: Time) {
        self.repeated.get_or_insert(now);
    }

    /// Mean time to the first byte of an answer; zero if unknown.
    pub(crate) fn answer_time(&self) -> Ms {
        Ms(u64::from(self.mean_us / 1000))
    }

    /// Time since the last sign of life, if there was one.
    pub(crate) fn silence(&self, now: Time) -> Option<Ms> {
        self.heard.map(|at| now.since(at))
    }

    /// Whether the target seems not to answer.
    pub(crate) fn is_suspect(&self, now: Time) -> bool {
        let unaccepted = self.asked.is_some_and(|at| now.since(at) >= ACCEPT);
        let silent = self.silence(now).is_none_or(|gap| gap >= SILENT);
        unaccepted || (self.repeated.is_some() && silent)
    }

    /// Whether a suspect target is due for a flow that tests it.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.tried.is_none_or(|at| now.since(at) >= PROBE)
    }
}
