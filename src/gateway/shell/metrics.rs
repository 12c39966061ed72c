//! Prometheus metrics of a gateway.
//!
//! Decisions, and the durations that records contain, are counted from the records of the decision
//! log, so that the metrics and the log always agree. Other durations are observed by the code that
//! measures them.

mod endpoints;
mod relays;
mod retries;
mod versions;
mod waits;

use std::collections::BTreeMap;

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use crate::gateway::dispatch::fetches::FetchKind;
use crate::gateway::dispatch::permits::PermitCounts;
use crate::gateway::dispatch::priority::Tier;
use crate::gateway::dispatch::record::{FETCH_BUSY, FETCHED_WHOLE, Record};
use crate::gateway::dispatch::slots::LeaseCounts;
use crate::gateway::shell::check_counts::CheckCounters;
use crate::gateway::shell::watcher::StoreRequest;
use crate::metrics::MetricSet;
use crate::schema::ServiceId;
use endpoints::EndpointMetrics;
use relays::RelayMetrics;
use retries::RetryMetrics;
use versions::VersionMetrics;
use waits::WaitMetrics;

/// Upper bounds in seconds of the buckets for the times of callers, the store and failovers. They
/// lie around the latency objectives and the longest stream pauses that the users' sites allow.
const CALLER_TIME_BUCKETS: [f64; 12] = [
    0.001, 0.005, 0.02, 0.06, 0.1, 0.2, 0.35, 0.7, 1.5, 4.5, 10.0, 30.0,
];

/// All metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    set: MetricSet,
    /// Metrics of callers' requests.
    pub requests: RequestMetrics,
    tables: TableMetrics,
    /// Number of known running boxes in this failure domain, including this one.
    pub boxes_local: IntGauge,
    /// Number of known running boxes in all failure domains, including this one.
    pub boxes: IntGauge,
    /// Number of other failure domains whose load on engines is known.
    pub load_domains: IntGauge,
    /// Milliseconds since the store answered a watcher of the own failure domain.
    pub store_answer_age_ms: IntGauge,
    endpoints: EndpointMetrics,
    waits: WaitMetrics,
    retries: RetryMetrics,
    /// Metrics of relayed attempts.
    pub relays: RelayMetrics,
    /// Metrics of the versions that began streams.
    pub versions: VersionMetrics,
    store_calls: IntCounterVec,
    /// Number of probes sent to endpoints.
    pub probes: IntCounter,
    /// Numbers of checks of endpoints by reason.
    pub checks: CheckCounters,
    rollouts: IntCounterVec,
    /// Response times of the platform's store in seconds, except for watches.
    pub store_seconds: Histogram,
    peer_bytes: IntCounterVec,
}

/// Metrics of callers' requests.
#[derive(Debug)]
pub struct RequestMetrics {
    /// Number of requests in progress.
    pub active: IntGauge,
    /// Number of refused requests.
    pub refused: IntCounter,
    /// Time from the receipt of a whole request to the first event of its stream, in seconds.
    pub first_event_seconds: Histogram,
    /// Time between two deliveries of events of a stream, in seconds.
    pub pause_seconds: Histogram,
    /// Time from the receipt of a whole request to its complete answer, unless that is a stream, in
    /// seconds.
    pub answer_seconds: Histogram,
    resume_seconds: Histogram,
    refusal_seconds: Histogram,
    unanswered: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    snapshots: IntCounterVec,
    snapshot_failures: IntCounterVec,
    suspected: IntCounter,
}

/// Metrics of routing tables: the version in force, fetches from peers and age.
#[derive(Debug)]
struct TableMetrics {
    version: IntGauge,
    fetches: IntCounterVec,
    fetch_seconds: Histogram,
    age_seconds: Histogram,
}

impl RequestMetrics {
    fn new(set: &MetricSet) -> Self {
        let times = |name: &str, help: &str| set.times(name, help, &CALLER_TIME_BUCKETS);
        Self {
            active: set.gauge("requests_active", "Requests that are served"),
            refused: set.counter("refused_total", "Requests that no endpoint answered"),
            first_event_seconds: times(
                "first_event_seconds",
                "Seconds until a stream's first event",
            ),
            pause_seconds: times("pause_seconds", "Seconds between two parts of a stream"),
            answer_seconds: times("answer_seconds", "Seconds until a whole answer"),
            resume_seconds: times(
                "resume_seconds",
                "Seconds between two events of a stream that went on elsewhere",
            ),
            refusal_seconds: times("refusal_seconds", "Seconds until a request was given up"),
            unanswered: set.counters(
                "unanswered_total",
                "Requests that ended without a complete answer while their caller was there, by \
                 what ended them",
                "ended_by",
            ),
            refusals: set.counters(
                "refusals_total",
                "Requests that were given up, by reason",
                "reason",
            ),
            attempts: set.counters(
                "sendings_total",
                "Sendings to endpoints: the first of a request, from a copy, or anew",
                "kind",
            ),
            snapshots: set.counters(
                "copies_total",
                "Copies of runs that engines were asked for, by what came of it",
                "result",
            ),
            snapshot_failures: set.counters(
                "snapshot_failures_total",
                "Snapshots that were not taken, by reason",
                "reason",
            ),
            suspected: set.counter(
                "suspected_total",
                "Runs that were left since their endpoint was silent",
            ),
        }
    }

    fn on_record(&self, record: &Record) {
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
                self.attempts.with_label_values(&[kind]).inc();
            }
            Record::Resumed { pause_ms, .. } => self.resume_seconds.observe(seconds(*pause_ms)),
            Record::Copied {
                is_made, failure, ..
            } => {
                let result = if *is_made { "made" } else { "failed" };
                self.snapshots.with_label_values(&[result]).inc();
                if let Some(failure) = failure {
                    let reason = failure.to_string();
                    self.snapshot_failures.with_label_values(&[&reason]).inc();
                }
            }
            Record::Suspected { .. } => self.suspected.inc(),
            Record::Unanswered { ended_by, .. } => {
                self.unanswered.with_label_values(&[ended_by.word()]).inc();
            }
            Record::Refused {
                reason, after_ms, ..
            } => {
                self.refusals.with_label_values(&[reason.word()]).inc();
                self.refusal_seconds.observe(seconds(*after_ms));
            }
            _ => {}
        }
    }
}

impl TableMetrics {
    fn new(set: &MetricSet) -> Self {
        let times = |name: &str, help: &str| set.times(name, help, &CALLER_TIME_BUCKETS);
        Self {
            version: set.gauge("table_version", "The version of the table in force"),
            fetches: set.counters(
                "table_fetches_total",
                "Fetches of a table from a peer, by how they ended",
                "result",
            ),
            fetch_seconds: times(
                "table_fetch_seconds",
                "Seconds that fetches of a table from a peer took, failed ones included",
            ),
            age_seconds: times(
                "table_age_seconds",
                "Seconds from the store's answer until a newer table was read by this box",
            ),
        }
    }

    fn on_record(&self, record: &Record) {
        match record {
            Record::TableInForce { version } => {
                self.version
                    .set(i64::try_from(*version).unwrap_or(i64::MAX));
            }
            Record::TableRead {
                age_ms,
                is_newer: true,
                ..
            } => self.age_seconds.observe(seconds(*age_ms)),
            Record::TableFetched {
                outcome, after_ms, ..
            } => {
                let result = match outcome.as_ref() {
                    FETCHED_WHOLE | FETCH_BUSY => outcome.as_ref(),
                    _ => "failed",
                };
                self.fetches.with_label_values(&[result]).inc();
                self.fetch_seconds.observe(seconds(*after_ms));
            }
            _ => {}
        }
    }
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// If two metrics have the same name, which is a bug in this program.
    #[must_use]
    pub fn new() -> Self {
        let set = MetricSet::new("magpiemoor_gateway");
        let times = |name: &str, help: &str| set.times(name, help, &CALLER_TIME_BUCKETS);
        Self {
            requests: RequestMetrics::new(&set),
            tables: TableMetrics::new(&set),
            boxes_local: set.gauge(
                "boxes_near",
                "Running boxes of the own failure domain that are known",
            ),
            boxes: set.gauge(
                "boxes",
                "Running boxes of all failure domains that are known",
            ),
            store_answer_age_ms: set.gauge(
                "store_answer_age_ms",
                "Milliseconds since the store answered a watcher of the own failure domain",
            ),
            load_domains: set.gauge(
                "load_domains",
                "Other failure domains whose load on engines is known from a report",
            ),
            endpoints: EndpointMetrics::new(&set),
            waits: WaitMetrics::new(&set),
            retries: RetryMetrics::new(&set),
            relays: RelayMetrics::new(&set),
            versions: VersionMetrics::new(&set),
            store_calls: set.counters(
                "store_calls_total",
                "Calls to the platform's store, by what was asked",
                "kind",
            ),
            probes: set.counter("probes_total", "Probes of endpoints"),
            checks: CheckCounters::new(&set),
            rollouts: set.counters(
                "rollout_phases_total",
                "Phases of roll-outs that this box entered",
                "phase",
            ),
            store_seconds: times(
                "store_call_seconds",
                "Seconds until the platform's store answered, watches left out",
            ),
            peer_bytes: set.counters(
                "peer_bytes_total",
                "Bytes that peers sent when asked, by what they were asked for",
                "kind",
            ),
            set,
        }
    }

    /// Updates the metrics that follow from a record of the decision log.
    pub fn on_record(&self, record: &Record) {
        if let Record::Rollout { phase, .. } = record {
            self.rollouts.with_label_values(&[phase]).inc();
        }
        self.requests.on_record(record);
        self.endpoints.on_record(record);
        self.waits.on_record(record);
        self.retries.on_record(record);
        self.relays.on_record(record);
        self.versions.on_record(record);
        self.tables.on_record(record);
    }

    /// Sets the number of endpoints that state a limit, and adds to the counts of permits for them.
    pub fn on_limits(&self, limited: usize, permits: PermitCounts) {
        self.endpoints.on_limits(limited, permits);
    }

    /// Sets the number of services whose endpoints state a tolerance, and adds to the counts of leases
    /// of their slots.
    pub fn on_leases(&self, bounding: usize, leases: LeaseCounts) {
        self.endpoints.on_leases(bounding, leases);
    }

    /// Sets the numbers of requests that wait for room at an engine, by tier.
    pub fn on_waiting(&self, waiting: &BTreeMap<Option<Tier>, usize>) {
        self.waits.on_waiting(waiting);
    }

    /// Sets the number of endpoints whose process may have been replaced, and what is left of the
    /// retry budget of each service.
    pub fn on_retry_state(&self, unverified: usize, budgets: &[(ServiceId, f64)]) {
        self.retries.on_state(unverified, budgets);
    }

    /// Sets the numbers of endpoints that asked this box for a rest or said that they are leaving.
    pub fn on_directives(&self, resting: usize, leaving: usize) {
        self.endpoints.on_directives(resting, leaving);
    }

    /// Sets the number of engines whose learned speed differs from the median.
    pub fn on_speeds(&self, differing: usize) {
        let gauge = i64::try_from(differing).unwrap_or(i64::MAX);
        self.endpoints.of_other_speed.set(gauge);
    }

    /// Counter of list or watch calls to the platform's store.
    #[must_use]
    pub fn store_calls_of(&self, request: &StoreRequest) -> IntCounter {
        let word = match request {
            StoreRequest::List { .. } => "list",
            StoreRequest::Watch { .. } => "watch",
        };
        self.store_calls.with_label_values(&[word])
    }

    /// Counter of calls that read a duty's data from the platform's store.
    #[must_use]
    pub fn store_reads(&self) -> IntCounter {
        self.store_calls.with_label_values(&["read"])
    }

    /// Counter of calls that write to the platform's store.
    #[must_use]
    pub fn store_writes(&self) -> IntCounter {
        self.store_calls.with_label_values(&["write"])
    }

    /// Counter of bytes fetched from peers for one kind of data.
    #[must_use]
    pub fn peer_bytes_of(&self, kind: FetchKind) -> IntCounter {
        let word = match kind {
            FetchKind::Table => "table",
            FetchKind::Endpoints => "endpoints",
        };
        self.peer_bytes.with_label_values(&[word])
    }

    /// The registry that exports these metrics.
    #[must_use]
    pub fn set(&self) -> &MetricSet {
        &self.set
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
