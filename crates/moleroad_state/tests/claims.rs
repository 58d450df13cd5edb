//! A request marked not repeatable is granted once, whatever comes.

use moleroad_state::claim::{
    CLAIM_RETENTION_MS, MAX_OUTCOME_BYTES, OUTCOME_RETENTION_MS, StoredAnswer,
};
use moleroad_state::prelude::*;
use moleroad_types::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn key(name: &str) -> ClaimKey {
    ClaimKey {
        account: "pallets".into(),
        key: name.into(),
    }
}

fn claim(state: &mut ControlState, at_unix_ms: u64, name: &str, request: &str) -> ClaimAnswer {
    let body = ChunkDigest::of(name.as_bytes());
    let request = ClaimRequest {
        key: key(name),
        body,
        request: request.into(),
    };
    match state.apply(&Command {
        at_unix_ms,
        body: CommandBody::Claim(request),
    }) {
        Answer::Claim(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn settle(state: &mut ControlState, at_unix_ms: u64, name: &str, request: &str, outcome: Outcome) {
    let body = CommandBody::Settle {
        key: key(name),
        request: request.into(),
        outcome,
    };
    state.apply(&Command { at_unix_ms, body });
}

fn answered() -> Outcome {
    Outcome::Answered(StoredAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(b"booked".to_vec().into()),
    })
}

#[test]
fn a_claim_is_granted_once_even_to_the_same_request() {
    let mut state = ControlState::default();
    assert_eq!(claim(&mut state, 1, "k", "r-1"), ClaimAnswer::Granted);
    assert_eq!(claim(&mut state, 2, "k", "r-1"), ClaimAnswer::Running);
    assert_eq!(claim(&mut state, 3, "k", "r-2"), ClaimAnswer::Running);
}

#[test]
fn only_the_holder_settles_and_the_first_outcome_stays() {
    let mut state = ControlState::default();
    claim(&mut state, 1, "k", "r-1");
    settle(&mut state, 2, "k", "r-2", Outcome::NotRun);
    assert_eq!(claim(&mut state, 3, "k", "r-2"), ClaimAnswer::Running);
    settle(&mut state, 4, "k", "r-1", Outcome::Unknown);
    settle(&mut state, 5, "k", "r-1", Outcome::NotRun);
    assert_eq!(
        claim(&mut state, 6, "k", "r-3"),
        ClaimAnswer::Ended(Outcome::Unknown)
    );
}

#[test]
fn a_claim_that_did_not_run_is_free_again() {
    let mut state = ControlState::default();
    claim(&mut state, 1, "k", "r-1");
    settle(&mut state, 2, "k", "r-1", Outcome::NotRun);
    assert_eq!(claim(&mut state, 3, "k", "r-2"), ClaimAnswer::Granted);
}

#[test]
fn an_outcome_whose_retention_ended_refuses_and_does_not_run() {
    let mut state = ControlState::default();
    claim(&mut state, 1, "k", "r-1");
    settle(&mut state, 2, "k", "r-1", answered());
    assert_eq!(
        claim(&mut state, 3, "k", "r-2"),
        ClaimAnswer::Ended(answered())
    );
    let later = claim(&mut state, 3 + OUTCOME_RETENTION_MS, "k", "r-2");
    let ClaimAnswer::Ended(Outcome::Answered(answer)) = later else {
        panic!("{later:?}")
    };
    assert_eq!((answer.status, answer.body), (200, None));
    assert!(MAX_OUTCOME_BYTES > 0);
}

#[test]
fn a_clock_that_goes_back_does_not_end_a_retention() {
    let mut state = ControlState::default();
    claim(&mut state, CLAIM_RETENTION_MS, "k", "r-1");
    assert_eq!(claim(&mut state, 1, "k", "r-2"), ClaimAnswer::Running);
    assert_eq!(
        claim(&mut state, CLAIM_RETENTION_MS + 5, "k", "r-3"),
        ClaimAnswer::Running
    );
}

proptest! {
    #[test]
    fn no_sequence_grants_a_key_twice_without_not_run(steps in proptest::collection::vec((0u8..4, 0u8..3, 0u8..4), 1..80)) {
        let mut state = ControlState::default();
        let mut granted: BTreeMap<u8, u32> = BTreeMap::new();
        for (time, (what, name, request)) in steps.into_iter().enumerate() {
            let (name_text, request_text) = (format!("k-{name}"), format!("r-{request}"));
            let now = time as u64 + 1;
            match what {
                0 | 1 => {
                    if claim(&mut state, now, &name_text, &request_text) == ClaimAnswer::Granted {
                        let count = granted.entry(name).or_default();
                        *count += 1;
                        prop_assert_eq!(*count, 1);
                    }
                }
                2 => settle(&mut state, now, &name_text, &request_text, Outcome::Unknown),
                _ => settle(&mut state, now, &name_text, &request_text, answered()),
            }
        }
    }

    #[test]
    fn equal_logs_give_equal_states_across_a_snapshot(names in proptest::collection::vec(0u8..5, 1..40), cut in 0usize..40) {
        let apply_all = |state: &mut ControlState, names: &[u8]| {
            for (position, name) in names.iter().enumerate() {
                claim(state, position as u64, &format!("k-{name}"), &format!("r-{position}"));
            }
        };
        let mut whole = ControlState::default();
        apply_all(&mut whole, &names);
        let cut = cut.min(names.len());
        let mut first = ControlState::default();
        apply_all(&mut first, &names[..cut]);
        let mut restored = ControlState::decode(&first.encode()).unwrap();
        prop_assert_eq!(restored.digest(), first.digest());
        for (position, name) in names.iter().enumerate().skip(cut) {
            claim(&mut restored, position as u64, &format!("k-{name}"), &format!("r-{position}"));
        }
        prop_assert_eq!(restored.digest(), whole.digest());
    }

    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = ControlState::decode(&bytes);
    }
}
