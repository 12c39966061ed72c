//! Boxes of the real decision code on made-up time, the links between them, and the load balancer.
//!
//! `engines` holds the engines, `callers` those who read streams.

mod callers;
mod engines;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{Event, ProbeResult, RequestNumber, SnapshotFailure};
use magpiemoor::gateway::dispatch::fetches::FetchOutcome;
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::dispatch::table::RoutingTable;
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::gateway::shell::datagram;
use magpiemoor::schema::{Incarnation, Micros};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::score::{Counts, Outcome};
use super::{Beside, Case};
use crate::gateway::boxes::{address, config};
use crate::gateway::mailbox::Mailbox;
use callers::{Caller, CallerId};
use engines::{Engine, Run, RunId};

/// How many failure domains there are.
const DOMAINS: usize = 3;
/// When the boxes start.
const START: Micros = Micros(1_000_000);
/// When callers begin, engines leave and boxes are stopped, after that.
const CALLERS_AFTER: Duration = Duration::from_secs(2);
const LEAVING_AFTER: Duration = Duration::from_secs(4);
const STOPS_AFTER: Duration = Duration::from_secs(14);
/// How long a play lasts.
const PLAYED: Duration = Duration::from_secs(60);
/// One way between boxes of a failure domain, between two domains, and between a box and anything else.
const NEAR: Duration = Duration::from_micros(600);
const FAR: Duration = Duration::from_millis(2);
const OUTSIDE: Duration = Duration::from_millis(1);
/// The share of datagrams that are lost.
const LOST: f64 = 0.002;
/// The time that a box has to stop, and after which it exits at the latest.
const GRACE: Duration = Duration::from_millis(7_750);
const EXITS_AFTER: Duration = Duration::from_millis(7_900);
/// How long a stopping box accepts connections.
const ACCEPTS_FOR: Duration = Duration::from_secs(3);
/// How often a stopping box looks whether it may exit.
const LOOK: Duration = Duration::from_millis(50);
/// How long a box is away after its exit.
const AWAY: Duration = Duration::from_millis(600);
/// The interval of the load balancer's checks, and the failures after which a box is out.
const CHECK: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;
/// How long the store is out, from the first stop on.
const STORE_OUT_FOR: Duration = Duration::from_secs(12);
/// Stories of faults that are kept.
const MOST_STORIES: usize = 4;

struct SimBox {
    dispatcher: Dispatcher,
    cfg: DispatchConfig,
    is_running: bool,
    /// When it got the signal to stop.
    stopped_at: Option<Micros>,
    life: u64,
    tick_at: Micros,
    next_request: u64,
    /// Checks of the load balancer that failed one after the other, and whether it gets callers.
    misses: u32,
    is_in: bool,
}

#[derive(Clone, Debug)]
enum Mail {
    Start(usize),
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    /// The load balancer checks a box.
    Check(usize),
    NewCaller,
    Attempt(CallerId),
    /// An engine makes the next event of a run.
    Step(RunId),
    /// An engine leaves, ends, or crashes and is back later.
    Leave(usize),
    EndEngine(usize),
    Crash,
    EngineBack(usize),
    /// Boxes get the signal to stop.
    Signal(Vec<usize>),
    /// A stopping box exits if it may.
    Exit(usize, u64),
    /// A box is killed.
    Kill(usize),
    /// All boxes get the list, after an outage of the store.
    Relist,
}

/// A request at a box, in a life of it.
type Place = (usize, u64, RequestNumber);

/// A fleet whose boxes are stopped.
pub struct Fleet {
    case: Case,
    mail: Mailbox<Mail>,
    boxes: Vec<SimBox>,
    by_address: HashMap<SocketAddr, usize>,
    table: Arc<RoutingTable>,
    engines: Vec<Engine>,
    callers: Vec<Caller>,
    /// Which caller's request it is.
    asked: BTreeMap<Place, CallerId>,
    runs: BTreeMap<RunId, Run>,
    next_run: u64,
    revision: u64,
    store_out_until: Micros,
    counts: Counts,
    /// The last record of what a request is held for.
    held: String,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// The boxes of a case, about to start.
    #[must_use]
    pub fn new(case: Case) -> Self {
        let boxes = (0..case.boxes).map(|number| {
            let cfg = config(number, case.boxes, DOMAINS);
            SimBox {
                dispatcher: Dispatcher::new(cfg.clone(), case.seed, START),
                cfg,
                is_running: false,
                stopped_at: None,
                life: 0,
                tick_at: START,
                next_request: 0,
                misses: MISSES,
                is_in: false,
            }
        });
        let mut fleet = Self {
            mail: Mailbox::new(START),
            boxes: boxes.collect(),
            by_address: (0..case.boxes).map(|n| (address(n), n)).collect(),
            table: Arc::new(engines::table()),
            engines: engines::of(&case),
            callers: Vec::new(),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            revision: 1,
            store_out_until: START,
            counts: Counts::default(),
            held: String::new(),
            rng: ChaCha8Rng::seed_from_u64(case.seed),
            case,
        };
        fleet.post_all();
        fleet
    }

    fn post_all(&mut self) {
        for number in 0..self.case.boxes {
            let delay = Duration::from_millis(self.rng.random_range(0..300));
            self.mail.post(delay, Mail::Start(number));
            let phase = CHECK.mul_f64(self.rng.random());
            self.mail.post(phase, Mail::Check(number));
        }
        self.mail.post(CALLERS_AFTER, Mail::NewCaller);
        self.post_leaving();
        self.post_stops();
        match self.case.beside {
            Beside::Nothing => {}
            Beside::StoreOut => {
                let until = STOPS_AFTER + STORE_OUT_FOR;
                self.store_out_until = START.after(until);
                self.mail.post(until, Mail::Relist);
            }
            Beside::PeerLost => {
                let lost = self.rng.random_range(0..self.case.boxes);
                let after = STOPS_AFTER + GRACE.mul_f64(self.rng.random());
                self.mail.post(after, Mail::Kill(lost));
            }
            Beside::EnginesCrash => self.mail.post(STOPS_AFTER, Mail::Crash),
        }
    }

    fn post_stops(&mut self) {
        let series = self.case.series;
        let mut order: Vec<usize> = (0..self.case.boxes).collect();
        order.shuffle(&mut self.rng);
        order.truncate((self.case.boxes as f64 * series.share).ceil() as usize);
        for (number, boxes) in order.chunks(series.at_once).enumerate() {
            let after = STOPS_AFTER + series.gap * number as u32;
            self.mail.post(after, Mail::Signal(boxes.to_vec()));
        }
    }

    /// Plays the case to its end.
    #[must_use]
    pub fn play(mut self) -> Outcome {
        while let Some(mail) = self.mail.next(START.after(PLAYED)) {
            self.take(mail);
        }
        self.count_callers();
        Outcome {
            case: self.case,
            counts: self.counts,
        }
    }

    fn now(&self) -> Micros {
        self.mail.now
    }

    fn is_store_out(&self) -> bool {
        let is_over = self.now() >= self.store_out_until;
        !is_over && self.now() >= START.after(STOPS_AFTER)
    }

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Start(at) => self.start(at),
            Mail::Tick(at, life) => {
                let found = &self.boxes[at];
                if found.life == life && found.tick_at <= self.now() {
                    self.handle(at, Event::Tick);
                }
            }
            Mail::Event(at, life, event) => {
                if self.boxes[at].life == life {
                    self.handle(at, *event);
                }
            }
            Mail::Check(at) => self.check(at),
            Mail::NewCaller => self.new_caller(),
            Mail::Attempt(caller) => self.send_attempt(caller),
            Mail::Step(run) => self.step(run),
            Mail::Leave(engine) => self.leave(engine),
            Mail::EndEngine(engine) => self.end_engine(engine),
            Mail::Crash => self.crash_engine(),
            Mail::EngineBack(engine) => self.restart_engine(engine),
            Mail::Signal(boxes) => {
                for at in boxes {
                    self.signal(at);
                }
            }
            Mail::Exit(at, life) => self.exit_if_idle(at, life),
            Mail::Kill(at) => self.end_box(at),
            Mail::Relist => {
                for at in 0..self.boxes.len() {
                    self.send_list(at);
                }
            }
        }
    }

    fn start(&mut self, at: usize) {
        let (now, seed) = (self.now(), self.rng.random());
        let found = &mut self.boxes[at];
        found.cfg.incarnation = Incarnation(now.0);
        found.cfg.first_start = now.since(START) < CALLERS_AFTER;
        found.dispatcher = Dispatcher::new(found.cfg.clone(), seed, now);
        found.is_running = true;
        found.stopped_at = None;
        found.tick_at = now;
        let table = Arc::clone(&self.table);
        self.handle(at, Event::Table(table));
        self.send_list(at);
        self.handle(at, Event::Tick);
    }

    /// The load balancer takes a box in or out.
    fn check(&mut self, at: usize) {
        self.mail.post(CHECK, Mail::Check(at));
        let found = &mut self.boxes[at];
        if found.is_running && found.dispatcher.is_ready() {
            (found.misses, found.is_in) = (0, true);
        } else {
            found.misses += 1;
            found.is_in &= found.misses < MISSES;
        }
    }

    /// The box that the load balancer sends a caller of a failure domain to: another one than the last
    /// one, if there is any.
    fn balance(&mut self, domain: usize, last: Option<usize>) -> Option<usize> {
        let all: Vec<usize> = (domain..self.boxes.len()).step_by(DOMAINS).collect();
        let is_in = |at: &usize| self.boxes[*at].is_in;
        let of_domain: Vec<usize> = all.iter().copied().filter(is_in).collect();
        let found = if of_domain.is_empty() {
            (0..self.boxes.len()).filter(is_in).collect()
        } else if of_domain.len() * 2 < all.len() {
            all
        } else {
            of_domain
        };
        let others: Vec<usize> = found
            .iter()
            .copied()
            .filter(|at| Some(*at) != last)
            .collect();
        let among = if others.is_empty() { found } else { others };
        among.choose(&mut self.rng).copied()
    }

    fn accepts(&self, at: usize) -> bool {
        let found = &self.boxes[at];
        let stopped_at = found.stopped_at;
        found.is_running && stopped_at.is_none_or(|at| self.now().since(at) < ACCEPTS_FOR)
    }

    fn signal(&mut self, at: usize) {
        let found = &mut self.boxes[at];
        if !found.is_running || found.stopped_at.is_some() {
            return;
        }
        found.stopped_at = Some(self.mail.now);
        let life = found.life;
        self.handle(at, Event::Stop { grace: GRACE });
        self.mail.post(ACCEPTS_FOR, Mail::Exit(at, life));
    }

    fn exit_if_idle(&mut self, at: usize, life: u64) {
        let now = self.now();
        let found = &self.boxes[at];
        let Some(stopped_at) = found.stopped_at.filter(|_| found.life == life) else {
            return;
        };
        let is_over = now.since(stopped_at) >= EXITS_AFTER;
        if found.dispatcher.active() > 0 && !is_over {
            return self.mail.post(LOOK, Mail::Exit(at, life));
        }
        self.count_unanswered(at, life);
        self.end_box(at);
        self.mail.post(AWAY, Mail::Start(at));
    }

    /// The process of a box ends, and the connections of its callers with it.
    fn end_box(&mut self, at: usize) {
        let life = self.boxes[at].life;
        self.boxes[at].is_running = false;
        self.boxes[at].life += 1;
        self.lose_callers_of(at, life);
    }

    fn handle(&mut self, at: usize, event: Event) {
        if !self.boxes[at].is_running {
            return;
        }
        let now = self.now();
        let actions = self.boxes[at].dispatcher.handle(now, event);
        for action in actions {
            self.perform(at, action);
        }
        let found = &mut self.boxes[at];
        let next = found.dispatcher.next_tick();
        let tick_at = next.max(now.after(Duration::from_millis(1)));
        if tick_at != found.tick_at || tick_at <= now {
            found.tick_at = tick_at;
            self.mail
                .post(tick_at.since(now), Mail::Tick(at, found.life));
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        match action {
            Action::Gossip {
                to, state, crashes, ..
            } => self.send(at, &to, &datagram::write_state(&state, &crashes)),
            Action::GossipUsage {
                to,
                update,
                crashes,
            } => self.send(at, &to, &datagram::write_usage(&update, &crashes)),
            Action::PublishLoad { to, from, report } => {
                self.send(at, &to, &datagram::write_load(&from, &report));
            }
            Action::FetchState { from, kind, .. } => {
                let outcome = FetchOutcome::Failed;
                let event = Event::Fetched {
                    kind,
                    from,
                    outcome,
                };
                self.answer(at, event);
            }
            Action::Record(record @ Record::Held { .. }) => self.held = record.sentence(),
            Action::Command { request, command } => {
                let life = self.boxes[at].life;
                self.command((at, life, request), command);
            }
            _ => self.ask_engines(at, action),
        }
    }

    fn ask_engines(&mut self, at: usize, action: Action) {
        match action {
            Action::Probe { endpoint, .. } => {
                let event = Event::Probed {
                    result: ProbeResult::of_reach(self.engine(&endpoint).is_some()),
                    endpoint,
                    born: None,
                };
                self.answer(at, event);
            }
            Action::CheckExited { endpoint, .. } => {
                let has_exited = self.engine(&endpoint.id).is_none();
                let event = Event::Checked {
                    endpoint,
                    has_exited,
                };
                self.answer(at, event);
            }
            Action::CheckPath { service, .. } => {
                let is_reached = true;
                let event = Event::PathChecked {
                    service,
                    is_reached,
                };
                self.answer(at, event);
            }
            Action::TakeSnapshot(asked) => {
                let event = Event::SnapshotTaken {
                    request: asked.request,
                    attempt: asked.attempt,
                    host: asked.host,
                    name: Err(SnapshotFailure::Refused),
                };
                self.answer(at, event);
            }
            Action::Locate { request, among, .. } => {
                let place = (at, self.boxes[at].life, request);
                let endpoint = self.locate(place, &among);
                self.answer(at, Event::Located { request, endpoint });
            }
            _ => {}
        }
    }

    fn post_event(&mut self, at: usize, after: Duration, event: Event) {
        let life = self.boxes[at].life;
        self.mail
            .post(after, Mail::Event(at, life, Box::new(event)));
    }

    /// What comes back from outside at once.
    fn answer(&mut self, at: usize, event: Event) {
        self.post_event(at, OUTSIDE * 2, event);
    }

    fn send<E>(&mut self, from: usize, to: &[SocketAddr], datagram: &Result<Vec<u8>, E>) {
        let bytes = datagram.as_ref().map_or(&[][..], Vec::as_slice);
        self.counts.bytes += (bytes.len() * to.len()) as u64;
        let events = datagram::read(bytes).unwrap_or_default();
        for to in to.iter().filter_map(|address| self.by_address.get(address)) {
            let to = *to;
            if self.rng.random_bool(LOST) || !self.boxes[to].is_running {
                continue;
            }
            let is_near = from % DOMAINS == to % DOMAINS;
            let way = if is_near { NEAR } else { FAR };
            let way = way.mul_f64(self.rng.random_range(0.5..2.0));
            let life = self.boxes[to].life;
            for event in &events {
                let event = Box::new(event.clone());
                self.mail.post(way, Mail::Event(to, life, event));
            }
        }
    }
}
