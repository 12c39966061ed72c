//! Decisions of a gateway box: a state machine without sockets, clocks or threads.
//!
//! [`Dispatcher::handle`] takes an event with the time at which it happened and returns the actions
//! that follow. Each try of a caller has its own id and reaches one box, and that box alone is
//! responsible for it, so nothing has to be agreed with other boxes before the request runs. A
//! caller whose box has exited reconnects with the id of the last event that it received, and any
//! box continues from there.
//!
//! | subject | module |
//! |---|---|
//! | which tries of callers are the same request | `fingerprint` |
//! | admission of requests, and immediate refusal | [`admission`] |
//! | requests that wait for room at an engine | [`admission::queue`], [`admission::room`], [`admission::wait`] |
//! | which requests are served first | [`priority`] |
//! | choice of the endpoint of an attempt | [`placement`], costs in [`placement::costs`] |
//! | start and count of attempts, how long a request waits for an endpoint | [`attempts`] |
//! | when and how often a request is retried | [`retry`], budget in [`retry_budget`] |
//! | when a request is given up, the reason, and when its caller may retry | [`refusal`] |
//! | attempts through other boxes while the own path to endpoints is lost | [`relays`] |
//! | suspicion of endpoints | [`suspicion`], when they are probed: `probe_timing`; avoidance and return to use: `fleet::losses` |
//! | effects of a table or an endpoint list that was read | `intake` |
//! | quarantine of requests that crash their endpoints | [`quarantine`], confirmed in `crashes` |
//! | duration of streams | [`stream_time`] |
//! | requests at a box that stops | [`stopping`] |
//! | effects of an endpoint restart under its id | [`endpoint_restart`], `fleet::incarnations` |
//! | what endpoints ask of their callers | [`fleet::directives`] |
//! | requests at endpoints that bear few rejections | [`slots`] |
//! | load of endpoints with a limit, its division among boxes | [`permits`] |
//! | reasons for checks of endpoints | [`checks`] |
//! | location of replicas of KV memory | [`replicas`]; room for them: [`replica_room`] |
//! | search for the engine that keeps the prompt of a caller that reconnects | [`prompt_search`] |
//! | work in progress at endpoints | [`fleet::usage`] |
//! | load of the engines in other failure domains | [`fleet::domain_load`], exchanged by `load_reports` |
//! | learned speeds of endpoints | [`fleet::speeds`], observed and published in `speed_reports` |
//! | selection of the boxes that watch the store | [`store_watchers`] |
//! | gossip between boxes | [`gossip`], [`peers`] |
//! | the version that a stream goes on at | [`stream_versions`] |
//! | change of a service to another version | [`rollout`], executed by [`rollouts`] |
//! | running boxes | [`roster`] |
//! | choice of the peer to fetch a newer table or list from | [`fetches`] |
//! | readiness of the box | [`readiness`] |

pub mod action;
pub mod admission;
pub mod checks;
mod duties;
pub mod duty;
pub mod event;
pub mod fetches;
mod fingerprint;
pub mod fleet;
pub mod peers;
pub mod placement;
pub mod priority;
pub mod quarantine;
pub mod record;
pub mod refusal;
pub mod replica;
pub mod replica_room;
pub mod retry_budget;
pub mod rollout;
pub mod roster;
pub mod slots;
pub mod store_watchers;
pub mod stream_time;
pub mod table;

mod attempts;
mod connections;
mod contact;
mod crashes;
mod directives;
mod endpoint_restart;
mod gossip;
mod handle;
mod identities;
mod intake;
mod load_reports;
mod moves;
mod outcomes;
pub mod permits;
mod probe_timing;
pub mod prompt_search;
mod readiness;
pub mod relays;
mod replicas;
mod request;
mod retries;
pub mod retry;
mod rollout_samples;
mod rollouts;
mod speed_reports;
pub mod stopping;
pub mod stream_versions;
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
use admission::waiting::RoomWaits;
use contact::Contact;
use crashes::PendingCrashes;
use duties::DutyClock;
use duty::{DutyPolicy, Holder, UsageDuty};
use event::{AttemptNumber, RequestNumber};
use fetches::{FetchKind, Fetches};
use fleet::Fleet;
use gossip::PendingUsage;
use load_reports::LoadReports;
use peers::Peers;
use permits::Permits;
use placement::Placer;
use quarantine::Quarantine;
use record::{Record, WATCHES_STORE};
use relays::Relays;
use replica_room::ReplicaRoom;
use request::Request;
use retry_budget::{RetryBudget, RetryPolicy};
use rollout::Rollouts;
use rollout::exposure::ExposureLimit;
use slots::SlotLeases;
use stopping::Stop;
use store_watchers::StoreWatchers;
use stream_time::StreamTime;
use stream_versions::StreamVersions;
use table::{RoutingTable, TableVersion};

/// Interval at which a box with requests checks them: a fraction of the shortest delay that is
/// acted on (200 ms).
const TICK: Duration = Duration::from_millis(25);

/// Minimum time without any event that counts as a process pause: a running box has a tick every
/// 300 ms.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(1);
/// Microseconds of an incarnation for each step of the heartbeat counter. Boxes send fewer messages
/// than this, so a later incarnation begins with a greater counter than an earlier one ended with.
const MICROS_PER_HEARTBEAT: u64 = 10_000;

/// Configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Id of this box, unique in the fleet.
    pub me: BoxId,
    /// Incarnation of this process; later ones of the same box are greater.
    pub incarnation: Incarnation,
    /// Failure domain in which this box runs.
    pub domain: DomainId,
    /// Address at which peers reach this box.
    pub address: SocketAddr,
    /// Boxes to which the first gossip is sent.
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time, so that no caller can have lost a box before.
    pub first_start: bool,
    /// Interval between gossip messages.
    pub gossip: Duration,
    /// Minimum number of boxes among which the retry budget is divided.
    pub fleet_boxes: usize,
    /// Bounds on retries.
    pub retries: RetryPolicy,
    /// Limit on the requests that a version may get before the time of its roll-out order has
    /// passed.
    pub exposure: ExposureLimit,
    /// Policy of usage reports; `None` if usage is not reported.
    pub duty: Option<DutyPolicy>,
}

/// Heartbeat counter at the start of an incarnation.
fn first_heartbeat(incarnation: Incarnation) -> u64 {
    incarnation.0 / MICROS_PER_HEARTBEAT
}

/// The peers that the settings name.
fn peers_at_start(cfg: &DispatchConfig, now: Micros) -> Peers {
    let (me, domain) = (cfg.me.clone(), cfg.domain.clone());
    Peers::new(me, domain, cfg.address, &cfg.seeds, now)
}

/// Usage duty of this box, if the settings have one.
fn usage_duty(cfg: &DispatchConfig) -> Option<UsageDuty> {
    let me = Holder {
        id: cfg.me.clone(),
        incarnation: cfg.incarnation,
        address: cfg.address,
    };
    cfg.duty.map(|policy| UsageDuty::new(me, policy))
}

/// Decision state of one box.
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
    room_waits: RoomWaits,
    budget: RetryBudget,
    peers: Peers,
    table_fetches: Fetches,
    endpoint_fetches: Fetches,
    store_watchers: StoreWatchers,
    endpoints_revision: u64,
    started: Micros,
    heartbeat: u64,
    next_gossip: Micros,
    pending_usage: PendingUsage,
    /// When requests are checked next, if there are any. Other events don't put that off.
    next_check: Option<Micros>,
    /// When identities of processes are published next, if there are any.
    next_identities: Option<Micros>,
    contact: Contact,
    /// The stop of this box, from its signal on.
    stop: Option<Stop>,
    /// Time from the arrival of a stream to its end.
    stream_time: StreamTime,
    /// Time from the start to the end of a stream that needed one attempt.
    run_time: StreamTime,
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
    load_reports: LoadReports,
    replica_room: ReplicaRoom,
    relays: Relays,
    slots: SlotLeases,
    stream_versions: StreamVersions,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher without table, endpoints or peers; `seed` determines its random
    /// choices.
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
            room_waits: RoomWaits::default(),
            budget: RetryBudget::new(cfg.retries),
            peers: peers_at_start(&cfg, now),
            store_watchers: StoreWatchers::new(cfg.me.clone(), cfg.domain.clone(), &mut rng, now),
            rng,
            table_fetches: Fetches::new(FetchKind::Table),
            endpoint_fetches: Fetches::new(FetchKind::Endpoints),
            endpoints_revision: 0,
            started: now,
            heartbeat: first_heartbeat(cfg.incarnation),
            next_gossip: now,
            pending_usage: PendingUsage::default(),
            next_check: None,
            next_identities: None,
            contact: Contact::default(),
            stop: None,
            stream_time: StreamTime::default(),
            run_time: StreamTime::default(),
            rollouts: Rollouts::new(cfg.exposure),
            watches_rollouts: false,
            next_rollout_report: now,
            is_cut_off: false,
            quarantine: Quarantine::new(now),
            pending_crashes: PendingCrashes::default(),
            has_requested_quarantine: cfg.first_start,
            duty: usage_duty(&cfg),
            duty_clock: DutyClock::new(now),
            permits: Permits::default(),
            load_reports: LoadReports::default(),
            replica_room: ReplicaRoom::default(),
            relays: Relays::new(seed),
            slots: SlotLeases::default(),
            stream_versions: StreamVersions::default(),
            actions: Vec::new(),
            cfg,
        }
    }

    /// Detects a process pause. No message could be received in it, so the age of what is known of
    /// other boxes must not grow by it.
    fn detect_process_pause(&mut self, now: Micros) {
        let time = now.since(self.now);
        if time >= MIN_PROCESS_PAUSE {
            self.peers.on_process_pause(time);
            self.store_watchers.on_process_pause(time);
            self.permits.on_process_pause(now);
            self.stream_versions.on_process_pause(now);
        }
    }

    /// Time at which [`event::Event::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        let due = self.next_gossip.min(self.pending_usage.due());
        let others = [
            self.store_watchers.due(self.now),
            self.table_fetches.due(),
            self.endpoint_fetches.due(),
            self.pending_crashes.due(),
            self.quarantine.next_evaluation(),
            self.permits.due(|id| self.fleet.directives.limits.of(id)),
            self.room_waits.due(),
            self.relays.due(),
            self.slots.due(),
            self.next_check,
            self.next_identities,
            self.next_stop_deadline(),
        ];
        others.into_iter().flatten().fold(due, Micros::min)
    }

    /// Schedules the next check of requests after an event.
    fn schedule_request_check(&mut self) {
        let is_at_rest = self.active() == 0 && self.rollouts.is_at_rest();
        let at = self.next_check.unwrap_or(self.now.after(TICK));
        self.next_check = (!is_at_rest).then_some(at);
    }

    /// Routing table in force; `None` until the first one is read.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// Version of the table in force, 0 if there is none.
    #[must_use]
    pub fn table_version(&self) -> TableVersion {
        self.table.as_ref().map(|t| t.version()).unwrap_or_default()
    }

    /// Number of requests in progress, queued ones included.
    #[must_use]
    pub fn active(&self) -> usize {
        self.requests.len() + self.queued.len()
    }

    /// Number of running boxes as far as this one knows, itself included: in its failure domain,
    /// and in all domains.
    #[must_use]
    pub fn known_boxes(&self) -> (usize, usize) {
        let roster = self.peers.roster();
        let local = roster.domain_size(self.now);
        (local, local + roster.boxes_in_other_domains())
    }

    /// Roll-outs known to this box.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// State of the quarantine of requests that crash their endpoints.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Time since the platform's store answered a watcher of the own failure domain; `None` before
    /// the first answer.
    #[must_use]
    pub fn store_answer_age(&self) -> Option<Duration> {
        let (age, _) = self.store_watchers.last_answer(self.now)?;
        Some(age)
    }

    /// Estimated state of the endpoints.
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
        self.compare_speeds();
        self.settle_crashes();
        self.maintain_limits();
        self.maintain_leases();
        self.check_contact();
        self.maintain_stream_versions();
        self.check_paths();
        self.check_requests();
        self.refuse_queued();
        self.check_connectivity();
        self.request_identities();
        self.decide_to_watch_store();
        self.check_rollouts();
        self.fetch_if_behind();
        self.forget_crashes();
        self.publish_identities_if_due();
        self.gossip_usage_if_due();
        self.publish_load_if_due();
        self.gossip_if_due();
    }

    /// Decides whether this box watches the store, and records whether its failure domain is in
    /// touch with the store.
    fn decide_to_watch_store(&mut self) {
        if let Some(is_confirmed) = self.store_watchers.confirmation_change(self.now) {
            self.record(Record::Process {
                state: if is_confirmed {
                    "store_confirmed".into()
                } else {
                    "store_unconfirmed".into()
                },
                detail: self.store_watchers.describe_last_answer(self.now),
            });
        }
        let roster = self.peers.roster();
        let decision = self.store_watchers.decide(roster, &mut self.rng, self.now);
        let Some(is_watching) = decision else {
            return;
        };
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
            self.read_marks_once();
            self.gossip_watcher_claim();
        }
    }

    /// Request of an attempt, if that attempt is the active one.
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
