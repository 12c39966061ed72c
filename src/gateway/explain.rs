//! Traces of requests, read from the decision logs of several boxes.
//!
//! Input are the texts of decision logs. [`read`] merges their lines in order of time, [`traces`]
//! groups them by request, and each trace names the cause of the request's end in one sentence.
//!
//! The logs may be plain files or the output of a tool that prefixes each line with a time and a
//! name. The prefixed time takes precedence over the time in the line, since all prefixes come from
//! one clock.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::gateway::dispatch::event::{Fault, LEAST_ERROR_STATUS};
use crate::gateway::dispatch::record::{EndedBy, Record};
use crate::gateway::dispatch::refusal::RefusalReason;
use crate::schema::HybridTime;

/// One line of a decision log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogLine {
    /// Time of writing, comparable between boxes.
    pub at: HybridTime,
    /// Name of the box that wrote the line.
    pub r#box: String,
    /// Decision that the line records.
    #[serde(flatten)]
    pub record: Record,
}

/// A log line with the time by which it is sorted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimedLine {
    /// Time in seconds: that of the line's prefix if it has one, else that of the line.
    pub seconds: f64,
    /// Line without its prefix.
    #[serde(flatten)]
    pub line: LogLine,
}

/// Cause of a request's end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request was answered.
    Answered,
    /// The endpoint answered with an error status, which was passed on to the caller.
    EndpointError,
    /// The caller disconnected before the answer was complete.
    #[serde(rename = "caller_gone")]
    CallerDisconnected,
    /// The box had no configuration yet.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// No organisation has the caller's key.
    UnknownKey,
    /// No endpoint could accept the request.
    NoEndpoint,
    /// No engine was expected to have room in time.
    NoCapacity,
    /// The deadline passed before the request ran.
    ExpiredNotRun,
    /// The deadline passed after the request may have run.
    Expired,
    /// The connection to the endpoint broke, and the request may not be repeated or no retry was
    /// left.
    ConnectionLost,
    /// The endpoint stopped responding, and the request may not be repeated or no retry was left.
    #[serde(rename = "endpoint_silent")]
    EndpointUnresponsive,
    /// The endpoint's answer was malformed or belonged to another request, and the request may not
    /// be repeated or no retry was left.
    #[serde(rename = "answer_spoilt")]
    AnswerMalformed,
    /// Endpoints crashed while they ran the request, so it is sent to no further endpoint.
    Quarantined,
    /// No box knew which software version began the stream that it was to continue.
    UnknownVersion,
    /// No engine of the software version that began its stream was left.
    VersionGone,
    /// The box stopped before it could run the request.
    StoppingNotRun,
    /// The box stopped before the answer was complete.
    Stopping,
    /// The box ended the request without a complete answer and gave no reason for it.
    Unanswered,
    /// The log has no end of the request: the box was killed, lost power or still serves it.
    NoEnd,
}

impl Cause {
    /// Returns the cause in one sentence.
    #[must_use]
    pub fn sentence(self) -> &'static str {
        match self {
            Self::Answered => "The request was answered.",
            Self::EndpointError => "The endpoint answered with an error status.",
            Self::CallerDisconnected => "The caller disconnected before the answer was complete.",
            Self::NoConfiguration => "The box had not read a configuration yet.",
            Self::Quarantined => {
                "The request is quarantined because endpoints crashed while they ran it."
            }
            Self::NoRoute => "No route of the configuration in force matches its host and path.",
            Self::UnknownKey => "No organisation of the configuration in force has its key.",
            Self::NoEndpoint => "No endpoint of its service could accept it; it has not run.",
            Self::NoCapacity => {
                "No engine of its service was expected to have room for it in time; it has not run."
            }
            Self::ExpiredNotRun => {
                "Its deadline passed before an endpoint accepted it; it has not run."
            }
            Self::Expired => "Its deadline passed while an endpoint processed it.",
            Self::ConnectionLost => {
                "The connection to the endpoint broke after the request was sent, and it could not be retried."
            }
            Self::EndpointUnresponsive => {
                "The endpoint stopped responding after the request was sent, and it could not be retried."
            }
            Self::AnswerMalformed => {
                "The endpoint's answer was invalid, and the request could not be retried."
            }
            Self::UnknownVersion => {
                "No box knew which software version began its stream; it has not run."
            }
            Self::VersionGone => {
                "No engine of the software version that began its stream was left."
            }
            Self::StoppingNotRun => {
                "Its box stopped and could not complete it in time; it has not run."
            }
            Self::Stopping => "Its box stopped before its answer was complete.",
            Self::Unanswered => "Its box ended it without a complete answer and without a refusal.",
            Self::NoEnd => {
                "The log has no end of the request: its box was killed, lost power or still serves it."
            }
        }
    }

    /// Whether the caller did not receive a complete, successful answer.
    #[must_use]
    pub fn is_failure(self) -> bool {
        !matches!(self, Self::Answered)
    }
}

/// The log lines of one request and the cause of its end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Request id.
    pub request: String,
    /// Cause of the request's end.
    pub cause: Cause,
    /// Lines of all boxes in order of time.
    pub lines: Vec<TimedLine>,
}

/// Parses decision logs and sorts their lines by time. Lines that are not log lines are ignored.
#[must_use]
pub fn read<'a>(texts: impl IntoIterator<Item = &'a str>) -> Vec<TimedLine> {
    let lines = texts.into_iter().flat_map(str::lines);
    let mut read: Vec<TimedLine> = lines.filter_map(read_line).collect();
    read.sort_by(|a, b| {
        let by_time = a.seconds.total_cmp(&b.seconds);
        by_time.then(a.line.at.cmp(&b.line.at))
    });
    read
}

fn read_line(text: &str) -> Option<TimedLine> {
    let start = text.find('{')?;
    let line: LogLine = serde_json::from_str(text[start..].trim_end()).ok()?;
    let prefix = text[..start].split_whitespace().next();
    let seconds = prefix
        .and_then(|word| word.parse().ok())
        .unwrap_or_else(|| line.at.millis() as f64 / 1_000.0);
    Some(TimedLine { seconds, line })
}

/// Groups the lines by request; the traces are sorted by request id.
#[must_use]
pub fn traces(lines: &[TimedLine]) -> Vec<RequestTrace> {
    let mut by_request: BTreeMap<&str, Vec<TimedLine>> = BTreeMap::new();
    for line in lines {
        if let Some(request) = line.line.record.request() {
            by_request.entry(request).or_default().push(line.clone());
        }
    }
    let traces = by_request.into_iter().map(|(request, lines)| RequestTrace {
        request: request.to_owned(),
        cause: cause(&lines),
        lines,
    });
    traces.collect()
}

fn cause(lines: &[TimedLine]) -> Cause {
    let last_status = lines.iter().rev().find_map(|line| match &line.line.record {
        Record::Ended { status, .. } => Some(*status),
        _ => None,
    });
    let end = lines.iter().rev().find_map(|line| match &line.line.record {
        Record::Answered { .. } if last_status.is_some_and(|s| s >= LEAST_ERROR_STATUS) => {
            Some(Cause::EndpointError)
        }
        Record::Answered { .. } => Some(Cause::Answered),
        Record::CallerGone { .. } => Some(Cause::CallerDisconnected),
        Record::Refused { reason, fault, .. } => Some(refusal_cause(*reason, *fault)),
        // The refusal that cut the stream names the cause.
        Record::Unanswered { ended_by, .. } if *ended_by != EndedBy::Refusal => {
            Some(Cause::Unanswered)
        }
        _ => None,
    });
    end.unwrap_or(Cause::NoEnd)
}

fn refusal_cause(reason: RefusalReason, fault: Option<Fault>) -> Cause {
    match (reason, fault) {
        (RefusalReason::NoConfiguration, _) => Cause::NoConfiguration,
        (RefusalReason::NoRoute, _) => Cause::NoRoute,
        (RefusalReason::UnknownKey, _) => Cause::UnknownKey,
        (RefusalReason::NoEndpoint, _) => Cause::NoEndpoint,
        (RefusalReason::NoCapacity, _) => Cause::NoCapacity,
        (RefusalReason::ExpiredNotRun, _) => Cause::ExpiredNotRun,
        (RefusalReason::Expired, _) => Cause::Expired,
        (RefusalReason::Quarantined, _) => Cause::Quarantined,
        (RefusalReason::UnknownVersion, _) => Cause::UnknownVersion,
        (RefusalReason::VersionGone | RefusalReason::VersionLost, _) => Cause::VersionGone,
        (RefusalReason::StoppingNotRun, _) => Cause::StoppingNotRun,
        (RefusalReason::Stopping, _) => Cause::Stopping,
        (RefusalReason::EndpointFailed, Some(Fault::Silent)) => Cause::EndpointUnresponsive,
        (RefusalReason::EndpointFailed, Some(Fault::Malformed | Fault::Foreign)) => {
            Cause::AnswerMalformed
        }
        (RefusalReason::EndpointFailed, _) => Cause::ConnectionLost,
    }
}

impl RequestTrace {
    /// Formats the trace as text: one line per record with its time after the first, then the cause.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        let start = self.lines.first().map_or(0.0, |line| line.seconds);
        for line in &self.lines {
            let after_ms = (line.seconds - start) * 1_000.0;
            let sentence = line.line.record.sentence();
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                text,
                "  {after_ms:>9.1} ms  {}  {sentence}",
                line.line.r#box
            );
        }
        text.push_str(self.cause.sentence());
        text
    }
}
