//! Retry budgets that are saved up, and the backoff between retries.
//!
//! Every first try pays a part of a retry into the budgets of its organisation and its endpoint;
//! a retry takes one from both. So retries stay a fixed share of the work however much fails.
//!
//! The gateway has another budget, [`crate::gateway::dispatch::retry_budget`]: there the users
//! bound the sum over all boxes in a sliding window, here each box bounds its own organisations and
//! endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::backoff::Backoff;
use crate::schema::{EndpointId, OrganisationId};

/// The most retries that a budget can save up.
const MOST_SAVED: f64 = 10.0;
/// What a budget starts with.
const FIRST_GRANT: f64 = 3.0;
/// Pauses before retries, and after calls that the platform put off.
const RETRY_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(20),
    longest: Duration::from_secs(1),
    max_doublings: 6,
    jitter: 0.5..1.5,
};

/// The retry budgets of all organisations and endpoints.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    organisations: BTreeMap<OrganisationId, f64>,
    endpoints: BTreeMap<EndpointId, f64>,
}

impl RetryBudgets {
    /// Notes a first try, which earns `percent` of a retry.
    pub fn on_first_try(
        &mut self,
        organisation: &OrganisationId,
        endpoint: &EndpointId,
        percent: u32,
    ) {
        let earned = f64::from(percent) / 100.0;
        let of = self
            .organisations
            .entry(organisation.clone())
            .or_insert(FIRST_GRANT);
        *of = (*of + earned).min(MOST_SAVED);
        let of = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert(FIRST_GRANT);
        *of = (*of + earned).min(MOST_SAVED);
    }

    /// Takes a retry if both budgets have one.
    pub fn take(&mut self, organisation: &OrganisationId, endpoint: &EndpointId) -> bool {
        let first = self
            .organisations
            .entry(organisation.clone())
            .or_insert(FIRST_GRANT);
        let second = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert(FIRST_GRANT);
        if *first < 1.0 || *second < 1.0 {
            return false;
        }
        *first -= 1.0;
        *second -= 1.0;
        true
    }
}

/// How long to wait before the retry after so many failures.
pub fn backoff(failures: u32, rng: &mut impl Rng) -> Duration {
    RETRY_BACKOFF.pause(failures.saturating_sub(1), rng)
}
