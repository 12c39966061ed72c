//! Orders of roll-outs in whole fleets on made-up time, played by the emulator and judged by it.

use magpiemoor_lab::gateway::rollout::score::{Break, EXPOSURE_SHARE, EXPOSURE_SLACK};
use magpiemoor_lab::gateway::rollout::{
    Case, Decider, Fault, Outcome as Played, Shows, Traffic, Version,
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

fn assert_kept(played: &Played) {
    assert!(!played.is_broken(), "{played:?}");
    assert!(played.is_right && played.is_in_time, "{played:?}");
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
fn a_fleet_moves_to_a_good_version_and_leaves_a_bad_one(
    #[case] version: Version,
    #[case] shows: Shows,
    #[case] fault: Fault,
) {
    assert_kept(&case(version, shows, fault).play());
}

#[test]
fn streams_leave_bad_engines() {
    let played = Case {
        engines: true,
        ..case(Version::Slow(4.0), Shows::AtOnce, Fault::None)
    };
    assert_kept(&played.play());
}

/// Where more streams run than a bad version may get, a good one is late, and gets no more than that
/// until its time is over. Where few streams come it is tried with more of them, and goes on once it has
/// answered enough.
#[rstest]
#[case::many(Traffic::EVEN, 18.0)]
#[case::few(Traffic::FEW, 20.0)]
fn streams_move_after_the_time(#[case] traffic: Traffic, #[case] seconds: f64) {
    let played = Case {
        engines: true,
        traffic,
        ..case(Version::Good, Shows::AtOnce, Fault::None)
    };
    let played = played.play();
    assert!(played.is_right && !played.is_broken(), "{played:?}");
    let allowed = EXPOSURE_SHARE * played.requests as f64 + EXPOSURE_SLACK;
    assert!((played.exposed as f64) < allowed, "{played:?}");
    assert!(played.verdict_s.is_some_and(|s| s < seconds), "{played:?}");
}

/// A fault that no canary shows: only at endpoints busier than any is, or on a route with few requests.
/// Nobody can know of it in time, so what bounds it is how much a version gets, whatever is known of it.
#[rstest]
#[case::engines_under_load(true, Shows::UnderLoad(16), Traffic::LOW_TRAFFIC_ROUTE)]
#[case::engines_on_a_low_traffic_route(true, Shows::OnOneRoute, Traffic::LOW_TRAFFIC_ROUTE)]
#[case::engines_late(true, Shows::Later(11.0), Traffic::EVEN)]
#[case::plain_under_load(false, Shows::UnderLoad(40), Traffic::LOW_TRAFFIC_ROUTE)]
#[case::plain_on_a_low_traffic_route(false, Shows::OnOneRoute, Traffic::LOW_TRAFFIC_ROUTE)]
#[case::plain_late(false, Shows::Later(11.0), Traffic::EVEN)]
fn a_version_whose_fault_nobody_sees_gets_no_more_than_a_bad_one_may(
    #[case] engines: bool,
    #[case] shows: Shows,
    #[case] traffic: Traffic,
    #[values(0.3, 0.6)] share: f64,
    #[values(Fault::None, Fault::DomainCutAtEnd, Fault::StoreDown)] fault: Fault,
) {
    let played = Case {
        engines,
        traffic,
        ..case(Version::Failing(share), shows, fault)
    };
    let played = played.play();
    assert!(!played.breaks(Break::OverExposed), "{played:?}");
    assert!(!played.breaks(Break::AfterRollback), "{played:?}");
}

/// What a cut link does is not held against a version, and the old version stops only once all boxes
/// have left it, those behind the link and a frozen one too.
#[rstest]
#[case::early(Fault::DomainCut)]
#[case::while_it_ends(Fault::DomainCutAtEnd)]
#[case::frozen(Fault::BoxFrozenAtEnd)]
fn a_good_version_is_not_rolled_back_for_a_cut_domain_or_a_frozen_box(#[case] fault: Fault) {
    for seed in 1..=16 {
        let played = Case {
            seed,
            ..case(Version::Good, Shows::AtOnce, fault)
        };
        let played = played.play();
        assert!(played.is_right && !played.is_broken(), "{played:?}");
    }
}

/// The judge is one: deciders that are wrong on purpose fail it where they should.
#[test]
fn a_decider_that_sends_all_at_once_exposes_callers() {
    let played = Case {
        decider: Decider::AllAtOnce,
        ..case(Version::Failing(0.25), Shows::Later(3.0), Fault::None)
    };
    assert!(played.play().breaks(Break::OverExposed));
}

#[test]
fn a_decider_that_takes_nothing_for_bad_completes_what_it_must_not() {
    let played = Case {
        decider: Decider::NeverBad,
        ..case(Version::Failing(0.6), Shows::AtOnce, Fault::None)
    };
    let played = played.play();
    assert!(!played.is_right, "{played:?}");
    assert!(played.breaks(Break::AfterRollback), "{played:?}");
}

#[test]
fn a_decider_that_blames_a_domains_fault_on_the_version_rolls_a_good_one_back() {
    let wrong = (1..=8).filter(|seed| {
        let played = Case {
            seed: *seed,
            decider: Decider::BlamesDomain,
            ..case(Version::Good, Shows::AtOnce, Fault::Domain)
        };
        !played.play().is_right
    });
    assert!(wrong.count() > 0);
}
