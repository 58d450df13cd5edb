//! Connecting to a target over a link that loses packets.

use std::io;
use std::time::Duration;

/// Time after which a second connection is tried beside the first. A link that
/// loses the first packet sends it again after a second, which is longer than
/// callers wait; one between regions answers in some tens of milliseconds.
const BESIDE_AFTER: Duration = Duration::from_millis(100);

/// The first of two connections that comes up. The second is begun only when
/// the first takes long; the one that is not used is closed without a byte.
///
/// # Errors
/// A refusal of either, since a target that refuses one refuses both; else the
/// error of the one that fails last. An error of its own, as too few files, says
/// nothing of the other.
pub async fn first_up<C, F>(connect: impl Fn() -> F) -> io::Result<C>
where
    F: Future<Output = io::Result<C>>,
{
    let mut first = std::pin::pin!(connect());
    if let Ok(connected) = tokio::time::timeout(BESIDE_AFTER, first.as_mut()).await {
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
