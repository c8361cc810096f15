//! How old a replica may be, and the intervals that keep it fresh, all derived from
//! the deployment's bounds.

use crate::store::Feed;
use crate::time::Ms;

/// Share of a bound, in percent, that a VM's knowledge may reach in age. The rest is
/// left for reading the store.
const MAX_AGE_PERCENT: u64 = 75;
/// Share of the shortest bound, in percent, between two confirmations by the store.
const WATCH_PERCENT: u64 = 40;
/// Share of the shortest bound, in percent, for which changes are collected before
/// the next read.
const BATCH_PERCENT: u64 = 10;

/// Times within which a change must be in force at every VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Changes to routes.
    pub routes: Ms,
    /// Changes to targets.
    pub hosts: Ms,
    /// Changes to failure domains.
    pub domains: Ms,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            routes: Ms(3000),
            hosts: Ms(3000),
            domains: Ms(5000),
        }
    }
}

impl Bounds {
    /// Shortest bound that the intervals allow for: a call to the store may take
    /// 200 ms.
    pub const MIN: Ms = Ms(1000);

    /// Bound of a feed's changes.
    pub fn of(&self, feed: Feed) -> Ms {
        match feed {
            Feed::Routes => self.routes,
            Feed::Domains => self.domains,
            Feed::Hosts => self.hosts,
        }
    }

    /// Age of a feed above which its changes may be in force too late.
    pub fn max_age(&self, feed: Feed) -> Ms {
        Ms(self.of(feed).0 * MAX_AGE_PERCENT / 100)
    }

    /// Longest time between two confirmations of a feed by the store.
    pub fn watch_interval(&self) -> Ms {
        Ms(self.shortest().0 * WATCH_PERCENT / 100)
    }

    /// Longest wait of a peer's long poll: a confirmation by the store comes first.
    pub fn long_poll(&self) -> Ms {
        Ms(self.watch_interval().0 * 5 / 4)
    }

    /// Time for which changes are collected.
    pub fn batch_pause(&self) -> Ms {
        Ms(self.shortest().0 * BATCH_PERCENT / 100)
    }

    fn shortest(&self) -> Ms {
        self.routes.min(self.hosts).min(self.domains)
    }
}
