//! Times at which the watches of tables and endpoints end.
//!
//! Peers take a box for a watcher of the store only while the store answers it. The two watches of a
//! box are answered independently, so their ends are kept half a period apart: the store then
//! answers the box twice a period at no cost in calls. A shorter period would cost calls, and a
//! separate question would prove nothing of the watches.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;
use crate::gateway::shell::dialect::ObjectKind;

/// Longest watch of tables or endpoints: twice the interval between answers.
const LONGEST_WATCH: Duration = MAX_ANSWER_INTERVAL.saturating_mul(2);
/// Shortest watch, so that answers in quick succession cost few calls.
const SHORTEST_WATCH: Duration = Duration::from_millis(100);

/// When the store answered last, and when the watches in progress end.
#[derive(Debug, Default)]
pub struct WatchPhase {
    state: Mutex<PhaseState>,
}

#[derive(Debug, Default)]
struct PhaseState {
    last_answer: Option<Instant>,
    table_end: Option<Instant>,
    endpoints_end: Option<Instant>,
}

impl WatchPhase {
    /// Records an answer of the store to a list or a watch of tables or endpoints.
    pub fn on_answer(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last_answer = Some(now);
    }

    /// Returns how long a watch that begins now waits, and records its end. `longest` is the wait by
    /// the settings; kinds without a phase wait that long.
    #[must_use]
    pub fn begin_watch(&self, kind: ObjectKind, longest: Duration, now: Instant) -> Duration {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let longest_in_phase = longest.min(LONGEST_WATCH);
        let half = longest_in_phase / 2;
        // The other watch ends first, or this one ends half a period after the last answer.
        let next_answer = state.last_answer.unwrap_or(now) + half;
        let PhaseState {
            table_end,
            endpoints_end,
            ..
        } = &mut *state;
        let (own_end, other_end) = match kind {
            ObjectKind::Table => (table_end, *endpoints_end),
            ObjectKind::Endpoints => (endpoints_end, *table_end),
            ObjectKind::Rollouts | ObjectKind::Quarantine | ObjectKind::Streams => return longest,
        };
        let end = match other_end {
            Some(other) if other > now && other <= next_answer => other + half,
            _ => next_answer,
        };
        let least = SHORTEST_WATCH.min(longest_in_phase);
        let wait = end.saturating_duration_since(now);
        let wait = wait.clamp(least, longest_in_phase);
        *own_end = Some(now + wait);
        wait
    }
}
