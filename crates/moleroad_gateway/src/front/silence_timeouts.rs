//! Timeouts for silence, derived from the route: after which callers disconnect,
//! and after which an entry tries another target.

use moleroad_config::prelude::Route;

/// Shortest time that callers of streams wait for the first event, in
/// milliseconds.
const MIN_CALLER_TIMEOUT_MS: u64 = 2_000;
/// Callers of streams also wait at least this many times the route's target latency.
const CALLER_LATENCY_FACTOR: u64 = 4;
/// Callers of streams also wait at least this many times the route's target pause.
/// These three values are defined by the platform's protocol.
const CALLER_PAUSE_FACTOR: u64 = 8;

/// Returns how long a caller waits for the first event, or for a complete answer,
/// before it disconnects, in milliseconds.
pub fn caller_timeout_ms(route: &Route) -> u64 {
    if !route.streaming {
        return route.timeout_ms;
    }
    MIN_CALLER_TIMEOUT_MS
        .max(route.target_latency_ms * CALLER_LATENCY_FACTOR)
        .max(route.target_pause_ms * CALLER_PAUSE_FACTOR)
}

/// Timeout for the first event, as a multiple of the target latency.
const FIRST_EVENT_LATENCY_FACTOR: u64 = 3;
/// Timeout for each following event, as a multiple of the target pause.
const NEXT_EVENT_PAUSE_FACTOR: u64 = 3;
/// Shortest timeout for an event, in milliseconds.
const MIN_EVENT_TIMEOUT_MS: u64 = 800;

/// Returns how long an entry waits for a target's first event before it tries
/// another target, in milliseconds.
pub fn first_event_timeout_ms(route: &Route) -> u64 {
    (route.target_latency_ms * FIRST_EVENT_LATENCY_FACTOR).max(MIN_EVENT_TIMEOUT_MS)
}

/// Returns how long an entry waits for a target's next event before it tries
/// another target, in milliseconds.
pub fn next_event_timeout_ms(route: &Route) -> u64 {
    (route.target_pause_ms * NEXT_EVENT_PAUSE_FACTOR).max(MIN_EVENT_TIMEOUT_MS)
}
