//! The HTTP client for the product's own calls. Each call is one request on a pooled connection or
//! on a new one.
//!
//! If the peer has closed a pooled connection while it was idle, the client notices before it writes
//! a byte of the request, and uses a new connection. The client never resends a request that may
//! have been written.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::body::{Body, Frame, SizeHint};
use gotham::hyper::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;

use super::answer_end::AnswerEnd;
use super::pool::{Connection, Pool, SendError};
use super::read_limit::{PeerBody, read_limited};

/// The timeout for connecting.
const CALL_CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// The longest time that a connection may have been idle to be reused.
const REUSE_IDLE_LIMIT: Duration = Duration::from_secs(20);
/// The number of idle connections kept per address: about as many as an engine has streams.
const MAX_IDLE_PER_ADDRESS: usize = 256;
/// The largest answer body that [`Client::send`] reads, in bytes; the largest one expected is a part
/// of a bundle, at most 1 MB.
const MAX_ANSWER: usize = 16 << 20;

/// The reason why an HTTP call failed.
#[derive(Debug)]
pub enum HttpError {
    /// No connection was established, so no byte of the request was sent.
    Connect(String),
    /// The connection broke after the request may have been sent.
    Broken(String),
    /// The answer did not arrive within the timeout; the request may have been sent.
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
            Self::TimedOut => write!(f, "no answer within the timeout; try again"),
            Self::BadRequest(e) => write!(f, "request can't be built: {e}; check the address"),
        }
    }
}

impl std::error::Error for HttpError {}

/// An answer whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// All header fields of the answer.
    pub headers: gotham::hyper::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns a header as text; `None` if it is missing or isn't visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pool: Arc::new(Pool::new(MAX_IDLE_PER_ADDRESS)),
        }
    }
}

/// An HTTP request to be sent.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The target as `HOST:PORT`; also sent as the `Host` header.
    pub address: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// Headers in addition to `Host`.
    pub headers: Vec<(&'static str, String)>,
    /// The body; may be empty.
    pub body: Bytes,
}

impl<'a> Call<'a> {
    /// Creates a request without headers or body.
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
    /// Sends a request and returns the answer as soon as its head has arrived; the caller reads the
    /// body.
    ///
    /// # Errors
    ///
    /// Fails with the reason; [`HttpError::Connect`] means that the request was not sent.
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
        if let Some(mut pooled) = self.pool.take(address, REUSE_IDLE_LIMIT) {
            match pooled.send(request.clone()).await {
                Ok(response) => return Ok(self.with_connection(response, pooled)),
                // The peer closed the connection while it was idle; no byte was written.
                Err(SendError::NotSent) => {}
                Err(e) => return Err(HttpError::Broken(e.to_string())),
            }
        }
        let mut fresh = Pool::connect(address, CALL_CONNECT_LIMIT)
            .await
            .map_err(|e| HttpError::Connect(e.to_string()))?;
        match fresh.send(request).await {
            Ok(response) => Ok(self.with_connection(response, fresh)),
            Err(SendError::NotSent) => Err(HttpError::Connect(SendError::NotSent.to_string())),
            Err(e) => Err(HttpError::Broken(e.to_string())),
        }
    }

    fn with_connection(
        &self,
        response: Response<PeerBody>,
        connection: Connection,
    ) -> Response<AnswerBody> {
        response.map(|body| AnswerBody {
            body,
            connection: Some(connection),
            pool: Arc::clone(&self.pool),
        })
    }

    /// Sends a request and reads the complete answer within `limit`.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::open`]; an answer longer than [`MAX_ANSWER`], or one whose end can't be told
    /// from a cut, is [`HttpError::Broken`].
    pub async fn send(&self, call: Call<'_>, limit: Duration) -> Result<Answer, HttpError> {
        let exchange = async {
            let response = self.open(call, limit).await?;
            let (head, body) = response.into_parts();
            if body.end() == AnswerEnd::Connection {
                let error = "the answer states neither a length nor chunks";
                return Err(HttpError::Broken(error.to_owned()));
            }
            let body = read_limited(body, MAX_ANSWER, |_| true).await;
            let body = body.map_err(|e| HttpError::Broken(e.to_string()))?;
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: body.freeze(),
            })
        };
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(HttpError::TimedOut))
    }

    /// Closes connections that have been idle for too long to be reused. Never completes.
    pub async fn sweep_idle(self) {
        super::pool::sweep_idle(self.pool, REUSE_IDLE_LIMIT).await;
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

/// The body of an answer. Its connection returns to the pool once the body has been read completely;
/// if the body is dropped before, the connection is closed.
#[derive(Debug)]
pub struct AnswerBody {
    body: PeerBody,
    connection: Option<Connection>,
    pool: Arc<Pool>,
}

impl AnswerBody {
    /// Returns how the end of the body is known.
    #[must_use]
    pub fn end(&self) -> AnswerEnd {
        self.body.end()
    }
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
