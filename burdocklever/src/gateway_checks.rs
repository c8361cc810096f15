//! How a gateway finds out whether a target that does not answer lives.

use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use wire::Address;

use crate::control_plane::ControlState;
use crate::forwarder::{CheckOutcome, CheckRequest};
use crate::gateway::Shared;
use crate::gateway_packets::end_flows;
use crate::time::Ms;

/// A check of a target in progress.
pub type Check = Pin<Box<dyn Future<Output = std::io::Result<()>> + Send>>;

/// Finds out whether something takes connections at a target's address.
pub type CheckTarget = fn(Address) -> Check;

/// Targets that may wait for a check, and checks at a time. A failure domain's
/// targets die together, but a VM finds out one by one, as their flows repeat.
pub(crate) const DOUBTS_MAX: usize = 64;
const CHECKS_MAX: usize = 64;
/// Time in which a target that lives takes a connection, and a peer answers, as
/// long as this VM's link is free. Trips take 1 to 6 ms.
const CHECK_PROMPT: Duration = Duration::from_millis(50);
const LINK_FREE: Ms = Ms(150);
/// Time after which a check ends without an answer. With what was waited before,
/// it ends before a caller's second repeat, 400 ms after the first.
const CHECK_MAX: Duration = Duration::from_millis(250);
/// Checks targets whose life is in doubt.
pub(crate) async fn check_targets(
    shared: Arc<Shared>,
    known: Arc<ControlState>,
    mut doubtful: mpsc::Receiver<CheckRequest>,
    check: CheckTarget,
) {
    let mut running = JoinSet::new();
    while let Some(doubt) = doubtful.recv().await {
        while running.len() >= CHECKS_MAX || running.try_join_next().is_some() {
            running.join_next().await;
        }
        let (shared, known) = (shared.clone(), known.clone());
        running.spawn(async move {
            let begun = shared.now();
            let finding = check_target(&known, check(doubt.address)).await;
            let now = shared.now();
            log::info!(target: "target", host = doubt.host.0,
                finding = finding.text(), took_ms = now.since(begun).0;
                "target checked, since it does not answer");
            shared.forwarder().record_check(now, doubt.host, finding);
            end_flows(&shared, &mut Vec::new());
        });
    }
}

/// What a check shows. One without a clear answer is believed only if a peer
/// answers meanwhile: this VM's own link may be full.
async fn check_target(known: &ControlState, mut check: Check) -> CheckOutcome {
    let mut answer = tokio::time::timeout(CHECK_PROMPT, &mut check).await.ok();
    let mut free = false;
    if !answer.as_ref().is_some_and(is_clear) {
        let rest = async {
            match answer {
                Some(answer) => Some(answer),
                None => tokio::time::timeout(CHECK_MAX, check).await.ok(),
            }
        };
        (answer, free) = tokio::join!(rest, known.any_peer_responds(LINK_FREE));
    }
    match answer {
        Some(Ok(())) => CheckOutcome::Alive,
        Some(answer) if is_clear(&answer) => CheckOutcome::Refused,
        _ if free => CheckOutcome::Unreachable,
        _ => CheckOutcome::Inconclusive,
    }
}

/// Whether an answer to a check can only come from where the target is.
fn is_clear(answer: &std::io::Result<()>) -> bool {
    match answer {
        Ok(()) => true,
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
    }
}
