//! The keys of streams, and the versions of engines that no list has named.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::rendezvous;
use crate::schema::{EndpointIncarnation, OrganisationId, ServiceId, StreamKey, VersionId};

/// Prefix of the version of an engine that no list has named yet.
const UNLISTED_PREFIX: &str = "unlisted:";

impl StreamKey {
    /// The key of the stream that the caller's attempt `id` began.
    #[must_use]
    pub fn new(service: &ServiceId, organisation: Option<&OrganisationId>, id: &str) -> Self {
        let organisation = organisation.map_or("", |organisation| organisation.as_str());
        let of_service = rendezvous::item(service);
        let of_organisation = xxh3_64_with_seed(organisation.as_bytes(), of_service);
        Self(xxh3_64_with_seed(id.as_bytes(), of_organisation))
    }
}

impl StreamKey {
    /// Stands for a service itself: no attempt has an empty id. A record of it says that the service has
    /// several versions.
    pub(super) fn mark_of(service: &ServiceId) -> Self {
        Self::new(service, None, "")
    }

    /// Stands for a service too. A record of it names the only version that the service has had; no
    /// attempt has a line break in its id.
    pub(super) fn sole_mark_of(service: &ServiceId) -> Self {
        Self::new(service, None, "\n")
    }
}

impl VersionId {
    /// Stands for the version of an engine that answers at the address of another one before any
    /// list has named it. No other engine has this version.
    #[must_use]
    pub fn unlisted(engine: &EndpointIncarnation) -> Self {
        let text = format!("{UNLISTED_PREFIX}{:016x}", key_of_engine(engine));
        // The text has a fixed length below that of a version.
        text.parse().unwrap_or_else(|_| unreachable!("{text}"))
    }

    /// Whether this stands for a version that is not known.
    #[must_use]
    pub fn is_unlisted(&self) -> bool {
        self.starts_with(UNLISTED_PREFIX)
    }
}

/// A hash of the id and the start time as one text. With the start time as the seed, which the hash
/// combines with a short text by an exclusive or, `e10` of start 2 and `e13` of start 3 are the same.
fn key_of_engine(engine: &EndpointIncarnation) -> u64 {
    let born = engine.born.map_or(0, |born| born.0);
    xxh3_64(format!("{}@{born}", engine.id).as_bytes())
}
