//! How many checks endpoints get, and how they are counted.

use magpiemoor::gateway::check_report;
use magpiemoor::gateway::dispatch::checks::CheckReason;
use magpiemoor::gateway::explain::{LogLine, read};
use magpiemoor::gateway::shell::check_counts::CheckLog;
use magpiemoor::gateway::shell::metrics::GatewayMetrics;
use magpiemoor::schema::{HybridTime, Micros};

/// Guards against checks that are missing in the log or counted twice when records are added up.
#[test]
fn records_of_checks_add_up_to_the_metric() {
    let metrics = GatewayMetrics::new();
    let mut log = CheckLog::default();
    let mut lines = Vec::new();
    for ms in (0..=1_500).step_by(250) {
        metrics.checks.of(CheckReason::PromptSearch).inc();
        let record = log.due_record(&metrics.checks, Micros(ms * 1_000));
        lines.extend(record);
    }
    assert_eq!(lines.len(), 2, "one record a second");
    lines.extend(log.record(&metrics.checks));
    assert_eq!(log.record(&metrics.checks), None);
    let text = lines.into_iter().map(|record| {
        let line = LogLine {
            at: HybridTime(1),
            r#box: "box-1".to_owned(),
            record,
        };
        serde_json::to_string(&line).unwrap() + "\n"
    });
    let report = check_report::report(&read([text.collect::<String>().as_str()]));
    assert_eq!(report.by_reason["prompt_search"], 7);
    assert_eq!(report.checks, 7);
    let text = String::from_utf8(metrics.set().text()).unwrap();
    for reason in CheckReason::ALL {
        let count = u32::from(reason == CheckReason::PromptSearch) * 7;
        let word = reason.word();
        let line =
            format!("magpiemoor_gateway_endpoint_checks_total{{reason=\"{word}\"}} {count}\n");
        assert!(text.contains(&line), "{line} in\n{text}");
    }
}
