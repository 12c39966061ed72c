//! The platform's object API as the product's own face speaks it: JSON over HTTP with versions,
//! conditional updates and watches. docs/PROTOCOLS.md has its paths and statuses.
//!
//! Used by the daemon, which asks each call once and leaves the rest to the node, and by the
//! operators' commands, which try again.

use std::time::Duration;

use gotham::hyper::{Method, StatusCode};

use crate::http::{Answer, Call, Client, HttpError};
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::node::event::{Object, PlatformAnswer};
use crate::schema::FleetList;

/// How long a watch stays open, as asked of the platform, in milliseconds.
pub const WATCH_MS: u64 = 10_000;

/// A way to the platform's objects.
#[derive(Clone, Debug)]
pub struct ObjectApi {
    address: String,
    client: Client,
}

impl ObjectApi {
    /// Names the platform; no connection is made yet.
    #[must_use]
    pub fn new(address: &str, client: Client) -> Self {
        Self {
            address: address.to_owned(),
            client,
        }
    }

    /// The platform's address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Makes a call once.
    ///
    /// # Errors
    ///
    /// That there was no whole answer; a write may have taken effect all the same.
    pub async fn send(&self, op: &PlatformOp, limit: Duration) -> Result<Answer, HttpError> {
        let path = path_of(op);
        let call = match op {
            PlatformOp::Get {
                known: Some(version),
                ..
            } => self
                .get(&path)
                .header("if-none-match", entity_tag(*version)),
            PlatformOp::Fleet { known, .. } => {
                self.get(&path).header("if-none-match", entity_tag(*known))
            }
            PlatformOp::Get { known: None, .. }
            | PlatformOp::Watch { .. }
            | PlatformOp::List(_) => self.get(&path),
            PlatformOp::Delete(_) => Call::new(Method::DELETE, &self.address, &path),
            PlatformOp::Put { expect, value, .. } => {
                let call = Call::new(Method::PUT, &self.address, &path).body(value.clone());
                match expect {
                    Expect::Absent => call.header("if-none-match", "*"),
                    Expect::Version(version) => call.header("if-match", entity_tag(*version)),
                }
            }
        };
        self.client.send(call, limit).await
    }

    fn get<'a>(&'a self, path: &'a str) -> Call<'a> {
        Call::new(Method::GET, &self.address, path)
    }
}

fn entity_tag(version: u64) -> String {
    format!("\"{version}\"")
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

fn object_path(name: &str) -> String {
    format!("/v1/objects/{name}")
}

/// Reads the version of an object from an answer's entity tag.
#[must_use]
pub fn version_of(answer: &Answer) -> Option<u64> {
    answer.header("etag")?.trim_matches('"').parse().ok()
}

/// Reads the answer to a call; what can't be read counts as none.
#[must_use]
pub fn read(op: &PlatformOp, answer: &Answer) -> PlatformAnswer {
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
