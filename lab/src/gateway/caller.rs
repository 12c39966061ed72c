//! A caller of the platform: one connection, one request at a time, and whatever bytes a test
//! wants.

use std::net::SocketAddr;

use tokio::net::TcpStream;

use super::wire::{Message, Wire};

/// A request in the platform's words.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Method, path and host.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The id of this sending.
    pub id: String,
    /// The last part of the prompt, for streams.
    pub part: Option<String>,
    /// The event after which a stream is to go on.
    pub after_event: Option<u64>,
    /// More headers, each with its line end.
    pub more: String,
    /// The body.
    pub body: String,
}

impl Asked {
    /// A plain call.
    #[must_use]
    pub fn call(path: &str, id: &str) -> Self {
        Self {
            method: "POST",
            path: path.to_owned(),
            id: id.to_owned(),
            part: None,
            after_event: None,
            more: String::new(),
            body: "body".to_owned(),
        }
    }

    /// A stream.
    #[must_use]
    pub fn stream(path: &str, id: &str, part: &str) -> Self {
        Self {
            part: Some(part.to_owned()),
            ..Self::call(path, id)
        }
    }

    /// Its bytes.
    #[must_use]
    pub fn bytes(&self, host: &str, key: &str) -> String {
        let prompt = self.part.as_ref().map(|part| {
            format!(
                "Magpiemoor-Model: m\r\nMagpiemoor-Token-Usage: 5000,700\r\nMagpiemoor-Prefix-Hash: 5c1e:200,{part}:4800\r\n"
            )
        });
        let after = self.after_event.map(|e| format!("Last-Event-Id: {e}\r\n"));
        format!(
            "{} {} HTTP/1.1\r\nHost: {host}\r\nMagpiemoor-Attempt-Id: {}\r\nMagpiemoor-Deadline-Ms: 20000\r\nMagpiemoor-Credential: {key}\r\n{}{}{}Content-Length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.id,
            prompt.unwrap_or_default(),
            after.unwrap_or_default(),
            self.more,
            self.body.len(),
            self.body,
        )
    }
}

/// Connects to a box.
///
/// # Errors
///
/// What the system says.
pub async fn connect(address: SocketAddr) -> std::io::Result<Wire> {
    Ok(Wire::new(TcpStream::connect(address).await?))
}

/// Sends a request on a new connection and reads the answer.
///
/// # Errors
///
/// If no answer came.
pub async fn ask(
    address: SocketAddr,
    asked: &Asked,
    host: &str,
    key: &str,
) -> std::io::Result<Message> {
    let mut wire = connect(address).await?;
    wire.send(asked.bytes(host, key)).await?;
    wire.read_answer().await
}
