//! Replays one seed: removes the steps that the failure does not need, then
//! prints the rest with what happened.
//!
//! Usage: `cargo run -p fuzz --example replay -- SEED FAULT...` with faults out
//! of kills, pauses, cuts, platform, targets and planned.

use fuzz::{cases, Faults, Oracle, Step, World};

fn main() {
    let mut args = std::env::args().skip(1);
    let seed: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(0);
    let mut faults = Faults::default();
    for word in args {
        match word.as_str() {
            "kills" => faults.kills = true,
            "pauses" => faults.pauses = true,
            "cuts" => faults.cuts = true,
            "platform" => faults.platform = true,
            "targets" => faults.targets = true,
            "planned" => faults.planned = true,
            "all" => faults = Faults::ALL,
            other => eprintln!("unknown fault `{other}`"),
        }
    }
    let (_, steps) = cases(seed..seed + 1).next().unwrap_or_default();
    let Some(kind) = kind(&fuzz::run(seed, faults, &steps)) else {
        println!("seed {seed}: nothing wrong");
        return;
    };
    let steps = shrink(seed, faults, steps, &kind);
    let mut world = World::open(seed, faults);
    world.trace = true;
    for step in &steps {
        println!("{step:?}");
        world.step(step);
    }
    let oracle = world.close();
    println!("{:#?}", oracle.wrong);
}

/// What comes before the second word of the first violation.
fn kind(oracle: &Oracle) -> Option<String> {
    let text = oracle.wrong.first()?;
    let kind = text.split(": ").nth(1)?;
    let rest: Vec<&str> = text.split(' ').rev().take(1).collect();
    Some(format!(
        "{kind} {}",
        rest.concat().trim_matches(char::is_numeric)
    ))
}

/// Removes steps as long as the failure stays of the same kind.
fn shrink(seed: u64, faults: Faults, mut steps: Vec<Step>, kind_of: &str) -> Vec<Step> {
    let mut size = steps.len() / 2;
    while size > 0 {
        let mut at = 0;
        while at < steps.len() {
            let mut fewer = steps.clone();
            fewer.drain(at..(at + size).min(fewer.len()));
            let oracle = fuzz::run(seed, faults, &fewer);
            if kind(&oracle).as_deref() == Some(kind_of) {
                steps = fewer;
            } else {
                at += size;
            }
        }
        size /= 2;
    }
    steps
}
