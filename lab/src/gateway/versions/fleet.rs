//! Boxes of the real decision code on made-up time, the links between them, and the store.
//!
//! `engines` holds the engines and their versions, `callers` those who read streams, `faults` what
//! changes and what goes wrong, `arrivals` what engines got beyond the first of each request.

mod arrivals;
mod callers;
mod engines;
mod faults;
mod isolation;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{
    EndpointSpec, Event, ProbeResult, RequestNumber, SnapshotFailure, SnapshotName,
};
use magpiemoor::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use magpiemoor::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;
use magpiemoor::gateway::dispatch::table::RoutingTable;
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::gateway::shell::datagram;
use magpiemoor::schema::{Incarnation, Micros, StreamRecord};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::score::{Counts, Outcome};
use super::{Beside, Case};
use crate::gateway::boxes::{address, config};
use crate::gateway::mailbox::Mailbox;
use arrivals::Arrivals;
use callers::{Caller, CallerId};
use engines::{Engines, Run, RunId};
use isolation::Isolation;

/// When the boxes start.
const START: Micros = Micros(1_000_000);
/// When callers begin, after that.
const CALLERS_AFTER: Duration = Duration::from_secs(2);
/// How long a play lasts, apart from the time for which the store is out beside outages.
pub(super) const PLAYED: Duration = Duration::from_secs(26);
/// One way between boxes of a failure domain, between two domains, and between a box and anything else.
const NEAR: Duration = Duration::from_micros(600);
const FAR: Duration = Duration::from_millis(2);
const OUTSIDE: Duration = Duration::from_millis(1);
/// How long the store takes for a call.
const STORE_CALL: Duration = Duration::from_millis(6);
/// Time between two answers of the store to the watches of a box.
const WATCH: Duration = MAX_ANSWER_INTERVAL;
/// The share of datagrams that are lost.
const LOST: f64 = 0.005;
/// How long a box that was disturbed isn't in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// How many failure domains there are.
const DOMAINS: usize = 3;
/// The share of boxes that know nothing of versions, where there are such boxes.
const OLD_SHARE: f64 = 1.0 / 3.0;

struct SimBox {
    dispatcher: Dispatcher,
    cfg: DispatchConfig,
    is_running: bool,
    is_old: bool,
    is_watching: bool,
    life: u64,
    disturbed: Micros,
    frozen_until: Micros,
    isolation: Isolation,
    tick_at: Micros,
    next_request: u64,
}

#[derive(Clone, Debug)]
enum Mail {
    Start(usize),
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    /// The store answers the watch of a box, if it still watches.
    Watched(usize, u64),
    /// A caller with a stream comes.
    NewCaller,
    /// A caller sends its next attempt.
    Attempt(CallerId),
    /// An engine makes the next event of a run.
    Step(RunId),
    /// An event of a run arrives at its box: its number, and the version that made it.
    Deliver(RunId, u64, &'static str),
    /// What changes or goes wrong next.
    Change(usize),
    Fault(usize),
    CrashEngines,
    /// The engines of a failure domain end.
    Outage(usize),
    /// An engine that crashed is back.
    EngineBack(usize),
    /// An engine that left ends.
    EngineEnds(usize),
    /// The lists of all boxes become current, after a cut or an outage.
    Relist,
    /// A box is no longer out of step.
    Rejoined(usize),
}

/// A request at a box, in a life of it.
type Place = (usize, u64, RequestNumber);

/// A fleet before engines of several versions.
pub struct Fleet {
    case: Case,
    mail: Mailbox<Mail>,
    boxes: Vec<SimBox>,
    by_address: HashMap<SocketAddr, usize>,
    table: Arc<RoutingTable>,
    engines: Engines,
    callers: Vec<Caller>,
    /// Which caller's request it is.
    asked: HashMap<Place, CallerId>,
    runs: BTreeMap<RunId, Run>,
    next_run: u64,
    revision: u64,
    /// Objects of the store with records of streams, and when they were written.
    saved: BTreeMap<String, (Micros, Vec<StreamRecord>)>,
    cut_until: Micros,
    store_out_until: Micros,
    counts: Counts,
    arrivals: Arrivals,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// The boxes of a case, about to start.
    #[must_use]
    pub fn new(case: Case) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(case.seed);
        let boxes = (0..case.boxes).map(|number| {
            let cfg = config(number, case.boxes, DOMAINS);
            SimBox {
                dispatcher: Dispatcher::new(cfg.clone(), case.seed, START),
                cfg,
                is_running: false,
                is_old: case.beside == Beside::OldBoxes && rng.random_bool(OLD_SHARE),
                is_watching: false,
                life: 0,
                disturbed: Micros::ZERO,
                frozen_until: START,
                isolation: Isolation::NONE,
                tick_at: START,
                next_request: 0,
            }
        });
        let mut fleet = Self {
            mail: Mailbox::new(START),
            boxes: boxes.collect(),
            by_address: (0..case.boxes).map(|n| (address(n), n)).collect(),
            table: Arc::new(engines::table()),
            engines: Engines::new(&case, &mut rng),
            callers: Vec::new(),
            asked: HashMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            revision: 1,
            saved: BTreeMap::new(),
            cut_until: START,
            store_out_until: START,
            counts: Counts::default(),
            arrivals: Arrivals::default(),
            rng,
            case,
        };
        for number in 0..case.boxes {
            let delay = Duration::from_millis(fleet.rng.random_range(0..300));
            fleet.mail.post(delay, Mail::Start(number));
        }
        fleet.mail.post(CALLERS_AFTER, Mail::NewCaller);
        fleet.post_faults();
        fleet
    }

    /// Plays the case to its end.
    #[must_use]
    pub fn play(mut self) -> Outcome {
        while let Some(mail) = self.mail.next(START.after(self.case.played())) {
            self.take(mail);
        }
        self.count_streams();
        self.arrivals.judge(&mut self.counts);
        Outcome {
            case: self.case,
            counts: self.counts,
        }
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
                    self.handle(at, *event);
                }
            }
            Mail::Watched(at, life) => self.answer_watch(at, life),
            Mail::NewCaller => self.new_caller(),
            Mail::Attempt(caller) => self.send_attempt(caller),
            Mail::Step(run) => self.step(run),
            Mail::Deliver(run, event, version) => self.deliver(run, event, version),
            Mail::Change(number) => self.bring_change(number),
            Mail::Fault(number) => self.bring_fault(number),
            Mail::CrashEngines => self.crash_engines(),
            Mail::Outage(domain) => self.strike_domain(domain),
            Mail::EngineBack(engine) => self.restart_engine(engine),
            Mail::EngineEnds(engine) => self.end_engine(engine),
            Mail::Relist => self.relist(),
            Mail::Rejoined(at) => self.rejoin(at),
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
        found.tick_at = now;
        if !found.cfg.first_start {
            found.disturbed = now;
        }
        let table = Arc::clone(&self.table);
        self.handle(at, Event::Table(table));
        self.send_list(at);
        self.handle(at, Event::Tick);
    }

    fn list(&self) -> Event {
        Event::EndpointsListed {
            specs: self.engines.listed(),
            unreadable: Vec::new(),
            at: self.revision,
        }
    }

    fn send_list(&mut self, at: usize) {
        let list = self.list();
        self.handle(at, list);
    }

    /// A box fetches what a peer has: the current list, if the peer hears the store.
    fn fetch(&mut self, at: usize, from: SocketAddr, kind: FetchKind) {
        let peer = self.by_address.get(&from).copied();
        let is_current = peer.is_some_and(|peer| {
            let is_cut = self.is_cut_between(at % DOMAINS, peer % DOMAINS);
            let is_isolated = self.is_isolated(at) || self.is_isolated(peer);
            self.boxes[peer].is_running && !is_cut && !is_isolated && self.is_store_reached(peer)
        });
        if is_current && kind == FetchKind::Endpoints {
            let list = self.list();
            self.answer(at, list);
        }
        let outcome = if is_current {
            FetchOutcome::Complete
        } else {
            FetchOutcome::Failed
        };
        let event = Event::Fetched {
            kind,
            from,
            outcome,
        };
        self.answer(at, event);
    }

    /// Whether a box has run and reached the others for long enough that its requests count.
    fn is_in_touch(&self, at: usize) -> bool {
        let now = self.now();
        let found = &self.boxes[at];
        let is_disturbed = found.disturbed > Micros::ZERO && now < found.disturbed.after(CONTACT);
        let is_cut = self.cut_until > START && now < self.cut_until.after(CONTACT);
        let is_store_out =
            self.store_out_until > START && now < self.store_out_until.after(CONTACT);
        found.is_running && !found.is_old && !is_disturbed && !is_cut && !is_store_out
    }

    /// Whether nothing gets from one domain to another.
    fn is_cut_between(&self, one: usize, other: usize) -> bool {
        let touches_cut = one == faults::CUT_DOMAIN || other == faults::CUT_DOMAIN;
        one != other && touches_cut && self.now() < self.cut_until
    }

    fn handle(&mut self, at: usize, event: Event) {
        let now = self.now();
        if !self.boxes[at].is_running {
            return;
        }
        if now < self.boxes[at].frozen_until {
            let thaws = self.boxes[at].frozen_until.since(now);
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
            } => self.send(at, &to, &datagram::write_state(&state, &crashes)),
            Action::GossipUsage {
                to,
                update,
                crashes,
            } => self.send(at, &to, &datagram::write_usage(&update, &crashes)),
            Action::PublishStreams { to, update } if !self.boxes[at].is_old => {
                let datagram = datagram::write_streams(&update);
                let bytes = datagram.as_ref().map_or(0, Vec::len);
                self.counts.stream_bytes += bytes as u64;
                self.send(at, &[to], &datagram);
            }
            Action::PublishStoreAnswer { to, watcher } if !self.boxes[at].is_old => {
                self.send(at, &to, &datagram::write_store_answer(&watcher));
            }
            Action::PublishContact { to, check } if !self.boxes[at].is_old => {
                let from = &self.boxes[at].cfg.me;
                let datagram = datagram::write_contact(from, &check);
                self.send(at, &to, &datagram);
            }
            Action::PublishIdentities { to, update } if !self.boxes[at].is_old => {
                self.send(at, &to, &datagram::write_identities(&update));
            }
            Action::SaveStreams { records, name, .. } => self.save_streams(at, name, records),
            Action::ReadStreams => self.read_streams(at),
            Action::WatchStore(is_watching) => {
                self.boxes[at].is_watching = is_watching;
                if is_watching {
                    self.read_list_alone(at);
                }
                self.answer_watch(at, self.boxes[at].life);
            }
            Action::FetchState { from, kind, .. } => self.fetch(at, from, kind),
            Action::Command { request, command } => self.command(at, request, command),
            _ => self.ask_engines(at, action),
        }
    }

    fn ask_engines(&mut self, at: usize, action: Action) {
        let domain = at % DOMAINS;
        match action {
            Action::Probe { endpoint, .. } => {
                let engine = self.reach(domain, &endpoint);
                let event = Event::Probed {
                    endpoint,
                    result: ProbeResult::of_reach(engine.is_some()),
                    born: engine.and_then(|engine| self.engines.at(engine).spec.born),
                };
                self.answer(at, event);
            }
            Action::CheckPath {
                service, endpoints, ..
            } => {
                let is_reached = endpoints
                    .iter()
                    .any(|(id, _)| self.reach(domain, id).is_some());
                let event = Event::PathChecked {
                    service,
                    is_reached,
                };
                self.answer(at, event);
            }
            Action::CheckExited {
                endpoint, address, ..
            } => {
                let has_exited = self.engines.listening_at(address).is_none();
                let event = Event::Checked {
                    endpoint,
                    has_exited,
                };
                self.answer(at, event);
            }
            Action::Identify(spec) => {
                self.counts.checks += 1;
                let engine = self.reach(domain, &spec.id);
                if let Some(born) = engine.map(|engine| self.engines.at(engine).spec.born) {
                    self.answer(at, Event::Identified(EndpointSpec { born, ..spec }));
                }
            }
            Action::RequestIdentity { spec, .. } => {
                self.counts.checks += 1;
                let found = self.engines.listening_at(spec.address);
                let found = found.filter(|f| !self.is_cut_between(domain, self.engines.domain(*f)));
                if let Some(engine) = found.map(|engine| self.engines.at(engine).spec.clone()) {
                    let event = Event::IdentityReported {
                        endpoint: spec.id,
                        instance: engine.id,
                        born: engine.born,
                    };
                    self.answer(at, event);
                }
            }
            Action::TakeSnapshot(asked) => {
                let is_taken = self.reach(domain, &asked.host).is_some();
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
                self.answer(at, event);
            }
            Action::Locate { request, among, .. } => {
                let endpoint = self.locate((at, self.boxes[at].life, request), &among);
                self.answer(at, Event::Located { request, endpoint });
            }
            _ => {}
        }
    }

    fn is_store_reached(&self, at: usize) -> bool {
        let is_cut = at % DOMAINS == faults::CUT_DOMAIN && self.now() < self.cut_until;
        let serves_some = self.case.outages.is_some_and(|o| o.store_serves_some);
        let is_served = serves_some && (at / DOMAINS).is_multiple_of(2);
        let is_cut = is_cut || self.is_isolated_from_store(at);
        !is_cut && (is_served || self.now() >= self.store_out_until)
    }

    fn answer_watch(&mut self, at: usize, life: u64) {
        let found = &self.boxes[at];
        if !found.is_watching || found.life != life || !found.is_running {
            return;
        }
        if self.is_store_reached(at) {
            self.post_event(at, STORE_CALL, Event::StoreAnswered);
        }
        self.mail.post(WATCH, Mail::Watched(at, life));
    }

    fn save_streams(&mut self, at: usize, name: String, records: Vec<StreamRecord>) {
        self.counts.store_calls += 1;
        let is_saved = self.is_store_reached(at);
        if is_saved {
            self.saved.insert(name, (self.mail.now, records));
        }
        self.post_event(at, STORE_CALL, Event::StreamsSaved { is_saved });
    }

    fn read_streams(&mut self, at: usize) {
        self.counts.store_calls += 1;
        if !self.is_store_reached(at) {
            return;
        }
        let now = self.now();
        let of_object = |(written, records): &(Micros, Vec<StreamRecord>)| {
            let age_ms = now.since(*written).as_millis() as u32;
            let left = records.iter().filter(move |r| r.keep_ms > age_ms).cloned();
            left.map(move |r| StreamRecord {
                age_ms: r.age_ms + age_ms,
                keep_ms: r.keep_ms - age_ms,
                ..r
            })
            .collect::<Vec<_>>()
        };
        let records = self.saved.values().flat_map(of_object).collect();
        self.post_event(at, STORE_CALL, Event::StreamsRead(records));
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
            let is_cut = self.is_cut_between(near, far) || self.is_isolated_between(from, to);
            let is_lost = self.rng.random_bool(LOST) || is_cut;
            if is_lost || !self.boxes[to].is_running {
                continue;
            }
            let way = if near == far { NEAR } else { FAR };
            let way = way.mul_f64(self.rng.random_range(0.5..2.0)) + self.lateness(from, to);
            for event in &events {
                let is_recent = matches!(
                    event,
                    Event::PeerStreams(_) | Event::PeerIdentities(_) | Event::PeerContact(_)
                );
                let is_known = !self.boxes[to].is_old || !is_recent;
                if is_known {
                    self.post_event(to, way, event.clone());
                }
            }
        }
    }
}
