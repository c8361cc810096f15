//! Stateful proofs of the decisions against simple oracles.
//!
//! A case is a list of [`Step`]s, drawn by bolero's generators from a seeded
//! source. [`World`] carries it out on several nodes at once: one queue of
//! events with times, fakes for platform and targets, and no threads. The
//! [`Oracle`] sees what reaches targets and callers, and knows the faults.

mod cause;
mod oracle;
mod platform;
mod step;
mod transport;
mod world;

pub use oracle::{Oracle, Tally};
pub use step::{cases, Faults, Step};
pub use world::World;

/// Runs one case. Returns the oracle's verdict.
pub fn run(seed: u64, faults: Faults, steps: &[Step]) -> Oracle {
    let mut world = World::open(seed, faults);
    for step in steps {
        world.step(step);
    }
    world.close()
}
