//! Rendezvous hashing: every VM ranks the same candidates alike without a message.

use wire::{Member, VmId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pseudo-random score of candidate `id` for `key`.
pub fn score(key: u64, id: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), key)
}

/// Hash of a text, for keys made of names.
pub fn hash(text: &[u8]) -> u64 {
    xxh3_64_with_seed(text, 0)
}

/// The first-ranked member for `key`.
pub(crate) fn pick(key: u64, members: &[Member]) -> Option<Member> {
    members
        .iter()
        .copied()
        .max_by_key(|m| (score(key, m.vm.0.into()), *m))
}

/// Members for `key`, first-ranked first.
pub(crate) fn rank(key: u64, members: &[Member]) -> Vec<Member> {
    let mut list = members.to_vec();
    list.sort_by_key(|m| std::cmp::Reverse((score(key, m.vm.0.into()), *m)));
    list
}

/// Whether `vm` is among the first `n` of `vms` for `key`.
pub(crate) fn is_in_top(key: u64, vms: impl Iterator<Item = VmId>, vm: VmId, n: usize) -> bool {
    let own = score(key, vm.0.into());
    let ahead = vms.filter(|v| *v != vm && score(key, v.0.into()) > own);
    ahead.count() < n
}

/// Candidates by weighted rendezvous, first-ranked first. Each wins a share of
/// the keys in proportion to its weight; a weight of zero never wins.
pub(crate) fn rank_weighted<T: Clone>(key: u64, list: &[(T, u64, u32)]) -> Vec<T> {
    let mut scored: Vec<(f64, &T)> = list
        .iter()
        .filter(|(_, _, weight)| *weight > 0)
        .map(|(item, id, weight)| (-log_share(score(key, *id)) / f64::from(*weight), item))
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, item)| item.clone()).collect()
}

/// Natural logarithm of a score taken as a share of 1, never of 0.
fn log_share(score: u64) -> f64 {
    const BITS: u32 = 53;
    let top = (score >> (64 - BITS)) as f64;
    ((top + 0.5) / (1u64 << BITS) as f64).ln()
}
