//! Connections to endpoints, by hyper: one request at a time each, kept for reuse.
//!
//! A connection goes back only after a whole answer; one that broke off, was given up, or got
//! bytes that belong to no request is closed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use gotham::hyper::body::Incoming;
use gotham::hyper::http::response;
use gotham::hyper::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::http::keep_probing;

/// How many connections to one endpoint are kept at rest.
const KEPT_PER_ENDPOINT: usize = 8;

/// Ends a connection's task, and so closes it, when it is dropped.
#[derive(Debug)]
struct Closing(AbortHandle);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an endpoint.
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

    /// Gets a path and reads the whole answer with its head; `None` if the connection broke.
    pub async fn get_with_head(&mut self, path: &str) -> Option<(response::Parts, Bytes)> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().ok()?;
        self.exchange(request).await
    }

    /// Sends a request and reads the whole answer; `None` if the connection broke.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Option<(response::Parts, Bytes)> {
        let host = self.address.to_string().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        let response = self.send(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?;
        Some((head, body.to_bytes()))
    }

    /// Whether the next request can be sent at once.
    fn is_ready(&mut self) -> bool {
        !self.sender.is_closed() && matches!(self.sender.ready().now_or_never(), Some(Ok(())))
    }
}

/// How long a connection may rest before it is closed.
const LONGEST_REST: Duration = Duration::from_secs(5);

/// Closes connections that have rested for long, for as long as the process runs.
pub async fn sweep_resting(pool: std::sync::Arc<Pool>) {
    loop {
        tokio::time::sleep(LONGEST_REST / 2).await;
        pool.sweep(LONGEST_REST);
    }
}

/// Connections at rest.
#[derive(Debug, Default)]
pub struct Pool {
    resting: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes a connection that has rested no longer than `rest`.
    pub fn take(&self, address: SocketAddr, rest: Duration) -> Option<Connection> {
        let mut resting = self.lock();
        let of_endpoint = resting.get_mut(&address)?;
        while let Some(mut connection) = of_endpoint.pop() {
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
        let of_endpoint = resting.entry(connection.address).or_default();
        if of_endpoint.len() < KEPT_PER_ENDPOINT {
            of_endpoint.push(connection);
        }
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
