//! Answers that stop at a place and are closed there, with no reset.

use super::{Serving, chunk};
use crate::gateway::wire::Wire;

/// Where an answer stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// In its head, after this many percent of the head's bytes.
    Head(usize),
    /// After a head that states no length.
    AfterHead,
    /// In the middle of a body that has no length.
    Body,
    /// In the middle of a body in chunks, where a chunk's length stands.
    ChunkLength,
}

impl Cut {
    fn text(self, more: &str, body: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\n{more}");
        let half = &body[..body.len() / 2];
        match self {
            Self::Head(percent) => {
                let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
                head[..head.len() * percent.min(99) / 100].to_owned()
            }
            Self::AfterHead => format!("{head}\r\n"),
            Self::Body => format!("{head}\r\n{half}"),
            Self::ChunkLength => {
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{}1", chunk(half))
            }
        }
    }
}

impl Serving {
    /// Sends an answer up to where it stops; the connection is closed then.
    pub(super) async fn send_cut(
        &self,
        wire: &mut Wire,
        cut: Cut,
        headers: &str,
        body: &str,
    ) -> std::io::Result<bool> {
        wire.send(cut.text(headers, body)).await?;
        Ok(true)
    }
}
