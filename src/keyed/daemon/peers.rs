//! The way to the other boxes: heartbeats by UDP, messages by TCP, both as postcard.
//!
//! A datagram starts with the protocol's version. A TCP connection starts with a mark and the
//! version, and carries frames of a length and an envelope. Connections are one-way; the reading
//! side of an outgoing one only tells when the other box has closed it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::keyed::daemon::Shared;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::event::Event;
use crate::schema::{BoxId, Envelope, Heartbeat, Member, PeerMessage};

/// The version of the protocol between boxes.
pub const PROTOCOL_VERSION: u8 = 1;
/// What a TCP connection between boxes starts with.
const MARK: &[u8; 4] = b"MPMR";
/// The greatest frame, which fits a bundle with all its parts.
pub const MAX_FRAME: usize = 32 << 20;
/// The greatest datagram.
const MAX_DATAGRAM: usize = 64 << 10;
/// How many messages may wait for one box.
const QUEUE: usize = 16_384;
/// How long a connection attempt may take.
const PEER_CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long a write may make no progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are gathered into one write.
const WRITE_BATCH: usize = 64 << 10;

/// Encodes a heartbeat as a datagram.
#[must_use]
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Vec<u8> {
    let mut datagram = vec![PROTOCOL_VERSION];
    datagram.extend(postcard::to_stdvec(heartbeat).unwrap_or_default());
    datagram
}

/// Decodes a datagram; one of another version or that is garbled gives `None`.
#[must_use]
pub fn decode_heartbeat(datagram: &[u8]) -> Option<Heartbeat> {
    let (version, rest) = datagram.split_first()?;
    if *version != PROTOCOL_VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}

/// Encodes an envelope as a frame.
#[must_use]
pub fn encode_frame(envelope: &Envelope) -> Vec<u8> {
    let body = postcard::to_stdvec(envelope).unwrap_or_default();
    let mut frame = u32::try_from(body.len())
        .unwrap_or(0)
        .to_le_bytes()
        .to_vec();
    frame.extend(body);
    frame
}

/// Decodes a frame's body.
#[must_use]
pub fn decode_envelope(body: &[u8]) -> Option<Envelope> {
    postcard::from_bytes(body).ok()
}

/// Receives heartbeats for as long as it is polled.
pub async fn receive_heartbeats(socket: Arc<UdpSocket>, shared: Shared) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        shared.metrics.peer_bytes_in.inc_by(length as u64);
        let Some(heartbeat) = decode_heartbeat(&buf[..length]) else {
            shared.metrics.peer_garbled.inc();
            continue;
        };
        shared.timeline.clock().observe(heartbeat.clock);
        let event = Event::Heartbeat(Box::new(heartbeat));
        shared.tell(Input::Event(event)).await;
    }
}

/// Accepts connections of other boxes for as long as it is polled.
pub async fn accept(listener: TcpListener, shared: Shared) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        tokio::spawn(read_messages(socket, shared.clone()));
    }
}

async fn read_messages(socket: TcpStream, shared: Shared) {
    let mut reader = BufReader::new(socket);
    let mut start = [0; MARK.len() + 1];
    if reader.read_exact(&mut start).await.is_err() || &start[..MARK.len()] != MARK {
        return;
    }
    if start[MARK.len()] != PROTOCOL_VERSION {
        log::warn!(
            "a box speaks version {} of the protocol; run one release everywhere",
            start[MARK.len()]
        );
        return;
    }
    while let Some(envelope) = read_envelope(&mut reader, &shared).await {
        shared.timeline.clock().observe(envelope.clock);
        let event = Event::Peer {
            from: envelope.from,
            incarnation: envelope.incarnation,
            message: envelope.message,
        };
        shared.tell(Input::Event(event)).await;
    }
}

async fn read_envelope(reader: &mut BufReader<TcpStream>, shared: &Shared) -> Option<Envelope> {
    let length = reader.read_u32_le().await.ok()? as usize;
    if length > MAX_FRAME {
        shared.metrics.peer_garbled.inc();
        return None;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    shared.metrics.peer_bytes_in.inc_by(length as u64);
    let envelope = decode_envelope(&body);
    if envelope.is_none() {
        shared.metrics.peer_garbled.inc();
    }
    envelope
}

/// The connections to other boxes, one for each address that was written to.
pub struct Links {
    shared: Shared,
    handle: Handle,
    socket: Arc<UdpSocket>,
    queues: HashMap<String, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Starts without connections.
    #[must_use]
    pub fn new(shared: Shared, handle: Handle, socket: Arc<UdpSocket>) -> Self {
        Self {
            shared,
            handle,
            socket,
            queues: HashMap::new(),
        }
    }

    /// Sends a message; if it can't be queued, the box counts as lost.
    pub fn send(&mut self, to: &Member, from: &Member, message: PeerMessage) {
        let frame = encode_frame(&Envelope {
            from: from.id.clone(),
            incarnation: from.incarnation,
            clock: self.shared.timeline.clock().tick(),
            message,
        });
        let frame = match self
            .queues
            .get(&to.address)
            .map(|queue| queue.try_send(frame.clone()))
        {
            Some(Ok(())) => return,
            Some(Err(mpsc::error::TrySendError::Full(_))) => {
                // The box takes nothing; the connection is given up and everyone is told.
                self.queues.remove(&to.address);
                return self.tell_lost(to.id.clone());
            }
            Some(Err(mpsc::error::TrySendError::Closed(frame))) => frame,
            None => frame,
        };
        let (queue, frames) = mpsc::channel(QUEUE);
        let _ = queue.try_send(frame);
        self.queues.insert(to.address.clone(), queue);
        self.handle
            .spawn(write_messages(to.clone(), frames, self.shared.clone()));
    }

    fn tell_lost(&self, id: BoxId) {
        let shared = self.shared.clone();
        self.handle
            .spawn(async move { shared.tell(Input::Event(Event::PeerLost(id))).await });
    }

    /// Sends a heartbeat to several boxes.
    pub fn beat(&self, to: &[String], mut heartbeat: Heartbeat) {
        heartbeat.clock = self.shared.timeline.clock().tick();
        let datagram = encode_heartbeat(&heartbeat);
        for address in to {
            let Ok(address) = address.parse::<SocketAddr>() else {
                continue;
            };
            // A datagram that can't be sent is like one that is lost.
            if self.socket.try_send_to(&datagram, address).is_ok() {
                self.shared
                    .metrics
                    .peer_bytes_out
                    .inc_by(datagram.len() as u64);
            }
        }
    }
}

async fn write_messages(to: Member, mut frames: mpsc::Receiver<Vec<u8>>, shared: Shared) {
    let connected = tokio::time::timeout(PEER_CONNECT_LIMIT, TcpStream::connect(&to.address)).await;
    if let Ok(Ok(socket)) = connected {
        let _ = socket.set_nodelay(true);
        let (reader, writer) = socket.into_split();
        tokio::select! {
            () = write_frames(writer, &mut frames, &shared) => {}
            () = wait_for_end(reader) => {}
        }
    }
    frames.close();
    shared.tell(Input::Event(Event::PeerLost(to.id))).await;
}

async fn write_frames(
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    frames: &mut mpsc::Receiver<Vec<u8>>,
    shared: &Shared,
) {
    let mut start = MARK.to_vec();
    start.push(PROTOCOL_VERSION);
    let mut buf = start;
    loop {
        let Some(frame) = frames.recv().await else {
            return;
        };
        buf.extend(frame);
        while buf.len() < WRITE_BATCH {
            let Ok(frame) = frames.try_recv() else {
                break;
            };
            buf.extend(frame);
        }
        let written = tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(&buf)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        shared.metrics.peer_bytes_out.inc_by(buf.len() as u64);
        buf.clear();
    }
}

/// Nothing is ever sent this way; it ends when the other box closes the connection or dies.
async fn wait_for_end(mut reader: OwnedReadHalf) {
    let mut buf = [0; 64];
    while let Ok(read) = reader.read(&mut buf).await {
        if read == 0 {
            return;
        }
    }
}
