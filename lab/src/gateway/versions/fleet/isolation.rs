//! Boxes that are out of step: cut off from the other boxes, with or without the store, in both
//! directions or in one, or reached late.

use std::time::Duration;

use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::schema::Micros;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::{Fleet, Mail, STORE_CALL};

/// How long a box is out of step, in milliseconds.
const ISOLATED_MS: std::ops::Range<u64> = 1_000..6_000;
/// By how much datagrams are late, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 500..4_000;

/// What is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cut {
    /// All datagrams and transfers.
    Peers,
    /// The same, and the store.
    PeersAndStore,
    /// Datagrams to the box, and transfers.
    Incoming,
    /// Datagrams of the box, and transfers.
    Outgoing,
    /// Nothing; datagrams from and to it are late.
    Late,
}

const CUTS: [Cut; 5] = [
    Cut::Peers,
    Cut::PeersAndStore,
    Cut::Incoming,
    Cut::Outgoing,
    Cut::Late,
];

/// What a box is cut off from, and until when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    cut: Cut,
    until: Micros,
}

impl Isolation {
    /// A box that has never been out of step.
    pub(super) const NONE: Self = Self {
        cut: Cut::Late,
        until: Micros::ZERO,
    };

    fn cut_at(self, now: Micros) -> Option<Cut> {
        (now < self.until).then_some(self.cut)
    }
}

impl Fleet {
    /// Cuts a box off in a drawn way for a drawn time.
    pub(super) fn isolate_box(&mut self, at: usize) {
        let cut = *CUTS.choose(&mut self.rng).unwrap_or(&Cut::Peers);
        let span = Duration::from_millis(self.rng.random_range(ISOLATED_MS));
        let until = self.now().after(span);
        self.boxes[at].isolation = Isolation { cut, until };
        self.boxes[at].disturbed = until;
        self.mail.post(span + STORE_CALL, Mail::Rejoined(at));
    }

    /// Whether a box reaches no peer and is reached by none.
    pub(super) fn is_isolated(&self, at: usize) -> bool {
        let cut = self.boxes[at].isolation.cut_at(self.now());
        cut.is_some_and(|cut| cut != Cut::Late)
    }

    /// Whether a box is cut off from the store too.
    pub(super) fn is_isolated_from_store(&self, at: usize) -> bool {
        self.boxes[at].isolation.cut_at(self.now()) == Some(Cut::PeersAndStore)
    }

    /// Whether a datagram between two boxes is lost to an isolation.
    pub(super) fn is_isolated_between(&self, from: usize, to: usize) -> bool {
        let now = self.now();
        let sends = !matches!(
            self.boxes[from].isolation.cut_at(now),
            Some(Cut::Peers | Cut::PeersAndStore | Cut::Outgoing)
        );
        let receives = !matches!(
            self.boxes[to].isolation.cut_at(now),
            Some(Cut::Peers | Cut::PeersAndStore | Cut::Incoming)
        );
        !sends || !receives
    }

    /// By how much a datagram between two boxes is late.
    pub(super) fn lateness(&mut self, from: usize, to: usize) -> Duration {
        let now = self.now();
        let is_late = |at: usize| self.boxes[at].isolation.cut_at(now) == Some(Cut::Late);
        if is_late(from) || is_late(to) {
            Duration::from_millis(self.rng.random_range(LATE_MS))
        } else {
            Duration::ZERO
        }
    }

    /// Whether a box hears of a change of the list: from its own watch, or from peers.
    pub(super) fn hears_of_changes(&self, at: usize) -> bool {
        self.is_store_reached(at) && (!self.is_isolated(at) || self.boxes[at].is_watching)
    }

    /// A box that begins to watch the store on its own reads the list.
    pub(super) fn read_list_alone(&mut self, at: usize) {
        if self.is_isolated(at) && self.is_store_reached(at) {
            let list = self.list();
            self.post_event(at, STORE_CALL, list);
        }
    }

    /// A box that was out of step hears of what it missed.
    pub(super) fn rejoin(&mut self, at: usize) {
        if self.boxes[at].is_running && !self.is_isolated(at) && self.is_store_reached(at) {
            let list: Event = self.list();
            self.post_event(at, STORE_CALL, list);
        }
    }
}
