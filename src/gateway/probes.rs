//! Asks endpoints how they stand.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gotham::hyper::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};

use crate::dispatch::event::{EndpointLoad, Event};
use crate::gateway::GatewayShared;
use crate::gateway::control::Input;
use crate::gateway::pool::{Connection, Pool};
use crate::schema::EndpointId;

/// How long a connection may have rested for a probe.
const PROBE_REST: Duration = Duration::from_secs(4);

/// Asks an endpoint how it stands and tells what came of it.
pub async fn probe(
    endpoint: EndpointId,
    address: SocketAddr,
    limit: Duration,
    shared: GatewayShared,
) {
    let load = tokio::time::timeout(limit, ask(address, limit, &shared)).await;
    let load = load.ok().flatten();
    shared.metrics.probes.inc();
    shared
        .tell(Input::Event(Event::Probed { endpoint, load }))
        .await;
}

async fn ask(address: SocketAddr, limit: Duration, shared: &GatewayShared) -> Option<EndpointLoad> {
    let until = Instant::now() + limit;
    if let Some(connection) = shared.pool.take(address, PROBE_REST)
        && let Some(load) = ask_on(connection, address, shared).await
    {
        return Some(load);
    }
    let left = until.saturating_duration_since(Instant::now());
    let connection = Pool::connect(address, left).await.ok()?;
    ask_on(connection, address, shared).await
}

async fn ask_on(
    mut connection: Connection,
    address: SocketAddr,
    shared: &GatewayShared,
) -> Option<EndpointLoad> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = gotham::hyper::Uri::from_static(shared.dialect.load_path());
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, address.to_string().parse().ok()?);
    *request.headers_mut() = headers;
    let response = connection.send(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    shared.pool.put_back(connection);
    if status != StatusCode::OK {
        // It is there, whatever it says.
        return Some(EndpointLoad::default());
    }
    Some(shared.dialect.read_load(&body).unwrap_or_default())
}
