//! Who holds a duty: a lease with a fencing token, kept by the platform's store as one object.
//!
//! A box holds the duty for the lease's length from when it *sent* the last write that the store has
//! answered as done. It takes the duty over once it has seen the object unchanged for a third longer
//! than that, from when it first saw it; so the holder before has stopped by itself, whatever its
//! clock's start, and however late the store tells. A write without an answer gives nothing: the object
//! is read again.
//!
//! The token is the revision that the taking write replaced. The store lets one write replace a
//! revision, and its revisions only rise, also where the object was removed and made again.
//!
//! The time is that of the steady clock and of the time of day, whichever is further on: the steady one
//! leaves out the time in which a box is suspended, and the other may step back.
//!
//! A holder whose call was refused for its token calls no more for a lease's length.
//!
//! Weighed: one elected box by messages alone (two sides of a cut each elect one), a token from memory
//! (the same again after a restart), and this.

use std::time::Duration;

use super::began::Window;
use super::{DutyRecord, Holder, Now};
use crate::schema::Micros;

/// How many writes a holder makes in the time of its lease.
const RENEWALS: u32 = 3;
/// How much longer than the lease an object must stand unchanged, as a part of the lease.
const TAKEN_AFTER: f64 = 1.33;
/// What must be left of a lease for a call to be made: as long as a call may take to be sent.
const LEAST_LEFT: f64 = 0.3;
/// How long the store is waited for.
const STORE_ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// The object of a duty, as the store has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyObject {
    /// The revision of its last change.
    pub revision: u64,
    /// What it holds, if that can be read.
    pub record: Option<DutyRecord>,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    /// Its number.
    pub number: u64,
    /// What is asked.
    pub ask: StoreAsk,
}

/// What the store is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAsk {
    /// For the object.
    Read,
    /// To make it.
    Make(DutyRecord),
    /// To replace it, if it still has a revision.
    Replace {
        /// The revision.
        revision: u64,
        /// What it is to hold.
        record: DutyRecord,
    },
}

/// What the store answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyAnswer {
    /// The object, as it was read, or as it is where a write met another revision.
    Is(DutyObject),
    /// There is none, at a revision of the store.
    Missing {
        /// The store's revision.
        at: u64,
    },
    /// The write was done.
    Done(DutyObject),
    /// Nothing that tells whether anything was done.
    Nothing,
}

/// What is known of the object.
#[derive(Debug)]
enum Seen {
    /// Nothing: it is to be read.
    Nothing,
    /// There was none.
    Missing { at: u64 },
    /// It stands like this since it was first seen so.
    Object { object: DutyObject, since: Now },
}

/// The duty, as this box holds it.
#[derive(Debug)]
struct Held {
    record: DutyRecord,
    /// When the write that it rests on was sent.
    sent: Now,
}

/// A call that is under way.
#[derive(Debug)]
struct Asked {
    number: u64,
    sent: Now,
}

/// A record as it is to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Amended {
    /// The record.
    pub record: DutyRecord,
    /// Whether it is to be written before the lease must be renewed.
    pub is_urgent: bool,
}

/// The lease, as one box sees it.
#[derive(Debug)]
pub struct Lease {
    me: Holder,
    length: Duration,
    seen: Seen,
    held: Option<Held>,
    /// Who holds the duty by the greatest token that was seen or told.
    known: Option<(u64, Holder)>,
    /// When the store is called again after it did not answer.
    pause_until: Micros,
    asked: Option<Asked>,
    read_at: Micros,
    barred: Option<Now>,
    /// The token that was refused last.
    barred_token: Option<u64>,
    calls: u64,
}

/// The time from one reading of the clocks to another, by whichever went further.
fn elapsed(from: Now, to: Now) -> Duration {
    let steady = to.steady.since(from.steady);
    let day = Duration::from_millis(to.day.0.saturating_sub(from.day.0));
    steady.max(day)
}

impl Lease {
    /// A lease of which this box knows nothing yet.
    #[must_use]
    pub fn new(me: Holder, length: Duration) -> Self {
        Self {
            me,
            length,
            seen: Seen::Nothing,
            held: None,
            known: None,
            pause_until: Micros::ZERO,
            asked: None,
            read_at: Micros::ZERO,
            barred: None,
            barred_token: None,
            calls: 0,
        }
    }

    /// This box.
    #[must_use]
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// What this box holds, if it may act by it now.
    #[must_use]
    pub fn held(&self, now: Now) -> Option<&DutyRecord> {
        let held = self.held.as_ref()?;
        let most = self.length.mul_f64(1.0 - LEAST_LEFT);
        (elapsed(held.sent, now) < most && !self.is_barred(now)).then_some(&held.record)
    }

    /// Who holds the duty, as far as this box knows, if that is another one.
    #[must_use]
    pub fn holder_elsewhere(&self) -> Option<&Holder> {
        let known = self.known.as_ref().map(|(_, holder)| holder);
        known.filter(|holder| **holder != self.me)
    }

    /// Who holds the duty with which token, as far as this box knows, to be told.
    #[must_use]
    pub fn known(&self) -> Option<&(u64, Holder)> {
        self.known.as_ref()
    }

    /// Another box told who holds the duty.
    pub fn on_told(&mut self, token: u64, holder: Holder) {
        if self.known.as_ref().is_none_or(|(known, _)| *known < token) {
            self.known = Some((token, holder));
        }
    }

    /// Holds the duty no more.
    pub fn leave(&mut self) {
        self.held = None;
        self.seen = Seen::Nothing;
    }

    /// Calls no more for a lease's length, since a greater token was seen.
    pub fn bar(&mut self, now: Now) {
        self.barred = Some(now);
        self.barred_token = self.held.as_ref().map(|held| held.record.token);
        self.leave();
    }

    fn is_barred(&self, now: Now) -> bool {
        self.barred
            .is_some_and(|since| elapsed(since, now) < self.length)
    }

    /// The next call to the store, if one is due. `amend` gives the record as it is to be written.
    pub fn next(&mut self, amend: impl Fn(&DutyRecord) -> Amended, now: Now) -> Option<StoreCall> {
        let is_waiting = self
            .asked
            .as_ref()
            .is_some_and(|asked| elapsed(asked.sent, now) < STORE_ANSWER_LIMIT);
        if is_waiting || self.is_barred(now) || now.steady < self.pause_until {
            return None;
        }
        if self.asked.take().is_some() {
            // Whether it was done shows when the object is read.
            self.seen = Seen::Nothing;
        }
        let ask = self.ask(amend, now)?;
        self.calls += 1;
        self.asked = Some(Asked {
            number: self.calls,
            sent: now,
        });
        Some(StoreCall {
            number: self.calls,
            ask,
        })
    }

    fn ask(&mut self, amend: impl Fn(&DutyRecord) -> Amended, now: Now) -> Option<StoreAsk> {
        let is_lapsed = |held: &Held| elapsed(held.sent, now) >= self.length;
        if self.held.as_ref().is_some_and(is_lapsed) {
            self.held = None;
        }
        if let Seen::Missing { at } = self.seen {
            self.seen = Seen::Nothing;
            return Some(StoreAsk::Make(self.first_record(at)));
        }
        if let Seen::Object { object, since } = &self.seen {
            let revision = object.revision;
            let record = match &self.held {
                Some(held) => self.renewal(held, amend, now),
                None => self.taking(object, *since, now),
            };
            if let Some(record) = record {
                let renewals = record.renewals + 1;
                let record = DutyRecord { renewals, ..record };
                return Some(StoreAsk::Replace { revision, record });
            }
            if self.held.is_some() {
                return None;
            }
        }
        if now.steady < self.read_at {
            return None;
        }
        self.read_at = now.steady.after(self.length / 2);
        Some(StoreAsk::Read)
    }

    /// What the holder writes, if it is due.
    fn renewal(
        &self,
        held: &Held,
        amend: impl Fn(&DutyRecord) -> Amended,
        now: Now,
    ) -> Option<DutyRecord> {
        let amended = amend(&held.record);
        let is_due = elapsed(held.sent, now) >= self.length / RENEWALS;
        (is_due || amended.is_urgent).then_some(amended.record)
    }

    /// What takes the duty over, if the holder has lost it. A taking write of this box's own whose
    /// answer was lost is written once more: it holds nothing before the store has answered.
    fn taking(&self, object: &DutyObject, since: Now, now: Now) -> Option<DutyRecord> {
        let before = object.record.clone();
        let is_mine = |r: &DutyRecord| r.holder == self.me && self.barred_token != Some(r.token);
        if let Some(record) = before.clone().filter(is_mine) {
            return Some(record);
        }
        let is_lost = elapsed(since, now) >= self.length.mul_f64(TAKEN_AFTER);
        let first = self.first_record(object.revision);
        is_lost.then(|| DutyRecord {
            holder: self.me.clone(),
            token: object.revision,
            ..before.unwrap_or(first)
        })
    }

    /// The record of a duty that nobody held.
    fn first_record(&self, token: u64) -> DutyRecord {
        DutyRecord {
            holder: self.me.clone(),
            token,
            renewals: 0,
            next: Window(0),
            settled: Vec::new(),
        }
    }

    /// Takes in an answer; returns the token if this box has just taken the duty over.
    pub fn on_answer(&mut self, call: u64, answer: DutyAnswer, now: Now) -> Option<u64> {
        let asked = self.asked.take_if(|asked| asked.number == call)?;
        match answer {
            DutyAnswer::Done(object) => return self.on_done(object, asked.sent, now),
            DutyAnswer::Is(object) => self.on_seen(object, now),
            DutyAnswer::Missing { at } => self.seen = Seen::Missing { at },
            DutyAnswer::Nothing => {
                self.pause_until = now.steady.after(self.length / (2 * RENEWALS));
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
        let is_mine = |record: &DutyRecord| record.holder == self.me;
        let Some(record) = record.filter(is_mine) else {
            self.on_seen(object, now);
            return None;
        };
        let held = self.held.as_ref().map(|held| held.record.token);
        let token = record.token;
        self.on_told(token, self.me.clone());
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
            self.on_told(record.token, record.holder.clone());
        }
        // A write of this box's own whose answer was lost: it holds the duty as long as before.
        self.held = self.held.take().and_then(|held| {
            let is_mine = |r: &DutyRecord| r.holder == self.me && r.token == held.record.token;
            let record = record.filter(is_mine)?;
            Some(Held { record, ..held })
        });
        self.seen = Seen::Object { object, since: now };
    }
}
