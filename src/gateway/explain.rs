//! Explains a request from the decision logs of several boxes: its records in order, and the cause
//! in one sentence.
//!
//! The logs may be plain files or the output of a tool that puts a time and a name before each
//! line; such a time goes before that of the line, since all lines have it from one clock.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::gateway::dispatch::event::{Fault, LEAST_ERROR_STATUS};
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::RefusalReason;
use crate::schema::HybridTime;

/// One line of a decision log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogLine {
    /// When it was written, comparable over all boxes.
    pub at: HybridTime,
    /// The box.
    pub r#box: String,
    /// What it wrote.
    #[serde(flatten)]
    pub record: Record,
}

/// A line with the time that it is ordered by.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimedLine {
    /// Seconds.
    pub seconds: f64,
    /// The line.
    #[serde(flatten)]
    pub line: LogLine,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was answered.
    Answered,
    /// The endpoint's own answer was an error, and it was passed on.
    EndpointError,
    /// Its caller left.
    CallerGone,
    /// Its box had no configuration.
    NoConfiguration,
    /// No route has its host and path.
    NoRoute,
    /// Nobody holds its key.
    UnknownKey,
    /// No endpoint could take it.
    NoEndpoint,
    /// Its time was over before it ran.
    ExpiredNotRun,
    /// Its time was over, and it may have run.
    Expired,
    /// The endpoint's connection broke, and it may not be repeated or no retry was left.
    ConnectionLost,
    /// The endpoint fell silent, and it may not be repeated or no retry was left.
    EndpointSilent,
    /// The endpoint's answer was spoilt, and it may not be repeated or no retry was left.
    AnswerSpoilt,
    /// Endpoints ended under it, so it was sent to no more.
    Quarantined,
    /// Its box wrote no end: it was killed, lost power, or still serves it.
    NoEnd,
}

impl Cause {
    /// The cause in one sentence.
    #[must_use]
    pub fn sentence(self) -> &'static str {
        match self {
            Self::Answered => "It was answered.",
            Self::EndpointError => "The endpoint answered with an error of its own.",
            Self::CallerGone => "The caller left before the answer was complete.",
            Self::NoConfiguration => "The box had read no configuration yet.",
            Self::Quarantined => "Endpoints ended under it, so it is quarantined.",
            Self::NoRoute => "No route of the configuration in force has its host and path.",
            Self::UnknownKey => "Nobody holds its key in the configuration in force.",
            Self::NoEndpoint => "No endpoint of its service could take it; it has not run.",
            Self::ExpiredNotRun => "Its time was over before any endpoint took it; it has not run.",
            Self::Expired => "Its time was over while an endpoint worked on it.",
            Self::ConnectionLost => {
                "The connection to the endpoint broke after it was sent, and it could not be repeated."
            }
            Self::EndpointSilent => {
                "The endpoint fell silent after it was sent, and it could not be repeated."
            }
            Self::AnswerSpoilt => "The endpoint's answer was spoilt, and it could not be repeated.",
            Self::NoEnd => {
                "Its box wrote no end of it: the box was killed or lost power, or serves it still."
            }
        }
    }

    /// Whether the caller got less than its answer.
    #[must_use]
    pub fn is_failure(self) -> bool {
        !matches!(self, Self::Answered)
    }
}

/// The trace of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestTrace {
    /// The request.
    pub request: String,
    /// How it ended.
    pub cause: Cause,
    /// Its lines, in order.
    pub lines: Vec<TimedLine>,
}

/// Reads decision logs; lines that are none are left out.
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

/// Gathers the lines of each request into its trace.
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
        Record::CallerGone { .. } => Some(Cause::CallerGone),
        Record::Refused { reason, fault, .. } => Some(refusal_cause(*reason, *fault)),
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
        (RefusalReason::ExpiredNotRun, _) => Cause::ExpiredNotRun,
        (RefusalReason::Expired, _) => Cause::Expired,
        (RefusalReason::Quarantined, _) => Cause::Quarantined,
        (RefusalReason::EndpointFailed, Some(Fault::Silent)) => Cause::EndpointSilent,
        (RefusalReason::EndpointFailed, Some(Fault::Malformed | Fault::Foreign)) => {
            Cause::AnswerSpoilt
        }
        (RefusalReason::EndpointFailed, _) => Cause::ConnectionLost,
    }
}

impl RequestTrace {
    /// The trace for a person.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        let start = self.lines.first().map_or(0.0, |line| line.seconds);
        for line in &self.lines {
            let after = (line.seconds - start) * 1_000.0;
            let said = line.line.record.sentence();
            // Writing to a string does not fail.
            let _ = writeln!(text, "  {after:>9.1} ms  {}  {said}", line.line.r#box);
        }
        text.push_str(self.cause.sentence());
        text
    }
}
