//! Metrics of a gateway by `prometheus`.
//!
//! What was decided is counted from the records of the decision log, so that counts and log can't
//! part; times are observed where they pass.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::dispatch::action::RefusalReason;
use crate::dispatch::record::Record;

/// Upper bounds of the buckets for times, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.001, 0.005, 0.02, 0.06, 0.1, 0.2, 0.35, 0.7, 1.5, 4.5, 10.0, 30.0,
];

/// All metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests that are served.
    pub active: IntGauge,
    /// Calls to the platform's store.
    pub store_calls: IntCounter,
    /// Probes of endpoints.
    pub probes: IntCounter,
    /// Requests that got no answer of an endpoint.
    pub refused: IntCounter,
    /// Seconds until a stream's first event.
    pub first_event_seconds: Histogram,
    /// Seconds between two events of a stream.
    pub pause_seconds: Histogram,
    /// Seconds until an answer that is no stream.
    pub answer_seconds: Histogram,
    /// Seconds that the platform's store took to answer, watches left out.
    pub store_seconds: Histogram,
    resume_seconds: Histogram,
    refusal_seconds: Histogram,
    refusals: IntCounterVec,
    sendings: IntCounterVec,
    copies: IntCounterVec,
    suspected: IntCounter,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        Ok(Self {
            active: gauge(&registry, "requests_active", "Requests that are served")?,
            store_calls: counter(
                &registry,
                "store_calls_total",
                "Calls to the platform's store",
            )?,
            probes: counter(&registry, "probes_total", "Probes of endpoints")?,
            refused: counter(
                &registry,
                "refused_total",
                "Requests that no endpoint answered",
            )?,
            first_event_seconds: times(
                &registry,
                "first_event_seconds",
                "Seconds until a stream's first event",
            )?,
            pause_seconds: times(
                &registry,
                "pause_seconds",
                "Seconds between two parts of a stream",
            )?,
            answer_seconds: times(&registry, "answer_seconds", "Seconds until a whole answer")?,
            store_seconds: times(
                &registry,
                "store_call_seconds",
                "Seconds until the platform's store answered, watches left out",
            )?,
            resume_seconds: times(
                &registry,
                "resume_seconds",
                "Seconds between two events of a stream that went on elsewhere",
            )?,
            refusal_seconds: times(
                &registry,
                "refusal_seconds",
                "Seconds until a request was given up",
            )?,
            refusals: counters(
                &registry,
                "refusals_total",
                "Requests that were given up, by reason",
                "reason",
            )?,
            sendings: counters(
                &registry,
                "sendings_total",
                "Sendings to endpoints: the first of a request, from a copy, or anew",
                "kind",
            )?,
            copies: counters(
                &registry,
                "copies_total",
                "Copies of runs that engines were asked for, by what came of it",
                "result",
            )?,
            suspected: counter(
                &registry,
                "suspected_total",
                "Runs that were left since their endpoint was silent",
            )?,
            registry,
        })
    }

    /// Counts what a record says.
    pub fn on_record(&self, record: &Record) {
        match record {
            Record::Sent {
                attempt,
                from_backup,
                ..
            } => {
                let kind = match (attempt, from_backup) {
                    (_, true) => "copy",
                    (1, false) => "first",
                    (_, false) => "anew",
                };
                self.sendings.with_label_values(&[kind]).inc();
            }
            Record::Resumed { pause_ms, .. } => self.resume_seconds.observe(seconds(*pause_ms)),
            Record::Copied { is_made, .. } => {
                let result = if *is_made { "made" } else { "failed" };
                self.copies.with_label_values(&[result]).inc();
            }
            Record::Suspected { .. } => self.suspected.inc(),
            Record::Refused {
                reason, after_ms, ..
            } => {
                self.refusals.with_label_values(&[word(*reason)]).inc();
                self.refusal_seconds.observe(seconds(*after_ms));
            }
            _ => {}
        }
    }

    /// All metrics in the text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn word(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoConfiguration => "no_configuration",
        RefusalReason::NoRoute => "no_route",
        RefusalReason::UnknownKey => "unknown_key",
        RefusalReason::NoEndpoint => "no_endpoint",
        RefusalReason::ExpiredNotRun => "expired_not_run",
        RefusalReason::Expired => "expired",
        RefusalReason::EndpointFailed => "endpoint_failed",
    }
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}

fn full_name(name: &str) -> String {
    format!("magpiemoor_gateway_{name}")
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(full_name(name), help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::new(full_name(name), help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<IntCounterVec, prometheus::Error> {
    let counters = IntCounterVec::new(Opts::new(full_name(name), help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn times(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::new(full_name(name), help).buckets(TIME_BUCKETS.to_vec());
    let times = Histogram::with_opts(opts)?;
    registry.register(Box::new(times.clone()))?;
    Ok(times)
}
