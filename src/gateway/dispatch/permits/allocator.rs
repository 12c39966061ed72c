//! The token bucket from which the owner of a limit allocates permits.
//!
//! Permits accrue at the rate that the endpoint names, up to [`burst`]. They go to the latest
//! requester first: the request that a permit is for waits only a moment, or goes elsewhere. Nothing
//! is allocated before [`PermitAllocator::starts`].
//!
//! Inputs: permit requests, the rate, the time. The alternative, to serve the oldest request first,
//! gives permits to boxes whose request has gone elsewhere.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::dispatch::fleet::directives::limits::RequestRate;
use crate::schema::Micros;

/// How long a permit request is kept: about as long as a request waits that no other endpoint can
/// take.
const REQUEST_LIFETIME: Duration = Duration::from_millis(150);
/// Boxes that may wait for permits of one endpoint; beyond it the oldest request is dropped.
const MAX_PENDING_REQUESTS: usize = 64;
/// Permits that one permit request may ask for.
const MAX_PERMITS_PER_REQUEST: u32 = 32;
/// Requests a second at which permits accrue at least, even if the endpoint names a limit of 0: one
/// request in 20 s finds out whether the limit has ended.
const MIN_RATE: f64 = 0.05;
/// Burst of a fast endpoint, in seconds of its rate.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Burst of a slow endpoint in permits: its rate, between 1 and this.
const MAX_SLOW_BURST: f64 = 2.0;

/// A box that requests permits, and how many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitRequester {
    /// The address to which permits are sent.
    pub reply_to: SocketAddr,
    /// Permits that are requested, or allocated to it.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    requester: PermitRequester,
    at: Micros,
}

/// Allocates the permits for one endpoint.
#[derive(Clone, Debug)]
pub struct PermitAllocator {
    starts: Micros,
    /// Permits in the token bucket.
    available: f64,
    /// When `available` was last updated.
    refilled_at: Micros,
    /// Permit requests in the order in which they are served, the next one last.
    pending: Vec<PendingRequest>,
}

/// The size of the token bucket, in permits.
fn burst(rate: f64) -> f64 {
    let slow = rate.clamp(1.0, MAX_SLOW_BURST);
    slow.max(rate * BURST_TIME.as_secs_f64())
}

impl PermitAllocator {
    /// An allocator with an empty bucket that allocates nothing before `starts`.
    #[must_use]
    pub fn new(starts: Micros) -> Self {
        Self {
            starts,
            available: 0.0,
            refilled_at: starts,
            pending: Vec::new(),
        }
    }

    /// Empties the bucket and allocates nothing before `starts`.
    pub fn pause_until(&mut self, starts: Micros) {
        self.starts = self.starts.max(starts);
        self.refilled_at = self.refilled_at.max(starts);
        self.available = 0.0;
    }

    /// Adds a permit request, which replaces an earlier one of the same box.
    pub fn on_request(&mut self, requester: PermitRequester, now: Micros) {
        self.pending.retain(|pending| {
            pending.requester.reply_to != requester.reply_to && is_pending(pending, now)
        });
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.remove(0);
        }
        let wanted = requester.wanted.min(MAX_PERMITS_PER_REQUEST);
        let requester = PermitRequester {
            wanted,
            ..requester
        };
        self.pending.push(PendingRequest { requester, at: now });
    }

    /// Allocates the permits that are available; returns how many each requester gets.
    pub fn allocate(&mut self, rate: RequestRate, now: Micros) -> Vec<PermitRequester> {
        let rate = rate.per_second().max(MIN_RATE);
        let accrued = rate * now.since(self.refilled_at).as_secs_f64();
        self.available = (self.available + accrued).min(burst(rate));
        self.refilled_at = self.refilled_at.max(now);
        self.pending.retain(|pending| is_pending(pending, now));
        let mut allocated: Vec<PermitRequester> = Vec::new();
        while now >= self.starts && self.available >= 1.0 {
            let Some(mut pending) = self.pending.pop() else {
                break;
            };
            self.available -= 1.0;
            add_one(&mut allocated, pending.requester.reply_to);
            pending.requester.wanted -= 1;
            if pending.requester.wanted > 0 {
                self.pending.insert(0, pending);
            }
        }
        allocated
    }

    /// When the next permit can be allocated, if a request is pending.
    #[must_use]
    pub fn due(&self, rate: RequestRate) -> Option<Micros> {
        if self.pending.is_empty() {
            return None;
        }
        let missing = (1.0 - self.available).max(0.0);
        let wait = missing / rate.per_second().max(MIN_RATE);
        let due = self.refilled_at.after(Duration::from_secs_f64(wait));
        Some(due.max(self.starts))
    }
}

fn is_pending(pending: &PendingRequest, now: Micros) -> bool {
    pending.requester.wanted > 0 && now.since(pending.at) < REQUEST_LIFETIME
}

fn add_one(allocated: &mut Vec<PermitRequester>, reply_to: SocketAddr) {
    match allocated.iter_mut().find(|r| r.reply_to == reply_to) {
        Some(requester) => requester.wanted += 1,
        None => allocated.push(PermitRequester {
            reply_to,
            wanted: 1,
        }),
    }
}
