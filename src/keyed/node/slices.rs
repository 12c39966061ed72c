//! Which slices this box may act for, and how a slice passes from one home to the next.
//!
//! Calls that may run at most once start only at the home of their slice. When a roster gives a
//! slice a new home, the new home opens it only after every former holder has been cleared: by
//! its own release, or by its successor's withdrawal once the lease has run out, or because the
//! platform's list says that both are gone. Whoever clears a holding sends the call records that
//! it has. Where none could be had, calls that may have been made before count as unknown for the
//! callers' retry horizon.

mod handover;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::keyed::node::Node;
use crate::keyed::node::roster::slice_of;
use crate::schema::{
    BoxId, Epoch, FleetState, Holding, Incarnation, Member, Micros, PeerMessage, RequestKey, Slice,
    SliceAsk, SliceId,
};

/// How long the successor may take to confirm that it has a slice's records.
const SYNC_AGAIN: Duration = Duration::from_millis(500);

/// A former holding and whether it has been cleared.
#[derive(Clone, Debug)]
struct Former {
    holding: Holding,
    cleared: bool,
}

/// A slice of which this box is the home.
#[derive(Clone, Debug)]
struct Held {
    seen: Micros,
    term: u64,
    open: bool,
    lost: bool,
    former: Vec<Former>,
    synced_term: Option<u64>,
    sync_sent: Option<Micros>,
}

/// What a node knows of the slices of its failure domain.
#[derive(Debug, Default)]
pub struct Slices {
    held: BTreeMap<SliceId, Held>,
    released: BTreeMap<SliceId, Epoch>,
    withdrawn: BTreeMap<(SliceId, BoxId, Incarnation), Epoch>,
    synced_from: BTreeMap<SliceId, (BoxId, Incarnation, u64)>,
    unknown_until: BTreeMap<SliceId, Micros>,
    received: BTreeMap<(SliceId, BoxId), BTreeSet<RequestKey>>,
    settle_wanted: bool,
    awaiting_release: BTreeSet<SliceId>,
}

impl Slices {
    /// Whether no new home has yet to ask this box for a slice that it held.
    #[must_use]
    pub fn all_released(&self) -> bool {
        self.awaiting_release.is_empty()
    }

    /// Whether this box is the home of a slice and all former holders have been cleared.
    #[must_use]
    pub fn is_open(&self, slice: SliceId) -> bool {
        self.held.get(&slice).is_some_and(|h| h.open)
    }

    /// Whether calls of a slice that may have been made before count as unknown.
    #[must_use]
    pub fn is_unknown(&self, slice: SliceId, now: Micros) -> bool {
        self.unknown_until
            .get(&slice)
            .is_some_and(|until| *until > now)
    }

    fn unknown_for(&self, slice: SliceId, now: Micros) -> Duration {
        self.unknown_until
            .get(&slice)
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    fn extend_unknown(&mut self, slice: SliceId, until: Micros) {
        let entry = self.unknown_until.entry(slice).or_insert(until);
        *entry = until.max(*entry);
    }

    /// Whether this box has withdrawn from a home of an older epoch.
    #[must_use]
    pub fn has_withdrawn(&self, home: &BoxId, life: Incarnation, epoch: Epoch) -> bool {
        self.withdrawn
            .iter()
            .any(|((_, id, l), at)| id == home && *l == life && *at > epoch)
    }

    fn is_fenced(&self, slice: SliceId, home: &BoxId, life: Incarnation, epoch: Epoch) -> bool {
        let key = (slice, home.clone(), life);
        self.withdrawn.get(&key).is_some_and(|at| *at > epoch)
    }

    /// Whether this box is the home of a slice that it has not opened yet.
    #[must_use]
    pub fn any_closed(&self) -> bool {
        self.held.values().any(|h| !h.open)
    }

    /// The slices that this box has opened.
    #[must_use]
    pub fn open(&self) -> Vec<SliceId> {
        let mut open: Vec<SliceId> = self
            .held
            .iter()
            .filter(|(_, h)| h.open)
            .map(|(id, _)| *id)
            .collect();
        open.sort();
        open
    }

    /// Whether the roster still names former holders of slices that have been opened.
    #[must_use]
    pub fn settle_wanted(&self) -> bool {
        self.settle_wanted
    }
}

/// The former holders of a slice that a box has to clear; itself in this life needs no clearing.
fn former_of(slice: &Slice, me: &Member, before: Option<&Held>) -> Vec<Former> {
    let others = slice
        .former
        .iter()
        .filter(|h| h.home != me.id || h.incarnation != me.incarnation);
    let former = others.map(|holding| Former {
        holding: holding.clone(),
        cleared: before.is_some_and(|b| b.has_cleared(holding)),
    });
    former.collect()
}

/// How a slice is held under a new roster, given how it was held under the one before.
fn held_under(slice: &Slice, seen: Micros, before: Option<Held>, former: Vec<Former>) -> Held {
    let term = slice.term;
    match before {
        Some(before) if former.is_empty() => Held {
            term,
            former,
            ..before
        },
        Some(before) => Held {
            open: before.open && former.iter().all(|f| f.cleared),
            term,
            seen: if before.open { seen } else { before.seen },
            former,
            ..before
        },
        None => Held {
            seen,
            term,
            open: false,
            lost: false,
            former,
            synced_term: None,
            sync_sent: None,
        },
    }
}

impl Node {
    /// Takes in a new roster of this box's own failure domain.
    pub(super) fn on_new_epoch(&mut self) {
        let Some(view) = self.membership.own().cloned() else {
            return;
        };
        let me = self.cfg.me.clone();
        let listed = self.membership.is_listed();
        self.slices.settle_wanted = false;
        for (place, slice) in view.roster.slices.iter().enumerate() {
            let id = SliceId(place as u16);
            let let_go = self
                .slices
                .released
                .get(&id)
                .is_some_and(|at| view.epoch < *at);
            if slice.home != me.id || !listed || let_go {
                if self.slices.held.remove(&id).is_some() && !let_go {
                    self.slices.awaiting_release.insert(id);
                }
                continue;
            }
            let before = self.slices.held.remove(&id);
            let former = former_of(slice, &me, before.as_ref());
            let held = held_under(slice, view.seen, before, former);
            self.slices.settle_wanted |= held.open && !slice.former.is_empty();
            self.slices.held.insert(id, held);
        }
        self.progress_slices();
    }

    /// Asks former holders to let go, and opens what has been let go.
    pub(super) fn progress_slices(&mut self) {
        let closed: Vec<SliceId> = self
            .slices
            .held
            .iter()
            .filter(|(_, h)| !h.open)
            .map(|(id, _)| *id)
            .collect();
        for id in closed {
            let Some(held) = self.slices.held.get(&id).cloned() else {
                continue;
            };
            for former in held.former.iter().filter(|f| !f.cleared) {
                self.ask_former(id, &held, &former.holding);
            }
            self.try_open(id);
        }
        self.sync_successors();
    }

    fn ask_former(&mut self, slice: SliceId, held: &Held, holding: &Holding) {
        let ask = SliceAsk {
            slice,
            epoch: self.membership.epoch(),
            home: holding.home.clone(),
            incarnation: holding.incarnation,
            term: holding.term,
        };
        if let Some(home) = self.member(&holding.home)
            && home.incarnation <= holding.incarnation
        {
            self.out.send(&home, PeerMessage::ReleaseAsk(ask.clone()));
        }
        let lease_over = held.seen.after(self.cfg.lease_and_bound());
        if self.now < lease_over {
            return;
        }
        if let Some(successor) = holding.successor.as_ref().and_then(|s| self.member(s)) {
            self.out.send(&successor, PeerMessage::WithdrawAsk(ask));
        }
        // A box that held the slice alone can't act any more either, and nobody else knows its
        // records.
        if holding.successor.is_none() || self.both_are_gone(holding) {
            self.clear_former(slice, holding, false);
        }
    }

    /// Whether the platform's list has said for a lease that a home and its successor are gone.
    fn both_are_gone(&self, holding: &Holding) -> bool {
        let Some(since) = self
            .membership
            .gone_since(&holding.home, holding.incarnation)
        else {
            return false;
        };
        let successor_gone = holding.successor.as_ref().is_none_or(|s| {
            s != &self.cfg.me.id && self.membership.listed_state(s) == Some(FleetState::Gone)
        });
        successor_gone && self.now >= since.after(self.cfg.lease_and_bound())
    }

    fn clear_former(&mut self, slice: SliceId, holding: &Holding, synced: bool) {
        let Some(held) = self.slices.held.get_mut(&slice) else {
            return;
        };
        let Some(former) = held.former.iter_mut().find(|f| &f.holding == holding) else {
            return;
        };
        former.cleared = true;
        held.lost |= !synced;
    }

    fn try_open(&mut self, slice: SliceId) {
        let Some(held) = self.slices.held.get_mut(&slice) else {
            return;
        };
        if held.open || held.former.iter().any(|f| !f.cleared) {
            return;
        }
        held.open = true;
        let lost = std::mem::replace(&mut held.lost, false);
        self.slices.settle_wanted |= !held.former.is_empty();
        if lost {
            let horizon = self.bundles.retry_horizon();
            self.slices.extend_unknown(slice, self.now.after(horizon));
        }
        let detail = if lost {
            "records lost"
        } else {
            "records known"
        };
        self.out.note("slice_opened", slice, detail);
    }

    /// Sends the successor of each open slice the records that it doesn't have.
    fn sync_successors(&mut self) {
        let now = self.now;
        let due: Vec<SliceId> = self
            .slices
            .held
            .iter()
            .filter(|(_, h)| h.open && h.synced_term != Some(h.term))
            .filter(|(_, h)| h.sync_sent.is_none_or(|at| now.since(at) >= SYNC_AGAIN))
            .map(|(id, _)| *id)
            .collect();
        for slice in due {
            let Some(successor) = self.membership.successor(slice) else {
                continue;
            };
            let Some(held) = self.slices.held.get_mut(&slice) else {
                continue;
            };
            held.sync_sent = Some(now);
            let term = held.term;
            let me = self.cfg.me.clone();
            let epoch = self.membership.epoch();
            let ask = SliceAsk {
                slice,
                epoch,
                home: me.id,
                incarnation: me.incarnation,
                term,
            };
            let note = self.send_records(&successor.id, &ask, true);
            self.out.send(&successor, PeerMessage::SliceSync(note));
        }
    }

    /// Whether a record may be taken from a box that says it is the home of its slice.
    pub(super) fn accepts_copy(&self, slice: SliceId, from: &BoxId, epoch: Epoch) -> bool {
        let life = self
            .membership
            .peer(from)
            .map_or(Incarnation(0), |p| p.member.incarnation);
        if self.slices.is_fenced(slice, from, life, epoch) {
            return false;
        }
        let home = self.membership.slice_home(&self.cfg.domain, slice);
        self.membership.epoch() <= epoch || home.is_none_or(|h| &h.id == from)
    }

    /// Counts a record of a batch.
    pub(super) fn note_batch_record(&mut self, from: &BoxId, key: &RequestKey) {
        let place = (slice_of(key), from.clone());
        self.slices
            .received
            .entry(place)
            .or_default()
            .insert(key.clone());
    }
}

impl Held {
    fn has_cleared(&self, holding: &Holding) -> bool {
        self.former
            .iter()
            .any(|f| f.cleared && &f.holding == holding)
    }
}
