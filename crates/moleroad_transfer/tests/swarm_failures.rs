//! What an agent decides when its sources fail, and what its parts hold.

use moleroad_transfer::prelude::*;
use moleroad_types::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const CHUNKS: usize = 40;

fn swarm_with_peers(peers: &[&str]) -> Swarm {
    let mut swarm = Swarm::new(SwarmSettings::default(), ChunkSet::empty(CHUNKS), 1);
    let ids: Vec<InstanceId> = peers.iter().map(|peer| InstanceId::new(*peer)).collect();
    swarm.set_peers(&ids);
    ids.iter()
        .for_each(|peer| swarm.peer_has(peer, ChunkSet::full(CHUNKS)));
    swarm
}

fn starts(actions: &[SwarmAction]) -> Vec<Fetch> {
    let start = |action: &SwarmAction| match action {
        SwarmAction::Start(fetch) => Some(fetch.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

#[test]
fn a_peer_that_sent_wrong_bytes_is_left_alone() {
    let mut swarm = swarm_with_peers(&["good", "bad"]);
    let bad = Source::Peer("bad".into());
    let mut now = Millis(1);
    let mut from_bad = 0;
    for fetch in starts(&swarm.step(now)) {
        if fetch.source == bad {
            from_bad += 1;
            assert!(!swarm.finished(now, fetch.attempt, FetchOutcome::Corrupt));
            assert!(!swarm.have().contains(fetch.chunk));
        } else {
            swarm.finished(now, fetch.attempt, FetchOutcome::Verified);
        }
    }
    assert!(from_bad > 0);
    assert_eq!(swarm.corrupt_chunks(), from_bad);
    for _ in 0..100 {
        now = now + 50;
        for fetch in starts(&swarm.step(now)) {
            assert_ne!(fetch.source, bad, "the bad peer is asked again");
            swarm.finished(now, fetch.attempt, FetchOutcome::Verified);
        }
    }
    assert!(swarm.is_complete());
}

#[test]
fn a_stalled_fetch_is_cancelled_and_goes_elsewhere() {
    let mut swarm = swarm_with_peers(&["stalled", "good"]);
    let stalled = Source::Peer("stalled".into());
    let mut now = Millis(1);
    let started = starts(&swarm.step(now));
    let first = started
        .iter()
        .find(|fetch| fetch.source == stalled)
        .unwrap()
        .clone();
    for fetch in started.iter().filter(|fetch| fetch.source != stalled) {
        swarm.finished(now, fetch.attempt, FetchOutcome::Verified);
    }
    let mut cancelled = false;
    let mut fetched_elsewhere = false;
    for _ in 0..200 {
        now = now + 50;
        let actions = swarm.step(now);
        cancelled |= actions.contains(&SwarmAction::Cancel(first.attempt));
        for fetch in starts(&actions) {
            if fetch.source != stalled {
                fetched_elsewhere |= fetch.chunk == first.chunk;
                swarm.finished(now, fetch.attempt, FetchOutcome::Verified);
            }
        }
    }
    assert!(cancelled && fetched_elsewhere);
    assert!(swarm.is_complete(), "one stalled source holds nothing up");
}

#[test]
fn a_failed_grant_is_given_back() {
    let mut swarm = Swarm::new(SwarmSettings::default(), ChunkSet::empty(CHUNKS), 1);
    let grant = Grant {
        chunk: ChunkIndex(3),
        source: Source::Origin,
    };
    swarm.set_grants(std::slice::from_ref(&grant));
    let fetch = starts(&swarm.step(Millis(1))).remove(0);
    assert_eq!(
        (fetch.chunk, fetch.source.clone()),
        (grant.chunk, Source::Origin)
    );
    swarm.finished(Millis(2), fetch.attempt, FetchOutcome::Corrupt);
    assert_eq!(swarm.take_failed_grants(), vec![grant]);
    assert!(
        starts(&swarm.step(Millis(3))).is_empty(),
        "without a grant the origin is not asked"
    );
}

#[test]
fn a_chunk_that_was_lost_is_fetched_again() {
    let mut swarm = swarm_with_peers(&["peer"]);
    let mut now = Millis(1);
    let fetch_all = |swarm: &mut Swarm, now: &mut Millis| {
        while !swarm.is_complete() {
            *now = *now + 10;
            for fetch in starts(&swarm.step(*now)) {
                swarm.finished(*now, fetch.attempt, FetchOutcome::Verified);
            }
        }
    };
    fetch_all(&mut swarm, &mut now);
    swarm.lost(ChunkIndex(7));
    assert!(!swarm.is_complete());
    fetch_all(&mut swarm, &mut now);
}

#[test]
fn tickets_open_only_what_they_name() {
    let (key, other_key) = ([1; 32], [2; 32]);
    let root = RootDigest::of(b"weights");
    let ticket = Ticket {
        account: "pallets".into(),
        root,
        agent: "engine-1".into(),
        expires_unix_ms: 1_000,
    };
    let sealed = ticket.seal(&key);
    let opens =
        |sealed: &str, key: &[u8; 32], account: &str, root: RootDigest, agent: &str, now: u64| {
            Ticket::opens(sealed, key, &account.into(), root, &agent.into(), now)
        };
    assert!(opens(&sealed, &key, "pallets", root, "engine-1", 999));
    assert!(
        !opens(&sealed, &key, "pallets", root, "engine-1", 1_000),
        "expired"
    );
    assert!(
        !opens(&sealed, &key, "labs", root, "engine-1", 1),
        "another account"
    );
    assert!(
        !opens(
            &sealed,
            &key,
            "pallets",
            RootDigest::of(b"x"),
            "engine-1",
            1
        ),
        "other weights"
    );
    assert!(
        !opens(&sealed, &key, "pallets", root, "engine-2", 1),
        "another agent"
    );
    assert!(
        !opens(&sealed, &other_key, "pallets", root, "engine-1", 1),
        "another system"
    );
    let forged = sealed.replace("1000.", "9999999.");
    assert!(
        !opens(&forged, &key, "pallets", root, "engine-1", 1),
        "a longer life"
    );
}

proptest! {
    #[test]
    fn chunk_sets_survive_their_text(count in 1usize..300, chunks in proptest::collection::vec(0u32..300, 0..60)) {
        let mut set = ChunkSet::empty(count);
        for chunk in chunks {
            set.insert(ChunkIndex(chunk));
        }
        prop_assert_eq!(ChunkSet::from_hex(&set.to_hex(), count), Some(set.clone()));
        prop_assert_eq!(set.missing().count() + set.len(), count);
    }

    #[test]
    fn no_text_makes_chunk_sets_or_tickets_panic(text in "\\PC{0,80}", count in 0usize..200) {
        let _ = ChunkSet::from_hex(&text, count);
        let _ = Ticket::opens(&text, &[0; 32], &"a".into(), RootDigest::of(b""), &"b".into(), 0);
    }

    #[test]
    fn a_pacer_never_exceeds_its_rate(sizes in proptest::collection::vec(1u64..50_000, 1..80)) {
        let (rate, burst) = (1_000_000, 10_000);
        let mut pacer = Pacer::new(rate, burst);
        let mut now = Duration::ZERO;
        let mut total = 0;
        for size in sizes {
            now += pacer.reserve(now, size);
            total += size;
            let allowed = now.as_secs_f64() * rate as f64 + burst as f64;
            prop_assert!(total as f64 <= allowed + 1.0, "{total} bytes at {now:?}");
        }
    }
}
