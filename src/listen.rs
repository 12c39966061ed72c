//! Opens the sockets of a daemon.

use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

use crate::exit::DaemonError;

/// Binds a TCP listener to `address`, the value of `setting`.
///
/// # Errors
///
/// Returns [`DaemonError::Listen`] if the address can't be bound.
pub async fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| DaemonError::Listen {
            setting,
            address,
            error,
        })
}

/// Binds a UDP socket to `address`, the value of `setting`.
///
/// # Errors
///
/// Returns [`DaemonError::Listen`] if the address can't be bound.
pub async fn listen_udp(
    setting: &'static str,
    address: SocketAddr,
) -> Result<UdpSocket, DaemonError> {
    UdpSocket::bind(address)
        .await
        .map_err(|error| DaemonError::Listen {
            setting,
            address,
            error,
        })
}
