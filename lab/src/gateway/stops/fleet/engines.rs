//! Engines with few slots, of which some leave or crash, and the runs there.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Attempt;
use magpiemoor::gateway::dispatch::event::{
    AttemptNumber, EndpointChange, EndpointSpec, Event, Fault, NotRunCause, Outcome,
};
use magpiemoor::gateway::dispatch::table::{
    CallerLimits, EngineSpec, Route, RouteKind, RoutingTable, ServiceSpec, TableParts,
    TableVersion, Target,
};
use magpiemoor::schema::EndpointId;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::callers::CallerId;
use super::{Case, DOMAINS, Fleet, LEAVING_AFTER, Mail, OUTSIDE, Place};
use crate::gateway::boxes::domain_name;

/// The host that callers ask.
pub(super) const HOST: &str = "h";
const SERVICE: &str = "served";
/// Streams that an engine runs at once.
const SLOTS: u32 = 4;
/// By how much each other stream slows an engine down.
const SLOWDOWN: f64 = 0.06;
/// Events of a stream.
const EVENTS: u64 = 16;
/// The time until the first event from the prompt, and at the engine that keeps it.
const PREFILL: Duration = Duration::from_millis(900);
const KEPT: Duration = Duration::from_millis(80);
/// The time that the first event of a stream may take.
pub(super) const OBJECTIVE: Duration = Duration::from_millis(4_500);
/// The share of prompts that engines tell of.
const TOLD: f64 = 0.8;
/// How long an engine serves that leaves, and how long one is away that crashed.
const DRAIN: Duration = Duration::from_secs(10);
const CRASHED_FOR: Duration = Duration::from_millis(1_500);
const CRASH_PAUSE: Duration = Duration::from_secs(2);
/// The time until a box hears of a change of the list, in seconds.
const LISTED_WITHIN: (f64, f64) = (0.02, 0.4);

/// A run at an engine, by a number of its own.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunId(pub u64);

/// An attempt that runs at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub place: Place,
    pub caller: CallerId,
    pub attempt: AttemptNumber,
    engine: usize,
    next_event: u64,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub spec: EndpointSpec,
    is_up: bool,
    lives: u64,
    runs: BTreeSet<RunId>,
}

/// The engines of a case: as many as boxes, and at least two in each failure domain.
pub(super) fn of(case: &Case) -> Vec<Engine> {
    let count = case.boxes.max(2 * DOMAINS);
    let engine = |number: usize| Engine {
        spec: EndpointSpec {
            id: format!("e{number}").parse().expect("a short name"),
            born: None,
            revision: 1,
            service: SERVICE.parse().expect("a short name"),
            version: "v1".parse().expect("a short name"),
            address: ([10, 9, 0, number as u8 + 1], 8_000).into(),
            domain: domain_name(number % DOMAINS),
            slots: SLOTS,
            leaving: false,
            warm_up: Duration::ZERO,
        },
        is_up: true,
        lives: 1,
        runs: BTreeSet::new(),
    };
    (0..count).map(engine).collect()
}

/// Streams a second that engines can run.
pub(super) fn capacity(case: &Case, engines: usize) -> f64 {
    let slots = engines as f64 * f64::from(SLOTS);
    let others = f64::from(SLOTS - 1);
    let run = case.run.as_secs_f64() * (1.0 + SLOWDOWN * others) + PREFILL.as_secs_f64();
    slots / run
}

/// A service of engines with one route, whose streams may be resumed.
pub(super) fn table() -> RoutingTable {
    let service = || SERVICE.parse().expect("a short name");
    let route = Route {
        name: "route".to_owned(),
        host: HOST.to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(25),
        objective: OBJECTIVE,
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
                kv_tokens: 1_000_000,
                mirrors: false,
                snapshots: false,
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
    pub(super) fn post_leaving(&mut self) {
        let leaving = (self.engines.len() as f64 * self.case.leaving) as usize;
        let places: Vec<usize> = (0..self.engines.len()).collect();
        let chosen = places.choose_multiple(&mut self.rng, leaving);
        let chosen: Vec<usize> = chosen.copied().collect();
        for (number, engine) in chosen.into_iter().enumerate() {
            let after = LEAVING_AFTER + Duration::from_millis(200) * number as u32;
            self.mail.post(after, Mail::Leave(engine));
        }
    }

    pub(super) fn send_list(&mut self, at: usize) {
        let listed = self.engines.iter().filter(|e| e.is_up);
        let list = Event::EndpointsListed {
            specs: listed.map(|e| e.spec.clone()).collect(),
            unreadable: Vec::new(),
            at: self.revision,
        };
        self.handle(at, list);
    }

    /// Has all boxes hear of a change of the list, unless the store is out.
    fn list_change(&mut self, change: &EndpointChange) {
        self.revision += 1;
        if self.is_store_out() {
            return;
        }
        for at in 0..self.boxes.len() {
            let after = self.rng.random_range(LISTED_WITHIN.0..LISTED_WITHIN.1);
            let event = Event::EndpointsChanged {
                changes: vec![change.clone()],
                at: self.revision,
            };
            self.post_event(at, Duration::from_secs_f64(after), event);
        }
    }

    /// An engine leaves; it ends once its streams have.
    pub(super) fn leave(&mut self, engine: usize) {
        let revision = self.revision + 1;
        let spec = &mut self.engines[engine].spec;
        (spec.leaving, spec.revision) = (true, revision);
        let change = EndpointChange::Present(spec.clone());
        self.list_change(&change);
        self.mail.post(DRAIN, Mail::EndEngine(engine));
    }

    pub(super) fn end_engine(&mut self, engine: usize) {
        let found = &mut self.engines[engine];
        found.is_up = false;
        let (id, runs) = (found.spec.id.clone(), std::mem::take(&mut found.runs));
        for run in runs {
            if let Some(run) = self.runs.remove(&run) {
                self.end_run(&run, Outcome::Broken(Fault::Closed));
            }
        }
        self.list_change(&EndpointChange::Absent(id));
    }

    pub(super) fn crash_engine(&mut self) {
        self.mail.post(CRASH_PAUSE, Mail::Crash);
        let up = self.engines.iter().enumerate();
        let up = up.filter(|(_, e)| e.is_up && !e.spec.leaving);
        let up: Vec<usize> = up.map(|(place, _)| place).collect();
        if let Some(engine) = up.choose(&mut self.rng).copied() {
            self.end_engine(engine);
            self.mail.post(CRASHED_FOR, Mail::EngineBack(engine));
        }
    }

    pub(super) fn restart_engine(&mut self, engine: usize) {
        let revision = self.revision + 1;
        let found = &mut self.engines[engine];
        found.lives += 1;
        found.is_up = true;
        let id = format!("e{engine}-{}", found.lives);
        found.spec.id = id.parse().expect("a short name");
        found.spec.revision = revision;
        let change = EndpointChange::Present(found.spec.clone());
        self.list_change(&change);
    }

    /// The engine that is up under an id.
    pub(super) fn engine(&self, id: &EndpointId) -> Option<usize> {
        let mut engines = self.engines.iter();
        engines.position(|engine| engine.is_up && engine.spec.id == *id)
    }

    /// Whether an engine runs less than it can.
    pub(super) fn has_room(&self, id: &EndpointId) -> bool {
        let engine = self.engine(id).map(|engine| &self.engines[engine]);
        engine.is_some_and(|engine| engine.runs.len() < SLOTS as usize)
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
        (is_asked && self.engine(&kept).is_some()).then_some(kept)
    }

    /// A box sends a request to an engine.
    pub(super) fn begin_run(&mut self, place: Place, attempt: &Attempt) {
        let Some(caller) = self.asked.get(&place).copied() else {
            return;
        };
        let ended = |outcome| Event::Ended {
            request: place.2,
            attempt: attempt.attempt,
            outcome,
        };
        let Some(engine) = self.engine(&attempt.endpoint) else {
            return self.answer(place.0, ended(Outcome::NotSent));
        };
        if !self.has_room(&attempt.endpoint) {
            return self.answer(place.0, ended(Outcome::NotRun(NotRunCause::NoRoom)));
        }
        self.next_run += 1;
        let id = RunId(self.next_run);
        self.engines[engine].runs.insert(id);
        let last_engine = &mut self.callers[caller.0].last_engine;
        let kept = last_engine.replace(attempt.endpoint.clone());
        let run = Run {
            place,
            caller,
            attempt: attempt.attempt,
            engine,
            next_event: attempt.after_event.unwrap_or(0) + 1,
        };
        self.runs.insert(id, run);
        let first = if kept.as_ref() == Some(&attempt.endpoint) {
            KEPT
        } else {
            PREFILL
        };
        self.mail.post(OUTSIDE + first, Mail::Step(id));
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
        self.engines[run.engine].runs.remove(&id);
        Some(run)
    }

    /// An engine makes the next event of a run, or ends it.
    pub(super) fn step(&mut self, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let event = run.next_event;
        run.next_event += 1;
        if event > EVENTS {
            if let Some(run) = self.remove_run(id) {
                self.end_run(&run, Outcome::StreamEnded);
            }
            return;
        }
        let run = run.clone();
        let others = self.engines[run.engine].runs.len().saturating_sub(1);
        let slowed = self.case.run.mul_f64(1.0 + SLOWDOWN * others as f64);
        self.mail.post(slowed / EVENTS as u32, Mail::Step(id));
        self.deliver(&run, event);
    }

    fn end_run(&mut self, run: &Run, outcome: Outcome) {
        let event = Event::Ended {
            request: run.place.2,
            attempt: run.attempt,
            outcome,
        };
        if self.boxes[run.place.0].life == run.place.1 {
            self.post_event(run.place.0, OUTSIDE, event);
        }
    }
}
