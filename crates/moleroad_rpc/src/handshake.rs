//! Mutual proof of the cluster key at the start of each connection.
//!
//! Each side sends a random nonce; each then sends a keyed blake3 digest over
//! both nonces and its own side's name. Neither the key nor anything that
//! could be replayed crosses the connection.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const NONCE_BYTES: usize = 32;
/// Longest time that a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const CLIENT_SIDE: &[u8] = b"moleroad client 1";
const SERVER_SIDE: &[u8] = b"moleroad server 1";

/// The secret of one system of processes, derived from its settings.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ClusterKey(pub [u8; 32]);

impl ClusterKey {
    /// Derives the key from the secret in the settings.
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key("moleroad 2026 cluster key", secret.as_bytes()))
    }

    fn proof(&self, side: &[u8], client_nonce: &[u8], server_nonce: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(side).update(client_nonce).update(server_nonce);
        hasher.finalize()
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

/// Proves the key to a server and checks that the server knows it.
///
/// # Errors
/// [`io::ErrorKind::PermissionDenied`] when the server does not know the key.
pub async fn as_client(stream: &mut TcpStream, key: &ClusterKey) -> io::Result<()> {
    within_timeout(async {
        let own = rand::random::<[u8; NONCE_BYTES]>();
        stream.write_all(&own).await?;
        let theirs = read_block(stream).await?;
        stream.write_all(key.proof(CLIENT_SIDE, &own, &theirs).as_bytes()).await?;
        let proof = read_block(stream).await?;
        check(key.proof(SERVER_SIDE, &own, &theirs), proof)
    })
    .await
}

/// Checks that a client knows the key and proves it to the client.
///
/// # Errors
/// [`io::ErrorKind::PermissionDenied`] when the client does not know the key.
pub async fn as_server(stream: &mut TcpStream, key: &ClusterKey) -> io::Result<()> {
    within_timeout(async {
        let theirs = read_block(stream).await?;
        let own = rand::random::<[u8; NONCE_BYTES]>();
        stream.write_all(&own).await?;
        let proof = read_block(stream).await?;
        check(key.proof(CLIENT_SIDE, &theirs, &own), proof)?;
        stream.write_all(key.proof(SERVER_SIDE, &theirs, &own).as_bytes()).await
    })
    .await
}

async fn within_timeout(exchange: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

async fn read_block(stream: &mut TcpStream) -> io::Result<[u8; NONCE_BYTES]> {
    let mut block = [0; NONCE_BYTES];
    stream.read_exact(&mut block).await?;
    Ok(block)
}

/// Compares in constant time, as blake3 hashes do.
fn check(expected: blake3::Hash, proof: [u8; NONCE_BYTES]) -> io::Result<()> {
    if expected == blake3::Hash::from_bytes(proof) {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::PermissionDenied, "the other side does not know the cluster key"))
}
