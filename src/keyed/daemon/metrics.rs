//! Metrics by `prometheus`: counts of the node, and what the shell itself measures.

use std::sync::Mutex;

use prometheus::{Histogram, IntCounter, IntGauge};

use crate::keyed::node::Holds;
use crate::keyed::node::stats::Stats;
use crate::metrics::MetricSet;

/// Upper bounds of the buckets for steps of the control thread and first replies, in seconds.
const STEP_AND_REPLY_BUCKETS: [f64; 12] = [
    0.000_01, 0.000_1, 0.001, 0.005, 0.02, 0.06, 0.15, 0.35, 1.0, 3.0, 10.0, 60.0,
];

/// All metrics of a daemon.
pub struct Metrics {
    set: MetricSet,
    node: Mutex<Vec<IntCounter>>,
    held: Vec<IntGauge>,
    bundle_version: IntGauge,
    epoch: IntGauge,
    /// Seconds that the control thread spends on one event.
    pub step_seconds: Histogram,
    /// Seconds from a caller's request to the first part of its answer.
    pub first_reply_seconds: Histogram,
    /// Bytes that came from other boxes.
    pub peer_bytes_in: IntCounter,
    /// Bytes that went to other boxes.
    pub peer_bytes_out: IntCounter,
    /// Messages of other boxes that could not be read.
    pub peer_garbled: IntCounter,
    /// Bytes that came from the platform.
    pub platform_bytes_in: IntCounter,
    /// Callers that were cut off because they read too slowly.
    pub slow_callers: IntCounter,
}

/// The gauges of what a node holds, with their help texts.
const HELD: [(&str, &str); 6] = [
    ("answers", "Answers that are held"),
    ("calls", "Calls that are going on"),
    ("call_records", "Records of calls"),
    ("tokens", "Tokens that are held"),
    ("waiting", "Requests that wait for an endpoint"),
    ("callers", "Callers that wait"),
];

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    ///
    /// If two metrics have the same name, which is a mistake in this program.
    #[must_use]
    pub fn new() -> Self {
        let set = MetricSet::new("magpiemoor");
        let times = |name: &str, help: &str| set.times(name, help, &STEP_AND_REPLY_BUCKETS);
        let node = Stats::default()
            .list()
            .iter()
            .map(|(name, help, _)| set.counter(&format!("{name}_total"), help.trim()))
            .collect();
        Self {
            node: Mutex::new(node),
            held: HELD
                .iter()
                .map(|(name, help)| set.gauge(&format!("held_{name}"), help))
                .collect(),
            bundle_version: set.gauge("bundle_version", "Version of the bundle in force"),
            epoch: set.gauge("epoch", "Epoch of the failure domain's roster"),
            step_seconds: times(
                "step_seconds",
                "Seconds that the control thread spends on an event",
            ),
            first_reply_seconds: times(
                "first_reply_seconds",
                "Seconds to the first part of an answer",
            ),
            peer_bytes_in: set.counter("peer_bytes_in_total", "Bytes from other boxes"),
            peer_bytes_out: set.counter("peer_bytes_out_total", "Bytes to other boxes"),
            peer_garbled: set.counter(
                "peer_garbled_total",
                "Messages of other boxes that could not be read",
            ),
            platform_bytes_in: set.counter("platform_bytes_in_total", "Bytes from the platform"),
            slow_callers: set.counter(
                "slow_callers_total",
                "Callers cut off for reading too slowly",
            ),
            set,
        }
    }

    /// Takes over the counts of the node.
    pub fn update(&self, stats: &Stats, holds: &Holds, bundle_version: u64, epoch: u64) {
        let node = self
            .node
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for (counter, (_, _, count)) in node.iter().zip(stats.list()) {
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        let held = [
            holds.answers,
            holds.calls,
            holds.call_records,
            holds.tokens,
            holds.waiting,
            holds.callers,
        ];
        for (gauge, value) in self.held.iter().zip(held) {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        self.bundle_version
            .set(i64::try_from(bundle_version).unwrap_or(i64::MAX));
        self.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
    }

    /// All of them, to be written out.
    #[must_use]
    pub fn set(&self) -> &MetricSet {
        &self.set
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
