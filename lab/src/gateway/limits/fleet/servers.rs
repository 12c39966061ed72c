//! Simulated plain servers: the calls that they run and the directives in their answers.

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

use super::setup::SERVICE;
use super::{Case, EXTERNAL_LATENCY, Fleet, Mail, RequestAtBox};
use crate::gateway::boxes::domain_name;
use crate::gateway::limits::score::{Arrived, REST, ServerRecord};
use crate::gateway::limits::{AffectedServers, Asks, LimitCourse};

/// Calls per second for which one server is provided.
const CALLS_A_SERVER: f64 = 8.0;
/// Maximum numbers of calls that a server runs and queues.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Time that a server takes for a call.
const CALL: Duration = Duration::from_millis(30);
/// Time of the first directive, and how long affected servers state directives.
const FIRST_DIRECTIVE_AFTER: Duration = Duration::from_secs(8);
const DIRECTIVES_LAST: Duration = Duration::from_secs(24);
/// Time between two changes of a limit.
const LIMIT_CHANGE_INTERVAL: Duration = Duration::from_secs(6);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Shortest and longest delay until a box learns of a change of the list, seconds.
const LIST_DELAY: (f64, f64) = (0.05, 0.5);

/// Number of a run at a server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunId(u64);

/// A change of what affected servers state.
#[derive(Clone, Copy, Debug)]
pub struct LimitChange {
    rate: Option<RequestRate>,
    /// Whether they restart first.
    restarts: bool,
}

#[derive(Clone, Debug)]
struct Run {
    place: RequestAtBox,
    attempt: AttemptNumber,
    is_limited: bool,
    server: usize,
    life: usize,
}

/// The state of one server over its incarnations.
#[derive(Debug)]
struct Server {
    spec: EndpointSpec,
    domain: usize,
    is_affected: bool,
    names: Option<RequestRate>,
    running: usize,
    /// Index of the record of its current incarnation.
    life: usize,
}

/// The servers of a simulation.
#[derive(Debug)]
pub struct Servers {
    all: Vec<Server>,
    by_id: BTreeMap<EndpointId, usize>,
    runs: BTreeMap<RunId, Run>,
    next_run: u64,
    /// Revision of the endpoint list in the store.
    pub revision: u64,
}

impl Servers {
    /// Creates the servers of a case.
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
                let is_affected = match case.affected {
                    AffectedServers::One => place == 0,
                    AffectedServers::Domain => domain == 0,
                    AffectedServers::Third => number * case.domains % 3 == domain % 3,
                    AffectedServers::All => true,
                };
                made.by_id.insert(spec.id.clone(), place);
                made.all.push(Server {
                    spec,
                    domain,
                    is_affected: is_affected && case.limit.is_some(),
                    names: None,
                    running: 0,
                    life: place,
                });
            }
        }
        made
    }

    /// Returns an empty record for each server.
    #[must_use]
    pub fn empty_records(&self) -> Vec<ServerRecord> {
        vec![ServerRecord::default(); self.all.len()]
    }

    /// Returns the entries of the endpoint list.
    #[must_use]
    pub fn specs(&self) -> Vec<EndpointSpec> {
        self.all.iter().map(|server| server.spec.clone()).collect()
    }

    /// Returns the index of the server that currently has an id.
    #[must_use]
    pub fn find(&self, id: &EndpointId) -> Option<usize> {
        let place = *self.by_id.get(id)?;
        (self.all[place].spec.id == *id).then_some(place)
    }

    /// Returns the failure domain of a server.
    #[must_use]
    pub fn domain_of(&self, place: usize) -> usize {
        self.all[place].domain
    }

    /// Returns the index of the server that listens at an address.
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

/// Returns the changes of a limit, by the time since the first one.
fn limit_changes(course: LimitCourse, limit: RequestRate) -> Vec<(Duration, LimitChange)> {
    let scaled = |times: f64| {
        let milli = f64::from(limit.milli()) * times;
        Some(RequestRate::from_milli(milli as u32))
    };
    let rates = match course {
        LimitCourse::Steady => vec![Some(limit)],
        LimitCourse::Rises => vec![Some(limit), scaled(3.0), scaled(9.0)],
        LimitCourse::Falls => vec![Some(limit), scaled(1.0 / 3.0), scaled(1.0 / 9.0)],
        LimitCourse::Ends => vec![Some(limit), Some(limit), None],
        LimitCourse::Flickers => vec![Some(limit), None, Some(limit), None],
        LimitCourse::Restarts => vec![Some(limit), Some(limit), Some(limit)],
    };
    let steps = rates.into_iter().enumerate().map(|(step, rate)| {
        let naming = LimitChange {
            rate,
            restarts: course == LimitCourse::Restarts && step > 0,
        };
        (LIMIT_CHANGE_INTERVAL * step as u32, naming)
    });
    let over = LimitChange {
        rate: None,
        restarts: false,
    };
    steps.chain([(DIRECTIVES_LAST, over)]).collect()
}

impl Fleet {
    pub(super) fn post_limit_changes(&mut self) {
        let Some(limit) = self.case.limit else {
            return;
        };
        for (after, naming) in limit_changes(self.case.course, limit) {
            self.mail
                .post(FIRST_DIRECTIVE_AFTER + after, Mail::Name(naming));
        }
    }

    /// Applies a change to all affected servers.
    pub(super) fn change_limits(&mut self, naming: LimitChange) {
        let now = self.now();
        for place in 0..self.servers.all.len() {
            if !self.servers.all[place].is_affected {
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

    /// Restarts a server under another id; its runs fail.
    fn restart_server(&mut self, place: usize) {
        let now = self.now();
        let server = &mut self.servers.all[place];
        self.counts.seen[server.life].ended = Some(now);
        let before = server.spec.id.clone();
        let start = server.spec.revision as usize + 1;
        server.spec = spec(place, server.domain, start);
        server.running = 0;
        server.life = self.counts.seen.len();
        self.counts.seen.push(ServerRecord::default());
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
            let within = self.rng.random_range(LIST_DELAY.0..LIST_DELAY.1);
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

    /// Starts an attempt of a box at a server.
    pub(super) fn begin_run(&mut self, place: RequestAtBox, attempt: &Attempt) {
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
                    let cause = match attempt.identity_path {
                        Some(_) => NotRunCause::Replaced(id),
                        None => NotRunCause::OtherInstance(Some(id)),
                    };
                    (EXTERNAL_LATENCY * 2, Outcome::NotRun(cause))
                }
                _ => (CONNECT_TIMEOUT, Outcome::NotSent),
            };
            return self.post_event(at, after, ended(outcome));
        };
        let in_touch = self.is_in_touch(at);
        let now = self.now().after(EXTERNAL_LATENCY);
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
        self.mail
            .post(EXTERNAL_LATENCY + CALL * rounds, Mail::Answer(id));
    }

    /// Stops a run whose attempt was stopped or whose box was killed.
    pub(super) fn stop_run(&mut self, place: RequestAtBox) {
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

    /// Ends a run and sends its answer.
    pub(super) fn answer_run(&mut self, id: RunId) {
        let Some(run) = self.servers.runs.remove(&id) else {
            return;
        };
        self.end_run(&run);
        self.running.remove(&run.place);
        let names = self.servers.all[run.server].names;
        self.answer_place(&run, names, Outcome::Answered { status: 200 });
    }

    /// Sends the end of an attempt to its box, unless the box was killed or is unreachable.
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
            self.post_event(at, EXTERNAL_LATENCY, event);
        }
        if names.is_some() && matches!(outcome, Outcome::Answered { .. }) {
            let passed_on = self.mail.now.after(EXTERNAL_LATENCY);
            let informed = &mut self.counts.seen[run.life].informed;
            informed.entry(at).or_insert(passed_on);
        }
        let event = Event::Ended {
            request,
            attempt,
            outcome,
        };
        self.post_event(at, EXTERNAL_LATENCY, event);
    }

    /// Returns the directives of an answer, and records them.
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

    /// Clears what a box was asked and has passed on before its restart.
    pub(super) fn forget_informed(&mut self, at: usize) {
        for seen in &mut self.counts.seen {
            seen.informed.remove(&at);
            seen.rests.remove(&at);
        }
    }
}
