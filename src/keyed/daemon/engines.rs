//! The way to model engines: streams of tokens by server-sent events, cancels, load and orders.

use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use gotham::hyper::{Method, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use crate::http::{AnswerBody, Call, HttpError};
use crate::keyed::daemon::Shared;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::action::{EngineStart, Order};
use crate::keyed::node::event::{CacheChange, EngineEvent, EngineFailure, Event, Load};
use crate::schema::{EndpointId, Finish, LoadReport, Token};

/// How long an engine may take to take a stream.
const OPEN_LIMIT: Duration = Duration::from_secs(5);
/// How long an engine may take to answer a poll.
const POLL_LIMIT: Duration = Duration::from_millis(400);
/// How long an engine may take to take a cancel or an order.
const ORDER_LIMIT: Duration = Duration::from_secs(2);

/// What an engine is asked to generate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamRequest {
    /// The name of the stream.
    pub stream: String,
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer that are there already.
    pub tokens: Vec<Token>,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The class: 0 is the most urgent.
    pub priority: u8,
    /// An engine that exports the KV cache of this answer.
    pub import_from: Option<String>,
}

/// Tokens as an engine sends them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamTokens {
    /// The stream they belong to.
    pub stream: String,
    /// The offset of the first of them in the answer.
    pub offset: usize,
    /// The tokens.
    pub tokens: Vec<Token>,
}

/// The end mark of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamEnd {
    /// The stream.
    pub stream: String,
    /// How the answer ended.
    pub finish: Finish,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// The chained hash of the prompt's blocks up to this one.
    pub block: u64,
    /// Whether it was stored, or else evicted.
    pub stored: bool,
}

/// An endpoint's load as it reports it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadAnswer {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// The version of the model it has loaded.
    pub model_version: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Changes of the prefix cache since the last report.
    pub cache: Vec<CacheEvent>,
}

/// An order to load a model.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderRequest {
    /// The fence.
    pub epoch: u64,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u32,
}

/// Runs a stream and tells the control thread all that comes of it.
pub async fn run(start: EngineStart, shared: Shared) {
    let end = match open(&start, &shared).await {
        Err(failure) => EngineEvent::Failed(failure),
        Ok(body) => {
            tell(&start, EngineEvent::Opened, &shared).await;
            follow(&start, body, &shared).await
        }
    };
    tell(&start, end, &shared).await;
}

async fn tell(start: &EngineStart, event: EngineEvent, shared: &Shared) {
    let event = Event::Engine {
        stream: start.stream.clone(),
        event,
    };
    shared.tell(Input::Event(event)).await;
}

async fn open(start: &EngineStart, shared: &Shared) -> Result<AnswerBody, EngineFailure> {
    let path = match &start.attach {
        Some(stream) => format!("/v1/streams/{stream}?from={}", start.tokens.len()),
        None => "/v1/streams".to_owned(),
    };
    let call = match &start.attach {
        Some(_) => Call::new(Method::GET, &start.address, &path),
        None => Call::new(Method::POST, &start.address, &path)
            .header("content-type", "application/json")
            .body(serde_json::to_string(&request_of(start)).unwrap_or_default()),
    };
    let response = shared
        .client
        .open(call, OPEN_LIMIT)
        .await
        .map_err(|e| match e {
            HttpError::Connect(_) | HttpError::BadRequest(_) => EngineFailure::Unreachable,
            HttpError::Broken(_) | HttpError::TimedOut => EngineFailure::Broken,
        })?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::NOT_FOUND => Err(EngineFailure::Gone),
        StatusCode::CONFLICT => Err(EngineFailure::Leaving),
        StatusCode::SERVICE_UNAVAILABLE => Err(EngineFailure::Busy),
        _ => Err(EngineFailure::Broken),
    }
}

fn request_of(start: &EngineStart) -> StreamRequest {
    StreamRequest {
        stream: start.stream.to_string(),
        model: start.model.to_string(),
        adapter: start.adapter.as_ref().map(ToString::to_string),
        prompt: start.prompt.clone(),
        tokens: start.tokens.clone(),
        max_tokens: start.max_tokens,
        priority: start.priority as u8,
        import_from: start.import_from.clone(),
    }
}

/// Reads a stream to its end and says how it ended.
async fn follow(start: &EngineStart, body: AnswerBody, shared: &Shared) -> EngineEvent {
    let name = start
        .attach
        .clone()
        .unwrap_or_else(|| start.stream.to_string());
    let mut events = body.into_data_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        let read = match event.event.as_str() {
            "tokens" => read_tokens(&event.data, &name),
            "end" => read_end(&event.data, &name),
            _ => continue,
        };
        match read {
            Some(tokens @ EngineEvent::Tokens { .. }) => tell(start, tokens, shared).await,
            Some(end) => return end,
            // It belongs to another stream, or can't be read: nothing more of it can be trusted.
            None => return EngineEvent::Failed(EngineFailure::Garbled),
        }
    }
    EngineEvent::Failed(EngineFailure::Broken)
}

fn read_tokens(data: &str, name: &str) -> Option<EngineEvent> {
    let read: StreamTokens = serde_json::from_str(data).ok()?;
    (read.stream == name).then_some(EngineEvent::Tokens {
        offset: read.offset,
        tokens: read.tokens,
    })
}

fn read_end(data: &str, name: &str) -> Option<EngineEvent> {
    let read: StreamEnd = serde_json::from_str(data).ok()?;
    (read.stream == name).then_some(EngineEvent::Finished(read.finish))
}

/// Cancels a stream; an engine that can't be reached has ended it or will.
pub async fn cancel(address: String, stream: String, shared: Shared) {
    let path = format!("/v1/streams/{stream}");
    let call = Call::new(Method::DELETE, &address, &path);
    let _ = shared.client.send(call, ORDER_LIMIT).await;
}

/// Asks an endpoint for its load.
pub async fn poll(endpoint: EndpointId, address: String, shared: Shared) {
    let answer = shared
        .client
        .send(Call::new(Method::GET, &address, "/v1/load"), POLL_LIMIT)
        .await;
    let read = answer
        .ok()
        .and_then(|a| serde_json::from_slice::<LoadAnswer>(&a.body).ok());
    let load = read.map(|read| Load {
        report: LoadReport {
            endpoint: endpoint.clone(),
            running: read.running,
            queued: read.queued,
            model_version: read.model_version,
            leaving: read.leaving,
        },
        cache: read
            .cache
            .iter()
            .map(|c| CacheChange {
                block: c.block,
                stored: c.stored,
            })
            .collect(),
    });
    shared
        .tell(Input::Event(Event::Load { endpoint, load }))
        .await;
}

/// Gives an order, unless the lease it rests on has run out on the way here.
pub async fn order(order: Order, shared: Shared) {
    if shared.clock.now() >= order.not_after {
        return;
    }
    let body = OrderRequest {
        epoch: order.epoch.0,
        model: order.model.to_string(),
        version: order.version,
    };
    let call = Call::new(Method::POST, &order.address, "/v1/orders")
        .header("content-type", "application/json")
        .body(serde_json::to_string(&body).unwrap_or_default());
    // Whether it took effect shows in the next load report; if not, it is given again.
    let _ = shared.client.send(call, ORDER_LIMIT).await;
}
