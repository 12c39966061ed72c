//! Small questions to endpoints: whether one answers, which of them keeps a prompt, and who has an
//! address now.
//!
//! Each is one request on a rested connection or a new one, within a short limit; no answer is an
//! answer too, so failures here are reported as such and are no faults. Relies on:
//! [`super::dialect`] for paths and bodies.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gotham::hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::gateway::dispatch::event::{EndpointSpec, Event, RequestNumber};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::input::Input;
use crate::http::pool::{Connection, Pool};
use crate::schema::{EndpointId, EndpointIncarnation};

/// How long a connection may have rested for a probe.
const PROBE_REST: Duration = Duration::from_secs(4);

/// How long an endpoint may take to say what it keeps, or who it is: a caller waits meanwhile.
const LOCATE_LIMIT: Duration = Duration::from_millis(80);

/// Probes an endpoint and reports whether it answered.
pub async fn probe(
    endpoint: EndpointId,
    address: SocketAddr,
    limit: Duration,
    shared: GatewayShared,
) {
    // An endpoint that answers is there, whatever it says.
    let path = shared.dialect.load_path();
    let got = tokio::time::timeout(limit, get(address, path, limit, &shared)).await;
    let answer = got.ok().flatten();
    let event = Event::Probed {
        endpoint,
        is_answered: answer.is_some(),
        born: answer.and_then(|body| shared.dialect.start_time(&body?)),
    };
    shared.send(Input::Event(event)).await;
}

/// Makes a connection to an endpoint and reports whether nothing listens there any more. One that
/// can't be made in time tells nothing: the link may be cut.
pub async fn check_exited(
    endpoint: EndpointIncarnation,
    address: SocketAddr,
    limit: Duration,
    shared: GatewayShared,
) {
    shared.metrics.probes.inc();
    let connecting = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let has_exited = match connecting {
        Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    };
    let event = Event::Checked {
        endpoint,
        has_exited,
    };
    shared.send(Input::Event(event)).await;
}

/// Asks engines which of them keeps a part of a prompt, and reports the first that does.
pub async fn locate(
    request: RequestNumber,
    part: String,
    among: Vec<(EndpointId, SocketAddr)>,
    shared: GatewayShared,
) {
    let mut asked = JoinSet::new();
    for (endpoint, address) in among {
        let shared = shared.clone();
        let part = part.clone();
        asked.spawn(async move {
            let path = shared.dialect.cache_path();
            let body = get(address, path, LOCATE_LIMIT, &shared).await?;
            shared.dialect.keeps_part(&body?, &part).then_some(endpoint)
        });
    }
    let finding = async {
        while let Some(found) = asked.join_next().await {
            if let Ok(Some(endpoint)) = found {
                return Some(endpoint);
            }
        }
        None
    };
    let endpoint = tokio::time::timeout(LOCATE_LIMIT, finding).await;
    let event = Event::Located {
        request,
        endpoint: endpoint.ok().flatten(),
    };
    shared.send(Input::Event(event)).await;
}

/// Asks whoever has an endpoint's address who it is, and an endpoint that tells births for its own:
/// the same name alone doesn't tell that it has not started again.
pub async fn request_identity(spec: EndpointSpec, path: String, shared: GatewayShared) {
    let asking = async {
        let mut connection = Pool::connect(spec.address, LOCATE_LIMIT).await.ok()?;
        shared.metrics.probes.inc();
        let (head, _) = connection.get_with_head(&path).await?;
        let instance = shared.dialect.instance(&head.headers)?;
        let mut born = None;
        if instance == spec.id && spec.born.is_some() {
            shared.metrics.probes.inc();
            let (_, body) = connection.get(shared.dialect.load_path()).await?;
            born = Some(shared.dialect.start_time(&body)?);
        }
        shared.pool.put_back(connection);
        Some((instance, born))
    };
    let named = tokio::time::timeout(LOCATE_LIMIT, asking).await;
    if let Some((instance, born)) = named.ok().flatten() {
        let event = Event::IdentityReported {
            endpoint: spec.id,
            instance,
            born,
        };
        shared.send(Input::Event(event)).await;
    }
}

/// Finds out whether whoever has an address now is a model engine.
pub async fn identify(spec: EndpointSpec, shared: GatewayShared) {
    let address = spec.address;
    let path = shared.dialect.load_path();
    let got = tokio::time::timeout(LOCATE_LIMIT, get(address, path, LOCATE_LIMIT, &shared)).await;
    let Some(body) = got.ok().flatten().flatten() else {
        return;
    };
    if shared.dialect.is_engine(&body) {
        let born = shared.dialect.start_time(&body);
        let event = Event::Identified(EndpointSpec { born, ..spec });
        shared.send(Input::Event(event)).await;
    }
}

/// Gets a path of an endpoint: `None` without an answer, `Some(None)` for one without success.
async fn get(
    address: SocketAddr,
    path: &'static str,
    limit: Duration,
    shared: &GatewayShared,
) -> Option<Option<Bytes>> {
    shared.metrics.probes.inc();
    let until = Instant::now() + limit;
    if let Some(connection) = shared.pool.take(address, PROBE_REST)
        && let Some(answer) = get_on(connection, path, shared).await
    {
        return Some(answer);
    }
    let left = until.saturating_duration_since(Instant::now());
    let connection = Pool::connect(address, left).await.ok()?;
    get_on(connection, path, shared).await
}

async fn get_on(
    mut connection: Connection,
    path: &'static str,
    shared: &GatewayShared,
) -> Option<Option<Bytes>> {
    let (status, body) = connection.get(path).await?;
    shared.pool.put_back(connection);
    Some((status == StatusCode::OK).then_some(body))
}
