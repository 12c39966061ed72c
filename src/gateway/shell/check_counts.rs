//! Counts of the checks of endpoints: a metric by reason, and a record for each second in which
//! there were any.

use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::{IntCounter, IntCounterVec};

use crate::gateway::dispatch::checks::CheckReason;
use crate::gateway::dispatch::record::Record;
use crate::metrics::MetricSet;
use crate::schema::Micros;

/// Time between two records.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The counters of checks by reason.
#[derive(Debug)]
pub struct CheckCounters {
    by_reason: IntCounterVec,
}

impl CheckCounters {
    /// Registers the counters, so that each reason is exported from the start.
    #[must_use]
    pub fn new(set: &MetricSet) -> Self {
        let by_reason = set.counters(
            "endpoint_checks_total",
            "Requests and connections to endpoints that are not a caller's request, by reason",
            "reason",
        );
        for reason in CheckReason::ALL {
            let _ = by_reason.with_label_values(&[reason.word()]);
        }
        Self { by_reason }
    }

    /// The counter of a reason.
    #[must_use]
    pub fn of(&self, reason: CheckReason) -> IntCounter {
        self.by_reason.with_label_values(&[reason.word()])
    }
}

/// The counts that are in the decision log already.
#[derive(Debug, Default)]
pub struct CheckLog {
    recorded: BTreeMap<CheckReason, u64>,
    next: Micros,
}

impl CheckLog {
    /// Returns a record of the checks since the last record, if there were any and the last record
    /// is at least a second old.
    pub fn due_record(&mut self, counters: &CheckCounters, now: Micros) -> Option<Record> {
        if now < self.next {
            return None;
        }
        self.next = now.after(RECORD_INTERVAL);
        self.record(counters)
    }

    /// Returns a record of the checks since the last record, if there were any.
    pub fn record(&mut self, counters: &CheckCounters) -> Option<Record> {
        let mut counts = BTreeMap::new();
        for reason in CheckReason::ALL {
            let total = counters.of(reason).get();
            let recorded = self.recorded.insert(reason, total).unwrap_or(0);
            if total > recorded {
                counts.insert(reason.word().to_owned(), total - recorded);
            }
        }
        (!counts.is_empty()).then_some(Record::Checks { counts })
    }
}
