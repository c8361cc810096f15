//! Numbered result codes.
//!
//! `docs/RESULTS.md` lists all of them; a test compares the two.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wire::ParseError;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered result, reported to callers and operators and in logs.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Short description.
            pub fn text(self) -> &'static str {
                match self {
                    $(Code::$name => $text,)*
                }
            }
        }
    };
}

codes! {
    /// Success.
    Ok = 0, "done";
    /// The request names an unknown service.
    NoService = 100, "unknown service";
    /// The service runs requests at most once, and this one has no idempotency key.
    NeedKey = 101, "idempotency key needed; use the one given";
    /// The idempotency key is malformed.
    BadKey = 102, "malformed idempotency key";
    /// Overload or a change in progress. The caller may retry with the same key.
    Busy = 110, "busy; come back with the same key";
    /// The request was not run, and never will be under this key.
    NotRun = 111, "not run; come back with a new key";
    /// The request may or may not have run.
    Unknown = 112, "outcome unknown; ask again with the same key";
    /// The VM that owned the key is gone, so the outcome remains unknown.
    Lost = 113, "outcome unknown for good; the key is never run again";
    /// The request body exceeds the size limit.
    TooLarge = 114, "request body too large";
    /// Between VMs: this attempt did not start; another VM or target may be tried.
    NotStarted = 115, "attempt not started";
    /// From a target: the request was shed before it started.
    Shed = 116, "shed before it started";
    /// The entry VM has no catalogue yet, or is stopping.
    NotReady = 120, "entry VM not ready";
    /// A packet belongs to a flow that no VM knows.
    NoFlow = 130, "flow unknown";
    /// A packet belongs to a flow whose target is gone or out of service.
    FlowEnded = 131, "flow ended with its target";
    /// No target has capacity for a new flow.
    NoRoom = 132, "no target has room";
    /// Too many packets wait for a decision.
    Backlog = 133, "too many packets wait";
    /// A service has too little room for all flows, and those of higher priority go first.
    LowPriority = 134, "too little room for this priority";
    /// The failure domains of all targets are out of service or cannot be reached.
    Unreachable = 135, "no target can be reached";
    /// A settings file cannot be read.
    Unreadable = 200, "settings cannot be read";
    /// A settings file has invalid, missing, unknown or conflicting keys.
    BadSettings = 201, "settings are wrong";
    /// An address cannot be bound.
    NoBind = 202, "address cannot be bound";
    /// A catalogue file or entry is invalid.
    BadEntry = 300, "catalogue entry is wrong";
    /// Another operator changed the object first.
    Conflict = 301, "another change came first";
    /// The object does not exist.
    NotFound = 302, "no such object";
    /// The address belongs to another service.
    AddressTaken = 303, "address belongs to another service";
    /// Some VMs have not applied a change in time.
    Lagging = 304, "some VMs lag";
    /// The platform cannot be reached or did not answer in time.
    NoPlatform = 310, "platform not reached";
    /// The platform's reply is invalid.
    BadPlatform = 311, "platform answered nonsense";
    /// The platform no longer has the changes since the requested revision.
    HistoryGone = 312, "platform forgot the changes since";
    /// The platform rejects calls above its rate limit.
    Throttled = 313, "platform refuses calls for now";
    /// Another entry VM does not answer.
    NoPeer = 320, "peer not reached";
}

impl Code {
    /// Number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BL{:03}", self.number())
    }
}

impl FromStr for Code {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Code, ParseError> {
        let found = Code::ALL.iter().find(|c| c.to_string() == s);
        found.copied().ok_or_else(|| ParseError {
            expected: "a result code such as BL110",
            found: s.into(),
        })
    }
}
