//! Tunnels between boxes: opens connections to endpoints through another box, and for other boxes.
//!
//! [`crate::gateway::dispatch::relays`] decides when a box uses a relay and which one, and whether a
//! box relays. A tunnel uses the port of transfers ([`super::transfer`]): it begins with
//! [`TUNNEL_MARK`] in place of the length of a message, a [`RelayRequest`] follows, and after the
//! reply [`RelayReply::Connected`] the connection is a [`Tunnel`]. A box of an earlier version takes
//! the mark for a message that is too long, and closes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::gateway::dispatch::action::Target;
use crate::gateway::dispatch::checks::CheckReason;
use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::placement::ATTEMPT_CONNECT_LIMIT;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::transfer;
use crate::http::pool::{Connection, Pool, enable_keepalive};
use crate::http::tunnel::{Tunnel, forward};
use crate::schema::{EndpointId, RelayReply, RelayRequest, ServiceId};

/// First bytes of a request for a tunnel; read as a length, they exceed every message.
pub(super) const TUNNEL_MARK: u32 = u32::from_le_bytes(*b"TNL1");
/// Maximum number of tunnels that a box forwards at the same time: each takes two of a small box's
/// 3,900 sockets.
pub(super) const MAX_TUNNELS: u32 = 512;

/// Why a connection to an endpoint could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenError {
    /// The endpoint's port is closed.
    Refused,
    /// The endpoint did not answer in time.
    TimedOut,
    /// The relay could not be used.
    Relay,
}

impl Target {
    /// Takes an idle connection from the pool.
    #[must_use]
    pub fn take_idle(&self, shared: &GatewayShared, max_idle: Duration) -> Option<Connection> {
        match self.via {
            None => shared.pool.take(self.address, max_idle),
            Some(_) => shared.pool.take_relayed(self.address, max_idle),
        }
    }

    /// Opens a connection, directly or through the relay.
    ///
    /// # Errors
    ///
    /// Tells an endpoint that can't be reached from a relay that can't be used.
    pub async fn connect(&self, limit: Duration) -> Result<Connection, OpenError> {
        match self.via {
            None => Pool::connect(self.address, limit)
                .await
                .map_err(|_| OpenError::TimedOut),
            Some(relay) => timeout(limit, self.open_tunnel(relay))
                .await
                .unwrap_or(Err(OpenError::Relay)),
        }
    }

    /// Finds out whether the endpoint's port is closed. A timeout isn't evidence of that: the network
    /// may be interrupted.
    pub async fn is_closed(&self, limit: Duration) -> bool {
        match self.via {
            None => {
                let connecting = timeout(limit, TcpStream::connect(self.address)).await;
                matches!(connecting, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
            }
            Some(_) => matches!(self.connect(limit).await, Err(OpenError::Refused)),
        }
    }

    async fn open_tunnel(&self, relay: SocketAddr) -> Result<Connection, OpenError> {
        let requested = self.request_tunnel(relay).await;
        let (socket, reply) = requested.map_err(|_| OpenError::Relay)?;
        match reply {
            RelayReply::Connected => {}
            RelayReply::Refused => return Err(OpenError::Refused),
            RelayReply::TimedOut => return Err(OpenError::TimedOut),
            RelayReply::PathLost
            | RelayReply::Unlisted
            | RelayReply::Busy
            | RelayReply::Stopping => return Err(OpenError::Relay),
        }
        Connection::over_tunnel(self.address, Tunnel::new(socket))
            .await
            .map_err(|_| OpenError::Relay)
    }

    async fn request_tunnel(&self, relay: SocketAddr) -> std::io::Result<(TcpStream, RelayReply)> {
        let connecting = timeout(ATTEMPT_CONNECT_LIMIT, TcpStream::connect(relay));
        let mut socket = connecting.await??;
        let _ = socket.set_nodelay(true);
        enable_keepalive(&socket);
        let wanted = RelayRequest {
            endpoint: self.endpoint.clone(),
        };
        socket.write_u32_le(TUNNEL_MARK).await?;
        transfer::write(&mut socket, &transfer::encode(&wanted)?).await?;
        let reply = transfer::read(&mut socket, &AtomicU64::new(0)).await?;
        Ok((socket, reply))
    }
}

/// Serves a request for a tunnel, whose mark has been read, and forwards until an end closes.
pub(super) async fn serve(mut socket: TcpStream, shared: GatewayShared) -> std::io::Result<()> {
    let wanted: RelayRequest = transfer::read(&mut socket, &AtomicU64::new(0)).await?;
    let Ok(_slot) = shared.tunnels.try_acquire() else {
        return reply(&mut socket, RelayReply::Busy, &shared).await;
    };
    let server = match connect_for(&wanted.endpoint, &shared).await {
        Ok(server) => server,
        Err(refusal) => return reply(&mut socket, refusal, &shared).await,
    };
    let _ = socket.set_nodelay(true);
    enable_keepalive(&socket);
    reply(&mut socket, RelayReply::Connected, &shared).await?;
    shared.metrics.relays.open.inc();
    forward(socket, server, shared.until_stopping()).await;
    shared.metrics.relays.open.dec();
    Ok(())
}

/// Connects to an endpoint for another box, if the dispatcher admits it.
async fn connect_for(
    endpoint: &EndpointId,
    shared: &GatewayShared,
) -> Result<TcpStream, RelayReply> {
    let (tx, rx) = oneshot::channel();
    let input = Input::RelayRequested {
        endpoint: endpoint.clone(),
        reply: tx,
    };
    shared.send(input).await;
    let address = rx.await.unwrap_or(Err(RelayReply::Stopping))?;
    let connected = timeout(ATTEMPT_CONNECT_LIMIT, TcpStream::connect(address)).await;
    let failure = match connected {
        Ok(Ok(server)) => {
            let _ = server.set_nodelay(true);
            enable_keepalive(&server);
            return Ok(server);
        }
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => RelayReply::Refused,
        Ok(Err(_)) | Err(_) => RelayReply::TimedOut,
    };
    let failed = Event::RelayedConnectionFailed(endpoint.clone());
    shared.send(Input::Event(failed)).await;
    Err(failure)
}

async fn reply(
    socket: &mut TcpStream,
    reply: RelayReply,
    shared: &GatewayShared,
) -> std::io::Result<()> {
    let result = reply.to_string();
    shared
        .metrics
        .relays
        .requests
        .with_label_values(&[&result])
        .inc();
    transfer::write(socket, &transfer::encode(&reply)?).await
}

/// Connects to endpoints of a service to check this box's own path to them; sends to the control
/// thread whether one accepted.
pub(super) async fn check_path(
    service: ServiceId,
    endpoints: Vec<(EndpointId, SocketAddr)>,
    limit: Duration,
    shared: GatewayShared,
) {
    let mut connecting = tokio::task::JoinSet::new();
    for (_, address) in endpoints {
        shared.metrics.checks.of(CheckReason::DirectPath).inc();
        connecting.spawn(Pool::connect(address, limit));
    }
    let mut is_reached = false;
    while let Some(connected) = connecting.join_next().await {
        if let Ok(Ok(connection)) = connected {
            shared.pool.put_back(connection);
            is_reached = true;
            break;
        }
    }
    let event = Event::PathChecked {
        service,
        is_reached,
    };
    shared.send(Input::Event(event)).await;
}
