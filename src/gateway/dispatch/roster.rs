//! Running boxes: each box of the own failure domain, and the number of boxes in every other
//! domain.
//!
//! Each box increments a heartbeat counter with every message, and includes the counters of all
//! running boxes of its domain in each message inside the domain. A box counts as running as long
//! as its counter grows: a greater counter, received directly or from another box, proves that the
//! box was alive, since only the box itself can produce it. So a box knows all of its domain
//! without a direct message from each member: with 59 boxes and seven messages a second, a direct
//! message from a given box arrives only every 9 s. Of other domains only the number of boxes is
//! passed on, with its age.
//!
//! Rejected alternatives (docs/PLATFORM.md): ages instead of counters (each hop subtracts its
//! delay, so that dead boxes of a loaded fleet look recent), heartbeats to all boxes of the domain
//! (58 datagrams a second instead of seven), and direct probes of a few neighbours with gossip of
//! joins and leaves (fewer bytes, more states).
//!
//! Inputs: messages of boxes. State: heartbeat counters, domain sizes, and how long each is valid.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::schema::{DomainId, DomainSize, Micros, RunningBox};

/// Time without a growing heartbeat counter after which a box no longer counts as running: ten
/// gossip intervals. In 20 calm seconds of 295 boxes no store watcher is taken for lost
/// (`tests/large_fleet.rs`).
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the counter of a box that doesn't run is kept, so that an old counter value is
/// not taken for a new one.
const ROSTER_RETENTION: Duration = Duration::from_secs(30);
/// Validity of another domain's size without an update: somewhat longer than a failure domain is
/// cut off in most cases.
const DOMAIN_SIZE_VALID_FOR: Duration = Duration::from_secs(30);
/// Time for which another domain's size counts for the size of the fleet without an update: a domain
/// that is cut off goes on making its part of the retries.
const DOMAIN_SIZE_REMEMBERED_FOR: Duration = Duration::from_secs(600);
/// Time for which the peak size of the fleet counts after the size fell: the window of the callers'
/// retry budgets, in which retries by boxes that have exited still count.
const PEAK_SIZE_WINDOW: Duration = Duration::from_secs(10);
/// Time after the start in which a box with peers takes the fleet size for unknown. With 2 s no box
/// got a share of the retry reserve when all boxes restarted after a power loss.
const SETTLE_TIME: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    count: u64,
    /// Time at which the counter grew last.
    at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Size {
    boxes: usize,
    at: Micros,
}

/// Running boxes, as far as this box knows.
#[derive(Debug)]
pub struct Roster {
    me: SocketAddr,
    domain: DomainId,
    started: Micros,
    members: BTreeMap<SocketAddr, Heartbeat>,
    /// Sizes of the other domains, also of those that are not valid any more.
    sizes: BTreeMap<DomainId, Size>,
    /// When expired entries were last removed.
    expired_at: Micros,
    peak: Size,
}

impl Roster {
    /// Creates the roster of a box that knows no other box.
    #[must_use]
    pub fn new(me: SocketAddr, domain: DomainId, now: Micros) -> Self {
        Self {
            me,
            domain,
            started: now,
            members: BTreeMap::new(),
            sizes: BTreeMap::new(),
            expired_at: now,
            peak: Size { boxes: 1, at: now },
        }
    }

    /// Processes a heartbeat counter of a box in the own domain; returns whether it has grown.
    pub fn on_heartbeat(&mut self, address: SocketAddr, count: u64, now: Micros) -> bool {
        let known = self.members.get(&address);
        let is_new = address != self.me && known.is_none_or(|known| known.count < count);
        if is_new {
            self.members.insert(address, Heartbeat { count, at: now });
        }
        is_new
    }

    /// Processes the boxes of the own domain that a peer lists as running.
    pub fn on_members(&mut self, members: &[RunningBox], now: Micros) {
        for member in members {
            // An invalid address is skipped; the next message may hold a valid one.
            if let Some(address) = unpack_address(&member.address) {
                self.on_heartbeat(address, member.beat, now);
            }
        }
    }

    /// Processes the sizes of other domains; keeps the most recent of each.
    pub fn on_sizes(&mut self, sizes: &[DomainSize], now: Micros) {
        for size in sizes.iter().filter(|size| size.domain != self.domain) {
            let at = now.before(Duration::from_millis(size.age_ms.into()));
            let known = self.sizes.get(&size.domain);
            if known.is_none_or(|known| known.at < at) {
                let boxes = size.boxes as usize;
                self.sizes.insert(size.domain.clone(), Size { boxes, at });
            }
        }
    }

    /// Removes expired entries and updates the peak size of the fleet.
    pub fn expire(&mut self, now: Micros) {
        self.members
            .retain(|_, heartbeat| now.since(heartbeat.at) < ROSTER_RETENTION);
        self.sizes
            .retain(|_, size| now.since(size.at) < DOMAIN_SIZE_REMEMBERED_FOR);
        self.expired_at = now;
        let remembered: usize = self.sizes.values().map(|size| size.boxes).sum();
        let boxes = remembered + self.domain_size(now);
        if boxes >= self.peak.boxes || now.since(self.peak.at) >= PEAK_SIZE_WINDOW {
            self.peak = Size { boxes, at: now };
        }
    }

    /// Shifts all times by a process pause, in which no message could be received. Without this a
    /// box that resumes takes all others for dead, begins to read the store, and takes the whole
    /// reserve of retries.
    pub fn on_process_pause(&mut self, time: Duration) {
        for heartbeat in self.members.values_mut() {
            heartbeat.at = heartbeat.at.after(time);
        }
        for size in self.sizes.values_mut() {
            size.at = size.at.after(time);
        }
        self.peak.at = self.peak.at.after(time);
    }

    /// Running boxes of the own domain, this one excluded.
    pub fn running(&self, now: Micros) -> impl Iterator<Item = SocketAddr> {
        let running = self.members.iter();
        let running =
            running.filter(move |(_, heartbeat)| now.since(heartbeat.at) < HEARTBEAT_TIMEOUT);
        running.map(|(address, _)| *address)
    }

    /// Whether a box of the own domain is known, and its heartbeat has timed out.
    #[must_use]
    pub fn is_lost(&self, address: SocketAddr, now: Micros) -> bool {
        let heartbeat = self.members.get(&address);
        heartbeat.is_some_and(|heartbeat| now.since(heartbeat.at) >= HEARTBEAT_TIMEOUT)
    }

    /// Address at which peers reach this box.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.me
    }

    /// Other domains with at least one box.
    #[must_use]
    pub fn other_domains(&self) -> Vec<DomainId> {
        let running = self.valid_sizes().filter(|(_, size)| size.boxes > 0);
        running.map(|(domain, _)| domain.clone()).collect()
    }

    /// Number of boxes in all other domains.
    #[must_use]
    pub fn boxes_in_other_domains(&self) -> usize {
        self.valid_sizes().map(|(_, size)| size.boxes).sum()
    }

    fn valid_sizes(&self) -> impl Iterator<Item = (&DomainId, &Size)> {
        let sizes = self.sizes.iter();
        sizes.filter(|(_, size)| self.expired_at.since(size.at) < DOMAIN_SIZE_VALID_FOR)
    }

    /// Number of running boxes in the own domain, this one included.
    #[must_use]
    pub fn domain_size(&self, now: Micros) -> usize {
        self.running(now).count() + 1
    }

    /// Peak number of boxes in all domains within [`PEAK_SIZE_WINDOW`], this one included; `None`
    /// until [`SETTLE_TIME`] after the start, unless no other box is known.
    #[must_use]
    pub fn fleet_size(&self, now: Micros) -> Option<usize> {
        let is_alone = self.members.is_empty() && self.sizes.is_empty();
        let is_settled = is_alone || now.since(self.started) >= SETTLE_TIME;
        is_settled.then_some(self.peak.boxes)
    }

    /// Running boxes of the own domain, to be published inside it.
    #[must_use]
    pub fn members_to_publish(&self, now: Micros) -> Vec<RunningBox> {
        let running = self.members.iter();
        let running = running.filter(|(_, heartbeat)| now.since(heartbeat.at) < HEARTBEAT_TIMEOUT);
        let published = running.map(|(address, heartbeat)| running_box(*address, heartbeat.count));
        published.collect()
    }

    /// Sizes of all domains, to be published.
    #[must_use]
    pub fn domain_sizes(&self, now: Micros) -> Vec<DomainSize> {
        let own = DomainSize {
            domain: self.domain.clone(),
            boxes: self.domain_size(now) as u32,
            age_ms: 0,
        };
        let others = self.sizes.iter().map(|(domain, size)| DomainSize {
            domain: domain.clone(),
            boxes: size.boxes as u32,
            age_ms: now.since(size.at).as_millis() as u32,
        });
        std::iter::once(own).chain(others).collect()
    }
}

/// Builds the published form of a box.
#[must_use]
pub fn running_box(address: SocketAddr, heartbeat: u64) -> RunningBox {
    RunningBox {
        address: pack_address(address),
        beat: heartbeat,
    }
}

/// Encodes an address: the bytes of its IP number, then its port in network byte order.
#[must_use]
pub fn pack_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes [`pack_address`]; `None` if the length fits no address.
#[must_use]
pub fn unpack_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
