//! Takes callers' requests: reads each whole and gives it to an exchange of its own.
//!
//! What can't be read is refused here with the reason in the body (400, 408, 413), and what there
//! is no room for as not run; everything else is decided by [`crate::gateway::dispatch`].

use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use gotham::anyhow;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::hyper::http::request;
use gotham::hyper::http::uri::PathAndQuery;
use gotham::hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use gotham::state::{FromState, State};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::dispatch::event::{Arrival, RequestNumber};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::attempt::CallerRequest;
use crate::gateway::shell::exchange::Exchange;
use crate::gateway::shell::input::Input;
use crate::http::{self, BodyError};
use crate::schema::Fingerprint;

/// The greatest body that is read before there is a configuration, in bytes.
const UNCONFIGURED_BODY: usize = 1 << 20;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Serves callers.
#[derive(Clone)]
pub struct Callers {
    shared: Arc<AssertUnwindSafe<GatewayShared>>,
}

impl Callers {
    /// A handler for the callers' listener.
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
    let head = head_of(state);
    let mut arrival = match shared.dialect.read_request(&head) {
        Ok(arrival) => arrival,
        Err(bad) => return mistake(StatusCode::BAD_REQUEST, &bad.message),
    };
    let most = shared
        .limits()
        .map_or(UNCONFIGURED_BODY, |limits| limits.body_bytes);
    let Some(_room) = shared.reserve_body_memory(&head.headers, most) else {
        return shared.refuse_for_memory(&arrival.id);
    };
    let body = match http::read_body(Body::take_from(state), most).await {
        Ok(body) => body,
        Err(e) => return body_mistake(&e, most),
    };
    arrival.content = content_of(&arrival, &head, &body);
    let number = RequestNumber(NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
    let (commands, received) = mpsc::unbounded_channel();
    let (reply, replied) = oneshot::channel();
    let request = CallerRequest {
        id: arrival.id.clone(),
        head,
        body,
    };
    let exchange = Exchange::new(
        shared.clone(),
        number,
        request,
        received,
        reply,
        arrival.after_event,
    );
    let input = Input::Arrived {
        request: number,
        arrival,
        commands,
    };
    shared.send(input).await;
    tokio::spawn(exchange.run());
    replied
        .await
        .unwrap_or_else(|_| mistake(StatusCode::BAD_GATEWAY, "the exchange ended; try again"))
}

fn head_of(state: &mut State) -> request::Parts {
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = Method::take_from(state);
    head.uri = Uri::take_from(state);
    head.headers = HeaderMap::take_from(state);
    head
}

/// What a request asks for, so that it is known when it is sent again.
fn content_of(arrival: &Arrival, head: &request::Parts, body: &[u8]) -> Fingerprint {
    let target = head.uri.path_and_query();
    let target = target.map_or(arrival.path.as_str(), PathAndQuery::as_str);
    Fingerprint::of_content(head.method.as_str(), &arrival.host, target, body)
}

fn body_mistake(error: &BodyError, most: usize) -> Response<Body> {
    match error {
        BodyError::TooLong => {
            let text = format!("the body may have {most} bytes; send a shorter one");
            mistake(StatusCode::PAYLOAD_TOO_LARGE, &text)
        }
        BodyError::TooSlow => mistake(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time; send it whole",
        ),
        BodyError::Broken => mistake(StatusCode::BAD_REQUEST, "the body broke off; send it whole"),
    }
}

fn mistake(status: StatusCode, text: &str) -> Response<Body> {
    http::respond(status, "text/plain", http::full(format!("{text}\n")))
}
