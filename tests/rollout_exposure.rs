//! The exposure limit: how many requests a version may get before the order's duration is over, computed from
//! request counts alone.

use std::collections::BTreeMap;
use std::time::Duration;

use magpiemoor::gateway::dispatch::rollout::canary::MAX_CANARY_FRACTION;
use magpiemoor::gateway::dispatch::rollout::evidence::RequestCounts;
use magpiemoor::gateway::dispatch::rollout::exposure::{ExposureLimit, Forecast};
use rstest::rstest;

const LIMIT: ExposureLimit = ExposureLimit {
    share: 0.1,
    reserve: 50.0,
};
/// Series of the route with many requests.
const MANY: u32 = 1;
/// Series of the low-traffic route.
const FEW: u32 = 2;

/// Forecast for an order of 14 s, `elapsed` seconds after its start, for a service with `rate` requests per
/// second. `stream_s` is the expected run time in seconds of a request that moves to the target.
fn forecast(rate: f64, elapsed: f64, exposed: f64, stream_s: f64) -> Forecast {
    Forecast {
        requests: rate * elapsed,
        exposed,
        rate,
        time_left: Duration::from_secs_f64(14.0 - elapsed),
        switch_time: Duration::from_secs(1),
        stream_time: Duration::from_secs_f64(stream_s),
    }
}

/// The switch fits within the limit only where few running requests have to move and the canary had few.
#[rstest]
#[case::calls(254.0, 90.0, 0.0, true)]
#[case::calls_after_a_whole_canary(254.0, 238.0, 0.0, false)]
#[case::few_streams(4.0, 12.0, 5.0, true)]
#[case::many_streams(39.0, 36.0, 6.0, false)]
fn an_early_switch_is_taken_only_within_the_limit(
    #[case] rate: f64,
    #[case] exposed: f64,
    #[case] stream_s: f64,
    #[case] fits: bool,
) {
    let forecast = forecast(rate, 13.0, exposed, stream_s);
    assert_eq!(LIMIT.covers_switch(&forecast), fits);
}

/// The canary's share leaves room for the switch where the switch can fit, and is the usual share otherwise.
#[test]
fn a_canary_leaves_room_for_the_switch() {
    let usual = LIMIT.share * MAX_CANARY_FRACTION;
    let calls = LIMIT.canary_share(Some(&forecast(254.0, 3.0, 20.0, 0.0)));
    assert!(calls > 0.0 && calls < usual / 2.0, "{calls}");
    let streams = LIMIT.canary_share(Some(&forecast(39.0, 3.0, 8.0, 6.0)));
    assert!((streams - usual).abs() < 1e-9, "{streams}");
    assert!((LIMIT.canary_share(None) - usual).abs() < 1e-9);
}

/// The requests of the canary, of low-traffic routes and, where it fits, of the switch stay within the limit.
#[rstest]
fn shares_of_low_traffic_routes_stay_within_the_limit(
    #[values(2.0, 8.0, 40.0, 120.0, 254.0, 1_000.0)] rate: f64,
    #[values(0.01, 0.06, 0.4)] share_of_few: f64,
    #[values(0.0, 5.0)] stream_s: f64,
) {
    let forecast = forecast(rate, 2.0, 0.0, stream_s);
    let route = |part: f64| RequestCounts {
        all: rate * part * 2.0,
        of_target: 0.0,
        rate: rate * part,
    };
    let routes = BTreeMap::from([
        (MANY, route(1.0 - share_of_few)),
        (FEW, route(share_of_few)),
    ]);
    let usual = LIMIT.canary_share(Some(&forecast));
    let shares = LIMIT.low_traffic_routes(&forecast, &routes);
    let to_come = 11.0;
    let expected = routes.iter().map(|(series, route)| {
        let share = shares.get(series).copied().unwrap_or(usual);
        assert!(share <= 0.5 + 1e-9 && share >= usual - 1e-9, "{share}");
        share * route.rate * to_come
    });
    let expected: f64 = expected.sum();
    let allowed = LIMIT.share * rate * 14.0 + LIMIT.reserve;
    assert!(expected <= allowed, "{expected} of {allowed}");
}

#[test]
fn a_low_traffic_route_gets_a_larger_canary_share() {
    let forecast = forecast(39.0, 2.0, 0.0, 6.0);
    let route = |rate: f64| RequestCounts {
        all: rate * 2.0,
        of_target: 0.0,
        rate,
    };
    let routes = BTreeMap::from([(MANY, route(36.8)), (FEW, route(2.2))]);
    let shares = LIMIT.low_traffic_routes(&forecast, &routes);
    assert!(shares[&FEW] > 0.4, "{shares:?}");
    assert!(!shares.contains_key(&MANY), "{shares:?}");
}
