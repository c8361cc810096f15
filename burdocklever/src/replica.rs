//! A VM's replica of the platform's objects, with the revision and freshness
//! of each feed, and the updates that peers need from it.
//!
//! Updates come from the store or from a peer. Both use the store's revisions, so a VM
//! can switch between them at any time.

use std::collections::{BTreeMap, BTreeSet};

use wire::{Body, Object, ObjectKey, Version};

use crate::catalogue::Catalogue;
use crate::freshness::Bounds;
use crate::store::Feed;
use crate::time::{Ms, Time};

mod config;
mod copy;
mod update;

use config::HeldConfig;
pub use update::ReplicaUpdate;

/// Largest number of tombstones, which tell peers of removals. At 17,000 changes
/// per day they cover several hours.
const TOMBSTONES_MAX: usize = 4096;

/// Replication state of one feed.
#[derive(Debug, Clone, Default)]
struct FeedState {
    revision: Version,
    /// When the feed was last confirmed to be current.
    confirmed_at: Option<Time>,
    /// Whether the last call to the store failed, other than by throttling, and no
    /// peer has reached the store since.
    unreachable: bool,
    /// Removals up to this revision may be missing or pruned.
    history_floor: Version,
    /// End of the grace period, during which targets removed by an outage are kept.
    grace_until: Time,
    /// Changes that wait: removals by an outage, and what an older copy of the store
    /// says. Each applies at its time, unless the object is written again.
    deferred: BTreeMap<ObjectKey, Deferred>,
}

/// Grace period for targets to register again after an outage of the platform. The
/// platform guarantees that they do within 2 s.
const GRACE_PERIOD: Ms = Ms(2200);

/// A change that waits.
#[derive(Debug, Clone)]
struct Deferred {
    object: Object,
    /// Revision up to which the feed is complete without the change.
    complete: Version,
    until: Time,
    /// Whether the feed must be confirmed after that time: what is written again may
    /// not have reached this VM before.
    needs_confirmation: bool,
}

impl FeedState {
    /// Whether a peer's object is one that this VM holds back: it comes from an older
    /// copy of the store.
    fn holds_back(&self, object: &Object) -> bool {
        let waiting = self.deferred.get(&object.key);
        waiting.is_some_and(|d| d.needs_confirmation && d.object.version >= object.version)
    }
}

/// A replica of the store's objects.
#[derive(Debug, Default)]
pub struct Replica {
    bounds: Bounds,
    catalogue: Catalogue,
    feeds: [FeedState; Feed::COUNT],
    /// The store's configuration, if one that the store has lost is in force.
    held_config: Option<HeldConfig>,
    /// Objects of each feed by version, to find those that a peer lacks.
    by_version: [BTreeSet<(Version, ObjectKey)>; Feed::COUNT],
}

impl Replica {
    /// Empty replica of a deployment with these bounds.
    pub fn new(bounds: Bounds) -> Replica {
        Replica {
            bounds,
            ..Replica::default()
        }
    }

    /// The objects.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Revision up to which a feed is complete; none before its first read.
    pub fn revision(&self, feed: Feed) -> Option<Version> {
        let state = &self.feeds[feed as usize];
        state.confirmed_at.map(|_| state.revision)
    }

    /// Revision up to which each feed is complete, as exchanged with peers. It is
    /// below any deferred change, so that peers still send and receive that change.
    pub fn revisions(&self) -> [Version; Feed::COUNT] {
        let complete = |state: &FeedState| {
            let in_grace = state.deferred.values().filter(|d| !d.needs_confirmation);
            let complete = in_grace.map(|d| d.complete).min();
            complete.map_or(state.revision, |v| v.min(state.revision))
        };
        std::array::from_fn(|i| complete(&self.feeds[i]))
    }

    /// When a feed was last confirmed to be current.
    pub fn confirmed_at(&self, feed: Feed) -> Option<Time> {
        self.feeds[feed as usize].confirmed_at
    }

    /// Whether all feeds have been read.
    pub fn is_complete(&self) -> bool {
        Feed::ALL.iter().all(|f| self.confirmed_at(*f).is_some())
    }

    /// Time until any feed reaches `percent` of its maximum age; zero if one has.
    pub fn time_until_age(&self, now: Time, percent: u64) -> Ms {
        let left = |feed: Feed| match self.confirmed_at(feed) {
            Some(at) => (at + Ms(self.bounds.max_age(feed).0 * percent / 100)).since(now),
            None => Ms(0),
        };
        Feed::ALL.into_iter().map(left).min().unwrap_or_default()
    }

    /// Age of the feed that is nearest to its maximum age, in percent of that.
    pub fn age_percent(&self, now: Time) -> u64 {
        let age = |feed: Feed| self.confirmed_at(feed).map(|at| now.since(at));
        let ages = ReplicaUpdate {
            age: Feed::ALL.map(age),
            ..ReplicaUpdate::default()
        };
        ages.age_percent(&self.bounds)
    }

    /// Time up to which all feeds were confirmed to be current; the start of time if
    /// one never was.
    pub fn confirmed(&self) -> Time {
        let at = |feed: Feed| self.confirmed_at(feed).unwrap_or_default();
        Feed::ALL.into_iter().map(at).min().unwrap_or_default()
    }

    /// Records that a call to the store failed, other than by throttling.
    pub fn mark_unreachable(&mut self, feed: Feed) {
        self.feeds[feed as usize].unreachable = true;
    }

    /// Records that the store answered. If it had been unreachable, starts the grace
    /// period and returns true.
    pub fn mark_reachable(&mut self, now: Time, feed: Feed) -> bool {
        let state = &mut self.feeds[feed as usize];
        let recovered = std::mem::take(&mut state.unreachable);
        if recovered {
            state.grace_until = now + GRACE_PERIOD;
        }
        recovered
    }

    /// Applies a complete list of a feed's objects, from a list or from a watch.
    /// Returns the objects that changed. A list that is older than the replica says nothing
    /// new and is ignored.
    pub fn apply_list(
        &mut self,
        now: Time,
        feed: Feed,
        list: Vec<Object>,
        revision: Version,
    ) -> Vec<Object> {
        if self.is_outdated(feed, revision) || self.is_behind(feed, revision) {
            return Vec::new();
        }
        if feed == Feed::Routes && self.may_lack_config(revision) {
            let changed = self.apply_config_list(now, list, revision);
            self.confirm(now, feed, revision);
            return changed;
        }
        if self.is_new_era(feed, revision) {
            let changed = self.apply_copy(now, feed, list, revision);
            self.confirm(now, feed, revision);
            return changed;
        }
        let absent = self.absent_keys(feed, &list);
        let deferred = &mut self.feeds[feed as usize].deferred;
        let listed: BTreeSet<&ObjectKey> = list.iter().map(|o| &o.key).collect();
        deferred.retain(|key, d| d.object.body == Body::Removed || listed.contains(key));
        let deferred = &self.feeds[feed as usize].deferred;
        let waits = |o: &Object| {
            deferred
                .get(&o.key)
                .is_some_and(|d| d.object.version >= o.version)
        };
        let list: Vec<Object> = list.into_iter().filter(|o| !waits(o)).collect();
        let config = config_number(&list);
        let is_later_config = config > self.config_number();
        let removals = absent.into_iter().map(|key| removed(key, revision, config));
        // A watch of the routes returns all of them without gaps in their history. An
        // object with an unchanged body then keeps its version, so that it is not sent
        // to peers again, unless that version is of an era before. If it had another body
        // in between, peers may know that one.
        let watched = feed == Feed::Routes && self.feeds[feed as usize].history_floor < revision;
        let changed_between = repeated_keys(&list);
        let unchanged = |o: &Object| {
            let known = self.catalogue.get(&o.key);
            let same_era = |k: &Object| k.version.era() == o.version.era();
            watched
                && !changed_between.contains(&o.key)
                && known.is_some_and(|k| k.body == o.body && same_era(k))
        };
        let first = list.first().cloned();
        let list = list.into_iter().filter(|o| !unchanged(o));
        let mut changes: Vec<Object> = removals.chain(list).collect();
        if changes.is_empty() && is_later_config {
            // One object tells peers the number of a configuration that changes nothing.
            changes.extend(first);
        }
        self.apply_in_order(now, feed, changes, revision)
    }

    /// Keys of a feed's objects that a complete list lacks, without those whose
    /// removal waits.
    fn absent_keys(&self, feed: Feed, list: &[Object]) -> Vec<ObjectKey> {
        let listed: BTreeSet<&ObjectKey> = list.iter().map(|o| &o.key).collect();
        let waits = &self.feeds[feed as usize].deferred;
        let is_absent = |o: &&Object| {
            let removal_waits = waits
                .get(&o.key)
                .is_some_and(|d| d.object.body == Body::Removed);
            Feed::of(&o.key) == Some(feed)
                && o.body != Body::Removed
                && !listed.contains(&o.key)
                && !removal_waits
        };
        let absent = self.catalogue.objects().filter(is_absent);
        absent.map(|o| o.key.clone()).collect()
    }

    /// The store's era, as far as it is known.
    pub fn era(&self) -> u16 {
        let eras = self.feeds.iter().map(|f| f.revision.era());
        eras.max().unwrap_or(0)
    }

    /// Whether a result of the store belongs to an era that has ended.
    pub fn is_outdated(&self, feed: Feed, revision: Version) -> bool {
        revision.era() < self.feeds[feed as usize].revision.era()
    }

    /// Whether a result of the store is older than the replica, in the same era. Serializable
    /// lists may be, and a peer's update may overtake any answer.
    pub fn is_behind(&self, feed: Feed, revision: Version) -> bool {
        let known = self.feeds[feed as usize].revision;
        revision.era() == known.era() && revision < known
    }

    /// Records that a feed was listed at `revision` instead of watched: objects that
    /// were created and removed before it may never have been seen.
    pub fn raise_history_floor(&mut self, feed: Feed, revision: Version) {
        let floor = &mut self.feeds[feed as usize].history_floor;
        *floor = (*floor).max(revision);
    }

    /// Applies changes of a feed in order. Returns the objects that changed.
    ///
    /// Objects up to the known revision are left out: the feed is complete up to it. In
    /// a new era the store may repeat what was written before its copy, with versions
    /// above those of the lost time.
    pub fn apply_changes(
        &mut self,
        now: Time,
        feed: Feed,
        list: Vec<Object>,
        revision: Version,
    ) -> Vec<Object> {
        let known = self.revision(feed).unwrap_or_default();
        let is_news = |o: &Object| o.body == Body::Removed || o.version > known;
        let list = list.into_iter().filter(is_news).collect();
        self.apply_in_order(now, feed, list, revision)
    }

    fn apply_in_order(
        &mut self,
        now: Time,
        feed: Feed,
        list: Vec<Object>,
        revision: Version,
    ) -> Vec<Object> {
        if self.is_outdated(feed, revision) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for (i, object) in list.iter().enumerate() {
            if object.body == Body::Removed {
                let rest = &list[i + 1..];
                changed.extend(self.remove(now, feed, object.clone(), rest, revision));
            } else {
                changed.extend(self.merge(object.clone()));
            }
        }
        self.confirm(now, feed, revision);
        changed
    }

    /// Records that a feed is current as of `revision`. An answer that a peer's update has
    /// overtaken does not say that the replica is.
    pub fn confirm(&mut self, now: Time, feed: Feed, revision: Version) {
        if self.is_behind(feed, revision) {
            return;
        }
        let state = &mut self.feeds[feed as usize];
        state.revision = state.revision.max(revision);
        state.confirmed_at = state.confirmed_at.max(Some(now));
    }

    /// When the next deferred change is due.
    pub fn next_deferred_change(&self) -> Option<Time> {
        let deferred = self.feeds.iter().flat_map(|f| f.deferred.values());
        let config = self.held_config.iter().map(|held| held.until);
        deferred.map(|d| d.until).chain(config).min()
    }

    /// Applies deferred changes whose time has come. Returns them.
    pub fn apply_due_changes(&mut self, now: Time, feed: Feed) -> Vec<Object> {
        if feed == Feed::Routes {
            return self.apply_due_config(now);
        }
        let state = &mut self.feeds[feed as usize];
        let confirmed = state.confirmed_at;
        let is_due =
            |d: &Deferred| d.until <= now && (!d.needs_confirmation || confirmed > Some(d.until));
        let due = state.deferred.values().filter(|d| is_due(d));
        let from_copy = due.clone().any(|d| d.needs_confirmation);
        let due: Vec<Object> = due.map(|d| d.object.clone()).collect();
        state.deferred.retain(|_, d| !is_due(d));
        if from_copy {
            // Peers know this revision already, so only a complete update tells them.
            state.history_floor = state.history_floor.max(Version(state.revision.0 + 1));
        }
        due.into_iter().filter_map(|o| self.merge(o)).collect()
    }

    /// Applies a removal, which `rest` follows in an answer of `revision`.
    fn remove(
        &mut self,
        now: Time,
        feed: Feed,
        removal: Object,
        rest: &[Object],
        revision: Version,
    ) -> Option<Object> {
        // The removal of an unknown object is kept too: a peer may have the object.
        let known = self.catalogue.get(&removal.key).map(|o| o.version);
        if known > Some(removal.version) {
            return None;
        }
        let entry = self.catalogue.version(&removal.key);
        let state = &mut self.feeds[feed as usize];
        // The store may report a removed object with the version of its last write. Peers
        // know that one already: it is in force, or in a copy and held back.
        let is_lost = entry > Version(0) && entry.era() < removal.version.era();
        let is_held = state.deferred.contains_key(&removal.key);
        let is_undated = known == Some(removal.version) || is_lost || is_held;
        let (version, complete) = match is_undated {
            true => {
                let limit = removal_limit(&removal, rest, revision);
                (limit.max(Version(entry.0 + 1)), state.revision)
            }
            false => (
                removal.version,
                Version(removal.version.0.saturating_sub(1)),
            ),
        };
        let removal = Object { version, ..removal };
        if feed == Feed::Hosts && known.is_some() && now < state.grace_until {
            let until = state.grace_until;
            let waits = state.deferred.get(&removal.key);
            if waits.is_none_or(|d| d.object.body != Body::Removed) {
                let key = removal.key.clone();
                let waiting = Deferred {
                    object: removal,
                    complete,
                    until,
                    needs_confirmation: false,
                };
                state.deferred.insert(key, waiting);
            }
            return None;
        }
        self.merge(removal)
    }

    /// Merges an object. Returns it if its body changed; each configuration repeats
    /// all routes with a newer version. That version is stored even if the body is
    /// the same, since an older removal could otherwise delete the object.
    fn merge(&mut self, object: Object) -> Option<Object> {
        let known = self.catalogue.get(&object.key);
        let same = known.is_some_and(|o| o.body == object.body);
        let before = self.catalogue.version(&object.key);
        let newer = self.catalogue.merge(object.clone());
        if let Some(feed) = Feed::of(&object.key).filter(|_| newer) {
            self.feeds[feed as usize].deferred.remove(&object.key);
            let by_version = &mut self.by_version[feed as usize];
            by_version.remove(&(before, object.key.clone()));
            by_version.insert((object.version, object.key.clone()));
        }
        (newer && !same).then_some(object)
    }

    /// Whether a grace period is running in which targets register again.
    pub fn in_grace_period(&self, now: Time) -> bool {
        self.feeds.iter().any(|state| now < state.grace_until)
    }

    /// Drops the oldest tombstones above the limit.
    pub fn prune_tombstones(&mut self) {
        let floor = self.catalogue.prune_removed(TOMBSTONES_MAX);
        if floor == Version(0) {
            return;
        }
        for (state, by_version) in self.feeds.iter_mut().zip(&mut self.by_version) {
            state.history_floor = state.history_floor.max(floor);
            by_version.retain(|(_, key)| self.catalogue.entry(key).is_some());
        }
    }
}

/// Number of the configuration that a list of the routes is of.
fn config_number<'a>(list: impl IntoIterator<Item = &'a Object>) -> u64 {
    list.into_iter().map(|o| o.change).max().unwrap_or(0)
}

/// Highest version that a removal in an answer may have: the answer's revision, or below
/// the version at which the object is written again in the `rest` of the answer.
fn removal_limit(removal: &Object, rest: &[Object], revision: Version) -> Version {
    let written = |o: &&Object| {
        o.key == removal.key && o.body != Body::Removed && o.version > removal.version
    };
    match rest.iter().find(written) {
        Some(next) => revision.min(Version(next.version.0 - 1)),
        None => revision,
    }
}

/// Keys of the objects of which a list has several states.
fn repeated_keys(list: &[Object]) -> BTreeSet<ObjectKey> {
    let mut keys = BTreeSet::new();
    let repeated = list.iter().filter(|o| !keys.insert(&o.key));
    repeated.map(|o| o.key.clone()).collect()
}

/// Tombstone of an object. One of a route has the number of the configuration that lacks it,
/// by which a later copy of the store is judged.
fn removed(key: ObjectKey, version: Version, config: u64) -> Object {
    let is_route = Feed::of(&key) == Some(Feed::Routes);
    Object {
        key,
        version,
        change: if is_route { config } else { 0 },
        body: Body::Removed,
    }
}
