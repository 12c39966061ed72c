//! Counts and judges a run by what servers and callers observed.
//!
//! The rule for limits: from [`CONTACT`] after a server first stated its limit, it gets in no `WINDOW`
//! more than `LIMIT_FACTOR` times what the limit allows plus `SLACK` requests, summed over the boxes
//! that passed on an answer with the limit at least `KNOWN_FOR` before. Requests of a box that was
//! killed, paused or cut off less than [`CONTACT`] ago don't count. If the limit changes within a window,
//! the greater one counts.
//!
//! A server that asks a box for a rest gets no more than `MAX_IN_REST` requests from it between
//! `REST_GRACE` after that answer and the end of the rest; one that leaves gets none from a box later
//! than `DRAIN` after the box has passed on an answer that says so.
//!
//! Requests are counted against a limit in two ways: strictly, all requests in a window whose box knew
//! the limit by its end; by the words of the rule, only those that a box sent when it knew. A run is
//! judged by the strict count.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use magpiemoor::gateway::dispatch::fleet::directives::limits::RequestRate;
use magpiemoor::schema::Micros;
use serde::Serialize;

use super::Case;

/// Time from the first statement of a limit to the start of the rule.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which a box must have known a limit for its requests to count.
const KNOWN_FOR: Duration = Duration::from_millis(500);
/// Requests allowed in a window in addition to those of the limit.
const SLACK: f64 = 5.0;
/// Factor by which a limit may be exceeded.
const LIMIT_FACTOR: f64 = 1.5;
/// The rest that servers ask for.
pub const REST: Duration = Duration::from_secs(3);
/// How long after the answer that asks for a rest requests don't count.
const REST_GRACE: Duration = Duration::from_millis(500);
/// Requests of one box that a server may get in its rest.
const MAX_IN_REST: usize = 2;
/// How long a box may still send to a server after it has passed on that the server is leaving.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from a change of a limit until its use is measured.
const USED_AFTER: Duration = Duration::from_secs(6);

/// Arrival of a request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrived {
    /// Time of the arrival.
    pub at: Micros,
    /// Box that sent it.
    pub from: usize,
    /// Whether that box was in touch.
    pub in_touch: bool,
}

/// Record of one incarnation of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerRecord {
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrived>,
    /// Limits that it stated, with the times from which they were in force.
    pub named: Vec<(Micros, Option<RequestRate>)>,
    /// When each box, in its current incarnation, first passed on an answer with a directive.
    pub informed: BTreeMap<usize, Micros>,
    /// When it asked each box, in the box's current incarnation, for a rest.
    pub rests: BTreeMap<usize, Vec<Micros>>,
    /// Whether it states that it is leaving.
    pub is_leaving: bool,
    /// Time of its end.
    pub ended: Option<Micros>,
}

impl ServerRecord {
    /// The limit in force at a time.
    fn named_at(&self, at: Micros) -> Option<RequestRate> {
        let before = self.named.iter().rev().find(|(from, _)| *from <= at);
        before.and_then(|(_, rate)| *rate)
    }

    /// The greatest limit in force within a span.
    fn greatest(&self, from: Micros, to: Micros) -> Option<RequestRate> {
        let within = self.named.iter().filter(|(at, _)| *at > from && *at <= to);
        let within = within.filter_map(|(_, rate)| *rate);
        within.chain(self.named_at(from)).max()
    }

    /// Since when a limit has been in force without interruption.
    fn named_since(&self, at: Micros) -> Option<Micros> {
        let mut since = None;
        for (from, rate) in self.named.iter().filter(|(from, _)| *from <= at) {
            since = rate.map(|_| since.unwrap_or(*from));
        }
        since
    }

    /// Greatest number of requests in a window, as a multiple of the allowed number; counted `strictly`
    /// or by the words of the rule.
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
                a.in_touch && self.is_informed(a.from, known_at)
            });
            let allowed =
                (LIMIT_FACTOR * limit.per_second() * WINDOW.as_secs_f64() + SLACK).floor();
            most = most.max(counted.count() as f64 / allowed);
        }
        most
    }

    /// Greatest number of requests from one box within a rest that it had asked that box for.
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

    /// Number of requests that boxes sent later than `DRAIN` after they passed on that it is leaving.
    #[must_use]
    pub fn after_departure(&self) -> usize {
        let late = |a: &&Arrived| {
            let informed = self.informed.get(&a.from);
            informed.is_some_and(|informed| informed.after(DRAIN) < a.at)
        };
        if self.is_leaving {
            self.arrivals.iter().filter(late).count()
        } else {
            0
        }
    }

    fn is_informed(&self, from: usize, at: Micros) -> bool {
        let informed = self.informed.get(&from);
        informed.is_some_and(|informed| informed.after(KNOWN_FOR) <= at)
    }

    /// Requests that it got and that its limits allowed, after [`USED_AFTER`] from each change.
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

/// Numbers of callers by result.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Callers {
    /// Served within the latency objective.
    pub in_time: usize,
    /// Served later.
    pub late: usize,
    /// Refused at every try.
    pub lost: usize,
}

impl Callers {
    /// Share that was served.
    #[must_use]
    pub fn served(&self) -> f64 {
        let served = self.in_time + self.late;
        served as f64 / (served + self.lost).max(1) as f64
    }

    /// Share that was served in time.
    #[must_use]
    pub fn in_time(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late + self.lost).max(1) as f64
    }
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Description of the case.
    pub case: String,
    /// Fault that occurred at the same time.
    pub beside: String,
    /// Greatest multiple of the allowed number of requests at a server, counted strictly.
    pub most: f64,
    /// The same, counted by the words of the rule.
    pub most_by_words: f64,
    /// Greatest number of requests of one box within a rest.
    pub in_rest: usize,
    /// Requests at leaving servers from boxes that had known of the departure for too long.
    pub after_departure: usize,
    /// Numbers of callers by result.
    pub callers: Callers,
    /// The same without directives, if that was run.
    pub without: Option<Callers>,
    /// Share of the requests that limits allow that arrived.
    pub used: f64,
    /// Bytes per second that one box sends to others.
    pub bytes_a_second: f64,
    /// The same without directives.
    pub bytes_without: f64,
    /// Greatest number of bytes that one box sent in a second.
    pub most_bytes: u64,
}

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Records of all incarnations of servers.
    pub seen: Vec<ServerRecord>,
    /// Numbers of callers by result.
    pub callers: Callers,
    /// Total size of the datagrams between boxes.
    pub bytes: u64,
    /// Bytes that each box sent in each second.
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
                .map(ServerRecord::most_in_rest)
                .max()
                .unwrap_or_default(),
            after_departure: counts.seen.iter().map(ServerRecord::after_departure).sum(),
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
