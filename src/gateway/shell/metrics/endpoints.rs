//! Metrics of endpoints: what they ask of their callers, restarts, crashes and speeds.

use prometheus::{IntCounter, IntCounterVec, IntGauge};

use crate::gateway::dispatch::permits::PermitCounts;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::slots::LeaseCounts;
use crate::metrics::MetricSet;

/// Metrics of endpoints: stated limits, permits, restarts and crashes.
#[derive(Debug)]
pub(super) struct EndpointMetrics {
    stating_limit: IntGauge,
    resting: IntGauge,
    stating_leaving: IntGauge,
    pub(super) of_other_speed: IntGauge,
    permits: IntCounterVec,
    bounding_rejections: IntGauge,
    leases: IntCounterVec,
    restarted: IntCounter,
    crashes: IntCounter,
    quarantined: IntCounter,
}

impl EndpointMetrics {
    pub(super) fn new(set: &MetricSet) -> Self {
        Self {
            stating_limit: set.gauge(
                "endpoints_limited",
                "Endpoints that name a limit of requests a second, as this box knows",
            ),
            resting: set.gauge(
                "endpoints_resting",
                "Endpoints that want no request from this box for a while",
            ),
            stating_leaving: set.gauge(
                "endpoints_stating_leaving",
                "Endpoints that said in an answer that they are leaving, as this box knows",
            ),
            of_other_speed: set.gauge(
                "engines_of_other_speed",
                "Engines whose learned prefill rate differs from the median of their service",
            ),
            permits: set.counters(
                "permits_total",
                "Permits for endpoints that name a limit: dealt by this box, used by it, or wanted when it had none",
                "kind",
            ),
            bounding_rejections: set.gauge(
                "services_bounding_rejections",
                "Services whose endpoints state how many rejections they bear, as this box knows",
            ),
            leases: set.counters(
                "slot_leases_total",
                "Leases of slots of such endpoints: granted by this box, used by it, or rejected by the endpoint",
                "kind",
            ),
            crashes: set.counter(
                "crashes_total",
                "Endpoints that ended under a request of this box.",
            ),
            quarantined: set.counter(
                "quarantined_total",
                "Requests that were quarantined, by this box or another.",
            ),
            restarted: set.counter("reborn_total", "Endpoints that started again under their id"),
        }
    }

    pub(super) fn on_record(&self, record: &Record) {
        match record {
            Record::Reborn { .. } => self.restarted.inc(),
            Record::Crashed { .. } => self.crashes.inc(),
            Record::Quarantined { .. } => self.quarantined.inc(),
            _ => {}
        }
    }

    pub(super) fn on_directives(&self, resting: usize, leaving: usize) {
        let gauge = |endpoints| i64::try_from(endpoints).unwrap_or(i64::MAX);
        self.resting.set(gauge(resting));
        self.stating_leaving.set(gauge(leaving));
    }

    pub(super) fn on_leases(&self, bounding: usize, leases: LeaseCounts) {
        let bounding = i64::try_from(bounding).unwrap_or(i64::MAX);
        self.bounding_rejections.set(bounding);
        let kinds = [
            ("granted", leases.granted),
            ("used", leases.used),
            ("rejected", leases.rejected),
        ];
        for (kind, count) in kinds {
            self.leases.with_label_values(&[kind]).inc_by(count);
        }
    }

    pub(super) fn on_limits(&self, limited: usize, permits: PermitCounts) {
        let stating_limit = i64::try_from(limited).unwrap_or(i64::MAX);
        self.stating_limit.set(stating_limit);
        let kinds = [
            ("dealt", permits.allocated),
            ("used", permits.used),
            ("wanted", permits.wanted),
        ];
        for (kind, count) in kinds {
            self.permits.with_label_values(&[kind]).inc_by(count);
        }
    }
}
