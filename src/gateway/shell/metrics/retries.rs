//! Metrics of retries, of what is left of their budget, and of endpoints that have to name themselves
//! before they get a request.

use prometheus::{IntCounterVec, IntGauge, IntGaugeVec};

use crate::gateway::dispatch::record::Record;
use crate::metrics::MetricSet;
use crate::schema::ServiceId;

/// Metrics of retries and of unverified endpoints.
#[derive(Debug)]
pub(super) struct RetryMetrics {
    retries: IntCounterVec,
    budget_left: IntGaugeVec,
    unverified: IntGauge,
}

impl RetryMetrics {
    pub fn new(set: &MetricSet) -> Self {
        Self {
            retries: set.counters_by(
                "retries_total",
                "Retries, by service, by how the attempt before ended, and by whether the budget granted them",
                &["service", "cause", "result"],
            ),
            budget_left: set.gauges(
                "retry_budget_left",
                "Retries that the failure domain may still make now, by service",
                "service",
            ),
            unverified: set.gauge(
                "endpoints_unverified",
                "Endpoints whose process may have been replaced, as this box knows",
            ),
        }
    }

    pub fn on_record(&self, record: &Record) {
        if let Record::Retry {
            service,
            cause,
            result,
            ..
        } = record
        {
            let labels = [service.as_str(), cause, result];
            self.retries.with_label_values(&labels).inc();
        }
    }

    pub fn on_state(&self, unverified: usize, budgets: &[(ServiceId, f64)]) {
        self.unverified
            .set(i64::try_from(unverified).unwrap_or(i64::MAX));
        for (service, left) in budgets {
            self.budget_left
                .with_label_values(&[service.as_str()])
                .set(*left as i64);
        }
    }
}
