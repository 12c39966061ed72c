//! The exposure limit: how many requests a version may get before its order's time is over,
//! whatever is known of it.
//!
//! Some faults no canary shows: those that occur only at endpoints busier than any is now, on a
//! route with few requests, or within the last second. The damage of such faults is bounded by
//! counting. Of all requests that reach the service until the order's time is over, the target may
//! get a share plus a fixed reserve. The switch, when all work goes to the target, counts towards
//! it. So the switch happens within the order's time only if the requests it moves fit into what is
//! left of the limit, and the canary leaves room for it where it can. Where more requests run than
//! a bad version may get, the switch waits until the time is over. The order is late then, which
//! costs a missed duty, while a bad version with all requests would break the limit.
//!
//! The counts are those of the evidence. They lag by the time that a response takes, so they are a
//! lower bound of the requests so far; the requests that a switch moves are bounded from above.
//!
//! Alternatives: trusting a version that answered well at the load of an ordinary endpoint, where
//! one that fails only when busier gets half of all requests; and loading a canary endpoint until
//! its slots are taken, where its callers wait for each other's prompts and its memory is full
//! before that.

use std::collections::BTreeMap;
use std::time::Duration;

use super::canary::MAX_CANARY_FRACTION;
use super::evidence::RequestCounts;

/// Standard deviations by which more requests than expected may come during the switch, when it is
/// planned and when it is taken. The difference keeps the canary from leaving just too little room.
const PLANNED_DEVIATIONS: f64 = 3.0;
const TAKEN_DEVIATIONS: f64 = 2.0;
/// Answers that a canary must be able to get for its share to be lowered. Fewer say too little
/// about a route or about a version that fails rarely.
const MIN_CANARY_ANSWERS: f64 = 40.0;
/// Answers of the target wanted on each route, and the greatest share of a route's requests that a
/// canary gets for it. Without them a version that is bad on a route with few requests goes
/// unnoticed.
const ROUTE_ANSWERS_WANTED: f64 = 24.0;
const MAX_ROUTE_SHARE: f64 = 0.5;
/// Time in which the wanted answers are to come once an order is late.
const LATE_ROUTE_WINDOW: Duration = Duration::from_secs(4);

/// The limit on the requests that a possibly bad version gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Fraction of all requests to the service, from 0 to 1.
    pub share: f64,
    /// Number of requests allowed beyond the share.
    pub reserve: f64,
}

/// The requests of a service since an order and those expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Number of requests since the order.
    pub requests: f64,
    /// Number of requests to the target since the order.
    pub exposed: f64,
    /// Requests per second.
    pub rate: f64,
    /// Time until the order's time is over; zero if it is late.
    pub time_left: Duration,
    /// Duration of the switch.
    pub switch_time: Duration,
    /// Expected run time of a request that moves to the target; zero for calls.
    pub stream_time: Duration,
}

impl Forecast {
    /// Requests expected from the order to the end of its time.
    fn requests_at_end(&self) -> f64 {
        self.requests + self.rate * self.time_left.as_secs_f64()
    }

    /// Requests that the switch sends to the target.
    fn requests_of_switch(&self) -> f64 {
        let switch = self.switch_time.min(self.time_left);
        self.rate * (switch + self.stream_time).as_secs_f64()
    }
}

impl ExposureLimit {
    /// Requests that the target may get in addition to those of the switch, if the switch has
    /// `deviations` standard deviations more requests than expected; negative if the switch doesn't
    /// fit.
    fn spare(&self, forecast: &Forecast, deviations: f64) -> f64 {
        let allowed = self.share * forecast.requests_at_end() + self.reserve;
        let of_switch = forecast.requests_of_switch();
        allowed - forecast.exposed - of_switch - deviations * of_switch.sqrt()
    }

    /// Whether the switch fits into the limit within the order's time.
    #[must_use]
    pub fn covers_switch(&self, forecast: &Forecast) -> bool {
        self.spare(forecast, TAKEN_DEVIATIONS) >= 0.0
    }

    /// The share of requests that a canary gets.
    #[must_use]
    pub fn canary_share(&self, forecast: Option<&Forecast>) -> f64 {
        let ordinary = self.share * MAX_CANARY_FRACTION;
        let Some(forecast) = forecast else {
            return ordinary;
        };
        let spare = self.spare(forecast, PLANNED_DEVIATIONS);
        let until_switch = forecast.time_left.saturating_sub(forecast.switch_time);
        let to_come = forecast.rate * until_switch.as_secs_f64();
        let is_enough = forecast.exposed + spare >= MIN_CANARY_ANSWERS;
        if is_enough && to_come > 0.0 {
            ordinary.min((spare / to_come).max(0.0))
        } else {
            ordinary
        }
    }

    /// The shares of low-traffic routes, by series: those that need more than the ordinary share to
    /// be judged. Within the order's time they are scaled down to the requests that the limit
    /// leaves after the canary and, where it fits, the switch.
    #[must_use]
    pub fn low_traffic_routes(
        &self,
        forecast: &Forecast,
        routes: &BTreeMap<u32, RequestCounts>,
    ) -> BTreeMap<u32, f64> {
        let is_late = forecast.time_left.is_zero();
        let until_switch = if is_late {
            LATE_ROUTE_WINDOW
        } else {
            forecast.time_left.saturating_sub(forecast.switch_time)
        };
        let until_switch = until_switch.as_secs_f64();
        let ordinary = self.canary_share(Some(forecast));
        let wanted = routes.iter().filter_map(|(series, route)| {
            let to_come = route.rate * until_switch;
            let missing = (ROUTE_ANSWERS_WANTED - route.of_target).min(MAX_ROUTE_SHARE * to_come);
            let extra = missing - ordinary * to_come;
            (extra > 0.0).then_some((*series, to_come, extra))
        });
        let wanted: Vec<(u32, f64, f64)> = wanted.collect();
        let extra: f64 = wanted.iter().map(|(_, _, extra)| extra).sum();
        let fraction = if is_late {
            1.0
        } else {
            (self.remaining_after_canary(forecast, ordinary) / extra).clamp(0.0, 1.0)
        };
        let shares = wanted
            .into_iter()
            .map(|(series, to_come, extra)| (series, ordinary + fraction * extra / to_come));
        shares.collect()
    }

    /// Requests that the limit leaves after a canary with `share`.
    fn remaining_after_canary(&self, forecast: &Forecast, share: f64) -> f64 {
        let until_switch = forecast.time_left.saturating_sub(forecast.switch_time);
        let canary = share * forecast.rate * until_switch.as_secs_f64();
        let after_switch = self.spare(forecast, PLANNED_DEVIATIONS);
        if after_switch >= 0.0 {
            return after_switch - canary;
        }
        let allowed = self.share * forecast.requests_at_end() + self.reserve;
        allowed - forecast.exposed - canary - PLANNED_DEVIATIONS * canary.sqrt()
    }
}
