//! Registers metrics of one process under a common prefix, and writes them in the text format.
//!
//! Which metrics there are, and what they count, is the business of the modules that register them.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};

use crate::http;

/// The media type of metrics in the text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// The metrics of one process.
#[derive(Debug)]
pub struct MetricSet {
    prefix: &'static str,
    registry: Registry,
}

impl MetricSet {
    /// An empty set; all names in it begin with `prefix` and an underscore.
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
    /// If the name is taken or no valid one, which is a mistake in this program.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::with_opts(self.opts(name, help)))
    }

    /// Registers a counter.
    ///
    /// # Panics
    ///
    /// As [`MetricSet::gauge`].
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::with_opts(self.opts(name, help)))
    }

    /// Registers a family of counters that a label tells apart.
    ///
    /// # Panics
    ///
    /// As [`MetricSet::gauge`].
    #[must_use]
    pub fn counters(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        self.register(IntCounterVec::new(self.opts(name, help), &[label]))
    }

    /// Registers a histogram of times in seconds; `buckets` are the upper bounds.
    ///
    /// # Panics
    ///
    /// As [`MetricSet::gauge`].
    #[must_use]
    pub fn times(&self, name: &str, help: &str, buckets: &[f64]) -> Histogram {
        let opts = HistogramOpts::from(self.opts(name, help)).buckets(buckets.to_vec());
        self.register(Histogram::with_opts(opts))
    }

    /// The answer to a request for the metrics.
    #[must_use]
    pub fn respond(&self) -> Response<Body> {
        http::respond(StatusCode::OK, TEXT_FORMAT, http::full(self.text()))
    }

    /// All metrics in the text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("metrics can't be written: {e}; report this as a fault of the program");
        }
        buf
    }

    fn opts(&self, name: &str, help: &str) -> Opts {
        Opts::new(format!("{}_{name}", self.prefix), help)
    }

    fn register<M>(&self, made: prometheus::Result<M>) -> M
    where
        M: Collector + Clone + 'static,
    {
        let metric = made.expect("a valid name");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("a new name");
        metric
    }
}
