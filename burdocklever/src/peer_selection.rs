//! Selects which VMs read the store and which peer every other VM polls.
//!
//! The VMs of a failure domain form a tree by their rank: the first is the root, and
//! each VM polls the one above it. The roots poll the store readers, which are the
//! first-ranked roots of the fleet. All VMs compute the same tree from the same
//! membership, without coordination. A VM leaves out peers that do not answer it, so
//! it moves up until one does, and reads the store itself if none does.

use wire::VmId;

use crate::membership::Peer;
use crate::rendezvous;

/// Number of VMs that poll one peer.
const FANOUT: usize = 32;
/// Number of VMs that read the store: one, and a spare in another failure domain.
const READERS: usize = 2;
/// First-ranked VMs of each failure domain that may read the store besides the
/// readers. If all of them fail to reach it, so would the others.
const EXTRA_READERS: usize = 6;
/// Share of the maximum age, in percent, at which a VM looks for fresher peers.
/// Between two confirmations by the store, ages reach 53%.
pub(crate) const SEEK_PERCENT: u64 = 60;
/// Share of the maximum age, in percent, at which the root of a failure domain reads
/// the store, and by which each further one waits longer.
const READ_PERCENT: u64 = 70;
const READ_STEP_PERCENT: u64 = 8;
/// Share of the maximum age, in percent, up to which a peer's answer shows that this
/// VM need not read the store.
const RELIEVED_PERCENT: u64 = 40;

/// A VM's place among the VMs that it can use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// Rank in its failure domain, from 0.
    pub rank: usize,
    /// The peer to poll; none for a store reader.
    pub parent: Option<Peer>,
    /// VMs of its failure domain that poll this one.
    pub children: Vec<VmId>,
    /// VMs of its failure domain that are ranked before this one, best first.
    pub above: Vec<Peer>,
    /// Roots of the other failure domains, best first.
    pub roots: Vec<Peer>,
    /// All other VMs.
    pub others: Vec<Peer>,
}

impl Position {
    /// Whether this VM reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.parent.is_none()
    }

    /// All peers, best first.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.above.iter().chain(&self.roots).chain(&self.others)
    }

    /// Peers to ask for a fresher catalogue, given a turn and a source of random numbers
    /// between 0 and 1.
    ///
    /// Load: a VM near the root of a failure domain dies, so that all VMs below it know
    /// as little as each other, or several roots die at once. One peer is above this VM,
    /// one is a root elsewhere and one is any, so that few turns find one that is fresh,
    /// and no peer is asked by all.
    pub(crate) fn alternatives(&self, turn: usize, random: impl Fn() -> f64) -> Vec<&Peer> {
        let pick = |list: &'_ [Peer]| (random() * list.len() as f64) as usize;
        let above = self.above.get(turn % self.above.len().max(1));
        let root = self.roots.get(pick(&self.roots));
        let other = self.others.get(pick(&self.others));
        [above, root, other].into_iter().flatten().collect()
    }
}

/// Position of VM `own` among the peers that it can use.
pub fn position(own: &Peer, usable: &[Peer]) -> Position {
    let mut ranked: Vec<&Peer> = usable.iter().chain([own]).collect();
    ranked.sort_by_cached_key(|p| (p.rank(), p.member.vm));
    let local: Vec<&Peer> = ranked
        .iter()
        .copied()
        .filter(|p| p.domain == own.domain)
        .collect();
    let is_own = |p: &&Peer| p.member.vm == own.member.vm;
    let rank = local.iter().position(is_own).unwrap_or(0);
    let mut roots: Vec<&Peer> = Vec::new();
    for peer in &ranked {
        if roots.iter().all(|r| r.domain != peer.domain) {
            roots.push(peer);
        }
    }
    let readers = &roots[..roots.len().min(READERS)];
    let parent = match rank.checked_sub(1) {
        Some(above) => local.get(above / FANOUT).copied(),
        None if readers.iter().any(is_own) => None,
        None => readers.iter().copied().max_by_key(|r| preference(own, r)),
    };
    let polled_by = |n: usize| n.checked_sub(1).is_some_and(|above| above / FANOUT == rank);
    let children = local.iter().enumerate().filter(|(n, _)| polled_by(*n));
    let is_root = |p: &&Peer| roots.iter().any(|r| r.member.vm == p.member.vm);
    let is_foreign = |p: &&&Peer| p.domain != own.domain;
    let above = local[..rank].iter();
    let other_roots = roots.iter().filter(is_foreign);
    let below = local[rank..].iter().filter(|p| !is_own(p));
    let rest = ranked.iter().filter(is_foreign).filter(|p| !is_root(p));
    let owned = |p: &&Peer| (*p).clone();
    Position {
        rank,
        parent: parent.cloned(),
        children: children.map(|(_, p)| p.member.vm).collect(),
        above: above.map(owned).collect(),
        roots: other_roots.map(owned).collect(),
        others: below.chain(rest).map(owned).collect(),
    }
}

/// Spreads the roots over the readers.
fn preference(own: &Peer, reader: &Peer) -> u64 {
    rendezvous::score(own.member.vm.0.into(), reader.member.vm.0.into())
}

/// What a VM that is no store reader knows when it decides whether to read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Staleness {
    /// Age of its replica, in percent of the maximum.
    pub age: u64,
    /// Age of the last answer of a peer, in percent of the maximum.
    pub peer_age: u64,
    /// Whether no peer answers.
    pub isolated: bool,
    /// Whether it reads the store now.
    pub reading: bool,
}

/// Whether a VM that is no store reader is to read the store. Load: the readers fail
/// or are refused by the store, and every VM of the fleet notices at once. Only some
/// VMs of each failure domain then turn to the store, one after the other.
pub fn reads_for_itself(rank: usize, staleness: Staleness) -> bool {
    let delay = match staleness.isolated {
        true => 0,
        false if rank >= EXTRA_READERS => return false,
        false => rank as u64 * READ_STEP_PERCENT,
    };
    if staleness.reading {
        return staleness.isolated || staleness.peer_age > RELIEVED_PERCENT;
    }
    staleness.age >= READ_PERCENT + delay
}

/// Probability that a VM without a catalogue reads the store in the step numbered
/// `step`. Load: a whole fleet starts, and the VMs that it knows are all gone. A few
/// read at first, then twice as many in each step.
pub fn start_probability(domain_vms: u32, step: u32) -> f64 {
    let first = EXTRA_READERS as f64 / f64::from(domain_vms.max(1));
    (first * f64::from(step.min(30)).exp2()).min(1.0)
}
