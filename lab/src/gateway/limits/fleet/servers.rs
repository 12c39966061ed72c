//! Plain servers, what they run, and what they name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Attempt;
use magpiemoor::gateway::dispatch::event::{
    AttemptNumber, EndpointChange, EndpointSpec, Event, Fault, NotRunCause, Outcome,
};
use magpiemoor::gateway::dispatch::fleet::directives::limits::RequestRate;
use magpiemoor::gateway::dispatch::fleet::directives::{AnswerDirectives, StatedLimit};
use magpiemoor::schema::EndpointId;
use rand::Rng;

use super::setup::{SERVICE, domain_name};
use super::{Case, Fleet, Mail, OUTSIDE, Place};
use crate::gateway::limits::score::{Arrived, REST, Seen};
use crate::gateway::limits::{Asks, Course, Needy};

/// Calls a second that one server is meant for.
const CALLS_A_SERVER: f64 = 8.0;
/// Calls that a server runs at once, and that wait beside.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// What a call takes.
const CALL: Duration = Duration::from_millis(30);
/// When servers name a limit first, and when they are in need no more.
const IN_NEED_AFTER: Duration = Duration::from_secs(8);
const IN_NEED_FOR: Duration = Duration::from_secs(24);
/// The time between two changes of a limit.
const COURSE_PAUSE: Duration = Duration::from_secs(6);
/// When a box gives a connection up that nothing answers.
const CONNECT_GIVEN_UP: Duration = Duration::from_millis(120);
/// The time until boxes hear of a change of the list, at least and at most.
const LISTED_WITHIN: (f64, f64) = (0.05, 0.5);

/// A run at a server, by a number of its own.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunId(u64);

/// What servers in need name from now on.
#[derive(Clone, Copy, Debug)]
pub struct Naming {
    rate: Option<RequestRate>,
    /// Whether they start again before.
    restarts: bool,
}

#[derive(Clone, Debug)]
struct Run {
    place: Place,
    attempt: AttemptNumber,
    is_limited: bool,
    server: usize,
    life: usize,
}

/// One server, in one life after the other.
#[derive(Debug)]
struct Server {
    spec: EndpointSpec,
    domain: usize,
    is_in_need: bool,
    names: Option<RequestRate>,
    running: usize,
    /// Its place in the counts.
    life: usize,
}

/// All servers.
#[derive(Debug)]
pub struct Servers {
    all: Vec<Server>,
    by_id: BTreeMap<EndpointId, usize>,
    runs: BTreeMap<RunId, Run>,
    next_run: u64,
    /// The store's revision.
    pub revision: u64,
}

impl Servers {
    /// The servers of a case.
    #[must_use]
    pub fn new(case: Case) -> Self {
        let calls = case.calls * case.boxes as f64;
        let of_domain = (calls / case.domains as f64 / CALLS_A_SERVER).round() as usize;
        let mut made = Self {
            all: Vec::new(),
            by_id: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            revision: 1,
        };
        for number in 0..of_domain.max(1) {
            for domain in 0..case.domains {
                let place = made.all.len();
                let spec = spec(place, domain, 1);
                let is_in_need = match case.needy {
                    Needy::One => place == 0,
                    Needy::Domain => domain == 0,
                    Needy::Third => number * case.domains % 3 == domain % 3,
                    Needy::All => true,
                };
                made.by_id.insert(spec.id.clone(), place);
                made.all.push(Server {
                    spec,
                    domain,
                    is_in_need: is_in_need && case.limit.is_some(),
                    names: None,
                    running: 0,
                    life: place,
                });
            }
        }
        made
    }

    /// Counts for each of them.
    #[must_use]
    pub fn unseen(&self) -> Vec<Seen> {
        vec![Seen::default(); self.all.len()]
    }

    /// Their entries.
    #[must_use]
    pub fn specs(&self) -> Vec<EndpointSpec> {
        self.all.iter().map(|server| server.spec.clone()).collect()
    }

    /// The place of a server that runs under an id.
    #[must_use]
    pub fn find(&self, id: &EndpointId) -> Option<usize> {
        let place = *self.by_id.get(id)?;
        (self.all[place].spec.id == *id).then_some(place)
    }

    /// The failure domain of a server.
    #[must_use]
    pub fn domain_of(&self, place: usize) -> usize {
        self.all[place].domain
    }

    /// The server that listens at an address.
    #[must_use]
    pub fn listening_at(&self, address: SocketAddr) -> Option<usize> {
        self.all.iter().position(|s| s.spec.address == address)
    }
}

fn spec(place: usize, domain: usize, start: usize) -> EndpointSpec {
    EndpointSpec {
        id: format!("s-{place}.{start}").parse().expect("a short name"),
        born: None,
        revision: start as u64,
        service: SERVICE.parse().expect("a short name"),
        version: "v1".parse().expect("a short name"),
        address: (
            [10, 9, domain as u8, (place / 200) as u8 + 1],
            10_000 + (place % 200) as u16,
        )
            .into(),
        domain: domain_name(domain),
        slots: SLOTS as u32,
        leaving: false,
        warm_up: Duration::ZERO,
    }
}

/// What servers in need name in the course of a play, by the time since they did first.
fn namings(course: Course, limit: RequestRate) -> Vec<(Duration, Naming)> {
    let scaled = |times: f64| {
        let milli = f64::from(limit.milli()) * times;
        Some(RequestRate::from_milli(milli as u32))
    };
    let rates = match course {
        Course::Steady => vec![Some(limit)],
        Course::Rises => vec![Some(limit), scaled(3.0), scaled(9.0)],
        Course::Falls => vec![Some(limit), scaled(1.0 / 3.0), scaled(1.0 / 9.0)],
        Course::Ends => vec![Some(limit), Some(limit), None],
        Course::Flickers => vec![Some(limit), None, Some(limit), None],
        Course::Restarts => vec![Some(limit), Some(limit), Some(limit)],
    };
    let steps = rates.into_iter().enumerate().map(|(step, rate)| {
        let naming = Naming {
            rate,
            restarts: course == Course::Restarts && step > 0,
        };
        (COURSE_PAUSE * step as u32, naming)
    });
    let over = Naming {
        rate: None,
        restarts: false,
    };
    steps.chain([(IN_NEED_FOR, over)]).collect()
}

impl Fleet {
    pub(super) fn post_namings(&mut self) {
        let Some(limit) = self.case.limit else {
            return;
        };
        for (after, naming) in namings(self.case.course, limit) {
            self.mail.post(IN_NEED_AFTER + after, Mail::Name(naming));
        }
    }

    /// Servers in need name another limit than before.
    pub(super) fn name_limits(&mut self, naming: Naming) {
        let now = self.now();
        for place in 0..self.servers.all.len() {
            if !self.servers.all[place].is_in_need {
                continue;
            }
            if naming.restarts {
                self.restart_server(place);
            }
            let server = &mut self.servers.all[place];
            server.names = naming.rate;
            let seen = &mut self.counts.seen[server.life];
            match self.case.asks {
                Asks::Limit => seen.named.push((now, naming.rate)),
                Asks::Rest => {}
                Asks::Departure => seen.is_leaving |= naming.rate.is_some(),
            }
        }
    }

    /// A server ends and is back at once under another id; what it ran breaks off.
    fn restart_server(&mut self, place: usize) {
        let now = self.now();
        let server = &mut self.servers.all[place];
        self.counts.seen[server.life].ended = Some(now);
        let before = server.spec.id.clone();
        let start = server.spec.revision as usize + 1;
        server.spec = spec(place, server.domain, start);
        server.running = 0;
        server.life = self.counts.seen.len();
        self.counts.seen.push(Seen::default());
        let present = EndpointChange::Present(server.spec.clone());
        self.servers.by_id.insert(server.spec.id.clone(), place);
        self.servers.revision += 1;
        let is_broken = |run: &Run| run.server == place;
        let broken = self.servers.runs.values().filter(|run| is_broken(run));
        let broken: Vec<Run> = broken.cloned().collect();
        self.servers.runs.retain(|_, run| !is_broken(run));
        for run in broken {
            self.answer_place(&run, None, Outcome::Broken(Fault::Closed));
        }
        for at in 0..self.boxes.len() {
            let within = self.rng.random_range(LISTED_WITHIN.0..LISTED_WITHIN.1);
            let after = Duration::from_secs_f64(within).max(self.store_out_until.since(now));
            let changes = vec![EndpointChange::Absent(before.clone()), present.clone()];
            let at_revision = self.servers.revision;
            let event = Event::EndpointsChanged {
                changes,
                at: at_revision,
            };
            self.post_event(at, after, event);
        }
    }

    /// A box sends a call to a server.
    pub(super) fn begin_run(&mut self, place: Place, attempt: &Attempt) {
        let at = place.0;
        let ended = |outcome| Event::Ended {
            request: place.2,
            attempt: attempt.attempt,
            outcome,
        };
        let Some(found) = self.reach(at, &attempt.endpoint) else {
            let (after, outcome) = match self.servers.listening_at(attempt.address) {
                Some(other)
                    if !self.is_cut_between(self.domain_of(at), self.servers.domain_of(other)) =>
                {
                    let id = self.servers.all[other].spec.id.clone();
                    let cause = NotRunCause::OtherInstance(Some(id));
                    (OUTSIDE * 2, Outcome::NotRun(cause))
                }
                _ => (CONNECT_GIVEN_UP, Outcome::NotSent),
            };
            return self.post_event(at, after, ended(outcome));
        };
        let in_touch = self.is_in_touch(at);
        let now = self.now().after(OUTSIDE);
        let server = &mut self.servers.all[found];
        self.counts.seen[server.life].arrivals.push(Arrived {
            at: now,
            from: at,
            in_touch,
        });
        self.servers.next_run += 1;
        let id = RunId(self.servers.next_run);
        let run = Run {
            place,
            attempt: attempt.attempt,
            is_limited: attempt.is_limited,
            server: found,
            life: server.life,
        };
        let turns_away = self.case.asks == Asks::Rest && server.names.is_some();
        if server.running >= SLOTS + QUEUE || turns_away {
            let names = server.names;
            let outcome = Outcome::NotRun(NotRunCause::NoRoom);
            return self.answer_place(&run, names, outcome);
        }
        server.running += 1;
        let rounds = server.running.div_ceil(SLOTS) as u32;
        self.servers.runs.insert(id, run);
        self.running.insert(place, (attempt.attempt, id));
        self.mail.post(OUTSIDE + CALL * rounds, Mail::Answer(id));
    }

    /// An attempt is stopped, or its box is gone; the server notices.
    pub(super) fn stop_run(&mut self, place: Place) {
        let Some((_, id)) = self.running.remove(&place) else {
            return;
        };
        if let Some(run) = self.servers.runs.remove(&id) {
            self.end_run(&run);
        }
    }

    fn end_run(&mut self, run: &Run) {
        let server = &mut self.servers.all[run.server];
        if server.life == run.life {
            server.running = server.running.saturating_sub(1);
        }
    }

    /// A server has an answer.
    pub(super) fn answer_run(&mut self, id: RunId) {
        let Some(run) = self.servers.runs.remove(&id) else {
            return;
        };
        self.end_run(&run);
        self.running.remove(&run.place);
        let names = self.servers.all[run.server].names;
        self.answer_place(&run, names, Outcome::Answered { status: 200 });
    }

    /// What comes back to a box, if it still runs and can be reached.
    fn answer_place(&mut self, run: &Run, names: Option<RequestRate>, outcome: Outcome) {
        let (at, life, request) = run.place;
        if self.boxes[at].life != life {
            return;
        }
        let domain = self.servers.domain_of(run.server);
        if self.is_cut_between(self.domain_of(at), domain) {
            return;
        }
        let attempt = run.attempt;
        if names.is_some() || run.is_limited {
            let directives = self.directives(run, names);
            let event = Event::DirectivesRead {
                request,
                attempt,
                directives,
            };
            self.post_event(at, OUTSIDE, event);
        }
        if names.is_some() && matches!(outcome, Outcome::Answered { .. }) {
            let passed_on = self.mail.now.after(OUTSIDE);
            let told = &mut self.counts.seen[run.life].told;
            told.entry(at).or_insert(passed_on);
        }
        let event = Event::Ended {
            request,
            attempt,
            outcome,
        };
        self.post_event(at, OUTSIDE, event);
    }

    /// What an answer asks for.
    fn directives(&mut self, run: &Run, names: Option<RequestRate>) -> AnswerDirectives {
        let mut asked = AnswerDirectives::default();
        let seen = &mut self.counts.seen[run.life];
        match self.case.asks {
            Asks::Limit => asked.limit = names.map_or(StatedLimit::None, StatedLimit::Rate),
            Asks::Rest if names.is_some() => {
                asked.rest = Some(REST);
                let rests = seen.rests.entry(run.place.0).or_default();
                rests.push(self.mail.now);
            }
            Asks::Rest => {}
            Asks::Departure => asked.is_leaving = seen.is_leaving,
        }
        asked
    }

    /// A box that has started again was asked for nothing and has told nobody anything.
    pub(super) fn forget_told(&mut self, at: usize) {
        for seen in &mut self.counts.seen {
            seen.told.remove(&at);
            seen.rests.remove(&at);
        }
    }
}
