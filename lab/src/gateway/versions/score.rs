//! What is counted in a play, and what many plays came to.

use std::fmt;

use serde::Serialize;

use super::Case;

/// Streams of one kind, by whether they got an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Streams {
    /// Those that got one.
    pub went_on: u64,
    /// Those that were refused or broke before.
    pub failed: u64,
}

impl Streams {
    /// The share that got an event; 1 where there are none.
    #[must_use]
    pub fn share(self) -> f64 {
        let all = self.went_on + self.failed;
        if all == 0 {
            1.0
        } else {
            self.went_on as f64 / all as f64
        }
    }

    /// Counts a stream, if it is of this kind, by whether it got an event.
    pub fn count(&mut self, got_event: Option<bool>) {
        match got_event {
            Some(true) => self.went_on += 1,
            Some(false) => self.failed += 1,
            None => {}
        }
    }

    fn add(&mut self, other: Self) {
        self.went_on += other.went_on;
        self.failed += other.failed;
    }
}

/// Counts of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct Counts {
    /// Streams that got an event.
    pub streams: u64,
    /// Streams that hold events of two versions.
    pub joined: u64,
    /// Streams that callers tried to begin at boxes in touch.
    pub begun: Streams,
    /// Streams that callers took up at boxes in touch, while two engines of their version served.
    pub taken_up: Streams,
    /// Bytes of messages about streams, and of all messages between boxes.
    pub stream_bytes: u64,
    /// The same of all messages.
    pub bytes: u64,
    /// Calls to the store with records of streams.
    pub store_calls: u64,
    /// Attempts of those of `taken_up` that were refused since no box knew the version.
    pub unknown: u64,
    /// Attempts of callers.
    pub requests: u64,
    /// Arrivals at engines beyond the first of their request.
    pub repeats: u64,
    /// By how much the worst window exceeds the bound on repeats; negative if none does.
    pub excess: f64,
    /// Arrivals at another instance than they were meant for within 10 s of an outage of a domain.
    pub turned_away: u64,
    /// Attempts of callers in the same time.
    pub requests_after_outage: u64,
    /// Attempts of callers whose box reached an engine that may serve them, and those of them that the
    /// box gave up.
    pub placeable: u64,
    /// The same.
    pub given_up: u64,
    /// Some attempts that were given up.
    pub given_up_stories: Vec<String>,
    /// Checks of engines: identity, successors, and before a send.
    pub checks: u64,
    /// Some streams that were joined, and some that were refused though they could go on, in words.
    pub joined_stories: Vec<String>,
    /// The same.
    pub refused_stories: Vec<String>,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            streams: 0,
            joined: 0,
            begun: Streams::default(),
            taken_up: Streams::default(),
            stream_bytes: 0,
            bytes: 0,
            store_calls: 0,
            unknown: 0,
            requests: 0,
            repeats: 0,
            excess: f64::NEG_INFINITY,
            turned_away: 0,
            requests_after_outage: 0,
            placeable: 0,
            given_up: 0,
            given_up_stories: Vec::new(),
            checks: 0,
            joined_stories: Vec::new(),
            refused_stories: Vec::new(),
        }
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
        let counts = &self.counts;
        write!(
            f,
            "{}: joined {} of {}, taken up {:.3} of {}, begun {:.3} of {}, {} unknown, {} B about streams, {} store calls {:?} {:?}",
            self.case,
            counts.joined,
            counts.streams,
            counts.taken_up.share(),
            counts.taken_up.went_on + counts.taken_up.failed,
            counts.begun.share(),
            counts.begun.went_on + counts.begun.failed,
            counts.unknown,
            counts.stream_bytes,
            counts.store_calls,
            counts.joined_stories,
            counts.refused_stories,
        )
    }
}

/// What many plays came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Plays.
    pub plays: usize,
    /// Streams that got an event.
    pub streams: u64,
    /// Streams that hold events of two versions.
    pub joined: u64,
    /// Streams that callers tried to begin.
    pub begun: Streams,
    /// Streams that callers took up.
    pub taken_up: Streams,
    /// Attempts that were refused since no box knew the version.
    pub unknown: u64,
    /// Bytes of messages about streams.
    pub stream_bytes: u64,
    /// Bytes of all messages between boxes.
    pub bytes: u64,
    /// Calls to the store with records of streams.
    pub store_calls: u64,
}

impl Report {
    /// Adds up plays.
    #[must_use]
    pub fn new<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> Self {
        let mut report = Self::default();
        for Outcome { counts, .. } in outcomes {
            report.plays += 1;
            report.streams += counts.streams;
            report.joined += counts.joined;
            report.begun.add(counts.begun);
            report.taken_up.add(counts.taken_up);
            report.unknown += counts.unknown;
            report.stream_bytes += counts.stream_bytes;
            report.bytes += counts.bytes;
            report.store_calls += counts.store_calls;
        }
        report
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let of_stream = |count: u64| count as f64 / self.streams.max(1) as f64;
        write!(
            f,
            "{} plays: joined {} of {}, taken up {:.4} of {} ({} unknown), begun {:.4} of {}, bytes a stream {:.0} of {:.0}, store calls a stream {:.3}",
            self.plays,
            self.joined,
            self.streams,
            self.taken_up.share(),
            self.taken_up.went_on + self.taken_up.failed,
            self.unknown,
            self.begun.share(),
            self.begun.went_on + self.begun.failed,
            of_stream(self.stream_bytes),
            of_stream(self.bytes),
            of_stream(self.store_calls),
        )
    }
}
