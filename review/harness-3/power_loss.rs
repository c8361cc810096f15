//! A zone loses power while the platform's store is down. Its daemons and its server start again,
//! the server cold and under its id.
//!
//! The daemons get the catalogue of a peer in another zone. It shows the server as it was before.

use std::time::Duration;

use crate::deployment::{Deployment, THREE_MACHINES};
use crate::{Context, Verdict};

/// Times after the start of traffic.
const OUTAGE_AT: Duration = Duration::from_secs(4);
const OUTAGE_FOR: Duration = Duration::from_millis(4500);
const POWER_LOSS_AT: Duration = Duration::from_millis(4500);
const POWER_BACK_AT: Duration = Duration::from_millis(5700);
const END_AT: Duration = Duration::from_secs(15);

pub fn run(context: &Context) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::start(context, THREE_MACHINES)?;
    let traffic = deployment.start_traffic(END_AT)?;
    if context.trouble {
        traffic.wait_until(OUTAGE_AT);
        deployment.set_store_down(true);
        traffic.wait_until(POWER_LOSS_AT);
        deployment.crash_server();
        deployment.kill_gateways();
        traffic.wait_until(POWER_BACK_AT);
        deployment.restart_server()?;
        deployment.restart_gateways()?;
        traffic.wait_until(OUTAGE_AT + OUTAGE_FOR);
        deployment.set_store_down(false);
    }
    traffic.finish(context);
    Ok(deployment.judge_failback())
}
