//! Opens the sockets of a daemon.
//!
//! An address may be missing or in use for a while when a daemon starts: its predecessor still runs
//! or is being ended, the machine gets the address later, or descriptors are short. Such an error is
//! retried until a deadline, so that the platform doesn't count the start as failed; any other is
//! final at once.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, UdpSocket};

use crate::exit::DaemonError;

/// Interval at which an address is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which an address is tried again that the daemon can do without.
const OPTIONAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a process may take to end beyond its grace period.
const END_MARGIN: Duration = Duration::from_secs(2);

/// An address on which a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddress {
    /// The name of the setting that holds it.
    pub setting: &'static str,
    /// The address as set.
    pub address: SocketAddr,
}

impl ListenAddress {
    /// Creates an address, the value of `setting`.
    #[must_use]
    pub fn new(setting: &'static str, address: SocketAddr) -> Self {
        Self { setting, address }
    }

    /// Binds a TCP listener, and waits until `deadline` for an address that can't be had yet.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Listen`] if the address can't be bound.
    pub async fn listen(self, deadline: Instant) -> Result<TcpListener, DaemonError> {
        self.bind(deadline, || TcpListener::bind(self.address))
            .await
    }

    /// Binds a UDP socket as [`Self::listen`] binds a listener.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Listen`] if the address can't be bound.
    pub async fn listen_udp(self, deadline: Instant) -> Result<UdpSocket, DaemonError> {
        self.bind(deadline, || UdpSocket::bind(self.address)).await
    }

    /// Binds a TCP listener that the daemon can do without, however long it takes.
    pub async fn listen_eventually(self) -> TcpListener {
        let mut is_logged = false;
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(e) if !is_logged => {
                    log::warn!("{self}: {e}; runs without it, and tries again every second");
                    is_logged = true;
                }
                Err(_) => {}
            }
            tokio::time::sleep(OPTIONAL_RETRY_INTERVAL).await;
        }
    }

    async fn bind<S, F>(self, deadline: Instant, try_bind: impl Fn() -> F) -> Result<S, DaemonError>
    where
        F: Future<Output = io::Result<S>>,
    {
        let mut is_logged = false;
        loop {
            let error = match try_bind().await {
                Ok(socket) => return Ok(socket),
                Err(e) => e,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if !may_pass(&error) || left.is_zero() {
                return Err(self.error(error));
            }
            if !is_logged {
                let left = left.as_secs_f64();
                log::warn!("{self}: {error}; tries again for {left:.1} s");
                is_logged = true;
            }
            tokio::time::sleep(RETRY_INTERVAL.min(left)).await;
        }
    }

    fn error(self, error: io::Error) -> DaemonError {
        DaemonError::Listen {
            setting: self.setting,
            address: self.address,
            error,
        }
    }
}

impl std::fmt::Display for ListenAddress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} = {}", self.setting, self.address)
    }
}

/// Returns the time until which a daemon that starts now waits for its addresses: a predecessor may
/// hold them for all of its grace period.
#[must_use]
pub fn start_deadline(stop_grace: Duration) -> Instant {
    Instant::now() + stop_grace + END_MARGIN
}

/// Whether an error of binding may pass by itself.
fn may_pass(error: &io::Error) -> bool {
    let is_address = matches!(
        error.kind(),
        ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
    );
    let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    is_address || error.raw_os_error().is_some_and(|e| shortages.contains(&e))
}
