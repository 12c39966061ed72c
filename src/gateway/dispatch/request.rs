//! What is known of a request while it is served.
//!
//! A request has at most one active attempt. Without one it waits: for an endpoint
//! ([`Request::next_placement`]), or for the answer to where its prompt is kept. It ends with a final
//! answer, or when its caller leaves; the dispatcher then forgets it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::event::{Arrival, AttemptNumber, Fault, Tokens};
use super::placement::Demand;
use super::refusal::HasRun;
use super::replica::{Replica, Snapshot};
use super::rollout::VersionRules;
use super::rollout::evidence::Sampled;
use super::table::{EngineSpec, KeyOwner, Route};
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId, EndpointIncarnation, Fingerprint, Micros, ServiceId};

/// The attempt that runs.
#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    /// Which one.
    pub attempt: AttemptNumber,
    /// The endpoint, in the life that was believed when the attempt began.
    pub endpoint: EndpointIncarnation,
    /// When it was sent.
    pub started: Micros,
    /// Whether it is known to have gone out on a connection.
    pub is_connected: bool,
    /// When anything of its answer last came.
    pub last_seen: Micros,
    /// Whether an event of it has come.
    pub has_events: bool,
    /// When its first event came, and which that was.
    pub first_event: Option<(Micros, u64)>,
    /// What of it was counted for a roll-out. Its first event is not where other prompts were before
    /// it: few endpoints of a version that is tried out have them more often than many others.
    pub sampled: Sampled,
    /// The endpoint's failure domain.
    pub domain: DomainId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The host of the replica that grows with the attempt.
    pub mirror: Option<EndpointIncarnation>,
    /// The replica that was asked for while the attempt ran.
    pub snapshot: Option<Snapshot>,
    /// When its replicas are checked next.
    pub next_replica_check: Micros,
    /// Tokens of the prompt that count as waiting for prefill at the endpoint.
    pub prefill: u32,
    /// Tokens of KV memory that count as taken by it, at the endpoint and at each replica's host.
    pub memory: u32,
    /// Slots that count as taken by it: all of the endpoint's, if nothing is to run beside it.
    pub slots: u32,
}

/// A request that is served.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The request.
    pub arrival: Arrival,
    /// Its route, of the table that was in force when it arrived.
    pub route: Arc<Route>,
    /// The service that answers it.
    pub service: ServiceId,
    /// What is known of the service's engines.
    pub engine: Option<EngineSpec>,
    /// What sets endpoints of equal cost apart: the same for every attempt, and at any box, so that
    /// a caller that comes back finds its prompt.
    pub key: u64,
    /// The organisation that asks.
    pub key_owner: Option<KeyOwner>,
    /// What it is known by when it is sent again.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Micros,
    /// When it gets its final answer at the latest.
    pub deadline: Micros,
    /// The attempt that runs.
    pub active: Option<ActiveAttempt>,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether its first attempt tries a version that is not known to be sound, once that is decided.
    pub is_canary: Option<bool>,
    /// Attempts that have ended and may have run.
    pub possible_runs: u32,
    /// Endpoints that the next attempt avoids, since earlier ones went there.
    pub tried: Vec<EndpointIncarnation>,
    /// Replicas of earlier attempts that the next one can go on from, the best one first.
    pub replicas: Vec<Replica>,
    /// Engines that may keep its prompt and were not asked yet, the likeliest first.
    pub unasked: Vec<EndpointId>,
    /// The last event that the caller got, of this request or of the one before it.
    pub last_event: Option<u64>,
    /// When the caller got an event last; at first the arrival.
    pub last_forwarded: Micros,
    /// Whether the caller got an event of this answer.
    pub has_begun: bool,
    /// Whether it is counted among the requests that began to run.
    pub is_counted: bool,
    /// The last fault that was met.
    pub fault: Option<Fault>,
    /// When to look for an endpoint again, if there was none.
    pub next_placement: Option<Micros>,
    /// Since when no endpoint was found.
    pub without_endpoint: Option<Micros>,
    /// When it goes on after the crash of its last endpoint: what follows from that is known then.
    pub retry_at: Option<Micros>,
}

impl Request {
    /// A request that was admitted now, before its first attempt.
    pub fn new(
        arrival: Arrival,
        route: Arc<Route>,
        service: ServiceId,
        engine: Option<EngineSpec>,
        key_owner: Option<KeyOwner>,
        now: Micros,
    ) -> Self {
        let patience = arrival.patience.unwrap_or(route.timeout);
        let organisation = key_owner.as_ref().map(|owner| &owner.organisation);
        Self {
            fingerprint: arrival.content.asked_by(organisation),
            deadline: now.after(patience.min(route.timeout)),
            arrived: now,
            last_event: arrival.after_event,
            key: rendezvous::item(arrival.parts.last().unwrap_or(&arrival.id)),
            arrival,
            route,
            service,
            engine,
            key_owner,
            active: None,
            attempts: 0,
            is_canary: None,
            possible_runs: 0,
            tried: Vec::new(),
            replicas: Vec::new(),
            unasked: Vec::new(),
            last_forwarded: now,
            has_begun: false,
            is_counted: false,
            fault: None,
            next_placement: None,
            without_endpoint: None,
            retry_at: None,
        }
    }

    /// The time until the final answer is due.
    pub fn time_left(&self, now: Micros) -> Duration {
        self.deadline.since(now)
    }

    /// Whether another attempt is allowed after all ended ones may have run.
    pub fn may_run_again(&self) -> bool {
        self.route.kind.may_repeat() && self.possible_runs < self.route.attempts
    }

    /// Whether another attempt is allowed after the active one, should that have run.
    pub fn may_run_after_active(&self) -> bool {
        self.route.kind.may_repeat() && self.possible_runs + 1 < self.route.attempts
    }

    /// Whether an ended attempt may have run.
    pub fn has_run(&self) -> HasRun {
        if self.possible_runs == 0 {
            HasRun::Never
        } else {
            HasRun::Maybe
        }
    }

    /// Milliseconds since its arrival.
    pub fn age_ms(&self, now: Micros) -> u64 {
        millis(now.since(self.arrived))
    }

    /// The tokens of KV memory that it will take at an engine.
    pub fn memory(&self) -> Tokens {
        match self.engine {
            Some(_) => Tokens(self.arrival.prompt.0 + self.arrival.output.0),
            None => Tokens(0),
        }
    }

    /// What is to be placed.
    pub fn demand<'a>(&'a self, rules: VersionRules<'a>, alone: bool) -> Demand<'a> {
        Demand {
            alone,
            service: &self.service,
            engine: self.engine,
            memory: self.memory(),
            tried: &self.tried,
            key: self.key,
            rules,
        }
    }
}

/// A time in whole milliseconds, for records.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Whether a point in time has come.
pub(super) fn has_come(at: Option<Micros>, now: Micros) -> bool {
    at.is_some_and(|at| now >= at)
}
