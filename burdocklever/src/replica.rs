//! What a gateway knows of the platform's objects, how complete and how fresh
//! it is, and what of it a peer lacks.
//!
//! The same knowledge comes from the store or from a peer; revisions are the
//! store's in both cases, so a gateway changes between them at any time.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wire::{Body, Object, ObjectKey, Version};

use crate::catalogue::Catalogue;
use crate::peer_selection::max_staleness;
use crate::store::Feed;
use crate::time::{Ms, Time};

/// Time that targets have to write their entries again once the platform is
/// back. The platform's owners promise two seconds.
const GRACE: Ms = Ms(2200);
/// Removed objects that are remembered, so that peers learn of the removal.
/// At 17,000 changes a day this is several hours.
const REMOVED_MAX: usize = 4096;

/// What one gateway tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// Objects newer than the other knows.
    pub objects: Vec<Object>,
    /// Feeds of which these are all objects: what is missing has been removed.
    pub whole: [bool; Feed::COUNT],
    /// Revision up to which each feed is complete.
    pub through: [Version; Feed::COUNT],
    /// Time since each feed was last known to be up to date; none if never.
    pub age: [Option<Ms>; Feed::COUNT],
}

/// State of one feed.
#[derive(Debug, Clone, Default)]
struct Progress {
    through: Version,
    /// When what is known was last up to date.
    confirmed: Option<Time>,
    /// Whether the store did not answer the last call.
    away: bool,
    /// Removals up to this revision may be unknown or forgotten.
    floor: Version,
    /// Until when objects that are missing after an outage are kept.
    kept: Time,
    /// Those objects: the version of the removal, and when it takes effect.
    missing: BTreeMap<ObjectKey, (Version, Time)>,
}

/// Everything known, feed by feed.
#[derive(Debug, Default)]
pub struct Replica {
    catalogue: Catalogue,
    feeds: [Progress; Feed::COUNT],
    /// Each feed's objects in the order of their last change, for peers' questions.
    order: [BTreeSet<(Version, ObjectKey)>; Feed::COUNT],
}

impl Replica {
    /// The objects themselves.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Revision up to which a feed is complete; none before it was read once.
    pub fn revision(&self, feed: Feed) -> Option<Version> {
        let progress = &self.feeds[feed as usize];
        progress.confirmed.map(|_| progress.through)
    }

    /// Revision up to which each feed is complete, as peers are told and asked:
    /// below any removal that is held back here.
    pub fn revisions(&self) -> [Version; Feed::COUNT] {
        let whole = |progress: &Progress| {
            let held = progress.missing.values().map(|(version, _)| version).min();
            let below = held.map(|v| Version(v.0.saturating_sub(1)));
            below.map_or(progress.through, |v| v.min(progress.through))
        };
        std::array::from_fn(|i| whole(&self.feeds[i]))
    }

    /// When a feed was last known to be up to date.
    pub fn confirmed_at(&self, feed: Feed) -> Option<Time> {
        self.feeds[feed as usize].confirmed
    }

    /// Whether every feed that packets depend on has been read.
    pub fn is_complete(&self) -> bool {
        Feed::REQUIRED
            .iter()
            .all(|f| self.confirmed_at(*f).is_some())
    }

    /// Time until some feed that packets depend on grows older than `limit`
    /// allows; zero if one is already.
    pub fn time_until_stale(&self, now: Time, limit: impl Fn(Feed) -> Ms) -> Ms {
        let left = |feed: Feed| match self.confirmed_at(feed) {
            Some(at) => (at + limit(feed)).since(now),
            None => Ms(0),
        };
        Feed::REQUIRED
            .into_iter()
            .map(left)
            .min()
            .unwrap_or_default()
    }

    /// Takes in that the store did not answer.
    pub fn mark_unreachable(&mut self, feed: Feed) {
        self.feeds[feed as usize].away = true;
    }

    /// Takes in that the store answered. Returns whether it had been away.
    pub fn mark_reachable(&mut self, now: Time, feed: Feed) -> bool {
        let progress = &mut self.feeds[feed as usize];
        let was = std::mem::take(&mut progress.away);
        if was {
            progress.kept = now + GRACE;
        }
        was
    }

    /// Takes in all of a feed's objects, as a list or as the news of a watch.
    /// Returns what changed.
    pub fn apply_list(
        &mut self,
        now: Time,
        feed: Feed,
        list: Vec<Object>,
        through: Version,
    ) -> Vec<Object> {
        let known = self
            .catalogue
            .objects()
            .filter(|o| Feed::of(&o.key) == Some(feed) && o.body != Body::Removed);
        let listed: BTreeSet<&ObjectKey> = list.iter().map(|o| &o.key).collect();
        let absent = known.map(|o| &o.key).filter(|key| !listed.contains(key));
        let absent: Vec<ObjectKey> = absent.cloned().collect();
        let removals = absent.into_iter().map(|key| removed(key, through));
        // A watch misses nothing, so what says nothing new is as old as it was,
        // and peers need not be told.
        let contiguous = feed == Feed::Routes && self.feeds[feed as usize].floor < through;
        let known = |o: &Object| {
            let known = self.catalogue.get(&o.key);
            contiguous && known.is_some_and(|k| k.body == o.body)
        };
        let list = list.into_iter().filter(|o| !known(o));
        let changes = removals.chain(list).collect();
        self.apply_changes(now, feed, changes, through)
    }

    /// Takes in that a feed was listed instead of watched: what came and went
    /// before `through` may never have been seen.
    pub fn raise_history_floor(&mut self, feed: Feed, through: Version) {
        let floor = &mut self.feeds[feed as usize].floor;
        *floor = (*floor).max(through);
    }

    /// Takes in a feed's changes in their order. Returns what they change here.
    pub fn apply_changes(
        &mut self,
        now: Time,
        feed: Feed,
        list: Vec<Object>,
        through: Version,
    ) -> Vec<Object> {
        let mut fresh = Vec::new();
        for object in list {
            if object.body == Body::Removed {
                fresh.extend(self.remove(now, feed, object.key, object.version, through));
            } else {
                fresh.extend(self.merge(object));
            }
        }
        self.confirm(now, feed, through);
        fresh
    }

    /// Takes in that a feed is up to date as of `through`.
    pub fn confirm(&mut self, now: Time, feed: Feed, through: Version) {
        let progress = &mut self.feeds[feed as usize];
        progress.through = progress.through.max(through);
        progress.confirmed = progress.confirmed.max(Some(now));
    }

    /// When the next removal that is held back takes effect.
    pub fn next_deferred_removal(&self) -> Option<Time> {
        let held = self.feeds.iter().flat_map(|f| f.missing.values());
        held.map(|(_, until)| *until).min()
    }

    /// Removals whose time of grace has ended.
    pub fn apply_due_removals(&mut self, now: Time, feed: Feed) -> Vec<Object> {
        let missing = &mut self.feeds[feed as usize].missing;
        let due = missing.iter().filter(|(_, (_, until))| *until <= now);
        let due: Vec<Object> = due.map(|(key, (v, _))| removed(key.clone(), *v)).collect();
        missing.retain(|_, (_, until)| *until > now);
        due.into_iter().filter_map(|o| self.merge(o)).collect()
    }

    fn remove(
        &mut self,
        now: Time,
        feed: Feed,
        key: ObjectKey,
        version: Version,
        through: Version,
    ) -> Option<Object> {
        // An unknown object's removal is kept too: some peer may know the object.
        let known = self.catalogue.get(&key).map(|o| o.version);
        let version = match known {
            Some(known) if known > version => return None,
            // The store told the revision of the object's last change.
            Some(known) if known == version => through.max(Version(known.0 + 1)),
            _ => version,
        };
        let progress = &mut self.feeds[feed as usize];
        if feed == Feed::Hosts && known.is_some() && now < progress.kept {
            let until = progress.kept;
            progress.missing.entry(key).or_insert((version, until));
            return None;
        }
        self.merge(removed(key, version))
    }

    /// Merges an object. Returns it if it says anything new: each version of a
    /// configuration tells all routes again. Its version counts all the same,
    /// or an older removal could undo it.
    fn merge(&mut self, object: Object) -> Option<Object> {
        let known = self.catalogue.get(&object.key);
        let same = known.is_some_and(|o| o.body == object.body);
        let before = self.catalogue.version(&object.key);
        let newer = self.catalogue.merge(object.clone());
        if let Some(feed) = Feed::of(&object.key).filter(|_| newer) {
            self.feeds[feed as usize].missing.remove(&object.key);
            let order = &mut self.order[feed as usize];
            order.remove(&(before, object.key.clone()));
            order.insert((object.version, object.key.clone()));
        }
        (newer && !same).then_some(object)
    }

    /// Whether targets have time to write their entries again.
    pub fn in_grace_period(&self, now: Time) -> bool {
        self.feeds.iter().any(|progress| now < progress.kept)
    }

    /// Keys of what a peer lacks that knows each feed up to `from`.
    fn lacked<'a>(
        &'a self,
        from: &'a [Version; Feed::COUNT],
    ) -> impl Iterator<Item = &'a ObjectKey> {
        (0..Feed::COUNT).flat_map(|i| {
            let all = from[i] < self.feeds[i].floor;
            let after = if all { Version(0) } else { from[i] };
            let first = (Version(after.0 + 1), ObjectKey::new("", ""));
            self.order[i].range(first..).map(|(_, key)| key)
        })
    }

    /// What a peer lacks that knows each feed up to `from`.
    pub fn update_since(&self, now: Time, from: &[Version; Feed::COUNT]) -> ReplicaUpdate {
        let lacked: BTreeSet<&ObjectKey> = self.lacked(from).collect();
        let objects = lacked.iter().filter_map(|key| self.catalogue.entry(key));
        ReplicaUpdate {
            objects: objects.cloned().collect(),
            whole: std::array::from_fn(|i| from[i] < self.feeds[i].floor),
            through: self.revisions(),
            age: std::array::from_fn(|i| self.feeds[i].confirmed.map(|at| now.since(at))),
        }
    }

    /// Takes in what a peer told. Returns what changed.
    pub fn apply_update(&mut self, now: Time, update: ReplicaUpdate) -> Vec<Object> {
        let mut fresh = Vec::new();
        let live = update.objects.iter().filter(|u| u.body != Body::Removed);
        let listed: BTreeSet<&ObjectKey> = live.map(|u| &u.key).collect();
        let gone = |o: &&Object| {
            let feed = Feed::of(&o.key).map(|f| f as usize);
            let told = feed.is_some_and(|i| {
                let through = update.through[i];
                update.whole[i] && o.version <= through && self.feeds[i].through <= through
            });
            told && o.body != Body::Removed && !listed.contains(&o.key)
        };
        let gone: Vec<Object> = self.catalogue.objects().filter(gone).cloned().collect();
        for object in gone {
            let version = Version(object.version.0 + 1);
            fresh.extend(self.merge(removed(object.key, version)));
        }
        for object in update.objects {
            // A peer that knows less may have been asked before this VM knew more.
            let feed = Feed::of(&object.key).map(|f| f as usize);
            if feed.is_some_and(|i| update.through[i] >= self.feeds[i].through) {
                fresh.extend(self.merge(object));
            }
        }
        for feed in Feed::ALL {
            let i = feed as usize;
            let progress = &mut self.feeds[i];
            // What knows less than this VM says nothing of how fresh that is.
            let level = update.through[i] >= progress.through;
            if let Some(age) = update.age[i].filter(|_| level) {
                let at = Time(now.0.saturating_sub(age.0));
                progress.confirmed = progress.confirmed.max(Some(at));
                // The peer has read the store since, and gave targets their time.
                progress.away &= age >= max_staleness(Feed::ALL[i]);
            }
            progress.through = progress.through.max(update.through[i]);
            if update.whole[i] {
                progress.floor = progress.floor.max(update.through[i]);
            }
        }
        fresh
    }

    /// Forgets the oldest removals beyond those that are kept.
    pub fn prune_tombstones(&mut self) {
        let floor = self.catalogue.prune_removed(REMOVED_MAX);
        if floor == Version(0) {
            return;
        }
        for (progress, order) in self.feeds.iter_mut().zip(&mut self.order) {
            progress.floor = progress.floor.max(floor);
            order.retain(|(_, key)| self.catalogue.entry(key).is_some());
        }
    }
}

fn removed(key: ObjectKey, version: Version) -> Object {
    Object {
        key,
        version,
        change: 0,
        body: Body::Removed,
    }
}
