//! How a fleet's streams went, from the decision logs of several boxes.
//!
//! Tells how long first events took beyond the prompt itself, how fast events came, why streams
//! paused or had their prompt read again, which replicas served, and how streams ended. It counts
//! what boxes wrote: a stream whose box was killed has no end, and a caller's second try has an id
//! of its own and so counts as another stream.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::gateway::dispatch::fleet::usage::PREFILL_TOKENS_PER_MS;
use crate::gateway::dispatch::record::Record;
use crate::gateway::explain::{Cause, RequestTrace};

/// The longest pause between events that callers of the users' sites accept (their sheets).
pub const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Times beyond this count as this: ten minutes, longer than any stream lasts.
const LONGEST_TIME_US: u64 = 600_000_000;

/// Quantiles of a time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How many were counted.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// Nine tenths lie under it.
    pub p90_ms: f64,
    /// The greatest.
    pub max_ms: f64,
}

/// How a stream went on after an attempt that ended early or never ran.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Continuation {
    /// It went on from a replica.
    FromReplica,
    /// Its prompt was read again.
    Anew,
}

impl fmt::Display for Continuation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FromReplica => "from a replica",
            Self::Anew => "prompt read again",
        })
    }
}

/// How many replicas of a kind were made, and gone on from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ReplicaUse {
    /// Replicas that were made: mirrors named with an attempt, or snapshots taken.
    pub made: u64,
    /// Snapshots that could not be taken.
    pub failed: u64,
    /// Attempts that went on from one.
    pub used: u64,
    /// Those of them whose first event came.
    pub served: u64,
}

/// One stream that was disturbed: late, paused for too long, or without a whole answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DisturbedStream {
    /// The request.
    pub request: String,
    /// Its box.
    pub r#box: String,
    /// When it arrived, in seconds of the logs.
    pub arrived: f64,
    /// How it ended.
    pub end: Cause,
    /// The longest pause before an attempt's first event, in milliseconds.
    pub longest_pause_ms: u64,
    /// The last event that its box wrote of, if any came.
    pub last_event: Option<u64>,
    /// Attempts that were made.
    pub attempts: u32,
}

/// How the streams of some logs went.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StreamReport {
    /// Streams that began or were to begin.
    pub streams: u64,
    /// Time until the first event of a first attempt, less the time that its prompt takes alone.
    pub first_event_over_prompt: Spread,
    /// Time from one event to the next, over a whole stream of a single attempt.
    pub event: Spread,
    /// Pauses of streams that went on at another engine, by how the attempt before ended and how
    /// it went on.
    pub pauses: Vec<PauseCause>,
    /// Attempts that read the prompt of a stream again after its first event, by how the one
    /// before ended.
    pub anew: BTreeMap<String, u64>,
    /// Mirrors.
    pub mirrors: ReplicaUse,
    /// Snapshots.
    pub snapshots: ReplicaUse,
    /// Streams by how they ended.
    pub ends: BTreeMap<Cause, u64>,
    /// Streams that were disturbed.
    pub disturbed: Vec<DisturbedStream>,
}

/// Pauses of one cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PauseCause {
    /// How the attempt before ended.
    pub after: String,
    /// How the stream went on.
    pub went_on: Continuation,
    /// The pauses.
    pub pauses: Spread,
    /// Those longer than [`LONGEST_PAUSE`].
    pub too_long: u64,
}

/// Times that are gathered for one spread.
#[derive(Debug)]
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Self {
        // A constant range and three digits: this can't fail.
        Self(Histogram::new_with_max(LONGEST_TIME_US, 3).expect("the range is sound"))
    }

    fn add_ms(&mut self, ms: f64) {
        self.0.saturating_record((ms.max(0.0) * 1_000.0) as u64);
    }

    fn spread(&self) -> Spread {
        let ms = |micros: u64| micros as f64 / 1_000.0;
        Spread {
            count: self.0.len(),
            p50_ms: ms(self.0.value_at_quantile(0.5)),
            p90_ms: ms(self.0.value_at_quantile(0.9)),
            max_ms: ms(self.0.max()),
        }
    }
}

/// What is gathered over all streams.
#[derive(Debug)]
struct Gathered {
    report: StreamReport,
    first_event: Times,
    event: Times,
    pauses: BTreeMap<(String, Continuation), (Times, u64)>,
}

/// What is known of a stream so far, as its lines are read in order.
#[derive(Debug, Default)]
struct Progress {
    prompt: u32,
    attempts: u32,
    /// How the attempt before ended; empty for the first one.
    after: String,
    /// How the last attempt went on.
    went_on: Option<Continuation>,
    /// Hosts of snapshots.
    snapshots: Vec<String>,
    /// What the last attempt went on from.
    resumed_from: Option<ReplicaKind>,
    begun_ms: Option<u64>,
    longest_pause_ms: u64,
    last_event: Option<u64>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReplicaKind {
    Mirror,
    Snapshot,
}

/// Makes the report of all streams among some traces.
#[must_use]
pub fn report(traces: &[RequestTrace]) -> StreamReport {
    let mut gathered = Gathered {
        report: StreamReport::default(),
        first_event: Times::new(),
        event: Times::new(),
        pauses: BTreeMap::new(),
    };
    for trace in traces.iter().filter(|trace| is_stream(trace)) {
        gathered.add(trace);
    }
    gathered.finish()
}

/// Whether a trace is that of a stream: only prompts have tokens.
fn is_stream(trace: &RequestTrace) -> bool {
    trace.lines.iter().any(|line| {
        matches!(&line.line.record, Record::Arrived { prompt, .. } if *prompt > 0)
            || matches!(&line.line.record, Record::Begun { .. })
    })
}

impl Gathered {
    fn add(&mut self, trace: &RequestTrace) {
        let mut progress = Progress::default();
        for line in &trace.lines {
            self.read(&mut progress, &line.line.record);
        }
        self.report.streams += 1;
        *self.report.ends.entry(trace.cause).or_default() += 1;
        let pause = Duration::from_millis(progress.longest_pause_ms);
        if pause <= LONGEST_PAUSE && !trace.cause.is_failure() {
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
            longest_pause_ms: progress.longest_pause_ms,
            last_event: progress.last_event,
            attempts: progress.attempts,
        });
    }

    fn read(&mut self, progress: &mut Progress, record: &Record) {
        match record {
            Record::Arrived { prompt, .. } => progress.prompt = *prompt,
            Record::Sent {
                endpoint,
                backup,
                from_backup,
                after_event,
                ..
            } => {
                progress.attempts += 1;
                self.report.mirrors.made += u64::from(backup.is_some());
                self.read_attempt(progress, endpoint, *from_backup, after_event.is_some());
            }
            Record::Begun { after_ms, .. } => self.read_begin(progress, *after_ms),
            Record::Resumed { pause_ms, .. } => self.read_pause(progress, *pause_ms),
            Record::Ended {
                outcome,
                last_event,
                ..
            } => {
                progress.after = outcome.clone().into_owned();
                progress.last_event = last_event.or(progress.last_event);
            }
            Record::Copied {
                holder, is_made, ..
            } => self.read_snapshot(progress, holder, *is_made),
            Record::Answered { after_ms, .. } => self.read_end(progress, *after_ms),
            _ => {}
        }
    }

    fn read_begin(&mut self, progress: &mut Progress, after_ms: u64) {
        progress.begun_ms = Some(after_ms);
        if progress.attempts == 1 {
            let alone = f64::from(progress.prompt) / PREFILL_TOKENS_PER_MS;
            self.first_event.add_ms(after_ms as f64 - alone);
        }
    }

    fn read_snapshot(&mut self, progress: &mut Progress, host: &str, is_made: bool) {
        let snapshots = &mut self.report.snapshots;
        if is_made {
            snapshots.made += 1;
            progress.snapshots.push(host.to_owned());
        } else {
            snapshots.failed += 1;
        }
    }

    fn read_attempt(
        &mut self,
        progress: &mut Progress,
        endpoint: &str,
        from_replica: bool,
        has_begun: bool,
    ) {
        if from_replica {
            progress.went_on = Some(Continuation::FromReplica);
            let kind = if progress.snapshots.iter().any(|host| host == endpoint) {
                ReplicaKind::Snapshot
            } else {
                ReplicaKind::Mirror
            };
            progress.resumed_from = Some(kind);
            self.replica_use(kind).used += 1;
            return;
        }
        progress.went_on = Some(Continuation::Anew);
        progress.resumed_from = None;
        if has_begun {
            let after = if progress.attempts == 1 {
                "caller came back".to_owned()
            } else {
                progress.after.clone()
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

    fn read_pause(&mut self, progress: &mut Progress, pause_ms: u64) {
        progress.longest_pause_ms = progress.longest_pause_ms.max(pause_ms);
        if let Some(kind) = progress.resumed_from {
            self.replica_use(kind).served += 1;
        }
        let went_on = progress.went_on.unwrap_or(Continuation::Anew);
        let key = (progress.after.clone(), went_on);
        let (times, too_long) = self.pauses.entry(key).or_insert((Times::new(), 0));
        times.add_ms(pause_ms as f64);
        if Duration::from_millis(pause_ms) > LONGEST_PAUSE {
            *too_long += 1;
        }
    }

    fn read_end(&mut self, progress: &Progress, after_ms: u64) {
        let Some((begun, last)) = progress.begun_ms.zip(progress.last_event) else {
            return;
        };
        if progress.attempts == 1 && last > 1 {
            let events = (last - 1) as f64;
            self.event
                .add_ms(after_ms.saturating_sub(begun) as f64 / events);
        }
    }

    fn finish(mut self) -> StreamReport {
        self.report.first_event_over_prompt = self.first_event.spread();
        self.report.event = self.event.spread();
        let causes = self.pauses.into_iter();
        let causes = causes.map(|((after, went_on), (times, too_long))| PauseCause {
            after,
            went_on,
            pauses: times.spread(),
            too_long,
        });
        self.report.pauses = causes.collect();
        self.report
    }
}

impl StreamReport {
    /// The report as a table for a person.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("streams: {}\n", self.streams);
        // Writing to a string does not fail.
        let _ = writeln!(text, "{:<44}{}", "", Spread::HEAD);
        let first = self.first_event_over_prompt;
        let _ = writeln!(
            text,
            "{:<44}{first}",
            "first event, over the prompt's own time"
        );
        let _ = writeln!(text, "{:<44}{}", "from one event to the next", self.event);
        for cause in &self.pauses {
            let label = format!("pause after {}, {}", cause.after, cause.went_on);
            let long = cause.too_long;
            let limit = LONGEST_PAUSE.as_millis();
            let _ = writeln!(text, "{label:<44}{}  over {limit} ms: {long}", cause.pauses);
        }
        for (after, count) in &self.anew {
            let _ = writeln!(text, "prompt read again after {after}: {count}");
        }
        for (name, replicas) in [("mirrors", self.mirrors), ("snapshots", self.snapshots)] {
            let _ = writeln!(text, "{name}: {replicas}");
        }
        for (cause, count) in &self.ends {
            let _ = writeln!(text, "{count:>6}  {}", cause.sentence());
        }
        let _ = write!(
            text,
            "disturbed, by JSON one by one: {}",
            self.disturbed.len()
        );
        text
    }
}

impl Spread {
    const HEAD: &'static str = "  count  median ms      9 in 10     longest";
}

impl fmt::Display for Spread {
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
            "{made} made, {failed} failed, {used} gone on from, {served} of these served"
        )
    }
}
