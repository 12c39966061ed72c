//! I/O around [`crate::gateway::dispatch`]: sockets, threads and signals of a gateway box.
//!
//! One control thread owns the dispatcher, and no other thread accesses it; traffic threads move
//! bytes. [`dialect::Dialect`] hides the differences between the platforms, callers and engines
//! that a gateway can connect.

pub mod attempt;
pub mod callers;
pub mod check_counts;
pub mod control;
pub mod datagram;
pub mod decision_log;
pub mod dialect;
mod directives;
mod duties;
mod endpoint_reader;
pub mod events;
pub mod exchange;
pub mod faults;
pub mod headers;
pub mod held_memory;
pub mod input;
pub mod metrics;
pub mod operators;
pub mod packed;
pub mod peers;
pub mod probes;
mod quarantine;
pub mod relay;
pub mod reply_watch;
mod rollouts;
pub mod shared;
pub mod snapshots;
pub mod stop;
pub mod store;
pub mod store_cache;
mod stream_body;
mod streams;
pub mod supervisor;
pub mod table_reader;
pub mod transfer;
pub mod watch_phase;
pub mod watcher;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Handle, Runtime};
use tokio::sync::mpsc;

use crate::clock;
use crate::exit::DaemonError;
use crate::gateway::dispatch::record::{Record, STARTED};
use crate::gateway::dispatch::{DispatchConfig, Dispatcher};
use crate::gateway::settings::GatewaySettings;
use crate::http::{ServeOptions, pool};
use crate::listen::{ListenAddress, start_deadline};
use crate::memory;
use crate::schema::Incarnation;
use control::Control;
use dialect::{Dialect, ObjectKind};
use faults::FaultKind;

pub use shared::GatewayShared;

/// Capacity of the control thread's queue, in inputs; senders wait while it is full.
const DISPATCHER_QUEUE_LENGTH: usize = 16_384;
/// Idle time after which a connection to an endpoint is closed: slightly longer than the idle time
/// up to which an attempt reuses one.
const IDLE_CONNECTION_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// The sockets that a box can't do without. Without those for peers it would send requests to
/// endpoints that others know to be leaving, and spend retries that others count on.
struct Listeners {
    callers: Arc<TcpListener>,
    health: Arc<TcpListener>,
    peers: Arc<TcpListener>,
    gossip: Arc<UdpSocket>,
}

impl Listeners {
    /// Binds the socket for callers last: what connects to it waits until the box serves it.
    async fn bind(settings: &GatewaySettings, deadline: Instant) -> Result<Self, DaemonError> {
        let peers = ListenAddress::new("peers_address", settings.peers_address);
        let health = ListenAddress::new("health", settings.health);
        let callers = ListenAddress::new("callers", settings.callers);
        Ok(Self {
            peers: Arc::new(peers.listen(deadline).await?),
            gossip: Arc::new(peers.listen_udp(deadline).await?),
            health: Arc::new(health.listen(deadline).await?),
            callers: Arc::new(callers.listen(deadline).await?),
        })
    }
}

/// Runs a gateway until it has stopped. Reloads the settings file when it changes.
///
/// # Errors
///
/// Returns the address that can't be listened on, that threads can't be started, or that the control
/// thread panicked.
pub fn run(
    settings: GatewaySettings,
    file: Option<PathBuf>,
    dialect: Arc<dyn Dialect>,
) -> Result<(), DaemonError> {
    memory::return_freed_blocks();
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
    let deadline = start_deadline(settings.stop_grace);
    let listeners = runtime.block_on(Listeners::bind(&settings, deadline))?;
    let (inputs, received) = mpsc::channel(DISPATCHER_QUEUE_LENGTH);
    let shared = GatewayShared::start(settings, dialect, inputs, std::io::stdout())?;
    let gossip = Arc::clone(&listeners.gossip);
    let dispatcher = new_dispatcher(&shared);
    shared.log.write(&Record::Process {
        state: STARTED.into(),
        detail: shared.settings.domain.to_string(),
    });
    spawn_tasks(&runtime, listeners, file, &shared);
    let control = Control::new(dispatcher, shared, runtime.handle().clone(), gossip);
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control_runtime.block_on(control.run(received)))
        .map_err(DaemonError::Threads)?;
    let ended = thread.join().map_err(|_| DaemonError::ControlPanicked);
    runtime.shutdown_timeout(std::time::Duration::from_millis(100));
    ended
}

/// Starts the tasks that run on the traffic threads.
fn spawn_tasks(
    runtime: &Runtime,
    listeners: Listeners,
    file: Option<PathBuf>,
    shared: &GatewayShared,
) {
    let tasks = Tasks {
        runtime: runtime.handle(),
        shared,
    };
    let Listeners {
        callers,
        health,
        peers,
        gossip,
    } = listeners;
    tasks.spawn("gossip", move |shared| {
        peers::receive(Arc::clone(&gossip), shared)
    });
    tasks.spawn("transfer", move |shared| {
        transfer::accept(Arc::clone(&peers), shared)
    });
    tasks.spawn("callers", move |shared| {
        serve_callers(Arc::clone(&callers), shared)
    });
    tasks.spawn("health", move |shared| {
        let operators = operators::Operators::new(shared);
        crate::http::serve(Arc::clone(&health), operators)
    });
    tasks.spawn("metrics", serve_metrics);
    for kind in [
        ObjectKind::Table,
        ObjectKind::Endpoints,
        ObjectKind::Rollouts,
    ] {
        tasks.spawn("store", move |shared| store::follow(kind, shared));
    }
    tasks.spawn("time_of_day", duties::send_time_of_day);
    tasks.spawn("idle_connections", |shared| {
        pool::sweep_idle(Arc::clone(&shared.pool), IDLE_CONNECTION_TIMEOUT)
    });
    tasks.spawn("stop", stop::stop_on_signal);
    tasks.spawn("reload", move |shared| {
        stop::reload_on_change(file.clone(), shared)
    });
}

/// Starts tasks that run for as long as the process.
struct Tasks<'a> {
    runtime: &'a Handle,
    shared: &'a GatewayShared,
}

impl Tasks<'_> {
    /// Starts a task; one that panics is recorded and started again.
    fn spawn<T, F>(&self, name: &'static str, start: T)
    where
        T: Fn(GatewayShared) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let shared = self.shared.clone();
        let on_panic = move |message: &str| {
            let detail = format_args!("{name}: {message}; started again");
            shared.faults.report(FaultKind::TaskPanic, &detail);
        };
        let shared = self.shared.clone();
        let task = supervisor::supervise(move || start(shared.clone()), on_panic);
        self.runtime.spawn(task);
    }
}

/// Serves metrics at their own address once it can be bound. The box does without: the address for
/// the readiness check serves them too.
async fn serve_metrics(shared: GatewayShared) {
    let address = ListenAddress::new("metrics", shared.settings.metrics);
    let listener = address.listen_eventually().await;
    crate::http::serve(Arc::new(listener), operators::Operators::new(shared)).await;
}

fn new_dispatcher(shared: &GatewayShared) -> Dispatcher {
    let settings = &shared.settings;
    let cfg = DispatchConfig {
        me: settings.box_id.clone(),
        incarnation: Incarnation(clock::incarnation()),
        domain: settings.domain.clone(),
        address: settings.peers_address,
        seeds: settings.seeds.clone(),
        first_start: settings.first_start,
        gossip: settings.gossip,
        fleet_boxes: settings.fleet_boxes,
        retries: settings.retries,
        exposure: settings.exposure,
        duty: settings.usage.map(|usage| usage.policy),
    };
    Dispatcher::new(cfg, rand::random(), shared.clock.now())
}

async fn serve_callers(listener: Arc<TcpListener>, shared: GatewayShared) {
    let front = callers::Callers::new(shared.clone());
    let options = ServeOptions {
        limits: shared.connection_limits.clone(),
        closing: shared.closing.subscribe(),
    };
    crate::http::serve_with(listener, front, options).await;
}
