//! Which agent fetches which piece from where.

use moleroad_rollout::prelude::*;
use moleroad_types::prelude::InstanceId;

fn members() -> Vec<Member> {
    let regions = ["north", "south", "west"];
    let member = |index: usize| Member {
        instance: InstanceId::new(format!("agent-{index}")),
        region: regions[index % 3].into(),
    };
    (0..12).map(member).collect()
}

/// Number of pieces of the version in these tests.
const PIECES: u32 = 400;

/// Returns the sources that `own` may use for a piece.
fn allowed_sources(
    own: &InstanceId,
    members: &[Member],
    origin_region: Option<&str>,
    piece: u32,
    timeouts: TakeoverTimeouts,
    idle_ms: u64,
) -> AllowedSources {
    let trees = DistributionTrees::new(own, members, origin_region, PIECES);
    trees.allowed_sources(piece, timeouts, idle_ms)
}

fn granted(idle_ms: u64, piece: u32) -> (usize, usize) {
    let members = members();
    let timeouts = TakeoverTimeouts::for_pieces(49_152, 9.4);
    let all = members.iter().map(|member| {
        let own = &member.instance;
        allowed_sources(own, &members, Some("south"), piece, timeouts, idle_ms)
    });
    let all: Vec<AllowedSources> = all.collect();
    (
        all.iter().filter(|p| p.from_origin).count(),
        all.iter().filter(|p| p.across_regions).count(),
    )
}

#[test]
fn one_copy_leaves_the_origin_and_one_enters_each_other_region() {
    for piece in 0..200 {
        assert_eq!(granted(0, piece), (1, 2), "piece {piece}");
    }
}

#[test]
fn agents_without_progress_take_over_one_at_a_time() {
    let timeouts = TakeoverTimeouts::for_pieces(49_152, 9.4);
    let timeout_ms = timeouts.across_regions_ms;
    // Four agents in each of three regions.
    assert_eq!(granted(timeout_ms - 1, 7), (1, 2));
    assert_eq!(granted(timeout_ms, 7), (2, 5));
    for takeovers in 2..4 {
        let (from_origin, across) = granted(takeovers * timeout_ms, 7);
        assert!(
            from_origin <= 3 * (takeovers as usize + 1),
            "{takeovers} takeovers"
        );
        assert!(
            across <= 3 * (takeovers as usize + 1),
            "{takeovers} takeovers"
        );
    }
    // No agent waits forever.
    assert_eq!(granted(4 * timeout_ms + timeouts.origin_ms, 7), (12, 12));
}

#[test]
fn hundreds_of_agents_do_not_contact_the_origin_at_once() {
    let member = |index: usize| Member {
        instance: InstanceId::new(format!("agent-{index}")),
        region: ["north", "south"][index % 2].into(),
    };
    let members: Vec<Member> = (0..300).map(member).collect();
    let timeouts = TakeoverTimeouts::for_pieces(49_152, 9.4);
    let asks_origin = |member: &&Member| {
        let own = &member.instance;
        let idle_ms = 2 * timeouts.origin_ms;
        allowed_sources(own, &members, Some("south"), 7, timeouts, idle_ms).from_origin
    };
    assert!(members.iter().filter(asks_origin).count() <= 8);
}

#[test]
fn offers_reach_every_agent_once_and_enter_each_region_by_the_agent_that_may_carry() {
    let members = members();
    let timeouts = TakeoverTimeouts::for_pieces(49_152, 9.4);
    let own = &members[0].instance;
    let trees = DistributionTrees::new(own, &members, Some("south"), PIECES);
    let region_of = |agent: &InstanceId| {
        let member = members.iter().find(|member| member.instance == *agent);
        member.unwrap().region.clone()
    };
    for piece in 0..50 {
        let may = |agent: &InstanceId| {
            allowed_sources(agent, &members, Some("south"), piece, timeouts, 0)
        };
        let mut reached: Vec<InstanceId> = members
            .iter()
            .map(|member| member.instance.clone())
            .filter(|agent| may(agent).from_origin)
            .collect();
        assert_eq!(reached.len(), 1, "one root of piece {piece}");
        let mut at = 0;
        while let Some(agent) = reached.get(at).cloned() {
            let children = trees.children(&agent, piece);
            assert!(children.len() <= 4, "{agent} offers to {children:?}");
            for child in children {
                assert!(!reached.contains(child), "{child} gets piece {piece} twice");
                if region_of(child) != region_of(&agent) {
                    assert!(may(child).across_regions);
                }
                reached.push(child.clone());
            }
            at += 1;
        }
        assert_eq!(reached.len(), members.len(), "piece {piece}");
    }
}

#[test]
fn an_agent_outside_the_group_is_not_in_the_trees() {
    let stranger = InstanceId::new("stranger");
    let trees = DistributionTrees::new(&stranger, &members(), Some("south"), PIECES);
    assert_eq!(trees.rank(3), None);
    assert!(trees.children(&stranger, 3).is_empty());
}

#[test]
fn the_origin_is_asked_for_one_piece_after_the_other() {
    let members = members();
    let timeouts = TakeoverTimeouts::for_pieces(49_152, 9.4);
    let conditions = |elapsed_ms| FetchConditions {
        timeouts,
        elapsed_ms,
        schedule: OriginSchedule::all(),
        origin_piece_ms: 26,
        link_piece_ms: 42,
        can_ask_origin: true,
        origin_failed_ms: None,
        may_cross_regions: true,
        highest_seen: None,
    };
    let asked_pieces = |elapsed_ms: u64| {
        let asked = members.iter().flat_map(|member| {
            let trees = DistributionTrees::new(&member.instance, &members, Some("south"), PIECES);
            let conditions = conditions(elapsed_ms);
            (0..48).filter(move |piece| {
                let missing = MissingPiece {
                    piece: *piece,
                    ..MissingPiece::default()
                };
                let source = choose_source(missing, &trees, &conditions);
                matches!(source, Some((SourceKind::Origin, _)))
            })
        });
        asked.collect::<Vec<u32>>()
    };
    assert_eq!(asked_pieces(0), [0]);
    // Ten pieces have left the origin; two more are requested, so that one late agent
    // does not leave it idle.
    let mut early = asked_pieces(26 * 10);
    early.sort();
    assert_eq!(early, (0..=12).collect::<Vec<u32>>());
    let mut middle = asked_pieces(26 * 30);
    middle.sort();
    assert_eq!(middle, (0..=37).collect::<Vec<u32>>());
    // The agents responsible for a piece may be dead: others eventually take over.
    let late = asked_pieces(26 * 48 + 42 * 48 + 10 * timeouts.origin_ms);
    assert!((0..48).all(|piece| late.iter().filter(|asked| **asked == piece).count() > 1));
}

#[test]
fn offered_pieces_precede_those_known_from_the_directory() {
    let members = members();
    let own = &members[1].instance;
    let trees = DistributionTrees::new(own, &members, Some("south"), PIECES);
    let conditions = FetchConditions {
        timeouts: TakeoverTimeouts::for_pieces(49_152, 9.4),
        elapsed_ms: 0,
        schedule: OriginSchedule::all(),
        origin_piece_ms: 26,
        link_piece_ms: 42,
        can_ask_origin: false,
        origin_failed_ms: None,
        may_cross_regions: true,
        highest_seen: None,
    };
    let known = |offered, near_holders| MissingPiece {
        piece: 7,
        offered,
        near_holders,
        ..MissingPiece::default()
    };
    let order = |missing| choose_source(missing, &trees, &conditions);
    let (offer, near) = (
        order(known(true, 2)).unwrap(),
        order(known(false, 2)).unwrap(),
    );
    assert_eq!(
        (offer.0, near.0),
        (SourceKind::Offer, SourceKind::OwnRegion)
    );
    assert!(offer.1 < near.1);
    // Rare pieces first.
    assert!(near.1 < order(known(false, 3)).unwrap().1);
    assert_eq!(order(known(false, 0)), None);
}

#[test]
fn a_single_agent_fetches_from_the_origin() {
    let own = InstanceId::new("alone");
    let timeouts = TakeoverTimeouts::for_pieces(1_000, 10.0);
    let alone = allowed_sources(&own, &[], None, 3, timeouts, 0);
    assert!(alone.from_origin);
}

#[test]
fn work_is_spread_over_the_agents_of_the_first_region() {
    let members = members();
    let timeouts = TakeoverTimeouts::for_pieces(49_152, 9.4);
    for member in members.iter().filter(|member| member.region == "south") {
        let fetches = (0..400)
            .filter(|piece| {
                allowed_sources(
                    &member.instance,
                    &members,
                    Some("south"),
                    *piece,
                    timeouts,
                    0,
                )
                .from_origin
            })
            .count();
        assert!(
            (50..160).contains(&fetches),
            "{} fetches {fetches}",
            member.instance
        );
    }
}

#[test]
fn pieces_of_a_dead_agent_are_taken_over_after_the_time_of_one_copy() {
    // 48 pieces of 48 KiB over 15 Mbit/s: at least 1.26 s.
    let copy = copy_ms(48 * 49_152, 15_000);
    assert!((1_259..1_600).contains(&copy), "{copy}");
    let member = |index: usize| Member {
        instance: InstanceId::new(format!("agent-{index}")),
        region: "south".into(),
    };
    let members: Vec<Member> = (0..25).map(member).collect();
    let (dead, alive) = members.split_at(4);
    let timeouts = TakeoverTimeouts::for_pieces(49_152, 9.4);
    let is_allowed = |member: &Member, piece, waited_ms| {
        let own = &member.instance;
        allowed_sources(own, &members, Some("south"), piece, timeouts, waited_ms).from_origin
    };
    let blocked: Vec<u32> = (0..48)
        .filter(|piece| dead.iter().any(|member| is_allowed(member, *piece, 0)))
        .collect();
    assert!(!blocked.is_empty());
    // All of them at the same time, not one after the other.
    let waited_ms = 4 * timeouts.across_regions_ms;
    for piece in blocked {
        assert!(
            alive
                .iter()
                .any(|member| is_allowed(member, piece, waited_ms))
        );
    }
}

#[test]
fn a_piece_of_a_silent_agent_is_fetched_by_the_next_but_not_of_a_busy_one() {
    let members = members();
    let piece = 7;
    let of_rank = |rank: usize| {
        let mut all_trees = members.iter().map(|member| {
            DistributionTrees::new(&member.instance, &members, Some("south"), PIECES)
        });
        all_trees.find(|trees| trees.is_in_origin_region() && trees.rank(piece) == Some(rank))
    };
    let (first, second) = (of_rank(0).unwrap(), of_rank(1).unwrap());
    let conditions = |elapsed_ms, highest_seen| FetchConditions {
        timeouts: TakeoverTimeouts::for_pieces(49_152, 9.4),
        elapsed_ms,
        schedule: OriginSchedule::all(),
        origin_piece_ms: 43,
        link_piece_ms: 42,
        can_ask_origin: true,
        origin_failed_ms: None,
        may_cross_regions: true,
        highest_seen,
    };
    let fetches = |trees: &DistributionTrees, announced_ms, conditions: FetchConditions| {
        let missing = MissingPiece {
            piece,
            announced_ms,
            ..MissingPiece::default()
        };
        choose_source(missing, trees, &conditions).is_some()
    };
    assert!(fetches(&first, None, conditions(260, None)));
    assert!(should_announce(piece, &first, &conditions(260, None)));
    assert!(!should_announce(piece, &second, &conditions(260, None)));
    // An agent that the origin refused announces nothing, since others would wait for
    // it.
    let refused = FetchConditions {
        origin_failed_ms: Some(100),
        ..conditions(260, None)
    };
    assert!(!should_announce(piece, &first, &refused));
    // The first agent announced nothing, and the origin has moved on.
    assert!(!fetches(&second, None, conditions(400, Some(9))));
    assert!(fetches(&second, None, conditions(700, Some(12))));
    // The first agent announced its fetch recently, or long ago.
    assert!(!fetches(&second, Some(100), conditions(700, Some(12))));
    assert!(fetches(&second, Some(500), conditions(700, Some(12))));
    // The origin is behind schedule, which is not the first agent's fault.
    assert!(!fetches(&second, None, conditions(1_300, Some(3))));
    assert!(!fetches(&second, None, conditions(700, None)));
    // An agent that was skipped gets an announcement of the fetch.
    assert!(!second.announcement_recipients(piece).is_empty());
}
