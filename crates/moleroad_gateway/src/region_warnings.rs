//! Saying which regions a configuration names to no use.

use crate::settings::Settings;
use crate::view::View;
use moleroad_config::prelude::residency_warnings;
use moleroad_types::prelude::Region;

/// Lines for one configuration: enough to see what is wrong, however many routes
/// and accounts share the fault.
const MOST_LINES: usize = 8;

/// Logs what is doubtful about the regions of the configuration in force.
pub fn log(settings: &Settings, view: &View) {
    let Some(table) = &view.table else {
        return;
    };
    let regions = settings.regions.values();
    let known = regions.map(|region| Region::new(region.as_str())).collect();
    let warnings = residency_warnings(table, &known);
    for warning in warnings.iter().take(MOST_LINES) {
        log::warn!(
            event = "regions_doubtful",
            configuration = table.version().0,
            of = warnings.len() as u64;
            "{warning}"
        );
    }
}
