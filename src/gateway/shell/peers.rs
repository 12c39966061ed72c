//! The state of each box, told to others by UDP.
//!
//! Datagrams are postcard of the types in `schema/gateway.schema.json`. One that is lost is made
//! good by the next one, and counted as a fault if this box could not send or read it. What was
//! read from the platform goes by TCP, see [`super::transfer`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::net::UdpSocket;

use crate::gateway::dispatch::event::Event;
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::faults::{FaultKind, Faults};
use crate::gateway::shell::input::Input;
use crate::schema::{BoxState, UsageNews};

/// The first byte of a datagram with a [`BoxState`].
const STATE: u8 = 5;
/// The first byte of a datagram with [`UsageNews`].
const USAGE: u8 = 4;
/// The longest datagram.
const LONGEST_DATAGRAM: usize = 32 << 10;
/// The pause after a socket failed, for which the reason is mostly a lack of descriptors. Chosen,
/// not measured.
pub(super) const SOCKET_PAUSE: Duration = Duration::from_millis(10);

/// Sends this box's state to other boxes.
pub async fn send_state(
    socket: Arc<UdpSocket>,
    to: Vec<SocketAddr>,
    state: BoxState,
    shared: GatewayShared,
) {
    send(&socket, &to, write_state(&state), &shared.faults).await;
}

/// Tells other boxes of the attempts that this one has just made.
pub async fn send_usage(
    socket: Arc<UdpSocket>,
    to: Vec<SocketAddr>,
    news: UsageNews,
    shared: GatewayShared,
) {
    send(&socket, &to, write_usage(&news), &shared.faults).await;
}

async fn send(
    socket: &UdpSocket,
    to: &[SocketAddr],
    datagram: Result<Vec<u8>, postcard::Error>,
    faults: &Faults,
) {
    let bytes = match datagram {
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

/// The datagram with a box's state.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_state(state: &BoxState) -> Result<Vec<u8>, postcard::Error> {
    write(STATE, state)
}

/// The datagram with what a box has just begun and ended.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_usage(news: &UsageNews) -> Result<Vec<u8>, postcard::Error> {
    write(USAGE, news)
}

fn write(kind: u8, message: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(message, vec![kind])
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
