//! Which boxes watch the platform's store.
//!
//! The rule: two boxes of each failure domain watch the store, the others learn from their peers,
//! since each call is paid for. Nobody appoints them. A box that knows too few fresh watchers of
//! its domain becomes one, and claims that before the store has answered; a box that knows two
//! others before it, by name, steps back. Two boxes may be wrong about that for a while, which only
//! costs a few calls.
//!
//! Inputs: who the store answered lately, by this box's and by peers' accounts, with its age. Owns:
//! that knowledge, and whether this box watches. Weighed: every box watches (54,995 calls on grown
//! lundavik quiet-1 with 88 boxes, 1,767 with two a domain, commit bebedb5); one elected watcher
//! (needs the store or a consensus). Claims: 2,669 calls on grown lundavik trouble-1 before, 1,069
//! after (commit 90cdf93).

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::schema::{BoxId, DomainId, Micros, StoreReader};

/// Boxes of a failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;
/// How long ago the store may have answered a fresh watcher: a watch waits 3 s, and messages take
/// 1.5 s to come round. Chosen, not measured.
const FRESH: Duration = Duration::from_millis(4_500);
/// How long watchers that are not heard of are remembered. Chosen, not measured.
const REMEMBERED: Duration = Duration::from_secs(20);
/// How long a box that begins to watch counts as a watcher before the store has answered it.
/// Chosen, not measured.
const CLAIM: Duration = Duration::from_millis(1_200);
/// The longest time that a box which starts waits for peers to tell of watchers. 500 ms cost fewer
/// calls (1,069 for 1,501) but 1.6% of lundavik scale-1's requests were refused meanwhile (commit
/// 364c22e).
const START_SPREAD: Duration = Duration::from_millis(150);
/// Mean time between decisions, each drawn from half to one and a half of it. Chosen, not measured.
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
}

impl SeenWatcher {
    fn is_fresh(&self, now: Micros) -> bool {
        now < self.fresh_until
    }
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
            decide_at: now.after(START_SPREAD.mul_f64(rng.random())),
            has_decided: false,
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

    /// Notes that the store answered this box.
    pub fn on_answer(&mut self, now: Micros) {
        let known = SeenWatcher {
            domain: self.domain.clone(),
            fresh_until: now.after(FRESH),
        };
        self.known.insert(self.me.clone(), known);
    }

    /// Counts this box as a watcher before the store has answered it, so that others hold back.
    fn claim(&mut self, now: Micros) {
        let claim = SeenWatcher {
            domain: self.domain.clone(),
            fresh_until: now.after(CLAIM),
        };
        self.known.insert(self.me.clone(), claim);
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
            let known = self.known.get(&reader.id);
            if known.is_none_or(|known| known.fresh_until < fresh_until) {
                let known = SeenWatcher {
                    domain: reader.domain.clone(),
                    fresh_until,
                };
                self.known.insert(reader.id.clone(), known);
            }
        }
    }

    /// What peers are told.
    #[must_use]
    pub fn told(&self, now: Micros) -> Vec<StoreReader> {
        let fresh = self.known.iter().filter(|(id, known)| {
            let is_own = **id == self.me;
            known.is_fresh(now) && (!is_own || self.is_watching)
        });
        fresh
            .take(MOST_TOLD)
            .map(|(id, known)| StoreReader {
                id: id.clone(),
                domain: known.domain.clone(),
                age_ms: FRESH
                    .saturating_sub(known.fresh_until.since(now))
                    .as_millis() as u32,
            })
            .collect()
    }

    /// Decides, each [`DECIDE_EVERY`], whether this box watches the store; returns a change.
    pub fn decide(&mut self, rng: &mut ChaCha8Rng, now: Micros) -> Option<bool> {
        if now < self.decide_at {
            return None;
        }
        self.has_decided = true;
        self.decide_at = now.after(DECIDE_EVERY.mul_f64(rng.random_range(0.5..1.5)));
        self.known
            .retain(|_, known| now < known.fresh_until.after(REMEMBERED));
        let others = self.known.iter().filter(|(id, known)| {
            **id != self.me && known.domain == self.domain && known.is_fresh(now)
        });
        let before_me = others.clone().filter(|(id, _)| **id < self.me).count();
        let is_needed = if self.is_watching {
            before_me < WATCHERS_PER_DOMAIN
        } else {
            others.count() < WATCHERS_PER_DOMAIN
        };
        let has_changed = is_needed != self.is_watching;
        self.is_watching = is_needed;
        if is_needed && has_changed {
            self.claim(now);
        }
        has_changed.then_some(is_needed)
    }
}
