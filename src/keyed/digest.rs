//! The chained digest of an answer, by which two generations are told apart.
//!
//! A cursor carries the digest of all tokens before it. Two answers that differ in any token have
//! different digests from there on, so a caller's cursor fits only the answer it came from.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::schema::{AnswerDigest, RequestKey, Token};

/// Returns the digest of an answer that has no tokens yet.
#[must_use]
pub fn start(key: &RequestKey) -> AnswerDigest {
    AnswerDigest(xxh3_64(key.as_bytes()))
}

/// Extends a digest by one token.
#[must_use]
pub fn extend(digest: AnswerDigest, token: &Token) -> AnswerDigest {
    AnswerDigest(xxh3_64_with_seed(&token.id.to_le_bytes(), digest.0))
}

/// Extends a digest by several tokens.
#[must_use]
pub fn extend_all(digest: AnswerDigest, tokens: &[Token]) -> AnswerDigest {
    tokens.iter().fold(digest, extend)
}

/// Hashes a request's body, to notice a key that is used again for another request.
#[must_use]
pub fn body(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}
