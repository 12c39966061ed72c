//! Clocks: a box's own monotonic clock, and the hybrid logical clock of the time line.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::schema::{HybridTime, Micros};

/// A time of day, in milliseconds since 1970.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct UnixMillis(pub u64);

/// Bits of a hybrid reading that count events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// Starts a clock at zero.
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

    /// Returns the instant that a reading stands for.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(at.0)
    }
}

/// A hybrid logical clock: wall time that never runs backwards and follows what peers have sent.
#[derive(Debug, Default)]
pub struct Hybrid {
    last: AtomicU64,
}

impl Hybrid {
    /// Returns a reading later than all earlier ones and all that were observed.
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

    /// Takes in a reading of a peer.
    pub fn observe(&self, other: HybridTime) {
        self.last.fetch_max(other.0, Ordering::SeqCst);
    }
}

impl HybridTime {
    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Which event of its millisecond it is.
    #[must_use]
    pub fn counter(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}

/// Returns milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

/// Returns a number that is greater for every later start of a process on this box.
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
