//! What to ask the platform's store next about one kind of objects, and how long to wait first.
//!
//! | state | next request | leaves it by |
//! |---|---|---|
//! | nothing known | list from the start | a page: listing, or listed if it was the last one |
//! | listing | list after the last name | the last page: watching from the revision of the first page |
//! | watching at a revision | watch from it | changes or none in time: watching at the revision that was answered |
//!
//! A failure, or a history that the store has forgotten, leads back to the first state after a
//! pause with backoff, so that no answer of the store can make a box ask without end. A watch that
//! was cut is followed by a list too: the changes may be gone meanwhile, and a watch from the old
//! revision waited 3 s in vain (lundavik scale-2, docs/FINDINGS.md).

use std::time::Duration;

use rand::Rng;

use crate::backoff::Backoff;
use crate::gateway::shell::dialect::{Entry, StorePage};

/// Pauses after failures. Without them a 404 was asked again at once: 65,493 calls in 34 s on the
/// first design's trial (docs/FINDINGS.md).
const STORE_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(50),
    longest: Duration::from_millis(800),
    most_doublings: 6,
    jitter: 0.5..1.0,
};

/// What to ask next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// List the objects after a name.
    List {
        /// The last name that is known.
        after: Option<String>,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        at: u64,
    },
}

/// The store's answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// What was asked for.
    Page(StorePage),
    /// The changes since that revision are no longer known.
    HistoryLost,
    /// Anything else.
    Failed,
}

/// What has changed in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// All objects.
    Listed(Vec<Entry>),
    /// Changes.
    Changed(Vec<Entry>),
}

/// What follows from an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NextStep {
    /// What has changed, if anything has.
    pub change: Option<StoreChange>,
    /// How long to wait before the next request.
    pub pause: Duration,
}

/// Follows one kind of objects.
#[derive(Debug, Default)]
pub struct Watcher {
    at: Option<u64>,
    listed: Vec<Entry>,
    list_at: Option<u64>,
    failures: u32,
}

impl Watcher {
    /// What to ask now.
    #[must_use]
    pub fn next_request(&self) -> StoreRequest {
        match self.at {
            Some(at) => StoreRequest::Watch { at },
            None => StoreRequest::List {
                after: self.listed.last().map(|e| e.name.clone()),
            },
        }
    }

    /// The store's revision that was read last, or 0.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.at.unwrap_or_default()
    }

    /// Whether the last answer was what was asked for.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.failures == 0
    }

    /// Takes in the answer to a step.
    pub fn on_answer(&mut self, answer: StoreAnswer, rng: &mut impl Rng) -> NextStep {
        match answer {
            // Without a name there is nothing to list the next objects after.
            StoreAnswer::Page(page) if self.is_stuck(&page) => {
                self.restart();
                self.failed(rng)
            }
            StoreAnswer::Page(page) => {
                self.failures = 0;
                NextStep {
                    change: self.on_page(page),
                    pause: Duration::ZERO,
                }
            }
            // A watch that was cut may have missed changes that the store no longer knows, and a
            // new one from the same revision may then wait in vain: only a list tells for sure.
            StoreAnswer::HistoryLost | StoreAnswer::Failed => {
                self.restart();
                self.failed(rng)
            }
        }
    }

    fn on_page(&mut self, page: StorePage) -> Option<StoreChange> {
        if self.at.is_some() {
            self.at = Some(page.at);
            return (!page.entries.is_empty()).then_some(StoreChange::Changed(page.entries));
        }
        // Changes that are made while later parts are read come again with the watch.
        self.list_at.get_or_insert(page.at);
        let is_empty = page.entries.is_empty();
        self.listed.extend(page.entries);
        if page.more && !is_empty {
            return None;
        }
        self.at = self.list_at.take();
        Some(StoreChange::Listed(std::mem::take(&mut self.listed)))
    }

    /// Whether a list goes on after a page of which no object has a name.
    fn is_stuck(&self, page: &StorePage) -> bool {
        self.at.is_none() && page.more && page.entries.is_empty() && !page.unnamed.is_empty()
    }

    fn restart(&mut self) {
        self.at = None;
        self.list_at = None;
        self.listed.clear();
    }

    fn failed(&mut self, rng: &mut impl Rng) -> NextStep {
        let pause = STORE_BACKOFF.pause(self.failures, rng);
        self.failures += 1;
        NextStep {
            change: None,
            pause,
        }
    }
}
