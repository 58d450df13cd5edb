//! Warnings about regions in a configuration that have no effect.

use crate::settings::Settings;
use crate::view::View;
use moleroad_config::prelude::residency_warnings;
use moleroad_types::prelude::Region;

/// Maximum number of warnings per configuration: enough to identify the fault, however
/// many routes and accounts share it.
const MAX_WARNINGS: usize = 8;

/// Logs warnings about the regions of the current configuration.
pub fn log(settings: &Settings, view: &View) {
    let Some(table) = &view.table else {
        return;
    };
    let regions = settings.regions.values();
    let known = regions.map(|region| Region::new(region.as_str())).collect();
    let warnings = residency_warnings(table, &known);
    for warning in warnings.iter().take(MAX_WARNINGS) {
        log::warn!(
            event = "regions_doubtful",
            configuration = table.version().0,
            of = warnings.len() as u64;
            "{warning}"
        );
    }
}
