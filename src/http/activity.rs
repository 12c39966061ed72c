//! What happens on one connection: nothing, the receipt of a head, or a request in progress.
//!
//! The HTTP library knows this too, but has one time-out for the idle time and the head together,
//! and its graceful shutdown cuts a head that has arrived in part on a kept connection.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The state of a connection, with the time at which it began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No byte of a request has arrived since the last answer.
    Idle(Instant),
    /// A part of a head has arrived.
    Head(Instant),
    /// A request is in progress.
    Busy(Instant),
}

impl Phase {
    /// When it began.
    #[must_use]
    pub fn since(self) -> Instant {
        match self {
            Self::Idle(since) | Self::Head(since) | Self::Busy(since) => since,
        }
    }
}

/// Handle to the state of one connection; clones refer to the same state.
#[derive(Clone, Debug)]
pub struct Activity {
    phase: Arc<Mutex<Phase>>,
    changes: Arc<Notify>,
}

impl Activity {
    /// Creates the state of a connection that has just been accepted.
    #[must_use]
    pub fn start() -> Self {
        Self {
            phase: Arc::new(Mutex::new(Phase::Idle(Instant::now()))),
            changes: Arc::new(Notify::new()),
        }
    }

    /// The state now.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the state has changed.
    pub async fn changed(&self) {
        self.changes.notified().await;
    }

    /// Notes that a request's head has arrived; returns when it began to, or earlier.
    #[must_use]
    pub fn begin_request(&self) -> Instant {
        let began = self.phase().since();
        self.set(Phase::Busy(Instant::now()));
        began
    }

    /// Returns the body of an answer, whose end or loss ends the request.
    #[must_use]
    pub fn until_sent(&self, body: Body) -> Body {
        Body::new(SentBody {
            body,
            request: BusyUntilDropped {
                activity: self.clone(),
                phase: self.phase(),
            },
        })
    }

    fn on_bytes(&self) {
        if matches!(self.phase(), Phase::Idle(_)) {
            self.set(Phase::Head(Instant::now()));
        }
    }

    fn set(&self, phase: Phase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
        self.changes.notify_one();
    }
}

struct BusyUntilDropped {
    activity: Activity,
    phase: Phase,
}

impl Drop for BusyUntilDropped {
    fn drop(&mut self) {
        if self.activity.phase() == self.phase {
            self.activity.set(Phase::Idle(Instant::now()));
        }
    }
}

/// The body of an answer.
struct SentBody {
    body: Body,
    #[expect(dead_code, reason = "its drop is the end of the request")]
    request: BusyUntilDropped,
}

impl HttpBody for SentBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A socket that reports the bytes that arrive.
#[derive(Debug)]
pub struct ObservedSocket {
    socket: TcpStream,
    activity: Activity,
}

impl ObservedSocket {
    /// Observes a socket.
    #[must_use]
    pub fn new(socket: TcpStream, activity: Activity) -> Self {
        Self { socket, activity }
    }

    /// Sends a few bytes, unless the peer has to read others first, and closes.
    pub fn send_now(self, bytes: &[u8]) {
        let _ = self.socket.try_write(bytes);
    }
}

impl AsyncRead for ObservedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_bytes();
        }
        read
    }
}

impl AsyncWrite for ObservedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
