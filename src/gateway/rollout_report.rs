//! How roll-outs went, from the decision logs of the boxes: which box entered a phase first and why,
//! how many followed and until when, and who wrote the status.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde::Serialize;

use crate::gateway::dispatch::record::{ROLLOUT_STATUS, Record};
use crate::gateway::explain::TimedLine;

/// A phase of a roll-out, over all boxes.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    /// The service.
    pub service: String,
    /// The version.
    pub target: String,
    /// The phase.
    pub phase: String,
    /// When the first box entered it, in seconds.
    pub first: f64,
    /// That box.
    pub first_box: String,
    /// What it held against the version, or for it.
    pub why: String,
    /// When the last box entered it.
    pub last: f64,
    /// How many boxes did.
    pub boxes: usize,
}

/// A status that was written, or tried.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// When, in seconds.
    pub seconds: f64,
    /// By which box.
    pub r#box: String,
    /// What, and what came of it.
    pub detail: String,
}

/// How roll-outs went.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RolloutReport {
    /// Phases in order of their beginning.
    pub phases: Vec<PhaseReport>,
    /// Statuses that were written.
    pub statuses: Vec<StatusReport>,
}

/// Reads the report from the lines of all boxes, in order of time.
#[must_use]
pub fn report(lines: &[TimedLine]) -> RolloutReport {
    let mut report = RolloutReport::default();
    let mut boxes: BTreeMap<usize, BTreeSet<&str>> = BTreeMap::new();
    for timed in lines {
        match &timed.line.record {
            Record::Rollout {
                service,
                target,
                phase,
                why,
            } => {
                let is_same = |p: &PhaseReport| {
                    p.service == *service && p.target == *target && p.phase == *phase
                };
                let place = report.phases.iter().position(is_same);
                let place = place.unwrap_or_else(|| {
                    report.phases.push(PhaseReport {
                        service: service.clone(),
                        target: target.clone(),
                        phase: phase.clone(),
                        first: timed.seconds,
                        first_box: timed.line.r#box.clone(),
                        why: why.clone(),
                        last: timed.seconds,
                        boxes: 0,
                    });
                    report.phases.len() - 1
                });
                boxes.entry(place).or_default().insert(&timed.line.r#box);
                report.phases[place].last = timed.seconds;
            }
            Record::Process { state, detail } if state == ROLLOUT_STATUS => {
                report.statuses.push(StatusReport {
                    seconds: timed.seconds,
                    r#box: timed.line.r#box.clone(),
                    detail: detail.clone(),
                });
            }
            _ => {}
        }
    }
    for (place, boxes) in boxes {
        report.phases[place].boxes = boxes.len();
    }
    report
}

impl RolloutReport {
    /// The report for a person.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for phase in &self.phases {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{:.3} s  {} to {}: {} at {}, {} boxes until {:.3} s: {}",
                phase.first,
                phase.service,
                phase.target,
                phase.phase,
                phase.first_box,
                phase.boxes,
                phase.last,
                phase.why
            );
        }
        for status in &self.statuses {
            let _ = writeln!(
                text,
                "{:.3} s  {} wrote {}",
                status.seconds, status.r#box, status.detail
            );
        }
        if text.is_empty() {
            text.push_str("no roll-out stands in these logs");
        }
        text.trim_end().to_owned()
    }
}
