//! Boxes of the real decision code on made-up time, the links between them, and what goes wrong.
//!
//! `setup` makes them, `callers` holds those who send requests, `runs` what becomes of attempts, `faults`
//! what goes wrong beside.

mod callers;
mod faults;
mod runs;
mod setup;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{
    EndpointChange, Event, ProbeResult, RequestNumber, SnapshotFailure, SnapshotName,
};
use magpiemoor::gateway::dispatch::fetches::FetchOutcome;
use magpiemoor::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::gateway::shell::datagram;
use magpiemoor::schema::{
    EndpointId, EndpointIncarnation, Fingerprint, Incarnation, Micros, RequestAge, StoreReader,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::score::{Counts, Culprit, Outcome};
use super::servers::{RunId, Servers};
use super::{Beside, Case, servers};
use crate::gateway::boxes::{address, config};
use crate::gateway::mailbox::Mailbox;
use callers::{Caller, CallerId};
use runs::Run;
use setup::table;

/// When the boxes start.
const START: Micros = Micros(1_000_000);
/// When callers begin, after that.
const CALLERS_AFTER: Duration = Duration::from_secs(2);
/// How long a play lasts.
const PLAYED: Duration = Duration::from_secs(40);
/// One way between boxes of a failure domain, between two domains, and between a box and anything else.
const NEAR: Duration = Duration::from_micros(600);
const FAR: Duration = Duration::from_millis(2);
const OUTSIDE: Duration = Duration::from_millis(1);
/// How long the store takes for a call.
const STORE_CALL: Duration = Duration::from_millis(6);
/// The share of datagrams that are lost.
const LOST: f64 = 0.002;
/// How long a killed box is away.
const BOX_AWAY: Duration = Duration::from_secs(1);
/// How long a server is away that has ended, at least and at most.
const SERVER_AWAY: (f64, f64) = (2.0, 4.0);
/// How long its entry stays: it goes after three heartbeats.
const ENTRY_STAYS: Duration = Duration::from_millis(3_600);
/// When the faults beside begin, and the pauses between them.
const FAULT_AFTER: Duration = Duration::from_secs(9);
const FAULT_PAUSE: Duration = Duration::from_secs(9);
/// How often.
const FAULTS: usize = 3;
/// How long a failure domain is cut off, and which.
const CUT_FOR: Duration = Duration::from_secs(5);
const CUT_DOMAIN: usize = 1;
/// How long a box that has started, or that was cut off, isn't in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// How many domains there are.
const DOMAINS: usize = 3;

struct FleetBox {
    dispatcher: Dispatcher,
    cfg: DispatchConfig,
    is_running: bool,
    life: u64,
    started: Micros,
    tick_at: Micros,
    next_request: u64,
    is_watching: bool,
}

#[derive(Clone, Debug)]
enum Mail {
    Start(usize),
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    /// An innocent caller comes.
    Call,
    /// A caller sends its request, again perhaps.
    Try(CallerId),
    /// A run has its answer or its next event.
    Step(RunId),
    /// A run ends its server.
    Crash(RunId),
    /// A server is back.
    Restart(usize),
    /// The entry of a life goes.
    Unlist(EndpointId),
    /// The fault beside, for which time.
    Fault(usize),
    /// A server ends by itself.
    ServerEnds,
    /// The store keeps that a request is quarantined, or is so no more.
    Keep(Fingerprint, bool),
}

/// A request at a box, in a life of it.
type Place = (usize, u64, RequestNumber);

/// A fleet with crashing requests.
pub struct Fleet {
    case: Case,
    mail: Mailbox<Mail>,
    boxes: Vec<FleetBox>,
    by_address: HashMap<SocketAddr, usize>,
    servers: Servers,
    callers: Vec<Caller>,
    /// Which caller's request it is.
    asked: HashMap<Place, CallerId>,
    runs: BTreeMap<RunId, Run>,
    next_run: u64,
    revision: u64,
    /// Which requests the store keeps as quarantined, and since when.
    kept: BTreeMap<Fingerprint, Micros>,
    cut_until: Micros,
    counts: Counts,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// The boxes of a case, about to start.
    #[must_use]
    pub fn new(case: Case) -> Self {
        let boxes = (0..case.boxes).map(|number| {
            let cfg = config(number, case.boxes, DOMAINS);
            FleetBox {
                dispatcher: Dispatcher::new(cfg.clone(), case.seed, START),
                cfg,
                is_running: false,
                life: 0,
                started: START,
                tick_at: START,
                next_request: 0,
                is_watching: false,
            }
        });
        let mut fleet = Self {
            case,
            mail: Mailbox::new(START),
            boxes: boxes.collect(),
            by_address: (0..case.boxes).map(|n| (address(n), n)).collect(),
            servers: Servers::new(case),
            callers: Vec::new(),
            asked: HashMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            revision: 1,
            kept: BTreeMap::new(),
            cut_until: START,
            counts: Counts {
                culprits: vec![Culprit::default(); case.culprits],
                ..Counts::default()
            },
            rng: ChaCha8Rng::seed_from_u64(case.seed),
        };
        for number in 0..case.boxes {
            let delay = Duration::from_millis(fleet.rng.random_range(0..300));
            fleet.mail.post(delay, Mail::Start(number));
        }
        fleet.mail.post(CALLERS_AFTER, Mail::Call);
        fleet.invite_culprits();
        for fault in 0..FAULTS {
            let at = FAULT_AFTER + FAULT_PAUSE * fault as u32;
            fleet.mail.post(at, Mail::Fault(fault));
        }
        if case.beside == Beside::ServersEnd {
            fleet.mail.post(FAULT_AFTER, Mail::ServerEnds);
        }
        fleet
    }

    /// Plays the case to its end.
    #[must_use]
    pub fn play(mut self) -> Outcome {
        while let Some(mail) = self.mail.next(START.after(PLAYED)) {
            self.take(mail);
        }
        Outcome::new(&self.case, &self.counts, PLAYED)
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
            Mail::Call => self.call(),
            Mail::Try(caller) => self.send_request(caller),
            Mail::Step(run) => self.step(run),
            Mail::Crash(run) => self.crash_under(run),
            Mail::Restart(server) => self.restart(server),
            Mail::Unlist(id) => self.tell_change(&EndpointChange::Absent(id)),
            Mail::Fault(number) => self.bring_fault(number),
            Mail::ServerEnds => self.end_some_server(),
            Mail::Keep(request, true) => {
                let now = self.now();
                self.kept.entry(request).or_insert(now);
            }
            Mail::Keep(request, false) => {
                self.kept.remove(&request);
            }
        }
    }

    fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let now = self.now();
        let found = &mut self.boxes[at];
        found.cfg.incarnation = Incarnation(now.0);
        found.cfg.first_start = now.since(START) < CALLERS_AFTER;
        found.dispatcher = Dispatcher::new(found.cfg.clone(), seed, now);
        found.is_running = true;
        found.is_watching = false;
        found.started = now;
        found.tick_at = now;
        let listed = Event::EndpointsListed {
            specs: self.servers.specs(),
            unreadable: Vec::new(),
            at: self.revision,
        };
        self.handle(at, Event::Table(Arc::new(table(&self.case))));
        self.handle(at, listed);
        self.handle(at, Event::Tick);
    }

    fn kill_box(&mut self, at: usize) {
        let life = self.boxes[at].life;
        self.boxes[at].is_running = false;
        self.boxes[at].life += 1;
        self.mail.post(BOX_AWAY, Mail::Start(at));
        self.lose_callers_of(at, life);
    }

    /// Notes which crashing requests a box knows of.
    fn note_known(&mut self, at: usize) {
        let now = self.now();
        for number in 0..self.case.culprits {
            let counts = &mut self.counts.culprits[number];
            let Some(third) = counts.third() else {
                continue;
            };
            let fingerprint = callers::content_of(number).for_organisation(None);
            let quarantine = self.boxes[at].dispatcher.quarantine();
            if !counts.known.contains_key(&at) && quarantine.is_quarantined(fingerprint) {
                counts.known.insert(at, now.since(third));
            }
        }
    }

    /// Whether a box has run, and reached all others, for long enough to be judged.
    fn is_in_touch(&self, at: usize) -> bool {
        let found = &self.boxes[at];
        let is_cut = at % DOMAINS == CUT_DOMAIN && self.now() < self.cut_until.after(CONTACT);
        found.is_running && self.now().since(found.started) >= CONTACT && !is_cut
    }

    /// Whether nothing gets from one domain to another.
    fn is_cut_between(&self, one: usize, other: usize) -> bool {
        let touches_cut = one == CUT_DOMAIN || other == CUT_DOMAIN;
        one != other && touches_cut && self.now() < self.cut_until
    }

    fn handle(&mut self, at: usize, event: Event) {
        if !self.boxes[at].is_running {
            return;
        }
        let now = self.now();
        let actions = self.boxes[at].dispatcher.handle(now, event);
        self.note_known(at);
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
            Action::PublishStoreAnswer { to, watcher } => self.send_store_answer(&to, &watcher),
            Action::PublishStreams { to, update } => {
                self.send(at, &[to], &datagram::write_streams(&update));
            }
            Action::SaveQuarantine {
                request,
                is_quarantined,
            } => self
                .mail
                .post(STORE_CALL, Mail::Keep(request, is_quarantined)),
            Action::ReadQuarantine => {
                let kept = self.kept.iter().map(|(request, since)| RequestAge {
                    request: *request,
                    age_ms: self.now().since(*since).as_millis() as u32,
                });
                let event = Event::QuarantineRead(kept.collect());
                self.post_event(at, STORE_CALL, event);
            }
            Action::WatchStore(is_watching) => self.watch_store(at, is_watching),
            Action::CheckPath {
                service, endpoints, ..
            } => {
                let is_up = |(id, address): &(EndpointId, SocketAddr)| {
                    self.reach(at, id).is_some() && self.servers.listening_at(*address).is_some()
                };
                let is_reached = endpoints.iter().any(is_up);
                let event = Event::PathChecked {
                    service,
                    is_reached,
                };
                self.answer(at, event);
            }
            Action::CheckExited {
                endpoint, address, ..
            } => {
                let has_exited = self.has_exited(at, &endpoint, address);
                let event = Event::Checked {
                    endpoint,
                    has_exited,
                };
                self.answer(at, event);
            }
            Action::FetchState { from, kind, .. } => {
                let outcome = FetchOutcome::Complete;
                let ended = Event::Fetched {
                    kind,
                    from,
                    outcome,
                };
                self.answer(at, ended);
            }
            Action::Command { request, command } => self.command(at, request, command),
            Action::Probe { endpoint, .. } => {
                let place = self.reach(at, &endpoint);
                let event = Event::Probed {
                    endpoint,
                    result: ProbeResult::of_reach(place.is_some()),
                    born: place.and_then(|place| self.servers.life(place).born),
                };
                self.answer(at, event);
            }
            Action::TakeSnapshot(asked) => {
                let is_taken = self.reach(at, &asked.host).is_some();
                let event = Event::SnapshotTaken {
                    request: asked.request,
                    attempt: asked.attempt,
                    host: asked.host,
                    name: if is_taken {
                        Ok(SnapshotName("s".to_owned()))
                    } else {
                        Err(SnapshotFailure::Refused)
                    },
                };
                let taken = Duration::from_millis(100);
                self.post_event(at, taken, event);
            }
            Action::Locate { request, .. } => {
                let endpoint = None;
                self.answer(at, Event::Located { request, endpoint });
            }
            _ => {}
        }
    }

    /// Whether a box sees that nothing listens at an address of a failure domain.
    fn has_exited(&self, at: usize, life: &EndpointIncarnation, address: SocketAddr) -> bool {
        let domain = servers::domain_number(&life.id);
        !self.is_cut_between(at % DOMAINS, domain) && self.servers.listening_at(address).is_none()
    }

    /// The server that a box reaches under an id.
    fn reach(&self, at: usize, id: &EndpointId) -> Option<usize> {
        let place = self.servers.find(id)?;
        let domain = servers::domain_number(id);
        (!self.is_cut_between(at % DOMAINS, domain)).then_some(place)
    }

    fn watch_store(&mut self, at: usize, is_watching: bool) {
        self.boxes[at].is_watching = is_watching;
        if is_watching {
            self.post_event(at, STORE_CALL, Event::StoreAnswered);
        }
    }

    fn send_store_answer(&mut self, to: &[SocketAddr], watcher: &StoreReader) {
        for address in to {
            let to = self.by_address[address];
            self.post_event(to, NEAR, Event::PeerStoreAnswer(watcher.clone()));
        }
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

    /// What comes back from outside at once.
    fn answer(&mut self, at: usize, event: Event) {
        self.post_event(at, OUTSIDE * 2, event);
    }

    fn send<E>(&mut self, from: usize, to: &[SocketAddr], datagram: &Result<Vec<u8>, E>) {
        let bytes = datagram.as_ref().map_or(&[][..], Vec::as_slice);
        self.counts.bytes += (bytes.len() * to.len()) as u64;
        let events = datagram::read(bytes).unwrap_or_default();
        for address in to {
            let Some(to) = self.by_address.get(address).copied() else {
                continue;
            };
            let (near, far) = (from % DOMAINS, to % DOMAINS);
            let is_lost = self.rng.random_bool(LOST) || self.is_cut_between(near, far);
            if is_lost || !self.boxes[to].is_running {
                continue;
            }
            let way = if near == far { NEAR } else { FAR };
            let way = way.mul_f64(self.rng.random_range(0.5..2.0));
            for event in &events {
                self.post_event(to, way, event.clone());
            }
        }
    }
}
