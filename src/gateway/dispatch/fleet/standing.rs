//! How well an endpoint has answered lately, by the count of all boxes of the failure domain.
//!
//! A box that makes 0.8 calls a second can't tell a server that loses two answers in five from a
//! sound one in time; 59 boxes that put their counts together know it after some twenty calls of all
//! of them. Answers count for [`MEMORY`], and less the older they are, so an endpoint that is left
//! alone is trusted again by and by. What a service fails everywhere, such as errors that callers
//! cause, is no fault of an endpoint: only what lies [`TOLERANCE`] beyond the best endpoint of the
//! service counts. The best one, not all of them, since a fault may hold half of a small service.
//!
//! Inputs: ends of this box's attempts, and those that peers tell. Weighed: the share of a box's own
//! last answers (one error in five answers made it leave its server for one of another domain until
//! it had four good answers there: 8.2% of calls went to a full server while another had room, 2.9
//! ran at the chosen one, 0.16 were known, `magpiemoor explain --placement`).

use std::time::Duration;

use crate::schema::Micros;

/// How long answers count: after it, an answer has a weight of 1/e. Long enough for some twenty
/// answers of a domain's boxes, shorter than a fault that matters lasts. Chosen, not measured.
const MEMORY: Duration = Duration::from_secs(3);
/// How many good answers an endpoint counts with that gave none: two failures of two must not
/// weigh as much as twenty of twenty. Chosen, not measured.
const CREDIT: f64 = 3.0;
/// How much more than the service fails is taken for chance: twice the standard error of a share of
/// 0.05 over ten answers. Computed.
const TOLERANCE: f64 = 0.13;

/// Answers of an endpoint, weighted by their age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    served: f64,
    failed: f64,
    at: Micros,
}

impl Standing {
    /// Takes in answers.
    pub fn add(&mut self, served: u32, failed: u32, now: Micros) {
        let (old_served, old_failed) = self.weighted(now);
        self.served = old_served + f64::from(served);
        self.failed = old_failed + f64::from(failed);
        self.at = self.at.max(now);
    }

    /// Answers and failures as they count now.
    fn weighted(&self, now: Micros) -> (f64, f64) {
        let age = now.since(self.at).as_secs_f64();
        let weight = (-age / MEMORY.as_secs_f64()).exp();
        (self.served * weight, self.failed * weight)
    }

    /// The share of attempts that fail.
    #[must_use]
    pub fn failing(&self, now: Micros) -> f64 {
        let (served, failed) = self.weighted(now);
        failed / (served + failed + CREDIT)
    }

    /// The share that fails beyond the least of the service's endpoints, 0 where that may be chance.
    #[must_use]
    pub fn failing_beyond(&self, least: f64, now: Micros) -> f64 {
        (self.failing(now) - least - TOLERANCE).max(0.0)
    }
}
