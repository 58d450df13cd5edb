//! Waits for the first events of a stream.

use crate::front::attempt::{Attempts, RETARGET_CHECK_INTERVAL, RunningSend};
use crate::front::events::EventSplitter;
use crate::front::pending_send::{AfterSilence, is_start_forbidden};
use crate::front::silence_timeouts;
use crate::front::stream::BrokenBy;
use crate::node::Node;
use bytes::Bytes;
use moleroad_dispatch::prelude::Outcome;
use std::time::Duration;
use tokio::time::Instant;

/// The beginning of a stream's body.
pub(super) enum FirstEvents {
    /// Complete events have arrived.
    Events(Bytes),
    /// The stream ended without an event.
    Complete,
    /// The stream broke before its first event.
    Broken(BrokenBy),
}

/// Waits for the first events of a run. If its target stays silent, `running` may become
/// the run of another target.
pub(super) async fn first_events(
    node: &Node,
    attempts: &mut Attempts,
    running: &mut RunningSend,
    splitter: &mut EventSplitter,
) -> FirstEvents {
    let request = attempts.request.clone();
    let until = node.clock.instant(request.until);
    let timeout = Duration::from_millis(silence_timeouts::first_event_timeout_ms(&request.route));
    let mut silent_at = Instant::now() + timeout;
    loop {
        let look = Instant::now() + RETARGET_CHECK_INTERVAL;
        let frame = match tokio::time::timeout_at(until.min(look), running.reply.next_frame()).await
        {
            Ok(frame) => frame,
            Err(_) => {
                let now = Instant::now();
                if now >= until || is_start_forbidden(node, &request, &running.slot.candidate) {
                    return FirstEvents::Broken(BrokenBy::Entry);
                }
                if now < silent_at || !attempts.can_retarget(attempts.sends()) {
                    continue;
                }
                silent_at = now + timeout;
                match attempts
                    .race_silent_stream(running, splitter.last_id().cloned().as_ref())
                    .await
                {
                    AfterSilence::Frame(frame) => frame,
                    AfterSilence::Replaced(other) => {
                        running.slot.set_outcome(Outcome::Broken);
                        *running = *other;
                        splitter.discard_partial_event();
                        continue;
                    }
                    AfterSilence::NoOther => continue,
                    AfterSilence::Forbidden => return FirstEvents::Broken(BrokenBy::Entry),
                }
            }
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let events = splitter.push(&data);
                if !events.is_empty() {
                    return FirstEvents::Events(events);
                }
                if running.is_event_too_long(splitter) {
                    return FirstEvents::Broken(BrokenBy::Entry);
                }
            }
            None if !splitter.has_partial_event() && !running.reply.ends_with_connection() => {
                return FirstEvents::Complete;
            }
            _ => return FirstEvents::Broken(BrokenBy::Target),
        }
    }
}
