//! What many plays came to.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::Outcome;

/// One line of the report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Plays.
    pub plays: usize,
    /// Different crashing requests in them.
    pub culprits: usize,
    /// Plays with more late arrivals of one of them than are allowed.
    pub over_budget: usize,
    /// The most late arrivals of one.
    pub most_late: usize,
    /// Servers that one of them ended: at the median, at 99 in 100, at the most.
    pub crashes: [usize; 3],
    /// Other callers.
    pub innocent: usize,
    /// Those of them that were refused for a crash.
    pub blamed: usize,
    /// The share of other callers that was served, and without crashing requests.
    pub availability: [f64; 2],
    /// Milliseconds from the third crash until a box knew: at the median and at 99 in 100.
    pub known_ms: [u64; 2],
    /// Bytes a second of a box, and without crashing requests.
    pub bytes_a_second: [f64; 2],
}

/// What many plays came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// By what went wrong beside.
    pub rows: BTreeMap<String, Row>,
    /// Plays that broke a promise.
    pub found: Vec<String>,
}

impl Report {
    /// Sums up plays.
    #[must_use]
    pub fn new(outcomes: &[Outcome]) -> Self {
        let mut groups: BTreeMap<String, Vec<&Outcome>> = BTreeMap::new();
        for outcome in outcomes {
            groups
                .entry(outcome.beside.clone())
                .or_default()
                .push(outcome);
            groups.entry("all".to_owned()).or_default().push(outcome);
        }
        let is_found = |o: &&Outcome| o.is_over_budget() || o.blamed > 0;
        let found = outcomes.iter().filter(is_found);
        let found = found.map(|o| {
            format!(
                "{}: late {}, crashes {:?}, blamed {}",
                o.case, o.late, o.crashes, o.blamed
            )
        });
        Self {
            found: found.collect(),
            rows: groups
                .iter()
                .map(|(name, of)| (name.clone(), row(of)))
                .collect(),
        }
    }

    /// The report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::from(
            "| beside | plays | crashing | over budget | most late | servers lost: median, p99, most | innocent | blamed | served, and without | known ms: median, p99 | bytes/s, and without |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for (name, row) in &self.rows {
            let [median, most_but_one, most] = row.crashes;
            let [served, without] = row.availability;
            let [known, known_late] = row.known_ms;
            let [bytes, bytes_without] = row.bytes_a_second;
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "| {name} | {} | {} | {} | {} | {median}, {most_but_one}, {most} | {} | {} | {served:.4}, {without:.4} | {known}, {known_late} | {bytes:.0}, {bytes_without:.0} |",
                row.plays, row.culprits, row.over_budget, row.most_late, row.innocent, row.blamed,
            );
        }
        for found in &self.found {
            let _ = writeln!(text, "{found}");
        }
        text
    }
}

fn row(outcomes: &[&Outcome]) -> Row {
    let sum = |of: fn(&Outcome) -> usize| outcomes.iter().map(|o| of(o)).sum::<usize>();
    let mean = |of: fn(&Outcome) -> f64| {
        outcomes.iter().map(|o| of(o)).sum::<f64>() / outcomes.len() as f64
    };
    let mut crashes: Vec<usize> = outcomes.iter().flat_map(|o| o.crashes.clone()).collect();
    crashes.retain(|count| *count > 0);
    crashes.sort_unstable();
    let mut known: Vec<u64> = outcomes.iter().flat_map(|o| o.known_ms.clone()).collect();
    known.sort_unstable();
    Row {
        plays: outcomes.len(),
        culprits: crashes.len(),
        over_budget: outcomes.iter().filter(|o| o.is_over_budget()).count(),
        most_late: outcomes.iter().map(|o| o.late).max().unwrap_or_default(),
        crashes: [at(&crashes, 0.5), at(&crashes, 0.99), at(&crashes, 1.0)],
        innocent: sum(|o| o.served + o.lost),
        blamed: sum(|o| o.blamed),
        availability: [mean(Outcome::availability), mean(|o| o.without.0)],
        known_ms: [at(&known, 0.5), at(&known, 0.99)],
        bytes_a_second: [mean(|o| o.bytes_a_second), mean(|o| o.without.1)],
    }
}

/// The value at a share of sorted ones.
fn at<T: Copy + Default>(sorted: &[T], share: f64) -> T {
    let last = sorted.len().saturating_sub(1);
    let place = (last as f64 * share).round() as usize;
    sorted.get(place).copied().unwrap_or_default()
}
