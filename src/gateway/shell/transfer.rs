//! What was read from the platform, passed on between boxes by TCP.
//!
//! A box that hears of a newer table or list asks the one that told ([`fetch`]); each box answers
//! others ([`accept`]). Messages are postcard of the types in `schema/gateway.schema.json` after
//! their length. A fetch that fails is counted as a fault and made again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::peers::FetchKind;
use crate::gateway::dispatch::record::{FETCHED_WHOLE, Record};
use crate::gateway::shell::dialect::{Entry, ObjectKind};
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::peers::SOCKET_PAUSE;
use crate::gateway::shell::watcher::StoreChange;
use crate::gateway::shell::{GatewayShared, store};
use crate::schema::{StateReply, StateRequest};

/// The longest message by TCP.
const LONGEST_MESSAGE: u32 = 16 << 20;
/// How long a connection to another box may take.
const FETCH_CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// How many peers are sent endpoints at once; others are turned away and ask somebody else.
const MOST_LISTS: usize = 3;

/// Asks another box for what it read from the platform.
pub async fn fetch(from: SocketAddr, kind: FetchKind, wanted: StateRequest, shared: GatewayShared) {
    let began = Instant::now();
    let received = AtomicU64::new(0);
    let asked = tokio::time::timeout(kind.limit(), ask(from, &wanted, &received)).await;
    let asked = asked.unwrap_or_else(|_| {
        let limit = kind.limit();
        Err(std::io::Error::other(format!("no answer in {limit:?}")))
    });
    let bytes = received.into_inner();
    shared.metrics.peer_bytes_of(kind).inc_by(bytes);
    if kind == FetchKind::Table {
        shared.record(&Record::TableFetched {
            from: from.to_string(),
            after: wanted.table_after,
            bytes,
            after_ms: began.elapsed().as_millis() as u64,
            outcome: match &asked {
                Ok(_) => FETCHED_WHOLE.into(),
                Err(e) => e.to_string().into(),
            },
        });
    }
    match asked {
        Ok(reply) => take_in(reply, from, &wanted, &shared).await,
        Err(e) => {
            let detail = format_args!("{kind:?} from {from}: {e}");
            shared.faults.note(FaultKind::PeerFetch, &detail);
        }
    }
    shared.send(Input::Event(Event::Fetched(kind))).await;
}

async fn take_in(
    reply: StateReply,
    from: SocketAddr,
    wanted: &StateRequest,
    shared: &GatewayShared,
) {
    if let Some(text) = reply.table {
        let entry = Entry {
            name: String::new(),
            text: Some(text),
        };
        store::take_table(&entry, &from.to_string(), shared).await;
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

/// Asks another box; counts the bytes that arrive in `received`, also if it fails or is given up.
async fn ask(
    from: SocketAddr,
    wanted: &StateRequest,
    received: &AtomicU64,
) -> std::io::Result<StateReply> {
    let connecting = tokio::time::timeout(FETCH_CONNECT_LIMIT, TcpStream::connect(from));
    let mut socket = connecting.await??;
    write(&mut socket, wanted).await?;
    read(&mut socket, received).await
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
    let wanted: StateRequest = read(&mut socket, &AtomicU64::new(0)).await?;
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

async fn read<T: DeserializeOwned>(
    socket: &mut TcpStream,
    received: &AtomicU64,
) -> std::io::Result<T> {
    let length = socket.read_u32_le().await?;
    if length > LONGEST_MESSAGE {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    let mut socket = socket.take(length.into());
    loop {
        match socket.read_buf(&mut bytes).await? {
            0 => break,
            more => received.fetch_add(more as u64, Ordering::Relaxed),
        };
    }
    postcard::from_bytes(&bytes).map_err(std::io::Error::other)
}
