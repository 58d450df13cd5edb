//! A TCP stream that counts the bytes transferred between daemons.

use prometheus::IntCounter;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counters of the bytes transferred between this daemon and others.
#[derive(Clone)]
pub struct PeerBytes {
    /// Bytes sent.
    pub sent: IntCounter,
    /// Bytes received.
    pub received: IntCounter,
}

/// A connection to another daemon that counts its traffic.
pub struct CountedStream {
    stream: TcpStream,
    bytes: PeerBytes,
}

impl CountedStream {
    /// Wraps `stream` and adds its traffic to `bytes`.
    pub fn new(stream: TcpStream, bytes: PeerBytes) -> Self {
        Self { stream, bytes }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.bytes
            .received
            .inc_by((buffer.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(written)) = polled {
            self.bytes.sent.inc_by(written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
