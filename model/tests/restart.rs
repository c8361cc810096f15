//! Fleets that start again: soon, and with few calls to the store.

use std::time::Duration;

use model::{restart, restart_in_outage, restart_without_seeds, Plan};

/// Spread of the starts, and the goal for the time from a VM's start until it serves.
const START_SPREAD: Duration = Duration::from_millis(300);
const GOAL: Duration = Duration::from_millis(300);

fn plan(vms: u32) -> Plan {
    Plan {
        vms,
        domains: 6,
        targets: 300,
        routes: 20,
        rate: 6000.0,
        first_fast: 9,
    }
}

/// All VMs of a fleet start at once, and together could ask for more than the store's
/// rate.
#[test]
fn a_fleet_that_was_lost_serves_again_soon_at_a_busy_store() {
    let again = restart(Plan {
        vms: 60,
        domains: 4,
        targets: 3000,
        rate: 200.0,
        first_fast: 9,
        ..plan(60)
    });
    assert!(again.time < Duration::from_secs(3), "{again:?}");
}

/// Load: 60% of the VMs lose power while the store is away. A VM that starts then has
/// only its peers, whose knowledge is older than they would use for themselves.
#[test]
fn vms_that_start_while_the_store_is_away_serve_from_what_peers_know() {
    for vms in [9, 61, 195] {
        let again = restart_in_outage(plan(vms), 0.6);
        assert!(again.time < START_SPREAD + GOAL, "{vms} VMs: {again:?}");
    }
}

#[test]
fn a_fleet_whose_seeds_are_gone_starts_by_its_contact_points() {
    for vms in [9, 61, 195] {
        let again = restart_without_seeds(plan(vms));
        assert!(again.time < START_SPREAD + GOAL, "{vms} VMs: {again:?}");
    }
}

/// Three feeds of one page cost a reader 3.3 calls and a look at the contact points a
/// tenth; a fleet of which every VM read the store would make 640 calls.
#[test]
fn a_fleet_that_was_lost_makes_tens_of_calls() {
    let again = restart(plan(195));
    assert!(again.time < START_SPREAD + GOAL, "{again:?}");
    assert!(again.calls < 100.0, "{again:?}");
}
