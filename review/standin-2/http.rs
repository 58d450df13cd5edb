//! Just enough HTTP/1.1 for callers, targets and operators.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head says.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 without one.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read too far.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads the head of a message; `None` when the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            let found = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()));
        Ok(Some(Message {
            line,
            headers: headers.collect(),
            ..Message::default()
        }))
    }

    /// Reads the body that follows `message`. An error or an early end leaves it incomplete.
    pub fn read_body(&mut self, message: &mut Message) {
        let is_chunked = message.header("transfer-encoding") == Some("chunked");
        let length = message.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        loop {
            if is_chunked {
                match self.take_chunk() {
                    Some(chunk) if chunk.is_empty() => {
                        message.complete = true;
                        return;
                    }
                    Some(chunk) => {
                        message.body.extend(chunk);
                        continue;
                    }
                    None => {}
                }
            } else {
                let wanted = length - message.body.len();
                let taken = wanted.min(self.buffer.len());
                message.body.extend(self.buffer.drain(..taken));
                if message.body.len() == length {
                    message.complete = true;
                    return;
                }
            }
            if !matches!(self.fill(), Ok(true)) {
                return;
            }
        }
    }

    fn take_chunk(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.windows(2).position(|bytes| bytes == b"\r\n")?;
        let size = std::str::from_utf8(&self.buffer[..end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if self.buffer.len() < end + 2 + size + 2 {
            return None;
        }
        let chunk = self.buffer[end + 2..end + 2 + size].to_vec();
        self.buffer.drain(..end + 2 + size + 2);
        Some(chunk)
    }

    /// Reads a whole message; `None` when the connection ends before its head.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message);
        Ok(Some(message))
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, limit)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{headers}\r\n"
    );
    connection.send(head.as_bytes())?;
    connection.send(body.as_bytes())?;
    let answer = connection.read()?;
    answer.ok_or_else(|| io::Error::other("no answer"))
}
