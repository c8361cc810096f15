//! Tracks one feed of the platform's objects through lists, watches and outages.
//!
//! Entries of targets lapse while the platform is away and come back soon after
//! it. What is missing then is kept for [`GRACE`] before it counts as removed.

use std::collections::BTreeMap;

use wire::{Body, Object, ObjectKey, Version};

use crate::time::{Ms, Time};

/// Time that targets have to write their entries again once the platform is
/// back. The platform's owners promise two seconds.
pub(crate) const GRACE: Ms = Ms(2200);

/// State of one feed.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    known: BTreeMap<ObjectKey, Version>,
    missing: BTreeMap<ObjectKey, Version>,
    /// Until when missing objects are kept.
    kept: Time,
    away: bool,
}

impl Tracker {
    /// Notes that the platform did not answer.
    pub(crate) fn lost(&mut self) {
        self.away = true;
    }

    /// Notes that the platform answered. Returns whether it had been away.
    pub(crate) fn regained(&mut self, now: Time) -> bool {
        let was = std::mem::take(&mut self.away);
        if was {
            self.kept = now + GRACE;
        }
        was
    }

    /// Takes in a complete list as of `through`. Returns what changed.
    pub(crate) fn whole(&mut self, now: Time, list: Vec<Object>, through: Version) -> Vec<Object> {
        let listed: BTreeMap<&ObjectKey, Version> =
            list.iter().map(|o| (&o.key, o.version)).collect();
        let absent = self.known.keys().filter(|k| !listed.contains_key(k));
        let absent: Vec<ObjectKey> = absent.cloned().collect();
        let mut changed = Vec::new();
        for key in absent {
            changed.extend(self.remove(now, key, through));
        }
        changed.extend(list.into_iter().filter_map(|o| self.add(o)));
        changed
    }

    /// Takes in changes in their order. Returns what they change here.
    pub(crate) fn changes(&mut self, now: Time, list: Vec<Object>) -> Vec<Object> {
        let mut changed = Vec::new();
        for object in list {
            if object.body == Body::Removed {
                changed.extend(self.remove(now, object.key, object.version));
            } else {
                changed.extend(self.add(object));
            }
        }
        changed
    }

    /// Removals whose time of grace has ended.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Object> {
        if now < self.kept {
            return Vec::new();
        }
        let missing = std::mem::take(&mut self.missing);
        missing
            .into_iter()
            .map(|(key, version)| removed(key, version))
            .collect()
    }

    fn add(&mut self, object: Object) -> Option<Object> {
        let missing = self.missing.remove(&object.key).is_some();
        let newer = self.known.get(&object.key).copied() < Some(object.version);
        self.known.insert(object.key.clone(), object.version);
        (newer || missing).then_some(object)
    }

    fn remove(&mut self, now: Time, key: ObjectKey, version: Version) -> Option<Object> {
        let known = self.known.remove(&key)?;
        // A list may have been read before the removal took its revision.
        let version = version.max(Version(known.0 + 1));
        if now < self.kept && &*key.kind == "host" {
            self.missing.insert(key, version);
            return None;
        }
        Some(removed(key, version))
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
