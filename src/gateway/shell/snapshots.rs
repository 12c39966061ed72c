//! Requests to engines to take snapshots of attempts, and to drop those that are no longer needed.

use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::gateway::dispatch::action::{SnapshotRequest, Target};
use crate::gateway::dispatch::checks::CheckReason;
use crate::gateway::dispatch::event::{Event, SnapshotFailure, SnapshotName};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;

/// Maximum idle time of a connection that is reused.
const SNAPSHOT_CONNECTION_MAX_IDLE: Duration = Duration::from_secs(4);
/// Timeout for dropping a snapshot.
const DROP_TIMEOUT: Duration = Duration::from_millis(300);

/// Requests a snapshot from an engine; sends its name, or why there is none, to the control
/// thread.
pub async fn take(wanted: SnapshotRequest, shared: GatewayShared) {
    let answered = tokio::time::timeout(wanted.limit, request_snapshot(&wanted, &shared)).await;
    let event = Event::SnapshotTaken {
        request: wanted.request,
        attempt: wanted.attempt,
        host: wanted.host,
        name: answered.unwrap_or(Err(SnapshotFailure::Timeout)),
    };
    shared.send(Input::Event(event)).await;
}

async fn request_snapshot(
    wanted: &SnapshotRequest,
    shared: &GatewayShared,
) -> Result<SnapshotName, SnapshotFailure> {
    let (path, body) = shared.dialect.snapshot_request(&wanted.run, wanted.to);
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().map_err(|_| SnapshotFailure::Unreachable)?;
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    shared.metrics.checks.of(CheckReason::Snapshot).inc();
    let body = exchange(&wanted.engine, request, wanted.limit, shared).await?;
    shared.dialect.read_snapshot(&body).map_err(|e| {
        shared.faults.report(FaultKind::SnapshotAnswer, &e);
        SnapshotFailure::Unreadable
    })
}

/// Requests an engine to drop a snapshot.
pub async fn discard(engine: Target, name: SnapshotName, shared: GatewayShared) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    let Ok(path) = shared.dialect.drop_snapshot_path(&name).parse() else {
        return;
    };
    *request.uri_mut() = path;
    shared.metrics.checks.of(CheckReason::SnapshotDrop).inc();
    // If the request is lost, the engine drops the snapshot after `replica_kept`.
    let _ = tokio::time::timeout(
        DROP_TIMEOUT,
        exchange(&engine, request, DROP_TIMEOUT, &shared),
    )
    .await;
}

/// Sends a request; returns the body if the answer has status 200.
async fn exchange(
    target: &Target,
    request: Request<Full<Bytes>>,
    limit: Duration,
    shared: &GatewayShared,
) -> Result<Bytes, SnapshotFailure> {
    let mut connection = match target.take_idle(shared, SNAPSHOT_CONNECTION_MAX_IDLE) {
        Some(connection) => connection,
        None => target
            .connect(limit)
            .await
            .map_err(|_| SnapshotFailure::Unreachable)?,
    };
    let answer = connection.exchange(request).await;
    let (head, body) = answer.ok_or(SnapshotFailure::Unreachable)?;
    shared.pool.put_back(connection);
    if head.status == StatusCode::OK {
        Ok(body)
    } else {
        Err(SnapshotFailure::Refused)
    }
}
