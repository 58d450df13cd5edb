//! Client side of the calls between daemons. Each daemon has one connection,
//! which is opened on first use and dropped when a call on it fails.

use crate::counted_stream::{CountedStream, PeerBytes};
use crate::peer::PeerClient;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tokio::net::TcpStream;
use tokio_serde::formats::MessagePack;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a connection with unacknowledged data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of calls in flight to one daemon; further calls fail
/// immediately.
const MAX_IN_FLIGHT: usize = 96;
/// Largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;

/// Reason why a call returned no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened.
    Unreachable,
    /// Too many calls are in flight.
    Busy,
    /// The call timed out or the connection broke.
    NoAnswer,
}

#[derive(Clone)]
struct Connection {
    client: PeerClient,
    serial: u64,
    in_flight: Arc<AtomicUsize>,
}

#[derive(Default)]
struct Connections {
    open: HashMap<SocketAddr, Connection>,
    serial: u64,
}

/// Connections to all other daemons.
pub struct Peers {
    connections: Mutex<Connections>,
    bytes: PeerBytes,
}

impl Peers {
    /// Creates an empty set of connections. The traffic of later connections is
    /// added to `bytes`.
    pub fn new(bytes: PeerBytes) -> Self {
        Self {
            connections: Mutex::default(),
            bytes,
        }
    }

    /// Calls the daemon at `address`, waiting at most `timeout`.
    ///
    /// # Errors
    /// [`CallError`]. After [`CallError::NoAnswer`] the callee may have
    /// executed the call.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(PeerClient, tarpc::context::Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let started = Instant::now();
        let connection = self.connection(address, timeout).await?;
        if connection.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            return Err(CallError::Busy);
        }
        let _in_flight = InFlightGuard::new(&connection.in_flight);
        let left = timeout.saturating_sub(started.elapsed());
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + left;
        let answer = tokio::time::timeout(left, call(connection.client.clone(), context)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => {
                self.drop_connection(address, connection.serial);
                Err(CallError::NoAnswer)
            }
        }
    }

    async fn connection(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, CallError> {
        if let Some(connection) = self.lock().open.get(&address) {
            return Ok(connection.clone());
        }
        let limit = timeout.min(CONNECT_TIMEOUT);
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(limit, connecting).await {
            Ok(Ok(stream)) => stream,
            _ => return Err(CallError::Unreachable),
        };
        configure_socket(&stream);
        let mut connections = self.lock();
        if let Some(connection) = connections.open.get(&address) {
            return Ok(connection.clone());
        }
        let transport = transport(stream, self.bytes.clone());
        let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
        connections.serial += 1;
        let connection = Connection {
            client,
            serial: connections.serial,
            in_flight: Arc::default(),
        };
        connections.open.insert(address, connection.clone());
        Ok(connection)
    }

    fn drop_connection(&self, address: SocketAddr, serial: u64) {
        let mut connections = self.lock();
        let same = connections
            .open
            .get(&address)
            .is_some_and(|c| c.serial == serial);
        if same {
            connections.open.remove(&address);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }
}

struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sets the socket options that every connection between processes needs: no
/// delay, and a timeout for unacknowledged data that closes the connection if
/// the other side is silent.
pub fn configure_socket(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    allow_unacknowledged(stream, UNACKNOWLEDGED_TIMEOUT);
}

/// Sets the time after which a connection with unacknowledged data is closed. A peer that
/// is alive and reads nothing counts as silent, too: its receive window is closed.
pub fn allow_unacknowledged(stream: &TcpStream, limit: Duration) {
    let socket = socket2::SockRef::from(stream);
    let limit = limit.max(UNACKNOWLEDGED_TIMEOUT);
    let _ = socket.set_tcp_user_timeout(Some(limit));
}

/// Wraps a connection in the transport between daemons: length-delimited frames
/// of MessagePack.
pub fn transport<Item, SinkItem>(
    stream: TcpStream,
    bytes: PeerBytes,
) -> tarpc::serde_transport::Transport<CountedStream, Item, SinkItem, MessagePack<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_MESSAGE_BYTES);
    let framed = tarpc::tokio_util::codec::Framed::new(CountedStream::new(stream, bytes), codec);
    tarpc::serde_transport::new(framed, MessagePack::default())
}
