//! Outgoing connections, by hyper: one request at a time each, kept for reuse.
//!
//! A connection goes back only after a whole answer; one that broke off, was given up, or got
//! bytes that belong to no request is closed.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use gotham::hyper::body::Incoming;
use gotham::hyper::http::response;
use gotham::hyper::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long a connection may be without a word of its peer before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between such probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How many probes go unanswered before a connection counts as lost.
const KEEPALIVE_PROBES: u32 = 2;
/// How long bytes may go without an acknowledgement.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// Lets the system notice a peer that is cut off or without power.
fn keep_probing(socket: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(socket);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    // Without these a lost peer is noticed later; nothing else depends on them.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
}

/// Ends a connection's task, and so closes it, when it is dropped.
#[derive(Debug)]
struct Closing(AbortHandle);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an endpoint, a box or the platform.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    rested_since: Instant,
    _closing: Closing,
}

/// Why a request got no answer's head.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was sent.
    NotSent,
    /// It may have been sent.
    Broken,
    /// What came back is no answer.
    Malformed,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no connection, so nothing was sent",
            Self::Broken => "the connection broke",
            Self::Malformed => "what came back is no HTTP answer",
        })
    }
}

impl std::error::Error for SendError {}

impl Connection {
    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Tells a request that was never sent from one that may have been.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut e) => Err(if e.take_message().is_some() {
                SendError::NotSent
            } else if e.error().is_parse() {
                SendError::Malformed
            } else {
                SendError::Broken
            }),
        }
    }

    /// Gets a path and reads the whole answer; `None` if the connection broke.
    pub async fn get(&mut self, path: &str) -> Option<(StatusCode, Bytes)> {
        let (head, body) = self.get_with_head(path).await?;
        Some((head.status, body))
    }

    /// Gets a path and reads the whole answer, whose head has to come within `head` and each further
    /// part of it within `silence`; `None` if it didn't, or if the connection broke.
    pub async fn get_with_timeouts(
        &mut self,
        path: &str,
        head: Duration,
        silence: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let request = self.with_host(request_to_get(path)?)?;
        let response = tokio::time::timeout(head, self.send(request)).await;
        let (parts, mut body) = response.ok()?.ok()?.into_parts();
        let mut bytes = BytesMut::new();
        while let Some(frame) = tokio::time::timeout(silence, body.frame()).await.ok()? {
            if let Ok(data) = frame.ok()?.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Some((parts.status, bytes.freeze()))
    }

    /// Gets a path and reads the whole answer with its head; `None` if the connection broke.
    pub async fn get_with_head(&mut self, path: &str) -> Option<(response::Parts, Bytes)> {
        self.exchange(request_to_get(path)?).await
    }

    /// Sends a request and reads the whole answer; `None` if the connection broke.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Option<(response::Parts, Bytes)> {
        let request = self.with_host(request)?;
        let response = self.send(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?;
        Some((head, body.to_bytes()))
    }

    fn with_host(&self, mut request: Request<Full<Bytes>>) -> Option<Request<Full<Bytes>>> {
        let host = self.address.to_string().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        Some(request)
    }

    /// Whether the next request can be sent at once.
    fn is_ready(&mut self) -> bool {
        !self.sender.is_closed() && matches!(self.sender.ready().now_or_never(), Some(Ok(())))
    }
}

fn request_to_get(path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    Some(request)
}

/// Closes connections that have rested longer than `rest`, for as long as the future is polled.
pub async fn sweep_idle(pool: Arc<Pool>, rest: Duration) {
    loop {
        tokio::time::sleep(rest / 2).await;
        pool.sweep(rest);
    }
}

/// Connections at rest.
#[derive(Debug)]
pub struct Pool {
    kept_per_address: usize,
    resting: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// An empty pool that keeps so many connections to one address at rest.
    #[must_use]
    pub fn new(kept_per_address: usize) -> Self {
        Self {
            kept_per_address,
            resting: Mutex::default(),
        }
    }

    /// Takes a connection that has rested no longer than `rest`.
    pub fn take(&self, address: SocketAddr, rest: Duration) -> Option<Connection> {
        let mut resting = self.lock();
        let of_address = resting.get_mut(&address)?;
        while let Some(mut connection) = of_address.pop() {
            if connection.rested_since.elapsed() <= rest && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Makes a new connection.
    ///
    /// # Errors
    ///
    /// If none can be made within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, SendError> {
        let socket = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| SendError::NotSent)?
            .map_err(|_| SendError::NotSent)?;
        let _ = socket.set_nodelay(true);
        keep_probing(&socket);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|_| SendError::NotSent)?;
        let task = tokio::spawn(async move {
            // What ends a connection is seen by the request on it.
            let _ = connection.await;
        });
        Ok(Connection {
            address,
            sender,
            rested_since: Instant::now(),
            _closing: Closing(task.abort_handle()),
        })
    }

    /// Keeps a connection for reuse after a whole answer.
    pub fn put_back(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.rested_since = Instant::now();
        let mut resting = self.lock();
        let of_address = resting.entry(connection.address).or_default();
        if of_address.len() < self.kept_per_address {
            of_address.push(connection);
        }
    }

    /// Closes the connections to an address that rest.
    pub fn close_idle_at(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that have rested longer than `rest`.
    pub fn sweep(&self, rest: Duration) {
        self.lock().retain(|_, connections| {
            connections.retain(|c| c.rested_since.elapsed() <= rest && !c.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.resting
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
