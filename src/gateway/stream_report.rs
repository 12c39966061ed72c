//! Statistics of a fleet's streams, from the decision logs of several boxes.
//!
//! The report covers the time to the first event beyond the prefill itself, the time between events,
//! the causes of pauses and of repeated prefills, the use of replicas, and the causes of the streams'
//! ends.
//!
//! Input are request traces ([`crate::gateway::explain`]); only what boxes logged is counted. A stream
//! whose box was killed has no end, and a caller's retry has an id of its own and so counts as another
//! stream.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::gateway::dispatch::fleet::usage::PREFILL_TOKENS_PER_MS;
use crate::gateway::dispatch::record::Record;
use crate::gateway::explain::{Cause, RequestTrace};

/// Maximum pause between events that the users' sites accept, as their requirements state.
pub const MAX_PAUSE: Duration = Duration::from_millis(700);

/// Upper bound of recorded times, 10 minutes. Longer times are clamped to it; no stream lasts longer.
const MAX_TIME_US: u64 = 600_000_000;

/// Quantiles of a time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// How a stream continued after an attempt that ended early or never ran.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Continuation {
    /// It resumed from a replica.
    FromReplica,
    /// Its prompt was prefilled again.
    #[serde(rename = "anew")]
    FromPrompt,
}

impl fmt::Display for Continuation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FromReplica => "from a replica",
            Self::FromPrompt => "prefilled again",
        })
    }
}

/// Numbers of replicas of one kind that were made and used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ReplicaUse {
    /// Replicas made: mirrors assigned to an attempt, or snapshots taken.
    pub made: u64,
    /// Snapshots that could not be taken.
    pub failed: u64,
    /// Attempts that were to resume from a replica.
    pub used: u64,
    /// Attempts that resumed from a replica and sent an event.
    pub served: u64,
}

/// A stream that paused for longer than [`MAX_PAUSE`] or was not answered successfully.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DisturbedStream {
    /// Request id.
    pub request: String,
    /// Box that wrote the first line.
    pub r#box: String,
    /// Time of the first line, in seconds of the logs.
    pub arrived: f64,
    /// Cause of the stream's end.
    pub end: Cause,
    /// Longest pause until a stream resumed, in milliseconds.
    pub longest_pause_ms: u64,
    /// Number of the last event in the log, if there was one.
    pub last_event: Option<u64>,
    /// Number of attempts.
    pub attempts: u32,
}

/// Statistics of the streams in the logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StreamReport {
    /// Number of streams, including those without an event.
    pub streams: u64,
    /// Time until the first event of a first attempt, minus the time that its prefill alone takes.
    pub first_event_over_prompt: Quantiles,
    /// Mean time between events of each stream that was served by a single attempt.
    pub event: Quantiles,
    /// Pauses of resumed streams, by the outcome of the previous attempt and by continuation.
    pub pauses: Vec<PauseCause>,
    /// Attempts that prefilled a prompt again after the stream's first event, by the outcome of the
    /// previous attempt.
    pub anew: BTreeMap<String, u64>,
    /// Use of mirrors.
    pub mirrors: ReplicaUse,
    /// Use of snapshots.
    pub snapshots: ReplicaUse,
    /// Number of streams by the cause of their end.
    pub ends: BTreeMap<Cause, u64>,
    /// Streams with a long pause or without a successful answer.
    pub disturbed: Vec<DisturbedStream>,
}

/// Pauses after the same outcome that continued in the same way.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PauseCause {
    /// Outcome of the previous attempt.
    pub after: String,
    /// How the streams continued.
    pub went_on: Continuation,
    /// Durations of the pauses.
    pub pauses: Quantiles,
    /// Number of pauses longer than [`MAX_PAUSE`].
    pub too_long: u64,
}

/// Histogram of times in microseconds.
#[derive(Debug)]
struct TimeHistogram(Histogram<u64>);

impl TimeHistogram {
    fn new() -> Self {
        // Cannot fail: the range and the three significant digits are valid constants.
        Self(Histogram::new_with_max(MAX_TIME_US, 3).expect("the histogram range is valid"))
    }

    fn add_ms(&mut self, ms: f64) {
        self.0.saturating_record((ms.max(0.0) * 1_000.0) as u64);
    }

    fn quantiles(&self) -> Quantiles {
        let ms = |micros: u64| micros as f64 / 1_000.0;
        Quantiles {
            count: self.0.len(),
            p50_ms: ms(self.0.value_at_quantile(0.5)),
            p90_ms: ms(self.0.value_at_quantile(0.9)),
            max_ms: ms(self.0.max()),
        }
    }
}

/// Statistics collected over all streams.
#[derive(Debug)]
struct ReportBuilder {
    report: StreamReport,
    first_event: TimeHistogram,
    event: TimeHistogram,
    pauses: BTreeMap<(String, Continuation), (TimeHistogram, u64)>,
}

/// State of a stream while its lines are read in order.
#[derive(Debug, Default)]
struct StreamState {
    /// Length of the prompt in tokens.
    prompt: u32,
    attempts: u32,
    /// Outcome of the previous attempt; empty for the first one.
    previous_outcome: String,
    /// How the last attempt continued.
    continuation: Option<Continuation>,
    /// Endpoints that hold snapshots.
    snapshot_hosts: Vec<String>,
    /// Replica from which the last attempt resumes.
    resumed_from: Option<ReplicaKind>,
    /// Time of the first event, in milliseconds after the arrival.
    first_event_ms: Option<u64>,
    longest_pause_ms: u64,
    last_event: Option<u64>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReplicaKind {
    Mirror,
    Snapshot,
}

/// Creates the report of all streams among the traces.
#[must_use]
pub fn report(traces: &[RequestTrace]) -> StreamReport {
    let mut builder = ReportBuilder {
        report: StreamReport::default(),
        first_event: TimeHistogram::new(),
        event: TimeHistogram::new(),
        pauses: BTreeMap::new(),
    };
    for trace in traces.iter().filter(|trace| is_stream(trace)) {
        builder.add(trace);
    }
    builder.finish()
}

/// Whether the trace is that of a stream; other requests have no prompt tokens.
fn is_stream(trace: &RequestTrace) -> bool {
    trace.lines.iter().any(|line| {
        matches!(&line.line.record, Record::Arrived { prompt, .. } if *prompt > 0)
            || matches!(&line.line.record, Record::Begun { .. })
    })
}

impl ReportBuilder {
    fn add(&mut self, trace: &RequestTrace) {
        let mut stream = StreamState::default();
        for line in &trace.lines {
            self.read(&mut stream, &line.line.record);
        }
        self.report.streams += 1;
        *self.report.ends.entry(trace.cause).or_default() += 1;
        let pause = Duration::from_millis(stream.longest_pause_ms);
        if pause <= MAX_PAUSE && !trace.cause.is_failure() {
            return;
        }
        let Some(first) = trace.lines.first() else {
            return;
        };
        self.report.disturbed.push(DisturbedStream {
            request: trace.request.clone(),
            r#box: first.line.r#box.clone(),
            arrived: first.seconds,
            end: trace.cause,
            longest_pause_ms: stream.longest_pause_ms,
            last_event: stream.last_event,
            attempts: stream.attempts,
        });
    }

    fn read(&mut self, stream: &mut StreamState, record: &Record) {
        match record {
            Record::Arrived { prompt, .. } => stream.prompt = *prompt,
            Record::Sent {
                endpoint,
                backup,
                from_backup,
                after_event,
                ..
            } => {
                stream.attempts += 1;
                self.report.mirrors.made += u64::from(backup.is_some());
                self.read_attempt(stream, endpoint, *from_backup, after_event.is_some());
            }
            Record::Begun { after_ms, .. } => self.read_first_event(stream, *after_ms),
            Record::Resumed { pause_ms, .. } => self.read_pause(stream, *pause_ms),
            Record::Ended {
                outcome,
                last_event,
                ..
            } => {
                stream.previous_outcome = outcome.clone().into_owned();
                stream.last_event = last_event.or(stream.last_event);
            }
            Record::Copied {
                holder, is_made, ..
            } => self.read_snapshot(stream, holder, *is_made),
            Record::Answered { after_ms, .. } => self.read_end(stream, *after_ms),
            _ => {}
        }
    }

    fn read_first_event(&mut self, stream: &mut StreamState, after_ms: u64) {
        stream.first_event_ms = Some(after_ms);
        if stream.attempts == 1 {
            let prefill_ms = f64::from(stream.prompt) / PREFILL_TOKENS_PER_MS;
            self.first_event.add_ms(after_ms as f64 - prefill_ms);
        }
    }

    fn read_snapshot(&mut self, stream: &mut StreamState, host: &str, is_made: bool) {
        let snapshots = &mut self.report.snapshots;
        if is_made {
            snapshots.made += 1;
            stream.snapshot_hosts.push(host.to_owned());
        } else {
            snapshots.failed += 1;
        }
    }

    fn read_attempt(
        &mut self,
        stream: &mut StreamState,
        endpoint: &str,
        from_replica: bool,
        has_events: bool,
    ) {
        if from_replica {
            stream.continuation = Some(Continuation::FromReplica);
            let kind = if stream.snapshot_hosts.iter().any(|host| host == endpoint) {
                ReplicaKind::Snapshot
            } else {
                ReplicaKind::Mirror
            };
            stream.resumed_from = Some(kind);
            self.replica_use(kind).used += 1;
            return;
        }
        stream.continuation = Some(Continuation::FromPrompt);
        stream.resumed_from = None;
        if has_events {
            // The key is part of the JSON output.
            let after = if stream.attempts == 1 {
                "caller came back".to_owned()
            } else {
                stream.previous_outcome.clone()
            };
            *self.report.anew.entry(after).or_default() += 1;
        }
    }

    fn replica_use(&mut self, kind: ReplicaKind) -> &mut ReplicaUse {
        match kind {
            ReplicaKind::Mirror => &mut self.report.mirrors,
            ReplicaKind::Snapshot => &mut self.report.snapshots,
        }
    }

    fn read_pause(&mut self, stream: &mut StreamState, pause_ms: u64) {
        stream.longest_pause_ms = stream.longest_pause_ms.max(pause_ms);
        if let Some(kind) = stream.resumed_from {
            self.replica_use(kind).served += 1;
        }
        let continuation = stream.continuation.unwrap_or(Continuation::FromPrompt);
        let key = (stream.previous_outcome.clone(), continuation);
        let (times, too_long) = self.pauses.entry(key).or_insert((TimeHistogram::new(), 0));
        times.add_ms(pause_ms as f64);
        if Duration::from_millis(pause_ms) > MAX_PAUSE {
            *too_long += 1;
        }
    }

    fn read_end(&mut self, stream: &StreamState, after_ms: u64) {
        let Some((first_event_ms, last)) = stream.first_event_ms.zip(stream.last_event) else {
            return;
        };
        if stream.attempts == 1 && last > 1 {
            let intervals = (last - 1) as f64;
            self.event
                .add_ms(after_ms.saturating_sub(first_event_ms) as f64 / intervals);
        }
    }

    fn finish(mut self) -> StreamReport {
        self.report.first_event_over_prompt = self.first_event.quantiles();
        self.report.event = self.event.quantiles();
        let causes = self.pauses.into_iter();
        let causes = causes.map(|((after, continuation), (times, too_long))| PauseCause {
            after,
            went_on: continuation,
            pauses: times.quantiles(),
            too_long,
        });
        self.report.pauses = causes.collect();
        self.report
    }
}

impl StreamReport {
    /// Formats the report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("streams: {}\n", self.streams);
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{:<44}{}", "", Quantiles::HEAD);
        let first = self.first_event_over_prompt;
        let _ = writeln!(
            text,
            "{:<44}{first}",
            "time to first event, less the prefill"
        );
        let _ = writeln!(text, "{:<44}{}", "time between events", self.event);
        for cause in &self.pauses {
            let label = format!("pause after {}, {}", cause.after, cause.went_on);
            let long = cause.too_long;
            let limit = MAX_PAUSE.as_millis();
            let _ = writeln!(text, "{label:<44}{}  over {limit} ms: {long}", cause.pauses);
        }
        for (after, count) in &self.anew {
            let _ = writeln!(text, "prompt prefilled again after {after}: {count}");
        }
        for (name, replicas) in [("mirrors", self.mirrors), ("snapshots", self.snapshots)] {
            let _ = writeln!(text, "{name}: {replicas}");
        }
        for (cause, count) in &self.ends {
            let _ = writeln!(text, "{count:>6}  {}", cause.sentence());
        }
        let _ = write!(
            text,
            "streams with a long pause or without an answer (listed by --json): {}",
            self.disturbed.len()
        );
        text
    }
}

impl Quantiles {
    const HEAD: &'static str = "  count     p50 ms       p90 ms      max ms";
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            p50_ms,
            p90_ms,
            max_ms,
        } = self;
        write!(f, "{count:>7}{p50_ms:>11.1}{p90_ms:>13.1}{max_ms:>12.1}")
    }
}

impl fmt::Display for ReplicaUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            made,
            failed,
            used,
            served,
        } = self;
        write!(
            f,
            "{made} made, {failed} failed, {used} resumed from, {served} of these served"
        )
    }
}
