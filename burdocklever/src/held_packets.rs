//! Packets that reach a VM before it has a catalogue.
//!
//! Load: all VMs of a fleet start again at once while callers go on sending. A caller
//! repeats a packet only after 200 ms, and then after twice that, so a packet that is
//! dropped just before the catalogue arrives costs its caller far more time than the
//! VM needed to start. Such packets are kept for a short time and then decided on in
//! their order of arrival.

use std::collections::VecDeque;

use crate::segment::Segment;
use crate::time::{Ms, Time};

/// Time for which a packet is kept. Later the caller has sent it again.
const HOLD_MAX: Ms = Ms(400);
/// Largest number of packets kept, and their bytes.
const PACKETS_MAX: usize = 512;
const BYTES_MAX: usize = 256 * 1024;

/// A packet that waits for a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPacket {
    /// When it arrived.
    pub at: Time,
    /// What it says.
    pub segment: Segment,
    /// The packet as it was received.
    pub packet: Box<[u8]>,
}

/// Packets that wait for the catalogue, in the order of their arrival.
#[derive(Debug, Default)]
pub struct HeldPackets {
    packets: VecDeque<HeldPacket>,
    bytes: usize,
}

impl HeldPackets {
    /// Keeps a packet, unless it repeats one that is kept: a second copy would count
    /// as a sign that the target of the first does not answer. Returns the packets
    /// that are dropped: those kept for too long, and the oldest if there is too much
    /// to keep, as their callers repeat them first.
    pub fn push(&mut self, now: Time, segment: Segment, packet: &[u8]) -> Vec<HeldPacket> {
        let mut dropped = self.expire(now);
        let repeats = |held: &HeldPacket| {
            let (a, b) = (&held.segment, &segment);
            (a.key(), a.stage, a.seq, a.len) == (b.key(), b.stage, b.seq, b.len)
        };
        if self.packets.iter().any(repeats) {
            return dropped;
        }
        self.bytes += packet.len();
        self.packets.push_back(HeldPacket {
            at: now,
            segment,
            packet: packet.into(),
        });
        while self.packets.len() > PACKETS_MAX || self.bytes > BYTES_MAX {
            dropped.extend(self.pop());
        }
        dropped
    }

    /// Drops the packets that were kept for too long. Returns them.
    pub fn expire(&mut self, now: Time) -> Vec<HeldPacket> {
        let mut dropped = Vec::new();
        while self
            .packets
            .front()
            .is_some_and(|p| now.since(p.at) >= HOLD_MAX)
        {
            dropped.extend(self.pop());
        }
        dropped
    }

    /// Takes all packets.
    pub fn take(&mut self) -> Vec<HeldPacket> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    fn pop(&mut self) -> Option<HeldPacket> {
        let oldest = self.packets.pop_front()?;
        self.bytes -= oldest.packet.len();
        Some(oldest)
    }
}
