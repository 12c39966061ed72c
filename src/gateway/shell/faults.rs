//! Faults that cost no request by themselves: what comes from outside and can't be read, and
//! messages that can't be sent. Each is counted by kind, and told in the log at most once a second
//! and kind. What lies in the store and can't be read comes again with each list: it is counted and
//! told once.

use std::collections::HashSet;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use prometheus::IntCounterVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::metrics::MetricSet;

/// The least time between two lines of one kind.
const LINE_PAUSE: Duration = Duration::from_secs(1);
/// How many objects of the store that can't be read are remembered as told; beyond it all are
/// forgotten, and told again.
const MOST_REMEMBERED: usize = 4_096;

/// What went wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The store's answer can't be read.
    StoreAnswer,
    /// An entry of the list of endpoints can't be read; it names no endpoint to use.
    EndpointEntry,
    /// An object of the store has no name that can be read.
    UnnamedObject,
    /// An object that orders a roll-out can't be read; it orders nothing.
    RolloutObject,
    /// An object that says that a request is quarantined can't be read; it quarantines nothing.
    QuarantineObject,
    /// A datagram of another box can't be read.
    PeerMessage,
    /// Datagrams to other boxes can't be made, sent or received.
    PeerSocket,
    /// Another box did not answer what it was asked for.
    PeerFetch,
    /// An engine's answer to a request for a snapshot can't be read.
    SnapshotAnswer,
    /// The limit that an endpoint names can't be read; the one before stays in force.
    EndpointLimit,
}

impl FaultKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 10] = [
        Self::StoreAnswer,
        Self::EndpointEntry,
        Self::UnnamedObject,
        Self::RolloutObject,
        Self::QuarantineObject,
        Self::PeerMessage,
        Self::PeerSocket,
        Self::PeerFetch,
        Self::SnapshotAnswer,
        Self::EndpointLimit,
    ];

    /// The word for it in metrics and lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::StoreAnswer => "store_answer",
            Self::EndpointEntry => "endpoint_entry",
            Self::UnnamedObject => "unnamed_object",
            Self::RolloutObject => "rollout_object",
            Self::QuarantineObject => "quarantine_object",
            Self::PeerMessage => "peer_message",
            Self::PeerSocket => "peer_socket",
            Self::PeerFetch => "peer_fetch",
            Self::SnapshotAnswer => "snapshot_answer",
            Self::EndpointLimit => "endpoint_limit",
        }
    }
}

/// Counts and tells of faults.
#[derive(Debug)]
pub struct Faults {
    counts: IntCounterVec,
    last_lines: Mutex<[Option<Instant>; FaultKind::ALL.len()]>,
    told: Mutex<HashSet<u64>>,
}

impl Faults {
    /// Registers the counter.
    #[must_use]
    pub fn new(set: &MetricSet) -> Self {
        let counts = set.counters(
            "faults_total",
            "Answers and messages that could not be read or sent, by kind",
            "kind",
        );
        Self {
            counts,
            last_lines: Mutex::default(),
            told: Mutex::default(),
        }
    }

    /// Counts a fault; tells of it unless one of its kind was told within the last second.
    pub fn report(&self, kind: FaultKind, detail: &dyn fmt::Display) {
        self.counts.with_label_values(&[kind.label()]).inc();
        if self.may_tell(kind) {
            log::warn!("{}: {detail}", kind.label());
        }
    }

    /// Notes a fault of something that stays, by its content, the first time it is met.
    pub fn report_once(&self, kind: FaultKind, content: &str, detail: &dyn fmt::Display) {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        if told.len() >= MOST_REMEMBERED {
            told.clear();
        }
        let is_new = told.insert(xxh3_64_with_seed(content.as_bytes(), kind as u64));
        drop(told);
        if is_new {
            self.report(kind, detail);
        }
    }

    fn may_tell(&self, kind: FaultKind) -> bool {
        let mut lines = self
            .last_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let last = &mut lines[kind as usize];
        let may = last.is_none_or(|at| at.elapsed() >= LINE_PAUSE);
        if may {
            *last = Some(Instant::now());
        }
        may
    }
}
