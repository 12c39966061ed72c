//! At whose cost a request is tried again: the budget of retries that all boxes share, for each
//! service.
//!
//! The rule: within each window, the retries of all boxes together stay under a ratio of the
//! requests for the service plus a reserve, both from the settings. The boxes of a failure domain
//! share its part: the ratio of all their requests, and as much of the reserve as they are of all
//! boxes, less a tenth. Each tells the others what it has counted whenever it begins an attempt, so
//! what one of them doesn't need another one has. Two boxes that take the last retry before they
//! hear each other exceed the part by one each, which the tenth is for.
//!
//! Inputs: this box's requests and retries within the window, those that peers of the domain told,
//! and how many boxes run in the domain and in all ([`super::roster`]), at least `fleet_boxes` of
//! the settings; a box that can't know that yet takes none of the reserve. Shared among the boxes
//! that each had heard within 3 s, 30 of 295, 3,199 retries were made where 2,310 are allowed.
//!
//! Weighed: an equal part for each box, without telling (2.8 requests in a window leave a box of 295
//! two retries, and the third stream of an engine that dies is cut though hundreds of retries are
//! unused, `tests/large_fleet.rs`); asking other boxes for a retry (a round trip in the middle of a
//! loss). The other form of an entry box saves retries up instead, see
//! [`crate::keyed::node::retries`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::schema::{BoxId, Micros, ServiceId, ServiceTotals};

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
/// differently.
const USED_PART: f64 = 0.9;

/// How many boxes share the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sharers {
    /// Boxes of the own failure domain, with this one.
    pub near: usize,
    /// Boxes of all failure domains, if that is known.
    pub all: Option<usize>,
}

impl Sharers {
    /// The part of the reserve that the failure domain has.
    fn part(self) -> f64 {
        let part = |all: usize| self.near as f64 / all.max(self.near).max(1) as f64;
        self.all.map_or(0.0, part)
    }
}

/// Requests and retries of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: u64,
    retries: u64,
}

/// What was counted at a time, by this box or a peer.
#[derive(Clone, Copy, Debug)]
struct Counted {
    at: Micros,
    requests: u64,
    retries: u64,
}

/// What was counted in the window.
#[derive(Debug, Default)]
struct Window {
    /// The newest last.
    counted: VecDeque<Counted>,
    sums: Totals,
}

impl Window {
    fn count(&mut self, requests: u64, retries: u64, at: Micros) {
        self.sums.requests += requests;
        self.sums.retries += retries;
        self.counted.push_back(Counted {
            at,
            requests,
            retries,
        });
    }

    fn forget_old(&mut self, length: Duration, now: Micros) {
        while let Some(oldest) = self.counted.front().copied() {
            if now.since(oldest.at) < length {
                return;
            }
            self.sums.requests -= oldest.requests;
            self.sums.retries -= oldest.retries;
            self.counted.pop_front();
        }
    }
}

/// What is known of one service.
#[derive(Debug, Default)]
struct Counts {
    /// Counted by this box since it started.
    own: Totals,
    /// Counted by this box.
    recent: Window,
    /// What peers told last.
    told: BTreeMap<BoxId, Totals>,
    /// Counted by all boxes of the domain.
    near: Window,
}

impl Counts {
    fn count_own(&mut self, requests: u64, retries: u64, at: Micros) {
        self.own.requests += requests;
        self.own.retries += retries;
        self.recent.count(requests, retries, at);
        self.near.count(requests, retries, at);
    }

    fn forget_old(&mut self, length: Duration, now: Micros) {
        self.recent.forget_old(length, now);
        self.near.forget_old(length, now);
    }
}

/// The failure domain's part of the budget, for each service.
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
        counts.forget_old(window, now);
        counts.count_own(1, 0, now);
    }

    /// Takes in what a peer of the failure domain has counted since it started, or what it says of
    /// the window if it is heard for the first time in its life.
    pub fn on_peer_totals(&mut self, from: &BoxId, totals: &[ServiceTotals], now: Micros) {
        for told in totals {
            let counts = self.services.entry(told.service.clone()).or_default();
            counts.forget_old(self.policy.window, now);
            let totals = Totals {
                requests: told.requests,
                retries: told.retries,
            };
            let before = counts.told.insert(from.clone(), totals);
            let is_same_life = |before: &Totals| {
                before.requests <= totals.requests && before.retries <= totals.retries
            };
            let (requests, retries) = match before.filter(is_same_life) {
                Some(before) => (
                    totals.requests - before.requests,
                    totals.retries - before.retries,
                ),
                None => (told.recent_requests, told.recent_retries),
            };
            if requests > 0 || retries > 0 {
                counts.near.count(requests, retries, now);
            }
        }
    }

    /// What this box has counted since it started, to be told.
    pub fn totals(&mut self, now: Micros) -> Vec<ServiceTotals> {
        for counts in self.services.values_mut() {
            counts.forget_old(self.policy.window, now);
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

    /// Takes a retry, if the failure domain's part has one.
    pub fn take(&mut self, service: &ServiceId, sharers: Sharers, now: Micros) -> bool {
        let policy = self.policy;
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget_old(policy.window, now);
        let reserve = policy.reserve * sharers.part();
        let bound = policy.ratio * counts.near.sums.requests as f64 + reserve;
        if (counts.near.sums.retries + 1) as f64 > bound * USED_PART {
            return false;
        }
        counts.count_own(0, 1, now);
        true
    }
}
