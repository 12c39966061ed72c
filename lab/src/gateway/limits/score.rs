//! What a play came to, by what servers and callers saw.
//!
//! The users' rule: from [`CONTACT`] after a server first named its limit, it gets in no `WINDOW` more
//! than one and a half times what that allows, and `SLACK` requests, summed over the boxes that had
//! passed on such an answer `TOLD_BEFORE` or earlier. Requests of a box that was killed, frozen or cut
//! off less than [`CONTACT`] ago don't count. Where the limit changes within a window, the greater counts.
//!
//! A server that asks a box for a rest gets no more than `MAX_IN_REST` requests from it between
//! `REST_GRACE` after that answer and the end of the rest; one that leaves gets none from a box later
//! than `DRAIN` after the box has passed on an answer that says so.
//!
//! The limit is counted in two ways. Strictly, all requests of a window count whose box knew by the end of the
//! window; by the words of the rule, those that a box sent when it knew. A play is judged by the first.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use magpiemoor::gateway::dispatch::fleet::directives::limits::RequestRate;
use magpiemoor::schema::Micros;
use serde::Serialize;

use super::Case;

/// How long after the first naming the rule begins.
pub const CONTACT: Duration = Duration::from_secs(3);
/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long before the end of a window a box must have passed on a limit to be counted.
const TOLD_BEFORE: Duration = Duration::from_millis(500);
/// What is allowed beside one and a half times the limit.
const SLACK: f64 = 5.0;
/// How many times the limit is allowed.
const TIMES: f64 = 1.5;
/// The rest that servers ask for.
pub const REST: Duration = Duration::from_secs(3);
/// How long after the answer that asks for a rest requests don't count.
const REST_GRACE: Duration = Duration::from_millis(500);
/// Requests of one box that a server may get in its rest.
const MAX_IN_REST: usize = 2;
/// How long a box may still send to a server after it has passed on that the server is leaving.
const DRAIN: Duration = Duration::from_secs(2);
/// How long after the first naming it is counted what of the limit is used.
const USED_AFTER: Duration = Duration::from_secs(6);

/// A request as it came to a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrived {
    /// When.
    pub at: Micros,
    /// From which box.
    pub from: usize,
    /// Whether that box was in touch.
    pub in_touch: bool,
}

/// What one server saw in one life.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests, in the order of time.
    pub arrivals: Vec<Arrived>,
    /// What it named from when on.
    pub named: Vec<(Micros, Option<RequestRate>)>,
    /// When each box first passed on an answer with a limit, in its present life.
    pub told: BTreeMap<usize, Micros>,
    /// When it asked each box for a rest, in the box's present life.
    pub rests: BTreeMap<usize, Vec<Micros>>,
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// When it ended.
    pub ended: Option<Micros>,
}

impl Seen {
    /// What it names at a time.
    fn named_at(&self, at: Micros) -> Option<RequestRate> {
        let before = self.named.iter().rev().find(|(from, _)| *from <= at);
        before.and_then(|(_, rate)| *rate)
    }

    /// The greatest limit that it named in a span.
    fn greatest(&self, from: Micros, to: Micros) -> Option<RequestRate> {
        let within = self.named.iter().filter(|(at, _)| *at > from && *at <= to);
        let within = within.filter_map(|(_, rate)| *rate);
        within.chain(self.named_at(from)).max()
    }

    /// Since when it has named a limit without a pause.
    fn named_since(&self, at: Micros) -> Option<Micros> {
        let mut since = None;
        for (from, rate) in self.named.iter().filter(|(from, _)| *from <= at) {
            since = rate.map(|_| since.unwrap_or(*from));
        }
        since
    }

    /// How many times what is allowed it got at the most in a window; `strictly`, or by the words of the
    /// rule.
    #[must_use]
    pub fn most(&self, strictly: bool) -> f64 {
        let mut most: f64 = 0.0;
        for (place, last) in self.arrivals.iter().enumerate() {
            let Some(since) = self.named_since(last.at) else {
                continue;
            };
            if last.at < since.after(CONTACT) {
                continue;
            }
            let start = last.at.before(WINDOW);
            let Some(limit) = self.greatest(start, last.at) else {
                continue;
            };
            let counted = self.arrivals[..=place].iter().rev();
            let counted = counted.take_while(|a| a.at > start);
            let counted = counted.filter(|a| {
                let known_at = if strictly { last.at } else { a.at };
                a.in_touch && self.is_told(a.from, known_at)
            });
            let allowed = (TIMES * limit.per_second() * WINDOW.as_secs_f64() + SLACK).floor();
            most = most.max(counted.count() as f64 / allowed);
        }
        most
    }

    /// The most requests that it got from a box within a rest for which it had asked that box.
    #[must_use]
    pub fn most_in_rest(&self) -> usize {
        let rests = self.rests.iter();
        let rests = rests.flat_map(|(from, asked)| asked.iter().map(move |at| (*from, *at)));
        let counts = rests.map(|(from, at)| {
            let span = at.after(REST_GRACE)..at.after(REST);
            let within = self.arrivals.iter().filter(|a| span.contains(&a.at));
            within.filter(|a| a.from == from && a.in_touch).count()
        });
        counts.max().unwrap_or_default()
    }

    /// Requests that a box sent it later than `DRAIN` after it had passed on that it is leaving.
    #[must_use]
    pub fn after_departure(&self) -> usize {
        let late = |a: &&Arrived| {
            let told = self.told.get(&a.from);
            told.is_some_and(|told| told.after(DRAIN) < a.at)
        };
        if self.is_leaving {
            self.arrivals.iter().filter(late).count()
        } else {
            0
        }
    }

    fn is_told(&self, from: usize, at: Micros) -> bool {
        let told = self.told.get(&from);
        told.is_some_and(|told| told.after(TOLD_BEFORE) <= at)
    }

    /// What it got and what its limit allowed, once boxes had the time to know of it.
    fn used(&self, end: Micros) -> (f64, f64) {
        let end = self.ended.unwrap_or(end);
        let mut allowed = 0.0;
        let mut got = 0;
        for (place, (from, rate)) in self.named.iter().enumerate() {
            let Some(rate) = rate else {
                continue;
            };
            let until = self.named.get(place + 1).map_or(end, |(at, _)| *at);
            let from = from.after(USED_AFTER);
            allowed += rate.per_second() * until.since(from).as_secs_f64();
            let within = self
                .arrivals
                .iter()
                .filter(|a| a.at >= from && a.at < until);
            got += within.count();
        }
        (f64::from(got as u32), allowed)
    }
}

/// What became of callers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Callers {
    /// Served within the latency objective.
    pub in_time: usize,
    /// Served later.
    pub late: usize,
    /// Refused at each try.
    pub lost: usize,
}

impl Callers {
    /// The share that was served.
    #[must_use]
    pub fn served(&self) -> f64 {
        let served = self.in_time + self.late;
        served as f64 / (served + self.lost).max(1) as f64
    }

    /// The share that was served in time.
    #[must_use]
    pub fn in_time(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late + self.lost).max(1) as f64
    }
}

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The case, in words.
    pub case: String,
    /// What went wrong beside.
    pub beside: String,
    /// How many times what is allowed a server got at the most, counted strictly.
    pub most: f64,
    /// The same, counted by the words of the rule.
    pub most_by_words: f64,
    /// The most requests that a server got from a box within a rest.
    pub in_rest: usize,
    /// Requests that came to servers after their departure was known to the box that sent them.
    pub after_departure: usize,
    /// What became of callers.
    pub callers: Callers,
    /// The same with no server in need, if that was played.
    pub without: Option<Callers>,
    /// Of the requests that limits allow, those that came.
    pub used: f64,
    /// Bytes between boxes, of one box in a second.
    pub bytes_a_second: f64,
    /// The same with no server in need.
    pub bytes_without: f64,
    /// The most bytes that one box sent in a second.
    pub most_bytes: u64,
}

/// What was counted in a play.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// By server and life.
    pub seen: Vec<Seen>,
    /// Callers.
    pub callers: Callers,
    /// Bytes of datagrams between boxes.
    pub bytes: u64,
    /// Bytes that a box sent in a second.
    pub bytes_of: BTreeMap<(usize, u64), u64>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            case,
            most,
            most_by_words,
            in_rest,
            after_departure,
            used,
            ..
        } = self;
        let served = self.callers.served();
        let in_time = self.callers.in_time();
        write!(
            f,
            "{case}: {most:.2} of what is allowed ({most_by_words:.2} by the words), {in_rest} in a rest, {after_departure} after a departure, used {used:.2}, served {served:.3}, in time {in_time:.3}"
        )
    }
}

impl Outcome {
    /// Judges what was counted.
    #[must_use]
    pub fn new(case: &Case, counts: &Counts, played: Duration, end: Micros) -> Self {
        let box_seconds = case.boxes as f64 * played.as_secs_f64();
        let most = |strictly| {
            let seen = counts.seen.iter().map(|seen| seen.most(strictly));
            seen.fold(0.0, f64::max)
        };
        let (got, allowed) = counts
            .seen
            .iter()
            .map(|seen| seen.used(end))
            .fold((0.0, 0.0), |(got, allowed), (more, of)| {
                (got + more, allowed + of)
            });
        Self {
            case: case.to_string(),
            beside: case.beside.to_string(),
            most: most(true),
            most_by_words: most(false),
            in_rest: counts
                .seen
                .iter()
                .map(Seen::most_in_rest)
                .max()
                .unwrap_or_default(),
            after_departure: counts.seen.iter().map(Seen::after_departure).sum(),
            callers: counts.callers,
            without: None,
            used: if allowed > 0.0 { got / allowed } else { 0.0 },
            bytes_a_second: counts.bytes as f64 / box_seconds,
            bytes_without: 0.0,
            most_bytes: counts.bytes_of.values().copied().max().unwrap_or_default(),
        }
    }

    /// Whether a server got more than it asked for.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.most > 1.0 || self.in_rest > MAX_IN_REST || self.after_departure > 0
    }
}
