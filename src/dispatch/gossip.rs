//! What this box tells its peers, and what it takes from what they tell.

use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::fleet::Usage;
use super::table::TableVersion;
use crate::schema::{BoxState, EndpointUsage, StateRequest};

/// How long news gather before peers are told.
const NEWS_PAUSE: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// Tells peers before it is due, since there is news.
    pub(super) fn gossip_soon(&mut self) {
        self.next_gossip = self.next_gossip.min(self.now.after(NEWS_PAUSE));
    }

    pub(super) fn gossip_if_due(&mut self) {
        if self.now < self.next_gossip {
            return;
        }
        self.next_gossip = self.now.after(self.cfg.gossip);
        let to = self.peers.choose(&mut self.rng, self.now);
        if to.is_empty() {
            return;
        }
        let state = Box::new(self.state());
        self.actions.push(Action::Gossip { to, state });
    }

    /// How this box stands.
    #[must_use]
    pub fn state(&self) -> BoxState {
        let used = self.fleet.iter().filter(|e| e.own != Usage::default());
        let usage = used.map(|e| EndpointUsage {
            endpoint: e.spec.id.clone(),
            running: e.own.running,
            reading: e.own.reading,
            memory: e.own.memory,
        });
        BoxState {
            from: self.cfg.me.clone(),
            incarnation: self.cfg.incarnation,
            address: self.cfg.address.to_string(),
            table_version: self.table_version().0,
            stopping: self.ends_at.is_some(),
            usage: usage.collect(),
            lost: self.fleet.lost(self.now).cloned().collect(),
            peers: self.peers.heard_addresses(self.now),
            endpoints_at: self.endpoints_at,
            readers: self.readers.told(self.now),
        }
    }

    pub(super) fn on_peer(&mut self, state: &BoxState) {
        if !self.peers.on_state(state, self.now) {
            return;
        }
        self.fleet.on_peer(state, self.now);
        self.readers.on_told(&state.readers, self.now);
        let own = self.table_version();
        let has_news =
            TableVersion(state.table_version) > own || state.endpoints_at > self.endpoints_at;
        if !has_news || !self.peers.may_fetch(self.now) {
            return;
        }
        if let Ok(from) = state.address.parse() {
            let wanted = StateRequest {
                table_after: own.0,
                endpoints_after: self.endpoints_at,
            };
            self.actions.push(Action::FetchState { from, wanted });
        }
    }
}
