//! Placement of new flows by the load that all VMs together see.
//!
//! Pure functions. A flow's candidates are few and differ from flow to flow, since
//! all VMs learn of an idle target at the same moment, from figures that are
//! seconds old: if each selected the least loaded target of all, they would
//! together fill it. Without fresh figures [`crate::placement`] decides.

use crate::placement::Choice;
use crate::rendezvous;
use crate::target_load::TargetLoad;
use crate::time::{Ms, Time};

/// Age from which figures are not used.
pub(crate) const MAX_FIGURES_AGE: Ms = Ms(6000);
/// Number of candidates for a flow. With two, a target that cannot serve is met
/// too often as one of both; with more, targets that seem idle draw more flows
/// than the figures, which are seconds old, can show.
const CANDIDATES: usize = 3;
/// Number of responses from which a target's response time indicates its speed.
const MIN_SAMPLES: u32 = 8;
/// Speed of a target whose response time is the service's median, in percent.
const MEDIAN_SPEED: u32 = 100;
/// Limits of a target's speed, in percent. A response time also reflects the
/// requests that happened to meet; the limits keep such chance from moving flows.
const SPEED_RANGE: (u32, u32) = (40, 125);
/// Divisor of the median below which a response time is not believed: a target
/// that answers so fast may refuse everything.
const SUSPICIOUS_DIVISOR: u64 = 4;
/// Divisor of a target's requests: if as many are unanswered, the target hangs.
/// Lost packets and VMs with a bad link leave a smaller part unanswered.
const UNANSWERED_DIVISOR: u32 = 4;
/// Requests in progress per slot, in hundredths, from which a target counts as
/// busy: one that runs and one that waits.
const BUSY_IN_PROGRESS: u64 = 200;
/// Share of the route's response-time goal, in percent, above which a service
/// is full. The rest of the goal allows for queues that grow.
const FULL_PERCENT: u64 = 45;
/// Share of another's response time, in percent, below which a target is expected
/// to answer sooner. Means of a few responses differ by chance, and all VMs see the
/// same difference.
const SOONER_PERCENT: u64 = 80;
/// Limits of the load of one flow, in hundredths of a request per second. A flow of
/// one request is at least one in the four seconds that the figures cover.
const FLOW_RATE_RANGE: (u32, u32) = (25, 100);

/// A target's figures, as [`prepare`] returns them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SharedFigures {
    /// Time at which the sums were made.
    pub(crate) made: Time,
    pub(crate) load: TargetLoad,
    /// Speed relative to the service's other targets, in percent.
    pub(crate) speed: u32,
    /// Whether the response time is too short to be believed.
    pub(crate) suspicious: bool,
}

/// What the figures of a service's targets have in common.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ServiceSummary {
    /// Median of the targets' response times; zero if unknown.
    pub(crate) median: Ms,
    /// Mean of all response times; zero if unknown.
    pub(crate) mean_time: Ms,
    /// Load of one flow, in hundredths of a request per second.
    pub(crate) flow_rate: u32,
    /// Mean load of a slot at median speed, in hundredths of a request per second.
    pub(crate) mean_load: u32,
}

/// A target that may take a new flow, with all that the decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Index of the target.
    pub(crate) target: usize,
    /// Rendezvous hash of flow and target.
    pub(crate) score: u64,
    /// Whether it runs in this VM's failure domain.
    pub(crate) local: bool,
    /// Whether it appears not to respond, or has been tried for this flow.
    pub(crate) suspect: bool,
    /// Slots, at least one.
    pub(crate) slots: u32,
    /// Fresh shared figures.
    pub(crate) figures: Option<SharedFigures>,
    /// Flows that this VM placed there since the figures were made or, without
    /// figures, that it knows of, times the VMs of its failure domain: the others
    /// follow the same figures.
    pub(crate) own_flows: u32,
}

/// A selected target and what the choice between services depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Placed {
    pub(crate) choice: Choice,
    /// Whether the target appears not to respond.
    pub(crate) suspect: bool,
    /// Whether requests queue at the target.
    pub(crate) busy: bool,
    /// Expected response time; zero if unknown.
    pub(crate) response_time: Ms,
    /// Age of the shared figures that decided; none if this VM's own ones did.
    pub(crate) age: Option<Ms>,
}

/// Computes a service's summary from figures and slots of its targets.
pub(crate) fn summarize<'a>(
    targets: impl Iterator<Item = (&'a TargetLoad, u32)> + Clone,
) -> ServiceSummary {
    let timed = targets.clone().filter(|(l, _)| l.samples >= MIN_SAMPLES);
    let mut times: Vec<Ms> = timed.map(|(l, _)| l.response_time).collect();
    let middle = times.len() / 2;
    let median = match times.is_empty() {
        true => Ms(0),
        false => *times.select_nth_unstable(middle).1,
    };
    let sum = |f: &dyn Fn(&TargetLoad) -> u64| -> u64 { targets.clone().map(|(l, _)| f(l)).sum() };
    let rate = sum(&|l| l.rate.0.into());
    let samples = sum(&|l| l.samples.into());
    let total_time = sum(&|l| l.response_time.0 * u64::from(l.samples));
    let slots: u64 = targets.clone().map(|(_, s)| u64::from(s.max(1))).sum();
    let flow_rate = rate / sum(&|l| l.flows.into()).max(1);
    let (min, max) = FLOW_RATE_RANGE;
    ServiceSummary {
        median,
        mean_time: Ms(total_time / samples.max(1)),
        flow_rate: flow_rate.clamp(min.into(), max.into()) as u32,
        mean_load: (rate / slots.max(1)) as u32,
    }
}

/// Prepares a target's figures for decisions. A target whose last responses, in
/// `previous`, were too fast stays suspicious until it sends others: without requests
/// it would seem idle.
pub(crate) fn prepare(
    now: Time,
    load: Option<&TargetLoad>,
    previous: Option<SharedFigures>,
    summary: &ServiceSummary,
) -> Option<SharedFigures> {
    let was_suspicious = previous.is_some_and(|f| f.suspicious);
    let idle = was_suspicious.then(TargetLoad::default);
    let load = load.copied().or(idle)?;
    let time = load.response_time.0.max(1);
    let measured = load.samples >= MIN_SAMPLES && summary.median > Ms(0);
    let short = load.response_time.0 * SUSPICIOUS_DIVISOR < summary.median.0;
    // A target that refuses everything keeps no flows, so it has few samples.
    let suspicious = match load.samples {
        0 => was_suspicious,
        _ => short,
    };
    let (min, max) = SPEED_RANGE;
    let speed = match measured && !suspicious {
        true => {
            (summary.median.0 * u64::from(MEDIAN_SPEED) / time).clamp(min.into(), max.into()) as u32
        }
        false => MEDIAN_SPEED,
    };
    Some(SharedFigures {
        made: Time(now.0.saturating_sub(load.age.0)),
        load,
        speed,
        suspicious,
    })
}

/// Whether figures of so many of a service's candidates are enough to decide by: at
/// least half.
pub(crate) fn is_enough(known: usize, candidates: usize) -> bool {
    known > 0 && known * 2 >= candidates
}

/// Selects the target of a flow among a service's candidates: the least loaded
/// of three in this failure domain. If that one is busy, or its responses take
/// too large a share of `goal`, one elsewhere is preferred if it is not busy and
/// expected to answer sooner. A target that is suspect or hangs is selected only
/// if there is no other.
pub(crate) fn select(
    now: Time,
    candidates: &[Candidate],
    summary: &ServiceSummary,
    goal: Ms,
) -> Option<Placed> {
    let best = |filter: &dyn Fn(&Candidate) -> bool| {
        let three = first_ranked(candidates.iter().filter(|c| filter(c)));
        let least = three.into_iter().flatten();
        least.min_by_key(|c| (is_busy(c, summary), c.load(summary)))
    };
    let full = |c: &Candidate| is_busy(c, summary) || is_slow(c.response_time(summary), goal);
    let healthy = |c: &Candidate| !c.suspect && !c.hangs();
    let local = best(&|c| c.local && healthy(c));
    let remote = match local {
        Some(local) if !full(local) => None,
        _ => best(&|c| !c.local && healthy(c)),
    };
    let sooner = |a: &Candidate, b: &Candidate| {
        !is_busy(a, summary) && is_sooner(a.response_time(summary), b.response_time(summary))
    };
    let selected = match (local, remote) {
        (Some(local), Some(remote)) if sooner(remote, local) => remote,
        (Some(local), _) => local,
        (None, Some(remote)) => remote,
        (None, None) => best(&|c| !c.suspect).or_else(|| best(&|_| true))?,
    };
    let count = |f: &dyn Fn(&&Candidate) -> bool| candidates.iter().filter(f).count() as u32;
    let age = |c: &Candidate| c.figures.map(|f| now.since(f.made));
    let choice = Choice {
        target: selected.target,
        load: selected.load(summary),
        local: count(&|c| c.local && !c.suspect),
        remote: count(&|c| !c.local && !c.suspect),
        suspects: count(&|c| c.suspect),
        full: !healthy(selected) || full(selected),
    };
    Some(Placed {
        choice,
        suspect: selected.suspect,
        busy: !healthy(selected) || is_busy(selected, summary),
        response_time: selected.response_time(summary),
        // A target without figures is placed by those of its service.
        age: age(selected).or_else(|| candidates.iter().filter_map(age).max()),
    })
}

/// Selects among a route's services, of which `first` ranks first for the flow and
/// the others follow. The weights apply while the first one has room. By shared
/// figures, a flow goes on only to a target that is not busy and is expected to
/// answer sooner. Where load is shared but not known yet, the weights hold: after the
/// loss of all VMs each one sees too little to distinguish a full service from an idle one,
/// and targets that reject requests at once seem idle. Where it is not shared, a flow goes on
/// to a target that is not full by this VM's own figures.
pub(crate) fn select_service(
    first: Placed,
    mut others: impl Iterator<Item = Placed>,
    shares_load: bool,
) -> Placed {
    if !first.choice.full {
        return first;
    }
    let better = |p: &Placed| match first.age {
        Some(_) => !p.busy && is_sooner(p.response_time, first.response_time),
        None if shares_load => first.suspect && !p.suspect,
        None => !p.choice.full,
    };
    others.find(better).unwrap_or(first)
}

impl Candidate {
    /// Load of a slot at median speed, in hundredths of a request per second.
    fn load(&self, summary: &ServiceSummary) -> u32 {
        let speed = self.speed().max(1);
        let work = u64::from(self.rate(summary)) * u64::from(MEDIAN_SPEED);
        let load = work / (u64::from(self.slots) * u64::from(speed));
        let load = u32::try_from(load).unwrap_or(u32::MAX);
        // Flows end early at a target that refuses requests, so it seems idle.
        match self.figures.is_some_and(|f| f.suspicious) {
            true => load.max(summary.mean_load),
            false => load,
        }
    }

    /// Requests per second, in hundredths.
    fn rate(&self, summary: &ServiceSummary) -> u32 {
        let own = self.own_flows.saturating_mul(summary.flow_rate);
        self.figures
            .map_or(0, |f| f.load.rate.0)
            .saturating_add(own)
    }

    fn speed(&self) -> u32 {
        self.figures.map_or(MEDIAN_SPEED, |f| f.speed)
    }

    /// Expected response time; zero if unknown. Where responses are few, the mean of
    /// the service stands in for the missing ones.
    fn response_time(&self, summary: &ServiceSummary) -> Ms {
        let load = self.figures.map(|f| f.load).unwrap_or_default();
        let samples = u64::from(load.samples.min(MIN_SAMPLES));
        let missing = u64::from(MIN_SAMPLES) - samples;
        let total = load.response_time.0 * samples + summary.mean_time.0 * missing;
        Ms(total / u64::from(MIN_SAMPLES))
    }

    /// Whether requests get no response, and lost packets are not the cause.
    fn hangs(&self) -> bool {
        self.figures.is_some_and(|f| {
            let unanswered = f.load.unanswered.0;
            let most = unanswered.saturating_mul(UNANSWERED_DIVISOR) >= f.load.rate.0;
            unanswered > 0 && (f.load.samples == 0 || most)
        })
    }
}

/// Whether requests queue at a target, by Little's law: those in progress are the
/// requests per second times the response time.
fn is_busy(candidate: &Candidate, summary: &ServiceSummary) -> bool {
    let rate = u64::from(candidate.rate(summary));
    let in_progress = rate * candidate.response_time(summary).0 / 1000;
    candidate.hangs() || in_progress >= u64::from(candidate.slots) * BUSY_IN_PROGRESS
}

/// Whether one response time is known and shorter than another by more than chance.
fn is_sooner(time: Ms, other: Ms) -> bool {
    time > Ms(0) && time.0 * 100 < other.0 * SOONER_PERCENT
}

/// Whether responses take too large a share of the goal.
fn is_slow(response_time: Ms, goal: Ms) -> bool {
    response_time.0 * 100 > goal.0 * FULL_PERCENT
}

/// The first candidates of a flow by rendezvous hash, weighted by speed and
/// slots.
fn first_ranked<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
) -> [Option<&'a Candidate>; CANDIDATES] {
    let mut first = [None; CANDIDATES];
    let mut ranks = [f64::INFINITY; CANDIDATES];
    for candidate in candidates {
        let weight = candidate.slots.saturating_mul(candidate.speed()).max(1);
        let rank = rendezvous::weighted_rank(candidate.score, weight);
        let place = ranks.iter().position(|r| rank < *r);
        if let Some(place) = place {
            ranks[place..].rotate_right(1);
            first[place..].rotate_right(1);
            (ranks[place], first[place]) = (rank, Some(candidate));
        }
    }
    first
}
