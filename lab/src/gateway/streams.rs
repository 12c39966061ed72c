//! A caller that reads a stream event by event, breaks off, and takes the stream up again.
//!
//! It notes which server made each event; servers name themselves in their events where their
//! [`Pace`](super::server::Pace) says so.

use std::collections::BTreeSet;
use std::time::Duration;

use super::caller::{Asked, connect};
use super::fleet::{BoxPlan, HOST, KEY, STREAMS};
use super::wire::Wire;

/// How long a caller waits for the next event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(8);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The stream is complete.
    Whole,
    /// The caller broke off.
    Left,
    /// The answer broke off, or none came.
    Broken,
    /// The box refused it, with this status.
    Refused(u16),
}

/// A stream, over the attempts of its caller.
#[derive(Clone, Debug)]
pub struct CallerStream {
    /// Its last prompt part, which its events repeat.
    pub part: String,
    /// The ids of the attempts so far.
    pub attempts: Vec<String>,
    /// The attempt that brought the first event.
    pub began: Option<String>,
    /// The events, each with the server that made it.
    pub events: Vec<(u64, String)>,
    /// What the last attempt brought of an event that is not whole.
    pub torn: String,
}

impl CallerStream {
    /// Creates a stream without attempts.
    #[must_use]
    pub fn new(part: &str) -> Self {
        Self {
            part: part.to_owned(),
            attempts: Vec::new(),
            began: None,
            events: Vec::new(),
            torn: String::new(),
        }
    }

    /// The number of the last event.
    #[must_use]
    pub fn last_event(&self) -> u64 {
        self.events.last().map_or(0, |(number, _)| *number)
    }

    /// The servers that made its events.
    #[must_use]
    pub fn servers(&self) -> BTreeSet<&str> {
        self.events.iter().map(|(_, by)| by.as_str()).collect()
    }

    /// Whether each event came once, in order.
    #[must_use]
    pub fn is_in_order(&self) -> bool {
        let numbers = self.events.iter().map(|(number, _)| *number);
        numbers.eq(1..=self.events.len() as u64)
    }

    /// Sends the next attempt and reads its events, until the caller has `leave_after` more or the
    /// answer ends.
    pub async fn attempt(&mut self, plan: &BoxPlan, leave_after: Option<usize>) -> Ended {
        let id = format!("{}-{}", self.part, self.attempts.len());
        self.attempts.push(id.clone());
        let asked = self.request(&id);
        let reading = self.read(plan, &asked, leave_after);
        reading.await.unwrap_or(Ended::Broken)
    }

    fn request(&self, id: &str) -> Asked {
        let resumes = self.began.as_ref();
        Asked {
            after_event: self.began.as_ref().map(|_| self.last_event()),
            more: resumes.map_or(String::new(), |began| format!("Resumes: {began}\r\n")),
            ..Asked::stream(&format!("{STREAMS}x"), id, &self.part)
        }
    }

    async fn read(
        &mut self,
        plan: &BoxPlan,
        asked: &Asked,
        leave_after: Option<usize>,
    ) -> std::io::Result<Ended> {
        let mut wire = connect(plan.callers).await?;
        wire.send(asked.bytes(HOST, KEY)).await?;
        let head = timely(wire.read_answer_head()).await?;
        if head.status() != 200 {
            return Ok(Ended::Refused(head.status()));
        }
        self.torn.clear();
        let mut read = 0;
        while leave_after.is_none_or(|most| read < most) {
            let Some(chunk) = timely(wire.read_chunk()).await? else {
                return Ok(Ended::Whole);
            };
            self.torn.push_str(&String::from_utf8_lossy(&chunk));
            read += self.take_events(&asked.id);
        }
        Wire::reset(wire);
        Ok(Ended::Left)
    }

    /// Moves the whole events that have come to the stream; returns their number.
    fn take_events(&mut self, attempt: &str) -> usize {
        let mut taken = 0;
        while let Some(end) = self.torn.find("\n\n") {
            let event: String = self.torn.drain(..end + 2).collect();
            let Some(event) = read_event(&event) else {
                continue;
            };
            self.began.get_or_insert_with(|| attempt.to_owned());
            self.events.push(event);
            taken += 1;
        }
        taken
    }
}

fn read_event(text: &str) -> Option<(u64, String)> {
    let number = text.lines().find_map(|line| line.strip_prefix("id: "))?;
    let (_, server) = text.trim_end().rsplit_once('@')?;
    Some((number.parse().ok()?, server.to_owned()))
}

async fn timely<T>(read: impl Future<Output = std::io::Result<T>>) -> std::io::Result<T> {
    tokio::time::timeout(EVENT_TIMEOUT, read).await?
}
