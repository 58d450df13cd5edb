//! Spreads callers over the entries.

use moleroad_types::prelude::*;

/// One entry in an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryShare {
    /// The entry.
    pub instance: InstanceId,
    /// Share of the caller's connections it should get; all sum to about 100.
    pub weight: u32,
}

/// Weights for entries with the given requests in flight.
///
/// A caller keeps the answer for a while, so the weights lean only gently on
/// the load: a strong lean would swing all callers from one entry to another.
pub fn spread(entries: &[(InstanceId, u32)]) -> Vec<EntryShare> {
    let total: u64 = entries.iter().map(|(_, in_flight)| u64::from(*in_flight)).sum();
    let mean = total / entries.len().max(1) as u64;
    let score = |in_flight: u32| {
        // Between half and double of an entry at the mean.
        let lean = (mean + 8) * 100 / (u64::from(in_flight) + 8);
        lean.clamp(50, 200)
    };
    let scores: Vec<u64> = entries.iter().map(|(_, in_flight)| score(*in_flight)).collect();
    let sum: u64 = scores.iter().sum::<u64>().max(1);
    let weight = |score: u64| ((score * 100 + sum / 2) / sum).max(1) as u32;
    let shares = entries.iter().zip(scores);
    shares.map(|((instance, _), score)| EntryShare { instance: instance.clone(), weight: weight(score) }).collect()
}
