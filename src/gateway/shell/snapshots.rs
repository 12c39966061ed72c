//! Asks engines to take snapshots of attempts, and to drop those that are not needed any more.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::gateway::dispatch::action::SnapshotRequest;
use crate::gateway::dispatch::event::{Event, SnapshotName};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::http::pool::Pool;

/// How long a connection may have rested.
const SNAPSHOT_CONNECTION_REST: Duration = Duration::from_secs(4);
/// How long an engine may take to drop a snapshot.
const DROP_LIMIT: Duration = Duration::from_millis(300);

/// Has an engine take a snapshot, and reports its name or that there is none.
pub async fn take(wanted: SnapshotRequest, shared: GatewayShared) {
    let asked = tokio::time::timeout(wanted.limit, ask(&wanted, &shared)).await;
    let event = Event::SnapshotTaken {
        request: wanted.request,
        attempt: wanted.attempt,
        host: wanted.host,
        name: asked.ok().flatten(),
    };
    shared.send(Input::Event(event)).await;
}

async fn ask(wanted: &SnapshotRequest, shared: &GatewayShared) -> Option<SnapshotName> {
    let (path, body) = shared.dialect.snapshot_request(&wanted.run, wanted.to);
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().ok()?;
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    let body = exchange(wanted.engine, request, wanted.limit, shared).await?;
    match shared.dialect.read_snapshot(&body) {
        Ok(name) => Some(name),
        Err(e) => {
            shared.faults.report(FaultKind::SnapshotAnswer, &e);
            None
        }
    }
}

/// Has an engine drop a snapshot; one that can't be reached forgets it by itself.
pub async fn discard(engine: SocketAddr, name: SnapshotName, shared: GatewayShared) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    let Ok(path) = shared.dialect.drop_snapshot_path(&name).parse() else {
        return;
    };
    *request.uri_mut() = path;
    // The engine forgets it after `replica_kept` if this is lost.
    let _ = tokio::time::timeout(DROP_LIMIT, exchange(engine, request, DROP_LIMIT, &shared)).await;
}

/// The body of a successful answer.
async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
    shared: &GatewayShared,
) -> Option<Bytes> {
    let mut connection = match shared.pool.take(address, SNAPSHOT_CONNECTION_REST) {
        Some(connection) => connection,
        None => Pool::connect(address, limit).await.ok()?,
    };
    let (head, body) = connection.exchange(request).await?;
    shared.pool.put_back(connection);
    (head.status == StatusCode::OK).then_some(body)
}
