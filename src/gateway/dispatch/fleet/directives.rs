//! What endpoints ask of their callers in their answers, by incarnation.
//!
//! | directive | asks for | of whom | in force |
//! |---|---|---|---|
//! | limit ([`limits`]) | at most so many requests a second | all boxes together | until an answer states another limit or none |
//! | tolerance ([`tolerance`]) | at most so many rejected requests a second | all boxes together | until answers state none |
//! | rest | no request | the box that got the answer | for the time that the answer states |
//! | leaving | no new work | all boxes | until the incarnation ends |
//!
//! Boxes publish limits and departures in answers to them; a rest is for one box alone.
//!
//! An answer to an earlier request may arrive later, so a rest is never shortened and an endpoint
//! that is leaving stays so. A directive is about the process that gave it. It holds while the
//! endpoint's entry is missing from the list or has not come yet, and ends when a process with
//! another start time takes over the endpoint's id.
//!
//! Inputs: the heads of answers to this box, and reports by other boxes of answers to them. State: the
//! directives in force.

pub mod limits;
pub mod tolerance;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::schema::{EndpointId, EndpointIncarnation, LimitReport, Micros};
use limits::{Limits, RequestRate};
use tolerance::{Tolerance, Tolerances};

/// How long the departure of an endpoint that the list doesn't name is remembered: longer than the
/// endpoint takes to end.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);
/// How long a limit or a departure is published after an answer to this box stated it.
const PUBLISHED_FOR: Duration = Duration::from_secs(10);
/// Departures in one message: some 500 bytes.
const MAX_DEPARTURES: usize = 16;
/// Maximum number of reports that are held for endpoints that the list doesn't name yet. The oldest
/// gives way to a new one; it is repeated for [`PUBLISHED_FOR`] in any case.
const MAX_EARLY_REPORTS: usize = 256;

/// The limit that an answer states.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StatedLimit {
    /// The answer states none.
    #[default]
    None,
    /// Requests a second that the endpoint accepts from all boxes together.
    Rate(RequestRate),
    /// The answer states a limit that can't be parsed.
    Unreadable,
}

/// The directives in the head of one answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnswerDirectives {
    /// The limit on requests from all boxes together.
    pub limit: StatedLimit,
    /// Rejections a second that the endpoint bears.
    pub tolerance: Option<Tolerance>,
    /// Time for which the endpoint wants no request from this box.
    pub rest: Option<Duration>,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
}

/// A directive that was not in force before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewDirective {
    /// The endpoint wants no request from this box for this time.
    Rest(Duration),
    /// The endpoint is leaving.
    Leaving,
}

/// The time in which an endpoint wants no request from this box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rest {
    /// When this box first heard of it.
    pub since: Micros,
    /// When it is over.
    pub until: Micros,
}

/// A peer's report of a limit of an endpoint that this box's list doesn't name yet.
#[derive(Clone, Debug)]
struct EarlyReport {
    report: LimitReport,
    received: Micros,
}

/// What one incarnation of an endpoint asked for.
#[derive(Clone, Debug)]
struct Asked {
    incarnation: EndpointIncarnation,
    rest: Option<Rest>,
    /// When an answer or a peer last said that the endpoint is leaving.
    leaving_at: Option<Micros>,
    /// When an answer to this box said so first.
    heard_leaving: Option<Micros>,
}

impl EarlyReport {
    /// The report with its age as of `now`.
    fn aged(self, now: Micros) -> LimitReport {
        let held = u32::try_from(now.since(self.received).as_millis()).unwrap_or(u32::MAX);
        LimitReport {
            age_ms: self.report.age_ms.saturating_add(held),
            ..self.report
        }
    }
}

impl Asked {
    fn new(incarnation: EndpointIncarnation) -> Self {
        Self {
            incarnation,
            rest: None,
            leaving_at: None,
            heard_leaving: None,
        }
    }

    /// The rest, unless it is over.
    fn rest_at(&self, now: Micros) -> Option<Rest> {
        self.rest.filter(|rest| now < rest.until)
    }

    fn is_in_force(&self, now: Micros) -> bool {
        let leaving_at = self.leaving_at;
        self.rest_at(now).is_some()
            || leaving_at.is_some_and(|at| now.since(at) < LEAVING_RETENTION)
    }
}

/// The directives in force.
#[derive(Debug, Default)]
pub struct Directives {
    /// The rate limits that endpoints name, and this box's permits.
    pub limits: Limits,
    /// Services that state a tolerance, and this box's leases of their slots.
    pub tolerances: Tolerances,
    asked: BTreeMap<EndpointId, Asked>,
    early_reports: Vec<EarlyReport>,
}

impl Directives {
    /// Applies the rest and the departure that an answer to this box states; returns those that
    /// were not in force.
    pub fn on_answer(
        &mut self,
        incarnation: &EndpointIncarnation,
        stated: &AnswerDirectives,
        now: Micros,
    ) -> Vec<NewDirective> {
        let mut new = Vec::new();
        if stated.rest.is_none() && !stated.is_leaving {
            return new;
        }
        let asked = self.asked.entry(incarnation.id.clone());
        let asked = asked.or_insert_with(|| Asked::new(incarnation.clone()));
        if let Some(time) = stated.rest {
            let known = asked.rest_at(now);
            if known.is_none() {
                new.push(NewDirective::Rest(time));
            }
            let until = now.after(time);
            asked.rest = Some(Rest {
                since: known.map_or(now, |rest| rest.since),
                until: known.map_or(until, |rest| rest.until.max(until)),
            });
        }
        if stated.is_leaving {
            asked.heard_leaving.get_or_insert(now);
            if asked.leaving_at.replace(now).is_none() {
                new.push(NewDirective::Leaving);
            }
        }
        new
    }

    /// Applies a peer's report that an endpoint is leaving; returns whether it is new.
    pub fn on_peer_departure(&mut self, incarnation: &EndpointIncarnation, now: Micros) -> bool {
        let asked = self.asked.entry(incarnation.id.clone());
        let asked = asked.or_insert_with(|| Asked::new(incarnation.clone()));
        asked.leaving_at.replace(now).is_none()
    }

    /// Holds a peer's report of a limit until the list names the endpoint; the oldest reports give way
    /// to new ones. Returns whether none with the same limit was held.
    pub fn hold_report(&mut self, report: &LimitReport, now: Micros) -> bool {
        let is_same = |early: &EarlyReport| {
            early.report.endpoint == report.endpoint
                && early.report.milli_per_second == report.milli_per_second
        };
        let is_new = !self.early_reports.iter().any(is_same);
        self.early_reports
            .retain(|early| early.report.endpoint != report.endpoint);
        if self.early_reports.len() >= MAX_EARLY_REPORTS {
            self.early_reports.remove(0);
        }
        self.early_reports.push(EarlyReport {
            report: report.clone(),
            received: now,
        });
        is_new
    }

    /// Returns the held reports of endpoints that are known by now, with their present ages, and
    /// forgets those that are too old.
    pub fn take_reports(
        &mut self,
        is_known: impl Fn(&EndpointId) -> bool,
        now: Micros,
    ) -> Vec<LimitReport> {
        self.early_reports
            .retain(|early| now.since(early.received) < PUBLISHED_FOR);
        let known = self
            .early_reports
            .extract_if(.., |early| is_known(&early.report.endpoint.id));
        let aged = known.map(|early| early.aged(now));
        aged.collect()
    }

    /// The endpoints that recently said in answers to this box that they are leaving, the latest
    /// first.
    #[must_use]
    pub fn recent_departures(&self, now: Micros) -> Vec<EndpointIncarnation> {
        let heard = self.asked.values().filter_map(|asked| {
            let at = asked.heard_leaving?;
            (now.since(at) < PUBLISHED_FOR).then_some((at, &asked.incarnation))
        });
        let mut recent: Vec<_> = heard.collect();
        recent.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let recent = recent.into_iter().take(MAX_DEPARTURES);
        recent.map(|(_, incarnation)| incarnation.clone()).collect()
    }

    /// The rest that an endpoint asked this box for, unless it is over.
    #[must_use]
    pub fn rest(&self, id: &EndpointId, now: Micros) -> Option<Rest> {
        self.asked.get(id)?.rest_at(now)
    }

    /// Whether an endpoint said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, id: &EndpointId) -> bool {
        self.asked
            .get(id)
            .is_some_and(|asked| asked.leaving_at.is_some())
    }

    /// How many endpoints asked this box for a rest that is not over.
    #[must_use]
    pub fn resting_count(&self, now: Micros) -> usize {
        let resting = self
            .asked
            .values()
            .filter(|asked| asked.rest_at(now).is_some());
        resting.count()
    }

    /// How many endpoints said that they are leaving.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        let leaving = self
            .asked
            .values()
            .filter(|asked| asked.leaving_at.is_some());
        leaving.count()
    }

    /// Forgets what is no longer in force, except of endpoints that are still known.
    pub(super) fn forget_expired(&mut self, is_known: impl Fn(&EndpointId) -> bool, now: Micros) {
        self.limits.forget_expired(now);
        self.asked.retain(|id, asked| {
            asked.is_in_force(now) || asked.leaving_at.is_some() && is_known(id)
        });
    }

    /// Forgets the directives of an endpoint's earlier incarnations.
    pub(super) fn on_new_incarnation(&mut self, incarnation: &EndpointIncarnation) {
        self.limits.on_new_incarnation(incarnation);
        let asked = self.asked.get(&incarnation.id);
        if asked.is_some_and(|asked| asked.incarnation != *incarnation) {
            self.asked.remove(&incarnation.id);
        }
    }

    /// Forgets the directives of an endpoint that is listed again, if certainly another incarnation
    /// than the listed one gave them.
    pub(super) fn on_listed_again(&mut self, incarnation: &EndpointIncarnation) {
        let asked = self.asked.get(&incarnation.id);
        if asked.is_some_and(|asked| !asked.incarnation.may_be(incarnation)) {
            self.asked.remove(&incarnation.id);
        }
    }

    /// Forgets the limits of endpoints that were removed.
    pub(super) fn retain_limits(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.limits.retain(is_known);
    }
}
