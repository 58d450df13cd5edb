//! Listening at addresses and taking the connections that come.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens at `address`.
///
/// # Errors
/// When the address cannot be taken.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves each connection in a task of its own, until the process ends.
pub async fn accept_connections<S>(listener: TcpListener, serve: impl Fn(TcpStream) -> S)
where
    S: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((connection, _)) => {
                crate::peers::prepare(&connection);
                tokio::spawn(serve(connection));
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
