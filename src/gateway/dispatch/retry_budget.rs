//! The retry budget: a bound on retries for each service, shared by all boxes.
//!
//! The rule: within each window, the retries of all boxes together stay below a ratio of the
//! requests for the service plus a reserve; both come from the settings. The boxes of a failure
//! domain share the domain's part: the ratio of all their requests, and the part of the reserve that
//! equals their share of all boxes, less a tenth. Each box reports its counts whenever it starts an
//! attempt, so a retry that one box does not need is available to another. Two boxes that take the
//! last retry before they receive each other's report exceed the part by one each; the tenth covers
//! that.
//!
//! Inputs: this box's requests and retries within the window, those reported by peers of the
//! domain, and the number of boxes in the domain and in the fleet ([`super::roster`]), at least
//! `fleet_boxes` of the settings. A box that does not know the fleet's size yet uses none of the
//! reserve. When the reserve was divided by the boxes seen within 3 s (30 of 295), 3,199 retries
//! were made where 2,310 are allowed.
//!
//! An equal part for each box without reports is not enough: 2.8 requests in a window leave a box of
//! 295 two retries, and the third stream of an engine that fails is cut although hundreds of retries
//! are unused (`tests/large_fleet.rs`). Requesting a retry from another box would add a round trip in
//! the middle of a loss. The keyed form of an entry box accumulates retries instead, see
//! [`crate::keyed::node::retries`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::schema::{BoxId, Micros, ServiceId, ServiceTotals};

/// The bound on the retries of all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub reserve: f64,
    /// Period over which requests and retries are counted.
    pub window: Duration,
}

/// Share of the bound that boxes use, since their counts of each other differ slightly.
const USABLE_SHARE: f64 = 0.9;

/// Numbers of boxes that share the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sharers {
    /// Boxes of the own failure domain, including this one.
    pub local_boxes: usize,
    /// Boxes of all failure domains; `None` until that is known.
    pub fleet_boxes: Option<usize>,
}

impl Sharers {
    /// The failure domain's share of the reserve, from 0 to 1.
    fn reserve_share(self) -> f64 {
        let share =
            |fleet: usize| self.local_boxes as f64 / fleet.max(self.local_boxes).max(1) as f64;
        self.fleet_boxes.map_or(0.0, share)
    }
}

/// Requests and retries of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCounts {
    requests: u64,
    retries: u64,
}

/// Requests and retries that were counted at one time, by this box or a peer.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Micros,
    requests: u64,
    retries: u64,
}

/// The samples of one window and their sums.
#[derive(Debug, Default)]
struct Window {
    /// In order of time, the oldest first.
    samples: VecDeque<Sample>,
    sums: ServiceCounts,
}

impl Window {
    fn count(&mut self, requests: u64, retries: u64, at: Micros) {
        self.sums.requests += requests;
        self.sums.retries += retries;
        self.samples.push_back(Sample {
            at,
            requests,
            retries,
        });
    }

    fn remove_expired(&mut self, length: Duration, now: Micros) {
        while let Some(oldest) = self.samples.front().copied() {
            if now.since(oldest.at) < length {
                return;
            }
            self.sums.requests -= oldest.requests;
            self.sums.retries -= oldest.retries;
            self.samples.pop_front();
        }
    }
}

/// The counts of one service.
#[derive(Debug, Default)]
struct ServiceBudget {
    /// Counts of this box since it started.
    own: ServiceCounts,
    /// Counts of this box within the window.
    recent: Window,
    /// Last totals reported by each peer of the failure domain.
    reported: BTreeMap<BoxId, ServiceCounts>,
    /// Counts of all boxes of the failure domain within the window.
    local: Window,
}

impl ServiceBudget {
    fn count_own(&mut self, requests: u64, retries: u64, at: Micros) {
        self.own.requests += requests;
        self.own.retries += retries;
        self.recent.count(requests, retries, at);
        self.local.count(requests, retries, at);
    }

    fn remove_expired(&mut self, length: Duration, now: Micros) {
        self.recent.remove_expired(length, now);
        self.local.remove_expired(length, now);
    }
}

/// The failure domain's part of the budget for each service.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    services: BTreeMap<ServiceId, ServiceBudget>,
}

impl RetryBudget {
    /// Creates a budget without any counts.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &ServiceId, now: Micros) {
        let window = self.policy.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_expired(window, now);
        counts.count_own(1, 0, now);
    }

    /// Adds the counts that a peer of the failure domain reported. The difference to its last report
    /// is added, or its counts within the window if this is the first report since it started.
    pub fn on_peer_totals(&mut self, from: &BoxId, totals: &[ServiceTotals], now: Micros) {
        for reported in totals {
            let counts = self.services.entry(reported.service.clone()).or_default();
            counts.remove_expired(self.policy.window, now);
            let totals = ServiceCounts {
                requests: reported.requests,
                retries: reported.retries,
            };
            let before = counts.reported.insert(from.clone(), totals);
            let is_same_incarnation = |before: &ServiceCounts| {
                before.requests <= totals.requests && before.retries <= totals.retries
            };
            let (requests, retries) = match before.filter(is_same_incarnation) {
                Some(before) => (
                    totals.requests - before.requests,
                    totals.retries - before.retries,
                ),
                None => (reported.recent_requests, reported.recent_retries),
            };
            if requests > 0 || retries > 0 {
                counts.local.count(requests, retries, now);
            }
        }
    }

    /// Returns the counts of this box for a report to peers.
    pub fn totals(&mut self, now: Micros) -> Vec<ServiceTotals> {
        for counts in self.services.values_mut() {
            counts.remove_expired(self.policy.window, now);
        }
        let counted = self.services.iter();
        let counted = counted.filter(|(_, counts)| counts.own.requests > 0);
        let totals = counted.map(|(service, counts)| ServiceTotals {
            service: service.clone(),
            requests: counts.own.requests,
            retries: counts.own.retries,
            recent_requests: counts.recent.sums.requests,
            recent_retries: counts.recent.sums.retries,
        });
        totals.collect()
    }

    /// Counts a retry and returns true if the failure domain's part of the budget allows it.
    pub fn take(&mut self, service: &ServiceId, sharers: Sharers, now: Micros) -> bool {
        let policy = self.policy;
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_expired(policy.window, now);
        let reserve = policy.reserve * sharers.reserve_share();
        let bound = policy.ratio * counts.local.sums.requests as f64 + reserve;
        if (counts.local.sums.retries + 1) as f64 > bound * USABLE_SHARE {
            return false;
        }
        counts.count_own(0, 1, now);
        true
    }

    /// Counts a repeated arrival at a service that the budget could not prevent.
    pub fn charge(&mut self, service: &ServiceId, now: Micros) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_expired(self.policy.window, now);
        counts.count_own(0, 1, now);
    }
}
