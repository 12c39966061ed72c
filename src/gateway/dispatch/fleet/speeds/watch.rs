//! What one attempt at an engine may tell of the engine's speeds.
//!
//! The first event of an attempt tells the prefill rate only if nothing else was prefilled at the
//! engine meanwhile, and the events after it tell the time per token only under the same condition.
//! [`PromptLog`] says whether this box heard of other prompts.

use std::time::Duration;

use crate::schema::Micros;

/// Lowest prefill rate, in tokens per ms, at which a prompt that a box reported may still be
/// prefilled: half the usual one. The end of a prefill isn't reported.
const SLOWEST_RATE: f64 = 2.5;
/// Events of a stream over which their time is averaged.
const WATCHED_EVENTS: u64 = 16;

/// The prompts that this box knows to be prefilled at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PromptLog {
    /// Number of prompts reported or sent so far.
    count: u32,
    /// When the last one is certainly prefilled.
    busy_until: Micros,
}

impl PromptLog {
    /// Adds a prompt that this box sends, or that a peer reports.
    pub fn add(&mut self, tokens: u32, now: Micros) {
        self.count = self.count.wrapping_add(1);
        let time = Duration::from_secs_f64(f64::from(tokens) / SLOWEST_RATE / 1_000.0);
        self.busy_until = self.busy_until.max(now.after(time));
    }

    fn is_quiet(self, now: Micros) -> bool {
        now >= self.busy_until
    }
}

/// Measurement of the speeds of an engine during one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptWatch {
    /// The number of prompts at the engine since the start, if the attempt waits behind nothing.
    first_event: Option<u32>,
    events: EventWatch,
}

/// The events after the first one.
#[derive(Clone, Copy, Debug, Default)]
enum EventWatch {
    /// No events are timed yet.
    #[default]
    Idle,
    /// Events since `first` are timed.
    Timing {
        since: Micros,
        first: u64,
        prompts: u32,
    },
    /// Events were timed once: one attempt isn't observed more often, because that would displace
    /// what others observed.
    Done,
}

impl AttemptWatch {
    /// Starts with an attempt that prefills a prompt; `before` is the log without that prompt.
    pub(super) fn start(before: PromptLog, is_idle: bool, now: Micros) -> Self {
        let is_clean = is_idle && before.is_quiet(now);
        Self {
            first_event: is_clean.then(|| before.count.wrapping_add(1)),
            events: EventWatch::Idle,
        }
    }

    /// Whether the first event, which arrives now, tells the prefill rate. The engine prefills
    /// nothing else then.
    pub(super) fn on_first_event(&mut self, prompts: &mut PromptLog, now: Micros) -> bool {
        let is_clean = self.first_event.take() == Some(prompts.count);
        if is_clean {
            prompts.busy_until = now;
        }
        is_clean
    }

    /// The time per event, once enough events came while no prompt was prefilled.
    pub(super) fn on_event(
        &mut self,
        prompts: PromptLog,
        event: u64,
        now: Micros,
    ) -> Option<Duration> {
        let begin = || EventWatch::Timing {
            since: now,
            first: event,
            prompts: prompts.count,
        };
        match self.events {
            EventWatch::Done => {}
            EventWatch::Timing {
                since,
                first,
                prompts: known,
            } if known == prompts.count => {
                let events = event.saturating_sub(first);
                if events >= WATCHED_EVENTS {
                    self.events = EventWatch::Idle;
                    return Some(now.since(since).div_f64(events as f64));
                }
            }
            EventWatch::Idle if prompts.is_quiet(now) => self.events = begin(),
            EventWatch::Idle | EventWatch::Timing { .. } => self.events = EventWatch::Idle,
        }
        None
    }

    /// Whether nothing more can be learned from the events of the attempt.
    #[must_use]
    pub fn is_done(&self) -> bool {
        matches!(self.events, EventWatch::Done)
    }

    /// Ends the timing of events.
    pub(super) fn on_events_observed(&mut self) {
        self.events = EventWatch::Done;
    }
}
