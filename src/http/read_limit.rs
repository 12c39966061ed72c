//! A bound on the bytes that a peer may send while its answer does not advance.
//!
//! The HTTP library bounds the size of one head. It does not bound the number of informational
//! answers before a head, nor the digits and white space before the data of a chunk, so a peer can
//! send those without end. [`ReadLimit`] counts what is read from a connection, in bytes, since the
//! last head or data of a body; above [`MAX_BYTES_WITHOUT_ADVANCE`] reading fails. How long a peer is
//! silent has no effect.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use gotham::hyper::body::{Body, Frame, Incoming, SizeHint};
use http_body_util::BodyExt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::answer_end::AnswerEnd;

/// Maximum number of bytes read from a peer since its answer last advanced. Far above the read
/// buffers of a connection, whose content counts before it is handed over as data.
pub const MAX_BYTES_WITHOUT_ADVANCE: usize = 1 << 20;

/// Counts the bytes that a connection has received since its answer last advanced.
#[derive(Debug, Default)]
pub struct ReadLimit {
    bytes: AtomicUsize,
    is_exceeded: AtomicBool,
}

impl ReadLimit {
    /// Whether the peer has sent more than [`MAX_BYTES_WITHOUT_ADVANCE`].
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded.load(Ordering::Relaxed)
    }

    /// Starts counting anew: a request is sent, or a head or data of a body has arrived.
    pub fn on_advance(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Counts received bytes.
    fn on_read(&self, bytes: usize) -> Result<()> {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes <= MAX_BYTES_WITHOUT_ADVANCE {
            return Ok(());
        }
        self.is_exceeded.store(true, Ordering::Relaxed);
        let text = format!(
            "the peer sent over {MAX_BYTES_WITHOUT_ADVANCE} bytes that do not advance its answer; \
             check what listens at its address"
        );
        Err(Error::new(ErrorKind::InvalidData, text))
    }
}

/// A connection whose received bytes are counted.
pub struct LimitedIo<T> {
    /// The connection.
    pub io: T,
    /// The count.
    pub limit: Arc<ReadLimit>,
}

impl<T: AsyncRead + Unpin> AsyncRead for LimitedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        Poll::Ready(self.limit.on_read(buf.filled().len() - before))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for LimitedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

/// The body of a peer's answer; its data count as an advance.
#[derive(Debug)]
pub struct PeerBody {
    pub(super) body: Incoming,
    pub(super) limit: Arc<ReadLimit>,
    pub(super) end: AnswerEnd,
}

impl PeerBody {
    /// Returns how the end of the body is known.
    #[must_use]
    pub fn end(&self) -> AnswerEnd {
        self.end
    }
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = gotham::hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &polled {
            self.limit.on_advance();
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

/// The reason why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The body is longer than allowed, or there is no memory left for it.
    TooLong,
    /// The connection broke before the end of the body.
    Broken,
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the body is longer than allowed",
            Self::Broken => "the connection broke before the end of the body",
        })
    }
}

impl std::error::Error for ReadError {}

/// Reads a body of at most `max_bytes`; `is_admitted` is given the memory in bytes that the body
/// takes whenever it grows, and may reject it. The body is copied into one buffer: a peer can send
/// chunks of one byte, and each would take many times its size.
///
/// # Errors
///
/// Fails if the body is too long, rejected or cut short.
pub async fn read_limited(
    mut body: impl Body<Data = Bytes> + Unpin,
    max_bytes: usize,
    mut is_admitted: impl FnMut(usize) -> bool,
) -> std::result::Result<BytesMut, ReadError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadError::TooLong);
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(ReadError::TooLong);
        }
        bytes.extend_from_slice(&data);
        if !is_admitted(bytes.capacity()) {
            return Err(ReadError::TooLong);
        }
    }
    Ok(bytes)
}
