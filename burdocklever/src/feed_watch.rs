//! Reads feeds from the store: lists each once, then watches it, and lists again
//! when the store no longer has the changes that a watch asks for.

use std::sync::Arc;
use std::time::Duration;

use wire::Version;

use crate::code::Code;
use crate::control_state::{ChangeSource, ControlState};
use crate::era::LOST_HOLD;
use crate::platform_client::{Error, Result};
use crate::store::{Consistency, Feed, Page, ReadRequest, Store};
use crate::time::{Ms, Time};

/// Timeout of a call at first, and its limit as it doubles with each failure. The
/// store normally answers in 4 ms. A call that hangs while the store recovers, the
/// pause after it and the grace period must together end within 4 s of the
/// recovery, when changes must take effect again.
const CALL_TIMEOUT: Ms = Ms(500);
const CALL_TIMEOUT_MAX: Ms = Ms(1000);
/// Largest number of retries of one throttled call while a feed is listed.
const THROTTLED_RETRIES: u32 = 50;
/// First and longest pause after a failed call. The first is short because a VM
/// that has just started is not ready yet; the longest limits the load on the store.
const RETRY_MIN: Duration = Duration::from_millis(25);
const RETRY_MAX: Duration = Duration::from_millis(500);

/// Time for which a watch waits. The watches of all feeds end at multiples of
/// `interval`, so that a VM confirms them together and peers hear of it once.
pub(crate) fn watch_wait(now: Time, interval: Ms) -> Ms {
    let left = interval - Ms(now.0 % interval.0.max(1));
    match left.0 < interval.0 / 4 {
        true => left + interval,
        false => left,
    }
}

/// Feed by which a VM finds out that a lost store is back. The others wait for it, up
/// to this time.
const PROBE_FEED: Feed = Feed::Hosts;
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Lists and watches `feed` while this VM reads the store.
pub(crate) async fn watch_feed(state: Arc<ControlState>, store: Arc<Store>, feed: Feed) {
    let mut failed: u32 = 0;
    let mut history_available = true;
    let mut consistency = Consistency::Serializable;
    loop {
        state.reads_store.wait_for(|on| *on).await;
        let from = state.replica().revision(feed).filter(|_| history_available);
        let timeout = Ms((CALL_TIMEOUT.0 << failed.min(3)).min(CALL_TIMEOUT_MAX.0));
        let result = match from {
            None => list(&state, &store, feed, consistency, timeout).await,
            Some(from) => {
                // After a failure, an immediate answer shows sooner that the store is back.
                let wait = if failed > 0 {
                    Ms(0)
                } else {
                    watch_wait((state.clock)(), state.bounds.watch_interval())
                };
                let request = ReadRequest::Watch(from, wait);
                let watched = read(&state, &store, feed, request, wait + timeout).await;
                watched.and_then(|page| match page.revision.era() > from.era() {
                    // The revision that was watched from means something else now.
                    true => Err(era_ended()),
                    false => Ok(vec![page]),
                })
            }
        };
        let pause = match result {
            Ok(pages) => {
                failed = 0;
                let listed = from.is_none();
                history_available = true;
                consistency = Consistency::Serializable;
                let mut changed = false;
                let outdated = |p: &Page| state.replica().is_outdated(feed, p.revision);
                if pages.iter().any(outdated) {
                    log::info!(target: "store", feed = feed.to_string().as_str();
                        "an answer from before the store's return was ignored; reading again");
                    history_available = false;
                    consistency = Consistency::Linearizable;
                    tokio::time::sleep(RETRY_MIN).await;
                    continue;
                }
                for page in pages {
                    changed |= apply_page(&state, feed, page, listed);
                }
                match changed && !listed {
                    // Changes in quick succession cost one call.
                    true => Duration::from_millis(state.bounds.batch_pause().0),
                    false => Duration::ZERO,
                }
            }
            Err(error) if error.code == Code::HistoryGone => {
                history_available = false;
                consistency = Consistency::Linearizable;
                Duration::ZERO
            }
            Err(error) => {
                failed += 1;
                if error.code != Code::Throttled {
                    state.with_replica(|_, replica| replica.mark_unreachable(feed));
                }
                state.store_failed(feed, &error);
                if feed != PROBE_FEED && state.is_failing(PROBE_FEED) {
                    state.wait_for_store(PROBE_PAUSE).await;
                }
                retry_pause(&state, failed)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Applies a page to the replica. Returns whether it changed anything.
fn apply_page(state: &ControlState, feed: Feed, page: Page, listed: bool) -> bool {
    let skipped = page.skipped;
    let (recovered, changed) = state.with_replica(|now, replica| {
        let new_era = replica.is_new_era(feed, page.revision);
        let (era, objects) = (page.revision.era(), page.objects.len());
        let (known, revision) = (replica.revision(feed), page.revision);
        let behind = replica.is_behind(feed, revision);
        let config = page.objects.iter().map(|o| o.change).max();
        let recovered = replica.mark_reachable(now, feed);
        if listed && !behind {
            replica.raise_history_floor(feed, page.revision);
        }
        let changed = match page.complete {
            true => replica.apply_list(now, feed, page.objects, page.revision),
            false => replica.apply_changes(now, feed, page.objects, page.revision),
        };
        if listed || (page.complete && objects > 0) {
            log::info!(target: "store", feed = feed.to_string().as_str(), listed = listed,
                behind = behind, known = known.map_or(0, |v| v.revision()), revision = revision.revision(),
                config = config.unwrap_or(0), config_known = replica.config_number(),
                objects = objects, changed = changed.len(), held = replica.deferred_changes();
                "all objects of a feed read");
        }
        if new_era {
            log::warn!(target: "store", feed = feed.to_string().as_str(), era = era,
                objects = objects, changed = changed.len(), held = replica.deferred_changes(),
                held_ms = LOST_HOLD.0;
                "store came back from an older copy; what it lost stays in force until it is written again");
        }
        (recovered, changed)
    });
    if recovered {
        state.store_recovered(feed);
    }
    state.publish(&changed, ChangeSource::Store);
    if skipped > 0 {
        log::warn!(target: "catalogue", skipped = skipped; "entries that cannot be used");
    }
    !changed.is_empty() || skipped > 0
}

/// Reads all pages of a feed, and after a serializable list also the changes since.
/// Pages may be of different revisions, and any of them may be the oldest. The list has
/// the lowest revision, so what changed between two pages is delivered again. Throttled
/// pages are retried, since a fleet that starts at once would otherwise never complete its
/// lists.
async fn list(
    state: &ControlState,
    store: &Store,
    feed: Feed,
    consistency: Consistency,
    timeout: Ms,
) -> Result<Vec<Page>> {
    let mut all = Page::default();
    let mut after = None;
    let mut pages: u64 = 0;
    let mut newest = Version(0);
    loop {
        let request = ReadRequest::List(after.clone(), consistency);
        let page = read_with_retries(state, store, feed, request, timeout).await?;
        if after.is_none() {
            all.revision = page.revision;
        }
        if page.revision.era() != all.revision.era() {
            return Err(era_ended());
        }
        all.revision = all.revision.min(page.revision);
        newest = newest.max(page.revision);
        pages += 1;
        all.objects.extend(page.objects);
        all.skipped += page.skipped;
        // An adapter that reads a configuration says that its objects are all routes.
        all.complete |= page.complete;
        let last = std::mem::replace(&mut after, page.next);
        if after.is_none() {
            break;
        }
        if after == last {
            return Err(unusable("a page of a list ends where the one before ends"));
        }
    }
    if feed == Feed::Routes && all.skipped > 0 && !all.complete {
        return Err(unusable("no configuration in the list can be used"));
    }
    all.complete = true;
    log::info!(target: "store", feed = feed.to_string().as_str(), pages = pages,
        oldest = all.revision.revision(), newest = newest.revision(), era = newest.era();
        "pages of a list read");
    if consistency == Consistency::Linearizable {
        return Ok(vec![all]);
    }
    let since = ReadRequest::Watch(all.revision, Ms(0));
    let changes = read_with_retries(state, store, feed, since, timeout).await?;
    if changes.revision.era() != all.revision.era() {
        return Err(era_ended());
    }
    Ok(vec![all, changes])
}

fn unusable(detail: &str) -> Error {
    Error {
        code: Code::BadPlatform,
        detail: detail.into(),
    }
}

/// Result of a read during which the store came back from an older copy. As when the
/// store lost its history, the feed is listed again.
fn era_ended() -> Error {
    Error {
        code: Code::HistoryGone,
        detail: "the store came back from an older copy".into(),
    }
}

/// Reads a feed. Retries while the store throttles the call.
async fn read_with_retries(
    state: &ControlState,
    store: &Store,
    feed: Feed,
    request: ReadRequest,
    timeout: Ms,
) -> Result<Page> {
    for throttled in 1..=THROTTLED_RETRIES {
        match read(state, store, feed, request.clone(), timeout).await {
            Err(error) if error.code == Code::Throttled => {
                tokio::time::sleep(retry_pause(state, throttled)).await;
            }
            page => return page,
        }
    }
    read(state, store, feed, request, timeout).await
}

/// Reads a feed. An answer that is taken long after its timeout counts as none, since it
/// says nothing of now.
async fn read(
    state: &ControlState,
    store: &Store,
    feed: Feed,
    request: ReadRequest,
    timeout: Ms,
) -> Result<Page> {
    let sent = (state.clock)();
    let page = (store.read)(feed, request, timeout).await?;
    match state.is_late(sent, timeout) {
        true => Err(Error {
            code: Code::NoPlatform,
            detail: format!("answer expected within {timeout} was taken too late").into(),
        }),
        false => Ok(page),
    }
}

/// Exponential backoff from [`RETRY_MIN`] to [`RETRY_MAX`]. Half of it is random, so
/// that VMs do not retry in step.
fn retry_pause(state: &ControlState, failed: u32) -> Duration {
    let full = RETRY_MIN.saturating_mul(1 << failed.min(10)).min(RETRY_MAX);
    full / 2 + (full / 2).mul_f64((state.random)())
}
