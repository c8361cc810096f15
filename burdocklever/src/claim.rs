//! Claims: deduplication records of non-idempotent requests, by idempotency key.
//!
//! The owner of a key stores a claim, and has a second member, the witness, store a
//! copy, before it starts the request. A witness rejects claims made under an older
//! view than its own. A new owner collects the claims of all but one member of the
//! previous view, so it reads the copy of the owner or that of the witness.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wire::Incarnation;

use crate::time::{Ms, Time};

/// Time for which a caller may ask about a key.
pub const KEY_LIFETIME: Ms = Ms(120_000);

/// Response of a target to a request. A streamed one has an empty body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// Incarnation of the target.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Body.
    pub body: Arc<[u8]>,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// Not yet confirmed by the witness; must not start.
    #[serde(rename = "Noting")]
    Unconfirmed,
    /// Confirmed and not started; may start.
    Ready,
    /// May have started; no response yet.
    Started,
    /// Completed with this response.
    Done(TargetResponse),
    /// Never started and never will start.
    #[serde(rename = "Sealed")]
    NotRun,
    /// Claimed by another owner, so it may have run; must not start here.
    Foreign,
}

/// Claims by key, with the time of the last change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    map: BTreeMap<u64, (Time, Claim)>,
}

impl Claims {
    /// `n` completed claims with `body` as the response, for benchmarks.
    pub fn answered(now: Time, n: u64, body: &[u8]) -> Claims {
        let mut claims = Claims::default();
        for i in 0..n {
            let response = TargetResponse {
                status: 200,
                incarnation: Incarnation(1),
                body: body.into(),
            };
            let key = crate::rendezvous::hash(&i.to_le_bytes());
            claims.set(now, key, Claim::Done(response));
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

    /// Stores a claim of another owner as its witness. A claim already held for the
    /// key stays.
    pub(crate) fn record_foreign(&mut self, now: Time, key: u64) {
        self.map.entry(key).or_insert((now, Claim::Foreign));
    }

    /// Copies the claims whose key passes `keep`.
    pub(crate) fn filtered(&self, keep: impl Fn(u64) -> bool) -> Claims {
        let kept = self.map.iter().filter(|(key, _)| keep(**key));
        Claims {
            map: kept.map(|(key, claim)| (*key, claim.clone())).collect(),
        }
    }

    /// Merges claims received from another member. A known outcome replaces
    /// [`Claim::Foreign`]; any claim without an outcome becomes `Foreign`, since its
    /// request may have started.
    pub(crate) fn merge(&mut self, now: Time, claims: Claims) {
        for (key, (_, claim)) in claims.map {
            let theirs = match claim {
                Claim::Done(_) | Claim::NotRun => claim,
                _ => Claim::Foreign,
            };
            let replace = match self.get(key) {
                None => true,
                Some(Claim::Foreign) => theirs != Claim::Foreign,
                Some(_) => false,
            };
            if replace {
                self.set(now, key, theirs);
            }
        }
    }

    /// Drops claims that have not changed for [`KEY_LIFETIME`], except those of requests
    /// that may still be running.
    pub(crate) fn expire(&mut self, now: Time) {
        self.map
            .retain(|_, (at, claim)| now.since(*at) < KEY_LIFETIME || *claim == Claim::Started);
    }
}
