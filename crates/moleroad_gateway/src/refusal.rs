//! Refusing a request at once where no target may ever get it.

use crate::no_place::{NoPlace, NoPlaceCause, no_place, turned_away_retry_ms};
use crate::node::Node;
use crate::places::Ask;
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
/// there (50 in 40 s on a played day, 4 in the test on four entries since). An
/// unrestricted request is refused when all its targets stand in evacuated
/// halls. Both kinds are refused when all that could serve them asked for rest that
/// outlasts their wait: only the time of the first to have rested helps the caller. A restricted one is refused when no target of its regions is open to it
/// and reachable, unless one only needs newer weights, or no target is known and
/// weights are on their way.
pub(crate) fn refused_at_once(node: &Node, view: &View, ask: &Ask) -> Option<NoPlace> {
    let allowed = ask.residency.allowed();
    let now = node.clock.now();
    let places = view.services.get(&ask.service)?;
    let least = node.least_version(view, &ask.service);
    let needs = ask.needs(now, least);
    let held_for_ms = node.hold_left_ms(view, &ask.fingerprint);
    if let Some(left_ms) = held_for_ms.filter(|_| !ask.is_trial) {
        return Some(NoPlace {
            cause: NoPlaceCause::Quarantined,
            retry_after_ms: node.held_retry_ms(view, &ask.fingerprint, left_ms),
            ..no_place(now, Some(places), needs, view.entry_count(now))
        });
    }
    let rested = places.targets.rested_at(needs);
    let refused_for = |cause| NoPlace {
        cause,
        ..no_place(now, Some(places), needs, view.entry_count(now))
    };
    if allowed.is_all() {
        if places.targets.all_evacuated(needs) {
            return Some(refused_for(NoPlaceCause::Evacuated));
        }
        let kept_out = || tally(places.targets.candidates(), needs);
        let all_rest = rested.is_some() && rests_too_long(kept_out(), rested, ask);
        return all_rest.then(|| NoPlace {
            retry_after_ms: turned_away_retry_ms(node, view, ask),
            ..refused_for(NoPlaceCause::Resting)
        });
    }
    if places.targets.any_reachable(now, needs) {
        return None;
    }
    let kept_out = tally(places.targets.candidates(), needs);
    let none_is_known = places.targets.candidates().is_empty();
    let weights_come = none_is_known && places.expected_outage_ms(now).is_some();
    let cause = if allowed.is_none() {
        NoPlaceCause::DisjointRegions
    } else if rests_too_long(kept_out, rested, ask) {
        NoPlaceCause::Resting
    } else if rested.is_some() || kept_out.old_weights > 0 || weights_come {
        return None;
    } else if ask.was_sent && only_tried(kept_out) {
        NoPlaceCause::TurnedAway
    } else {
        NoPlaceCause::EmptyRegions(kept_out)
    };
    let refused = refused_for(cause);
    let retry_after_ms = match cause {
        NoPlaceCause::DisjointRegions => refused.retry_after_ms + CONFIGURATION_LATER_MS,
        NoPlaceCause::Resting | NoPlaceCause::TurnedAway => turned_away_retry_ms(node, view, ask),
        _ => refused.retry_after_ms,
    };
    Some(NoPlace {
        retry_after_ms,
        ..refused
    })
}

/// Whether all that could serve the request rest for longer than it waits; newer
/// weights may come sooner to one that needs them.
fn rests_too_long(kept_out: BarrierTally, rested: Option<Rested>, ask: &Ask) -> bool {
    let outlasts = |rested: Rested| rested.untried.is_none_or(|at| at > ask.until);
    kept_out.old_weights == 0 && rested.is_some_and(outlasts)
}

/// Whether targets of the allowed regions are kept out by nothing but that they
/// had the request.
fn only_tried(kept_out: BarrierTally) -> bool {
    let others = kept_out.evacuated + kept_out.old_weights + kept_out.rests + kept_out.open;
    kept_out.tried > 0 && others == 0
}
