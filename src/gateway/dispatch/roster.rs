//! Who runs: the boxes of the own failure domain one by one, those of other domains by number.
//!
//! Each box counts its own messages, its beat, and passes on the beats of all running boxes of its
//! domain with each message inside the domain. A box runs as long as its beat grows: whoever hears
//! a greater beat, from itself or from another, has a sign of life that nobody else can make. So
//! each box knows all of its domain without hearing each of them: with 59 boxes and seven messages
//! a second, one hears another directly each 9 s only.
//! Of other domains only the number of boxes is passed on, with its age.
//!
//! Weighed (docs/PLATFORM.md): ages instead of beats (each hop takes off its delay, so that the
//! dead of a loaded fleet stay young), heartbeats to all boxes of the domain (58 datagrams a second
//! in place of seven), direct probes of a few neighbours with news of joining and leaving (fewer
//! bytes, more states).
//!
//! Inputs: messages of boxes. Owns: the beats, the numbers, and for how long each is believed.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::schema::{DomainId, DomainSize, Micros, RunningBox};

/// How long a box counts as running whose beat doesn't grow: ten messages. In 20 calm seconds of 295
/// boxes no watcher of the store is taken for lost (`tests/large_fleet.rs`).
const BEAT_FOR: Duration = Duration::from_secs(3);
/// How long a box that doesn't run is remembered, so that an old beat of it is not taken for a new
/// one.
const ROSTER_KEPT: Duration = Duration::from_secs(30);
/// How long the number of boxes of another domain counts that nobody renews: some longer than a
/// failure domain is cut off in most cases.
const SIZE_FOR: Duration = Duration::from_secs(30);
/// For how long the greatest number of boxes counts after it fell: the window of the users' retry
/// budgets, since what boxes that are gone have spent still counts in it.
const MOST_FOR: Duration = Duration::from_secs(10);
/// How long a box that starts and hears others takes their number for unknown. With 2 s no box had
/// a part of the reserve when all came back from a loss of power.
const SETTLED_AFTER: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct Beat {
    count: u64,
    /// When it was seen to grow.
    at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Size {
    boxes: usize,
    at: Micros,
}

/// Who runs, as far as a box knows.
#[derive(Debug)]
pub struct Roster {
    me: SocketAddr,
    domain: DomainId,
    started: Micros,
    members: BTreeMap<SocketAddr, Beat>,
    sizes: BTreeMap<DomainId, Size>,
    most: Size,
}

impl Roster {
    /// A box of a failure domain that knows nobody yet.
    #[must_use]
    pub fn new(me: SocketAddr, domain: DomainId, now: Micros) -> Self {
        Self {
            me,
            domain,
            started: now,
            members: BTreeMap::new(),
            sizes: BTreeMap::new(),
            most: Size { boxes: 1, at: now },
        }
    }

    /// Takes in the beat of a box of the own domain; returns whether it is a sign of life.
    pub fn on_beat(&mut self, address: SocketAddr, count: u64, now: Micros) -> bool {
        let known = self.members.get(&address);
        let is_new = address != self.me && known.is_none_or(|known| known.count < count);
        if is_new {
            self.members.insert(address, Beat { count, at: now });
        }
        is_new
    }

    /// Takes in the boxes of the own domain that a peer takes for running.
    pub fn on_members(&mut self, members: &[RunningBox], now: Micros) {
        for member in members {
            // An address that can't be read is of no use, and the next message may hold a better one.
            if let Some(address) = unpack_address(&member.address) {
                self.on_beat(address, member.beat, now);
            }
        }
    }

    /// Takes in how many boxes other domains have.
    pub fn on_sizes(&mut self, sizes: &[DomainSize], now: Micros) {
        for told in sizes.iter().filter(|told| told.domain != self.domain) {
            let at = now.before(Duration::from_millis(told.age_ms.into()));
            let known = self.sizes.get(&told.domain);
            if known.is_none_or(|known| known.at < at) {
                let boxes = told.boxes as usize;
                self.sizes.insert(told.domain.clone(), Size { boxes, at });
            }
        }
    }

    /// Forgets what is too old to matter, and notes the number of boxes.
    pub fn settle(&mut self, now: Micros) {
        self.members
            .retain(|_, beat| now.since(beat.at) < ROSTER_KEPT);
        self.sizes.retain(|_, size| now.since(size.at) < SIZE_FOR);
        let boxes = self.boxes_of_others() + self.domain_size(now);
        if boxes >= self.most.boxes || now.since(self.most.at) >= MOST_FOR {
            self.most = Size { boxes, at: now };
        }
    }

    /// Has what is known grow no older by a time in which this box stood still, since it could hear
    /// nobody then. A box that wakes from a freeze and takes all others for dead begins to read the
    /// store, and takes the whole reserve of retries.
    pub fn on_process_pause(&mut self, time: Duration) {
        for beat in self.members.values_mut() {
            beat.at = beat.at.after(time);
        }
        for size in self.sizes.values_mut() {
            size.at = size.at.after(time);
        }
        self.most.at = self.most.at.after(time);
    }

    /// The running boxes of the own domain, without this one.
    pub fn running(&self, now: Micros) -> impl Iterator<Item = SocketAddr> {
        let running = self.members.iter();
        let running = running.filter(move |(_, beat)| now.since(beat.at) < BEAT_FOR);
        running.map(|(address, _)| *address)
    }

    /// Whether a box of the own domain ran, and runs no more.
    #[must_use]
    pub fn is_lost(&self, address: SocketAddr, now: Micros) -> bool {
        let beat = self.members.get(&address);
        beat.is_some_and(|beat| now.since(beat.at) >= BEAT_FOR)
    }

    /// The address of this box.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.me
    }

    /// The other domains in which boxes run.
    #[must_use]
    pub fn other_domains(&self) -> Vec<DomainId> {
        let running = self.sizes.iter().filter(|(_, size)| size.boxes > 0);
        running.map(|(domain, _)| domain.clone()).collect()
    }

    /// How many boxes run in other domains.
    #[must_use]
    pub fn boxes_of_others(&self) -> usize {
        self.sizes.values().map(|size| size.boxes).sum()
    }

    /// How many boxes run in the own domain, with this one.
    #[must_use]
    pub fn domain_size(&self, now: Micros) -> usize {
        self.running(now).count() + 1
    }

    /// How many boxes have run at once in the last seconds, in all domains and with this one; none
    /// as long as this box has just begun to hear others.
    #[must_use]
    pub fn fleet_size(&self, now: Micros) -> Option<usize> {
        let is_alone = self.members.is_empty() && self.sizes.is_empty();
        let is_settled = is_alone || now.since(self.started) >= SETTLED_AFTER;
        is_settled.then_some(self.most.boxes)
    }

    /// The running boxes, to be told inside the domain.
    #[must_use]
    pub fn members_to_tell(&self, now: Micros) -> Vec<RunningBox> {
        let running = self.members.iter();
        let running = running.filter(|(_, beat)| now.since(beat.at) < BEAT_FOR);
        let told = running.map(|(address, beat)| running_box(*address, beat.count));
        told.collect()
    }

    /// The numbers of boxes, to be told.
    #[must_use]
    pub fn sizes_to_tell(&self, now: Micros) -> Vec<DomainSize> {
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

/// A box as it is told.
#[must_use]
pub fn running_box(address: SocketAddr, beat: u64) -> RunningBox {
    RunningBox {
        address: pack_address(address),
        beat,
    }
}

/// The bytes of an address: its IP number, then its port.
#[must_use]
pub fn pack_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Reads the bytes of an address, if they are one.
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
