//! The state of a request from its admission to its final answer.
//!
//! A request has at most one active attempt. Without one it waits for an endpoint
//! ([`Request::next_placement`]), for the verdict on the crash of its last endpoint
//! ([`Request::retry_at`]), or for the search for its prompt. It ends with its final answer or when
//! its caller disconnects; the dispatcher then removes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::action::Target;
use super::event::{Arrival, AttemptNumber, Fault, Tokens};
use super::fleet::speeds::AttemptWatch;
use super::fleet::usage::PREFILL_TOKENS_PER_MS;
use super::placement::{Demand, Trust};
use super::priority::Tier;
use super::refusal::HasRun;
use super::relays::choice::Relay;
use super::replica::{Replica, Snapshot};
use super::retry::{MAX_ATTEMPTS_PER_REQUEST, MAX_CHECKED_ATTEMPTS};
use super::rollout::VersionRules;
use super::rollout::evidence::Sampled;
use super::table::{EngineSpec, KeyOwner, Route};
use crate::rendezvous;
use crate::schema::{
    DomainId, EndpointId, EndpointIncarnation, Fingerprint, Micros, ServiceId, VersionId,
};

/// The time until the first event leaves this part of the latency objective for other prompts that are
/// prefilled at the same time.
const START_MARGIN_DIVISOR: u32 = 8;

/// The lease of a slot with which an attempt was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptLease {
    /// The attempt needs none.
    None,
    /// The attempt has one.
    Held,
    /// The attempt had one, and the endpoint rejected it for lack of room.
    Rejected,
}

/// An attempt that is running.
#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    pub attempt: AttemptNumber,
    /// The incarnation of the endpoint that this box knew when the attempt started.
    pub endpoint: EndpointIncarnation,
    /// The version of that incarnation, as this box knew it then.
    pub version: VersionId,
    pub started: Micros,
    /// Whether the attempt is known to have been written to a connection.
    pub is_connected: bool,
    /// Time of the last part of the answer; the start of the attempt until then.
    pub last_seen: Micros,
    /// The incarnation of the endpoint that its start time was checked for before the request was sent.
    pub checked: Option<EndpointIncarnation>,
    /// Whether the attempt has received an event.
    pub has_events: bool,
    /// Arrival time and number of the first event.
    pub first_event: Option<(Micros, u64)>,
    /// What was counted for a roll-out. The first event is not counted if other prompts were queued
    /// before it: the few endpoints of a canary version have queues more often than the many others.
    pub sampled: Sampled,
    /// What the attempt tells of the speed of its engine.
    pub watch: AttemptWatch,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    pub address: SocketAddr,
    /// Box that relays the attempt.
    pub via: Option<SocketAddr>,
    /// The lease of a slot of the endpoint.
    pub lease: AttemptLease,
    /// The host that the engine mirrors the KV memory of the attempt to.
    pub mirror: Option<EndpointIncarnation>,
    pub snapshot: Option<Snapshot>,
    /// Snapshots that failed since the last one that was taken.
    pub failed_snapshots: u32,
    pub next_replica_check: Micros,
    /// When its move to another endpoint is examined again.
    pub next_move: Micros,
    /// Tokens of the prompt that are counted as queued for prefill at the endpoint.
    pub prefill: u32,
    /// Tokens of other prompts that were queued for prefill at the endpoint when the attempt started.
    pub queued_prefill: u32,
    /// Tokens of KV memory that are counted for the attempt, at the endpoint and at each replica's
    /// host.
    pub memory: u32,
    /// Slots that are counted for the attempt: all slots of the endpoint if nothing else may run
    /// there.
    pub slots: u32,
}

impl ActiveAttempt {
    /// The endpoint of the attempt, and the box through which it is reached.
    pub fn target(&self) -> Target {
        Target::new(self.endpoint.id.clone(), self.address, self.via)
    }
}

/// An admitted request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub arrival: Arrival,
    /// Route in the routing table at the time of arrival.
    pub route: Arc<Route>,
    pub service: ServiceId,
    /// `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Key of the tie-break between endpoints of equal cost: the same for each attempt at any box, so
    /// that a caller that reconnects is sent to the engine that keeps its prompt.
    pub key: u64,
    /// Owner of the API key; `None` for an anonymous request.
    pub key_owner: Option<KeyOwner>,
    /// Rank among all requests of the routing table at the time of arrival.
    pub tier: Option<Tier>,
    /// Identifies the request when a caller sends it again.
    pub fingerprint: Fingerprint,
    pub arrived: Micros,
    /// Latest time of the final answer.
    pub deadline: Micros,
    pub active: Option<ActiveAttempt>,
    /// When the first attempt started.
    pub first_sent: Option<Micros>,
    /// Attempts started so far.
    pub attempts: u32,
    /// Those of them that ended with a check before the request was sent.
    pub checked_attempts: u32,
    /// Whether the first attempt goes to a canary version; `None` until that is decided.
    pub is_canary: Option<bool>,
    /// Ended attempts that may have run at their endpoint.
    pub possible_runs: u32,
    /// Box through which the next attempt goes, while the direct path is lost.
    pub relay: Option<Relay>,
    /// Endpoints of earlier attempts, which the next one avoids.
    pub tried: Vec<EndpointIncarnation>,
    /// Replicas of earlier attempts that the next one can resume from, the most independent first.
    pub replicas: Vec<Replica>,
    /// Engines that may keep the prompt and are not searched yet, the likeliest first.
    pub prompt_candidates: Vec<EndpointId>,
    /// Number of the last event that the caller received, from this request or the one that it
    /// continues.
    pub last_event: Option<u64>,
    /// Time of the last event passed to the caller; the arrival until then.
    pub last_forwarded: Micros,
    /// Whether an event of this request was passed to the caller.
    pub has_begun: bool,
    /// Version of the engines that may serve the stream, once an event of it was passed to the caller,
    /// by this box or another one.
    pub version: Option<VersionId>,
    /// Attempt that brought the first event, if the stream began at this box.
    pub began_with: Option<AttemptNumber>,
    /// When the record of the version was last published.
    pub version_published: Micros,
    /// Whether the request is counted among those that started to run.
    pub is_counted: bool,
    /// Fault of the last attempt that was lost.
    pub fault: Option<Fault>,
    /// Time of the next search for an endpoint, if the last one found none.
    pub next_placement: Option<Micros>,
    /// Time of the first search that found no endpoint; reset when an attempt starts.
    pub unplaced_since: Option<Micros>,
    /// Time of the next attempt after a crash of the last endpoint: the verdict on the crash is known
    /// by then. Likewise if the retry budget granted none yet.
    pub retry_at: Option<Micros>,
    /// Why the next attempt is a retry: the outcome of the last one that the budget is asked for.
    pub retry_cause: Option<&'static str>,
}

impl Request {
    /// Creates a request that is admitted now and has no attempt yet.
    pub fn new(
        arrival: Arrival,
        route: Arc<Route>,
        service: ServiceId,
        engine: Option<EngineSpec>,
        key_owner: Option<KeyOwner>,
        now: Micros,
    ) -> Self {
        let timeout = arrival.timeout.unwrap_or(route.timeout);
        let organisation = key_owner.as_ref().map(|owner| &owner.organisation);
        Self {
            fingerprint: arrival.content.for_organisation(organisation),
            deadline: now.after(timeout.min(route.timeout)),
            arrived: now,
            last_event: arrival.after_event,
            key: rendezvous::item(arrival.parts.last().unwrap_or(&arrival.id)),
            arrival,
            route,
            service,
            engine,
            key_owner,
            tier: None,
            active: None,
            first_sent: None,
            attempts: 0,
            checked_attempts: 0,
            is_canary: None,
            possible_runs: 0,
            relay: None,
            tried: Vec::new(),
            replicas: Vec::new(),
            prompt_candidates: Vec::new(),
            last_forwarded: now,
            has_begun: false,
            version: None,
            began_with: None,
            version_published: now,
            is_counted: false,
            fault: None,
            next_placement: None,
            unplaced_since: None,
            retry_at: None,
            retry_cause: None,
        }
    }

    /// Returns the time until the deadline; zero after it.
    pub fn time_left(&self, now: Micros) -> Duration {
        self.deadline.since(now)
    }

    /// Whether the route allows another attempt after those that may have run.
    pub fn may_run_again(&self) -> bool {
        self.route.kind.may_repeat() && self.possible_runs < self.route.attempts
    }

    /// Whether the route allows another attempt if the active one is lost and may have run.
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

    /// Time since the arrival, ms.
    pub fn age_ms(&self, now: Micros) -> u64 {
        millis(now.since(self.arrived))
    }

    /// Tokens of KV memory that the request takes at an engine, at most all that the engine has; 0 for
    /// a plain service.
    pub fn memory(&self) -> Tokens {
        match self.engine {
            Some(engine) => {
                let stated = self.arrival.prompt.0.saturating_add(self.arrival.output.0);
                Tokens(stated.min(engine.kv_tokens))
            }
            None => Tokens(0),
        }
    }

    /// Whether the request waits while no engine has room: only streams do.
    pub fn waits_for_room(&self) -> bool {
        self.engine.is_some() && self.route.kind.is_stream()
    }

    /// Whether no further attempt may start, whatever the outcomes of those so far.
    pub fn has_no_attempts_left(&self) -> bool {
        let others = self.attempts - self.checked_attempts;
        others >= MAX_ATTEMPTS_PER_REQUEST || self.checked_attempts >= MAX_CHECKED_ATTEMPTS
    }

    /// Whether the caller has received events, from this box or from an earlier one.
    pub fn is_partly_delivered(&self) -> bool {
        self.has_begun || self.last_event.is_some()
    }

    /// The time that a run takes until its first event.
    pub fn first_event_time(&self) -> Duration {
        let prompt = f64::from(self.arrival.prompt.0);
        let prefill = Duration::from_secs_f64(prompt / PREFILL_TOKENS_PER_MS / 1_000.0);
        prefill + self.route.objective / START_MARGIN_DIVISOR
    }

    /// The properties of this request that its placement depends on.
    pub fn demand<'a>(&'a self, rules: VersionRules<'a>, alone: bool) -> Demand<'a> {
        Demand {
            alone,
            is_repeat: self.attempts > 0 && self.is_partly_delivered(),
            service: &self.service,
            engine: self.engine,
            prompt: self.arrival.prompt,
            memory: self.memory(),
            tried: &self.tried,
            key: self.key,
            trust: Trust::Any,
            rules,
        }
    }
}

/// Converts a duration to whole milliseconds, for records.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Whether `at` is set and not later than `now`.
pub(super) fn is_due(at: Option<Micros>, now: Micros) -> bool {
    at.is_some_and(|at| now >= at)
}
