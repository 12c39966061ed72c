//! How well an endpoint has answered lately, by the count of all boxes of the failure domain.
//!
//! A box that makes 0.8 calls a second can't tell a server that loses two answers in five from a
//! sound one in time; 59 boxes that put their counts together know it after some twenty calls of all
//! of them. Answers count for [`MEMORY`], and less the older they are, so an endpoint that is left
//! alone is trusted again by and by. What a service fails everywhere, such as errors that callers
//! cause, is no fault of an endpoint: of errors only what lies [`TOLERANCE`] beyond the best endpoint
//! of the service counts. The best one, not all of them, since a fault may hold half of a small
//! service. Connections and answers that break are no caller's doing, and count from the first.
//!
//! Inputs: ends of this box's attempts, and those that peers tell. Weighed: the share of a box's own
//! last answers (one error in five answers made it leave its server for one of another domain until
//! it had four good answers there: 8.2% of calls went to a full server while another had room, 2.9
//! ran at the chosen one, 0.16 were known, `magpiemoor explain --placement`).

use std::time::Duration;

use crate::schema::Micros;

/// How long answers count: after it, an answer has a weight of 1/e. Long enough for some twenty
/// answers of a domain's boxes, shorter than a fault that matters lasts.
const MEMORY: Duration = Duration::from_secs(3);
/// How many good answers an endpoint counts with that gave none, beside errors: two errors of two
/// must not weigh as much as twenty of twenty.
const CREDIT: f64 = 3.0;
/// The same beside broken attempts, of which a sound endpoint has none.
const CREDIT_BROKEN: f64 = 1.0;
/// How many more errors than elsewhere are taken for chance: twice the standard error of a share of
/// 0.05 over ten answers. Computed.
const TOLERANCE: f64 = 0.13;

/// Attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answers {
    /// Answered well.
    pub served: f64,
    /// Refused, or answered with an error.
    pub errors: f64,
    /// Broken off, or not connected.
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

    fn and(self, more: Self) -> Self {
        Self {
            served: self.served + more.served,
            errors: self.errors + more.errors,
            broken: self.broken + more.broken,
        }
    }
}

/// Answers of an endpoint, weighted by their age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    answers: Answers,
    at: Micros,
}

/// The shares of attempts that fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failing {
    /// Refused, or answered with an error.
    errors: f64,
    /// Broken off, or not connected.
    broken: f64,
}

impl Failing {
    /// Greater than any share.
    pub const ALL: Self = Self {
        errors: 1.0,
        broken: 1.0,
    };

    /// The lesser of each share.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            errors: self.errors.min(other.errors),
            broken: self.broken.min(other.broken),
        }
    }

    /// What fails beyond the least of the service's endpoints, as one share.
    #[must_use]
    pub fn beyond(self, least: Self) -> f64 {
        let errors = (self.errors - least.errors - TOLERANCE).max(0.0);
        errors + (self.broken - least.broken).max(0.0)
    }
}

impl EndpointHealth {
    /// Takes in answers.
    pub fn add(&mut self, answers: Answers, now: Micros) {
        self.answers = self.weighted(now).and(answers);
        self.at = self.at.max(now);
    }

    /// The answers as they count now.
    fn weighted(&self, now: Micros) -> Answers {
        let age = now.since(self.at).as_secs_f64();
        self.answers.weighted((-age / MEMORY.as_secs_f64()).exp())
    }

    /// How many attempts a second ended lately.
    #[must_use]
    pub fn rate(&self, now: Micros) -> f64 {
        let Answers {
            served,
            errors,
            broken,
        } = self.weighted(now);
        (served + errors + broken) / MEMORY.as_secs_f64()
    }

    /// The shares of attempts that fail.
    #[must_use]
    pub fn failing(&self, now: Micros) -> Failing {
        let Answers {
            served,
            errors,
            broken,
        } = self.weighted(now);
        let all = served + errors + broken;
        Failing {
            errors: errors / (all + CREDIT),
            broken: broken / (all + CREDIT_BROKEN),
        }
    }
}
