//! The status of a roll-out's object in the store: what it says, and when it is to be written.
//!
//! A write names the revision that was read, so that of several boxes one wins. One that failed, or
//! whose answer was lost, is made again after [`WRITE_STATUS_AGAIN`]; one that met another revision waits for
//! the object to be read. Of the boxes that watch roll-outs, one in each failure domain, the first by
//! domain writes at once and each further one [`TURN_STEP`] later, so that mostly one writes.
//!
//! Owns: which write is under way. Weighed: one elected writer (needs the store or a consensus), and
//! all of them at once (a write for each domain instead of one; the same end).

use std::time::Duration;

use super::{RolloutOrder, Surroundings};
use crate::schema::{Micros, RolloutPhase};

/// Time after which a write without an answer is made again. Longer than the store takes when it is
/// slow (240 ms).
const WRITE_STATUS_AGAIN: Duration = Duration::from_millis(800);
/// How much later each further domain's box writes: some messages between domains.
const TURN_STEP: Duration = Duration::from_millis(250);

/// What the status of an object says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutStatus {
    /// The service is being moved.
    InProgress,
    /// All work is at the version.
    Completed,
    /// No work is at the version.
    RolledBack,
}

/// An object of the store that orders a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectState {
    /// The order.
    pub order: RolloutOrder,
    /// The revision of its last change.
    pub revision: u64,
    /// What its status says of this order, if anything.
    pub status: Option<RolloutStatus>,
    /// The object as it was read.
    pub text: String,
}

impl ObjectState {
    /// The phase that its status ends the roll-out with.
    #[must_use]
    pub fn final_phase(&self) -> Option<RolloutPhase> {
        match self.status? {
            RolloutStatus::InProgress => None,
            RolloutStatus::Completed => Some(RolloutPhase::Completed),
            RolloutStatus::RolledBack => Some(RolloutPhase::RolledBack),
        }
    }
}

/// A status that is to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusWrite {
    /// The order.
    pub order: RolloutOrder,
    /// The revision that the object must still have.
    pub revision: u64,
    /// The status.
    pub status: RolloutStatus,
    /// The object as it was read.
    pub text: String,
}

/// The status that belongs to a phase.
fn status_of(phase: RolloutPhase) -> RolloutStatus {
    match phase {
        RolloutPhase::Canary | RolloutPhase::Switch => RolloutStatus::InProgress,
        RolloutPhase::Bad | RolloutPhase::RolledBack => RolloutStatus::RolledBack,
        RolloutPhase::Committed | RolloutPhase::Completed => RolloutStatus::Completed,
    }
}

/// Which writes are under way.
#[derive(Debug, Default)]
pub(super) struct StatusWrites {
    wanted: Option<RolloutStatus>,
    wanted_since: Micros,
    written: Option<(Micros, u64, RolloutStatus)>,
}

impl StatusWrites {
    /// The object was read at a revision: a write for an earlier one has come to its end.
    pub fn on_object(&mut self, revision: u64) {
        if self.written.is_some_and(|(_, of, _)| of < revision) {
            self.written = None;
        }
    }

    /// The write that is due, if one is.
    pub fn next(
        &mut self,
        phase: RolloutPhase,
        object: &ObjectState,
        around: &Surroundings<'_>,
        now: Micros,
    ) -> Option<StatusWrite> {
        let status = status_of(phase);
        if self.wanted != Some(status) {
            self.wanted = Some(status);
            self.wanted_since = now;
        }
        let is_final = object.final_phase().is_some();
        if is_final || object.status == Some(status) {
            return None;
        }
        let before_me = around.others.iter().filter(|of| *of < around.domain);
        let turn = TURN_STEP * before_me.count() as u32;
        if now.since(self.wanted_since) < turn {
            return None;
        }
        let is_under_way = self.written.is_some_and(|(at, of, what)| {
            of == object.revision && what == status && now.since(at) < WRITE_STATUS_AGAIN
        });
        if is_under_way {
            return None;
        }
        self.written = Some((now, object.revision, status));
        Some(StatusWrite {
            order: object.order.clone(),
            revision: object.revision,
            status,
            text: object.text.clone(),
        })
    }
}
