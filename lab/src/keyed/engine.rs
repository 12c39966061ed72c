//! A stand-in for a model engine: continuous batches with a token time, priorities, a prefix cache,
//! resuming from tokens and of streams, cancels, cache events that come late and with gaps, load
//! reports that lag, fenced orders, and faults on command.
//!
//! Its tokens follow from the prompt, the place in the answer and its own name, so that two
//! generations that were joined are seen. It reads a prompt again where it is asked to import its
//! KV cache.

pub mod batch;
mod reader;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::stream;
use gotham::helpers::http::Body;
use gotham::hyper::{Method, Response, StatusCode};
use magpiemoor::http::{full, respond, respond_json, streaming};
use magpiemoor::keyed::daemon::engines::{CacheEvent, LoadAnswer, OrderRequest, StreamRequest};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::keyed::serve::{Ask, serve};
use batch::Batch;
use reader::Reader;

/// How often the load report is made anew.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// Time to load weights.
const LOADING: Duration = Duration::from_millis(100);
/// Of how many cache events one is lost.
const CACHE_GAP: u64 = 10;

/// Something that an engine does wrong, or at least otherwise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It does nothing and answers nothing.
    Frozen,
    /// It answers polls but produces no tokens.
    Stalled,
    /// It is leaving.
    Leaving,
    /// Every event is sent twice.
    Duplicate,
    /// Events of one stream come on another.
    Crossed,
}

/// How an engine behaves.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Behaviour {
    /// Its name, from which its tokens follow.
    pub name: String,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that may wait; more are refused.
    pub queue: usize,
    /// Time between two tokens of a stream.
    pub token_ms: f64,
    /// Prompt bytes that it reads in a second.
    pub prefill_rate: f64,
    /// What it does wrong.
    pub faults: BTreeSet<Fault>,
    /// Streams break off after this many tokens, before the end mark.
    pub break_after: Option<usize>,
}

impl Behaviour {
    /// Whether it does something wrong.
    #[must_use]
    pub fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            slots: 8,
            queue: 8,
            token_ms: 10.0,
            prefill_rate: 100_000.0,
            faults: BTreeSet::new(),
            break_after: None,
        }
    }
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour,
    batch: Batch,
    highest_epoch: u64,
    model_version: u32,
    report: LoadAnswer,
    cache_events: Vec<CacheEvent>,
    cache_count: u64,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    inner: Arc<Mutex<Inner>>,
    progress: Arc<watch::Sender<u64>>,
}

impl Engine {
    /// Makes an engine.
    #[must_use]
    pub fn new(behaviour: Behaviour) -> Self {
        let inner = Inner {
            batch: Batch::default(),
            behaviour,
            highest_epoch: 0,
            model_version: 1,
            report: LoadAnswer {
                model_version: 1,
                ..LoadAnswer::default()
            },
            cache_events: Vec::new(),
            cache_count: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            progress: Arc::new(watch::Sender::new(0)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it behaves.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.lock().behaviour);
        self.progress.send_modify(|n| *n += 1);
    }

    /// Tokens that it has produced.
    #[must_use]
    pub fn tokens_produced(&self) -> u64 {
        self.lock().batch.produced()
    }

    /// Streams that it runs or keeps.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.lock().batch.len()
    }

    /// Serves for as long as the future is polled.
    pub async fn serve(self, listener: TcpListener) {
        let served = self.clone();
        tokio::join!(
            serve(listener, move |ask| {
                let engine = served.clone();
                async move { engine.answer(ask).await }
            }),
            self.clone().generate(),
            self.report_load(),
        );
    }

    /// Produces tokens, a batch at a time.
    async fn generate(self) {
        loop {
            let wait = {
                let mut inner = self.lock();
                let behaviour = inner.behaviour.clone();
                if behaviour.has(Fault::Frozen) || behaviour.has(Fault::Stalled) {
                    Duration::from_millis(5)
                } else {
                    inner.batch.step(&behaviour)
                }
            };
            self.progress.send_modify(|n| *n += 1);
            tokio::time::sleep(wait).await;
        }
    }

    /// Makes the load report anew now and then; between, it lags.
    async fn report_load(self) {
        loop {
            tokio::time::sleep(REPORT_EVERY).await;
            let mut inner = self.lock();
            let (running, queued) = inner.batch.load();
            let cache = std::mem::take(&mut inner.cache_events);
            inner.report = LoadAnswer {
                running,
                queued,
                model_version: inner.model_version,
                leaving: inner.behaviour.has(Fault::Leaving),
                cache: inner.report.cache.drain(..).chain(cache).collect(),
            };
        }
    }

    async fn answer(&self, ask: Ask) -> Response<Body> {
        let segments = ask.segments();
        while self.lock().behaviour.has(Fault::Frozen) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        match (&ask.method, segments.as_slice()) {
            (&Method::POST, ["v1", "streams"]) => self.start(&ask),
            (&Method::GET, ["v1", "streams", name]) => self.attach(name, &ask),
            (&Method::DELETE, ["v1", "streams", name]) => {
                self.lock().batch.remove(name);
                plain(StatusCode::OK)
            }
            (&Method::GET, ["v1", "load"]) => {
                let mut inner = self.lock();
                let report = inner.report.clone();
                inner.report.cache.clear();
                respond_json(StatusCode::OK, &report)
            }
            (&Method::POST, ["v1", "orders"]) => self.order(&ask).await,
            (&Method::GET, ["control", "tokens"]) => {
                respond_json(StatusCode::OK, &self.tokens_produced())
            }
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    fn start(&self, ask: &Ask) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<StreamRequest>(&ask.body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let name = request.stream.clone();
        let from = request.tokens.len();
        {
            let mut inner = self.lock();
            if inner.behaviour.has(Fault::Leaving) {
                return plain(StatusCode::CONFLICT);
            }
            let behaviour = inner.behaviour.clone();
            let Some(stored) = inner.batch.add(request, &behaviour) else {
                return plain(StatusCode::SERVICE_UNAVAILABLE);
            };
            for block in stored {
                inner.cache_count += 1;
                if !inner.cache_count.is_multiple_of(CACHE_GAP) {
                    inner.cache_events.push(CacheEvent {
                        block,
                        stored: true,
                    });
                }
            }
        }
        self.read_from(name, from)
    }

    fn attach(&self, name: &str, ask: &Ask) -> Response<Body> {
        let from = ask.number("from").unwrap_or(0) as usize;
        if self.lock().batch.progress(name, from).is_none() {
            return plain(StatusCode::NOT_FOUND);
        }
        self.read_from(name.to_owned(), from)
    }

    fn read_from(&self, name: String, from: usize) -> Response<Body> {
        self.lock().batch.reader_came(&name);
        let reader = Reader::new(self.clone(), name, from);
        let events = stream::unfold(reader, |mut reader| async move {
            let chunk = reader.next().await?;
            Some((chunk, reader))
        });
        respond(StatusCode::OK, "text/event-stream", streaming(events))
    }

    async fn order(&self, ask: &Ask) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<OrderRequest>(&ask.body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        {
            let mut inner = self.lock();
            if order.epoch < inner.highest_epoch {
                return plain(StatusCode::CONFLICT);
            }
            inner.highest_epoch = order.epoch;
        }
        tokio::time::sleep(LOADING).await;
        let mut inner = self.lock();
        inner.model_version = inner.model_version.max(order.version);
        plain(StatusCode::OK)
    }
}

fn plain(status: StatusCode) -> Response<Body> {
    respond(status, "text/plain", full(""))
}
