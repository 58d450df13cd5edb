//! Calls other daemons, and finds the leader among the control members.

use crate::handshake::{ClusterKey, as_client};
use crate::message::CallError;
use crate::meter::Metered;
use crate::server::frames;
use crate::service::DaemonServiceClient;
use moleroad_types::prelude::{MoleroadError, ResultCode};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::MessagePack;
use tokio::net::TcpStream;

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait before the control members are asked again when none leads.
const LEADERLESS_WAIT: Duration = Duration::from_millis(50);

/// A connection to one daemon that is made when needed and made again when
/// it broke.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    key: ClusterKey,
    client: tokio::sync::Mutex<Option<DaemonServiceClient>>,
}

impl Connection {
    /// A connection, not yet made, to the daemon at `address`.
    pub fn new(address: SocketAddr, key: ClusterKey) -> Self {
        Self {
            address,
            key,
            client: tokio::sync::Mutex::new(None),
        }
    }

    /// Where the daemon is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The client to call with.
    ///
    /// # Errors
    /// Passes on errors of connecting and of the handshake.
    pub async fn client(&self) -> io::Result<DaemonServiceClient> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let client = connect(self.address, &self.key).await?;
        *slot = Some(client.clone());
        Ok(client)
    }

    /// Forgets a client that a call has found broken.
    pub async fn reset(&self) {
        *self.client.lock().await = None;
    }

    /// Makes one call within `limit`.
    ///
    /// # Errors
    /// Passes on errors of connecting and of the call.
    pub async fn call<T, F, Fut>(&self, limit: Duration, call: F) -> io::Result<T>
    where
        F: FnOnce(DaemonServiceClient, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client().await?;
        match call(client, context_within(limit)).await {
            Ok(answer) => Ok(answer),
            Err(error) => {
                self.reset().await;
                Err(io::Error::other(error))
            }
        }
    }
}

/// A call context that ends after `limit`.
pub fn context_within(limit: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + limit;
    context
}

async fn connect(address: SocketAddr, key: &ClusterKey) -> io::Result<DaemonServiceClient> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let mut stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    as_client(&mut stream, key).await?;
    let transport =
        tarpc::serde_transport::new(frames().new_framed(Metered(stream)), MessagePack::default());
    Ok(DaemonServiceClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Calls the leading control member, whichever that is.
#[derive(Debug)]
pub struct ControlClient {
    members: Vec<Connection>,
    /// Position of the member that led when last asked.
    leader: Mutex<usize>,
}

impl ControlClient {
    /// A client of the control members at `addresses`.
    ///
    /// # Panics
    /// Without addresses.
    pub fn new(addresses: &[SocketAddr], key: ClusterKey) -> Self {
        assert!(
            !addresses.is_empty(),
            "there is at least one control member"
        );
        let members = addresses
            .iter()
            .map(|address| Connection::new(*address, key))
            .collect();
        Self {
            members,
            leader: Mutex::new(0),
        }
    }

    /// Connections to all members.
    pub fn members(&self) -> &[Connection] {
        &self.members
    }

    /// Makes a call to the leader. While none is known the members are asked
    /// in turn until `limit` has passed.
    ///
    /// A call that reached a member and was not answered is not made again;
    /// it ends as [`ResultCode::AcceptanceUnknown`].
    ///
    /// # Errors
    /// The leader's refusal, or that no leader was found.
    pub async fn call<T, F, Fut>(&self, limit: Duration, call: F) -> Result<T, MoleroadError>
    where
        F: Fn(DaemonServiceClient, Context) -> Fut,
        Fut: Future<Output = Result<Result<T, CallError>, RpcError>>,
    {
        let deadline = Instant::now() + limit;
        loop {
            let position = self.leader_position();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(MoleroadError::new(
                    ResultCode::ControlUnavailable,
                    "no member leads",
                ));
            }
            let member = &self.members[position];
            let Ok(client) = member.client().await else {
                self.try_next(position).await;
                continue;
            };
            match call(client, context_within(left)).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(CallError::Refused(error))) => return Err(error),
                Ok(Err(CallError::NotLeader { leader })) => self.follow(position, leader).await,
                Err(error) => {
                    member.reset().await;
                    self.advance(position);
                    return Err(MoleroadError::new(
                        ResultCode::AcceptanceUnknown,
                        error.to_string(),
                    ));
                }
            }
        }
    }

    fn leader_position(&self) -> usize {
        *self
            .leader
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn set_leader(&self, position: usize) {
        *self
            .leader
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = position;
    }

    fn advance(&self, from: usize) {
        self.set_leader((from + 1) % self.members.len());
    }

    async fn try_next(&self, from: usize) {
        self.advance(from);
        tokio::time::sleep(LEADERLESS_WAIT).await;
    }

    /// Turns to the named leader, or to the next member if none is named.
    async fn follow(&self, from: usize, leader: Option<SocketAddr>) {
        let named = leader.and_then(|at| {
            self.members
                .iter()
                .position(|member| member.address() == at)
        });
        match named {
            Some(position) if position != from => self.set_leader(position),
            _ => self.try_next(from).await,
        }
    }
}
