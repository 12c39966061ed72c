//! The retry budget: a bound on retries for each service, shared by all boxes.
//!
//! The rule: within each window, the retries of all boxes together stay below a ratio of the
//! requests for the service plus a reserve; both come from the settings. The boxes of a failure
//! domain share the domain's part: the ratio of all their requests, and the part of the reserve that
//! equals their share of all boxes, less a tenth. Each box reports its counts whenever it starts an
//! attempt, so a retry that one box does not need is available to another.
//!
//! When the engines of a domain end, all its boxes retry within milliseconds, before they hear of each
//! other. So within [`REPORT_DELAY`] a box takes at most a part of what its domain has left, and the
//! closer the domain is to its bound the less. What they exceed it by the tenth covers.
//!
//! Inputs: this box's requests and retries within the window, those reported by peers of the
//! domain, and the number of boxes in the domain and in the fleet ([`super::roster`]), at least
//! `fleet_boxes` of the settings. A box that does not know the fleet's size yet, or has not run for a
//! window, uses none of the reserve: after the loss of all boxes nobody knows what was taken before. When the reserve was divided by the boxes seen within 3 s (30 of 295), 3,199 retries
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
/// Time after which peers of the domain know of a retry: reports are batched for up to 80 ms by the
/// bound on datagrams ([`super::gossip`]).
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// One over the part of what its domain has left that a box may take before the others know of it. A
/// box whose streams all break at once has some ten of them.
const BURST_DIVISOR: u64 = 4;

/// The answer to a request for a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The retry was counted and may start.
    Granted,
    /// Other boxes may be taking the retries that are left; known after [`REPORT_DELAY`].
    Later,
    /// The failure domain has none left.
    Spent,
}

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

    /// Retries counted at `since` or later.
    fn retries_since(&self, since: Micros) -> u64 {
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|sample| sample.at >= since);
        recent.map(|sample| sample.retries).sum()
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

    /// What is left of the failure domain's part; negative if more was taken.
    fn left(&self, policy: RetryPolicy, sharers: Sharers) -> f64 {
        let reserve = policy.reserve * sharers.reserve_share();
        let bound = policy.ratio * self.local.sums.requests as f64 + reserve;
        bound * USABLE_SHARE - self.local.sums.retries as f64
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

    /// Counts a retry if the failure domain's part of the budget, and this box's share of what is left
    /// of it, allow one.
    pub fn take(&mut self, service: &ServiceId, sharers: Sharers, now: Micros) -> Grant {
        let policy = self.policy;
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_expired(policy.window, now);
        let left = counts.left(policy, sharers);
        if left < 1.0 {
            return Grant::Spent;
        }
        let unreported = counts.recent.retries_since(now.before(REPORT_DELAY));
        if unreported >= share_of(left + unreported as f64, sharers.local_boxes) {
            return Grant::Later;
        }
        counts.count_own(0, 1, now);
        Grant::Granted
    }

    /// The retries that the failure domain has left for each service.
    pub fn left(&mut self, sharers: Sharers, now: Micros) -> Vec<(ServiceId, f64)> {
        let policy = self.policy;
        let services = self.services.iter_mut();
        let left = services.map(|(service, counts)| {
            counts.remove_expired(policy.window, now);
            (service.clone(), counts.left(policy, sharers).max(0.0))
        });
        left.collect()
    }
}

/// How many of the retries that a domain had left one of its boxes may take before the others know.
fn share_of(left: f64, boxes: usize) -> u64 {
    let divisor = BURST_DIVISOR.min(boxes.max(1) as u64);
    (left as u64 / divisor).max(1)
}
