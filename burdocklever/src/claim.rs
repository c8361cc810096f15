//! Claims: which requests that may not be repeated have been taken on.
//!
//! An owner records a claim, and has a witness record it, before it starts the
//! request. A witness refuses claims under an older view than its own, and a
//! new owner collects the claims of all but one member of the old view: of
//! owner and witness at least one is among them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wire::Incarnation;

use crate::time::{Ms, Time};

/// Time for which a caller may go on asking about one key.
pub const KEY_LIFETIME: Ms = Ms(120_000);

/// Answer of a target to a request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Incarnation of the target.
    pub life: Incarnation,
    /// Body.
    pub body: Arc<[u8]>,
}

/// How far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The witness has not confirmed; it may not start yet.
    #[serde(rename = "Noting")]
    Unconfirmed,
    /// Not started; may start.
    Ready,
    /// May have started; no answer yet.
    Started,
    /// Answered.
    Done(Answer),
    /// Never started and never will.
    #[serde(rename = "Sealed")]
    NotRun,
    /// Claimed by another owner; may have run. Never starts here.
    Foreign,
}

/// Claims by key, with the time of the last change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    map: BTreeMap<u64, (Time, Claim)>,
}

impl Claims {
    /// `n` claims that were answered with `body`, to measure with.
    pub fn answered(now: Time, n: u64, body: &[u8]) -> Claims {
        let mut claims = Claims::default();
        for i in 0..n {
            let answer = Answer {
                status: 200,
                life: Incarnation(1),
                body: body.into(),
            };
            let key = crate::rendezvous::hash(&i.to_le_bytes());
            claims.set(now, key, Claim::Done(answer));
        }
        claims
    }

    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// The claim of a key.
    pub fn get(&self, key: u64) -> Option<&Claim> {
        self.map.get(&key).map(|(_, claim)| claim)
    }

    pub(crate) fn set(&mut self, now: Time, key: u64, claim: Claim) {
        self.map.insert(key, (now, claim));
    }

    pub(crate) fn remove(&mut self, key: u64) {
        self.map.remove(&key);
    }

    /// Keeps another owner's claim, unless the key's outcome is known here.
    pub(crate) fn note(&mut self, now: Time, key: u64) {
        self.map.entry(key).or_insert((now, Claim::Foreign));
    }

    /// Claims whose key passes `keep`.
    pub(crate) fn filtered(&self, keep: impl Fn(u64) -> bool) -> Claims {
        let kept = self.map.iter().filter(|(key, _)| keep(**key));
        Claims {
            map: kept.map(|(key, claim)| (*key, claim.clone())).collect(),
        }
    }

    /// Merges claims that another member handed over. An outcome replaces a
    /// claim without one; a request that may have started does not start here.
    pub(crate) fn merge(&mut self, now: Time, claims: Claims) {
        for (key, (_, claim)) in claims.map {
            let theirs = match claim {
                Claim::Done(_) | Claim::NotRun => claim,
                _ => Claim::Foreign,
            };
            let keep = match self.get(key) {
                None => true,
                Some(Claim::Foreign) => theirs != Claim::Foreign,
                Some(_) => false,
            };
            if keep {
                self.set(now, key, theirs);
            }
        }
    }

    /// Drops claims that no caller may ask about any more.
    pub(crate) fn expire(&mut self, now: Time) {
        self.map
            .retain(|_, (at, claim)| now.since(*at) < KEY_LIFETIME || *claim == Claim::Started);
    }
}
