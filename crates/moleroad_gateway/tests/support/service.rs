//! Service configuration for tests.

use moleroad_config::prelude::Service;

/// Returns the service `plain`, whose targets are not engines.
pub fn plain_service() -> Service {
    Service {
        name: "plain".into(),
        max_connections: 0,
        health_path: None,
        models: Vec::new(),
        slots: 0,
        steps: None,
        origin: None,
        hall: None,
        cold_start: None,
    }
}
