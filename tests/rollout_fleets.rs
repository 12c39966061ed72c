//! Orders of roll-outs in whole fleets on made-up time, played by the emulator and judged by it.

use magpiemoor_lab::gateway::rollout::score::Break;
use magpiemoor_lab::gateway::rollout::{Case, Decider, Fault, Outcome as Played, Shows, Version};
use rstest::rstest;

fn case(version: Version, shows: Shows, fault: Fault) -> Case {
    Case {
        seed: 7,
        boxes: 12,
        engines: false,
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

#[rstest]
#[case::good(Version::Good)]
#[case::slow(Version::Slow(4.0))]
fn streams_move_with_their_engines(#[case] version: Version) {
    let played = Case {
        engines: true,
        ..case(version, Shows::AtOnce, Fault::None)
    };
    assert_kept(&played.play());
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
    assert!(played.breaks(Break::OverExposed), "{played:?}");
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
