//! Answers without end: a server sends bytes until its caller closes.

use super::{Serving, chunk, lock};
use crate::gateway::wire::Wire;

/// The bytes after which an answer without end falls silent: its caller has no bound.
pub const MAX_ENDLESS_BYTES: usize = 128 << 20;
/// About as many bytes are sent at a time.
const SENT_AT_ONCE: usize = 16 << 10;
/// The data of a large event, in bytes.
const LARGE_EVENT_BYTES: usize = 512 << 10;
/// The data of a chunk, in bytes.
const CHUNK_BYTES: usize = 1024;
/// What each of the heads begins with.
const OK: &str = "HTTP/1.1 200 OK\r\n";

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// A line of the head.
    HeadLine,
    /// The lines of the head.
    HeadLines,
    /// Informational answers before the head.
    Informational,
    /// A body without a length.
    Body,
    /// A body that names more bytes than anyone takes.
    SizedBody,
    /// The chunks of a body.
    Chunks,
    /// The digits before a chunk's data.
    Digits,
    /// An event of a stream.
    Event,
    /// Comments in a stream.
    Comments,
    /// Events without an id in a stream.
    Unnumbered,
    /// Large events of a stream, each with its id.
    LargeEvents,
}

impl Endless {
    /// What an answer begins with, and what follows over and over.
    fn text(self, signed: &str) -> (String, String) {
        let chunked = format!("{OK}{signed}Transfer-Encoding: chunked\r\n\r\n");
        let stream = format!("{OK}{signed}Content-Type: text/event-stream\r\n\r\n");
        let data = chunk(&"y".repeat(CHUNK_BYTES));
        let (first, more) = match self {
            Self::HeadLine => (format!("{OK}{signed}X-Long: "), "y"),
            Self::HeadLines => (format!("{OK}{signed}"), "X-More: y\r\n"),
            Self::Informational => (String::new(), "HTTP/1.1 103 X\r\nX-More: y\r\n\r\n"),
            Self::Body => (format!("{OK}{signed}\r\n"), "y"),
            Self::SizedBody => (
                format!("{OK}{signed}Content-Length: 99999999999\r\n\r\n"),
                "y",
            ),
            Self::Chunks => (chunked, data.as_str()),
            Self::Digits => (chunked, "0"),
            Self::Event => (stream + "id: 1\ndata: ", "y"),
            Self::Comments => (stream, ": y\n\n"),
            Self::Unnumbered => (stream, "data: y\n\n"),
            Self::LargeEvents => (stream, ""),
        };
        (first, more.repeat(SENT_AT_ONCE / more.len().max(1)))
    }

    /// A large event with an id.
    fn large_event(id: usize) -> String {
        format!("id: {id}\ndata: {}\n\n", "y".repeat(LARGE_EVENT_BYTES))
    }
}

impl Serving {
    /// Sends an answer until the caller closes; never returns otherwise.
    pub(super) async fn send_endless(
        &self,
        wire: &mut Wire,
        endless: Endless,
        signed: &str,
    ) -> std::io::Result<bool> {
        let (first, mut more) = endless.text(signed);
        lock(&self.state).endless_begun += 1;
        let mut sent = first.len();
        wire.send(first).await?;
        for id in 1.. {
            if sent >= MAX_ENDLESS_BYTES {
                break;
            }
            if endless == Endless::LargeEvents {
                more = Endless::large_event(id);
            }
            if let Err(e) = wire.send(&more).await {
                let mut state = lock(&self.state);
                state.endless_ended += 1;
                state.most_endless_bytes = state.most_endless_bytes.max(sent);
                return Err(e);
            }
            sent += more.len();
            lock(&self.state).endless_bytes += more.len();
        }
        lock(&self.state).most_endless_bytes = sent;
        std::future::pending().await
    }
}
