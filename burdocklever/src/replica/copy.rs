//! What a replica makes of a store that comes back from an older copy, by the decisions of
//! [`crate::era`].

use wire::{Body, Object, Version};

use super::{removed, Deferred, Replica, ReplicaUpdate, GRACE_PERIOD};
use crate::era::{decide, CopyDecision};
use crate::store::Feed;
use crate::time::Time;

impl Replica {
    /// Whether a result of the store is the first of a new era.
    pub fn is_new_era(&self, feed: Feed, revision: Version) -> bool {
        let known = self.revision(feed);
        known.is_some_and(|known| revision.era() > known.era())
    }

    /// Applies a complete list of failure domains or targets from an older copy of the store.
    /// What the copy says otherwise is deferred where that may have been lost.
    pub(super) fn apply_copy(
        &mut self,
        now: Time,
        feed: Feed,
        list: Vec<Object>,
        revision: Version,
    ) -> Vec<Object> {
        let state = &mut self.feeds[feed as usize];
        if feed == Feed::Hosts {
            // Their entries may also lapse, since leases of the lost time are gone.
            state.grace_until = state.grace_until.max(now + GRACE_PERIOD);
        }
        state.deferred.clear();
        let absent = self.absent_keys(feed, &list);
        let removals = absent.into_iter().map(|key| removed(key, revision, 0));
        let mut changed = Vec::new();
        for object in removals.collect::<Vec<Object>>().into_iter().chain(list) {
            let listed = Some(&object).filter(|o| o.body != Body::Removed);
            let known = self.catalogue.entry(&object.key);
            match known.map(|known| decide(known, listed, revision.revision())) {
                Some(CopyDecision::Hold(time)) => {
                    let waiting = Deferred {
                        object: object.clone(),
                        complete: revision,
                        until: now + time,
                        needs_confirmation: true,
                    };
                    let deferred = &mut self.feeds[feed as usize].deferred;
                    deferred.insert(object.key, waiting);
                }
                _ => changed.extend(self.merge(object)),
            }
        }
        changed
    }

    /// Number of changes that wait.
    pub fn deferred_changes(&self) -> usize {
        let deferred: usize = self.feeds.iter().map(|f| f.deferred.len()).sum();
        deferred + self.held_config_changes()
    }

    /// Applies the feeds of a peer's update in which a new era begins, and takes them
    /// out of the update.
    pub(super) fn apply_new_eras(&mut self, now: Time, update: &mut ReplicaUpdate) -> Vec<Object> {
        let mut changed = Vec::new();
        for feed in Feed::ALL {
            let i = feed as usize;
            let revision = update.revisions[i];
            if !update.complete[i] || !self.is_new_era(feed, revision) {
                continue;
            }
            let in_feed = |o: &Object| Feed::of(&o.key) == Some(feed);
            let objects = std::mem::take(&mut update.objects);
            let (objects, rest) = objects.into_iter().partition(in_feed);
            update.objects = rest;
            update.complete[i] = false;
            let waiting = update.deferred.iter().filter(|o| in_feed(o));
            let waiting: Vec<Object> = waiting.cloned().collect();
            changed.extend(self.apply_peer_copy(now, feed, objects, waiting, revision));
            let state = &mut self.feeds[i];
            state.history_floor = state.history_floor.max(revision);
        }
        changed
    }

    /// Applies a feed's objects as a peer knows them in a new era. `waiting` are those
    /// of the copy that the peer holds back; this VM decides on them itself.
    fn apply_peer_copy(
        &mut self,
        now: Time,
        feed: Feed,
        objects: Vec<Object>,
        waiting: Vec<Object>,
        revision: Version,
    ) -> Vec<Object> {
        let is_new = |o: &Object| o.version.era() == revision.era();
        let (new, held): (Vec<Object>, Vec<Object>) = objects.into_iter().partition(is_new);
        let mut changed = Vec::new();
        // What the peer holds back the copy for is not in the copy itself.
        for object in held {
            if !self.is_leftover(&object, revision) {
                changed.extend(self.merge(object));
            }
        }
        let (removals, mut copy): (Vec<Object>, Vec<Object>) =
            new.into_iter().partition(|o| o.body == Body::Removed);
        copy.retain(|o| waiting.iter().all(|w| w.key != o.key));
        copy.extend(waiting.into_iter().filter(|o| o.body != Body::Removed));
        changed.extend(self.apply_copy(now, feed, copy, revision));
        // Removals that the peer has decided on stand.
        for removal in removals {
            changed.extend(self.merge(removal));
        }
        changed
    }

    /// Whether an object in the answer of a peer is of an era before `revision` and may be
    /// older than what is known: the revisions of two eras cannot be compared.
    pub(super) fn is_leftover(&self, object: &Object, revision: Version) -> bool {
        let era = object.version.era();
        let known = self.catalogue.entry(&object.key);
        era < revision.era() && known.is_some_and(|k| k.version.era() != era)
    }

    /// Holds back what a peer holds back of a copy of the store, for as long as this
    /// VM would. Returns an object that applies at once, since it was written after the
    /// store's return: it is above what this VM knows of the same era.
    pub(super) fn defer(&mut self, now: Time, object: Object) -> Option<Object> {
        let feed = Feed::of(&object.key)?;
        let known = self.catalogue.entry(&object.key);
        let known = known.filter(|k| k.version < object.version)?;
        let revision = self.feeds[feed as usize].revision;
        let same_era = object.version.era() == revision.era();
        let is_later = same_era && object.version > revision && object.body != Body::Removed;
        if is_later || known.version.era() == object.version.era() {
            return self.merge(object);
        }
        let listed = Some(&object).filter(|o| o.body != Body::Removed);
        let CopyDecision::Hold(time) = decide(known, listed, object.version.revision()) else {
            return self.merge(object);
        };
        let waiting = Deferred {
            object: object.clone(),
            complete: revision,
            until: now + time,
            needs_confirmation: true,
        };
        // The peer may have read the store later than this VM, and its revision then
        // counts as known here too. What says the same does not wait any longer.
        let deferred = &mut self.feeds[feed as usize].deferred;
        let stays =
            |d: &Deferred| d.object.body == object.body || d.object.version >= object.version;
        if !deferred.get(&object.key).is_some_and(stays) {
            deferred.insert(object.key, waiting);
        }
        None
    }
}
