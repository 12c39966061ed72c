//! What the boxes that held a slice before, and those that hold it next, ask and tell each other.

use crate::keyed::node::Node;
use crate::schema::{BoxId, OnceCopy, PeerMessage, SliceAsk, SliceId, SliceNote};

impl Node {
    /// Sends a box all call records of a slice, and returns the note that has to follow them.
    pub(super) fn send_records(&mut self, to: &BoxId, ask: &SliceAsk, synced: bool) -> SliceNote {
        let epoch = self.membership.epoch().max(ask.epoch);
        let records = self.calls.records_of(ask.slice);
        let count = records.len() as u32;
        if let Some(member) = self.member(to) {
            for record in records {
                self.out.send(
                    &member,
                    OnceCopy {
                        record,
                        epoch,
                        batch: true,
                    },
                );
            }
        }
        SliceNote {
            slice: ask.slice,
            epoch,
            home: ask.home.clone(),
            incarnation: ask.incarnation,
            term: ask.term,
            records: count,
            synced,
            unknown_for: self.slices.unknown_for(ask.slice, self.now).into(),
        }
    }

    /// A new home asks this box to let a slice go.
    pub(in crate::keyed::node) fn on_release_ask(&mut self, from: &BoxId, ask: &SliceAsk) {
        if ask.home != self.cfg.me.id || ask.incarnation != self.cfg.me.incarnation {
            return;
        }
        let at = self.slices.released.entry(ask.slice).or_insert(ask.epoch);
        *at = ask.epoch.max(*at);
        self.slices.awaiting_release.remove(&ask.slice);
        if self.membership.epoch() < ask.epoch {
            self.slices.held.remove(&ask.slice);
            self.read_roster_now();
        }
        if self.slices.held.contains_key(&ask.slice) {
            // The asker's roster is the older one.
            return;
        }
        self.refuse_queued_calls(ask.slice);
        let note = self.send_records(from, ask, true);
        if let Some(member) = self.member(from) {
            self.out.send(&member, PeerMessage::Released(note));
        }
    }

    /// A new home asks this box, as the successor of a former one, to stand by that one no more.
    pub(in crate::keyed::node) fn on_withdraw_ask(&mut self, from: &BoxId, ask: &SliceAsk) {
        let key = (ask.slice, ask.home.clone(), ask.incarnation);
        let at = self.slices.withdrawn.entry(key).or_insert(ask.epoch);
        *at = ask.epoch.max(*at);
        if self
            .membership
            .is_bound_to(&ask.home, ask.incarnation, self.now)
        {
            return;
        }
        let whole = (ask.home.clone(), ask.incarnation, ask.term);
        let synced = self.slices.synced_from.get(&ask.slice) == Some(&whole);
        let note = self.send_records(from, ask, synced);
        if let Some(member) = self.member(from) {
            self.out.send(&member, PeerMessage::Withdrawn(note));
        }
    }

    /// A former holder, or its successor, has let a slice go.
    pub(in crate::keyed::node) fn on_former_cleared(
        &mut self,
        from: &BoxId,
        note: &SliceNote,
        released: bool,
    ) {
        let Some(held) = self.slices.held.get(&note.slice).filter(|h| !h.open) else {
            return;
        };
        let holding = held.former.iter().map(|f| &f.holding).find(|h| {
            let speaks = if released {
                &h.home == from
            } else {
                h.successor.as_ref() == Some(from)
            };
            speaks
                && h.home == note.home
                && h.incarnation == note.incarnation
                && h.term == note.term
        });
        let Some(holding) = holding.cloned() else {
            return;
        };
        if !self.has_received(note.slice, from, note.records) {
            return;
        }
        let until = self.now.after(note.unknown_for.into());
        self.slices.extend_unknown(note.slice, until);
        self.clear_former(note.slice, &holding, note.synced);
        self.try_open(note.slice);
        self.sync_successors();
    }

    /// Whether all records of a batch came; what came is counted anew for the next batch.
    fn has_received(&mut self, slice: SliceId, from: &BoxId, records: u32) -> bool {
        if from == &self.cfg.me.id {
            return true;
        }
        let received = self.slices.received.remove(&(slice, from.clone()));
        received.map_or(0, |keys| keys.len()) >= records as usize
    }

    /// The home of a slice has sent all its records.
    pub(in crate::keyed::node) fn on_slice_sync(&mut self, from: &BoxId, note: &SliceNote) {
        let complete = self.has_received(note.slice, from, note.records);
        if from != &note.home || !complete || !self.accepts_copy(note.slice, from, note.epoch) {
            return;
        }
        let whole = (note.home.clone(), note.incarnation, note.term);
        self.slices.synced_from.insert(note.slice, whole);
        let until = self.now.after(note.unknown_for.into());
        self.slices.extend_unknown(note.slice, until);
        if let Some(member) = self.member(from) {
            self.out
                .send(&member, PeerMessage::SliceSynced(note.clone()));
        }
    }

    /// The successor has all records of a slice.
    pub(in crate::keyed::node) fn on_slice_synced(&mut self, from: &BoxId, note: &SliceNote) {
        let is_successor = self
            .membership
            .successor(note.slice)
            .is_some_and(|m| &m.id == from);
        if let Some(held) = self.slices.held.get_mut(&note.slice)
            && is_successor
            && held.term == note.term
        {
            held.synced_term = Some(note.term);
        }
    }
}
