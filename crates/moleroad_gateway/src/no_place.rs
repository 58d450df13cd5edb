//! Why a request gets no slot, and when its caller should retry.

use crate::node::Node;
use crate::places::{PlaceRequest, ServiceSlots};
use crate::view::View;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis};

/// Reason why there is no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlaceCause {
    /// No target has capacity to meet the target latency.
    Busy,
    /// All targets are in evacuated data halls, and the request may be served anywhere.
    Evacuated,
    /// The route and the account have no allowed region in common.
    DisjointRegions,
    /// Targets terminated under the request, and it is held.
    Quarantined,
    /// All targets in the allowed regions received the request and did not run it.
    TurnedAway,
    /// Every eligible target asked this daemon to back off.
    Resting,
    /// No target in the regions that the route and the account allow is both eligible
    /// and reachable; holds the number of targets for each reason of exclusion.
    EmptyRegions(ExclusionCounts),
}

/// Details of a request that gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPlace {
    /// Reason.
    pub cause: NoPlaceCause,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of targets outside evacuated halls, in any region.
    pub candidates: usize,
    /// Estimated number of free slots at these targets, rounded down.
    pub free_places: u64,
}

/// Retry delay of a request that targets rejected, in milliseconds: a target that is
/// full or not ready accepts requests again shortly.
const REJECTED_RETRY_MS: u64 = 150;
/// Shortest retry delay of a refused request, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 300;
/// Retry delay while no target can take requests and it is unknown when one will, in
/// milliseconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 1_800;
/// Range of the random jitter of retry delays, in milliseconds.
const RETRY_JITTER_MS: u64 = 900;
/// A caller that is refused because weights are still far from being served retries
/// this long before they are expected, in milliseconds, and waits in the queue from
/// then on.
const EARLY_RETRY_MS: u64 = 1_500;

/// Returns the time until the first eligible target ends its backoff, in milliseconds;
/// `None` when one is available now or none is in backoff.
fn backoff_left_ms(now: Millis, slots: &ServiceSlots, needs: Requirements<'_>) -> Option<u64> {
    let backoff_end = slots.targets.backoff_ends(needs)?;
    Some(backoff_end.any.since(now).max(MIN_RETRY_AFTER_MS))
}

/// Returns the retry delay of a request that its targets rejected, in milliseconds. The
/// retry has another id, so that it may go to any target that is not in backoff.
pub(crate) fn rejected_retry_ms(node: &Node, view: &View, request: &PlaceRequest) -> u64 {
    let now = node.clock.now();
    let retry = PlaceRequest {
        tried: Vec::new(),
        ..request.clone()
    };
    let needs = retry.needs(now, node.min_version(view, &request.service));
    let slots = view.services.get(&request.service);
    let backoff_left_ms = slots.and_then(|slots| backoff_left_ms(now, slots, needs));
    backoff_left_ms.map_or(REJECTED_RETRY_MS, |ms| ms + random_jitter_ms())
}

/// Returns a random part of the jitter range.
fn random_jitter_ms() -> u64 {
    rand::random::<u64>() % RETRY_JITTER_MS
}

/// Returns the state of slots for this request.
pub(crate) fn no_place_for(node: &Node, view: &View, request: &PlaceRequest) -> NoPlace {
    let min_version = node.min_version(view, &request.service);
    let slots = view.services.get(&request.service);
    let now = node.clock.now();
    let entries = view.entry_count(now);
    no_place(now, slots, request.needs(now, min_version), entries)
}

/// Returns the time until a new request would get a slot while all its targets are rate
/// limited, in milliseconds, if each of `entries` has as many waiting requests as this
/// one; 0 while some target has no rate limit.
fn rate_limited_wait_ms(
    now: Millis,
    slots: Option<&ServiceSlots>,
    needs: Requirements<'_>,
    entries: usize,
) -> u64 {
    let gap_ms = slots.and_then(|slots| slots.targets.rate_limited_interval_ms(now, needs));
    let waiting = slots.map_or(0, |slots| slots.waiting());
    let ahead = (waiting + 1) * entries;
    gap_ms.map_or(0, |gap_ms| (gap_ms * ahead as f64) as u64)
}

/// Returns the state of slots for a request with these needs; `entries` is the number
/// of entries that share the targets.
pub(crate) fn no_place(
    now: Millis,
    slots: Option<&ServiceSlots>,
    needs: Requirements<'_>,
    entries: usize,
) -> NoPlace {
    let candidates = slots.map_or(0, |slots| slots.targets.count_not_evacuated());
    let is_outage = !slots.is_some_and(|slots| slots.targets.any_reachable(now, needs));
    let served_in_ms = slots.and_then(|slots| slots.expected_outage_ms(now));
    let backoff_left_ms = slots.and_then(|slots| backoff_left_ms(now, slots, needs));
    let wait_ms = match (backoff_left_ms, is_outage, served_in_ms) {
        // A retry before that would be refused again.
        (Some(ms), _, _) => ms,
        (None, true, Some(ms)) => ms.saturating_sub(EARLY_RETRY_MS).max(MIN_RETRY_AFTER_MS),
        (None, true, None) => OUTAGE_RETRY_AFTER_MS,
        (None, false, _) => rate_limited_wait_ms(now, slots, needs, entries)
            .clamp(MIN_RETRY_AFTER_MS, OUTAGE_RETRY_AFTER_MS),
    };
    let all = AllowedRegions::all();
    let regions = needs.regions.unwrap_or(&all);
    NoPlace {
        cause: NoPlaceCause::Busy,
        retry_after_ms: wait_ms + random_jitter_ms(),
        waiting: slots.map_or(0, |slots| slots.waiting()),
        candidates,
        free_places: slots.map_or(0, |slots| slots.targets.free_slots(now, regions) as u64),
    }
}
