//! Decisions on a roll-out from its evidence: the share of requests that the target gets, and the
//! phase that follows.
//!
//! State: none; [`Rollout`] owns it.

use std::time::Duration;

use super::canary::CanaryShare;
use super::evidence::BaselineTraffic;
use super::exposure::{ExposureLimit, Forecast};
use super::verdict::Verdict;
use super::{Effect, Rollout, RolloutContext};
use crate::schema::{DomainId, Micros, RolloutPhase};

/// How long before the end of its time an order for plain endpoints switches. Within it calls end,
/// all boxes report so, and the store is told. Not longer, as each request to the target until then
/// meets a version that may still prove bad.
const SWITCH_BEFORE_END: Duration = Duration::from_millis(900);
/// The same for model engines: replicas of streams have to be made at the target first.
const SWITCH_ENGINES_BEFORE_END: Duration = Duration::from_secs(2);
/// How long after the order the request rate of its service is known.
const RATE_KNOWN_AFTER: Duration = Duration::from_secs(2);
/// Fraction of the order's time for which a box must have observed the roll-out before it switches.
/// A box that has just started knows little, and after a loss of all boxes none knows more.
const MIN_OBSERVED_FRACTION: f64 = 0.5;

/// How long before the end of an order's time its service switches.
fn switch_before_end(has_engines: bool) -> Duration {
    if has_engines {
        SWITCH_ENGINES_BEFORE_END
    } else {
        SWITCH_BEFORE_END
    }
}

impl Rollout {
    /// Judges the target, computes its share of the requests anew, and enters the phase that
    /// follows.
    pub(super) fn judge(
        &mut self,
        limit: ExposureLimit,
        context: &RolloutContext<'_>,
        now: Micros,
        effects: &mut Vec<Effect>,
    ) {
        let baseline_traffic = if self.leaves_others() {
            BaselineTraffic::Stopped
        } else {
            BaselineTraffic::Ongoing
        };
        let verdict = self.evidence.verdict(context.domain, baseline_traffic, now);
        let forecast = self.forecast(limit, context, now);
        let share = self.choose_shares(limit, forecast.as_ref(), context.domain, now);
        self.canaries
            .choose(share, &self.order, context.fleet, context.domain);
        let fits = forecast.is_some_and(|forecast| limit.covers_switch(&forecast));
        self.enter_next_phase(&verdict, fits, context, now, effects);
    }

    /// Computes the shares of requests that the canary endpoints get.
    fn choose_shares(
        &mut self,
        limit: ExposureLimit,
        forecast: Option<&Forecast>,
        domain: &DomainId,
        now: Micros,
    ) -> CanaryShare {
        let ordinary = limit.canary_share(forecast);
        self.low_traffic_routes.clear();
        let mut of_all = ordinary;
        if let Some(forecast) = forecast {
            let routes = self.evidence.routes(domain, now);
            self.low_traffic_routes = limit.low_traffic_routes(forecast, &routes);
            let extra = self.low_traffic_routes.iter().map(|(series, share)| {
                let of_route = routes.get(series).map_or(0.0, |route| route.rate);
                (share - ordinary) * of_route / forecast.rate.max(f64::MIN_POSITIVE)
            });
            of_all += extra.sum::<f64>();
        }
        CanaryShare { ordinary, of_all }
    }

    /// The requests so far and those expected until the end of the order's time; `None` until the
    /// request rate is known. A box that has observed only a part of the time assumes that the
    /// target got its whole share in the rest.
    fn forecast(
        &self,
        limit: ExposureLimit,
        context: &RolloutContext<'_>,
        now: Micros,
    ) -> Option<Forecast> {
        let elapsed = now.since(self.first_seen);
        if elapsed < RATE_KNOWN_AFTER {
            return None;
        }
        let counts = self.evidence.request_counts(context.domain, now)?;
        let unobserved = self.phase_since.since(self.first_seen).as_secs_f64();
        let assumed = counts.rate * unobserved * limit.canary_share(None);
        Some(Forecast {
            requests: counts.all,
            exposed: counts.of_target + assumed,
            rate: counts.rate,
            time_left: self.order.duration.saturating_sub(elapsed),
            switch_time: switch_before_end(context.has_engines),
            stream_time: context.stream_time,
        })
    }

    /// Enters the phase that the verdict and the time call for. `fits` tells whether the switch
    /// stays within the exposure limit; it need not once the order's time is over.
    fn enter_next_phase(
        &mut self,
        verdict: &Verdict,
        fits: bool,
        context: &RolloutContext<'_>,
        now: Micros,
        effects: &mut Vec<Effect>,
    ) {
        self.is_sound = matches!(verdict, Verdict::Sound { .. });
        if let Verdict::Bad { why } = verdict {
            self.enter(RolloutPhase::Bad, why.clone(), now, effects);
            return;
        }
        let before_end = switch_before_end(context.has_engines);
        let switch_at = self.order.duration.saturating_sub(before_end);
        let observed = now.since(self.phase_since);
        let elapsed = now.since(self.first_seen);
        let is_due = elapsed >= self.order.duration || elapsed >= switch_at && fits;
        let is_observed = observed >= self.order.duration.mul_f64(MIN_OBSERVED_FRACTION);
        let has_target = self.canaries.has_target();
        if let Verdict::Sound { why } = verdict
            && self.phase == RolloutPhase::Canary
            && context.is_watching
            && is_due
            && is_observed
            && has_target
        {
            self.enter(RolloutPhase::Switch, why.clone(), now, effects);
        }
    }
}
