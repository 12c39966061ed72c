//! Estimates how long a request waits for room at an engine, from the rate at which room becomes
//! free.
//!
//! All boxes of the failure domain compete for the same room. The requests that this box started
//! from its queue, and its equal part of all runs that ended at the engines it knows of, are both
//! lower bounds of what it can start: the first is low while few requests wait here, the second
//! while few other boxes have waiting requests. The estimate uses the greater one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::schema::Micros;

/// Time over which events are counted: about two streams, so that the rate does not follow a single
/// burst of ends.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Shortest observation from which a rate is derived.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);
/// Length of the intervals in which events are counted together.
const INTERVAL_MICROS: u64 = 1_000_000;

/// A count of events over the last [`RATE_WINDOW`].
#[derive(Clone, Debug, Default)]
struct RecentCount {
    /// Intervals with events, the latest last: their number since time zero, and the events.
    intervals: VecDeque<(u64, u32)>,
}

impl RecentCount {
    fn add(&mut self, events: u32, now: Micros) {
        let interval = now.0 / INTERVAL_MICROS;
        match self.intervals.back_mut() {
            Some((last, count)) if *last == interval => *count = count.saturating_add(events),
            _ => self.intervals.push_back((interval, events)),
        }
        let first = now.before(RATE_WINDOW).0 / INTERVAL_MICROS;
        while self.intervals.front().is_some_and(|(at, _)| *at < first) {
            self.intervals.pop_front();
        }
    }

    fn count(&self, now: Micros) -> f64 {
        let first = now.before(RATE_WINDOW).0 / INTERVAL_MICROS;
        let recent = self.intervals.iter().filter(|(at, _)| *at >= first);
        recent.map(|(_, count)| f64::from(*count)).sum()
    }
}

/// The rate at which requests of this box find room at the engines of a service.
#[derive(Clone, Debug, Default)]
pub struct RoomRate {
    observed_since: Option<Micros>,
    freed: RecentCount,
    started: RecentCount,
}

impl RoomRate {
    /// Begins to observe, if it has not begun yet.
    pub fn observe(&mut self, now: Micros) {
        self.observed_since.get_or_insert(now);
    }

    /// Counts runs that ended at engines of the service, whichever box they belonged to.
    pub fn on_freed(&mut self, runs: u32, now: Micros) {
        self.observe(now);
        self.freed.add(runs, now);
    }

    /// Counts a request that this box started from its queue.
    pub fn on_started(&mut self, now: Micros) {
        self.observe(now);
        self.started.add(1, now);
    }

    /// Estimates how long the request waits that has `before` others before it, where `boxes` boxes
    /// compete for the room; `None` if too little was observed. Without any event in the window, one
    /// request is taken to start in it.
    #[must_use]
    pub fn wait(&self, before: usize, boxes: usize, now: Micros) -> Option<Duration> {
        let observed = now.since(self.observed_since?).min(RATE_WINDOW);
        if observed < MIN_OBSERVATION {
            return None;
        }
        let part = self.freed.count(now) / boxes.max(1) as f64;
        let started = self.started.count(now).max(part).max(1.0);
        Some(observed.mul_f64((before + 1) as f64 / started))
    }
}
