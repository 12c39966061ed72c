//! What is kept of a request while it is served.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::replicas::{Replica, Snapshot};
use crate::gateway::dispatch::event::{Arrival, AttemptNumber, Fault, NotRunCause, Outcome};
use crate::gateway::dispatch::table::{EngineSpec, KeyOwner, Route};
use crate::schema::{DomainId, EndpointId, Micros, ServiceId};

/// The sending that runs.
#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    /// Which one.
    pub attempt: AttemptNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub started: Micros,
    /// When anything of its answer last came.
    pub heard: Micros,
    /// Whether an event of it has come.
    pub has_events: bool,
    /// The endpoint's failure domain.
    pub domain: DomainId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Where the memory of the run is copied.
    pub mirror: Option<EndpointId>,
    /// A copy that was asked for while it ran.
    pub snapshot: Option<Snapshot>,
    /// When its copies are next looked after.
    pub next_replica_check: Micros,
    /// Tokens that are still counted as to be read.
    pub prefill: u32,
    /// Tokens of memory that are counted for it.
    pub memory: u32,
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
    /// What sets equal endpoints apart, the same for every sending of this request.
    pub key: u64,
    /// Who asks.
    pub key_owner: Option<KeyOwner>,
    /// When it arrived.
    pub arrived: Micros,
    /// When it gets its final answer at the latest.
    pub deadline: Micros,
    /// The sending that runs.
    pub active: Option<ActiveAttempt>,
    /// Sendings so far.
    pub attempts: u32,
    /// Sendings that may have run.
    pub maybe_run: u32,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointId>,
    /// Copies of its last run that it can go on from, the best one first.
    pub replicas: Vec<Replica>,
    /// The last event that the caller got.
    pub last_event: Option<u64>,
    /// When the caller got an event last.
    pub last_passed: Micros,
    /// Whether the caller got an event of this answer.
    pub has_begun: bool,
    /// The last fault that was met.
    pub fault: Option<Fault>,
    /// When to look for an endpoint again, if there was none.
    pub next_look: Option<Micros>,
    /// Since when no endpoint was found.
    pub without_endpoint: Option<Micros>,
}

impl Request {
    /// The time until the final answer is due.
    pub fn time_left(&self, now: Micros) -> Duration {
        self.deadline.since(now)
    }

    /// Whether it may be sent once more after it may have run.
    pub fn may_run_again(&self) -> bool {
        self.route.kind.may_repeat() && self.maybe_run < self.route.attempts
    }

    /// Whether no endpoint can have run it.
    pub fn has_not_run(&self) -> bool {
        self.maybe_run == 0
    }

    /// Milliseconds since its arrival.
    pub fn age_ms(&self, now: Micros) -> u64 {
        u64::try_from(now.since(self.arrived).as_millis()).unwrap_or(u64::MAX)
    }
}

/// The word for an outcome in the decision log.
pub(super) fn outcome_word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::NotSent => "not_sent",
        Outcome::NotRun(NotRunCause::OtherInstance(_)) => "misdirected",
        Outcome::NotRun(NotRunCause::NoRoom) => "not_run",
        Outcome::Answered { .. } => "answered",
        Outcome::StreamEnded => "stream_ended",
        Outcome::Broken(Fault::Closed) => "closed",
        Outcome::Broken(Fault::Malformed) => "malformed",
        Outcome::Broken(Fault::Foreign) => "foreign",
        Outcome::Broken(Fault::Silent) => "silent",
        Outcome::Stopped => "stopped",
    }
}
