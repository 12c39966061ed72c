//! Stores quarantined requests in the platform's store, so that the loss of all boxes doesn't lose
//! them. The box that reaches the verdict creates an object for each request.
//!
//! A box lists the objects once, when it begins to watch the store in a fleet that has run before.
//! It doesn't watch them, since boxes publish verdicts to each other. A box that lists an object
//! older than [`CRASH_RETENTION`] deletes it.

use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Method, Request, StatusCode};
use http_body_util::Full;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::backoff::Backoff;
use crate::clock::wall_millis;
use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::quarantine::CRASH_RETENTION;
use crate::gateway::dispatch::record::Record;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::{Entry, ObjectKind, UnixMillis};
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::store::{self, STORE_CONNECT_TIMEOUT};
use crate::http::pool::Pool;
use crate::schema::{Fingerprint, RequestAge};

/// Timeout for a call; longer than a slow store takes.
const QUARANTINE_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delays after failed calls: short enough to store a verdict before the boxes may be lost, and
/// growing so that a store that is down isn't overloaded.
const QUARANTINE_CALL_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(300),
    longest: Duration::from_secs(5),
    max_doublings: 5,
    jitter: 0.5..1.0,
};
/// Maximum number of calls for an object: about two minutes with [`QUARANTINE_CALL_BACKOFF`].
const MAX_QUARANTINE_CALLS: u32 = 30;

/// Reads the quarantined requests from the store.
pub async fn read(shared: GatewayShared) {
    store::list_all(ObjectKind::Quarantine, &shared).await;
}

/// Sends the requests of listed objects to the control thread, and deletes expired objects.
pub async fn load_objects(entries: &[Entry], shared: &GatewayShared) {
    let now = wall_millis();
    let mut requests = Vec::new();
    for entry in entries.iter().filter(|entry| entry.text.is_some()) {
        let (request, since) = match shared.dialect.read_quarantine(entry) {
            Ok(read) => read,
            Err(e) => {
                let content = format!("{} {:?}", entry.name, entry.text);
                let kind = FaultKind::QuarantineObject;
                shared.faults.report_once(kind, &content, &e);
                continue;
            }
        };
        let age = Duration::from_millis(now.saturating_sub(since.0));
        if age < CRASH_RETENTION {
            let age_ms = age.as_millis() as u32;
            requests.push(RequestAge { request, age_ms });
        } else {
            tokio::spawn(write_object(request, false, shared.clone()));
        }
    }
    shared
        .send(Input::Event(Event::QuarantineRead(requests)))
        .await;
}

/// Creates the object of a quarantined request, or deletes it if the request no longer is.
pub async fn write_object(request: Fingerprint, is_quarantined: bool, shared: GatewayShared) {
    let mut rng = ChaCha8Rng::seed_from_u64(rand::random());
    let since = UnixMillis(wall_millis());
    for calls in 0..MAX_QUARANTINE_CALLS {
        let call = call(request, is_quarantined, since, &shared);
        let answer = tokio::time::timeout(QUARANTINE_CALL_TIMEOUT, call).await;
        // Another box may have created or deleted it.
        let is_done = match answer.ok().flatten() {
            Some(status) if status.is_success() => true,
            Some(status) if is_quarantined => status == StatusCode::CONFLICT,
            Some(status) => status == StatusCode::NOT_FOUND,
            None => false,
        };
        if is_done {
            return record(request, is_quarantined, calls + 1, &shared);
        }
        tokio::time::sleep(QUARANTINE_CALL_BACKOFF.pause(calls, &mut rng)).await;
    }
}

fn record(request: Fingerprint, is_quarantined: bool, calls: u32, shared: &GatewayShared) {
    let action = if is_quarantined { "kept" } else { "removed" };
    let detail = format!("{} {action}, calls: {calls}", request.hex());
    shared.record(&Record::Process {
        state: "quarantine_store".into(),
        detail,
    });
}

async fn call(
    request: Fingerprint,
    is_quarantined: bool,
    since: UnixMillis,
    shared: &GatewayShared,
) -> Option<StatusCode> {
    shared.metrics.store_writes().inc();
    let (method, path, body) = if is_quarantined {
        let (path, body) = shared.dialect.quarantine_object(request, since);
        (Method::POST, path, body)
    } else {
        let path = shared.dialect.quarantine_object_path(request);
        (Method::DELETE, path, String::new())
    };
    let mut call = Request::new(Full::new(Bytes::from(body)));
    *call.method_mut() = method;
    *call.uri_mut() = path.parse().ok()?;
    let json = HeaderValue::from_static("application/json");
    call.headers_mut().insert(CONTENT_TYPE, json);
    let address = shared.settings.platform;
    let mut connection = Pool::connect(address, STORE_CONNECT_TIMEOUT).await.ok()?;
    let (head, _) = connection.exchange(call).await?;
    Some(head.status)
}
