//! Which version is fetched and served, and when its digests may be asked for.

use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;

#[test]
fn a_complete_older_version_replaces_one_that_does_not_arrive() {
    // The agents have all of version 2, all but one piece of 3, and 4 is announced
    // last.
    let has = |version: u64, piece: u32| version <= 2 || (version == 3 && piece != 7);
    let fallback_version = |held, newest| fallback([1, 2, 3, 4], held, newest, 48, has);
    assert_eq!(fallback_version(1, 4), Some(2));
    assert_eq!(fallback_version(1, 3), Some(2));
    assert_eq!(fallback_version(2, 4), None);
    assert_eq!(fallback_version(1, 2), None);
}

#[test]
fn an_engine_that_joins_does_not_wait_for_digests_that_no_agent_has() {
    assert!(may_ask_origin_for_digests(
        false,
        DigestQueryResult::PiecesOnly
    ));
    assert!(!may_ask_origin_for_digests(
        false,
        DigestQueryResult::NoHolderReached
    ));
    assert!(may_ask_origin_for_digests(
        true,
        DigestQueryResult::NoHolderReached
    ));
}

#[test]
fn an_engine_with_old_weights_and_a_silent_agent_is_avoided_from_half_the_deadline() {
    let old = OldWeightsCutoff::new(Millis(10_000), 8_000);
    assert!(old.last_start < Millis(18_000));
    assert!(old.may_send_to_silent(Millis(13_000)));
    // A request sent at 15.9 s started at 18.07 s.
    assert!(!old.may_send_to_silent(Millis(15_900)));
    assert!(!old.may_send_to_silent(Millis(14_000)));
}
