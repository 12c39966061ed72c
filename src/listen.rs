//! Opens the sockets of a daemon and defines the errors with which a daemon fails to start.

use std::fmt;
use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

/// The reason why a daemon could not start.
#[derive(Debug)]
pub enum DaemonError {
    /// A socket can't be bound to its address.
    Listen {
        /// The name of the setting that holds the address.
        setting: &'static str,
        /// The address as set.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The operating system refused to start a thread.
    Threads(std::io::Error),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                setting,
                address,
                error,
            } => {
                write!(
                    f,
                    "{setting} = {address}: {error}; set it to a free address of this box"
                )
            }
            Self::Threads(error) => {
                write!(
                    f,
                    "threads can't be started: {error}; raise the thread limit of this user"
                )
            }
        }
    }
}

impl std::error::Error for DaemonError {}

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
