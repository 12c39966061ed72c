//! Roll-out orders in whole fleets on a simulated clock. The emulator runs each case and scores it.

use magpiemoor_lab::gateway::rollout::score::{Break, EXPOSURE_SHARE, EXPOSURE_SLACK};
use magpiemoor_lab::gateway::rollout::{
    Case, Decider, Fault, Outcome as RunOutcome, Shows, Traffic, Version,
};
use rstest::rstest;

fn case(version: Version, shows: Shows, fault: Fault) -> Case {
    Case {
        seed: 7,
        boxes: 12,
        engines: false,
        traffic: Traffic::EVEN,
        version,
        shows,
        fault,
        decider: Decider::Real,
    }
}

fn assert_rules_kept(outcome: &RunOutcome) {
    assert!(!outcome.is_broken(), "{outcome:?}");
    assert!(outcome.is_right && outcome.is_in_time, "{outcome:?}");
}

#[rstest]
#[case::good(Version::Good, Shows::AtOnce, Fault::None)]
#[case::good_with_a_failing_domain(Version::Good, Shows::AtOnce, Fault::Domain)]
#[case::good_with_a_grey_endpoint(Version::Good, Shows::AtOnce, Fault::Grey)]
#[case::good_while_the_store_is_down(Version::Good, Shows::AtOnce, Fault::StoreDown)]
#[case::good_with_its_writer_killed(Version::Good, Shows::AtOnce, Fault::WriterKilled)]
#[case::good_after_a_loss_of_all_boxes(Version::Good, Shows::AtOnce, Fault::AllKilled)]
#[case::failing(Version::Failing(0.6), Shows::AtOnce, Fault::None)]
#[case::failing_later(Version::Failing(0.6), Shows::Later(4.0), Fault::None)]
#[case::failing_on_one_route(Version::Failing(0.6), Shows::OnOneRoute, Fault::None)]
#[case::slow(Version::Slow(4.0), Shows::AtOnce, Fault::None)]
#[case::slow_while_the_store_is_late(Version::Slow(4.0), Shows::AtOnce, Fault::StoreLate)]
#[case::failing_with_its_writer_killed(Version::Failing(0.6), Shows::AtOnce, Fault::WriterKilled)]
fn a_fleet_completes_a_good_version_and_rolls_back_a_bad_one(
    #[case] version: Version,
    #[case] shows: Shows,
    #[case] fault: Fault,
) {
    assert_rules_kept(&case(version, shows, fault).play());
}

#[test]
fn streams_leave_bad_engines() {
    let case = Case {
        engines: true,
        ..case(Version::Slow(4.0), Shows::AtOnce, Fault::None)
    };
    assert_rules_kept(&case.play());
}

/// Where more streams run than the exposure limit allows, a good version gets no more than that limit until
/// the order's duration is over, so it completes late. Where few streams arrive, the canary gets a larger
/// share of them, and the roll-out goes on once there are enough answers.
#[rstest]
#[case::many(Traffic::EVEN, 18.0)]
#[case::few(Traffic::FEW, 20.0)]
fn a_good_version_of_a_streaming_service_completes_late_within_the_exposure_limit(
    #[case] traffic: Traffic,
    #[case] seconds: f64,
) {
    let case = Case {
        engines: true,
        traffic,
        ..case(Version::Good, Shows::AtOnce, Fault::None)
    };
    let outcome = case.play();
    assert!(outcome.is_right && !outcome.is_broken(), "{outcome:?}");
    let allowed = EXPOSURE_SHARE * outcome.requests as f64 + EXPOSURE_SLACK;
    assert!((outcome.exposed as f64) < allowed, "{outcome:?}");
    assert!(
        outcome.verdict_s.is_some_and(|s| s < seconds),
        "{outcome:?}"
    );
}

/// Faults that a canary does not show in time: they occur only at endpoints under a higher load than the
/// canary's, on a route with few requests, or late. The verdict can't bound them, so the exposure limit has
/// to, whatever the evidence says.
#[rstest]
#[case::engines_under_load(true, Shows::UnderLoad(16), Traffic::LOW_TRAFFIC_ROUTE)]
#[case::engines_on_a_low_traffic_route(true, Shows::OnOneRoute, Traffic::LOW_TRAFFIC_ROUTE)]
#[case::engines_late(true, Shows::Later(11.0), Traffic::EVEN)]
#[case::plain_under_load(false, Shows::UnderLoad(40), Traffic::LOW_TRAFFIC_ROUTE)]
#[case::plain_on_a_low_traffic_route(false, Shows::OnOneRoute, Traffic::LOW_TRAFFIC_ROUTE)]
#[case::plain_late(false, Shows::Later(11.0), Traffic::EVEN)]
fn a_version_whose_fault_is_not_detected_stays_within_the_exposure_limit(
    #[case] engines: bool,
    #[case] shows: Shows,
    #[case] traffic: Traffic,
    #[values(0.3, 0.6)] share: f64,
    #[values(Fault::None, Fault::DomainCutAtEnd, Fault::StoreDown)] fault: Fault,
) {
    let case = Case {
        engines,
        traffic,
        ..case(Version::Failing(share), shows, fault)
    };
    let outcome = case.play();
    assert!(!outcome.breaks(Break::OverExposed), "{outcome:?}");
    assert!(!outcome.breaks(Break::AfterRollback), "{outcome:?}");
}

/// Streams that a bad version began got further attempts there after its roll-back, for as long as
/// their boxes tried: nothing compared them with the roll-out while an engine of the version was up.
#[test]
fn a_stream_gets_no_further_attempt_at_a_version_that_was_rolled_back() {
    let case = Case {
        fault: Fault::StoreDown,
        ..Case::draw(29, 12)
    };
    let outcome = case.play();
    assert!(!outcome.breaks(Break::AfterRollback), "{outcome:?}");
}

/// Failures caused by a cut link don't count against a version. The old version stops only once all boxes
/// have left it, including those behind the cut link and a frozen one.
#[rstest]
#[case::early(Fault::DomainCut)]
#[case::while_it_ends(Fault::DomainCutAtEnd)]
#[case::frozen(Fault::BoxFrozenAtEnd)]
fn a_good_version_is_not_rolled_back_for_a_cut_domain_or_a_frozen_box(#[case] fault: Fault) {
    for seed in 1..=16 {
        let case = Case {
            seed,
            ..case(Version::Good, Shows::AtOnce, fault)
        };
        let outcome = case.play();
        assert!(outcome.is_right && !outcome.is_broken(), "{outcome:?}");
    }
}

/// Checks the scoring itself: deciders that are wrong on purpose have to fail it.
#[test]
fn a_decider_that_sends_all_at_once_breaks_the_exposure_limit() {
    let case = Case {
        decider: Decider::AllAtOnce,
        ..case(Version::Failing(0.25), Shows::Later(3.0), Fault::None)
    };
    assert!(case.play().breaks(Break::OverExposed));
}

#[test]
fn a_decider_that_finds_no_version_bad_completes_a_bad_one() {
    let case = Case {
        decider: Decider::NeverBad,
        ..case(Version::Failing(0.6), Shows::AtOnce, Fault::None)
    };
    let outcome = case.play();
    assert!(!outcome.is_right, "{outcome:?}");
    assert!(outcome.breaks(Break::AfterRollback), "{outcome:?}");
}

#[test]
fn a_decider_that_blames_a_domains_fault_on_the_version_rolls_a_good_one_back() {
    let wrong = (1..=8).filter(|seed| {
        let case = Case {
            seed: *seed,
            decider: Decider::BlamesDomain,
            ..case(Version::Good, Shows::AtOnce, Fault::Domain)
        };
        !case.play().is_right
    });
    assert!(wrong.count() > 0);
}
