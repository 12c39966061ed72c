//! Carries roll-outs out: which endpoints requests may use, streams that leave a version, and what
//! boxes tell each other of it. What answers tell of a version is counted in [`super::rollout_samples`].
//!
//! What is decided, and when, is in [`super::rollout`]. A request is a canary or not from its first
//! attempt on, and no second attempt of it goes to a version that is not known to be sound. Where no
//! endpoint of another version is left, the target serves all the same, unless it was found bad.
//!
//! Once a service switches, a stream elsewhere goes on at the target as soon as a replica lies there:
//! [`super::replicas`] takes replicas at other versions for lost and has new ones made. One that has
//! none after [`LEAVE_ANYWAY_AFTER`] reads its prompt again.

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::{Action, Command};
use super::event::{Fault, Outcome, RequestNumber};
use super::fleet::{Endpoint, Fleet};
use super::placement::Demand;
use super::record::Record;
use super::request::{ActiveAttempt, Request};
use super::rollout::evidence::{Timed, series_of};
use super::rollout::status::ObjectState;
use super::rollout::{Rollout, Step, Surroundings, VersionRules};
use super::roster::pack_address;
use super::table::RouteKind;
use crate::schema::{
    BoxState, DomainId, RolloutPhase, RolloutProgress, RolloutSample, RolloutState, ServiceId,
    UsageUpdate,
};

/// How long after streams were to leave one without a replica at the target leaves all the same.
/// Over the time of a snapshot.
const LEAVE_ANYWAY_AFTER: Duration = Duration::from_millis(700);
/// Time between two notes of how far this box is while a service switches: datagrams get lost.
const NOTE_EVERY: Duration = Duration::from_millis(300);

/// What this box knows around roll-outs, apart from a single one.
struct Around {
    near: Vec<SocketAddr>,
    others: Vec<DomainId>,
    is_watching: bool,
    services: Vec<MovingService>,
}

/// A service with a roll-out.
struct MovingService {
    name: ServiceId,
    /// Attempts of this box at endpoints that the roll-out leaves.
    elsewhere: usize,
    has_engines: bool,
    /// How long a request runs that has to go on elsewhere.
    moved: Duration,
}

impl Around {
    fn of<'a>(
        &'a self,
        service: &MovingService,
        fleet: &'a Fleet,
        domain: &'a DomainId,
    ) -> Surroundings<'a> {
        Surroundings {
            fleet,
            domain,
            near: &self.near,
            others: &self.others,
            is_watching: self.is_watching,
            has_engines: service.has_engines,
            moved: service.moved,
            elsewhere: service.elsewhere,
        }
    }
}

impl Dispatcher {
    /// Objects of the store that order roll-outs were read.
    pub(super) fn on_rollouts(
        &mut self,
        objects: Vec<ObjectState>,
        gone: &[ServiceId],
        is_whole: bool,
    ) {
        let nothing_known = self.rollouts.is_empty();
        let steps = self.rollouts.on_objects(objects, gone, is_whole, self.now);
        self.carry_out(steps);
        if nothing_known && self.rollouts.is_empty() {
            return;
        }
        self.gossip_soon();
    }

    /// Looks at all roll-outs, and at whether this box watches them for its domain.
    pub(super) fn check_rollouts(&mut self) {
        let roster = self.peers.roster();
        let watches = self.store_watchers.is_first(roster, self.now);
        if watches != self.watches_rollouts {
            self.watches_rollouts = watches;
            self.actions.push(Action::WatchRollouts(watches));
            if !watches {
                self.rollouts.stop_watching();
            }
        }
        if self.rollouts.is_empty() {
            return;
        }
        self.rollouts.forget_old(self.now);
        let around = self.around();
        let mut steps = Vec::new();
        for service in &around.services {
            let surroundings = around.of(service, &self.fleet, &self.cfg.domain);
            steps.extend(
                self.rollouts
                    .evaluate(&service.name, &surroundings, self.now),
            );
        }
        self.carry_out(steps);
        self.note_if_due();
    }

    fn around(&self) -> Around {
        let roster = self.peers.roster();
        let services = self.rollouts.iter().map(|rollout| {
            let service = &rollout.order().service;
            let has_engines = self
                .table
                .as_ref()
                .and_then(|table| table.service(service))
                .is_some_and(|service| service.engine.is_some());
            MovingService {
                name: service.clone(),
                elsewhere: self.elsewhere(service),
                has_engines,
                moved: if has_engines {
                    self.stream_time.expected()
                } else {
                    Duration::ZERO
                },
            }
        });
        Around {
            near: roster.running(self.now).collect(),
            others: roster.other_domains(),
            is_watching: self.watches_rollouts,
            services: services.collect(),
        }
    }

    /// Attempts of this box at endpoints of a service that its roll-out leaves.
    fn elsewhere(&self, service: &ServiceId) -> usize {
        let Some(rollout) = self.rollouts.of(service).filter(|r| r.leaves_others()) else {
            return 0;
        };
        let target = &rollout.order().target;
        let of_service = self.requests.values().filter(|r| r.service == *service);
        let active = of_service.filter_map(|r| r.active.as_ref());
        let is_elsewhere = |active: &&ActiveAttempt| {
            let endpoint = self.fleet.get(&active.endpoint.id);
            endpoint.is_some_and(|e| e.spec.version != *target)
        };
        active.filter(is_elsewhere).count()
    }

    fn carry_out(&mut self, steps: Vec<Step>) {
        let (mut has_entered, mut has_left) = (false, false);
        for step in steps {
            match step {
                Step::Entered {
                    service,
                    target,
                    phase,
                    why,
                } => {
                    has_entered = true;
                    self.record(Record::Rollout {
                        service: service.to_string(),
                        target: target.to_string(),
                        phase: phase.to_string(),
                        why,
                    });
                }
                Step::Left => has_left = true,
                Step::DomainLeft => self.tell_watchers(),
                Step::Write(write) => self.actions.push(Action::WriteRollout(write)),
            }
        }
        if has_entered {
            self.tell_rollouts();
        } else if has_left {
            self.next_rollout_report = self.now;
            self.note_if_due();
        }
    }

    /// Tells the own domain and the boxes that watch the store elsewhere at once.
    fn tell_rollouts(&mut self) {
        self.next_rollout_report = self.now;
        self.note_if_due();
        self.tell_watchers();
        self.gossip_soon();
    }

    /// Tells the boxes that watch the store at once how far roll-outs are.
    fn tell_watchers(&mut self) {
        let watchers = self.store_watchers.addresses(self.now);
        if !watchers.is_empty() {
            self.gossip_state(watchers);
        }
    }

    /// Tells the own domain how far this box is, while a service leaves a version.
    fn note_if_due(&mut self) {
        let is_leaving = |r: &Rollout| r.phase() != RolloutPhase::Canary && !r.is_finished();
        let is_wanted = self.rollouts.iter().any(is_leaving);
        if is_wanted && self.now >= self.next_rollout_report {
            self.next_rollout_report = self.now.after(NOTE_EVERY);
            self.publish_immediately();
        }
    }

    /// What this box tells of how far it is with roll-outs.
    pub(super) fn rollout_notes(&self) -> Vec<RolloutProgress> {
        let address = pack_address(self.cfg.address);
        let notes = self.rollouts.iter().filter_map(|rollout| {
            let service = &rollout.order().service;
            self.rollouts.note(service, &address)
        });
        notes.collect()
    }

    /// Answers since the last message, of endpoints of services with a roll-out.
    pub(super) fn take_rollout_samples(&mut self) -> Vec<RolloutSample> {
        let services = self.rollouts.iter().map(|r| r.order().service.clone());
        let services: Vec<ServiceId> = services.collect();
        let mut samples = Vec::new();
        for service in services {
            if let Some(rollout) = self.rollouts.of_mut(&service) {
                samples.extend(rollout.evidence_mut().take_unpublished());
            }
        }
        samples
    }

    /// What the boxes of a failure domain are told of roll-outs.
    pub(super) fn rollouts_for(&self, domain: &DomainId) -> Vec<RolloutState> {
        if self.rollouts.is_empty() {
            return Vec::new();
        }
        let around = self.around();
        let told = around.services.iter().filter_map(|service| {
            let surroundings = around.of(service, &self.fleet, &self.cfg.domain);
            self.rollouts
                .told_to(&service.name, domain, &surroundings, self.now)
        });
        told.collect()
    }

    /// A box told its state.
    pub(super) fn on_told_rollouts(&mut self, state: &BoxState) {
        if state.rollouts.is_empty() {
            return;
        }
        let own = self.cfg.domain.clone();
        let steps = self.rollouts.on_told(&state.rollouts, &own, self.now);
        self.carry_out(steps);
    }

    /// A box of the own domain told of its answers and of how far it is.
    pub(super) fn on_rollout_news(&mut self, news: &UsageUpdate) {
        for sample in &news.samples {
            let Some(endpoint) = self.fleet.get(&sample.endpoint) else {
                continue;
            };
            if let Some(rollout) = self.rollouts.of_mut(&endpoint.spec.service) {
                let is_target = endpoint.spec.version == rollout.order().target;
                rollout.evidence_mut().on_sample(sample, is_target);
            }
        }
        let steps = self.rollouts.on_notes(&news.rollouts, self.now);
        self.carry_out(steps);
    }

    /// Decides whether a request that was not placed yet is a canary.
    pub(super) fn draw_canary(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(rollout) = self.rollouts.of(&request.service) else {
            return;
        };
        if request.attempts == 0 && request.is_canary.is_none() {
            let draw = rand::Rng::random::<f64>(&mut self.rng);
            let timed = Timed::of_attempt(request.route.kind.is_stream());
            let series = series_of(&request.route.name, timed);
            request.is_canary = Some(draw < rollout.canary_share(series, self.now));
        }
    }

    /// Which endpoints a request may use.
    pub(super) fn rules_for(&self, request: &Request) -> VersionRules<'_> {
        let rollout = self.rollouts.of(&request.service);
        let is_canary = request.is_canary == Some(true) && request.attempts == 0;
        rollout.map_or_else(VersionRules::default, |r| r.rules(is_canary))
    }

    /// Where an attempt may go if nothing that [`Self::rules_for`] admits takes it.
    pub(super) fn other_rules_for(&self, request: &Request) -> Option<VersionRules<'_>> {
        let rollout = self.rollouts.of(&request.service)?;
        let is_other = |e: &Endpoint| e.spec.version != rollout.order().target;
        let mut endpoints = self.fleet.of_service(&request.service);
        let has_others = endpoints.any(|e| e.takes_work() && is_other(e));
        rollout.fallback(request.is_canary == Some(true), has_others)
    }

    /// What is to be placed for a request.
    pub(super) fn demand_of<'a>(&'a self, request: &'a Request) -> Demand<'a> {
        request.demand(self.rules_for(request), false)
    }

    /// Whether a request may go on at an endpoint that holds a replica.
    pub(super) fn may_resume_at(&self, endpoint: &Endpoint) -> bool {
        let Some(rollout) = self.rollouts.of(&endpoint.spec.service) else {
            return true;
        };
        rollout.leaves_others() || endpoint.spec.version != rollout.order().target
    }

    /// Whether an endpoint's service leaves its version.
    pub(super) fn is_left(&self, endpoint: &Endpoint) -> bool {
        let rollout = self.rollouts.of(&endpoint.spec.service);
        rollout.is_some_and(|r| r.leaves_others() && endpoint.spec.version != r.order().target)
    }

    /// Whether a stream is to go on at the version that its service moves to now.
    pub(super) fn is_to_leave(&self, number: RequestNumber) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let is_stream = matches!(request.route.kind, RouteKind::Stream { resumable: true });
        let rollout = self.rollouts.of(&request.service);
        let (Some(active), Some(rollout)) = (request.active.as_ref(), rollout) else {
            return false;
        };
        let endpoint = self.fleet.get(&active.endpoint.id);
        let is_left = endpoint.is_some_and(|e| self.is_left(e));
        if !is_stream || !is_left || !request.may_run_after_active() {
            return false;
        }
        let Some(since) = rollout.leaving_since().filter(|at| self.now >= *at) else {
            return false;
        };
        self.has_replica(active) || self.now.since(since) >= LEAVE_ANYWAY_AFTER
    }

    /// Has a stream go on at the version that its service moves to, if the budget has a retry.
    pub(super) fn leave_version(&mut self, number: RequestNumber) {
        if !self.take_retry(number) {
            return;
        }
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(active) = request.active.take() else {
            return;
        };
        request.possible_runs += 1;
        self.command(number, Command::StopAttempt(active.attempt));
        self.record_end(number, &active, &Outcome::Stopped);
        self.uncount_attempt(&active);
        self.keep_replicas(number, &active, Fault::Closed);
        self.start_next_attempt(number);
    }
}
