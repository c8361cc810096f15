//! Capacity of a VM's network link.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wire::ParseError;

/// Capacity of a link in megabits per second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LinkRate(pub u32);

impl LinkRate {
    /// Bytes per second that the link carries.
    pub(crate) fn bytes_per_s(self) -> u64 {
        u64::from(self.0) * 1_000_000 / 8
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}mbit", self.0)
    }
}

impl FromStr for LinkRate {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<LinkRate, ParseError> {
        let number = s.strip_suffix("mbit").and_then(|n| n.parse::<f64>().ok());
        let in_range = number.filter(|n| (1.0..=f64::from(u32::MAX)).contains(n));
        in_range
            .map(|n| LinkRate(n as u32))
            .ok_or_else(|| ParseError {
                expected: "a link rate of at least 1mbit, such as 200mbit",
                found: s.into(),
            })
    }
}
