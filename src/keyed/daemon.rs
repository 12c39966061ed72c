//! The daemon of an entry box: a shell around [`crate::keyed::node`] that moves bytes.
//!
//! One control thread owns the node and is the only one that touches it. Traffic threads read and
//! write sockets; they speak to the control thread by a channel, and it tells them what to do by
//! spawning tasks or by channels of their own. A timer service wakes the node.

pub mod callers;
pub mod control;
pub mod engines;
pub mod fetch;
pub mod input;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod services;
pub mod timers;

use std::sync::{Arc, RwLock};
use std::time::Instant;

use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use crate::clock::{self, Monotonic};
use crate::exit::DaemonError;
use crate::http::Client;
use crate::keyed::bundle::Bundle;
use crate::keyed::node::Node;
use crate::keyed::node::config::NodeConfig;
use crate::keyed::object_api::ObjectApi;
use crate::keyed::settings::Settings;
use crate::keyed::timeline::Timeline;
use crate::listen::{ListenAddress, start_deadline};
use crate::memory;
use crate::schema::Incarnation;
use control::Control;
use input::Input;
use metrics::Metrics;

/// How many inputs may wait for the control thread before senders wait.
const NODE_INPUTS: usize = 65_536;

/// What all parts of the daemon share.
#[derive(Clone)]
pub struct Shared {
    /// The checked settings.
    pub settings: Arc<Settings>,
    /// This box's clock.
    pub clock: Monotonic,
    /// The time line.
    pub timeline: Arc<Timeline>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The bundle in force, for checks at the callers' face.
    pub bundle: Arc<RwLock<Option<Arc<Bundle>>>>,
    /// The way to the control thread.
    pub inputs: mpsc::Sender<Input>,
    /// The HTTP client.
    pub client: Client,
    /// The platform's object API.
    pub platform: ObjectApi,
}

impl Shared {
    /// The bundle in force.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Hands something to the control thread, waiting if it is busy.
    pub async fn tell(&self, input: Input) {
        // It fails only when the control thread has ended, and then the process is about to.
        let _ = self.inputs.send(input).await;
    }
}

/// Gives HTTP handlers access to the daemon.
#[derive(Clone, gotham::prelude::StateData)]
pub struct Context(Arc<std::panic::AssertUnwindSafe<Shared>>);

impl Context {
    /// Wraps what is shared for use in handlers.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self(Arc::new(std::panic::AssertUnwindSafe(shared)))
    }

    /// What is shared, from the state of a request.
    #[must_use]
    pub fn shared(state: &gotham::state::State) -> Shared {
        use gotham::state::FromState;
        Self::borrow_from(state).0.0.clone()
    }
}

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    heartbeats: Arc<UdpSocket>,
}

impl Listeners {
    /// Binds the socket for callers last: what connects to it waits until the box serves it.
    async fn bind(settings: &Settings, deadline: Instant) -> Result<Self, DaemonError> {
        let peers = ListenAddress::new("peers_address", settings.peers_address);
        let operators = ListenAddress::new("operators", settings.operators);
        let callers = ListenAddress::new("callers", settings.callers);
        Ok(Self {
            peers: peers.listen(deadline).await?,
            heartbeats: Arc::new(peers.listen_udp(deadline).await?),
            operators: operators.listen(deadline).await?,
            callers: callers.listen(deadline).await?,
        })
    }
}

/// Runs the daemon until it has stopped.
///
/// # Errors
///
/// Says which address can't be listened on, that threads can't be started, or that the control thread
/// panicked.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    memory::return_freed_blocks();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(DaemonError::Threads)?;
    let deadline = start_deadline(settings.stop_grace);
    let listeners = runtime.block_on(Listeners::bind(&settings, deadline))?;
    let (inputs, received) = mpsc::channel(NODE_INPUTS);
    let client = Client::default();
    let shared = Shared {
        timeline: Arc::new(Timeline::new(&settings.box_id, settings.timeline_events)),
        platform: ObjectApi::new(&settings.platform.to_string(), client.clone()),
        settings: Arc::new(settings),
        clock: Monotonic::start(),
        metrics: Arc::new(Metrics::new()),
        bundle: Arc::new(RwLock::new(None)),
        inputs,
        client,
    };
    let node = new_node(&shared);
    let heartbeats = Arc::clone(&listeners.heartbeats);
    spawn_tasks(&runtime, listeners, &shared);
    log::info!(
        "box {} listens for callers on {}",
        shared.settings.box_id,
        shared.settings.callers
    );
    let control = Control::new(node, shared, runtime.handle().clone(), heartbeats);
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run(received))
        .map_err(DaemonError::Threads)?;
    let ended = thread.join().map_err(|_| DaemonError::ControlPanicked);
    runtime.shutdown_timeout(std::time::Duration::from_millis(200));
    ended
}

/// Starts what runs beside the control thread.
fn spawn_tasks(runtime: &Runtime, listeners: Listeners, shared: &Shared) {
    runtime.spawn(peers::receive_heartbeats(
        listeners.heartbeats,
        shared.clone(),
    ));
    runtime.spawn(peers::accept(listeners.peers, shared.clone()));
    runtime.spawn(crate::http::serve(
        listeners.callers,
        callers::router(shared.clone()),
    ));
    runtime.spawn(crate::http::serve(
        listeners.operators,
        operators::router(shared.clone()),
    ));
    runtime.spawn(shared.client.clone().sweep_idle());
    runtime.spawn(stop_on_signal(shared.clone()));
}

fn new_node(shared: &Shared) -> Node {
    let incarnation = Incarnation(clock::incarnation());
    let address = shared.settings.peers_address.to_string();
    let cfg = NodeConfig::new(&shared.settings, incarnation, address);
    Node::new(cfg, rand::random(), shared.clock.now())
}

async fn stop_on_signal(shared: Shared) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::warn!("signals can't be received; a stop will cut streams off");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("asked to stop; handing over");
    shared
        .tell(Input::Event(crate::keyed::node::event::Event::Stop))
        .await;
}
