//! HTTP/1.1 as far as the stand-ins need it, on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Headers with lower-case names.
pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the next chunk of a chunked body; an empty one ends it.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
    let size = size.map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk size"))?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    read_line(reader)?;
    Ok(bytes)
}

fn read_body(reader: &mut impl BufRead, headers: &Headers) -> io::Result<Vec<u8>> {
    if header(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = header(headers, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let mut word = || words.next().unwrap_or("").to_string();
    let (method, target) = (word(), word());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Request { method, target, headers, body })
}

/// Writes an answer with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves requests on `listener`, one thread a connection, until the process ends.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_request(&mut reader) {
                    if handle(&request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the head of its answer.
pub fn begin(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Headers, BufReader<TcpStream>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let headers = read_headers(&mut reader)?;
    Ok((status, headers, reader))
}

/// Makes a whole call on a new connection.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut headers: Vec<(&str, String)> = headers.to_vec();
    if !headers.iter().any(|(name, _)| *name == "Host") {
        headers.push(("Host", address.to_string()));
    }
    let (status, headers, mut reader) = begin(address, line, &headers, body, timeout)?;
    let body = read_body(&mut reader, &headers)?;
    Ok(Answer { status, body })
}
