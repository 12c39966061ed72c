//! Records of decisions, with their inputs and outcomes; each becomes one line of the decision log.
//!
//! The names of events and fields are part of the log format and stay as they are. Where a name
//! misleads, the comment says what the field holds. A record never contains a caller's key.

mod sentence;

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::dispatch::event::{EndpointChange, Fault, SnapshotFailure};
use crate::gateway::dispatch::refusal::RefusalReason;
use crate::schema::EndpointId;

/// The outcome of a fetch that returned everything that was requested.
pub const FETCHED_WHOLE: &str = "whole";

/// The outcome of a fetch from a box that already answers as many others as it can.
pub const FETCH_BUSY: &str = "busy";

/// The state of a process that has just started; its detail is the box's failure domain.
pub const STARTED: &str = "started";

/// The state of a box that begins to watch the platform's store; its detail is the reason.
pub const WATCHES_STORE: &str = "reads_store";

/// The state of a process that wrote the status of a roll-out; its detail is the result.
pub const ROLLOUT_STATUS: &str = "rollout_status";

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// It is listed.
    Present,
    /// It is listed and about to leave.
    Leaving,
    /// It is no longer listed.
    Absent,
    /// Its entry can't be parsed.
    Unreadable,
}

impl EndpointState {
    /// Returns the endpoint of a change, and its state after the change.
    #[must_use]
    pub fn of(change: &EndpointChange) -> (EndpointId, Self) {
        match change {
            EndpointChange::Absent(id) => (id.clone(), Self::Absent),
            EndpointChange::Unreadable(id) => (id.clone(), Self::Unreadable),
            EndpointChange::Present(spec) if spec.leaving => (spec.id.clone(), Self::Leaving),
            EndpointChange::Present(spec) => (spec.id.clone(), Self::Present),
        }
    }

    /// Returns the word for the state in the decision log.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::Leaving => "leaving",
            Self::Absent => "absent",
            Self::Unreadable => "unreadable",
        }
    }
}

/// What ended a request, or its caller's connection, without a complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndedBy {
    /// The task of the request ended without an answer; the caller gets 502, or its stream breaks off.
    Exchange,
    /// The request was refused after its stream had begun, so that the stream breaks off.
    Refusal,
    /// The body did not arrive in time; the caller gets 408.
    BodyTimeout,
    /// The body is longer than allowed; the caller gets 413.
    BodyLimit,
    /// The process exited.
    Exit,
}

impl EndedBy {
    /// Returns the word for it in the metrics, the same as in the decision log.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Exchange => "exchange",
            Self::Refusal => "refusal",
            Self::BodyTimeout => "body_timeout",
            Self::BodyLimit => "body_limit",
            Self::Exit => "exit",
        }
    }
}

/// What holds a caller's request at a box.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestHolder {
    /// Its body is on its way to the box.
    Body,
    /// It waits for a decision: before its first attempt, or between two.
    Dispatcher,
    /// An attempt is on its way, and nothing has been sent to the caller.
    Attempt,
    /// Its stream has begun.
    Stream,
}

impl RequestHolder {
    /// Returns the word for it, the same as in the decision log.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Dispatcher => "dispatcher",
            Self::Attempt => "attempt",
            Self::Stream => "stream",
        }
    }
}

/// A decision, or a change of the state that the box assumes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record {
    /// A request was admitted.
    Arrived {
        /// The caller's request id.
        request: String,
        /// The route.
        route: String,
        /// The version of the routing table.
        table: u64,
        /// The length of the prompt in tokens.
        prompt: u32,
        /// The fingerprint by which retries are recognised; empty in logs of earlier versions.
        #[serde(default)]
        fingerprint: String,
        /// Its rank, 0 for the most urgent, if the configuration distinguishes ranks.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tier: Option<u8>,
    },
    /// A request waits because no engine has room for it.
    Waiting {
        /// The caller's request id.
        request: String,
        /// The rank of the request, if the configuration distinguishes ranks.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tier: Option<u8>,
        /// Requests of this box that start before it.
        place: usize,
    },
    /// An attempt was started.
    Sent {
        /// The caller's request id.
        request: String,
        /// The number of the attempt.
        attempt: u32,
        /// The endpoint.
        endpoint: String,
        /// The service of the endpoint.
        service: String,
        /// The failure domain of the endpoint.
        domain: String,
        /// Whether that is the box's own failure domain.
        is_near: bool,
        /// Requests that the endpoint runs at once.
        slots: u32,
        /// The endpoint that holds the mirror.
        backup: Option<String>,
        /// Whether the attempt resumes from a replica (mirror or snapshot).
        from_backup: bool,
        /// The event after which a stream resumes.
        after_event: Option<u64>,
        /// Prompt tokens that wait for prefill at the endpoint, as this box counts them.
        reading: u32,
        /// Requests that run at the endpoint, as this box counts them.
        running: u32,
        /// Milliseconds until the request's deadline.
        left_ms: u64,
        /// The rank of the request, if the configuration distinguishes ranks.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tier: Option<u8>,
        /// Milliseconds for which the request waited for room at an engine, if it did.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        waited_ms: Option<u64>,
        /// The software version of the endpoint, if the service may have several.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<String>,
        /// What speaks against the endpoint, chosen all the same: `avoided`, `suspected`, `unverified`
        /// or `unlisted`. It has to name itself before it gets the request, unless it is `unlisted`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        doubt: Option<Cow<'static, str>>,
    },
    /// A retry was taken from the budget, waits for it, or was refused.
    Retry {
        /// The caller's request id.
        request: String,
        /// The service.
        service: String,
        /// The outcome of the last attempt.
        cause: Cow<'static, str>,
        /// `taken`, `delayed` or `refused`.
        result: Cow<'static, str>,
    },
    /// The attempt that was just started goes through another box.
    Relayed {
        /// The caller's request id.
        request: String,
        /// The number of the attempt.
        attempt: u32,
        /// The address of the relay.
        relay: String,
    },
    /// An attempt ended.
    Ended {
        /// The caller's request id.
        request: String,
        /// The number of the attempt.
        attempt: u32,
        /// The endpoint.
        endpoint: String,
        /// The outcome of the attempt.
        outcome: Cow<'static, str>,
        /// The HTTP status of the answer, or 0.
        status: u16,
        /// Milliseconds since the attempt started.
        after_ms: u64,
        /// The last event that was passed to the caller.
        last_event: Option<u64>,
    },
    /// The first event of a stream was passed to the caller.
    Begun {
        /// The caller's request id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Milliseconds since the arrival of the request.
        after_ms: u64,
    },
    /// The version that began the stream of a caller that comes back is known, or nobody knows it.
    StreamVersion {
        /// The caller's request id.
        request: String,
        /// The caller's attempt that brought the first event.
        resumes: Option<String>,
        /// The version.
        version: Option<String>,
        /// How this box knows it: `book`, `peer` or `sole`; `unknown` if it doesn't.
        source: Cow<'static, str>,
        /// Milliseconds since the stream was last sent to an engine of the version.
        age_ms: Option<u64>,
        /// Milliseconds since the arrival of the request.
        after_ms: u64,
    },
    /// A stream resumed at another endpoint, whose first event was passed to the caller.
    Resumed {
        /// The caller's request id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Milliseconds since the previous event.
        pause_ms: u64,
    },
    /// An engine took a snapshot, or failed to.
    Copied {
        /// The caller's request id.
        request: String,
        /// The endpoint that is to hold the snapshot.
        holder: String,
        /// Whether the snapshot was taken.
        is_made: bool,
        /// Milliseconds that it took.
        after_ms: u64,
        /// Why it was not taken; absent in logs of earlier versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        failure: Option<SnapshotFailure>,
    },
    /// An attempt was abandoned, since its endpoint did not answer a probe or a call took too long.
    Suspected {
        /// The caller's request id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Milliseconds since anything of the attempt was received.
        silent_ms: u64,
    },
    /// A request that a stopping box keeps when its stop begins, or hands back then or later.
    Held {
        /// The caller's request id.
        request: String,
        /// What it waited for: `room`, `placement`, `retry`, `version`, `prompt`, `attempt` or
        /// `stream`.
        holder: Cow<'static, str>,
        /// Milliseconds since the arrival of the request.
        after_ms: u64,
        /// Requests of this box that start before it, if it waits for room.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        place: Option<usize>,
        /// The estimated wait for room, if it waits for that and enough was observed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_ms: Option<u64>,
        /// The time that a stream is expected to take.
        run_ms: u64,
        /// Milliseconds until this box exits at the latest.
        grace_ms: u64,
    },
    /// A request was given up.
    Refused {
        /// The caller's request id.
        request: String,
        /// The reason.
        reason: RefusalReason,
        /// Milliseconds since the arrival of the request.
        after_ms: u64,
        /// Attempts that were made.
        attempts: u32,
        /// The fault of the last failed attempt.
        fault: Option<Fault>,
        /// The rank of the request, if the configuration distinguishes ranks.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tier: Option<u8>,
        /// Milliseconds for which the request had waited for room at an engine, if it did.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        waited_ms: Option<u64>,
    },
    /// A request was answered.
    Answered {
        /// The caller's request id.
        request: String,
        /// Milliseconds since the arrival of the request.
        after_ms: u64,
        /// Attempts that were made.
        attempts: u32,
    },
    /// The caller disconnected.
    CallerGone {
        /// The caller's request id.
        request: String,
        /// Milliseconds since the arrival of the request.
        after_ms: u64,
    },
    /// A request that was read, or of which a part was read, ended without a complete answer, and
    /// its caller had not disconnected.
    Unanswered {
        /// The caller's request id.
        request: String,
        /// What ended it.
        ended_by: EndedBy,
        /// What held it.
        holder: RequestHolder,
        /// Milliseconds since its head was read.
        after_ms: u64,
        /// The version of the routing table in force when the request was admitted, or when its head
        /// was read if it was not admitted.
        table: Option<u64>,
        /// The version of the routing table in force at its end.
        table_in_force: Option<u64>,
    },
    /// A routing table came into force.
    TableInForce {
        /// The version of the table.
        version: u64,
    },
    /// A routing table was read and checked, whether or not it is newer than the one in force.
    TableRead {
        /// The version of the table.
        version: u64,
        /// The source: `store`, or the address of a peer.
        from: String,
        /// Bytes of the table's text.
        bytes: u64,
        /// Milliseconds for parsing and checking the text, without its transfer.
        check_ms: u64,
        /// Milliseconds since the store answered the box that read the table from it.
        age_ms: u64,
        /// Whether the table is newer than the newest that this box knew.
        is_newer: bool,
    },
    /// A fetch of a routing table from a peer ended.
    TableFetched {
        /// The address of the peer.
        from: String,
        /// The version that this box had.
        after: u64,
        /// Bytes that arrived, also if the fetch failed.
        bytes: u64,
        /// Milliseconds since the request.
        after_ms: u64,
        /// `whole`, `busy`, or the reason of the failure.
        outcome: Cow<'static, str>,
    },
    /// An endpoint joined, changed, or left the endpoint list.
    Endpoint {
        /// The endpoint.
        endpoint: String,
        /// The state of the endpoint now.
        state: Cow<'static, str>,
    },
    /// The endpoint list has changed, as a peer reported it. Only boxes that watch the store write
    /// one record for each endpoint: when 295 boxes all did so, they wrote 275,000 lines on a day
    /// without faults.
    Endpoints {
        /// The revision of the store.
        at: u64,
        /// Endpoints that joined or changed.
        present: usize,
        /// Endpoints that are about to leave.
        leaving: usize,
        /// Endpoints that left.
        absent: usize,
        /// Endpoints whose entries can't be parsed.
        #[serde(default)]
        unreadable: usize,
    },
    /// An endpoint restarted under the same id.
    Reborn {
        /// The endpoint.
        endpoint: String,
        /// The previous start time of its process, in Unix milliseconds.
        before: Option<u64>,
        /// The new start time of its process, in Unix milliseconds.
        born: Option<u64>,
    },
    /// An endpoint announced another rate limit than before, or none any more.
    Limited {
        /// The endpoint.
        endpoint: String,
        /// Requests per second that it accepts from all boxes together.
        per_second: Option<f64>,
    },
    /// An endpoint asked this box for a rest.
    RestAsked {
        /// The endpoint.
        endpoint: String,
        /// The time for which it wants no request from this box, ms.
        for_ms: u64,
    },
    /// An endpoint said in an answer that it is leaving.
    LeavingStated {
        /// The endpoint.
        endpoint: String,
    },
    /// The engines of a service turned out to be of different speeds, or to be even again.
    EngineSpeeds {
        /// The service.
        service: String,
        /// Engines whose prefill rate differs from the median; 0 if they are even.
        differing: usize,
        /// Engines whose prefill rate is known.
        known: usize,
        /// The prefill rate of the other engines, prompt tokens per ms.
        median: f64,
    },
    /// An endpoint crashed while it ran a request.
    Crashed {
        /// The caller's request id.
        request: String,
        /// The fingerprint by which retries are recognised.
        fingerprint: String,
        /// The endpoint.
        endpoint: String,
        /// Concurrent requests at the endpoint.
        beside: u32,
        /// Whether other endpoints of the same failure domain ended at the same time.
        fell_with_domain: bool,
        /// Crashes that count against the request, including this one.
        counted: usize,
    },
    /// Endpoints were sent something that is not a caller's request since the last such record; at
    /// most one record a second.
    Checks {
        /// The number of checks by reason.
        counts: BTreeMap<String, u64>,
    },
    /// A request was quarantined, so it is no longer sent to any endpoint.
    Quarantined {
        /// The fingerprint by which retries are recognised.
        fingerprint: String,
        /// Crashes that count against it.
        crashes: usize,
    },
    /// The quarantine of a request ended, so it may be sent again.
    Released {
        /// The fingerprint by which retries are recognised.
        fingerprint: String,
    },
    /// A roll-out entered a phase.
    Rollout {
        /// The service.
        service: String,
        /// The version that the roll-out moves to.
        target: String,
        /// The phase.
        phase: String,
        /// The reason.
        why: String,
    },
    /// An event of the process or of something that it depends on.
    Process {
        /// The kind of event.
        state: Cow<'static, str>,
        /// Further detail.
        detail: String,
    },
}

impl Record {
    /// Returns the id of the request that the record is about, if any.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::Arrived { request, .. }
            | Self::Waiting { request, .. }
            | Self::Sent { request, .. }
            | Self::Retry { request, .. }
            | Self::Relayed { request, .. }
            | Self::Begun { request, .. }
            | Self::Ended { request, .. }
            | Self::Resumed { request, .. }
            | Self::StreamVersion { request, .. }
            | Self::Copied { request, .. }
            | Self::Suspected { request, .. }
            | Self::Crashed { request, .. }
            | Self::Held { request, .. }
            | Self::Refused { request, .. }
            | Self::Answered { request, .. }
            | Self::CallerGone { request, .. }
            | Self::Unanswered { request, .. } => Some(request),
            Self::TableInForce { .. }
            | Self::TableRead { .. }
            | Self::TableFetched { .. }
            | Self::Endpoint { .. }
            | Self::Endpoints { .. }
            | Self::Reborn { .. }
            | Self::Limited { .. }
            | Self::RestAsked { .. }
            | Self::LeavingStated { .. }
            | Self::Checks { .. }
            | Self::EngineSpeeds { .. }
            | Self::Quarantined { .. }
            | Self::Released { .. }
            | Self::Rollout { .. }
            | Self::Process { .. } => None,
        }
    }
}
