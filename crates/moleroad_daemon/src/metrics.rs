//! Prometheus metrics of one process.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// All metrics of the process. Units are in the names.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Bytes of chunks drawn, by `source` (`origin` or `peer`).
    pub chunk_bytes_fetched: IntCounterVec,
    /// Bytes of chunks sent to peers.
    pub chunk_bytes_sent: IntCounter,
    /// Chunks that arrived with wrong bytes.
    pub chunks_corrupt: IntCounter,
    /// Requests that ended, by `code` (`ok` or a result code).
    pub requests: IntCounterVec,
    /// Requests in flight.
    pub requests_in_flight: IntGauge,
    /// Second tries of requests.
    pub retries: IntCounter,
    /// Revision in force.
    pub revision: IntGauge,
    /// 1 while this process leads the control members.
    pub leads: IntGauge,
    /// Syncs of the log file.
    pub log_syncs: IntCounter,
    /// Orders refused because they came from a deposed leader.
    pub orders_refused: IntCounter,
}

impl Metrics {
    /// A registry with all metrics at zero.
    ///
    /// # Panics
    /// Never: names are constant and distinct.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect("valid name");
            registry
                .register(Box::new(metric.clone()))
                .expect("distinct name");
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("valid name");
            registry
                .register(Box::new(metric.clone()))
                .expect("distinct name");
            metric
        };
        let vector = |name: &str, help: &str, label: &str| {
            let metric = IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid name");
            registry
                .register(Box::new(metric.clone()))
                .expect("distinct name");
            metric
        };
        Self {
            chunk_bytes_fetched: vector(
                "moleroad_chunk_fetched_bytes_total",
                "Bytes of chunks drawn",
                "source",
            ),
            chunk_bytes_sent: counter(
                "moleroad_chunk_sent_bytes_total",
                "Bytes of chunks sent to peers",
            ),
            chunks_corrupt: counter("moleroad_chunks_corrupt_total", "Chunks with wrong bytes"),
            requests: vector("moleroad_requests_total", "Requests that ended", "code"),
            requests_in_flight: gauge("moleroad_requests_in_flight", "Requests in flight"),
            retries: counter("moleroad_request_retries_total", "Second tries of requests"),
            revision: gauge("moleroad_revision", "Revision in force"),
            leads: gauge(
                "moleroad_leads",
                "1 while this process leads the control members",
            ),
            log_syncs: counter("moleroad_log_syncs_total", "Syncs of the log file"),
            orders_refused: counter("moleroad_orders_refused_total", "Orders of deposed leaders"),
            registry,
        }
    }

    /// All metrics in the text format.
    pub fn to_text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
