//! The HTTP client for the product's own calls: it reuses connections, and never resends a request that
//! the server may have read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use gotham::hyper::Method;
use magpiemoor::http::{Call, Client, HttpError};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// The timeout for a call; long enough that only a hang reaches it.
const LIMIT: Duration = Duration::from_secs(60);
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What a server has observed.
#[derive(Clone, Default)]
struct Seen {
    connections: Arc<AtomicU32>,
    requests: Arc<AtomicU32>,
    /// Notified when the client closes its end of a connection after the server has closed its own.
    closed: Arc<Notify>,
}

/// Starts a server that answers `answers` requests per connection. It closes a connection without an
/// answer at the next request or, if `closes_at_once`, immediately after the last answer.
async fn serve(answers: u32, closes_at_once: bool) -> (String, Seen) {
    serve_with(answers, closes_at_once, ANSWER.to_owned()).await
}

async fn serve_with(answers: u32, closes_at_once: bool, text: String) -> (String, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let seen = Seen::default();
    let counts = seen.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            counts.connections.fetch_add(1, Ordering::SeqCst);
            let text = text.clone();
            tokio::spawn(answer(
                socket,
                answers,
                closes_at_once,
                text,
                counts.clone(),
            ));
        }
    });
    (address, seen)
}

async fn answer(
    mut socket: TcpStream,
    answers: u32,
    closes_at_once: bool,
    text: String,
    seen: Seen,
) {
    let mut buf = [0; 4096];
    for _ in 0..answers {
        if socket.read(&mut buf).await.unwrap_or(0) == 0 {
            return;
        }
        seen.requests.fetch_add(1, Ordering::SeqCst);
        if socket.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
    if closes_at_once {
        socket.shutdown().await.unwrap();
    }
    if socket.read(&mut buf).await.unwrap_or(0) > 0 {
        seen.requests.fetch_add(1, Ordering::SeqCst);
    } else if closes_at_once {
        seen.closed.notify_one();
    }
}

async fn get(client: &Client, address: &str) -> Result<String, HttpError> {
    let call = Call::new(Method::GET, address, "/path");
    client.send(call, LIMIT).await.map(|answer| answer.text())
}

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let (address, seen) = serve(3, false).await;
    let client = Client::default();
    for _ in 0..3 {
        assert_eq!(get(&client, &address).await.unwrap(), "ok");
    }
    assert_eq!(seen.connections.load(Ordering::SeqCst), 1);
}

/// A server closes idle connections after the time that it states, and a request that crosses the close is lost.
#[rstest]
#[case::none_at_all("timeout=0", 3)]
#[case::long("timeout=3600, max=100", 1)]
#[case::other_parameters("max=100", 1)]
#[case::malformed("timeout=soon", 1)]
#[tokio::test]
async fn a_connection_is_not_used_after_the_idle_time_that_its_server_states(
    #[case] keep_alive: &str,
    #[case] connections: u32,
) {
    let head = format!("HTTP/1.1 200 OK\r\nKeep-Alive: {keep_alive}\r\n");
    let text = ANSWER.replace("HTTP/1.1 200 OK\r\n", &head);
    let (address, seen) = serve_with(3, false, text).await;
    let client = Client::default();
    for _ in 0..3 {
        assert_eq!(get(&client, &address).await.unwrap(), "ok");
    }
    assert_eq!(seen.connections.load(Ordering::SeqCst), connections);
}

#[tokio::test]
async fn a_connection_closed_while_idle_costs_no_request() {
    let (address, seen) = serve(1, true).await;
    let client = Client::default();
    for _ in 0..20 {
        assert_eq!(get(&client, &address).await.unwrap(), "ok");
        seen.closed.notified().await;
    }
    assert_eq!(seen.requests.load(Ordering::SeqCst), 20);
}

#[tokio::test]
async fn a_request_that_may_have_been_read_is_never_sent_again() {
    let (address, seen) = serve(1, false).await;
    let client = Client::default();
    assert_eq!(get(&client, &address).await.unwrap(), "ok");
    let lost = get(&client, &address).await;
    assert!(matches!(lost, Err(HttpError::Broken(_))), "{lost:?}");
    assert_eq!(seen.requests.load(Ordering::SeqCst), 2);
    assert_eq!(seen.connections.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_a_connect_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let refused = get(&Client::default(), &address).await;
    assert!(matches!(refused, Err(HttpError::Connect(_))), "{refused:?}");
}

/// An answer without a length passed for whole though its peer may have left it off.
#[tokio::test]
async fn an_answer_that_states_no_end_is_broken() {
    let text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok".to_owned();
    let (address, seen) = serve_with(1, true, text).await;
    let answer = get(&Client::default(), &address).await;
    assert!(matches!(answer, Err(HttpError::Broken(_))), "{answer:?}");
    assert_eq!(seen.requests.load(Ordering::SeqCst), 1);
}

/// An answer with both a length and chunks may end at either, so nothing of it is taken.
#[tokio::test]
async fn an_answer_that_states_two_ends_is_malformed() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = format!("{head}2\r\nok\r\n0\r\n\r\n");
    let (address, _) = serve_with(1, true, text).await;
    let answer = get(&Client::default(), &address).await;
    assert!(matches!(answer, Err(HttpError::Broken(_))), "{answer:?}");
}
