//! Determines which windows are settled, and which settled windows are sent.
//!
//! A window is settled once all active boxes have reported their counts for it, or when its report
//! would otherwise come late. Its counts are written to the duty's object first. Only windows in
//! the stored object are sent, the oldest first, and each is sent again until the platform has
//! accepted it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::lease::Amended;
use super::usage_counts::{ReportedCounts, Window};
use super::{DutyPolicy, DutyRecord, Now, ReportOutcome, SettledWindow};
use crate::clock::UnixMillis;
use crate::schema::{DomainId, Micros};

/// The part of the time allowed for a report after which a window is settled with the known counts.
/// The rest is left for the store, the platform, and a holder that takes over.
const SETTLE_DEADLINE: f64 = 0.7;
/// How long after its deadline a report may still be of use to the operator.
const USEFUL_AFTER_DEADLINE: Duration = Duration::from_secs(20);
/// Settled windows that the duty's object holds at most while the platform accepts none.
const MAX_SETTLED: usize = 12;
/// Delivered windows that are remembered.
const MAX_DELIVERED: usize = 64;
/// Time between two reports of the same window.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// How long a report may stay unanswered before it is sent again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The reports that this box sends.
#[derive(Debug)]
pub struct Reports {
    policy: DutyPolicy,
    delivered: BTreeSet<Window>,
    in_flight: Option<(Window, Micros)>,
    last: Micros,
}

impl Reports {
    /// Creates the state before any report.
    #[must_use]
    pub fn new(policy: DutyPolicy) -> Self {
        Self {
            policy,
            delivered: BTreeSet::new(),
            in_flight: None,
            last: Micros::ZERO,
        }
    }

    /// Returns the record without delivered windows, and with the windows that can be settled now.
    #[must_use]
    pub fn amend(
        &self,
        record: &DutyRecord,
        reported: &ReportedCounts,
        others: &[DomainId],
        now: Now,
    ) -> Amended {
        let length = self.policy.window;
        let current = Window::at(now.day, length);
        let mut record = record.clone();
        record
            .settled
            .retain(|settled| !self.delivered.contains(&settled.window));
        let before = self.policy.late + USEFUL_AFTER_DEADLINE + length;
        let oldest = now.day.0.saturating_sub(millis(before));
        let first = Window::at(UnixMillis(oldest), length);
        record.next = if record.next == Window(0) {
            current
        } else {
            record.next.max(first)
        };
        let mut is_urgent = false;
        while record.next < current && self.is_settled(record.next, reported, others, now) {
            record.settled.push(SettledWindow {
                window: record.next,
                counts: reported.totals(record.next),
            });
            record.next = record.next.next();
            is_urgent = true;
        }
        let excess = record.settled.len().saturating_sub(MAX_SETTLED);
        record.settled.drain(..excess);
        Amended { record, is_urgent }
    }

    fn is_settled(
        &self,
        window: Window,
        reported: &ReportedCounts,
        others: &[DomainId],
        now: Now,
    ) -> bool {
        let end = window.end(self.policy.window);
        let deadline = end.0 + millis(self.policy.late.mul_f64(SETTLE_DEADLINE));
        reported.is_complete(end, others, now.steady) || now.day.0 >= deadline
    }

    /// Returns the stored window that is to be sent now, if any.
    pub fn next(&mut self, settled: &[SettledWindow], now: Now) -> Option<SettledWindow> {
        let is_waiting = self
            .in_flight
            .is_some_and(|(_, since)| now.steady.since(since) < REPORT_TIMEOUT);
        if is_waiting {
            return None;
        }
        let mut settled = settled.iter();
        let window = settled.find(|settled| !self.delivered.contains(&settled.window))?;
        let is_retry = self.in_flight.is_some_and(|(of, _)| of == window.window);
        if is_retry && now.steady.since(self.last) < REPORT_INTERVAL {
            return None;
        }
        self.last = now.steady;
        self.in_flight = Some((window.window, now.steady));
        Some(window.clone())
    }

    /// Handles the outcome of a report.
    pub fn on_reported(&mut self, window: Window, outcome: ReportOutcome) {
        match outcome {
            ReportOutcome::Taken => {
                self.delivered.insert(window);
                while self.delivered.len() > MAX_DELIVERED {
                    self.delivered.pop_first();
                }
                self.in_flight = None;
            }
            ReportOutcome::Fenced => self.in_flight = None,
            // The report is sent again after [`REPORT_TIMEOUT`].
            ReportOutcome::Unknown => {}
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
