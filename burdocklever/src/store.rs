//! Interface to the platform's object store, which is read feed by feed.
//!
//! An adapter implements single calls as the functions of a [`Store`].
//! `feed_watch` decides when to call, with which timeout, and how to handle
//! errors.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use wire::{Object, ObjectKey, Version};

use crate::contacts::ContactList;
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
}

impl Feed {
    /// Number of feeds.
    pub const COUNT: usize = 3;
    /// All feeds, in the order of their discriminants.
    pub const ALL: [Feed; Feed::COUNT] = [Feed::Routes, Feed::Domains, Feed::Hosts];

    /// Feed of an object; none if its kind is in no feed.
    pub fn of(key: &ObjectKey) -> Option<Feed> {
        match &*key.kind {
            "route" | "pool" => Some(Feed::Routes),
            "domain" => Some(Feed::Domains),
            "host" => Some(Feed::Hosts),
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
    /// Objects. Those of a watch are in the order of their changes; one that changed
    /// several times is there with each of its states.
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

/// Client functions of a store. The last argument of each is its timeout.
pub struct Store {
    /// Reads a feed.
    pub read: Box<dyn Fn(Feed, ReadRequest, Ms) -> CallFuture<Page> + Send + Sync>,
    /// Reads the contact lists of all failure domains. They may be some seconds old.
    pub read_contacts: Box<dyn Fn(Ms) -> CallFuture<Vec<ContactList>> + Send + Sync>,
    /// Creates or overwrites the contact list of a failure domain.
    pub write_contacts: Box<dyn Fn(ContactList, Ms) -> CallFuture<()> + Send + Sync>,
}
