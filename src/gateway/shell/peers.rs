//! Gossip by UDP: sends the state of this box to others, and receives theirs.
//!
//! [`super::datagram`] defines the encoding. A lost datagram is made up for by the next one; one
//! that this box can't send or read is counted as a fault. Objects of the platform's store are
//! transferred by TCP ([`super::transfer`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::{GatewayShared, datagram};

/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;
/// Delay after a socket error; the usual cause is a lack of file descriptors.
pub(super) const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(10);

/// Sends a datagram to other boxes; reports a fault if it couldn't be encoded or sent.
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

/// Receives datagrams of other boxes until the process exits.
pub async fn receive(socket: Arc<UdpSocket>, shared: GatewayShared) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match socket.recv_from(&mut buf).await {
            Ok((length, _)) => length,
            Err(e) => {
                shared.faults.report(FaultKind::PeerSocket, &e);
                tokio::time::sleep(SOCKET_ERROR_DELAY).await;
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
