//! The status of a roll-out's object in the store: its values and when it is written.
//!
//! A write names the revision that was read, so of several boxes that write one wins. A write that
//! failed, or whose response was lost, is repeated after [`STATUS_WRITE_RETRY`]; one that met
//! another revision waits until the object is read again. One box in each failure domain watches
//! roll-outs. The watcher of the first domain, in the order of domain ids, writes at once and that
//! of each further domain [`WRITER_STAGGER`] later, so that usually only one writes.
//!
//! State: the write in progress.
//!
//! Alternatives: one elected writer, which needs the store or a consensus protocol; and all
//! watchers writing at once, which takes one write per domain instead of one for the same result.

use std::time::Duration;

use super::{RolloutContext, RolloutOrder};
use crate::schema::{Micros, RolloutPhase};

/// Time after which a write without a response is repeated. A slow store takes 240 ms.
const STATUS_WRITE_RETRY: Duration = Duration::from_millis(800);
/// Delay of each further domain's writer: several times as long as a message between domains takes.
const WRITER_STAGGER: Duration = Duration::from_millis(250);

/// The status of a roll-out's object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutStatus {
    /// The roll-out is running.
    InProgress,
    /// All work is at the target version.
    Completed,
    /// No work is at the target version.
    RolledBack,
}

/// An object in the store that orders a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectState {
    /// The order that the object contains.
    pub order: RolloutOrder,
    /// Store revision of the object's last change.
    pub revision: u64,
    /// The status, if the object has one for this order.
    pub status: Option<RolloutStatus>,
    /// The object's text as it was read.
    pub text: String,
}

impl ObjectState {
    /// The phase that a final status puts the roll-out in; `None` while it is running.
    #[must_use]
    pub fn final_phase(&self) -> Option<RolloutPhase> {
        match self.status? {
            RolloutStatus::InProgress => None,
            RolloutStatus::Completed => Some(RolloutPhase::Completed),
            RolloutStatus::RolledBack => Some(RolloutPhase::RolledBack),
        }
    }
}

/// A status write to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusWrite {
    /// The order whose status is written.
    pub order: RolloutOrder,
    /// The revision that the object must still have for the write to succeed.
    pub revision: u64,
    /// The new status.
    pub status: RolloutStatus,
    /// The object's text as it was read.
    pub text: String,
}

/// The status to write in a phase.
fn status_of(phase: RolloutPhase) -> RolloutStatus {
    match phase {
        RolloutPhase::Canary | RolloutPhase::Switch => RolloutStatus::InProgress,
        RolloutPhase::Bad | RolloutPhase::RolledBack => RolloutStatus::RolledBack,
        RolloutPhase::Committed | RolloutPhase::Completed => RolloutStatus::Completed,
    }
}

/// The wanted status and the last write of it that was sent.
#[derive(Debug, Default)]
pub(super) struct StatusWrites {
    wanted: Option<RolloutStatus>,
    wanted_since: Micros,
    written: Option<(Micros, u64, RolloutStatus)>,
}

impl StatusWrites {
    /// Handles that the object was read at `revision`: a write based on an earlier revision is no
    /// longer in progress.
    pub fn on_object(&mut self, revision: u64) {
        if self.written.is_some_and(|(_, of, _)| of < revision) {
            self.written = None;
        }
    }

    /// Returns the write that is due, if any.
    pub fn next(
        &mut self,
        phase: RolloutPhase,
        object: &ObjectState,
        context: &RolloutContext<'_>,
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
        let earlier_domains = context
            .other_domains
            .iter()
            .filter(|of| *of < context.domain);
        let turn = WRITER_STAGGER * earlier_domains.count() as u32;
        if now.since(self.wanted_since) < turn {
            return None;
        }
        let is_in_progress = self.written.is_some_and(|(at, of, what)| {
            of == object.revision && what == status && now.since(at) < STATUS_WRITE_RETRY
        });
        if is_in_progress {
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
