//! Short requests to endpoints: whether one answers, which of them has a prompt in its cache, and
//! which endpoint has an address now.
//!
//! Each is one request on an idle or a new connection, with a short timeout. A missing answer is a
//! result for the dispatcher and isn't counted as a fault. [`super::dialect`] provides paths and
//! reads bodies.

use std::time::{Duration, Instant};

use bytes::Bytes;
use gotham::hyper::StatusCode;
use gotham::hyper::http::response;
use tokio::task::JoinSet;

use crate::gateway::dispatch::action::Target;
use crate::gateway::dispatch::checks::CheckReason;
use crate::gateway::dispatch::event::{EndpointSpec, Event, ProbeResult, RequestNumber};
use crate::gateway::dispatch::prompt_search::GROUP_TIMEOUT;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::{GatewayShared, directives};
use crate::http::pool::{Connection, Pool};
use crate::schema::EndpointIncarnation;

/// Maximum idle time of a connection that is reused.
const PROBE_CONNECTION_MAX_IDLE: Duration = Duration::from_secs(4);

/// One over the part of a probe's time limit after which a new connection is opened beside an idle one:
/// the idle one may hang because the host is lost, which only a new one shows.
const IDLE_WAIT_DIVISOR: u32 = 2;

/// Timeout for an endpoint to report its identity.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(80);

/// Probes an endpoint, and sends to the control thread whether it answered, and else whether it takes
/// connections.
pub async fn probe(reason: CheckReason, target: Target, limit: Duration, shared: GatewayShared) {
    // Any answer shows that the endpoint is reachable, also one with an error status.
    let path = shared.dialect.load_path();
    count(reason, &shared);
    let (result, answer) = match ask(&target, path, limit, &shared).await {
        Ok((result, answer)) => (result, Some(answer)),
        Err(failure) => (failure, None),
    };
    let report = answer.as_ref().and_then(Answer::body_if_ok);
    let event = Event::Probed {
        endpoint: target.endpoint.clone(),
        result,
        born: report.and_then(|body| shared.dialect.start_time(body)),
    };
    shared.send(Input::Event(event)).await;
    if let Some(answer) = &answer {
        let mut directives = directives::read(&shared, &answer.head);
        directives.is_leaving |= report.is_some_and(|body| shared.dialect.is_leaving(body));
        directives::report(&shared, target.endpoint, directives).await;
    }
}

/// Connects to an endpoint, and sends to the control thread whether the connection is refused, so
/// that nothing listens there any more.
pub async fn check_exited(
    endpoint: EndpointIncarnation,
    target: Target,
    limit: Duration,
    shared: GatewayShared,
) {
    count(CheckReason::ExitCheck, &shared);
    let event = Event::Checked {
        endpoint,
        has_exited: target.is_closed(limit).await,
    };
    shared.send(Input::Event(event)).await;
}

/// Queries engines for a part of a prompt, and sends the first that has it in its cache to the
/// control thread.
pub async fn locate(
    request: RequestNumber,
    part: String,
    among: Vec<Target>,
    shared: GatewayShared,
) {
    let mut requests = JoinSet::new();
    for target in among {
        let shared = shared.clone();
        let part = part.clone();
        requests.spawn(async move {
            let path = shared.dialect.cache_path();
            let answer = get(
                CheckReason::PromptSearch,
                &target,
                path,
                GROUP_TIMEOUT,
                &shared,
            )
            .await?;
            let stated = directives::read(&shared, &answer.head);
            directives::report(&shared, target.endpoint.clone(), stated).await;
            let body = answer.body_if_ok()?;
            let keeps_part = shared.dialect.keeps_part(body, &part);
            keeps_part.then_some(target.endpoint)
        });
    }
    let search = async {
        while let Some(found) = requests.join_next().await {
            if let Ok(Some(endpoint)) = found {
                return Some(endpoint);
            }
        }
        None
    };
    let endpoint = tokio::time::timeout(GROUP_TIMEOUT, search).await;
    let event = Event::Located {
        request,
        endpoint: endpoint.ok().flatten(),
    };
    shared.send(Input::Event(event)).await;
}

/// Requests the identity of the endpoint at an address, and its start time if it is the expected
/// endpoint and reports one: the same name alone doesn't show that it hasn't been restarted.
pub async fn request_identity(spec: EndpointSpec, path: String, shared: GatewayShared) {
    let exchange = async {
        count(CheckReason::Identity, &shared);
        let mut connection = Pool::connect(spec.address, IDENTITY_TIMEOUT).await.ok()?;
        let (head, _) = connection.get_with_head(&path).await?;
        let instance = shared.dialect.instance(&head.headers)?;
        if instance == spec.id {
            let stated = directives::read(&shared, &head);
            directives::report(&shared, instance.clone(), stated).await;
        }
        let mut born = None;
        if instance == spec.id && spec.born.is_some() {
            count(CheckReason::Identity, &shared);
            let (_, body) = connection.get(shared.dialect.load_path()).await?;
            born = Some(shared.dialect.start_time(&body)?);
        }
        connection.peer_instance = Some(instance.clone());
        shared.pool.put_back(connection);
        Some((instance, born))
    };
    let identity = tokio::time::timeout(IDENTITY_TIMEOUT, exchange).await;
    if let Some((instance, born)) = identity.ok().flatten() {
        let event = Event::IdentityReported {
            endpoint: spec.id,
            instance,
            born,
        };
        shared.send(Input::Event(event)).await;
    }
}

/// Checks whether a model engine is now at an address; sends its start time to the control thread.
pub async fn identify(spec: EndpointSpec, shared: GatewayShared) {
    let target = Target {
        endpoint: spec.id.clone(),
        address: spec.address,
        via: None,
    };
    let path = shared.dialect.load_path();
    let response = tokio::time::timeout(
        IDENTITY_TIMEOUT,
        get(
            CheckReason::Successor,
            &target,
            path,
            IDENTITY_TIMEOUT,
            &shared,
        ),
    )
    .await;
    let answer = response.ok().flatten();
    let Some(body) = answer.as_ref().and_then(Answer::body_if_ok) else {
        return;
    };
    if shared.dialect.is_engine(body) {
        let born = shared.dialect.start_time(body);
        let event = Event::Identified(EndpointSpec { born, ..spec });
        shared.send(Input::Event(event)).await;
    }
}

/// A complete answer of an endpoint.
struct Answer {
    head: response::Parts,
    body: Bytes,
}

impl Answer {
    /// The body, if the status is 200.
    fn body_if_ok(&self) -> Option<&Bytes> {
        (self.head.status == StatusCode::OK).then_some(&self.body)
    }
}

fn count(reason: CheckReason, shared: &GatewayShared) {
    shared.metrics.probes.inc();
    shared.metrics.checks.of(reason).inc();
}

/// Gets a path of an endpoint.
async fn get(
    reason: CheckReason,
    target: &Target,
    path: &'static str,
    limit: Duration,
    shared: &GatewayShared,
) -> Option<Answer> {
    count(reason, shared);
    let deadline = Instant::now() + limit;
    if let Some(connection) = target.take_idle(shared, PROBE_CONNECTION_MAX_IDLE)
        && let Some(answer) = get_on(connection, path, shared).await
    {
        return Some(answer);
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let connection = target.connect(left).await.ok()?;
    get_on(connection, path, shared).await
}

/// Gets a path of an endpoint on an idle connection, and on a new one if that brings no answer in time.
async fn ask(
    target: &Target,
    path: &'static str,
    limit: Duration,
    shared: &GatewayShared,
) -> Result<(ProbeResult, Answer), ProbeResult> {
    let deadline = Instant::now() + limit;
    let idle = target.take_idle(shared, PROBE_CONNECTION_MAX_IDLE);
    let on_idle = async {
        match idle {
            Some(connection) => get_on(connection, path, shared).await,
            None => None,
        }
    };
    tokio::pin!(on_idle);
    let first = tokio::time::timeout(limit / IDLE_WAIT_DIVISOR, &mut on_idle).await;
    let is_pending = match first {
        Ok(Some(answer)) => return Ok((ProbeResult::Answered, answer)),
        Ok(None) => false,
        Err(_) => true,
    };
    let on_new_result = if is_pending {
        ProbeResult::AnsweredAnew
    } else {
        ProbeResult::Answered
    };
    let on_new = ask_on_new(target, path, deadline, shared);
    tokio::select! {
        Some(answer) = &mut on_idle, if is_pending => Ok((ProbeResult::Answered, answer)),
        result = on_new => result.map(|answer| (on_new_result, answer)),
    }
}

/// Gets a path of an endpoint on a new connection.
async fn ask_on_new(
    target: &Target,
    path: &'static str,
    deadline: Instant,
    shared: &GatewayShared,
) -> Result<Answer, ProbeResult> {
    let left = || deadline.saturating_duration_since(Instant::now());
    let connection = target.connect(left()).await;
    let connection = connection.map_err(|_| ProbeResult::Unreachable)?;
    match tokio::time::timeout(left(), get_on(connection, path, shared)).await {
        Ok(Some(answer)) => Ok(answer),
        Ok(None) => Err(ProbeResult::Unreachable),
        Err(_) => Err(ProbeResult::Silent),
    }
}

async fn get_on(
    mut connection: Connection,
    path: &'static str,
    shared: &GatewayShared,
) -> Option<Answer> {
    let (head, body) = connection.get_with_head(path).await?;
    shared.pool.put_back(connection);
    Some(Answer { head, body })
}
