//! How many requests a version may get before its order's time is over, whatever is known of it.
//!
//! Some faults no canary shows: those of endpoints busier than any is now, of a route with few
//! requests, of the last second. What nobody can know in time is bounded by counting. Of all requests
//! that reach the service until its time is over, a version gets a share and a fixed reserve; the last
//! step, when all work goes there, is a part of them. So the step is taken within the time only where
//! what it moves fits into what is left, and the canary leaves room for it where it can. Where more
//! runs than a bad version may get, the step waits until the time is over: the order is late, which
//! costs a missed duty, and a bad version with all requests breaks the bound.
//!
//! Counts are those of the evidence, which lag by the time that an answer takes, so they bound the
//! requests so far from below; what is moved is bounded from above.
//!
//! Weighed: to trust a version that answered well at the load of an ordinary endpoint (one that fails
//! only when busier gets half of all requests), to load a canary until its slots are taken (its callers
//! wait for each other's prompts, and its memory is full before that), and to count, as here.

use std::collections::BTreeMap;
use std::time::Duration;

use super::canary::SAFE_PART;
use super::evidence::Requests;

/// Standard deviations by which more requests than foreseen may come during the last step, when it is
/// planned, and when it is taken: what the canary leaves over must not just miss the room needed.
const PLANNED_SPREADS: f64 = 3.0;
const TAKEN_SPREADS: f64 = 2.0;
/// Answers that a canary must be able to get for its share to be lowered: fewer tell too little of a
/// route or of a version that fails rarely.
const LEAST_CANARY: f64 = 40.0;
/// Answers of the target that each route is to have, and the greatest share of a route's requests that a
/// canary gets for it: a version that is bad on a route with few requests is not seen otherwise.
const WANTED_ANSWERS: f64 = 24.0;
const MOST_OF_ROUTE: f64 = 0.5;
/// The time in which they are to come once an order is late.
const WANTED_WITHIN: Duration = Duration::from_secs(4);

/// The bound on what a version that may be bad gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// The share of all requests to the service.
    pub share: f64,
    /// Requests beyond that.
    pub reserve: f64,
}

/// The requests of a service, as far as they are known and foreseen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// All since the order.
    pub requests: f64,
    /// Those to the target.
    pub exposed: f64,
    /// How many come in a second.
    pub rate: f64,
    /// The time that is left.
    pub left: Duration,
    /// How long the last step takes.
    pub switch: Duration,
    /// How long a request runs that goes on at the target when it leaves its endpoint.
    pub moved: Duration,
}

impl Forecast {
    /// All requests until the time is over.
    fn at_end(&self) -> f64 {
        self.requests + self.rate * self.left.as_secs_f64()
    }

    /// Requests that the last step sends to the target.
    fn of_switch(&self) -> f64 {
        let switch = self.switch.min(self.left);
        self.rate * (switch + self.moved).as_secs_f64()
    }
}

impl ExposureLimit {
    /// Requests that the target may get beside the last step, if that has so many standard deviations
    /// more requests than foreseen.
    fn spare(&self, forecast: &Forecast, spreads: f64) -> f64 {
        let allowed = self.share * forecast.at_end() + self.reserve;
        let of_switch = forecast.of_switch();
        allowed - forecast.exposed - of_switch - spreads * of_switch.sqrt()
    }

    /// Whether the last step may be taken within the order's time.
    #[must_use]
    pub fn covers_switch(&self, forecast: &Forecast) -> bool {
        self.spare(forecast, TAKEN_SPREADS) >= 0.0
    }

    /// The share of requests that a canary gets.
    #[must_use]
    pub fn canary_share(&self, forecast: Option<&Forecast>) -> f64 {
        let usual = self.share * SAFE_PART;
        let Some(forecast) = forecast else {
            return usual;
        };
        let spare = self.spare(forecast, PLANNED_SPREADS);
        let until_switch = forecast.left.saturating_sub(forecast.switch);
        let to_come = forecast.rate * until_switch.as_secs_f64();
        let is_enough = forecast.exposed + spare >= LEAST_CANARY;
        if is_enough && to_come > 0.0 {
            usual.min((spare / to_come).max(0.0))
        } else {
            usual
        }
    }

    /// The shares of routes that need more than the ordinary one to be judged, by series, as far as the
    /// limit leaves requests for them beside the canary and, where it fits, the last step.
    #[must_use]
    pub fn low_traffic_routes(
        &self,
        forecast: &Forecast,
        routes: &BTreeMap<u32, Requests>,
    ) -> BTreeMap<u32, f64> {
        let is_late = forecast.left.is_zero();
        let until_switch = if is_late {
            WANTED_WITHIN
        } else {
            forecast.left.saturating_sub(forecast.switch)
        };
        let until_switch = until_switch.as_secs_f64();
        let usual = self.canary_share(Some(forecast));
        let wanted = routes.iter().filter_map(|(series, route)| {
            let to_come = route.rate * until_switch;
            let missing = (WANTED_ANSWERS - route.of_target).min(MOST_OF_ROUTE * to_come);
            let beyond = missing - usual * to_come;
            (beyond > 0.0).then_some((*series, to_come, beyond))
        });
        let wanted: Vec<(u32, f64, f64)> = wanted.collect();
        let beyond: f64 = wanted.iter().map(|(_, _, beyond)| beyond).sum();
        let part = if is_late {
            1.0
        } else {
            (self.left_beside(forecast, usual) / beyond).clamp(0.0, 1.0)
        };
        let shares = wanted
            .into_iter()
            .map(|(series, to_come, beyond)| (series, usual + part * beyond / to_come));
        shares.collect()
    }

    /// Requests that the limit leaves beside a canary of a share.
    fn left_beside(&self, forecast: &Forecast, share: f64) -> f64 {
        let until_switch = forecast.left.saturating_sub(forecast.switch);
        let canary = share * forecast.rate * until_switch.as_secs_f64();
        let beside_switch = self.spare(forecast, PLANNED_SPREADS);
        if beside_switch >= 0.0 {
            return beside_switch - canary;
        }
        let allowed = self.share * forecast.at_end() + self.reserve;
        allowed - forecast.exposed - canary - PLANNED_SPREADS * canary.sqrt()
    }
}
