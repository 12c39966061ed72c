//! Gossip between boxes: table versions, work in progress, endpoint losses and store watchers.
//!
//! Each box sends its whole state to three others every `gossip_ms`, and [`GOSSIP_BATCH_DELAY`]
//! after a loss or a new version. Changes of its own usage go to all boxes of its failure domain
//! after [`USAGE_BATCH_DELAY`]. A box that learns of a newer table or endpoint list fetches it
//! ([`super::fetches`]).
//!
//! State: what has not been published yet. Datagrams may be lost; the next one repeats the state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::duty::UsageDuty;
use super::fetches::{FetchKind, FetchOutcome};
use super::peers::StateArrival;
use super::store_watchers::{Contact, StoreWatchers};
use crate::schema::{
    BoxState, CrashUpdate, DomainId, EndpointId, Micros, StateRequest, StoreReader, UsageUpdate,
};

/// Delay in which losses and new versions are batched before they are gossiped.
const GOSSIP_BATCH_DELAY: Duration = Duration::from_millis(10);

/// Delay in which attempts are batched before the own failure domain is notified. A call takes some
/// 60 ms. With a delay of 10 ms instead of up to 1.5 s, the score of simulated runs rose from 0.487
/// to 0.529.
const USAGE_BATCH_DELAY: Duration = Duration::from_millis(2);
/// Upper bound on usage datagrams per second and box; above it, attempts are batched for longer. A
/// datagram has some 60 bytes, so this is 18 KB a second. Without the bound each of 330
/// boxes in front of 5,100 endpoints would send 2,000 a second (docs/CAPACITY.md).
const USAGE_DATAGRAMS_PER_SECOND: f64 = 300.0;
/// Usage messages that may be sent back to back.
const USAGE_BURST_MESSAGES: u32 = 4;

/// Period after the start with more frequent gossip, so that all boxes learn of each other soon
/// (`tests/large_fleet.rs`).
const STARTUP_GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// Interval between messages in that period.
const STARTUP_GOSSIP_INTERVAL: Duration = Duration::from_millis(50);

/// Endpoints whose usage has changed and has not been published.
#[derive(Debug, Default)]
pub(super) struct PendingUsage {
    endpoints: BTreeSet<EndpointId>,
    due: Option<Micros>,
    /// Earliest time of the next message by [`USAGE_DATAGRAMS_PER_SECOND`].
    not_before: Micros,
}

impl PendingUsage {
    pub fn due(&self) -> Micros {
        self.due.unwrap_or(Micros(u64::MAX))
    }

    /// Charges a message to `boxes` receivers to the rate limit.
    fn record_sent(&mut self, boxes: usize, now: Micros) {
        let cost = Duration::from_secs_f64(boxes as f64 / USAGE_DATAGRAMS_PER_SECOND);
        let earliest = now.before(cost * (USAGE_BURST_MESSAGES - 1));
        self.not_before = self.not_before.max(earliest).after(cost);
    }
}

impl Dispatcher {
    /// Schedules publication of the own usage of an endpoint to the own failure domain, so that its
    /// boxes can choose other endpoints.
    pub(super) fn publish_usage_soon(&mut self, endpoint: &EndpointId) {
        let pending = &mut self.pending_usage;
        pending.endpoints.insert(endpoint.clone());
        let due = self.now.after(USAGE_BATCH_DELAY).max(pending.not_before);
        pending.due.get_or_insert(due);
    }

    /// Schedules publication to the own failure domain without a batch delay; used for crash
    /// reports and roll-out progress.
    pub(super) fn publish_immediately(&mut self) {
        let pending = &mut self.pending_usage;
        let due = self.now.max(pending.not_before);
        pending.due = Some(pending.due.map_or(due, |known| known.min(due)));
    }

    pub(super) fn gossip_usage_if_due(&mut self) {
        if self.now < self.pending_usage.due() {
            return;
        }
        let crashes = self.quarantine.take_unpublished(self.now);
        let endpoints = std::mem::take(&mut self.pending_usage.endpoints);
        self.pending_usage.due = None;
        let answers = self.fleet.take_unpublished();
        let samples = self.take_rollout_samples();
        let to = self.peers.of_own_domain(self.now);
        if to.is_empty() {
            return;
        }
        self.pending_usage.record_sent(to.len(), self.now);
        self.publish_answer_times(&to);
        let usage = endpoints.iter().filter_map(|id| self.fleet.own_usage(id));
        let update = UsageUpdate {
            from: self.cfg.me.clone(),
            usage: usage.collect(),
            answers,
            totals: self.budget.totals(self.now),
            samples,
            rollouts: self.rollout_progress(),
        };
        self.actions.push(Action::GossipUsage {
            to,
            update,
            crashes,
        });
        if self.quarantine.has_unpublished() {
            self.publish_immediately();
        }
    }

    pub(super) fn on_peer_usage(&mut self, update: &UsageUpdate) {
        let before = self.load_at(&update.usage);
        self.fleet
            .on_peer_usage(&update.from, &update.usage, self.now);
        self.on_load_reported(&before);
        self.fleet.on_peer_answers(&update.answers, self.now);
        self.budget
            .on_peer_totals(&update.from, &update.totals, self.now);
        self.on_peer_rollout_update(update);
        self.publish_load_if_due();
    }

    /// Brings the next gossip forward to [`GOSSIP_BATCH_DELAY`] from now at the latest.
    pub(super) fn gossip_soon(&mut self) {
        self.next_gossip = self.next_gossip.min(self.now.after(GOSSIP_BATCH_DELAY));
    }

    pub(super) fn gossip_if_due(&mut self) {
        if self.now < self.next_gossip {
            return;
        }
        self.next_gossip = self.now.after(self.gossip_interval());
        let to = self.peers.choose_receivers(&mut self.rng, self.now);
        if !to.is_empty() {
            self.update_allocators();
            self.publish_limits(to.clone());
            self.publish_departures(to.clone());
            self.publish_engine_speeds(&to);
            self.gossip_state(to);
        }
    }

    /// Interval to the next gossip; shorter in the first [`STARTUP_GOSSIP_PERIOD`] of the process.
    fn gossip_interval(&self) -> Duration {
        if self.now.since(self.started) < STARTUP_GOSSIP_PERIOD {
            STARTUP_GOSSIP_INTERVAL.min(self.cfg.gossip)
        } else {
            self.cfg.gossip
        }
    }

    /// Builds the state that is sent to boxes of `domain`.
    fn state_for(&mut self, domain: &DomainId) -> BoxState {
        let now = self.now;
        // For plain services other domains need only the sum over this domain. For engines they
        // need this box's own usage, since KV memory mirrors are placed in other domains and take
        // memory there.
        let (usage, domain_usage, totals) = if *domain == self.cfg.domain {
            let usage = self.fleet.all_own_usage().collect();
            let others = self.fleet.usage_of_others(now);
            (usage, others, self.budget.totals(now))
        } else {
            let of_domain = self.fleet.usage_of_domain(&self.cfg.domain, now);
            let engines = self.fleet.all_own_usage().filter(|usage| usage.memory > 0);
            (engines.collect(), vec![of_domain], Vec::new())
        };
        BoxState {
            from: self.cfg.me.clone(),
            incarnation: self.cfg.incarnation,
            domain: self.cfg.domain.clone(),
            address: self.cfg.address.to_string(),
            table_version: self.table_version().0,
            stopping: self.is_stopping(),
            usage,
            domain_usage,
            totals,
            lost: self.fleet.lost(now).cloned().collect(),
            beat: self.heartbeat,
            members_of: domain.clone(),
            members: self.peers.members_of(domain, &mut self.rng, now),
            peers: self.peers.outside_domain(domain, &mut self.rng, now),
            domains: self.peers.domain_sizes(now),
            endpoints_at: self.endpoints_revision,
            readers: self.store_watchers.watchers_of(domain, now),
            rollouts: self.rollouts_for(domain),
        }
    }

    /// Sends this box's state to a box that has just started, so that it need not read the store:
    /// with the quarantine verdicts if there are any, else only where this box knows more than the
    /// new one.
    fn send_initial_state(&mut self, peer: &BoxState) {
        let verdicts = self.quarantine.verdicts(self.now);
        if !verdicts.quarantined.is_empty()
            && let Ok(address) = peer.address.parse()
        {
            self.gossip_with(vec![address], &verdicts);
        } else if self.has_more_members_or_watchers(peer) {
            self.send_state(peer);
        }
    }

    /// Replies to a box's state with this box's own.
    fn send_state(&mut self, peer: &BoxState) {
        if let Ok(address) = peer.address.parse() {
            self.gossip_state(vec![address]);
        }
    }

    /// Announces to the own failure domain, and to boxes whose domain is unknown, that this box now
    /// watches the store.
    pub(super) fn gossip_watcher_claim(&mut self) {
        let to = self.peers.local_and_unknown(self.now);
        if !to.is_empty() {
            self.gossip_state(to);
        }
    }

    /// Records that the store answered this box, and tells its failure domain.
    pub(super) fn on_store_answered(&mut self) {
        let watcher = self.store_watchers.on_answer(self.cfg.address, self.now);
        let to = StoreWatchers::answer_receivers(self.peers.roster(), self.now);
        if !to.is_empty() && self.store_watchers.is_watching() {
            self.actions
                .push(Action::PublishStoreAnswer { to, watcher });
        }
    }

    pub(super) fn on_peer_store_answer(&mut self, watcher: StoreReader) {
        self.store_watchers.on_peer_watchers(&[watcher], self.now);
    }

    /// Announces a new table: a store watcher notifies its whole failure domain at once, any other
    /// box gossips to a few peers soon.
    pub(super) fn gossip_table(&mut self) {
        if self.store_watchers.is_watching() {
            let to = self.peers.of_own_domain(self.now);
            if !to.is_empty() {
                self.gossip_state(to);
            }
        }
        self.gossip_soon();
    }

    /// Sends this box's state. A seed whose failure domain is unknown is assumed to be in the own
    /// domain.
    pub(super) fn gossip_state(&mut self, to: Vec<SocketAddr>) {
        let crashes = self.quarantine.update_for_state(self.now);
        self.gossip_with(to, &crashes);
    }

    /// Sends this box's state with the given crash reports.
    fn gossip_with(&mut self, to: Vec<SocketAddr>, crashes: &CrashUpdate) {
        let mut by_domain: BTreeMap<DomainId, Vec<SocketAddr>> = BTreeMap::new();
        for address in to {
            let domain = self.peers.domain_at(address).unwrap_or(&self.cfg.domain);
            by_domain.entry(domain.clone()).or_default().push(address);
        }
        self.heartbeat += 1;
        for (domain, to) in by_domain {
            let state = Box::new(self.state_for(&domain));
            self.actions.push(Action::Gossip {
                to,
                state,
                crashes: crashes.clone(),
                holder: self.duty.as_ref().and_then(UsageDuty::holder),
            });
        }
    }

    pub(super) fn on_peer(&mut self, state: &BoxState) {
        let arrival = self.peers.on_state(state, self.now);
        if arrival == StateArrival::Ignored {
            return;
        }
        if arrival == StateArrival::NewBox {
            self.note_peer_start(state.incarnation);
            self.send_initial_state(state);
        }
        let is_local = state.domain == self.cfg.domain;
        let contact = if is_local {
            Contact::Local
        } else {
            Contact::Remote
        };
        self.store_watchers
            .on_contact(contact, &mut self.rng, self.now);
        let before = self.load_at(&state.usage);
        self.fleet.on_peer(state, &self.cfg.domain, self.now);
        self.on_load_reported(&before);
        self.budget
            .on_peer_totals(&state.from, &state.totals, self.now);
        self.store_watchers
            .on_peer_watchers(&state.readers, self.now);
        self.on_peer_rollouts(state);
        if state.table_version < self.table_version().0 {
            self.send_state(state);
        }
        self.table_fetches
            .on_peer_version(state.table_version, self.now);
        self.endpoint_fetches
            .on_peer_version(state.endpoints_at, self.now);
        self.fetch_if_behind();
    }

    /// Whether this box knows boxes or watchers that a box that has just started doesn't list.
    fn has_more_members_or_watchers(&self, state: &BoxState) -> bool {
        if !StoreWatchers::are_enough(&state.readers, &state.domain) {
            return true;
        }
        let is_local = state.domain == self.cfg.domain;
        let running = self.peers.roster().running(self.now).count();
        is_local && state.members.len() < running / 2
    }

    pub(super) fn on_fetched(&mut self, kind: FetchKind, from: SocketAddr, outcome: FetchOutcome) {
        let fetches = match kind {
            FetchKind::Table => &mut self.table_fetches,
            FetchKind::Endpoints => &mut self.endpoint_fetches,
        };
        fetches.on_fetch_ended(from, outcome, &mut self.rng, self.now);
    }

    /// Requests newer versions that peers have reported, from peers or, for the table, from the
    /// store.
    pub(super) fn fetch_if_behind(&mut self) {
        self.fetch(FetchKind::Table);
        self.fetch(FetchKind::Endpoints);
        if self.table_fetches.wants_store(&mut self.rng, self.now) {
            self.actions.push(Action::ReadTable);
        }
    }

    fn fetch(&mut self, kind: FetchKind) {
        let holders = self.peers.holders(kind, self.now);
        let fetches = match kind {
            FetchKind::Table => &mut self.table_fetches,
            FetchKind::Endpoints => &mut self.endpoint_fetches,
        };
        let Some(from) = fetches.choose_holder(holders, &mut self.rng, self.now) else {
            return;
        };
        let (table_after, endpoints_after) = match kind {
            FetchKind::Table => (self.table_version().0, u64::MAX),
            FetchKind::Endpoints => (u64::MAX, self.endpoints_revision),
        };
        let wanted = StateRequest {
            table_after,
            endpoints_after,
        };
        self.actions.push(Action::FetchState { from, kind, wanted });
    }
}
