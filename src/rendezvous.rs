//! Rendezvous hashing: every box computes the same ranking of the candidates for an item, without
//! communication between boxes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a candidate for an item; the highest score ranks first.
#[must_use]
pub fn score(candidate: &str, item: u64) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), item)
}

/// Sorts candidates by their score for an item, highest first; equal scores by name, descending.
#[must_use]
pub fn rank<'a, T: AsRef<str> + ?Sized>(candidates: &[&'a T], item: u64) -> Vec<&'a T> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|c| {
        std::cmp::Reverse((score(c.as_ref(), item), c.as_ref().to_owned()))
    });
    ranked
}

/// Hashes a key to an item number.
#[must_use]
pub fn item(key: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key.as_bytes())
}
