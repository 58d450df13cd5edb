//! Serves [`DaemonService`](crate::service::DaemonService) on a listener.

use crate::handshake::{ClusterKey, as_server};
use crate::inbound::CallServer;
use crate::service::DaemonService as _;
use futures::StreamExt;
use std::sync::Arc;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::MessagePack;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Largest message between processes, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Connections that one daemon serves at a time.
pub const MAX_CONNECTIONS: usize = 8_192;

/// Accepts connections for ever and answers their calls with `service`.
///
/// A connection that does not know the cluster key is closed unanswered.
pub async fn serve(listener: TcpListener, key: ClusterKey, service: CallServer) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            log::warn!(peer:% = peer; "too many connections");
            continue;
        };
        let service = service.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, &key, service).await {
                log::warn!(peer:% = peer, error:% = error; "connection refused");
            }
            drop(place);
        });
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    key: &ClusterKey,
    service: CallServer,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    as_server(&mut stream, key).await?;
    let framed = frames().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, MessagePack::default());
    let requests = BaseChannel::with_defaults(transport).execute(service.serve());
    requests
        .for_each(|answer| async { drop(tokio::spawn(answer)) })
        .await;
    Ok(())
}

/// The framing of all connections.
pub(crate) fn frames() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
