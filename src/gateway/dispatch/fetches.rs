//! From whom a newer table or list is fetched, and when.
//!
//! The rule: a box that has heard of something newer asks one peer that has it: the newest first,
//! then who was heard just now, since others may be gone; then the own failure domain, since bytes
//! between domains are dear; and among these any. A peer that is busy or failed is left alone for a
//! while, and another one is asked; where nobody is left, an older version than the newest will do.
//! One question of a kind is under way at a time, until it takes longer than [`FETCH_PATIENCE`]:
//! then another peer is asked too, and the first is not disturbed.
//! A table that no peer has brought within [`STORE_AFTER`] is read from the store as well, so that a
//! box which doesn't watch it has two ways to each change.
//!
//! Inputs: what peers told, with its age; how questions ended. Owns: which questions are under way,
//! and whom not to ask. A peer limits how much it sends at once (`shell/transfer.rs`), since a link
//! that is shared by many brings none of them all in good time, and none can pass it on meanwhile.
//! Without that, with a fixed limit of 0.8 s and 2.3 askers a box, 82 of 88 boxes had no new table
//! for 10 to 18 s (docs/incidents/late-table.md).
//!
//! Table and endpoints are asked for apart: at 300 boxes a list of 3,000 endpoints kept the table
//! waiting up to 11.8 s.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::backoff::Backoff;
use crate::schema::Micros;

/// The least time between two questions of a kind after one was answered, so that changes gather.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// Pauses after a peer that was busy or failed, before another one is asked. Chosen between the
/// time in which a peer sends a packed table of 0.1 MB (0.1 s at 10 Mbit/s) and a connection (a few
/// milliseconds).
const TURNED_AWAY: Backoff = Backoff {
    first: Duration::from_millis(20),
    longest: Duration::from_millis(160),
    most_doublings: 3,
    jitter: 0.5..1.5,
};
/// How long a peer that was busy is not asked again. About one transfer.
const BUSY_FOR: Duration = Duration::from_millis(100);
/// How long a peer that failed is not asked again.
const FAILED_FOR: Duration = Duration::from_secs(2);
/// How long one question is waited for before another peer is asked as well.
const FETCH_PATIENCE: Duration = Duration::from_secs(3);
/// How long a table that peers have is waited for before it is read from the store as well: a half
/// of the shortest time in which users want a change in force (2 s).
const STORE_AFTER: Duration = Duration::from_secs(1);
/// Pauses between two reads of the store.
const STORE_READS: Backoff = Backoff {
    first: Duration::from_secs(1),
    longest: Duration::from_secs(8),
    most_doublings: 3,
    jitter: 0.5..1.5,
};

/// What one box can ask another for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchKind {
    /// The routing table.
    Table,
    /// Changes of the list of endpoints, or the whole of it.
    Endpoints,
}

/// How a question ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// It brought what the peer has.
    Complete,
    /// The peer answers others.
    Busy,
    /// No connection, or no answer.
    Failed,
}

/// A peer that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Its address.
    pub address: SocketAddr,
    /// What it has: the table's version, or the revision of the list.
    pub has: u64,
    /// Whether it was heard just now.
    pub is_fresh: bool,
    /// Whether it stands in the own failure domain.
    pub is_near: bool,
}

/// What speaks for asking a peer, the weightiest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    has: u64,
    is_fresh: bool,
    is_near: bool,
    draw: u32,
}

impl Rank {
    fn of(holder: &Holder, rng: &mut ChaCha8Rng) -> Self {
        Self {
            has: holder.has,
            is_fresh: holder.is_fresh,
            is_near: holder.is_near,
            draw: rng.random(),
        }
    }
}

/// Questions of one kind.
#[derive(Debug)]
pub struct Fetches {
    kind: FetchKind,
    /// What this box has.
    has: u64,
    /// The newest that a peer told of.
    newest: u64,
    /// Since when this box has been without something that a peer has.
    behind_since: Option<Micros>,
    /// What this box had when it asked last.
    had: u64,
    next: Micros,
    turned_away: u32,
    avoided: BTreeMap<SocketAddr, Micros>,
    next_store_read: Micros,
    store_reads: u32,
}

impl Fetches {
    /// Nothing is known and asked for yet.
    #[must_use]
    pub fn new(kind: FetchKind) -> Self {
        Self {
            kind,
            has: 0,
            newest: 0,
            behind_since: None,
            had: 0,
            next: Micros::ZERO,
            turned_away: 0,
            avoided: BTreeMap::new(),
            next_store_read: Micros::ZERO,
            store_reads: 0,
        }
    }

    /// Notes what a peer has.
    pub fn on_told(&mut self, has: u64, now: Micros) {
        self.newest = self.newest.max(has);
        if self.is_behind() && self.behind_since.is_none() {
            self.behind_since = Some(now);
            self.next_store_read = now.after(STORE_AFTER);
        }
    }

    /// Notes what this box has, wherever it came from.
    pub fn on_progress(&mut self, has: u64, now: Micros) {
        if has <= self.has {
            return;
        }
        self.has = has;
        self.turned_away = 0;
        self.store_reads = 0;
        self.behind_since = self.is_behind().then_some(now);
        self.next_store_read = now.after(STORE_AFTER);
    }

    /// Notes how a question to a peer ended.
    pub fn on_ended(
        &mut self,
        from: SocketAddr,
        outcome: FetchOutcome,
        rng: &mut ChaCha8Rng,
        now: Micros,
    ) {
        let avoided_for = match outcome {
            FetchOutcome::Complete => {
                self.next = now.after(FETCH_PAUSE);
                if self.has == self.had {
                    // What it brought is of no use here; nobody is asked until told anew.
                    self.forget_news();
                }
                return;
            }
            FetchOutcome::Busy => BUSY_FOR,
            FetchOutcome::Failed => FAILED_FOR,
        };
        self.avoided.insert(from, now.after(avoided_for));
        self.next = now.after(TURNED_AWAY.pause(self.turned_away, rng));
        self.turned_away += 1;
    }

    /// Chooses whom to ask now, if anybody; notes that it is asked.
    pub fn choose(
        &mut self,
        holders: impl Iterator<Item = Holder>,
        rng: &mut ChaCha8Rng,
        now: Micros,
    ) -> Option<SocketAddr> {
        if !self.is_behind() || now < self.next {
            return None;
        }
        self.avoided.retain(|_, until| now < *until);
        let mut knows_any = false;
        let mut best: Option<(Rank, SocketAddr)> = None;
        for holder in holders.filter(|h| h.has > self.has) {
            knows_any = true;
            let rank = Rank::of(&holder, rng);
            let is_better = best.is_none_or(|(best, _)| rank > best);
            if is_better && !self.avoided.contains_key(&holder.address) {
                best = Some((rank, holder.address));
            }
        }
        if !knows_any {
            // Those that told are gone, so there is nobody to be behind of.
            self.forget_news();
            return None;
        }
        let pause = if best.is_some() {
            self.had = self.has;
            FETCH_PATIENCE
        } else {
            TURNED_AWAY.pause(self.turned_away, rng)
        };
        self.next = now.after(pause);
        best.map(|(_, address)| address)
    }

    fn forget_news(&mut self) {
        self.newest = self.has;
        self.behind_since = None;
    }

    /// Whether the store is to be read too; notes that it is. A list takes several calls, and what
    /// is in it is found out by attempts too, so only a table is read.
    pub fn wants_store(&mut self, rng: &mut ChaCha8Rng, now: Micros) -> bool {
        let is_due = self.behind_since.is_some() && now >= self.next_store_read;
        if self.kind != FetchKind::Table || !is_due {
            return false;
        }
        self.next_store_read = now.after(STORE_READS.pause(self.store_reads, rng));
        self.store_reads += 1;
        true
    }

    /// When something is to be decided next.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.is_behind().then(|| match self.kind {
            FetchKind::Table => self.next.min(self.next_store_read),
            FetchKind::Endpoints => self.next,
        })
    }

    fn is_behind(&self) -> bool {
        self.newest > self.has
    }
}
