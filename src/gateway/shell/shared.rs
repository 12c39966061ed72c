//! What all parts of a gateway share: settings, clock, log, metrics, connections, and how it stands.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};

use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Response, header};
use tokio::sync::{mpsc, watch};

use crate::clock::Monotonic;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::table::{CallerLimits, RoutingTable, TableVersion};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shell::decision_log::DecisionLog;
use crate::gateway::shell::dialect::{Dialect, Entry};
use crate::gateway::shell::headers;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::metrics::GatewayMetrics;
use crate::gateway::shell::store_cache::Known;
use crate::http::pool::Pool;
use crate::listen::DaemonError;
use crate::schema::{StateReply, StateRequest};

/// How many connections to one endpoint are kept at rest. Chosen, not measured.
const KEPT_PER_ENDPOINT: usize = 8;

#[derive(Debug, Default)]
struct Standing {
    table: RwLock<Option<Arc<RoutingTable>>>,
    is_ready: AtomicBool,
    is_stopping: AtomicBool,
    held_bytes: AtomicUsize,
}

/// What all parts of a gateway share.
#[derive(Clone)]
pub struct GatewayShared {
    /// The checked settings.
    pub settings: Arc<GatewaySettings>,
    /// How the outside is spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// This box's clock.
    pub clock: Monotonic,
    /// The decision log.
    pub log: Arc<DecisionLog>,
    /// The metrics.
    pub metrics: Arc<GatewayMetrics>,
    /// The way to the control thread.
    pub inputs: mpsc::Sender<Input>,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    pub(super) closing: watch::Sender<bool>,
    reading: watch::Sender<bool>,
    standing: Arc<Standing>,
    read: Arc<RwLock<Known>>,
}

/// Gives back the room that a body takes.
pub struct BodyRoom {
    standing: Arc<Standing>,
    bytes: usize,
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.standing
            .held_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl GatewayShared {
    /// Starts what all parts share.
    ///
    /// # Errors
    ///
    /// If the log's thread can't be started.
    ///
    /// # Panics
    ///
    /// If two metrics have the same name, which is a mistake in this program.
    pub fn start(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        inputs: mpsc::Sender<Input>,
    ) -> Result<Self, DaemonError> {
        let log = DecisionLog::start(settings.box_id.clone(), std::io::stdout())
            .map_err(DaemonError::Threads)?;
        Ok(Self {
            settings: Arc::new(settings),
            dialect,
            clock: Monotonic::start(),
            log: Arc::new(log),
            metrics: Arc::new(GatewayMetrics::new()),
            inputs,
            pool: Arc::new(Pool::new(KEPT_PER_ENDPOINT)),
            closing: watch::channel(false).0,
            reading: watch::channel(false).0,
            standing: Arc::default(),
            read: Arc::default(),
        })
    }

    /// Hands something to the control thread, waiting if it is busy.
    pub async fn tell(&self, input: Input) {
        // It fails only when the control thread has ended, and then the process is about to.
        let _ = self.inputs.send(input).await;
    }

    /// Whether callers can be answered.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.standing.is_ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Whether the process is about to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.standing.is_stopping.load(Ordering::Relaxed)
    }

    /// Notes that the process is about to end.
    pub fn begin_stopping(&self) {
        self.standing.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Has connections at rest closed.
    pub fn close_resting(&self) {
        self.closing.send_replace(true);
    }

    /// Begins or ceases to read the platform's store.
    pub fn set_watching_store(&self, is_watching: bool) {
        self.reading.send_replace(is_watching);
    }

    /// Waits until this box reads the platform's store; returns whether that took a while.
    pub async fn until_watching_store(&self) -> bool {
        let mut reading = self.reading.subscribe();
        if *reading.borrow() {
            return false;
        }
        // It fails only when the sender is gone, and this holds one.
        let _ = reading.wait_for(|is_watching| *is_watching).await;
        true
    }

    /// Bounds on requests, once there is a configuration.
    #[must_use]
    pub fn limits(&self) -> Option<CallerLimits> {
        let table = self.standing.table.read();
        let table = table.unwrap_or_else(std::sync::PoisonError::into_inner);
        table.as_ref().map(|t| t.limits())
    }

    /// Notes the table in force.
    pub fn set_table(&self, table: Option<Arc<RoutingTable>>, is_ready: bool) {
        *self
            .standing
            .table
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = table;
        self.standing.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Reserves the room that a body may take, if there is any.
    #[must_use]
    pub fn room_for_body(&self, headers: &HeaderMap, most: usize) -> Option<BodyRoom> {
        let length = headers::text(headers, header::CONTENT_LENGTH).and_then(|l| l.parse().ok());
        let has_body = headers.contains_key(header::TRANSFER_ENCODING);
        let bytes: usize = length.unwrap_or(if has_body { most } else { 0 }).min(most);
        let standing = Arc::clone(&self.standing);
        let before = standing.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let room = BodyRoom { standing, bytes };
        (before + bytes <= self.settings.held_bytes).then_some(room)
    }

    /// The answer to a request for which there is no room; it has not run.
    #[must_use]
    pub fn no_room(&self, id: &str) -> Response<Body> {
        self.refusal(id, Refusal::no_room())
    }

    /// The final answer to a request that no endpoint answered.
    #[must_use]
    pub fn refusal(&self, id: &str, refusal: Refusal) -> Response<Body> {
        self.metrics.refused.inc();
        let (status, headers) = self.dialect.refusal(id, refusal);
        let mut response = Response::new(crate::http::full(""));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        self.mark_closing(&mut response);
        response
    }

    /// Tells the caller that this connection takes no further request, if the process is about to
    /// end.
    pub fn mark_closing(&self, response: &mut Response<Body>) {
        if self.is_stopping() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }

    /// Keeps a configuration for peers, unless a newer one is kept.
    pub fn keep_table(&self, entry: &Entry, version: TableVersion) {
        let mut read = self.write_read();
        let is_newer = read.table.as_ref().is_none_or(|(kept, _)| *kept < version);
        if let (true, Some(text)) = (is_newer, &entry.text) {
            read.table = Some((version, text.clone()));
        }
    }

    /// Keeps entries of the list of endpoints for peers; returns the revision at which the list
    /// changed last, if these entries are news.
    #[must_use]
    pub fn keep_endpoints(&self, entries: &[Entry], is_whole: bool, at: u64) -> Option<u64> {
        let mut read = self.write_read();
        let is_news = read.take(entries, is_whole, at);
        is_news.then_some(read.endpoints_at)
    }

    /// What a peer asks for.
    #[must_use]
    pub fn state_for(&self, wanted: &StateRequest) -> StateReply {
        let read = self
            .read
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let newer = read
            .table
            .as_ref()
            .filter(|(version, _)| version.0 > wanted.table_after);
        let (endpoints, is_whole) = read.since(wanted.endpoints_after);
        StateReply {
            table: newer.map(|(_, text)| text.clone()),
            endpoints,
            endpoints_at: read.endpoints_at,
            is_whole,
        }
    }

    fn write_read(&self) -> std::sync::RwLockWriteGuard<'_, Known> {
        self.read
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
