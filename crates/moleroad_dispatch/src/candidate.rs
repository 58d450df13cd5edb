//! A target that may get requests, and what a request asks of it.

use crate::cold::ColdTarget;
use crate::limit::LimitedTarget;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::{AllowedRegions, Millis, Region};
use std::net::SocketAddr;
use std::sync::Arc;

/// How far a target is from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data hall.
    SameHall,
    /// In another data hall of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// What another data hall of the region costs, in milliseconds: the way there and
/// back.
const SAME_REGION_COST_MS: f64 = 4.0;
/// What another region costs, in milliseconds: the way there and back, and the
/// price of the bytes that cross, as a time.
const OTHER_REGION_COST_MS: f64 = 15.0;

impl Distance {
    /// What the way costs, as a time in milliseconds.
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
    /// Requests it works on at once.
    pub slots: u32,
    /// Most requests this entry may have there at once.
    pub max_own: u32,
    /// Places there that belong to this entry when it is nearly full.
    pub share: u32,
    /// How far it is.
    pub distance: Distance,
    /// Region that it stands in.
    pub region: Region,
    /// Whether its data hall is evacuated, so that it gets no requests.
    pub evacuated: bool,
    /// Version of the weights that it holds whole; `None` for plain targets.
    pub version: Option<u64>,
    /// Whether it is about to change its weights.
    pub switching: bool,
    /// How much slower than usual it is; 1 is as usual.
    pub slowness: f64,
    /// Where the agent beside it answers; `None` without one.
    pub agent: Option<SocketAddr>,
    /// Until when it rests from this daemon; `None` when it does not.
    pub rests_until: Option<Millis>,
    /// The bound on it while it is cold; `None` where its service has none.
    pub cold: Option<Arc<ColdTarget>>,
    /// The limit that it named; `None` where it named none.
    pub limit: Option<Arc<LimitedTarget>>,
    /// Until when the grant holds on which the request is sent, or the part as
    /// which it was counted; `None` without.
    pub granted_until: Option<Millis>,
}

/// What a request asks of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Requirements<'a> {
    /// When it is chosen.
    pub now: Millis,
    /// Targets that it was sent to before.
    pub tried: &'a [TargetId],
    /// The least version of weights.
    pub least: Option<u64>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Time that is left for a first event, in milliseconds; `None` when late
    /// is better than never.
    pub first_event_within_ms: Option<u64>,
    /// Places that must stay free at the target for others.
    pub spare: u32,
    /// Regions in which it may be served; `None` allows all.
    pub regions: Option<&'a AllowedRegions>,
}
