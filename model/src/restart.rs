//! Fleets that lose VMs and start them again: how soon they can serve, and what that
//! costs the store.

use std::time::Duration;

use rand::seq::index::sample;
use tokio::time::{sleep, Instant};

use crate::fleet::{Flaw, Fleet, Plan};
use crate::relay::simulate;

/// Time before the loss, in which the fleet settles.
const SETTLE: Duration = Duration::from_secs(10);
/// Time between the loss and the start.
const DARK: Duration = Duration::from_secs(2);
/// Longest wait for a fleet to serve again.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a restart showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Restart {
    /// Time from the first start until nine VMs of ten can serve.
    pub time: Duration,
    /// Calls to the store meanwhile.
    pub calls: f64,
}

/// All VMs are killed and start again.
pub fn restart(plan: Plan) -> Restart {
    simulate(async move {
        let mut fleet = settled(plan).await;
        lose_all(&mut fleet).await
    })
}

/// A share of the VMs is killed while the store is away, and starts again before it is
/// back.
pub fn restart_in_outage(plan: Plan, share: f64) -> Restart {
    simulate(async move {
        let mut fleet = settled(plan).await;
        fleet.store_down(true);
        let count = (f64::from(plan.vms) * share) as usize;
        let killed = sample(&mut fleet.rng, plan.vms as usize, count);
        for i in killed {
            fleet.kill(i);
        }
        start_again(&mut fleet, plan.vms as usize).await
    })
}

/// All VMs are killed, and the seeds are gone for good.
pub fn restart_without_seeds(plan: Plan) -> Restart {
    simulate(async move {
        let mut fleet = settled(plan).await;
        for i in 0..plan.vms as usize {
            fleet.kill(i);
        }
        fleet.retire_seeds();
        start_again(&mut fleet, plan.vms as usize - Fleet::SEEDS).await
    })
}

async fn settled(plan: Plan) -> Fleet {
    let mut fleet = Fleet::spawn(plan, 1, Flaw::None).await;
    fleet.play(SETTLE).await;
    fleet
}

/// Kills all VMs and starts them again.
pub(crate) async fn lose_all(fleet: &mut Fleet) -> Restart {
    for i in 0..fleet.size() {
        fleet.kill(i);
    }
    let size = fleet.size();
    start_again(fleet, size).await
}

/// Starts the VMs that are down, and waits until nine of ten of `vms` can serve.
async fn start_again(fleet: &mut Fleet, vms: usize) -> Restart {
    sleep(DARK).await;
    let calls = fleet.store_calls().0;
    let begun = Instant::now();
    fleet.start_all().await;
    while fleet.ready() * 10 < vms * 9 && begun.elapsed() < PATIENCE {
        sleep(Duration::from_millis(10)).await;
    }
    Restart {
        time: begun.elapsed(),
        calls: fleet.store_calls().0 - calls,
    }
}
