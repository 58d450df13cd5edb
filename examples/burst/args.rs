//! Options of the measurement.

use crate::fault::Fault;
use bpaf::Bpaf;
use moleroad_settings::settings::{ObjectiveSetting, PlanSetting};
use std::path::PathBuf;
use std::str::FromStr;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
/// Distributes a model to many instances and compares the time with the lower bound.
pub struct Args {
    /// Number of instances that serve the model
    #[bpaf(argument("N"), fallback(12), display_fallback)]
    pub replicas: usize,
    /// origin_only, tree or swarm
    #[bpaf(argument::<Plan>("PLAN"), fallback(Plan(PlanSetting::Swarm)))]
    pub plan: Plan,
    /// time or origin_bytes
    #[bpaf(argument::<Objective>("OBJECTIVE"), fallback(Objective(ObjectiveSetting::Time)))]
    pub objective: Objective,
    /// none, kill, stall, corrupt or republish
    #[bpaf(argument::<Fault>("FAULT"), fallback(Fault::None))]
    pub fault: Fault,
    /// Size of the model in KiB
    #[bpaf(argument("KIB"), fallback(8 << 10), display_fallback)]
    pub weights_kib: usize,
    /// Size of a chunk in KiB
    #[bpaf(argument("KIB"), fallback(64), display_fallback)]
    pub chunk_kib: u32,
    /// Rate of an instance's link in KiB per second; the origin's link has twice that
    /// rate
    #[bpaf(argument("KIB"), fallback(512), display_fallback)]
    pub link_kib: u64,
    /// Write the events of the burst to this file, one JSON object per line
    #[bpaf(argument("FILE"))]
    pub timeline: Option<PathBuf>,
    /// Also run the other plans
    pub baselines: bool,
    /// Print one JSON object and nothing else
    pub json: bool,
}

/// A distribution plan as named on the command line.
#[derive(Clone, Copy, Debug)]
pub struct Plan(pub PlanSetting);

impl FromStr for Plan {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "origin_only" => Ok(Self(PlanSetting::OriginOnly)),
            "tree" => Ok(Self(PlanSetting::Tree)),
            "swarm" => Ok(Self(PlanSetting::Swarm)),
            _ => Err("expected origin_only, tree or swarm".into()),
        }
    }
}

/// An objective as named on the command line.
#[derive(Clone, Copy, Debug)]
pub struct Objective(pub ObjectiveSetting);

impl FromStr for Objective {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "time" => Ok(Self(ObjectiveSetting::Time)),
            "origin_bytes" => Ok(Self(ObjectiveSetting::OriginBytes)),
            _ => Err("expected time or origin_bytes".into()),
        }
    }
}
