//! Which boxes watch the platform's store.
//!
//! The rule: two boxes of each failure domain watch the store, the others learn from their peers,
//! since each call is paid for. Nobody appoints them. Where too few watch, those step in that come
//! first among the running boxes of the domain ([`super::roster`]), by address: the first at once,
//! each further one [`STEP`] later, so that a box that can't step in holds nobody up. A box that
//! begins claims that before the store has answered, and steps back for two others before it, by
//! name. Two boxes may be wrong about that for a while, which only costs a few calls.
//!
//! A box that starts first hears what peers tell: where they know watchers, it needs no store. If
//! nobody does [`START_SETTLED`] after it has heard the first one, all boxes have just started, and
//! the first of them ask; so does a box that hears nobody for [`START_ALONE`].
//!
//! Inputs: the roster; who the store answered lately, by this box's and by peers' accounts, with
//! its age. Owns: that knowledge, and whether this box watches. Weighed: every box watches (54,995
//! calls on grown lundavik quiet-1 with 88 boxes, 1,767 with two a domain); one elected watcher
//! (needs the store or a consensus); whoever knows of too few watchers begins (of 295 boxes that
//! lost power together 241 began, `tests/large_fleet.rs`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::roster::Roster;
use crate::schema::{BoxId, DomainId, Micros, StoreReader};

/// Boxes of a failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;
/// How long ago the store may have answered a fresh watcher: a watch waits 3 s, its answer may take
/// 0.7 s more, and messages take some time to come round.
const FRESH: Duration = Duration::from_secs(6);
/// How long watchers that are not heard of are remembered.
const REMEMBERED: Duration = Duration::from_secs(20);
/// How long a box that begins to watch counts as a watcher before the store has answered it.
const CLAIM: Duration = Duration::from_millis(1_200);
/// How long a box that starts waits for a peer, before it asks the store: the users' platform starts
/// all boxes within 300 ms, and a message and its answer must come round after that. With 150 ms 30
/// of 57 boxes of a domain read the store where the seeds start last (`tests/large_fleet.rs`).
const START_ALONE: Duration = Duration::from_millis(350);
/// How long a box that starts, once it has heard another one of its domain, waits for one that knows
/// watchers: one round of first messages. Time until all of 295 boxes are ready after a loss of
/// power, with at most four readers a domain, on made-up time: 380 ms with 120 ms here, 680 ms where
/// all wait [`START_ALONE`] (`tests/large_fleet.rs`).
const START_SETTLED: Duration = Duration::from_millis(50);
/// The same once it has heard one of another domain, which may know none of its own yet: a domain of
/// one or two boxes must not wait for others that don't come.
const START_SETTLED_FAR: Duration = Duration::from_millis(100);
/// By how much those waits differ, so that the first to ask can tell the others.
const START_SPREAD: Duration = Duration::from_millis(60);
/// How much longer each further box waits before it steps in for a watcher that is missing: a claim
/// comes round meanwhile.
const STEP: Duration = Duration::from_millis(500);
/// Mean time between decisions, each drawn from half to one and a half of it.
const DECIDE_EVERY: Duration = Duration::from_millis(400);
/// The most watchers that are told of in one message. Chosen for 330 boxes in 13 domains: 26 and
/// some that change.
const MOST_TOLD: usize = 40;

#[derive(Clone, Debug)]
struct SeenWatcher {
    domain: DomainId,
    /// Until when the last answer of the store that is known of counts as fresh. The answer itself
    /// may be older than this box's clock.
    fresh_until: Micros,
    address: SocketAddr,
}

impl SeenWatcher {
    fn is_fresh(&self, now: Micros) -> bool {
        now < self.fresh_until
    }
}

/// Whom a box that starts has heard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Contact {
    /// Nobody.
    None,
    /// A box of another failure domain.
    Far,
    /// A box of its own.
    Near,
}

/// What is known of the boxes that watch the store.
#[derive(Debug)]
pub struct StoreWatchers {
    me: BoxId,
    domain: DomainId,
    known: BTreeMap<BoxId, SeenWatcher>,
    is_watching: bool,
    decide_at: Micros,
    has_decided: bool,
    contact: Contact,
    /// Since when too few boxes watch.
    lacking_since: Option<Micros>,
}

impl StoreWatchers {
    /// Starts without watching the store: a peer may soon tell what is to be known. Boxes that
    /// start at the same moment decide at different ones, so that the first of them can tell the
    /// others.
    #[must_use]
    pub fn new(me: BoxId, domain: DomainId, rng: &mut ChaCha8Rng, now: Micros) -> Self {
        Self {
            me,
            domain,
            known: BTreeMap::new(),
            is_watching: false,
            lacking_since: None,
            decide_at: now.after(START_ALONE + START_SPREAD.mul_f64(rng.random())),
            has_decided: false,
            contact: Contact::None,
        }
    }

    /// When the first decision is due, if it has not been made.
    #[must_use]
    pub fn first_decision(&self) -> Option<Micros> {
        (!self.has_decided).then_some(self.decide_at)
    }

    /// Whether this box watches the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Notes that this box has heard another one, which matters while it starts.
    pub fn on_contact(&mut self, contact: Contact, rng: &mut ChaCha8Rng, now: Micros) {
        if self.has_decided || contact <= self.contact {
            return;
        }
        self.contact = contact;
        let settled = match contact {
            Contact::None => START_ALONE,
            Contact::Far => START_SETTLED_FAR,
            Contact::Near => START_SETTLED,
        };
        let at = now.after(settled + START_SPREAD.mul_f64(rng.random()) / 2);
        self.decide_at = self.decide_at.min(at);
    }

    /// Notes that the store answered this box.
    pub fn on_answer(&mut self, address: SocketAddr, now: Micros) {
        self.count_me(address, now.after(FRESH));
    }

    /// Counts this box as a watcher for a while.
    fn count_me(&mut self, address: SocketAddr, fresh_until: Micros) {
        let known = SeenWatcher {
            domain: self.domain.clone(),
            fresh_until,
            address,
        };
        self.known.insert(self.me.clone(), known);
    }

    /// Has what is known grow no older by a time in which this box stood still.
    pub fn on_process_pause(&mut self, time: Duration) {
        for known in self.known.values_mut() {
            known.fresh_until = known.fresh_until.after(time);
        }
    }

    /// Whether a box that knows of these watchers knows of enough in its failure domain.
    #[must_use]
    pub fn are_enough(readers: &[StoreReader], domain: &DomainId) -> bool {
        let of_domain = readers.iter().filter(|reader| reader.domain == *domain);
        of_domain.count() >= WATCHERS_PER_DOMAIN
    }

    /// Takes in what a peer knows of the watchers.
    pub fn on_told(&mut self, readers: &[StoreReader], now: Micros) {
        for reader in readers.iter().filter(|r| r.id != self.me) {
            let age = Duration::from_millis(reader.age_ms.into());
            let fresh_until = now.after(FRESH.saturating_sub(age));
            let Ok(address) = reader.address.parse() else {
                continue;
            };
            let known = self.known.get(&reader.id);
            if known.is_none_or(|known| known.fresh_until < fresh_until) {
                let known = SeenWatcher {
                    domain: reader.domain.clone(),
                    fresh_until,
                    address,
                };
                self.known.insert(reader.id.clone(), known);
            }
        }
    }

    /// What the boxes of a failure domain are told: the watchers there.
    #[must_use]
    pub fn told(&self, domain: &DomainId, now: Micros) -> Vec<StoreReader> {
        let fresh = self.known.iter().filter(|(id, known)| {
            let is_own = **id == self.me;
            known.domain == *domain && known.is_fresh(now) && (!is_own || self.is_watching)
        });
        fresh
            .take(MOST_TOLD)
            .map(|(id, known)| StoreReader {
                id: id.clone(),
                domain: known.domain.clone(),
                age_ms: FRESH
                    .saturating_sub(known.fresh_until.since(now))
                    .as_millis() as u32,
                address: known.address.to_string(),
            })
            .collect()
    }

    /// Decides, each [`DECIDE_EVERY`], whether this box watches the store; returns a change.
    pub fn decide(&mut self, roster: &Roster, rng: &mut ChaCha8Rng, now: Micros) -> Option<bool> {
        if now < self.decide_at {
            return None;
        }
        self.has_decided = true;
        self.decide_at = now.after(DECIDE_EVERY.mul_f64(rng.random_range(0.5..1.5)));
        self.known
            .retain(|_, known| now < known.fresh_until.after(REMEMBERED));
        let is_needed = self.is_needed(roster, now);
        let has_changed = is_needed != self.is_watching;
        self.is_watching = is_needed;
        if is_needed && has_changed {
            self.count_me(roster.own_address(), now.after(CLAIM));
        }
        has_changed.then_some(is_needed)
    }

    /// Whether this box is the first of those of its domain that watch the store: it watches what one
    /// box of a domain is enough for.
    #[must_use]
    pub fn is_first(&self, roster: &Roster, now: Micros) -> bool {
        let is_before = |id: &BoxId, known: &SeenWatcher| {
            let is_watcher = known.domain == self.domain && known.is_fresh(now);
            *id < self.me && is_watcher && !roster.is_lost(known.address, now)
        };
        self.is_watching && !self.known.iter().any(|(id, known)| is_before(id, known))
    }

    /// The boxes that watch the store in any domain, this one left out.
    #[must_use]
    pub fn addresses(&self, now: Micros) -> Vec<SocketAddr> {
        let others = self.known.iter().filter(|(id, _)| **id != self.me);
        let fresh = others.filter(|(_, known)| known.is_fresh(now));
        fresh.map(|(_, known)| known.address).collect()
    }

    /// How many others watch, as this box knows, in words for the decision log.
    #[must_use]
    pub fn others_fresh(&self, now: Micros) -> String {
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
            self.lacking_since = None;
            return false;
        }
        let lacking_since = *self.lacking_since.get_or_insert(now);
        let me = roster.own_address();
        let candidates = roster.running(now).filter(|a| !others.contains(a));
        let before_me = candidates.filter(|address| *address < me).count();
        let steps = (before_me + 1).saturating_sub(missing) as u32;
        now.since(lacking_since) >= STEP * steps
    }
}
