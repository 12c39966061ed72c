//! The decisions of a gateway box: a state machine without sockets, clocks or threads.
//!
//! [`Dispatcher::handle`] takes an event with the time at which it happened and returns the actions
//! that follow. Each try of a caller has an id of its own and reaches one box, so that box alone
//! answers for it: nothing has to be agreed with other boxes before it runs. A caller whose box
//! died comes back with the last event that it got, and any box goes on from there.
//!
//! | question | module |
//! |---|---|
//! | which tries of callers are the same request | `fingerprint` |
//! | which requests are admitted, which refused at once | [`admission`] |
//! | where an attempt is made | [`placement`], its costs in [`placement::costs`] |
//! | how an attempt is begun and counted, how long a request waits for an endpoint | [`attempts`] |
//! | when a request is tried again, how often | [`retry`], at whose cost: [`retry_budget`] |
//! | when it is given up, why, and when its caller may come back | [`refusal`] |
//! | when an endpoint is suspected | [`suspicion`], avoided and trusted again: `fleet::losses` |
//! | what follows from a table or a list that was read | `intake` |
//! | which requests crash their endpoints and are held back | [`quarantine`], made sure of: `crashes` |
//! | how long streams take, which a stop must leave them | [`stream_time`] |
//! | what follows when an endpoint starts again under its id | [`endpoint_restart`], `fleet::incarnations` |
//! | how much goes to endpoints that name a limit, and from which box | [`permits`], [`fleet::limits`] |
//! | where replicas of KV memory lie | [`replicas`] |
//! | which engine keeps the prompt of a caller that comes back | [`prompt_search`] |
//! | what runs at endpoints | [`fleet::usage`] |
//! | which boxes watch the store | [`store_watchers`] |
//! | what boxes tell each other | [`gossip`], [`peers`] |
//! | how a service moves to another version | [`rollout`], carried out by [`rollouts`] |
//! | who runs | [`roster`] |
//! | from whom a newer table or list is fetched | [`fetches`] |
//! | when the box is ready | [`readiness`] |

pub mod action;
mod duties;
pub mod duty;
pub mod event;
pub mod fetches;
mod fingerprint;
pub mod fleet;
pub mod peers;
pub mod placement;
pub mod quarantine;
pub mod record;
pub mod refusal;
pub mod replica;
pub mod retry_budget;
pub mod rollout;
pub mod roster;
pub mod store_watchers;
pub mod stream_time;
pub mod table;

mod admission;
mod attempts;
mod crashes;
mod endpoint_restart;
mod gossip;
mod intake;
mod outcomes;
pub mod permits;
mod prompt_search;
mod readiness;
mod replicas;
mod request;
pub mod retry;
mod rollout_samples;
mod rollouts;
mod suspicion;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::schema::{BoxId, DomainId, Incarnation, Micros};
use action::{Action, Command};
use admission::QueuedRequest;
use crashes::PendingCrashes;
use duties::DutyClock;
use duty::{DutyPolicy, Holder, UsageDuty};
use event::{AttemptNumber, Event, RequestNumber};
use fetches::{FetchKind, Fetches};
use fleet::Fleet;
use gossip::PendingUsage;
use peers::Peers;
use permits::Permits;
use placement::Placer;
use quarantine::Quarantine;
use record::{Record, WATCHES_STORE};
use request::Request;
use retry_budget::{RetryBudget, RetryPolicy};
use rollout::Rollouts;
use rollout::exposure::ExposureLimit;
use store_watchers::StoreWatchers;
use stream_time::StreamTime;
use table::{RoutingTable, TableVersion};

/// How often a box with work checks its requests: a part of the shortest pause that is acted on
/// (200 ms).
const TICK: Duration = Duration::from_millis(25);

/// The least time without any event that tells of a standstill: a box that runs has a tick each 300
/// ms.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(1);
/// Microseconds of an incarnation for each beat: boxes tell others less often than that, so a later
/// life begins with a greater beat than an earlier one had in the end.
const MICROS_PER_HEARTBEAT: u64 = 10_000;

/// What a dispatcher is made from.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// This box.
    pub me: BoxId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Boxes to speak to first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time, so that no caller can have lost a box before.
    pub first_start: bool,
    /// Time between messages to peers.
    pub gossip: Duration,
    /// How many boxes share the retry budget at least.
    pub fleet_boxes: usize,
    /// How retries are bounded.
    pub retries: RetryPolicy,
    /// What a version may get before its order's time is over.
    pub exposure: ExposureLimit,
    /// How usage is reported, if it is.
    pub duty: Option<DutyPolicy>,
}

/// The beat with which a life begins.
fn first_heartbeat(incarnation: Incarnation) -> u64 {
    incarnation.0 / MICROS_PER_HEARTBEAT
}

/// The duty that a box takes part in, if it is asked for.
fn duty_of(cfg: &DispatchConfig) -> Option<UsageDuty> {
    let me = Holder {
        id: cfg.me.clone(),
        incarnation: cfg.incarnation,
        address: cfg.address,
    };
    cfg.duty.map(|policy| UsageDuty::new(me, policy))
}

/// The decisions of one box.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatchConfig,
    now: Micros,
    rng: ChaCha8Rng,
    placer: Placer,
    table: Option<Arc<RoutingTable>>,
    fleet: Fleet,
    requests: BTreeMap<RequestNumber, Request>,
    queued: Vec<QueuedRequest>,
    budget: RetryBudget,
    peers: Peers,
    table_fetches: Fetches,
    endpoint_fetches: Fetches,
    store_watchers: StoreWatchers,
    endpoints_at: u64,
    started: Micros,
    heartbeat: u64,
    next_gossip: Micros,
    pending_usage: PendingUsage,
    stop_deadline: Option<Micros>,
    stream_time: StreamTime,
    rollouts: Rollouts,
    watches_rollouts: bool,
    next_rollout_report: Micros,
    is_cut_off: bool,
    quarantine: Quarantine,
    pending_crashes: PendingCrashes,
    has_requested_quarantine: bool,
    duty: Option<UsageDuty>,
    duty_clock: DutyClock,
    permits: Permits,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Makes a dispatcher that knows nothing yet; `seed` determines its random choices.
    #[must_use]
    pub fn new(cfg: DispatchConfig, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            now,
            placer: Placer {
                domain: cfg.domain.clone(),
            },
            table: None,
            fleet: Fleet::default(),
            requests: BTreeMap::new(),
            queued: Vec::new(),
            budget: RetryBudget::new(cfg.retries),
            peers: Peers::new(
                cfg.me.clone(),
                cfg.domain.clone(),
                cfg.address,
                &cfg.seeds,
                now,
            ),
            store_watchers: StoreWatchers::new(cfg.me.clone(), cfg.domain.clone(), &mut rng, now),
            rng,
            table_fetches: Fetches::new(FetchKind::Table),
            endpoint_fetches: Fetches::new(FetchKind::Endpoints),
            endpoints_at: 0,
            started: now,
            heartbeat: first_heartbeat(cfg.incarnation),
            next_gossip: now,
            pending_usage: PendingUsage::default(),
            stop_deadline: None,
            stream_time: StreamTime::default(),
            rollouts: Rollouts::new(cfg.exposure),
            watches_rollouts: false,
            next_rollout_report: now,
            is_cut_off: false,
            quarantine: Quarantine::default(),
            pending_crashes: PendingCrashes::default(),
            has_requested_quarantine: cfg.first_start,
            duty: duty_of(&cfg),
            duty_clock: DutyClock::new(now),
            permits: Permits::default(),
            actions: Vec::new(),
            cfg,
        }
    }

    /// Takes in an event that happened at `now`, which must not run backwards.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.note_process_pause(now);
        self.now = now.max(self.now);
        match event {
            Event::Arrived { request, arrival } => self.on_arrival(request, arrival),
            Event::CallerDisconnected(_)
            | Event::Connected { .. }
            | Event::StreamOpened { .. }
            | Event::LimitNamed { .. }
            | Event::Progress { .. }
            | Event::Ended { .. } => self.handle_attempt(event),
            Event::Tick => self.on_tick(),
            Event::Stop { grace } => self.stop_deadline = Some(self.now.after(grace)),
            Event::Table(_)
            | Event::EndpointsListed { .. }
            | Event::EndpointsChanged { .. }
            | Event::Rollouts { .. }
            | Event::QuarantineRead(_)
            | Event::StoreAnswered
            | Event::Peer(_)
            | Event::PeerUsage(_)
            | Event::PeerCrashes { .. }
            | Event::PeerUsageCounts(_)
            | Event::PeerHolder(_)
            | Event::PeerLimits(_)
            | Event::Fetched { .. }
            | Event::Seeds(_) => self.handle_news(event),
            Event::TimeOfDay(day) => self.on_time_of_day(day),
            Event::DutyAnswered { call, answer } => self.on_duty_answered(call, answer),
            Event::UsageReported { window, outcome } => self.on_usage_reported(window, outcome),
            Event::Probed { .. }
            | Event::Checked { .. }
            | Event::IdentityReported { .. }
            | Event::Identified(_)
            | Event::Located { .. }
            | Event::SnapshotTaken { .. } => self.handle_answer(event),
        }
        std::mem::take(&mut self.actions)
    }

    /// What the tasks of requests tell.
    fn handle_attempt(&mut self, event: Event) {
        match event {
            Event::CallerDisconnected(request) => self.on_caller_disconnected(request),
            Event::Connected { request, attempt } => self.on_connected(request, attempt),
            Event::StreamOpened { request, attempt } => self.on_stream_opened(request, attempt),
            Event::LimitNamed {
                request,
                attempt,
                limit,
            } => self.on_limit_in_answer(request, attempt, limit),
            Event::Progress {
                request,
                attempt,
                last_event,
            } => self.on_progress(request, attempt, last_event),
            Event::Ended {
                request,
                attempt,
                outcome,
            } => self.on_ended(request, attempt, &outcome),
            _ => {}
        }
    }

    /// What the store, peers and the settings tell.
    fn handle_news(&mut self, event: Event) {
        match event {
            Event::Table(table) => self.on_table(table),
            Event::EndpointsListed {
                specs,
                unreadable,
                at,
            } => self.on_listed(specs, &unreadable, at),
            Event::EndpointsChanged { changes, at } => self.on_changed(changes, at),
            Event::Rollouts {
                objects,
                gone,
                is_whole,
            } => self.on_rollouts(objects, &gone, is_whole),
            Event::QuarantineRead(kept) => self.on_quarantine_read(&kept),
            Event::StoreAnswered => {
                self.store_watchers.on_answer(self.cfg.address, self.now);
            }
            Event::Peer(state) => self.on_peer(&state),
            Event::PeerUsage(news) => self.on_peer_usage(&news),
            Event::PeerCrashes {
                domain,
                update: news,
            } => self.on_peer_crashes(domain.as_ref(), &news),
            Event::PeerUsageCounts(news) => self.on_peer_usage_counts(&news),
            Event::PeerHolder(holder) => self.on_peer_holder(&holder),
            Event::PeerLimits(news) => self.on_peer_limits(&news),
            Event::Fetched {
                kind,
                from,
                outcome,
            } => self.on_fetched(kind, from, outcome),
            Event::Seeds(seeds) => self.peers.set_seeds(&seeds),
            _ => {}
        }
    }

    /// What endpoints answer beside requests.
    fn handle_answer(&mut self, event: Event) {
        match event {
            Event::Probed {
                endpoint,
                is_answered,
                born,
            } => self.on_probed(&endpoint, is_answered, born),
            Event::Checked {
                endpoint,
                has_exited,
            } => self.on_checked(&endpoint, has_exited),
            Event::IdentityReported {
                endpoint,
                instance,
                born,
            } => self.on_identified(&endpoint, &instance, born),
            Event::Identified(spec) => self.fleet.on_identified(spec, self.now),
            Event::Located { request, endpoint } => self.on_located(request, endpoint),
            Event::SnapshotTaken {
                request,
                attempt,
                host,
                name,
            } => self.on_snapshot_taken(request, attempt, &host, name),
            _ => {}
        }
    }

    /// Notes a time in which this box stood still: it could hear nobody, so what it knows of other
    /// boxes is as it was.
    fn note_process_pause(&mut self, now: Micros) {
        let time = now.since(self.now);
        if time >= MIN_PROCESS_PAUSE {
            self.peers.on_process_pause(time);
            self.store_watchers.on_process_pause(time);
            self.permits.on_process_pause(now);
        }
    }

    /// When [`Event::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        let first_decision = self
            .store_watchers
            .first_decision()
            .unwrap_or(self.next_gossip);
        let due = self.next_gossip.min(self.pending_usage.due());
        let due = due.min(first_decision);
        let others = [
            self.table_fetches.due(),
            self.endpoint_fetches.due(),
            self.pending_crashes.due(),
            self.quarantine.next_evaluation(),
            self.permits.due(|id| self.fleet.limits.of(id)),
        ];
        let due = others.into_iter().flatten().fold(due, Micros::min);
        if self.active() == 0 && self.rollouts.is_at_rest() {
            return due;
        }
        self.now.after(TICK).min(due)
    }

    /// The table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// The version in force, 0 if there is none.
    #[must_use]
    pub fn table_version(&self) -> TableVersion {
        self.table.as_ref().map(|t| t.version()).unwrap_or_default()
    }

    /// How many requests are served.
    #[must_use]
    pub fn active(&self) -> usize {
        self.requests.len() + self.queued.len()
    }

    /// How many boxes run, as far as this one knows and with it: in its failure domain, and in all.
    #[must_use]
    pub fn known_boxes(&self) -> (usize, usize) {
        let roster = self.peers.roster();
        let local = roster.domain_size(self.now);
        (local, local + roster.boxes_in_other_domains())
    }

    /// The roll-outs that this box knows of.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Which requests crash their endpoints.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// What is believed of the endpoints.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    fn command(&mut self, request: RequestNumber, command: Command) {
        self.actions.push(Action::Command { request, command });
    }

    fn record(&mut self, record: Record) {
        self.actions.push(Action::Record(record));
    }

    fn on_tick(&mut self) {
        self.settle_crashes();
        self.maintain_limits();
        self.check_requests();
        self.refuse_queued();
        self.check_reach();
        self.request_identities();
        if let Some(is_watching) = {
            let roster = self.peers.roster();
            self.store_watchers.decide(roster, &mut self.rng, self.now)
        } {
            self.record(Record::Process {
                state: if is_watching {
                    WATCHES_STORE.into()
                } else {
                    "reads_peers".into()
                },
                detail: self.store_watchers.describe_others(self.now),
            });
            self.actions.push(Action::WatchStore(is_watching));
            if is_watching {
                self.read_quarantine_once();
                self.gossip_watcher_claim();
            }
        }
        self.check_rollouts();
        self.fetch_if_behind();
        self.forget_crashes();
        self.gossip_usage_if_due();
        self.gossip_if_due();
    }

    /// The request of an attempt, if that attempt is the active one.
    fn with_active(
        &mut self,
        request: RequestNumber,
        attempt: AttemptNumber,
    ) -> Option<&mut Request> {
        let found = self.requests.get_mut(&request)?;
        let is_active = found.active.as_ref().is_some_and(|a| a.attempt == attempt);
        is_active.then_some(found)
    }
}
