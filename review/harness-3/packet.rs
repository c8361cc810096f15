//! Packets of consumers and servers: a header of 32 bytes, little-endian, and data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 64;
pub const ACK: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 1;

const HEADER_LEN: usize = 32;

/// A packet. `sum` is left out: these servers and consumers do not verify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub echo: u32,
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER_LEN + self.data.len());
        out.extend(self.echo.to_le_bytes());
        out.extend([self.flags, 0]);
        out.extend(u32::from(*self.to.ip()).to_le_bytes());
        out.extend(u32::from(*self.from.ip()).to_le_bytes());
        out.extend(self.from.port().to_le_bytes());
        out.extend(self.to.port().to_le_bytes());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.ack.to_le_bytes());
        out.extend((self.data.len() as u16).to_le_bytes());
        out.extend([0; 4]);
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let u16_at = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let u32_at = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let ip_at = |at: usize| u32_at(at).map(Ipv4Addr::from);
        let data = bytes.get(HEADER_LEN..)?.to_vec();
        if data.len() != usize::from(u16_at(26)?) {
            return None;
        }
        Some(Packet {
            echo: u32_at(0)?,
            flags: bytes[4],
            to: SocketAddrV4::new(ip_at(6)?, u16_at(16)?),
            from: SocketAddrV4::new(ip_at(10)?, u16_at(14)?),
            seq: u32_at(18)?,
            ack: u32_at(22)?,
            data,
        })
    }
}
