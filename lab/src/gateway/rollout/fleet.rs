//! Boxes of the real decision code on made-up time, the links between them, callers and the store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{
    Arrival, AttemptNumber, Event, Fault as Broken, Outcome as Ended, RequestNumber, SnapshotName,
    Tokens,
};
use magpiemoor::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::rollout::RolloutOrder;
use magpiemoor::gateway::dispatch::rollout::status::{ObjectState, RolloutStatus, StatusWrite};
use magpiemoor::gateway::dispatch::table::{
    CallerLimits, EngineSpec, Route, RouteKind, RoutingTable, ServiceSpec, TableParts,
    TableVersion, Target,
};
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::schema::{EndpointId, Incarnation, Micros};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::endpoints::{EVENTS, EVENTS_TOGETHER, Endpoints, NEW, SERVICE};
use super::score::{Counts, Outcome};
use super::{Case, Decider, Fault};

/// When the boxes start, when the order comes, and how long it may take.
const START: Micros = Micros(1_000_000);
const ORDER_AFTER: Duration = Duration::from_secs(3);
const ORDER_FOR: Duration = Duration::from_secs(12);
/// How long a play goes on after the deadline.
const GOES_ON: Duration = Duration::from_secs(3);
/// Requests a second to the service, plain and engines.
const CALLS_PER_S: f64 = 110.0;
const STREAMS_PER_S: f64 = 24.0;
/// The part of the calls that go to the first route.
const FIRST_ROUTE: f64 = 0.59;
/// One way between boxes of a failure domain, between two domains, and between a box and anything else.
const NEAR: Duration = Duration::from_micros(600);
const FAR: Duration = Duration::from_millis(2);
const OUTSIDE: Duration = Duration::from_millis(1);
/// The share of datagrams that are lost.
const LOST: f64 = 0.002;
/// How long the store takes for a call, and until a watch tells of a change.
const STORE_CALL: Duration = Duration::from_millis(4);
/// When a fault beside the order begins, after it.
const FAULT_AT: Duration = Duration::from_secs(3);
/// How long the store is out or late.
const STORE_FAULT_FOR: Duration = Duration::from_secs(4);
/// How late a write is applied whose answer is lost.
const LATE: Duration = Duration::from_millis(3_500);
/// How long a killed box is away, and all of them.
const AWAY: Duration = Duration::from_secs(3);
const ALL_AWAY: Duration = Duration::from_secs(1);

struct FleetBox {
    dispatcher: Dispatcher,
    cfg: DispatchConfig,
    is_running: bool,
    life: u64,
    watches_rollouts: bool,
    tick_at: Micros,
    next_request: u64,
}

#[derive(Clone, Debug)]
enum Mail {
    Start,
    Tick,
    Event(Box<Event>),
    /// A caller's request.
    Call,
    /// Objects are read by a box that watches them.
    Objects,
    /// A write reaches the store.
    Write(Box<StatusWrite>),
    /// An attempt goes on at its endpoint.
    Step(Running),
    /// The operator writes the order.
    Order,
    /// The fault beside begins.
    Fault,
}

/// An attempt at an endpoint.
#[derive(Clone, Debug)]
struct Running {
    request: RequestNumber,
    attempt: AttemptNumber,
    endpoint: EndpointId,
    fails: bool,
    is_bad: bool,
    event: Duration,
    next_event: u64,
    is_stream: bool,
}

/// A fleet with one order.
pub struct Fleet {
    case: Case,
    now: Micros,
    boxes: Vec<FleetBox>,
    by_address: HashMap<SocketAddr, usize>,
    endpoints: Endpoints,
    object: Option<ObjectState>,
    last_writer: Option<usize>,
    /// Attempts that run, so that those that are stopped say nothing more.
    alive: BTreeMap<(usize, u64, RequestNumber), AttemptNumber>,
    /// The routes of requests.
    routes: HashMap<(usize, u64, RequestNumber), usize>,
    mail: BinaryHeap<Reverse<(Micros, u64)>>,
    contents: HashMap<u64, (usize, u64, Mail)>,
    posted: u64,
    counts: Counts,
    rng: ChaCha8Rng,
}

fn address(number: usize) -> SocketAddr {
    (
        [10, 1, (number / 250) as u8, (number % 250) as u8 + 1],
        7_200,
    )
        .into()
}

fn config(number: usize, case: &Case) -> DispatchConfig {
    let seeds = (0..3.min(case.boxes)).map(address).collect();
    let share = match case.decider {
        Decider::AllAtOnce => 1.0 / magpiemoor::gateway::dispatch::rollout::canary::SAFE_PART,
        _ => super::score::EXPOSURE_SHARE,
    };
    DispatchConfig {
        me: format!("box-{number:03}").parse().expect("a short name"),
        incarnation: Incarnation(1),
        domain: format!("domain-{}", number % 3)
            .parse()
            .expect("a short name"),
        address: address(number),
        seeds,
        first_start: true,
        gossip: Duration::from_millis(300),
        fleet_boxes: case.boxes,
        retries: RetryPolicy {
            ratio: 0.8,
            reserve: 150.0,
            window: Duration::from_secs(10),
        },
        rollout_share: share,
    }
}

fn table(case: &Case) -> RoutingTable {
    let kind = |place: usize| match (case.engines, place) {
        (true, _) => RouteKind::Stream { resumable: true },
        (false, 0) => RouteKind::Once,
        (false, _) => RouteKind::Repeatable,
    };
    let route = |place: usize| Route {
        name: format!("route-{place}"),
        host: "h".to_owned(),
        path_prefix: format!("/{place}/"),
        kind: kind(place),
        timeout: Duration::from_millis(if case.engines { 25_000 } else { 1_200 }),
        objective: Duration::from_millis(if case.engines { 4_500 } else { 150 }),
        targets: vec![Target {
            service: SERVICE.parse().expect("a short name"),
            weight: 1,
        }],
        attempts: if case.engines { 5 } else { 2 },
        anonymous: true,
    };
    let engine = EngineSpec {
        kv_tokens: 88_000,
        mirrors: true,
        snapshots: true,
        replica_kept: Duration::from_secs(4),
    };
    RoutingTable::try_from(TableParts {
        version: TableVersion(1),
        routes: vec![route(0), route(1)],
        services: vec![ServiceSpec {
            name: SERVICE.parse().expect("a short name"),
            health_path: "/healthz".to_owned(),
            engine: case.engines.then_some(engine),
        }],
        keys: None,
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            idle: Duration::from_secs(15),
        },
    })
    .expect("a sound table")
}

impl Fleet {
    /// The boxes of a case, about to start.
    #[must_use]
    pub fn new(case: Case) -> Self {
        let ordered = START.after(ORDER_AFTER);
        let boxes = (0..case.boxes).map(|number| {
            let cfg = config(number, &case);
            FleetBox {
                dispatcher: Dispatcher::new(cfg.clone(), case.seed, START),
                cfg,
                is_running: false,
                life: 0,
                watches_rollouts: false,
                tick_at: START,
                next_request: 0,
            }
        });
        let mut fleet = Self {
            case,
            now: START,
            boxes: boxes.collect(),
            by_address: (0..case.boxes).map(|n| (address(n), n)).collect(),
            endpoints: Endpoints::new(case, ordered),
            object: None,
            last_writer: None,
            alive: BTreeMap::new(),
            routes: HashMap::new(),
            mail: BinaryHeap::new(),
            contents: HashMap::new(),
            posted: 0,
            counts: Counts::default(),
            rng: ChaCha8Rng::seed_from_u64(case.seed),
        };
        for number in 0..case.boxes {
            let delay = Duration::from_millis(fleet.rng.random_range(0..300));
            fleet.post(number, delay, Mail::Start);
        }
        fleet.post(0, Duration::from_secs(1), Mail::Call);
        fleet.post(0, ORDER_AFTER, Mail::Order);
        fleet.post(0, ORDER_AFTER + FAULT_AT, Mail::Fault);
        fleet
    }

    /// Plays the order to its end.
    #[must_use]
    pub fn play(mut self) -> Outcome {
        let ordered = START.after(ORDER_AFTER);
        let deadline = ordered.after(ORDER_FOR);
        let end = deadline.after(GOES_ON);
        while let Some(Reverse((at, id))) = self.mail.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let Some((to, life, mail)) = self.contents.remove(&id) else {
                continue;
            };
            if self.boxes[to].life == life || is_of_world(&mail) {
                self.take(to, mail);
            }
        }
        Outcome::new(&self.case, &self.counts, ordered, deadline)
    }

    fn post(&mut self, to: usize, after: Duration, mail: Mail) {
        self.posted += 1;
        let id = self.posted;
        let life = self.boxes.get(to).map_or(0, |b| b.life);
        self.mail.push(Reverse((self.now.after(after), id)));
        self.contents.insert(id, (to, life, mail));
    }

    fn take(&mut self, to: usize, mail: Mail) {
        match mail {
            Mail::Start => self.start(to),
            Mail::Tick => {
                if self.boxes[to].tick_at <= self.now {
                    self.handle(to, Event::Tick);
                }
            }
            Mail::Event(event) => self.handle(to, *event),
            Mail::Call => self.call(),
            Mail::Objects => self.read_objects(to),
            Mail::Write(write) => self.apply(&write),
            Mail::Step(running) => self.step(to, running),
            Mail::Order => self.order(),
            Mail::Fault => self.bring_fault(),
        }
    }

    fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let found = &mut self.boxes[at];
        found.cfg.incarnation = Incarnation(self.now.0);
        found.dispatcher = Dispatcher::new(found.cfg.clone(), seed, self.now);
        found.is_running = true;
        found.watches_rollouts = false;
        found.tick_at = self.now;
        let specs = self.endpoints.specs();
        self.handle(at, Event::Table(Arc::new(table(&self.case))));
        self.list(at, specs);
        self.handle(at, Event::Tick);
    }

    fn list(&mut self, at: usize, specs: Vec<magpiemoor::gateway::dispatch::event::EndpointSpec>) {
        let unreadable = Vec::new();
        self.handle(
            at,
            Event::EndpointsListed {
                specs,
                unreadable,
                at: 1,
            },
        );
    }

    fn kill(&mut self, at: usize, away: Duration) {
        self.boxes[at].is_running = false;
        self.boxes[at].life += 1;
        self.post(at, away, Mail::Start);
    }

    /// A request arrives at some running box.
    fn call(&mut self) {
        let rate = if self.case.engines {
            STREAMS_PER_S
        } else {
            CALLS_PER_S
        };
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        self.post(0, Duration::from_secs_f64(pause), Mail::Call);
        let running: Vec<usize> = (0..self.boxes.len())
            .filter(|n| self.boxes[*n].is_running)
            .collect();
        if running.is_empty() {
            return;
        }
        let at = running[self.rng.random_range(0..running.len())];
        let route = usize::from(!self.rng.random_bool(FIRST_ROUTE));
        self.boxes[at].next_request += 1;
        let number = self.boxes[at].next_request;
        let key = (at, self.boxes[at].life, RequestNumber(number));
        self.routes.insert(key, route);
        let arrival = Arrival {
            id: format!("{at}-{}-{number}", self.boxes[at].life),
            host: "h".to_owned(),
            path: format!("/{route}/x"),
            key: None,
            patience: Some(Duration::from_millis(if self.case.engines {
                25_000
            } else {
                2_500
            })),
            after_event: None,
            parts: vec![format!("part-{at}-{number}")],
            prompt: Tokens(if self.case.engines { 8_000 } else { 0 }),
            output: Tokens(if self.case.engines { 500 } else { 0 }),
        };
        self.handle(
            at,
            Event::Arrived {
                request: RequestNumber(number),
                arrival,
            },
        );
    }

    fn handle(&mut self, at: usize, event: Event) {
        if !self.boxes[at].is_running {
            return;
        }
        let actions = self.boxes[at].dispatcher.handle(self.now, event);
        for action in actions {
            self.perform(at, action);
        }
        let next = self.boxes[at].dispatcher.next_tick();
        let tick_at = next.max(self.now.after(Duration::from_millis(1)));
        if tick_at != self.boxes[at].tick_at || tick_at <= self.now {
            self.boxes[at].tick_at = tick_at;
            self.post(at, tick_at.since(self.now), Mail::Tick);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        match action {
            Action::Gossip { to, state } => self.send(at, &to, &Event::Peer(*state)),
            Action::GossipUsage { to, news } => self.send(at, &to, &Event::PeerUsage(news)),
            Action::FetchState { from, kind, .. } => self.fetch(at, from, kind),
            Action::WatchStore(true) => self.answer(at, Event::StoreAnswered),
            Action::WatchRollouts(is_watching) => {
                self.boxes[at].watches_rollouts = is_watching;
                if is_watching {
                    self.post(at, STORE_CALL, Mail::Objects);
                }
            }
            Action::WriteRollout(write) => self.write(at, write),
            Action::Command { request, command } => self.command(at, request, command),
            Action::Probe { endpoint, .. } => self.answer(
                at,
                Event::Probed {
                    endpoint,
                    is_answered: true,
                    born: None,
                },
            ),
            Action::TakeSnapshot(asked) => {
                let event = Event::SnapshotTaken {
                    request: asked.request,
                    attempt: asked.attempt,
                    host: asked.host,
                    name: Some(SnapshotName("s".to_owned())),
                };
                let taken = Duration::from_millis(100);
                self.post(at, taken, Mail::Event(Box::new(event)));
            }
            Action::Locate { request, .. } => self.answer(
                at,
                Event::Located {
                    request,
                    endpoint: None,
                },
            ),
            _ => {}
        }
    }

    /// What comes back from outside at once.
    fn answer(&mut self, at: usize, event: Event) {
        self.post(at, OUTSIDE * 2, Mail::Event(Box::new(event)));
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], event: &Event) {
        for address in to {
            let Some(to) = self.by_address.get(address).copied() else {
                continue;
            };
            if self.rng.random_bool(LOST) || !self.boxes[to].is_running {
                continue;
            }
            let is_near = to % 3 == from % 3;
            let way = if is_near { NEAR } else { FAR };
            let way = way.mul_f64(self.rng.random_range(0.5..2.0));
            self.post(to, way, Mail::Event(Box::new(event.clone())));
        }
    }

    fn fetch(&mut self, at: usize, from: SocketAddr, kind: FetchKind) {
        let event = Event::Fetched {
            kind,
            from,
            outcome: FetchOutcome::Whole,
        };
        self.answer(at, event);
    }

    /// Whether the store can't be reached.
    fn store_is_out(&self) -> bool {
        let begin = START.after(ORDER_AFTER + FAULT_AT);
        let lasts = self.now >= begin && self.now.since(begin) < STORE_FAULT_FOR;
        self.case.fault == Fault::StoreDown && lasts
    }

    fn store_is_late(&self) -> bool {
        let begin = START.after(ORDER_AFTER + FAULT_AT);
        let lasts = self.now >= begin && self.now.since(begin) < STORE_FAULT_FOR * 2;
        self.case.fault == Fault::StoreLate && lasts
    }

    fn order(&mut self) {
        let order = RolloutOrder::new(
            SERVICE.parse().expect("a short name"),
            NEW.parse().expect("a short name"),
            ORDER_FOR,
            1,
        );
        self.object = Some(ObjectState {
            order,
            revision: 10,
            status: None,
            text: "{}".to_owned(),
        });
        self.tell_watchers();
    }

    fn tell_watchers(&mut self) {
        for at in 0..self.boxes.len() {
            if self.boxes[at].watches_rollouts {
                self.post(at, STORE_CALL, Mail::Objects);
            }
        }
    }

    fn read_objects(&mut self, at: usize) {
        if self.store_is_out() {
            self.post(at, Duration::from_millis(300), Mail::Objects);
            return;
        }
        self.handle(at, Event::StoreAnswered);
        let event = Event::Rollouts {
            objects: self.object.clone().into_iter().collect(),
            gone: Vec::new(),
            is_whole: true,
        };
        self.handle(at, event);
    }

    fn write(&mut self, at: usize, write: StatusWrite) {
        self.counts.writes += 1;
        self.last_writer = Some(at);
        let way = if self.store_is_out() {
            return;
        } else if self.store_is_late() {
            LATE
        } else {
            STORE_CALL
        };
        self.post(at, way, Mail::Write(Box::new(write)));
    }

    fn apply(&mut self, write: &StatusWrite) {
        let Some(object) = self.object.as_mut() else {
            return;
        };
        if object.revision != write.revision {
            return;
        }
        object.revision += 1;
        object.status = Some(write.status);
        if self.counts.ended.is_none() && write.status != RolloutStatus::InProgress {
            let is_completed = write.status == RolloutStatus::Completed;
            self.counts.ended = Some((self.now, is_completed));
            if is_completed {
                self.stop_old();
            }
        }
        self.tell_watchers();
    }

    /// The old version stops at once; what runs there is cut.
    fn stop_old(&mut self) {
        self.endpoints.old_has_stopped = true;
        let running = self
            .contents
            .values()
            .filter_map(|(to, life, mail)| match mail {
                Mail::Step(running) => Some((*to, *life, running)),
                _ => None,
            });
        let cut = running.filter(|(to, life, running)| {
            let key = (*to, *life, running.request);
            let is_alive = self.alive.get(&key) == Some(&running.attempt);
            is_alive && !self.endpoints.is_new(&running.endpoint)
        });
        self.counts.cut += cut.count() as u32;
        let specs = self.endpoints.specs();
        for at in 0..self.boxes.len() {
            self.list(at, specs.clone());
        }
    }

    fn bring_fault(&mut self) {
        match self.case.fault {
            Fault::WriterKilled => {
                if let Some(at) = self.last_writer {
                    self.kill(at, AWAY);
                }
            }
            Fault::AllKilled => {
                for at in 0..self.boxes.len() {
                    self.kill(at, ALL_AWAY);
                }
            }
            _ => {}
        }
    }

    fn command(&mut self, at: usize, request: RequestNumber, command: Command) {
        let life = self.boxes[at].life;
        match command {
            Command::Send(attempt) => self.serve(at, request, *attempt),
            Command::StopAttempt(_) => {
                self.alive.remove(&(at, life, request));
            }
            Command::Deliver | Command::Finish => self.counts.served += 1,
            Command::Refuse(_) => self.counts.lost += 1,
        }
    }

    fn serve(&mut self, at: usize, request: RequestNumber, attempt: Attempt) {
        let is_new = self.endpoints.is_new(&attempt.endpoint);
        if self.now >= START.after(ORDER_AFTER) {
            self.counts.arrivals.push((self.now, is_new));
        }
        let key = (at, self.boxes[at].life, request);
        let route = self.routes.get(&key).copied().unwrap_or_default();
        let resumed = attempt.resume_from.is_some();
        let endpoint = &attempt.endpoint;
        let served = self
            .endpoints
            .serve(endpoint, route, resumed, self.now, &mut self.rng);
        self.alive.insert(key, attempt.attempt);
        let Some(served) = served else {
            let event = Event::Ended {
                request,
                attempt: attempt.attempt,
                outcome: Ended::NotSent,
            };
            return self.post(at, OUTSIDE, Mail::Event(Box::new(event)));
        };
        let running = Running {
            request,
            attempt: attempt.attempt,
            endpoint: attempt.endpoint,
            fails: served.fails,
            is_bad: served.is_bad_version,
            event: served.event,
            next_event: attempt.after_event.unwrap_or(0) + 1,
            is_stream: self.case.engines,
        };
        self.post(at, OUTSIDE * 2 + served.first, Mail::Step(running));
    }

    /// An attempt has its answer or its next events.
    fn step(&mut self, at: usize, mut running: Running) {
        let key = (at, self.boxes[at].life, running.request);
        let is_cut = self.endpoints.old_has_stopped && !self.endpoints.is_new(&running.endpoint);
        if self.alive.get(&key) != Some(&running.attempt) {
            self.endpoints.end(&running.endpoint);
            return;
        }
        let fails_now = running.fails && (!running.is_stream || running.next_event > 8);
        let ended = |outcome| Event::Ended {
            request: running.request,
            attempt: running.attempt,
            outcome,
        };
        let event = if is_cut || running.is_stream && fails_now {
            ended(Ended::Broken(Broken::Closed))
        } else if !running.is_stream {
            ended(Ended::Answered {
                status: if fails_now { 500 } else { 200 },
            })
        } else if running.next_event > EVENTS {
            ended(Ended::StreamEnded)
        } else {
            let last_event = running.next_event + EVENTS_TOGETHER - 1;
            let event = Event::Progress {
                request: running.request,
                attempt: running.attempt,
                last_event,
            };
            running.next_event = last_event + 1;
            let next = running.event * EVENTS_TOGETHER as u32;
            self.post(at, next, Mail::Step(running));
            return self.handle(at, event);
        };
        let is_new = self.endpoints.is_new(&running.endpoint);
        let event = wrong_on_purpose(self.case.decider, is_new, event);
        if running.is_bad {
            self.counts.bad_answers.push(self.now);
        }
        self.alive.remove(&key);
        self.endpoints.end(&running.endpoint);
        self.handle(at, event);
    }
}

/// Whether something happens whatever became of the box that it was posted to.
fn is_of_world(mail: &Mail) -> bool {
    matches!(
        mail,
        Mail::Call | Mail::Order | Mail::Fault | Mail::Start | Mail::Write(_)
    )
}

/// What a decider that is wrong on purpose is told instead: one that takes no version for bad hears
/// of no failure, one that blames a version for its domain hears of none elsewhere.
fn wrong_on_purpose(decider: Decider, is_new: bool, event: Event) -> Event {
    let is_told_well = match decider {
        Decider::Real | Decider::AllAtOnce => false,
        Decider::NeverBad => true,
        Decider::BlamesDomain => !is_new,
    };
    match event {
        Event::Ended {
            request,
            attempt,
            outcome: Ended::Answered { .. },
        } if is_told_well => Event::Ended {
            request,
            attempt,
            outcome: Ended::Answered { status: 200 },
        },
        event => event,
    }
}
