//! Traces of requests from decision logs, and the `explain` command that prints them.

use std::process::Command;

use magpiemoor::gateway::dispatch::event::Fault;
use magpiemoor::gateway::dispatch::record::{EndedBy, Record, RequestHolder};
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::gateway::explain::{Cause, LogLine, read, traces};
use magpiemoor::schema::HybridTime;
use rstest::rstest;

fn line(at: u64, box_id: &str, record: Record) -> String {
    let line = LogLine {
        at: HybridTime(at << 16),
        r#box: box_id.to_owned(),
        record,
    };
    serde_json::to_string(&line).unwrap()
}

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

fn ended(request: &str, status: u16) -> Record {
    Record::Ended {
        request: request.to_owned(),
        attempt: 1,
        endpoint: "e".to_owned(),
        outcome: "answered".into(),
        status,
        after_ms: 5,
        last_event: None,
    }
}

fn answered(request: &str) -> Record {
    Record::Answered {
        request: request.to_owned(),
        after_ms: 7,
        attempts: 1,
    }
}

fn refused(request: &str, reason: RefusalReason, fault: Option<Fault>) -> Record {
    Record::Refused {
        request: request.to_owned(),
        reason,
        after_ms: 7,
        attempts: 1,
        fault,
        tier: None,
        waited_ms: None,
    }
}

fn unanswered(request: &str, ended_by: EndedBy) -> Record {
    Record::Unanswered {
        request: request.to_owned(),
        ended_by,
        holder: RequestHolder::Stream,
        after_ms: 9,
        table: Some(3),
        table_in_force: Some(4),
    }
}

fn cause_of(records: Vec<Record>) -> Cause {
    let lines: Vec<String> = (1..)
        .zip(records)
        .map(|(at, record)| line(at, "box-1", record))
        .collect();
    traces(&read([lines.join("\n").as_str()]))[0].cause
}

#[rstest]
#[case::answered(vec![ended("q", 200), answered("q")], Cause::Answered)]
#[case::error(vec![ended("q", 500), answered("q")], Cause::EndpointError)]
#[case::no_end(vec![], Cause::NoEnd)]
#[case::no_endpoint(vec![refused("q", RefusalReason::NoEndpoint, None)], Cause::NoEndpoint)]
#[case::broken(vec![refused("q", RefusalReason::EndpointFailed, Some(Fault::Closed))], Cause::ConnectionLost)]
#[case::unresponsive(vec![refused("q", RefusalReason::EndpointFailed, Some(Fault::Silent))], Cause::EndpointUnresponsive)]
#[case::malformed(vec![refused("q", RefusalReason::EndpointFailed, Some(Fault::Foreign))], Cause::AnswerMalformed)]
#[case::too_late(vec![refused("q", RefusalReason::Expired, None)], Cause::Expired)]
#[case::no_key(vec![refused("q", RefusalReason::UnknownKey, None)], Cause::UnknownKey)]
#[case::without_an_answer(vec![unanswered("q", EndedBy::Exchange)], Cause::Unanswered)]
#[case::cut(vec![refused("q", RefusalReason::Expired, None), unanswered("q", EndedBy::Refusal)], Cause::Expired)]
fn the_cause_follows_from_the_last_decision(#[case] more: Vec<Record>, #[case] cause: Cause) {
    let mut records = vec![arrived("q")];
    records.extend(more);
    assert_eq!(cause_of(records), cause);
}

#[test]
fn logs_of_several_boxes_are_merged_by_time_and_other_lines_are_ignored() {
    let first = format!(
        "noise\n{}\n{{\"at\": 1}}\n",
        line(20, "box-1", answered("q"))
    );
    let second = line(10, "box-2", arrived("q"));
    let traces = traces(&read([first.as_str(), second.as_str()]));
    let boxes: Vec<&str> = traces[0]
        .lines
        .iter()
        .map(|l| l.line.r#box.as_str())
        .collect();
    assert_eq!(boxes, ["box-2", "box-1"]);
}

#[test]
fn a_prefixed_time_takes_precedence_over_the_time_in_the_line() {
    let late = format!("  14.2 box-1 {}", line(1, "box-1", answered("q")));
    let early = format!("  -3.5 box-2 {}", line(9, "box-2", arrived("q")));
    let lines = read([late.as_str(), early.as_str()]);
    assert_eq!(lines[0].line.r#box, "box-2");
    assert!((lines[0].seconds + 3.5).abs() < f64::EPSILON);
}

fn magpiemoor(args: &[&str]) -> (String, Option<i32>) {
    let output = Command::new(env!("CARGO_BIN_EXE_magpiemoor"))
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (String::from_utf8(text).unwrap(), output.status.code())
}

#[test]
fn the_command_prints_a_trace_and_lists_failures_by_cause() {
    let name = format!("magpiemoor-{:016x}.log", rand::random::<u64>());
    let log = std::env::temp_dir().join(name);
    let lines = [
        line(1, "box-1", arrived("good")),
        line(2, "box-1", answered("good")),
        line(3, "box-1", arrived("bad")),
        line(4, "box-1", refused("bad", RefusalReason::NoEndpoint, None)),
    ];
    std::fs::write(&log, lines.join("\n")).unwrap();
    let path = log.to_str().unwrap();
    let (trace, code) = magpiemoor(&["explain", "bad", path]);
    assert_eq!(code, Some(0));
    assert!(
        trace.ends_with(&format!("{}\n", Cause::NoEndpoint.sentence())),
        "{trace}"
    );
    let (failed, _) = magpiemoor(&["explain", "--failed", path]);
    assert!(
        failed.starts_with("1 No endpoint") && !failed.contains("good"),
        "{failed}"
    );
    let (json, _) = magpiemoor(&["explain", "--json", "good", path]);
    assert!(json.contains("\"cause\":\"answered\""), "{json}");
    let (error, code) = magpiemoor(&["explain", "absent", path]);
    assert_eq!(code, Some(2));
    let expected = "no given log mentions request absent; pass the logs of all boxes";
    assert!(error.contains(expected), "{error}");
    std::fs::remove_file(&log).unwrap();
}
