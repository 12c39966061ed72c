//! Servers that set a request rate limit, in whole fleets on a simulated clock.
//!
//! Guards against boxes that ignore a limit: two of three servers set limits of 3 and 1.9 requests a second and still
//! got 7 and 3 a second, while the third server had capacity. The 55 calls that the two got in the six seconds after
//! they set a limit were all first attempts, sent as before.

use magpiemoor::gateway::dispatch::fleet::directives::limits::RequestRate;
use magpiemoor_lab::gateway::limits::{AffectedServers, Asks, Case, ConcurrentFault, LimitCourse};
use rstest::rstest;

fn case(limit: &str, affected: AffectedServers, course: LimitCourse) -> Case {
    let limit: RequestRate = limit.parse().unwrap();
    Case {
        seed: 11,
        boxes: 7,
        domains: 3,
        calls: 3.5,
        limit: Some(limit),
        asks: Asks::Limit,
        affected,
        course,
        beside: ConcurrentFault::Nothing,
    }
}

#[rstest]
#[case::one("1.9", AffectedServers::One, LimitCourse::Steady)]
#[case::two_of_three("3", AffectedServers::Domain, LimitCourse::Steady)]
#[case::all("1.9", AffectedServers::All, LimitCourse::Steady)]
#[case::that_rises("0.4", AffectedServers::One, LimitCourse::Rises)]
#[case::that_falls("10", AffectedServers::One, LimitCourse::Falls)]
#[case::that_ends("1.9", AffectedServers::One, LimitCourse::Ends)]
#[case::that_comes_and_goes("1.9", AffectedServers::One, LimitCourse::Flickers)]
#[case::of_nothing("0", AffectedServers::One, LimitCourse::Steady)]
#[case::that_starts_again("1.9", AffectedServers::One, LimitCourse::Restarts)]
fn an_overloaded_server_gets_no_more_than_its_limit_allows(
    #[case] limit: &str,
    #[case] affected: AffectedServers,
    #[case] course: LimitCourse,
) {
    let result = case(limit, affected, course).run();
    assert!(!result.is_over(), "{result:?}");
}

/// Fleets of other sizes, with network partitions, store outages, and boxes that are killed or paused.
#[rstest]
#[case::alone(7, ConcurrentFault::Nothing)]
#[case::cut(30, ConcurrentFault::DomainCut)]
#[case::store_out(30, ConcurrentFault::StoreOut)]
#[case::boxes_killed(30, ConcurrentFault::BoxesKilled)]
#[case::all_boxes_killed(7, ConcurrentFault::AllBoxesKilled)]
#[case::boxes_frozen(30, ConcurrentFault::BoxesFrozen)]
#[case::burst(30, ConcurrentFault::Burst)]
fn a_limit_holds_during_other_faults(#[case] boxes: usize, #[case] beside: ConcurrentFault) {
    for seed in 1..=3 {
        let case = Case {
            beside,
            ..Case::draw(seed, boxes)
        };
        let result = case.run();
        assert!(!result.is_over(), "{result:?}");
    }
}

/// Requests above the limit of an overloaded server are served by other servers.
#[rstest]
#[case::one(AffectedServers::One)]
#[case::those_of_a_domain(AffectedServers::Domain)]
fn callers_lose_nothing_while_other_servers_have_capacity(#[case] affected: AffectedServers) {
    let result = case("1.9", affected, LimitCourse::Steady).run();
    assert_eq!(result.callers.lost, 0, "{result:?}");
    assert!(result.callers.in_time() > 0.999, "{result:?}");
    assert!(result.used > 0.5, "{result:?}");
}

/// A limit far above the request rate costs callers nothing.
#[test]
fn a_limit_above_the_demand_costs_callers_nothing() {
    let ample = Case {
        calls: 1.0,
        ..case("30", AffectedServers::All, LimitCourse::Steady)
    };
    let result = ample.run();
    assert_eq!(result.callers.lost, 0, "{result:?}");
}

/// When all servers are overloaded, the rates that they allow are used.
#[test]
fn the_rates_that_overloaded_servers_allow_are_used() {
    let result = case("3", AffectedServers::All, LimitCourse::Steady).run();
    assert!(result.used > 0.8, "{result:?}");
}

/// Restarted servers set limits of 0.4 and 1.9 from their first answers on, while other boxes don't know the limits yet. A
/// server got 12 calls of 90 boxes where 7 are allowed: a limit reached other domains only with the gossip.
#[rstest]
#[case::thirty_boxes(24, 30)]
#[case::after_a_cut(1_134, 30)]
#[case::ninety_boxes(24, 90)]
fn a_server_that_is_in_need_from_its_start_gets_no_more_than_its_limit_allows(
    #[case] seed: u64,
    #[case] boxes: usize,
) {
    let result = Case::draw(seed, boxes).run();
    assert!(!result.is_over(), "{result:?}");
}

/// The same run, counted as the rule is worded.
#[test]
fn as_the_rule_is_worded_it_gets_no_more_than_its_limit_allows() {
    let result = Case::draw(24, 30).run();
    assert!(result.most_by_words <= 1.0, "{result:?}");
}

/// Servers that turn all requests away and ask for a rest each time, and servers that say that they are leaving.
#[rstest]
#[case::alone(7, ConcurrentFault::Nothing)]
#[case::cut(30, ConcurrentFault::DomainCut)]
#[case::store_out(30, ConcurrentFault::StoreOut)]
#[case::boxes_killed(30, ConcurrentFault::BoxesKilled)]
#[case::all_boxes_killed(7, ConcurrentFault::AllBoxesKilled)]
#[case::boxes_frozen(30, ConcurrentFault::BoxesFrozen)]
#[case::burst(30, ConcurrentFault::Burst)]
fn rests_and_departures_are_respected_during_other_faults(
    #[case] boxes: usize,
    #[case] beside: ConcurrentFault,
    #[values(Asks::Rest, Asks::Departure)] asks: Asks,
) {
    for seed in 1..=2 {
        let case = Case {
            beside,
            asks,
            ..Case::draw(seed, boxes)
        };
        let result = case.run();
        assert!(!result.is_over(), "{result:?}");
    }
}

/// Callers are served by the other servers.
#[rstest]
#[case::rest(Asks::Rest)]
#[case::departure(Asks::Departure)]
fn callers_lose_nothing_while_one_server_rests_or_leaves(#[case] asks: Asks) {
    let case = Case {
        asks,
        ..case("1.9", AffectedServers::One, LimitCourse::Steady)
    };
    let result = case.run();
    assert_eq!(result.callers.lost, 0, "{result:?}");
    assert!(result.callers.in_time() > 0.999, "{result:?}");
}
