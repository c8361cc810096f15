//! Follows a store's feeds: lists them once, then watches, and reads afresh
//! whatever a watch may have missed.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch::Receiver;

use crate::code::Code;
use crate::control_plane::ControlState;
use crate::platform_client::Result;
use crate::store::{Consistency, Feed, Page, ReadRequest, Store};
use crate::time::Ms;

/// Time that a watch waits for a change. With a peer's `control_plane::WAIT` it stays
/// below `peer_selection::max_staleness`, so that peers of a healthy watcher never need the
/// store.
const fn watch_time(feed: Feed) -> Ms {
    match feed {
        Feed::Routes | Feed::Hosts => Ms(1200),
        Feed::Domains => Ms(2500),
        Feed::Vms => Ms(6000),
    }
}

/// Time that a call may take at first; a store that is slow gets up to
/// [`CALL_MAX`]. Answers normally take 4 ms. A call that hangs as the store comes
/// back, the pause after it and the time of grace must end within the 4 s after
/// which changes count again.
const CALL: Ms = Ms(500);
const CALL_MAX: Ms = Ms(1000);
/// Pause after a change, so that changes in quick succession cost one call.
const GATHER: Duration = Duration::from_millis(300);
/// Refusals for the store's rate that a call of a list bears.
const REFUSED_MAX: u32 = 50;
/// First and longest pause after a failed call. The first is short because a VM
/// that has just started serves nobody; the longest because each call costs.
const RETRY_MIN: Duration = Duration::from_millis(25);
const RETRY_MAX: Duration = Duration::from_millis(500);

/// Follows `feed` for ever, as long as `direct` says so.
pub(crate) async fn follow(
    known: Arc<ControlState>,
    store: Arc<Store>,
    feed: Feed,
    mut direct: Receiver<bool>,
) {
    let mut failed: u32 = 0;
    let mut listed = true;
    let mut consistency = Consistency::Serializable;
    loop {
        if direct.wait_for(|on| *on).await.is_err() {
            return;
        }
        let at = known.replica().revision(feed).filter(|_| listed);
        let timeout = Ms((CALL.0 << failed.min(3)).min(CALL_MAX.0));
        let result = match at {
            None => list(&known, &store, feed, consistency, timeout).await,
            Some(at) => {
                // A store that was lost is asked for no more than an answer.
                let wait = if failed > 0 { Ms(0) } else { watch_time(feed) };
                let watched =
                    (store.read)(feed, ReadRequest::Watch(at, wait), wait + timeout).await;
                watched.map(|page| vec![page])
            }
        };
        let pause = match result {
            Ok(pages) => {
                failed = 0;
                let first = at.is_none();
                listed = true;
                consistency = Consistency::Serializable;
                let mut changed = false;
                for page in pages {
                    changed |= take(&known, feed, page, first);
                }
                match changed && !first {
                    true => GATHER,
                    false => Duration::ZERO,
                }
            }
            Err(error) if error.code == Code::HistoryGone => {
                listed = false;
                consistency = Consistency::Linearizable;
                Duration::ZERO
            }
            Err(error) => {
                failed += 1;
                if error.code != Code::Throttled {
                    known.with_replica(|_, replica| replica.mark_unreachable(feed));
                }
                known.failed(feed, &error);
                retry_pause(&known, failed)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Takes in a page. Returns whether it changed anything.
fn take(known: &ControlState, feed: Feed, page: Page, listed: bool) -> bool {
    let skipped = page.skipped;
    let (regained, changed) = known.with_replica(|now, replica| {
        let regained = replica.mark_reachable(now, feed);
        if listed {
            replica.raise_history_floor(feed, page.revision);
        }
        let changed = match page.complete {
            true => replica.apply_list(now, feed, page.objects, page.revision),
            false => replica.apply_changes(now, feed, page.objects, page.revision),
        };
        (regained, changed)
    });
    if regained {
        known.regained(feed);
    }
    known.adopt(&changed);
    if skipped > 0 {
        log::warn!(target: "catalogue", skipped = skipped; "entries that cannot be used");
    }
    !changed.is_empty() || skipped > 0
}

/// Reads all pages of a feed, and what has changed since. The first page's revision
/// counts for all: what changed meanwhile is told again. Pages that the store refuses
/// for its rate are asked for again, or a fleet that starts would never end.
async fn list(
    known: &ControlState,
    store: &Store,
    feed: Feed,
    consistency: Consistency,
    timeout: Ms,
) -> Result<Vec<Page>> {
    let mut all = Page::default();
    let mut after = None;
    loop {
        let ask = ReadRequest::List(after.clone(), consistency);
        let page = read_patiently(known, store, feed, ask, timeout).await?;
        if after.is_none() {
            all.revision = page.revision;
        }
        all.objects.extend(page.objects);
        all.skipped += page.skipped;
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    all.complete = true;
    if consistency == Consistency::Linearizable {
        return Ok(vec![all]);
    }
    let since = ReadRequest::Watch(all.revision, Ms(0));
    let rest = read_patiently(known, store, feed, since, timeout).await?;
    Ok(vec![all, rest])
}

/// Makes a call again while the store refuses it for its rate.
async fn read_patiently(
    known: &ControlState,
    store: &Store,
    feed: Feed,
    ask: ReadRequest,
    timeout: Ms,
) -> Result<Page> {
    for refused in 1..=REFUSED_MAX {
        match (store.read)(feed, ask.clone(), timeout).await {
            Err(error) if error.code == Code::Throttled => {
                tokio::time::sleep(retry_pause(known, refused)).await;
            }
            page => return page,
        }
    }
    (store.read)(feed, ask, timeout).await
}

/// Doubles from [`RETRY_MIN`] to [`RETRY_MAX`], half of it random so that VMs
/// do not call together.
fn retry_pause(known: &ControlState, failed: u32) -> Duration {
    let full = RETRY_MIN.saturating_mul(1 << failed.min(10)).min(RETRY_MAX);
    full / 2 + (full / 2).mul_f64((known.random)())
}

/// Keeps this VM's entry in the store.
pub(crate) async fn register(store: &Store, entry: crate::store::Registration) -> Result<()> {
    (store.write)(entry, CALL).await
}

/// Pause before the next try to register.
pub(crate) fn register_pause(known: &ControlState, failed: u32) -> Duration {
    retry_pause(known, failed.max(4))
}
