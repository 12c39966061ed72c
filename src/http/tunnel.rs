//! A tunnel: a connection to a server that another process opens and forwards.
//!
//! Bytes to the server pass as they are. Bytes from the server pass in frames, since the end of a
//! connection alone doesn't say whether the server closed it, which may complete an answer, or the
//! forwarding process exited. [`forward`] is the side of the forwarding process, [`Tunnel`] the
//! other one.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, Stream, StreamExt, stream};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

/// Bytes that are read from a server at a time.
const READ_BYTES: usize = 16 << 10;

/// First byte of a frame with bytes of the server.
const DATA: u8 = 0;
/// First byte of the frame after the server's last byte.
const END: u8 = 1;
/// First byte of the frame that says that the server's connection broke.
const BROKEN: u8 = 2;
/// First byte of the frame that says that the forwarding process is about to exit.
const STOPPING: u8 = 3;

/// What is known of a tunnel beside its bytes.
#[derive(Debug, Default)]
pub struct TunnelState {
    is_lost: AtomicBool,
    is_stopping: AtomicBool,
}

impl TunnelState {
    /// Whether the tunnel itself broke, and not the server's connection.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Whether the forwarding process is about to exit.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

/// Bytes of the server.
type ServerBytes = Pin<Box<dyn Stream<Item = Result<Bytes>> + Send>>;

/// The near side of a tunnel.
pub struct Tunnel {
    /// Bytes from the server; ends only where the server has closed its connection.
    pub reader: StreamReader<ServerBytes, Bytes>,
    /// Bytes to the server.
    pub writer: OwnedWriteHalf,
    /// What is known of the tunnel beside its bytes.
    pub state: Arc<TunnelState>,
}

impl Tunnel {
    /// Uses a connection to a process that forwards.
    #[must_use]
    pub fn new(socket: TcpStream) -> Self {
        let (reader, writer) = socket.into_split();
        let state = Arc::new(TunnelState::default());
        let frames = FramedRead::new(reader, LengthDelimitedCodec::new());
        let bytes = server_bytes(frames, Arc::clone(&state));
        Self {
            reader: StreamReader::new(Box::pin(bytes)),
            writer,
            state,
        }
    }
}

type Frames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// The server's bytes; an error if its connection or the tunnel broke.
fn server_bytes(frames: Frames, state: Arc<TunnelState>) -> impl Stream<Item = Result<Bytes>> {
    stream::unfold(Some(frames), move |frames| {
        let state = Arc::clone(&state);
        async move {
            let mut frames = frames?;
            match next_bytes(&mut frames, &state).await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(frames))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        }
    })
}

/// The next bytes of the server; `None` after the last ones.
async fn next_bytes(frames: &mut Frames, state: &TunnelState) -> Result<Option<Bytes>> {
    loop {
        let frame = frames.next().await.and_then(Result::ok);
        let Some(mut frame) = frame.filter(|frame| !frame.is_empty()) else {
            state.is_lost.store(true, Ordering::Relaxed);
            return Err(ErrorKind::UnexpectedEof.into());
        };
        match frame.get_u8() {
            DATA => return Ok(Some(frame.freeze())),
            END => return Ok(None),
            BROKEN => return Err(ErrorKind::ConnectionReset.into()),
            STOPPING => state.is_stopping.store(true, Ordering::Relaxed),
            kind => return Err(Error::other(format!("a frame of unknown kind {kind}"))),
        }
    }
}

/// Forwards between the near side of a tunnel and a server until one of them closes; `stopping`
/// completes when this process is about to exit.
pub async fn forward(near: TcpStream, server: TcpStream, stopping: impl Future<Output = ()>) {
    let (from_near, to_near) = near.into_split();
    let (from_server, to_server) = server.into_split();
    let frames = FramedWrite::new(to_near, LengthDelimitedCodec::new());
    tokio::select! {
        () = forward_up(from_near, to_server) => {}
        // A frame that can't be sent means that the near side is gone.
        _ = forward_down(from_server, frames, stopping) => {}
    }
}

/// Forwards to the server until the near side closes.
async fn forward_up(mut from_near: OwnedReadHalf, mut to_server: OwnedWriteHalf) {
    let mut buf = BytesMut::with_capacity(READ_BYTES);
    while let Ok(1..) = from_near.read_buf(&mut buf).await {
        if to_server.write_all_buf(&mut buf).await.is_err() {
            // The server may have answered before; reading from it tells how its connection ended.
            std::future::pending::<()>().await;
        }
        buf.clear();
        buf.reserve(READ_BYTES);
    }
}

/// Forwards from the server until its connection ends.
async fn forward_down(
    mut from_server: impl AsyncRead + Unpin,
    mut frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    stopping: impl Future<Output = ()>,
) -> Result<()> {
    tokio::pin!(stopping);
    let mut is_stopping = false;
    loop {
        let mut buf = BytesMut::with_capacity(1 + READ_BYTES);
        buf.put_u8(DATA);
        let read = tokio::select! {
            () = &mut stopping, if !is_stopping => {
                is_stopping = true;
                frames.send(Bytes::from_static(&[STOPPING])).await?;
                continue;
            }
            read = from_server.read_buf(&mut buf) => read,
        };
        match read {
            Ok(0) => return frames.send(Bytes::from_static(&[END])).await,
            Ok(_) => frames.send(buf.freeze()).await?,
            Err(_) => return frames.send(Bytes::from_static(&[BROKEN])).await,
        }
    }
}
