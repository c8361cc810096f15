//! Load of targets, as one VM or all VMs together see it.

use std::fmt;
use std::str::FromStr;

use rustc_hash::FxHashMap;
use wire::ParseError;

use crate::time::{Ms, Time};
use crate::token::Token;

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
