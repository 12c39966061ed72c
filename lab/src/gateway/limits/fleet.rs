//! Simulation of a fleet: boxes with the real decision code on a simulated clock, the links between
//! them, servers that state directives, and callers.
//!
//! `setup` configures the boxes, `servers` simulates the servers, `callers` the callers, and `faults`
//! causes faults.

mod callers;
mod faults;
mod servers;
mod setup;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{AttemptNumber, Event, RequestNumber};
use magpiemoor::gateway::dispatch::fetches::FetchOutcome;
use magpiemoor::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::gateway::shell::datagram;
use magpiemoor::schema::{EndpointId, Incarnation, Micros};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Case;
use super::score::{CONTACT, Counts, Outcome};
use crate::gateway::boxes::{address, config};
use crate::gateway::mailbox::Mailbox;
use callers::{Call, CallerId};
use servers::Servers;
use setup::table;

/// Start time of the boxes.
const START: Micros = Micros(1_000_000);
/// Delay from the start of the boxes to the first call.
const CALLERS_START_AFTER: Duration = Duration::from_secs(2);
/// Duration of a simulation.
const DURATION: Duration = Duration::from_secs(36);
/// One-way latency between boxes of a failure domain, between boxes of two domains, and between a box
/// and anything else.
const DOMAIN_LATENCY: Duration = Duration::from_micros(600);
const INTER_DOMAIN_LATENCY: Duration = Duration::from_millis(2);
const EXTERNAL_LATENCY: Duration = Duration::from_millis(1);
/// Share of the datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.002;
/// Response time of the store.
const STORE_LATENCY: Duration = Duration::from_millis(6);

struct FleetBox {
    dispatcher: Dispatcher,
    cfg: DispatchConfig,
    is_running: bool,
    life: u64,
    /// End of the last pause, or time of the last restart.
    disturbed: Micros,
    frozen_until: Micros,
    tick_at: Micros,
    next_request: u64,
    is_watching: bool,
}

#[derive(Clone, Debug)]
enum Mail {
    Start(usize),
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    /// The next caller sends its call.
    NewCall,
    /// A caller retries its call.
    Again(CallerId),
    /// A server answers.
    Answer(servers::RunId),
    /// The limit of the affected servers changes.
    Name(servers::LimitChange),
    /// A fault occurs; its number.
    Fault(usize),
}

/// Box, its incarnation, and a request there.
type RequestAtBox = (usize, u64, RequestNumber);

/// A simulated fleet.
pub struct Fleet {
    case: Case,
    mail: Mailbox<Mail>,
    boxes: Vec<FleetBox>,
    by_address: HashMap<SocketAddr, usize>,
    servers: Servers,
    calls: Vec<Call>,
    /// Caller of each request.
    asked: HashMap<RequestAtBox, CallerId>,
    /// Active run of each request.
    running: BTreeMap<RequestAtBox, (AttemptNumber, servers::RunId)>,
    cut_until: Micros,
    store_out_until: Micros,
    burst_until: Micros,
    counts: Counts,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates the fleet of a case and schedules its events.
    #[must_use]
    pub fn new(case: Case) -> Self {
        let boxes = (0..case.boxes).map(|number| {
            let cfg = config(number, case.boxes, case.domains);
            FleetBox {
                dispatcher: Dispatcher::new(cfg.clone(), case.seed, START),
                cfg,
                is_running: false,
                life: 0,
                disturbed: Micros::ZERO,
                frozen_until: START,
                tick_at: START,
                next_request: 0,
                is_watching: false,
            }
        });
        let servers = Servers::new(case);
        let mut fleet = Self {
            mail: Mailbox::new(START),
            boxes: boxes.collect(),
            by_address: (0..case.boxes).map(|n| (address(n), n)).collect(),
            counts: Counts {
                seen: servers.empty_records(),
                ..Counts::default()
            },
            servers,
            calls: Vec::new(),
            asked: HashMap::new(),
            running: BTreeMap::new(),
            cut_until: START,
            store_out_until: START,
            burst_until: START,
            rng: ChaCha8Rng::seed_from_u64(case.seed),
            case,
        };
        for number in 0..case.boxes {
            let delay = Duration::from_millis(fleet.rng.random_range(0..300));
            fleet.mail.post(delay, Mail::Start(number));
        }
        fleet.mail.post(CALLERS_START_AFTER, Mail::NewCall);
        fleet.post_limit_changes();
        fleet.post_faults();
        fleet
    }

    /// Runs the simulation to its end.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        let end = START.after(DURATION);
        while let Some(mail) = self.mail.next(end) {
            self.take(mail);
        }
        Outcome::new(&self.case, &self.counts, DURATION, end)
    }

    fn now(&self) -> Micros {
        self.mail.now
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
                    self.expect_next_answer(at, &event);
                    self.handle(at, *event);
                }
            }
            Mail::NewCall => self.new_call(),
            Mail::Again(caller) => self.send_call(caller),
            Mail::Answer(run) => self.answer_run(run),
            Mail::Name(naming) => self.change_limits(naming),
            Mail::Fault(number) => self.bring_fault(number),
        }
    }

    fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let now = self.now();
        let found = &mut self.boxes[at];
        found.cfg.incarnation = Incarnation(now.0);
        found.cfg.first_start = now.since(START) < CALLERS_START_AFTER;
        found.dispatcher = Dispatcher::new(found.cfg.clone(), seed, now);
        found.is_running = true;
        found.is_watching = false;
        found.tick_at = now;
        if !found.cfg.first_start {
            found.disturbed = now;
        }
        let listed = Event::EndpointsListed {
            specs: self.servers.specs(),
            unreadable: Vec::new(),
            at: self.servers.revision,
        };
        self.handle(at, Event::Table(Arc::new(table())));
        self.handle(at, listed);
        self.handle(at, Event::Tick);
    }

    /// Whether a box has run and reached all others for long enough that its requests count.
    fn is_in_touch(&self, at: usize) -> bool {
        let now = self.now();
        let found = &self.boxes[at];
        let is_disturbed = found.disturbed > Micros::ZERO && now < found.disturbed.after(CONTACT);
        // A cut disturbs the boxes on either side of it.
        let is_cut = self.cut_until > START && now < self.cut_until.after(CONTACT);
        found.is_running && !is_disturbed && !is_cut
    }

    fn domain_of(&self, at: usize) -> usize {
        at % self.case.domains
    }

    /// Whether a network partition separates two domains.
    fn is_cut_between(&self, one: usize, other: usize) -> bool {
        let touches_cut = one == faults::CUT_DOMAIN || other == faults::CUT_DOMAIN;
        one != other && touches_cut && self.now() < self.cut_until
    }

    fn handle(&mut self, at: usize, event: Event) {
        let now = self.now();
        let found = &self.boxes[at];
        if !found.is_running {
            return;
        }
        if now < found.frozen_until {
            let thaws = found.frozen_until.since(now);
            return self.post_event(at, thaws, event);
        }
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
            } => {
                self.send(at, &to, &datagram::write_state(&state, &crashes));
            }
            Action::GossipUsage {
                to,
                update: news,
                crashes,
            } => {
                self.send(at, &to, &datagram::write_usage(&news, &crashes));
            }
            Action::PublishStoreAnswer { to, watcher } => {
                for address in to {
                    let to = self.by_address[&address];
                    self.post_event(to, DOMAIN_LATENCY, Event::PeerStoreAnswer(watcher.clone()));
                }
            }
            Action::PublishDepartures { to, update } => {
                self.send(at, &to, &datagram::write_departures(&update));
            }
            Action::PublishLimits { to, update: news } => {
                self.send(at, &to, &datagram::write_limits(&news));
            }
            Action::WatchStore(is_watching) => {
                self.boxes[at].is_watching = is_watching;
                if is_watching {
                    let wait = self.store_out_until.since(self.now());
                    self.post_event(at, wait + STORE_LATENCY, Event::StoreAnswered);
                }
            }
            Action::FetchState { from, kind, .. } => {
                let outcome = FetchOutcome::Complete;
                let event = Event::Fetched {
                    kind,
                    from,
                    outcome,
                };
                self.post_event(at, EXTERNAL_LATENCY * 2, event);
            }
            Action::Command { request, command } => self.command(at, request, command),
            Action::CheckPath {
                service, endpoints, ..
            } => {
                let is_reached = endpoints.iter().any(|(id, _)| self.reach(at, id).is_some());
                let event = Event::PathChecked {
                    service,
                    is_reached,
                };
                self.post_event(at, EXTERNAL_LATENCY * 2, event);
            }
            Action::CheckExited {
                endpoint, address, ..
            } => {
                let has_exited = self.servers.listening_at(address).is_none();
                let event = Event::Checked {
                    endpoint,
                    has_exited,
                };
                self.post_event(at, EXTERNAL_LATENCY * 2, event);
            }
            _ => {}
        }
    }

    /// Returns the server with an id, if the box can reach it.
    fn reach(&self, at: usize, id: &EndpointId) -> Option<usize> {
        let place = self.servers.find(id)?;
        let domain = self.servers.domain_of(place);
        (!self.is_cut_between(self.domain_of(at), domain)).then_some(place)
    }

    /// After an answer of the store to a watch, the next one follows.
    fn expect_next_answer(&mut self, at: usize, event: &Event) {
        if matches!(event, Event::StoreAnswered) && self.boxes[at].is_watching {
            self.post_event(at, MAX_ANSWER_INTERVAL, Event::StoreAnswered);
        }
    }

    fn post_event(&mut self, at: usize, after: Duration, event: Event) {
        let life = self.boxes[at].life;
        self.mail
            .post(after, Mail::Event(at, life, Box::new(event)));
    }

    fn send<E>(&mut self, from: usize, to: &[SocketAddr], datagram: &Result<Vec<u8>, E>) {
        let bytes = datagram.as_ref().map_or(&[][..], Vec::as_slice);
        let sent = (bytes.len() * to.len()) as u64;
        self.counts.bytes += sent;
        let second = self.now().0 / 1_000_000;
        *self.counts.bytes_of.entry((from, second)).or_default() += sent;
        let events = datagram::read(bytes).unwrap_or_default();
        for address in to {
            let Some(to) = self.by_address.get(address).copied() else {
                continue;
            };
            let (near, far) = (self.domain_of(from), self.domain_of(to));
            let is_lost = self.rng.random_bool(DATAGRAM_LOSS) || self.is_cut_between(near, far);
            if is_lost || !self.boxes[to].is_running {
                continue;
            }
            let way = if near == far {
                DOMAIN_LATENCY
            } else {
                INTER_DOMAIN_LATENCY
            };
            let way = way.mul_f64(self.rng.random_range(0.5..2.0));
            for event in &events {
                self.post_event(to, way, event.clone());
            }
        }
    }
}
