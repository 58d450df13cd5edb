//! Unit tests of the shares of a target's slots that entries have.

use moleroad_dispatch::prelude::*;

#[test]
fn all_slots_of_a_target_are_shared_out() {
    let names: Vec<String> = (0..10).map(|index| format!("entry-{index}")).collect();
    let demands = |per_s: fn(usize) -> f64| -> Vec<EntryDemand<'_>> {
        let demand = |(index, name)| EntryDemand {
            entry: name,
            requests_per_s: per_s(index),
        };
        names
            .iter()
            .map(String::as_str)
            .enumerate()
            .map(demand)
            .collect()
    };
    for entries in [demands(|_| 20.0), demands(|index| index as f64 * 7.0)] {
        let mut totals = vec![0; names.len()];
        for target in 0..200 {
            let target = format!("target-{target}");
            let shares: Vec<u32> = names
                .iter()
                .map(|name| SlotShares::new(name, entries.clone()).of(&target, 16))
                .collect();
            assert_eq!(shares.iter().sum::<u32>(), 16, "{shares:?}");
            totals.iter_mut().zip(&shares).for_each(|(t, s)| *t += s);
        }
        // Over many targets, each entry's slots match its demand.
        assert!(totals.iter().all(|total| *total > 0), "{totals:?}");
        assert!(totals[9] >= totals[1], "{totals:?}");
    }
    let alone = SlotShares::new("entry-0", demands(|_| 1.0).into_iter().take(1));
    assert_eq!(alone.of("target", 16), 16);
}

#[test]
fn entry_demands_are_computed_once_for_all_targets() {
    let names: Vec<String> = (0..500).map(|index| format!("entry-{index}")).collect();
    let read = std::cell::Cell::new(0);
    let demands = names.iter().map(|name| {
        read.set(read.get() + 1);
        EntryDemand {
            entry: name,
            requests_per_s: 2.0,
        }
    });
    let shares = SlotShares::new("entry-7", demands);
    let slots: u32 = (0..4_000)
        .map(|n| shares.of(&format!("target-{n}"), 8))
        .sum();
    assert_eq!(read.get(), names.len());
    // One in 500 of 32,000 slots, within rounding.
    assert!((44..=84).contains(&slots), "{slots} slots");
}
