//! Which boxes read the platform's store.
//!
//! Each call to the store is paid for, so a few boxes of each failure domain read it and the others
//! learn from their peers. Nobody appoints the readers: a box that knows too few of its domain
//! whom the store answered lately becomes one, and one that knows enough others that go before it
//! steps back. Two boxes may be wrong about that for a while; that only costs a few calls.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::schema::{BoxId, DomainId, Micros, StoreReader};

/// Readers that a failure domain has.
const READERS_PER_DOMAIN: usize = 2;
/// How long ago the store may have answered a reader.
const FRESH: Duration = Duration::from_millis(4_500);
/// How long readers that are not heard of are remembered.
const REMEMBERED: Duration = Duration::from_secs(20);
/// Time between decisions.
const DECIDE_EVERY: Duration = Duration::from_millis(400);
/// The most readers that are told of in one message.
const MOST_TOLD: usize = 40;

#[derive(Clone, Debug)]
struct Known {
    domain: DomainId,
    answered: Micros,
}

/// What is known of the readers.
#[derive(Debug)]
pub struct Readers {
    me: BoxId,
    domain: DomainId,
    known: BTreeMap<BoxId, Known>,
    is_reader: bool,
    decide_at: Micros,
}

impl Readers {
    /// Starts as a reader: a box that starts knows of no other.
    #[must_use]
    pub fn new(me: BoxId, domain: DomainId, now: Micros) -> Self {
        Self {
            me,
            domain,
            known: BTreeMap::new(),
            is_reader: true,
            decide_at: now.after(FRESH),
        }
    }

    /// Whether this box reads the store.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Notes that the store answered this box.
    pub fn on_answer(&mut self, now: Micros) {
        let known = Known {
            domain: self.domain.clone(),
            answered: now,
        };
        self.known.insert(self.me.clone(), known);
    }

    /// Takes in what a peer knows of the readers.
    pub fn on_told(&mut self, readers: &[StoreReader], now: Micros) {
        for reader in readers.iter().filter(|r| r.id != self.me) {
            let age = Duration::from_millis(reader.age_ms.into());
            let answered = Micros(now.0.saturating_sub(age.as_micros() as u64));
            let is_newer = self
                .known
                .get(&reader.id)
                .is_none_or(|known| known.answered < answered);
            if is_newer {
                let known = Known {
                    domain: reader.domain.clone(),
                    answered,
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
            now.since(known.answered) < FRESH && (!is_own || self.is_reader)
        });
        fresh
            .take(MOST_TOLD)
            .map(|(id, known)| StoreReader {
                id: id.clone(),
                domain: known.domain.clone(),
                age_ms: now.since(known.answered).as_millis() as u32,
            })
            .collect()
    }

    /// Decides now and then whether this box reads the store; returns a change.
    pub fn decide(&mut self, rng: &mut ChaCha8Rng, now: Micros) -> Option<bool> {
        if now < self.decide_at {
            return None;
        }
        self.decide_at = now.after(DECIDE_EVERY.mul_f64(rng.random_range(0.5..1.5)));
        self.known
            .retain(|_, known| now.since(known.answered) < REMEMBERED);
        let others = self.known.iter().filter(|(id, known)| {
            **id != self.me && known.domain == self.domain && now.since(known.answered) < FRESH
        });
        let before_me = others.clone().filter(|(id, _)| **id < self.me).count();
        let is_needed = if self.is_reader {
            before_me < READERS_PER_DOMAIN
        } else {
            others.count() < READERS_PER_DOMAIN
        };
        let has_changed = is_needed != self.is_reader;
        self.is_reader = is_needed;
        has_changed.then_some(is_needed)
    }
}
