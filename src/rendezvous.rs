//! Rendezvous hashing: every box ranks the candidates for an item alike, without talking.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns a candidate's score for an item.
#[must_use]
pub fn score(candidate: &str, item: u64) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), item)
}

/// Sorts candidates for an item, the best first.
#[must_use]
pub fn rank<'a, T: AsRef<str> + ?Sized>(candidates: &[&'a T], item: u64) -> Vec<&'a T> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|c| {
        std::cmp::Reverse((score(c.as_ref(), item), c.as_ref().to_owned()))
    });
    ranked
}

/// Returns the item number of a key.
#[must_use]
pub fn item(key: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key.as_bytes())
}
