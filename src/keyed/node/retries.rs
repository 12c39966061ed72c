//! Retry budgets and jittered backoff.
//!
//! Every first try pays a part of a retry into the budgets of its organisation and its endpoint;
//! a retry takes one from both. So retries stay a fixed share of the work however much fails.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::schema::{EndpointId, OrganisationId};

/// The most retries that a budget can save up.
const MOST_SAVED: f64 = 10.0;
/// What a budget starts with.
const FIRST_GRANT: f64 = 3.0;
/// The backoff before the first retry.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest backoff.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);
/// Doublings after which the backoff grows no more.
const DOUBLINGS: u32 = 6;

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

/// Returns how long to wait before a retry.
pub fn backoff(failures: u32, rng: &mut impl Rng) -> Duration {
    let doubled = FIRST_BACKOFF * 2_u32.pow(failures.saturating_sub(1).min(DOUBLINGS));
    doubled
        .min(LONGEST_BACKOFF)
        .mul_f64(rng.random_range(0.5..1.5))
}
