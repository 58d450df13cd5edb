//! Faults that are injected during the transfer.

use crate::args::Args;
use moleroad_fakes::deployment::generate_weights;
use moleroad_fakes::prelude::*;
use moleroad_fakes::process::Signal;
use moleroad_types::prelude::*;
use serde::Serialize;
use std::error::Error;
use std::str::FromStr;
use std::thread;
use std::time::Duration;

/// One in this many agents is hit by the fault.
const FAULT_STRIDE: usize = 10;
/// Time for which a killed or frozen agent is down.
const DOWNTIME: Duration = Duration::from_millis(1_500);

/// A fault during the transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    None,
    /// A tenth of the agents are killed during the transfer and restarted.
    Kill,
    /// A tenth of the agents are suspended during the transfer with their connections
    /// open.
    Stall,
    /// Every tenth response of the origin has a flipped bit.
    Corrupt,
    /// Another version is published during the transfer.
    Republish,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "kill" => Ok(Self::Kill),
            "stall" => Ok(Self::Stall),
            "corrupt" => Ok(Self::Corrupt),
            "republish" => Ok(Self::Republish),
            _ => Err("expected none, kill, stall, corrupt or republish".into()),
        }
    }
}

/// Injects the fault during the transfer; returns the root if another version was
/// published.
pub fn inject(
    args: &Args,
    deployment: &mut Deployment,
    bound: Duration,
    weights_bytes: usize,
) -> Result<Option<RootDigest>, Box<dyn Error>> {
    let faulty: Vec<String> = (0..args.replicas)
        .step_by(FAULT_STRIDE)
        .map(|position| format!("engine-{position}"))
        .collect();
    match args.fault {
        Fault::None | Fault::Corrupt => {}
        Fault::Kill => {
            thread::sleep(bound / 2);
            faulty
                .iter()
                .for_each(|name| deployment.process(name).kill());
            thread::sleep(DOWNTIME);
            for name in &faulty {
                deployment.process(name).restart()?;
            }
        }
        Fault::Stall => {
            thread::sleep(bound / 2);
            faulty
                .iter()
                .for_each(|name| deployment.process(name).signal(Signal::Stop));
            thread::sleep(DOWNTIME);
            faulty
                .iter()
                .for_each(|name| deployment.process(name).signal(Signal::Continue));
        }
        Fault::Republish => {
            thread::sleep(bound / 2);
            let content = generate_weights(2, weights_bytes);
            return Ok(Some(deployment.publish(
                "pallets",
                "notes",
                "v2",
                &content,
                args.chunk_kib << 10,
            )?));
        }
    }
    Ok(None)
}
