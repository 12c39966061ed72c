//! Connections of the HTTP server: when they close, and the limits that apply to them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gotham::state::State;
use magpiemoor::http::limits::{ConnectionLimits, IDLE_MARGIN, LimitsInForce};
use magpiemoor::http::{ServeOptions, serve_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const REQUEST: &str = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

fn limits(idle_ms: u64, head_bytes: usize) -> ConnectionLimits {
    ConnectionLimits {
        idle: Duration::from_millis(idle_ms),
        head_bytes,
    }
}

/// Starts a server that answers every request with `ok`; returns the flag that closes it.
async fn start(idle_ms: u64) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (close, closing) = watch::channel(false);
    let options = ServeOptions {
        limits: LimitsInForce::new(limits(idle_ms, 9_000)),
        closing,
    };
    let handler = || Ok(|state: State| (state, "ok"));
    tokio::spawn(serve_with(listener, handler, options));
    (address, close)
}

async fn read_ok(socket: &mut TcpStream) -> String {
    let mut text = String::new();
    while !text.ends_with("ok") {
        let mut buf = [0; 1_024];
        let length = socket.read(&mut buf).await.unwrap();
        assert!(length > 0, "the connection was closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buf[..length]));
    }
    text
}

async fn connect_and_ask(address: SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(REQUEST.as_bytes()).await.unwrap();
    read_ok(&mut socket).await;
    socket
}

async fn read_rest(socket: &mut TcpStream) -> String {
    let mut text = String::new();
    socket.read_to_string(&mut text).await.unwrap();
    text
}

/// Connections that are never closed use up the descriptors of the process.
#[tokio::test]
async fn an_idle_connection_is_closed() {
    let (address, _close) = start(50).await;
    let mut fresh = TcpStream::connect(address).await.unwrap();
    let mut kept = connect_and_ask(address).await;
    assert_eq!(read_rest(&mut fresh).await, "");
    assert_eq!(read_rest(&mut kept).await, "");
}

/// The same for heads that never end; a caller that is only slow learns that nothing has run.
#[tokio::test]
async fn a_head_that_takes_too_long_gets_408() {
    let (address, _close) = start(50).await;
    let mut fresh = TcpStream::connect(address).await.unwrap();
    let mut kept = connect_and_ask(address).await;
    for socket in [&mut fresh, &mut kept] {
        socket.write_all(&REQUEST.as_bytes()[..9]).await.unwrap();
    }
    for socket in [&mut fresh, &mut kept] {
        let answer = read_rest(socket).await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    }
}

/// The HTTP library's graceful shutdown takes a kept connection with a part of a head for idle.
#[tokio::test]
async fn a_head_that_has_begun_to_arrive_when_the_server_closes_is_served() {
    let (address, close) = start(15_000).await;
    let mut idle = connect_and_ask(address).await;
    let mut kept = connect_and_ask(address).await;
    let (first, rest) = REQUEST.as_bytes().split_at(9);
    kept.write_all(first).await.unwrap();
    // The answer to a whole request on another connection shows that the first part was read.
    connect_and_ask(address).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    close.send_replace(true);
    assert_eq!(read_rest(&mut idle).await, "");
    kept.write_all(rest).await.unwrap();
    let answer = read_ok(&mut kept).await;
    assert!(
        answer.to_lowercase().contains("connection: close"),
        "{answer:?}"
    );
    assert_eq!(read_rest(&mut kept).await, "");
}

/// A connection that became idle under one table may be reused by its idle time.
#[test]
fn the_most_that_was_allowed_since_a_time_counts() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let in_force = LimitsInForce::new(limits(3_000, 9_000));
    in_force.set(limits(1_000, 16_000), at(100));
    in_force.set(limits(2_000, 8_000), at(200));
    assert_eq!(in_force.most_since(at(0)), limits(3_000, 16_000));
    assert_eq!(in_force.most_since(at(100)), limits(3_000, 16_000));
    assert_eq!(in_force.most_since(at(101)), limits(2_000, 16_000));
    assert_eq!(in_force.most_since(at(201)), limits(2_000, 8_000));
    assert_eq!(in_force.current(), limits(2_000, 8_000));
}

/// Limits that were forgotten too early cut connections that were still allowed.
#[test]
fn earlier_limits_are_kept_while_a_connection_may_have_been_idle_since() {
    let start = Instant::now();
    let long = Duration::from_secs(15);
    let in_force = LimitsInForce::new(limits(15_000, 9_000));
    in_force.set(limits(1_000, 9_000), start);
    for step in 1..=60 {
        let idle_ms = 1_000 + step % 2;
        in_force.set(
            limits(idle_ms, 9_000),
            start + (long + IDLE_MARGIN) / 60 * step as u32,
        );
    }
    assert_eq!(in_force.most_since(start).idle, long);
}
