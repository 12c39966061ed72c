//! Which windows are settled, and which settled ones are sent.
//!
//! A window is settled once all boxes that are heard have told what began there, or when its report
//! would come late otherwise. Its counts go into the duty's object first; only what stands there is
//! sent, the oldest first, again and again until the platform has taken it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::began::{Ledger, Window};
use super::lease::Amended;
use super::{DutyPolicy, DutyRecord, Now, ReportOutcome, SettledWindow};
use crate::clock::UnixMillis;
use crate::schema::{DomainId, Micros};

/// The part of the time for a report after which a window is settled with what is known: the rest is
/// for the store, the platform, and a holder that takes over.
const LATEST_SETTLED: f64 = 0.7;
/// How much later than its time a report may still be of use to the operator.
const OF_USE_FOR: Duration = Duration::from_secs(20);
/// Windows that the duty's object holds at most, while the platform takes none.
const MOST_SETTLED: usize = 12;
/// Delivered windows that are remembered.
const MOST_DELIVERED: usize = 64;
/// Time between two reports of a window.
const REPORT_AGAIN: Duration = Duration::from_millis(700);
/// How long a report is waited for.
const REPORT_LIMIT: Duration = Duration::from_secs(2);

/// The reports of one box.
#[derive(Debug)]
pub struct Reports {
    policy: DutyPolicy,
    delivered: BTreeSet<Window>,
    under_way: Option<(Window, Micros)>,
    last: Micros,
}

impl Reports {
    /// No reports yet.
    #[must_use]
    pub fn new(policy: DutyPolicy) -> Self {
        Self {
            policy,
            delivered: BTreeSet::new(),
            under_way: None,
            last: Micros::ZERO,
        }
    }

    /// The record without what was delivered, and with the windows that can be settled now.
    #[must_use]
    pub fn amend(
        &self,
        record: &DutyRecord,
        ledger: &Ledger,
        others: &[DomainId],
        now: Now,
    ) -> Amended {
        let length = self.policy.window;
        let current = Window::at(now.day, length);
        let mut record = record.clone();
        record
            .settled
            .retain(|settled| !self.delivered.contains(&settled.window));
        let before = self.policy.late + OF_USE_FOR + length;
        let oldest = now.day.0.saturating_sub(millis(before));
        let first = Window::at(UnixMillis(oldest), length);
        record.next = if record.next == Window(0) {
            current
        } else {
            record.next.max(first)
        };
        let mut is_urgent = false;
        while record.next < current && self.is_settled(record.next, ledger, others, now) {
            record.settled.push(SettledWindow {
                window: record.next,
                counts: ledger.totals(record.next),
            });
            record.next = record.next.next();
            is_urgent = true;
        }
        let too_many = record.settled.len().saturating_sub(MOST_SETTLED);
        record.settled.drain(..too_many);
        Amended { record, is_urgent }
    }

    fn is_settled(&self, window: Window, ledger: &Ledger, others: &[DomainId], now: Now) -> bool {
        let end = window.end(self.policy.window);
        let latest = end.0 + millis(self.policy.late.mul_f64(LATEST_SETTLED));
        ledger.is_whole(end, others, now.steady) || now.day.0 >= latest
    }

    /// The window that is to be sent now, of those in the store.
    pub fn next(&mut self, settled: &[SettledWindow], now: Now) -> Option<SettledWindow> {
        let is_waiting = self
            .under_way
            .is_some_and(|(_, since)| now.steady.since(since) < REPORT_LIMIT);
        if is_waiting {
            return None;
        }
        let mut settled = settled.iter();
        let window = settled.find(|settled| !self.delivered.contains(&settled.window))?;
        let is_again = self.under_way.is_some_and(|(of, _)| of == window.window);
        if is_again && now.steady.since(self.last) < REPORT_AGAIN {
            return None;
        }
        self.last = now.steady;
        self.under_way = Some((window.window, now.steady));
        Some(window.clone())
    }

    /// A report came to its end.
    pub fn on_reported(&mut self, window: Window, outcome: ReportOutcome) {
        match outcome {
            ReportOutcome::Taken => {
                self.delivered.insert(window);
                while self.delivered.len() > MOST_DELIVERED {
                    self.delivered.pop_first();
                }
                self.under_way = None;
            }
            ReportOutcome::Fenced => self.under_way = None,
            // It is sent again once its time is over.
            ReportOutcome::Unknown => {}
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
