//! The callers' face: OpenAI-style completions, calls of plain services, and results of
//! deferrable work.

pub mod parse;
pub mod problem;
pub mod stream;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use gotham::handler::HandlerError;
use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use gotham::state::State;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use crate::http::{self, BodyError};
use crate::keyed::daemon::input::Input;
use crate::keyed::daemon::{Context, Shared};
use crate::keyed::node::action::Reply;
use crate::keyed::node::event::CallerEvent;
use crate::schema::{DeferredResult, DeferredStatus, RequestKey};
use problem::Problem;
use stream::{Caller, CallerGuard};

/// How many replies may wait for a caller that reads slowly.
const REPLY_CAPACITY: usize = 16_384;

/// The number of the next caller's request.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct CallPath {
    service: String,
    call: String,
}

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct RequestPath {
    key: String,
}

/// The callers' routes.
#[must_use]
pub fn router(shared: Shared) -> Router {
    let context = StateMiddleware::new(Context::new(shared));
    let (chain, pipelines) = single_pipeline(single_middleware(context));
    build_router(chain, pipelines, |route| {
        route
            .post("/v1/completions")
            .to_async_borrowing(completions);
        route
            .post("/v1/services/:service/:call")
            .with_path_extractor::<CallPath>()
            .to_async_borrowing(call);
        route
            .get("/v1/requests/:key")
            .with_path_extractor::<RequestPath>()
            .to_async_borrowing(lookup);
    })
}

/// Reads a request's body, or says what is wrong with it.
async fn body_of(state: &mut State, shared: &Shared) -> Result<bytes::Bytes, Problem> {
    let most = shared.settings.max_body_bytes;
    let body = Body::take_from(state);
    http::read_body(body, most).await.map_err(|e| match e {
        BodyError::TooLong => Problem::mistake(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            format!("the body may have {most} bytes; send a shorter one"),
        ),
        BodyError::TooSlow => Problem::mistake(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            "the body did not come in time; send it whole",
        ),
        BodyError::Broken => Problem::mistake(
            StatusCode::BAD_REQUEST,
            "body_broken",
            "the body broke off; send it whole",
        ),
    })
}

fn no_bundle() -> Problem {
    let mut problem = Problem::mistake(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_bundle",
        "no bundle is in force at this box yet; come back soon or use another box",
    );
    problem.retry_after_ms = Some(1_000);
    problem
}

async fn completions(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    Ok(serve_completion(state, shared)
        .await
        .unwrap_or_else(|problem| problem.respond()))
}

async fn serve_completion(state: &mut State, shared: Shared) -> Result<Response<Body>, Problem> {
    let body = body_of(state, &shared).await?;
    let headers = HeaderMap::borrow_from(state);
    let bundle = shared.bundle().ok_or_else(no_bundle)?;
    let wanted = parse::completion(headers, &body, &bundle, &shared.settings.domain)?;
    let key = wanted.request.key.clone();
    if wanted.deferred {
        let caller = ask(&shared, key, CallerEvent::Defer(wanted.request)).await;
        return accepted(caller).await;
    }
    let event = CallerEvent::Submit {
        request: wanted.request,
        cursor: wanted.cursor,
    };
    let caller = ask(&shared, key, event).await;
    if wanted.stream {
        stream::events(caller).await
    } else {
        stream::whole(caller).await
    }
}

/// Hands a caller's request to the control thread.
async fn ask(shared: &Shared, key: RequestKey, event: CallerEvent) -> Caller {
    let connection = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
    let (replies, received) = mpsc::channel(REPLY_CAPACITY);
    let guard = CallerGuard::new(connection, shared.clone());
    shared
        .tell(Input::Caller {
            connection,
            event,
            replies,
        })
        .await;
    Caller {
        key,
        received,
        guard,
        asked: Instant::now(),
    }
}

async fn accepted(mut caller: Caller) -> Result<Response<Body>, Problem> {
    let key = caller.key.clone();
    match caller.next().await? {
        Reply::Accepted(kept) => {
            let place = format!("/v1/requests/{key}");
            let text = json!({ "key": key, "kept": kept, "location": place });
            let mut response = http::respond_json(StatusCode::ACCEPTED, &text);
            if let Ok(value) = place.parse() {
                response.headers_mut().insert("location", value);
            }
            Ok(response)
        }
        _ => Err(caller.cut()),
    }
}

async fn call(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    Ok(serve_call(state, shared)
        .await
        .unwrap_or_else(|problem| problem.respond()))
}

async fn serve_call(state: &mut State, shared: Shared) -> Result<Response<Body>, Problem> {
    let path = CallPath::take_from(state);
    let body = body_of(state, &shared).await?;
    let headers = HeaderMap::borrow_from(state);
    let bundle = shared.bundle().ok_or_else(no_bundle)?;
    let domain = &shared.settings.domain;
    let request = parse::call(headers, &path.service, &path.call, &body, &bundle, domain)?;
    let key = request.key.clone();
    let event = CallerEvent::Submit {
        request,
        cursor: None,
    };
    let mut caller = ask(&shared, key.clone(), event).await;
    match caller.next().await? {
        Reply::Answered(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = http::respond(status, "application/json", http::full(answer.body));
            stream::name_key(&mut response, &key);
            Ok(response)
        }
        _ => Err(caller.cut()),
    }
}

async fn lookup(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    let path = RequestPath::take_from(state);
    Ok(serve_lookup(&path.key, shared)
        .await
        .unwrap_or_else(|problem| problem.respond()))
}

async fn serve_lookup(key: &str, shared: Shared) -> Result<Response<Body>, Problem> {
    let missing = || {
        let detail = "no deferrable request has this key; check the Location that was given";
        Problem::mistake(StatusCode::NOT_FOUND, "unknown_request", detail)
    };
    let key: RequestKey = key.parse().map_err(|_| missing())?;
    let mut caller = ask(&shared, key.clone(), CallerEvent::Lookup(key.clone())).await;
    match caller.next().await? {
        Reply::Status(DeferredStatus::Missing) => Err(missing()),
        Reply::Status(DeferredStatus::Accepted) => {
            let mut response = http::respond_json(
                StatusCode::ACCEPTED,
                &json!({ "key": key, "status": "accepted" }),
            );
            response.headers_mut().insert("retry-after", 1.into());
            Ok(response)
        }
        Reply::Status(DeferredStatus::Done(DeferredResult::Text(text))) => {
            let done = json!({
                "key": key,
                "status": "done",
                "text": text.text,
                "tokens": text.tokens,
                "digest": format!("{:016x}", text.digest.0),
            });
            Ok(http::respond_json(StatusCode::OK, &done))
        }
        Reply::Status(DeferredStatus::Done(DeferredResult::Failed(refusal))) => {
            Err(Problem::refusal(&refusal, &key))
        }
        _ => Err(caller.cut()),
    }
}
