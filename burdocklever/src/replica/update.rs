//! What one VM tells another of its replica.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use wire::{Body, Object, ObjectKey, Version};

use super::{config_number, removed, Deferred, Replica};
use crate::freshness::Bounds;
use crate::store::Feed;
use crate::time::{Ms, Time};

/// Changes to a replica that one VM sends to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// Objects changed since the revisions that the peer knows.
    pub objects: Vec<Object>,
    /// Feeds whose objects are all included: any other object has been removed.
    #[serde(rename = "whole")]
    pub complete: [bool; Feed::COUNT],
    /// Revision up to which each feed is complete.
    #[serde(rename = "through")]
    pub revisions: [Version; Feed::COUNT],
    /// What the sender holds back of an older copy of the store. Of the routes it is the
    /// store's whole configuration, and only there if all routes are included.
    #[serde(default)]
    pub deferred: Vec<Object>,
    /// Time since each feed was last confirmed to be current; none if never.
    pub age: [Option<Ms>; Feed::COUNT],
}

impl ReplicaUpdate {
    /// Age of the feed that is nearest to its maximum age, in percent of that.
    pub(crate) fn age_percent(&self, bounds: &Bounds) -> u64 {
        let percent = |feed: Feed| match self.age[feed as usize] {
            Some(age) => age.0.saturating_mul(100) / bounds.max_age(feed).0.max(1),
            None => u64::MAX,
        };
        Feed::ALL.into_iter().map(percent).max().unwrap_or(u64::MAX)
    }
}

impl Replica {
    /// Keys of the objects changed since the revisions in `from`.
    fn changed_keys<'a>(
        &'a self,
        from: &'a [Version; Feed::COUNT],
    ) -> impl Iterator<Item = &'a ObjectKey> {
        (0..Feed::COUNT).flat_map(|i| {
            let all = from[i] < self.feeds[i].history_floor;
            let after = if all { Version(0) } else { from[i] };
            let first = (Version(after.0 + 1), ObjectKey::new("", ""));
            self.by_version[i].range(first..).map(|(_, key)| key)
        })
    }

    /// Update for a peer that knows each feed up to the revisions in `from`.
    ///
    /// A peer that has started since the store's return may know the store's newest
    /// revision, but not what the store lost. So each update has what is held back of
    /// failure domains and targets, and what is in force in its place.
    pub fn update_since(&self, now: Time, from: &[Version; Feed::COUNT]) -> ReplicaUpdate {
        let mut keys: BTreeSet<&ObjectKey> = self.changed_keys(from).collect();
        let waiting = self.feeds.iter().flat_map(|state| state.deferred.values());
        let held = waiting.filter(|d| d.needs_confirmation).map(|d| &d.object);
        let held: Vec<&Object> = held.collect();
        keys.extend(held.iter().map(|o| &o.key));
        let objects = keys.iter().filter_map(|key| self.catalogue.entry(key));
        let complete: [bool; Feed::COUNT] =
            std::array::from_fn(|i| from[i] < self.feeds[i].history_floor);
        let tells_config = complete[Feed::Routes as usize];
        let config = self.held_config_objects().filter(|_| tells_config);
        ReplicaUpdate {
            objects: objects.cloned().collect(),
            complete,
            deferred: held.into_iter().chain(config).cloned().collect(),
            revisions: self.revisions(),
            age: std::array::from_fn(|i| self.feeds[i].confirmed_at.map(|at| now.since(at))),
        }
    }

    /// The same for a peer that this VM has told nothing yet. It also gets a configuration
    /// that is in force in place of the store's one.
    pub fn first_update(&self, now: Time, from: &[Version; Feed::COUNT]) -> ReplicaUpdate {
        let mut from = *from;
        if self.held_config.is_some() {
            from[Feed::Routes as usize] = Version(0);
        }
        self.update_since(now, &from)
    }

    /// Applies a peer's update. Returns the objects that changed.
    pub fn apply_update(&mut self, now: Time, update: ReplicaUpdate) -> Vec<Object> {
        let mut update = update;
        let mut changed = self.apply_config_update(now, &mut update);
        changed.extend(self.apply_new_eras(now, &mut update));
        let waiting = std::mem::take(&mut update.deferred);
        let told = update.objects.iter().chain(&waiting);
        let present = told.filter(|u| u.body != Body::Removed);
        let listed: BTreeSet<&ObjectKey> = present.map(|u| &u.key).collect();
        for (i, state) in self.feeds.iter_mut().enumerate() {
            // What the store no longer has need not be held back any more.
            if update.complete[i] && state.revision <= update.revisions[i] {
                let stays = |d: &Deferred| !d.needs_confirmation || d.object.body == Body::Removed;
                state
                    .deferred
                    .retain(|key, d| stays(d) || listed.contains(key));
            }
        }
        let absent = |o: &&Object| {
            let feed = Feed::of(&o.key).map(|f| f as usize);
            let covered = feed.is_some_and(|i| {
                let revision = update.revisions[i];
                update.complete[i] && o.version <= revision && self.feeds[i].revision <= revision
            });
            let waits = feed.is_some_and(|i| self.feeds[i].deferred.contains_key(&o.key));
            covered && o.body != Body::Removed && !listed.contains(&o.key) && !waits
        };
        let absent: Vec<Object> = self.catalogue.objects().filter(absent).cloned().collect();
        let config = config_number(&update.objects);
        for object in absent {
            let version = Version(object.version.0 + 1);
            changed.extend(self.merge(removed(object.key, version, config)));
        }
        for object in update.objects {
            // An update older than the replica answers a request that was sent before
            // the replica advanced, and is ignored.
            let feed = Feed::of(&object.key).map(|f| f as usize);
            let applies = feed.is_some_and(|i| {
                let state = &self.feeds[i];
                update.revisions[i] >= state.revision
                    && !state.holds_back(&object)
                    && !self.is_leftover(&object, update.revisions[i])
            });
            if applies {
                changed.extend(self.merge(object));
            }
        }
        for object in waiting {
            // A peer behind this replica may hold what has been removed meanwhile.
            let feed = Feed::of(&object.key).map(|f| f as usize);
            if feed.is_some_and(|i| update.revisions[i] >= self.feeds[i].revision) {
                changed.extend(self.defer(now, object));
            }
        }
        for feed in Feed::ALL {
            let i = feed as usize;
            let state = &mut self.feeds[i];
            // A peer behind this replica cannot confirm that it is current.
            let caught_up = update.revisions[i] >= state.revision;
            if let Some(age) = update.age[i].filter(|_| caught_up) {
                let at = Time(now.0.saturating_sub(age.0));
                state.confirmed_at = state.confirmed_at.max(Some(at));
                // If the update is fresh, the peer can reach the store and has applied any
                // grace period.
                state.unreachable &= age >= self.bounds.max_age(feed);
            }
            state.revision = state.revision.max(update.revisions[i]);
            if update.complete[i] {
                state.history_floor = state.history_floor.max(update.revisions[i]);
            }
        }
        changed
    }
}
