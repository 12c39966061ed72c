//! Metrics of the versions that began streams: callers that come back, and records of streams.

use prometheus::{IntCounter, IntCounterVec, IntGauge};

use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::stream_versions::StreamVersionCounts;
use crate::metrics::MetricSet;

/// Metrics of the versions that began streams.
#[derive(Debug)]
pub struct VersionMetrics {
    lookups: IntCounterVec,
    sent: IntCounter,
    forgotten: IntCounter,
    held: IntGauge,
}

impl VersionMetrics {
    pub(super) fn new(set: &MetricSet) -> Self {
        Self {
            lookups: set.counters(
                "stream_versions_total",
                "Callers that came back with a stream of a service that may have several versions, by how the version was known",
                "source",
            ),
            sent: set.counter(
                "stream_records_sent_total",
                "Records of the versions of streams that were sent to other boxes",
            ),
            forgotten: set.counter(
                "stream_records_forgotten_total",
                "Records of the versions of streams that were dropped for want of room",
            ),
            held: set.gauge(
                "stream_records",
                "Records of the versions of streams that this box has",
            ),
        }
    }

    pub(super) fn on_record(&self, record: &Record) {
        if let Record::StreamVersion { source, .. } = record {
            self.lookups.with_label_values(&[source]).inc();
        }
    }

    /// Adds to the counts of records.
    pub fn on_counts(&self, counts: StreamVersionCounts) {
        self.sent.inc_by(counts.sent);
        self.forgotten.inc_by(counts.forgotten);
        self.held
            .set(i64::try_from(counts.held).unwrap_or(i64::MAX));
    }
}
