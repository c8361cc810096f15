//! What a VM makes of the store when it comes back from an older copy.
//!
//! The store then lacks what was written in the seconds before, and its revisions
//! start again: a new era begins. Operators and targets write again what was lost. Until
//! they have, or until the time for that has passed, what a VM knows of those seconds
//! stays in force.

use wire::{Body, Lifecycle, Object};

use crate::store::Feed;
use crate::time::Ms;

/// Time in which targets write their entries again, and VMs hear of it: the platform
/// guarantees 2 s.
pub(crate) const HOST_HOLD: Ms = Ms(3000);
/// Time for which a failure domain is not taken out because of the copy alone. If an operator
/// has said so since the return, it must be out within 5 s, of which a call that hangs takes
/// up to 1.7 s and the confirmation after this time up to 1.2 s.
const OUT_HOLD: Ms = Ms(2000);
/// Time for which a change of an operator stays in force that may have been taken back since
/// the return.
pub(crate) const OPERATOR_HOLD: Ms = Ms(15_000);
/// Time for which a change of an operator stays in force that the store has lost for certain.
/// Operators write it again, but work rarely.
pub(crate) const LOST_HOLD: Ms = Ms(300_000);

/// What to do with the state of an object in the copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyDecision {
    /// The copy's state applies at once.
    Apply,
    /// What is known stays in force for this time, unless it is written again.
    Hold(Ms),
}

/// Decides between the configuration in force, which was read in an era before, and the
/// store's, by their numbers. Operators only raise the number, whatever the revision.
pub fn decide_config(known: u64, stored: u64) -> CopyDecision {
    match stored < known {
        true => CopyDecision::Hold(LOST_HOLD),
        false => CopyDecision::Apply,
    }
}

/// Decides between a known failure domain or target and its state in the copy; none if the
/// copy lacks it. The copy was read at this revision.
pub fn decide(known: &Object, copy: Option<&Object>, revision: u64) -> CopyDecision {
    let removed = Body::Removed;
    let body = copy.map_or(&removed, |o| &o.body);
    let is_later = copy.is_some_and(|o| o.version.revision() >= known.version.revision());
    if *body == known.body || is_later {
        return CopyDecision::Apply;
    }
    match Feed::of(&known.key) {
        Some(Feed::Domains) => decide_domain(known, copy, revision),
        Some(Feed::Hosts) if is_later_host(&known.body, body) => CopyDecision::Apply,
        // An entry that comes back without its target lapses only after some seconds, and
        // a target that leaves may be gone for good.
        Some(Feed::Hosts) if copy.is_none() || is_live(&known.body) => {
            CopyDecision::Hold(HOST_HOLD)
        }
        _ => CopyDecision::Hold(OPERATOR_HOLD),
    }
}

/// Decides on a failure domain. One that the copy says is out may have been taken out
/// after the store's return, so it is held back only for as long as that may take to be
/// in force. One that the copy lacks was lost if the store has not reached its revision. If
/// it has, the domain may also have been taken back since the return: nothing shows which,
/// as what is written again may get the revision that it had.
fn decide_domain(known: &Object, copy: Option<&Object>, revision: u64) -> CopyDecision {
    match copy {
        Some(_) => CopyDecision::Hold(OUT_HOLD),
        None if known.version.revision() > revision => CopyDecision::Hold(LOST_HOLD),
        None => CopyDecision::Hold(OPERATOR_HOLD),
    }
}

fn is_live(body: &Body) -> bool {
    matches!(body, Body::Host(host) if host.state == Lifecycle::Live)
}

/// Whether a target's entry follows from a known one: it has started again, or it
/// leaves. No target returns from leaving.
fn is_later_host(known: &Body, copy: &Body) -> bool {
    match (known, copy) {
        (Body::Host(known), Body::Host(copy)) => {
            let (k, c) = (known.incarnation, copy.incarnation);
            c > k || (c == k && copy.state != Lifecycle::Live)
        }
        _ => false,
    }
}
