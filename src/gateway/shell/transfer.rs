//! Transfer of the configuration and the endpoints between boxes by TCP.
//!
//! [`crate::gateway::dispatch::fetches`] decides from which peer a box fetches ([`fetch`]). Each
//! box answers requests of others ([`accept`]), up to a limit of data in flight, and declines
//! further ones at once as busy. A message is its length and a type of `schema/gateway.schema.json`
//! in postcard. A failed fetch is counted as a fault, and another peer is tried.

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
use crate::gateway::shell::peers::SOCKET_ERROR_DELAY;
use crate::gateway::shell::relay::{self, TUNNEL_MARK};
use crate::gateway::shell::table_reader::{self, TableSource, TableText};
use crate::gateway::shell::watcher::StoreChange;
use crate::gateway::shell::{GatewayShared, store, store_cache};
use crate::schema::{PackedEntries, StateReply, StateRequest};

/// Maximum length of a message by TCP, in bytes.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Timeout for connecting to another box.
const FETCH_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the next bytes of a transfer. Its size and the number of transfers that share the
/// link don't count: with a limit of 800 ms for a whole transfer, 365 of 771 fetches failed with
/// half of the bytes received, and started over.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a whole transfer that keeps making progress: at 10 Mbit/s enough for twelve times
/// the size limit of an object in the users' store.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of kilobytes of one kind in flight to peers; further requests are declined, and
/// the peers try other boxes. With fewer, the first peer can pass the data on sooner. A larger
/// reply is sent alone. Time until the last of 87 boxes on 10 Mbit/s has 2,800 routes, four seeds
/// each of `magpiemoor-lab spread`: 128 KB 0.97 to 1.05 s, 256 KB 0.69 to 0.87 s, 512 KB 0.85 to
/// 0.98 s.
const MAX_KILOBYTES_IN_FLIGHT: u32 = 256;
/// Number of bytes that are written at a time; [`STALL_TIMEOUT`] applies to each write.
const WRITE_CHUNK_BYTES: usize = 16 << 10;

/// Fetches the table or the endpoints from another box.
pub async fn fetch(from: SocketAddr, kind: FetchKind, wanted: StateRequest, shared: GatewayShared) {
    let requested_at = Instant::now();
    let received = AtomicU64::new(0);
    let replied = with_timeout(TRANSFER_TIMEOUT, request_state(from, &wanted, &received)).await;
    let bytes = received.into_inner();
    shared.metrics.peer_bytes_of(kind).inc_by(bytes);
    if kind == FetchKind::Table {
        shared.record(&Record::TableFetched {
            from: from.to_string(),
            after: wanted.table_after,
            bytes,
            after_ms: requested_at.elapsed().as_millis() as u64,
            outcome: match &replied {
                Ok(reply) if reply.is_busy => FETCH_BUSY.into(),
                Ok(_) => FETCHED_WHOLE.into(),
                Err(e) => e.to_string().into(),
            },
        });
    }
    let outcome = match replied {
        Ok(reply) if reply.is_busy => FetchOutcome::Busy,
        Ok(reply) => {
            apply_reply(reply, from, &wanted, requested_at, &shared).await;
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

/// Applies the reply to a request that was sent at `requested_at`.
async fn apply_reply(
    reply: StateReply,
    from: SocketAddr,
    wanted: &StateRequest,
    requested_at: Instant,
    shared: &GatewayShared,
) {
    if let Some(table) = reply.table {
        let source = TableSource {
            from: from.to_string(),
            // The transfer counts as age, since clocks of boxes differ.
            read_at: time_before(requested_at, Duration::from_millis(table.age_ms.into())),
        };
        let text = PackedText {
            text_bytes: table.text_bytes,
            bytes: table.packed.into(),
        };
        table_reader::load_table(TableText::Packed(text), source, shared).await;
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

/// The time `age` before `at`, or `at` itself if the clock can't represent it.
fn time_before(at: Instant, age: Duration) -> Instant {
    at.checked_sub(age).unwrap_or(at)
}

/// Sends a request to another box and reads the reply; counts the received bytes in `received`,
/// also if the request fails or is cancelled.
async fn request_state(
    from: SocketAddr,
    wanted: &StateRequest,
    received: &AtomicU64,
) -> std::io::Result<StateReply> {
    let mut socket = with_timeout(FETCH_CONNECT_TIMEOUT, TcpStream::connect(from)).await?;
    write(&mut socket, &encode(wanted)?).await?;
    read(&mut socket, received).await
}

/// Answers requests of other boxes until the process exits.
pub async fn accept(listener: Arc<TcpListener>, shared: GatewayShared) {
    let budget = Arc::new(SendBudget::default());
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                shared.faults.report(FaultKind::PeerSocket, &e);
                tokio::time::sleep(SOCKET_ERROR_DELAY).await;
                continue;
            }
        };
        let shared = shared.clone();
        let budget = Arc::clone(&budget);
        tokio::spawn(async move {
            // If this fails, the requester tries again or tries another box.
            let _ = serve(socket, &budget, shared).await;
        });
    }
}

/// Kilobytes that may still be sent to peers, separate for each kind so that lists of endpoints
/// don't delay tables.
struct SendBudget {
    tables: Semaphore,
    lists: Semaphore,
}

impl Default for SendBudget {
    fn default() -> Self {
        Self {
            tables: Semaphore::new(MAX_KILOBYTES_IN_FLIGHT as usize),
            lists: Semaphore::new(MAX_KILOBYTES_IN_FLIGHT as usize),
        }
    }
}

/// Answers a request for data, or serves a tunnel.
async fn serve(
    mut socket: TcpStream,
    budget: &SendBudget,
    shared: GatewayShared,
) -> std::io::Result<()> {
    let length = with_timeout(STALL_TIMEOUT, socket.read_u32_le()).await?;
    if length == TUNNEL_MARK {
        return relay::serve(socket, shared).await;
    }
    with_timeout(TRANSFER_TIMEOUT, answer(socket, length, budget, shared)).await
}

/// Answers a request whose length has been read.
async fn answer(
    mut socket: TcpStream,
    length: u32,
    budget: &SendBudget,
    shared: GatewayShared,
) -> std::io::Result<()> {
    let wanted: StateRequest = read_rest(&mut socket, length, &AtomicU64::new(0)).await?;
    let kind_budget = if wanted.endpoints_after == u64::MAX {
        &budget.tables
    } else {
        &budget.lists
    };
    let reply = encode(&shared.state_for(&wanted)?)?;
    let kilobytes = u32::try_from(reply.len() >> 10).unwrap_or(u32::MAX);
    let Ok(_permit) = kind_budget.try_acquire_many(kilobytes.min(MAX_KILOBYTES_IN_FLIGHT)) else {
        return write(&mut socket, &encode(&busy_reply())?).await;
    };
    write(&mut socket, &reply).await?;
    // The budget is released when the requester has received everything and closes the connection,
    // and not already when the reply is in this box's socket buffers.
    let _ = with_timeout(STALL_TIMEOUT, socket.read_u8()).await;
    Ok(())
}

fn busy_reply() -> StateReply {
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

/// Runs an exchange with a time limit.
async fn with_timeout<T>(
    limit: Duration,
    exchange: impl Future<Output = std::io::Result<T>>,
) -> std::io::Result<T> {
    tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or_else(|_| Err(std::io::Error::other(format!("timed out after {limit:?}"))))
}

pub(super) fn encode(message: &impl Serialize) -> std::io::Result<Vec<u8>> {
    postcard::to_stdvec(message).map_err(std::io::Error::other)
}

pub(super) async fn write(socket: &mut TcpStream, message: &[u8]) -> std::io::Result<()> {
    let length = u32::try_from(message.len()).map_err(std::io::Error::other)?;
    with_timeout(STALL_TIMEOUT, socket.write_u32_le(length)).await?;
    for chunk in message.chunks(WRITE_CHUNK_BYTES) {
        with_timeout(STALL_TIMEOUT, socket.write_all(chunk)).await?;
    }
    Ok(())
}

pub(super) async fn read<T: DeserializeOwned>(
    socket: &mut TcpStream,
    received: &AtomicU64,
) -> std::io::Result<T> {
    let length = with_timeout(STALL_TIMEOUT, socket.read_u32_le()).await?;
    read_rest(socket, length, received).await
}

/// Reads a message whose length has been read.
async fn read_rest<T: DeserializeOwned>(
    socket: &mut TcpStream,
    length: u32,
    received: &AtomicU64,
) -> std::io::Result<T> {
    if length > MAX_MESSAGE_BYTES {
        return Err(std::io::Error::new(
            std::io::ErrorKind::InvalidData,
            format!("a message of {length} bytes; at most {MAX_MESSAGE_BYTES} are read"),
        ));
    }
    let mut bytes = Vec::new();
    let mut socket = socket.take(length.into());
    loop {
        match with_timeout(STALL_TIMEOUT, socket.read_buf(&mut bytes)).await? {
            0 => break,
            more => received.fetch_add(more as u64, Ordering::Relaxed),
        };
    }
    postcard::from_bytes(&bytes).map_err(std::io::Error::other)
}
