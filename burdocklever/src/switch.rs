//! Setting of a part that can be switched on or off.

use std::fmt;
use std::str::FromStr;

use wire::ParseError;

/// Whether a part is on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Switch {
    /// Derived from the deployment.
    #[default]
    Auto,
    /// On in any deployment.
    On,
    /// Off in any deployment.
    Off,
}

impl fmt::Display for Switch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Switch::Auto => "auto",
            Switch::On => "on",
            Switch::Off => "off",
        })
    }
}

impl FromStr for Switch {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Switch, ParseError> {
        match s {
            "auto" => Ok(Switch::Auto),
            "on" => Ok(Switch::On),
            "off" => Ok(Switch::Off),
            _ => Err(ParseError {
                expected: "auto, on or off",
                found: s.into(),
            }),
        }
    }
}
