//! What must always hold, on fixed seeds.

use fuzz::{cases, run, Faults, Tally};

/// Cases of each proof.
const CASES: u64 = 400;

/// Runs the cases of a proof. Returns the sum of the tallies.
fn prove(first: u64, faults: Faults) -> Tally {
    let mut sum = Tally::default();
    let mut failed = Vec::new();
    for (seed, steps) in cases(first..first + CASES) {
        let oracle = run(seed, faults, &steps);
        if let Some(first) = oracle.wrong.first() {
            failed.push(format!(
                "seed {seed}: {} wrong, first {first}",
                oracle.wrong.len()
            ));
        }
        sum.add(&oracle.tally);
    }
    assert!(
        failed.is_empty(),
        "{} cases failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
    sum
}

#[test]
fn nothing_is_broken_by_planned_changes() {
    let faults = Faults {
        planned: true,
        ..Faults::default()
    };
    let tally = prove(0, faults);
    insta::assert_debug_snapshot!(tally);
}

#[test]
fn promises_hold_while_vms_die() {
    let faults = Faults {
        kills: true,
        planned: true,
        ..Faults::default()
    };
    let tally = prove(1000, faults);
    insta::assert_debug_snapshot!(tally);
}

#[test]
fn promises_hold_while_vms_freeze() {
    let faults = Faults {
        pauses: true,
        planned: true,
        ..Faults::default()
    };
    let tally = prove(2000, faults);
    insta::assert_debug_snapshot!(tally);
}

#[test]
fn promises_hold_while_links_are_cut() {
    let faults = Faults {
        cuts: true,
        planned: true,
        ..Faults::default()
    };
    let tally = prove(3000, faults);
    insta::assert_debug_snapshot!(tally);
}

#[test]
fn promises_hold_while_the_platform_fails() {
    let faults = Faults {
        platform: true,
        planned: true,
        ..Faults::default()
    };
    let tally = prove(4000, faults);
    insta::assert_debug_snapshot!(tally);
}

#[test]
fn promises_hold_while_targets_misbehave() {
    let faults = Faults {
        targets: true,
        planned: true,
        ..Faults::default()
    };
    let tally = prove(5000, faults);
    insta::assert_debug_snapshot!(tally);
}

#[test]
fn promises_hold_under_all_faults_at_once() {
    let tally = prove(6000, Faults::ALL);
    insta::assert_debug_snapshot!(tally);
}
