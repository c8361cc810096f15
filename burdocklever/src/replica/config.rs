//! The configuration in force, and that of the store while the store has lost the one in
//! force by coming back from an older copy.
//!
//! Operators write a configuration as a whole, so it is kept or replaced as a whole, at
//! each VM and wherever the VM hears of it. Peers are told of each step by a complete update:
//! what a VM makes of the store's configuration depends on which one it has in force.

use std::collections::BTreeMap;

use wire::{Body, Object, ObjectKey, Version};

use super::{config_number, removed, Replica, ReplicaUpdate};
use crate::era::{decide_config, CopyDecision, OPERATOR_HOLD};
use crate::store::Feed;
use crate::time::Time;

/// Routes and limits of services by key.
type Config = BTreeMap<ObjectKey, Object>;

/// Version of the objects of a configuration that counts as read before the store's return. One
/// that was read before has later versions.
const EARLIEST: Version = Version(1);

/// The store's configuration while it has a lower number than the lost one in force, or while
/// peers may have a later one.
#[derive(Debug)]
pub(super) struct HeldConfig {
    stored: Config,
    /// When it applies, unless the lost one or a later one is written before.
    pub(super) until: Time,
}

/// Identifies the configuration in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ConfigId {
    /// Era in which it was last read from the store. Its objects have versions of that era.
    era: u16,
    number: u64,
}

impl ConfigId {
    /// Identifies the newest configuration among some objects.
    fn newest<'a>(objects: impl Iterator<Item = &'a Object>) -> ConfigId {
        let id = |o: &Object| (o.version.era(), o.change);
        let (era, number) = objects.map(id).max().unwrap_or_default();
        ConfigId { era, number }
    }
}

impl Replica {
    /// Number of the configuration in force; zero if there is none.
    pub fn config_number(&self) -> u64 {
        self.config_in_force().number
    }

    fn config_in_force(&self) -> ConfigId {
        ConfigId::newest(self.config_objects())
    }

    /// Known routes and limits of services, including removed ones.
    fn config_objects(&self) -> impl Iterator<Item = &Object> {
        let keys = self.by_version[Feed::Routes as usize].iter();
        keys.filter_map(|(_, key)| self.catalogue.entry(key))
    }

    /// Number of objects in which the store's configuration differs from the one in force.
    pub(super) fn held_config_changes(&self) -> usize {
        let Some(held) = &self.held_config else {
            return 0;
        };
        let differs = |o: &&Object| self.catalogue.get(&o.key).is_none_or(|k| k.body != o.body);
        let changed = held.stored.values().filter(differs).count();
        changed + self.absent_in_config(&held.stored).len()
    }

    /// The store's configuration, if another one is in force.
    pub(super) fn held_config_objects(&self) -> impl Iterator<Item = &Object> {
        let stored = self.held_config.iter().map(|held| held.stored.values());
        stored.flatten()
    }

    /// Keys of the objects in force that a configuration lacks.
    fn absent_in_config(&self, config: &Config) -> Vec<ObjectKey> {
        let present = self.config_objects().filter(|o| o.body != Body::Removed);
        let absent = present.filter(|o| !config.contains_key(&o.key));
        absent.map(|o| o.key.clone()).collect()
    }

    /// Whether the store may lack the latest configuration: another one is in force here, the
    /// store came back, or this VM has started in a later era and knows no other VM yet.
    pub(super) fn may_lack_config(&self, revision: Version) -> bool {
        let starts = revision.era() > 0 && self.config_objects().next().is_none();
        self.held_config.is_some() || starts || self.is_new_era(Feed::Routes, revision)
    }

    /// Applies a complete configuration of a store that may lack the latest one.
    pub(super) fn apply_config_list(
        &mut self,
        now: Time,
        list: Vec<Object>,
        revision: Version,
    ) -> Vec<Object> {
        let mut stored = Config::new();
        overwrite(&mut stored, list);
        if self.config_objects().next().is_some() {
            let provisional = self.is_provisional();
            return self.apply_stored_config(now, stored, revision, provisional);
        }
        // Peers may have a later one in force, so this one counts as read before the return.
        let as_earlier = |object: &Object| Object {
            version: EARLIEST,
            ..object.clone()
        };
        let earlier: Vec<Object> = stored.values().map(as_earlier).collect();
        let changed = self.follow_config(earlier);
        self.hold_config(now + OPERATOR_HOLD, stored, revision);
        changed
    }

    /// Whether the configuration in force is the store's own, and kept only because peers may
    /// have a later one.
    fn is_provisional(&self) -> bool {
        let stored = self.held_config.as_ref().map(|held| &held.stored);
        stored.is_some_and(|s| config_number(s.values()) == self.config_number())
    }

    /// Applies the store's configuration. A `provisional` one is not final although its number
    /// is that of the one in force.
    fn apply_stored_config(
        &mut self,
        now: Time,
        stored: Config,
        revision: Version,
        provisional: bool,
    ) -> Vec<Object> {
        let known = self.config_in_force();
        let number = config_number(stored.values());
        let decision = match known.era == revision.era() {
            true => CopyDecision::Apply,
            false if provisional && number == known.number => CopyDecision::Hold(OPERATOR_HOLD),
            false => decide_config(known.number, number),
        };
        match decision {
            CopyDecision::Apply => self.adopt_config(stored, revision),
            CopyDecision::Hold(time) => {
                // Operators who have begun to write again soon write the last one, too.
                let begun = self.held_config.is_some() && !self.is_new_era(Feed::Routes, revision);
                let time = if begun { OPERATOR_HOLD } else { time };
                self.hold_config(now + time, stored, revision);
                Vec::new()
            }
        }
    }

    /// Puts the store's configuration in force.
    fn adopt_config(&mut self, stored: Config, revision: Version) -> Vec<Object> {
        let number = config_number(stored.values());
        self.held_config = None;
        let mut changed = Vec::new();
        for key in self.absent_in_config(&stored) {
            let known = self.catalogue.version(&key);
            let version = revision.max(Version(known.0 + 1));
            changed.extend(self.merge(removed(key, version, number)));
        }
        for object in stored.into_values() {
            changed.extend(self.merge(object));
        }
        self.raise_history_floor(Feed::Routes, revision);
        changed
    }

    /// Keeps the configuration in force, in place of the store's, until some time.
    fn hold_config(&mut self, until: Time, stored: Config, revision: Version) {
        let held = self.held_config.as_ref();
        if held.is_some_and(|held| held.stored == stored) {
            return;
        }
        self.held_config = Some(HeldConfig { stored, until });
        self.raise_history_floor(Feed::Routes, revision);
    }

    /// Applies the store's configuration if operators had time to write the lost one again.
    pub(super) fn apply_due_config(&mut self, now: Time) -> Vec<Object> {
        let state = &self.feeds[Feed::Routes as usize];
        let (confirmed, revision) = (state.confirmed_at, state.revision);
        let is_due = |held: &&HeldConfig| held.until <= now && confirmed > Some(held.until);
        let Some(held) = self.held_config.as_ref().filter(is_due) else {
            return Vec::new();
        };
        let stored = held.stored.clone();
        let changed = self.adopt_config(stored, revision);
        // Peers know this revision already, so only a complete update tells them.
        self.raise_history_floor(Feed::Routes, Version(revision.0 + 1));
        changed
    }

    /// Applies the routes and limits in a peer's update, and takes them out of it, if a new
    /// era begins, or if either VM has another configuration in force than the store.
    pub(super) fn apply_config_update(
        &mut self,
        now: Time,
        update: &mut ReplicaUpdate,
    ) -> Vec<Object> {
        let i = Feed::Routes as usize;
        let revision = update.revisions[i];
        let in_feed = |o: &Object| Feed::of(&o.key) == Some(Feed::Routes);
        let begins = update.complete[i] && self.is_new_era(Feed::Routes, revision);
        let peer_holds = update.deferred.iter().any(in_feed);
        if !begins && !peer_holds && self.held_config.is_none() {
            return Vec::new();
        }
        let objects = take_matching(&mut update.objects, in_feed);
        let waiting = take_matching(&mut update.deferred, in_feed);
        let complete = std::mem::take(&mut update.complete[i]);
        if revision < self.feeds[i].revision {
            return Vec::new();
        }
        let is_first = self.config_objects().next().is_none();
        let provisional = self.is_provisional() || (is_first && peer_holds);
        let is_current = |o: &Object| o.version.era() == revision.era();
        let (current, earlier) = objects.into_iter().partition(is_current);
        let mut changed = Vec::new();
        let mut stored = Config::new();
        match &self.held_config {
            // What changed since the revision at which this VM knows the store's one.
            Some(held) if !complete => stored = held.stored.clone(),
            _ => changed.extend(self.follow_config(earlier)),
        }
        overwrite(&mut stored, current);
        overwrite(&mut stored, waiting);
        changed.extend(self.apply_stored_config(now, stored, revision, provisional));
        self.feeds[i].revision = revision;
        if complete {
            self.raise_history_floor(Feed::Routes, revision);
        }
        changed
    }

    /// Takes over the configuration that a peer has in force in place of the store's, if it
    /// is later than the one known here.
    fn follow_config(&mut self, objects: Vec<Object>) -> Vec<Object> {
        let (known, theirs) = (self.config_in_force(), ConfigId::newest(objects.iter()));
        let is_later = theirs.era >= known.era && theirs.number > known.number;
        let is_first = self.config_objects().next().is_none();
        let is_in_force = objects.iter().any(|o| o.body != Body::Removed);
        if !is_in_force || !(is_first || is_later) {
            return Vec::new();
        }
        let mut config = Config::new();
        overwrite(&mut config, objects.clone());
        let mut changed = Vec::new();
        for key in self.absent_in_config(&config) {
            let version = Version(self.catalogue.version(&key).0 + 1);
            changed.extend(self.merge(removed(key, version, theirs.number)));
        }
        for object in objects {
            // Those of a peer that has started since have the earliest version.
            let known = self.catalogue.entry(&object.key);
            let differs = known.filter(|k| k.body != object.body);
            let above = differs.map_or(Version(0), |k| Version(k.version.0 + 1));
            let version = object.version.max(above);
            changed.extend(self.merge(Object { version, ..object }));
        }
        changed
    }
}

/// Applies the states of objects to a configuration in their order. All its objects get the
/// newest number: a later configuration may only have removed some.
fn overwrite(config: &mut Config, states: Vec<Object>) {
    let known = config_number(config.values());
    let number = known.max(config_number(&states));
    for object in states {
        match object.body {
            Body::Removed => config.remove(&object.key),
            _ => config.insert(object.key.clone(), object),
        };
    }
    for object in config.values_mut() {
        object.change = number;
    }
}

/// Takes the objects that match out of a list.
fn take_matching(list: &mut Vec<Object>, matches: impl Fn(&Object) -> bool) -> Vec<Object> {
    let (taken, rest) = std::mem::take(list).into_iter().partition(matches);
    *list = rest;
    taken
}
