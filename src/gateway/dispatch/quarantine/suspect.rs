//! The record of one request that was running at endpoints when they crashed.

use std::time::Duration;

use super::endings::is_same_ending;
use crate::schema::{CrashReport, EndpointIncarnation, Fingerprint, Micros};

/// How much longer than before the crash a request must run elsewhere to have got past it. A
/// request that causes crashes does so at nearly the same point each time: 34 to 114 ms after its
/// first token.
const PASSED_MARGIN: Duration = Duration::from_secs(1);

/// How far two crashes at the same point of a request may lie apart, in events and in time. They
/// were up to 80 ms apart in practice, and events in flight are lost with the connection.
const SAME_POINT_EVENTS: u64 = 3;
const SAME_POINT_TIME: Duration = Duration::from_millis(100);

/// How much later than another one a request was served if both reports are about different runs.
const SERVED_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// The end of an endpoint incarnation that was running the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The incarnation that ended.
    pub endpoint: EndpointIncarnation,
    /// When it ended.
    pub at: Micros,
    /// The last event that the caller had received, or 0.
    pub last_event: u64,
    /// The time since the first event of the request at this endpoint.
    pub ran: Duration,
    /// Concurrent requests at the endpoint, as far as this box or the reporting one knew.
    pub beside: u32,
    /// Whether the request has since got past that point elsewhere.
    pub is_passed: bool,
    /// Whether other endpoints of the same failure domain ended at the same time.
    pub fell_with_domain: bool,
}

impl Crash {
    /// Builds a crash from a peer's report.
    #[must_use]
    pub fn from_report(report: &CrashReport, now: Micros) -> Self {
        Self {
            endpoint: report.endpoint.clone(),
            at: now.before(Duration::from_millis(report.age_ms.into())),
            last_event: report.last_event,
            ran: Duration::from_millis(report.ran_ms.into()),
            beside: report.beside,
            is_passed: report.is_passed,
            fell_with_domain: report.fell_with_domain,
        }
    }

    /// Builds the report of the crash for peers.
    #[must_use]
    pub fn to_report(&self, request: Fingerprint, now: Micros) -> CrashReport {
        CrashReport {
            request,
            endpoint: self.endpoint.clone(),
            age_ms: now.since(self.at).as_millis() as u32,
            last_event: self.last_event,
            ran_ms: self.ran.as_millis() as u32,
            beside: self.beside,
            is_passed: self.is_passed,
            fell_with_domain: self.fell_with_domain,
        }
    }

    /// Returns whether both describe the same ending of an endpoint ([`super::endings`]).
    fn is_same(&self, other: &Self) -> bool {
        self.endpoint.id == other.endpoint.id && is_same_ending(self.at, other.at)
    }

    /// Merges another report of the same crash; returns whether it added anything.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.last_event = self.last_event.max(other.last_event);
        self.ran = self.ran.max(other.ran);
        self.beside = self.beside.max(other.beside);
        self.is_passed |= other.is_passed;
        self.fell_with_domain |= other.fell_with_domain;
        *self != before
    }

    /// Returns whether both crashes came at the same event of the request.
    #[must_use]
    pub fn is_at_same_event(&self, other: &Self) -> bool {
        self.last_event.abs_diff(other.last_event) <= SAME_POINT_EVENTS
    }

    /// Returns whether both crashes came the same time after the first event of a run. Before that
    /// event there is no such time.
    #[must_use]
    pub fn is_at_same_time(&self, other: &Self) -> bool {
        let has_begun = !self.ran.is_zero() && !other.ran.is_zero();
        has_begun && self.ran.abs_diff(other.ran) <= SAME_POINT_TIME
    }

    /// Returns whether a run that has got this far is past the crash.
    fn is_passed_by(&self, last_event: u64, ran: Duration) -> bool {
        last_event > self.last_event && ran > self.ran + PASSED_MARGIN
    }
}

/// A request that was running at endpoints when they crashed, or that was served in spite of that.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// The crashes since the request was last served.
    pub crashes: Vec<Crash>,
    /// When the request was last served.
    pub served: Option<Micros>,
    /// Since when the request is quarantined.
    pub quarantined: Option<Micros>,
    /// When this record last changed.
    pub changed: Micros,
    /// Whether this box recorded the last of the crashes.
    pub is_recorded_here: bool,
}

impl Suspect {
    /// Records a crash; `is_own` tells whether this box observed it. Returns whether it adds
    /// anything.
    pub fn on_crash(&mut self, crash: Crash, is_own: bool) -> bool {
        if self.served.is_some_and(|served| crash.at <= served) {
            return false;
        }
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.is_same(&crash)) {
            return known.merge(&crash);
        }
        self.is_recorded_here = is_own;
        self.crashes.push(crash);
        true
    }

    /// Records that the request was served; returns whether that is new.
    pub fn on_served(&mut self, at: Micros) -> bool {
        if self
            .served
            .is_some_and(|served| at <= served.after(SERVED_AGAIN_AFTER))
        {
            return false;
        }
        self.served = Some(at);
        self.crashes.retain(|crash| crash.at > at);
        self.quarantined = None;
        true
    }

    /// Records how far the request has got at another endpoint; returns whether it got past a
    /// crash.
    pub fn on_progress(&mut self, last_event: u64, ran: Duration) -> bool {
        let mut has_passed = false;
        for crash in self.crashes.iter_mut().filter(|crash| !crash.is_passed) {
            crash.is_passed = crash.is_passed_by(last_event, ran);
            has_passed |= crash.is_passed;
        }
        has_passed
    }

    /// Returns the crashes that the request has not got past.
    pub fn unpassed(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_passed)
    }

    /// Returns whether the request is still suspected of the ending that a crash is about.
    pub fn is_suspected_of(&self, crash: &Crash) -> bool {
        self.unpassed().any(|own| own.is_same(crash))
    }

    /// Returns when the request was last suspected, quarantined or served.
    pub fn last(&self) -> Micros {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        let others = [self.served, self.quarantined];
        let all = crashes.chain(others.into_iter().flatten());
        all.max().unwrap_or_default()
    }
}
