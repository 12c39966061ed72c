//! Registers the metrics of a process under a common name prefix and exports them in the Prometheus
//! text format.
//!
//! The modules that register the metrics define their names and meaning.

use prometheus::core::Collector;
use prometheus::{
    CounterVec, Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};

use crate::http;

/// The media type of the Prometheus text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// The metrics of one process.
#[derive(Debug)]
pub struct MetricSet {
    prefix: &'static str,
    registry: Registry,
}

impl MetricSet {
    /// Creates an empty set; every metric name in it starts with `prefix` and an underscore.
    #[must_use]
    pub fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            registry: Registry::new(),
        }
    }

    /// Registers a gauge.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered, which is a bug in this program.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::with_opts(self.opts(name, help)))
    }

    /// Registers a counter.
    ///
    /// # Panics
    ///
    /// Panics like [`MetricSet::gauge`].
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::with_opts(self.opts(name, help)))
    }

    /// Registers a family of counters distinguished by the value of `label`.
    ///
    /// # Panics
    ///
    /// Panics like [`MetricSet::gauge`].
    #[must_use]
    pub fn counters(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        self.counters_by(name, help, &[label])
    }

    /// Registers a family of counters distinguished by the values of several labels.
    ///
    /// # Panics
    ///
    /// Panics like [`MetricSet::gauge`].
    #[must_use]
    pub fn counters_by(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(self.opts(name, help), labels))
    }

    /// Registers a family of gauges distinguished by the value of `label`.
    ///
    /// # Panics
    ///
    /// Panics like [`MetricSet::gauge`].
    #[must_use]
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> IntGaugeVec {
        self.register(IntGaugeVec::new(self.opts(name, help), &[label]))
    }

    /// Registers a family of sums distinguished by the value of `label`.
    ///
    /// # Panics
    ///
    /// Panics like [`MetricSet::gauge`].
    #[must_use]
    pub fn sums(&self, name: &str, help: &str, label: &str) -> CounterVec {
        self.register(CounterVec::new(self.opts(name, help), &[label]))
    }

    /// Registers a histogram of durations in seconds; `buckets` are the upper bounds.
    ///
    /// # Panics
    ///
    /// Panics like [`MetricSet::gauge`].
    #[must_use]
    pub fn times(&self, name: &str, help: &str, buckets: &[f64]) -> Histogram {
        let opts = HistogramOpts::from(self.opts(name, help)).buckets(buckets.to_vec());
        self.register(Histogram::with_opts(opts))
    }

    /// Builds the HTTP response to a scrape.
    #[must_use]
    pub fn respond(&self) -> Response<Body> {
        http::respond(StatusCode::OK, TEXT_FORMAT, http::full(self.text()))
    }

    /// Encodes all metrics in the text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("metrics can't be encoded: {e}; this is a bug, please report it");
        }
        buf
    }

    fn opts(&self, name: &str, help: &str) -> Opts {
        Opts::new(format!("{}_{name}", self.prefix), help)
    }

    fn register<M>(&self, metric: prometheus::Result<M>) -> M
    where
        M: Collector + Clone + 'static,
    {
        let metric = metric.expect("metric name is valid");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("metric name is not registered yet");
        metric
    }
}
