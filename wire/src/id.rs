//! Identifiers and version numbers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Error returned when text does not have the format of the type it is parsed as.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, found `{found}`")]
pub struct ParseError {
    /// Description of the expected format.
    pub expected: &'static str,
    /// Text that was parsed.
    pub found: Box<str>,
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $int:ty, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                s.parse().map($name).map_err(|_| ParseError { expected: $expected, found: s.into() })
            }
        }
    };
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                if is_name(s) {
                    Ok($name(s.into()))
                } else {
                    Err(ParseError { expected: $expected, found: s.into() })
                }
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = ParseError;

            fn try_from(s: Box<str>) -> Result<Self, ParseError> {
                s.parse()
            }
        }

        impl From<$name> for Box<str> {
            fn from(id: $name) -> Box<str> {
                id.0
            }
        }
    };
}

/// Maximum length of a name.
const NAME_MAX_BYTES: usize = 63;

fn is_name(s: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !s.is_empty() && s.len() <= NAME_MAX_BYTES && s.bytes().all(is_allowed)
}

number_id!(
    /// Identifier of an entry VM, unique in the fleet.
    VmId, u32, "a VM number"
);
number_id!(
    /// Identifier of a target. The platform never reuses it for another target.
    HostId, u64, "a target number"
);
number_id!(
    /// Incarnation number of a process. Each start of the process uses a higher one.
    Incarnation, u64, "an incarnation number"
);
number_id!(
    /// Version of a platform object: the platform's revision when it was last written.
    /// The upper bits hold the platform's era, which rises when its revisions start
    /// again from an older one; so versions are ordered by era, then by revision.
    Version, u64, "a version number"
);

impl Version {
    /// Bits that hold the revision. Numbers above 2^53 are not exact in JSON everywhere, so a
    /// platform does not count higher.
    const REVISION_BITS: u32 = 54;
    /// Highest revision, and highest era.
    const REVISION_MAX: u64 = (1 << Version::REVISION_BITS) - 1;
    const ERA_MAX: u64 = u64::MAX >> Version::REVISION_BITS;

    /// Version of a revision in an era. A revision above 2^54 - 1 is cut to that, an era
    /// above 1,023 as well.
    pub const fn new(era: u16, revision: u64) -> Version {
        let (era, most) = (era as u64, Version::REVISION_MAX);
        let revision = if revision > most { most } else { revision };
        let most = Version::ERA_MAX;
        let era = if era > most { most } else { era };
        Version((era << Version::REVISION_BITS) | revision)
    }

    /// Number of times that the platform's revisions have started again.
    pub const fn era(self) -> u16 {
        (self.0 >> Version::REVISION_BITS) as u16
    }

    /// The platform's revision.
    pub const fn revision(self) -> u64 {
        self.0 & Version::REVISION_MAX
    }
}
number_id!(
    /// Sequence number of a cell's view. Each view that is written has the next one.
    ViewNumber, u64, "a view number"
);
name_id!(
    /// Name of a failure domain.
    DomainId, "a failure domain name (a-z, 0-9 and -, at most 63 bytes)"
);
name_id!(
    /// Name of a service.
    ServiceId, "a service name (a-z, 0-9 and -, at most 63 bytes)"
);

/// IP address and port.
pub type Address = SocketAddr;
