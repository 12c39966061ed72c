//! Records of decisions: what was decided, on which inputs, and what came of it.
//!
//! Each record becomes one line of the log. Keys of callers never stand in one.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::gateway::dispatch::event::Fault;
use crate::gateway::dispatch::refusal::RefusalReason;

/// A decision, or a change of what the box believes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record {
    /// A request was taken in.
    Arrived {
        /// The caller's id.
        request: String,
        /// The route.
        route: String,
        /// The table's version.
        table: u64,
        /// Tokens of the prompt.
        prompt: u32,
    },
    /// A request was sent to an endpoint.
    Sent {
        /// The caller's id.
        request: String,
        /// Which sending.
        attempt: u32,
        /// The endpoint.
        endpoint: String,
        /// The endpoint's failure domain.
        domain: String,
        /// Where the memory of the run is copied.
        backup: Option<String>,
        /// Whether it goes on from a copy.
        from_backup: bool,
        /// The event after which a stream goes on.
        after_event: Option<u64>,
        /// Tokens of prompts that wait there by this box's count.
        reading: u32,
        /// Requests that run there by this box's count.
        running: u32,
        /// Milliseconds that are left.
        left_ms: u64,
    },
    /// A sending ended.
    Ended {
        /// The caller's id.
        request: String,
        /// Which sending.
        attempt: u32,
        /// The endpoint.
        endpoint: String,
        /// How.
        outcome: Cow<'static, str>,
        /// The status of the answer, or 0.
        status: u16,
        /// Milliseconds since the sending began.
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
    /// An engine was asked for another copy of a run's memory.
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
    /// An endpoint has been silent for too long.
    Suspected {
        /// The caller's id.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Milliseconds since it was last heard.
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
        /// Sendings that were made.
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
        /// Sendings that were made.
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
    /// An endpoint joined, changed, or left the list.
    Endpoint {
        /// The endpoint.
        endpoint: String,
        /// What is believed of it now.
        state: Cow<'static, str>,
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
            Self::TableInForce { .. } | Self::Endpoint { .. } | Self::Process { .. } => None,
        }
    }

    /// What it says, for a person.
    #[must_use]
    pub fn sentence(&self) -> String {
        match self {
            Self::Arrived {
                route,
                table,
                prompt,
                ..
            } => format!("arrived for route {route}, table {table}, prompt of {prompt} tokens"),
            Self::Sent { .. } => self.sent_sentence(),
            Self::Begun {
                endpoint, after_ms, ..
            } => format!("first event from {endpoint}, {after_ms} ms after the arrival"),
            Self::Ended {
                attempt,
                endpoint,
                outcome,
                status,
                after_ms,
                last_event,
                ..
            } => format!(
                "sending {attempt} to {endpoint} ended after {after_ms} ms: {outcome}, status {status}, last event {last_event:?}"
            ),
            Self::Resumed {
                endpoint, pause_ms, ..
            } => format!("went on at {endpoint} after a pause of {pause_ms} ms"),
            Self::Copied {
                holder,
                is_made,
                after_ms,
                ..
            } => {
                let made = if *is_made {
                    "made"
                } else {
                    "could not be made"
                };
                format!("another copy {made} at {holder} after {after_ms} ms")
            }
            Self::Suspected {
                endpoint,
                silent_ms,
                ..
            } => format!("{endpoint} was silent for {silent_ms} ms and did not answer a probe"),
            Self::Refused {
                reason,
                after_ms,
                attempts,
                fault,
                ..
            } => format!(
                "given up after {after_ms} ms and {attempts} sendings: {reason:?}, last fault {fault:?}"
            ),
            Self::Answered {
                after_ms, attempts, ..
            } => format!("answered after {after_ms} ms and {attempts} sendings"),
            Self::CallerGone { after_ms, .. } => format!("its caller left after {after_ms} ms"),
            Self::TableInForce { version } => format!("table {version} in force"),
            Self::Endpoint { endpoint, state } => format!("{endpoint} {state}"),
            Self::Process { state, detail } => format!("{state} {detail}"),
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
        let how = if *from_backup { " from its copy" } else { "" };
        let backup = backup.as_deref().unwrap_or("nowhere");
        format!(
            "sending {attempt} to {endpoint} in {domain}{how} after event {after_event:?}, copied to {backup}; there by the box's count {running} requests and {reading} tokens to read; {left_ms} ms left"
        )
    }
}
