//! The HTTP server behind every listener of the product. It bounds the number of connections and the
//! size of request heads, and its graceful shutdown completes the requests in progress.

use std::convert::Infallible;
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
use gotham::hyper::{Request, Response, StatusCode};
use gotham::state::State;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// The default timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The default limit on the head of a request, in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// The smallest limit on a head that the HTTP library accepts, in bytes.
const LEAST_HEAD_BYTES: usize = 8 << 10;
/// The timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The media type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
/// The number of connections that one listener serves concurrently.
const MAX_CONNECTIONS: usize = 8_192;
/// The delay after a failed `accept`, mostly caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The reason why the body of a request could not be read.
#[derive(Debug, PartialEq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The body did not arrive within [`BODY_TIMEOUT`].
    TooSlow,
    /// The connection broke before the end of the body.
    Broken,
}

/// Reads the body of a request, up to `max_bytes`.
///
/// # Errors
///
/// Fails if the body is too long, too slow, or cut short.
pub async fn read_body(body: Body, max_bytes: usize) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, max_bytes);
    match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// Builds a body that is sent at once, with a known length.
#[must_use]
pub fn full(body: impl Into<Bytes>) -> Body {
    Body::new(Full::new(body.into()).map_err(|e: Infallible| match e {}))
}

/// Builds a body that is sent chunk by chunk, as the stream yields it.
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
/// Panics if the content type is not a valid header value, which is a bug in this program.
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

/// Options for serving a connection.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// The timeout for receiving the head of a request, including the idle time before it.
    pub head_timeout: Duration,
    /// The limit on the head of a request, in bytes; raised to 8 KiB if smaller.
    pub head_bytes: usize,
    /// Becomes true when the server has to stop accepting connections and close the idle ones.
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

/// Serves HTTP on a listener with a gotham handler. Never completes.
pub async fn serve<H>(listener: TcpListener, handler: H)
where
    H: NewHandler + 'static,
{
    serve_with(listener, handler, ServeOptions::default).await;
}

/// Serves HTTP like [`serve`], with options evaluated for each new connection.
///
/// Completes, and so drops the listener, once [`ServeOptions::closing`] is true. Connections in
/// progress continue in tasks of their own until their current request is answered.
pub async fn serve_with<H>(listener: TcpListener, handler: H, options: impl Fn() -> ServeOptions)
where
    H: NewHandler + 'static,
{
    let mut closing = options().closing;
    tokio::select! {
        () = accept_all(listener, handler, options) => {}
        () = wait_until_true(&mut closing) => {}
    }
}

async fn accept_all<H>(listener: TcpListener, handler: H, options: impl Fn() -> ServeOptions)
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
            return;
        };
        let Ok((socket, client)) = listener.accept().await else {
            // The process is most likely out of file descriptors, which free up as connections end.
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
    // A connection error is ignored: it means that the caller disconnected.
    tokio::select! {
        _ = served.as_mut() => return,
        () = wait_until_true(&mut options.closing) => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Waits until a flag is true; forever if its sender has been dropped.
async fn wait_until_true(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|is_set| *is_set).await.is_err() {
        std::future::pending::<()>().await;
    }
}
