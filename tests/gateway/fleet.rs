//! A fleet of dispatchers on made-up time, with the links between boxes and the platform's store.
//!
//! Boxes are the real decision code. Datagrams take [`NEAR`] or [`FAR`] and some are lost; fetches
//! and the store take fixed times. Callers and endpoints answer as the test has them do.

#![allow(dead_code)] // Each test file uses a part of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{EndpointSpec, Event, RequestNumber};
use magpiemoor::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::schema::{DomainId, Incarnation, Micros};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures;

/// One way between two boxes of a failure domain, with the time until it is handled.
const NEAR: Duration = Duration::from_millis(2);
/// One way between two failure domains, the same.
const FAR: Duration = Duration::from_millis(4);
/// The share of datagrams that are lost.
const LOST: f64 = 0.002;
/// How long a box takes to fetch something from another one.
const FETCH: Duration = Duration::from_millis(40);
/// How long the store takes for a whole list.
const LIST: Duration = Duration::from_millis(30);
/// How long a watch of the store waits.
const WATCH: Duration = Duration::from_secs(3);

/// A box of the fleet.
pub struct FleetBox {
    pub dispatcher: Dispatcher,
    pub address: SocketAddr,
    pub domain: DomainId,
    cfg: DispatchConfig,
    endpoints_at: u64,
    is_watching: bool,
    pub is_running: bool,
    life: u64,
    frozen_until: Micros,
    tick_at: Micros,
}

/// What is under way.
#[derive(Clone, Debug)]
enum Mail {
    Event(Box<Event>),
    Tick,
    /// The store answers a box that watches it.
    Store,
    /// Another box has answered a fetch.
    Fetched {
        from: usize,
        kind: FetchKind,
    },
    Start,
}

/// A time that a test looks at: when something happened, at which box.
pub type Seen<T> = Vec<(Micros, usize, T)>;

/// Boxes, and what is on its way between them.
pub struct Fleet {
    pub boxes: Vec<FleetBox>,
    pub now: Micros,
    /// Each change of who watches the store.
    pub watching: Seen<bool>,
    /// Attempts that were begun.
    pub attempts: Seen<(RequestNumber, Attempt)>,
    /// Datagrams that were sent.
    pub datagrams: u64,
    /// Bytes of them, as they are encoded.
    pub bytes: u64,
    /// Whether the store answers.
    pub store_is_up: bool,
    endpoints: Vec<EndpointSpec>,
    by_address: BTreeMap<SocketAddr, usize>,
    mail: BinaryHeap<Reverse<(Micros, u64, usize, u64)>>,
    contents: BTreeMap<u64, Mail>,
    sent: u64,
    rng: ChaCha8Rng,
}

fn address(domain: usize, number: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8 + 1, 0, number as u8 + 1], 7_200))
}

/// Engines, and six tills.
fn endpoints() -> Vec<EndpointSpec> {
    let more = (0..4).map(|n| {
        let id = format!("till-m{n}");
        fixtures::endpoint(&id, "till", &format!("domain-{n}"), 9_110 + n)
    });
    fixtures::endpoints().into_iter().chain(more).collect()
}

impl Fleet {
    /// Boxes that start within 0.3 s of each other in any order; three of them are seeds.
    pub fn starting(domains: &[usize], retries: RetryPolicy, seed: u64) -> Self {
        let mut fleet = Self {
            boxes: Vec::new(),
            now: Micros(1_000_000),
            watching: Vec::new(),
            attempts: Vec::new(),
            datagrams: 0,
            bytes: 0,
            store_is_up: true,
            endpoints: endpoints(),
            by_address: BTreeMap::new(),
            mail: BinaryHeap::new(),
            contents: BTreeMap::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let seeds: Vec<SocketAddr> = (0..3).map(|n| address(n % domains.len(), 0)).collect();
        for (domain, count) in domains.iter().enumerate() {
            for number in 0..*count {
                fleet.add(domain, number, &seeds, retries);
            }
        }
        fleet
    }

    /// Adds a box that starts within 0.3 s.
    pub fn add(
        &mut self,
        domain: usize,
        number: usize,
        seeds: &[SocketAddr],
        retries: RetryPolicy,
    ) {
        let address = address(domain, number);
        let mut cfg = fixtures::config(retries);
        cfg.me = format!("box-{domain}-{number}").parse().unwrap();
        cfg.domain = format!("domain-{domain}").parse().unwrap();
        cfg.address = address;
        cfg.seeds = seeds.to_vec();
        cfg.incarnation = Incarnation(self.now.0);
        let at = self.boxes.len();
        self.by_address.insert(address, at);
        self.boxes.push(FleetBox {
            dispatcher: Dispatcher::new(cfg.clone(), 0, self.now),
            address,
            domain: cfg.domain.clone(),
            cfg,
            endpoints_at: 0,
            is_watching: false,
            is_running: false,
            life: 0,
            frozen_until: Micros::ZERO,
            tick_at: Micros::ZERO,
        });
        self.start_soon(at, Duration::ZERO);
    }

    fn start_soon(&mut self, at: usize, after: Duration) {
        let spread = Duration::from_millis(300).mul_f64(self.rng.random());
        self.post(at, after + spread, Mail::Start);
    }

    /// Has all boxes that `which` names lose power, and start again after a while.
    pub fn lose_power(&mut self, down: Duration, which: impl Fn(usize) -> bool) {
        for at in (0..self.boxes.len()).filter(|at| which(*at)) {
            self.boxes[at].is_running = false;
            self.boxes[at].life += 1;
            self.start_soon(at, down);
        }
    }

    /// Has a box stand still for a while; what it is sent meanwhile waits.
    pub fn freeze(&mut self, at: usize, time: Duration) {
        self.boxes[at].frozen_until = self.now.after(time);
    }

    fn post(&mut self, to: usize, after: Duration, mail: Mail) {
        self.sent += 1;
        self.contents.insert(self.sent, mail);
        let life = self.boxes[to].life;
        let at = self.now.after(after);
        self.mail.push(Reverse((at, self.sent, to, life)));
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while let Some(Reverse((at, number, to, life))) = self.mail.peek().copied() {
            if at > end {
                break;
            }
            self.mail.pop();
            self.now = at;
            let Some(mail) = self.contents.remove(&number) else {
                continue;
            };
            let receiver = &self.boxes[to];
            if receiver.life != life {
                continue;
            }
            if receiver.frozen_until > self.now {
                let rest = receiver.frozen_until.since(self.now);
                self.post(to, rest, mail);
                continue;
            }
            self.take(to, mail);
        }
        self.now = end;
    }

    fn take(&mut self, to: usize, mail: Mail) {
        match mail {
            Mail::Start => self.start(to),
            Mail::Event(event) => self.handle(to, *event),
            Mail::Tick => {
                if self.boxes[to].tick_at <= self.now {
                    self.handle(to, Event::Tick);
                }
            }
            Mail::Store => self.answer_watcher(to),
            Mail::Fetched { from, kind } => self.answer_fetch(to, from, kind),
        }
    }

    fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let found = &mut self.boxes[at];
        found.cfg.incarnation = Incarnation(self.now.0);
        found.dispatcher = Dispatcher::new(found.cfg.clone(), seed, self.now);
        found.endpoints_at = 0;
        found.is_watching = false;
        found.is_running = true;
        found.tick_at = self.now;
        self.handle(at, Event::Tick);
    }

    /// Hands an event to a box, and has done what it wants done.
    pub fn handle(&mut self, at: usize, event: Event) {
        if !self.boxes[at].is_running {
            return;
        }
        let actions = self.boxes[at].dispatcher.handle(self.now, event);
        for action in actions {
            self.perform(at, action);
        }
        let next = self.boxes[at].dispatcher.next_tick();
        let tick_at = next.max(self.now.after(Duration::from_millis(1)));
        self.boxes[at].tick_at = tick_at;
        self.post(at, tick_at.since(self.now), Mail::Tick);
    }

    fn perform(&mut self, at: usize, action: Action) {
        match action {
            Action::Gossip { to, state, .. } => {
                self.bytes += encoded(&*state) * to.len() as u64;
                self.send(at, &to, &Event::Peer(*state));
            }
            Action::GossipUsage {
                to, update: news, ..
            } => {
                self.bytes += encoded(&news) * to.len() as u64;
                self.send(at, &to, &Event::PeerUsage(news));
            }
            Action::FetchState { from, kind, .. } => {
                let from = self.by_address[&from];
                self.post(at, FETCH, Mail::Fetched { from, kind });
            }
            Action::WatchStore(is_watching) => {
                self.watching.push((self.now, at, is_watching));
                self.boxes[at].is_watching = is_watching;
                if is_watching {
                    self.post(at, LIST, Mail::Store);
                }
            }
            Action::Command {
                request,
                command: Command::Send(attempt),
            } => self.attempts.push((self.now, at, (request, *attempt))),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], event: &Event) {
        for address in to {
            self.datagrams += 1;
            let Some(to) = self.by_address.get(address).copied() else {
                continue;
            };
            if self.rng.random_bool(LOST) || !self.boxes[to].is_running {
                continue;
            }
            let is_near = self.boxes[to].domain == self.boxes[from].domain;
            let way = if is_near { NEAR } else { FAR };
            let way = way.mul_f64(self.rng.random_range(0.5..2.0));
            self.post(to, way, Mail::Event(Box::new(event.clone())));
        }
    }

    fn answer_watcher(&mut self, at: usize) {
        if !self.boxes[at].is_watching {
            return;
        }
        if !self.store_is_up {
            self.post(at, Duration::from_millis(500), Mail::Store);
            return;
        }
        self.handle(at, Event::StoreAnswered);
        self.give(at, FetchKind::Table);
        self.give(at, FetchKind::Endpoints);
        self.post(at, WATCH, Mail::Store);
    }

    fn answer_fetch(&mut self, at: usize, from: usize, kind: FetchKind) {
        let holder = &self.boxes[from];
        let has = match kind {
            FetchKind::Table => holder.dispatcher.table_version().0,
            FetchKind::Endpoints => holder.endpoints_at,
        };
        let address = holder.address;
        let outcome = if holder.is_running && has > 0 {
            self.give(at, kind);
            FetchOutcome::Complete
        } else {
            FetchOutcome::Failed
        };
        self.handle(
            at,
            Event::Fetched {
                kind,
                from: address,
                outcome,
            },
        );
    }

    fn give(&mut self, at: usize, kind: FetchKind) {
        match kind {
            FetchKind::Table => self.handle(at, Event::Table(Arc::new(fixtures::table(1)))),
            FetchKind::Endpoints => {
                self.boxes[at].endpoints_at = 1;
                let specs = self.endpoints.clone();
                self.handle(at, fixtures::listed(specs));
            }
        }
    }

    /// How often boxes of a domain began to watch the store, by domain.
    pub fn begun_to_watch(&self) -> BTreeMap<DomainId, usize> {
        let mut found = BTreeMap::new();
        for (_, at, is_watching) in &self.watching {
            let of = found.entry(self.boxes[*at].domain.clone()).or_default();
            *of += usize::from(*is_watching);
        }
        found
    }

    /// How many boxes of each domain watch the store now.
    pub fn watchers(&self) -> BTreeMap<DomainId, usize> {
        let mut found = BTreeMap::new();
        for found_box in &self.boxes {
            let of = found.entry(found_box.domain.clone()).or_default();
            *of += usize::from(found_box.is_watching && found_box.is_running);
        }
        found
    }

    /// How many boxes are ready for callers.
    pub fn ready(&self) -> usize {
        let boxes = self.boxes.iter();
        boxes
            .filter(|b| b.is_running && b.dispatcher.is_ready())
            .count()
    }
}

fn encoded(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).unwrap().len() as u64
}
