//! The HTTP server of all of the product's listeners: bounded connections, bounded heads, and an
//! end that lets running requests be answered.

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

/// How long a caller may take to send its request's head, where no setting says.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The greatest head of a request in bytes, where no setting says.
const HEAD_BYTES: usize = 64 << 10;
/// The least bound on a head that the HTTP library takes, in bytes.
const LEAST_HEAD_BYTES: usize = 8 << 10;
/// How long a caller may take to send its request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The media type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
/// How many connections one listener serves at once.
const MAX_CONNECTIONS: usize = 8_192;
/// The pause after a connection could not be accepted, for which the reason is mostly a lack of
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

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
