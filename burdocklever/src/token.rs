//! Tokens, by which a packet identifies the target of its flow.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wire::{HostId, Incarnation, ParseError};

use crate::rendezvous;

/// Identifies a target within its service. Both endpoints of a flow echo it in
/// every packet, so any VM can forward a later packet to the flow's target
/// without state of the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u32);

impl Token {
    /// Token of packets in which no VM has set one yet.
    pub const NONE: Token = Token(0);

    /// Token of one incarnation of a target; never [`Token::NONE`].
    pub fn of(host: HostId, incarnation: Incarnation) -> Token {
        let hash = rendezvous::score(incarnation.0, host.0);
        Token(((hash >> 32) as u32).max(1))
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for Token {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Token, ParseError> {
        u32::from_str_radix(s, 16)
            .map(Token)
            .map_err(|_| ParseError {
                expected: "a token of 8 hexadecimal digits",
                found: s.into(),
            })
    }
}
