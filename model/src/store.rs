//! The platform's store: objects by feed, watches, a rate, outages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use burdocklever::{Code, Consistency, ContactList, Feed, Ms, Page, PlatformError, ReadRequest};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};
use wire::{Body, DomainId, Object, ObjectKey, Version};

/// Time of an answer; the site files name it.
pub(crate) const ANSWER: Duration = Duration::from_millis(4);
/// Cost of a read that may be answered from old data, in calls.
pub(crate) const STALE_CALL_COST: f64 = 0.1;
/// Objects a page, and a page that may be answered from old data.
const PAGE: usize = 500;
const OLD_PAGE: usize = 40;

/// Result of a call.
pub(crate) type Result<T> = std::result::Result<T, PlatformError>;

/// What the store holds.
#[derive(Debug, Clone, Default)]
pub(crate) struct Content {
    revision: u64,
    objects: BTreeMap<ObjectKey, Object>,
    /// Changes of each feed in their order.
    changes: [Vec<Object>; Feed::COUNT],
    /// Number of the configuration: operators raise it with each change of a route.
    config: u64,
    pub(crate) contacts: BTreeMap<DomainId, ContactList>,
}

/// Content and limits.
pub(crate) struct Store {
    pub(crate) content: Content,
    /// Number of times that the content went back to a copy.
    pub(crate) era: u16,
    /// Last revision of each copy that the content went back to.
    pub(crate) copies: Vec<u64>,
    /// Wakes watches of a feed, in the order in which they began.
    wake: [Arc<Notify>; Feed::COUNT],
    /// Calls a second.
    rate: f64,
    calls_left: f64,
    filled: Instant,
    pub(crate) down: bool,
    /// Age of the data that serializable lists are answered from: the first page, and
    /// the pages after it.
    pub(crate) list_ages: [Duration; 2],
    /// Revisions and when they were written, in the present era.
    written: Vec<(Instant, u64)>,
    /// Calls so far; one that may be answered from old data costs a tenth.
    pub(crate) calls: f64,
    pub(crate) refused: u64,
}

impl Store {
    /// An empty store that takes `rate` reading calls a second.
    pub(crate) fn new(rate: f64) -> Store {
        Store {
            content: Content::default(),
            era: 0,
            copies: Vec::new(),
            wake: Default::default(),
            rate,
            calls_left: rate,
            filled: Instant::now(),
            down: false,
            list_ages: [Duration::ZERO; 2],
            written: Vec::new(),
            calls: 0.0,
            refused: 0,
        }
    }

    /// Writes an object, or removes it. `config` is the number of the configuration that
    /// the write belongs to. Returns the object as it is stored.
    pub(crate) fn put(&mut self, key: ObjectKey, body: Body, config: u64) -> Object {
        let content = &mut self.content;
        content.revision += 1;
        self.written.push((Instant::now(), content.revision));
        let object = Object {
            key: key.clone(),
            version: Version::new(self.era, content.revision),
            change: config,
            body,
        };
        let feed = Feed::of(&key).map_or(0, |f| f as usize);
        if feed == Feed::Routes as usize {
            content.config = content.config.max(config);
        }
        match object.body {
            Body::Removed => content.objects.remove(&key),
            _ => content.objects.insert(key, object.clone()),
        };
        content.changes[feed].push(object.clone());
        self.wake[feed].notify_waiters();
        object
    }

    /// Goes back to an older copy of the content.
    pub(crate) fn restore(&mut self, copy: Content) {
        self.copies.push(copy.revision);
        self.content = copy;
        self.written.clear();
        self.era += 1;
        for wake in &self.wake {
            wake.notify_waiters();
        }
    }

    /// An object as it is returned, unless it was removed.
    pub(crate) fn object(&self, key: &ObjectKey) -> Option<Object> {
        self.content.objects.get(key).map(|o| self.told(o))
    }

    /// An object as it is returned: its version is told in the current era.
    fn told(&self, object: &Object) -> Object {
        let config = match Feed::of(&object.key) {
            Some(Feed::Routes) => self.content.config,
            _ => 0,
        };
        Object {
            version: Version::new(self.era, object.version.revision()),
            change: config,
            ..object.clone()
        }
    }

    fn revision(&self) -> Version {
        Version::new(self.era, self.content.revision)
    }

    /// Takes a call, unless the store is down or busy.
    pub(crate) fn take(&mut self) -> Result<()> {
        let now = Instant::now();
        let fresh = now.duration_since(self.filled).as_secs_f64() * self.rate;
        self.calls_left = (self.calls_left + fresh).min(self.rate);
        self.filled = now;
        self.calls += 1.0;
        if self.calls_left < 1.0 {
            self.refused += 1;
            return Err(error(Code::Throttled));
        }
        self.calls_left -= 1.0;
        Ok(())
    }

    fn list(&self, feed: Feed, after: Option<&str>) -> Page {
        let of_feed = self
            .content
            .objects
            .values()
            .filter(|o| Feed::of(&o.key) == Some(feed));
        let rest = of_feed.filter(|o| after.is_none_or(|name| &*o.key.name > name));
        // All routes stand in one object.
        let most = if feed == Feed::Routes {
            usize::MAX
        } else {
            PAGE
        };
        let objects: Vec<Object> = rest.take(most).map(|o| self.told(o)).collect();
        let full = objects.len() == most;
        Page {
            next: objects.last().filter(|_| full).map(|o| o.key.name.clone()),
            objects,
            revision: self.revision(),
            ..Page::default()
        }
    }

    fn answers_old_lists(&self) -> bool {
        self.list_ages.iter().any(|age| !age.is_zero())
    }

    /// A page of a feed as it was some time ago.
    fn old_list(&self, feed: Feed, after: Option<&str>) -> Page {
        let age = self.list_ages[usize::from(after.is_some())];
        let recent = |(at, _): &&(Instant, u64)| at.elapsed() < age;
        let first_recent = self.written.iter().find(recent);
        let revision = first_recent.map_or(self.content.revision, |(_, first)| first - 1);
        let mut objects = BTreeMap::new();
        let mut config = 0;
        for change in &self.content.changes[feed as usize] {
            if change.version.revision() > revision {
                break;
            }
            config = config.max(change.change);
            match change.body {
                Body::Removed => objects.remove(&change.key),
                _ => objects.insert(change.key.clone(), change),
            };
        }
        let told = |object: &Object| Object {
            change: if feed == Feed::Routes { config } else { 0 },
            ..self.told(object)
        };
        // All routes stand in one object.
        let most = if feed == Feed::Routes {
            usize::MAX
        } else {
            OLD_PAGE
        };
        let rest = objects.into_values();
        let rest = rest.filter(|o| after.is_none_or(|name| &*o.key.name > name));
        let mut objects: Vec<Object> = rest.map(told).collect();
        let more = objects.len() > most;
        objects.truncate(most);
        Page {
            next: objects.last().filter(|_| more).map(|o| o.key.name.clone()),
            objects,
            revision: Version::new(self.era, revision),
            ..Page::default()
        }
    }

    /// Changes after a revision, if there are any.
    fn changes(&self, feed: Feed, from: Version) -> Result<Option<Page>> {
        if from.revision() > self.content.revision {
            return Err(error(Code::HistoryGone));
        }
        let all = &self.content.changes[feed as usize];
        let first = all.partition_point(|o| o.version.revision() <= from.revision());
        if first == all.len() {
            return Ok(None);
        }
        let mut told: Vec<Object> = all[first..].iter().map(|o| self.told(o)).collect();
        let mut page = Page::default();
        if feed == Feed::Routes {
            let routes = self.list(feed, None).objects;
            // As in the adapter, what was replaced or removed in between comes first. What the
            // first configuration removed is seen only by its absence.
            let is_listed = |o: &Object| routes.iter().any(|r| r.key == o.key);
            if told[0].body == Body::Removed && !is_listed(&told[0]) {
                told.remove(0);
            }
            told.retain(|o| routes.iter().all(|r| r.version != o.version));
            told.extend(routes);
            page.complete = true;
        }
        page.objects = told;
        page.revision = self.revision();
        Ok(Some(page))
    }
}

pub(crate) fn error(code: Code) -> PlatformError {
    PlatformError {
        code,
        detail: code.text().into(),
    }
}

/// Carries out a call. `reaches` says whether packets pass.
pub(crate) async fn read(
    store: &std::sync::Mutex<Store>,
    reaches: impl Fn() -> bool,
    feed: Feed,
    ask: ReadRequest,
    limit: Ms,
) -> Result<Page> {
    let call = async {
        let lock = || store.lock().unwrap_or_else(|e| e.into_inner());
        sleep(ANSWER / 2).await;
        if !reaches() || lock().down {
            std::future::pending::<()>().await;
        }
        // Lists that may be old do not count toward the rate.
        if matches!(ask, ReadRequest::List(_, Consistency::Serializable)) {
            lock().calls += STALE_CALL_COST;
        } else {
            lock().take()?;
        }
        let page = match ask {
            ReadRequest::List(after, Consistency::Serializable) if lock().answers_old_lists() => {
                lock().old_list(feed, after.as_deref())
            }
            ReadRequest::List(after, _) => lock().list(feed, after.as_deref()),
            ReadRequest::Watch(from, wait) => {
                let wake = lock().wake[feed as usize].clone();
                let until = Instant::now() + Duration::from_millis(wait.0);
                loop {
                    let woken = wake.notified();
                    if let Some(page) = lock().changes(feed, from)? {
                        break page;
                    }
                    if tokio::time::timeout_at(until, woken).await.is_err() {
                        let revision = lock().revision();
                        break Page {
                            revision,
                            ..Page::default()
                        };
                    }
                }
            }
        };
        sleep(ANSWER / 2).await;
        if !reaches() || lock().down {
            std::future::pending::<()>().await;
        }
        Ok(page)
    };
    let limit = Duration::from_millis(limit.0);
    timeout(limit, call)
        .await
        .unwrap_or_else(|_| Err(error(Code::NoPlatform)))
}
