//! What is held of a version by its answers and those beside it.

use magpiemoor::gateway::dispatch::rollout::evidence::{FAILED, TimeKind, bucket_of, series_of};
use magpiemoor::gateway::dispatch::rollout::verdict::{Series, Stratum, Verdict, judge};
use magpiemoor::schema::AnswerTimes;
use rstest::rstest;

/// Answers of a kind: so many fine ones, failed ones, and ones of three times the time.
fn times(fine: u32, failed: u32, slow: u32) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for number in 0..fine {
        times.add(bucket_of(f64::from(24 + number % 12)));
    }
    for _ in 0..failed {
        times.add(FAILED);
    }
    for _ in 0..slow {
        times.add(bucket_of(95.0));
    }
    times
}

fn sum(parts: &[AnswerTimes]) -> AnswerTimes {
    let mut sum = AnswerTimes::default();
    for part in parts {
        sum.add_all(part);
    }
    sum
}

/// A failure domain in which the target has these endpoints.
fn stratum(baseline: AnswerTimes, servers: &[AnswerTimes]) -> Stratum {
    let worst = servers.iter().max_by_key(|times| times.bad(12)).cloned();
    Stratum {
        baseline,
        target: sum(servers),
        worst: worst.unwrap_or_default(),
        endpoints: servers.len() as u32,
    }
}

fn series(route: &str, strata: Vec<Stratum>) -> Series {
    Series {
        name: series_of(route, TimeKind::Call),
        strata,
    }
}

fn is_bad(series: &[Series]) -> bool {
    matches!(judge(series, None), Verdict::Bad { .. })
}

fn is_sound(series: &[Series]) -> bool {
    matches!(judge(series, None), Verdict::Sound { .. })
}

/// Three domains with a target endpoint each.
fn three(baseline: &AnswerTimes, servers: [AnswerTimes; 3]) -> Vec<Stratum> {
    let strata = servers.map(|server| stratum(baseline.clone(), &[server]));
    strata.into()
}

#[test]
fn a_version_that_fails_as_much_as_the_one_before_is_sound() {
    // One call in seven fails at every sound endpoint.
    let baseline = times(120, 20, 0);
    let servers = [times(13, 2, 0), times(12, 3, 0), times(14, 1, 0)];
    assert!(is_sound(&[series("r", three(&baseline, servers))]));
}

#[rstest]
#[case::failing(times(8, 7, 0))]
#[case::slow(times(2, 0, 13))]
fn a_version_of_which_all_endpoints_are_worse_is_bad(#[case] server: AnswerTimes) {
    let baseline = times(120, 20, 0);
    let servers = [server.clone(), server.clone(), server];
    assert!(is_bad(&[series("r", three(&baseline, servers))]));
}

#[test]
fn the_fault_of_one_endpoint_is_not_that_of_its_version() {
    let baseline = times(200, 2, 0);
    let servers = [times(2, 30, 0), times(20, 0, 0), times(20, 0, 0)];
    let all = [series("r", three(&baseline, servers))];
    assert!(!is_bad(&all));
    assert!(is_sound(&all), "the others answer well");
}

#[test]
fn what_strikes_a_failure_domain_strikes_both_versions() {
    let struck = stratum(times(40, 60, 0), &[times(8, 12, 0), times(7, 13, 0)]);
    let spared = || stratum(times(100, 1, 0), &[times(20, 0, 0), times(20, 0, 0)]);
    assert!(!is_bad(&[series("r", vec![struck, spared(), spared()])]));
}

#[test]
fn one_route_is_enough() {
    let baseline = times(150, 1, 0);
    let fine = || times(20, 0, 0);
    let bad = || times(10, 10, 0);
    let all = [
        series("fine", three(&baseline, [fine(), fine(), fine()])),
        series("bad", three(&baseline, [bad(), bad(), bad()])),
    ];
    assert!(is_bad(&all));
}

#[test]
fn a_version_that_turned_bad_is_seen_by_its_newer_answers() {
    let baseline = times(400, 4, 0);
    let servers = || [times(60, 12, 0), times(60, 12, 0), times(60, 12, 0)];
    let all = [series("r", three(&baseline, servers()))];
    let newer = [times(3, 12, 0), times(3, 12, 0), times(3, 12, 0)];
    let newer = [series("r", three(&times(100, 1, 0), newer))];
    assert!(matches!(judge(&all, Some(&newer)), Verdict::Bad { .. }));
}

#[rstest]
#[case::no_answer_of_the_target(times(100, 1, 0), times(0, 0, 0))]
#[case::too_few(times(100, 1, 0), times(3, 0, 0))]
#[case::nothing_to_compare_with(times(5, 0, 0), times(20, 0, 0))]
fn what_has_not_answered_enough_is_not_known(
    #[case] baseline: AnswerTimes,
    #[case] server: AnswerTimes,
) {
    let all = [series("r", vec![stratum(baseline, &[server])])];
    assert_eq!(judge(&all, None), Verdict::Undecided);
}

#[test]
fn a_single_endpoint_has_to_be_worse_by_more() {
    let baseline = times(200, 2, 0);
    let some = [series(
        "r",
        vec![stratum(baseline.clone(), &[times(9, 3, 0)])],
    )];
    assert!(!is_bad(&some));
    let most = [series("r", vec![stratum(baseline, &[times(6, 12, 0)])])];
    assert!(is_bad(&most));
}

#[test]
fn counts_of_another_kind_are_added_and_taken_off() {
    let mut all = times(3, 1, 2);
    all.add_all(&times(1, 1, 0));
    assert_eq!((all.all(), all.failed), (8, 2));
    let newer = all.since(&times(3, 1, 2));
    assert_eq!((newer.all(), newer.failed), (2, 1));
}

/// A route on which each version fails every request, as with a back end of theirs that is down.
#[test]
fn a_version_that_fails_where_all_fail_is_not_bad() {
    let strata = || three(&times(0, 400, 0), [0, 1, 2].map(|_| times(0, 300, 0)));
    assert!(!is_bad(&[series("down", strata())]));
    let bad = three(&times(400, 0, 0), [0, 1, 2].map(|_| times(30, 30, 0)));
    assert!(is_bad(&[series("down", strata()), series("up", bad)]));
}

/// Counts come from peers, in 32 bits.
#[test]
fn counts_as_great_as_can_be_told_are_judged() {
    let greatest = AnswerTimes {
        failed: u32::MAX,
        took: vec![u32::MAX; 31],
    };
    let strata = [0, 1].map(|_| Stratum {
        baseline: greatest.clone(),
        target: greatest.clone(),
        worst: greatest.clone(),
        endpoints: u32::MAX,
    });
    assert!(!is_bad(&[series("a", strata.into())]));
}
