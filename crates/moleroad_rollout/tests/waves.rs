//! When engines switch to new weights.

use moleroad_rollout::prelude::*;
use moleroad_types::prelude::InstanceId;

#[test]
fn engines_switch_in_turn_and_all_start_before_the_deadline() {
    let plan = WavePlan {
        engines: 20,
        outage_ms: 1_200,
        earliest_start_ms: 2_800,
        latest_start_ms: 5_800,
    };
    let names: Vec<InstanceId> = (0..20)
        .map(|index| InstanceId::new(format!("agent-{index}")))
        .collect();
    // No agent knows the progress of the others; their pieces arrive at times that
    // differ by up to 0.4 s.
    for staged_ms in [2_000_u64, 2_900, 3_900] {
        let starts_at = |own: &InstanceId, index: usize| {
            let staged_ms = staged_ms + index as u64 * 20;
            let others = || names.iter().filter(|name| *name != own);
            (staged_ms..)
                .find(|at| plan.may_begin(own, others(), *at, staged_ms))
                .unwrap()
        };
        let times: Vec<u64> = names
            .iter()
            .enumerate()
            .map(|(index, own)| starts_at(own, index))
            .collect();
        assert!(times.iter().all(|at| *at <= plan.latest_start_ms));
        let changing = |at: u64| {
            let switching = times
                .iter()
                .filter(|start| (**start..**start + plan.outage_ms).contains(&at));
            switching.count()
        };
        let most = (0..8_000).map(changing).max().unwrap();
        // Engines that are staged later may overlap with the next wave.
        assert!(
            most <= plan.wave_size(staged_ms) * 3 / 2,
            "{staged_ms}: {most}"
        );
    }
    assert_eq!(plan.wave_size(2_000), 7);
    assert_eq!(plan.wave_size(3_900), 10);
    // Without time for waves, all begin at the same time.
    let own = &names[3];
    assert!(plan.may_begin(own, names.iter().skip(4), 5_800, 5_700));
}
