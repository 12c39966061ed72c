//! HTTP/1.1 messages on blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message whose body was read to its end.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer, 0 if the start line has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn says_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection that reads and writes messages.
pub struct Wire {
    pub socket: TcpStream,
    buf: Vec<u8>,
}

impl Wire {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buf: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr, limit: Duration) -> Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&to, limit)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.socket.write_all(bytes)
    }

    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.socket.read(&mut chunk)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn take_line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the start line and the headers of a message; `None` if the peer closed before it.
    fn read_head(&mut self) -> Result<Option<Message>> {
        if self.buf.is_empty() {
            match self.fill() {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(None),
                Err(e) => return Err(e),
            }
        }
        let mut message = Message {
            start: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(Some(message));
            };
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a chunk; empty after the last one.
    fn read_chunk(&mut self) -> Result<Vec<u8>> {
        let size = self.take_line()?;
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "not a chunk"))?;
        let chunk = self.take(size)?;
        self.take(2)?;
        Ok(chunk)
    }

    /// Reads a whole message; `None` if the peer closed before it.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length
                .parse()
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }
}

/// The text of an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}
