//! Metrics of relayed attempts: paths that this box has lost, and tunnels for other boxes.

use prometheus::{IntCounter, IntCounterVec, IntGauge};

use crate::gateway::dispatch::record::Record;
use crate::metrics::MetricSet;

/// Metrics of relayed attempts.
#[derive(Debug)]
pub struct RelayMetrics {
    /// Number of services to whose endpoints this box has lost its direct path.
    pub lost_paths: IntGauge,
    /// Number of tunnels that this box forwards for others.
    pub open: IntGauge,
    /// Requests of other boxes for tunnels, by reply.
    pub requests: IntCounterVec,
    attempts: IntCounter,
}

impl RelayMetrics {
    pub(super) fn new(set: &MetricSet) -> Self {
        Self {
            lost_paths: set.gauge(
                "paths_lost",
                "Services to whose endpoints this box has lost its direct path",
            ),
            open: set.gauge(
                "tunnels_open",
                "Tunnels to endpoints that this box forwards for others",
            ),
            requests: set.counters(
                "tunnel_requests_total",
                "Requests of other boxes for tunnels, by reply",
                "reply",
            ),
            attempts: set.counter(
                "relayed_attempts_total",
                "Attempts of this box that went through another box",
            ),
        }
    }

    pub(super) fn on_record(&self, record: &Record) {
        if let Record::Relayed { .. } = record {
            self.attempts.inc();
        }
    }
}
