//! One request under which endpoints ended.

use std::time::Duration;

use crate::schema::{CrashReport, EndpointIncarnation, Fingerprint, Micros};

/// How much longer than before the crash a request must run elsewhere to be past it. A request that
/// crashes its endpoint does so at the same point each time, a little sooner or later: 34 to 114 ms
/// after its first token on the users' days.
const PASSED_BY: Duration = Duration::from_secs(1);

/// How far two crashes at the same point of a request lie apart, in events and in time: those of
/// the users' days 80 ms; events on their way are lost with a connection.
const SAME_EVENT: u64 = 3;
const SAME_RUN: Duration = Duration::from_millis(300);

/// How far two accounts of one time may lie apart: each way between boxes adds to its age.
const SAME_TIME: Duration = Duration::from_secs(1);

/// A life of an endpoint that ended while it ran the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The life.
    pub endpoint: EndpointIncarnation,
    /// When it ended.
    pub at: Micros,
    /// The last event that the caller had got, or 0.
    pub last_event: u64,
    /// The time since the first event there.
    pub ran: Duration,
    /// Requests that ran beside it, as far as was known.
    pub beside: u32,
    /// Whether the request has since got past that point elsewhere.
    pub is_passed: bool,
    /// Whether others of the endpoint's failure domain ended at the same time.
    pub fell_with_domain: bool,
}

impl Crash {
    /// What was told of one.
    #[must_use]
    pub fn told(note: &CrashReport, now: Micros) -> Self {
        Self {
            endpoint: note.endpoint.clone(),
            at: now.before(Duration::from_millis(note.age_ms.into())),
            last_event: note.last_event,
            ran: Duration::from_millis(note.ran_ms.into()),
            beside: note.beside,
            is_passed: note.is_passed,
            fell_with_domain: note.fell_with_domain,
        }
    }

    /// What is told of it.
    #[must_use]
    pub fn note(&self, request: Fingerprint, now: Micros) -> CrashReport {
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

    /// Whether both are accounts of one crash. An endpoint that is back under its id is taken for the
    /// life before until its birth is known, and may end again by then.
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.endpoint == other.endpoint && apart < SAME_TIME
    }

    /// Takes in another account of the same crash; returns whether it says more.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.last_event = self.last_event.max(other.last_event);
        self.ran = self.ran.max(other.ran);
        self.beside = self.beside.max(other.beside);
        self.is_passed |= other.is_passed;
        self.fell_with_domain |= other.fell_with_domain;
        *self != before
    }

    /// Whether both can be of the request's own doing: at the same event, or as long after the first
    /// event there.
    #[must_use]
    pub fn agrees_with(&self, other: &Self) -> bool {
        let is_same_event = self.last_event.abs_diff(other.last_event) <= SAME_EVENT;
        is_same_event || self.ran.abs_diff(other.ran) <= SAME_RUN
    }

    /// Whether a run that has come so far is past it.
    fn is_passed_by(&self, last_event: u64, ran: Duration) -> bool {
        last_event > self.last_event && ran > self.ran + PASSED_BY
    }
}

/// A request under which endpoints ended, or that was served although they did.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// The lives that ended since it was served last.
    pub crashes: Vec<Crash>,
    /// When it was served.
    pub served: Option<Micros>,
    /// Since when it is quarantined.
    pub quarantined: Option<Micros>,
    /// When something of it changed.
    pub changed: Micros,
    /// Whether this box noted the last of its crashes.
    pub is_noted_here: bool,
}

impl Suspect {
    /// Takes in a crash that this box noted, or another one; returns whether that is news.
    pub fn on_crash(&mut self, crash: Crash, is_own: bool) -> bool {
        if self.served.is_some_and(|served| crash.at <= served) {
            return false;
        }
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.is_same(&crash)) {
            return known.merge(&crash);
        }
        self.is_noted_here = is_own;
        self.crashes.push(crash);
        true
    }

    /// Takes in that it was served; returns whether that is news.
    pub fn on_served(&mut self, at: Micros) -> bool {
        if self
            .served
            .is_some_and(|served| at <= served.after(SAME_TIME))
        {
            return false;
        }
        self.served = Some(at);
        self.crashes.retain(|crash| crash.at > at);
        self.quarantined = None;
        true
    }

    /// Takes in how far it has come at another endpoint; returns whether it got past a crash.
    pub fn on_progress(&mut self, last_event: u64, ran: Duration) -> bool {
        let mut has_passed = false;
        for crash in self.crashes.iter_mut().filter(|crash| !crash.is_passed) {
            crash.is_passed = crash.is_passed_by(last_event, ran);
            has_passed |= crash.is_passed;
        }
        has_passed
    }

    /// The crashes that it is not past.
    pub fn open(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_passed)
    }

    /// Whether it is still suspected for the end of a life.
    pub fn is_suspected_of(&self, life: &EndpointIncarnation) -> bool {
        self.open().any(|crash| crash.endpoint == *life)
    }

    /// When it was last suspected or served.
    pub fn last(&self) -> Micros {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        let others = [self.served, self.quarantined];
        let all = crashes.chain(others.into_iter().flatten());
        all.max().unwrap_or_default()
    }
}
