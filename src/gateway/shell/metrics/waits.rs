//! Metrics of requests that wait for room at an engine, by tier. Without tiers all count as the first.

use std::collections::BTreeMap;

use prometheus::{CounterVec, IntCounterVec, IntGaugeVec};

use super::seconds;
use crate::gateway::dispatch::priority::Tier;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::RefusalReason;
use crate::metrics::MetricSet;

/// Metrics of requests that wait for room at an engine, by tier.
#[derive(Debug)]
pub(super) struct WaitMetrics {
    waiting: IntGaugeVec,
    started: IntCounterVec,
    refused: IntCounterVec,
    seconds: CounterVec,
}

impl WaitMetrics {
    pub fn new(set: &MetricSet) -> Self {
        Self {
            waiting: set.gauges(
                "room_waiting",
                "Requests that wait for room at an engine, by tier",
                "tier",
            ),
            started: set.counters(
                "room_started_total",
                "Requests that started after a wait for room at an engine, by tier",
                "tier",
            ),
            refused: set.counters(
                "room_refused_total",
                "Requests that were refused for want of room at an engine, by tier",
                "tier",
            ),
            seconds: set.sums(
                "room_waited_seconds_total",
                "Seconds that requests waited for room at an engine, by tier",
                "tier",
            ),
        }
    }

    pub fn on_record(&self, record: &Record) {
        let (tier, waited_ms) = match record {
            Record::Sent {
                tier, waited_ms, ..
            }
            | Record::Refused {
                tier, waited_ms, ..
            } => (tier.unwrap_or_default().to_string(), *waited_ms),
            _ => return,
        };
        if let Some(waited_ms) = waited_ms {
            let sum = self.seconds.with_label_values(&[&tier]);
            sum.inc_by(seconds(waited_ms));
        }
        match record {
            Record::Sent { .. } if waited_ms.is_some() => {
                self.started.with_label_values(&[&tier]).inc();
            }
            Record::Refused {
                reason: RefusalReason::NoCapacity,
                ..
            } => self.refused.with_label_values(&[&tier]).inc(),
            _ => {}
        }
    }

    pub fn on_waiting(&self, waiting: &BTreeMap<Option<Tier>, usize>) {
        self.waiting.reset();
        for (tier, count) in waiting {
            let rank = tier.map(Tier::rank).unwrap_or_default().to_string();
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            self.waiting.with_label_values(&[&rank]).add(count);
        }
    }
}
