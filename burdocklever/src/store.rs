//! Port to a store of objects that is read feed by feed.
//!
//! An adapter gives a [`Store`] one function that carries out a single call.
//! When to call, how long to wait and what to make of failures is decided in
//! `follow`.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use wire::{Object, Version};

use crate::platform::Result;
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
}

impl Feed {
    /// All feeds.
    pub const ALL: [Feed; 3] = [Feed::Routes, Feed::Domains, Feed::Hosts];
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

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// A page of all objects, after the one that the last page ended with.
    List(Option<Box<str>>),
    /// Changes after a revision, once there are some or the time has passed.
    Watch(Version, Ms),
}

/// What a call told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Objects in the order of their changes.
    pub objects: Vec<Object>,
    /// Whether these are all of the feed's objects.
    pub whole: bool,
    /// Entries that could not be used.
    pub skipped: usize,
    /// Where the next page starts, if there is one.
    pub next: Option<Box<str>>,
    /// Revision that the answer is as of.
    pub through: Version,
}

/// A call in progress.
pub type Call = Pin<Box<dyn Future<Output = Result<Page>> + Send>>;

/// A store that can be read.
pub struct Store {
    /// Makes one call, which takes no longer than the given time.
    pub call: Box<dyn Fn(Feed, Ask, Ms) -> Call + Send + Sync>,
}
