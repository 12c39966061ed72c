//! HTTP/1.1 by hand, so that a stand-in can send what no library would.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The greatest head that a stand-in reads, in bytes.
const MOST_HEAD: usize = 256 << 10;
/// The most headers that a stand-in reads.
const MOST_HEADERS: usize = 256;

/// A head and a body as they came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and path, or the status.
    pub start: Start,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

/// The first line of a message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Start {
    /// Nothing was read.
    #[default]
    None,
    /// A request's method and path.
    Request(String, String),
    /// An answer's status.
    Answer(u16),
}

impl Message {
    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// A header as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// The path of a request.
    #[must_use]
    pub fn path(&self) -> &str {
        match &self.start {
            Start::Request(_, path) => path,
            _ => "",
        }
    }

    /// The status of an answer, or 0.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self.start {
            Start::Answer(status) => status,
            _ => 0,
        }
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read too far.
#[derive(Debug)]
pub struct Wire {
    socket: TcpStream,
    held: Vec<u8>,
    /// Whether output waits; `None` if it never does.
    is_muted: Option<watch::Receiver<bool>>,
}

impl Wire {
    /// Speaks on a socket.
    #[must_use]
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            held: Vec::new(),
            is_muted: None,
        }
    }

    /// Speaks on a socket; what is sent waits while `is_muted` holds.
    #[must_use]
    pub fn muted_by(socket: TcpStream, is_muted: watch::Receiver<bool>) -> Self {
        Self {
            is_muted: Some(is_muted),
            ..Self::new(socket)
        }
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) -> io::Result<()> {
        if let Some(is_muted) = &mut self.is_muted {
            // A server that is gone leaves its connections to their tasks.
            let _ = is_muted.wait_for(|is_muted| !is_muted).await;
        }
        self.socket.write_all(bytes.as_ref()).await
    }

    /// Closes so that the peer is reset.
    pub fn reset(self) {
        let _ = self.socket.set_zero_linger();
    }

    /// Reads one request, or `None` once the peer has closed.
    ///
    /// # Errors
    ///
    /// What the system says, or that it is no request.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head(true).await? else {
            return Ok(None);
        };
        self.read_body(&mut message).await?;
        Ok(Some(message))
    }

    /// Reads the head of a request only.
    ///
    /// # Errors
    ///
    /// As for [`Wire::read_request`].
    pub async fn read_request_head(&mut self) -> io::Result<Option<Message>> {
        self.read_head(true).await
    }

    /// Reads the body of a request whose head was read.
    ///
    /// # Errors
    ///
    /// What the system says, or that the body broke off.
    pub async fn finish_request(&mut self, request: &mut Message) -> io::Result<()> {
        self.read_body(request).await
    }

    /// Reads an answer; one that broke off is not whole.
    ///
    /// # Errors
    ///
    /// If no head came.
    pub async fn read_answer(&mut self) -> io::Result<Message> {
        let head = self.read_head(false).await?;
        let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        message.is_whole = self.read_body(&mut message).await.is_ok();
        Ok(message)
    }

    /// Reads the head of an answer only.
    ///
    /// # Errors
    ///
    /// If no head came.
    pub async fn read_answer_head(&mut self) -> io::Result<Message> {
        let head = self.read_head(false).await?;
        Ok(head.ok_or(io::ErrorKind::UnexpectedEof)?)
    }

    /// Reads the next chunk of a chunked answer, or `None` at its end.
    ///
    /// # Errors
    ///
    /// If the answer broke off.
    pub async fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line().await?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let chunk = self.take(size).await?;
        self.read_line().await?;
        Ok((size > 0).then_some(chunk))
    }

    async fn more(&mut self) -> io::Result<usize> {
        self.socket.read_buf(&mut self.held).await
    }

    async fn read_head(&mut self, is_request: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse_head(&self.held, is_request)? {
                self.held.drain(..length);
                return Ok(Some(message));
            }
            if self.held.len() > MOST_HEAD {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.more().await? == 0 {
                return if self.held.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    async fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding") == Some("chunked") {
            return self.read_chunks(message).await;
        }
        if let Some(length) = message.number("content-length") {
            let length = usize::try_from(length).map_err(io::Error::other)?;
            let read = self.take(length).await;
            message.body = read?;
            return Ok(());
        }
        if matches!(message.start, Start::Request(..)) {
            return Ok(());
        }
        while self.more().await? > 0 {}
        message.body = std::mem::take(&mut self.held);
        Ok(())
    }

    async fn read_chunks(&mut self, message: &mut Message) -> io::Result<()> {
        while let Some(chunk) = self.read_chunk().await? {
            message.body.extend(chunk);
        }
        Ok(())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.held.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.held.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.held.len() < length {
            if self.more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.held.drain(..length).collect())
    }
}

fn parse_head(bytes: &[u8], is_request: bool) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let (start, read, headers) = if is_request {
        let mut request = httparse::Request::new(&mut headers);
        let read = request.parse(bytes).map_err(io::Error::other)?;
        let method = request.method.unwrap_or_default().to_owned();
        let path = request.path.unwrap_or_default().to_owned();
        (Start::Request(method, path), read, request.headers)
    } else {
        let mut answer = httparse::Response::new(&mut headers);
        let read = answer.parse(bytes).map_err(io::Error::other)?;
        (
            Start::Answer(answer.code.unwrap_or_default()),
            read,
            answer.headers,
        )
    };
    let httparse::Status::Complete(length) = read else {
        return Ok(None);
    };
    let named = headers.iter().map(|h| {
        let value = String::from_utf8_lossy(h.value).into_owned();
        (h.name.to_ascii_lowercase(), value)
    });
    let message = Message {
        start,
        headers: named.collect(),
        ..Message::default()
    };
    Ok(Some((message, length)))
}
