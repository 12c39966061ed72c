//! What all parts of a gateway's shell share: settings, clock, log, metrics, connections, and the
//! state that traffic threads look at without asking the control thread.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};

use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Response, header};
use tokio::sync::{mpsc, watch};

use crate::clock::Monotonic;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::table::{CallerLimits, RoutingTable};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shell::decision_log::DecisionLog;
use crate::gateway::shell::dialect::{Dialect, Entry, ObjectKind};
use crate::gateway::shell::faults::Faults;
use crate::gateway::shell::headers;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::metrics::GatewayMetrics;
use crate::gateway::shell::store_cache::{CachedTable, StoreCache};
use crate::http::pool::Pool;
use crate::listen::DaemonError;
use crate::schema::{PackedTable, StateReply, StateRequest};

/// How many connections to one endpoint are kept at rest.
const KEPT_PER_ENDPOINT: usize = 8;

#[derive(Debug, Default)]
struct SharedState {
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
    /// Faults that cost no request by themselves.
    pub faults: Arc<Faults>,
    /// The way to the control thread.
    pub inputs: mpsc::Sender<Input>,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    pub(super) closing: watch::Sender<bool>,
    watching: Arc<[watch::Sender<bool>; ObjectKind::ALL.len()]>,
    active: watch::Sender<usize>,
    state: Arc<SharedState>,
    store_cache: Arc<RwLock<StoreCache>>,
}

/// Gives back the room that a body takes.
pub struct BodyReservation {
    state: Arc<SharedState>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.state
            .held_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl GatewayShared {
    /// Starts what all parts share; the decision log goes to `log`.
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
        log: impl Write + Send + 'static,
    ) -> Result<Self, DaemonError> {
        let log = DecisionLog::start(settings.box_id.clone(), log).map_err(DaemonError::Threads)?;
        let metrics = GatewayMetrics::new();
        Ok(Self {
            settings: Arc::new(settings),
            dialect,
            clock: Monotonic::start(),
            log: Arc::new(log),
            faults: Arc::new(Faults::new(metrics.set())),
            metrics: Arc::new(metrics),
            inputs,
            pool: Arc::new(Pool::new(KEPT_PER_ENDPOINT)),
            closing: watch::channel(false).0,
            watching: Arc::new(ObjectKind::ALL.map(|_| watch::channel(false).0)),
            active: watch::channel(0).0,
            state: Arc::default(),
            store_cache: Arc::default(),
        })
    }

    /// Writes a record and counts what it says.
    pub fn record(&self, record: &Record) {
        self.metrics.on_record(record);
        self.log.write(record);
    }

    /// Hands something to the control thread, waiting if it is busy.
    pub async fn send(&self, input: Input) {
        // It fails only when the control thread has ended, and then the process is about to.
        let _ = self.inputs.send(input).await;
    }

    /// Whether callers can be answered.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Whether the process is about to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state.is_stopping.load(Ordering::Relaxed)
    }

    /// Notes that the process is about to end.
    pub fn begin_stopping(&self) {
        self.state.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Has connections at rest closed.
    pub fn close_idle_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Begins or ceases to watch a kind of objects of the platform's store.
    pub fn set_watching(&self, kind: ObjectKind, is_watching: bool) {
        self.watching[kind as usize].send_replace(is_watching);
    }

    /// Notes how many requests are served.
    pub fn set_active(&self, requests: usize) {
        self.metrics
            .requests
            .active
            .set(i64::try_from(requests).unwrap_or(i64::MAX));
        self.active.send_if_modified(|active| {
            let has_changed = *active != requests;
            *active = requests;
            has_changed
        });
    }

    /// How many requests are served.
    #[must_use]
    pub fn active(&self) -> usize {
        *self.active.borrow()
    }

    /// Waits until no request is served.
    pub async fn until_idle(&self) {
        let mut active = self.active.subscribe();
        // It fails only when the sender is gone, and this holds one.
        let _ = active.wait_for(|requests| *requests == 0).await;
    }

    /// Waits until this box watches a kind of objects of the platform's store; returns whether that
    /// took a while.
    pub async fn until_watching(&self, kind: ObjectKind) -> bool {
        let mut watching = self.watching[kind as usize].subscribe();
        if *watching.borrow() {
            return false;
        }
        // It fails only when the sender is gone, and this holds one.
        let _ = watching.wait_for(|is_watching| *is_watching).await;
        true
    }

    /// Bounds on requests, once there is a configuration.
    #[must_use]
    pub fn limits(&self) -> Option<CallerLimits> {
        let table = self.state.table.read();
        let table = table.unwrap_or_else(std::sync::PoisonError::into_inner);
        table.as_ref().map(|t| t.limits())
    }

    /// Notes the table in force.
    pub fn set_table(&self, table: Option<Arc<RoutingTable>>, is_ready: bool) {
        *self
            .state
            .table
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = table;
        self.state.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Reserves the room that a body may take, if there is any.
    #[must_use]
    pub fn reserve_body_memory(&self, headers: &HeaderMap, most: usize) -> Option<BodyReservation> {
        let length = headers::text(headers, header::CONTENT_LENGTH).and_then(|l| l.parse().ok());
        let has_body = headers.contains_key(header::TRANSFER_ENCODING);
        let bytes: usize = length.unwrap_or(if has_body { most } else { 0 }).min(most);
        let state = Arc::clone(&self.state);
        let before = state.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let room = BodyReservation { state, bytes };
        (before + bytes <= self.settings.held_bytes).then_some(room)
    }

    /// The answer to a request for which there is no room; it has not run.
    #[must_use]
    pub fn refuse_for_memory(&self, id: &str) -> Response<Body> {
        self.refusal(id, Refusal::no_room())
    }

    /// The final answer to a request that no endpoint answered.
    #[must_use]
    pub fn refusal(&self, id: &str, refusal: Refusal) -> Response<Body> {
        self.metrics.requests.refused.inc();
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

    /// Keeps a configuration for peers; returns whether it is newer than the one that was kept.
    #[must_use]
    pub fn cache_table(&self, table: CachedTable) -> bool {
        let mut cache = self.write_cache();
        let kept = cache.table.as_ref();
        let is_newer = kept.is_none_or(|kept| kept.version < table.version);
        if is_newer {
            cache.table = Some(table);
        }
        is_newer
    }

    /// Keeps entries of the list of endpoints for peers; returns the revision at which the list
    /// changed last, if any of these entries has changed.
    #[must_use]
    pub fn cache_endpoints(&self, entries: &[Entry], is_whole: bool, at: u64) -> Option<u64> {
        let mut cache = self.write_cache();
        let has_changed = cache.apply(entries, is_whole, at);
        has_changed.then_some(cache.endpoints_at)
    }

    /// What a peer asks for.
    ///
    /// # Errors
    ///
    /// If the list of endpoints is too long to be packed.
    pub fn state_for(&self, wanted: &StateRequest) -> std::io::Result<StateReply> {
        let cache = self
            .store_cache
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let newer = cache
            .table
            .as_ref()
            .filter(|kept| kept.version.0 > wanted.table_after);
        let (endpoints, is_whole) = cache.packed_since(wanted.endpoints_after)?;
        Ok(StateReply {
            is_busy: false,
            table: newer.map(|kept| PackedTable {
                age_ms: u32::try_from(kept.age().as_millis()).unwrap_or(u32::MAX),
                text_bytes: kept.text.text_bytes,
                packed: kept.text.bytes.to_vec(),
            }),
            endpoints,
            endpoints_at: cache.endpoints_at,
            is_whole,
        })
    }

    fn write_cache(&self) -> std::sync::RwLockWriteGuard<'_, StoreCache> {
        self.store_cache
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
