//! Carries out roll-outs in the dispatcher: which endpoints requests may use, streams that move to
//! the target version, and messages about roll-outs between boxes. [`super::rollout_samples`]
//! collects the evidence.
//!
//! [`super::rollout`] decides which phase a roll-out is in. Whether a request is a canary is
//! decided before its first attempt, and no second attempt of it goes to a version not yet known to
//! be sound. If no endpoint of another version is left, the target serves requests anyway, unless
//! it was found bad.
//!
//! Once a service switches, an attempt at another version moves to the target if its caller has no
//! event yet. A stream that has begun stays at its version until it ends
//! ([`super::stream_versions`]), and the roll-out waits for it.

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::RequestNumber;
use super::fleet::{Endpoint, Fleet};
use super::placement::{Demand, Trust};
use super::record::Record;
use super::request::{ActiveAttempt, Request};
use super::rollout::evidence::{TimeKind, series_of};
use super::rollout::status::ObjectState;
use super::rollout::{Effect, Rollout, RolloutContext, VersionRule, VersionRules};
use super::roster::pack_address;
use super::table::RouteKind;
use crate::schema::{
    BoxState, DomainId, RolloutPhase, RolloutProgress, RolloutSample, RolloutState, ServiceId,
    UsageUpdate,
};

/// Time between two progress reports of this box while a service switches. They are repeated
/// because datagrams get lost.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);

/// Inputs to the evaluation of all roll-outs from outside of them.
struct EvaluationContext {
    local_peers: Vec<SocketAddr>,
    other_domains: Vec<DomainId>,
    is_watching: bool,
    services: Vec<RolloutService>,
}

/// A service that has a roll-out.
struct RolloutService {
    name: ServiceId,
    /// Attempts of this box at versions that the roll-out leaves.
    attempts_elsewhere: usize,
    has_engines: bool,
    /// Expected run time of a request that has to move to the target.
    stream_time: Duration,
}

impl EvaluationContext {
    fn of<'a>(
        &'a self,
        service: &RolloutService,
        fleet: &'a Fleet,
        domain: &'a DomainId,
    ) -> RolloutContext<'a> {
        RolloutContext {
            fleet,
            domain,
            local_peers: &self.local_peers,
            other_domains: &self.other_domains,
            is_watching: self.is_watching,
            has_engines: service.has_engines,
            stream_time: service.stream_time,
            attempts_elsewhere: service.attempts_elsewhere,
        }
    }
}

impl Dispatcher {
    /// Handles objects that order roll-outs, as read from the store.
    pub(super) fn on_rollouts(
        &mut self,
        objects: Vec<ObjectState>,
        removed: &[ServiceId],
        is_complete: bool,
    ) {
        let was_empty = self.rollouts.is_empty();
        let effects = self
            .rollouts
            .on_objects(objects, removed, is_complete, self.now);
        self.apply_rollout_effects(effects);
        if was_empty && self.rollouts.is_empty() {
            return;
        }
        self.gossip_soon();
    }

    /// Evaluates all roll-outs, and decides whether this box watches them for its failure domain.
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
        let context = self.evaluation_context();
        let mut effects = Vec::new();
        for service in &context.services {
            let rollout_context = context.of(service, &self.fleet, &self.cfg.domain);
            effects.extend(
                self.rollouts
                    .evaluate(&service.name, &rollout_context, self.now),
            );
        }
        self.apply_rollout_effects(effects);
        self.publish_progress_if_due();
    }

    fn evaluation_context(&self) -> EvaluationContext {
        let roster = self.peers.roster();
        let services = self.rollouts.iter().map(|rollout| {
            let service = &rollout.order().service;
            let has_engines = self
                .table
                .as_ref()
                .and_then(|table| table.service(service))
                .is_some_and(|service| service.engine.is_some());
            RolloutService {
                name: service.clone(),
                attempts_elsewhere: self.attempts_elsewhere(service),
                has_engines,
                stream_time: if has_engines {
                    self.stream_time.expected()
                } else {
                    Duration::ZERO
                },
            }
        });
        EvaluationContext {
            local_peers: roster.running(self.now).collect(),
            other_domains: roster.other_domains(),
            is_watching: self.watches_rollouts,
            services: services.collect(),
        }
    }

    /// Attempts of this box at endpoints of `service` that its roll-out leaves.
    fn attempts_elsewhere(&self, service: &ServiceId) -> usize {
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

    fn apply_rollout_effects(&mut self, effects: Vec<Effect>) {
        let (mut has_entered, mut has_left) = (false, false);
        for effect in effects {
            match effect {
                Effect::Entered {
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
                Effect::LeftOthers => has_left = true,
                Effect::DomainLeftOthers => self.publish_to_watchers(),
                Effect::WriteStatus(write) => self.actions.push(Action::WriteRollout(write)),
            }
        }
        if has_entered {
            self.publish_rollouts();
        } else if has_left {
            self.next_rollout_report = self.now;
            self.publish_progress_if_due();
        }
    }

    /// Publishes the roll-outs at once, to this failure domain and to the boxes of other domains
    /// that watch the store.
    fn publish_rollouts(&mut self) {
        self.next_rollout_report = self.now;
        self.publish_progress_if_due();
        self.publish_to_watchers();
        self.gossip_soon();
    }

    /// Publishes this box's state at once to the boxes that watch the store.
    fn publish_to_watchers(&mut self) {
        let watchers = self.store_watchers.addresses(self.now);
        if !watchers.is_empty() {
            self.gossip_state(watchers);
        }
    }

    /// Reports this box's progress to its failure domain while a service leaves a version.
    fn publish_progress_if_due(&mut self) {
        let is_leaving = |r: &Rollout| r.phase() != RolloutPhase::Canary && !r.is_finished();
        let is_any_leaving = self.rollouts.iter().any(is_leaving);
        if is_any_leaving && self.now >= self.next_rollout_report {
            self.next_rollout_report = self.now.after(PROGRESS_INTERVAL);
            self.publish_immediately();
        }
    }

    /// This box's progress with its roll-outs, to publish.
    pub(super) fn rollout_progress(&self) -> Vec<RolloutProgress> {
        let address = pack_address(self.cfg.address);
        let reports = self.rollouts.iter().filter_map(|rollout| {
            let service = &rollout.order().service;
            self.rollouts.progress(service, &address)
        });
        reports.collect()
    }

    /// Results since the last message, for services with a roll-out.
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

    /// The state of the roll-outs to publish to the boxes of `domain`.
    pub(super) fn rollouts_for(&self, domain: &DomainId) -> Vec<RolloutState> {
        if self.rollouts.is_empty() {
            return Vec::new();
        }
        let context = self.evaluation_context();
        let states = context.services.iter().filter_map(|service| {
            let rollout_context = context.of(service, &self.fleet, &self.cfg.domain);
            self.rollouts
                .state_for(&service.name, domain, &rollout_context, self.now)
        });
        states.collect()
    }

    /// Merges the roll-outs in a state that a peer published.
    pub(super) fn on_peer_rollouts(&mut self, state: &BoxState) {
        if state.rollouts.is_empty() {
            return;
        }
        let own = self.cfg.domain.clone();
        let effects = self
            .rollouts
            .on_peer_states(&state.rollouts, &own, self.now);
        self.apply_rollout_effects(effects);
    }

    /// Merges results and progress that a box of this failure domain published.
    pub(super) fn on_peer_rollout_update(&mut self, update: &UsageUpdate) {
        for sample in &update.samples {
            let Some(endpoint) = self.fleet.get(&sample.endpoint) else {
                continue;
            };
            if let Some(rollout) = self.rollouts.of_mut(&endpoint.spec.service) {
                let is_target = endpoint.spec.version == rollout.order().target;
                rollout.evidence_mut().on_sample(sample, is_target);
            }
        }
        let effects = self.rollouts.on_peer_progress(&update.rollouts, self.now);
        self.apply_rollout_effects(effects);
    }

    /// Decides whether a request without any attempt yet is a canary.
    pub(super) fn draw_canary(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(rollout) = self.rollouts.of(&request.service) else {
            return;
        };
        if request.attempts == 0 && request.is_canary.is_none() {
            let draw = rand::Rng::random::<f64>(&mut self.rng);
            let kind = TimeKind::of_attempt(request.route.kind.is_stream());
            let series = series_of(&request.route.name, kind);
            request.is_canary = Some(draw < rollout.canary_share(series, self.now));
        }
    }

    /// Which endpoints a request may use: those of the version that began its stream, else those that
    /// a roll-out allows, else all but those of versions that boxes may not know yet.
    pub(super) fn rules_for<'a>(&'a self, request: &'a Request) -> VersionRules<'a> {
        if let Some(version) = &request.version {
            return VersionRules::new(VersionRule::Only(version));
        }
        if let Some(rollout) = self.rollouts.of(&request.service) {
            let is_canary = request.is_canary == Some(true) && request.attempts == 0;
            return rollout.rules(is_canary);
        }
        VersionRules::without(self.newcomers_for(request))
    }

    /// Under which conditions an endpoint is looked for, one after the other, until one is found.
    ///
    /// Where a stream begins while no list names the version of some engines, those are tried before
    /// endpoints that are suspected: they are known to live.
    pub(super) fn placement_passes<'a>(
        &'a self,
        request: &'a Request,
    ) -> Vec<(VersionRules<'a>, Trust)> {
        let rules = self.rules_for(request);
        let Some(fallback) = self.fallback_rules_for(request) else {
            return vec![(rules, Trust::Any)];
        };
        if self.rollouts.of(&request.service).is_some() {
            return vec![(rules, Trust::Any), (fallback, Trust::Any)];
        }
        let with_unlisted = VersionRules::without(self.settling_for(request));
        vec![
            (rules, Trust::Sound),
            (with_unlisted, Trust::Sound),
            (rules, Trust::Any),
            (fallback, Trust::Any),
        ]
    }

    /// Which endpoints an attempt may use if none that [`Self::rules_for`] admits accepts it.
    fn fallback_rules_for(&self, request: &Request) -> Option<VersionRules<'_>> {
        if request.version.is_some() {
            return None;
        }
        let Some(rollout) = self.rollouts.of(&request.service) else {
            return self.newcomers_for(request).map(|_| VersionRules::default());
        };
        let is_other = |e: &Endpoint| e.spec.version != rollout.order().target;
        let mut endpoints = self.fleet.of_service(&request.service);
        let has_others = endpoints.any(|e| self.fleet.takes_work(e) && is_other(e));
        rollout.fallback(request.is_canary == Some(true), has_others)
    }

    /// The placement demand of a request.
    pub(super) fn demand_of<'a>(&'a self, request: &'a Request) -> Demand<'a> {
        request.demand(self.rules_for(request), false)
    }

    /// Whether a request may continue at an endpoint that holds a replica or its prompt.
    pub(super) fn may_resume_at(&self, request: &Request, endpoint: &Endpoint) -> bool {
        if request.version.is_some() {
            return Self::is_of_version(request, endpoint);
        }
        let Some(rollout) = self.rollouts.of(&endpoint.spec.service) else {
            return true;
        };
        rollout.leaves_others() || endpoint.spec.version != rollout.order().target
    }

    /// Whether the service of an endpoint is leaving the endpoint's version.
    pub(super) fn is_leaving_version(&self, endpoint: &Endpoint) -> bool {
        let rollout = self.rollouts.of(&endpoint.spec.service);
        rollout.is_some_and(|r| r.leaves_others() && endpoint.spec.version != r.order().target)
    }

    /// Whether an attempt is to move now to the version that its service switches to: one of a stream
    /// whose caller has no event yet. Others stay until they end.
    pub(super) fn must_leave_version(&self, number: RequestNumber) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let is_stream = matches!(request.route.kind, RouteKind::Stream { resumable: true });
        let rollout = self.rollouts.of(&request.service);
        let (Some(active), Some(rollout)) = (request.active.as_ref(), rollout) else {
            return false;
        };
        let endpoint = self.fleet.get(&active.endpoint.id);
        let is_leaving_version = endpoint.is_some_and(|e| self.is_leaving_version(e));
        let is_bound = request.version.is_some();
        if is_bound || !is_stream || !is_leaving_version || !request.may_run_after_active() {
            return false;
        }
        rollout.leaving_since().is_some_and(|at| self.now >= at)
    }
}
