//! Port to a store of objects that is read feed by feed.
//!
//! An adapter gives a [`Store`] one function that carries out a single call.
//! When to call, how long to wait and what to make of failures is decided in
//! `follow`.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use wire::{Object, ObjectKey, Version, Vm, VmId};

use crate::platform_client::Result;
use crate::time::Ms;

/// Objects that are listed and watched together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Feed {
    /// Routes and limits of services. Each change tells them all.
    Routes,
    /// Failure domains that are out of service.
    Domains,
    /// Targets.
    Hosts,
    /// Entry VMs.
    Vms,
}

impl Feed {
    /// Number of feeds.
    pub const COUNT: usize = 4;
    /// All feeds, in the order of their numbers.
    pub const ALL: [Feed; Feed::COUNT] = [Feed::Routes, Feed::Domains, Feed::Hosts, Feed::Vms];
    /// Feeds that a VM needs before it takes packets.
    pub const NEEDED: [Feed; 3] = [Feed::Routes, Feed::Domains, Feed::Hosts];

    /// Feed that an object belongs to.
    pub fn of(key: &ObjectKey) -> Option<Feed> {
        match &*key.kind {
            "route" | "pool" => Some(Feed::Routes),
            "domain" => Some(Feed::Domains),
            "host" => Some(Feed::Hosts),
            "vm" => Some(Feed::Vms),
            _ => None,
        }
    }
}

impl fmt::Display for Feed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Feed::Routes => "routes",
            Feed::Domains => "domains",
            Feed::Hosts => "hosts",
            Feed::Vms => "vms",
        })
    }
}

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadRequest {
    /// A page of all objects, after the one that the last page ended with.
    List(Option<Box<str>>, Consistency),
    /// Changes after a revision, once there are some or the time has passed.
    Watch(Version, Ms),
}

/// How recent a list must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Some seconds old at most: costs the store little, so that a whole fleet may
    /// ask at once. A watch from its revision tells the rest.
    Serializable,
    /// As of the call.
    Linearizable,
}

/// What a call told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Objects in the order of their changes.
    pub objects: Vec<Object>,
    /// Whether these are all of the feed's objects.
    pub complete: bool,
    /// Entries that could not be used.
    pub skipped: usize,
    /// Where the next page starts, if there is one.
    pub next: Option<Box<str>>,
    /// Revision that the answer is as of.
    pub revision: Version,
}

/// A call in progress.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// A change of this VM's own entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registration {
    /// Writes the entry, whatever stood there.
    Put(Vm),
    /// Removes an entry if it still has the version.
    Delete(VmId, Version),
}

/// A store. Each call takes no longer than the given time.
pub struct Store {
    /// Reads a feed.
    pub read: Box<dyn Fn(Feed, ReadRequest, Ms) -> CallFuture<Page> + Send + Sync>,
    /// Changes the entry of a VM.
    pub write: Box<dyn Fn(Registration, Ms) -> CallFuture<()> + Send + Sync>,
}
