//! HTTP by `hyper-util` and `gotham`: one small client and one small server for all of the
//! product's own uses.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::hyper::body::{Frame, Incoming};
use gotham::hyper::{Method, Request, Response, StatusCode};
use gotham::state::State;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::service::service_fn;
use hyper_util::client::legacy::Client as PooledClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a caller may take to send its request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The greatest head of a request in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// The least bound on a head that the HTTP library takes, in bytes.
const LEAST_HEAD_BYTES: usize = 8 << 10;
/// How long a caller may take to send its request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How many connections one listener serves at once.
const MAX_CONNECTIONS: usize = 8_192;
/// The greatest answer that the client reads whole.
const MAX_ANSWER: usize = 16 << 20;
/// How long an idle connection is kept for reuse.
const IDLE_KEPT: Duration = Duration::from_secs(20);

/// How long a connection may be without a word of its peer before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between such probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How many probes go unanswered before a connection counts as lost.
const KEEPALIVE_PROBES: u32 = 2;
/// How long bytes may go without an acknowledgement.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// Lets the system notice a peer that is cut off or without power.
pub fn keep_probing(socket: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(socket);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    // Without these a lost peer is noticed later; nothing else depends on them.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
}

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

/// A client that keeps connections for reuse.
#[derive(Clone, Debug)]
pub struct Client {
    inner: PooledClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
        let inner = PooledClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_KEPT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
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
            .uri(format!("http://{}{}", self.address, self.path));
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
    ) -> Result<Response<Incoming>, HttpError> {
        let request = call.build()?;
        match tokio::time::timeout(limit, self.inner.request(request)).await {
            Err(_) => Err(HttpError::TimedOut),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.is_connect() => Err(HttpError::Connect(e.to_string())),
            Ok(Err(e)) => Err(HttpError::Broken(e.to_string())),
        }
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
}

/// Why a request's body could not be read.
#[derive(Debug, PartialEq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It did not come in time.
    TooSlow,
    /// The connection broke.
    Broken,
}

/// Reads a request's body, up to `most` bytes.
///
/// # Errors
///
/// Says whether the body was too long, too slow, or broke off.
pub async fn read_body(body: Body, most: usize) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, most);
    match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// A body that is sent whole.
#[must_use]
pub fn full(body: impl Into<Bytes>) -> Body {
    Body::new(Full::new(body.into()).map_err(|e: Infallible| match e {}))
}

/// A body that is sent as it comes.
#[must_use]
pub fn streaming(chunks: impl Stream<Item = Bytes> + Send + 'static) -> Body {
    use futures_util::StreamExt;
    Body::new(StreamBody::new(
        chunks.map(|b| Ok::<_, io::Error>(Frame::data(b))),
    ))
}

/// Builds a response.
///
/// # Panics
///
/// If the status or content type can't be a response's, which is a mistake in this program.
#[must_use]
pub fn respond(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body)
        .expect("status and content type are valid")
}

/// Builds a JSON response.
#[must_use]
pub fn respond_json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    respond(status, "application/json", full(text))
}

/// How connections are served.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// How long a connection may take for a request's head, its rest before it with it.
    pub head_timeout: Duration,
    /// The greatest head of a request in bytes.
    pub head_bytes: usize,
    /// Turns true once connections at rest are to be closed.
    pub closing: watch::Receiver<bool>,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            head_timeout: HEAD_TIMEOUT,
            head_bytes: HEAD_BYTES,
            closing: watch::channel(false).1,
        }
    }
}

/// Serves HTTP on a listener by a gotham handler, for as long as the future is polled.
pub async fn serve<H>(listener: TcpListener, handler: H)
where
    H: NewHandler + 'static,
{
    serve_with(listener, handler, ServeOptions::default).await;
}

/// Serves HTTP like [`serve`], with options that are asked for at each new connection.
///
/// Ends, and so refuses new connections, once those at rest are to be closed.
pub async fn serve_with<H>(listener: TcpListener, handler: H, options: impl Fn() -> ServeOptions)
where
    H: NewHandler + 'static,
{
    let mut closing = options().closing;
    tokio::select! {
        () = accept_all(listener, handler, options) => {}
        () = becomes_true(&mut closing) => {}
    }
}

async fn accept_all<H>(listener: TcpListener, handler: H, options: impl Fn() -> ServeOptions)
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else {
            return;
        };
        let Ok((socket, client)) = listener.accept().await else {
            // Out of descriptors, most likely; those in use will be freed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let options = options();
        tokio::spawn(async move {
            serve_connection(socket, client, handler, options).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H>(
    socket: tokio::net::TcpStream,
    client: SocketAddr,
    handler: Arc<H>,
    mut options: ServeOptions,
) where
    H: NewHandler + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let state = State::from_request(request, client);
        gotham::service::call_handler(Arc::clone(&handler), AssertUnwindSafe(state))
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(served);
    // A caller that breaks off is no fault of this process.
    tokio::select! {
        _ = served.as_mut() => return,
        () = becomes_true(&mut options.closing) => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Waits until a flag is set; for ever if nobody can set it any more.
async fn becomes_true(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|is_set| *is_set).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Runs a future to its end unless it takes longer than `limit`.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}
