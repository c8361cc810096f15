//! Pace of a target that starts or recovers: limits its new flows until it
//! carries its share.
//!
//! A target whose cold time is over is idle, so each VM on its own would select it
//! for all of its next flows. A [`Pace`] gives out credit for flows at a rate that
//! rises while the target responds about as fast as its peers, and falls when it
//! does not. Rates are those of all VMs of the failure domain together; each VM
//! gives out its part of them, in turn with the others.

use crate::target_load::{RequestRate, TargetLoad};
use crate::time::{Ms, Time};

/// Time after which the rate may rise again.
const STEP: Ms = Ms(500);
/// Steps without an event after which older steps are not looked at.
const MAX_STEPS: u64 = 8;
/// Response time, in percent of the peers' median, up to which the rate rises.
const NEAR_PERCENT: u64 = 150;
/// Response time, in percent of the peers' median, above which the rate is halved.
const FAR_PERCENT: u64 = 300;
/// Part of a response time that is never held against a target: one-way trips
/// take 1 to 3 ms, which is much for requests of a few milliseconds.
const SLACK: Ms = Ms(5);
/// The rate never falls below this part of its start. A target that got no flows at
/// all would never be seen to recover.
const FLOOR_DIVISOR: u32 = 4;
/// Credit that a rate of one hundredth of a flow per second gives for a flow, in
/// milliseconds, at a failure domain of one VM.
const FLOW: i64 = 100_000;
/// Time after which unused credit lapses. Otherwise the VMs would keep a flow each
/// and could spend all of them at once.
const CREDIT_TTL: Ms = Ms(1000);
/// Flows that a target without credit may be given in advance, when there is no
/// other target.
const MAX_ADVANCE: i64 = 4;
/// Highest multiple of the rate, in percent, when most targets of a service are on
/// a pace.
const MAX_RELIEF: u32 = 10_000;
/// Time for which shared figures stand for the steps that follow: they come once a
/// second.
const SHARED_TTL: Ms = Ms(1000);
/// Share of a target's requests, in 1/n, that may be unanswered by shared figures.
/// These are moving averages, in which a single lost packet shows for seconds.
const UNANSWERED_DIVISOR: u32 = 20;

/// Why a target is on a pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceCause {
    /// Its cold time is over.
    Cold,
    /// It has a new incarnation.
    Incarnation,
    /// Its failure domain came back, and it has not restarted meanwhile.
    DomainReturn,
    /// It was suspect or failed and responds again.
    Responds,
}

impl PaceCause {
    /// The cause in words, for the log.
    pub(crate) fn text(self) -> &'static str {
        match self {
            PaceCause::Cold => "cold time over",
            PaceCause::Incarnation => "new incarnation",
            PaceCause::DomainReturn => "failure domain back",
            PaceCause::Responds => "responds again",
        }
    }
}

/// Pace of one target, as one VM keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    begun: Time,
    cause: PaceCause,
    start: RequestRate,
    /// New flows per second from all VMs together.
    rate: RequestRate,
    /// Credit of this VM at `accrued`; a flow costs [`Pace::flow_cost`].
    credit: i64,
    accrued: Time,
    /// Number of VMs that share the rate.
    vms: u32,
    /// Multiple of the rate, in percent, while most targets are on a pace.
    relief: u32,
    step_start: Time,
    /// Sum and number of the response times in this step.
    step_sum: u64,
    step_samples: u32,
    /// Whether a request was unanswered or a response far too late in this step.
    step_failed: bool,
    /// Last time that the rate was halved.
    lowered: Option<Time>,
    /// Median response time of the peers, as of the last event.
    median: Ms,
    /// Whether the last responses were near that median; none if none has come.
    near: Option<bool>,
    /// Verdict of the last shared figures and when they came.
    shared: Option<(Time, bool)>,
    /// Unanswered requests by those figures.
    unanswered: RequestRate,
}

impl Pace {
    /// Pace that begins at `now` with the rate `start`, at a failure domain of one VM.
    pub fn begin(now: Time, cause: PaceCause, start: RequestRate) -> Pace {
        let start = RequestRate(start.0.max(1));
        Pace {
            begun: now,
            cause,
            start,
            rate: start,
            credit: FLOW,
            accrued: now,
            vms: 1,
            relief: 100,
            step_start: now,
            step_sum: 0,
            step_samples: 0,
            step_failed: false,
            lowered: None,
            median: Ms(0),
            near: None,
            shared: None,
            unanswered: RequestRate(0),
        }
    }

    /// Shares a new pace among `vms` VMs, of which this one is at `turn`, counted from
    /// zero. The first has credit for a flow at once, each later one when the rate
    /// allows one flow more.
    pub fn share(mut self, vms: u32, turn: u32) -> Pace {
        self.vms = vms.max(1);
        self.credit = self.flow_cost() - i64::from(turn % self.vms) * FLOW;
        self
    }

    /// Begins again at a target that failed and responds again. Neither the rate nor
    /// the credit rises by that.
    pub(crate) fn begin_again(&mut self, now: Time, cause: PaceCause) {
        self.accrue(now);
        let start = Pace::begin(now, cause, self.start);
        *self = Pace {
            rate: self.rate.min(self.start),
            credit: self.credit,
            vms: self.vms,
            relief: self.relief,
            ..start
        };
    }

    /// Sets the number of VMs that share the rate, and the multiple of the rate that
    /// is given out, from [`relief`].
    pub fn set_limits(&mut self, now: Time, vms: u32, relief: u32) {
        self.accrue(now);
        let vms = vms.max(1);
        self.credit = self.credit * i64::from(vms) / i64::from(self.vms);
        self.vms = vms;
        self.relief = relief.clamp(100, MAX_RELIEF);
    }

    /// Records a response. Returns whether the rate was lowered.
    pub fn on_response(&mut self, now: Time, response_time: Ms, median: Ms) -> bool {
        self.advance(now);
        self.median = median;
        if now < self.begun || median == Ms(0) {
            return false;
        }
        self.step_sum += response_time.0;
        self.step_samples += 1;
        is_above(response_time, median, FAR_PERCENT) && self.lower(now)
    }

    /// Records that a request or an opening packet stays unanswered. Returns whether
    /// the rate was lowered.
    pub fn on_unanswered(&mut self, now: Time) -> bool {
        self.advance(now);
        now >= self.begun && self.lower(now)
    }

    /// Records new figures of all VMs. Those from before the pace are not counted.
    /// Returns whether the rate was lowered.
    pub fn on_shared(&mut self, now: Time, load: &TargetLoad, median: Ms) -> bool {
        self.advance(now);
        self.median = median;
        let measured = Time(now.0.saturating_sub(load.age.0));
        let earlier = measured < self.begun;
        if now < self.begun || earlier || load.samples == 0 || median == Ms(0) {
            return false;
        }
        let unanswered = load.unanswered.0 > load.rate.0 / UNANSWERED_DIVISOR;
        let rising = unanswered && load.unanswered > self.unanswered;
        self.unanswered = load.unanswered;
        let near = !unanswered && !is_above(load.response_time, median, NEAR_PERCENT);
        self.shared = Some((now, near));
        (rising || is_above(load.response_time, median, FAR_PERCENT)) && self.lower(now)
    }

    /// Takes the credit for one flow. Returns false if there was none; the flow then
    /// delays the next credit.
    pub fn take(&mut self, now: Time) -> bool {
        let had_credit = self.has_credit(now);
        self.accrue(now);
        let cost = self.flow_cost();
        self.credit = (self.credit - cost).max(-MAX_ADVANCE * cost);
        had_credit
    }

    /// Whether there is credit for a flow.
    pub fn has_credit(&self, now: Time) -> bool {
        now >= self.begun && self.credit(now) >= self.flow_cost()
    }

    /// Credit of this VM, to compare targets by.
    pub(crate) fn credit(&self, now: Time) -> i64 {
        let gain = |time: Ms| {
            let rate = i64::from(self.rate.0) * i64::from(self.relief) / 100;
            rate.saturating_mul(i64::try_from(time.0).unwrap_or(i64::MAX))
        };
        let credit = self.credit.saturating_add(gain(now.since(self.accrued)));
        let cost = self.flow_cost();
        let excess = credit - cost.saturating_add(gain(CREDIT_TTL));
        // Lapses by whole flows, so that the VMs stay apart.
        credit - (excess.max(0) as u64).div_ceil(cost as u64) as i64 * cost
    }

    /// Whether the target carries its share: its rate has reached that of its peers
    /// and its last responses came about as fast as theirs.
    pub fn is_over(&self, peers: RequestRate) -> bool {
        self.near == Some(true) && self.rate >= peers
    }

    /// New flows per second from all VMs of the failure domain together.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Rate that the pace began with.
    pub(crate) fn start(&self) -> RequestRate {
        self.start
    }

    /// Why the pace began.
    pub fn cause(&self) -> PaceCause {
        self.cause
    }

    /// Time since the pace began.
    pub(crate) fn age(&self, now: Time) -> Ms {
        now.since(self.begun)
    }

    /// Ends the steps that are over at `now`. The rate rises by half with each in
    /// which responses came near the peers' median and none failed.
    pub(crate) fn advance(&mut self, now: Time) {
        while now.since(self.step_start) >= STEP {
            let end = self.step_start + STEP;
            let mean = self.step_sum.checked_div(u64::from(self.step_samples));
            let own = mean.map(|m| !is_above(Ms(m), self.median, NEAR_PERCENT));
            let current = |(at, near): (Time, bool)| (end.since(at) <= SHARED_TTL).then_some(near);
            let verdicts = [own, self.shared.and_then(current)];
            if self.step_failed || verdicts.contains(&Some(false)) {
                self.near = Some(false);
            } else if verdicts.contains(&Some(true)) {
                self.accrue(end);
                self.near = Some(true);
                self.rate = RequestRate(self.rate.0.saturating_add(self.rate.0.div_ceil(2)));
            }
            self.step_sum = 0;
            self.step_samples = 0;
            self.step_failed = false;
            let idle = now.since(end) >= Ms(STEP.0 * MAX_STEPS);
            self.step_start = if idle { now } else { end };
        }
    }

    /// Halves the rate, at most once a step: what fails together counts once.
    fn lower(&mut self, now: Time) -> bool {
        self.step_failed = true;
        self.near = Some(false);
        if self.lowered.is_some_and(|at| now.since(at) < STEP) {
            return false;
        }
        self.accrue(now);
        self.lowered = Some(now);
        let floor = RequestRate((self.start.0 / FLOOR_DIVISOR).max(1));
        let old = self.rate;
        self.rate = RequestRate(old.0 / 2).max(floor);
        self.rate < old
    }

    fn accrue(&mut self, now: Time) {
        self.credit = self.credit(now);
        self.accrued = self.accrued.max(now);
    }

    /// Credit that a flow costs.
    fn flow_cost(&self) -> i64 {
        i64::from(self.vms) * FLOW
    }
}

/// Whether a response time is above a percentage of the median of the peers.
fn is_above(response_time: Ms, median: Ms, percent: u64) -> bool {
    response_time > (median + SLACK).max(Ms(median.0 * percent / 100))
}

/// Multiple of the rate, in percent, at a service with `paced` of `total` targets on a
/// pace. Up to half of them, the rate holds. Beyond that it grows as the others get
/// fewer, so that their load does not exceed twice the mean for the sake of the pace.
pub fn relief(paced: usize, total: usize) -> u32 {
    if paced * 2 <= total {
        return 100;
    }
    let others = (total - paced.min(total)) * 2;
    let percent = (100 * total).checked_div(others);
    percent.map_or(MAX_RELIEF, |p| {
        MAX_RELIEF.min(u32::try_from(p).unwrap_or(MAX_RELIEF))
    })
}

/// The median; of an even number, the lower one. None without values.
pub(crate) fn median<T: Ord + Copy>(values: &mut [T]) -> Option<T> {
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable(middle).1)
}
