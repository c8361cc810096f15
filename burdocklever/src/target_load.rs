//! Load of targets, as one VM or all VMs together see it.

use std::fmt;
use std::str::FromStr;

use rustc_hash::FxHashMap;
use wire::ParseError;

use crate::time::{Ms, Time};
use crate::token::Token;

/// Seconds that the moving averages cover, besides the one that is running.
const WINDOW_SECONDS: usize = 4;
/// Length of the interval that one bucket of a moving average counts.
const BUCKET: Ms = Ms(1000);

/// Requests per second, in hundredths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(pub u32);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}/s", self.0 / 100, self.0 % 100)
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<RequestRate, ParseError> {
        let number = s.strip_suffix("/s").and_then(|n| n.parse::<f64>().ok());
        let hundredths = number.map(|n| (n * 100.0).round());
        let in_range = hundredths.filter(|n| (0.0..=f64::from(u32::MAX)).contains(n));
        in_range
            .map(|n| RequestRate(n as u32))
            .ok_or_else(|| ParseError {
                expected: "a rate such as 12.50/s",
                found: s.into(),
            })
    }
}

/// Load of one incarnation of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that callers sent, without retransmissions.
    pub rate: RequestRate,
    /// Mean time to the first byte of a response; zero without samples.
    pub response_time: Ms,
    /// Number of responses in that mean.
    pub samples: u32,
    /// Flows with a packet in the last seconds.
    pub flows: u32,
    /// Requests that callers retransmitted while the target sent no response.
    pub unanswered: RequestRate,
    /// Age of the figures.
    pub age: Ms,
}

/// Load of the targets, summed over all VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedLoad {
    /// Time at which this VM computed the sums.
    pub at: Time,
    /// Number of VMs that the sums cover.
    pub vms: u32,
    /// Figures by token, which names a target and its incarnation.
    pub targets: FxHashMap<Token, TargetLoad>,
}

/// What one VM counted at a target within one second.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    requests: u16,
    responses: u16,
    unanswered: u16,
    opened: u16,
    /// Sum of the response times.
    total_ms: u32,
}

/// A VM's own figures of a target, as moving averages.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OwnLoad {
    /// Number of the second that is running, on this VM's clock.
    second: u64,
    /// Buckets by the number of their second, modulo their count.
    buckets: [Bucket; WINDOW_SECONDS + 1],
}

impl OwnLoad {
    /// Records a request's first data.
    pub(crate) fn record_request(&mut self, now: Time) {
        let bucket = self.current(now);
        bucket.requests = bucket.requests.saturating_add(1);
    }

    /// Records the first byte of a response.
    pub(crate) fn record_response(&mut self, now: Time, response_time: Ms) {
        let bucket = self.current(now);
        let ms = u32::try_from(response_time.0).unwrap_or(u32::MAX);
        bucket.responses = bucket.responses.saturating_add(1);
        bucket.total_ms = bucket.total_ms.saturating_add(ms);
    }

    /// Records a request or an opening packet that the target did not answer.
    pub(crate) fn record_unanswered(&mut self, now: Time) {
        let bucket = self.current(now);
        bucket.unanswered = bucket.unanswered.saturating_add(1);
    }

    /// Records that this VM placed a flow at the target.
    pub(crate) fn record_open(&mut self, now: Time) {
        let bucket = self.current(now);
        bucket.opened = bucket.opened.saturating_add(1);
    }

    /// Number of flows placed after `time`, as far as the window reaches.
    pub(crate) fn opened_since(&self, now: Time, time: Time) -> u32 {
        let start = (time.0 / BUCKET.0).max(now.0 / BUCKET.0 - self.reach(now));
        let seconds = start..=self.second;
        seconds.map(|s| u32::from(self.bucket(s).opened)).sum()
    }

    /// The figures at `now`; `flows` were counted by the caller.
    pub(crate) fn figures(&self, now: Time, flows: u32) -> TargetLoad {
        let oldest = now.0 / BUCKET.0 - self.reach(now);
        let (mut requests, mut unanswered, mut samples) = (0u64, 0u64, 0u32);
        let mut total = 0u64;
        for bucket in (oldest..=self.second).map(|s| self.bucket(s)) {
            requests += u64::from(bucket.requests);
            unanswered += u64::from(bucket.unanswered);
            samples += u32::from(bucket.responses);
            total += u64::from(bucket.total_ms);
        }
        let window = WINDOW_SECONDS as u64 * BUCKET.0 + now.0 % BUCKET.0;
        let rate = |n: u64| RequestRate((n * 100_000).div_ceil(window) as u32);
        let divisor = u64::from(samples.max(1));
        TargetLoad {
            rate: rate(requests),
            response_time: Ms((total + divisor / 2) / divisor),
            samples,
            flows,
            unanswered: rate(unanswered),
            age: Ms(0),
        }
    }

    /// Number and mean time of the responses in the running second and the one before.
    pub(crate) fn recent_responses(&self, now: Time) -> (u32, Ms) {
        let second = now.0 / BUCKET.0;
        let first = second.saturating_sub(1);
        let recent = (first..=second.min(self.second)).map(|s| self.bucket(s));
        let sum = |(n, ms), b: Bucket| (n + u32::from(b.responses), ms + b.total_ms);
        let (responses, total_ms) = recent.fold((0, 0), sum);
        (responses, Ms(u64::from(total_ms / responses.max(1))))
    }

    /// Number of complete seconds before `now` that the window covers.
    fn reach(&self, now: Time) -> u64 {
        (WINDOW_SECONDS as u64).min(now.0 / BUCKET.0)
    }

    fn bucket(&self, second: u64) -> Bucket {
        self.buckets[(second % self.buckets.len() as u64) as usize]
    }

    /// The bucket of the running second, after the expired ones were cleared.
    fn current(&mut self, now: Time) -> &mut Bucket {
        let second = now.0 / BUCKET.0;
        let count = self.buckets.len() as u64;
        if second > self.second {
            let passed = (second - self.second).min(count);
            for s in second + 1 - passed..=second {
                self.buckets[(s % count) as usize] = Bucket::default();
            }
            self.second = second;
        }
        &mut self.buckets[(self.second % count) as usize]
    }
}
