//! Clocks: the monotonic clock of a box, and the hybrid logical clock that orders the events of all
//! boxes on the time line.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::schema::{HybridTime, Micros};

/// A wall-clock time in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct UnixMillis(pub u64);

/// The low bits of a [`HybridTime`], which count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// Starts a clock whose current time is zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Micros {
        Micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a reading of this clock to an [`Instant`].
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(at.0)
    }
}

/// A hybrid logical clock: wall time that never runs backwards and never falls behind the readings
/// received from peers.
#[derive(Debug, Default)]
pub struct Hybrid {
    last: AtomicU64,
}

impl Hybrid {
    /// Returns a reading greater than all earlier readings and all observed ones.
    pub fn tick(&self) -> HybridTime {
        let wall = wall_millis() << COUNTER_BITS;
        let previous = self
            .last
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |last| {
                Some(wall.max(last + 1))
            })
            .unwrap_or(wall);
        HybridTime(wall.max(previous + 1))
    }

    /// Advances the clock to a reading received from a peer.
    pub fn observe(&self, other: HybridTime) {
        self.last.fetch_max(other.0, Ordering::SeqCst);
    }
}

impl HybridTime {
    /// The wall-clock part, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The position of the event within its millisecond.
    #[must_use]
    pub fn counter(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

/// Returns an incarnation number, which is greater for every later start of a process on this box.
///
/// It is the wall-clock time in microseconds, and so needs a clock that isn't set back between two
/// starts; within a process, later calls always return greater numbers.
#[must_use]
pub fn incarnation() -> u64 {
    static LAST: Mutex<u64> = Mutex::new(0);
    let micros = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(0));
    let mut last = LAST
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    *last = micros.max(*last + 1);
    *last
}
