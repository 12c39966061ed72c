//! Cuts between one box and all servers, on the loopback address.
//!
//! Each box has a [`View`]: a store of its own that lists the servers at gates, and the gates
//! forward that box's connections alone. Closing the gates of a view cuts its box from the servers;
//! the other boxes and the callers still reach it. Boxes learn of each other only once each has read
//! its own list, since they would read another box's list, and use its gates, otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::fleet::{BoxPlan, Outside, config, zone};
use super::store::Store;

/// Connections that may wait to be accepted: few, so that a cut can fill the queue.
const BACKLOG: u32 = 1;
/// Time after which a connection counts as hanging: the queue is full.
const HANGS_AFTER: Duration = Duration::from_millis(60);
/// Pause before a port that is still in use is tried again.
const BIND_RETRY: Duration = Duration::from_millis(10);

/// How connections of a box to servers fail.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Cut {
    /// They don't.
    #[default]
    Open,
    /// Open connections carry nothing, new ones hang.
    Hang,
    /// Open connections are reset, new ones refused.
    Reset,
    /// Open connections live on, new ones are refused.
    RefuseNew,
}

/// Forwards the connections of one box to one server.
#[derive(Debug)]
struct Gate {
    address: SocketAddr,
}

impl Gate {
    fn start(to: SocketAddr, cut: watch::Receiver<Cut>) -> std::io::Result<Self> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        tokio::spawn(keep_gate(listener, address, to, cut));
        Ok(Self { address })
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_RETRY).await,
        }
    }
}

/// Accepts connections as the cut allows.
async fn keep_gate(
    mut listener: TcpListener,
    address: SocketAddr,
    to: SocketAddr,
    mut cut: watch::Receiver<Cut>,
) {
    loop {
        let now = *cut.borrow_and_update();
        match now {
            Cut::Open => {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((socket, _)) = accepted {
                        tokio::spawn(forward(socket, to, cut.clone()));
                    },
                    changed = cut.changed() => if changed.is_err() { return },
                }
            }
            Cut::Hang => {
                let _queued = fill_queue(address).await;
                if cut.wait_for(|now| *now != Cut::Hang).await.is_err() {
                    return;
                }
            }
            Cut::Reset | Cut::RefuseNew => {
                drop(listener);
                if cut.wait_for(|now| *now == Cut::Open).await.is_err() {
                    return;
                }
                listener = listen_again(address).await;
            }
        }
    }
}

/// Fills the queue of connections that wait to be accepted, so that further ones hang.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(Ok(socket)) = tokio::time::timeout(HANGS_AFTER, TcpStream::connect(address)).await
    {
        queued.push(socket);
    }
    queued
}

/// Forwards a connection until an end closes it or it is reset; holds its bytes while it hangs.
async fn forward(mut socket: TcpStream, to: SocketAddr, mut cut: watch::Receiver<Cut>) {
    let Ok(mut server) = TcpStream::connect(to).await else {
        return;
    };
    loop {
        let now = *cut.borrow_and_update();
        let changed = match now {
            Cut::Reset => return reset(&socket),
            Cut::Hang => cut.changed().await,
            Cut::Open | Cut::RefuseNew => tokio::select! {
                _ = copy_bidirectional(&mut socket, &mut server) => return,
                changed = cut.changed() => changed,
            },
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Has a socket reset its connection when it is dropped.
fn reset(socket: &TcpStream) {
    // Without the option the connection is closed, which ends it as well.
    let _ = socket.set_zero_linger();
}

/// What one box sees of the platform: a store of its own, and a gate before each server.
#[derive(Debug)]
pub struct View {
    store: Store,
    /// The cuts of the model servers, and then of the plain ones.
    cuts: Vec<watch::Sender<Cut>>,
}

impl View {
    /// Starts the gates and the store of one box.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start(outside: &Outside) -> std::io::Result<Self> {
        let mut view = Self {
            store: Store::start().await?,
            cuts: Vec::new(),
        };
        let services = [("models", &outside.models), ("tills", &outside.tills)];
        for (service, servers) in services {
            for (number, server) in servers.iter().enumerate() {
                let (cut, cuts) = watch::channel(Cut::Open);
                let gate = Gate::start(server.address(), cuts)?;
                view.cuts.push(cut);
                let entry = json!({
                    "service": service, "address": gate.address.to_string(),
                    "zone": zone(number), "version": "v1", "slots": 8, "state": "ready",
                    "coldRemainingMs": 0, "sequence": 1, "born": server.born,
                });
                view.store.put("servers", &server.id, &entry);
            }
        }
        view.store.put("config", "main", &config(1));
        Ok(view)
    }

    /// Has a box that is not started yet use this store, without other boxes.
    ///
    /// # Errors
    ///
    /// If its settings can't be read or written.
    pub fn give_to(&self, plan: &BoxPlan) -> std::io::Result<()> {
        let store = self.store.address().to_string();
        change_settings(plan, &[("platform", json!(store)), ("seeds", json!([]))])
    }

    /// Cuts the box from all servers, or ends a cut.
    pub fn cut(&self, cut: Cut) {
        for server in 0..self.cuts.len() {
            self.cut_server(server, cut);
        }
    }

    /// Cuts the box from one server, or ends a cut; model servers come before plain ones.
    pub fn cut_server(&self, number: usize, cut: Cut) {
        self.cuts[number].send_replace(cut);
    }
}

/// Has running boxes learn of each other.
///
/// # Errors
///
/// If their settings can't be read or written.
pub fn introduce(plans: &[BoxPlan]) -> std::io::Result<()> {
    let seeds: Vec<String> = plans.iter().map(|p| p.callers.ip().to_string()).collect();
    for plan in plans {
        change_settings(plan, &[("seeds", json!(seeds))])?;
    }
    Ok(())
}

/// Changes settings of a box.
///
/// # Errors
///
/// If they can't be read or written.
pub fn change_settings(plan: &BoxPlan, changes: &[(&str, Value)]) -> std::io::Result<()> {
    let text = std::fs::read_to_string(&plan.settings)?;
    let mut settings: Value = serde_json::from_str(&text)?;
    for (name, value) in changes {
        settings[*name] = value.clone();
    }
    std::fs::write(&plan.settings, settings.to_string())
}
