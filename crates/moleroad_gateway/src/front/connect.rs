//! Hedged connection setup for links that lose packets.

use std::io;
use std::time::Duration;

/// Delay after which a second connection is attempted in parallel. A lost first
/// packet (SYN) is retransmitted only after 1 s, which is longer than callers
/// wait, while a handshake between regions takes some tens of milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Returns whichever of two connections is established first. The second is
/// attempted only if the first takes longer than `HEDGE_DELAY`; the unused one
/// is closed before any byte is sent.
///
/// # Errors
/// Returns a refusal of either attempt at once, since a target that refuses one
/// also refuses the other. Any other error, such as a lack of file descriptors,
/// may be local to one attempt, so the error of the last one to fail is returned.
pub async fn first_connected<C, F>(connect: impl Fn() -> F) -> io::Result<C>
where
    F: Future<Output = io::Result<C>>,
{
    let mut first = std::pin::pin!(connect());
    if let Ok(connected) = tokio::time::timeout(HEDGE_DELAY, first.as_mut()).await {
        return connected;
    }
    let mut second = std::pin::pin!(connect());
    let (connected, is_first) = tokio::select! {
        biased;
        connected = first.as_mut() => (connected, true),
        connected = second.as_mut() => (connected, false),
    };
    match connected {
        Err(error) if error.kind() != io::ErrorKind::ConnectionRefused => {
            if is_first {
                second.await
            } else {
                first.await
            }
        }
        decided => decided,
    }
}
