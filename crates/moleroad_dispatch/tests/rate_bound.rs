//! The rate bound of a target that all entries keep together, in virtual time.

use moleroad_dispatch::cold::ColdEvidence;
use moleroad_dispatch::division::QUOTA_WINDOW_MS;
use moleroad_dispatch::prelude::*;
use moleroad_dispatch::rate_bound::MAX_DELAY_MS;
use moleroad_types::prelude::Millis;
use proptest::prelude::*;

fn usual() -> RateBound {
    RateBound::new(15.0, 1.5, 5.0)
}

/// Returns the maximum number of requests that arrive in any one second.
fn most_in_a_second(arrivals: &[u64]) -> usize {
    let mut sorted = arrivals.to_vec();
    sorted.sort_unstable();
    let within = |from: &u64| {
        let first = sorted.partition_point(|at| at < from);
        let after = sorted.partition_point(|at| *at < from + 1_000);
        after - first
    };
    sorted.iter().map(within).max().unwrap_or(0)
}

/// A fault of the agent that gives the grants.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It is killed and restarts after this time.
    Killed(u64),
    /// It freezes for this time, then handles the queries that arrived meanwhile.
    Frozen(u64),
    /// It keeps running, but its clock stalls for this time.
    ClockStalls(u64),
}

/// A query of some entry for a grant, with the delays of each step.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: u64,
    /// Delay of the query; `None` if it is lost.
    query_delay: Option<u64>,
    /// Delay of the answer.
    answer_delay: u64,
    /// How long the entry is busy or frozen before it sends.
    send_delay: u64,
    /// Delay of the request.
    delay: u64,
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let one = (
        0..6_000_u64,
        prop::option::weighted(0.95, 0..60_u64),
        0..120_u64,
        prop_oneof![4 => 0..5_u64, 1 => 0..400_u64],
        0..=MAX_DELAY_MS,
    );
    let attempt = |(at, query_delay, answer_delay, send_delay, delay)| Attempt {
        at,
        query_delay,
        answer_delay,
        send_delay,
        delay,
    };
    prop::collection::vec(one.prop_map(attempt), 0..900)
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        prop_oneof![1..20_u64, 1..800_u64].prop_map(Fault::Killed),
        (1..2_500_u64).prop_map(Fault::Frozen),
        (1..1_500_u64).prop_map(Fault::ClockStalls),
    ];
    prop::collection::vec((0..6_000_u64, fault), 0..40)
}

/// Returns when the requests of all entries arrive at the target.
fn arrivals(params: BucketParams, attempts: &[Attempt], faults: &[(u64, Fault)]) -> Vec<u64> {
    let mut faults = faults.to_vec();
    faults.sort_by_key(|(at, _)| *at);
    let mut asked: Vec<(u64, &Attempt)> = attempts
        .iter()
        .filter_map(|attempt| Some((attempt.at + attempt.query_delay?, attempt)))
        .collect();
    asked.sort_by_key(|(at, _)| *at);
    let mut bucket = TokenBucket::new(Millis(0), params);
    let (mut down_until, mut frozen_until, mut clock_behind) = (0, 0, 0);
    let mut next_fault = 0;
    let mut arrivals = Vec::new();
    for (at, attempt) in asked {
        while let Some((fault_at, fault)) = faults.get(next_fault).filter(|(when, _)| *when <= at) {
            next_fault += 1;
            match fault {
                Fault::Killed(time) => {
                    down_until = fault_at + time;
                    let now = Millis(down_until.saturating_sub(clock_behind));
                    bucket = TokenBucket::new(now, params);
                }
                Fault::Frozen(time) => frozen_until = fault_at + time,
                Fault::ClockStalls(time) => clock_behind += time,
            }
        }
        if at < down_until {
            continue;
        }
        // A frozen agent handles the query when it resumes.
        let served_at = at.max(frozen_until);
        let is_given = bucket.take(Millis(served_at.saturating_sub(clock_behind)));
        let sent_at = served_at + attempt.answer_delay + attempt.send_delay;
        if is_given && sent_at <= attempt.at + GRANT_TTL_MS {
            arrivals.push(sent_at + attempt.delay);
        }
    }
    arrivals
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn the_bound_holds_under_loss_delay_kills_and_freezes(
        attempts in attempts(),
        faults in faults(),
        rate in 1.0..40.0_f64,
        overshoot in 1.0..2.0_f64,
        slack in 0.0..10.0_f64,
    ) {
        for bound in [usual(), RateBound::new(rate, overshoot, slack)] {
            let Some(params) = bound.bucket_params() else { continue };
            let most = most_in_a_second(&arrivals(params, &attempts, &faults));
            prop_assert!(most as f64 <= params.most_in_a_second(), "{most} of {params:?}");
            prop_assert!(most as f64 <= bound.most_in_a_second, "{most} of {bound:?}");
        }
    }

    #[test]
    fn bucket_parameters_stay_below_every_bound(
        rate in 0.01..500.0_f64,
        overshoot in 0.0..3.0_f64,
        slack in 0.0..50.0_f64,
    ) {
        let bound = RateBound::new(rate, overshoot, slack);
        match bound.bucket_params() {
            None => prop_assert!(bound.most_in_a_second < 1.0),
            Some(params) => {
                prop_assert!(params.most_in_a_second() <= bound.most_in_a_second);
                prop_assert!(params.per_s <= rate && params.per_s > 0.0 && params.burst >= 1.0);
            }
        }
        let division = Division::of(bound);
        let both_sets = 2 * division.owners * division.quota;
        prop_assert!(f64::from(both_sets) <= bound.most_in_a_second);
    }

    /// Each entry knows only those of its own side; some are restarted, and all send as
    /// often as they may.
    #[test]
    fn a_divided_bound_holds_when_entries_disagree_on_the_membership(
        sides in prop::collection::vec(any::<bool>(), 2..60),
        restarts in prop::collection::vec((0..60_usize, 0..4_000_u64), 0..10),
        steps in prop::collection::vec(1..40_u64, 60),
        delays in prop::collection::vec(0..=MAX_DELAY_MS, 61),
        send_delays in prop::collection::vec(prop_oneof![2 => 0..20_u64, 1 => 0..1_000_u64], 59),
    ) {
        let bound = usual();
        let division = Division::of(bound);
        let names: Vec<String> = (0..sides.len()).map(|n| format!("entry-{n}")).collect();
        let mut arrivals = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let same_side = |(other, _): &(usize, &String)| sides[*other] == sides[index];
            let visible: Vec<&str> = names
                .iter()
                .enumerate()
                .filter(same_side)
                .map(|(_, name)| name.as_str())
                .collect();
            let quota = division.quota_of(name, &visible, "target");
            let mut starts: Vec<u64> = restarts
                .iter()
                .filter(|(restarted, _)| *restarted == index)
                .map(|(_, at)| *at)
                .collect();
            starts.sort_unstable();
            let (mut sends, mut own) = (SendTimes::default(), Vec::new());
            let (mut from, mut at, mut step) = (Millis(0), 0, index);
            while at < 5_000 {
                at += steps[step % steps.len()];
                step += 1;
                while starts.first().is_some_and(|start| *start <= at) {
                    from = quota_usable_from(Millis(starts.remove(0)), Millis(0));
                    sends = SendTimes::default();
                }
                if quota > 0 && Millis(at) >= from && sends.has_room(Millis(at), quota) {
                    sends.record(Millis(at));
                    // It connects, or is frozen, before it sends.
                    let send_delay = send_delays[step % send_delays.len()];
                    if send_delay <= GRANT_TTL_MS {
                        own.push(at + send_delay + delays[step % delays.len()]);
                    }
                }
            }
            let most = most_in_a_second(&own);
            prop_assert!(most as u32 <= division.quota, "{most} from {name}");
            arrivals.extend(own);
        }
        let most = most_in_a_second(&arrivals);
        prop_assert!(most as f64 <= bound.most_in_a_second, "{most}");
    }
}

#[test]
fn default_bucket_parameters_use_the_whole_rate_within_the_bound() {
    let params = usual().bucket_params().expect("terms");
    assert_eq!((params.per_s, params.burst), (15.0, 3.0));
    // 15 × 1.25 + 3, of 27.5 that the target tolerates.
    assert_eq!(params.most_in_a_second(), 21.0);
}

/// Returns arrival times at random, `per_s` per second on average.
fn at_random(per_s: f64, span_ms: u64) -> Vec<u64> {
    let mut state = 7_u64;
    let mut random = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    (0..span_ms)
        .filter(|_| random() < per_s / 1_000.0)
        .collect()
}

#[test]
fn most_of_the_rate_is_used_under_load() {
    // A grant that no entry asks for is lost: with as many requests as the rate, and
    // with some more, at least 0.8 of the rate is used.
    for (per_s, min_fraction) in [(15.0, 0.8), (22.0, 0.9), (100.0, 0.97)] {
        let params = usual().bucket_params().expect("terms");
        let mut bucket = TokenBucket::new(Millis(0), params);
        let asked = at_random(per_s, 60_000);
        let granted = asked.iter().filter(|at| bucket.take(Millis(**at))).count();
        let fraction = granted as f64 / (15.0 * 60.0);
        assert!(fraction >= min_fraction, "{fraction} at {per_s} per second");
    }
    let division = Division::of(usual());
    let per_window = f64::from(division.owners * division.quota);
    let fraction = per_window * 1_000.0 / QUOTA_WINDOW_MS as f64 / 15.0;
    assert!((0.69..0.7).contains(&fraction), "{fraction}");
}

#[test]
fn a_bucket_is_empty_at_start_and_after_a_suspension() {
    let params = usual().bucket_params().expect("terms");
    let mut bucket = TokenBucket::new(Millis(5_000), params);
    assert!(!bucket.take(Millis(5_000)));
    assert_eq!(bucket.available(Millis(6_000)), 3);
    bucket.drain(Millis(6_000));
    assert!(!bucket.take(Millis(6_000)));
    // A clock that goes backwards neither adds nor removes tokens.
    assert!(!bucket.take(Millis(1_000)));
    assert!(bucket.take(Millis(6_070)));
    assert!(!bucket.take(Millis(6_070)));
}

#[test]
fn sends_before_a_target_turned_cold_count_toward_the_quota() {
    let mut sends = SendTimes::default();
    (0..100).for_each(|at| sends.record(Millis(at * 10)));
    assert!(!sends.has_room(Millis(990 + QUOTA_WINDOW_MS - 1), 1));
    assert!(sends.has_room(Millis(990 + QUOTA_WINDOW_MS), 1));
}

#[test]
fn new_bucket_parameters_take_effect_at_once() {
    let params = usual().bucket_params().expect("terms");
    let mut bucket = TokenBucket::new(Millis(0), params);
    assert_eq!(bucket.available(Millis(1_000)), 3);
    let lower = RateBound::new(2.0, 1.0, 0.0)
        .bucket_params()
        .expect("terms");
    assert!(bucket.set_params(Millis(1_000), lower));
    assert!(!bucket.set_params(Millis(1_000), lower));
    assert_eq!(bucket.available(Millis(1_000)), 1);
}

#[test]
fn each_target_has_as_many_owners_as_its_rate_bound_allows() {
    let names: Vec<String> = (0..45).map(|n| format!("entry-{n}")).collect();
    let entries: Vec<&str> = names.iter().map(String::as_str).collect();
    let division = Division::of(usual());
    assert_eq!((division.owners, division.quota), (13, 1));
    let mut quotas_of_entries = vec![0; entries.len()];
    for target in 0..45 {
        let target = format!("target-{target}");
        let quota = |entry: &&str| division.quota_of(entry, &entries, &target);
        let quotas: Vec<u32> = entries.iter().map(quota).collect();
        assert_eq!(quotas.iter().sum::<u32>(), 13);
        for (sum, quota) in quotas_of_entries.iter_mut().zip(&quotas) {
            *sum += quota;
        }
    }
    assert!(quotas_of_entries.iter().all(|sum| *sum > 0));
    // An entry that knows only itself gets no more than its quota.
    assert_eq!(division.quota_of("alone", &[], "target"), 1);
}

fn news(heard: u64, left_ms: u64) -> ColdEvidence {
    ColdEvidence {
        cold_duration_ms: 3_000,
        first_heard: Millis(1_000),
        last_heartbeat: Millis(heard),
        left_ms,
        restored: None,
    }
}

#[test]
fn a_target_is_cold_while_any_source_says_so() {
    // A target that was just discovered may be cold.
    assert_eq!(
        news(400, 0).until(),
        (Millis(4_000), ColdSource::FirstHeard)
    );
    // Its own later heartbeat overrides that assumption.
    assert_eq!(news(1_500, 0).until().0, Millis(0));
    assert_eq!(
        news(2_000, 2_500).until(),
        (Millis(4_500), ColdSource::Heartbeat)
    );
    // Its hall returned to service after its last heartbeat, or before.
    let restored = |at| ColdEvidence {
        restored: Some(Millis(at)),
        ..news(8_000, 0)
    };
    assert_eq!(
        restored(8_500).until(),
        (Millis(11_500), ColdSource::Restored)
    );
    assert_eq!(restored(7_500).until().0, Millis(0));
}
