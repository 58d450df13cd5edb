//! Why a request gets no place, and when to come back.

use crate::node::Node;
use crate::places::{Ask, ServicePlaces};
use crate::view::View;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis};

/// What stands in the way of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlaceCause {
    /// Targets have no room that makes the wanted latency.
    Busy,
    /// All targets stand in evacuated data halls, and the request may be served
    /// anywhere.
    Evacuated,
    /// The route and the account allow no common region.
    DisjointRegions,
    /// Targets ended under it, and it is not sent any more.
    Quarantined,
    /// All targets of the regions that they allow have had it and didn't run it.
    TurnedAway,
    /// Every target that may get the request asked this daemon for rest.
    Resting,
    /// No target of the regions that the route and the account allow may get it
    /// and is reachable; says how many targets each barrier keeps out.
    EmptyRegions(ExclusionCounts),
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPlace {
    /// What stands in the way.
    pub cause: NoPlaceCause,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Requests that waited.
    pub waiting: usize,
    /// Targets outside evacuated halls, in any region.
    pub candidates: usize,
    /// Places believed to be free at them, rounded down.
    pub free_places: u64,
}

/// When a request that targets turned away may come back, in milliseconds: a
/// target that is full or not ready for a moment takes requests again soon.
const TURNED_AWAY_RETRY_MS: u64 = 150;
/// Shortest time after which a refused request may come back, in milliseconds.
const RETRY_AFTER_LEAST_MS: u64 = 300;
/// The same while no target can take requests and nothing tells when one will.
const RETRY_AFTER_OUTAGE_MS: u64 = 1_800;
/// Time over which the returns of refused requests are spread, in milliseconds.
const RETRY_AFTER_SPREAD_MS: u64 = 900;
/// Who is refused because weights are still far from being served comes back
/// this long before they are expected, in milliseconds, and is held from then on.
const HELD_BEFORE_MS: u64 = 1_500;

/// Time until the first of the targets that may get the request has rested, in
/// milliseconds; `None` where one may get it now, or none rests.
fn rested_in_ms(now: Millis, places: &ServicePlaces, needs: Requirements<'_>) -> Option<u64> {
    let rested = places.targets.rested_at(needs)?;
    Some(rested.any.since(now).max(RETRY_AFTER_LEAST_MS))
}

/// When a request that its targets turned away may come back, in milliseconds. It
/// comes under another id, so that it may go to any target that does not rest.
pub(crate) fn turned_away_retry_ms(node: &Node, view: &View, ask: &Ask) -> u64 {
    let now = node.clock.now();
    let again = Ask {
        tried: Vec::new(),
        ..ask.clone()
    };
    let needs = again.needs(now, node.least_version(view, &ask.service));
    let places = view.services.get(&ask.service);
    let rested_in_ms = places.and_then(|places| rested_in_ms(now, places, needs));
    rested_in_ms.map_or(TURNED_AWAY_RETRY_MS, |ms| ms + retry_spread_ms())
}

/// A part of the time over which refused requests come back, by chance.
fn retry_spread_ms() -> u64 {
    rand::random::<u64>() % RETRY_AFTER_SPREAD_MS
}

/// What is known of places for this request.
pub(crate) fn no_place_for(node: &Node, view: &View, ask: &Ask) -> NoPlace {
    let least = node.least_version(view, &ask.service);
    let places = view.services.get(&ask.service);
    let now = node.clock.now();
    let entries = view.entry_count(now);
    no_place(now, places, ask.needs(now, least), entries)
}

/// Time until a request that comes now would get a place while all its targets
/// take so many requests a second only, in milliseconds, if each of `entries` has as
/// many waiting as this one; 0 while some target takes any number.
fn bounded_wait_ms(
    now: Millis,
    places: Option<&ServicePlaces>,
    needs: Requirements<'_>,
    entries: usize,
) -> u64 {
    let gap_ms = places.and_then(|places| places.targets.rate_limited_interval_ms(now, needs));
    let waiting = places.map_or(0, |places| places.waiting());
    let ahead = (waiting + 1) * entries;
    gap_ms.map_or(0, |gap_ms| (gap_ms * ahead as f64) as u64)
}

/// What is known of places for a request with these needs; `entries` is the
/// number of entries that share the targets.
pub(crate) fn no_place(
    now: Millis,
    places: Option<&ServicePlaces>,
    needs: Requirements<'_>,
    entries: usize,
) -> NoPlace {
    let candidates = places.map_or(0, |places| places.targets.count_not_evacuated());
    let is_outage = !places.is_some_and(|places| places.targets.any_reachable(now, needs));
    let comes_in_ms = places.and_then(|places| places.expected_outage_ms(now));
    let rested_in_ms = places.and_then(|places| rested_in_ms(now, places, needs));
    let wait_ms = match (rested_in_ms, is_outage, comes_in_ms) {
        // Before that it would be refused again.
        (Some(ms), _, _) => ms,
        (None, true, Some(ms)) => ms.saturating_sub(HELD_BEFORE_MS).max(RETRY_AFTER_LEAST_MS),
        (None, true, None) => RETRY_AFTER_OUTAGE_MS,
        (None, false, _) => bounded_wait_ms(now, places, needs, entries)
            .clamp(RETRY_AFTER_LEAST_MS, RETRY_AFTER_OUTAGE_MS),
    };
    let all = AllowedRegions::all();
    let regions = needs.regions.unwrap_or(&all);
    NoPlace {
        cause: NoPlaceCause::Busy,
        retry_after_ms: wait_ms + retry_spread_ms(),
        waiting: places.map_or(0, |places| places.waiting()),
        candidates,
        free_places: places.map_or(0, |places| places.targets.free_places(now, regions) as u64),
    }
}
