//! Records of decisions, with their inputs and outcomes; each becomes one line of the decision log.
//!
//! The names of events and fields are those of the log and stay as they are; where one misleads,
//! its comment says what the field holds. Keys of callers never stand in a record.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::gateway::dispatch::event::{EndpointChange, Fault};
use crate::gateway::dispatch::refusal::RefusalReason;
use crate::schema::EndpointId;

/// The outcome of a fetch that brought all that was asked for.
pub const FETCHED_WHOLE: &str = "whole";

/// The outcome of a fetch from a box that answers as many others as it can.
pub const FETCH_BUSY: &str = "busy";

/// The state of a process that has just started; its detail is the box's failure domain.
pub const STARTED: &str = "started";

/// The state of a box that begins to watch the platform's store; its detail tells why.
pub const WATCHES_STORE: &str = "reads_store";

/// The state of a process that wrote the status of a roll-out; its detail tells what came of it.
pub const ROLLOUT_STATUS: &str = "rollout_status";

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// It is there.
    Present,
    /// It is about to leave.
    Leaving,
    /// It is not listed any more.
    Absent,
    /// Its entry can't be read.
    Unreadable,
}

impl EndpointState {
    /// The endpoint that a change is about, and what it says.
    #[must_use]
    pub fn of(change: &EndpointChange) -> (EndpointId, Self) {
        match change {
            EndpointChange::Absent(id) => (id.clone(), Self::Absent),
            EndpointChange::Unreadable(id) => (id.clone(), Self::Unreadable),
            EndpointChange::Present(spec) if spec.leaving => (spec.id.clone(), Self::Leaving),
            EndpointChange::Present(spec) => (spec.id.clone(), Self::Present),
        }
    }

    /// The word for it in the decision log.
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

/// A decision, or a change of what the box believes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record {
    /// A request was admitted.
    Arrived {
        /// The caller's id.
        request: String,
        /// The route.
        route: String,
        /// The table's version.
        table: u64,
        /// Tokens of the prompt.
        prompt: u32,
        /// What it is known by when it is sent again; empty in logs of earlier versions.
        #[serde(default)]
        fingerprint: String,
    },
    /// An attempt was begun.
    Sent {
        /// The caller's id.
        request: String,
        /// Which attempt.
        attempt: u32,
        /// The endpoint.
        endpoint: String,
        /// Its service.
        service: String,
        /// The endpoint's failure domain.
        domain: String,
        /// Whether that is the box's own.
        is_near: bool,
        /// Requests that the endpoint runs at once.
        slots: u32,
        /// The host of the mirror.
        backup: Option<String>,
        /// Whether it goes on from a replica, mirror or snapshot.
        from_backup: bool,
        /// The event after which a stream goes on.
        after_event: Option<u64>,
        /// Tokens of prompts that wait there for prefill, by this box's count.
        reading: u32,
        /// Requests that run there by this box's count.
        running: u32,
        /// Milliseconds that are left.
        left_ms: u64,
    },
    /// An attempt ended.
    Ended {
        /// The caller's id.
        request: String,
        /// Which attempt.
        attempt: u32,
        /// The endpoint.
        endpoint: String,
        /// How.
        outcome: Cow<'static, str>,
        /// The status of the answer, or 0.
        status: u16,
        /// Milliseconds since the attempt began.
        after_ms: u64,
        /// The last event that was passed on.
        last_event: Option<u64>,
    },
    /// The first event of a stream was passed on.
    Begun {
        /// The caller's id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Milliseconds since the request's arrival.
        after_ms: u64,
    },
    /// A stream goes on at another endpoint: its first event there was passed on.
    Resumed {
        /// The caller's id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Milliseconds since the event before.
        pause_ms: u64,
    },
    /// An engine took a snapshot, or could not.
    Copied {
        /// The caller's id.
        request: String,
        /// The endpoint that is to hold it.
        holder: String,
        /// Whether it was made.
        is_made: bool,
        /// Milliseconds that it took.
        after_ms: u64,
    },
    /// An attempt was left: its endpoint did not answer a probe, or a call took too long.
    Suspected {
        /// The caller's id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Milliseconds since anything of the attempt was heard.
        silent_ms: u64,
    },
    /// A request was given up.
    Refused {
        /// The caller's id.
        request: String,
        /// Why.
        reason: RefusalReason,
        /// Milliseconds since its arrival.
        after_ms: u64,
        /// Attempts that were made.
        attempts: u32,
        /// The last fault that was met.
        fault: Option<Fault>,
    },
    /// A request was answered.
    Answered {
        /// The caller's id.
        request: String,
        /// Milliseconds since its arrival.
        after_ms: u64,
        /// Attempts that were made.
        attempts: u32,
    },
    /// The caller left.
    CallerGone {
        /// The caller's id.
        request: String,
        /// Milliseconds since its arrival.
        after_ms: u64,
    },
    /// A table came into force.
    TableInForce {
        /// Its version.
        version: u64,
    },
    /// A table was read and checked, whether or not it is newer than the one in force.
    TableRead {
        /// Its version.
        version: u64,
        /// Where it was read: `store`, or the address of a peer.
        from: String,
        /// Bytes of its text.
        bytes: u64,
        /// Milliseconds that reading its text and checking it took, without the way here.
        check_ms: u64,
        /// Milliseconds since the store answered the box that read it.
        age_ms: u64,
        /// Whether it is newer than what this box knew.
        is_newer: bool,
    },
    /// A peer was asked for its table, and that ended.
    TableFetched {
        /// The peer's address.
        from: String,
        /// The version that this box had.
        after: u64,
        /// Bytes that arrived, also where the fetch failed.
        bytes: u64,
        /// Milliseconds since it was asked.
        after_ms: u64,
        /// `whole`, `busy`, or why it failed.
        outcome: Cow<'static, str>,
    },
    /// An endpoint joined, changed, or left the list.
    Endpoint {
        /// The endpoint.
        endpoint: String,
        /// What is believed of it now.
        state: Cow<'static, str>,
    },
    /// The list of endpoints has changed, as a peer told it; boxes that watch the store write of each
    /// endpoint. 295 boxes that all did so wrote 275,000 lines on a calm day.
    Endpoints {
        /// The store's revision.
        at: u64,
        /// Endpoints that joined or changed.
        present: usize,
        /// Those that are about to leave.
        leaving: usize,
        /// Those that left.
        absent: usize,
        /// Those whose entries can't be read.
        #[serde(default)]
        unreadable: usize,
    },
    /// An endpoint has started again under its id.
    Reborn {
        /// The endpoint.
        endpoint: String,
        /// When its process had started before, in Unix milliseconds.
        before: Option<u64>,
        /// When it has started now.
        born: Option<u64>,
    },
    /// A roll-out has entered a phase.
    Rollout {
        /// The service.
        service: String,
        /// The version that it moves to.
        target: String,
        /// The phase.
        phase: String,
        /// Why.
        why: String,
    },
    /// Something happened to the process or to what it depends on.
    Process {
        /// What.
        state: Cow<'static, str>,
        /// Anything else.
        detail: String,
    },
}

impl Record {
    /// The request that it is about.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::Arrived { request, .. }
            | Self::Sent { request, .. }
            | Self::Begun { request, .. }
            | Self::Ended { request, .. }
            | Self::Resumed { request, .. }
            | Self::Copied { request, .. }
            | Self::Suspected { request, .. }
            | Self::Refused { request, .. }
            | Self::Answered { request, .. }
            | Self::CallerGone { request, .. } => Some(request),
            Self::TableInForce { .. }
            | Self::TableRead { .. }
            | Self::TableFetched { .. }
            | Self::Endpoint { .. }
            | Self::Endpoints { .. }
            | Self::Reborn { .. }
            | Self::Rollout { .. }
            | Self::Process { .. } => None,
        }
    }

    /// What it says, for a person.
    #[must_use]
    pub fn sentence(&self) -> String {
        match self {
            Self::Arrived { .. }
            | Self::Begun { .. }
            | Self::Resumed { .. }
            | Self::Answered { .. }
            | Self::CallerGone { .. }
            | Self::Refused { .. } => self.request_sentence(),
            Self::Sent { .. }
            | Self::Ended { .. }
            | Self::Copied { .. }
            | Self::Suspected { .. } => self.attempt_sentence(),
            Self::TableInForce { .. } | Self::TableRead { .. } | Self::TableFetched { .. } => {
                self.table_sentence()
            }
            Self::Endpoint { endpoint, state } => format!("{endpoint} {state}"),
            Self::Endpoints {
                at,
                present,
                leaving,
                absent,
                unreadable,
            } => format!(
                "endpoints at {at}: {present} present, {leaving} leaving, {absent} absent, \
                 {unreadable} unreadable"
            ),
            Self::Reborn { endpoint, born, .. } => {
                format!(
                    "{endpoint} has started again, born {}",
                    born.unwrap_or_default()
                )
            }
            Self::Rollout {
                service,
                target,
                phase,
                why,
            } => format!("roll-out of {service} to {target}: {phase}, {why}"),
            Self::Process { state, detail } => format!("{state} {detail}"),
        }
    }

    fn table_sentence(&self) -> String {
        match self {
            Self::TableInForce { version } => format!("table {version} in force"),
            Self::TableRead {
                version,
                from,
                bytes,
                check_ms,
                age_ms,
                ..
            } => format!(
                "table {version} from {from}, {bytes} bytes, checked in {check_ms} ms, \
                 {age_ms} ms after the store's answer"
            ),
            Self::TableFetched {
                from,
                after,
                bytes,
                after_ms,
                outcome,
            } => format!(
                "fetch of a table after {after} from {from}: {outcome}, {bytes} bytes in \
                 {after_ms} ms"
            ),
            _ => String::new(),
        }
    }

    fn request_sentence(&self) -> String {
        match self {
            Self::Arrived {
                route,
                table,
                prompt,
                fingerprint,
                ..
            } => format!(
                "arrived for route {route}, table {table}, prompt of {prompt} tokens, as \
                 {fingerprint}"
            ),
            Self::Begun {
                endpoint, after_ms, ..
            } => format!("first event from {endpoint}, {after_ms} ms after the arrival"),
            Self::Resumed {
                endpoint, pause_ms, ..
            } => format!("resumed at {endpoint} after a pause of {pause_ms} ms"),
            Self::Answered {
                after_ms, attempts, ..
            } => format!("answered after {after_ms} ms, attempts: {attempts}"),
            Self::CallerGone { after_ms, .. } => format!("its caller left after {after_ms} ms"),
            Self::Refused {
                reason,
                after_ms,
                attempts,
                fault,
                ..
            } => {
                let fault = fault.map_or(String::new(), |f| format!(", last fault: {f:?}"));
                let reason = reason.word();
                format!("given up after {after_ms} ms: {reason}, attempts: {attempts}{fault}")
            }
            _ => String::new(),
        }
    }

    fn attempt_sentence(&self) -> String {
        match self {
            Self::Sent { .. } => self.sent_sentence(),
            Self::Ended { .. } => self.ended_sentence(),
            Self::Copied {
                holder,
                is_made,
                after_ms,
                ..
            } => {
                let taken = if *is_made { "taken" } else { "not taken" };
                format!("snapshot {taken} at {holder} after {after_ms} ms")
            }
            Self::Suspected {
                endpoint,
                silent_ms,
                ..
            } => format!("left {endpoint} after {silent_ms} ms without a word"),
            _ => String::new(),
        }
    }

    fn sent_sentence(&self) -> String {
        let Self::Sent {
            attempt,
            endpoint,
            domain,
            backup,
            from_backup,
            after_event,
            reading,
            running,
            left_ms,
            ..
        } = self
        else {
            return String::new();
        };
        let from = if *from_backup { " from a replica" } else { "" };
        let after = after_event.map_or(String::new(), |e| format!(" after event {e}"));
        let mirror = backup.as_deref().unwrap_or("none");
        format!(
            "attempt {attempt} at {endpoint} in {domain}{from}{after}, mirror: {mirror}; \
             running there: {running}, prompt tokens waiting: {reading}; {left_ms} ms left"
        )
    }

    fn ended_sentence(&self) -> String {
        let Self::Ended {
            attempt,
            endpoint,
            outcome,
            status,
            after_ms,
            last_event,
            ..
        } = self
        else {
            return String::new();
        };
        let status = match status {
            0 => String::new(),
            status => format!(", status {status}"),
        };
        let last = last_event.map_or(String::new(), |e| format!(", last event {e}"));
        format!(
            "attempt {attempt} at {endpoint} ended after {after_ms} ms: {outcome}{status}{last}"
        )
    }
}
