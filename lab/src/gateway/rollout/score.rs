//! What an order came to, by what endpoints and the store saw, and the report over many.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use magpiemoor::schema::Micros;
use serde::Serialize;

use super::{Case, Fault};

/// The users' bound: the share of all requests that a bad version may get.
pub const EXPOSURE_SHARE: f64 = 0.1;
/// And how many beyond that.
pub const EXPOSURE_SLACK: f64 = 50.0;
/// Bad answers of a version after which it must get nothing for long.
const BAD_ANSWERS: usize = 50;
/// How long after the last of them a request may still be sent.
const ROLLBACK: Duration = Duration::from_secs(5);

/// What was counted while an order was played.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// When requests were sent to any version, and whether by a box in touch to the new one.
    pub arrivals: Vec<(Micros, bool)>,
    /// When bad answers of the new version came since the order.
    pub bad_answers: Vec<Micros>,
    /// When the store took the final status, and whether that was `completed`.
    pub ended: Option<(Micros, bool)>,
    /// Requests of boxes in touch that ran at the old version when that stopped.
    pub cut: u32,
    /// Those of boxes that were cut off or frozen then.
    pub cut_out_of_touch: u32,
    /// Requests that got an answer, and those that got none.
    pub served: u32,
    /// Requests that were refused or failed without an answer of an endpoint.
    pub lost: u32,
    /// Writes to the store.
    pub writes: u32,
}

/// A promise that an order broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Break {
    /// A bad version got more requests than it may.
    OverExposed,
    /// A request was sent to it too long after its fiftieth bad answer.
    AfterRollback,
    /// Requests were cut when the old version stopped.
    Cut,
}

/// What an order came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The case, in words.
    pub case: String,
    /// The fault beside.
    pub fault: String,
    /// Whether the version was bad.
    pub is_bad: bool,
    /// Requests to the service until the deadline.
    pub requests: usize,
    /// Those to the new version.
    pub exposed: usize,
    /// The promises that were broken.
    pub broken: Vec<Break>,
    /// Seconds from the order to the final status.
    pub verdict_s: Option<f64>,
    /// Whether the final status was the right one.
    pub is_right: bool,
    /// Whether it was there by the deadline.
    pub is_in_time: bool,
    /// The share of requests without an answer.
    pub lost: f64,
    /// Writes to the store.
    pub writes: u32,
    /// Requests of boxes that were cut off or frozen, cut when the old version stopped.
    pub cut_out_of_touch: u32,
}

impl Outcome {
    /// Judges what was counted.
    #[must_use]
    pub fn new(case: &Case, counts: &Counts, ordered: Micros, deadline: Micros) -> Self {
        let until = counts.arrivals.iter().filter(|(at, _)| *at < deadline);
        let (all, new): (Vec<bool>, Vec<bool>) = until.map(|(_, is_new)| (true, *is_new)).unzip();
        let exposed = new.iter().filter(|is_new| **is_new).count();
        let allowed = EXPOSURE_SHARE * all.len() as f64 + EXPOSURE_SLACK;
        let fiftieth = counts.bad_answers.get(BAD_ANSWERS - 1);
        let after = fiftieth.map(|at| at.after(ROLLBACK));
        let is_after = |at: Micros, is_new: bool| is_new && after.is_some_and(|after| at > after);
        let answered = f64::from(counts.served + counts.lost).max(1.0);
        let mut broken = Vec::new();
        if case.is_bad() && exposed as f64 > allowed {
            broken.push(Break::OverExposed);
        }
        if case.is_bad()
            && counts
                .arrivals
                .iter()
                .any(|(at, is_new)| is_after(*at, *is_new))
        {
            broken.push(Break::AfterRollback);
        }
        if counts.cut > 0 {
            broken.push(Break::Cut);
        }
        Self {
            case: case.to_string(),
            fault: case.fault.to_string(),
            is_bad: case.is_bad(),
            requests: all.len(),
            exposed,
            broken,
            verdict_s: counts.ended.map(|(at, _)| at.since(ordered).as_secs_f64()),
            is_right: counts
                .ended
                .is_some_and(|(_, is_completed)| is_completed != case.is_bad()),
            is_in_time: counts.ended.is_some_and(|(at, _)| at <= deadline),
            lost: f64::from(counts.lost) / answered,
            writes: counts.writes,
            cut_out_of_touch: counts.cut_out_of_touch,
        }
    }

    /// Whether a promise was broken.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        !self.broken.is_empty()
    }

    /// Whether a promise of a kind was broken.
    #[must_use]
    pub fn breaks(&self, kind: Break) -> bool {
        self.broken.contains(&kind)
    }
}

/// One line of the report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Orders.
    pub orders: usize,
    /// Over the bound on exposure.
    pub over_exposed: usize,
    /// With a request too long after the fiftieth bad answer.
    pub after_rollback: usize,
    /// With requests that were cut.
    pub cut: usize,
    /// Requests of boxes that were cut off or frozen, cut when the old version stopped, in all orders.
    pub cut_out_of_touch: u32,
    /// With the right status by the deadline.
    pub right_in_time: usize,
    /// With the wrong status.
    pub wrong: usize,
    /// Without a status by the deadline.
    pub late: usize,
    /// The greatest exposure of its bound, as a share.
    pub most_exposed: f64,
    /// Seconds to the final status, at the median.
    pub verdict_s: f64,
    /// The share of requests without an answer, on average.
    pub lost: f64,
}

/// What many orders came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// By version (good, bad) and fault.
    pub rows: BTreeMap<String, Row>,
    /// The orders that broke a promise, or got the wrong status or none in time.
    pub found: Vec<String>,
}

impl Report {
    /// Sums up outcomes.
    #[must_use]
    pub fn new(outcomes: &[Outcome]) -> Self {
        let mut groups: BTreeMap<String, Vec<&Outcome>> = BTreeMap::new();
        for outcome in outcomes {
            let version = if outcome.is_bad { "bad" } else { "good" };
            let beside = if outcome.fault == Fault::None.to_string() {
                "no fault"
            } else {
                "any fault"
            };
            for group in [
                format!("{version}, {beside}"),
                format!("{version}, fault {}", outcome.fault),
            ] {
                groups.entry(group).or_default().push(outcome);
            }
        }
        let is_found = |o: &&Outcome| o.is_broken() || !o.is_right || !o.is_in_time;
        let found = outcomes.iter().filter(is_found);
        Self {
            rows: groups
                .iter()
                .map(|(name, of)| (name.clone(), row(of)))
                .collect(),
            found: found.map(told).collect(),
        }
    }

    /// The report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::from(
            "| orders | number | over exposed | sent after roll-back | cut | requests cut out of touch | right in time | wrong | late | most exposed of bound | verdict s | no answer |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for (name, row) in &self.rows {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "| {name} | {} | {} | {} | {} | {} | {:.1}% | {} | {} | {:.2} | {:.1} | {:.2}% |",
                row.orders,
                row.over_exposed,
                row.after_rollback,
                row.cut,
                row.cut_out_of_touch,
                100.0 * row.right_in_time as f64 / row.orders as f64,
                row.wrong,
                row.late,
                row.most_exposed,
                row.verdict_s,
                100.0 * row.lost,
            );
        }
        for found in &self.found {
            let _ = writeln!(text, "{found}");
        }
        text
    }
}

fn row(outcomes: &[&Outcome]) -> Row {
    let count = |is: fn(&Outcome) -> bool| outcomes.iter().filter(|o| is(o)).count();
    let exposed = outcomes.iter().map(|o| {
        let allowed = EXPOSURE_SHARE * o.requests as f64 + EXPOSURE_SLACK;
        o.exposed as f64 / allowed
    });
    let mut verdicts: Vec<f64> = outcomes.iter().filter_map(|o| o.verdict_s).collect();
    verdicts.sort_by(f64::total_cmp);
    let lost: f64 = outcomes.iter().map(|o| o.lost).sum();
    Row {
        orders: outcomes.len(),
        over_exposed: count(|o| o.breaks(Break::OverExposed)),
        after_rollback: count(|o| o.breaks(Break::AfterRollback)),
        cut: count(|o| o.breaks(Break::Cut)),
        cut_out_of_touch: outcomes.iter().map(|o| o.cut_out_of_touch).sum(),
        right_in_time: count(|o| o.is_right && o.is_in_time),
        wrong: count(|o| o.verdict_s.is_some() && !o.is_right),
        late: count(|o| !o.is_in_time),
        most_exposed: exposed.fold(0.0, f64::max),
        verdict_s: verdicts
            .get(verdicts.len() / 2)
            .copied()
            .unwrap_or_default(),
        lost: lost / outcomes.len() as f64,
    }
}

fn told(outcome: &Outcome) -> String {
    format!(
        "{}: exposed {} of {}, broken {:?}, cut out of touch {}, verdict {:?} s, right {}",
        outcome.case,
        outcome.exposed,
        outcome.requests,
        outcome.broken,
        outcome.cut_out_of_touch,
        outcome.verdict_s,
        outcome.is_right
    )
}
