//! Summary of many runs.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::Outcome;
use super::score::Callers;

/// One line of the report.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Number of runs.
    pub plays: usize,
    /// Runs in which a server got more than it asked for.
    pub over: usize,
    /// Runs over a limit by the words of the rule.
    pub over_by_words: usize,
    /// Greatest multiple of the number of requests that a limit allows.
    pub most: f64,
    /// Share of the callers that was served, with and without directives.
    pub served: [f64; 2],
    /// Share that was served in time, with and without directives.
    pub in_time: [f64; 2],
    /// Mean share of the requests that limits allow that arrived.
    pub used: f64,
    /// Bytes per second and box, the same without directives, and the most of one box in a second.
    pub bytes: [f64; 3],
}

/// Summary of many runs.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Rows by concurrent fault.
    pub rows: BTreeMap<String, Row>,
    /// Runs that broke a rule.
    pub found: Vec<String>,
}

impl Report {
    /// Summarises runs.
    #[must_use]
    pub fn new(outcomes: &[Outcome]) -> Self {
        let mut groups: BTreeMap<String, Vec<&Outcome>> = BTreeMap::new();
        for outcome in outcomes {
            let of_beside = groups.entry(outcome.beside.clone()).or_default();
            of_beside.push(outcome);
            groups.entry("all".to_owned()).or_default().push(outcome);
        }
        let found = outcomes.iter().filter(|o| o.is_over());
        let found = found.map(Outcome::to_string);
        let rows = groups.iter().map(|(name, of)| (name.clone(), row(of)));
        Self {
            found: found.collect(),
            rows: rows.collect(),
        }
    }

    /// The report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::from(
            "| beside | plays | over, by the words | most | served, and without | in time, and without | used | bytes/s, without, most of a box |\n|---|---|---|---|---|---|---|---|\n",
        );
        for (name, row) in &self.rows {
            let [served, served_without] = row.served;
            let [in_time, in_time_without] = row.in_time;
            let [bytes, bytes_without, most_bytes] = row.bytes;
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "| {name} | {} | {}, {} | {:.2} | {served:.4}, {served_without:.4} | {in_time:.4}, {in_time_without:.4} | {:.2} | {bytes:.0}, {bytes_without:.0}, {most_bytes:.0} |",
                row.plays, row.over, row.over_by_words, row.most, row.used,
            );
        }
        for found in &self.found {
            let _ = writeln!(text, "{found}");
        }
        text
    }
}

fn row(outcomes: &[&Outcome]) -> Row {
    let mean = |of: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(|o| of(o)).sum::<f64>() / outcomes.len() as f64
    };
    let without = |o: &Outcome, of: fn(&Callers) -> f64| o.without.as_ref().map_or(0.0, of);
    let most = outcomes.iter().map(|o| o.most).fold(0.0, f64::max);
    let most_bytes = outcomes.iter().map(|o| o.most_bytes).max();
    Row {
        plays: outcomes.len(),
        over: outcomes.iter().filter(|o| o.is_over()).count(),
        over_by_words: outcomes.iter().filter(|o| o.most_by_words > 1.0).count(),
        most,
        served: [
            mean(&|o| o.callers.served()),
            mean(&|o| without(o, Callers::served)),
        ],
        in_time: [
            mean(&|o| o.callers.in_time()),
            mean(&|o| without(o, Callers::in_time)),
        ],
        used: mean(&|o| o.used),
        bytes: [
            mean(&|o| o.bytes_a_second),
            mean(&|o| o.bytes_without),
            most_bytes.unwrap_or_default() as f64,
        ],
    }
}
