//! Counters and latencies of one process.

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, Opts, Registry, TextEncoder};

/// Bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0];

/// Counters and latencies of one process.
pub struct Metrics {
    registry: Registry,
    /// Requests by route name and outcome.
    pub requests: IntCounterVec,
    /// Requests by whether regions are restricted for them and by outcome.
    pub residency: IntCounterVec,
    /// Sends to targets by service and outcome.
    pub sends: IntCounterVec,
    /// Events by name: reconnects, resumptions, rejected bytes and the like.
    pub events: IntCounterVec,
    /// Time to the first byte of an answer, in seconds.
    pub first_byte_s: Histogram,
    /// Time that requests waited for a place, in seconds.
    pub wait_s: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("a sound metric")
        };
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            Histogram::with_opts(options).expect("a sound metric")
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
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let all: [Box<dyn prometheus::core::Collector>; 6] = [
            Box::new(self.requests.clone()),
            Box::new(self.residency.clone()),
            Box::new(self.sends.clone()),
            Box::new(self.events.clone()),
            Box::new(self.first_byte_s.clone()),
            Box::new(self.wait_s.clone()),
        ];
        for collector in all {
            self.registry.register(collector).expect("a new name");
        }
    }

    /// Counts an event.
    pub fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// All figures as text.
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
