//! No request reaches a target outside the regions where it may be served.

mod support;

use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis, Region};
use proptest::prelude::*;

/// The region of the entry that chooses.
const OWN: &str = "r0";
const REGIONS: [&str; 4] = [OWN, "r1", "r2", "r3"];

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| Region::new(*name)))
}

fn target(number: usize, region: &str) -> Candidate {
    Candidate {
        distance: if region == OWN {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        },
        region: Region::new(region),
        version: Some(2),
        agent: Some("127.0.0.1:2".parse().unwrap()),
        ..support::target(&format!("t{number}"), 2)
    }
}

fn targets(regions: &[&str]) -> Targets {
    let mut targets = Targets::default();
    let candidates = regions.iter().enumerate();
    targets.set(
        candidates
            .map(|(number, region)| target(number, region))
            .collect(),
    );
    targets
}

fn allowed_in(regions: &AllowedRegions) -> Requirements<'_> {
    Requirements {
        regions: Some(regions),
        ..Requirements::default()
    }
}

fn region_of(choice: Choice) -> Option<String> {
    match choice {
        Choice::Send(candidate) => Some(candidate.region.to_string()),
        Choice::Full | Choice::NoTarget => None,
    }
}

#[test]
fn a_near_target_is_passed_over_for_an_allowed_far_one() {
    let targets = targets(&[OWN, OWN, "r1"]);
    let far = only(&["r1"]);
    let chosen = targets.choose(Millis(1), allowed_in(&far), 7);
    assert_eq!(region_of(chosen).as_deref(), Some("r1"));
}

#[test]
fn a_full_allowed_region_is_waited_for() {
    let mut targets = targets(&[OWN, "r1"]);
    let far = only(&["r1"]);
    for _ in 0..2 {
        targets.started(Millis(0), &TargetId::new("t1"), 0);
    }
    assert_eq!(targets.choose(Millis(1), allowed_in(&far), 7), Choice::Full);
    assert!(targets.any_eligible(allowed_in(&far)));
}

#[test]
fn a_request_without_a_target_in_its_regions_cannot_be_served() {
    let targets = targets(&[OWN, OWN, "r1"]);
    let empty = only(&["r2"]);
    assert_eq!(
        targets.choose(Millis(1), allowed_in(&empty), 7),
        Choice::NoTarget
    );
    assert!(!targets.any_eligible(allowed_in(&empty)));
    let none = only(&[]);
    assert_eq!(
        targets.choose(Millis(1), allowed_in(&none), 7),
        Choice::NoTarget
    );
}

#[test]
fn each_target_is_counted_under_the_first_reason_that_excludes_it() {
    let mut candidates: Vec<Candidate> = [OWN, "r1", "r1", "r1", "r1", "r2", "r1"]
        .iter()
        .enumerate()
        .map(|(number, region)| target(number, region))
        .collect();
    // The longer-lasting reason is counted first.
    for index in [1, 2, 6] {
        candidates[index].backoff_until = Some(Millis(9));
    }
    candidates[1].evacuated = true;
    candidates[2].version = Some(1);
    let tried = [3, 0, 6].map(|number: usize| candidates[number].id.clone());
    let regions = only(&["r1"]);
    let needs = Requirements {
        now: Millis(8),
        tried: &tried,
        min_version: Some(2),
        regions: Some(&regions),
        ..Requirements::default()
    };
    let expected = ExclusionCounts {
        region: 2,
        evacuated: 1,
        old_weights: 1,
        tried: 1,
        backing_off: 1,
        eligible: 1,
    };
    assert_eq!(count_exclusions(&candidates, needs), expected);
}

#[test]
fn only_slots_in_allowed_regions_count() {
    let mut targets = targets(&[OWN, "r1", "r1", "r2"]);
    let two = only(&["r1", "r2"]);
    assert_eq!(targets.total_slots(&AllowedRegions::all()), 8);
    assert_eq!(targets.total_slots(&two), 6);
    targets.started(Millis(0), &TargetId::new("t1"), 0);
    targets.started(Millis(0), &TargetId::new("t0"), 0);
    assert_eq!(targets.free_slots(Millis(1), &two), 5.0);
}

#[test]
fn as_many_agents_are_asked_outside_a_disallowed_own_region() {
    let regions: Vec<&str> = (0..40).map(|number| REGIONS[number % 4]).collect();
    let targets = targets(&regions);
    let home = only(&["r1", "r2"]);
    let ids = |needs, scope| -> Vec<TargetId> {
        let sampled = targets.shortlist(Millis(1), needs, scope, 99);
        sampled.into_iter().map(|candidate| candidate.id).collect()
    };
    for scope in [SearchScope::OwnRegion, SearchScope::OtherRegions] {
        let any = ids(Requirements::default(), scope).len();
        assert_eq!(ids(allowed_in(&home), scope).len(), any, "{scope:?}");
    }
    let near = ids(allowed_in(&home), SearchScope::OwnRegion);
    let far = ids(allowed_in(&home), SearchScope::OtherRegions);
    assert!(
        far.iter().all(|id| !near.contains(id)),
        "no agent is queried twice"
    );
}

fn waiter(id: u64, regions: &AllowedRegions) -> Waiter {
    Waiter {
        id: WaiterId(id),
        class: WaitClass::InTime,
        priority: 1,
        since: Millis(id),
        latency_deadline: Millis(1_000),
        expires_at: Millis(1_000),
        regions: regions.clone(),
    }
}

#[test]
fn a_request_waiting_for_a_full_region_does_not_block_others() {
    let (home, all) = (only(&["r1"]), AllowedRegions::all());
    let mut queue = WaitQueue::default();
    assert!(queue.enter(waiter(1, &home)));
    assert!(queue.enter(waiter(2, &home)));
    assert!(queue.enter(waiter(3, &all)));
    let now = Millis(50);
    assert_eq!(queue.next(now, &[]), Some(WaiterId(1)));
    assert_eq!(
        queue.next(now, std::slice::from_ref(&home)),
        Some(WaiterId(3))
    );
    assert_eq!(queue.next(now, std::slice::from_ref(&all)), None);
    assert!(queue.is_among_first(1, WaiterId(3), now));
    assert!(!queue.is_among_first(1, WaiterId(2), now));
    // A request without restrictions also competes for the slots of that region.
    assert_eq!(queue.count_ahead(WaitClass::InTime, &home), 3);
    assert_eq!(queue.count_ahead(WaitClass::InTime, &all), 1);
}

#[test]
fn a_waiting_request_takes_the_regions_of_a_newer_configuration() {
    let (home, other) = (only(&["r1"]), only(&["r2"]));
    let mut queue = WaitQueue::default();
    assert!(queue.enter(waiter(1, &home)));
    queue.set_regions(WaiterId(1), &other);
    assert_eq!(queue.next(Millis(50), &[home]), Some(WaiterId(1)));
    assert_eq!(queue.next(Millis(50), &[other]), None);
}

#[test]
fn overdue_requests_count_only_in_the_share_of_their_region() {
    let mut share = OverdueShare::default();
    for _ in 0..3 {
        share.started(&Region::new("r2"));
    }
    assert!(!share.admits(10.0, &AllowedRegions::all()));
    assert!(share.admits(10.0, &only(&["r1"])));
    assert!(!share.admits(10.0, &only(&["r1", "r2"])));
    share.ended(&Region::new("r2"));
    assert!(share.admits(10.0, &only(&["r1", "r2"])));
}

/// A set of regions: bit `n` stands for region `n`; no bit means all.
fn set_of(bits: u8) -> AllowedRegions {
    if bits == 0 {
        return AllowedRegions::all();
    }
    let indexed = REGIONS.iter().enumerate();
    let chosen = indexed.filter(|(number, _)| bits & (1 << number) != 0);
    AllowedRegions::only(chosen.map(|(_, name)| Region::new(*name)))
}

/// An event between or during the sends of a request.
#[derive(Clone, Debug)]
enum Event {
    /// The request is sent according to the known state.
    Send { random: u64 },
    /// The request is sent to the best of the targets whose agents are queried, after
    /// one of them was evacuated during the query.
    QueryAgents { random: u64, evacuated: usize },
    /// A new configuration takes effect.
    Configuration { route: u8, account: u8 },
    /// A target fails and is avoided.
    Fail(usize),
    /// The directory receives another list of targets.
    DirectoryUpdate(Vec<u8>),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u64>().prop_map(|random| Event::Send { random }),
        4 => (any::<u64>(), 0..12usize)
            .prop_map(|(random, evacuated)| Event::QueryAgents { random, evacuated }),
        2 => (0..16u8, 0..16u8)
            .prop_map(|(route, account)| Event::Configuration { route, account }),
        1 => (0..12usize).prop_map(Event::Fail),
        1 => prop::collection::vec(0..4u8, 0..12).prop_map(Event::DirectoryUpdate),
    ]
}

fn directory_list(regions: &[u8]) -> Vec<Candidate> {
    let candidates = regions.iter().enumerate();
    candidates
        .map(|(number, region)| target(number, REGIONS[usize::from(*region)]))
        .collect()
}

/// Performs one choice and returns the target that is sent to.
fn choose(
    targets: &mut Targets,
    now: Millis,
    needs: Requirements<'_>,
    event: &Event,
) -> Option<Candidate> {
    match event {
        Event::Send { random } => match targets.choose(now, needs, *random) {
            Choice::Send(candidate) => Some(candidate),
            Choice::Full | Choice::NoTarget => None,
        },
        Event::QueryAgents { random, evacuated } => {
            let mut shortlisted = targets.shortlist(now, needs, SearchScope::OwnRegion, *random);
            shortlisted.extend(targets.shortlist(now, needs, SearchScope::OtherRegions, *random));
            let mut changed = targets.candidates().to_vec();
            if let Some(candidate) = changed.get_mut(*evacuated) {
                candidate.evacuated = true;
            }
            targets.set(changed);
            targets.best_of(now, needs, &shortlisted)
        }
        _ => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn no_request_is_sent_outside_the_regions_of_route_and_account(
        regions in prop::collection::vec(0..4u8, 0..12),
        route in 0..16u8,
        account in 0..16u8,
        events in prop::collection::vec(event(), 1..24),
    ) {
        let mut targets = Targets::default();
        targets.set(directory_list(&regions));
        let (mut route, mut account) = (set_of(route), set_of(account));
        let mut tried: Vec<TargetId> = Vec::new();
        for (step, event) in events.iter().enumerate() {
            let now = Millis(step as u64 * 10);
            match event {
                Event::Configuration { route: by_route, account: by_account } => {
                    (route, account) = (set_of(*by_route), set_of(*by_account));
                }
                Event::Fail(number) => {
                    let id = TargetId::new(format!("t{number}"));
                    targets.started(now, &id, 0);
                    targets.finished(now, &id, Outcome::Broken);
                }
                Event::DirectoryUpdate(regions) => {
                    tried.clear();
                    targets.set(directory_list(regions));
                }
                Event::Send { .. } | Event::QueryAgents { .. } => {
                    let allowed = route.intersection(&account);
                    let needs = Requirements { tried: &tried, regions: Some(&allowed), ..Requirements::default() };
                    let was_eligible = targets.any_eligible(needs);
                    let sent = choose(&mut targets, now, needs, event);
                    if let Some(sent) = sent {
                        prop_assert!(was_eligible);
                        prop_assert!(route.contains(&sent.region));
                        prop_assert!(account.contains(&sent.region));
                        prop_assert!(!sent.evacuated && !tried.contains(&sent.id));
                        targets.started(now, &sent.id, 10);
                        tried.push(sent.id);
                    }
                }
            }
        }
    }
}
