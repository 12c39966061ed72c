//! The order of a roll-out, as an operator wrote it to the store.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schema::{ServiceId, VersionId};

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// The service to move.
    pub service: ServiceId,
    /// The version that the service moves to.
    pub target: VersionId,
    /// Time within which the roll-out is to be finished.
    pub duration: Duration,
    /// Identifies the order among all orders for the service: a hash of its content, seeded with
    /// the revision at which its object was created.
    pub id: u64,
}

impl RolloutOrder {
    /// Makes an order from an object that was created at the store revision `made`.
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
