//! News of halls, put to use and told to whoever runs the system.

use crate::halls::{HallChange, HallUpdate, HallUpdates, Source};
use crate::node::Node;
use crate::places::Ask;

impl Node {
    /// Learns of evacuated halls; true if anything was news. Requests go by it
    /// from then on.
    pub fn take_halls(&self, news: &HallUpdates, source: Source) -> bool {
        let now = self.clock.now();
        let changes = {
            let mut view = self.view();
            let changes = view.learn_halls(now, news);
            if changes.is_empty() {
                return false;
            }
            view.refresh_candidates(now, &self.settings);
            self.metrics.set_hall_gauges(&view.state.evacuations);
            changes
        };
        for change in &changes {
            self.note_hall_change(change, source);
        }
        self.serve_waiting();
        true
    }

    fn note_hall_change(&self, change: &HallChange, source: Source) {
        let HallUpdate { state, age_ms } = change.news;
        let hall = change.hall.as_str();
        log::info!(
            event = "hall_in_force",
            hall = hall,
            evacuated = state.evacuated,
            revision = state.revision.0,
            source:? = source,
            age_ms = age_ms,
            kept_away = change.kept_away;
            ""
        );
        // Before its start a process could not know.
        let late_ms = age_ms.min(self.clock.now().since(self.began_at));
        self.metrics
            .hall_update_age_s
            .observe(late_ms as f64 / 1_000.0);
        if late_ms > self.settings.bounds.evacuate_ms {
            log::warn!(event = "hall_news_late", hall = hall, late_ms = late_ms; "");
        }
    }

    /// Counts a request that may not go to targets of evacuated halls; the first
    /// of each hall is logged, and how many there were when it is taken back.
    pub fn count_diversions(&self, ask: &Ask) {
        let now = self.clock.now();
        let kept_away = {
            let mut view = self.view();
            let least = self.least_version(&view, &ask.service);
            view.count_diversions(&ask.service, ask.needs(now, least))
        };
        for hall in &kept_away.halls {
            self.metrics.kept_away.with_label_values(&[hall]).inc();
        }
        let service = ask.service.as_str();
        for hall in &kept_away.first {
            let hall = hall.as_str();
            log::info!(event = "hall_keeps_requests_away", hall = hall, service = service; "");
        }
    }
}
