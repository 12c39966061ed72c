//! What an operator ordered.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schema::{ServiceId, VersionId};

/// What an operator ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// The version that it moves to.
    pub target: VersionId,
    /// How long that may take.
    pub duration: Duration,
    /// What tells this order from others for the service: a hash of its content and of when its object
    /// was made.
    pub id: u64,
}

impl RolloutOrder {
    /// An order whose object was made at a revision of the store.
    #[must_use]
    pub fn new(service: ServiceId, target: VersionId, duration: Duration, made: u64) -> Self {
        let content = format!("{service} {target} {}", duration.as_millis());
        Self {
            id: xxh3_64_with_seed(content.as_bytes(), made),
            service,
            target,
            duration,
        }
    }
}
