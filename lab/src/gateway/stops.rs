//! Stops of boxes while streams wait for room, on made-up time: a fleet of the real decision code
//! before engines of which some leave, with a load balancer and callers that come back a few times.
//! Boxes get their signals in series that may overlap. Seeded, and judged by what callers got.
//!
//! [`fleet`] holds the boxes and their links, [`score`] what is counted, [`command`] the command line.
//! A [`Case`] is one play; the same case plays the same way each time.

pub mod command;
pub mod fleet;
pub mod score;

use std::fmt;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use score::Outcome;

/// What goes wrong beside the stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// The store is out.
    StoreOut,
    /// A box is killed and stays away.
    PeerLost,
    /// Engines crash, one after the other.
    EnginesCrash,
}

impl Beside {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Nothing,
        Self::StoreOut,
        Self::PeerLost,
        Self::EnginesCrash,
    ];

    /// Its name, as on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::StoreOut => "store out",
            Self::PeerLost => "peer lost",
            Self::EnginesCrash => "engines crash",
        }
    }
}

/// A series of stops.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Series {
    /// The share of the boxes that are stopped.
    pub share: f64,
    /// How many get the signal at the same time.
    pub at_once: usize,
    /// Time between two signals.
    pub gap: Duration,
}

/// One play.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// What everything random follows from.
    pub seed: u64,
    /// Boxes in all, in three failure domains.
    pub boxes: usize,
    /// Streams that come, as a share of what all engines can run.
    pub load: f64,
    /// The share of the engines that leave before the stops.
    pub leaving: f64,
    /// How long a stream runs at an engine that runs nothing else.
    pub run: Duration,
    /// How often a caller comes back.
    pub returns: u32,
    /// The stops.
    pub series: Series,
    /// What goes wrong beside.
    pub beside: Beside,
}

impl Case {
    /// A case drawn by a seed.
    #[must_use]
    pub fn draw(seed: u64, boxes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let at_once = [1, 1, 2, 4].choose(&mut rng).copied().unwrap_or(1);
        Self {
            seed,
            boxes,
            load: rng.random_range(0.3..0.8),
            leaving: rng.random_range(0.0..0.5),
            run: Duration::from_millis(rng.random_range(2_500..6_000)),
            returns: rng.random_range(1..=3),
            series: Series {
                share: if rng.random() { 1.0 } else { 0.45 },
                at_once: at_once.min(boxes.div_ceil(3)),
                gap: Duration::from_millis(rng.random_range(1_000..2_500)),
            },
            beside: *Beside::ALL.choose(&mut rng).unwrap_or(&Beside::Nothing),
        }
    }

    /// Plays it.
    #[must_use]
    pub fn play(&self) -> Outcome {
        fleet::Fleet::new(*self).play()
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {} boxes {} load {:.2} leaving {:.2} run {} ms returns {} stops {:.2} by {} each {} ms beside {}",
            self.seed,
            self.boxes,
            self.load,
            self.leaving,
            self.run.as_millis(),
            self.returns,
            self.series.share,
            self.series.at_once,
            self.series.gap.as_millis(),
            self.beside.name(),
        )
    }
}
