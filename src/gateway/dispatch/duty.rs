//! Duties: calls to the platform that one box at a time makes for all.
//!
//! The duty that there is reports usage: how many requests of each organisation began to run in each
//! window of the time of day. [`began`] counts them at each box and gathers the counts, [`lease`] says
//! who holds the duty, [`report`] which windows are settled and sent. [`UsageDuty`] puts these together;
//! [`super::duties`] carries it out.
//!
//! One object of the platform's store is all that lasts: the holder, its fencing token, and the windows
//! whose counts are settled and not delivered yet. It is replaced under the revision that was read, so
//! of two writers one wins, and a write that is applied late changes nothing. A window's counts are in
//! the store before they are sent, so every later holder sends just these.
//!
//! What of a window nobody can know in full (a box was killed with counts that it had not told, a
//! failure domain is cut off for longer than a report may wait): what is known is reported. The other
//! way, to report nothing, is as wrong for all organisations as this is for some.
//!
//! Weighed in docs/design/duties.md.

pub mod began;
pub mod lease;
pub mod report;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::UnixMillis;
use crate::schema::{
    BoxId, DomainId, DutyHolder, Incarnation, Micros, OrganisationId, UsageCountUpdate,
};
use began::{BeganCounts, Ledger, Window};
use lease::{DutyAnswer, Lease, StoreCall};
use report::Reports;

/// Now, by both clocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// The steady clock.
    pub steady: Micros,
    /// The time of day.
    pub day: UnixMillis,
}

/// A process of a box: what holds a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The box.
    pub id: BoxId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// How the duty is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyPolicy {
    /// The length of a window.
    pub window: Duration,
    /// How long after a window's end its report may come.
    pub late: Duration,
    /// How long a holder holds the duty after it last said so in the store.
    pub lease: Duration,
}

/// The counts of a window, as they are reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettledWindow {
    /// The window.
    pub window: Window,
    /// Requests that began, by organisation.
    pub counts: BTreeMap<OrganisationId, u64>,
}

/// What the store's object of the duty holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyRecord {
    /// Who holds the duty, or held it last.
    pub holder: Holder,
    /// The fencing token: a greater one for each holder.
    pub token: u64,
    /// How often the record was written, so that each write changes it.
    pub renewals: u64,
    /// The first window that is not settled.
    pub next: Window,
    /// Windows that are settled and not known to be delivered.
    pub settled: Vec<SettledWindow>,
}

/// What a box has to do for the duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyStep {
    /// Call the store; the answer belongs to the call's number.
    Store(StoreCall),
    /// Report a window.
    Report {
        /// The fencing token.
        token: u64,
        /// The window.
        window: SettledWindow,
    },
}

/// What became of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// It was taken.
    Taken,
    /// A greater token was seen.
    Fenced,
    /// It may have been taken or not.
    Unknown,
}

/// The duty to report usage, as one box takes part in it.
#[derive(Debug)]
pub struct UsageDuty {
    began: BeganCounts,
    ledger: Ledger,
    lease: Lease,
    reports: Reports,
}

impl UsageDuty {
    /// A box that has counted nothing and knows of no holder.
    #[must_use]
    pub fn new(me: Holder, policy: DutyPolicy) -> Self {
        Self {
            began: BeganCounts::new(policy.window),
            ledger: Ledger::default(),
            lease: Lease::new(me, policy.lease),
            reports: Reports::new(policy),
        }
    }

    /// Counts a request that has begun to run.
    pub fn count(&mut self, organisation: &OrganisationId, day: UnixMillis) {
        self.began.count(organisation, day);
    }

    /// What this box tells those of its failure domain that may hold the duty; it is one of them itself.
    pub fn news(&mut self, now: Now) -> UsageCountUpdate {
        let news = self.began.news(self.lease.me(), now.day);
        self.ledger.on_news(&news, now.steady);
        news
    }

    /// What began in the whole failure domain, and where it is told: at the holder, if that is another
    /// box.
    #[must_use]
    pub fn domain_news(
        &self,
        domain: &DomainId,
        now: Now,
    ) -> Option<(SocketAddr, UsageCountUpdate)> {
        let holder = self.lease.holder_elsewhere()?;
        let news = self.ledger.domain_news(self.lease.me(), domain, now);
        Some((holder.address, news))
    }

    /// Who holds the duty, as far as this box knows, to be told.
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

    /// Another box told who holds the duty; one without an address that can be read tells nothing.
    pub fn on_holder(&mut self, told: &DutyHolder) {
        if let Ok(address) = told.address.parse() {
            let holder = Holder {
                id: told.id.clone(),
                incarnation: told.incarnation,
                address,
            };
            self.lease.on_told(told.token, holder);
        }
    }

    /// A box told what began there.
    pub fn on_news(&mut self, news: &UsageCountUpdate, now: Micros) {
        self.ledger.on_news(news, now);
    }

    /// What is to be done now; `may_hold` tells whether this box is one of those that hold the duty,
    /// `others` are the other failure domains with boxes that run.
    pub fn tick(&mut self, may_hold: bool, others: &[DomainId], now: Now) -> Vec<DutyStep> {
        let mut steps = Vec::new();
        if !may_hold {
            self.lease.leave();
            return steps;
        }
        let (reports, ledger) = (&self.reports, &self.ledger);
        let amend = |record: &DutyRecord| reports.amend(record, ledger, others, now);
        steps.extend(self.lease.next(amend, now).map(DutyStep::Store));
        let held = self.lease.held(now);
        let report = held.and_then(|record| {
            let window = self.reports.next(&record.settled, now)?;
            Some((record.token, window))
        });
        steps.extend(report.map(|(token, window)| DutyStep::Report { token, window }));
        steps
    }

    /// The store answered a call, or did not; returns the token if this box has just taken the duty
    /// over.
    pub fn on_store(&mut self, call: u64, answer: DutyAnswer, now: Now) -> Option<u64> {
        self.lease.on_answer(call, answer, now)
    }

    /// A report came to its end.
    pub fn on_reported(&mut self, window: Window, outcome: ReportOutcome, now: Now) {
        if outcome == ReportOutcome::Fenced {
            self.lease.bar(now);
        }
        self.reports.on_reported(window, outcome);
    }
}
