//! How long silence is borne: by callers before they leave, and by an entry
//! before it asks another target.

use moleroad_config::prelude::Route;

/// Callers of streams stay silent at least this long, in milliseconds.
const CALLER_LEAST_MS: u64 = 2_000;
/// ... and this many times the wanted latency,
const CALLER_LATENCIES: u64 = 4;
/// ... and this many times the wanted pause. Source: the platform's protocol.
const CALLER_PAUSES: u64 = 8;

/// How long a caller waits for the first event, or for a whole answer, before
/// it leaves, in milliseconds.
pub fn caller_ms(route: &Route) -> u64 {
    if !route.streaming {
        return route.timeout_ms;
    }
    CALLER_LEAST_MS
        .max(route.target_latency_ms * CALLER_LATENCIES)
        .max(route.target_pause_ms * CALLER_PAUSES)
}

/// A first event is waited for this many times the wanted latency.
const FIRST_EVENT_LATENCIES: u64 = 3;
/// A next event is waited for this many times the wanted pause.
const NEXT_EVENT_PAUSES: u64 = 3;
/// Shortest wait for an event before another target is asked, in milliseconds.
const SHORTEST_MS: u64 = 800;

/// How long a target's first event is waited for before another target is
/// asked, in milliseconds.
pub fn first_event_ms(route: &Route) -> u64 {
    (route.target_latency_ms * FIRST_EVENT_LATENCIES).max(SHORTEST_MS)
}

/// How long a target's next event is waited for before another target is asked,
/// in milliseconds.
pub fn pause_ms(route: &Route) -> u64 {
    (route.target_pause_ms * NEXT_EVENT_PAUSES).max(SHORTEST_MS)
}
