//! HTTP/1.1 messages on a socket, for stand-ins.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
    }
}

/// A connection with what was read ahead of it.
pub struct Wire {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr) -> Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &to,
            Duration::from_secs(2),
        )?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.socket.write_all(bytes)
    }

    /// Reads more bytes; returns whether there were any.
    pub fn fill(&mut self) -> Result<bool> {
        let mut part = [0; 65_536];
        let count = self.socket.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Takes what was read ahead.
    pub fn take_buffer(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    fn line(&mut self) -> Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line).trim_end().to_owned();
                return Ok(Some(line));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(cut())
                };
            }
        }
    }

    /// Reads a head; `None` if the peer has closed before its first byte.
    pub fn head(&mut self) -> Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first,
            ..Message::default()
        };
        loop {
            let line = self.line()?.ok_or_else(cut)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or_else(cut)?;
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads some bytes exactly.
    pub fn exactly(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(cut());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next chunk of a body; empty for the last one.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.line()?.ok_or_else(cut)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| cut())?;
        let bytes = self.exactly(size)?;
        self.line()?.ok_or_else(cut)?;
        Ok(bytes)
    }

    /// Reads the body that a head announces.
    pub fn body(&mut self, head: &Message, is_answer: bool) -> Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        match head.length() {
            Some(length) => self.exactly(length),
            None if is_answer => {
                while self.fill()? {}
                Ok(self.take_buffer())
            }
            None => Ok(Vec::new()),
        }
    }

    /// Reads a whole request; `None` if the peer has closed.
    pub fn request(&mut self) -> Result<Option<Message>> {
        let Some(mut head) = self.head()? else {
            return Ok(None);
        };
        head.body = self.body(&head, false)?;
        Ok(Some(head))
    }

    /// Reads a whole answer; informational ones are passed over.
    pub fn answer(&mut self) -> Result<Message> {
        loop {
            let mut head = self.head()?.ok_or_else(cut)?;
            if head.status() / 100 == 1 {
                continue;
            }
            head.body = self.body(&head, true)?;
            return Ok(head);
        }
    }
}

fn cut() -> Error {
    Error::from(ErrorKind::UnexpectedEof)
}

/// The bytes of an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [head.as_bytes(), body].concat()
}
