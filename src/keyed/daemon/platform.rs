//! The way to the platform's object API: JSON over HTTP with versions, conditional updates and
//! watches.

use std::time::Duration;

use gotham::hyper::{Method, StatusCode};

use crate::http::{Answer, Call, HttpError};
use crate::keyed::daemon::Shared;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::node::event::{Event, Object, PlatformAnswer};
use crate::schema::FleetList;

/// How long the platform may take to answer a call.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// How long a watch stays open, as asked of the platform, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// How long a watch may take all in all.
const WATCH_LIMIT: Duration = Duration::from_millis(WATCH_MS + 2_000);

/// Makes a call and tells the control thread what came of it.
pub async fn call(id: u64, op: PlatformOp, shared: Shared) {
    let asked = shared.clock.now();
    let answer = ask(&op, &shared).await;
    shared
        .tell(Input::Event(Event::Platform { id, asked, answer }))
        .await;
}

async fn ask(op: &PlatformOp, shared: &Shared) -> PlatformAnswer {
    let address = shared.settings.platform.to_string();
    let path = path_of(op);
    let limit = if matches!(op, PlatformOp::Watch { .. }) {
        WATCH_LIMIT
    } else {
        CALL_LIMIT
    };
    let call = match op {
        PlatformOp::Get { known, .. } => {
            let call = Call::new(Method::GET, &address, &path);
            match known {
                Some(version) => call.header("if-none-match", quoted(*version)),
                None => call,
            }
        }
        PlatformOp::Fleet { known, .. } => {
            Call::new(Method::GET, &address, &path).header("if-none-match", quoted(*known))
        }
        PlatformOp::Watch { .. } | PlatformOp::List(_) => Call::new(Method::GET, &address, &path),
        PlatformOp::Delete(_) => Call::new(Method::DELETE, &address, &path),
        PlatformOp::Put { expect, value, .. } => {
            let call = Call::new(Method::PUT, &address, &path).body(value.clone());
            match expect {
                Expect::Absent => call.header("if-none-match", "*"),
                Expect::Version(version) => call.header("if-match", quoted(*version)),
            }
        }
    };
    match shared.client.send(call, limit).await {
        Ok(answer) => {
            shared
                .metrics
                .platform_bytes_in
                .inc_by(answer.body.len() as u64);
            read(op, &answer)
        }
        Err(
            HttpError::Connect(_)
            | HttpError::Broken(_)
            | HttpError::TimedOut
            | HttpError::BadRequest(_),
        ) => PlatformAnswer::NoAnswer,
    }
}

fn quoted(version: u64) -> String {
    format!("\"{version}\"")
}

/// The path of an object.
#[must_use]
pub fn object_path(name: &str) -> String {
    format!("/v1/objects/{name}")
}

fn path_of(op: &PlatformOp) -> String {
    match op {
        PlatformOp::Get { name, .. } | PlatformOp::Put { name, .. } | PlatformOp::Delete(name) => {
            object_path(name)
        }
        PlatformOp::Watch { name, after } => {
            format!("{}?watch={after}&wait_ms={WATCH_MS}", object_path(name))
        }
        PlatformOp::List(prefix) => format!("/v1/list/{prefix}"),
        PlatformOp::Fleet { domain, .. } => format!("/v1/fleet/{domain}"),
    }
}

/// Reads the version of an object from an answer's entity tag.
#[must_use]
pub fn version_of(answer: &Answer) -> Option<u64> {
    answer.header("etag")?.trim_matches('"').parse().ok()
}

fn read(op: &PlatformOp, answer: &Answer) -> PlatformAnswer {
    match answer.status {
        StatusCode::OK | StatusCode::CREATED => read_found(op, answer),
        StatusCode::NOT_MODIFIED => PlatformAnswer::Unchanged,
        StatusCode::NOT_FOUND => PlatformAnswer::Missing,
        StatusCode::PRECONDITION_FAILED => PlatformAnswer::Conflict,
        StatusCode::TOO_MANY_REQUESTS => PlatformAnswer::Throttled,
        _ => PlatformAnswer::NoAnswer,
    }
}

fn read_found(op: &PlatformOp, answer: &Answer) -> PlatformAnswer {
    let found = match op {
        PlatformOp::Get { name, .. } | PlatformOp::Watch { name, .. } => {
            version_of(answer).map(|version| {
                PlatformAnswer::Object(Object {
                    name: name.clone(),
                    version,
                    value: answer.text(),
                })
            })
        }
        PlatformOp::Put { .. } | PlatformOp::Delete(_) => {
            Some(PlatformAnswer::Written(version_of(answer).unwrap_or(0)))
        }
        PlatformOp::List(_) => serde_json::from_slice(&answer.body)
            .ok()
            .map(PlatformAnswer::Names),
        PlatformOp::Fleet { .. } => serde_json::from_slice::<FleetList>(&answer.body)
            .ok()
            .map(PlatformAnswer::Fleet),
    };
    found.unwrap_or(PlatformAnswer::NoAnswer)
}
