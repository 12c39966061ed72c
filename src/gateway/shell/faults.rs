//! Faults that fail no request by themselves: input from outside that can't be read, and messages
//! that can't be sent. Each is counted by kind, and logged at most once a second and kind. An
//! object of the store that can't be read is read again with each list, so it is counted and logged
//! once.

use std::collections::HashSet;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use prometheus::IntCounterVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::metrics::MetricSet;

/// Minimum time between two log lines of one kind.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of unreadable objects of the store that are remembered as logged; above it all
/// are forgotten, and logged again.
const MAX_REMEMBERED_FAULTS: usize = 4_096;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The store's answer can't be read.
    StoreAnswer,
    /// An entry of the list of endpoints can't be read; it makes no endpoint available.
    EndpointEntry,
    /// An object of the store has no readable name.
    UnnamedObject,
    /// The object of a roll-out order can't be read; it has no effect.
    RolloutObject,
    /// The object of a quarantined request can't be read; it has no effect.
    QuarantineObject,
    /// An object with versions of streams can't be read; it has no effect.
    StreamsObject,
    /// A datagram of another box can't be read.
    PeerMessage,
    /// A datagram to other boxes can't be encoded or sent, or the socket for peers failed.
    PeerSocket,
    /// A fetch from another box failed.
    PeerFetch,
    /// An engine's answer to a request for a snapshot can't be read.
    SnapshotAnswer,
    /// The limit in an endpoint's answer can't be read; the previous one stays in force.
    EndpointLimit,
    /// The rest that an endpoint's answer asks for can't be read; it has no effect.
    EndpointRest,
    /// An endpoint states a tolerance that can't be parsed.
    EndpointTolerance,
    /// A task that runs for as long as the process panicked; it was started again.
    TaskPanic,
}

impl FaultKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 14] = [
        Self::StoreAnswer,
        Self::EndpointEntry,
        Self::UnnamedObject,
        Self::RolloutObject,
        Self::QuarantineObject,
        Self::StreamsObject,
        Self::PeerMessage,
        Self::PeerSocket,
        Self::PeerFetch,
        Self::SnapshotAnswer,
        Self::EndpointLimit,
        Self::EndpointRest,
        Self::EndpointTolerance,
        Self::TaskPanic,
    ];

    /// The value of the metric's label `kind`, and the prefix of log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::StoreAnswer => "store_answer",
            Self::EndpointEntry => "endpoint_entry",
            Self::UnnamedObject => "unnamed_object",
            Self::RolloutObject => "rollout_object",
            Self::QuarantineObject => "quarantine_object",
            Self::StreamsObject => "streams_object",
            Self::PeerMessage => "peer_message",
            Self::PeerSocket => "peer_socket",
            Self::PeerFetch => "peer_fetch",
            Self::SnapshotAnswer => "snapshot_answer",
            Self::EndpointLimit => "endpoint_limit",
            Self::EndpointRest => "endpoint_rest",
            Self::EndpointTolerance => "endpoint_tolerance",
            Self::TaskPanic => "task_panic",
        }
    }
}

/// Counts and logs faults.
#[derive(Debug)]
pub struct Faults {
    counts: IntCounterVec,
    last_logged: Mutex<[Option<Instant>; FaultKind::ALL.len()]>,
    logged: Mutex<HashSet<u64>>,
}

impl Faults {
    /// Registers the counter `faults_total`.
    #[must_use]
    pub fn new(set: &MetricSet) -> Self {
        let counts = set.counters(
            "faults_total",
            "Answers and messages that could not be read or sent, by kind",
            "kind",
        );
        Self {
            counts,
            last_logged: Mutex::default(),
            logged: Mutex::default(),
        }
    }

    /// Counts a fault; logs it unless one of its kind was logged within the last second.
    pub fn report(&self, kind: FaultKind, detail: &dyn fmt::Display) {
        self.counts.with_label_values(&[kind.label()]).inc();
        if self.should_log(kind) {
            log::warn!("{}: {detail}", kind.label());
        }
    }

    /// Reports a fault of a persistent object only the first time that its content is seen.
    pub fn report_once(&self, kind: FaultKind, content: &str, detail: &dyn fmt::Display) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= MAX_REMEMBERED_FAULTS {
            logged.clear();
        }
        let is_new = logged.insert(xxh3_64_with_seed(content.as_bytes(), kind as u64));
        drop(logged);
        if is_new {
            self.report(kind, detail);
        }
    }

    fn should_log(&self, kind: FaultKind) -> bool {
        let mut last_logged = self
            .last_logged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let last = &mut last_logged[kind as usize];
        let is_due = last.is_none_or(|at| at.elapsed() >= MIN_LOG_INTERVAL);
        if is_due {
            *last = Some(Instant::now());
        }
        is_due
    }
}
