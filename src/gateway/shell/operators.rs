//! HTTP handler for the platform and operators: serves the readiness check and the metrics, and
//! answers 404 to any other path.

use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use gotham::anyhow;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::hyper::{StatusCode, Uri};
use gotham::state::{FromState, State};

use crate::gateway::shell::GatewayShared;
use crate::http;

const METRICS_PATH: &str = "/metrics";

/// Handler of the readiness check and the metrics.
#[derive(Clone)]
pub struct Operators {
    shared: Arc<AssertUnwindSafe<GatewayShared>>,
}

impl Operators {
    /// Creates the handler, which serves both listeners; its clones share the gateway's resources.
    #[must_use]
    pub fn new(shared: GatewayShared) -> Self {
        Self {
            shared: Arc::new(AssertUnwindSafe(shared)),
        }
    }
}

impl NewHandler for Operators {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Operators {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let path = Uri::borrow_from(&state).path().to_owned();
            let response = if path == self.shared.dialect.ready_path() {
                let status = if self.shared.is_ready() {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                http::respond(status, "text/plain", http::full(""))
            } else if path == METRICS_PATH {
                self.shared.metrics.set().respond()
            } else {
                http::respond(StatusCode::NOT_FOUND, "text/plain", http::full(""))
            };
            Ok((state, response))
        })
    }
}
