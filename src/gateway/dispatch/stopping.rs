//! What a stopping box does with the requests that it holds.

use std::borrow::Cow;
use std::time::Duration;

use super::Dispatcher;
use super::event::RequestNumber;
use super::record::Record;
use super::request::{Request, millis};

/// What a request waits for at this box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// Room at an engine.
    Room,
    /// An endpoint that can take it.
    Placement,
    /// A retry: the budget, or the verdict on the crash of its last endpoint.
    Retry,
    /// The version of the stream that it continues.
    Version,
    /// The engine that keeps its prompt.
    Prompt,
    /// The first part of an answer from its endpoint.
    Attempt,
    /// The rest of its stream.
    Stream,
}

impl Holder {
    /// Returns the word in the decision log.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Placement => "placement",
            Self::Retry => "retry",
            Self::Version => "version",
            Self::Prompt => "prompt",
            Self::Attempt => "attempt",
            Self::Stream => "stream",
        }
    }
}

impl Dispatcher {
    /// Begins the stop of this box, which exits after `grace` at the latest.
    pub(super) fn on_stop(&mut self, grace: Duration) {
        self.stop_deadline = Some(self.now.after(grace));
        let numbers: Vec<RequestNumber> = self.requests.keys().copied().collect();
        for number in numbers {
            self.record_held(number);
        }
    }

    /// What a request waits for at this box.
    fn holder_of(&self, number: RequestNumber, request: &Request) -> Holder {
        if request.active.is_some() {
            return if request.has_begun {
                Holder::Stream
            } else {
                Holder::Attempt
            };
        }
        if self.room_waits.is_waiting(&request.service, number) {
            Holder::Room
        } else if request.retry_at.is_some() {
            Holder::Retry
        } else if request.next_placement.is_some() {
            Holder::Placement
        } else if self.stream_versions.is_looked_up(number) {
            Holder::Version
        } else {
            Holder::Prompt
        }
    }

    /// Records what a request waits for, and how long that may take.
    fn record_held(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let holder = self.holder_of(number, request);
        let place = match holder {
            Holder::Room => self.place_of(&request.service, number),
            _ => None,
        };
        let wait = place.and_then(|place| self.expected_wait(&request.service, place));
        let grace_left = self.stop_deadline.map(|at| at.since(self.now));
        let record = Record::Held {
            request: request.arrival.id.clone(),
            holder: Cow::Borrowed(holder.word()),
            after_ms: request.age_ms(self.now),
            place,
            wait_ms: wait.map(millis),
            run_ms: millis(self.stream_time.expected()),
            grace_ms: millis(grace_left.unwrap_or_default()),
        };
        self.record(record);
    }
}
