//! Rendezvous hashing: all VMs rank the same candidates alike without
//! exchanging messages.

use wire::{Member, VmId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pseudo-random score of candidate `id` for `key`.
pub fn score(key: u64, id: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), key)
}

/// Hash of a byte string, for keys that are derived from names.
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// The member with the highest score for `key`.
pub(crate) fn pick(key: u64, members: &[Member]) -> Option<Member> {
    members
        .iter()
        .copied()
        .max_by_key(|m| (score(key, m.vm.0.into()), *m))
}

/// Members by descending score for `key`.
pub(crate) fn rank(key: u64, members: &[Member]) -> Vec<Member> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|m| std::cmp::Reverse((score(key, m.vm.0.into()), *m)));
    ranked
}

/// Whether `vm` is among the `n` of `vms` with the highest scores for `key`.
pub(crate) fn is_in_top(key: u64, vms: impl Iterator<Item = VmId>, vm: VmId, n: usize) -> bool {
    let own = score(key, vm.0.into());
    let ahead = vms.filter(|v| *v != vm && score(key, v.0.into()) > own);
    ahead.count() < n
}

/// Items of `(item, id, weight)` candidates by weighted rendezvous hashing,
/// highest rank first. The share of keys for which a candidate ranks first is
/// proportional to its weight; candidates of weight zero are left out.
pub(crate) fn rank_weighted<T: Clone>(key: u64, candidates: &[(T, u64, u32)]) -> Vec<T> {
    let mut scored: Vec<(f64, &T)> = candidates
        .iter()
        .filter(|(_, _, weight)| *weight > 0)
        .map(|(item, id, weight)| (weighted_rank(score(key, *id), *weight), item))
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, item)| item.clone()).collect()
}

/// Rank of a candidate with this score by weighted rendezvous hashing; the lowest is
/// first. The weight must not be zero.
pub(crate) fn weighted_rank(score: u64, weight: u32) -> f64 {
    -ln_unit(score) / f64::from(weight)
}

/// Natural logarithm of a score mapped to the open interval (0, 1).
fn ln_unit(score: u64) -> f64 {
    const BITS: u32 = 53;
    let high = (score >> (64 - BITS)) as f64;
    ((high + 0.5) / (1u64 << BITS) as f64).ln()
}
