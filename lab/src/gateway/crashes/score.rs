//! What a play came to, by what servers and callers saw.

use std::collections::BTreeMap;
use std::time::Duration;

use magpiemoor::schema::Micros;
use serde::Serialize;

use super::Case;

/// How long boxes may need after the third crash, by the users' rule, and how many arrivals are
/// allowed after that.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const LATE_ARRIVALS: usize = 3;
/// The crash from which a request is known to be to blame.
const BLAMED_AT: usize = 3;

/// What was counted for one crashing request.
#[derive(Clone, Debug, Default)]
pub struct Culprit {
    /// When servers ended under it.
    pub crashes: Vec<Micros>,
    /// When boxes in touch sent it to servers.
    pub arrivals: Vec<Micros>,
    /// How often callers sent it.
    pub tries: usize,
    /// How long after the third crash each box knew of it.
    pub known: BTreeMap<usize, Duration>,
}

impl Culprit {
    /// When it crashed the third server.
    #[must_use]
    pub fn third(&self) -> Option<Micros> {
        self.crashes.get(BLAMED_AT - 1).copied()
    }

    /// Arrivals that come too late.
    fn late(&self) -> usize {
        let Some(third) = self.third() else {
            return 0;
        };
        let from = third.after(KNOWN_AFTER);
        self.arrivals.iter().filter(|at| **at > from).count()
    }
}

/// What was counted in a play.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// The crashing requests.
    pub culprits: Vec<Culprit>,
    /// Other callers that were served, and those that weren't.
    pub served: usize,
    pub lost: usize,
    /// Those of them that were refused since their request was taken for a crashing one.
    pub blamed: usize,
    /// Bytes of datagrams between boxes.
    pub bytes: u64,
}

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The case, in words.
    pub case: String,
    /// What went wrong beside.
    pub beside: String,
    /// The most arrivals of one crashing request that came too late.
    pub late: usize,
    /// Servers that ended under each crashing request.
    pub crashes: Vec<usize>,
    /// Other callers that were served, and those that weren't.
    pub served: usize,
    /// See above.
    pub lost: usize,
    /// Other callers that were refused for a crash that they did not cause.
    pub blamed: usize,
    /// Milliseconds after the third crash of a request until each box knew of it.
    pub known_ms: Vec<u64>,
    /// Bytes between boxes, of one box in a second.
    pub bytes_a_second: f64,
    /// The share of other callers that was served without crashing requests, and the bytes then; 0
    /// where that was not played.
    pub without: (f64, f64),
}

impl Outcome {
    /// Judges what was counted.
    #[must_use]
    pub fn new(case: &Case, counts: &Counts, played: Duration) -> Self {
        let box_seconds = case.boxes as f64 * played.as_secs_f64();
        let late = counts.culprits.iter().map(Culprit::late);
        Self {
            case: case.to_string(),
            beside: case.beside.to_string(),
            late: late.max().unwrap_or_default(),
            crashes: counts.culprits.iter().map(|c| c.crashes.len()).collect(),
            served: counts.served,
            lost: counts.lost,
            blamed: counts.blamed,
            known_ms: counts
                .culprits
                .iter()
                .flat_map(|c| c.known.values())
                .map(|after| after.as_millis() as u64)
                .collect(),
            bytes_a_second: counts.bytes as f64 / box_seconds,
            without: (0.0, 0.0),
        }
    }

    /// Whether a crashing request came to servers too often and too late.
    #[must_use]
    pub fn is_over_budget(&self) -> bool {
        self.late > LATE_ARRIVALS
    }

    /// The share of other callers that were served.
    #[must_use]
    pub fn availability(&self) -> f64 {
        self.served as f64 / (self.served + self.lost).max(1) as f64
    }
}
