//! Servers that send bytes without end: a call ends within a bound in bytes, whatever part of an answer
//! the bytes belong to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use gotham::hyper::{Method, Request};
use http_body_util::Full;
use magpiemoor::gateway::shell::events::{self, EventSplitter};
use magpiemoor::http::pool::{Pool, SendError};
use magpiemoor::http::read_limit::{MAX_BYTES_WITHOUT_ADVANCE, ReadError, read_limited};
use magpiemoor::http::{Call, Client, HttpError};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The bytes after which a server stops and closes: it has then met no bound. Socket buffers hold a
/// part of them that the client never reads.
const WITHOUT_BOUND: usize = 128 << 20;
/// The timeout for a call; long enough that only a hang reaches it.
const LIMIT: Duration = Duration::from_secs(60);
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a server that answers each request with `first` and then `more` over and over until the
/// client closes. Returns its address and the number of bytes that it has sent.
async fn serve(first: &'static str, more: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                let _ = socket.read(&mut [0; 4096]).await;
                let _ = socket.write_all(first.as_bytes()).await;
                let more = more.repeat((32 << 10) / more.len() + 1);
                while counted.load(Ordering::SeqCst) < WITHOUT_BOUND
                    && socket.write_all(more.as_bytes()).await.is_ok()
                {
                    counted.fetch_add(more.len(), Ordering::SeqCst);
                }
            });
        }
    });
    (address, sent)
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::get("/path").header("host", "server.example");
    request.body(Full::default()).unwrap()
}

#[rstest]
#[case::line("HTTP/1.1 200 OK\r\nX-Long: ", "y")]
#[case::lines("HTTP/1.1 200 OK\r\n", "X-More: y\r\n")]
#[case::informational("", "HTTP/1.1 103 Early Hints\r\nX-More: y\r\n\r\n")]
#[case::blank_lines("", "\r\n")]
#[tokio::test]
async fn a_head_without_end_is_malformed(#[case] first: &'static str, #[case] more: &'static str) {
    let (address, sent) = serve(first, more).await;
    let mut connection = Pool::connect(address, LIMIT).await.unwrap();
    let answer = connection.send(request()).await;
    assert!(matches!(answer, Err(SendError::Malformed)), "{answer:?}");
    assert!(sent.load(Ordering::SeqCst) < WITHOUT_BOUND);
}

#[rstest]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\n", "y")]
#[case::sized("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "y")]
#[case::chunks(CHUNKED, "4\r\nyyyy\r\n")]
#[case::digits_of_a_chunk(CHUNKED, "0")]
#[case::space_before_a_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", " ")]
#[case::extensions_of_a_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "y")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-More: y\r\n"
)]
#[tokio::test]
async fn a_short_answer_without_end_is_given_up(
    #[case] first: &'static str,
    #[case] more: &'static str,
) {
    let (address, sent) = serve(first, more).await;
    let mut connection = Pool::connect(address, LIMIT).await.unwrap();
    assert!(connection.get_with_head("/path").await.is_none());
    drop(connection);
    assert!(sent.load(Ordering::SeqCst) < WITHOUT_BOUND);
}

#[rstest]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\n", "y")]
#[case::digits_of_a_chunk(CHUNKED, "0")]
#[tokio::test]
async fn a_long_answer_without_end_is_given_up(
    #[case] first: &'static str,
    #[case] more: &'static str,
) {
    let (address, sent) = serve(first, more).await;
    let mut connection = Pool::connect(address, LIMIT).await.unwrap();
    let answer = connection.get_with_timeouts("/path", LIMIT, LIMIT).await;
    assert!(answer.is_none());
    drop(connection);
    assert!(sent.load(Ordering::SeqCst) < WITHOUT_BOUND);
    let call = Call::new(Method::GET, "unused", "/path");
    let target = address.to_string();
    let call = Call {
        address: &target,
        ..call
    };
    sent.store(0, Ordering::SeqCst);
    let answer = Client::default().send(call, LIMIT).await;
    assert!(matches!(answer, Err(HttpError::Broken(_))), "{answer:?}");
    assert!(sent.load(Ordering::SeqCst) < WITHOUT_BOUND);
}

/// A body of many small parts, each a small share of the bound, is a sound answer.
#[tokio::test]
async fn a_long_answer_of_a_sound_server_is_read_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let chunk = format!("{:x}\r\n{}\r\n", 1000, "y".repeat(1000));
    let chunks = 7 * MAX_BYTES_WITHOUT_ADVANCE / 1000;
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let _ = socket.read(&mut [0; 4096]).await;
        let answer = format!("{CHUNKED}{}0\r\n\r\n", chunk.repeat(chunks));
        socket.write_all(answer.as_bytes()).await.unwrap();
        std::future::pending::<()>().await;
    });
    let mut connection = Pool::connect(address, LIMIT).await.unwrap();
    let body = connection.send(request()).await.unwrap().into_body();
    // The client reads on while nobody takes the data.
    tokio::task::yield_now().await;
    let read = read_limited(body, 8 << 20, |_| true).await.unwrap();
    assert_eq!(read.len(), chunks * 1000);
}

/// The memory of a body is a small multiple of its length, also if it comes in parts of one byte.
#[tokio::test]
async fn a_body_is_given_up_where_its_memory_is_rejected() {
    let (address, _) = serve(CHUNKED, "1\r\ny\r\n").await;
    let mut connection = Pool::connect(address, LIMIT).await.unwrap();
    let body = connection.send(request()).await.unwrap().into_body();
    let mut most = 0;
    let read = read_limited(body, usize::MAX, |memory| {
        most = memory;
        memory < 100_000
    });
    assert_eq!(read.await.unwrap_err(), ReadError::TooLong);
    assert!((100_000..=200_000).contains(&most), "{most}");
}

#[rstest]
#[case::comments(": y\n\n")]
#[case::without_an_id("data: y\n\n")]
#[case::repeated("id: 7\ndata: y\n\n")]
#[case::blank_lines("\n\n")]
#[test]
fn a_stream_that_does_not_advance_is_rejected(#[case] event: &str) {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: y\n\n");
    assert_eq!(splitter.next_event().unwrap().unwrap().id, Some(7));
    let events = events::MAX_STREAM_BYTES_WITHOUT_ADVANCE / events::MIN_COUNTED_BYTES;
    for _ in 0..events {
        splitter.push(event.as_bytes());
        assert!(splitter.next_event().unwrap().is_some());
    }
    splitter.push(event.as_bytes());
    assert!(splitter.next_event().is_err());
}

/// A box held the memory of each large event that it had passed on until the next one was whole,
/// and counted none of it towards its limit.
#[test]
fn the_memory_of_a_large_event_is_free_once_it_is_written() {
    let mut splitter = EventSplitter::default();
    let data = "y".repeat(events::LARGE_EVENT_BYTES);
    splitter.push(format!("id: 1\ndata: {data}\n\nid: 2\ndata: y").as_bytes());
    let event = splitter.next_event().unwrap().unwrap();
    assert!(event.bytes.is_unique());
    splitter.push(b"y\n\n");
    let event = splitter.next_event().unwrap().unwrap();
    assert_eq!(&event.bytes[..], b"id: 2\ndata: yy\n\n");
}

#[test]
fn a_long_stream_with_comments_between_its_events_is_passed_on() {
    let mut splitter = EventSplitter::default();
    let part = events::MAX_STREAM_BYTES_WITHOUT_ADVANCE / 2;
    let comments = ": y\n\n".repeat(part / events::MIN_COUNTED_BYTES);
    for id in 1..=4 {
        splitter.push(format!("id: {id}\ndata: y\n\n{comments}").as_bytes());
        let mut ids = Vec::new();
        while let Some(event) = splitter.next_event().unwrap() {
            ids.extend(event.id);
        }
        assert_eq!(ids, [id]);
    }
}
