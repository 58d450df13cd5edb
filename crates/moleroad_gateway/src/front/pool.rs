//! Pool of idle connections to targets.

use crate::front::connect::first_connected;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept if the target states no keep-alive timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// How much earlier than the target an idle connection is closed. The target's
/// timeout starts when it sends its last byte, and a request must not be in
/// transit when the target closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Largest head of an answer, in bytes, and size of the buffer that a connection reads
/// into.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest number of interim responses (1xx) before an answer.
const MAX_INTERIM_RESPONSES: u32 = 32;
/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// One connection to a target; closed when dropped.
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    driver: AbortHandle,
    /// Idle expiry at the time it was taken from the pool; `None` for a new
    /// connection.
    idle_until: Option<Instant>,
}

impl Connection {
    /// Closes the connection if too many interim responses (1xx) precede the answer to
    /// `message`.
    pub fn bound_interim_responses(&self, message: &mut Request<Full<Bytes>>) {
        let driver = self.driver.clone();
        let received = AtomicU32::new(0);
        hyper::ext::on_informational(message, move |_| {
            if received.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                driver.abort();
            }
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    until: Instant,
}

type IdleByAddress = HashMap<SocketAddr, Vec<Idle>>;

/// Pool of idle connections, by address.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<IdleByAddress>>,
}

impl Pool {
    /// Takes the most recently used idle connection to `address`.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        while let Some(mut candidate) = kept.pop() {
            let usable = candidate.until > now
                && candidate.connection.sender.is_ready()
                && !candidate.connection.sender.is_closed();
            if usable {
                candidate.connection.idle_until = Some(candidate.until);
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a new connection to `address`.
    ///
    /// # Errors
    /// Returns an error if the connection fails or times out; no request was sent.
    pub async fn connect(&self, address: SocketAddr) -> std::io::Result<Connection> {
        let stream = connected_stream(address).await?;
        Self::handshake(address, stream).await
    }

    /// Opens a new connection to `address` that discards bytes not yet delivered when it
    /// is closed, instead of sending them again until they arrive.
    ///
    /// # Errors
    /// As [`Pool::connect`].
    pub async fn connect_discarding(&self, address: SocketAddr) -> std::io::Result<Connection> {
        let stream = connected_stream(address).await?;
        stream.set_zero_linger()?;
        Self::handshake(address, stream).await
    }

    async fn handshake(address: SocketAddr, stream: TcpStream) -> std::io::Result<Connection> {
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            address,
            driver: driver.abort_handle(),
            idle_until: None,
        })
    }

    /// Returns a connection whose last answer was read completely.
    /// `target_limit` is the keep-alive timeout stated by the target.
    pub fn give_back(&self, connection: Connection, target_limit: Option<Duration>) {
        self.keep(connection, Instant::now() + idle_limit(target_limit));
    }

    /// Returns a connection on which nothing was sent. Its idle expiry stays the
    /// same, because the target's timeout runs from its last answer.
    pub fn give_back_unused(&self, connection: Connection) {
        let default_until = Instant::now() + DEFAULT_IDLE;
        let until = connection.idle_until.unwrap_or(default_until);
        self.keep(connection, until);
    }

    fn keep(&self, connection: Connection, until: Instant) {
        if until <= Instant::now() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < MAX_IDLE_PER_ADDRESS {
            kept.push(Idle { connection, until });
        }
    }

    /// Closes connections whose idle time has expired.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, IdleByAddress> {
        self.idle.lock().unwrap_or_else(|error| error.into_inner())
    }
}

async fn connected_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = first_connected(|| TcpStream::connect(address));
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    crate::peers::configure_socket(&stream);
    Ok(stream)
}

/// Returns how long an idle connection is kept. This is nearly as long as the
/// target keeps it, since each entry sends to each of many targets only every few
/// seconds.
pub fn idle_limit(target_limit: Option<Duration>) -> Duration {
    target_limit.map_or(DEFAULT_IDLE, |limit| limit.saturating_sub(IDLE_MARGIN))
}
