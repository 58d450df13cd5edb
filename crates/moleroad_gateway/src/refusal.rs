//! Refusing requests immediately when waiting cannot get them a slot.

use crate::no_place::{NoPlace, NoPlaceCause, no_place, rejected_retry_ms};
use crate::node::Node;
use crate::places::{PlaceRequest, ServiceSlots};
use crate::view::View;
use moleroad_dispatch::prelude::*;

/// Added to the retry delay while the configuration allows no region, in milliseconds.
/// Only an operator can change that, so callers retry a few times less often than in an
/// outage.
const CONFIGURATION_RETRY_EXTRA_MS: u64 = 8_000;

/// Returns the refusal of a request that waiting cannot help; `None` when it may wait.
///
/// A request that three targets terminated under is refused for as long as it is held:
/// sent again, it would terminate more of them, each with the sixteen requests that ran
/// there (50 targets within 40 s in a simulated day without this check, 4 in a test
/// with four entries with it). A request is also refused when every eligible target has
/// asked for a backoff that outlasts the wait; the time when the first backoff ends is
/// then the most useful answer to the caller.
pub(crate) fn immediate_refusal(
    node: &Node,
    view: &View,
    request: &PlaceRequest,
) -> Option<NoPlace> {
    let now = node.clock.now();
    let slots = view.services.get(&request.service)?;
    let needs = request.needs(now, node.min_version(view, &request.service));
    let held_for_ms = node.hold_left_ms(view, &request.suspects);
    let held_for_ms = held_for_ms.filter(|_| !request.is_trial);
    let cause = if held_for_ms.is_some() {
        NoPlaceCause::Quarantined
    } else if request.residency.allowed().is_unrestricted() {
        cause_anywhere(node, slots, needs, request)?
    } else {
        cause_in_regions(node, slots, needs, request)?
    };
    let refused = no_place(now, Some(slots), needs, view.entry_count(now));
    let retry_after_ms = match cause {
        NoPlaceCause::Quarantined => {
            node.held_retry_ms(view, &request.suspects, held_for_ms.unwrap_or(0))
        }
        NoPlaceCause::DisjointRegions => refused.retry_after_ms + CONFIGURATION_RETRY_EXTRA_MS,
        NoPlaceCause::Resting | NoPlaceCause::TurnedAway => rejected_retry_ms(node, view, request),
        NoPlaceCause::Busy | NoPlaceCause::Evacuated | NoPlaceCause::EmptyRegions(_) => {
            refused.retry_after_ms
        }
    };
    Some(NoPlace {
        cause,
        retry_after_ms,
        ..refused
    })
}

/// Returns why a request without region restrictions is refused: all targets are in
/// evacuated halls or in backoff, or all known targets rejected it. Otherwise it would
/// wait for another target until its deadline (3 s in a test), although a retry at one
/// of these targets may soon be accepted. A stream that has begun waits, since its
/// caller cannot retry it.
fn cause_anywhere(
    node: &Node,
    slots: &ServiceSlots,
    needs: Requirements<'_>,
    request: &PlaceRequest,
) -> Option<NoPlaceCause> {
    if slots.targets.all_evacuated(needs) {
        return Some(NoPlaceCause::Evacuated);
    }
    let backoff_end = slots.targets.backoff_ends(needs);
    let was_rejected = request.was_sent && !request.may_have_run;
    if backoff_end.is_none() && !was_rejected {
        return None;
    }
    let excluded = count_exclusions(slots.targets.candidates(), needs);
    let weights_in_transfer = || slots.expected_outage_ms(node.clock.now()).is_some();
    if backoff_outlasts_wait(excluded, backoff_end, request) {
        Some(NoPlaceCause::Resting)
    } else if was_rejected && all_tried_before(excluded) && !weights_in_transfer() {
        Some(NoPlaceCause::TurnedAway)
    } else {
        None
    }
}

/// Returns why a request with region restrictions is refused: no target in its regions
/// is eligible and reachable. It waits if a target only lacks newer weights, if a
/// backoff ends in time, or if no target is known and weights are in transfer.
fn cause_in_regions(
    node: &Node,
    slots: &ServiceSlots,
    needs: Requirements<'_>,
    request: &PlaceRequest,
) -> Option<NoPlaceCause> {
    let now = node.clock.now();
    if slots.targets.any_reachable(now, needs) {
        return None;
    }
    let excluded = count_exclusions(slots.targets.candidates(), needs);
    let backoff_end = slots.targets.backoff_ends(needs);
    let none_is_known = slots.targets.candidates().is_empty();
    let weights_in_transfer = none_is_known && slots.expected_outage_ms(now).is_some();
    if request.residency.allowed().is_empty() {
        Some(NoPlaceCause::DisjointRegions)
    } else if backoff_outlasts_wait(excluded, backoff_end, request) {
        Some(NoPlaceCause::Resting)
    } else if backoff_end.is_some() || excluded.old_weights > 0 || weights_in_transfer {
        None
    } else if request.was_sent && all_tried_before(excluded) {
        Some(NoPlaceCause::TurnedAway)
    } else {
        Some(NoPlaceCause::EmptyRegions(excluded))
    }
}

/// Returns whether every target that could serve the request stays in backoff for
/// longer than the request waits. A request that needs newer weights waits, since these
/// may arrive sooner; so does a stream that has begun, for a target that is not known
/// yet.
fn backoff_outlasts_wait(
    excluded: ExclusionCounts,
    backoff_end: Option<BackoffEnds>,
    request: &PlaceRequest,
) -> bool {
    let outlasts = |backoff_end: BackoffEnds| {
        let untried = backoff_end.untried;
        untried.map_or(!request.may_have_run, |at| at > request.until)
    };
    excluded.old_weights == 0 && backoff_end.is_some_and(outlasts)
}

/// Returns whether the targets in the allowed regions are excluded only because they
/// already had the request.
fn all_tried_before(excluded: ExclusionCounts) -> bool {
    let others =
        excluded.evacuated + excluded.old_weights + excluded.backing_off + excluded.eligible;
    excluded.tried > 0 && others == 0
}
