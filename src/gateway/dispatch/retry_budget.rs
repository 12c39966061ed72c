//! At whose cost a request is tried again: the budget of retries that all boxes share, for each
//! service.
//!
//! The rule: within each window, the retries of all boxes together stay under a ratio of the
//! requests for the service plus a reserve, both from the settings. Each box keeps to its part
//! without asking: the ratio of its own requests, and an equal share of the reserve, less a tenth.
//! A box that can't know yet how many share the reserve takes none of it. Inputs: this box's
//! requests and retries within the window, and how many boxes run ([`super::roster`]), at least
//! `fleet_boxes` of the settings. Shared among the boxes that each had heard within 3 s, 30 of 295,
//! 3,199 retries were made where 2,310 are allowed (`tests/large_fleet.rs`).
//!
//! Weighed: asking other boxes for a retry (a round trip in the middle of a loss). The other form
//! of an entry box saves retries up instead, see [`crate::keyed::node::retries`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::schema::{Micros, ServiceId};

/// How retries are bounded over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window beyond that.
    pub reserve: f64,
    /// The window.
    pub window: Duration,
}

/// The part of the policy's bound that a box uses, since boxes count each other a little
/// differently. Chosen, not measured.
const USED_PART: f64 = 0.9;

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

/// This box's part of the budget, for each service.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    services: BTreeMap<ServiceId, Counts>,
}

impl RetryBudget {
    /// Makes a budget of which nothing is used.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            services: BTreeMap::new(),
        }
    }

    /// Notes a request for a service.
    pub fn on_request(&mut self, service: &ServiceId, now: Micros) {
        let window = self.policy.window;
        let counts = self.services.entry(service.clone()).or_default();
        forget_old(&mut counts.requests, now, window);
        counts.requests.push_back(now);
    }

    /// Takes a retry, if this box's part has one; `boxes` share the reserve, if that is known.
    pub fn take(&mut self, service: &ServiceId, boxes: Option<usize>, now: Micros) -> bool {
        let policy = self.policy;
        let counts = self.services.entry(service.clone()).or_default();
        forget_old(&mut counts.requests, now, policy.window);
        forget_old(&mut counts.retries, now, policy.window);
        let share = boxes.map_or(0.0, |boxes| policy.reserve / boxes.max(1) as f64);
        let bound = policy.ratio * counts.requests.len() as f64 + share;
        if (counts.retries.len() + 1) as f64 > bound * USED_PART {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}

fn forget_old(times: &mut VecDeque<Micros>, now: Micros, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) >= window) {
        times.pop_front();
    }
}
