//! A daemon is paused for less than a second. Meanwhile a server crashes and starts again, cold and
//! under its id, and says so in the store.
//!
//! When the daemon goes on, it forwards the opening packets that have waited in its socket. Its
//! control plane has the server's new entry to read at the same moment.

use std::time::Duration;

use crate::deployment::{Deployment, TWO_MACHINES};
use crate::{Context, Verdict};

/// Time of the first pause after the start of traffic, their number and the time between them.
const FIRST_AT: Duration = Duration::from_secs(4);
const ROUNDS: u32 = 8;
const INTERVAL: Duration = Duration::from_secs(7);
/// Times after the start of a pause. The daemon misses one probe of the routers, so it stays in
/// rotation.
const CRASH_AFTER: Duration = Duration::from_millis(50);
const RESTART_AFTER: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(950);

pub fn run(context: &Context) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::start(context, TWO_MACHINES)?;
    let traffic = deployment.start_traffic(FIRST_AT + INTERVAL * ROUNDS)?;
    for round in 0..ROUNDS {
        let start = FIRST_AT + INTERVAL * round;
        traffic.wait_until(start);
        if !context.trouble {
            continue;
        }
        deployment.set_paused(true)?;
        traffic.wait_until(start + CRASH_AFTER);
        deployment.crash_server();
        traffic.wait_until(start + RESTART_AFTER);
        deployment.restart_server()?;
        traffic.wait_until(start + PAUSE);
        deployment.set_paused(false)?;
    }
    traffic.finish(context);
    Ok(deployment.judge_failback())
}
