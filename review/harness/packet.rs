//! Packets of consumers and hosts, as PROTOCOL.md describes them.

use std::net::Ipv4Addr;

pub const SYN: u8 = 64;
pub const ACK: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 1;
const BOUNCED: u8 = 2;
const HEADER: usize = 32;

/// A packet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Packet {
    pub echo: u32,
    pub flags: u8,
    pub dst: u32,
    pub src: u32,
    pub sport: u16,
    pub dport: u16,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    pub sum: u32,
}

impl Packet {
    /// Encodes the packet with a valid sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER + self.data.len());
        out.extend(self.echo.to_le_bytes());
        out.extend([self.flags, 0]);
        out.extend(self.dst.to_le_bytes());
        out.extend(self.src.to_le_bytes());
        out.extend(self.sport.to_le_bytes());
        out.extend(self.dport.to_le_bytes());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.ack.to_le_bytes());
        out.extend((self.data.len() as u16).to_le_bytes());
        out.extend(self.expected_sum().to_le_bytes());
        out.extend(&self.data);
        out
    }

    /// Decodes a packet.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let u16_at = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let u32_at = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        if bytes.len() != HEADER + usize::from(u16_at(26)?) {
            return None;
        }
        Some(Packet {
            echo: u32_at(0)?,
            flags: bytes[4],
            dst: u32_at(6)?,
            src: u32_at(10)?,
            sport: u16_at(14)?,
            dport: u16_at(16)?,
            seq: u32_at(18)?,
            ack: u32_at(22)?,
            data: bytes[HEADER..].to_vec(),
            sum: u32_at(28)?,
        })
    }

    /// Whether the sender wrote the packet so. Sums leave out echo, pad and BOUNCED.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// Whether this is a reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.flags == RST && self.sum == 0 && self.data.is_empty()
    }

    fn expected_sum(&self) -> u32 {
        // FNV-1a, started with a key that the system does not know.
        let mut hash: u32 = 0x5bd1_e995;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&[self.flags & !BOUNCED]);
        add(&self.dst.to_le_bytes());
        add(&self.src.to_le_bytes());
        add(&self.sport.to_le_bytes());
        add(&self.dport.to_le_bytes());
        add(&self.seq.to_le_bytes());
        add(&self.ack.to_le_bytes());
        add(&self.data);
        hash.max(1)
    }
}

/// An address as a packet holds it.
pub fn number(ip: Ipv4Addr) -> u32 {
    u32::from(ip)
}
