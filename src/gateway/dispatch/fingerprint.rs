//! Which tries of callers are the same request.
//!
//! Each try has an id of its own, so a request that is sent again is known by what it asks for and
//! by who asks: method, host, path with its query, body, and the organisation. Headers don't count,
//! since those that tell deadline and last event differ from try to try, nor does the key, since an
//! organisation may have several.
//!
//! What is asked for is hashed with SHA-256, so that nobody can make a request that is taken for one
//! of another organisation.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schema::{Fingerprint, OrganisationId};

impl Fingerprint {
    /// Of what is asked for, whoever asks.
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

    /// Of the same as an organisation asks for it, or anybody without a key.
    #[must_use]
    pub fn asked_by(self, organisation: Option<&OrganisationId>) -> Self {
        let name = organisation.map_or("", |organisation| organisation.as_str());
        Self(xxh3_64_with_seed(name.as_bytes(), self.0))
    }

    /// As it stands in records: 16 hexadecimal digits.
    #[must_use]
    pub fn hex(self) -> String {
        format!("{:016x}", self.0)
    }

    /// Reads what [`Self::hex`] wrote.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let is_whole = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_whole);
        number.map(Self)
    }
}
