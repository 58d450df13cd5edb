//! Distribution of a message from one daemon to many.
//!
//! Calling several hundred daemons directly would occupy the caller's whole link and
//! processor for a while. Instead, the message spreads over a tree of two levels, in
//! which no daemon makes more calls than about the square root of the number of
//! recipients.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of recipients that are all called directly.
const MAX_DIRECT_CALLS: usize = 32;

/// A daemon to call, and the recipients that it forwards the message to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// The daemon to call.
    pub head: SocketAddr,
    /// Recipients in the same data hall that the head calls.
    pub rest: Vec<SocketAddr>,
}

/// Groups daemons, given with their data halls, into branches. Each daemon is in one
/// branch, and a message crosses to another hall once per branch there.
pub fn fan_out(daemons: impl IntoIterator<Item = (String, SocketAddr)>) -> Vec<Branch> {
    let mut halls: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    for (hall, address) in daemons {
        halls.entry(hall).or_default().push(address);
    }
    let count: usize = halls.values().map(Vec::len).sum();
    let size = if count <= MAX_DIRECT_CALLS {
        1
    } else {
        count.isqrt().max(1)
    };
    let groups = halls.values().flat_map(|hall| hall.chunks(size));
    let branch = |group: &[SocketAddr]| {
        let (head, rest) = group.split_first()?;
        Some(Branch {
            head: *head,
            rest: rest.to_vec(),
        })
    };
    groups.filter_map(branch).collect()
}
