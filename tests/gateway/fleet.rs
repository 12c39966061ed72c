//! A fleet of dispatchers on a simulated clock, with the network between boxes and the platform's
//! store.
//!
//! The boxes run the real decision code. A datagram takes [`LOCAL_LATENCY`] or
//! [`CROSS_DOMAIN_LATENCY`], varied at random, and some are lost; fetches and the store take fixed
//! times. The tests play the parts of callers and endpoints.

#![allow(dead_code)] // Each test binary uses only some of these items.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{EndpointSpec, Event, RequestNumber};
use magpiemoor::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::schema::{DomainId, Incarnation, Micros};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures;

/// One-way latency between two boxes of a failure domain, including the time until the datagram is
/// handled.
const LOCAL_LATENCY: Duration = Duration::from_millis(2);
/// One-way latency between two failure domains, including the time until the datagram is handled.
const CROSS_DOMAIN_LATENCY: Duration = Duration::from_millis(4);
/// Share of datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.002;
/// Duration of a fetch from a peer.
const FETCH_TIME: Duration = Duration::from_millis(40);
/// Response time of the store for one call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Response time of the store for a complete list.
const LIST_TIME: Duration = Duration::from_millis(30);
/// Interval between two answers of the store to the watches of a box.
const WATCH_INTERVAL: Duration = MAX_ANSWER_INTERVAL;

pub struct FleetBox {
    pub dispatcher: Dispatcher,
    pub address: SocketAddr,
    pub domain: DomainId,
    cfg: DispatchConfig,
    endpoints_at: u64,
    is_watching: bool,
    /// Whether it watches the orders of roll-outs.
    pub watches_rollouts: bool,
    pub is_running: bool,
    incarnation: u64,
    paused_until: Micros,
    tick_at: Micros,
}

impl FleetBox {
    /// Whether the box runs and watches the store.
    pub fn is_watching(&self) -> bool {
        self.is_running && self.is_watching
    }
}

/// What is scheduled for a box.
#[derive(Clone, Debug)]
enum Scheduled {
    Event(Box<Event>),
    Tick,
    /// The store answers the watch of a box.
    Store,
    /// A fetch from a peer ends.
    Fetched {
        from: usize,
        kind: FetchKind,
    },
    Start,
}

/// Observations for tests: time, index of the box, and value.
pub type Observations<T> = Vec<(Micros, usize, T)>;

/// The boxes and the queue of what is scheduled for them.
pub struct Fleet {
    pub boxes: Vec<FleetBox>,
    pub now: Micros,
    /// Starts (true) and ends (false) of watches of the store.
    pub watching: Observations<bool>,
    /// Attempts that boxes started.
    pub attempts: Observations<(RequestNumber, Attempt)>,
    /// Reports of load between domains: the sender, and whether it forwarded the report.
    pub load_reports: Vec<(usize, bool)>,
    /// Number of datagrams sent, including lost ones.
    pub datagrams: u64,
    /// Total encoded size of these datagrams in bytes.
    pub bytes: u64,
    pub store_is_up: bool,
    /// Boxes that the store gives no answer.
    pub turned_away: BTreeSet<usize>,
    /// Lists and watches that the store was asked for.
    pub store_calls: u64,
    /// Version of the table and revision of the endpoint list in the store.
    store_version: u64,
    /// The endpoint list in the store.
    pub endpoints: Vec<EndpointSpec>,
    by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize, u64)>>,
    contents: BTreeMap<u64, Scheduled>,
    sent: u64,
    rng: ChaCha8Rng,
}

fn address(domain: usize, number: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8 + 1, 0, number as u8 + 1], 7_200))
}

/// The engines of [`fixtures::endpoints`] and six tills.
fn endpoints() -> Vec<EndpointSpec> {
    let more = (0..4).map(|n| {
        let id = format!("till-m{n}");
        fixtures::endpoint(&id, "till", &format!("domain-{n}"), 9_110 + n)
    });
    fixtures::endpoints().into_iter().chain(more).collect()
}

impl Fleet {
    /// Boxes that start within 0.3 s of each other in random order; up to three addresses of them
    /// are the seeds. `domains` has the number of boxes of each failure domain.
    pub fn starting(domains: &[usize], retries: RetryPolicy, seed: u64) -> Self {
        let mut fleet = Self {
            boxes: Vec::new(),
            now: Micros(1_000_000),
            watching: Vec::new(),
            attempts: Vec::new(),
            load_reports: Vec::new(),
            datagrams: 0,
            bytes: 0,
            store_is_up: true,
            turned_away: BTreeSet::new(),
            store_calls: 0,
            store_version: 1,
            endpoints: endpoints(),
            by_address: BTreeMap::new(),
            queue: BinaryHeap::new(),
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

    /// Adds a box that starts within the next 0.3 s.
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
            watches_rollouts: false,
            is_running: false,
            incarnation: 0,
            paused_until: Micros::ZERO,
            tick_at: Micros::ZERO,
        });
        self.start_soon(at, Duration::ZERO);
    }

    fn start_soon(&mut self, at: usize, after: Duration) {
        let spread = Duration::from_millis(300).mul_f64(self.rng.random());
        self.schedule(at, after + spread, Scheduled::Start);
    }

    /// Stops the boxes that `which` selects at once, and restarts each up to 0.3 s after `down`.
    pub fn lose_power(&mut self, down: Duration, which: impl Fn(usize) -> bool) {
        for at in (0..self.boxes.len()).filter(|at| which(*at)) {
            self.boxes[at].is_running = false;
            self.boxes[at].incarnation += 1;
            self.start_soon(at, down);
        }
    }

    /// Pauses the process of a box; whatever falls due meanwhile is handled when it resumes.
    pub fn pause(&mut self, at: usize, time: Duration) {
        self.boxes[at].paused_until = self.now.after(time);
    }

    fn schedule(&mut self, to: usize, after: Duration, item: Scheduled) {
        self.sent += 1;
        self.contents.insert(self.sent, item);
        let incarnation = self.boxes[to].incarnation;
        let at = self.now.after(after);
        self.queue.push(Reverse((at, self.sent, to, incarnation)));
    }

    /// Advances the clock and handles everything that falls due.
    pub fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while let Some(Reverse((at, number, to, incarnation))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(item) = self.contents.remove(&number) else {
                continue;
            };
            let receiver = &self.boxes[to];
            if receiver.incarnation != incarnation {
                continue;
            }
            if receiver.paused_until > self.now {
                let rest = receiver.paused_until.since(self.now);
                self.schedule(to, rest, item);
                continue;
            }
            self.dispatch(to, item);
        }
        self.now = end;
    }

    fn dispatch(&mut self, to: usize, item: Scheduled) {
        match item {
            Scheduled::Start => self.start(to),
            Scheduled::Event(event) => self.handle(to, *event),
            Scheduled::Tick => {
                if self.boxes[to].tick_at <= self.now {
                    self.handle(to, Event::Tick);
                }
            }
            Scheduled::Store => self.answer_watcher(to),
            Scheduled::Fetched { from, kind } => self.answer_fetch(to, from, kind),
        }
    }

    fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let found = &mut self.boxes[at];
        found.cfg.incarnation = Incarnation(self.now.0);
        found.dispatcher = Dispatcher::new(found.cfg.clone(), seed, self.now);
        found.endpoints_at = 0;
        found.is_watching = false;
        found.watches_rollouts = false;
        found.is_running = true;
        found.tick_at = self.now;
        self.handle(at, Event::Tick);
    }

    /// Hands an event to a box, performs the resulting actions and schedules its next tick.
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
        self.schedule(at, tick_at.since(self.now), Scheduled::Tick);
    }

    fn perform(&mut self, at: usize, action: Action) {
        match action {
            Action::Gossip { to, state, .. } => {
                self.bytes += encoded_len(&*state) * to.len() as u64;
                self.send(at, &to, &Event::Peer(*state));
            }
            Action::GossipUsage { to, update, .. } => {
                self.bytes += encoded_len(&update) * to.len() as u64;
                self.send(at, &to, &Event::PeerUsage(update));
            }
            Action::PublishStoreAnswer { to, watcher } => {
                self.bytes += encoded_len(&watcher) * to.len() as u64;
                self.send(at, &to, &Event::PeerStoreAnswer(watcher));
            }
            Action::PublishLoad { to, report, .. } => {
                self.load_reports.push((at, report.is_forwarded));
                self.bytes += encoded_len(&report) * to.len() as u64;
                self.send(at, &to, &Event::PeerLoad(report));
            }
            Action::FetchState { from, kind, .. } => {
                let from = self.by_address[&from];
                self.schedule(at, FETCH_TIME, Scheduled::Fetched { from, kind });
            }
            Action::WatchStore(is_watching) => {
                self.watching.push((self.now, at, is_watching));
                self.boxes[at].is_watching = is_watching;
                if is_watching {
                    self.schedule(at, LIST_TIME, Scheduled::Store);
                }
            }
            Action::WatchRollouts(is_watching) => {
                self.boxes[at].watches_rollouts = is_watching;
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
            if self.rng.random_bool(DATAGRAM_LOSS) || !self.boxes[to].is_running {
                continue;
            }
            let is_local = self.boxes[to].domain == self.boxes[from].domain;
            let latency = if is_local {
                LOCAL_LATENCY
            } else {
                CROSS_DOMAIN_LATENCY
            };
            let latency = latency.mul_f64(self.rng.random_range(0.5..2.0));
            self.schedule(to, latency, Scheduled::Event(Box::new(event.clone())));
        }
    }

    fn answer_watcher(&mut self, at: usize) {
        if !self.boxes[at].is_watching {
            return;
        }
        self.store_calls += 1;
        if !self.store_is_up || self.turned_away.contains(&at) {
            self.schedule(at, Duration::from_millis(500), Scheduled::Store);
            return;
        }
        self.handle(at, Event::StoreAnswered);
        self.deliver(at, FetchKind::Table, self.store_version);
        self.deliver(at, FetchKind::Endpoints, self.store_version);
        self.schedule(at, WATCH_INTERVAL, Scheduled::Store);
    }

    /// Changes the table and the endpoint list in the store, which answers the watches.
    pub fn change_store(&mut self) {
        self.store_version += 1;
        for at in 0..self.boxes.len() {
            if self.boxes[at].is_watching && self.boxes[at].is_running {
                self.schedule(at, CALL_TIME, Scheduled::Store);
            }
        }
    }

    /// Whether a box has the table and the endpoint list of the store.
    pub fn is_up_to_date(&self, at: usize) -> bool {
        let found = &self.boxes[at];
        found.dispatcher.table_version().0 == self.store_version
            && found.endpoints_at == self.store_version
    }

    fn answer_fetch(&mut self, at: usize, from: usize, kind: FetchKind) {
        let holder = &self.boxes[from];
        let version = match kind {
            FetchKind::Table => holder.dispatcher.table_version().0,
            FetchKind::Endpoints => holder.endpoints_at,
        };
        let address = holder.address;
        let outcome = if holder.is_running && version > 0 {
            self.deliver(at, kind, version);
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

    fn deliver(&mut self, at: usize, kind: FetchKind, version: u64) {
        match kind {
            FetchKind::Table => self.handle(at, Event::Table(Arc::new(fixtures::table(version)))),
            FetchKind::Endpoints => {
                let found = &mut self.boxes[at];
                found.endpoints_at = found.endpoints_at.max(version);
                let event = Event::EndpointsListed {
                    specs: self.endpoints.clone(),
                    unreadable: Vec::new(),
                    at: version,
                };
                self.handle(at, event);
            }
        }
    }

    /// Number of watches of the store that boxes started, by failure domain.
    pub fn watch_starts(&self) -> BTreeMap<DomainId, usize> {
        let mut found = BTreeMap::new();
        for (_, at, is_watching) in &self.watching {
            let of = found.entry(self.boxes[*at].domain.clone()).or_default();
            *of += usize::from(*is_watching);
        }
        found
    }

    /// Number of running boxes that watch the store now, by failure domain.
    pub fn watchers(&self) -> BTreeMap<DomainId, usize> {
        let mut found = BTreeMap::new();
        for found_box in &self.boxes {
            let of = found.entry(found_box.domain.clone()).or_default();
            *of += usize::from(found_box.is_watching && found_box.is_running);
        }
        found
    }

    /// Number of running boxes that are ready for callers.
    pub fn ready(&self) -> usize {
        let boxes = self.boxes.iter();
        boxes
            .filter(|b| b.is_running && b.dispatcher.is_ready())
            .count()
    }
}

fn encoded_len(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).unwrap().len() as u64
}
