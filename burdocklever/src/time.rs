//! Monotonic time in milliseconds, passed to the state machines as a value, and the
//! clock that it is read from.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;

use rustix::time::{clock_gettime, ClockId, Timespec};
use serde::{Deserialize, Serialize};
use wire::ParseError;

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ms(pub u64);

/// An instant on one VM's monotonic clock. Instants of different VMs are not comparable.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Ms {
        Ms(self.0.saturating_sub(earlier.0))
    }
}

/// Reading of a [`Clock`] at its start, so that instants before it can be expressed:
/// peers tell how old their knowledge is. 11 days.
const CLOCK_START: u64 = 1_000_000_000;

/// A VM's clock. It goes on while the machine is suspended, so that what expires has
/// expired when the machine wakes up.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Timespec,
}

impl Clock {
    /// Clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: clock_gettime(ClockId::Boottime),
        }
    }

    /// Current time.
    pub fn now(&self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = now.tv_sec - self.start.tv_sec;
        let ms = seconds * 1000 + (now.tv_nsec - self.start.tv_nsec) / 1_000_000;
        Time(CLOCK_START + ms.max(0) as u64)
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Ms {
        self.now().since(Time(CLOCK_START))
    }
}

impl Add<Ms> for Time {
    type Output = Time;

    fn add(self, duration: Ms) -> Time {
        Time(self.0.saturating_add(duration.0))
    }
}

impl Add for Ms {
    type Output = Ms;

    fn add(self, other: Ms) -> Ms {
        Ms(self.0.saturating_add(other.0))
    }
}

impl Sub for Ms {
    type Output = Ms;

    fn sub(self, other: Ms) -> Ms {
        Ms(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Ms {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Ms, ParseError> {
        let fail = || ParseError {
            expected: "a duration such as 250ms or 4s",
            found: s.into(),
        };
        let (number, unit) = match s.strip_suffix("ms") {
            Some(number) => (number, 1),
            None => (s.strip_suffix('s').ok_or_else(fail)?, 1000),
        };
        if let Ok(whole) = number.parse::<u64>() {
            return whole.checked_mul(unit).map(Ms).ok_or_else(fail);
        }
        let value: f64 = number.parse().map_err(|_| fail())?;
        let ms = value * unit as f64;
        if !value.is_finite() || ms < 0.0 || ms >= u64::MAX as f64 {
            return Err(fail());
        }
        Ok(Ms(ms.round() as u64))
    }
}
