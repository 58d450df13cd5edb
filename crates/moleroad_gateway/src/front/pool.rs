//! Kept connections to targets.

use crate::front::connect::first_up;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept when the target does not say.
const IDLE_UNSAID: Duration = Duration::from_secs(4);
/// How much earlier than the target an idle connection is given up: its clock
/// runs from the last byte that it sent, and a request may be on the way.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Most idle connections kept to one address.
const MOST_IDLE: usize = 32;

/// One connection to a target; closed when dropped.
pub struct Connection {
    /// Takes requests.
    pub sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    driver: AbortHandle,
    /// Until when it would have been kept, had it not been taken; `None` for a
    /// new one.
    idle_until: Option<Instant>,
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

/// Kept connections to targets.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<IdleByAddress>>,
}

impl Pool {
    /// An idle connection to `address`, the one used last.
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

    /// A new connection to `address`.
    ///
    /// # Errors
    /// When it does not come up in time; nothing was sent.
    pub async fn connect(&self, address: SocketAddr) -> std::io::Result<Connection> {
        let connecting = first_up(|| TcpStream::connect(address));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        crate::peers::prepare(&stream);
        let builder = hyper::client::conn::http1::Builder::new();
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

    /// Keeps a connection whose last answer was whole. `target_limit` is the
    /// time for which the target said it keeps it.
    pub fn give_back(&self, connection: Connection, target_limit: Option<Duration>) {
        self.keep(connection, Instant::now() + idle_limit(target_limit));
    }

    /// Keeps a connection on which nothing was sent, no longer than it would
    /// have been kept: the target's clock runs from its last answer.
    pub fn give_back_unused(&self, connection: Connection) {
        let unsaid = Instant::now() + IDLE_UNSAID;
        let until = connection.idle_until.unwrap_or(unsaid);
        self.keep(connection, until);
    }

    fn keep(&self, connection: Connection, until: Instant) {
        if until <= Instant::now() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < MOST_IDLE {
            kept.push(Idle { connection, until });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, IdleByAddress> {
        self.idle.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// How long an idle connection is kept: nearly as long as the target keeps it,
/// since each entry sends to each of many targets only every few seconds.
pub fn idle_limit(target_limit: Option<Duration>) -> Duration {
    target_limit.map_or(IDLE_UNSAID, |limit| limit.saturating_sub(IDLE_MARGIN))
}
