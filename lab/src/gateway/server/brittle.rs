//! A server that falls over when it turns too many requests away in a second for want of room.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// How long a server that fell over is away.
const AWAY: Duration = Duration::from_millis(1_500);

/// What a brittle server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reception {
    /// It runs the request.
    Runs,
    /// It has no room.
    Rejects,
    /// It is away.
    Away,
}

/// The room and the rejections of a brittle server, which lets no request wait.
#[derive(Debug)]
pub struct Brittle {
    /// Rejections a second that it bears.
    pub bears: usize,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// How often it fell over.
    pub falls: usize,
    running: usize,
    rejected: VecDeque<Instant>,
    away_until: Option<Instant>,
}

impl Brittle {
    /// A server without requests.
    #[must_use]
    pub fn new(bears: usize, slots: usize, work: Duration) -> Self {
        Self {
            bears,
            slots,
            work,
            falls: 0,
            running: 0,
            rejected: VecDeque::new(),
            away_until: None,
        }
    }

    /// Receives a request; one that runs is to be ended by [`Self::end`].
    pub fn receive(&mut self, now: Instant) -> Reception {
        if self.away_until.is_some_and(|until| now < until) {
            return Reception::Away;
        }
        if self.running < self.slots {
            self.running += 1;
            return Reception::Runs;
        }
        self.rejected.push_back(now);
        self.rejected.retain(|at| now.duration_since(*at) < WINDOW);
        if self.rejected.len() > self.bears {
            self.falls += 1;
            self.rejected.clear();
            self.away_until = Some(now + AWAY);
        }
        Reception::Rejects
    }

    /// Ends a run.
    pub fn end(&mut self) {
        self.running -= 1;
    }
}
