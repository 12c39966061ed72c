//! The types that cross a process boundary: messages between boxes, bundles, settings and ids.
//!
//! `magpiemoor-lab gen` generates them from `schema/*.schema.json`. Messages between boxes are
//! encoded as postcard, which isn't self-describing, so all their fields are required.

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs)]
mod generated;

mod incarnation;

pub use generated::*;

use std::fmt;
use std::time::Duration;

/// Implements `Display` for string types with a bounded length, for which the generator doesn't.
macro_rules! impl_display {
    ($($name:ident),+ $(,)?) => {
        $(impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self)
            }
        })+
    };
}

impl_display!(
    AdapterId,
    BatchId,
    BoxId,
    CallName,
    DomainId,
    EndpointId,
    KeyId,
    ModelId,
    OrganisationId,
    PartHash,
    RequestKey,
    ServiceId,
    VersionId,
);

impl From<Millis> for Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Default for Micros {
    fn default() -> Self {
        Self::ZERO
    }
}

impl Micros {
    /// The start of the clock of a box.
    pub const ZERO: Self = Self(0);

    /// Returns the time `span` later, saturating at the end of the clock.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time `span` earlier, saturating at [`Micros::ZERO`].
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Refusal {
    /// Creates the refusal of a request of which no byte can have reached an endpoint.
    #[must_use]
    pub fn not_run(reason: Reason, retry_after: Duration, detail: &str) -> Self {
        Self {
            ran: Ran::No,
            reason,
            retry_after: Some(retry_after.into()),
            detail: detail.to_owned(),
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn unknown(reason: Reason, detail: &str) -> Self {
        Self {
            ran: Ran::Unknown,
            reason,
            retry_after: None,
            detail: detail.to_owned(),
        }
    }
}

impl RequestKey {
    /// The character between the failure domain in a key and the rest of the key.
    pub const DOMAIN_MARK: char = '~';

    /// Returns the failure domain given in the key, if there is one.
    #[must_use]
    pub fn named_domain(&self) -> Option<&str> {
        self.split_once(Self::DOMAIN_MARK).map(|(domain, _)| domain)
    }
}

impl Request {
    /// Returns whether the request is a call that may run at most once.
    #[must_use]
    pub fn runs_once(&self) -> bool {
        matches!(&self.kind, RequestKind::Call(call) if !call.repeatable)
    }
}
