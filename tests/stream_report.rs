//! The report on streams, made from decision logs.

use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::explain::{Cause, LogLine, read, traces};
use magpiemoor::gateway::stream_report::{Continuation, StreamReport, report};
use magpiemoor::schema::HybridTime;

/// Records of a stream, each with its time in milliseconds.
type Lines = Vec<(u64, Record)>;

fn arrived(request: &str) -> Record {
    Record::Arrived {
        request: request.to_owned(),
        tier: None,
        route: "r".to_owned(),
        table: 3,
        fingerprint: String::new(),
        prompt: 5_000,
    }
}

fn sent(request: &str, attempt: u32, endpoint: &str) -> Record {
    Record::Sent {
        request: request.to_owned(),
        attempt,
        endpoint: endpoint.to_owned(),
        service: "s".to_owned(),
        domain: "d".to_owned(),
        is_near: true,
        slots: 8,
        backup: (attempt == 1).then(|| "mirror".to_owned()),
        from_backup: endpoint == "mirror" || endpoint == "snapshot",
        after_event: (attempt > 1).then_some(9),
        reading: 0,
        running: 0,
        left_ms: 20_000,
        tier: None,
        waited_ms: None,
        version: None,
        doubt: None,
    }
}

fn begun(request: &str, after_ms: u64) -> Record {
    Record::Begun {
        request: request.to_owned(),
        endpoint: "e".to_owned(),
        after_ms,
    }
}

fn ended(request: &str, outcome: &'static str, last_event: u64) -> Record {
    Record::Ended {
        request: request.to_owned(),
        attempt: 1,
        endpoint: "e".to_owned(),
        outcome: outcome.into(),
        status: 0,
        after_ms: 5,
        last_event: Some(last_event),
    }
}

fn resumed(request: &str, pause_ms: u64) -> Record {
    Record::Resumed {
        request: request.to_owned(),
        endpoint: "e".to_owned(),
        pause_ms,
    }
}

fn answered(request: &str, after_ms: u64) -> Record {
    Record::Answered {
        request: request.to_owned(),
        after_ms,
        attempts: 1,
    }
}

fn snapshot(request: &str, is_made: bool) -> Record {
    Record::Copied {
        request: request.to_owned(),
        holder: "snapshot".to_owned(),
        is_made,
        after_ms: 60,
        failure: None,
    }
}

fn report_of(streams: Vec<Lines>) -> StreamReport {
    let lines = streams.into_iter().flatten().map(|(at, record)| {
        let line = LogLine {
            at: HybridTime(at << 16),
            r#box: "box-1".to_owned(),
            record,
        };
        serde_json::to_string(&line).unwrap()
    });
    let text = lines.collect::<Vec<_>>().join("\n");
    report(&traces(&read([text.as_str()])))
}

#[test]
fn a_stream_with_one_attempt_gives_the_times_of_its_first_and_later_events() {
    let report = report_of(vec![vec![
        (0, arrived("q")),
        (1, sent("q", 1, "e")),
        (1_200, begun("q", 1_200)),
        (5_200, ended("q", "stream_ended", 101)),
        (5_200, answered("q", 5_200)),
    ]]);
    assert_eq!(report.streams, 1);
    // The prefill of 5,000 tokens takes 1,000 ms; 100 further events arrive within 4,000 ms.
    assert!((report.first_event_over_prompt.p50_ms - 200.0).abs() < 1.0);
    assert!((report.event.p50_ms - 40.0).abs() < 0.5);
    assert_eq!(report.ends[&Cause::Answered], 1);
    assert!(report.disturbed.is_empty());
    assert!(report.text().starts_with("streams: 1"));
}

#[test]
fn pauses_are_grouped_by_the_previous_outcome_and_the_continuation() {
    let from_mirror = vec![
        (0, arrived("q")),
        (1, sent("q", 1, "e")),
        (1_200, begun("q", 1_200)),
        (2_000, ended("q", "closed", 9)),
        (2_001, sent("q", 2, "mirror")),
        (2_040, resumed("q", 60)),
        (5_200, answered("q", 5_200)),
    ];
    let from_prompt = vec![
        (10, arrived("p")),
        (11, sent("p", 1, "e")),
        (1_210, begun("p", 1_200)),
        (2_000, snapshot("p", true)),
        (2_010, ended("p", "misdirected", 9)),
        (2_011, sent("p", 2, "other")),
        (3_500, resumed("p", 1_500)),
        (5_210, answered("p", 5_200)),
    ];
    let report = report_of(vec![from_mirror, from_prompt]);
    let causes: Vec<_> = report
        .pauses
        .iter()
        .map(|c| (c.after.as_str(), c.went_on, c.pauses.count, c.too_long))
        .collect();
    let expected = [
        ("closed", Continuation::FromReplica, 1, 0),
        ("misdirected", Continuation::FromPrompt, 1, 1),
    ];
    assert_eq!(causes, expected);
    assert_eq!(report.anew["misdirected"], 1);
    assert_eq!(report.anew.len(), 1);
    assert_eq!((report.mirrors.made, report.mirrors.used), (2, 1));
    assert_eq!(report.mirrors.served, 1);
    assert_eq!((report.snapshots.made, report.snapshots.used), (1, 0));
    assert_eq!(report.disturbed.len(), 1);
    assert_eq!(report.disturbed[0].request, "p");
    assert_eq!(report.disturbed[0].longest_pause_ms, 1_500);
}

#[test]
fn used_and_failed_snapshots_are_counted() {
    let report = report_of(vec![vec![
        (0, arrived("q")),
        (1, sent("q", 1, "e")),
        (1_200, begun("q", 1_200)),
        (1_300, snapshot("q", false)),
        (1_900, snapshot("q", true)),
        (2_000, ended("q", "stopped", 9)),
        (2_001, sent("q", 2, "snapshot")),
        (2_040, resumed("q", 400)),
    ]]);
    let snapshots = report.snapshots;
    assert_eq!((snapshots.made, snapshots.failed), (1, 1));
    assert_eq!((snapshots.used, snapshots.served), (1, 1));
    assert_eq!(report.ends[&Cause::NoEnd], 1);
    assert_eq!(report.disturbed.len(), 1);
}

#[test]
fn calls_without_a_prompt_are_not_streams() {
    let call = Record::Arrived {
        request: "q".to_owned(),
        tier: None,
        route: "r".to_owned(),
        table: 3,
        fingerprint: String::new(),
        prompt: 0,
    };
    let report = report_of(vec![vec![(0, call), (30, answered("q", 30))]]);
    assert_eq!(report, StreamReport::default());
}
