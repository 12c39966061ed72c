//! Summary of the checks of endpoints, from the decision logs of the boxes.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::gateway::dispatch::record::Record;
use crate::gateway::explain::TimedLine;

/// The checks of endpoints by reason, and the requests of callers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CheckReport {
    /// Requests that were admitted.
    pub requests: u64,
    /// Checks of all reasons.
    pub checks: u64,
    /// Checks by reason.
    pub by_reason: BTreeMap<String, u64>,
}

/// Creates the report from the lines of all boxes.
#[must_use]
pub fn report(lines: &[TimedLine]) -> CheckReport {
    let mut report = CheckReport::default();
    for timed in lines {
        match &timed.line.record {
            Record::Arrived { .. } => report.requests += 1,
            Record::Checks { counts } => {
                for (reason, count) in counts {
                    report.checks += count;
                    *report.by_reason.entry(reason.clone()).or_default() += count;
                }
            }
            _ => {}
        }
    }
    report
}

impl CheckReport {
    /// Checks for each request; 0 without requests.
    #[must_use]
    pub fn per_request(&self, checks: u64) -> f64 {
        checks as f64 / self.requests.max(1) as f64
    }

    /// Formats the report as text.
    #[must_use]
    pub fn text(&self) -> String {
        let per_request = self.per_request(self.checks);
        let mut text = format!(
            "{} checks of endpoints, {} requests, {per_request:.2} checks per request",
            self.checks, self.requests
        );
        for (reason, count) in &self.by_reason {
            let per_request = self.per_request(*count);
            // Writing to a `String` cannot fail.
            let _ = write!(text, "\n  {reason}: {count}, {per_request:.2} per request");
        }
        text
    }
}
