//! Limits on the connections of a listener, which may change while connections are open.
//!
//! A caller may know an older or a newer configuration than this box, and keeps to the one that it
//! knows. So a connection is granted the most that any limits in force allowed since its present
//! idle time, or its present head, began. The alternative, the limits at the time of the accept,
//! closes connections that a newer configuration lets callers reuse.

use std::collections::VecDeque;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Time for which a connection may be idle beyond its limit: callers may know a configuration with a
/// longer idle time before this box does, and a close that meets a request loses it.
pub const IDLE_MARGIN: Duration = Duration::from_secs(3);
/// Least time-out for receiving the head of a request, from its first byte.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on connections and on the heads of their requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Longest idle time of a connection.
    pub idle: Duration,
    /// Maximum size of a request's head, bytes.
    pub head_bytes: usize,
}

impl ConnectionLimits {
    fn allows_all_of(self, other: Self) -> bool {
        self.most(other) == self
    }

    fn most(self, other: Self) -> Self {
        Self {
            idle: self.idle.max(other.idle),
            head_bytes: self.head_bytes.max(other.head_bytes),
        }
    }
}

#[derive(Debug)]
struct History {
    current: ConnectionLimits,
    /// Earlier limits, oldest first, with the time at which each was superseded.
    superseded: VecDeque<(Instant, ConnectionLimits)>,
}

/// The limits in force, and the earlier ones that still count; clones refer to the same limits.
#[derive(Clone, Debug)]
pub struct LimitsInForce {
    history: Arc<RwLock<History>>,
}

impl LimitsInForce {
    /// Creates limits that are in force until others are set.
    #[must_use]
    pub fn new(first: ConnectionLimits) -> Self {
        let history = History {
            current: first,
            superseded: VecDeque::new(),
        };
        Self {
            history: Arc::new(RwLock::new(history)),
        }
    }

    /// Puts limits into force. Earlier ones are forgotten once no idle time and no head of an open
    /// connection can have begun while they were in force, or if later ones allow more.
    pub fn set(&self, limits: ConnectionLimits, now: Instant) {
        if self.current() == limits {
            return;
        }
        let mut history = self.history.write().unwrap_or_else(PoisonError::into_inner);
        let before = std::mem::replace(&mut history.current, limits);
        let kept_for = history.most_since(None).most(before).idle + IDLE_MARGIN + HEAD_TIMEOUT;
        history.superseded.retain(|(until, earlier)| {
            now.saturating_duration_since(*until) <= kept_for && !before.allows_all_of(*earlier)
        });
        history.superseded.push_back((now, before));
    }

    /// The limits in force.
    #[must_use]
    pub fn current(&self) -> ConnectionLimits {
        self.read().current
    }

    /// The most that any limits in force at `since` or later allow.
    #[must_use]
    pub fn most_since(&self, since: Instant) -> ConnectionLimits {
        self.read().most_since(Some(since))
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, History> {
        self.history.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl History {
    fn most_since(&self, since: Option<Instant>) -> ConnectionLimits {
        let newest_first = self.superseded.iter().rev();
        newest_first
            .take_while(|(until, _)| since.is_none_or(|since| *until >= since))
            .fold(self.current, |most, (_, limits)| most.most(*limits))
    }
}
