//! TCP listeners and their accept loop.

use crate::stop::{StopPhase, StopSignal};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listener at `address`.
///
/// # Errors
/// Returns an error if the socket cannot bind to the address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves each in its own task, until the stop of the process
/// reaches `closes_at`.
pub async fn accept_connections<S>(
    listener: TcpListener,
    stop: &StopSignal,
    closes_at: StopPhase,
    serve: impl Fn(TcpStream) -> S,
) where
    S: Future<Output = ()> + Send + 'static,
{
    let mut closed = pin!(stop.reached(closes_at));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed.as_mut() => return,
        };
        match accepted {
            Ok((connection, _)) => {
                crate::peers::configure_socket(&connection);
                tokio::spawn(serve(connection));
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
