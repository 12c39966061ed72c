//! HTTP handler for callers' requests: reads each request completely and starts an exchange for it.
//!
//! Invalid requests are rejected here with the reason in the body (400, 408, 413). A request whose
//! body does not fit into the memory limit, or is still on its way when the time of a stop is over, is
//! refused as not run. All other decisions are made by [`crate::gateway::dispatch`].

use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use gotham::anyhow;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::hyper::http::request;
use gotham::hyper::http::uri::PathAndQuery;
use gotham::hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use gotham::state::{FromState, State};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::dispatch::event::{Arrival, RequestNumber};
use crate::gateway::dispatch::record::EndedBy;
use crate::gateway::dispatch::refusal::{Refusal, RefusalReason};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::attempt::CallerRequest;
use crate::gateway::shell::exchange::{CallerChannels, Exchange};
use crate::gateway::shell::input::Input;
use crate::gateway::shell::reply_watch::ReplyWatch;
use crate::http::{self, BodyError};
use crate::schema::Fingerprint;

/// Maximum size of a request body before the first configuration, in bytes.
const MAX_UNCONFIGURED_BODY: usize = 1 << 20;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Handler of the callers' listener.
#[derive(Clone)]
pub struct Callers {
    shared: Arc<AssertUnwindSafe<GatewayShared>>,
}

impl Callers {
    /// Creates the handler; its clones share the gateway's resources.
    #[must_use]
    pub fn new(shared: GatewayShared) -> Self {
        Self {
            shared: Arc::new(AssertUnwindSafe(shared)),
        }
    }
}

impl NewHandler for Callers {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Callers {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let response = serve(&mut state, &self.shared).await;
            Ok((state, response))
        })
    }
}

async fn serve(state: &mut State, shared: &GatewayShared) -> Response<Body> {
    let _open = shared.open_request();
    let head = head_of(state);
    let mut arrival = match shared.dialect.read_request(&head) {
        Ok(arrival) => arrival,
        Err(bad) => return reject(StatusCode::BAD_REQUEST, &bad.message),
    };
    let max_bytes = shared
        .limits()
        .map_or(MAX_UNCONFIGURED_BODY, |limits| limits.body_bytes);
    let Some(_reservation) = shared.reserve_body_memory(&head.headers, max_bytes) else {
        return shared.refuse_for_memory(&arrival.id);
    };
    let watch = ReplyWatch::new(shared.clone(), &arrival.id);
    let reading = http::read_body(Body::take_from(state), max_bytes);
    let body = match read_until_stop(reading, max_bytes, &arrival.id, &watch, shared).await {
        Ok(body) => body,
        Err(rejection) => return rejection,
    };
    arrival.content = fingerprint(&arrival, &head, &body);
    let id = arrival.id.clone();
    let replied = start_exchange(arrival, head, body, watch.clone(), shared).await;
    tokio::select! {
        biased;
        reply = replied => reply.unwrap_or_else(|_| answer_without_reply(&watch)),
        () = shared.until_exiting() => answer_at_exit(&id, &watch, shared),
    }
}

/// Answers a request whose task has ended without an answer. That is a fault of this program, and the
/// request may have run.
fn answer_without_reply(watch: &ReplyWatch) -> Response<Body> {
    watch.record_unanswered(EndedBy::Exchange);
    reject(StatusCode::BAD_GATEWAY, "the exchange ended; try again")
}

/// Answers a request that the dispatcher has not answered when the process exits. That is a fault of
/// this program, and the request may have run.
fn answer_at_exit(id: &str, watch: &ReplyWatch, shared: &GatewayShared) -> Response<Body> {
    watch.record_unanswered(EndedBy::Exit);
    shared.refusal(id, Refusal::new(RefusalReason::Stopping))
}

/// Reads a body, as long as a stop leaves time for it.
async fn read_until_stop(
    reading: impl Future<Output = Result<Bytes, BodyError>>,
    max_bytes: usize,
    id: &str,
    watch: &ReplyWatch,
    shared: &GatewayShared,
) -> Result<Bytes, Response<Body>> {
    tokio::select! {
        biased;
        read = reading => read.map_err(|e| reject_body(&e, max_bytes, watch)),
        () = shared.until_reading_ends() => Err(shared.refuse_unread(id, watch.started())),
    }
}

/// Hands a request to the dispatcher and starts the task that carries out its decisions. Returns the
/// channel of the answer.
async fn start_exchange(
    arrival: Arrival,
    head: request::Parts,
    body: Bytes,
    watch: ReplyWatch,
    shared: &GatewayShared,
) -> oneshot::Receiver<Response<Body>> {
    let number = RequestNumber(NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
    let (commands, received) = mpsc::unbounded_channel();
    let (reply, replied) = oneshot::channel();
    let request = CallerRequest {
        id: arrival.id.clone(),
        head,
        body,
    };
    watch.on_admitted();
    let channels = CallerChannels {
        commands: received,
        reply,
        watch,
    };
    let after_event = arrival.after_event;
    let exchange = Exchange::new(shared.clone(), number, request, channels, after_event);
    let input = Input::Arrived {
        request: number,
        arrival,
        commands,
    };
    shared.send(input).await;
    tokio::spawn(exchange.run());
    replied
}

fn head_of(state: &mut State) -> request::Parts {
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = Method::take_from(state);
    head.uri = Uri::take_from(state);
    head.headers = HeaderMap::take_from(state);
    head
}

/// Fingerprint of a request's content, by which a retry is recognised as the same request.
fn fingerprint(arrival: &Arrival, head: &request::Parts, body: &[u8]) -> Fingerprint {
    let target = head.uri.path_and_query();
    let target = target.map_or(arrival.path.as_str(), PathAndQuery::as_str);
    Fingerprint::of_content(head.method.as_str(), &arrival.host, target, body)
}

fn reject_body(error: &BodyError, max_bytes: usize, watch: &ReplyWatch) -> Response<Body> {
    match error {
        BodyError::TooLong => {
            watch.record_unanswered(EndedBy::BodyLimit);
            let text = format!("the body may have {max_bytes} bytes; send a shorter one");
            reject(StatusCode::PAYLOAD_TOO_LARGE, &text)
        }
        BodyError::TooSlow => {
            watch.record_unanswered(EndedBy::BodyTimeout);
            let text = "the body did not come in time; send it whole";
            reject(StatusCode::REQUEST_TIMEOUT, text)
        }
        BodyError::Broken => reject(StatusCode::BAD_REQUEST, "the body broke off; send it whole"),
    }
}

fn reject(status: StatusCode, text: &str) -> Response<Body> {
    http::respond(status, "text/plain", http::full(format!("{text}\n")))
}
