//! Summary of roll-outs, from the decision logs of the boxes.
//!
//! For each phase of a roll-out the report names the first box that entered it and its reason, the
//! number of boxes that entered it, and the time of the last one. It also lists the writes of a
//! roll-out's status.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde::Serialize;

use crate::gateway::dispatch::record::{ROLLOUT_STATUS, Record};
use crate::gateway::explain::TimedLine;

/// A phase of a roll-out across all boxes.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    /// Service that is rolled out.
    pub service: String,
    /// Version that is rolled out.
    pub target: String,
    /// Name of the phase in the decision log.
    pub phase: String,
    /// Time at which the first box entered the phase, in seconds of the logs.
    pub first: f64,
    /// Box that entered the phase first.
    pub first_box: String,
    /// Reason for which the first box entered the phase.
    pub why: String,
    /// Time of the last record of the phase, in seconds of the logs.
    pub last: f64,
    /// Number of boxes that entered the phase.
    pub boxes: usize,
}

/// A successful or failed write of a roll-out's status.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// Time in seconds of the logs.
    pub seconds: f64,
    /// Box that wrote the status.
    pub r#box: String,
    /// Status and the result of the write, as recorded.
    pub detail: String,
}

/// Summary of the roll-outs in the logs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RolloutReport {
    /// Phases in order of their first record.
    pub phases: Vec<PhaseReport>,
    /// Writes of a status in order of time.
    pub statuses: Vec<StatusReport>,
}

/// Creates the report from the lines of all boxes, sorted by time.
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
                let index = report.phases.iter().position(is_same);
                let index = index.unwrap_or_else(|| {
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
                boxes.entry(index).or_default().insert(&timed.line.r#box);
                report.phases[index].last = timed.seconds;
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
    for (index, boxes) in boxes {
        report.phases[index].boxes = boxes.len();
    }
    report
}

impl RolloutReport {
    /// Formats the report as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for phase in &self.phases {
            // Writing to a `String` cannot fail.
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
            text.push_str("these logs contain no roll-out");
        }
        text.trim_end().to_owned()
    }
}
