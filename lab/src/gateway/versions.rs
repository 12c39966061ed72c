//! Streams and the software versions that begin them, on made-up time: a fleet of the real decision
//! code before engines whose versions come, go and replace each other, with callers who break off and
//! come back at other boxes, beside faults of boxes, links and the store. Seeded, and judged by the
//! events that callers got.
//!
//! [`fleet`] holds the boxes and their links; [`score`] what is counted; [`command`] the command line.
//! A [`Case`] is one play; the same case plays the same way each time.

pub mod command;
pub mod fleet;
pub mod retries;
pub mod score;

use std::fmt;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use score::Outcome;

/// How the versions of the engines change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// There is one version all the time.
    Sole,
    /// Two versions serve from the start.
    Mixed,
    /// Engines of a second version start beside the first, all at once.
    Appears,
    /// A second version replaces the first one, engine by engine.
    Replaces,
    /// Half of the engines come back as a second version under their ids and addresses.
    InPlace,
    /// Two versions serve from the start, and all engines of the first one leave.
    Leaves,
}

impl Change {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Sole,
        Self::Mixed,
        Self::Appears,
        Self::Replaces,
        Self::InPlace,
        Self::Leaves,
    ];

    /// Its name, as on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Sole => "sole",
            Self::Mixed => "mixed",
            Self::Appears => "appears",
            Self::Replaces => "replaces",
            Self::InPlace => "in place",
            Self::Leaves => "leaves",
        }
    }
}

/// What goes wrong beside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// A fifth of the engines crash, again and again.
    EnginesCrash,
    /// A third of the boxes are killed, again and again.
    BoxesKilled,
    /// All boxes of a failure domain are killed.
    DomainKilled,
    /// All boxes are killed.
    AllBoxesKilled,
    /// A failure domain is cut off from the others and from the store.
    DomainCut,
    /// A third of the boxes freeze, again and again.
    BoxesFrozen,
    /// The store is out.
    StoreOut,
    /// A third of the boxes know nothing of versions.
    OldBoxes,
    /// A third of the boxes are cut off from the others, in ways of their own, again and again.
    BoxesCut,
}

impl Beside {
    /// All of them.
    pub const ALL: [Self; 10] = [
        Self::Nothing,
        Self::EnginesCrash,
        Self::BoxesKilled,
        Self::DomainKilled,
        Self::AllBoxesKilled,
        Self::DomainCut,
        Self::BoxesFrozen,
        Self::StoreOut,
        Self::OldBoxes,
        Self::BoxesCut,
    ];
    /// Those that a seed draws: the seeds of earlier plays keep their cases.
    pub const DRAWN: [Self; 9] = [
        Self::Nothing,
        Self::EnginesCrash,
        Self::BoxesKilled,
        Self::DomainKilled,
        Self::AllBoxesKilled,
        Self::DomainCut,
        Self::BoxesFrozen,
        Self::StoreOut,
        Self::OldBoxes,
    ];

    /// Its name, as on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::EnginesCrash => "engines crash",
            Self::BoxesKilled => "boxes killed",
            Self::DomainKilled => "domain killed",
            Self::AllBoxesKilled => "all boxes killed",
            Self::DomainCut => "domain cut",
            Self::BoxesFrozen => "boxes frozen",
            Self::StoreOut => "store out",
            Self::OldBoxes => "old boxes",
            Self::BoxesCut => "boxes cut",
        }
    }
}

/// Outages of failure domains whose engines come back as other instances at the same addresses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outages {
    /// How many domains are struck, one after the other.
    pub domains: usize,
    /// The share of a domain's engines that end.
    pub share: f64,
    /// How long the store answers nobody, from just before the first outage.
    pub store_out: Duration,
    /// Whether some boxes still reach the store meanwhile.
    pub store_serves_some: bool,
}

/// Engines of each failure domain, unless a case says otherwise.
const ENGINES: usize = 6;

/// One play.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// What everything random follows from.
    pub seed: u64,
    /// Boxes in all, in three failure domains.
    pub boxes: usize,
    /// How versions change.
    pub change: Change,
    /// What goes wrong beside.
    pub beside: Beside,
    /// Whether engines crash too, whatever goes wrong beside.
    pub engines_crash: bool,
    /// Engines of each failure domain.
    pub engines: usize,
    /// Outages of whole failure domains, if there are any.
    pub outages: Option<Outages>,
}

impl Case {
    /// A case drawn by a seed.
    #[must_use]
    pub fn draw(seed: u64, boxes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            seed,
            boxes,
            change: Change::ALL[rng.random_range(0..Change::ALL.len())],
            beside: Beside::DRAWN[rng.random_range(0..Beside::DRAWN.len())],
            engines_crash: rng.random_bool(0.4),
            engines: ENGINES,
            outages: None,
        }
    }

    /// How long it lasts.
    #[must_use]
    pub fn played(&self) -> Duration {
        let store_out = self.outages.map(|outages| outages.store_out);
        fleet::PLAYED + store_out.unwrap_or_default()
    }

    /// Plays it.
    #[must_use]
    pub fn play(&self) -> Outcome {
        fleet::Fleet::new(*self).play()
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let crash = if self.engines_crash {
            ", engines crash"
        } else {
            ""
        };
        let (change, beside) = (self.change.name(), self.beside.name());
        let Self { seed, boxes, .. } = self;
        write!(
            f,
            "seed {seed} boxes {boxes} versions {change} beside {beside}{crash}"
        )
    }
}
