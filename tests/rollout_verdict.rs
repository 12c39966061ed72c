//! The verdict on a version, from its own answers and those of the version before it.

use magpiemoor::gateway::dispatch::rollout::evidence::{FAILED, TimeKind, bucket_of, series_of};
use magpiemoor::gateway::dispatch::rollout::verdict::{Series, Stratum, Verdict, judge};
use magpiemoor::schema::AnswerTimes;
use rstest::rstest;

/// Answer times with these numbers of good answers, failed ones, and slow ones that took three times as long.
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

/// Three failure domains with one endpoint of the target in each.
fn three(baseline: &AnswerTimes, servers: [AnswerTimes; 3]) -> Vec<Stratum> {
    let strata = servers.map(|server| stratum(baseline.clone(), &[server]));
    strata.into()
}

#[test]
fn a_version_that_fails_as_much_as_the_one_before_is_sound() {
    // About one call in seven fails at the endpoints of both versions.
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
fn the_fault_of_one_endpoint_does_not_make_its_version_bad() {
    let baseline = times(200, 2, 0);
    let servers = [times(2, 30, 0), times(20, 0, 0), times(20, 0, 0)];
    let all = [series("r", three(&baseline, servers))];
    assert!(!is_bad(&all));
    assert!(is_sound(&all), "the other two endpoints answer well");
}

#[test]
fn a_failure_domain_where_both_versions_fail_does_not_make_the_target_bad() {
    let failing = stratum(times(40, 60, 0), &[times(8, 12, 0), times(7, 13, 0)]);
    let healthy = || stratum(times(100, 1, 0), &[times(20, 0, 0), times(20, 0, 0)]);
    assert!(!is_bad(&[series("r", vec![failing, healthy(), healthy()])]));
}

#[test]
fn one_bad_route_makes_the_version_bad() {
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
fn a_version_that_turned_bad_is_detected_by_its_newer_answers() {
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
fn too_few_answers_give_no_verdict(#[case] baseline: AnswerTimes, #[case] server: AnswerTimes) {
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
fn answer_counts_are_added_and_subtracted() {
    let mut all = times(3, 1, 2);
    all.add_all(&times(1, 1, 0));
    assert_eq!((all.all(), all.failed), (8, 2));
    let newer = all.since(&times(3, 1, 2));
    assert_eq!((newer.all(), newer.failed), (2, 1));
}

/// On one route each version fails every request, as when a back end that they share is down.
#[test]
fn a_version_that_fails_where_all_fail_is_not_bad() {
    let strata = || three(&times(0, 400, 0), [0, 1, 2].map(|_| times(0, 300, 0)));
    assert!(!is_bad(&[series("down", strata())]));
    let bad = three(&times(400, 0, 0), [0, 1, 2].map(|_| times(30, 30, 0)));
    assert!(is_bad(&[series("down", strata()), series("up", bad)]));
}

/// Peers send counts in 32 bits. Sums of the greatest ones must not overflow.
#[test]
fn the_greatest_counts_do_not_overflow() {
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

/// Answers that take some milliseconds, most of them of the box itself, rolled a good version back.
#[test]
fn a_version_whose_quick_answers_differ_by_milliseconds_is_not_bad() {
    let took = |counts: [(u32, f64); 3]| {
        let mut times = AnswerTimes::default();
        for (count, millis) in counts {
            (0..count).for_each(|_| times.add(bucket_of(millis)));
        }
        times
    };
    let baseline = took([(150, 1.0), (50, 1.6), (0, 4.0)]);
    let server = took([(12, 1.0), (4, 2.5), (8, 4.0)]);
    let all = [series(
        "r",
        three(&baseline, [(); 3].map(|()| server.clone())),
    )];
    assert!(!is_bad(&all), "{:?}", judge(&all, None));
    let slow = took([(12, 1.0), (4, 2.5), (8, 24.0)]);
    let all = [series(
        "r",
        three(&baseline, [(); 3].map(|()| slow.clone())),
    )];
    assert!(is_bad(&all), "{:?}", judge(&all, None));
}
