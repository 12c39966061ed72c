//! The decisions of an entry box: a state machine without sockets, clocks or threads.
//!
//! [`Node::handle`] takes an event with the time at which it happened and returns the actions that
//! follow. Timers are events, and randomness comes from a seed, so the same events give the same
//! actions every time. The daemon's control thread runs exactly this code, and so do the tests,
//! on made-up time.
//!
//! A request has a *home* box that produces its answer, and a box that holds a copy of it. For
//! generations both are the live boxes that rank first for the key, since the copy and the digest
//! keep answers apart whoever produces them. For calls that run at most once they are the home and
//! the successor of the key's slice in the roster, which only the platform can change.

pub mod action;
pub mod admission;
pub mod answers;
pub mod config;
pub mod endpoints;
pub mod event;
pub mod gaps;
pub mod membership;
pub mod outbox;
pub mod prefixes;
pub mod retries;
pub mod roster;
pub mod routing;
pub mod stats;
pub mod suspicion;

mod bundles;
mod calls;
mod copies;
mod deferred;
mod generate;
mod heartbeats;
mod ingress;
mod loads;
mod orders;
mod platform;
mod queueing;
mod runs;
mod slices;
mod stopping;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::schema::{BoxId, Member, Micros, PeerMessage};
use action::Action;
use admission::Admission;
use answers::held::Answers;
use config::NodeConfig;
use endpoints::Endpoints;
use event::{Event, Timer};
use membership::Membership;
use outbox::Outbox;
use retries::RetryBudgets;
use stats::Stats;

/// Heartbeats without any event after which a box knows that it was paused.
const PAUSE_HEARTBEATS: u32 = 2;

/// The decisions of one entry box.
#[derive(Debug)]
pub struct Node {
    cfg: NodeConfig,
    now: Micros,
    rng: ChaCha8Rng,
    out: Outbox,
    membership: Membership,
    slices: slices::Slices,
    bundles: bundles::Bundles,
    endpoints: Endpoints,
    admission: Admission,
    budgets: RetryBudgets,
    answers: Answers,
    calls: calls::Calls,
    inbound: ingress::Inbounds,
    deferred: deferred::Deferred,
    orders: orders::Orders,
    platform: platform::Calls,
    beats: heartbeats::Beats,
    stopping: stopping::Stopping,
    stats: Stats,
}

/// How much a node holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holds {
    /// Answers, produced here or copied.
    pub answers: usize,
    /// Calls that are going on.
    pub calls: usize,
    /// Records of calls, going on or settled.
    pub call_records: usize,
    /// Tokens of answers.
    pub tokens: usize,
    /// Requests that wait for an endpoint.
    pub waiting: usize,
    /// Callers that wait.
    pub callers: usize,
}

impl Node {
    /// Makes a node that has not been started; `seed` determines all its random choices.
    #[must_use]
    pub fn new(cfg: NodeConfig, seed: u64, now: Micros) -> Self {
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            out: Outbox::new(cfg.me.id.clone()),
            membership: Membership::new(&cfg, now),
            slices: slices::Slices::default(),
            bundles: bundles::Bundles::default(),
            endpoints: Endpoints::default(),
            admission: Admission::default(),
            budgets: RetryBudgets::default(),
            answers: Answers::default(),
            calls: calls::Calls::default(),
            inbound: ingress::Inbounds::default(),
            deferred: deferred::Deferred::new(cfg.me.incarnation),
            orders: orders::Orders::default(),
            platform: platform::Calls::default(),
            beats: heartbeats::Beats::default(),
            stopping: stopping::Stopping::default(),
            stats: Stats::default(),
            cfg,
        }
    }

    /// Takes in an event that happened at `now` and returns what is to be done.
    ///
    /// `now` must not run backwards.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let pause = now.since(self.now);
        self.now = now.max(self.now);
        if pause > self.cfg.heartbeat * PAUSE_HEARTBEATS {
            // This box was paused. That no one was heard meanwhile says nothing about the others.
            self.membership.forgive(pause);
            self.out
                .note("box_paused", &self.cfg.me.id, format!("{pause:?}"));
        }
        self.take_in(event);
        while let Some(message) = self.out.next_own() {
            let me = self.cfg.me.id.clone();
            self.on_peer(&me, message);
        }
        self.out.take()
    }

    /// Counts of what has happened.
    #[must_use]
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// What is known of the other boxes.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What is known of the endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// The bundle in force.
    #[must_use]
    pub fn bundle(&self) -> Option<std::sync::Arc<crate::keyed::bundle::Bundle>> {
        self.bundles.current()
    }

    /// This box in its present life.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.cfg.me
    }

    /// How many slices this box has opened.
    #[must_use]
    pub fn open_slices(&self) -> usize {
        self.slices.open().len()
    }

    /// Whether the box is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.bundles.is_ready() && !self.stopping.is_begun()
    }

    /// What is held now.
    #[must_use]
    pub fn holds(&self) -> Holds {
        Holds {
            answers: self.answers.len(),
            calls: self.calls.active(),
            call_records: self.calls.records(),
            tokens: self.answers.tokens(),
            waiting: self.admission.len(),
            callers: self.inbound.len(),
        }
    }

    fn take_in(&mut self, event: Event) {
        match event {
            Event::Start => self.on_start(),
            Event::Timer(timer) => self.on_timer(timer),
            Event::Caller { connection, event } => self.on_caller(connection, event),
            Event::Peer {
                from,
                incarnation,
                message,
            } => {
                if !self.membership.is_past_life(&from, incarnation) {
                    self.on_peer(&from, message);
                }
            }
            Event::PeerLost(id) => self.on_peer_lost(&id),
            Event::Heartbeat(beat) => self.on_heartbeat(&beat),
            Event::Engine { stream, event } => self.on_engine(&stream, event),
            Event::Service {
                key,
                attempt,
                outcome,
            } => self.on_service(&key, attempt, outcome),
            Event::Load { endpoint, load } => self.on_load(&endpoint, load),
            Event::Platform { id, asked, answer } => self.on_platform(id, asked, answer),
            Event::Bundle { bundle, signed } => self.on_bundle(bundle, signed),
            Event::BundleFailed { version, reason } => self.on_bundle_failed(version, &reason),
            Event::Stop => self.on_stop(),
        }
    }

    fn on_start(&mut self) {
        let me = self.cfg.me.id.clone();
        self.out.note("box_started", &me, self.cfg.me.incarnation);
        self.start_bundles();
        self.on_timer(Timer::Roster);
        self.on_timer(Timer::Heartbeat);
        self.on_timer(Timer::Poll);
        self.read_other_rosters();
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Heartbeat => self.beat(),
            Timer::Roster => self.read_roster(),
            Timer::Poll => self.poll_loads(),
            Timer::Suspect(stream) => self.check_silence(&stream),
            Timer::Retry(key) => self.on_retry(&key),
            Timer::Intent(key) => self.on_intent_overdue(&key),
            Timer::Inbound(connection) => self.check_inbound(connection),
            Timer::Flush => self.flush_deferred(),
            Timer::Bundle => self.watch_bundle(),
        }
    }

    fn on_peer(&mut self, from: &BoxId, message: PeerMessage) {
        match message {
            PeerMessage::Submit(submit) => self.on_submit(submit),
            PeerMessage::Output(output) => self.on_output(&output),
            PeerMessage::Refused(refused) => self.on_refused(refused),
            PeerMessage::Answered(answered) => self.on_answered(answered),
            PeerMessage::Moved(moved) => self.on_moved(&moved),
            PeerMessage::Detach(detach) => self.on_detach(from, &detach),
            PeerMessage::TokenCopy(copy) => self.on_token_copy(from, copy),
            PeerMessage::TokenAck(ack) => self.on_token_ack(from, &ack),
            PeerMessage::TokenRefused(refused) => self.on_token_refused(from, &refused),
            PeerMessage::OnceCopy(copy) => self.on_once_copy(from, copy),
            PeerMessage::OnceAck(ack) => self.on_once_ack(from, &ack),
            PeerMessage::SliceSync(note) => self.on_slice_sync(from, &note),
            PeerMessage::SliceSynced(note) => self.on_slice_synced(from, &note),
            PeerMessage::ReleaseAsk(ask) => self.on_release_ask(from, &ask),
            PeerMessage::Released(note) => self.on_former_cleared(from, &note, true),
            PeerMessage::Withdrawn(note) => self.on_former_cleared(from, &note, false),
            PeerMessage::WithdrawAsk(ask) => self.on_withdraw_ask(from, &ask),
            PeerMessage::Defer(defer) => self.on_defer(defer),
            PeerMessage::DeferReply(reply) => self.on_defer_reply(&reply),
            PeerMessage::Hold(hold) => self.on_hold(from, hold),
            PeerMessage::HoldReply(reply) => self.on_hold_reply(from, &reply),
            PeerMessage::HoldDone(done) => self.on_hold_done(&done),
            PeerMessage::RunDeferred(run) => self.on_run_deferred(run),
            PeerMessage::DeferredDone(done) => self.on_deferred_done(done),
            PeerMessage::Lookup(lookup) => self.on_lookup(lookup),
            PeerMessage::LookupReply(reply) => self.on_lookup_reply(reply),
            PeerMessage::BundleFetch(fetch) => self.on_bundle_fetch(from, &fetch),
            PeerMessage::BundleReply(reply) => self.on_bundle_reply(reply),
        }
    }

    fn on_peer_lost(&mut self, id: &BoxId) {
        self.membership.on_lost(id);
        self.after_peer_lost(id);
    }

    /// Everything that has to move once a box no longer answers.
    fn after_peer_lost(&mut self, id: &BoxId) {
        self.move_copies_from(id);
        self.take_over_from(id);
        self.rehome_inbound(id);
        self.redispatch_deferred(id);
    }

    /// The member record of a box that was heard of.
    fn member(&self, id: &BoxId) -> Option<Member> {
        self.membership.member(id).cloned()
    }
}
