//! What a deployment consists of.

use moleroad_settings::settings::{ObjectiveSetting, PlanSetting, RoutingPolicySetting};
use std::time::Duration;

/// A data hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallShape {
    /// Name of the data hall.
    pub data_hall: &'static str,
    /// Region it is in.
    pub region: &'static str,
}

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct DeploymentShape {
    /// Data halls; instances are spread over them in turn.
    pub halls: Vec<HallShape>,
    /// Entry instances.
    pub entries: usize,
    /// How many of the entries are control members.
    pub control_members: usize,
    /// Model engines, each with its agent.
    pub engines: usize,
    /// Whether the engines run as threads of the harness, to save processes.
    pub engines_in_harness: bool,
    /// Plain services by name, with the number of instances of each.
    pub services: Vec<(&'static str, usize)>,
    /// Rate of an instance's link, each way.
    pub link_bytes_per_second: u64,
    /// Rate of the origin's link.
    pub origin_bytes_per_second: u64,
    /// What matters more under faults.
    pub objective: ObjectiveSetting,
    /// How weights spread.
    pub plan: PlanSetting,
    /// How long lost holders are waited for under `origin_bytes`.
    pub holder_wait_ms: u64,
    /// Time an engine takes for a token.
    pub token_time: Duration,
    /// Requests that an engine runs at a time; the others wait in it.
    pub engine_slots: usize,
    /// Requests that an agent lets its target have at a time.
    pub target_places: usize,
    /// How entries choose targets.
    pub routing_policy: RoutingPolicySetting,
    /// Time a plain service takes for an answer.
    pub service_time: Duration,
    /// How long callers may keep the answer about entries.
    pub entries_keep_ms: u64,
    /// Log entries after which a control member takes a snapshot.
    pub snapshot_entries: usize,
    /// Silence after which a lost control member is replaced.
    pub repair_after_ms: u64,
}

impl DeploymentShape {
    /// The pallet network of the brief, with small and slow weights.
    pub fn pallet_network() -> Self {
        Self {
            halls: vec![
                HallShape {
                    data_hall: "cardiff-hall",
                    region: "south-wales",
                },
                HallShape {
                    data_hall: "wrexham-hall",
                    region: "north-wales",
                },
                HallShape {
                    data_hall: "hub-hall",
                    region: "midlands-hub",
                },
            ],
            entries: 3,
            control_members: 3,
            engines: 12,
            engines_in_harness: false,
            services: vec![("depot-api", 3), ("member-portal", 1)],
            link_bytes_per_second: 1 << 20,
            origin_bytes_per_second: 2 << 20,
            objective: ObjectiveSetting::Time,
            plan: PlanSetting::Swarm,
            holder_wait_ms: 3_000,
            token_time: Duration::from_millis(5),
            engine_slots: 32,
            target_places: 32,
            routing_policy: RoutingPolicySetting::ExpectedWork,
            service_time: Duration::from_millis(1),
            entries_keep_ms: 1_000,
            snapshot_entries: 1_000,
            repair_after_ms: 10_000,
        }
    }

    /// The foundation of the brief, which weighs origin bytes more.
    pub fn foundation() -> Self {
        Self {
            halls: vec![
                HallShape {
                    data_hall: "poa-sala-a",
                    region: "sul-poa",
                },
                HallShape {
                    data_hall: "flo-sala-a",
                    region: "sul-flo",
                },
                HallShape {
                    data_hall: "cwb-sala-a",
                    region: "sul-cwb",
                },
            ],
            services: vec![("painel-docente", 3), ("acervo-geral", 1)],
            objective: ObjectiveSetting::OriginBytes,
            ..Self::pallet_network()
        }
    }

    /// A small deployment for tests of failures.
    pub fn small() -> Self {
        Self {
            engines: 3,
            services: vec![("depot-api", 2)],
            link_bytes_per_second: 4 << 20,
            origin_bytes_per_second: 8 << 20,
            ..Self::pallet_network()
        }
    }
}
