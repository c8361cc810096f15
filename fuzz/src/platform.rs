//! Fake of the platform: versioned objects and conditional writes.

use std::collections::BTreeMap;

use burdocklever::Delta;
use wire::{Body, Object, ObjectKey, Version};

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Answers.
    Up,
    /// Answers nothing.
    Down,
    /// Answers late.
    Slow,
    /// Loses the answers to writes.
    Lose,
}

/// The platform's objects.
#[derive(Debug)]
pub(crate) struct Platform {
    objects: BTreeMap<ObjectKey, Object>,
    version: Version,
    pub(crate) mode: Mode,
}

impl Platform {
    pub(crate) fn new() -> Platform {
        Platform {
            objects: BTreeMap::new(),
            version: Version(0),
            mode: Mode::Up,
        }
    }

    pub(crate) fn version(&self) -> Version {
        self.version
    }

    pub(crate) fn get(&self, key: &ObjectKey) -> Option<&Body> {
        self.objects.get(key).map(|o| &o.body)
    }

    /// Writes whatever is there.
    pub(crate) fn write(&mut self, key: ObjectKey, body: Body) -> Version {
        let expect = self.objects.get(&key).map_or(Version(0), |o| o.version);
        self.put(key, expect, body);
        self.version
    }

    /// Writes if the object's version is `expect`. Returns whether it was.
    pub(crate) fn put(&mut self, key: ObjectKey, expect: Version, body: Body) -> bool {
        let known = self.objects.get(&key).map_or(Version(0), |o| o.version);
        if known != expect {
            return false;
        }
        self.version = Version(self.version.0 + 1);
        let object = Object {
            key: key.clone(),
            version: self.version,
            change: 0,
            body,
        };
        self.objects.insert(key, object);
        true
    }

    pub(crate) fn delta(&self, from: Version) -> Delta {
        let above = self.objects.values().filter(|o| o.version > from);
        Delta {
            from,
            through: self.version,
            objects: above.cloned().collect(),
        }
    }
}
