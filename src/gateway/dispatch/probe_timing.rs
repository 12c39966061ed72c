//! When an engine that sends nothing is probed, and how long the probe may take.
//!
//! | attempt | what is known | probed after | timeout of the probe |
//! |---|---|---|---|
//! | has events | no prompt is prefilled at the engine | [`PAUSE_BEFORE_PROBE`] | the rest of [`SILENCE_LIMIT`] |
//! | has events | prompts are prefilled there ([`super::fleet::Fleet::reads_prompts`]) | [`PAUSE_DURING_PREFILL`] | the rest of [`SILENCE_LIMIT`] |
//! | no event yet | the engine was lost lately, or the stream resumes | [`PAUSE_BEFORE_PROBE_IN_PREFILL`] | [`PROBE_LIMIT`] |
//! | no event yet | otherwise | the same, and no earlier than [`first_event_due`] | [`PROBE_LIMIT`] |
//!
//! A probe has a cost at the engine and is only sent if the engine may have failed. In both cases
//! with events an engine that is out of contact is left after the same time: a longer pause leaves a shorter
//! timeout. Before the first event a loss may be noticed later, up to the last moment at which
//! another engine can still prefill the prompt within the latency objective.
//!
//! Alternative: the longer pause in all streams. Its shorter timeout would also be used where a
//! pause is not expected, and a slow answer would be taken for a loss more often.

use std::time::Duration;

use super::fleet::usage::PREFILL_TOKENS_PER_MS;
use super::request::{ActiveAttempt, Request};
use crate::schema::Micros;

/// Maximum time without an event of a stream before its engine is probed. Under one load with
/// outages, 160 ms gave 25,545 probes and 32 streams whose prompt was prefilled again; 200 ms gave
/// 19,940 and 23.
pub(super) const PAUSE_BEFORE_PROBE: Duration = Duration::from_millis(200);
/// The same while prompts are prefilled at the engine. An event holds 5 to 8 tokens, and a token
/// takes up to 31 ms then, so pauses of 145 to 250 ms are normal.
const PAUSE_DURING_PREFILL: Duration = Duration::from_millis(250);
/// Time after which an engine that is out of contact is left: half of the longest pause in a stream that
/// callers accept (700 ms).
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(350);
/// Minimum time before the first event before the engine is probed.
pub(super) const PAUSE_BEFORE_PROBE_IN_PREFILL: Duration = Duration::from_millis(700);
/// Timeout of a probe before the first event.
pub(super) const PROBE_LIMIT: Duration = Duration::from_millis(150);
/// Time in which prompts are prefilled at the slowest engines (0.7 times the usual speed), relative
/// to the usual time.
pub(super) const SLOW_PREFILL: f64 = 1.5;
/// Time that is left for a probe, a tick, a connection and the queue of another engine.
const MOVE_TIME: Duration = Duration::from_millis(500);

/// The pause before a probe, and the timeout of the probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ProbeTiming {
    pub pause: Duration,
    pub limit: Duration,
}

/// Returns the timing for an attempt; `reads_prompts` means that prompts are known to be prefilled
/// at its engine.
pub(super) fn probe_timing(active: &ActiveAttempt, reads_prompts: bool) -> ProbeTiming {
    if !active.has_events {
        return ProbeTiming {
            pause: PAUSE_BEFORE_PROBE_IN_PREFILL,
            limit: PROBE_LIMIT,
        };
    }
    let pause = if reads_prompts {
        PAUSE_DURING_PREFILL
    } else {
        PAUSE_BEFORE_PROBE
    };
    ProbeTiming {
        pause,
        limit: SILENCE_LIMIT.saturating_sub(pause),
    }
}

/// Returns the usual time to prefill prompts.
pub(super) fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1_000.0)
}

/// Returns until when the first event of an attempt is not missed: a slow engine may still prefill
/// its prompt and those before it, or another engine could still serve it within the objective.
pub(super) fn first_event_due(request: &Request, active: &ActiveAttempt) -> Micros {
    let tokens = active.prefill.saturating_add(active.queued_prefill);
    let expected = active
        .started
        .after(prefill_time(tokens).mul_f64(SLOW_PREFILL));
    let elsewhere = prefill_time(request.arrival.prompt.0) + MOVE_TIME;
    let latest = request
        .arrived
        .after(request.route.objective.saturating_sub(elsewhere));
    expected.min(latest)
}
