//! Liveness checks of targets that do not answer.

use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use wire::Address;

use crate::control_state::ControlState;
use crate::forwarder::{CheckOutcome, CheckRequest};
use crate::gateway::GatewayState;
use crate::gateway_packets::send_resets;
use crate::time::Ms;

/// A pending check: an attempt to connect to a target.
pub type Check = Pin<Box<dyn Future<Output = std::io::Result<()>> + Send>>;

/// Starts to check whether a target's address accepts connections.
pub type CheckTarget = fn(Address) -> Check;

/// Maximum number of targets that wait for a check. The targets of a failure
/// domain die together, but a VM notices one by one, as callers retransmit.
pub(crate) const CHECK_QUEUE_LEN: usize = 64;
/// Maximum number of checks at a time.
const MAX_CONCURRENT_CHECKS: usize = 64;
/// Time in which a live target accepts a connection if this VM's link is not
/// congested. One-way trips take 1 to 6 ms.
const PROMPT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which a peer answers if this VM's link is not congested.
const LINK_TIMEOUT: Ms = Ms(150);
/// Time for which a check waits for an answer after [`PROMPT_TIMEOUT`]. Both
/// together are shorter than the 400 ms between a caller's first retransmission,
/// which starts the check, and the second.
const LATE_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs the requested checks.
pub(crate) async fn check_targets(
    state: Arc<GatewayState>,
    control_state: Arc<ControlState>,
    mut requests: mpsc::Receiver<CheckRequest>,
    check: CheckTarget,
) {
    let mut running = JoinSet::new();
    while let Some(request) = requests.recv().await {
        while running.len() >= MAX_CONCURRENT_CHECKS || running.try_join_next().is_some() {
            running.join_next().await;
        }
        let (state, control_state) = (state.clone(), control_state.clone());
        running.spawn(async move {
            let start = state.now();
            let outcome = check_target(&control_state, check(request.address)).await;
            let now = state.now();
            log::info!(target: "target", host = request.host.0,
                finding = outcome.text(), took_ms = now.since(start).0;
                "target checked, since it does not answer");
            state.forwarder().record_check(now, request.host, outcome);
            send_resets(&state, &mut Vec::new());
        });
    }
}

/// Runs a check. Without a conclusive answer, the target counts as unreachable only
/// if a peer answers meanwhile; otherwise this VM's own link may be congested.
async fn check_target(control_state: &ControlState, mut check: Check) -> CheckOutcome {
    let mut answer = tokio::time::timeout(PROMPT_TIMEOUT, &mut check).await.ok();
    let mut link_ok = false;
    if !answer.as_ref().is_some_and(is_conclusive) {
        let rest = async {
            match answer {
                Some(answer) => Some(answer),
                None => tokio::time::timeout(LATE_TIMEOUT, check).await.ok(),
            }
        };
        (answer, link_ok) = tokio::join!(rest, control_state.any_peer_responds(LINK_TIMEOUT));
    }
    match answer {
        Some(Ok(())) => CheckOutcome::Alive,
        Some(answer) if is_conclusive(&answer) => CheckOutcome::Refused,
        _ if link_ok => CheckOutcome::Unreachable,
        _ => CheckOutcome::Inconclusive,
    }
}

/// Whether the result of a check can only come from the target's host: a
/// connection or its refusal.
fn is_conclusive(answer: &std::io::Result<()>) -> bool {
    match answer {
        Ok(()) => true,
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
    }
}
