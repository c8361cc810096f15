//! Follows a store's feeds: lists them once, then watches, and reads afresh
//! whatever a watch may have missed.

use std::sync::Arc;
use std::time::Duration;

use wire::{Object, Version};

use crate::code::Code;
use crate::platform::{jitter, Error, Result};
use crate::store::{Ask, Feed, Page, Store};
use crate::time::Ms;
use crate::track::Tracker;

/// Time that a watch waits for a change. A connection can go silent without a
/// sign, so this and [`CALL`] together stay below the tightest bound, 3 s.
const WATCH: Ms = Ms(2000);
/// Time that a call may take at first; a store that is slow gets up to
/// [`CALL_MAX`]. Answers normally take 4 ms.
const CALL: Ms = Ms(500);
const CALL_MAX: Ms = Ms(4000);
/// Pause after a change, so that changes in quick succession cost one call.
const GATHER: Duration = Duration::from_millis(300);
/// First and longest pause after a failed call. The first is short because a VM
/// that has just started serves nobody; the longest because each call costs.
const RETRY_MIN: Duration = Duration::from_millis(25);
const RETRY_MAX: Duration = Duration::from_millis(1000);

/// What following a feed told.
#[derive(Debug)]
pub(crate) enum News {
    /// Objects that changed, complete up to a revision.
    Changed(Vec<Object>, Version, usize),
    /// Nothing changed.
    Confirmed,
    /// The store does not answer.
    Lost(Error),
    /// The store answers again.
    Regained,
}

/// Follows `feed` for ever and tells `sink` what it learns.
pub(crate) async fn follow(
    store: Arc<Store>,
    feed: Feed,
    now: impl Fn() -> crate::time::Time,
    mut sink: impl FnMut(News),
) {
    let mut tracker = Tracker::default();
    let mut at: Option<Version> = None;
    let mut failed = 0;
    loop {
        let timeout = Ms(CALL.0 << failed.min(3)).0.min(CALL_MAX.0);
        let result = match at {
            None => list(&store, feed, Ms(timeout)).await,
            Some(at) => {
                let ask = Ask::Watch(at, WATCH);
                (store.call)(feed, ask, WATCH + Ms(timeout)).await
            }
        };
        let due = tracker.due(now());
        let pause = match result {
            Ok(page) => {
                failed = 0;
                if tracker.regained(now()) {
                    sink(News::Regained);
                }
                let through = page.through.max(at.unwrap_or_default());
                let skipped = page.skipped;
                let first = at.is_none();
                let mut changed = due;
                changed.extend(take(&mut tracker, now(), page));
                at = Some(through);
                if changed.is_empty() && skipped == 0 && !first {
                    sink(News::Confirmed);
                    Duration::ZERO
                } else {
                    sink(News::Changed(changed, through, skipped));
                    if first {
                        Duration::ZERO
                    } else {
                        GATHER
                    }
                }
            }
            Err(error) => {
                let through = at.unwrap_or_default();
                if !due.is_empty() {
                    sink(News::Changed(due, through, 0));
                }
                if error.code == Code::HistoryGone {
                    at = None;
                    Duration::ZERO
                } else {
                    failed += 1;
                    if error.code != Code::Throttled {
                        tracker.lost();
                    }
                    sink(News::Lost(error));
                    retry_pause(failed)
                }
            }
        };
        if pause > Duration::ZERO {
            tokio::time::sleep(pause).await;
        }
    }
}

fn take(tracker: &mut Tracker, now: crate::time::Time, page: Page) -> Vec<Object> {
    if page.whole {
        tracker.whole(now, page.objects, page.through)
    } else {
        tracker.changes(now, page.objects)
    }
}

/// Reads all pages of a feed. The first page's revision counts for all: what
/// changed meanwhile is told again by the watch that follows.
async fn list(store: &Store, feed: Feed, timeout: Ms) -> Result<Page> {
    let mut all = (store.call)(feed, Ask::List(None), timeout).await?;
    while let Some(next) = all.next.take() {
        let page = (store.call)(feed, Ask::List(Some(next)), timeout).await?;
        all.objects.extend(page.objects);
        all.skipped += page.skipped;
        all.next = page.next;
    }
    all.whole = true;
    Ok(all)
}

/// Doubles from [`RETRY_MIN`] to [`RETRY_MAX`], half of it random so that VMs
/// do not call together.
fn retry_pause(failed: u32) -> Duration {
    let full = RETRY_MIN.saturating_mul(1 << failed.min(10)).min(RETRY_MAX);
    full / 2 + (full / 2).mul_f64(jitter())
}
