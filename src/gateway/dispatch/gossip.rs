//! What boxes tell each other: versions, work in hand, losses and store watchers.
//!
//! Each box sends its whole state to three others at equal times (`gossip_ms`), and [`NEWS_PAUSE`]
//! after a loss or a new version; what it has just sent to engines goes to all boxes of its failure
//! domain after [`USAGE_PAUSE`]. A box that hears of a newer table or list fetches it
//! ([`super::fetches`]).
//!
//! Owns: what is still to be told. Relies on: datagrams, which may be lost: the next one makes it
//! good.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::duty::UsageDuty;
use super::fetches::{FetchKind, FetchOutcome};
use super::peers::Heard;
use super::store_watchers::{Contact, StoreWatchers};
use crate::schema::{
    BoxState, CrashUpdate, DomainId, EndpointId, Micros, StateRequest, UsageUpdate,
};

/// How long losses and versions gather before peers are told.
const NEWS_PAUSE: Duration = Duration::from_millis(10);

/// How long attempts gather before the boxes of the own failure domain are told of them. With 10 ms
/// worth rose from 0.487 to 0.529; a call takes some 60 ms.
const USAGE_PAUSE: Duration = Duration::from_millis(2);
/// How many datagrams a second a box sends for that at the most; beyond it attempts gather longer.
/// Some 60 bytes each, so 18 KB a second; with 330 boxes before 5,100 endpoints a box would send
/// 2,000 a second otherwise (docs/CAPACITY.md).
const USAGE_RATE: f64 = 300.0;
/// How many such messages in a row may go out without a pause.
const USAGE_BURST: u32 = 4;

/// How long a box that starts tells others more often, so that all know each other soon
/// (`tests/large_fleet.rs`).
const FIRST_MESSAGES_FOR: Duration = Duration::from_secs(1);
/// How often it does.
const FIRST_MESSAGES: Duration = Duration::from_millis(50);

/// Endpoints where attempts began or ended, of which peers are told soon.
#[derive(Debug, Default)]
pub(super) struct PendingUsage {
    endpoints: BTreeSet<EndpointId>,
    due: Option<Micros>,
    /// When [`USAGE_RATE`] allows the next message.
    allowed: Micros,
}

impl PendingUsage {
    /// When peers are to be told.
    pub fn due(&self) -> Micros {
        self.due.unwrap_or(Micros(u64::MAX))
    }

    /// Notes that a message went to so many boxes, so that the next ones keep to the rate.
    fn note_sent(&mut self, boxes: usize, now: Micros) {
        let cost = Duration::from_secs_f64(boxes as f64 / USAGE_RATE);
        let earliest = now.before(cost * (USAGE_BURST - 1));
        self.allowed = self.allowed.max(earliest).after(cost);
    }
}

impl Dispatcher {
    /// Lets the boxes of the own failure domain know soon what runs at an endpoint, so that they
    /// choose others.
    pub(super) fn publish_usage_soon(&mut self, endpoint: &EndpointId) {
        let pending = &mut self.pending_usage;
        pending.endpoints.insert(endpoint.clone());
        let due = self.now.after(USAGE_PAUSE).max(pending.allowed);
        pending.due.get_or_insert(due);
    }

    /// Lets the boxes of the own failure domain know at once of crashes, and how far this one is with
    /// roll-outs.
    pub(super) fn publish_immediately(&mut self) {
        let pending = &mut self.pending_usage;
        let due = self.now.max(pending.allowed);
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
        self.pending_usage.note_sent(to.len(), self.now);
        let usage = endpoints.iter().filter_map(|id| self.fleet.own_usage(id));
        let news = UsageUpdate {
            from: self.cfg.me.clone(),
            usage: usage.collect(),
            answers,
            totals: self.budget.totals(self.now),
            samples,
            rollouts: self.rollout_progress(),
        };
        self.actions.push(Action::GossipUsage {
            to,
            update: news,
            crashes,
        });
        if self.quarantine.has_unpublished() {
            self.publish_immediately();
        }
    }

    pub(super) fn on_peer_usage(&mut self, news: &UsageUpdate) {
        self.fleet.on_peer_usage(&news.from, &news.usage, self.now);
        self.fleet.on_peer_answers(&news.answers, self.now);
        self.budget
            .on_peer_totals(&news.from, &news.totals, self.now);
        self.on_peer_rollout_update(news);
    }

    /// Has peers told before it is due.
    pub(super) fn gossip_soon(&mut self) {
        self.next_gossip = self.next_gossip.min(self.now.after(NEWS_PAUSE));
    }

    pub(super) fn gossip_if_due(&mut self) {
        if self.now < self.next_gossip {
            return;
        }
        self.next_gossip = self.now.after(self.gossip_pause());
        let to = self.peers.choose(&mut self.rng, self.now);
        if !to.is_empty() {
            self.check_allocators();
            self.publish_limits(to.clone());
            self.gossip_state(to);
        }
    }

    /// The time until the next message: short at first, so that boxes that start know each other
    /// soon.
    fn gossip_pause(&self) -> Duration {
        if self.now.since(self.started) < FIRST_MESSAGES_FOR {
            FIRST_MESSAGES.min(self.cfg.gossip)
        } else {
            self.cfg.gossip
        }
    }

    /// The state of this box, for boxes of a failure domain.
    fn state_for(&mut self, domain: &DomainId) -> BoxState {
        let now = self.now;
        // Of plain services the sums over a domain matter elsewhere; of engines what this box runs
        // there and mirrors to them, since mirrors stand in other domains and need memory there.
        let (usage, domain_usage, totals) = if *domain == self.cfg.domain {
            let usage = self.fleet.all_own_usage().collect();
            let others = self.fleet.usage_of_others(now);
            (usage, others, self.budget.totals(now))
        } else {
            let of_domain = self.fleet.usage_of_domain(&self.cfg.domain, now);
            let engines = self.fleet.all_own_usage().filter(|told| told.memory > 0);
            (engines.collect(), vec![of_domain], Vec::new())
        };
        BoxState {
            from: self.cfg.me.clone(),
            incarnation: self.cfg.incarnation,
            domain: self.cfg.domain.clone(),
            address: self.cfg.address.to_string(),
            table_version: self.table_version().0,
            stopping: self.stop_deadline.is_some(),
            usage,
            domain_usage,
            totals,
            lost: self.fleet.lost(now).cloned().collect(),
            beat: self.beat,
            members_of: domain.clone(),
            members: self.peers.members_of(domain, &mut self.rng, now),
            peers: self.peers.others_than(domain, &mut self.rng, now),
            domains: self.peers.sizes_to_tell(now),
            endpoints_at: self.endpoints_at,
            readers: self.store_watchers.told(domain, now),
            rollouts: self.rollouts_for(domain),
        }
    }

    /// Tells a box that has just started what it can't know: then it needn't ask the store.
    fn tell_new_box(&mut self, peer: &BoxState) {
        let verdicts = self.quarantine.verdicts(self.now);
        if !verdicts.quarantined.is_empty()
            && let Ok(address) = peer.address.parse()
        {
            self.gossip_with(vec![address], &verdicts);
        } else if self.knows_more_than(peer) {
            self.tell(peer);
        }
    }

    /// Sends this box's state to one that has just told its own.
    fn tell(&mut self, peer: &BoxState) {
        if let Ok(address) = peer.address.parse() {
            self.gossip_state(vec![address]);
        }
    }

    /// Tells the boxes of the own failure domain that this one watches the store from now on, and
    /// those of which the domain is not known.
    pub(super) fn gossip_claim(&mut self) {
        let to = self.peers.near_and_unknown(self.now);
        if !to.is_empty() {
            self.gossip_state(to);
        }
    }

    /// Tells others of a new table: a box that watches the store tells all of its failure domain at
    /// once, any other box a few soon.
    pub(super) fn gossip_table(&mut self) {
        if self.store_watchers.is_watching() {
            let to = self.peers.of_own_domain(self.now);
            if !to.is_empty() {
                self.gossip_state(to);
            }
        }
        self.gossip_soon();
    }

    /// Sends this box's state to others; a seed whose failure domain is not known is taken for one
    /// of the own.
    pub(super) fn gossip_state(&mut self, to: Vec<SocketAddr>) {
        let crashes = self.quarantine.update_for_state(self.now);
        self.gossip_with(to, &crashes);
    }

    /// Sends this box's state to others, with what it knows of crashing requests.
    fn gossip_with(&mut self, to: Vec<SocketAddr>, crashes: &CrashUpdate) {
        let mut by_domain: BTreeMap<DomainId, Vec<SocketAddr>> = BTreeMap::new();
        for address in to {
            let domain = self.peers.domain_at(address).unwrap_or(&self.cfg.domain);
            by_domain.entry(domain.clone()).or_default().push(address);
        }
        self.beat += 1;
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
        if arrival == Heard::Nothing {
            return;
        }
        if arrival == Heard::NewBox {
            self.tell_new_box(state);
        }
        let is_near = state.domain == self.cfg.domain;
        let contact = if is_near { Contact::Near } else { Contact::Far };
        self.store_watchers
            .on_contact(contact, &mut self.rng, self.now);
        self.fleet.on_peer(state, &self.cfg.domain, self.now);
        self.budget
            .on_peer_totals(&state.from, &state.totals, self.now);
        self.store_watchers.on_told(&state.readers, self.now);
        self.on_peer_rollouts(state);
        if state.table_version < self.table_version().0 {
            self.tell(state);
        }
        self.table_fetches.on_told(state.table_version, self.now);
        self.endpoint_fetches.on_told(state.endpoints_at, self.now);
        self.fetch_if_behind();
    }

    /// Whether a box that has just started can be told of boxes or watchers that it doesn't know.
    fn knows_more_than(&self, state: &BoxState) -> bool {
        if !StoreWatchers::are_enough(&state.readers, &state.domain) {
            return true;
        }
        let is_near = state.domain == self.cfg.domain;
        let running = self.peers.roster().running(self.now).count();
        is_near && state.members.len() < running / 2
    }

    pub(super) fn on_fetched(&mut self, kind: FetchKind, from: SocketAddr, outcome: FetchOutcome) {
        let fetches = match kind {
            FetchKind::Table => &mut self.table_fetches,
            FetchKind::Endpoints => &mut self.endpoint_fetches,
        };
        fetches.on_ended(from, outcome, &mut self.rng, self.now);
    }

    /// Asks peers, and the store, for what this box should have by now.
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
        let Some(from) = fetches.choose(holders, &mut self.rng, self.now) else {
            return;
        };
        let (table_after, endpoints_after) = match kind {
            FetchKind::Table => (self.table_version().0, u64::MAX),
            FetchKind::Endpoints => (u64::MAX, self.endpoints_at),
        };
        let wanted = StateRequest {
            table_after,
            endpoints_after,
        };
        self.actions.push(Action::FetchState { from, kind, wanted });
    }
}
