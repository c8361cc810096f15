//! Numbered result codes.
//!
//! Each code has a row in `docs/RESULTS.md`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wire::ParseError;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered result, as callers, operators and logs see it.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Short meaning.
            pub fn text(self) -> &'static str {
                match self {
                    $(Code::$name => $text,)*
                }
            }
        }
    };
}

codes! {
    /// Done.
    Ok = 0, "done";
    /// A caller's request names no known service.
    NoService = 100, "unknown service";
    /// The request may not be repeated and carries no idempotency key.
    NeedKey = 101, "idempotency key needed; use the one given";
    /// The idempotency key cannot be used.
    BadKey = 102, "malformed idempotency key";
    /// Overload or a change in progress; ask again with the same key.
    Busy = 110, "busy; come back with the same key";
    /// The request was not run and its key never will be.
    NotRun = 111, "not run; come back with a new key";
    /// The request may or may not have run.
    Unknown = 112, "outcome unknown; ask again with the same key";
    /// The VM that owned the key has ended; the outcome stays unknown.
    Lost = 113, "outcome unknown for good; the key is never run again";
    /// A request body over the limit.
    TooLarge = 114, "request body too large";
    /// Between VMs: this attempt did not start; it may be tried elsewhere.
    NotStarted = 115, "attempt not started";
    /// From a target: shed before it started.
    Shed = 116, "shed before it started";
    /// The entry VM has no catalogue yet or is stopping.
    NotReady = 120, "entry VM not ready";
    /// A packet of a flow that no VM knows.
    NoFlow = 130, "flow unknown";
    /// A packet of a flow whose target has ended or is out of service.
    FlowEnded = 131, "flow ended with its target";
    /// No target has room for a new flow.
    NoRoom = 132, "no target has room";
    /// Too many packets wait for decisions.
    Backlog = 133, "too many packets wait";
    /// A settings file cannot be read.
    Unreadable = 200, "settings cannot be read";
    /// A settings file has wrong, missing, unknown or contradictory keys.
    BadSettings = 201, "settings are wrong";
    /// An address cannot be bound.
    NoBind = 202, "address cannot be bound";
    /// A catalogue file or entry is wrong.
    BadEntry = 300, "catalogue entry is wrong";
    /// Another operator's change came first.
    Conflict = 301, "another change came first";
    /// The object does not exist.
    NotFound = 302, "no such object";
    /// An address belongs to another service.
    AddressTaken = 303, "address belongs to another service";
    /// Some VMs have not confirmed a change in time.
    Lagging = 304, "some VMs lag";
    /// The platform cannot be reached or did not answer in time.
    NoPlatform = 310, "platform not reached";
    /// The platform's answer makes no sense.
    BadPlatform = 311, "platform answered nonsense";
    /// The platform has forgotten the changes since the revision that was asked for.
    HistoryGone = 312, "platform forgot the changes since";
    /// The platform refuses calls beyond its rate.
    Throttled = 313, "platform refuses calls for now";
    /// Another entry VM does not answer.
    NoPeer = 320, "peer not reached";
    /// Another entry VM has more to tell than its link should carry.
    TooMuch = 321, "peer has too much to tell";
    /// Another entry VM answers, but knows nothing fresh itself.
    NotFresh = 322, "peer knows nothing fresh";
}

impl Code {
    /// The code's number.
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
