//! A server crashes and starts again, cold and under its id, while the platform's store is down.
//!
//! The daemons cannot read that it is cold, but they have noticed its silence. FAILBACK counts
//! what all machines send to it, in touch or not.

use std::time::Duration;

use crate::deployment::{Deployment, THREE_MACHINES};
use crate::{Context, Verdict};

/// Times after the start of traffic.
const CRASH_AT: Duration = Duration::from_secs(5);
const DOWN_FOR: Duration = Duration::from_millis(3900);
const OUTAGE_AT: Duration = Duration::from_millis(6500);
const OUTAGE_FOR: Duration = Duration::from_millis(4500);
const END_AT: Duration = Duration::from_secs(18);

pub fn run(context: &Context) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::start(context, THREE_MACHINES)?;
    let traffic = deployment.start_traffic(END_AT)?;
    if context.trouble {
        traffic.wait_until(CRASH_AT);
        deployment.crash_server();
        traffic.wait_until(OUTAGE_AT);
        deployment.set_store_down(true);
        traffic.wait_until(CRASH_AT + DOWN_FOR);
        deployment.restart_server()?;
        traffic.wait_until(OUTAGE_AT + OUTAGE_FOR);
        deployment.set_store_down(false);
    }
    traffic.finish(context);
    Ok(deployment.judge_failback())
}
