//! Follows a store's feeds: lists them once, then watches, and reads afresh
//! whatever a watch may have missed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch::Receiver;
use wire::Object;

use crate::book::Book;
use crate::code::Code;
use crate::platform::{jitter, Error, Result};
use crate::store::{Ask, Feed, Page, Store};
use crate::time::{Ms, Time};

/// Time that a watch waits for a change. With a peer's `exchange::WAIT` it stays
/// below `relay::age_max`, so that peers of a healthy watcher never need the
/// store.
const fn watch_time(feed: Feed) -> Ms {
    match feed {
        Feed::Routes | Feed::Hosts => Ms(1200),
        Feed::Domains => Ms(2500),
        Feed::Vms => Ms(6000),
    }
}

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
    /// Objects that changed, and the number of entries that cannot be used.
    Changed(Vec<Object>, usize),
    /// The store does not answer.
    Lost(Error),
    /// The store answers again.
    Regained,
}

/// What following needs, and where it tells what it learns.
pub(crate) struct Reader {
    /// The store.
    pub(crate) store: Arc<Store>,
    /// What is known.
    pub(crate) book: Arc<Mutex<Book>>,
    /// This VM's monotonic clock.
    pub(crate) clock: Box<dyn Fn() -> Time + Send + Sync>,
    /// Tells what changed.
    pub(crate) tell: Box<dyn Fn(Feed, News) + Send + Sync>,
}

impl Reader {
    /// Runs a step on what is known.
    fn with<T>(&self, step: impl FnOnce(Time, &mut Book) -> T) -> T {
        let mut book = self.book.lock().unwrap_or_else(|e| e.into_inner());
        step((self.clock)(), &mut book)
    }
}

/// Follows `feed` for ever, as long as `direct` says so.
pub(crate) async fn follow(reader: Reader, feed: Feed, mut direct: Receiver<bool>) {
    let mut failed: u32 = 0;
    let mut known = true;
    loop {
        if direct.wait_for(|on| *on).await.is_err() {
            return;
        }
        let at = reader.with(|_, book| book.through(feed));
        let at = at.filter(|_| known);
        let timeout = Ms((CALL.0 << failed.min(3)).min(CALL_MAX.0));
        let result = match at {
            None => list(&reader.store, feed, timeout).await,
            Some(at) => {
                let wait = watch_time(feed);
                (reader.store.read)(feed, Ask::Watch(at, wait), wait + timeout).await
            }
        };
        let due = reader.with(|now, book| book.due(now, feed));
        if !due.is_empty() {
            (reader.tell)(feed, News::Changed(due, 0));
        }
        let pause = match result {
            Ok(page) => {
                failed = 0;
                let first = at.is_none();
                known = true;
                let changed = take(&reader, feed, page, first);
                match changed && !first {
                    true => GATHER,
                    false => Duration::ZERO,
                }
            }
            Err(error) if error.code == Code::HistoryGone => {
                known = false;
                Duration::ZERO
            }
            Err(error) => {
                failed += 1;
                if error.code != Code::Throttled {
                    reader.with(|_, book| book.lost(feed));
                }
                (reader.tell)(feed, News::Lost(error));
                retry_pause(failed)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Takes in a page. Returns whether it changed anything.
fn take(reader: &Reader, feed: Feed, page: Page, listed: bool) -> bool {
    let skipped = page.skipped;
    let (regained, changed) = reader.with(|now, book| {
        let regained = book.regained(now, feed);
        if listed {
            book.listed(feed, page.through);
        }
        let changed = match page.whole {
            true => book.replace(now, feed, page.objects, page.through),
            false => book.change(now, feed, page.objects, page.through),
        };
        (regained, changed)
    });
    if regained {
        (reader.tell)(feed, News::Regained);
    }
    let any = !changed.is_empty() || skipped > 0;
    (reader.tell)(feed, News::Changed(changed, skipped));
    any
}

/// Reads all pages of a feed. The first page's revision counts for all: what
/// changed meanwhile is told again by the watch that follows.
async fn list(store: &Store, feed: Feed, timeout: Ms) -> Result<Page> {
    let mut all = (store.read)(feed, Ask::List(None), timeout).await?;
    while let Some(next) = all.next.take() {
        let page = (store.read)(feed, Ask::List(Some(next)), timeout).await?;
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

/// Keeps this VM's entry in the store.
pub(crate) async fn register(store: &Store, entry: crate::store::Entry) -> Result<()> {
    (store.write)(entry, CALL).await
}

/// Pause before the next try to register.
pub(crate) fn register_pause(failed: u32) -> Duration {
    retry_pause(failed.max(4))
}
