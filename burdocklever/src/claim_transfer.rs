//! Claim transfer: after a view change, each member collects the claims of the members
//! of earlier views before it handles caller-made keys.

use std::collections::BTreeSet;

use wire::{Member, ViewNumber};

use crate::cell::VIEW_TAKEOVER_DELAY;
use crate::claim::{Claim, Claims, KEY_LIFETIME};
use crate::msg::Msg;
use crate::node::Node;
use crate::rendezvous;
use crate::time::{Ms, Time};

/// Time between repeated requests for missing claims.
const REQUEST_INTERVAL: Ms = Ms(100);

/// Progress of the claim transfer under the current view.
#[derive(Debug, Clone)]
pub(crate) struct ClaimTransfer {
    /// Members whose claims have arrived.
    received: BTreeSet<Member>,
    complete: bool,
    /// Until when the request of an unknown key may have run under an earlier view.
    incomplete_until: Time,
    started: Time,
    request_due: Time,
}

impl ClaimTransfer {
    pub(crate) fn new(now: Time) -> ClaimTransfer {
        ClaimTransfer {
            received: BTreeSet::new(),
            complete: true,
            incomplete_until: now,
            started: now,
            request_due: now,
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the request of an unknown key may have run before.
    pub(crate) fn may_miss_claims(&self, now: Time) -> bool {
        now < self.incomplete_until
    }
}

/// Number of members of an earlier view whose claims must be collected so that at least
/// one of the two holders of any claim is among them.
fn quorum(members: usize) -> usize {
    let copies = members.min(2);
    members - copies + 1
}

impl Node {
    pub(crate) fn begin_claim_transfer(&mut self, previous_members: Vec<Member>) {
        if !self.transfer.complete {
            self.transfer.incomplete_until =
                self.transfer.incomplete_until.max(self.now + KEY_LIFETIME);
        }
        self.transfer.received.clear();
        self.transfer.received.insert(self.me);
        self.transfer.complete = false;
        self.transfer.started = self.now;
        self.transfer.request_due = self.now;
        self.drop_unconfirmed_claims();
        self.flows.view_changed(self.now, previous_members);
        self.advance_claim_transfer();
    }

    /// Completes the transfer once enough members of earlier views have sent their
    /// claims. It also completes once this view is active and the missing members are
    /// silent or [`VIEW_TAKEOVER_DELAY`] has passed, but unknown keys are then treated
    /// as possibly run for [`KEY_LIFETIME`].
    pub(crate) fn advance_claim_transfer(&mut self) {
        if self.transfer.complete {
            return;
        }
        let missing = self.missing_members();
        if missing.is_empty() {
            self.transfer.complete = true;
            return;
        }
        let waited = self.now.since(self.transfer.started) >= VIEW_TAKEOVER_DELAY;
        let silent = !missing.iter().any(|m| self.cell.is_alive(self.now, *m));
        if self.cell.is_active(self.now) && (waited || silent) {
            self.transfer.incomplete_until = self.now + KEY_LIFETIME;
            self.transfer.complete = true;
            return;
        }
        if self.now >= self.transfer.request_due {
            self.transfer.request_due = self.now + REQUEST_INTERVAL;
            let view = self.cell.view().number;
            for member in missing {
                self.send(member, Msg::RequestClaims { view });
            }
        }
    }

    /// Members of earlier views whose claims are still needed.
    fn missing_members(&self) -> Vec<Member> {
        let mut missing = Vec::new();
        for members in &self.cell.view().previous {
            let received = members
                .iter()
                .filter(|m| self.transfer.received.contains(m));
            if received.count() < quorum(members.len()) {
                let absent = members
                    .iter()
                    .filter(|m| !self.transfer.received.contains(m));
                missing.extend(absent.copied());
            }
        }
        missing
    }

    /// Sends a member of the current view the claims whose keys rank it first or second,
    /// as their owner or as its successor.
    pub(crate) fn handle_request_claims(&mut self, from: Member, view: ViewNumber) {
        if self.cell.view().number != view {
            return;
        }
        let members = &self.cell.view().members;
        let claims = self.claims.filtered(|key| {
            let order = rendezvous::rank(key, members);
            order.iter().take(2).any(|m| *m == from)
        });
        let incomplete_for = self.transfer.incomplete_until.since(self.now);
        let msg = Msg::Handover {
            view,
            incomplete_for,
            claims: Box::new(claims),
        };
        self.send(from, msg);
    }

    pub(crate) fn handle_handover(
        &mut self,
        from: Member,
        view: ViewNumber,
        incomplete_for: Ms,
        claims: Claims,
    ) {
        self.claims.merge(self.now, claims);
        if view != self.cell.view().number {
            return;
        }
        self.transfer.incomplete_until = self
            .transfer
            .incomplete_until
            .max(self.now + incomplete_for);
        self.transfer.received.insert(from);
        self.advance_claim_transfer();
    }

    /// Stores an owner's claim as its witness, unless the owner follows another view.
    pub(crate) fn handle_record_claim(&mut self, from: Member, view: ViewNumber, key: u64) {
        if view != self.cell.view().number || !self.cell.is_member() {
            return;
        }
        self.claims.record_foreign(self.now, key);
        self.send(from, Msg::ClaimRecorded { view, key });
    }

    /// Drops the claims that no witness has confirmed. Their requests have not started.
    fn drop_unconfirmed_claims(&mut self) {
        for (id, key) in self.jobs.unconfirmed() {
            if self.claims.get(key) == Some(&Claim::Unconfirmed) {
                self.claims.remove(key);
            }
            self.reply_busy(id);
        }
    }
}
