//! Boxes of the real decision code on made-up time, and the links between them.
//!
//! `setup` makes them, `traffic` holds what callers and endpoints do, `store` the store with the
//! order, `reach` who is cut off or frozen.

mod reach;
mod setup;
mod store;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{
    AttemptNumber, EndpointSpec, Event, ProbeResult, RequestNumber, SnapshotName,
};
use magpiemoor::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use magpiemoor::gateway::dispatch::rollout::status::{ObjectState, StatusWrite};
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::schema::{EndpointId, Incarnation, Micros};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::endpoints::{Endpoints, FAULT_AT};
use super::score::{Counts, Outcome};
use super::{Case, Fault};
use setup::{address, config, table};
use store::STORE_CALL;
use traffic::Running;

/// When the boxes start, when the order comes, and how long it may take.
const START: Micros = Micros(1_000_000);
const ORDER_AFTER: Duration = Duration::from_secs(3);
const ORDER_FOR: Duration = Duration::from_secs(12);
/// How long a play goes on after the deadline: an order that would expose callers to more of a version
/// than may be is carried out then.
const GOES_ON: Duration = Duration::from_secs(8);
/// One way between boxes of a failure domain, between two domains, and between a box and anything else.
const NEAR: Duration = Duration::from_micros(600);
const FAR: Duration = Duration::from_millis(2);
const OUTSIDE: Duration = Duration::from_millis(1);
/// The share of datagrams that are lost.
const LOST: f64 = 0.002;
/// How long a killed box is away, and all of them.
const AWAY: Duration = Duration::from_secs(3);
const ALL_AWAY: Duration = Duration::from_secs(1);

struct FleetBox {
    dispatcher: Dispatcher,
    cfg: DispatchConfig,
    is_running: bool,
    life: u64,
    watches_store: bool,
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
    /// A watch of tables and endpoints is answered, without a change.
    NoChange,
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
                watches_store: false,
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
            if is_of_world(&mail) {
                self.take(to, mail);
            } else if self.boxes[to].life == life
                && let Some(mail) = self.keep_if_frozen(to, mail)
            {
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
            Mail::NoChange => self.answer_watch(to),
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
        found.watches_store = false;
        found.watches_rollouts = false;
        found.tick_at = self.now;
        let specs = self.endpoints.specs();
        self.handle(at, Event::Table(Arc::new(table(&self.case))));
        self.list(at, specs);
        self.handle(at, Event::Tick);
    }

    fn list(&mut self, at: usize, specs: Vec<EndpointSpec>) {
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
            Action::Gossip { to, state, .. } => self.send(at, &to, &Event::Peer(*state)),
            Action::GossipUsage {
                to, update: news, ..
            } => self.send(at, &to, &Event::PeerUsage(news)),
            Action::PublishStoreAnswer { to, watcher } => {
                self.send(at, &to, &Event::PeerStoreAnswer(watcher));
            }
            Action::FetchState { from, kind, .. } => self.fetch(at, from, kind),
            Action::WatchStore(is_watching) => self.watch_store(at, is_watching),
            Action::WatchRollouts(is_watching) => {
                self.boxes[at].watches_rollouts = is_watching;
                if is_watching {
                    self.post(at, STORE_CALL, Mail::Objects);
                }
            }
            Action::WriteRollout(write) => self.write(at, write),
            Action::Command { request, command } => self.command(at, request, command),
            Action::CheckPath {
                service, endpoints, ..
            } => {
                let is_reached =
                    |(id, _): &(EndpointId, SocketAddr)| self.unreachable_for(at, id).is_none();
                let event = Event::PathChecked {
                    service,
                    is_reached: endpoints.iter().any(is_reached),
                };
                self.answer(at, event);
            }
            Action::Probe { endpoint, .. } => {
                let result = ProbeResult::of_reach(self.unreachable_for(at, &endpoint).is_none());
                let event = Event::Probed {
                    endpoint,
                    result,
                    born: None,
                };
                self.answer(at, event);
            }
            Action::TakeSnapshot(asked) => {
                let event = Event::SnapshotTaken {
                    request: asked.request,
                    attempt: asked.attempt,
                    host: asked.host,
                    name: Ok(SnapshotName("s".to_owned())),
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
            let is_lost = self.rng.random_bool(LOST) || self.is_cut_between(from, to);
            if is_lost || !self.boxes[to].is_running {
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
            outcome: FetchOutcome::Complete,
        };
        self.answer(at, event);
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
}

/// Whether something happens whatever became of the box that it was posted to.
fn is_of_world(mail: &Mail) -> bool {
    matches!(
        mail,
        Mail::Call | Mail::Order | Mail::Fault | Mail::Start | Mail::Write(_)
    )
}
