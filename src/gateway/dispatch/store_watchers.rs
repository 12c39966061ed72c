//! Selection of the boxes that watch the platform's store.
//!
//! Two boxes of each failure domain watch the store, since each call is paid for; the others get
//! its content from peers. There is no election. Where too few boxes watch, the first running boxes
//! of the domain ([`super::roster`]) by address begin to: the first at once, each further one
//! [`TAKEOVER_STEP`] later, so that a box that can't watch delays no other. A box that begins to
//! watch announces it before the store has answered, and stops when two others with smaller ids
//! watch. Boxes may disagree on this for a while, which only costs a few calls.
//!
//! A box that starts waits for gossip first: if peers know watchers, it need not call the store. If
//! no peer knows any within [`START_WAIT_LOCAL`] of the first message, all boxes have just started,
//! and the first of them call the store; so does a box that receives no message for
//! [`START_WAIT_ALONE`].
//!
//! Inputs: the roster; which boxes the store has answered lately, according to this box and to
//! peers, with the age of the answer. State: this knowledge, and whether this box watches. Rejected
//! alternatives: every box watches (54,995 calls with 88 boxes where two watchers a domain make
//! 1,767); one elected watcher (needs the store or a consensus); each box that knows of too few
//! watchers begins (241 of 295 boxes began after a common power loss, `tests/large_fleet.rs`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::roster::Roster;
use crate::schema::{BoxId, DomainId, Micros, StoreReader};

const WATCHERS_PER_DOMAIN: usize = 2;
/// Age of the store's answer up to which a watcher is fresh: a watch waits 3 s, its answer may take
/// 0.7 s more, and gossip takes some time to spread.
const WATCHER_FRESH_FOR: Duration = Duration::from_secs(6);
/// Time for which watchers that are no longer fresh are kept.
const WATCHER_RETENTION: Duration = Duration::from_secs(20);
/// Time for which a box that begins to watch counts as a watcher before the store has answered it.
const CLAIM_VALID_FOR: Duration = Duration::from_millis(1_200);
/// Wait of a starting box for a first message before it calls the store: the platform starts all
/// boxes within 300 ms, and a message and its reply take some time after that. With 150 ms 30 of 57
/// boxes of a domain read the store where the seeds start last (`tests/large_fleet.rs`).
const START_WAIT_ALONE: Duration = Duration::from_millis(350);
/// Wait of a starting box after the first message from its own domain for one that lists watchers:
/// one round of startup gossip. By a simulated clock, with at most four readers a domain, all of
/// 295 boxes are ready 380 ms after a power loss with 120 ms here, and 680 ms after it where all
/// wait [`START_WAIT_ALONE`] (`tests/large_fleet.rs`).
const START_WAIT_LOCAL: Duration = Duration::from_millis(50);
/// The same after the first message from another domain, whose sender may not know a box of this
/// domain yet: a domain of one or two boxes must not wait for others that never start.
const START_WAIT_REMOTE: Duration = Duration::from_millis(100);
/// Range of the random part of these waits, so that the first box to call the store can notify the
/// others.
const START_JITTER: Duration = Duration::from_millis(60);
/// Additional delay for each further candidate before it replaces a missing watcher; an
/// announcement spreads in the meantime.
const TAKEOVER_STEP: Duration = Duration::from_millis(500);
/// Mean time between decisions; each interval is drawn from 0.5 to 1.5 times this.
const DECISION_INTERVAL: Duration = Duration::from_millis(400);
/// Limit on the watchers listed in one message: 330 boxes in 13 domains have 26, and some that
/// change.
const MAX_PUBLISHED_WATCHERS: usize = 40;

#[derive(Clone, Debug)]
struct KnownWatcher {
    domain: DomainId,
    /// Time until which the last known answer of the store counts as fresh. The answer itself may
    /// be older than this box's clock.
    fresh_until: Micros,
    address: SocketAddr,
}

impl KnownWatcher {
    fn is_fresh(&self, now: Micros) -> bool {
        now < self.fresh_until
    }
}

/// Origin of the messages that a starting box has received.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Contact {
    /// No message yet.
    None,
    /// A message from another failure domain.
    Remote,
    /// A message from the own failure domain.
    Local,
}

/// Known store watchers, and this box's decision whether to watch.
#[derive(Debug)]
pub struct StoreWatchers {
    me: BoxId,
    domain: DomainId,
    known: BTreeMap<BoxId, KnownWatcher>,
    is_watching: bool,
    next_decision: Micros,
    has_decided: bool,
    contact: Contact,
    /// Time since which too few boxes watch the store.
    too_few_since: Option<Micros>,
}

impl StoreWatchers {
    /// Starts without watching the store, since a peer may soon send its content. Boxes that start
    /// at the same moment decide at different times, so that the first can notify the others.
    #[must_use]
    pub fn new(me: BoxId, domain: DomainId, rng: &mut ChaCha8Rng, now: Micros) -> Self {
        Self {
            me,
            domain,
            known: BTreeMap::new(),
            is_watching: false,
            too_few_since: None,
            next_decision: now.after(START_WAIT_ALONE + START_JITTER.mul_f64(rng.random())),
            has_decided: false,
            contact: Contact::None,
        }
    }

    /// Time of the first decision; `None` once it has been made.
    #[must_use]
    pub fn first_decision(&self) -> Option<Micros> {
        (!self.has_decided).then_some(self.next_decision)
    }

    /// Whether this box has decided to watch the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Records a message from another box; until the first decision it may bring that decision
    /// forward.
    pub fn on_contact(&mut self, contact: Contact, rng: &mut ChaCha8Rng, now: Micros) {
        if self.has_decided || contact <= self.contact {
            return;
        }
        self.contact = contact;
        let wait = match contact {
            Contact::None => START_WAIT_ALONE,
            Contact::Remote => START_WAIT_REMOTE,
            Contact::Local => START_WAIT_LOCAL,
        };
        let at = now.after(wait + START_JITTER.mul_f64(rng.random()) / 2);
        self.next_decision = self.next_decision.min(at);
    }

    /// Records an answer of the store to this box.
    pub fn on_answer(&mut self, address: SocketAddr, now: Micros) {
        self.list_self(address, now.after(WATCHER_FRESH_FOR));
    }

    /// Lists this box as a watcher until `fresh_until`.
    fn list_self(&mut self, address: SocketAddr, fresh_until: Micros) {
        let known = KnownWatcher {
            domain: self.domain.clone(),
            fresh_until,
            address,
        };
        self.known.insert(self.me.clone(), known);
    }

    /// Shifts all times by a process pause, so that the pause doesn't age entries.
    pub fn on_process_pause(&mut self, time: Duration) {
        for known in self.known.values_mut() {
            known.fresh_until = known.fresh_until.after(time);
        }
    }

    /// Whether `readers` contains enough watchers of a failure domain.
    #[must_use]
    pub fn are_enough(readers: &[StoreReader], domain: &DomainId) -> bool {
        let of_domain = readers.iter().filter(|reader| reader.domain == *domain);
        of_domain.count() >= WATCHERS_PER_DOMAIN
    }

    /// Processes the watchers that a peer has reported; keeps the most recent report of each.
    pub fn on_peer_watchers(&mut self, readers: &[StoreReader], now: Micros) {
        for reader in readers.iter().filter(|r| r.id != self.me) {
            let age = Duration::from_millis(reader.age_ms.into());
            let fresh_until = now.after(WATCHER_FRESH_FOR.saturating_sub(age));
            let Ok(address) = reader.address.parse() else {
                continue;
            };
            let known = self.known.get(&reader.id);
            if known.is_none_or(|known| known.fresh_until < fresh_until) {
                let known = KnownWatcher {
                    domain: reader.domain.clone(),
                    fresh_until,
                    address,
                };
                self.known.insert(reader.id.clone(), known);
            }
        }
    }

    /// Fresh watchers of a failure domain, to be published there.
    #[must_use]
    pub fn watchers_of(&self, domain: &DomainId, now: Micros) -> Vec<StoreReader> {
        let fresh = self.known.iter().filter(|(id, known)| {
            let is_own = **id == self.me;
            known.domain == *domain && known.is_fresh(now) && (!is_own || self.is_watching)
        });
        fresh
            .take(MAX_PUBLISHED_WATCHERS)
            .map(|(id, known)| StoreReader {
                id: id.clone(),
                domain: known.domain.clone(),
                age_ms: WATCHER_FRESH_FOR
                    .saturating_sub(known.fresh_until.since(now))
                    .as_millis() as u32,
                address: known.address.to_string(),
            })
            .collect()
    }

    /// Decides, about every [`DECISION_INTERVAL`], whether this box watches the store; returns the
    /// new state if it has changed.
    pub fn decide(&mut self, roster: &Roster, rng: &mut ChaCha8Rng, now: Micros) -> Option<bool> {
        if now < self.next_decision {
            return None;
        }
        self.has_decided = true;
        self.next_decision = now.after(DECISION_INTERVAL.mul_f64(rng.random_range(0.5..1.5)));
        self.known
            .retain(|_, known| now < known.fresh_until.after(WATCHER_RETENTION));
        let is_needed = self.is_needed(roster, now);
        let has_changed = is_needed != self.is_watching;
        self.is_watching = is_needed;
        if is_needed && has_changed {
            self.list_self(roster.own_address(), now.after(CLAIM_VALID_FOR));
        }
        has_changed.then_some(is_needed)
    }

    /// Whether this box is the first by id of the watchers of its domain; it then does the tasks
    /// that one box of a domain is enough for.
    #[must_use]
    pub fn is_first(&self, roster: &Roster, now: Micros) -> bool {
        let is_before = |id: &BoxId, known: &KnownWatcher| {
            let is_watcher = known.domain == self.domain && known.is_fresh(now);
            *id < self.me && is_watcher && !roster.is_lost(known.address, now)
        };
        self.is_watching && !self.known.iter().any(|(id, known)| is_before(id, known))
    }

    /// Addresses of the fresh watchers in all domains, this box excluded.
    #[must_use]
    pub fn addresses(&self, now: Micros) -> Vec<SocketAddr> {
        let others = self.known.iter().filter(|(id, _)| **id != self.me);
        let fresh = others.filter(|(_, known)| known.is_fresh(now));
        fresh.map(|(_, known)| known.address).collect()
    }

    /// Number of other fresh watchers in the domain, as text for the decision log.
    #[must_use]
    pub fn describe_others(&self, now: Micros) -> String {
        let others = self.known.iter().filter(|(id, known)| {
            **id != self.me && known.domain == self.domain && known.is_fresh(now)
        });
        format!("others that watch: {}", others.count())
    }

    fn is_needed(&mut self, roster: &Roster, now: Micros) -> bool {
        let others = self.known.iter().filter(|(id, known)| {
            let is_of_domain = **id != self.me && known.domain == self.domain;
            is_of_domain && known.is_fresh(now) && !roster.is_lost(known.address, now)
        });
        if self.is_watching {
            let before_me = others.filter(|(id, _)| **id < self.me);
            return before_me.count() < WATCHERS_PER_DOMAIN;
        }
        let others: Vec<SocketAddr> = others.map(|(_, known)| known.address).collect();
        let missing = WATCHERS_PER_DOMAIN.saturating_sub(others.len());
        if missing == 0 {
            self.too_few_since = None;
            return false;
        }
        let too_few_since = *self.too_few_since.get_or_insert(now);
        let me = roster.own_address();
        let candidates = roster.running(now).filter(|a| !others.contains(a));
        let before_me = candidates.filter(|address| *address < me).count();
        let steps = (before_me + 1).saturating_sub(missing) as u32;
        now.since(too_few_since) >= TAKEOVER_STEP * steps
    }
}
