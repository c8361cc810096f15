//! Idempotency keys.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use wire::{Incarnation, Member, ParseError, VmId};

use crate::rendezvous;
use crate::time::{Ms, Time};

/// Prefix of keys that an entry VM issued.
const ISSUED: &str = "bl-";
/// Longest key text in bytes.
const KEY_MAX: usize = 128;

/// Names a request that may not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub enum IdempotencyKey {
    /// Issued by an entry VM, which owns it for good.
    Issued(IssuedKey),
    /// Made by the caller; the hash of its text.
    Made(u64),
}

/// A key that names its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IssuedKey {
    /// The life of the VM that issued it.
    pub member: Member,
    /// When it was issued, on the issuer's clock.
    pub at: Time,
    /// Distinguishes keys issued at the same time.
    pub seq: u64,
}

impl IssuedKey {
    /// Time since the key was issued, on the issuer's clock.
    pub(crate) fn age(&self, now: Time) -> Ms {
        now.since(self.at)
    }
}

impl IdempotencyKey {
    /// Hash under which the key's claim is kept.
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
            IdempotencyKey::Made(hash) => write!(f, "bm-{hash:016x}"),
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<IdempotencyKey, ParseError> {
        let fail = || ParseError {
            expected: "a key of 1 to 128 visible characters, or one that a VM issued",
            found: s.into(),
        };
        if s.is_empty() || s.len() > KEY_MAX || !s.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(fail());
        }
        if let Some(rest) = s.strip_prefix(ISSUED) {
            return issued(rest).map(IdempotencyKey::Issued).ok_or_else(fail);
        }
        if let Some(hash) = s.strip_prefix("bm-").filter(|h| h.len() == 16) {
            if let Ok(hash) = u64::from_str_radix(hash, 16) {
                return Ok(IdempotencyKey::Made(hash));
            }
        }
        Ok(IdempotencyKey::Made(rendezvous::hash(s.as_bytes())))
    }
}

fn issued(text: &str) -> Option<IssuedKey> {
    let mut parts = text.split('-').map(|p| p.parse::<u64>().ok());
    let vm = u32::try_from(parts.next()??).ok()?;
    let life = parts.next()??;
    let at = parts.next()??;
    let seq = parts.next()??;
    if parts.next().is_some() {
        return None;
    }
    Some(IssuedKey {
        member: Member {
            vm: VmId(vm),
            incarnation: Incarnation(life),
        },
        at: Time(at),
        seq,
    })
}
