//! What endpoints say that they take: a limit of requests a second from all boxes together.
//!
//! An endpoint in need names its limit in each answer, and it holds until an answer names another one
//! or none. What was heard last counts, whoever heard it: boxes tell each other what answers to them
//! named. An end is remembered for [`END_KEPT`], so that older word of the limit doesn't bring it back.
//! A request goes to such an endpoint only with a permit, which [`super::super::permits`] gets.
//!
//! Inputs: answers of endpoints to this box, and what other boxes told of theirs. Owns: the limits by the
//! life of the endpoint that named them, and this box's permits.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::schema::{EndpointId, EndpointIncarnation, LimitReport, Micros};

/// How long a permit can be used: long enough for the next request of a busy box, short enough that
/// permits of one second don't add up to many of the next.
pub const PERMIT_FOR: Duration = Duration::from_secs(1);
/// How long it is remembered that a limit has ended.
const END_KEPT: Duration = Duration::from_secs(30);
/// By how much what another box heard must be newer than what this box heard itself: a way between
/// boxes, by which its age is told too small.
const TOLD_MARGIN: Duration = Duration::from_millis(50);
/// How long after an answer boxes are told what it named.
const NOTED_FOR: Duration = Duration::from_secs(10);
/// How many endpoints a message is about at most: some 700 bytes.
const MOST_NOTES: usize = 16;

/// Thousandths of a request.
const MILLI: f64 = 1_000.0;

/// Requests a second, to a thousandth.
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

    /// Requests a second.
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

/// A text that is no rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoRate {
    text: String,
}

impl fmt::Display for NoRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.text;
        write!(
            f,
            "{text:?} is no rate; give requests a second as a decimal number of 0 or more"
        )
    }
}

impl std::error::Error for NoRate {}

impl FromStr for RequestRate {
    type Err = NoRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.trim().parse::<f64>();
        let proper = parsed.ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
        let rate = proper.ok_or_else(|| NoRate {
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

/// What an endpoint names.
#[derive(Clone, Debug)]
struct Limit {
    /// The life of the endpoint that named it.
    life: EndpointIncarnation,
    /// The limit, or nothing once it has ended.
    rate: Option<RequestRate>,
    /// Since when this box has known of a limit without a pause.
    since: Micros,
    /// When an answer last named this, to whichever box.
    heard: Micros,
    /// Whether that was an answer to this box.
    is_first_hand: bool,
    /// When this box's permits lapse, the next one last.
    permits: Vec<Micros>,
}

impl Limit {
    fn new(life: EndpointIncarnation, now: Micros) -> Self {
        Self {
            life,
            rate: None,
            since: now,
            heard: now,
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

    /// Whether it says something that must not be forgotten.
    fn matters(&self, now: Micros) -> bool {
        self.rate.is_some() || now.since(self.heard) < END_KEPT
    }
}

impl Limits {
    /// Takes in what an answer of an endpoint to this box named; returns whether that is news.
    pub fn on_answer(
        &mut self,
        life: &EndpointIncarnation,
        named: Option<RequestRate>,
        now: Micros,
    ) -> bool {
        if named.is_none() && !self.named.contains_key(&life.id) {
            return false;
        }
        let limit = self.named.entry(life.id.clone());
        let limit = limit.or_insert_with(|| Limit::new(life.clone(), now));
        let is_news = limit.rate != named;
        limit.set(named, now);
        limit.heard = now;
        limit.is_first_hand = true;
        is_news
    }

    /// Takes in what an answer to another box named; returns whether that is news.
    pub fn on_told(&mut self, note: &LimitReport, now: Micros) -> bool {
        let rate = note.milli_per_second.map(RequestRate::from_milli);
        let heard = now.before(Duration::from_millis(note.age_ms.into()));
        let Some(known) = self.named.get_mut(&note.endpoint.id) else {
            let is_old = now.since(heard) >= END_KEPT;
            if rate.is_some() && !is_old {
                let mut limit = Limit::new(note.endpoint.clone(), now);
                limit.set(rate, now);
                limit.heard = heard;
                limit.is_first_hand = false;
                self.named.insert(note.endpoint.id.clone(), limit);
            }
            return rate.is_some() && !is_old;
        };
        if known.rate == rate {
            known.heard = known.heard.max(heard);
            return false;
        }
        let margin = if known.is_first_hand {
            TOLD_MARGIN
        } else {
            Duration::ZERO
        };
        if heard <= known.heard.after(margin) {
            return false;
        }
        known.set(rate, now);
        known.heard = heard;
        known.is_first_hand = false;
        true
    }

    /// The limit that an endpoint names.
    #[must_use]
    pub fn of(&self, id: &EndpointId) -> Option<RequestRate> {
        self.named.get(id).and_then(|limit| limit.rate)
    }

    /// Since when this box has known that an endpoint names a limit.
    #[must_use]
    pub fn since(&self, id: &EndpointId) -> Option<Micros> {
        let limit = self.named.get(id)?;
        limit.rate.map(|_| limit.since)
    }

    /// How many endpoints name one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.named.values().filter(|l| l.rate.is_some()).count()
    }

    /// The endpoints that name one.
    #[must_use]
    pub fn in_force(&self) -> Vec<EndpointId> {
        let named = self.named.iter().filter(|(_, l)| l.rate.is_some());
        named.map(|(id, _)| id.clone()).collect()
    }

    /// Whether nothing is known of any limit, in force or ended.
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

    /// Takes in permits to send requests to an endpoint.
    pub fn on_granted(&mut self, life: &EndpointIncarnation, permits: u32, now: Micros) {
        let limit = self.named.get_mut(&life.id);
        let Some(limit) = limit.filter(|limit| limit.life.may_be(life)) else {
            return;
        };
        limit.permits.retain(|lapses| now < *lapses);
        for _ in 0..permits {
            limit.permits.insert(0, now.after(PERMIT_FOR));
        }
    }

    /// Takes the permit for a request that is sent; returns whether one was needed.
    pub fn on_sent(&mut self, id: &EndpointId, now: Micros) -> bool {
        let limit = self.named.get_mut(id);
        let Some(limit) = limit.filter(|limit| limit.rate.is_some()) else {
            return false;
        };
        limit.permits.retain(|lapses| now < *lapses);
        limit.permits.pop();
        true
    }

    /// What is known of an endpoint, to be told.
    #[must_use]
    pub fn note(&self, id: &EndpointId, now: Micros) -> Option<LimitReport> {
        self.named.get(id).map(|limit| limit_note(limit, now))
    }

    /// What answers to this box named lately, to be told: the newest first.
    #[must_use]
    pub fn notes(&self, now: Micros) -> Vec<LimitReport> {
        let lately = self.named.values();
        let lately = lately.filter(|l| l.is_first_hand && now.since(l.heard) < NOTED_FOR);
        let mut notes: Vec<LimitReport> = lately.map(|limit| limit_note(limit, now)).collect();
        notes.sort_by_key(|note| note.age_ms);
        notes.truncate(MOST_NOTES);
        notes
    }

    /// Forgets ends that no older word can undo any more.
    pub fn settle(&mut self, now: Micros) {
        self.named.retain(|_, limit| limit.matters(now));
    }

    /// Forgets what other lives of an endpoint named.
    pub(super) fn keep_incarnation(&mut self, life: &EndpointIncarnation) {
        let limit = self.named.get(&life.id);
        if limit.is_some_and(|limit| !limit.life.may_be(life)) {
            self.named.remove(&life.id);
        }
    }

    /// Forgets endpoints that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.named.retain(|id, _| is_known(id));
    }
}

fn limit_note(limit: &Limit, now: Micros) -> LimitReport {
    let age = now.since(limit.heard).as_millis();
    LimitReport {
        endpoint: limit.life.clone(),
        milli_per_second: limit.rate.map(RequestRate::milli),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
