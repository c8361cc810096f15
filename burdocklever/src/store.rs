//! Interface to the platform's object store, which is read feed by feed.
//!
//! An adapter implements single calls as the functions of a [`Store`].
//! `feed_watch` decides when to call, with which timeout, and how to handle
//! errors.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use wire::{Object, ObjectKey, Version, Vm, VmId};

use crate::platform_client::Result;
use crate::time::Ms;

/// A group of object kinds that is listed and watched together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Feed {
    /// Routes and limits of services. Each change event carries all of them.
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
    /// All feeds, in the order of their discriminants.
    pub const ALL: [Feed; Feed::COUNT] = [Feed::Routes, Feed::Domains, Feed::Hosts, Feed::Vms];
    /// Feeds that a VM must have read before it is ready for packets.
    pub const REQUIRED: [Feed; 3] = [Feed::Routes, Feed::Domains, Feed::Hosts];

    /// Feed of an object; none if its kind is in no feed.
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

/// A read of one feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadRequest {
    /// Lists a page of objects, starting after the named one.
    List(Option<Box<str>>, Consistency),
    /// Long-polls for changes after a revision, for the given time at most.
    Watch(Version, Ms),
}

/// Consistency of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// May be some seconds old. Cheap for the store, so a whole fleet can list at
    /// once; a watch from the returned revision supplies later changes.
    Serializable,
    /// Includes all writes that completed before the call.
    Linearizable,
}

/// Result of a read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Objects. Those of a watch are in the order of their changes.
    pub objects: Vec<Object>,
    /// Whether these are all objects of the feed.
    pub complete: bool,
    /// Number of invalid entries, which were skipped.
    pub skipped: usize,
    /// Name to pass as the start of the next page; none on the last page.
    pub next: Option<Box<str>>,
    /// Store revision of this result.
    pub revision: Version,
}

/// A pending call to the store or to a peer.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// A write to the entry of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registration {
    /// Creates or overwrites the entry.
    Put(Vm),
    /// Deletes the entry if it still has this version.
    Delete(VmId, Version),
}

/// Client functions of a store. The last argument of each is its timeout.
pub struct Store {
    /// Reads a feed.
    pub read: Box<dyn Fn(Feed, ReadRequest, Ms) -> CallFuture<Page> + Send + Sync>,
    /// Writes the entry of a VM.
    pub write: Box<dyn Fn(Registration, Ms) -> CallFuture<()> + Send + Sync>,
}
