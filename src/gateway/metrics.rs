//! Metrics of a gateway by `prometheus`.

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounter, IntGauge, Registry, TextEncoder};

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
    /// Seconds until an answer that is no stream.
    pub answer_seconds: Histogram,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            active: IntGauge::new(
                "magpiemoor_gateway_requests_active",
                "Requests that are served",
            )?,
            store_calls: IntCounter::new(
                "magpiemoor_gateway_store_calls_total",
                "Calls to the platform's store",
            )?,
            probes: IntCounter::new("magpiemoor_gateway_probes_total", "Probes of endpoints")?,
            refused: IntCounter::new(
                "magpiemoor_gateway_refused_total",
                "Requests that no endpoint answered",
            )?,
            first_event_seconds: times(
                "magpiemoor_gateway_first_event_seconds",
                "Seconds until a stream's first event",
            )?,
            answer_seconds: times(
                "magpiemoor_gateway_answer_seconds",
                "Seconds until a whole answer",
            )?,
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.active.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.probes.clone()))?;
        registry.register(Box::new(metrics.refused.clone()))?;
        registry.register(Box::new(metrics.first_event_seconds.clone()))?;
        registry.register(Box::new(metrics.answer_seconds.clone()))?;
        Ok(metrics)
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

fn times(name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec()))
}
