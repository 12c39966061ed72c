//! The types that cross a process edge: messages between boxes, bundles, settings and ids.
//!
//! They are generated from `schema/*.schema.json` by `magpiemoor-lab gen`. Messages between boxes
//! travel as postcard, which isn't self-describing, so their fields are all required.

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs)]
mod generated;

mod incarnation;

pub use generated::*;

use std::fmt;
use std::time::Duration;

/// Shows names as their text; the generator leaves that out for names with a bounded length.
macro_rules! display_names {
    ($($name:ident),+ $(,)?) => {
        $(impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self)
            }
        })+
    };
}

display_names!(
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
    /// The start of a box's clock.
    pub const ZERO: Self = Self(0);

    /// Returns the point that lies `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the point that lies `span` earlier, or the start of the clock.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the time since `earlier`, or zero if that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Refusal {
    /// Refuses a request of which no byte can have reached an endpoint.
    #[must_use]
    pub fn not_run(reason: Reason, retry_after: Duration, detail: &str) -> Self {
        Self {
            ran: Ran::No,
            reason,
            retry_after: Some(retry_after.into()),
            detail: detail.to_owned(),
        }
    }

    /// Gives up on a request that may have run.
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
    /// Separates the failure domain that a key names from the rest of the key.
    pub const DOMAIN_MARK: char = '~';

    /// Returns the failure domain that the key names, if it names one.
    #[must_use]
    pub fn named_domain(&self) -> Option<&str> {
        self.split_once(Self::DOMAIN_MARK).map(|(domain, _)| domain)
    }
}

impl Request {
    /// Whether the request is a call that may run at most once.
    #[must_use]
    pub fn runs_once(&self) -> bool {
        matches!(&self.kind, RequestKind::Call(call) if !call.repeatable)
    }
}
