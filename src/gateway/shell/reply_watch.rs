//! State of a caller's request until its answer is complete, for the record of one that ends
//! without: what holds the request, and by which table it was admitted.
//!
//! The caller's handler and the exchange's task share it. An end that the caller itself has caused
//! is recorded by the dispatcher as `caller_gone`, not here.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use crate::gateway::dispatch::record::{EndedBy, Record, RequestHolder};
use crate::gateway::shell::GatewayShared;

#[derive(Clone, Copy, Debug)]
struct Progress {
    holder: RequestHolder,
    table: Option<u64>,
}

/// Handle to the state of one request; clones refer to the same state.
#[derive(Clone)]
pub struct ReplyWatch {
    shared: GatewayShared,
    id: Arc<str>,
    started: Instant,
    progress: Arc<Mutex<Progress>>,
}

impl ReplyWatch {
    /// Watches a request whose head has been read.
    #[must_use]
    pub fn new(shared: GatewayShared, id: &str) -> Self {
        let progress = Progress {
            holder: RequestHolder::Body,
            table: shared.table_version(),
        };
        Self {
            shared,
            id: id.into(),
            started: Instant::now(),
            progress: Arc::new(Mutex::new(progress)),
        }
    }

    /// When the head of the request had been read.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Notes that the request has been read and is handed to the dispatcher.
    pub fn on_admitted(&self) {
        let table = self.shared.table_version();
        let mut progress = self.lock();
        *progress = Progress {
            holder: RequestHolder::Dispatcher,
            table,
        };
    }

    /// Notes what holds the request from now on; a stream that has begun holds it until its end.
    pub fn set_holder(&self, holder: RequestHolder) {
        let mut progress = self.lock();
        if progress.holder != RequestHolder::Stream {
            progress.holder = holder;
        }
    }

    /// Records that the request ends without a complete answer.
    pub fn record_unanswered(&self, ended_by: EndedBy) {
        let Progress { holder, table } = *self.lock();
        self.shared.record(&Record::Unanswered {
            request: self.id.to_string(),
            ended_by,
            holder,
            after_ms: self.started.elapsed().as_millis() as u64,
            table,
            table_in_force: self.shared.table_version(),
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
