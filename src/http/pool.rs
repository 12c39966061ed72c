//! A pool of outgoing HTTP/1.1 connections. Each connection carries one request at a time and is
//! reused.
//!
//! A connection returns to the pool only after a complete answer. The pool closes a connection whose
//! answer was cut short or abandoned, and one that received bytes which belong to no request. A
//! connection that was idle for most of the time that its peer stated in `Keep-Alive` is not used
//! again.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use gotham::hyper::http::response;
use gotham::hyper::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::answer_end::AnswerEnd;
use super::read_limit::{LimitedIo, PeerBody, ReadLimit, read_limited};
use super::tunnel::{Tunnel, TunnelState};
use crate::schema::{EndpointId, StartTime};

/// The idle time after which TCP sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// The time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection is considered lost.
const KEEPALIVE_PROBES: u32 = 2;
/// The longest time that sent bytes may remain unacknowledged (`TCP_USER_TIMEOUT`). Once it is set it
/// also decides when keepalive probes give up, whatever their number, so it is the time that these
/// take: a peer may be silent for a second or so and go on.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(
    KEEPALIVE_IDLE.as_secs() + KEEPALIVE_INTERVAL.as_secs() * KEEPALIVE_PROBES as u64,
);

/// Part of the idle time that a peer states after which its connection is no longer used: the peer
/// may close the connection while a request is on its way.
const PEER_IDLE_PART: f64 = 0.8;

/// Size limit of the read buffer of a connection, in bytes; the head of an answer must fit into it.
const MAX_READ_BUFFER: usize = 64 << 10;
/// Maximum size of the body of an answer to [`Connection::exchange`], in bytes: a report of an
/// endpoint has a few kilobytes.
const MAX_SHORT_ANSWER: usize = 1 << 20;
/// Maximum size of the body of an answer to [`Connection::get_with_timeouts`], in bytes: 32 objects
/// of the largest size in the users' store.
const MAX_LONG_ANSWER: usize = 32 << 20;

/// Makes the operating system detect a peer that is unreachable or without power.
pub fn enable_keepalive(socket: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(socket);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    // Errors are ignored: without these options a lost peer is only detected later.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
}

/// Aborts the task that drives a connection, and so closes the connection, when dropped.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// How a connection gets to its peer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum PathKind {
    Direct,
    Relayed,
}

/// An open connection to an endpoint, a box or the platform.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    /// State of the tunnel through which the connection passes, if it does.
    tunnel: Option<Arc<TunnelState>>,
    /// Bound on what the peer may send without its answer advancing.
    limit: Arc<ReadLimit>,
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
    /// Longest idle time after which the peer still reads a request, if its answers state one.
    peer_max_idle: Option<Duration>,
    /// Start time of the process at the other end, if it was asked for. It stays the same for as long
    /// as the connection lives.
    pub peer_start: Option<StartTime>,
    /// Endpoint that the process at the other end is, if it has shown that. It stays the same for as
    /// long as the connection lives.
    pub peer_instance: Option<EndpointId>,
    _task: AbortOnDrop,
}

/// The reason why a request did not get the head of an answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke; the request may have been sent.
    Broken,
    /// The peer's bytes are not a valid HTTP answer.
    Malformed,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no connection; no byte of the request was sent",
            Self::Broken => "the connection broke",
            Self::Malformed => "the answer is not valid HTTP",
        })
    }
}

impl std::error::Error for SendError {}

impl Connection {
    /// Opens an HTTP connection on a socket or a tunnel.
    async fn over(
        io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        address: SocketAddr,
        tunnel: Option<Arc<TunnelState>>,
    ) -> Result<Self, SendError> {
        let limit = Arc::new(ReadLimit::default());
        let io = LimitedIo {
            io,
            limit: Arc::clone(&limit),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(io))
            .await
            .map_err(|_| SendError::NotSent)?;
        let task = tokio::spawn(async move {
            // The request in flight reports the error that ends the connection.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            tunnel,
            limit,
            sender,
            idle_since: Instant::now(),
            peer_max_idle: None,
            peer_start: None,
            peer_instance: None,
            _task: AbortOnDrop(task.abort_handle()),
        })
    }

    /// Uses a tunnel to the peer at an address.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if the tunnel broke.
    pub async fn over_tunnel(address: SocketAddr, tunnel: Tunnel) -> Result<Self, SendError> {
        let io = tokio::io::join(tunnel.reader, tunnel.writer);
        Self::over(io, address, Some(tunnel.state)).await
    }

    /// Returns whether the tunnel broke through which the connection passes, and not the peer's
    /// own connection.
    #[must_use]
    pub fn has_lost_tunnel(&self) -> bool {
        self.tunnel.as_ref().is_some_and(|tunnel| tunnel.is_lost())
    }

    /// Returns whether the peer sent bytes without end that do not advance its answer.
    #[must_use]
    pub fn is_endless(&self) -> bool {
        self.limit.is_exceeded()
    }

    /// Returns whether the connection must not be used again since its tunnel is about to end.
    fn is_ending(&self) -> bool {
        let tunnel = self.tunnel.as_ref();
        tunnel.is_some_and(|tunnel| tunnel.is_lost() || tunnel.is_stopping())
    }

    fn key(&self) -> (SocketAddr, PathKind) {
        let path = match self.tunnel {
            Some(_) => PathKind::Relayed,
            None => PathKind::Direct,
        };
        (self.address, path)
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Distinguishes a request that was not sent from one that may have been sent. An answer with both a
    /// length and chunks is malformed.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<PeerBody>, SendError> {
        self.limit.on_advance();
        let method = request.method().clone();
        match self.sender.try_send_request(request).await {
            Ok(response) if !is_final_status(response.status()) => Err(SendError::Malformed),
            Ok(response) => {
                self.limit.on_advance();
                self.peer_max_idle = stated_max_idle(response.headers());
                let (head, body) = response.into_parts();
                let end = AnswerEnd::of(&method, &head).map_err(|_| SendError::Malformed)?;
                let limit = Arc::clone(&self.limit);
                Ok(Response::from_parts(head, PeerBody { body, limit, end }))
            }
            Err(mut e) => Err(if e.take_message().is_some() {
                SendError::NotSent
            } else if e.error().is_parse() || self.is_endless() {
                SendError::Malformed
            } else {
                SendError::Broken
            }),
        }
    }

    /// Sends a GET request and reads the complete answer; `None` if the connection broke.
    pub async fn get(&mut self, path: &str) -> Option<(StatusCode, Bytes)> {
        let (head, body) = self.get_with_head(path).await?;
        Some((head.status, body))
    }

    /// Sends a GET request and reads the complete answer; `None` if the head takes longer than
    /// `head_timeout`, if the body makes no progress for `stall_timeout` or is longer than
    /// [`MAX_LONG_ANSWER`], or if the connection broke.
    pub async fn get_with_timeouts(
        &mut self,
        path: &str,
        head_timeout: Duration,
        stall_timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let request = self.with_host(get_request(path)?)?;
        let response = tokio::time::timeout(head_timeout, self.send(request)).await;
        let (parts, mut body) = response.ok()?.ok()?.into_parts();
        let mut bytes = BytesMut::new();
        while let Some(frame) = tokio::time::timeout(stall_timeout, body.frame())
            .await
            .ok()?
        {
            if let Ok(data) = frame.ok()?.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > MAX_LONG_ANSWER {
                return None;
            }
        }
        Some((parts.status, bytes.freeze()))
    }

    /// Sends a GET request and returns the head and the complete body of the answer; `None` if the
    /// connection broke.
    pub async fn get_with_head(&mut self, path: &str) -> Option<(response::Parts, Bytes)> {
        self.exchange(get_request(path)?).await
    }

    /// Sends a request, with `Host` set to the address of the connection, and reads the complete
    /// answer; `None` if the connection broke or the body is longer than [`MAX_SHORT_ANSWER`].
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Option<(response::Parts, Bytes)> {
        let request = self.with_host(request)?;
        let response = self.send(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = read_limited(body, MAX_SHORT_ANSWER, |_| true).await;
        Some((head, body.ok()?.freeze()))
    }

    fn with_host(&self, mut request: Request<Full<Bytes>>) -> Option<Request<Full<Bytes>>> {
        let host = self.address.to_string().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        Some(request)
    }

    /// Returns whether the connection has been idle for no longer than `max_idle` and than the peer
    /// allows.
    fn is_fresh(&self, max_idle: Duration) -> bool {
        let max_idle = self.peer_max_idle.map_or(max_idle, |max| max.min(max_idle));
        self.idle_since.elapsed() <= max_idle
    }

    /// Returns whether the connection is open and can send a request immediately.
    fn is_ready(&mut self) -> bool {
        !self.is_ending()
            && !self.sender.is_closed()
            && matches!(self.sender.ready().now_or_never(), Some(Ok(())))
    }
}

/// Whether a status ends an exchange in the protocol. The HTTP library reads any three digits above
/// 99, and 101, for which nobody asks.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns [`PEER_IDLE_PART`] of the idle time in seconds that a `Keep-Alive` header states.
fn stated_max_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.mul_f64(PEER_IDLE_PART))
}

fn get_request(path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    Some(request)
}

/// Periodically closes the pooled connections that have been idle longer than `max_idle`. Never
/// completes.
pub async fn sweep_idle(pool: Arc<Pool>, max_idle: Duration) {
    loop {
        tokio::time::sleep(max_idle / 2).await;
        pool.sweep(max_idle);
    }
}

/// Idle connections by address, direct ones apart from those that pass through tunnels.
#[derive(Debug)]
pub struct Pool {
    max_idle_per_address: usize,
    idle: Mutex<HashMap<(SocketAddr, PathKind), Vec<Connection>>>,
}

impl Pool {
    /// Creates an empty pool that keeps at most `max_idle_per_address` idle connections per address.
    #[must_use]
    pub fn new(max_idle_per_address: usize) -> Self {
        Self {
            max_idle_per_address,
            idle: Mutex::default(),
        }
    }

    /// Takes a usable direct connection that has been idle no longer than `max_idle`. Closes the
    /// unusable ones that it encounters.
    pub fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        self.take_of((address, PathKind::Direct), max_idle)
    }

    /// Takes a usable connection through a tunnel as [`Self::take`] does a direct one.
    pub fn take_relayed(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        self.take_of((address, PathKind::Relayed), max_idle)
    }

    fn take_of(&self, key: (SocketAddr, PathKind), max_idle: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        let of_address = idle.get_mut(&key)?;
        while let Some(mut connection) = of_address.pop() {
            if connection.is_fresh(max_idle) && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if the connection is not established within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, SendError> {
        let socket = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| SendError::NotSent)?
            .map_err(|_| SendError::NotSent)?;
        let _ = socket.set_nodelay(true);
        enable_keepalive(&socket);
        Connection::over(socket, address, None).await
    }

    /// Returns a connection to the pool. The caller has read a complete answer from it. If the pool
    /// is full for this address, the connection is closed.
    pub fn put_back(&self, connection: Connection) {
        self.put_back_up_to(connection, self.max_idle_per_address);
    }

    /// Returns a connection to the pool as [`Self::put_back`] does, if fewer than `max_idle` to its
    /// address are idle.
    pub fn put_back_up_to(&self, mut connection: Connection, max_idle: usize) {
        if connection.sender.is_closed() || connection.is_ending() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let of_address = idle.entry(connection.key()).or_default();
        if of_address.len() < max_idle.min(self.max_idle_per_address) {
            of_address.push(connection);
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle_at(&self, address: SocketAddr) {
        self.lock().retain(|(of, _), _| *of != address);
    }

    /// Closes the connections that have been idle longer than `max_idle`, and those the peer closed.
    pub fn sweep(&self, max_idle: Duration) {
        self.lock().retain(|_, connections| {
            connections.retain(|c| c.is_fresh(max_idle) && !c.is_ending() && !c.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<(SocketAddr, PathKind), Vec<Connection>>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
