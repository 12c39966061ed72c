//! Faults that cost no request by themselves: what comes from outside and can't be read, and
//! messages that can't be sent. Each is counted by kind, and told in the log at most once a second
//! and kind.

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use prometheus::IntCounterVec;

use crate::metrics::MetricSet;

/// The least time between two lines of one kind.
const LINE_PAUSE: Duration = Duration::from_secs(1);

/// What went wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The store's answer can't be read.
    StoreAnswer,
    /// An entry of the list of endpoints can't be read; it counts as not listed.
    EndpointEntry,
    /// A datagram of another box can't be read.
    PeerMessage,
    /// Datagrams to other boxes can't be made, sent or received.
    PeerSocket,
    /// Another box did not answer what it was asked for.
    PeerFetch,
    /// An engine's answer to a request for a snapshot can't be read.
    SnapshotAnswer,
}

impl FaultKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::StoreAnswer,
        Self::EndpointEntry,
        Self::PeerMessage,
        Self::PeerSocket,
        Self::PeerFetch,
        Self::SnapshotAnswer,
    ];

    /// The word for it in metrics and lines.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::StoreAnswer => "store_answer",
            Self::EndpointEntry => "endpoint_entry",
            Self::PeerMessage => "peer_message",
            Self::PeerSocket => "peer_socket",
            Self::PeerFetch => "peer_fetch",
            Self::SnapshotAnswer => "snapshot_answer",
        }
    }
}

/// Counts and tells of faults.
#[derive(Debug)]
pub struct Faults {
    counts: IntCounterVec,
    last_lines: Mutex<[Option<Instant>; FaultKind::ALL.len()]>,
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
        }
    }

    /// Counts a fault; tells of it unless one of its kind was told within the last second.
    pub fn note(&self, kind: FaultKind, detail: &dyn fmt::Display) {
        self.counts.with_label_values(&[kind.word()]).inc();
        if self.may_tell(kind) {
            log::warn!("{}: {detail}", kind.word());
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
