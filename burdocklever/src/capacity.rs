//! Estimate of a target's capacity, made from its responses.
//!
//! A target starts at the cold limits of its service. Timely responses raise the
//! request limit step by step, time without a failure doubles the flow limit, and
//! refusals, timeouts and broken connections halve both. A new incarnation resets both
//! limits to the cold ones; a long time without a response resets only the request limit.

use wire::{Incarnation, Limits};

use crate::time::{Ms, Time};

/// Timely responses that raise the request limit by one.
pub(crate) const RAISE_RESPONSES: u32 = 8;
/// Time without a failure after which the flow limit is doubled.
pub(crate) const RAISE_INTERVAL: Ms = Ms(2000);
/// Time without a response after which the request limit falls back to the cold one.
pub(crate) const IDLE_RESET: Ms = Ms(60_000);

/// Estimated capacity of one target: concurrent requests and open flows.
#[derive(Debug, Clone)]
pub struct CapacityEstimate {
    incarnation: Incarnation,
    slots: u32,
    conns: u32,
    /// Timely responses since the last raise of the request limit or the last failure.
    successes: u32,
    /// Last raise of the flow limit, or last failure.
    last_change: Time,
    /// Last response, or last reset of the request limit.
    last_response: Time,
}

impl CapacityEstimate {
    /// Estimate for a cold target.
    pub fn cold(now: Time, limits: &Limits) -> CapacityEstimate {
        CapacityEstimate {
            incarnation: Incarnation(0),
            slots: limits.cold_slots.min(limits.slots),
            conns: limits.cold_conns.min(limits.conns),
            successes: 0,
            last_change: now,
            last_response: now,
        }
    }

    /// Largest number of concurrent requests that the target can take.
    pub fn slots(&self, limits: &Limits) -> u32 {
        self.slots.min(limits.slots)
    }

    /// Largest number of open flows that the target can take.
    pub fn conns(&self, limits: &Limits) -> u32 {
        self.conns.min(limits.conns)
    }

    /// Records a timely response from an incarnation of the target.
    pub fn record_response(&mut self, now: Time, incarnation: Incarnation, limits: &Limits) {
        if incarnation != self.incarnation {
            let first = self.incarnation == Incarnation(0);
            self.incarnation = incarnation;
            if !first {
                self.reset_to_cold(now, limits);
                return;
            }
        }
        self.last_response = now;
        self.successes += 1;
        if self.successes >= RAISE_RESPONSES {
            self.successes = 0;
            self.slots = (self.slots + 1).min(limits.slots);
        }
    }

    /// Records a refusal, a timeout or a broken connection.
    pub fn record_failure(&mut self, now: Time) {
        self.successes = 0;
        self.last_change = now;
        self.slots = (self.slots / 2).max(1);
        self.conns = (self.conns / 2).max(1);
    }

    /// Doubles the flow limit after an interval without a failure, and lowers the request
    /// limit of an idle target to the cold one.
    pub fn tick(&mut self, now: Time, limits: &Limits) {
        if now.since(self.last_response) >= IDLE_RESET {
            self.slots = self.slots.min(limits.cold_slots);
            self.last_response = now;
        }
        if now.since(self.last_change) >= RAISE_INTERVAL && self.conns < limits.conns {
            self.conns = self.conns.saturating_mul(2).min(limits.conns);
            self.last_change = now;
        }
    }

    fn reset_to_cold(&mut self, now: Time, limits: &Limits) {
        let incarnation = self.incarnation;
        *self = CapacityEstimate::cold(now, limits);
        self.incarnation = incarnation;
    }
}
