//! A client for the product's own calls: each is one request on a connection of the pool, or on a
//! new one.
//!
//! A connection that the peer has closed while it rested is noticed before a byte of the request is
//! written, and the request then goes on a new one; a request that may have been written is never
//! sent again here.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::body::{Body, Frame, Incoming, SizeHint};
use gotham::hyper::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};

use super::pool::{Connection, Pool, SendError};

/// How long a connection attempt may take.
const CALL_CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long a connection may have rested that is used again.
const REUSED_WITHIN: Duration = Duration::from_secs(20);
/// How many connections to one address are kept at rest: about as many as an engine has streams.
const KEPT_PER_ADDRESS: usize = 256;
/// The greatest answer that is read whole, in bytes: a part of a bundle is a megabyte at the most.
const MAX_ANSWER: usize = 16 << 20;

/// Why an HTTP call failed.
#[derive(Debug)]
pub enum HttpError {
    /// No connection could be made, so no byte of the request was sent.
    Connect(String),
    /// The connection broke after the request may have been sent.
    Broken(String),
    /// No answer came in time; the request may have been sent.
    TimedOut,
    /// The request could not be built.
    BadRequest(String),
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(e) => write!(
                f,
                "no connection: {e}; check the address and that the process runs"
            ),
            Self::Broken(e) => write!(f, "connection broke: {e}; try again"),
            Self::TimedOut => write!(f, "no answer in time; try again"),
            Self::BadRequest(e) => write!(f, "request can't be built: {e}; check the address"),
        }
    }
}

impl std::error::Error for HttpError {}

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: gotham::hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A client that keeps connections for reuse; clones share them.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pool: Arc::new(Pool::new(KEPT_PER_ADDRESS)),
        }
    }
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// IP number and port.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl<'a> Call<'a> {
    /// A request without headers or body.
    #[must_use]
    pub fn new(method: Method, address: &'a str, path: &'a str) -> Self {
        Self {
            method,
            address,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    fn build(self) -> Result<Request<Full<Bytes>>, HttpError> {
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, self.address);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(self.body))
            .map_err(|e| HttpError::BadRequest(e.to_string()))
    }
}

impl Client {
    /// Sends a request and returns the answer's head with a body that is still to be read.
    ///
    /// # Errors
    ///
    /// Tells a connection that could not be made from one that broke.
    pub async fn open(
        &self,
        call: Call<'_>,
        limit: Duration,
    ) -> Result<Response<AnswerBody>, HttpError> {
        let address = call.address.to_owned();
        let request = call.build()?;
        tokio::time::timeout(limit, self.request(&address, request))
            .await
            .unwrap_or(Err(HttpError::TimedOut))
    }

    async fn request(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, HttpError> {
        let address = resolve(address).await?;
        if let Some(mut rested) = self.pool.take(address, REUSED_WITHIN) {
            match rested.send(request.clone()).await {
                Ok(response) => return Ok(self.keep(response, rested)),
                // The peer had closed it; no byte was written.
                Err(SendError::NotSent) => {}
                Err(e) => return Err(HttpError::Broken(e.to_string())),
            }
        }
        let mut fresh = Pool::connect(address, CALL_CONNECT_LIMIT)
            .await
            .map_err(|e| HttpError::Connect(e.to_string()))?;
        match fresh.send(request).await {
            Ok(response) => Ok(self.keep(response, fresh)),
            Err(SendError::NotSent) => Err(HttpError::Connect(SendError::NotSent.to_string())),
            Err(e) => Err(HttpError::Broken(e.to_string())),
        }
    }

    fn keep(&self, response: Response<Incoming>, connection: Connection) -> Response<AnswerBody> {
        response.map(|body| AnswerBody {
            body,
            connection: Some(connection),
            pool: Arc::clone(&self.pool),
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As for [`Client::open`]; an answer that is too long counts as broken.
    pub async fn send(&self, call: Call<'_>, limit: Duration) -> Result<Answer, HttpError> {
        let whole = async {
            let response = self.open(call, limit).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER);
            let body = body
                .collect()
                .await
                .map_err(|e| HttpError::Broken(e.to_string()))?;
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(limit, whole)
            .await
            .unwrap_or(Err(HttpError::TimedOut))
    }

    /// Closes connections that have rested for long, for as long as the future is polled.
    pub async fn sweep_idle(self) {
        super::pool::sweep_idle(self.pool, REUSED_WITHIN).await;
    }
}

async fn resolve(address: &str) -> Result<SocketAddr, HttpError> {
    let mut found = tokio::net::lookup_host(address)
        .await
        .map_err(|e| HttpError::Connect(format!("{address}: {e}")))?;
    found
        .next()
        .ok_or_else(|| HttpError::Connect(format!("{address} has no IP number")))
}

/// The body of an answer; its connection goes back to the pool once it was read whole, and is
/// closed if it was not.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    connection: Option<Connection>,
    pool: Arc<Pool>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = gotham::hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None))
            && let Some(connection) = self.connection.take()
        {
            self.pool.put_back(connection);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
