//! Experiments on whole fleets in simulated time.

use std::process::ExitCode;

use bpaf::Bpaf;
use model::{growth, storm_with_copies, storm_with_old_lists, storm_with_old_pages, Flaw, Report};

/// Experiments on whole fleets in simulated time. Exit status: 0 done, 1 a promise
/// was broken or a report could not be written.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Storms on the relay until enough objects were heard of
    #[bpaf(command)]
    Relay {
        /// First seed
        #[bpaf(long, argument("SEED"), fallback(100))]
        seed: u64,
        /// Objects that VMs are to hear of, over all seeds
        #[bpaf(long, argument("COUNT"), fallback(1_000_000))]
        events: u64,
        /// Size of all fleets; of different sizes if not given
        #[bpaf(long, argument("VMS"))]
        vms: Option<u32>,
        /// Lists from old data, and routes that are removed, in place of a store that comes
        /// back from older copies
        #[bpaf(long)]
        old_lists: bool,
        /// The same, with only the pages that continue a list from old data
        #[bpaf(long)]
        old_pages: bool,
    },
    /// What control costs a VM as fleets grow; writes docs/figures
    #[bpaf(command)]
    Growth,
}

/// Fleets that take turns in storms: small, and of the deployments' sizes.
const FLEETS: [u32; 4] = [4, 9, 24, 61];
/// Length of a storm in seconds.
const STORM_S: u64 = 60;

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Relay {
            seed,
            events,
            vms,
            old_lists,
            old_pages,
        } => {
            let play = match (old_pages, old_lists) {
                (true, _) => storm_with_old_pages,
                (false, true) => storm_with_old_lists,
                (false, false) => storm_with_copies,
            };
            relay(play, seed, events, vms)
        }
        Command::Growth => growth().map_err(|e| e.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("model: {error}");
            ExitCode::FAILURE
        }
    }
}

type Play = fn(u64, u32, u64, Flaw) -> Report;

fn relay(play: Play, first: u64, wanted: u64, size: Option<u32>) -> Result<(), String> {
    let mut events = 0;
    let mut seed = first;
    while events < wanted {
        let vms = size.unwrap_or(FLEETS[(seed % FLEETS.len() as u64) as usize]);
        let report = play(seed, vms, STORM_S, Flaw::None);
        events += report.events;
        println!(
            "seed {seed}, {vms} VMs: {} objects heard of, digest {:016x}",
            report.events, report.digest
        );
        if !report.broken.is_empty() {
            return Err(format!("seed {seed}: {:#?}", report.broken));
        }
        seed += 1;
    }
    println!("{events} objects heard of, no promise broken");
    Ok(())
}
