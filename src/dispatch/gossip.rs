//! What this box tells its peers, and what it takes from what they tell.

use super::Dispatcher;
use super::action::Action;
use super::fleet::Usage;
use super::table::TableVersion;
use crate::schema::{BoxState, EndpointUsage, StateRequest};

impl Dispatcher {
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
        }
    }

    pub(super) fn on_peer(&mut self, state: &BoxState) {
        if !self.peers.on_state(state, self.now) {
            return;
        }
        self.fleet.on_peer(state, self.now);
        let own = self.table_version();
        let offered = TableVersion(state.table_version);
        if !self.peers.may_fetch(own, offered, self.now) {
            return;
        }
        if let Ok(from) = state.address.parse() {
            let wanted = StateRequest {
                table_after: own.0,
                endpoints: !self.fleet.is_known(),
            };
            self.actions.push(Action::FetchState { from, wanted });
        }
    }
}
