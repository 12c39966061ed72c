//! Opens a daemon's sockets, and says why it could not start.

use std::fmt;
use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

/// Why the daemon could not run.
#[derive(Debug)]
pub enum DaemonError {
    /// An address can't be listened on.
    Listen {
        /// The setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// Threads can't be started.
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
                    "{setting} = {address}: {error}; choose an address of this box that is free"
                )
            }
            Self::Threads(error) => {
                write!(
                    f,
                    "threads can't be started: {error}; allow this user more of them"
                )
            }
        }
    }
}

impl std::error::Error for DaemonError {}

/// Listens for TCP connections on an address that a setting names.
///
/// # Errors
///
/// What the system says, with the setting.
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

/// Receives UDP datagrams on an address that a setting names.
///
/// # Errors
///
/// What the system says, with the setting.
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
