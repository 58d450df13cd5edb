//! Which version to bring when the newest one does not come.

/// The newest of the versions `named` that is above `held`, below `newest`,
/// and all of whose `pieces` some agent has: it needs no origin. An engine
/// that takes it goes on serving though the newest version is stuck.
pub fn fallback(
    named: impl IntoIterator<Item = u64>,
    held: u64,
    newest: u64,
    pieces: u32,
    has: impl Fn(u64, u32) -> bool,
) -> Option<u64> {
    let between = named
        .into_iter()
        .filter(|version| (held + 1..newest).contains(version));
    let complete = between.filter(|version| (0..pieces).all(|piece| has(*version, piece)));
    complete.max()
}
