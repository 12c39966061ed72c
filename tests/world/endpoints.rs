//! Engines and plain services on made-up time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpiemoor::keyed::node::action::{EngineStart, Order, ServiceCall};
use magpiemoor::keyed::node::event::{
    EngineEvent, EngineFailure, Event, Load, NotSent, ServiceOutcome, StreamId,
};
use magpiemoor::schema::{BoxId, EndpointId, Finish, LoadReport, Micros, ServiceAnswer, Token};
use rand::Rng;

use super::{Delivery, World};

/// Time between two tokens of a stream.
pub const TOKEN_TIME: Duration = Duration::from_millis(10);
/// How long a plain service takes.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// How long an endpoint that is leaving may still get new work.
pub const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// A stream of an engine, and the boxes that read it.
#[derive(Debug)]
pub struct Stream {
    pub tokens: Vec<Token>,
    length: usize,
    max: usize,
    readers: Vec<(BoxId, u64, StreamId, usize)>,
}

/// What is the matter with an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Trouble {
    #[default]
    None,
    /// It answers nothing.
    Frozen,
    /// It answers, but produces no tokens.
    Stalled,
}

/// An engine.
#[derive(Debug, Default)]
pub struct Engine {
    pub domain: String,
    pub alive: bool,
    pub trouble: Trouble,
    pub slow: u32,
    pub leaving_since: Option<Micros>,
    pub streams: BTreeMap<String, Stream>,
    pub produced: u64,
    pub highest_epoch: u64,
    pub checks_orders: bool,
    pub model_version: u32,
    /// Duplicates one event in this many.
    pub duplicates: u32,
}

/// A plain service.
#[derive(Debug, Default)]
pub struct Service {
    pub domain: String,
    pub alive: bool,
    pub lose_answers: bool,
    pub runs: BTreeMap<String, u32>,
    /// Keys of which a caller was told that they have not run.
    pub not_run: BTreeSet<String>,
}

/// The token that an engine gives at a place of a request's answer.
pub fn token(engine: &str, key: &str, place: usize) -> Token {
    let hash = magpiemoor::rendezvous::item(&format!("{engine}/{key}/{place}"));
    Token {
        id: (hash % 1_000_000) as u32,
        text: format!(" {place}"),
    }
}

impl World {
    pub fn engine_mut(&mut self, name: &str) -> &mut Engine {
        self.engines.get_mut(name).expect("the engine exists")
    }

    /// Kills an engine: its streams break off.
    pub fn kill_engine(&mut self, name: &str) {
        let engine = self.engine_mut(name);
        engine.alive = false;
        let streams = std::mem::take(&mut engine.streams);
        for stream in streams.into_values() {
            for (id, life, named, _) in stream.readers {
                self.engine_event(
                    &id,
                    life,
                    &named,
                    EngineEvent::Failed(EngineFailure::Broken),
                );
            }
        }
    }

    pub(super) fn engine_start(&mut self, id: &BoxId, life: u64, start: &EngineStart) {
        let name = start.endpoint.to_string();
        let cut = self.is_cut(id, &name);
        let now = self.now;
        let engine = self.engine_mut(&name);
        let failure = if cut || !engine.alive {
            Some(EngineFailure::Unreachable)
        } else if engine.trouble == Trouble::Frozen {
            return;
        } else if start.attach.is_none() && engine.leaving_since.is_some() {
            let late = engine
                .leaving_since
                .is_some_and(|at| now.since(at) > LEAVING_BOUND);
            if late {
                self.violations
                    .push(format!("{id} gave new work to {name}, which is leaving"));
            }
            Some(EngineFailure::Leaving)
        } else {
            None
        };
        if let Some(failure) = failure {
            return self.engine_event(id, life, &start.stream, EngineEvent::Failed(failure));
        }
        match &start.attach {
            Some(stream) => self.attach(id, life, &name, stream, start),
            None => self.begin_stream(id, life, &name, start),
        }
    }

    fn attach(&mut self, id: &BoxId, life: u64, name: &str, stream: &str, start: &EngineStart) {
        let from = start.tokens.len();
        let known = self
            .engine_mut(name)
            .streams
            .get_mut(stream)
            .filter(|s| s.tokens.len() >= from);
        let Some(known) = known else {
            return self.engine_event(
                id,
                life,
                &start.stream,
                EngineEvent::Failed(EngineFailure::Gone),
            );
        };
        let caught_up = known.tokens[from..].to_vec();
        known
            .readers
            .push((id.clone(), life, start.stream.clone(), known.tokens.len()));
        let (whole, finish) = (known.is_whole(), known.finish());
        if !caught_up.is_empty() {
            let event = EngineEvent::Tokens {
                offset: from,
                tokens: caught_up,
            };
            self.engine_event(id, life, &start.stream, event);
        }
        if whole {
            let hop = Duration::from_millis(2);
            let event = Event::Engine {
                stream: start.stream.clone(),
                event: EngineEvent::Finished(finish),
            };
            self.event_for_life(id, life, hop, event);
        }
    }

    fn begin_stream(&mut self, id: &BoxId, life: u64, name: &str, start: &EngineStart) {
        let max = start.max_tokens as usize;
        let stream = Stream {
            tokens: start.tokens.clone(),
            length: max,
            max,
            readers: vec![(id.clone(), life, start.stream.clone(), start.tokens.len())],
        };
        let named = start.stream.to_string();
        self.engine_mut(name).streams.insert(named.clone(), stream);
        self.engine_event(id, life, &start.stream, EngineEvent::Opened);
        self.schedule(TOKEN_TIME * 2, Delivery::EngineTick(name.to_owned(), named));
    }

    pub(super) fn engine_tick(&mut self, name: &str, stream: &str) {
        let vary = self.rng.random_range(0.8..1.2);
        let again = Delivery::EngineTick(name.to_owned(), stream.to_owned());
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if !engine.alive || !engine.streams.contains_key(stream) {
            return;
        }
        let pause = TOKEN_TIME.mul_f64(vary) * (engine.slow + 1);
        if engine.trouble != Trouble::None {
            self.schedule(pause, again);
            return;
        }
        let duplicate = engine.duplicates > 0 && self.rng.random_ratio(1, engine.duplicates);
        let Some(known) = engine.streams.get_mut(stream) else {
            return;
        };
        let key = stream.rsplitn(3, '.').nth(2).unwrap_or_default().to_owned();
        let place = known.tokens.len();
        if place < known.length {
            known.tokens.push(token(name, &key, place));
            engine.produced += 1;
        }
        let Some(known) = engine.streams.get_mut(stream) else {
            return;
        };
        let (whole, finish) = (known.is_whole(), known.finish());
        let mut sends = Vec::new();
        for (id, life, named, next) in &mut known.readers {
            let tokens = known.tokens[*next..].to_vec();
            sends.push((id.clone(), *life, named.clone(), *next, tokens));
            *next = known.tokens.len();
        }
        for (id, life, named, offset, tokens) in sends {
            if self.is_cut(&id, name) {
                continue;
            }
            let times = if duplicate { 2 } else { 1 };
            for turn in 0..times {
                let event = EngineEvent::Tokens {
                    offset,
                    tokens: tokens.clone(),
                };
                let event = Event::Engine {
                    stream: named.clone(),
                    event,
                };
                self.event_for_life(&id, life, Duration::from_micros(500 + turn), event);
            }
            if whole {
                let event = Event::Engine {
                    stream: named.clone(),
                    event: EngineEvent::Finished(finish),
                };
                self.event_for_life(&id, life, Duration::from_micros(600), event);
            }
        }
        if !whole {
            self.schedule(pause, again);
        }
    }

    pub(super) fn cancel_stream(&mut self, address: &str, stream: &str) {
        let name = self.endpoint_at(address);
        if let Some(engine) = self.engines.get_mut(&name) {
            engine.streams.remove(stream);
        }
    }

    /// The address of an endpoint; its port stands for its name.
    pub fn address_of(&self, name: &str) -> String {
        let names = self.engines.keys().chain(self.services.keys());
        let place = names
            .into_iter()
            .position(|n| n == name)
            .expect("the endpoint exists");
        format!("127.0.0.1:{}", place + 1)
    }

    fn endpoint_at(&self, address: &str) -> String {
        let port = address
            .rsplit(':')
            .next()
            .and_then(|p| p.parse::<usize>().ok())
            .unwrap_or(1);
        let mut names = self.engines.keys().chain(self.services.keys());
        names.nth(port - 1).cloned().unwrap_or_default()
    }

    pub(super) fn poll(&mut self, id: &BoxId, endpoint: &EndpointId) {
        let address = endpoint.as_str();
        let cut = self.is_cut(id, address);
        let load = if let Some(engine) = self.engines.get(address) {
            let answers = engine.alive && engine.trouble != Trouble::Frozen && !cut;
            answers.then(|| {
                report(
                    endpoint,
                    engine.streams.len() as u32,
                    engine.model_version,
                    engine.leaving_since.is_some(),
                )
            })
        } else {
            let answers = self.services.get(address).is_some_and(|s| s.alive) && !cut;
            answers.then(|| report(endpoint, 0, 0, false))
        };
        let hop = self.hop();
        let event = Event::Load {
            endpoint: endpoint.clone(),
            load,
        };
        self.event_for(id, hop, event);
    }

    pub(super) fn service_call(&mut self, id: &BoxId, life: u64, call: &ServiceCall) {
        let name = call.endpoint.to_string();
        let cut = self.is_cut(id, &name);
        let reply = |outcome| Event::Service {
            key: call.key.clone(),
            attempt: call.attempt,
            outcome,
        };
        let service = self.services.get_mut(&name).expect("the service exists");
        if cut || !service.alive {
            let event = reply(ServiceOutcome::NotSent(NotSent::Unreachable));
            return self.event_for_life(id, life, ANSWER_TIME, event);
        }
        let key = call.key.to_string();
        let runs = service.runs.entry(key.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        let lose = service.lose_answers;
        let total = self
            .services
            .values()
            .filter_map(|s| s.runs.get(&key))
            .sum::<u32>();
        if call.call.as_str() == "redeem" && total > 1 {
            self.violations.push(format!("{key} ran {total} times"));
        }
        if self.services.values().any(|s| s.not_run.contains(&key)) {
            self.violations
                .push(format!("{key} ran after a caller was told that it had not"));
        }
        if lose {
            return self.event_for_life(id, life, ANSWER_TIME, reply(ServiceOutcome::Lost));
        }
        let answer = ServiceAnswer {
            status: 200,
            body: format!("run {runs}"),
        };
        self.event_for_life(
            id,
            life,
            ANSWER_TIME,
            reply(ServiceOutcome::Answered(answer)),
        );
    }

    /// How often a key was run by any endpoint.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.services.values().filter_map(|s| s.runs.get(key)).sum()
    }

    pub(super) fn take_order(&mut self, order: &Order) {
        let name = order.endpoint.to_string();
        let engine = self.engine_mut(&name);
        if !engine.alive {
            return;
        }
        let old = order.epoch.0 < engine.highest_epoch;
        if old && engine.checks_orders {
            return;
        }
        engine.highest_epoch = engine.highest_epoch.max(order.epoch.0);
        engine.model_version = engine.model_version.max(order.version);
        if old {
            self.violations
                .push(format!("{name} took an order of an old epoch"));
        }
    }
}

fn report(endpoint: &EndpointId, running: u32, model_version: u32, leaving: bool) -> Load {
    let report = LoadReport {
        endpoint: endpoint.clone(),
        running,
        queued: 0,
        model_version,
        leaving,
    };
    Load {
        report,
        cache: Vec::new(),
    }
}

impl Stream {
    fn is_whole(&self) -> bool {
        self.tokens.len() >= self.length
    }

    fn finish(&self) -> Finish {
        if self.length >= self.max {
            Finish::Length
        } else {
            Finish::Stop
        }
    }
}
