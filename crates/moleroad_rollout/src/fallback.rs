//! Choice of the version to fetch when the newest one does not arrive.

/// Returns the newest of the `announced` versions above `held` and below `newest` whose
/// `pieces` are all held by agents, so that it needs no origin. An engine that loads it
/// can continue to serve while the newest version is stuck.
pub fn fallback(
    announced: impl IntoIterator<Item = u64>,
    held: u64,
    newest: u64,
    pieces: u32,
    has: impl Fn(u64, u32) -> bool,
) -> Option<u64> {
    let between = announced
        .into_iter()
        .filter(|version| (held + 1..newest).contains(version));
    let complete = between.filter(|version| (0..pieces).all(|piece| has(*version, piece)));
    complete.max()
}
