//! What is counted in a play, and what many plays came to.

use std::fmt;
use std::ops::AddAssign;

use serde::Serialize;

use super::Case;

/// Counts of a play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Callers.
    pub callers: u64,
    /// Callers that got their whole stream.
    pub served: u64,
    /// Callers that got their first event in time, counted from their first attempt.
    pub in_time: u64,
    /// Callers whose request a stopping box handed back as not run.
    pub handed_back: u64,
    /// Those of them that got their whole stream.
    pub handed_back_served: u64,
    /// Callers that this happened to more than once.
    pub handed_back_again: u64,
    /// Streams that a stopping box cut after an event.
    pub cut: u64,
    /// Callers refused for another reason, at least once.
    pub refused: u64,
    /// Attempts that were left without an answer or a refusal when their box exited.
    pub unanswered: u64,
    /// Attempts that a stopping box handed back though it knew of room, and of time for the run.
    pub handed_back_with_room: u64,
    /// Bytes of all messages between boxes.
    pub bytes: u64,
    /// Some attempts of the two faults, in words.
    pub stories: Vec<String>,
}

impl AddAssign<&Self> for Counts {
    fn add_assign(&mut self, other: &Self) {
        self.callers += other.callers;
        self.served += other.served;
        self.in_time += other.in_time;
        self.handed_back += other.handed_back;
        self.handed_back_served += other.handed_back_served;
        self.handed_back_again += other.handed_back_again;
        self.cut += other.cut;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.handed_back_with_room += other.handed_back_with_room;
        self.bytes += other.bytes;
    }
}

impl Counts {
    /// The share of callers that were handed back more than once.
    #[must_use]
    pub fn handed_back_again_share(&self) -> f64 {
        self.handed_back_again as f64 / self.callers.max(1) as f64
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        write!(
            f,
            "{} callers, served {:.4}, in time {:.4}; handed back {} (served {:.4}), again {} ({:.4}); cut {}, refused {}; \
             unanswered {}, handed back with room {}; bytes {}",
            self.callers,
            share(self.served, self.callers),
            share(self.in_time, self.callers),
            self.handed_back,
            share(self.handed_back_served, self.handed_back),
            self.handed_back_again,
            self.handed_back_again_share(),
            self.cut,
            self.refused,
            self.unanswered,
            self.handed_back_with_room,
            self.bytes,
        )
    }
}

/// What a play came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The play.
    pub case: Case,
    /// What was counted.
    pub counts: Counts,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} {:?}",
            self.case, self.counts, self.counts.stories
        )
    }
}

/// What many plays came to.
#[must_use]
pub fn sum<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> Counts {
    let mut all = Counts::default();
    for outcome in outcomes {
        all += &outcome.counts;
    }
    all
}
