//! Packets that carry a token, and the decisions on them.

use wire::{Address, HostId};

use crate::code::Code;
use crate::msg::FlowKey;
use crate::rendezvous;
use crate::token::Token;

/// The fields of a caller's packet that decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Address of the sender.
    pub caller: Address,
    /// Address that the packet was sent to.
    pub service: Address,
    /// Position in its flow.
    pub stage: Stage,
    /// Token that the caller echoes.
    pub token: Token,
    /// Sequence number of its first byte.
    pub seq: u32,
    /// Next sequence number that the caller expects; in an opening packet, the
    /// number of copies sent before it.
    pub ack: u32,
    /// Length of the data in bytes.
    pub len: u32,
}

/// Position of a segment in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Opens a flow.
    Open,
    /// Belongs to an open flow.
    Within,
    /// Closes or aborts the flow.
    Close,
}

impl Segment {
    /// Key of the flow: a hash of the caller's and the service's address.
    pub fn key(&self) -> FlowKey {
        let mut bytes = [0; 36];
        write_address(&mut bytes[..18], self.caller);
        write_address(&mut bytes[18..], self.service);
        FlowKey(rendezvous::hash(&bytes))
    }
}

fn write_address(bytes: &mut [u8], address: Address) {
    match address {
        Address::V4(a) => bytes[..4].copy_from_slice(&a.ip().octets()),
        Address::V6(a) => bytes[..16].copy_from_slice(&a.ip().octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
}

/// Decision on a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to a target, with the target's token.
    Forward {
        /// The target.
        host: HostId,
        /// Address that it listens on.
        address: Address,
        /// Its token.
        token: Token,
    },
    /// Send the caller a reset: the flow is refused or has ended.
    Reset(Code),
    /// Drop it without a reply.
    Drop(Code),
}
