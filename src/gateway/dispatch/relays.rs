//! Relays: attempts through other boxes while this box has lost its own path to the endpoints.
//!
//! A box whose connections to endpoints fail while callers and other boxes still reach it keeps its
//! requests. It still decides everything: which endpoint runs an attempt, whether another one
//! follows, and what the caller gets. Only the connection changes: the attempt goes through a tunnel
//! that another box, the relay, opens to the endpoint. So a request runs at most once by the same
//! rule as on a direct connection: nothing is written before the relay has reported that its
//! connection to the endpoint is made, and a tunnel that breaks later is a broken connection.
//!
//! | what fails | what it shows | what follows |
//! |---|---|---|
//! | own connections to several endpoints of a service | the path may be lost ([`path`]) | it is checked |
//! | the check as well | the path is lost | attempts go through relays, and losses that the path explains are taken back |
//! | the tunnel is refused, or the relay can't be reached | nothing of the endpoint | another relay; nothing was sent |
//! | the relay can't reach the endpoint, but others | the endpoint is lost | as after a failed connection of this box |
//! | the relay can't reach the endpoint nor others | the relay's own path may be lost | another relay |
//! | the tunnel breaks at the relay | nothing of the endpoint; the attempt may have run | as after a broken connection, without blame of the endpoint |
//!
//! Without a relay the box tries its own path as before. A box relays only to endpoints that it
//! lists, over its own direct path, and neither while that is lost nor while it stops, so tunnels
//! never form chains.
//!
//! State: the direct path to each service, and what is known of relays ([`choice`]). Inputs: ends of
//! attempts, probes and checks.

pub mod choice;
pub mod path;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::Dispatcher;
use super::action::Action;
use super::event::{EndpointSpec, Fault, Outcome, RequestNumber};
use super::placement::{ATTEMPT_CONNECT_LIMIT, Placer};
use super::record::Record;
use super::request::{ActiveAttempt, Request};
use crate::schema::{EndpointId, Micros, RelayReply, ServiceId};
use choice::{Relay, RelayChoice};
use path::{DirectPath, PathChange};

/// Time limit for a tunnel: a connection to the relay, and the relay's connection to the endpoint.
pub const TUNNEL_OPEN_LIMIT: Duration = Duration::from_millis(260);
/// Endpoints to which connections must fail before the path to their service is suspected; all of
/// them, if it has fewer.
const SUSPECTED_AFTER: usize = 2;
/// Stream of random numbers for relays and checks of paths, apart from that of other decisions.
const RELAY_STREAM: u64 = 1;
/// Endpoints to which a check of the own path connects.
const CHECKED_ENDPOINTS: usize = 3;

/// Direct paths and relays, as this box knows them.
#[derive(Clone, Debug)]
pub(super) struct Relays {
    paths: BTreeMap<ServiceId, DirectPath>,
    choice: RelayChoice,
    rng: ChaCha8Rng,
}

impl Relays {
    /// No path is lost; `seed` determines the random choices.
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(RELAY_STREAM);
        Self {
            paths: BTreeMap::new(),
            choice: RelayChoice::default(),
            rng,
        }
    }

    /// Whether the direct path to the endpoints of a service is lost.
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        self.paths.get(service).is_some_and(DirectPath::is_lost)
    }

    /// Number of services whose direct path is lost.
    pub fn lost_count(&self) -> usize {
        self.paths.values().filter(|path| path.is_lost()).count()
    }

    /// When the next check of a path is due.
    pub fn due(&self) -> Option<Micros> {
        self.paths.values().filter_map(DirectPath::due).min()
    }
}

/// Whether an outcome shows that the attempt's connection to its endpoint was made.
fn was_connected(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotSent | Outcome::RelayFailed | Outcome::Stopped => false,
        Outcome::Broken(fault) => !matches!(fault, Fault::RelayLost | Fault::Silent),
        Outcome::NotRun(_) | Outcome::Answered { .. } | Outcome::StreamEnded => true,
    }
}

impl Dispatcher {
    /// Number of services to whose endpoints this box has lost its direct path.
    #[must_use]
    pub fn lost_paths(&self) -> usize {
        self.relays.lost_count()
    }

    /// Decides whether this box opens a connection to an endpoint for another box; returns the
    /// endpoint's address.
    ///
    /// # Errors
    ///
    /// Fails with the reply to that box.
    pub fn admit_relay(&self, endpoint: &EndpointId) -> Result<SocketAddr, RelayReply> {
        if self.is_stopping() {
            return Err(RelayReply::Stopping);
        }
        let listed = self.fleet.get(endpoint).filter(|e| e.listed);
        let spec = &listed.ok_or(RelayReply::Unlisted)?.spec;
        if self.relays.is_lost(&spec.service) {
            return Err(RelayReply::PathLost);
        }
        Ok(spec.address)
    }

    /// Sets the relay of a request's next attempt: none while the direct path works or no box can
    /// relay.
    pub(super) fn assign_relay(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let service = request.service.clone();
        let kept = request.relay.clone();
        let is_lost = self.relays.is_lost(&service);
        let kept = kept.filter(|r| is_lost && !self.relays.choice.is_aside(r.address, self.now));
        let relay = kept.or_else(|| self.choose_relay(&service));
        if let Some(request) = self.requests.get_mut(&number) {
            request.relay = relay;
        }
    }

    /// Chooses a relay to the endpoints of a service; `None` if the direct path works or no box can
    /// relay.
    fn choose_relay(&mut self, service: &ServiceId) -> Option<Relay> {
        if !self.relays.is_lost(service) {
            return None;
        }
        let candidates = self.peers.relay_candidates(self.now);
        let (me, domain) = (&self.cfg.me, &self.cfg.domain);
        let relays = &mut self.relays;
        relays
            .choice
            .choose(me, domain, &candidates, &mut relays.rng, self.now)
    }

    /// Address of the relay for a call to an endpoint of a service that belongs to no attempt.
    pub(super) fn relay_to(&mut self, service: &ServiceId) -> Option<SocketAddr> {
        self.choose_relay(service).map(|relay| relay.address)
    }

    /// Placement for a request: near its relay, since its bytes pass there.
    pub(super) fn placer_of(&self, request: &Request) -> Placer {
        let relay = request.relay.as_ref();
        relay.map_or_else(
            || self.placer.clone(),
            |relay| Placer {
                domain: relay.domain.clone(),
            },
        )
    }

    /// Handles a connection of this box to an endpoint that failed; returns whether the lost path of
    /// this box explains that, so that the endpoint isn't blamed.
    pub(super) fn on_direct_failure(&mut self, endpoint: &EndpointId) -> bool {
        let Some(service) = self.fleet.get(endpoint).map(|e| e.spec.service.clone()) else {
            return false;
        };
        let of_service = self.fleet.of_service(&service);
        let usable = of_service.filter(|e| self.fleet.takes_work(e));
        let enough = usable.take(SUSPECTED_AFTER).count();
        let path = self.relays.paths.entry(service.clone()).or_default();
        if path.on_failure(endpoint, enough, self.now) {
            self.on_path_suspected(&service);
        }
        self.relays.is_lost(&service) && self.choose_relay(&service).is_some()
    }

    fn on_path_suspected(&mut self, service: &ServiceId) {
        self.record_path(service, "path_suspected");
        self.check_paths();
    }

    /// Updates relay and endpoint after an attempt through a relay; returns whether the outcome is
    /// explained by the relay, so that it tells nothing of the endpoint.
    pub(super) fn on_relayed_outcome(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        relay: SocketAddr,
        outcome: &Outcome,
    ) -> bool {
        if was_connected(outcome) {
            self.relays.choice.on_connected(relay, self.now);
            return false;
        }
        let is_vouched = self.relays.choice.vouches(relay, self.now);
        let is_relays_fault = match outcome {
            Outcome::RelayFailed | Outcome::Broken(Fault::RelayLost) => true,
            Outcome::NotSent => !is_vouched,
            _ => return false,
        };
        if is_relays_fault {
            self.relays.choice.on_failed(relay, self.now);
            // The endpoint may be tried again through another relay.
            if let Some(request) = self.requests.get_mut(&number) {
                request.tried.retain(|tried| *tried != active.endpoint);
            }
        }
        is_relays_fault
    }

    /// Handles a connection that a relay has made for an attempt that runs.
    pub(super) fn on_relay_connected(&mut self, relay: SocketAddr) {
        self.relays.choice.on_connected(relay, self.now);
    }

    /// Checks the lost paths that are due.
    pub(super) fn check_paths(&mut self) {
        let now = self.now;
        let paths = self.relays.paths.iter_mut();
        let due = paths.filter_map(|(service, path)| path.take_due_check(now).then_some(service));
        let due: Vec<ServiceId> = due.cloned().collect();
        for service in due {
            let endpoints = self.endpoints_to_check(&service);
            self.actions.push(Action::CheckPath {
                service,
                endpoints,
                limit: ATTEMPT_CONNECT_LIMIT,
            });
        }
    }

    /// Endpoints for a check of the path to a service: some to which no connection failed lately, if
    /// there are any.
    fn endpoints_to_check(&mut self, service: &ServiceId) -> Vec<(EndpointId, SocketAddr)> {
        let path = self.relays.paths.get(service);
        let has_failed = |id: &EndpointId| path.is_some_and(|path| path.has_failed(id));
        let of_service = self.fleet.of_service(service);
        let specs = of_service
            .filter(|e| self.fleet.takes_work(e))
            .map(|e| &e.spec);
        let (failed, others): (Vec<&EndpointSpec>, Vec<_>) =
            specs.partition(|spec| has_failed(&spec.id));
        let among = if others.is_empty() { failed } else { others };
        let chosen = among.choose_multiple(&mut self.relays.rng, CHECKED_ENDPOINTS);
        chosen.map(|spec| (spec.id.clone(), spec.address)).collect()
    }

    /// Handles the result of a check of this box's own path.
    pub(super) fn on_path_checked(&mut self, service: &ServiceId, is_reached: bool) {
        let Some(path) = self.relays.paths.get_mut(service) else {
            return;
        };
        match path.on_checked(is_reached) {
            PathChange::Restored => self.record_path(service, "path_works"),
            PathChange::Confirmed => {
                let failed: Vec<EndpointId> = path.failed().cloned().collect();
                self.fleet.retract_losses(service, &failed);
                self.record_path(service, "path_lost");
            }
            PathChange::None => {}
        }
        if self.relays.lost_count() == 0 {
            self.relays.choice.clear();
        }
    }

    fn record_path(&mut self, service: &ServiceId, state: &'static str) {
        self.record(Record::Process {
            state: state.into(),
            detail: service.to_string(),
        });
    }
}
