//! Estimate of one speed of an engine from few observations.
//!
//! Whatever this box doesn't know of makes an engine look slower than it is: prompts of boxes in
//! other failure domains, and pauses of the machines. So the upper quartile of the observations
//! counts, and not their mean. Observations of this box count one by one, and those of a peer as the
//! one value that it published last, so that no observation counts twice.

use std::time::Duration;

use crate::schema::Micros;

/// How long an observation counts. It must be long enough that a slow engine, which gets little work
/// while others are idle, is not forgotten and tried again all the time.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(600);
/// Observations that are kept for each engine and kind of speed.
const MAX_OBSERVATIONS: usize = 8;
/// Observations from which an estimate is used: among three, one without interference is likely.
const MIN_OBSERVATIONS: u32 = 3;

/// The box that made an observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Observer {
    /// This box.
    Own,
    /// A peer, by the hash of its id.
    Peer(u32),
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    by: Observer,
    speed: f64,
    /// Number of observations that it stands for.
    count: u32,
    at: Micros,
}

/// A speed as published to peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Published {
    pub speed: f64,
    pub count: u32,
    pub at: Micros,
}

/// The latest observations of one speed of an engine; the greater the value, the faster the engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimate {
    observations: Vec<Observation>,
}

impl Estimate {
    /// Adds an observation of this box.
    pub fn observe(&mut self, speed: f64, now: Micros) {
        self.add(Observation {
            by: Observer::Own,
            speed,
            count: 1,
            at: now,
        });
    }

    /// Replaces the value that a peer published before, unless that is newer.
    pub fn on_peer(&mut self, peer: u32, published: Published) {
        let by = Observer::Peer(peer);
        let is_known = |o: &Observation| o.by == by && o.at > published.at;
        if self.observations.iter().any(is_known) {
            return;
        }
        self.observations.retain(|o| o.by != by);
        self.add(Observation {
            by,
            speed: published.speed,
            count: published.count.min(MAX_OBSERVATIONS as u32),
            at: published.at,
        });
    }

    fn add(&mut self, observation: Observation) {
        if !observation.speed.is_finite() || observation.speed <= 0.0 {
            return;
        }
        self.observations.push(observation);
        if self.observations.len() > MAX_OBSERVATIONS {
            let oldest = self.observations.iter().enumerate();
            if let Some((oldest, _)) = oldest.min_by_key(|(_, o)| o.at) {
                self.observations.swap_remove(oldest);
            }
        }
    }

    /// Forgets observations that no longer count.
    pub fn forget_expired(&mut self, now: Micros) {
        self.observations
            .retain(|o| now.since(o.at) < OBSERVATION_LIFETIME);
    }

    /// The estimate; `None` while there are too few observations.
    pub fn speed(&self) -> Option<f64> {
        let count: u32 = self.observations.iter().map(|o| o.count).sum();
        (count >= MIN_OBSERVATIONS)
            .then(|| upper_quartile(self.observations.iter().map(|o| o.speed)))
            .flatten()
    }

    /// What this box observed itself, to publish.
    pub fn own(&self) -> Option<Published> {
        let own = || self.observations.iter().filter(|o| o.by == Observer::Own);
        Some(Published {
            speed: upper_quartile(own().map(|o| o.speed))?,
            count: own().map(|o| o.count).sum(),
            at: own().map(|o| o.at).max()?,
        })
    }
}

fn upper_quartile(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() * 3 / 4).copied()
}
