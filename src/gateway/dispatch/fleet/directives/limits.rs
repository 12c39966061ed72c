//! The rate limits that endpoints name: requests a second from all boxes together.
//!
//! An overloaded endpoint names its limit in each answer. The limit holds until an answer names
//! another one or none. The latest answer counts, whichever box received it: boxes publish the
//! limits in answers to them. The end of a limit is remembered for [`END_RETENTION`], so that an
//! older report doesn't restore it. A request goes to such an endpoint only with a permit
//! ([`super::super::super::permits`]).
//!
//! Inputs: answers of endpoints to this box, and reports by other boxes of answers to them. State:
//! the limits, by the incarnation of the endpoint that named them, and this box's permits.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use super::PUBLISHED_FOR;
use crate::schema::{EndpointId, EndpointIncarnation, LimitReport, Micros};

/// How long a permit can be used: long enough for the next request of a busy box, short enough that
/// permits of one second don't add up with those of the next.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// How long the end of a limit is remembered.
const END_RETENTION: Duration = Duration::from_secs(30);
/// How much newer a peer's report must be than an answer to this box to replace it: the age in a
/// report is too small by the transit time between boxes.
const PEER_REPORT_MARGIN: Duration = Duration::from_millis(50);
/// Endpoints in one message: some 700 bytes.
const MAX_REPORTS: usize = 16;

/// Thousandths in one request.
const MILLI: f64 = 1_000.0;

/// A rate in requests a second, to a thousandth.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRate {
    milli: u32,
}

impl RequestRate {
    /// A rate in thousandths of a request a second.
    #[must_use]
    pub fn from_milli(milli: u32) -> Self {
        Self { milli }
    }

    /// The rate in thousandths of a request a second.
    #[must_use]
    pub fn milli(self) -> u32 {
        self.milli
    }

    /// The rate in requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.milli) / MILLI
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second().fmt(f)
    }
}

/// The error for a text that is not a rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidRate {
    text: String,
}

impl fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.text;
        write!(
            f,
            "{text:?} is not a rate; give requests a second as a decimal number of 0 or more"
        )
    }
}

impl std::error::Error for InvalidRate {}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.trim().parse::<f64>();
        let proper = parsed.ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
        let rate = proper.ok_or_else(|| InvalidRate {
            text: text.to_owned(),
        })?;
        Ok(Self {
            milli: (rate * MILLI).round() as u32,
        })
    }
}

/// The limits that endpoints name.
#[derive(Debug, Default)]
pub struct Limits {
    named: BTreeMap<EndpointId, Limit>,
}

/// The limit of one endpoint.
#[derive(Clone, Debug)]
struct Limit {
    /// The incarnation of the endpoint that named it.
    incarnation: EndpointIncarnation,
    /// `None` once the limit has ended.
    rate: Option<RequestRate>,
    /// Since when this box has known of a limit without interruption.
    since: Micros,
    /// When an answer to any box last named this.
    last_seen: Micros,
    /// Whether that answer came to this box.
    is_first_hand: bool,
    /// When each of this box's permits lapses; the one to use next is last.
    permits: Vec<Micros>,
}

impl Limit {
    fn new(incarnation: EndpointIncarnation, now: Micros) -> Self {
        Self {
            incarnation,
            rate: None,
            since: now,
            last_seen: now,
            is_first_hand: true,
            permits: Vec::new(),
        }
    }

    fn set(&mut self, rate: Option<RequestRate>, now: Micros) {
        if self.rate.is_none() {
            self.since = now;
        }
        self.rate = rate;
    }

    fn has_permit(&self, now: Micros) -> bool {
        self.permits.iter().any(|lapses| now < *lapses)
    }

    /// Whether the limit is in force or its end is still remembered.
    fn is_retained(&self, now: Micros) -> bool {
        self.rate.is_some() || now.since(self.last_seen) < END_RETENTION
    }
}

impl Limits {
    /// Applies the limit in an answer to this box; returns whether it changes the limit.
    pub fn on_answer(
        &mut self,
        incarnation: &EndpointIncarnation,
        named: Option<RequestRate>,
        now: Micros,
    ) -> bool {
        if named.is_none() && !self.named.contains_key(&incarnation.id) {
            return false;
        }
        let limit = self.named.entry(incarnation.id.clone());
        let limit = limit.or_insert_with(|| Limit::new(incarnation.clone(), now));
        let is_changed = limit.rate != named;
        limit.set(named, now);
        limit.last_seen = now;
        limit.is_first_hand = true;
        is_changed
    }

    /// Applies a peer's report of an answer to it; returns whether it changes the limit.
    pub fn on_peer_report(&mut self, report: &LimitReport, now: Micros) -> bool {
        let rate = report.milli_per_second.map(RequestRate::from_milli);
        let last_seen = now.before(Duration::from_millis(report.age_ms.into()));
        let Some(known) = self.named.get_mut(&report.endpoint.id) else {
            let is_old = now.since(last_seen) >= END_RETENTION;
            if rate.is_some() && !is_old {
                let mut limit = Limit::new(report.endpoint.clone(), now);
                limit.set(rate, now);
                limit.last_seen = last_seen;
                limit.is_first_hand = false;
                self.named.insert(report.endpoint.id.clone(), limit);
            }
            return rate.is_some() && !is_old;
        };
        if known.rate == rate {
            known.last_seen = known.last_seen.max(last_seen);
            return false;
        }
        let margin = if known.is_first_hand {
            PEER_REPORT_MARGIN
        } else {
            Duration::ZERO
        };
        if last_seen <= known.last_seen.after(margin) {
            return false;
        }
        known.set(rate, now);
        known.last_seen = last_seen;
        known.is_first_hand = false;
        true
    }

    /// The limit that an endpoint names, if it is in force.
    #[must_use]
    pub fn of(&self, id: &EndpointId) -> Option<RequestRate> {
        self.named.get(id).and_then(|limit| limit.rate)
    }

    /// Whether a limit of an endpoint is in force or its end is remembered.
    #[must_use]
    pub fn is_known(&self, id: &EndpointId) -> bool {
        self.named.contains_key(id)
    }

    /// Since when this box has known that an endpoint names a limit.
    #[must_use]
    pub fn since(&self, id: &EndpointId) -> Option<Micros> {
        let limit = self.named.get(id)?;
        limit.rate.map(|_| limit.since)
    }

    /// How many endpoints have a limit in force.
    #[must_use]
    pub fn count(&self) -> usize {
        self.named.values().filter(|l| l.rate.is_some()).count()
    }

    /// The endpoints that have a limit in force.
    #[must_use]
    pub fn in_force(&self) -> Vec<EndpointId> {
        let named = self.named.iter().filter(|(_, l)| l.rate.is_some());
        named.map(|(id, _)| id.clone()).collect()
    }

    /// Whether no limit is known, in force or ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }

    /// Whether this box may send a request to an endpoint now.
    #[must_use]
    pub fn may_send(&self, id: &EndpointId, now: Micros) -> bool {
        let limit = self.named.get(id);
        limit.is_none_or(|limit| limit.rate.is_none() || limit.has_permit(now))
    }

    /// Adds permits to send requests to an incarnation of an endpoint.
    pub fn on_granted(&mut self, incarnation: &EndpointIncarnation, permits: u32, now: Micros) {
        let limit = self.named.get_mut(&incarnation.id);
        let Some(limit) = limit.filter(|limit| limit.incarnation.may_be(incarnation)) else {
            return;
        };
        limit.permits.retain(|lapses| now < *lapses);
        for _ in 0..permits {
            limit.permits.insert(0, now.after(PERMIT_LIFETIME));
        }
    }

    /// Uses a permit for a request that is sent; returns whether the endpoint names a limit.
    pub fn on_sent(&mut self, id: &EndpointId, now: Micros) -> bool {
        let limit = self.named.get_mut(id);
        let Some(limit) = limit.filter(|limit| limit.rate.is_some()) else {
            return false;
        };
        limit.permits.retain(|lapses| now < *lapses);
        limit.permits.pop();
        true
    }

    /// The report of one endpoint's limit for other boxes.
    #[must_use]
    pub fn report(&self, id: &EndpointId, now: Micros) -> Option<LimitReport> {
        self.named.get(id).map(|limit| limit_report(limit, now))
    }

    /// Reports of the limits in recent answers to this box, the newest first.
    #[must_use]
    pub fn recent_reports(&self, now: Micros) -> Vec<LimitReport> {
        let recent = self.named.values();
        let recent = recent.filter(|l| l.is_first_hand && now.since(l.last_seen) < PUBLISHED_FOR);
        let mut reports: Vec<LimitReport> = recent.map(|limit| limit_report(limit, now)).collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Forgets limits that ended longer than [`END_RETENTION`] ago.
    pub fn forget_expired(&mut self, now: Micros) {
        self.named.retain(|_, limit| limit.is_retained(now));
    }

    /// Forgets the limit that an earlier incarnation of an endpoint named.
    pub(super) fn on_new_incarnation(&mut self, incarnation: &EndpointIncarnation) {
        let limit = self.named.get(&incarnation.id);
        if limit.is_some_and(|limit| !limit.incarnation.may_be(incarnation)) {
            self.named.remove(&incarnation.id);
        }
    }

    /// Forgets the limits of endpoints that were removed.
    pub(super) fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.named.retain(|id, _| is_known(id));
    }
}

fn limit_report(limit: &Limit, now: Micros) -> LimitReport {
    let age = now.since(limit.last_seen).as_millis();
    LimitReport {
        endpoint: limit.incarnation.clone(),
        milli_per_second: limit.rate.map(RequestRate::milli),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
