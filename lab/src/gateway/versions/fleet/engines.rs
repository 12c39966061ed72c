//! Engines of several versions, in one life after the other, and the runs there.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Attempt;
use magpiemoor::gateway::dispatch::event::{
    AttemptNumber, EndpointSpec, Event, Fault, NotRunCause, Outcome,
};
use magpiemoor::gateway::dispatch::table::{
    CallerLimits, EngineSpec, Route, RouteKind, RoutingTable, ServiceSpec, TableParts,
    TableVersion, Target,
};
use magpiemoor::schema::{EndpointId, StartTime};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::callers::CallerId;
use super::{DOMAINS, Fleet, Mail, OUTSIDE, Place};
use crate::gateway::boxes::domain_name;
use crate::gateway::versions::{Case, Change};

/// The host that callers ask.
pub(super) const HOST: &str = "h";
const SERVICE: &str = "served";
/// Events of a stream, and the time between them.
pub(super) const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(75);
/// The time until the first event, from the prompt and from a replica.
const PREFILL: Duration = Duration::from_millis(400);
const RESUMED: Duration = Duration::from_millis(60);
/// The time that a stream may take.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// When a box gives a connection up that nothing answers.
const CONNECT_GIVEN_UP: Duration = Duration::from_millis(120);
/// The versions, in their order.
pub(super) const VERSIONS: [&str; 2] = ["v1", "v2"];
/// The share of prompts that engines still tell of.
const TOLD: f64 = 0.6;

/// A run at an engine, by a number of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunId(pub u64);

/// An attempt that runs at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub place: Place,
    pub caller: CallerId,
    pub attempt: AttemptNumber,
    pub engine: usize,
    next_event: u64,
}

/// One engine, in one life after the other.
#[derive(Clone, Debug)]
pub struct Engine {
    pub spec: EndpointSpec,
    pub version: &'static str,
    pub is_up: bool,
    pub is_listed: bool,
    pub runs: BTreeSet<RunId>,
    lives: u64,
}

/// All engines.
#[derive(Debug)]
pub struct Engines {
    all: Vec<Engine>,
    keeps_ids: bool,
}

impl Engines {
    /// The engines of a case; those that come later are not listed yet.
    pub fn new(case: &Case, rng: &mut ChaCha8Rng) -> Self {
        let mut engines = Self {
            all: Vec::new(),
            keeps_ids: case.change == Change::InPlace || rng.random_bool(0.3),
        };
        let second_is_up = matches!(case.change, Change::Mixed | Change::Leaves);
        let has_second = second_is_up || matches!(case.change, Change::Appears | Change::Replaces);
        for number in 0..case.engines * DOMAINS {
            engines.add(number, "v1", true);
        }
        let second = if has_second {
            case.engines * DOMAINS
        } else {
            0
        };
        for number in 0..second {
            engines.add(number, "v2", second_is_up);
        }
        engines
    }

    fn add(&mut self, number: usize, version: &'static str, is_up: bool) {
        let place = self.all.len();
        let spec = EndpointSpec {
            id: format!("e{place}").parse().expect("a short name"),
            born: self.keeps_ids.then_some(StartTime(1)),
            revision: 1,
            service: SERVICE.parse().expect("a short name"),
            version: version.parse().expect("a short name"),
            address: ([10, 9, (place / 250) as u8, (place % 250) as u8 + 1], 8_000).into(),
            domain: domain_name(number % DOMAINS),
            slots: 64,
            leaving: false,
            warm_up: Duration::ZERO,
        };
        self.all.push(Engine {
            spec,
            version,
            is_up,
            is_listed: is_up,
            runs: BTreeSet::new(),
            lives: 1,
        });
    }

    pub fn at(&self, engine: usize) -> &Engine {
        &self.all[engine]
    }

    pub fn at_mut(&mut self, engine: usize) -> &mut Engine {
        &mut self.all[engine]
    }

    pub fn domain(&self, engine: usize) -> usize {
        let domain = &self.all[engine].spec.domain;
        (0..DOMAINS)
            .find(|n| domain_name(*n) == *domain)
            .unwrap_or_default()
    }

    /// The entries of the list.
    pub fn listed(&self) -> Vec<EndpointSpec> {
        let listed = self.all.iter().filter(|engine| engine.is_listed);
        listed.map(|engine| engine.spec.clone()).collect()
    }

    /// The engines of a version, up or not.
    pub fn of_version(&self, version: &str) -> Vec<usize> {
        let engines = self.all.iter().enumerate();
        let of_version = engines.filter(|(_, engine)| engine.version == version);
        of_version.map(|(place, _)| place).collect()
    }

    /// Engines that run and don't leave.
    pub fn serving(&self) -> Vec<usize> {
        let engines = self.all.iter().enumerate();
        let serving = engines.filter(|(_, e)| e.is_up && e.is_listed && !e.spec.leaving);
        serving.map(|(place, _)| place).collect()
    }

    /// The engines of a failure domain that are up.
    pub fn up_in(&self, domain: usize) -> Vec<usize> {
        let places = 0..self.all.len();
        places
            .filter(|place| self.all[*place].is_up && self.domain(*place) == domain)
            .collect()
    }

    /// How many engines of a version serve.
    pub fn serving_of(&self, version: &str) -> usize {
        let serving = self.serving().into_iter();
        serving
            .filter(|place| self.all[*place].version == version)
            .count()
    }

    pub fn listening_at(&self, address: SocketAddr) -> Option<usize> {
        let mut engines = self.all.iter();
        engines.position(|engine| engine.is_up && engine.spec.address == address)
    }

    fn find(&self, id: &EndpointId) -> Option<usize> {
        let mut engines = self.all.iter();
        engines.position(|engine| engine.is_up && engine.spec.id == *id)
    }

    /// Begins the next life of an engine, of a version.
    pub fn start_again(&mut self, place: usize, version: &'static str, revision: u64) {
        let keeps_ids = self.keeps_ids;
        let engine = &mut self.all[place];
        engine.lives += 1;
        engine.version = version;
        engine.is_up = true;
        engine.is_listed = true;
        engine.spec.leaving = false;
        engine.spec.revision = revision;
        engine.spec.version = version.parse().expect("a short name");
        if keeps_ids {
            engine.spec.born = Some(StartTime(engine.lives));
        } else {
            let id = format!("e{place}-{}", engine.lives);
            engine.spec.id = id.parse().expect("a short name");
        }
    }
}

/// A service of engines with one route, whose streams may be resumed.
pub(super) fn table() -> RoutingTable {
    let service = || SERVICE.parse().expect("a short name");
    let route = Route {
        name: "route".to_owned(),
        host: HOST.to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: STREAM_TIMEOUT,
        objective: Duration::from_millis(4_500),
        targets: vec![Target {
            service: service(),
            weight: 1,
        }],
        attempts: 5,
        anonymous: true,
        priority: None,
    };
    RoutingTable::try_from(TableParts {
        version: TableVersion(1),
        routes: vec![route],
        services: vec![ServiceSpec {
            name: service(),
            health_path: "/healthz".to_owned(),
            max_connections: None,
            engine: Some(EngineSpec {
                kv_tokens: 88_000,
                mirrors: true,
                snapshots: true,
                replica_kept: Duration::from_secs(4),
            }),
        }],
        keys: None,
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            idle: Duration::from_secs(15),
        },
        ignored: Vec::new(),
    })
    .expect("a sound table")
}

impl Fleet {
    /// The engine that a failure domain reaches under an id.
    pub(super) fn reach(&self, domain: usize, id: &EndpointId) -> Option<usize> {
        let engine = self.engines.find(id)?;
        let is_cut = self.is_cut_between(domain, self.engines.domain(engine));
        (!is_cut).then_some(engine)
    }

    /// The engine among some that keeps a request's prompt and tells of it.
    pub(super) fn locate(
        &mut self,
        place: Place,
        among: &[(EndpointId, SocketAddr)],
    ) -> Option<EndpointId> {
        let is_told = self.rng.random_bool(TOLD);
        let caller = self.asked.get(&place).filter(|_| is_told)?;
        let kept = self.callers[caller.0].last_engine.clone()?;
        let is_asked = among.iter().any(|(id, _)| *id == kept);
        (is_asked && self.reach(place.0 % DOMAINS, &kept).is_some()).then_some(kept)
    }

    /// A box sends a request to an engine.
    pub(super) fn begin_run(&mut self, place: Place, attempt: &Attempt) {
        let Some(caller) = self.asked.get(&place).copied() else {
            return;
        };
        let (request, number) = (place.2, attempt.attempt);
        let ended = |outcome| Event::Ended {
            request,
            attempt: number,
            outcome,
        };
        let Some(engine) = self.reach(place.0 % DOMAINS, &attempt.endpoint) else {
            let checks = attempt.identity_path.is_some() && !self.boxes[place.0].is_old;
            let (after, outcome) = match self.why_not_reached(place.0, attempt) {
                (after, Outcome::NotRun(NotRunCause::OtherInstance(Some(id)))) if checks => {
                    (after, Outcome::NotRun(NotRunCause::Replaced(id)))
                }
                other => other,
            };
            if matches!(outcome, Outcome::NotRun(NotRunCause::OtherInstance(_))) {
                self.arrivals.on_turned_away(place, self.mail.now);
            }
            return self.post_event(place.0, after, ended(outcome));
        };
        self.counts.checks += u64::from(attempt.identity_path.is_some());
        let born = self.engines.at(engine).spec.born;
        let checked = attempt.expected_start.zip(born);
        if let Some((_, born)) = checked.filter(|(expected, born)| expected != born) {
            let outcome = Outcome::NotRun(NotRunCause::Restarted(born));
            return self.answer(place.0, ended(outcome));
        }
        self.arrivals.on_arrival(place, self.mail.now);
        self.next_run += 1;
        let id = RunId(self.next_run);
        self.engines.at_mut(engine).runs.insert(id);
        self.callers[caller.0].last_engine = Some(attempt.endpoint.clone());
        let run = Run {
            place,
            caller,
            attempt: attempt.attempt,
            engine,
            next_event: attempt.after_event.unwrap_or(0) + 1,
        };
        self.runs.insert(id, run);
        let first = if attempt.resume_from.is_some() {
            RESUMED
        } else {
            PREFILL
        };
        self.mail.post(OUTSIDE + first, Mail::Step(id));
    }

    /// What a box sees of an engine that it doesn't reach.
    fn why_not_reached(&self, at: usize, attempt: &Attempt) -> (Duration, Outcome) {
        let Some(engine) = self.engines.listening_at(attempt.address) else {
            return (OUTSIDE, Outcome::NotSent);
        };
        if self.is_cut_between(at % DOMAINS, self.engines.domain(engine)) {
            return (CONNECT_GIVEN_UP, Outcome::NotSent);
        }
        let id = self.engines.at(engine).spec.id.clone();
        let cause = NotRunCause::OtherInstance(Some(id));
        (OUTSIDE * 2, Outcome::NotRun(cause))
    }

    /// Stops the runs of a request.
    pub(super) fn stop_runs(&mut self, place: Place) {
        let of_place = self.runs.iter().filter(|(_, run)| run.place == place);
        let stopped: Vec<RunId> = of_place.map(|(id, _)| *id).collect();
        for id in stopped {
            self.remove_run(id);
        }
    }

    fn remove_run(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.engines.at_mut(run.engine).runs.remove(&id);
        Some(run)
    }

    /// An engine makes the next event of a run, or ends it.
    pub(super) fn step(&mut self, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let event = run.next_event;
        run.next_event += 1;
        let version = self.engines.at(run.engine).version;
        if event > EVENTS {
            let run = self.remove_run(id);
            if let Some(run) = run {
                self.end_run(&run, Outcome::StreamEnded);
            }
            return;
        }
        self.mail.post(OUTSIDE, Mail::Deliver(id, event, version));
        self.mail.post(EVENT_PAUSE, Mail::Step(id));
    }

    fn end_run(&mut self, run: &Run, outcome: Outcome) {
        if self.boxes[run.place.0].life != run.place.1 {
            return;
        }
        let event = Event::Ended {
            request: run.place.2,
            attempt: run.attempt,
            outcome,
        };
        self.post_event(run.place.0, OUTSIDE, event);
    }

    /// An engine ends at once, with its runs.
    pub(super) fn end_engine(&mut self, engine: usize) {
        self.engines.at_mut(engine).is_up = false;
        let runs = std::mem::take(&mut self.engines.at_mut(engine).runs);
        for id in runs {
            if let Some(run) = self.runs.remove(&id) {
                self.end_run(&run, Outcome::Broken(Fault::Closed));
            }
        }
    }
}
