//! Roll-out orders in the platform's store: reads their objects, each independently, and writes
//! their status.
//!
//! An object that can't be read has no effect and is logged once; the known order of its service
//! stays. The watch shows whether a write took effect, so the answer to a write is only recorded.

use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::record::{ROLLOUT_STATUS, Record};
use crate::gateway::dispatch::rollout::status::{ObjectState, StatusWrite};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::Entry;
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::store::STORE_CONNECT_TIMEOUT;
use crate::gateway::shell::watcher::StoreChange;
use crate::http::pool::Pool;
use crate::schema::ServiceId;

/// Timeout for writing a status; longer than a slow store takes.
const STATUS_WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads objects that were listed or have changed.
pub fn read_objects(change: StoreChange, shared: &GatewayShared) -> Event {
    let (entries, is_whole) = match change {
        StoreChange::Listed(entries) => (entries, true),
        StoreChange::Changed(entries) => (entries, false),
    };
    let mut objects = Vec::new();
    let mut removed: Vec<ServiceId> = Vec::new();
    let mut has_unreadable = false;
    for entry in &entries {
        match (&entry.text, read_object(entry, shared)) {
            // A name that isn't a valid service id belongs to no known order.
            (None, _) => removed.extend(entry.name.parse()),
            (Some(_), Some(object)) => objects.push(object),
            (Some(_), None) => has_unreadable = true,
        }
    }
    Event::Rollouts {
        objects,
        removed,
        // An unreadable object may belong to a known order, which must not count as removed.
        is_whole: is_whole && !has_unreadable,
    }
}

fn read_object(entry: &Entry, shared: &GatewayShared) -> Option<ObjectState> {
    let text = entry.text.as_deref()?;
    match shared.dialect.read_rollout(entry) {
        Ok(object) => Some(object),
        Err(e) => {
            let content = format!("{} {text}", entry.name);
            shared
                .faults
                .report_once(FaultKind::RolloutObject, &content, &e);
            None
        }
    }
}

/// Writes the status of a roll-out order.
pub async fn write_status(write: StatusWrite, shared: GatewayShared) {
    let answer = tokio::time::timeout(STATUS_WRITE_TIMEOUT, put(&write, &shared)).await;
    let outcome = match answer.ok().flatten() {
        Some(StatusCode::OK) => "written",
        Some(StatusCode::CONFLICT) => "another revision",
        Some(_) => "refused",
        None => "no answer",
    };
    shared.record(&Record::Process {
        state: ROLLOUT_STATUS.into(),
        detail: format!("{} {:?}: {outcome}", write.order.service, write.status),
    });
}

async fn put(write: &StatusWrite, shared: &GatewayShared) -> Option<StatusCode> {
    shared.metrics.store_writes().inc();
    let (path, body) = shared.dialect.rollout_status(write);
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::PUT;
    *request.uri_mut() = path.parse().ok()?;
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    let address = shared.settings.platform;
    let mut connection = Pool::connect(address, STORE_CONNECT_TIMEOUT).await.ok()?;
    let (head, _) = connection.exchange(request).await?;
    Some(head.status)
}
