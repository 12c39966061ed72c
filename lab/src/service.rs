//! A stand-in for a plain service that counts each run, by key.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use magpiemoor::daemon::engines::LoadAnswer;
use magpiemoor::http::{full, respond, respond_json};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use crate::serve::{Ask, serve};

/// How a service behaves.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Behaviour {
    /// Time from a call to its answer.
    pub answer_ms: u64,
    /// Calls that it runs at once; more are refused unrun.
    pub slots: u32,
    /// It runs calls and breaks the connection off before it answers.
    pub lose_answers: bool,
    /// It is leaving.
    pub leaving: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            answer_ms: 2,
            slots: 64,
            lose_answers: false,
            leaving: false,
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    behaviour: Behaviour,
    runs: BTreeMap<String, u32>,
    running: u32,
}

/// The service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    inner: Arc<Mutex<Inner>>,
}

impl Service {
    /// Makes a service.
    #[must_use]
    pub fn new(behaviour: Behaviour) -> Self {
        let service = Self::default();
        service.set(behaviour);
        service
    }

    /// Serves for as long as the future is polled.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |ask| {
            let service = self.clone();
            async move { service.answer(ask).await }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it behaves.
    pub fn set(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// How often each key was run.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    async fn answer(&self, ask: Ask) -> Response<Body> {
        match ask.segments().as_slice() {
            ["v1", "calls", service, call] => self.call(&ask, service, call).await,
            ["v1", "load"] => {
                let inner = self.lock();
                let leaving = inner.behaviour.leaving;
                let load = LoadAnswer {
                    running: inner.running,
                    leaving,
                    ..LoadAnswer::default()
                };
                respond_json(StatusCode::OK, &load)
            }
            ["control", "behaviour"] => {
                if let Ok(behaviour) = serde_json::from_slice(&ask.body) {
                    self.set(behaviour);
                }
                respond(StatusCode::OK, "text/plain", full(""))
            }
            ["control", "runs"] => respond_json(StatusCode::OK, &self.runs()),
            _ => respond(StatusCode::NOT_FOUND, "text/plain", full("")),
        }
    }

    async fn call(&self, ask: &Ask, service: &str, call: &str) -> Response<Body> {
        let key = ask.header("idempotency-key").unwrap_or_default().to_owned();
        let behaviour = {
            let mut inner = self.lock();
            if inner.running >= inner.behaviour.slots || inner.behaviour.leaving {
                let mut busy = respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", full(""));
                busy.headers_mut()
                    .insert("ran", gotham::hyper::header::HeaderValue::from_static("no"));
                return busy;
            }
            inner.running += 1;
            *inner.runs.entry(key.clone()).or_default() += 1;
            inner.behaviour.clone()
        };
        tokio::time::sleep(Duration::from_millis(behaviour.answer_ms)).await;
        let runs = {
            let mut inner = self.lock();
            inner.running -= 1;
            inner.runs.get(&key).copied().unwrap_or(0)
        };
        if behaviour.lose_answers {
            return respond(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                broken_body(),
            );
        }
        let echo = String::from_utf8_lossy(&ask.body).into_owned();
        let answer =
            json!({ "service": service, "call": call, "key": key, "runs": runs, "echo": echo });
        respond_json(StatusCode::OK, &answer)
    }
}

/// A body that breaks the connection off.
fn broken_body() -> Body {
    use http_body_util::StreamBody;
    let broken = std::io::Error::other("the answer is lost");
    Body::new(StreamBody::new(futures_util::stream::iter([Err(broken)])))
}
