//! Packets of callers and hosts: the header of 32 bytes and the data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 64;
pub const ACK: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 1;

#[derive(Clone, Debug)]
pub struct Packet {
    pub echo: u32,
    pub flags: u8,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

/// Stands in for the platform's keyed sum over all fields but `echo`.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash: u32 = 0x811c_9dc5;
    for byte in &bytes[4..28] {
        hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    }
    for byte in &bytes[32..] {
        hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    }
    hash
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 32];
        bytes[0..4].copy_from_slice(&self.echo.to_le_bytes());
        bytes[4] = self.flags;
        bytes[6..10].copy_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        bytes[10..14].copy_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        bytes[14..16].copy_from_slice(&self.src.port().to_le_bytes());
        bytes[16..18].copy_from_slice(&self.dst.port().to_le_bytes());
        bytes[18..22].copy_from_slice(&self.seq.to_le_bytes());
        bytes[22..26].copy_from_slice(&self.ack.to_le_bytes());
        bytes[26..28].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend(&self.data);
        let sum = sum(&bytes);
        bytes[28..32].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Decodes a packet. Also says whether its sum is right.
    pub fn decode(bytes: &[u8]) -> Option<(Packet, bool)> {
        let head: &[u8; 32] = bytes.get(..32)?.try_into().ok()?;
        let u16_at = |at: usize| u16::from_le_bytes([head[at], head[at + 1]]);
        let u32_at =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        if bytes.len() != 32 + usize::from(u16_at(26)) {
            return None;
        }
        let packet = Packet {
            echo: u32_at(0),
            flags: head[4],
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(6)), u16_at(16)),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(10)), u16_at(14)),
            seq: u32_at(18),
            ack: u32_at(22),
            data: bytes[32..].to_vec(),
        };
        Some((packet, u32_at(28) == sum(bytes)))
    }
}
