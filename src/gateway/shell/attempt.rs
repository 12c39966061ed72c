//! One sending of a request to an endpoint: the connection, the head of the answer, and answers that
//! are read whole.

use std::time::Instant;

use bytes::Bytes;
use gotham::hyper::body::Incoming;
use gotham::hyper::http::request;
use gotham::hyper::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::gateway::dispatch::action::Attempt;
use crate::gateway::dispatch::event::{Fault, Outcome};
use crate::gateway::shell::{GatewayShared, headers};
use crate::http::pool::{Connection, Pool, SendError};

/// The greatest answer that is held whole, in bytes.
const MOST_HELD: usize = 8 << 20;

/// A request as the caller sent it.
#[derive(Debug)]
pub struct CallerRequest {
    /// The caller's id of this sending.
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
    request: &CallerRequest,
    sending: &Attempt,
    after: Option<u64>,
) -> Result<(Response<Incoming>, Connection), Outcome> {
    let started = Instant::now();
    let mut sending = sending.clone();
    sending.after_event = sending.after_event.max(after);
    if let Some(mut connection) = shared.pool.take(sending.address, sending.longest_rest) {
        match connection.send(outgoing(shared, request, &sending)).await {
            Ok(response) => return Ok((response, connection)),
            // It was closed before a byte of the request was written.
            Err(SendError::NotSent) => {}
            Err(e) => return Err(outcome_of(&e)),
        }
    }
    let mut connection = Pool::connect(sending.address, sending.connect_limit)
        .await
        .map_err(|_| Outcome::NotSent)?;
    sending.time_left = sending.time_left.saturating_sub(started.elapsed());
    match connection.send(outgoing(shared, request, &sending)).await {
        Ok(response) => Ok((response, connection)),
        Err(e) => Err(outcome_of(&e)),
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
    sending: &Attempt,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = headers::origin_form(&request.head.uri);
    *outgoing.headers_mut() =
        shared
            .dialect
            .request_headers(&request.head.headers, &request.id, sending);
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
