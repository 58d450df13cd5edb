//! Candidate targets, and the requirements of a request on them.

use crate::cold::ColdTarget;
use crate::limit::LimitedTarget;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::{AllowedRegions, Millis, Region};
use std::net::SocketAddr;
use std::sync::Arc;

/// Network distance of a target from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data hall.
    SameHall,
    /// In another data hall of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Cost of a target in another data hall of the region, in milliseconds: the round
/// trip.
const SAME_REGION_COST_MS: f64 = 4.0;
/// Cost of a target in another region, in milliseconds: the round trip, plus the price
/// of cross-region traffic expressed as time.
const OTHER_REGION_COST_MS: f64 = 15.0;

impl Distance {
    /// Returns the cost of this distance, as a time in milliseconds.
    pub(crate) fn cost_ms(self) -> f64 {
        match self {
            Distance::SameHall => 0.0,
            Distance::SameRegion => SAME_REGION_COST_MS,
            Distance::OtherRegion => OTHER_REGION_COST_MS,
        }
    }
}

/// A target that may get requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Identity.
    pub id: TargetId,
    /// Address.
    pub address: SocketAddr,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Maximum number of requests that this entry may have in flight there.
    pub max_own: u32,
    /// Slots reserved for this entry when the target is nearly full.
    pub share: u32,
    /// Network distance from this entry.
    pub distance: Distance,
    /// Region of the target.
    pub region: Region,
    /// Whether its data hall is evacuated, so that it gets no requests.
    pub evacuated: bool,
    /// Version of the weights that it holds completely; `None` for targets without
    /// weights.
    pub version: Option<u64>,
    /// Whether it is about to switch to other weights.
    pub switching: bool,
    /// How many times slower than normal it is; 1 is normal.
    pub slowness: f64,
    /// Address of the target's agent; `None` if it has none.
    pub agent: Option<SocketAddr>,
    /// Until when this daemon must not send to it, as it asked with `Retry-After`;
    /// `None` if it did not.
    pub backoff_until: Option<Millis>,
    /// Rate bound while it is cold; `None` if its service has none.
    pub cold: Option<Arc<ColdTarget>>,
    /// Rate limit that the target advertised; `None` if it advertised none.
    pub limit: Option<Arc<LimitedTarget>>,
    /// Until when a send on the obtained grant, or on the reserved quota, may start;
    /// `None` if it was chosen without either.
    pub granted_until: Option<Millis>,
}

/// Requirements of a request on its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Requirements<'a> {
    /// Time of the choice.
    pub now: Millis,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetId],
    /// Minimum version of the weights.
    pub min_version: Option<u64>,
    /// Number of tokens in its prompt.
    pub prompt_tokens: u64,
    /// Time left until its first event is due, in milliseconds; `None` if an answer is
    /// useful at any time.
    pub first_event_within_ms: Option<u64>,
    /// Slots that must stay free at the target for other requests.
    pub reserved_slots: u32,
    /// Regions in which it may be served; `None` allows all.
    pub regions: Option<&'a AllowedRegions>,
}
