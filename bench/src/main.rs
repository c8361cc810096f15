//! Measured slopes, and comparisons with simple baselines.
//!
//! `bench slopes` and `bench compare` print tables and write them as CSV, with
//! one plot a slope, below `docs/figures`.

mod compare;
mod fit;
mod fleet;
mod output;
mod slopes;
mod token;

use std::process::ExitCode;

fn main() -> ExitCode {
    let what = std::env::args().nth(1).unwrap_or_default();
    let result = match what.as_str() {
        "slopes" => slopes::run(),
        "compare" => compare::run(),
        _ => {
            eprintln!("usage: bench slopes | bench compare");
            return ExitCode::FAILURE;
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}
