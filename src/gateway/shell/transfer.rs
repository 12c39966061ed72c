//! What was read from the platform, passed on between boxes by TCP.
//!
//! [`crate::gateway::dispatch::fetches`] decides who is asked ([`fetch`]); each box answers others
//! ([`accept`]), a few at a time, and tells the rest at once that it is busy. Messages are postcard
//! of the types in `schema/gateway.schema.json` after their length. A fetch that fails is counted as
//! a fault, and somebody else is asked.

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
use crate::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use crate::gateway::dispatch::record::{FETCH_BUSY, FETCHED_WHOLE, Record};
use crate::gateway::shell::dialect::{Entry, ObjectKind};
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::packed::PackedText;
use crate::gateway::shell::peers::SOCKET_PAUSE;
use crate::gateway::shell::table_reader::{self, TableSource, TableText};
use crate::gateway::shell::watcher::StoreChange;
use crate::gateway::shell::{GatewayShared, store, store_cache};
use crate::schema::{PackedEntries, StateReply, StateRequest};

/// The longest message by TCP.
const LONGEST_MESSAGE: u32 = 16 << 20;
/// How long a connection to another box may take.
const FETCH_CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// How long a transfer may stand still. A transfer that goes on is never given up for its size or
/// for the number of those that share the link: a limit of 800 ms over the whole of it let 365 of
/// 771 fetches fail with a half of the bytes, to begin anew (docs/incidents/late-table.md).
const SILENCE: Duration = Duration::from_secs(1);
/// How long a transfer may take though it goes on. Chosen: what 10 Mbit/s carry in it is twelve
/// times what the users' store holds in one object.
const LONGEST_TRANSFER: Duration = Duration::from_secs(10);
/// How many kilobytes of a kind are on their way to peers at once; who asks for more is turned away
/// and asks somebody else. The fewer, the sooner the first of them can pass it on; a larger answer
/// goes alone. Time until the last of 87 boxes on 10 Mbit/s has 2,800 routes, four seeds each of
/// `magpiemoor-lab spread`: 128 KB 0.97 to 1.05 s, 256 KB 0.69 to 0.87 s, 512 KB 0.85 to 0.98 s.
const KILOBYTES_ON_THE_WAY: u32 = 256;
/// Bytes that are written at a time, within [`SILENCE`].
const WRITE_STEP: usize = 16 << 10;

/// Asks another box for what it read from the platform.
pub async fn fetch(from: SocketAddr, kind: FetchKind, wanted: StateRequest, shared: GatewayShared) {
    let began = Instant::now();
    let received = AtomicU64::new(0);
    let asked = within(LONGEST_TRANSFER, ask(from, &wanted, &received)).await;
    let bytes = received.into_inner();
    shared.metrics.peer_bytes_of(kind).inc_by(bytes);
    if kind == FetchKind::Table {
        shared.record(&Record::TableFetched {
            from: from.to_string(),
            after: wanted.table_after,
            bytes,
            after_ms: began.elapsed().as_millis() as u64,
            outcome: match &asked {
                Ok(reply) if reply.is_busy => FETCH_BUSY.into(),
                Ok(_) => FETCHED_WHOLE.into(),
                Err(e) => e.to_string().into(),
            },
        });
    }
    let outcome = match asked {
        Ok(reply) if reply.is_busy => FetchOutcome::Busy,
        Ok(reply) => {
            take_in(reply, from, &wanted, began, &shared).await;
            FetchOutcome::Complete
        }
        Err(e) => {
            let detail = format_args!("{kind:?} from {from}: {e}");
            shared.faults.report(FaultKind::PeerFetch, &detail);
            FetchOutcome::Failed
        }
    };
    let ended = Event::Fetched {
        kind,
        from,
        outcome,
    };
    shared.send(Input::Event(ended)).await;
}

/// Takes in what a peer sent that was asked at `asked`.
async fn take_in(
    reply: StateReply,
    from: SocketAddr,
    wanted: &StateRequest,
    asked: Instant,
    shared: &GatewayShared,
) {
    if let Some(table) = reply.table {
        let source = TableSource {
            from: from.to_string(),
            // The way here counts as age, since clocks of boxes differ.
            read_at: earlier(asked, Duration::from_millis(table.age_ms.into())),
        };
        let text = PackedText {
            text_bytes: table.text_bytes,
            bytes: table.packed.into(),
        };
        table_reader::take_table(TableText::Packed(text), source, shared).await;
    }
    if reply.endpoints_at > wanted.endpoints_after {
        let entries = match store_cache::unpack(reply.endpoints) {
            Ok(entries) => entries,
            Err(e) => {
                let detail = format_args!("endpoints from {from}: {e}");
                return shared.faults.report(FaultKind::PeerFetch, &detail);
            }
        };
        let entries = entries.into_iter().map(|entry| Entry {
            name: entry.name,
            text: entry.text,
        });
        let entries = entries.collect();
        let change = if reply.is_whole {
            StoreChange::Listed(entries)
        } else {
            StoreChange::Changed(entries)
        };
        store::apply_change(ObjectKind::Endpoints, change, reply.endpoints_at, shared).await;
    }
}

/// A point that lies `age` before another one, or that one where the clock doesn't reach so far.
fn earlier(at: Instant, age: Duration) -> Instant {
    at.checked_sub(age).unwrap_or(at)
}

/// Asks another box; counts the bytes that arrive in `received`, also if it fails or is given up.
async fn ask(
    from: SocketAddr,
    wanted: &StateRequest,
    received: &AtomicU64,
) -> std::io::Result<StateReply> {
    let mut socket = within(FETCH_CONNECT_LIMIT, TcpStream::connect(from)).await?;
    write(&mut socket, &encode(wanted)?).await?;
    read(&mut socket, received).await
}

/// Answers other boxes, for as long as the process runs.
pub async fn accept(listener: TcpListener, shared: GatewayShared) {
    let room = Arc::new(Room::default());
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                shared.faults.report(FaultKind::PeerSocket, &e);
                tokio::time::sleep(SOCKET_PAUSE).await;
                continue;
            }
        };
        let shared = shared.clone();
        let room = Arc::clone(&room);
        tokio::spawn(async move {
            // The asker asks again, or somebody else, if this fails.
            let _ = within(LONGEST_TRANSFER, answer(socket, &room, shared)).await;
        });
    }
}

/// Kilobytes that may still be sent to peers, apart for each kind, so that no table waits for
/// lists.
struct Room {
    tables: Semaphore,
    lists: Semaphore,
}

impl Default for Room {
    fn default() -> Self {
        Self {
            tables: Semaphore::new(KILOBYTES_ON_THE_WAY as usize),
            lists: Semaphore::new(KILOBYTES_ON_THE_WAY as usize),
        }
    }
}

async fn answer(mut socket: TcpStream, room: &Room, shared: GatewayShared) -> std::io::Result<()> {
    let wanted: StateRequest = read(&mut socket, &AtomicU64::new(0)).await?;
    let of_kind = if wanted.endpoints_after == u64::MAX {
        &room.tables
    } else {
        &room.lists
    };
    let reply = encode(&shared.state_for(&wanted)?)?;
    let kilobytes = u32::try_from(reply.len() >> 10).unwrap_or(u32::MAX);
    let Ok(_room) = of_kind.try_acquire_many(kilobytes.min(KILOBYTES_ON_THE_WAY)) else {
        return write(&mut socket, &encode(&busy())?).await;
    };
    write(&mut socket, &reply).await?;
    // The room is free once the asker has it all and closes, not when it lies in buffers here.
    let _ = within(SILENCE, socket.read_u8()).await;
    Ok(())
}

fn busy() -> StateReply {
    StateReply {
        is_busy: true,
        table: None,
        endpoints: PackedEntries {
            text_bytes: 0,
            packed: Vec::new(),
        },
        endpoints_at: 0,
        is_whole: false,
    }
}

/// Waits for an exchange at the most so long.
async fn within<T>(
    limit: Duration,
    exchange: impl Future<Output = std::io::Result<T>>,
) -> std::io::Result<T> {
    tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or_else(|_| Err(std::io::Error::other(format!("nothing within {limit:?}"))))
}

fn encode(message: &impl Serialize) -> std::io::Result<Vec<u8>> {
    postcard::to_stdvec(message).map_err(std::io::Error::other)
}

async fn write(socket: &mut TcpStream, message: &[u8]) -> std::io::Result<()> {
    let length = u32::try_from(message.len()).map_err(std::io::Error::other)?;
    within(SILENCE, socket.write_u32_le(length)).await?;
    for step in message.chunks(WRITE_STEP) {
        within(SILENCE, socket.write_all(step)).await?;
    }
    Ok(())
}

async fn read<T: DeserializeOwned>(
    socket: &mut TcpStream,
    received: &AtomicU64,
) -> std::io::Result<T> {
    let length = within(SILENCE, socket.read_u32_le()).await?;
    if length > LONGEST_MESSAGE {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    let mut socket = socket.take(length.into());
    loop {
        match within(SILENCE, socket.read_buf(&mut bytes)).await? {
            0 => break,
            more => received.fetch_add(more as u64, Ordering::Relaxed),
        };
    }
    postcard::from_bytes(&bytes).map_err(std::io::Error::other)
}
