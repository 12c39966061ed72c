//! State machine that decides the next request to the platform's store for one kind of object, and
//! the delay before it.
//!
//! | state | next request | transition |
//! |---|---|---|
//! | nothing known | list from the start | a page: listing, or watching if it is the last page |
//! | listing | list after the last name | the last page: watching from the revision of the first page |
//! | watching at a revision | watch from it | changes, or none in time: watching at the answer's revision |
//!
//! A failure, or a revision older than the store's history, leads back to the first state after a
//! delay with backoff, so that no answer of the store makes a box send requests in a tight loop. An
//! interrupted watch is followed by a list too: the store may have dropped the changes meanwhile,
//! and a new watch from the old revision waited 3 s in vain.

use std::time::Duration;

use rand::Rng;

use crate::backoff::Backoff;
use crate::gateway::shell::dialect::{Entry, StorePage};

/// Delays after failures. Without them a request answered with 404 was repeated at once: 65,493
/// calls in 34 s.
const STORE_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(50),
    longest: Duration::from_millis(800),
    max_doublings: 6,
    jitter: 0.5..1.0,
};

/// A request to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// Lists the objects after a name.
    List {
        /// The last name of the pages so far; `None` lists from the start.
        after: Option<String>,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The last revision that was read.
        revision: u64,
    },
}

/// The store's answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// A page of a list, or the changes of a watch.
    Page(StorePage),
    /// The store no longer has the changes since that revision.
    HistoryLost,
    /// No answer, or an error.
    Failed,
}

/// A change of the store's objects of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// All objects that exist; those not listed are removed.
    Listed(Vec<Entry>),
    /// The objects that were changed or removed.
    Changed(Vec<Entry>),
}

/// The result of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NextStep {
    /// The change, if there is any.
    pub change: Option<StoreChange>,
    /// Delay before the next request.
    pub pause: Duration,
}

/// The state of following one kind of object.
#[derive(Debug, Default)]
pub struct Watcher {
    revision: Option<u64>,
    listed: Vec<Entry>,
    list_revision: Option<u64>,
    failures: u32,
}

impl Watcher {
    /// The request to send now.
    #[must_use]
    pub fn next_request(&self) -> StoreRequest {
        match self.revision {
            Some(revision) => StoreRequest::Watch { revision },
            None => StoreRequest::List {
                after: self.listed.last().map(|e| e.name.clone()),
            },
        }
    }

    /// The last revision that was read, or 0 before the first complete list.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision.unwrap_or_default()
    }

    /// Whether the last request succeeded; true before the first one.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.failures == 0
    }

    /// Applies the answer to the last request.
    pub fn on_answer(&mut self, answer: StoreAnswer, rng: &mut impl Rng) -> NextStep {
        match answer {
            // The next page can only be requested after a name.
            StoreAnswer::Page(page) if self.cannot_continue(&page) => {
                self.restart();
                self.back_off(rng)
            }
            StoreAnswer::Page(page) => {
                self.failures = 0;
                NextStep {
                    change: self.on_page(page),
                    pause: Duration::ZERO,
                }
            }
            // An interrupted watch may have missed changes that the store has dropped since, and a
            // new watch from the same revision would then wait in vain; a list is reliable.
            StoreAnswer::HistoryLost | StoreAnswer::Failed => {
                self.restart();
                self.back_off(rng)
            }
        }
    }

    fn on_page(&mut self, page: StorePage) -> Option<StoreChange> {
        if self.revision.is_some() {
            self.revision = Some(page.at);
            return (!page.entries.is_empty()).then_some(StoreChange::Changed(page.entries));
        }
        // The watch from the first page's revision repeats changes made while later pages are read.
        self.list_revision.get_or_insert(page.at);
        let is_empty = page.entries.is_empty();
        self.listed.extend(page.entries);
        if page.more && !is_empty {
            return None;
        }
        self.revision = self.list_revision.take();
        Some(StoreChange::Listed(std::mem::take(&mut self.listed)))
    }

    /// Whether the list has more pages, but no object of this one has a readable name.
    fn cannot_continue(&self, page: &StorePage) -> bool {
        self.revision.is_none() && page.more && page.entries.is_empty() && !page.unnamed.is_empty()
    }

    fn restart(&mut self) {
        self.revision = None;
        self.list_revision = None;
        self.listed.clear();
    }

    fn back_off(&mut self, rng: &mut impl Rng) -> NextStep {
        let pause = STORE_BACKOFF.pause(self.failures, rng);
        self.failures += 1;
        NextStep {
            change: None,
            pause,
        }
    }
}
