//! What a node is told at its start, and the constants of its policy.

use std::time::Duration;

use crate::keyed::settings::{Recovery, Routing, Settings};
use crate::schema::{BoxId, DomainId, Incarnation, Member, PeerSeed};

/// Heartbeats that must be missing before a box counts as silent.
pub const SILENT_HEARTBEATS: u32 = 4;
/// Heartbeats that must be missing before a box is removed from the roster.
pub const REMOVAL_HEARTBEATS: u32 = 8;
/// Every how many heartbeats a box of another failure domain gets one.
pub const REMOTE_HEARTBEATS: u64 = 5;
/// Heartbeats of another failure domain that must be missing before it counts as cut off.
pub const REMOTE_SILENT_HEARTBEATS: u32 = 20;
/// How often the roster is read within one lease.
pub const READS_PER_LEASE: u32 = 3;
/// How long a caller's request may be without a home.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(3);
/// How long the successor may take to hold a call's intent.
pub const INTENT_LIMIT: Duration = Duration::from_millis(400);
/// How long a finished answer is kept for a caller that comes back.
pub const FINISHED_KEPT: Duration = Duration::from_secs(60);
/// How long a generation goes on without a caller.
pub const ORPHAN_KEPT: Duration = Duration::from_secs(20);
/// When a refused caller may come back, if nothing better is known.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long deferrable requests gather before they are written together.
pub const FLUSH_DELAY: Duration = Duration::from_millis(300);
/// The most requests in one group of deferrable work.
pub const BATCH_ITEMS: usize = 128;
/// The most bytes that a group and its results may come to.
pub const BATCH_BYTES: usize = 700_000;
/// Bytes of result text that a token is reckoned as.
pub const RESULT_BYTES_PER_TOKEN: usize = 8;
/// The most deferrable requests that a failure domain runs at once for one scribe.
pub const DEFERRED_RUNNING: usize = 128;
/// The most boxes that pass a request on.
pub const MAX_HOPS: u16 = 4;
/// How long a lease may have been confirmed before an order to an endpoint that doesn't check.
pub const ORDER_LEASE_AGE: Duration = Duration::from_millis(500);
/// The least time between two orders of one box, which keeps to the weight store's rate.
pub const ORDER_SPACING: Duration = Duration::from_millis(500);
/// How often a box that doesn't watch reads the bundle pointer.
pub const POINTER_READ: Duration = Duration::from_secs(15);
/// Heartbeat messages carry at most this many load reports, to fit one datagram.
pub const LOADS_PER_HEARTBEAT: usize = 16;
/// How often endpoints are asked for their load, in heartbeats, while there are few boxes.
pub const POLL_HEARTBEATS: u32 = 2;
/// How many boxes of a failure domain add one heartbeat to that.
pub const BOXES_PER_POLL_HEARTBEAT: u32 = 5;
/// The most runs of one generation before it is given up.
pub const MAX_ATTEMPTS: u32 = 12;
/// The fixed time-out of the baseline that suspects by a constant.
pub const BASELINE_TIMEOUT: Duration = Duration::from_secs(2);

/// The identity of a node and its limits.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// This box with its life and its address for peers.
    pub me: Member,
    /// Its failure domain.
    pub domain: DomainId,
    /// All failure domains.
    pub domains: Vec<DomainId>,
    /// Boxes to speak to first.
    pub seeds: Vec<PeerSeed>,
    /// How long a read of the roster lets this box act.
    pub lease: Duration,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// How far two clocks may drift apart over one lease.
    pub clock_bound: Duration,
    /// How many requests are held at once.
    pub max_requests: usize,
    /// How many tokens of answers are held at once.
    pub max_tokens_held: usize,
    /// How long a stop waits for streams.
    pub stop_grace: Duration,
    /// How broken generations are made good.
    pub recovery: Recovery,
    /// How endpoints are chosen.
    pub routing: Routing,
}

impl NodeConfig {
    /// Takes what a node needs from the settings.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: Incarnation, peers_address: String) -> Self {
        let id: BoxId = settings.box_id.clone();
        Self {
            me: Member {
                id,
                incarnation,
                address: peers_address,
            },
            domain: settings.domain.clone(),
            domains: settings.domains.clone(),
            seeds: settings.seeds.clone(),
            lease: settings.lease,
            heartbeat: settings.heartbeat,
            clock_bound: settings.clock_bound,
            max_requests: settings.max_requests,
            max_tokens_held: settings.max_tokens_held,
            stop_grace: settings.stop_grace,
            recovery: settings.recovery,
            routing: settings.routing,
        }
    }

    /// The time after which a silent box of this failure domain counts as lost.
    #[must_use]
    pub fn silence(&self) -> Duration {
        self.heartbeat * SILENT_HEARTBEATS
    }

    /// The time after which a silent box may be removed from the roster.
    #[must_use]
    pub fn removal(&self) -> Duration {
        self.heartbeat * REMOVAL_HEARTBEATS
    }

    /// The time after which a box of another failure domain counts as out of reach.
    #[must_use]
    pub fn remote_silence(&self) -> Duration {
        self.heartbeat * REMOTE_SILENT_HEARTBEATS
    }

    /// The longest that a former home may still believe in its lease.
    #[must_use]
    pub fn lease_and_bound(&self) -> Duration {
        self.lease + self.clock_bound
    }
}
