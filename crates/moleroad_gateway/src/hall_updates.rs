//! Application of hall updates, with logs and metrics.

use crate::halls::{HallChange, HallUpdate, HallUpdates, UpdateSource};
use crate::node::Node;
use crate::places::PlaceRequest;

impl Node {
    /// Merges the states of halls; returns true if anything changed. Requests follow
    /// the new state from then on.
    pub fn apply_hall_updates(&self, updates: &HallUpdates, source: UpdateSource) -> bool {
        let now = self.clock.now();
        let changes = {
            let mut view = self.view();
            let changes = view.merge_halls(now, updates);
            if changes.is_empty() {
                return false;
            }
            view.refresh_candidates(now, &self.settings);
            self.metrics.set_hall_gauges(&view.state.evacuations);
            changes
        };
        for change in &changes {
            self.report_hall_change(change, source);
        }
        self.serve_waiting();
        true
    }

    fn report_hall_change(&self, change: &HallChange, source: UpdateSource) {
        let HallUpdate { state, age_ms } = change.update;
        let hall = change.hall.as_str();
        log::info!(
            event = "hall_in_force",
            hall = hall,
            evacuated = state.evacuated,
            revision = state.revision.0,
            source:? = source,
            age_ms = age_ms,
            kept_away = change.diverted;
            ""
        );
        // A process cannot learn of a change before its own start.
        let late_ms = age_ms.min(self.clock.now().since(self.started_at));
        self.metrics
            .hall_update_age_s
            .observe(late_ms as f64 / 1_000.0);
        if late_ms > self.settings.bounds.evacuate_ms {
            log::warn!(event = "hall_news_late", hall = hall, late_ms = late_ms; "");
        }
    }

    /// Counts a request that may not go to targets of evacuated halls. The first
    /// diverted request of each hall is logged; their number is logged when the hall is
    /// restored.
    pub fn count_diversions(&self, request: &PlaceRequest) {
        let now = self.clock.now();
        let diversions = {
            let mut view = self.view();
            let min_version = self.min_version(&view, &request.service);
            view.count_diversions(&request.service, request.needs(now, min_version))
        };
        for hall in &diversions.halls {
            self.metrics
                .diverted_requests
                .with_label_values(&[hall])
                .inc();
        }
        let service = request.service.as_str();
        for hall in &diversions.first {
            let hall = hall.as_str();
            log::info!(event = "hall_keeps_requests_away", hall = hall, service = service; "");
        }
    }
}
