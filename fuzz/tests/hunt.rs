//! Open-ended search for failing cases. Not part of `cargo test`; see
//! docs/PROOFS.md for the command.

use bolero::check;
use fuzz::{run, Faults, Step};

#[test]
fn promises_hold_whatever_happens() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let oracle = run(0, Faults::ALL, steps);
        assert!(oracle.wrong.is_empty(), "{:?}", oracle.wrong.first());
    });
}
