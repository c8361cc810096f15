//! Packets that carry a token, and what becomes of them.

use wire::{Address, HostId};

use crate::code::Code;
use crate::msg::FlowKey;
use crate::rendezvous;
use crate::token::Token;

/// A caller's packet, as the decisions see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Who sent it.
    pub caller: Address,
    /// Address that the caller sent to.
    pub service: Address,
    /// Place in its flow.
    pub stage: Stage,
    /// Token that the caller gives back.
    pub token: Token,
    /// Number of its first byte.
    pub seq: u32,
    /// Next byte that the caller expects; in an opening packet, the number of
    /// copies sent before it.
    pub ack: u32,
    /// Bytes of data.
    pub len: u32,
}

/// A segment's place in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Opens the flow.
    Open,
    /// Belongs to an open flow.
    Within,
    /// Ends the flow.
    Close,
}

impl Segment {
    /// Key of the flow.
    pub fn key(&self) -> FlowKey {
        let mut bytes = [0; 36];
        encode(&mut bytes[..18], self.caller);
        encode(&mut bytes[18..], self.service);
        FlowKey(rendezvous::hash(&bytes))
    }
}

fn encode(bytes: &mut [u8], address: Address) {
    match address {
        Address::V4(a) => bytes[..4].copy_from_slice(&a.ip().octets()),
        Address::V6(a) => bytes[..16].copy_from_slice(&a.ip().octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
}

/// What to do with a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to a target, marked with the target's token.
    Forward {
        /// The target.
        host: HostId,
        /// Where it listens.
        address: Address,
        /// Its token.
        token: Token,
    },
    /// Tell the caller that the flow is refused or has ended.
    Reset(Code),
    /// Say nothing.
    Drop(Code),
}
