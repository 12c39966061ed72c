//! The leases of one endpoint's slots, kept by the box that grants them.
//!
//! At most [`LeaseBook::capacity`] leases are out at a time. That is the number of slots that the
//! endpoint's entry states; requests that wait at the endpoint are not counted on, since it may let
//! none wait. A rejection for lack of room shows that it has less: the capacity falls below what was
//! leased, and rises by one each [`RAISE_INTERVAL`]. Leases go to the latest requester first: the
//! request that a lease is for waits only a moment.
//!
//! Inputs: requests for leases, returns, the time.

use std::net::SocketAddr;
use std::time::Duration;

use crate::schema::Micros;

/// How long a request for a lease is kept: about as long as a request waits that no other endpoint
/// can take.
const ASK_LIFETIME: Duration = Duration::from_millis(150);
/// Boxes that may wait for leases of one endpoint; beyond it the oldest request is dropped.
const MAX_PENDING: usize = 64;
/// Time after which the capacity rises by one.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a book without leases is kept.
const RETENTION: Duration = Duration::from_secs(10);

/// Leases that a box wants, or gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotRequest {
    /// Address of the box.
    pub holder: SocketAddr,
    /// Number of leases.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    request: SlotRequest,
    at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    holder: SocketAddr,
    lapses: Micros,
}

/// The leases of one endpoint's slots.
#[derive(Clone, Debug)]
pub struct LeaseBook {
    starts: Micros,
    slots: u32,
    capacity: u32,
    raise_at: Micros,
    used_at: Micros,
    leases: Vec<Lease>,
    /// Requests in the order in which they are served, the next one last.
    pending: Vec<Pending>,
}

impl LeaseBook {
    /// A book of an endpoint with this number of slots, which grants nothing before `starts`.
    #[must_use]
    pub fn new(slots: u32, starts: Micros) -> Self {
        let slots = slots.max(1);
        Self {
            starts,
            slots,
            capacity: slots,
            raise_at: starts,
            used_at: starts,
            leases: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Leases that may be out at a time.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Leases that are out.
    #[must_use]
    pub fn leased(&self) -> u32 {
        u32::try_from(self.leases.len()).unwrap_or(u32::MAX)
    }

    /// Adds a request for leases, which replaces an earlier one of the same box.
    pub fn on_request(&mut self, request: SlotRequest, now: Micros) {
        self.used_at = now;
        self.pending
            .retain(|p| p.request.holder != request.holder && is_pending(p, now));
        if self.pending.len() >= MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(Pending { request, at: now });
    }

    /// Grants the leases that are free while `unleased` further requests run at the endpoint; returns
    /// how many each box gets. They lapse after `lifetime`.
    pub fn grant(&mut self, unleased: u32, lifetime: Duration, now: Micros) -> Vec<SlotRequest> {
        self.leases.retain(|lease| now < lease.lapses);
        self.raise(now);
        self.pending.retain(|pending| is_pending(pending, now));
        let mut granted: Vec<SlotRequest> = Vec::new();
        while now >= self.starts && self.leased() + unleased < self.capacity {
            let Some(pending) = self.pending.last_mut() else {
                break;
            };
            let holder = pending.request.holder;
            pending.request.slots -= 1;
            if pending.request.slots == 0 {
                self.pending.pop();
            }
            self.leases.push(Lease {
                holder,
                lapses: now.after(lifetime),
            });
            add_one(&mut granted, holder);
        }
        granted
    }

    /// Handles leases that a box gives back.
    pub fn on_returned(&mut self, returned: SlotRequest) {
        for _ in 0..returned.slots {
            let of_holder = self.leases.iter().position(|l| l.holder == returned.holder);
            if let Some(at) = of_holder {
                self.leases.swap_remove(at);
            }
        }
    }

    /// Drops the request of a box that no request waits at any more.
    pub fn forget_request(&mut self, holder: SocketAddr) {
        self.pending.retain(|p| p.request.holder != holder);
    }

    /// Handles a rejection of a leased request, whose lease is still out.
    pub fn on_rejected(&mut self, now: Micros) {
        let accepted = self.leased().saturating_sub(1);
        self.capacity = self.capacity.min(accepted).max(1);
        self.raise_at = now.after(RAISE_INTERVAL);
    }

    fn raise(&mut self, now: Micros) {
        if self.capacity < self.slots && now >= self.raise_at {
            self.capacity += 1;
            self.raise_at = now.after(RAISE_INTERVAL);
        }
    }

    /// When a lease lapses next, if a request waits for one.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        if self.pending.is_empty() {
            return None;
        }
        let lapses = self.leases.iter().map(|lease| lease.lapses).min();
        Some(lapses.unwrap_or(self.starts).max(self.starts))
    }

    /// Whether leases are out or were requested lately.
    #[must_use]
    pub fn is_in_use(&self, now: Micros) -> bool {
        let has_lease = self.leases.iter().any(|lease| now < lease.lapses);
        has_lease || now.since(self.used_at) < RETENTION
    }
}

fn is_pending(pending: &Pending, now: Micros) -> bool {
    pending.request.slots > 0 && now.since(pending.at) < ASK_LIFETIME
}

fn add_one(granted: &mut Vec<SlotRequest>, holder: SocketAddr) {
    match granted.iter_mut().find(|of| of.holder == holder) {
        Some(of) => of.slots += 1,
        None => granted.push(SlotRequest { holder, slots: 1 }),
    }
}
