//! What is to happen, in the order of its time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use magpiemoor::schema::Micros;

/// What is to happen, and when.
#[derive(Debug)]
pub struct Mailbox<M> {
    /// The present.
    pub now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    contents: HashMap<u64, M>,
    posted: u64,
}

impl<M> Mailbox<M> {
    /// An empty one.
    pub fn new(now: Micros) -> Self {
        Self {
            now,
            queue: BinaryHeap::new(),
            contents: HashMap::new(),
            posted: 0,
        }
    }

    /// Has something happen after a while.
    pub fn post(&mut self, after: Duration, mail: M) {
        self.posted += 1;
        self.queue
            .push(Reverse((self.now.after(after), self.posted)));
        self.contents.insert(self.posted, mail);
    }

    /// What happens next, which becomes the present; nothing once `end` has passed.
    pub fn next(&mut self, end: Micros) -> Option<M> {
        let Reverse((at, number)) = self.queue.pop()?;
        if at > end {
            return None;
        }
        self.now = at;
        self.contents.remove(&number)
    }
}
