//! The time line: a bounded ring of events that can be merged over all processes.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::clock::Hybrid;
use crate::schema::HybridTime;

/// One event of a process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// When it happened, comparable over all processes.
    pub at: HybridTime,
    /// The process it happened in.
    pub source: String,
    /// What happened, as a word.
    pub event: String,
    /// The request, box, endpoint or bundle that it is about.
    pub subject: String,
    /// Anything else a reader needs.
    pub detail: String,
}

/// A bounded ring of events.
#[derive(Debug)]
pub struct Timeline {
    source: String,
    capacity: usize,
    clock: Hybrid,
    ring: Mutex<VecDeque<Entry>>,
}

impl Timeline {
    /// Makes an empty time line that keeps the newest `capacity` events.
    #[must_use]
    pub fn new(source: &str, capacity: usize) -> Self {
        Self {
            source: source.to_owned(),
            capacity,
            clock: Hybrid::default(),
            ring: Mutex::new(VecDeque::new()),
        }
    }

    /// Returns the hybrid clock that orders the events.
    pub fn clock(&self) -> &Hybrid {
        &self.clock
    }

    /// Adds an event; the oldest one goes when the ring is full.
    pub fn record(&self, event: &str, subject: &str, detail: &str) {
        let entry = Entry {
            at: self.clock.tick(),
            source: self.source.clone(),
            event: event.to_owned(),
            subject: subject.to_owned(),
            detail: detail.to_owned(),
        };
        let mut ring = self.lock();
        if ring.len() >= self.capacity {
            ring.pop_front();
        }
        ring.push_back(entry);
    }

    /// Returns the events about `subject`, or all of them, the oldest first.
    #[must_use]
    pub fn entries(&self, subject: Option<&str>) -> Vec<Entry> {
        self.lock()
            .iter()
            .filter(|e| subject.is_none_or(|s| e.subject.contains(s)))
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Entry>> {
        self.ring
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Merges the time lines of several processes into one, in order.
#[must_use]
pub fn merge(lines: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut all: Vec<Entry> = lines.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.at, &a.source).cmp(&(b.at, &b.source)));
    all
}
