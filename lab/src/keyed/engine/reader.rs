//! A connection that reads a stream of an engine, with the faults that show there.

use bytes::Bytes;
use magpiemoor::keyed::daemon::engines::{StreamEnd, StreamTokens};
use serde::Serialize;

use super::batch::Progress;
use super::{Engine, Fault};

/// One connection that reads a stream.
pub struct Reader {
    engine: Engine,
    name: String,
    next: usize,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.lock().batch.reader_left(&self.name);
    }
}

/// What a reader finds when it looks.
enum Look {
    /// An event.
    Event(Bytes),
    /// Nothing yet.
    Wait,
    /// The stream is gone or broken off.
    Gone,
}

impl Reader {
    /// Reads a stream from an offset on.
    #[must_use]
    pub fn new(engine: Engine, name: String, from: usize) -> Self {
        Self {
            engine,
            name,
            next: from,
            ended: false,
        }
    }

    /// Waits for the next event; `None` at the end.
    pub async fn next(&mut self) -> Option<Bytes> {
        let mut progress = self.engine.progress.subscribe();
        loop {
            if self.ended {
                return None;
            }
            match self.look() {
                Look::Gone => return None,
                Look::Wait => progress.changed().await.ok()?,
                Look::Event(event) => return Some(event),
            }
        }
    }

    fn look(&mut self) -> Look {
        let inner = self.engine.lock();
        let behaviour = &inner.behaviour;
        if behaviour.has(Fault::Frozen) {
            return Look::Wait;
        }
        let Some(Progress { tokens, finish }) = inner.batch.progress(&self.name, self.next) else {
            return Look::Gone;
        };
        if behaviour.break_after.is_some_and(|most| self.next >= most) {
            return Look::Gone;
        }
        if tokens.is_empty() {
            let Some(finish) = finish else {
                return Look::Wait;
            };
            self.ended = true;
            let end = StreamEnd {
                stream: self.name.clone(),
                finish,
            };
            return Look::Event(event_text("end", &end));
        }
        let mut name = self.name.clone();
        if behaviour.has(Fault::Crossed)
            && let Some(other) = inner.batch.other_than(&self.name)
        {
            name = other;
        }
        let sent = StreamTokens {
            stream: name,
            offset: self.next,
            tokens,
        };
        self.next += sent.tokens.len();
        let mut text = event_text("tokens", &sent).to_vec();
        if behaviour.has(Fault::Duplicate) {
            text.extend_from_within(..);
        }
        Look::Event(text.into())
    }
}

fn event_text(event: &str, data: &impl Serialize) -> Bytes {
    let data = serde_json::to_string(data).unwrap_or_default();
    Bytes::from(format!("event: {event}\ndata: {data}\n\n"))
}
