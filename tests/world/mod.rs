//! A handful of nodes on made-up time, with small fakes of everything around them.
//!
//! Time moves from one scheduled delivery to the next. Each box has a clock of its own, so that a
//! time that crosses from one box to another unconverted shows. The checks that must always hold
//! are made with every step; what breaks them is collected in `violations`.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod callers;
pub mod endpoints;
pub mod fixtures;
pub mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::keyed::bundle::{Bundle, SignedBundle};
use magpiemoor::keyed::node::Node;
use magpiemoor::keyed::node::action::{Action, EngineStart, Order, PlatformOp, ServiceCall};
use magpiemoor::keyed::node::config::NodeConfig;
use magpiemoor::keyed::node::event::{
    CallerEvent, EngineEvent, Event, NotSent, ServiceOutcome, Timer,
};
use magpiemoor::schema::{BoxId, BundleVersion, FleetState, Member, Micros, PeerMessage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use callers::Callers;
use endpoints::{Engine, Service};
use platform::FakePlatform;

/// The usual time of a message from one process to another.
const HOP: Duration = Duration::from_micros(400);
/// How long a connection attempt over a cut link takes to fail.
const CUT_NOTICE: Duration = Duration::from_millis(300);
/// How long the platform's callers wait for an answer.
const PLATFORM_LIMIT: Duration = Duration::from_secs(1);
/// The time between the control thread's decision and the byte on the wire.
const LOCAL: Duration = Duration::from_micros(30);

/// Something that is going to happen.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// An event reaches a life of a box.
    Event(BoxId, u64, Box<Event>),
    /// A box carries out what its node decided.
    Act(BoxId, u64, Box<Action>),
    /// A call reaches the platform.
    Platform(BoxId, u64, u64, Micros, PlatformOp),
    /// A start reaches an engine.
    Start(BoxId, u64, Box<EngineStart>),
    /// An engine produces its next token of a stream.
    EngineTick(String, String),
    /// A call reaches a plain service.
    Call(BoxId, u64, Box<ServiceCall>),
    /// An order reaches an engine.
    Order(Box<Order>),
}

/// One box: its node in its present life, if it runs.
pub struct Slot {
    pub cfg: NodeConfig,
    pub node: Option<Node>,
    pub frozen: bool,
    pub offset: u64,
    pub life: u64,
    held_back: Vec<Delivery>,
    timers: BTreeMap<String, (Timer, Micros, u64)>,
    bundle_version: u64,
}

/// The boxes and what is around them.
pub struct World {
    pub now: Micros,
    pub rng: ChaCha8Rng,
    pub boxes: BTreeMap<BoxId, Slot>,
    pub platform: FakePlatform,
    pub engines: BTreeMap<String, Engine>,
    pub services: BTreeMap<String, Service>,
    pub callers: Callers,
    pub cuts: BTreeSet<(String, String)>,
    pub bundles: BTreeMap<BundleVersion, (Arc<Bundle>, Arc<SignedBundle>)>,
    pub violations: Vec<String>,
    pub notes: Vec<(Micros, BoxId, &'static str, String, String)>,
    /// Share of heartbeats that are lost, and of those that come twice.
    pub loss: f64,
    queue: BTreeMap<(Micros, u64), Delivery>,
    sequence: u64,
    links: BTreeMap<(BoxId, BoxId), Micros>,
}

impl World {
    pub fn empty(seed: u64) -> Self {
        Self {
            now: Micros(1_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            boxes: BTreeMap::new(),
            platform: FakePlatform::default(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            callers: Callers::default(),
            cuts: BTreeSet::new(),
            bundles: BTreeMap::new(),
            violations: Vec::new(),
            notes: Vec::new(),
            loss: 0.0,
            queue: BTreeMap::new(),
            sequence: 0,
            links: BTreeMap::new(),
        }
    }

    pub fn schedule(&mut self, after: Duration, delivery: Delivery) -> u64 {
        self.sequence += 1;
        self.queue
            .insert((self.now.after(after), self.sequence), delivery);
        self.sequence
    }

    pub fn hop(&mut self) -> Duration {
        HOP.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Starts a box, in a new life if it ran before.
    pub fn start_box(&mut self, id: &BoxId) {
        let now = self.now;
        let seed = self.rng.random();
        let offset = self.rng.random_range(0..1_000_000_000);
        let Some(slot) = self.boxes.get_mut(id) else {
            return;
        };
        slot.life += 1;
        slot.offset = offset;
        slot.frozen = false;
        slot.held_back.clear();
        slot.timers.clear();
        slot.bundle_version = 0;
        slot.cfg.me.incarnation = magpiemoor::schema::Incarnation(now.0 + slot.life);
        slot.node = Some(Node::new(slot.cfg.clone(), seed, Micros(now.0 + offset)));
        let domain = slot.cfg.domain.to_string();
        let life = slot.cfg.me.incarnation;
        self.platform
            .list(&domain, id, FleetState::Live, Some(life));
        self.give(id, Event::Start);
    }

    /// Kills a box; the others notice the closed connections.
    pub fn kill_box(&mut self, id: &BoxId) {
        let Some(slot) = self.boxes.get_mut(id) else {
            return;
        };
        slot.node = None;
        slot.frozen = false;
        let domain = slot.cfg.domain.to_string();
        self.platform.list(&domain, id, FleetState::Gone, None);
        self.callers.box_died(id);
        let others: Vec<BoxId> = self.boxes.keys().filter(|b| *b != id).cloned().collect();
        for other in others {
            if !self.is_cut(id, &other) {
                let hop = self.hop();
                self.event_for(&other, hop, Event::PeerLost(id.clone()));
            }
        }
    }

    pub fn freeze_box(&mut self, id: &BoxId) {
        if let Some(slot) = self.boxes.get_mut(id) {
            slot.frozen = slot.node.is_some();
        }
    }

    pub fn thaw_box(&mut self, id: &BoxId) {
        let Some(slot) = self.boxes.get_mut(id) else {
            return;
        };
        slot.frozen = false;
        for delivery in std::mem::take(&mut slot.held_back) {
            let timer = match &delivery {
                Delivery::Event(_, _, event) => match &**event {
                    Event::Timer(timer) => Some(format!("{timer:?}")),
                    _ => None,
                },
                _ => None,
            };
            let sequence = self.schedule(Duration::ZERO, delivery);
            let slot = self.boxes.get_mut(id).expect("the box exists");
            if let Some(set) = timer.and_then(|name| slot.timers.get_mut(&name)) {
                set.2 = sequence;
            }
        }
    }

    /// The failure domain of a box or an endpoint.
    pub fn domain_of(&self, name: &str) -> String {
        let of_box = |id: &str| {
            let id: BoxId = id.parse().ok()?;
            Some(self.boxes.get(&id)?.cfg.domain.to_string())
        };
        of_box(name)
            .or_else(|| self.engines.get(name).map(|e| e.domain.clone()))
            .or_else(|| self.services.get(name).map(|s| s.domain.clone()))
            .unwrap_or_else(|| name.to_owned())
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    /// Whether two processes, or their failure domains, are cut off from each other.
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        let pair = |x: &str, y: &str| self.cuts.contains(&(x.to_owned(), y.to_owned()));
        let (da, db) = (self.domain_of(a), self.domain_of(b));
        pair(a, b) || pair(&da, &db) || pair(a, &db) || pair(&da, b)
    }

    pub fn event_for(&mut self, id: &BoxId, after: Duration, event: Event) {
        if let Some(slot) = self.boxes.get(id) {
            let life = slot.life;
            self.schedule(after, Delivery::Event(id.clone(), life, Box::new(event)));
        }
    }

    /// Lets everything happen that is due within a span.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some(((at, sequence), delivery)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.deliver(sequence, delivery);
        }
        self.now = end;
    }

    /// Runs until something holds, or a span has passed; returns whether it holds.
    pub fn run_until(&mut self, span: Duration, mut holds: impl FnMut(&mut Self) -> bool) -> bool {
        let end = self.now.after(span);
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run(Duration::from_millis(5));
        }
        holds(self)
    }

    fn deliver(&mut self, sequence: u64, delivery: Delivery) {
        let (id, life) = match &delivery {
            Delivery::Event(id, life, _) | Delivery::Act(id, life, _) => (id.clone(), *life),
            Delivery::Platform(id, life, call, asked, op) => {
                return self.platform_call(&id.clone(), *life, *call, *asked, op);
            }
            Delivery::Start(id, life, start) => {
                return self.engine_start(&id.clone(), *life, start);
            }
            Delivery::EngineTick(engine, stream) => return self.engine_tick(engine, stream),
            Delivery::Call(id, life, call) => return self.service_call(&id.clone(), *life, call),
            Delivery::Order(order) => return self.take_order(order),
        };
        let Some(slot) = self
            .boxes
            .get_mut(&id)
            .filter(|s| s.life == life && s.node.is_some())
        else {
            return;
        };
        if slot.frozen {
            slot.held_back.push(delivery);
            return;
        }
        match delivery {
            Delivery::Event(_, _, event) => {
                if let Event::Timer(timer) = &*event {
                    let name = format!("{timer:?}");
                    if slot
                        .timers
                        .get(&name)
                        .is_none_or(|(_, _, s)| *s != sequence)
                    {
                        return;
                    }
                    slot.timers.remove(&name);
                }
                self.give(&id, *event);
            }
            Delivery::Act(_, _, action) => self.act(&id, life, *action),
            _ => {}
        }
    }

    /// Gives a node an event and schedules what it decides.
    pub fn give(&mut self, id: &BoxId, event: Event) {
        let now = self.now;
        let Some(slot) = self.boxes.get_mut(id) else {
            return;
        };
        let own = Micros(now.0 + slot.offset);
        let life = slot.life;
        let Some(node) = slot.node.as_mut() else {
            return;
        };
        for action in node.handle(own, event) {
            match action {
                Action::SetTimer { timer, at } => self.set_timer(id, life, timer, at),
                Action::Reply { connection, reply } => {
                    self.on_reply(id, connection, reply);
                }
                Action::Note {
                    event,
                    subject,
                    detail,
                } => self.on_note(id, event, subject, detail),
                other => {
                    self.schedule(LOCAL, Delivery::Act(id.clone(), life, Box::new(other)));
                }
            }
        }
    }

    fn set_timer(&mut self, id: &BoxId, life: u64, timer: Timer, at: Micros) {
        let offset = self.boxes[id].offset;
        let due = Micros(at.0.saturating_sub(offset)).max(self.now);
        let span = due.since(self.now);
        let event = Event::Timer(timer.clone());
        let sequence = self.schedule(span, Delivery::Event(id.clone(), life, Box::new(event)));
        if let Some(slot) = self.boxes.get_mut(id) {
            slot.timers
                .insert(format!("{timer:?}"), (timer, due, sequence));
        }
    }

    fn on_note(&mut self, id: &BoxId, event: &'static str, subject: String, detail: String) {
        if event == "bundle_in_force" {
            let version: u64 = subject.parse().unwrap_or(0);
            let slot = self.boxes.get_mut(id).expect("the box exists");
            if version <= slot.bundle_version {
                self.violations
                    .push(format!("{id} went back to bundle {version}"));
            }
            slot.bundle_version = version;
        }
        self.notes
            .push((self.now, id.clone(), event, subject, detail));
    }

    fn act(&mut self, id: &BoxId, life: u64, action: Action) {
        match action {
            Action::Send { to, message } => self.send(id, &to, *message),
            Action::Beat { to, heartbeat } => {
                for address in to {
                    let Ok(to) = address.parse::<BoxId>() else {
                        continue;
                    };
                    if self.is_cut(id, &to) || self.rng.random_bool(self.loss) {
                        continue;
                    }
                    let copies = if self.rng.random_bool(self.loss) {
                        2
                    } else {
                        1
                    };
                    for _ in 0..copies {
                        let hop = self.hop();
                        self.event_for(&to, hop, Event::Heartbeat(heartbeat.clone()));
                    }
                }
            }
            Action::StartEngine(start) => {
                let hop = self.hop();
                self.schedule(hop, Delivery::Start(id.clone(), life, start));
            }
            Action::CancelEngine { address, stream } => self.cancel_stream(&address, &stream),
            Action::CallService(call) => self.send_call(id, life, call),
            Action::PollLoad { endpoint, .. } => self.poll(id, &endpoint),
            Action::Order(order) => {
                let own = Micros(self.now.0 + self.boxes[id].offset);
                if own < order.not_after && !self.is_cut(id, &order.endpoint) {
                    let hop = self.hop();
                    self.schedule(hop, Delivery::Order(order));
                }
            }
            Action::Platform { id: call, op } => {
                let asked = Micros(self.now.0 + self.boxes[id].offset);
                let hop = self.hop();
                self.schedule(hop, Delivery::Platform(id.clone(), life, call, asked, op));
            }
            Action::FetchBundle { mark, from_peer } => {
                let reachable = !self.platform.outage && !self.is_cut(id, "platform");
                if let Some((bundle, signed)) = self.bundles.get(&mark.version).cloned()
                    && (from_peer.is_some() || reachable)
                {
                    let hop = self.hop();
                    self.event_for(id, hop, Event::Bundle { bundle, signed });
                }
            }
            Action::Exit => {
                self.kill_box(id);
            }
            Action::Reply { .. } | Action::SetTimer { .. } | Action::Note { .. } => {}
        }
    }

    /// A message by TCP: in order, and lost with the connection.
    fn send(&mut self, from: &BoxId, to: &Member, message: PeerMessage) {
        let running = self.boxes.get(&to.id).is_some_and(|s| s.node.is_some());
        if self.is_cut(from, &to.id) || !running {
            let notice = if running { CUT_NOTICE } else { HOP };
            return self.event_for(from, notice, Event::PeerLost(to.id.clone()));
        }
        let hop = self.hop();
        let due = self.now.after(hop);
        let link = (from.clone(), to.id.clone());
        let last = self.links.get(&link).copied().unwrap_or(Micros::ZERO);
        let due = due.max(Micros(last.0 + 1));
        self.links.insert(link, due);
        let incarnation = self.boxes[from].cfg.me.incarnation;
        let event = Event::Peer {
            from: from.clone(),
            incarnation,
            message,
        };
        self.event_for(&to.id, due.since(self.now), event);
    }

    /// The last look at the clock, and then the wire.
    fn send_call(&mut self, id: &BoxId, life: u64, call: Box<ServiceCall>) {
        let own = Micros(self.now.0 + self.boxes[id].offset);
        if call.not_after.is_some_and(|until| own >= until) {
            let outcome = ServiceOutcome::NotSent(NotSent::LeaseOver);
            let event = Event::Service {
                key: call.key.clone(),
                attempt: call.attempt,
                outcome,
            };
            return self.event_for(id, LOCAL, event);
        }
        let hop = self.hop();
        self.schedule(hop, Delivery::Call(id.clone(), life, call));
    }

    pub fn event_for_life(&mut self, id: &BoxId, life: u64, after: Duration, event: Event) {
        self.schedule(after, Delivery::Event(id.clone(), life, Box::new(event)));
    }

    pub fn engine_event(
        &mut self,
        id: &BoxId,
        life: u64,
        stream: &magpiemoor::keyed::node::event::StreamId,
        event: EngineEvent,
    ) {
        let hop = self.hop();
        self.event_for_life(
            id,
            life,
            hop,
            Event::Engine {
                stream: stream.clone(),
                event,
            },
        );
    }

    /// A caller does something at a box.
    pub fn caller_event(&mut self, id: &BoxId, connection: u64, event: CallerEvent) {
        self.event_for(id, HOP, Event::Caller { connection, event });
    }

    /// How often something was noted.
    pub fn noted(&self, event: &str) -> usize {
        self.notes.iter().filter(|n| n.2 == event).count()
    }

    /// The node of a box that runs.
    pub fn node(&self, id: &BoxId) -> Option<&Node> {
        self.boxes.get(id)?.node.as_ref()
    }

    pub fn bundle_version(&self, id: &BoxId) -> u64 {
        self.boxes.get(id).map_or(0, |s| s.bundle_version)
    }

    pub fn box_ids(&self) -> Vec<BoxId> {
        self.boxes.keys().cloned().collect()
    }

    pub fn platform_limit() -> Duration {
        PLATFORM_LIMIT
    }
}
