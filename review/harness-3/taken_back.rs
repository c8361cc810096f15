//! A zone is evacuated and taken back. Its server turns cold shortly before, and its daemons are
//! killed and start again at that time.
//!
//! A daemon that has seen the zone out treats its servers as cold when it returns. One that starts
//! right after that knows only that the zone is in service.

use std::time::Duration;

use crate::deployment::{Deployment, THREE_MACHINES};
use crate::{Context, Verdict};

/// Times after the start of traffic.
const EVACUATED_AT: Duration = Duration::from_secs(3);
const KILL_AT: Duration = Duration::from_millis(8_800);
const COLD_AT: Duration = Duration::from_millis(8_900);
const TAKEN_BACK_AT: Duration = Duration::from_millis(9_000);
const RESTART_AT: Duration = Duration::from_millis(9_100);
const END_AT: Duration = Duration::from_secs(16);

pub fn run(context: &Context) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::start(context, THREE_MACHINES)?;
    let traffic = deployment.start_traffic(END_AT)?;
    traffic.wait_until(EVACUATED_AT);
    deployment.set_evacuated(true);
    if context.trouble {
        traffic.wait_until(KILL_AT);
        deployment.kill_gateways();
    }
    traffic.wait_until(COLD_AT);
    deployment.turn_server_cold();
    traffic.wait_until(TAKEN_BACK_AT);
    deployment.set_evacuated(false);
    if context.trouble {
        traffic.wait_until(RESTART_AT);
        deployment.restart_gateways()?;
    }
    traffic.finish(context);
    Ok(deployment.judge_failback())
}
