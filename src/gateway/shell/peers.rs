//! The way to other boxes: the state of each by UDP, what was read from the platform by TCP.
//!
//! Both are postcard of the types in `schema/gateway.schema.json`; TCP messages come after their
//! length. A datagram that is lost is made good by the next one, a fetch that fails is made again;
//! both are counted as faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Semaphore;

use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::peers::FetchKind;
use crate::gateway::shell::dialect::{Entry, ObjectKind};
use crate::gateway::shell::faults::{FaultKind, Faults};
use crate::gateway::shell::input::Input;
use crate::gateway::shell::watcher::StoreChange;
use crate::gateway::shell::{GatewayShared, store};
use crate::schema::{BoxState, StateReply, StateRequest, UsageNews};

/// The first byte of a datagram with a [`BoxState`].
const STATE: u8 = 3;
/// The first byte of a datagram with [`UsageNews`].
const USAGE: u8 = 4;
/// The longest datagram.
const LONGEST_DATAGRAM: usize = 32 << 10;
/// The longest message by TCP.
const LONGEST_MESSAGE: u32 = 16 << 20;
/// How long a connection to another box may take.
const FETCH_CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// The pause after a socket failed, for which the reason is mostly a lack of descriptors. Chosen,
/// not measured.
const SOCKET_PAUSE: Duration = Duration::from_millis(10);
/// How many peers are sent endpoints at once; others are turned away and ask somebody else.
const MOST_LISTS: usize = 3;

/// Sends this box's state to other boxes.
pub async fn send_state(
    socket: Arc<UdpSocket>,
    to: Vec<SocketAddr>,
    state: BoxState,
    shared: GatewayShared,
) {
    send(&socket, &to, STATE, &state, &shared.faults).await;
}

/// Tells other boxes of the attempts that this one has just made.
pub async fn send_usage(
    socket: Arc<UdpSocket>,
    to: Vec<SocketAddr>,
    news: UsageNews,
    shared: GatewayShared,
) {
    send(&socket, &to, USAGE, &news, &shared.faults).await;
}

async fn send(
    socket: &UdpSocket,
    to: &[SocketAddr],
    kind: u8,
    message: &impl Serialize,
    faults: &Faults,
) {
    let bytes = match postcard::to_extend(message, vec![kind]) {
        Ok(bytes) => bytes,
        Err(e) => return faults.note(FaultKind::PeerSocket, &e),
    };
    for address in to {
        if let Err(e) = socket.send_to(&bytes, address).await {
            faults.note(FaultKind::PeerSocket, &format_args!("to {address}: {e}"));
        }
    }
}

/// Receives what other boxes send by UDP, for as long as the process runs.
pub async fn hear(socket: Arc<UdpSocket>, shared: GatewayShared) {
    let mut buf = vec![0; LONGEST_DATAGRAM];
    loop {
        let length = match socket.recv_from(&mut buf).await {
            Ok((length, _)) => length,
            Err(e) => {
                shared.faults.note(FaultKind::PeerSocket, &e);
                tokio::time::sleep(SOCKET_PAUSE).await;
                continue;
            }
        };
        match read_datagram(&buf[..length]) {
            Ok(event) => shared.send(Input::Event(event)).await,
            Err(e) => shared.faults.note(FaultKind::PeerMessage, &e),
        }
    }
}

/// Reads a datagram of another box.
///
/// # Errors
///
/// If it is of an unknown kind, or can't be read.
pub fn read_datagram(bytes: &[u8]) -> Result<Event, postcard::Error> {
    match bytes.split_first() {
        Some((&STATE, body)) => postcard::from_bytes(body).map(Event::Peer),
        Some((&USAGE, body)) => postcard::from_bytes(body).map(Event::PeerUsage),
        Some(_) => Err(postcard::Error::DeserializeBadEnum),
        None => Err(postcard::Error::DeserializeUnexpectedEnd),
    }
}

/// Asks another box for what it read from the platform.
pub async fn fetch(from: SocketAddr, kind: FetchKind, wanted: StateRequest, shared: GatewayShared) {
    let asked = tokio::time::timeout(kind.limit(), ask(from, &wanted)).await;
    match asked {
        Ok(Ok(reply)) => take_in(reply, &wanted, &shared).await,
        Ok(Err(e)) => {
            let detail = format_args!("{kind:?} from {from}: {e}");
            shared.faults.note(FaultKind::PeerFetch, &detail);
        }
        Err(_) => {
            let detail = format_args!("{kind:?} from {from}: no answer in {:?}", kind.limit());
            shared.faults.note(FaultKind::PeerFetch, &detail);
        }
    }
    shared.send(Input::Event(Event::Fetched(kind))).await;
}

async fn take_in(reply: StateReply, wanted: &StateRequest, shared: &GatewayShared) {
    if let Some(text) = reply.table {
        let entry = Entry {
            name: String::new(),
            text: Some(text),
        };
        store::take_table(&entry, shared).await;
    }
    let entries: Vec<Entry> = reply
        .endpoints
        .into_iter()
        .map(|entry| Entry {
            name: entry.name,
            text: entry.text,
        })
        .collect();
    if reply.endpoints_at > wanted.endpoints_after {
        let change = if reply.is_whole {
            StoreChange::Listed(entries)
        } else {
            StoreChange::Changed(entries)
        };
        store::take_in(ObjectKind::Endpoints, change, reply.endpoints_at, shared).await;
    }
}

async fn ask(from: SocketAddr, wanted: &StateRequest) -> std::io::Result<StateReply> {
    let connecting = tokio::time::timeout(FETCH_CONNECT_LIMIT, TcpStream::connect(from));
    let mut socket = connecting.await??;
    write(&mut socket, wanted).await?;
    read(&mut socket).await
}

/// Answers other boxes, for as long as the process runs.
pub async fn accept(listener: TcpListener, shared: GatewayShared) {
    let lists = Arc::new(Semaphore::new(MOST_LISTS));
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                shared.faults.note(FaultKind::PeerSocket, &e);
                tokio::time::sleep(SOCKET_PAUSE).await;
                continue;
            }
        };
        let shared = shared.clone();
        let lists = Arc::clone(&lists);
        tokio::spawn(async move {
            // The asker asks again, or somebody else, if this fails.
            let limit = FetchKind::Endpoints.limit();
            let _ = tokio::time::timeout(limit, answer(socket, &lists, shared)).await;
        });
    }
}

async fn answer(
    mut socket: TcpStream,
    lists: &Semaphore,
    shared: GatewayShared,
) -> std::io::Result<()> {
    let wanted: StateRequest = read(&mut socket).await?;
    let wants_endpoints = wanted.endpoints_after != u64::MAX;
    let permit = wants_endpoints.then(|| lists.try_acquire());
    if let Some(Err(_)) = permit {
        return Ok(());
    }
    let reply = shared.state_for(&wanted);
    write(&mut socket, &reply).await
}

async fn write(socket: &mut TcpStream, message: &impl Serialize) -> std::io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(std::io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(std::io::Error::other)?;
    socket.write_u32_le(length).await?;
    socket.write_all(&bytes).await
}

async fn read<T: DeserializeOwned>(socket: &mut TcpStream) -> std::io::Result<T> {
    let length = socket.read_u32_le().await?;
    if length > LONGEST_MESSAGE {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    socket.take(length.into()).read_to_end(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(std::io::Error::other)
}
