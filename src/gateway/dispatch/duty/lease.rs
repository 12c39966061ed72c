//! Determines who holds a duty: a lease with a fencing token, kept as one object in the platform's
//! store.
//!
//! A box holds the duty for the length of the lease, counted from when it *sent* the last write
//! that the store has confirmed. Another box takes the duty over once it has seen the object
//! unchanged for a third longer than that, counted from when it first saw it in this state. The
//! previous holder has then stopped by itself, whatever the offset of its clock and however late
//! the store answers. A write without an answer confirms nothing: the object is read again.
//!
//! The token is the revision that the takeover write replaced. The store lets only one write
//! replace a revision, and its revisions only increase, even if the object is deleted and created
//! again.
//!
//! Time is measured by the steady clock and by the time of day, whichever has advanced further: the
//! steady clock omits the time for which a machine is suspended, and the time of day may be set
//! back.
//!
//! A holder whose call was refused for its token makes no calls for the length of a lease.
//!
//! Alternatives: a box elected by messages alone (both sides of a network partition elect one), and
//! a token from memory (it repeats after a restart).

use std::time::Duration;

use super::usage_counts::Window;
use super::{DutyRecord, Holder, Now};
use crate::schema::Micros;

/// Writes of a holder in the length of its lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// How long the object must stay unchanged before a takeover, as a multiple of the lease.
const TAKEOVER_FACTOR: f64 = 1.33;
/// The part of the lease that must remain for a call to be made: as long as it may take to be sent.
const MIN_REMAINING: f64 = 0.3;
/// How long a store call may stay unanswered before its result counts as unknown.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The duty's object, as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyObject {
    /// The revision of its last change.
    pub revision: u64,
    /// Its contents, if they can be parsed.
    pub record: Option<DutyRecord>,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    /// The number of the call, by which its answer is matched.
    pub number: u64,
    /// The requested operation.
    pub operation: StoreOperation,
}

/// An operation on the duty's object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOperation {
    /// Read the object.
    Read,
    /// Create the object.
    Create(DutyRecord),
    /// Replace the object if it still has the given revision.
    Replace {
        /// The expected revision.
        revision: u64,
        /// The new contents.
        record: DutyRecord,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyAnswer {
    /// The object as it was read, or as it stands where a write found another revision.
    Current(DutyObject),
    /// There is no object.
    Missing {
        /// The revision of the store.
        at: u64,
    },
    /// The write was applied.
    Done(DutyObject),
    /// There is no answer that tells whether the operation was applied.
    Unknown,
}

/// What this box knows of the object.
#[derive(Debug)]
enum Seen {
    /// Nothing: the object must be read.
    Nothing,
    /// There was no object at this revision of the store.
    Missing { at: u64 },
    /// The object, and when it was first seen in this state.
    Object { object: DutyObject, since: Now },
}

/// The duty, as this box holds it.
#[derive(Debug)]
struct Held {
    record: DutyRecord,
    /// When the confirmed write was sent.
    sent: Now,
}

/// A call that awaits its answer.
#[derive(Debug)]
struct InFlight {
    number: u64,
    sent: Now,
}

/// A record to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Amended {
    /// The record.
    pub record: DutyRecord,
    /// Whether it must be written before the next renewal is due.
    pub is_urgent: bool,
}

/// The lease, from the view of one box.
#[derive(Debug)]
pub struct Lease {
    me: Holder,
    length: Duration,
    seen: Seen,
    held: Option<Held>,
    /// The holder with the greatest token that was read from the store or reported by a peer.
    known: Option<(u64, Holder)>,
    /// When the store is called again after a call without an answer.
    retry_at: Micros,
    in_flight: Option<InFlight>,
    next_read: Micros,
    fenced_at: Option<Now>,
    /// The token that was last refused.
    fenced_token: Option<u64>,
    calls: u64,
}

/// Returns the time between two readings of the clocks, by the clock that advanced further.
fn elapsed(from: Now, to: Now) -> Duration {
    let steady = to.steady.since(from.steady);
    let day = Duration::from_millis(to.day.0.saturating_sub(from.day.0));
    steady.max(day)
}

impl Lease {
    /// Creates a lease of which this box knows nothing yet.
    #[must_use]
    pub fn new(me: Holder, length: Duration) -> Self {
        Self {
            me,
            length,
            seen: Seen::Nothing,
            held: None,
            known: None,
            retry_at: Micros::ZERO,
            in_flight: None,
            next_read: Micros::ZERO,
            fenced_at: None,
            fenced_token: None,
            calls: 0,
        }
    }

    /// Returns the identity of this box.
    #[must_use]
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// Returns the record that this box holds, if it may act on it now.
    #[must_use]
    pub fn held(&self, now: Now) -> Option<&DutyRecord> {
        let held = self.held.as_ref()?;
        let usable = self.length.mul_f64(1.0 - MIN_REMAINING);
        (elapsed(held.sent, now) < usable && !self.is_fenced(now)).then_some(&held.record)
    }

    /// Returns the holder of the duty, as far as this box knows, if that is another box.
    #[must_use]
    pub fn holder_elsewhere(&self) -> Option<&Holder> {
        let known = self.known.as_ref().map(|(_, holder)| holder);
        known.filter(|holder| **holder != self.me)
    }

    /// Returns the holder of the duty and its token, as far as this box knows.
    #[must_use]
    pub fn known(&self) -> Option<&(u64, Holder)> {
        self.known.as_ref()
    }

    /// Records a holder that was read from the store or reported by a peer, if its token is
    /// greater.
    pub fn learn_holder(&mut self, token: u64, holder: Holder) {
        if self.known.as_ref().is_none_or(|(known, _)| *known < token) {
            self.known = Some((token, holder));
        }
    }

    /// Stops holding the duty.
    pub fn release(&mut self) {
        self.held = None;
        self.seen = Seen::Nothing;
    }

    /// Makes no calls for the length of a lease, since a greater token was seen.
    pub fn on_fenced(&mut self, now: Now) {
        self.fenced_at = Some(now);
        self.fenced_token = self.held.as_ref().map(|held| held.record.token);
        self.release();
    }

    fn is_fenced(&self, now: Now) -> bool {
        self.fenced_at
            .is_some_and(|since| elapsed(since, now) < self.length)
    }

    /// Returns the next call to the store, if one is due. `amend` returns the record as it is to be
    /// written.
    pub fn next(&mut self, amend: impl Fn(&DutyRecord) -> Amended, now: Now) -> Option<StoreCall> {
        let is_waiting = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| elapsed(in_flight.sent, now) < STORE_TIMEOUT);
        if is_waiting || self.is_fenced(now) || now.steady < self.retry_at {
            return None;
        }
        if self.in_flight.take().is_some() {
            // Reading the object shows whether the write was applied.
            self.seen = Seen::Nothing;
        }
        let operation = self.next_operation(amend, now)?;
        self.calls += 1;
        self.in_flight = Some(InFlight {
            number: self.calls,
            sent: now,
        });
        Some(StoreCall {
            number: self.calls,
            operation,
        })
    }

    fn next_operation(
        &mut self,
        amend: impl Fn(&DutyRecord) -> Amended,
        now: Now,
    ) -> Option<StoreOperation> {
        let is_lapsed = |held: &Held| elapsed(held.sent, now) >= self.length;
        if self.held.as_ref().is_some_and(is_lapsed) {
            self.held = None;
        }
        if let Seen::Missing { at } = self.seen {
            self.seen = Seen::Nothing;
            return Some(StoreOperation::Create(self.first_record(at)));
        }
        if let Seen::Object { object, since } = &self.seen {
            let revision = object.revision;
            let record = match &self.held {
                Some(held) => self.renewal(held, amend, now),
                None => self.takeover(object, *since, now),
            };
            if let Some(record) = record {
                let renewals = record.renewals + 1;
                let record = DutyRecord { renewals, ..record };
                return Some(StoreOperation::Replace { revision, record });
            }
            if self.held.is_some() {
                return None;
            }
        }
        if now.steady < self.next_read {
            return None;
        }
        self.next_read = now.steady.after(self.length / 2);
        Some(StoreOperation::Read)
    }

    /// Returns the record that the holder writes, if a write is due.
    fn renewal(
        &self,
        held: &Held,
        amend: impl Fn(&DutyRecord) -> Amended,
        now: Now,
    ) -> Option<DutyRecord> {
        let amended = amend(&held.record);
        let is_due = elapsed(held.sent, now) >= self.length / RENEWALS_PER_LEASE;
        (is_due || amended.is_urgent).then_some(amended.record)
    }

    /// Returns the record that takes the duty over, if the lease of the holder has expired. If the
    /// answer to this box's own takeover write was lost, the record is written again: this box
    /// holds nothing until the store has confirmed it.
    fn takeover(&self, object: &DutyObject, since: Now, now: Now) -> Option<DutyRecord> {
        let before = object.record.clone();
        let is_own = |r: &DutyRecord| r.holder == self.me && self.fenced_token != Some(r.token);
        if let Some(record) = before.clone().filter(is_own) {
            return Some(record);
        }
        let is_expired = elapsed(since, now) >= self.length.mul_f64(TAKEOVER_FACTOR);
        let first = self.first_record(object.revision);
        is_expired.then(|| DutyRecord {
            holder: self.me.clone(),
            token: object.revision,
            ..before.unwrap_or(first)
        })
    }

    /// Returns the record of a duty that nobody has held yet.
    fn first_record(&self, token: u64) -> DutyRecord {
        DutyRecord {
            holder: self.me.clone(),
            token,
            renewals: 0,
            next: Window(0),
            settled: Vec::new(),
        }
    }

    /// Handles an answer; returns the token if this box has just taken the duty over.
    pub fn on_answer(&mut self, call: u64, answer: DutyAnswer, now: Now) -> Option<u64> {
        let in_flight = self
            .in_flight
            .take_if(|in_flight| in_flight.number == call)?;
        match answer {
            DutyAnswer::Done(object) => return self.on_done(object, in_flight.sent, now),
            DutyAnswer::Current(object) => self.on_seen(object, now),
            DutyAnswer::Missing { at } => self.seen = Seen::Missing { at },
            DutyAnswer::Unknown => {
                self.retry_at = now.steady.after(self.length / (2 * RENEWALS_PER_LEASE));
                self.seen = match std::mem::replace(&mut self.seen, Seen::Nothing) {
                    // A box that doesn't hold the duty goes on waiting for the object to change.
                    seen @ Seen::Object { .. } if self.held.is_none() => seen,
                    _ => Seen::Nothing,
                };
            }
        }
        None
    }

    fn on_done(&mut self, object: DutyObject, sent: Now, now: Now) -> Option<u64> {
        let record = object.record.clone();
        let is_own = |record: &DutyRecord| record.holder == self.me;
        let Some(record) = record.filter(is_own) else {
            self.on_seen(object, now);
            return None;
        };
        let held = self.held.as_ref().map(|held| held.record.token);
        let token = record.token;
        self.learn_holder(token, self.me.clone());
        self.seen = Seen::Object { object, since: now };
        self.held = Some(Held { record, sent });
        (held != Some(token)).then_some(token)
    }

    fn on_seen(&mut self, object: DutyObject, now: Now) {
        if let Seen::Object { object: known, .. } = &self.seen
            && known.revision == object.revision
        {
            return;
        }
        let record = object.record.clone();
        if let Some(record) = &record {
            self.learn_holder(record.token, record.holder.clone());
        }
        // If the answer to this box's own write was lost, it holds the duty only as long as before.
        self.held = self.held.take().and_then(|held| {
            let is_own = |r: &DutyRecord| r.holder == self.me && r.token == held.record.token;
            let record = record.filter(is_own)?;
            Some(Held { record, ..held })
        });
        self.seen = Seen::Object { object, since: now };
    }
}
