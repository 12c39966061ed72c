//! Recent failures of an endpoint, as counted by all boxes of the failure domain.
//!
//! A box that makes 0.8 calls a second can't distinguish in time a server that fails two answers in
//! five from a healthy one. 59 boxes that add their counts can after some twenty calls of all of
//! them. The weight of an answer decays with its age ([`MEMORY`]), so an endpoint that gets no
//! requests is trusted again over time. Errors that occur everywhere in a service, such as those
//! that callers cause, are no fault of an endpoint: only errors that exceed those of the best
//! endpoint of the service by more than [`TOLERANCE`] count. The best endpoint is the reference, not
//! the mean of all, since a fault may affect half of a small service. Connections and answers that
//! break are never caused by callers, and each of them counts.
//!
//! Inputs: outcomes of this box's attempts and those that peers report. The alternative, the failure
//! share of a box's own last answers, made a box leave its server after one error in five answers for
//! one of another domain until it had four good answers there: 8.2% of calls went to a full server
//! while another had room; at the selected server 2.9 requests ran, of which 0.16 were known
//! (`magpiemoor explain --placement`).

use std::time::Duration;

use crate::schema::Micros;

/// Time after which an answer has a weight of 1/e. Long enough for some twenty answers to the boxes
/// of a domain, shorter than a fault that matters lasts.
const MEMORY: Duration = Duration::from_secs(3);
/// Good answers that are added to each endpoint's own for its share of errors, so that two errors of
/// two weigh less than twenty of twenty.
const ERROR_CREDIT: f64 = 3.0;
/// The same for its share of broken attempts, of which a healthy endpoint has none.
const BROKEN_CREDIT: f64 = 1.0;
/// Excess of the share of errors that is attributed to chance: twice the standard error of a share
/// of 0.05 over ten answers.
const TOLERANCE: f64 = 0.13;

/// Counts of ended attempts by outcome, weighted by age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answers {
    /// Attempts that were answered successfully.
    pub served: f64,
    /// Attempts that were refused or answered with an error.
    pub errors: f64,
    /// Attempts whose connection broke or could not be made.
    pub broken: f64,
}

impl Answers {
    fn weighted(self, weight: f64) -> Self {
        Self {
            served: self.served * weight,
            errors: self.errors * weight,
            broken: self.broken * weight,
        }
    }

    fn plus(self, more: Self) -> Self {
        Self {
            served: self.served + more.served,
            errors: self.errors + more.errors,
            broken: self.broken + more.broken,
        }
    }
}

/// Outcomes at an endpoint with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    answers: Answers,
    /// The time as of which `answers` are weighted.
    at: Micros,
}

/// The shares of attempts that fail, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureShares {
    errors: f64,
    broken: f64,
}

impl FailureShares {
    /// All attempts fail: the upper bound of each share.
    pub const ALL: Self = Self {
        errors: 1.0,
        broken: 1.0,
    };

    /// The lower of each share.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            errors: self.errors.min(other.errors),
            broken: self.broken.min(other.broken),
        }
    }

    /// The sum of the excesses over the lowest shares in the service; of errors only what exceeds
    /// [`TOLERANCE`].
    #[must_use]
    pub fn excess_over(self, lowest: Self) -> f64 {
        let errors = (self.errors - lowest.errors - TOLERANCE).max(0.0);
        errors + (self.broken - lowest.broken).max(0.0)
    }
}

impl EndpointHealth {
    /// Adds outcomes.
    pub fn add(&mut self, answers: Answers, now: Micros) {
        self.answers = self.weighted(now).plus(answers);
        self.at = self.at.max(now);
    }

    /// The outcomes with their weights as of `now`.
    fn weighted(&self, now: Micros) -> Answers {
        let age = now.since(self.at).as_secs_f64();
        self.answers.weighted((-age / MEMORY.as_secs_f64()).exp())
    }

    /// Attempts that ended, a second, averaged over [`MEMORY`].
    #[must_use]
    pub fn rate(&self, now: Micros) -> f64 {
        let Answers {
            served,
            errors,
            broken,
        } = self.weighted(now);
        (served + errors + broken) / MEMORY.as_secs_f64()
    }

    /// The shares of recent attempts that failed.
    #[must_use]
    pub fn failure_shares(&self, now: Micros) -> FailureShares {
        let Answers {
            served,
            errors,
            broken,
        } = self.weighted(now);
        let all = served + errors + broken;
        FailureShares {
            errors: errors / (all + ERROR_CREDIT),
            broken: broken / (all + BROKEN_CREDIT),
        }
    }
}
