//! Resources shared by all parts of a gateway's shell: settings, clock, log, metrics, connections,
//! and copies of the dispatcher's state that traffic threads read without calling the control
//! thread.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Response, header};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::clock::Monotonic;
use crate::exit::DaemonError;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::{Refusal, RefusalReason};
use crate::gateway::dispatch::table::{CallerLimits, RoutingTable};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shell::decision_log::DecisionLog;
use crate::gateway::shell::dialect::{Dialect, Entry, ObjectKind};
use crate::gateway::shell::faults::Faults;
use crate::gateway::shell::headers;
use crate::gateway::shell::held_memory::{HeldMemory, Reservation};
use crate::gateway::shell::input::Input;
use crate::gateway::shell::metrics::GatewayMetrics;
use crate::gateway::shell::relay::MAX_TUNNELS;
use crate::gateway::shell::store_cache::{CachedTable, StoreCache};
use crate::gateway::shell::watch_phase::WatchPhase;
use crate::http::limits::{ConnectionLimits, LimitsInForce};
use crate::http::pool::Pool;
use crate::http::server::HEAD_BYTES;
use crate::schema::{PackedTable, StateReply, StateRequest};

/// Limits on callers' connections while there is no configuration.
const UNCONFIGURED_LIMITS: ConnectionLimits = ConnectionLimits {
    idle: Duration::from_secs(15),
    head_bytes: HEAD_BYTES,
};
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;

#[derive(Debug, Default)]
struct SharedState {
    table: RwLock<Option<Arc<RoutingTable>>>,
    is_ready: AtomicBool,
    is_stopping: AtomicBool,
}

/// Handle to the shared resources; clones refer to the same state.
#[derive(Clone)]
pub struct GatewayShared {
    /// Settings that passed validation.
    pub settings: Arc<GatewaySettings>,
    /// Translation of the platform's protocols.
    pub dialect: Arc<dyn Dialect>,
    /// Monotonic clock of this process.
    pub clock: Monotonic,
    /// Log of decisions, one JSON line per record.
    pub log: Arc<DecisionLog>,
    /// Metrics served on the operators' listeners.
    pub metrics: Arc<GatewayMetrics>,
    /// Counters and rate-limited log lines of faults that fail no request by themselves.
    pub faults: Arc<Faults>,
    /// Channel to the control thread.
    pub inputs: mpsc::Sender<Input>,
    /// Pool of connections to endpoints.
    pub pool: Arc<Pool>,
    /// Memory for the bodies of requests and answers, and for events.
    pub memory: HeldMemory,
    /// Limits on callers' connections by the routing tables in force so far.
    pub connection_limits: LimitsInForce,
    /// Tunnels that this box may still open for others.
    pub(super) tunnels: Arc<Semaphore>,
    pub(super) closing: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    /// Whether requests whose body is still on its way are refused.
    ends_reading: watch::Sender<bool>,
    /// Whether the process exits at once.
    exiting: watch::Sender<bool>,
    watching: Arc<[watch::Sender<bool>; ObjectKind::ALL.len()]>,
    /// Ends of this box's watches of the platform's store.
    pub(super) watch_phase: Arc<WatchPhase>,
    active: watch::Sender<usize>,
    /// Requests that were read in part, and parts of answers that are not written yet.
    open: Arc<watch::Sender<usize>>,
    state: Arc<SharedState>,
    store_cache: Arc<RwLock<StoreCache>>,
}

/// The body of an answer that is being written to its caller, for which a stop waits.
struct UnwrittenBody {
    bytes: Bytes,
    _open: OpenRequest,
}

impl AsRef<[u8]> for UnwrittenBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A request that was read in part, or whose answer is not written yet; a stop waits until it is
/// dropped.
pub struct OpenRequest {
    open: Arc<watch::Sender<usize>>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open.send_modify(|open| *open -= 1);
    }
}

impl GatewayShared {
    /// Creates the shared resources and starts the writer thread of the decision log, which writes
    /// to `log`.
    ///
    /// # Errors
    ///
    /// If the writer thread of the log can't be started.
    ///
    /// # Panics
    ///
    /// If two metrics have the same name, which is a bug in this program.
    pub fn start(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        inputs: mpsc::Sender<Input>,
        log: impl Write + Send + 'static,
    ) -> Result<Self, DaemonError> {
        let log = DecisionLog::start(settings.box_id.clone(), log).map_err(DaemonError::Threads)?;
        let metrics = GatewayMetrics::new();
        Ok(Self {
            memory: HeldMemory::new(settings.held_bytes),
            settings: Arc::new(settings),
            dialect,
            clock: Monotonic::start(),
            log: Arc::new(log),
            faults: Arc::new(Faults::new(metrics.set())),
            metrics: Arc::new(metrics),
            inputs,
            pool: Arc::new(Pool::new(MAX_IDLE_PER_ENDPOINT)),
            connection_limits: LimitsInForce::new(UNCONFIGURED_LIMITS),
            tunnels: Arc::new(Semaphore::new(MAX_TUNNELS as usize)),
            closing: watch::channel(false).0,
            stopping: watch::channel(false).0,
            ends_reading: watch::channel(false).0,
            exiting: watch::channel(false).0,
            watching: Arc::new(ObjectKind::ALL.map(|_| watch::channel(false).0)),
            watch_phase: Arc::new(WatchPhase::default()),
            active: watch::channel(0).0,
            open: Arc::new(watch::channel(0).0),
            state: Arc::default(),
            store_cache: Arc::default(),
        })
    }

    /// Writes a record to the decision log and updates the metrics derived from it.
    pub fn record(&self, record: &Record) {
        self.metrics.on_record(record);
        self.log.write(record);
    }

    /// Sends an input to the control thread; waits while its queue is full.
    pub async fn send(&self, input: Input) {
        // Sending fails only after the control thread has ended, and then the process exits.
        let _ = self.inputs.send(input).await;
    }

    /// Whether this box is ready for callers' requests; false while it stops.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Whether the process is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state.is_stopping.load(Ordering::Relaxed)
    }

    /// Marks the process as stopping, so that [`Self::is_ready`] returns false from now on.
    pub fn begin_stopping(&self) {
        self.state.is_stopping.store(true, Ordering::Relaxed);
        self.stopping.send_replace(true);
    }

    /// Stops accepting connections and closes the idle incoming ones.
    pub fn close_idle_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Starts or stops watching one kind of objects in the platform's store.
    pub fn set_watching(&self, kind: ObjectKind, is_watching: bool) {
        self.watching[kind as usize].send_replace(is_watching);
    }

    /// Sets the number of requests in progress.
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

    /// Number of requests in progress.
    #[must_use]
    pub fn active(&self) -> usize {
        *self.active.borrow()
    }

    /// Registers a request whose head was read.
    #[must_use]
    pub fn open_request(&self) -> OpenRequest {
        self.open.send_modify(|open| *open += 1);
        OpenRequest {
            open: Arc::clone(&self.open),
        }
    }

    /// Waits until no request is in progress, neither with the dispatcher nor on its way to it.
    pub async fn until_idle(&self) {
        let (mut open, mut active) = (self.open.subscribe(), self.active.subscribe());
        loop {
            // These fail only if the sender was dropped, and `self` holds it.
            let _ = open.wait_for(|requests| *requests == 0).await;
            let _ = active.wait_for(|requests| *requests == 0).await;
            if *open.borrow() == 0 {
                return;
            }
        }
    }

    /// Waits until the process is stopping.
    pub async fn until_stopping(&self) {
        wait_until_set(&self.stopping).await;
    }

    /// Refuses requests whose body is still on its way.
    pub fn end_reading(&self) {
        self.ends_reading.send_replace(true);
    }

    /// Waits until requests whose body is still on its way are refused.
    pub async fn until_reading_ends(&self) {
        wait_until_set(&self.ends_reading).await;
    }

    /// Answers all requests that have no answer yet, since the process exits.
    pub fn begin_exiting(&self) {
        self.exiting.send_replace(true);
    }

    /// Whether the process exits.
    #[must_use]
    pub fn is_exiting(&self) -> bool {
        *self.exiting.borrow()
    }

    /// Waits until the process exits.
    pub async fn until_exiting(&self) {
        wait_until_set(&self.exiting).await;
    }

    /// Waits until this box forwards no tunnel.
    pub async fn until_no_tunnels(&self) {
        // Fails only if the semaphore was closed, which nothing does.
        let _ = self.tunnels.acquire_many(MAX_TUNNELS).await;
    }

    /// Waits until this box watches one kind of objects in the platform's store; returns whether it
    /// had to wait.
    pub async fn until_watching(&self, kind: ObjectKind) -> bool {
        let mut watching = self.watching[kind as usize].subscribe();
        if *watching.borrow() {
            return false;
        }
        // Fails only if the sender was dropped, and `self` holds it.
        let _ = watching.wait_for(|is_watching| *is_watching).await;
        true
    }

    /// Limits on callers' requests; `None` before the first configuration.
    #[must_use]
    pub fn limits(&self) -> Option<CallerLimits> {
        let table = self.state.table.read();
        let table = table.unwrap_or_else(std::sync::PoisonError::into_inner);
        table.as_ref().map(|t| t.limits())
    }

    /// Version of the routing table in force; `None` before the first configuration.
    #[must_use]
    pub fn table_version(&self) -> Option<u64> {
        let table = self.state.table.read();
        let table = table.unwrap_or_else(std::sync::PoisonError::into_inner);
        table.as_ref().map(|t| t.version().0)
    }

    /// Sets the routing table in force and whether the dispatcher is ready.
    pub fn set_table(&self, table: Option<Arc<RoutingTable>>, is_ready: bool) {
        if let Some(table) = &table {
            let CallerLimits {
                idle, head_bytes, ..
            } = table.limits();
            let limits = ConnectionLimits { idle, head_bytes };
            self.connection_limits.set(limits, Instant::now());
        }
        *self
            .state
            .table
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = table;
        self.state.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Reserves memory for a request body: its `Content-Length`, or `max_bytes` if it is sent in
    /// chunks, and never more than `max_bytes`. Returns `None` if there is not enough.
    #[must_use]
    pub fn reserve_body_memory(
        &self,
        headers: &HeaderMap,
        max_bytes: usize,
    ) -> Option<Reservation> {
        let length = headers::text(headers, header::CONTENT_LENGTH).and_then(|l| l.parse().ok());
        let has_body = headers.contains_key(header::TRANSFER_ENCODING);
        let bytes: usize = length.unwrap_or(if has_body { max_bytes } else { 0 });
        self.memory.reserve(bytes.min(max_bytes))
    }

    /// Counts an event towards the memory limit, and has a stop wait until it is written: for as long
    /// as the returned bytes exist. Returns `None` if there is no memory for it.
    #[must_use]
    pub fn hold_event(&self, bytes: Bytes) -> Option<Bytes> {
        let bytes = self.memory.hold(bytes)?;
        Some(self.until_written(bytes))
    }

    /// Has a stop wait until a body is written to its caller: for as long as the returned bytes
    /// exist.
    #[must_use]
    pub fn until_written(&self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(UnwrittenBody {
            bytes,
            _open: self.open_request(),
        })
    }

    /// Returns the answer to a request whose body does not fit into the memory limit; the request
    /// has not run.
    #[must_use]
    pub fn refuse_for_memory(&self, id: &str) -> Response<Body> {
        self.refusal(id, Refusal::no_room())
    }

    /// Refuses a request whose body was still on its way when the time of a stop was over; it has not
    /// run.
    #[must_use]
    pub fn refuse_unread(&self, id: &str, read_since: Instant) -> Response<Body> {
        let refusal = Refusal::new(RefusalReason::StoppingNotRun);
        self.record(&Record::Refused {
            request: id.to_owned(),
            reason: refusal.reason,
            after_ms: read_since.elapsed().as_millis() as u64,
            attempts: 0,
            fault: None,
            tier: None,
            waited_ms: None,
        });
        self.refusal(id, refusal)
    }

    /// Returns the final answer to a request that is refused, and counts it.
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

    /// Adds `Connection: close` to a response while the process is stopping.
    pub fn mark_closing(&self, response: &mut Response<Body>) {
        if self.is_stopping() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }

    /// Caches a configuration for peers; returns whether it is newer than the cached one.
    #[must_use]
    pub fn cache_table(&self, table: CachedTable) -> bool {
        let mut cache = self.write_cache();
        let cached = cache.table.as_ref();
        let is_newer = cached.is_none_or(|cached| cached.version < table.version);
        if is_newer {
            cache.table = Some(table);
        }
        is_newer
    }

    /// Caches entries of the endpoint list for peers; returns the store revision at which the list
    /// changed last, or `None` if none of these entries has changed.
    #[must_use]
    pub fn cache_endpoints(&self, entries: &[Entry], is_whole: bool, at: u64) -> Option<u64> {
        let mut cache = self.write_cache();
        let has_changed = cache.apply(entries, is_whole, at);
        has_changed.then_some(cache.endpoints_at)
    }

    /// Returns the cached table and endpoint entries that are newer than a peer's.
    ///
    /// # Errors
    ///
    /// If the endpoint list is too long to be packed.
    pub fn state_for(&self, wanted: &StateRequest) -> std::io::Result<StateReply> {
        let cache = self
            .store_cache
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let newer = cache
            .table
            .as_ref()
            .filter(|cached| cached.version.0 > wanted.table_after);
        let (endpoints, is_whole) = cache.packed_since(wanted.endpoints_after)?;
        Ok(StateReply {
            is_busy: false,
            table: newer.map(|cached| PackedTable {
                age_ms: u32::try_from(cached.age().as_millis()).unwrap_or(u32::MAX),
                text_bytes: cached.text.text_bytes,
                packed: cached.text.bytes.to_vec(),
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

/// Waits until a flag is set.
async fn wait_until_set(flag: &watch::Sender<bool>) {
    // Fails only if the sender was dropped, and the caller holds it.
    let _ = flag.subscribe().wait_for(|is_set| *is_set).await;
}
