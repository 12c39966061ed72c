//! `magpiemoor explain`: explains one request, or reports on all requests, from the decision logs of
//! the boxes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::Read;

use clap::ArgMatches;
use serde_json::json;

use crate::cli::{CliError, Output};
use crate::gateway::explain::{RequestTrace, read, traces};
use crate::gateway::{check_report, placement_report, rollout_report, stream_report};

/// Runs the `explain` command.
///
/// # Errors
///
/// Fails if a log can't be read or contains nothing about the request.
pub fn run(matches: &ArgMatches) -> Result<Output, CliError> {
    let words: Vec<&String> = matches.get_many("words").into_iter().flatten().collect();
    if matches.get_flag("failed") {
        let texts = read_logs(&words)?;
        return Ok(failed(&read_traces(&texts)));
    }
    if matches.get_flag("streams") {
        let texts = read_logs(&words)?;
        let report = stream_report::report(&read_traces(&texts));
        return Ok(Output::new(report.text(), json!(report)));
    }
    if matches.get_flag("placement") {
        let texts = read_logs(&words)?;
        let lines = read(texts.iter().map(String::as_str));
        let report = placement_report::report(&lines);
        return Ok(Output::new(report.text(), json!(report)));
    }
    if matches.get_flag("rollouts") {
        let texts = read_logs(&words)?;
        let lines = read(texts.iter().map(String::as_str));
        let report = rollout_report::report(&lines);
        return Ok(Output::new(report.text(), json!(report)));
    }
    if matches.get_flag("checks") {
        let texts = read_logs(&words)?;
        let report = check_report::report(&read(texts.iter().map(String::as_str)));
        return Ok(Output::new(report.text(), json!(report)));
    }
    let Some((request, logs)) = words.split_first() else {
        let line =
            "pass the id of a request, or use --failed, --streams, --placement, --rollouts or --checks"
                .to_owned();
        return Err(CliError::Invalid(vec![line]));
    };
    let texts = read_logs(logs)?;
    let trace = read_traces(&texts)
        .into_iter()
        .find(|t| t.request == **request);
    let trace = trace.ok_or_else(|| {
        let line = format!("no given log mentions request {request}; pass the logs of all boxes");
        CliError::Invalid(vec![line])
    })?;
    Ok(Output::new(trace.text(), json!(trace)))
}

fn read_traces(texts: &[String]) -> Vec<RequestTrace> {
    traces(&read(texts.iter().map(String::as_str)))
}

/// Reads the given log files, or standard input if there are none.
fn read_logs(names: &[&String]) -> Result<Vec<String>, CliError> {
    if names.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|e| CliError::File(format!("standard input: {e}; pass UTF-8 text")))?;
        return Ok(vec![text]);
    }
    let texts = names.iter().map(|name| {
        let bytes = std::fs::read(name.as_str())
            .map_err(|e| CliError::File(format!("{name}: {e}; pass the path of a readable log")))?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    });
    texts.collect()
}

/// Lists the failed requests by cause.
fn failed(traces: &[RequestTrace]) -> Output {
    let mut by_cause: BTreeMap<_, Vec<&str>> = BTreeMap::new();
    for trace in traces.iter().filter(|t| t.cause.is_failure()) {
        by_cause
            .entry(trace.cause)
            .or_default()
            .push(&trace.request);
    }
    let mut text = String::new();
    for (cause, requests) in &by_cause {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{} {}", requests.len(), cause.sentence());
        for request in requests {
            let _ = writeln!(text, "    {request}");
        }
    }
    let causes = by_cause.iter().map(|(cause, requests)| {
        json!({ "cause": cause, "sentence": cause.sentence(), "requests": requests })
    });
    let value = json!(causes.collect::<Vec<_>>());
    Output::new(text.trim_end(), value)
}
