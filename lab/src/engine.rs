//! A stand-in for a model engine: continuous batches with a token time, priorities, a prefix cache,
//! resuming from tokens and of streams, cancels, export and import of KV caches, cache events that
//! come late and with gaps, load reports that lag, fenced orders, and faults on command.
//!
//! Its tokens follow from the prompt, the place in the answer and, unless it is told to be
//! deterministic, from its own name too, so that two generations that were joined are seen.

pub mod batch;
mod reader;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::stream;
use gotham::helpers::http::Body;
use gotham::hyper::{Method, Response, StatusCode};
use magpiemoor::daemon::engines::{CacheEvent, LoadAnswer, OrderRequest, StreamRequest};
use magpiemoor::http::{Call, Client, full, respond, respond_json, streaming};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::serve::{Ask, serve};
use batch::Batch;
use reader::Reader;

/// How long an engine takes to fetch a KV cache, at most.
const IMPORT_LIMIT: Duration = Duration::from_millis(200);
/// How often the load report is made anew.
const REPORT_EVERY: Duration = Duration::from_millis(200);
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
    /// Whether its tokens follow from the prompt alone.
    pub deterministic: bool,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that may wait; more are refused.
    pub queue: usize,
    /// Time between two tokens of a stream.
    pub token_ms: f64,
    /// Share by which a token's time varies.
    pub jitter: f64,
    /// Prompt bytes that it reads in a second.
    pub prefill_rate: f64,
    /// Blocks that its prefix cache holds.
    pub cache_blocks: usize,
    /// Whether it refuses orders with an old epoch.
    pub checks_orders: bool,
    /// Time to load weights.
    pub load_ms: u64,
    /// How many times slower it is than it should be.
    pub slow_down: f64,
    /// What it does wrong.
    pub faults: BTreeSet<Fault>,
    /// Every event is sent this much later.
    pub late_ms: u64,
    /// Streams break off after this many tokens, before the end mark.
    pub break_after: Option<usize>,
    /// The seed of its variations.
    pub seed: u64,
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
            deterministic: false,
            slots: 8,
            queue: 8,
            token_ms: 10.0,
            jitter: 0.2,
            prefill_rate: 100_000.0,
            cache_blocks: 10_000,
            checks_orders: true,
            load_ms: 100,
            slow_down: 1.0,
            faults: BTreeSet::new(),
            late_ms: 0,
            break_after: None,
            seed: 1,
        }
    }
}

/// What an engine has spent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Spent {
    /// Tokens that it produced.
    pub tokens: u64,
    /// Seconds that it read prompts.
    pub prefill_seconds: f64,
    /// Seconds of that for answers that had been begun before.
    pub resume_seconds: f64,
    /// Prompt bytes that it did not have to read, thanks to its cache.
    pub cached_bytes: u64,
    /// Prompt bytes that it read.
    pub read_bytes: u64,
    /// KV caches that it fetched.
    pub imports: u64,
    /// Streams that it began.
    pub streams: u64,
    /// Orders that it refused.
    pub orders_refused: u64,
    /// Orders that it took.
    pub orders_taken: u64,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour,
    batch: Batch,
    spent: Spent,
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
    client: Client,
}

impl Engine {
    /// Makes an engine.
    #[must_use]
    pub fn new(behaviour: Behaviour) -> Self {
        let inner = Inner {
            batch: Batch::new(&behaviour),
            behaviour,
            spent: Spent::default(),
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
            client: Client::default(),
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

    /// What it has spent.
    #[must_use]
    pub fn spent(&self) -> Spent {
        self.lock().spent
    }

    /// Streams that it runs or keeps.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.lock().batch.len()
    }

    /// The names of the streams that are producing tokens or about to.
    #[must_use]
    pub fn running(&self) -> Vec<String> {
        self.lock().batch.running()
    }

    /// The version of the model that it has loaded.
    #[must_use]
    pub fn model_version(&self) -> u32 {
        self.lock().model_version
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
                    let Inner { batch, spent, .. } = &mut *inner;
                    batch.step(&behaviour, spent)
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
        if segments.first() == Some(&"control") {
            return self.control(&ask);
        }
        while self.lock().behaviour.has(Fault::Frozen) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        match (&ask.method, segments.as_slice()) {
            (&Method::POST, ["v1", "streams"]) => self.start(&ask).await,
            (&Method::GET, ["v1", "streams", name]) => self.attach(name, &ask),
            (&Method::DELETE, ["v1", "streams", name]) => {
                self.lock().batch.remove(name);
                plain(StatusCode::OK)
            }
            (&Method::GET, ["v1", "cache", name]) => self.export(name),
            (&Method::GET, ["v1", "load"]) => {
                let mut inner = self.lock();
                let report = inner.report.clone();
                inner.report.cache.clear();
                respond_json(StatusCode::OK, &report)
            }
            (&Method::POST, ["v1", "orders"]) => self.order(&ask).await,
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    fn control(&self, ask: &Ask) -> Response<Body> {
        match ask.segments().as_slice() {
            ["control", "die"] => std::process::exit(137),
            ["control", "behaviour"] => {
                match serde_json::from_slice::<serde_json::Value>(&ask.body) {
                    Ok(change) => {
                        let mut inner = self.lock();
                        if let Some(changed) = merged(&inner.behaviour, &change) {
                            inner.behaviour = changed;
                        }
                        plain(StatusCode::OK)
                    }
                    Err(_) => plain(StatusCode::BAD_REQUEST),
                }
            }
            ["control", "spent"] => respond_json(StatusCode::OK, &self.spent()),
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    async fn start(&self, ask: &Ask) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<StreamRequest>(&ask.body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        if self.lock().behaviour.has(Fault::Leaving) {
            return plain(StatusCode::CONFLICT);
        }
        let imported = match &request.import_from {
            Some(address) => self.import(address, &request).await,
            None => false,
        };
        let name = request.stream.clone();
        let from = request.tokens.len();
        {
            let mut inner = self.lock();
            let behaviour = inner.behaviour.clone();
            let Inner { batch, spent, .. } = &mut *inner;
            let Some(stored) = batch.add(request, imported, &behaviour, spent) else {
                return plain(StatusCode::SERVICE_UNAVAILABLE);
            };
            spent.streams += 1;
            spent.imports += u64::from(imported);
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

    fn export(&self, name: &str) -> Response<Body> {
        let inner = self.lock();
        match inner.batch.progress(name, 0) {
            Some(_) if !inner.behaviour.has(Fault::Stalled) => plain(StatusCode::OK),
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    /// Fetches the KV cache of an answer from another engine.
    async fn import(&self, address: &str, request: &StreamRequest) -> bool {
        // The exporter knows the answer by the stream that it ran for the attempt before.
        let Some((front, attempt)) = request.stream.rsplit_once('.') else {
            return false;
        };
        let before = attempt.parse::<u32>().unwrap_or(1).saturating_sub(1);
        let path = format!("/v1/cache/{front}.{before}");
        let answer = self
            .client
            .send(Call::new(Method::GET, address, &path), IMPORT_LIMIT)
            .await;
        answer.is_ok_and(|a| a.status == StatusCode::OK)
    }

    async fn order(&self, ask: &Ask) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<OrderRequest>(&ask.body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let load = {
            let mut inner = self.lock();
            if inner.behaviour.checks_orders && order.epoch < inner.highest_epoch {
                inner.spent.orders_refused += 1;
                return plain(StatusCode::CONFLICT);
            }
            inner.highest_epoch = inner.highest_epoch.max(order.epoch);
            inner.spent.orders_taken += 1;
            inner.behaviour.load_ms
        };
        tokio::time::sleep(Duration::from_millis(load)).await;
        let mut inner = self.lock();
        inner.model_version = inner.model_version.max(order.version);
        plain(StatusCode::OK)
    }
}

/// Lays some fields over a behaviour.
fn merged(behaviour: &Behaviour, change: &serde_json::Value) -> Option<Behaviour> {
    let mut whole = serde_json::to_value(behaviour).ok()?;
    let fields = whole.as_object_mut()?;
    for (name, value) in change.as_object()? {
        fields.insert(name.clone(), value.clone());
    }
    serde_json::from_value(whole).ok()
}

fn plain(status: StatusCode) -> Response<Body> {
    respond(status, "text/plain", full(""))
}
