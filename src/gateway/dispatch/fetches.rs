//! Choice of the peer from which a newer table or endpoint list is fetched, and of the time.
//!
//! A box that learns of a newer version requests it from one peer that has it. It prefers the
//! newest version; then peers seen just now, since others may have exited; then the own failure
//! domain, since traffic between domains is expensive; and takes a random one of equals. A peer
//! that is busy or has failed is avoided for a while, and another is tried; if no peer
//! with the newest version is left, an older one that is still newer than the own will do. One
//! request of a kind is in progress at a time, until it takes longer than [`FETCH_TIMEOUT`]: then a
//! second peer is tried, and the first request continues. A table that no peer has
//! delivered within [`STORE_FALLBACK_DELAY`] is read from the store as well, so that a box that
//! doesn't watch the store has two ways to each change.
//!
//! Inputs: versions that peers have reported, with their age; results of requests. State: requests
//! in progress, and peers to avoid. A peer limits how much it sends at once (`shell/transfer.rs`),
//! since a link shared by many transfers completes none of them in time, and no receiver can pass
//! the table on meanwhile. Without that limit, and with a fixed timeout of 0.8 s and 2.3 requesters
//! a box, 82 of 88 boxes got no new table for 10 to 18 s (docs/incidents/late-table.md).
//!
//! Table and endpoints are requested separately: at 300 boxes a list of 3,000 endpoints delayed the
//! table by up to 11.8 s.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::backoff::Backoff;
use crate::schema::Micros;

/// Minimum time between an answered request and the next of its kind, so that changes are batched.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a busy or failed peer before another peer is tried: between the time to send a packed
/// table of 0.1 MB (0.1 s at 10 Mbit/s) and the time to connect (a few milliseconds).
const FAILURE_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(20),
    longest: Duration::from_millis(160),
    max_doublings: 3,
    jitter: 0.5..1.5,
};
/// Time for which a busy peer is avoided: about one transfer.
const BUSY_PEER_AVOIDED_FOR: Duration = Duration::from_millis(100);
/// Time for which a failed peer is avoided.
const FAILED_PEER_AVOIDED_FOR: Duration = Duration::from_secs(2);
/// Time after which a second peer is tried while the first request continues.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a table that peers have is read from the store as well: half of the shortest
/// time in which users require a change to be in force (2 s).
const STORE_FALLBACK_DELAY: Duration = Duration::from_secs(1);
/// Delays between reads of the store.
const STORE_READ_BACKOFF: Backoff = Backoff {
    first: Duration::from_secs(1),
    longest: Duration::from_secs(8),
    max_doublings: 3,
    jitter: 0.5..1.5,
};

/// Data that one box can request from another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchKind {
    /// The routing table.
    Table,
    /// Changes of the list of endpoints, or the whole of it.
    Endpoints,
}

/// Result of a request to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// The answer was complete.
    Complete,
    /// The peer declined, since it is serving others.
    Busy,
    /// The connection failed, or no answer came.
    Failed,
}

/// A peer from which data may be requested.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Address at which the peer serves requests.
    pub address: SocketAddr,
    /// Version of its table, or revision of its endpoint list.
    pub version: u64,
    /// Whether a message from it arrived within the last two gossip rounds.
    pub is_fresh: bool,
    /// Whether it is in the own failure domain.
    pub is_local: bool,
}

/// Order of preference among peers; the first field weighs most.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    version: u64,
    is_fresh: bool,
    is_local: bool,
    tie_breaker: u32,
}

impl Rank {
    fn of(holder: &Holder, rng: &mut ChaCha8Rng) -> Self {
        Self {
            version: holder.version,
            is_fresh: holder.is_fresh,
            is_local: holder.is_local,
            tie_breaker: rng.random(),
        }
    }
}

/// Requests of one kind.
#[derive(Debug)]
pub struct Fetches {
    kind: FetchKind,
    /// Version that this box has.
    version: u64,
    /// Newest version that a peer has reported.
    newest: u64,
    /// Time since which a peer has had a newer version than this box.
    behind_since: Option<Micros>,
    /// Version that this box had at its last request.
    version_at_request: u64,
    next_request: Micros,
    failures: u32,
    avoided: BTreeMap<SocketAddr, Micros>,
    next_store_read: Micros,
    store_reads: u32,
}

impl Fetches {
    /// Starts with no version known and no request made.
    #[must_use]
    pub fn new(kind: FetchKind) -> Self {
        Self {
            kind,
            version: 0,
            newest: 0,
            behind_since: None,
            version_at_request: 0,
            next_request: Micros::ZERO,
            failures: 0,
            avoided: BTreeMap::new(),
            next_store_read: Micros::ZERO,
            store_reads: 0,
        }
    }

    /// Records the version that a peer has reported.
    pub fn on_peer_version(&mut self, version: u64, now: Micros) {
        self.newest = self.newest.max(version);
        if self.is_behind() && self.behind_since.is_none() {
            self.behind_since = Some(now);
            self.next_store_read = now.after(STORE_FALLBACK_DELAY);
        }
    }

    /// Records the version that this box has, whatever its source.
    pub fn on_progress(&mut self, version: u64, now: Micros) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.failures = 0;
        self.store_reads = 0;
        self.behind_since = self.is_behind().then_some(now);
        self.next_store_read = now.after(STORE_FALLBACK_DELAY);
    }

    /// Records the result of a request to a peer.
    pub fn on_fetch_ended(
        &mut self,
        from: SocketAddr,
        outcome: FetchOutcome,
        rng: &mut ChaCha8Rng,
        now: Micros,
    ) {
        let avoided_for = match outcome {
            FetchOutcome::Complete => {
                self.next_request = now.after(MIN_FETCH_INTERVAL);
                if self.version == self.version_at_request {
                    // The answer brought nothing newer; no request is made until a peer reports a
                    // newer version again.
                    self.forget_newest();
                }
                return;
            }
            FetchOutcome::Busy => BUSY_PEER_AVOIDED_FOR,
            FetchOutcome::Failed => FAILED_PEER_AVOIDED_FOR,
        };
        self.avoided.insert(from, now.after(avoided_for));
        self.next_request = now.after(FAILURE_BACKOFF.pause(self.failures, rng));
        self.failures += 1;
    }

    /// Chooses the peer to request from now, if any, and records the request.
    pub fn choose_holder(
        &mut self,
        holders: impl Iterator<Item = Holder>,
        rng: &mut ChaCha8Rng,
        now: Micros,
    ) -> Option<SocketAddr> {
        if !self.is_behind() || now < self.next_request {
            return None;
        }
        self.avoided.retain(|_, until| now < *until);
        let mut has_newer_holder = false;
        let mut best: Option<(Rank, SocketAddr)> = None;
        for holder in holders.filter(|h| h.version > self.version) {
            has_newer_holder = true;
            let rank = Rank::of(&holder, rng);
            let is_better = best.is_none_or(|(best, _)| rank > best);
            if is_better && !self.avoided.contains_key(&holder.address) {
                best = Some((rank, holder.address));
            }
        }
        if !has_newer_holder {
            // The peers that reported a newer version have exited, so this box is not behind.
            self.forget_newest();
            return None;
        }
        let pause = if best.is_some() {
            self.version_at_request = self.version;
            FETCH_TIMEOUT
        } else {
            FAILURE_BACKOFF.pause(self.failures, rng)
        };
        self.next_request = now.after(pause);
        best.map(|(_, address)| address)
    }

    fn forget_newest(&mut self) {
        self.newest = self.version;
        self.behind_since = None;
    }

    /// Whether the store is to be read as well; records the read. Only a table is read: an endpoint
    /// list takes several calls, and attempts also reveal its changes.
    pub fn wants_store(&mut self, rng: &mut ChaCha8Rng, now: Micros) -> bool {
        let is_due = self.behind_since.is_some() && now >= self.next_store_read;
        if self.kind != FetchKind::Table || !is_due {
            return false;
        }
        self.next_store_read = now.after(STORE_READ_BACKOFF.pause(self.store_reads, rng));
        self.store_reads += 1;
        true
    }

    /// Whether this box has been behind for some time.
    #[must_use]
    pub fn is_behind_for(&self, time: Duration, now: Micros) -> bool {
        self.behind_since
            .is_some_and(|since| self.is_behind() && now.since(since) >= time)
    }

    /// Time of the next decision, if this box is behind.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.is_behind().then(|| match self.kind {
            FetchKind::Table => self.next_request.min(self.next_store_read),
            FetchKind::Endpoints => self.next_request,
        })
    }

    fn is_behind(&self) -> bool {
        self.newest > self.version
    }
}
