//! Requests that crash the servers that run them, on made-up time: a fleet of the real decision code
//! before servers that end under such a request, with callers who send it again and innocent ones
//! beside; seeded, and judged by what servers and callers saw.
//!
//! [`fleet`] holds the boxes and their links, [`servers`] what servers do, [`score`] what is counted in
//! a play, [`report`] and [`picture`] what many came to, [`command`] the command line. A [`Case`] is one play; the same case plays the same way each time.

pub mod command;
pub mod fleet;
pub mod picture;
pub mod report;
pub mod score;
pub mod servers;

use std::fmt;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use score::Outcome;

/// When a crashing request ends its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashAt {
    /// As soon as it begins to run: after its prompt was read.
    Start,
    /// 60 ms after that.
    Soon,
    /// At a certain event of its answer.
    Event,
}

/// What goes wrong beside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// Nine in ten servers of a failure domain end at once, in three domains one after the other.
    DomainsFall,
    /// Single servers end now and then.
    ServersEnd,
    /// A third of the boxes are killed, and come back after a second.
    BoxesKilled,
    /// All boxes are killed, and come back after a second.
    AllBoxesKilled,
    /// A failure domain is cut off from the others for five seconds.
    DomainCut,
}

impl Beside {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Nothing,
        Self::DomainsFall,
        Self::ServersEnd,
        Self::BoxesKilled,
        Self::AllBoxesKilled,
        Self::DomainCut,
    ];

    /// Its name, as on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::DomainsFall => "domains fall",
            Self::ServersEnd => "servers end",
            Self::BoxesKilled => "boxes killed",
            Self::AllBoxesKilled => "all boxes killed",
            Self::DomainCut => "domain cut",
        }
    }
}

impl fmt::Display for Beside {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// One play.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// What everything random follows from.
    pub seed: u64,
    /// Boxes in all, in three failure domains.
    pub boxes: usize,
    /// Whether the servers are model engines; else plain services.
    pub engines: bool,
    /// How many different requests crash their servers.
    pub culprits: usize,
    /// When they do.
    pub crash: CrashAt,
    /// Whether a server is back under its id, with another start time.
    pub keeps_ids: bool,
    /// What goes wrong beside.
    pub beside: Beside,
}

impl Case {
    /// A case drawn by a seed.
    #[must_use]
    pub fn draw(seed: u64, boxes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let crash = match rng.random_range(0..3) {
            0 => CrashAt::Start,
            1 => CrashAt::Soon,
            _ => CrashAt::Event,
        };
        let beside = if rng.random_bool(0.4) {
            Beside::Nothing
        } else {
            Beside::ALL[rng.random_range(0..Beside::ALL.len())]
        };
        let culprits = match rng.random_range(0..10) {
            0..=4 => 1,
            5..=7 => rng.random_range(2..5),
            _ => rng.random_range(5..=boxes.clamp(6, 50)),
        };
        Self {
            seed,
            boxes,
            engines: rng.random_bool(0.7),
            culprits,
            crash,
            keeps_ids: rng.random_bool(0.3),
            beside,
        }
    }

    /// Plays it.
    #[must_use]
    pub fn play(&self) -> Outcome {
        fleet::Fleet::new(*self).play()
    }

    /// Plays it, and again without crashing requests.
    #[must_use]
    pub fn play_paired(&self) -> Outcome {
        let without = Self {
            culprits: 0,
            ..*self
        };
        let without = without.play();
        Outcome {
            without: (without.availability(), without.bytes_a_second),
            ..self.play()
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let servers = if self.engines { "engines" } else { "plain" };
        let ids = if self.keeps_ids {
            "same ids"
        } else {
            "new ids"
        };
        write!(
            f,
            "seed {} boxes {} {servers} culprits {} at {:?} {ids} beside {}",
            self.seed, self.boxes, self.culprits, self.crash, self.beside
        )
    }
}
