//! Keeps the versions that began streams in the platform's store, so that the loss of all boxes
//! doesn't lose them.
//!
//! Each process that writes has objects of its own, named after the box and its incarnation, and
//! replaces one with each write. A box lists all objects when a caller comes back with a stream that no
//! box knows. An object whose records are all over is deleted by the box that lists it, after
//! [`MAX_CLOCK_DIFFERENCE`], since clocks differ.

use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::clock::{UnixMillis, wall_millis};
use crate::gateway::dispatch::event::Event;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::dialect::{Entry, ObjectKind};
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::store::{self, STORE_CONNECT_TIMEOUT};
use crate::http::pool::Pool;
use crate::schema::StreamRecord;

/// Timeout for a call; longer than a slow store takes.
const STREAMS_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most by which the clocks of two boxes differ.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(60);

/// Reads all records of streams from the store.
pub async fn read(shared: GatewayShared) {
    store::list_all(ObjectKind::Streams, &shared).await;
}

/// Sends the records of listed objects to the control thread, and deletes objects that are over.
pub async fn load_objects(entries: &[Entry], shared: &GatewayShared) {
    let now = wall_millis();
    let mut records = Vec::new();
    for entry in entries.iter().filter(|entry| entry.text.is_some()) {
        let (written, of_entry) = match shared.dialect.read_streams(entry) {
            Ok(read) => read,
            Err(e) => {
                let content = format!("{} {:?}", entry.name, entry.text);
                let kind = FaultKind::StreamsObject;
                shared.faults.report_once(kind, &content, &e);
                continue;
            }
        };
        let age = Duration::from_millis(now.saturating_sub(written.0));
        let longest = of_entry.iter().map(|record| record.keep_ms).max();
        let longest = Duration::from_millis(longest.unwrap_or_default().into());
        if age > longest + MAX_CLOCK_DIFFERENCE {
            tokio::spawn(delete(entry.name.clone(), shared.clone()));
        }
        records.extend(of_entry.into_iter().filter_map(|of| aged(of, age)));
    }
    shared.send(Input::Event(Event::StreamsRead(records))).await;
}

/// A record as it is `age` after it was written; `None` if its time is over.
fn aged(record: StreamRecord, age: Duration) -> Option<StreamRecord> {
    let age_ms = u32::try_from(age.as_millis()).ok()?;
    let keep_ms = record.keep_ms.checked_sub(age_ms)?;
    Some(StreamRecord {
        age_ms: record.age_ms.saturating_add(age_ms),
        keep_ms,
        ..record
    })
}

async fn delete(name: String, shared: GatewayShared) {
    let path = shared.dialect.streams_object_path(&name);
    // Another box may have deleted it, and the next list finds it again otherwise.
    let _ = call(Method::DELETE, &path, String::new(), &shared).await;
}

/// Writes records of a failure domain to the object `name`, which its first write creates.
pub async fn write(
    name: String,
    records: Vec<StreamRecord>,
    is_first: bool,
    shared: GatewayShared,
) {
    let body = shared
        .dialect
        .streams_object(&name, UnixMillis(wall_millis()), &records);
    let path = shared.dialect.streams_object_path(&name);
    let status = if is_first {
        let kind_path = shared.dialect.list_path(ObjectKind::Streams, None);
        match call(Method::POST, &kind_path, body.clone(), &shared).await {
            // A write without an answer may have been done.
            Some(StatusCode::CONFLICT) => call(Method::PUT, &path, body, &shared).await,
            status => status,
        }
    } else {
        call(Method::PUT, &path, body, &shared).await
    };
    let is_saved = status.is_some_and(|status| status.is_success());
    let event = Event::StreamsSaved { is_saved };
    shared.send(Input::Event(event)).await;
}

async fn call(
    method: Method,
    path: &str,
    body: String,
    shared: &GatewayShared,
) -> Option<StatusCode> {
    shared.metrics.store_writes().inc();
    let exchange = exchange(method, path, body, shared);
    let answer = tokio::time::timeout(STREAMS_CALL_TIMEOUT, exchange).await;
    answer.ok().flatten()
}

async fn exchange(
    method: Method,
    path: &str,
    body: String,
    shared: &GatewayShared,
) -> Option<StatusCode> {
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
