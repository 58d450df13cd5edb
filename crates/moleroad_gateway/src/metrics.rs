//! Prometheus metrics of one process.

use crate::counted_stream::PeerBytes;
use crate::evacuations::Evacuations;
use moleroad_directory::prelude::{Directory, DirectoryDelta};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Metrics of one process and their registry.
pub struct Metrics {
    registry: Registry,
    /// Requests by HTTP status.
    pub requests: IntCounterVec,
    /// Requests by outcome and by whether their regions are restricted.
    pub residency: IntCounterVec,
    /// Sends to targets by outcome.
    pub sends: IntCounterVec,
    /// Events by name, such as reconnects, stream resumptions and rejected bytes.
    pub events: IntCounterVec,
    /// Time to the first byte of an answer, in seconds.
    pub first_byte_s: Histogram,
    /// Time from the arrival of a request to its first slot at a target, in seconds.
    pub wait_s: Histogram,
    /// Number of evacuated data halls.
    pub halls_evacuated: IntGauge,
    /// Revision of each data hall that was ever evacuated.
    pub hall_revision: IntGaugeVec,
    /// Age of an update about a data hall when it arrived here, in seconds.
    pub hall_update_age_s: Histogram,
    /// Requests that were not sent to a data hall because it is evacuated, by hall.
    pub diverted_requests: IntCounterVec,
    /// Gossip exchanges with other daemons, by kind of peer asked and outcome.
    pub greetings: IntCounterVec,
    /// Records sent to or received from other daemons, by direction and kind.
    pub exchanged_records: IntCounterVec,
    /// Records held by this daemon, by kind.
    pub records: IntGaugeVec,
    peer_bytes: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("the metric options are valid")
        };
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            Histogram::with_opts(options).expect("the metric options are valid")
        };
        let metrics = Self {
            registry: Registry::new(),
            requests: counters("moleroad_requests_total", "Requests by status", &["status"]),
            residency: counters(
                "moleroad_residency_requests_total",
                "Requests by restriction of their regions and outcome",
                &["regions", "outcome"],
            ),
            sends: counters(
                "moleroad_sends_total",
                "Sends to targets by outcome",
                &["outcome"],
            ),
            events: counters("moleroad_events_total", "Events by name", &["event"]),
            first_byte_s: latency("moleroad_first_byte_seconds", "Time to the first byte"),
            wait_s: latency("moleroad_wait_seconds", "Time waited for a place"),
            halls_evacuated: IntGauge::new("moleroad_halls_evacuated", "Data halls evacuated")
                .expect("the metric options are valid"),
            hall_revision: IntGaugeVec::new(
                Opts::new("moleroad_hall_revision", "Changes of a data hall"),
                &["hall"],
            )
            .expect("the metric options are valid"),
            hall_update_age_s: latency("moleroad_hall_news_seconds", "Age of news of a data hall"),
            diverted_requests: counters(
                "moleroad_kept_away_total",
                "Requests kept away from evacuated data halls",
                &["hall"],
            ),
            greetings: counters(
                "moleroad_greetings_total",
                "Greetings of other daemons by what was asked and outcome",
                &["asked", "outcome"],
            ),
            exchanged_records: counters(
                "moleroad_told_records_total",
                "Records told to other daemons and heard from them",
                &["direction", "kind"],
            ),
            records: IntGaugeVec::new(
                Opts::new("moleroad_records", "Records of daemons and targets held"),
                &["kind"],
            )
            .expect("the metric options are valid"),
            peer_bytes: counters(
                "moleroad_peer_bytes_total",
                "Bytes between this daemon and others",
                &["direction"],
            ),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let all: [Box<dyn prometheus::core::Collector>; 14] = [
            Box::new(self.requests.clone()),
            Box::new(self.residency.clone()),
            Box::new(self.sends.clone()),
            Box::new(self.events.clone()),
            Box::new(self.first_byte_s.clone()),
            Box::new(self.wait_s.clone()),
            Box::new(self.halls_evacuated.clone()),
            Box::new(self.hall_revision.clone()),
            Box::new(self.hall_update_age_s.clone()),
            Box::new(self.diverted_requests.clone()),
            Box::new(self.greetings.clone()),
            Box::new(self.exchanged_records.clone()),
            Box::new(self.records.clone()),
            Box::new(self.peer_bytes.clone()),
        ];
        for collector in all {
            self.registry
                .register(collector)
                .expect("metric names are unique");
        }
    }

    /// Counts an event.
    pub fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Returns the counters for bytes exchanged with other daemons.
    pub fn peer_bytes(&self) -> PeerBytes {
        let counter = |direction| self.peer_bytes.with_label_values(&[direction]);
        PeerBytes {
            sent: counter("sent"),
            received: counter("received"),
        }
    }

    /// Counts the records of an answer; `direction` is `sent` or `received`.
    pub fn count_exchanged_records(&self, direction: &str, delta: &DirectoryDelta) {
        for (kind, count) in [
            ("daemon", delta.daemons.len()),
            ("load", delta.loads.len()),
            ("target", delta.targets.len()),
        ] {
            let counter = self.exchanged_records.with_label_values(&[direction, kind]);
            counter.inc_by(count as u64);
        }
    }

    /// Sets the gauges for the number of records that this daemon holds.
    pub fn set_record_gauges(&self, directory: &Directory) {
        for (kind, count) in [
            ("daemon", directory.daemon_count()),
            ("target", directory.target_count()),
        ] {
            self.records.with_label_values(&[kind]).set(count as i64);
        }
    }

    /// Sets the gauges for evacuated data halls and their revisions.
    pub fn set_hall_gauges(&self, evacuations: &Evacuations) {
        let evacuated = evacuations.iter().filter(|(_, state)| state.evacuated);
        self.halls_evacuated.set(evacuated.count() as i64);
        for (hall, state) in evacuations.iter() {
            let revision = self.hall_revision.with_label_values(&[hall]);
            revision.set(state.revision.0 as i64);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        let dropped = crate::logging::dropped_lines();
        text.extend_from_slice(
            format!("# TYPE moleroad_log_lines_dropped_total counter\nmoleroad_log_lines_dropped_total {dropped}\n").as_bytes(),
        );
        text
    }
}
