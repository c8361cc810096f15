//! Settling into a new view: collecting the claims of the old one's members.

use std::collections::BTreeSet;

use wire::{Member, ViewNumber};

use crate::cell::VIEW_TAKEOVER_DELAY;
use crate::claim::{Claim, Claims, KEY_LIFETIME};
use crate::msg::Msg;
use crate::node::Node;
use crate::rendezvous;
use crate::time::{Ms, Time};

/// Time between requests for missing claims.
const ASK_EVERY: Ms = Ms(100);

/// How far a VM has come in taking over claims under its view.
#[derive(Debug, Clone)]
pub(crate) struct Settle {
    handed: BTreeSet<Member>,
    settled: bool,
    /// Until when a key unknown here may have run under an older view.
    incomplete_until: Time,
    since: Time,
    ask_due: Time,
}

impl Settle {
    pub(crate) fn new(now: Time) -> Settle {
        Settle {
            handed: BTreeSet::new(),
            settled: true,
            incomplete_until: now,
            since: now,
            ask_due: now,
        }
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether an unknown key may have run before.
    pub(crate) fn is_tainted(&self, now: Time) -> bool {
        now < self.incomplete_until
    }
}

/// Members of an old view whose claims must be collected: of the two that hold
/// a claim, at least one is among them.
fn quorum(members: usize) -> usize {
    let copies = members.min(2);
    members - copies + 1
}

impl Node {
    pub(crate) fn view_changed(&mut self, before: Vec<Member>) {
        if !self.settle.settled {
            self.settle.incomplete_until =
                self.settle.incomplete_until.max(self.now + KEY_LIFETIME);
        }
        self.settle.handed.clear();
        self.settle.handed.insert(self.me);
        self.settle.settled = false;
        self.settle.since = self.now;
        self.settle.ask_due = self.now;
        self.drop_unconfirmed_claims();
        self.flows.view_changed(self.now, before);
        self.settle_view();
    }

    /// Settles once enough old members have handed over their claims, or once
    /// none that is missing can act any more.
    pub(crate) fn settle_view(&mut self) {
        if self.settle.settled {
            return;
        }
        let missing = self.missing();
        if missing.is_empty() {
            self.settle.settled = true;
            return;
        }
        let waited = self.now.since(self.settle.since) >= VIEW_TAKEOVER_DELAY;
        let silent = !missing.iter().any(|m| self.cell.is_alive(self.now, *m));
        if self.cell.is_active(self.now) && (waited || silent) {
            self.settle.incomplete_until = self.now + KEY_LIFETIME;
            self.settle.settled = true;
            return;
        }
        if self.now >= self.settle.ask_due {
            self.settle.ask_due = self.now + ASK_EVERY;
            let view = self.cell.view().number;
            for member in missing {
                self.send(member, Msg::RequestClaims { view });
            }
        }
    }

    /// Old members whose claims are still needed.
    fn missing(&self) -> Vec<Member> {
        let mut missing = Vec::new();
        for members in &self.cell.view().previous {
            let handed = members.iter().filter(|m| self.settle.handed.contains(m));
            if handed.count() < quorum(members.len()) {
                let absent = members.iter().filter(|m| !self.settle.handed.contains(m));
                missing.extend(absent.copied());
            }
        }
        missing
    }

    /// Hands claims to a member of the view that this VM follows: those whose
    /// first or second-ranked member it is.
    pub(crate) fn asked(&mut self, from: Member, view: ViewNumber) {
        if self.cell.view().number != view {
            return;
        }
        let members = &self.cell.view().members;
        let claims = self.claims.filtered(|key| {
            let order = rendezvous::rank(key, members);
            order.iter().take(2).any(|m| *m == from)
        });
        let incomplete_for = self.settle.incomplete_until.since(self.now);
        let msg = Msg::Handover {
            view,
            incomplete_for,
            claims: Box::new(claims),
        };
        self.send(from, msg);
    }

    pub(crate) fn handed(
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
        self.settle.incomplete_until = self.settle.incomplete_until.max(self.now + incomplete_for);
        self.settle.handed.insert(from);
        self.settle_view();
    }

    /// Keeps an owner's claim, unless the owner acts under an older view.
    pub(crate) fn note(&mut self, from: Member, view: ViewNumber, key: u64) {
        if view != self.cell.view().number || !self.cell.is_member() {
            return;
        }
        self.claims.note(self.now, key);
        self.send(from, Msg::ClaimRecorded { view, key });
    }

    /// Drops claims that no witness has confirmed: they have not started.
    fn drop_unconfirmed_claims(&mut self) {
        for (req, key) in self.jobs.noting() {
            if self.claims.get(key) == Some(&Claim::Unconfirmed) {
                self.claims.remove(key);
            }
            self.reply_busy(req);
        }
    }
}
