//! What a box makes of the evidence: how much a version gets, and which phase follows.
//!
//! Owns: nothing; the state is the roll-out's.

use std::time::Duration;

use super::canary::CanaryShare;
use super::evidence::Beside;
use super::exposure::{ExposureLimit, Forecast};
use super::verdict::Verdict;
use super::{Rollout, Step, Surroundings};
use crate::schema::{DomainId, Micros, RolloutPhase};

/// How long before the end of its time an order for plain endpoints switches. Calls end meanwhile, all
/// boxes say so, and the store is told; each request until then goes to a version that may still turn
/// bad.
const SWITCH_BEFORE_END: Duration = Duration::from_millis(900);
/// The same for model engines: replicas of streams have to be made at the target first.
const SWITCH_ENGINES_BEFORE_END: Duration = Duration::from_secs(2);
/// How long after the order the rate of its service's requests is known.
const RATE_KNOWN_AFTER: Duration = Duration::from_secs(2);
/// The part of an order's time for which a box must have looked on before it takes the target for sound:
/// one that has just started knows little, and after a loss of all boxes nobody knows more.
const LEAST_OBSERVED: f64 = 0.5;

/// How long before the end of an order's time its service switches.
fn switch_before_end(has_engines: bool) -> Duration {
    if has_engines {
        SWITCH_ENGINES_BEFORE_END
    } else {
        SWITCH_BEFORE_END
    }
}

impl Rollout {
    /// Judges the target, shares the requests anew, and enters the phase that follows.
    pub(super) fn judge(
        &mut self,
        limit: ExposureLimit,
        around: &Surroundings<'_>,
        now: Micros,
        steps: &mut Vec<Step>,
    ) {
        let beside = if self.leaves_others() {
            Beside::Nothing
        } else {
            Beside::Others
        };
        let verdict = self.evidence.verdict(around.domain, beside, now);
        let forecast = self.forecast(limit, around, now);
        let share = self.share_requests(limit, forecast.as_ref(), around.domain, now);
        self.canaries
            .choose(share, &self.order, around.fleet, around.domain);
        let fits = forecast.is_some_and(|forecast| limit.covers_switch(&forecast));
        self.follow(&verdict, fits, around, now, steps);
    }

    /// Shares the requests anew between the canary and the other versions.
    fn share_requests(
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
            let more = self.low_traffic_routes.iter().map(|(series, share)| {
                let of_route = routes.get(series).map_or(0.0, |route| route.rate);
                (share - ordinary) * of_route / forecast.rate.max(f64::MIN_POSITIVE)
            });
            of_all += more.sum::<f64>();
        }
        CanaryShare { ordinary, of_all }
    }

    /// What is known and foreseen of the requests, once their rate is known. A box that has seen a part
    /// of the time only takes the target to have got its whole share meanwhile.
    fn forecast(
        &self,
        limit: ExposureLimit,
        around: &Surroundings<'_>,
        now: Micros,
    ) -> Option<Forecast> {
        let elapsed = now.since(self.seen_first);
        if elapsed < RATE_KNOWN_AFTER {
            return None;
        }
        let counted = self.evidence.requests(around.domain, now)?;
        let unseen = self.phase_since.since(self.seen_first).as_secs_f64();
        let missed = counted.rate * unseen * limit.canary_share(None);
        Some(Forecast {
            requests: counted.all,
            exposed: counted.of_target + missed,
            rate: counted.rate,
            left: self.order.duration.saturating_sub(elapsed),
            switch: switch_before_end(around.has_engines),
            moved: around.moved,
        })
    }

    /// Enters the phase that the evidence and the time ask for. `fits` tells whether the switch stays
    /// within the limit on exposure; after the order's time it needn't.
    fn follow(
        &mut self,
        verdict: &Verdict,
        fits: bool,
        around: &Surroundings<'_>,
        now: Micros,
        steps: &mut Vec<Step>,
    ) {
        self.is_sound = matches!(verdict, Verdict::Sound { .. });
        if let Verdict::Bad { why } = verdict {
            self.enter(RolloutPhase::Bad, why.clone(), now, steps);
            return;
        }
        let before_end = switch_before_end(around.has_engines);
        let at = self.order.duration.saturating_sub(before_end);
        let observed = now.since(self.phase_since);
        let elapsed = now.since(self.seen_first);
        let is_time = elapsed >= self.order.duration || elapsed >= at && fits;
        let is_observed = observed >= self.order.duration.mul_f64(LEAST_OBSERVED);
        let has_target = self.canaries.has_target();
        if let Verdict::Sound { why } = verdict
            && self.phase == RolloutPhase::Canary
            && around.is_watching
            && is_time
            && is_observed
            && has_target
        {
            self.enter(RolloutPhase::Switch, why.clone(), now, steps);
        }
    }
}
