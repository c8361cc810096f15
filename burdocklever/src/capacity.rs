//! Estimate of what a target bears, made from its answers.
//!
//! A target starts at the cold limits of its service. Timely answers raise the
//! estimate step by step, refusals and timeouts halve it, and a new incarnation
//! or a long silence takes it back to cold.

use wire::{Incarnation, Limits};

use crate::time::{Ms, Time};

/// Timely answers that raise the request limit by one.
pub(crate) const STEP_ANSWERS: u32 = 8;
/// Time without trouble that doubles the flow limit.
pub(crate) const STEP_TIME: Ms = Ms(2000);
/// Silence after which a target counts as cold.
pub(crate) const STALE: Ms = Ms(60_000);

/// What one target is believed to bear.
#[derive(Debug, Clone)]
pub struct CapacityEstimate {
    life: Incarnation,
    slots: u32,
    conns: u32,
    streak: u32,
    raised: Time,
    heard: Time,
}

impl CapacityEstimate {
    /// A cold target.
    pub fn cold(now: Time, limits: &Limits) -> CapacityEstimate {
        CapacityEstimate {
            life: Incarnation(0),
            slots: limits.cold_slots.min(limits.slots),
            conns: limits.cold_conns.min(limits.conns),
            streak: 0,
            raised: now,
            heard: now,
        }
    }

    /// Requests in progress that the target bears.
    pub fn slots(&self, limits: &Limits) -> u32 {
        self.slots.min(limits.slots)
    }

    /// Open flows that the target bears.
    pub fn conns(&self, limits: &Limits) -> u32 {
        self.conns.min(limits.conns)
    }

    /// Takes in a timely answer from incarnation `life`.
    pub fn record_answer(&mut self, now: Time, life: Incarnation, limits: &Limits) {
        if life != self.life {
            let first = self.life == Incarnation(0);
            self.life = life;
            if !first {
                self.chill(now, limits);
                return;
            }
        }
        self.heard = now;
        self.streak += 1;
        if self.streak >= STEP_ANSWERS {
            self.streak = 0;
            self.slots = (self.slots + 1).min(limits.slots);
        }
    }

    /// Takes in a refusal, a timeout or a broken connection.
    pub fn record_failure(&mut self, now: Time) {
        self.streak = 0;
        self.raised = now;
        self.slots = (self.slots / 2).max(1);
        self.conns = (self.conns / 2).max(1);
    }

    /// Raises the flow limit after time without trouble; a silent target cools.
    pub fn tick(&mut self, now: Time, limits: &Limits) {
        if now.since(self.heard) >= STALE {
            self.slots = self.slots.min(limits.cold_slots);
            self.heard = now;
        }
        if now.since(self.raised) >= STEP_TIME && self.conns < limits.conns {
            self.conns = self.conns.saturating_mul(2).min(limits.conns);
            self.raised = now;
        }
    }

    fn chill(&mut self, now: Time, limits: &Limits) {
        let life = self.life;
        *self = CapacityEstimate::cold(now, limits);
        self.life = life;
    }
}
