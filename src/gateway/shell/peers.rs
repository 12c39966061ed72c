//! The state of each box, told to others by UDP.
//!
//! How datagrams are encoded is in [`super::datagram`]. One that is lost is made good by the next one,
//! and counted as a fault if this box could not send or read it. What was read from the platform goes
//! by TCP, see [`super::transfer`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::{GatewayShared, datagram};

/// The longest datagram.
const LONGEST_DATAGRAM: usize = 32 << 10;
/// The pause after a socket failed, for which the reason is mostly a lack of descriptors.
pub(super) const SOCKET_PAUSE: Duration = Duration::from_millis(10);

/// Sends a datagram to other boxes.
pub async fn send(
    socket: Arc<UdpSocket>,
    to: Vec<SocketAddr>,
    datagram: Result<Vec<u8>, postcard::Error>,
    shared: GatewayShared,
) {
    let faults = &shared.faults;
    let bytes = match datagram {
        Ok(bytes) => bytes,
        Err(e) => return faults.report(FaultKind::PeerSocket, &e),
    };
    for address in to {
        if let Err(e) = socket.send_to(&bytes, address).await {
            faults.report(FaultKind::PeerSocket, &format_args!("to {address}: {e}"));
        }
    }
}

/// Receives what other boxes send by UDP, for as long as the process runs.
pub async fn receive(socket: Arc<UdpSocket>, shared: GatewayShared) {
    let mut buf = vec![0; LONGEST_DATAGRAM];
    loop {
        let length = match socket.recv_from(&mut buf).await {
            Ok((length, _)) => length,
            Err(e) => {
                shared.faults.report(FaultKind::PeerSocket, &e);
                tokio::time::sleep(SOCKET_PAUSE).await;
                continue;
            }
        };
        match datagram::read(&buf[..length]) {
            Ok(events) => {
                for event in events {
                    shared.send(Input::Event(event)).await;
                }
            }
            Err(e) => shared.faults.report(FaultKind::PeerMessage, &e),
        }
    }
}
