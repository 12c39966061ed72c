//! A stand-in for a plain service that counts each run, by key.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use magpiemoor::http::{full, respond, respond_json};
use magpiemoor::keyed::daemon::engines::LoadAnswer;
use serde_json::json;
use tokio::net::TcpListener;

use crate::keyed::serve::{Ask, serve};

/// Time from a call to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(2);
/// Calls that it runs at once; more are refused unrun.
const SLOTS: u32 = 64;

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<String, u32>,
    running: u32,
}

/// The service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    inner: Arc<Mutex<Inner>>,
}

impl Service {
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

    /// How often each key was run.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    async fn answer(&self, ask: Ask) -> Response<Body> {
        match ask.segments().as_slice() {
            ["v1", "calls", service, call] => self.call(&ask, service, call).await,
            ["v1", "load"] => {
                let load = LoadAnswer {
                    running: self.lock().running,
                    ..LoadAnswer::default()
                };
                respond_json(StatusCode::OK, &load)
            }
            ["control", "runs"] => respond_json(StatusCode::OK, &self.runs()),
            _ => respond(StatusCode::NOT_FOUND, "text/plain", full("")),
        }
    }

    async fn call(&self, ask: &Ask, service: &str, call: &str) -> Response<Body> {
        let key = ask.header("idempotency-key").unwrap_or_default().to_owned();
        {
            let mut inner = self.lock();
            if inner.running >= SLOTS {
                let mut busy = respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", full(""));
                busy.headers_mut()
                    .insert("ran", gotham::hyper::header::HeaderValue::from_static("no"));
                return busy;
            }
            inner.running += 1;
            *inner.runs.entry(key.clone()).or_default() += 1;
        }
        tokio::time::sleep(ANSWER_TIME).await;
        let runs = {
            let mut inner = self.lock();
            inner.running -= 1;
            inner.runs.get(&key).copied().unwrap_or(0)
        };
        let echo = String::from_utf8_lossy(&ask.body).into_owned();
        let answer =
            json!({ "service": service, "call": call, "key": key, "runs": runs, "echo": echo });
        respond_json(StatusCode::OK, &answer)
    }
}
