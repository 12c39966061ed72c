//! The shell around [`crate::dispatch`]: sockets, threads and signals of a gateway box.
//!
//! One control thread owns the dispatcher and is the only one that touches it; traffic threads
//! move bytes. What differs between the outsides that a gateway can stand between is behind
//! [`dialect::Dialect`].

pub mod control;
pub mod decisions;
pub mod dialect;
pub mod events;
pub mod exchange;
pub mod front;
pub mod headers;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod pool;
pub mod probes;
pub mod settings;
pub mod stop;
pub mod store;
pub mod watcher;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};

use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Response, header};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::clock::{self, Monotonic};
use crate::daemon::DaemonError;
use crate::dispatch::action::{Refusal, RefusalReason};
use crate::dispatch::record::Record;
use crate::dispatch::table::{CallerLimits, RoutingTable, TableVersion};
use crate::dispatch::{DispatchConfig, Dispatcher};
use crate::http::ServeOptions;
use crate::schema::{Incarnation, StateEntry, StateReply, StateRequest};
use control::{Control, Input};
use decisions::DecisionLog;
use dialect::{Dialect, Entry, Source};
use metrics::GatewayMetrics;
use pool::Pool;
use settings::GatewaySettings;

/// How many inputs may wait for the control thread before senders wait.
const INPUT_CAPACITY: usize = 16_384;
/// When to come back to a box that holds too much.
const RETRY_FULL: std::time::Duration = std::time::Duration::from_millis(500);
/// How long a connection may rest before there is a configuration.
const UNCONFIGURED_IDLE: std::time::Duration = std::time::Duration::from_secs(15);

/// What was read from the platform, as it was read.
#[derive(Debug, Default)]
struct Read {
    table: Option<(TableVersion, String)>,
    endpoints: BTreeMap<String, String>,
    /// The revision at which the list of endpoints changed last.
    endpoints_at: u64,
    /// What has changed, the newest last.
    changes: VecDeque<(u64, String)>,
    /// The revision after which all changes are kept.
    changes_after: u64,
}

/// How many changes of the list of endpoints are kept for peers.
const CHANGES_KEPT: usize = 2_048;

impl Read {
    /// Takes entries in; returns whether any of them is news.
    fn take(&mut self, entries: &[Entry], is_whole: bool, at: u64) -> bool {
        let mut changed: Vec<&str> = Vec::new();
        for entry in entries {
            if self.endpoints.get(&entry.name) != entry.text.as_ref() {
                changed.push(&entry.name);
            }
        }
        let mut gone: Vec<String> = Vec::new();
        if is_whole {
            let is_listed = |name: &String| entries.iter().any(|e| e.name == *name);
            gone = self
                .endpoints
                .keys()
                .filter(|n| !is_listed(n))
                .cloned()
                .collect();
        }
        let is_first = self.endpoints_at == 0;
        if changed.is_empty() && gone.is_empty() && !is_first {
            return false;
        }
        let names = changed.into_iter().map(str::to_owned).chain(gone.clone());
        self.changes.extend(names.map(|name| (at, name)));
        for entry in entries {
            match &entry.text {
                Some(text) => self.endpoints.insert(entry.name.clone(), text.clone()),
                None => self.endpoints.remove(&entry.name),
            };
        }
        self.endpoints.retain(|name, _| !gone.contains(name));
        self.endpoints_at = self.endpoints_at.max(at);
        if is_first {
            self.changes_after = at;
        }
        while self.changes.len() > CHANGES_KEPT {
            if let Some((at, _)) = self.changes.pop_front() {
                self.changes_after = at;
            }
        }
        true
    }

    /// What has changed after a revision, or all there is; and which of the two.
    fn since(&self, after: u64) -> (Vec<StateEntry>, bool) {
        if after >= self.endpoints_at {
            return (Vec::new(), false);
        }
        if after < self.changes_after {
            let all = self.endpoints.iter().map(|(name, text)| StateEntry {
                name: name.clone(),
                text: Some(text.clone()),
            });
            return (all.collect(), true);
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > after);
        let names: BTreeSet<&String> = newer.map(|(_, name)| name).collect();
        let changed = names.into_iter().map(|name| StateEntry {
            name: name.clone(),
            text: self.endpoints.get(name).cloned(),
        });
        (changed.collect(), false)
    }
}

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
    closing: watch::Sender<bool>,
    reading: watch::Sender<bool>,
    standing: Arc<Standing>,
    read: Arc<RwLock<Read>>,
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
    pub fn set_reading(&self, is_reader: bool) {
        self.reading.send_replace(is_reader);
    }

    /// Waits until this box reads the platform's store; returns whether that took a while.
    pub async fn until_reading(&self) -> bool {
        let mut reading = self.reading.subscribe();
        if *reading.borrow() {
            return false;
        }
        // It fails only when the sender is gone, and this holds one.
        let _ = reading.wait_for(|is_reader| *is_reader).await;
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
        let refusal = Refusal {
            reason: RefusalReason::NoEndpoint,
            retry_after: Some(RETRY_FULL),
        };
        self.refusal(id, refusal)
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

    fn write_read(&self) -> std::sync::RwLockWriteGuard<'_, Read> {
        self.read
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

struct Listeners {
    callers: TcpListener,
    health: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
}

impl Listeners {
    async fn bind(settings: &GatewaySettings) -> Result<Self, DaemonError> {
        let peers = settings.peers_address;
        Ok(Self {
            callers: listen("callers", settings.callers).await?,
            health: listen("health", settings.health).await?,
            metrics: listen("metrics", settings.metrics).await?,
            peers: listen("peers_address", peers).await?,
            gossip: UdpSocket::bind(peers)
                .await
                .map_err(|error| DaemonError::Listen {
                    setting: "peers_address",
                    address: peers,
                    error,
                })?,
        })
    }
}

async fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| DaemonError::Listen {
            setting,
            address,
            error,
        })
}

/// Runs a gateway until it has stopped. The settings file is read again when it changes.
///
/// # Errors
///
/// Says which address can't be listened on, or that threads can't be started.
pub fn run(
    settings: GatewaySettings,
    file: Option<PathBuf>,
    dialect: Arc<dyn Dialect>,
) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(DaemonError::Threads)?;
    let control_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(DaemonError::Threads)?;
    let listeners = runtime.block_on(Listeners::bind(&settings))?;
    let (inputs, received) = mpsc::channel(INPUT_CAPACITY);
    let shared = share(settings, dialect, inputs)?;
    let gossip = Arc::new(listeners.gossip);
    let dispatcher = new_dispatcher(&shared);
    shared.log.write(&Record::Process {
        state: "started".into(),
        detail: format!("callers on {}", shared.settings.callers),
    });
    runtime.spawn(peers::hear(Arc::clone(&gossip), shared.clone()));
    runtime.spawn(peers::accept(listeners.peers, shared.clone()));
    runtime.spawn(serve_callers(listeners.callers, shared.clone()));
    let operators = operators::Operators::new(shared.clone());
    runtime.spawn(crate::http::serve(listeners.health, operators.clone()));
    runtime.spawn(crate::http::serve(listeners.metrics, operators));
    runtime.spawn(store::follow(Source::Table, shared.clone()));
    runtime.spawn(store::follow(Source::Endpoints, shared.clone()));
    runtime.spawn(stop::stop_on_signal(shared.clone()));
    runtime.spawn(stop::reload_on_change(file, shared.clone()));
    let control = Control::new(dispatcher, shared, runtime.handle().clone(), gossip);
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control_runtime.block_on(control.run(received)))
        .map_err(DaemonError::Threads)?;
    if thread.join().is_err() {
        log::error!("the control thread ended by a fault; the process ends");
    }
    runtime.shutdown_timeout(std::time::Duration::from_millis(100));
    Ok(())
}

fn share(
    settings: GatewaySettings,
    dialect: Arc<dyn Dialect>,
    inputs: mpsc::Sender<Input>,
) -> Result<GatewayShared, DaemonError> {
    let log = DecisionLog::start(settings.box_id.clone(), std::io::stdout())
        .map_err(DaemonError::Threads)?;
    let metrics = GatewayMetrics::new().expect("each metric has a name of its own");
    Ok(GatewayShared {
        settings: Arc::new(settings),
        dialect,
        clock: Monotonic::start(),
        log: Arc::new(log),
        metrics: Arc::new(metrics),
        inputs,
        pool: Arc::new(Pool::default()),
        closing: watch::channel(false).0,
        reading: watch::channel(true).0,
        standing: Arc::default(),
        read: Arc::default(),
    })
}

fn new_dispatcher(shared: &GatewayShared) -> Dispatcher {
    let settings = &shared.settings;
    let cfg = DispatchConfig {
        me: settings.box_id.clone(),
        incarnation: Incarnation(clock::incarnation()),
        domain: settings.domain.clone(),
        address: settings.peers_address,
        seeds: settings.seeds.clone(),
        gossip: settings.gossip,
        fleet_boxes: settings.fleet_boxes,
        retries: settings.retries,
    };
    Dispatcher::new(cfg, rand::random(), shared.clock.now())
}

async fn serve_callers(listener: TcpListener, shared: GatewayShared) {
    let front = front::Front::new(shared.clone());
    let options = move || {
        let limits = shared.limits();
        ServeOptions {
            head_timeout: limits.map_or(UNCONFIGURED_IDLE, |l| l.idle),
            head_bytes: limits.map_or(0, |l| l.head_bytes),
            closing: shared.closing.subscribe(),
        }
    };
    crate::http::serve_with(listener, front, options).await;
}
