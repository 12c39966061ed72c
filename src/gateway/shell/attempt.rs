//! One attempt at an endpoint: opens the connection, sends the request, receives the head of the
//! answer, and buffers answers that are not streams.
//!
//! A pooled connection is tried first if it has not been idle for longer than the attempt allows.
//! If the endpoint has closed it, the request is sent on a new connection; this is safe because
//! [`crate::http::pool`] distinguishes a request that was never sent from one that may have been.

use std::time::Instant;

use bytes::Bytes;
use gotham::hyper::http::request;
use gotham::hyper::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;

use crate::gateway::dispatch::action::{Attempt, Target};
use crate::gateway::dispatch::checks::CheckReason;
use crate::gateway::dispatch::event::{Event, Fault, NotRunCause, Outcome, RequestNumber};
use crate::gateway::shell::input::Input;
use crate::gateway::shell::relay::OpenError;
use crate::gateway::shell::{GatewayShared, headers};
use crate::http::answer_end::AnswerEnd;
use crate::http::pool::{Connection, SendError};
use crate::http::read_limit::{PeerBody, ReadError};

/// Maximum body size of an answer that is not a stream, in bytes.
const MAX_BUFFERED_ANSWER: usize = 8 << 20;

/// Request as received from the caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Id that the caller gave the request.
    pub id: String,
    /// Method, URI and headers, unmodified.
    pub head: request::Parts,
    /// Complete body.
    pub body: Bytes,
}

/// Complete answer of an endpoint, buffered until the dispatcher decides whether to deliver it.
pub(super) struct BufferedAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub end: AnswerEnd,
}

/// Sends a request to the attempt's endpoint and waits for the head of the answer.
pub(super) async fn start_attempt(
    shared: &GatewayShared,
    number: RequestNumber,
    request: &CallerRequest,
    attempt: &Attempt,
    after: Option<u64>,
) -> Result<(Response<PeerBody>, Connection), Outcome> {
    let started = Instant::now();
    let mut attempt = attempt.clone();
    attempt.after_event = attempt.after_event.max(after);
    let target = Target::new(attempt.endpoint.clone(), attempt.address, attempt.via);
    if let Some(mut connection) = target.take_idle(shared, attempt.max_idle) {
        match send_on(&mut connection, shared, number, request, &attempt).await {
            Ok(response) => return Ok((response, connection)),
            // The endpoint had closed the connection before any byte of the request was written.
            Err(SendFailure::NotSent) => {}
            Err(SendFailure::Ended(outcome)) => return Err(outcome),
        }
    }
    let connected = target.connect(attempt.connect_timeout).await;
    let mut connection = connected.map_err(|e| match e {
        OpenError::Relay => Outcome::RelayFailed,
        OpenError::Refused | OpenError::TimedOut => Outcome::NotSent,
    })?;
    attempt.time_left = attempt.time_left.saturating_sub(started.elapsed());
    match send_on(&mut connection, shared, number, request, &attempt).await {
        Ok(response) => Ok((response, connection)),
        Err(SendFailure::NotSent) => Err(outcome_of(&SendError::NotSent, &connection)),
        Err(SendFailure::Ended(outcome)) => Err(outcome),
    }
}

/// Why a request got no head of an answer on a connection.
enum SendFailure {
    /// No byte of it was written.
    NotSent,
    /// The attempt has ended.
    Ended(Outcome),
}

/// Sends a request on a connection and waits for the head of the answer.
async fn send_on(
    connection: &mut Connection,
    shared: &GatewayShared,
    number: RequestNumber,
    request: &CallerRequest,
    attempt: &Attempt,
) -> Result<Response<PeerBody>, SendFailure> {
    check_instance(connection, shared, attempt).await?;
    check_start(connection, shared, attempt).await?;
    report_connection(shared, number, attempt).await;
    let outgoing = outgoing_request(shared, request, attempt);
    match connection.send(outgoing).await {
        Ok(response) => Ok(response),
        Err(SendError::NotSent) => Err(SendFailure::NotSent),
        Err(e) => Err(SendFailure::Ended(outcome_of(&e, connection))),
    }
}

/// Checks that the process behind a connection is the endpoint that the attempt is meant for. It can't
/// be replaced while the connection lives.
async fn check_instance(
    connection: &mut Connection,
    shared: &GatewayShared,
    attempt: &Attempt,
) -> Result<(), SendFailure> {
    let Some(path) = &attempt.identity_path else {
        return Ok(());
    };
    if connection.peer_instance.is_none() {
        shared.metrics.probes.inc();
        shared.metrics.checks.of(CheckReason::BeforeSend).inc();
        let answer = connection.get_with_head(path);
        let answer = tokio::time::timeout(attempt.connect_timeout, answer).await;
        let head = answer.ok().flatten().map(|(head, _)| head);
        connection.peer_instance = head.and_then(|head| shared.dialect.instance(&head.headers));
    }
    match &connection.peer_instance {
        Some(instance) if *instance == attempt.endpoint => Ok(()),
        Some(instance) => {
            let cause = NotRunCause::Replaced(instance.clone());
            Err(SendFailure::Ended(Outcome::NotRun(cause)))
        }
        None => Err(SendFailure::NotSent),
    }
}

/// Checks that the process behind a connection has the start time that the attempt is meant for. It
/// can't be replaced while the connection lives.
async fn check_start(
    connection: &mut Connection,
    shared: &GatewayShared,
    attempt: &Attempt,
) -> Result<(), SendFailure> {
    let Some(expected) = attempt.expected_start else {
        return Ok(());
    };
    if connection.peer_start == Some(expected) {
        return Ok(());
    }
    shared.metrics.probes.inc();
    shared.metrics.checks.of(CheckReason::StartTime).inc();
    let report = connection.get(shared.dialect.load_path());
    let report = tokio::time::timeout(attempt.connect_timeout, report).await;
    let body = report.ok().flatten().map(|(_, body)| body);
    match body.and_then(|body| shared.dialect.start_time(&body)) {
        Some(born) if born == expected => {
            connection.peer_start = Some(born);
            Ok(())
        }
        Some(born) => {
            let cause = NotRunCause::Restarted(born);
            Err(SendFailure::Ended(Outcome::NotRun(cause)))
        }
        None => Err(SendFailure::NotSent),
    }
}

/// Reports to the dispatcher that the request is being sent, if the attempt asks for this report.
async fn report_connection(shared: &GatewayShared, request: RequestNumber, attempt: &Attempt) {
    if attempt.reports_connection {
        let attempt = attempt.attempt;
        let event = Event::Connected { request, attempt };
        shared.send(Input::Event(event)).await;
    }
}

fn outcome_of(error: &SendError, connection: &Connection) -> Outcome {
    match error {
        SendError::NotSent if connection.has_lost_tunnel() => Outcome::RelayFailed,
        SendError::NotSent => Outcome::NotSent,
        SendError::Broken => Outcome::Broken(fault_of(Fault::Closed, connection)),
        SendError::Malformed => Outcome::Broken(Fault::Malformed),
    }
}

/// The fault of an answer that broke off: that of the tunnel if that broke, and that of the bytes if
/// the endpoint sent them without end.
pub(super) fn fault_of(fault: Fault, connection: &Connection) -> Fault {
    match fault {
        Fault::Closed | Fault::Malformed if connection.has_lost_tunnel() => Fault::RelayLost,
        Fault::Closed if connection.is_endless() => Fault::Malformed,
        fault => fault,
    }
}

fn outgoing_request(
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

/// Reads the complete body of an answer. One that ends with its connection and has no body at all counts
/// as cut off after its head.
pub(super) async fn buffer_answer(
    shared: &GatewayShared,
    status: StatusCode,
    headers: &HeaderMap,
    body: PeerBody,
) -> Result<BufferedAnswer, Fault> {
    let end = body.end();
    let body = shared.memory.hold_answer(body, MAX_BUFFERED_ANSWER).await;
    let body = body.map_err(|e| match e {
        ReadError::TooLong => Fault::Malformed,
        ReadError::Broken => Fault::Closed,
    })?;
    if end == AnswerEnd::Connection && body.is_empty() {
        return Err(Fault::Closed);
    }
    Ok(BufferedAnswer {
        status,
        headers: headers.clone(),
        body,
        end,
    })
}
