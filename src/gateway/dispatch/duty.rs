//! Duties: calls to the platform that one box at a time makes for all.
//!
//! The only duty reports usage: how many requests of each organisation began to run in each window
//! of the time of day. [`usage_counts`] counts them at each box and aggregates the counts,
//! [`lease`] determines the holder of the duty, and [`report`] which windows are settled and sent.
//! [`UsageDuty`] combines these; [`super::duties`] carries it out.
//!
//! The only persistent state is one object in the platform's store: the holder, its fencing token,
//! and the windows whose counts are settled but not delivered yet. Each write replaces the revision
//! that was read, so one of two concurrent writers wins, and a write that is applied late changes
//! nothing. The counts of a window are stored before they are sent, so every later holder sends the
//! same counts.
//!
//! Some counts may never be known in full: those that a killed box had not published, and those of
//! a failure domain that is cut off for longer than a report may wait. In this case the known
//! counts are reported. Reporting nothing would be as wrong for all organisations as this is for
//! some.
//!
//! docs/design/duties.md compares the alternatives.

pub mod lease;
pub mod report;
pub mod usage_counts;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::UnixMillis;
use crate::schema::{
    BoxId, DomainId, DutyHolder, Incarnation, Micros, OrganisationId, UsageCountUpdate,
};
use lease::{DutyAnswer, Lease, StoreCall};
use report::Reports;
use usage_counts::{LocalCounts, ReportedCounts, Window};

/// The current time by both clocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// The steady clock.
    pub steady: Micros,
    /// The time of day.
    pub day: UnixMillis,
}

/// A process of a box that can hold a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The box.
    pub id: BoxId,
    /// The incarnation of the box.
    pub incarnation: Incarnation,
    /// The address at which peers reach the box.
    pub address: SocketAddr,
}

/// The timing of the duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyPolicy {
    /// The length of a window.
    pub window: Duration,
    /// How long after the end of a window its report may arrive.
    pub late: Duration,
    /// How long a holder keeps the duty after its last write to the store.
    pub lease: Duration,
}

/// The counts of a window, as they are reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettledWindow {
    /// The window.
    pub window: Window,
    /// Requests that began to run, by organisation.
    pub counts: BTreeMap<OrganisationId, u64>,
}

/// The contents of the duty's object in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyRecord {
    /// The current holder of the duty, or the last one.
    pub holder: Holder,
    /// The fencing token, which increases with each holder.
    pub token: u64,
    /// How often the record was written, so that each write changes it.
    pub renewals: u64,
    /// The first window that is not settled.
    pub next: Window,
    /// Windows that are settled and not known to be delivered.
    pub settled: Vec<SettledWindow>,
}

/// A step that a box takes for the duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyStep {
    /// Call the store; the answer is matched by the number of the call.
    Store(StoreCall),
    /// Report a window to the platform.
    Report {
        /// The fencing token.
        token: u64,
        /// The window.
        window: SettledWindow,
    },
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The platform accepted it.
    Taken,
    /// The platform refused it, as it has seen a greater token.
    Fenced,
    /// The platform may have accepted it or not.
    Unknown,
}

/// The duty to report usage, from the view of one box.
#[derive(Debug)]
pub struct UsageDuty {
    local: LocalCounts,
    reported: ReportedCounts,
    lease: Lease,
    reports: Reports,
}

impl UsageDuty {
    /// Creates the state of a box that has counted nothing and knows no holder.
    #[must_use]
    pub fn new(me: Holder, policy: DutyPolicy) -> Self {
        Self {
            local: LocalCounts::new(policy.window),
            reported: ReportedCounts::default(),
            lease: Lease::new(me, policy.lease),
            reports: Reports::new(policy),
        }
    }

    /// Counts a request that has begun to run.
    pub fn count(&mut self, organisation: &OrganisationId, day: UnixMillis) {
        self.local.count(organisation, day);
    }

    /// Returns the counts to publish to the boxes of this failure domain that may hold the duty.
    /// This box may be one of these, so the counts are merged here too.
    pub fn update(&mut self, now: Now) -> UsageCountUpdate {
        let update = self.local.update(self.lease.me(), now.day);
        self.reported.on_update(&update, now.steady);
        update
    }

    /// Returns the counts of the whole failure domain and the address of the holder, if that is
    /// another box.
    #[must_use]
    pub fn domain_update(
        &self,
        domain: &DomainId,
        now: Now,
    ) -> Option<(SocketAddr, UsageCountUpdate)> {
        let holder = self.lease.holder_elsewhere()?;
        let update = self.reported.domain_update(self.lease.me(), domain, now);
        Some((holder.address, update))
    }

    /// Returns the holder of the duty, as far as this box knows, for its state message.
    #[must_use]
    pub fn holder(&self) -> Option<DutyHolder> {
        let (token, holder) = self.lease.known()?;
        Some(DutyHolder {
            token: *token,
            id: holder.id.clone(),
            incarnation: holder.incarnation,
            address: holder.address.to_string(),
        })
    }

    /// Merges a peer's report of the holder; a report whose address can't be parsed is ignored.
    pub fn on_holder(&mut self, reported: &DutyHolder) {
        if let Ok(address) = reported.address.parse() {
            let holder = Holder {
                id: reported.id.clone(),
                incarnation: reported.incarnation,
                address,
            };
            self.lease.learn_holder(reported.token, holder);
        }
    }

    /// Merges the counts of another box.
    pub fn on_update(&mut self, update: &UsageCountUpdate, now: Micros) {
        self.reported.on_update(update, now);
    }

    /// Returns the steps to take now. `may_hold` tells whether this box is one of those that may
    /// hold the duty; `others` are the other failure domains with running boxes.
    pub fn tick(&mut self, may_hold: bool, others: &[DomainId], now: Now) -> Vec<DutyStep> {
        let mut steps = Vec::new();
        if !may_hold {
            self.lease.release();
            return steps;
        }
        let (reports, reported) = (&self.reports, &self.reported);
        let amend = |record: &DutyRecord| reports.amend(record, reported, others, now);
        steps.extend(self.lease.next(amend, now).map(DutyStep::Store));
        let held = self.lease.held(now);
        let report = held.and_then(|record| {
            let window = self.reports.next(&record.settled, now)?;
            Some((record.token, window))
        });
        steps.extend(report.map(|(token, window)| DutyStep::Report { token, window }));
        steps
    }

    /// Handles the result of a store call; returns the token if this box has just taken the duty
    /// over.
    pub fn on_store(&mut self, call: u64, answer: DutyAnswer, now: Now) -> Option<u64> {
        self.lease.on_answer(call, answer, now)
    }

    /// Handles the outcome of a report.
    pub fn on_reported(&mut self, window: Window, outcome: ReportOutcome, now: Now) {
        if outcome == ReportOutcome::Fenced {
            self.lease.on_fenced(now);
        }
        self.reports.on_reported(window, outcome);
    }
}
