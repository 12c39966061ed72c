//! Fingerprints, by which retries of a request are recognised.
//!
//! Each retry has its own id, so a request is recognised by its content and its caller: method,
//! host, path with query, body, and organisation. Headers are left out, since those for the
//! deadline and the last event differ between retries. The key is left out too, since an
//! organisation may have several.
//!
//! The content is hashed with SHA-256, so that nobody can construct a request with the fingerprint
//! of another organisation's request.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schema::{Fingerprint, OrganisationId};

impl Fingerprint {
    /// Returns the fingerprint of the content of a request, regardless of its caller.
    #[must_use]
    pub fn of_content(method: &str, host: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [
            method.as_bytes(),
            host.as_bytes(),
            path_and_query.as_bytes(),
        ] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let digest: [u8; 32] = hasher.finalize().into();
        let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
        Self(u64::from_le_bytes(*first))
    }

    /// Returns the fingerprint of this content for an organisation, or for callers without a key.
    #[must_use]
    pub fn for_organisation(self, organisation: Option<&OrganisationId>) -> Self {
        let name = organisation.map_or("", |organisation| organisation.as_str());
        Self(xxh3_64_with_seed(name.as_bytes(), self.0))
    }

    /// Formats the fingerprint as in records: 16 hexadecimal digits.
    #[must_use]
    pub fn hex(self) -> String {
        format!("{:016x}", self.0)
    }

    /// Parses the output of [`Self::hex`].
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let is_valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_valid);
        number.map(Self)
    }
}
