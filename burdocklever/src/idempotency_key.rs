//! Idempotency keys of requests that must run at most once.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use wire::{Incarnation, Member, ParseError, VmId};

use crate::rendezvous;
use crate::time::{Ms, Time};

/// Prefix of keys issued by entry VMs.
const ISSUED: &str = "bl-";
/// Prefix of the text form of keys that callers chose.
const HASHED: &str = "bm-";
/// Largest length of a key in bytes.
const KEY_MAX: usize = 128;

/// Identifies a request that must run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub enum IdempotencyKey {
    /// Issued by an entry VM, which remains its owner.
    Issued(IssuedKey),
    /// Chosen by the caller; the hash of its text.
    Made(u64),
}

/// A key that contains its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IssuedKey {
    /// VM and incarnation that issued it.
    pub member: Member,
    /// Time of issue on the issuer's clock.
    pub at: Time,
    /// Sequence number, which distinguishes keys issued at the same time.
    pub seq: u64,
}

impl IssuedKey {
    /// Time since the key was issued, on the issuer's clock.
    pub(crate) fn age(&self, now: Time) -> Ms {
        now.since(self.at)
    }
}

impl IdempotencyKey {
    /// Hash under which the key's claim is stored.
    pub fn hash(&self) -> u64 {
        match self {
            IdempotencyKey::Issued(_) => rendezvous::hash(self.to_string().as_bytes()),
            IdempotencyKey::Made(hash) => *hash,
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdempotencyKey::Issued(k) => write!(
                f,
                "{ISSUED}{}-{}-{}-{}",
                k.member.vm, k.member.incarnation, k.at.0, k.seq
            ),
            IdempotencyKey::Made(hash) => write!(f, "{HASHED}{hash:016x}"),
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<IdempotencyKey, ParseError> {
        let fail = || ParseError {
            expected: "a key of 1 to 128 visible ASCII characters, or one issued by a VM",
            found: s.into(),
        };
        if s.is_empty() || s.len() > KEY_MAX || !s.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(fail());
        }
        if let Some(rest) = s.strip_prefix(ISSUED) {
            return parse_issued(rest)
                .map(IdempotencyKey::Issued)
                .ok_or_else(fail);
        }
        if let Some(hash) = s.strip_prefix(HASHED).filter(|h| h.len() == 16) {
            if let Ok(hash) = u64::from_str_radix(hash, 16) {
                return Ok(IdempotencyKey::Made(hash));
            }
        }
        Ok(IdempotencyKey::Made(rendezvous::hash(s.as_bytes())))
    }
}

fn parse_issued(text: &str) -> Option<IssuedKey> {
    let mut parts = text.split('-').map(|p| p.parse::<u64>().ok());
    let vm = u32::try_from(parts.next()??).ok()?;
    let incarnation = parts.next()??;
    let at = parts.next()??;
    let seq = parts.next()??;
    if parts.next().is_some() {
        return None;
    }
    Some(IssuedKey {
        member: Member {
            vm: VmId(vm),
            incarnation: Incarnation(incarnation),
        },
        at: Time(at),
        seq,
    })
}
