//! One attempt at an endpoint: the connection, the head of the answer, and answers that are read
//! whole.
//!
//! A connection that has rested no longer than the attempt allows is used first; one that the
//! endpoint had closed costs nothing, the request then goes on a new one. Relies on:
//! [`crate::http::pool`], which tells a request that was never sent from one that may have been.

use std::time::Instant;

use bytes::Bytes;
use gotham::hyper::body::Incoming;
use gotham::hyper::http::request;
use gotham::hyper::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::gateway::dispatch::action::Attempt;
use crate::gateway::dispatch::event::{Event, Fault, Outcome, RequestNumber};
use crate::gateway::shell::input::Input;
use crate::gateway::shell::{GatewayShared, headers};
use crate::http::pool::{Connection, Pool, SendError};

/// The greatest answer that is held whole, in bytes.
const MOST_HELD: usize = 8 << 20;

/// A request as the caller sent it.
#[derive(Debug)]
pub struct CallerRequest {
    /// The caller's id of this request.
    pub id: String,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
}

/// An answer that is held until the dispatcher says what to do with it.
pub(super) struct Held {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Sends a request and waits for the head of its answer.
pub(super) async fn open(
    shared: &GatewayShared,
    number: RequestNumber,
    request: &CallerRequest,
    attempt: &Attempt,
    after: Option<u64>,
) -> Result<(Response<Incoming>, Connection), Outcome> {
    let started = Instant::now();
    let mut attempt = attempt.clone();
    attempt.after_event = attempt.after_event.max(after);
    if let Some(mut connection) = shared.pool.take(attempt.address, attempt.max_idle) {
        report_connection(shared, number, &attempt).await;
        match connection.send(outgoing(shared, request, &attempt)).await {
            Ok(response) => return Ok((response, connection)),
            // It was closed before a byte of the request was written.
            Err(SendError::NotSent) => {}
            Err(e) => return Err(outcome_of(&e)),
        }
    }
    let mut connection = Pool::connect(attempt.address, attempt.connect_timeout)
        .await
        .map_err(|_| Outcome::NotSent)?;
    report_connection(shared, number, &attempt).await;
    attempt.time_left = attempt.time_left.saturating_sub(started.elapsed());
    match connection.send(outgoing(shared, request, &attempt)).await {
        Ok(response) => Ok((response, connection)),
        Err(e) => Err(outcome_of(&e)),
    }
}

/// Tells the dispatcher that a request goes out, if it wants to know.
async fn report_connection(shared: &GatewayShared, request: RequestNumber, attempt: &Attempt) {
    if attempt.reports_connection {
        let attempt = attempt.attempt;
        let event = Event::Connected { request, attempt };
        shared.send(Input::Event(event)).await;
    }
}

fn outcome_of(error: &SendError) -> Outcome {
    match error {
        SendError::NotSent => Outcome::NotSent,
        SendError::Broken => Outcome::Broken(Fault::Closed),
        SendError::Malformed => Outcome::Broken(Fault::Malformed),
    }
}

fn outgoing(
    shared: &GatewayShared,
    request: &CallerRequest,
    attempt: &Attempt,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = headers::origin_form(&request.head.uri);
    *outgoing.headers_mut() =
        shared
            .dialect
            .request_headers(&request.head.headers, &request.id, attempt);
    outgoing
}

/// Reads an answer whole.
pub(super) async fn hold(
    status: StatusCode,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Held, Fault> {
    let body = Limited::new(body, MOST_HELD).collect().await;
    let body = body.map_err(|_| Fault::Closed)?.to_bytes();
    Ok(Held {
        status,
        headers: headers.clone(),
        body,
    })
}
