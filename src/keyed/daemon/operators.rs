//! The operators' face: health, readiness, metrics, status and the time line.

use std::time::Duration;

use gotham::handler::HandlerError;
use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::{Router, build_router};
use gotham::state::State;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::http;
use crate::keyed::daemon::input::{Input, Status};
use crate::keyed::daemon::{Context, Shared};

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct TimelineQuery {
    subject: Option<String>,
}

/// How long the control thread may take to say how the box stands.
const STATUS_LIMIT: Duration = Duration::from_secs(2);

/// The operators' routes.
#[must_use]
pub fn router(shared: Shared) -> Router {
    let context = StateMiddleware::new(Context::new(shared));
    let (chain, pipelines) = single_pipeline(single_middleware(context));
    build_router(chain, pipelines, |route| {
        route.get("/healthz").to_async_borrowing(healthz);
        route.get("/readyz").to_async_borrowing(readyz);
        route.get("/metrics").to_async_borrowing(metrics);
        route.get("/status").to_async_borrowing(status);
        route
            .get("/timeline")
            .with_query_string_extractor::<TimelineQuery>()
            .to_async_borrowing(timeline);
    })
}

/// Asks the control thread how the box stands; no answer means that it hangs.
async fn ask_status(shared: &Shared) -> Option<Status> {
    let (reply, answer) = oneshot::channel();
    shared.tell(Input::Status(reply)).await;
    tokio::time::timeout(STATUS_LIMIT, answer).await.ok()?.ok()
}

fn text(status: StatusCode, text: &'static str) -> Response<Body> {
    http::respond(status, "text/plain", http::full(text))
}

async fn healthz(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    Ok(match ask_status(&shared).await {
        Some(_) => text(StatusCode::OK, "ok\n"),
        None => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the control thread hangs; restart the box\n",
        ),
    })
}

async fn readyz(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    let ready = ask_status(&shared).await.is_some_and(|s| s.ready);
    Ok(if ready {
        text(StatusCode::OK, "ready\n")
    } else {
        text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no bundle in force, or stopping\n",
        )
    })
}

async fn metrics(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    ask_status(&shared).await;
    Ok(shared.metrics.set().respond())
}

async fn status(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    Ok(match ask_status(&shared).await {
        Some(status) => http::respond_json(StatusCode::OK, &status),
        None => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the control thread hangs; restart the box\n",
        ),
    })
}

async fn timeline(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = Context::shared(state);
    let query = TimelineQuery::take_from(state);
    let entries = shared.timeline.entries(query.subject.as_deref());
    Ok(http::respond_json(StatusCode::OK, &entries))
}
