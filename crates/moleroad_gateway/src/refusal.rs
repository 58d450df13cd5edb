//! Refusing a request at once where no target may ever get it.

use crate::no_place::{NoPlace, NoPlaceCause, no_place, turned_away_retry_ms};
use crate::node::Node;
use crate::places::{Ask, ServicePlaces};
use crate::view::View;
use moleroad_dispatch::prelude::*;

/// Added to the time to come back while the configuration allows no region, in
/// milliseconds: only an operator can change that, so callers come back a few
/// times less often than in an outage.
const CONFIGURATION_LATER_MS: u64 = 8_000;

/// The refusal of a request that waiting cannot help; `None` when it may wait.
///
/// A request under which three targets ended is refused until its time is over:
/// sent again it would end more of them, each with the sixteen requests that ran
/// there (50 in 40 s on a played day, 4 in the test on four entries since). One is
/// also refused when all that could serve it asked for rest that outlasts its wait:
/// only the time of the first to have rested helps the caller.
pub(crate) fn refused_at_once(node: &Node, view: &View, ask: &Ask) -> Option<NoPlace> {
    let now = node.clock.now();
    let places = view.services.get(&ask.service)?;
    let needs = ask.needs(now, node.least_version(view, &ask.service));
    let held_for_ms = node.hold_left_ms(view, &ask.fingerprint);
    let held_for_ms = held_for_ms.filter(|_| !ask.is_trial);
    let cause = if held_for_ms.is_some() {
        NoPlaceCause::Quarantined
    } else if ask.residency.allowed().is_all() {
        cause_anywhere(node, places, needs, ask)?
    } else {
        cause_in_regions(node, places, needs, ask)?
    };
    let refused = no_place(now, Some(places), needs, view.entry_count(now));
    let retry_after_ms = match cause {
        NoPlaceCause::Quarantined => {
            node.held_retry_ms(view, &ask.fingerprint, held_for_ms.unwrap_or(0))
        }
        NoPlaceCause::DisjointRegions => refused.retry_after_ms + CONFIGURATION_LATER_MS,
        NoPlaceCause::Resting | NoPlaceCause::TurnedAway => turned_away_retry_ms(node, view, ask),
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

/// Why a request that may be served anywhere is refused: all targets stand in
/// evacuated halls or rest, or all that are known turned it away. It would wait for
/// another one until its time is over (3 s in a test), while one of these may take
/// it soon. A stream that began waits, since it cannot come back.
fn cause_anywhere(
    node: &Node,
    places: &ServicePlaces,
    needs: Requirements<'_>,
    ask: &Ask,
) -> Option<NoPlaceCause> {
    if places.targets.all_evacuated(needs) {
        return Some(NoPlaceCause::Evacuated);
    }
    let rested = places.targets.rested_at(needs);
    let was_turned_away = ask.was_sent && !ask.may_have_run;
    if rested.is_none() && !was_turned_away {
        return None;
    }
    let kept_out = tally(places.targets.candidates(), needs);
    let weights_come = || places.expected_outage_ms(node.clock.now()).is_some();
    if rests_too_long(kept_out, rested, ask) {
        Some(NoPlaceCause::Resting)
    } else if was_turned_away && only_tried(kept_out) && !weights_come() {
        Some(NoPlaceCause::TurnedAway)
    } else {
        None
    }
}

/// Why a restricted request is refused: no target of its regions is open to it and
/// reachable, unless one only needs newer weights or has rested in time, or no
/// target is known and weights are on their way.
fn cause_in_regions(
    node: &Node,
    places: &ServicePlaces,
    needs: Requirements<'_>,
    ask: &Ask,
) -> Option<NoPlaceCause> {
    let now = node.clock.now();
    if places.targets.any_reachable(now, needs) {
        return None;
    }
    let kept_out = tally(places.targets.candidates(), needs);
    let rested = places.targets.rested_at(needs);
    let none_is_known = places.targets.candidates().is_empty();
    let weights_come = none_is_known && places.expected_outage_ms(now).is_some();
    if ask.residency.allowed().is_none() {
        Some(NoPlaceCause::DisjointRegions)
    } else if rests_too_long(kept_out, rested, ask) {
        Some(NoPlaceCause::Resting)
    } else if rested.is_some() || kept_out.old_weights > 0 || weights_come {
        None
    } else if ask.was_sent && only_tried(kept_out) {
        Some(NoPlaceCause::TurnedAway)
    } else {
        Some(NoPlaceCause::EmptyRegions(kept_out))
    }
}

/// Whether all that could serve the request rest for longer than it waits; newer
/// weights may come sooner to one that needs them, and a stream that began waits
/// for a target that is not known yet.
fn rests_too_long(kept_out: ExclusionCounts, rested: Option<BackoffEnds>, ask: &Ask) -> bool {
    let outlasts = |rested: BackoffEnds| {
        let untried = rested.untried;
        untried.map_or(!ask.may_have_run, |at| at > ask.until)
    };
    kept_out.old_weights == 0 && rested.is_some_and(outlasts)
}

/// Whether targets of the allowed regions are kept out by nothing but that they
/// had the request.
fn only_tried(kept_out: ExclusionCounts) -> bool {
    let others = kept_out.evacuated + kept_out.old_weights + kept_out.rests + kept_out.open;
    kept_out.tried > 0 && others == 0
}
