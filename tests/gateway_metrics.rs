//! Metrics of a gateway: each record of a decision updates its counter or histogram.

use magpiemoor::gateway::dispatch::event::SnapshotFailure;
use magpiemoor::gateway::dispatch::record::{FETCH_BUSY, FETCHED_WHOLE, Record};
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::gateway::shell::faults::{FaultKind, Faults};
use magpiemoor::gateway::shell::metrics::GatewayMetrics;
use magpiemoor::gateway::shell::watcher::StoreRequest;
use rstest::rstest;

fn sent(attempt: u32, from_backup: bool) -> Record {
    Record::Sent {
        request: "r".to_owned(),
        attempt,
        endpoint: "e".to_owned(),
        service: "s".to_owned(),
        domain: "d".to_owned(),
        is_near: true,
        slots: 8,
        backup: None,
        from_backup,
        after_event: None,
        reading: 0,
        running: 0,
        left_ms: 1,
        tier: None,
        waited_ms: None,
        version: None,
        doubt: None,
    }
}

fn copied(is_made: bool) -> Record {
    Record::Copied {
        request: "r".to_owned(),
        holder: "e".to_owned(),
        is_made,
        after_ms: 5,
        failure: (!is_made).then_some(SnapshotFailure::Refused),
    }
}

fn refused(reason: RefusalReason) -> Record {
    Record::Refused {
        request: "r".to_owned(),
        reason,
        after_ms: 50,
        attempts: 1,
        fault: None,
        tier: None,
        waited_ms: None,
    }
}

/// A request of tier 2 that waited for room, which ends it or starts its first attempt.
fn after_a_wait(mut record: Record) -> Record {
    if let Record::Sent {
        tier, waited_ms, ..
    }
    | Record::Refused {
        tier, waited_ms, ..
    } = &mut record
    {
        (*tier, *waited_ms) = (Some(2), Some(1_500));
    }
    record
}

fn resumed() -> Record {
    Record::Resumed {
        request: "r".to_owned(),
        endpoint: "e".to_owned(),
        pause_ms: 300,
    }
}

fn fetched(outcome: &'static str) -> Record {
    Record::TableFetched {
        from: "127.0.0.2:7200".to_owned(),
        after: 3,
        bytes: 1_000,
        after_ms: 300,
        outcome: outcome.into(),
    }
}

fn table_read(is_newer: bool) -> Record {
    Record::TableRead {
        version: 7,
        from: "store".to_owned(),
        bytes: 1_000,
        check_ms: 12,
        age_ms: 300,
        is_newer,
    }
}

#[rstest]
#[case::first(sent(1, false), "sendings_total{kind=\"first\"} 1")]
#[case::from_the_prompt(sent(2, false), "sendings_total{kind=\"anew\"} 1")]
#[case::from_a_replica(sent(2, true), "sendings_total{kind=\"copy\"} 1")]
#[case::snapshot_taken(copied(true), "copies_total{result=\"made\"} 1")]
#[case::snapshot_failed(copied(false), "copies_total{result=\"failed\"} 1")]
#[case::reason_of_a_failed_snapshot(copied(false), "snapshot_failures_total{reason=\"refused\"} 1")]
#[case::refused(
    refused(RefusalReason::NoEndpoint),
    "refusals_total{reason=\"no_endpoint\"} 1"
)]
#[case::time_of_a_refusal(
    refused(RefusalReason::Expired),
    "refusal_seconds_bucket{le=\"0.06\"} 1"
)]
#[case::table(Record::TableInForce { version: 7 }, "table_version 7")]
#[case::fetched(fetched(FETCHED_WHOLE), "table_fetches_total{result=\"whole\"} 1")]
#[case::busy(fetched(FETCH_BUSY), "table_fetches_total{result=\"busy\"} 1")]
#[case::age_of_a_table(table_read(true), "table_age_seconds_bucket{le=\"0.35\"} 1")]
#[case::table_that_is_not_newer(table_read(false), "table_age_seconds_count 0")]
#[case::crash(
    Record::Crashed {
        request: "r".to_owned(),
        fingerprint: "f".to_owned(),
        endpoint: "e".to_owned(),
        beside: 0,
        fell_with_domain: false,
        counted: 1,
    },
    "crashes_total 1"
)]
#[case::quarantined(
    Record::Quarantined { fingerprint: "f".to_owned(), crashes: 3 },
    "quarantined_total 1"
)]
#[case::not_fetched(fetched("timed out"), "table_fetches_total{result=\"failed\"} 1")]
#[case::waited(
    after_a_wait(sent(1, false)),
    "room_waited_seconds_total{tier=\"2\"} 1.5"
)]
#[case::started_after_a_wait(after_a_wait(sent(1, false)), "room_started_total{tier=\"2\"} 1")]
#[case::refused_for_want_of_room(
    after_a_wait(refused(RefusalReason::NoCapacity)),
    "room_refused_total{tier=\"2\"} 1"
)]
#[case::resumed(resumed(), "resume_seconds_bucket{le=\"0.35\"} 1")]
fn each_record_is_counted(#[case] record: Record, #[case] line: &str) {
    let metrics = GatewayMetrics::new();
    metrics.on_record(&record);
    let text = String::from_utf8(metrics.set().text()).unwrap();
    let wanted = format!("magpiemoor_gateway_{line}");
    assert!(text.lines().any(|l| l == wanted), "{wanted} in\n{text}");
}

#[rstest]
#[case("first_event_seconds")]
#[case("pause_seconds")]
#[case("resume_seconds")]
#[case("answer_seconds")]
#[case("store_call_seconds")]
#[case("refusal_seconds")]
#[case("table_fetch_seconds")]
#[case("table_age_seconds")]
fn each_time_has_a_histogram_with_a_help_text(#[case] name: &str) {
    let text = String::from_utf8(GatewayMetrics::new().set().text()).unwrap();
    assert!(text.contains(&format!("# TYPE magpiemoor_gateway_{name} histogram")));
    assert!(text.contains(&format!("# HELP magpiemoor_gateway_{name} ")));
}

#[test]
fn faults_are_counted_by_kind() {
    let metrics = GatewayMetrics::new();
    let faults = Faults::new(metrics.set());
    for kind in FaultKind::ALL {
        faults.report(kind, &"what went wrong");
    }
    faults.report(FaultKind::StoreAnswer, &"again, at once");
    let text = String::from_utf8(metrics.set().text()).unwrap();
    for kind in FaultKind::ALL {
        let count = if kind == FaultKind::StoreAnswer { 2 } else { 1 };
        let line = format!("faults_total{{kind=\"{}\"}} {count}", kind.label());
        assert!(text.contains(&line), "{line} is not in {text}");
    }
}

#[test]
fn store_calls_are_counted_by_kind() {
    let metrics = GatewayMetrics::new();
    metrics
        .store_calls_of(&StoreRequest::List { after: None })
        .inc();
    metrics
        .store_calls_of(&StoreRequest::Watch { revision: 7 })
        .inc();
    let text = String::from_utf8(metrics.set().text()).unwrap();
    for kind in ["list", "watch"] {
        let line = format!("magpiemoor_gateway_store_calls_total{{kind=\"{kind}\"}} 1");
        assert!(text.contains(&line), "{text}");
    }
}
