//! The HTTP server behind every listener of the product. It bounds the number of connections, their
//! idle time and the size of request heads, and its graceful shutdown completes the requests in
//! progress.
//!
//! The limits may change while connections are open ([`super::limits`]). Only a connection on which
//! nothing has arrived since its last answer counts as idle ([`super::activity`]): a head that has
//! begun to arrive has [`HEAD_TIMEOUT`] or more, and a status if it takes longer.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::hyper::body::{Frame, Incoming};
use gotham::hyper::header::{CONNECTION, HeaderValue};
use gotham::hyper::{Request, Response, StatusCode, Version};
use gotham::state::State;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::activity::{Activity, ObservedSocket, Phase};
use super::limits::{ConnectionLimits, HEAD_TIMEOUT, IDLE_MARGIN, LimitsInForce};

/// The default idle time of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The default limit on the head of a request, in bytes. A connection reads this much also while a
/// lower limit is in force, which is checked when the head is complete: the limit may rise later.
pub const HEAD_BYTES: usize = 64 << 10;
/// The smallest limit on a head that is applied, in bytes.
const LEAST_HEAD_BYTES: usize = 8 << 10;
/// The timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The bytes of a request's first line beside its method and target.
const FIRST_LINE_REST_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();
/// The bytes of a header field beside its name and value.
const FIELD_REST_BYTES: usize = ": \r\n".len();
/// The answer to a head that takes too long; the request has not run.
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
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

/// Has a response end with its connection, in place of a length or a last chunk. Its body must have no
/// known length.
pub fn end_with_connection(response: &mut Response<Body>) {
    // The HTTP library sends a body of unknown length without chunks in this version only.
    *response.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Builds a JSON response.
#[must_use]
pub fn respond_json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    respond(status, "application/json", full(text))
}

/// Options for serving a listener.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Limits on connections. A limit on heads under 8 KiB counts as 8 KiB.
    pub limits: LimitsInForce,
    /// Becomes true when the server has to stop accepting connections and close the idle ones.
    pub closing: watch::Receiver<bool>,
}

impl Default for ServeOptions {
    fn default() -> Self {
        let limits = ConnectionLimits {
            idle: IDLE_TIMEOUT,
            head_bytes: HEAD_BYTES,
        };
        Self {
            limits: LimitsInForce::new(limits),
            closing: watch::channel(false).1,
        }
    }
}

/// Serves HTTP on a listener with a gotham handler. Never completes.
pub async fn serve<H>(listener: impl Into<Arc<TcpListener>>, handler: H)
where
    H: NewHandler + 'static,
{
    serve_with(listener, handler, ServeOptions::default()).await;
}

/// Serves HTTP like [`serve`], with options.
///
/// Completes, and so drops the listener, once [`ServeOptions::closing`] is true. Connections in
/// progress continue in tasks of their own until their current request is answered.
pub async fn serve_with<H>(listener: impl Into<Arc<TcpListener>>, handler: H, options: ServeOptions)
where
    H: NewHandler + 'static,
{
    let mut closing = options.closing.clone();
    tokio::select! {
        () = accept_all(listener.into(), handler, options) => {}
        () = wait_until_true(&mut closing) => {}
    }
}

async fn accept_all<H>(listener: Arc<TcpListener>, handler: H, options: ServeOptions)
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
        let options = options.clone();
        tokio::spawn(async move {
            serve_connection(socket, client, handler, options).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H>(
    socket: TcpStream,
    client: SocketAddr,
    handler: Arc<H>,
    mut options: ServeOptions,
) where
    H: NewHandler + 'static,
{
    let activity = Activity::start();
    let connection = Arc::new(ServedConnection {
        handler,
        client,
        options: options.clone(),
        activity: activity.clone(),
    });
    let service = service_fn(move |request| Arc::clone(&connection).serve(request));
    let buffer_bytes = options.limits.current().head_bytes.max(HEAD_BYTES);
    let socket = ObservedSocket::new(socket, activity.clone());
    let mut served = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(socket), service);
    // A connection error is ignored: it means that the caller disconnected.
    let due = tokio::select! {
        biased;
        _ = &mut served => return,
        due = until_due(&activity, &mut options) => due,
    };
    match due {
        Due::Close => {
            Pin::new(&mut served).graceful_shutdown();
            let _ = served.await;
        }
        Due::RefuseHead => served.into_parts().io.into_inner().send_now(HEAD_TOO_SLOW),
    }
}

/// What serves the requests of one connection.
struct ServedConnection<H> {
    handler: Arc<H>,
    client: SocketAddr,
    options: ServeOptions,
    activity: Activity,
}

impl<H> ServedConnection<H>
where
    H: NewHandler + 'static,
{
    async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> gotham::anyhow::Result<Response<Body>> {
        let head_began = self.activity.begin_request();
        let mut response = self.answer(request, head_began).await?;
        if *self.options.closing.borrow() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response.map(|body| self.activity.until_sent(body)))
    }

    /// Answers one request, with 431 if its head is too long.
    async fn answer(
        &self,
        request: Request<Incoming>,
        head_began: Instant,
    ) -> gotham::anyhow::Result<Response<Body>> {
        let limit = self.options.limits.most_since(head_began).head_bytes;
        let most = limit.max(LEAST_HEAD_BYTES);
        if head_bytes(&request) > most {
            let text = format!("the head may have {most} bytes; send a shorter one\n");
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Ok(respond(status, "text/plain", full(text)));
        }
        let state = State::from_request(request, self.client);
        let handler = Arc::clone(&self.handler);
        gotham::service::call_handler(handler, AssertUnwindSafe(state)).await
    }
}

/// The size of a request's head as it was sent, in bytes, without optional white space.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let first_line = request.method().as_str().len() + target + FIRST_LINE_REST_BYTES;
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_REST_BYTES);
    first_line + fields.sum::<usize>()
}

/// What is due for a connection.
enum Due {
    /// It closes once the request in progress, if any, is answered.
    Close,
    /// The head of a request has taken too long.
    RefuseHead,
}

/// Waits until something is due for a connection: its limits are exceeded, or the server is closing
/// and no head is on its way.
async fn until_due(activity: &Activity, options: &mut ServeOptions) -> Due {
    let closing = &mut options.closing;
    let until_closing = async move {
        wait_until_true(closing).await;
        while matches!(activity.phase(), Phase::Head(_)) {
            activity.changed().await;
        }
    };
    tokio::select! {
        due = until_overdue(activity, &options.limits) => due,
        () = until_closing => Due::Close,
    }
}

/// Waits until a connection has been idle, or the head of a request has taken, longer than allowed.
async fn until_overdue(activity: &Activity, limits: &LimitsInForce) -> Due {
    loop {
        let phase = activity.phase();
        let idle = limits.most_since(phase.since()).idle;
        let (end, due) = match phase {
            Phase::Idle(since) => (since + idle + IDLE_MARGIN, Due::Close),
            Phase::Head(since) => (since + idle.max(HEAD_TIMEOUT), Due::RefuseHead),
            // Any idle time that follows ends later.
            Phase::Busy(_) => (Instant::now() + idle + IDLE_MARGIN, Due::Close),
        };
        if end <= Instant::now() {
            return due;
        }
        tokio::time::sleep_until(end.into()).await;
    }
}

/// Waits until a flag is true; forever if its sender has been dropped.
async fn wait_until_true(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|is_set| *is_set).await.is_err() {
        std::future::pending::<()>().await;
    }
}
