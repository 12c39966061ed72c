//! Simulates servers that ask something of their callers: a fleet of the real decision code on a
//! simulated clock in front of plain servers, of which some are overloaded or leaving for a while.
//! Runs are seeded, and judged by what servers and callers observed.
//!
//! [`fleet`] holds boxes, links, servers and callers, [`score`] what is counted in a play and how it is
//! judged, [`report`] what many came to, [`command`] the command line. A [`Case`] is one play; the same
//! case plays the same way each time.

pub mod command;
pub mod fleet;
pub mod report;
pub mod score;

use std::fmt;

use magpiemoor::gateway::dispatch::fleet::directives::limits::RequestRate;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use score::Outcome;

/// What servers in need ask of their callers in their answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asks {
    /// No more than so many requests a second from all boxes together.
    Limit,
    /// No request from this box for [`score::REST`]; they turn all requests away.
    Rest,
    /// No new work, since they are leaving.
    Departure,
}

impl Asks {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Limit, Self::Rest, Self::Departure];

    /// Its name, as on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Rest => "rest",
            Self::Departure => "departure",
        }
    }
}

/// Which servers are in need.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Needy {
    /// One of all.
    One,
    /// Those of one failure domain.
    Domain,
    /// Each third one.
    Third,
    /// All of them.
    All,
}

/// How the limit goes on once it was named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Course {
    /// As it was.
    Steady,
    /// It rises threefold, and again.
    Rises,
    /// It falls to a third, and again.
    Falls,
    /// It ends halfway.
    Ends,
    /// It ends and is named again, each few seconds.
    Flickers,
    /// The server starts again, as another one, still in need.
    Restarts,
}

/// What goes wrong beside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// A failure domain is cut off from the others, its servers with it.
    DomainCut,
    /// The platform's store is out, and lists no change.
    StoreOut,
    /// A third of the boxes are killed, again and again.
    BoxesKilled,
    /// All boxes are killed once.
    AllBoxesKilled,
    /// A third of the boxes stand still for two seconds, again and again.
    BoxesFrozen,
    /// Callers send twice as much.
    Burst,
}

impl Beside {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Nothing,
        Self::DomainCut,
        Self::StoreOut,
        Self::BoxesKilled,
        Self::AllBoxesKilled,
        Self::BoxesFrozen,
        Self::Burst,
    ];

    /// Its name, as on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::DomainCut => "domain cut",
            Self::StoreOut => "store out",
            Self::BoxesKilled => "boxes killed",
            Self::AllBoxesKilled => "all boxes killed",
            Self::BoxesFrozen => "boxes frozen",
            Self::Burst => "burst",
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
    /// Boxes in all.
    pub boxes: usize,
    /// Failure domains.
    pub domains: usize,
    /// Calls a second for each box.
    pub calls: f64,
    /// What servers in need name first; nothing, where none is to be in need.
    pub limit: Option<RequestRate>,
    /// What they ask for; `limit` only tells when, unless they ask for that.
    pub asks: Asks,
    /// Which are.
    pub needy: Needy,
    /// How it goes on.
    pub course: Course,
    /// What goes wrong beside.
    pub beside: Beside,
}

/// Boxes from which on a fleet has [`MANY_DOMAINS`] failure domains, and else [`FEW_DOMAINS`].
const MANY_BOXES: usize = 200;
const MANY_DOMAINS: usize = 5;
const FEW_DOMAINS: usize = 3;
/// Limits that are drawn, in thousandths of a request a second.
const LIMITS: [u32; 6] = [0, 400, 1_900, 3_000, 10_000, 30_000];

impl Case {
    /// A case drawn by a seed.
    #[must_use]
    pub fn draw(seed: u64, boxes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limit = LIMITS.choose(&mut rng).copied().unwrap_or_default();
        let needy = [Needy::One, Needy::Domain, Needy::Third, Needy::All];
        let course = [
            Course::Steady,
            Course::Rises,
            Course::Falls,
            Course::Ends,
            Course::Flickers,
            Course::Restarts,
        ];
        let beside = if rng.random_bool(0.3) {
            Beside::Nothing
        } else {
            *Beside::ALL.choose(&mut rng).unwrap_or(&Beside::Nothing)
        };
        Self {
            seed,
            boxes,
            domains: if boxes < MANY_BOXES {
                FEW_DOMAINS
            } else {
                MANY_DOMAINS
            },
            calls: *[0.15, 1.0, 3.5].choose(&mut rng).unwrap_or(&1.0),
            limit: Some(RequestRate::from_milli(limit)),
            asks: Asks::Limit,
            needy: *needy.choose(&mut rng).unwrap_or(&Needy::One),
            course: *course.choose(&mut rng).unwrap_or(&Course::Steady),
            beside,
        }
    }

    /// Plays it.
    #[must_use]
    pub fn play(&self) -> Outcome {
        fleet::Fleet::new(*self).play()
    }

    /// Plays it, and again with no server in need.
    #[must_use]
    pub fn play_paired(&self) -> Outcome {
        let without = Self {
            limit: None,
            ..*self
        };
        let without = without.play();
        Outcome {
            without: Some(without.callers),
            bytes_without: without.bytes_a_second,
            ..self.play()
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limit = self
            .limit
            .map_or("none".to_owned(), |rate| rate.to_string());
        write!(
            f,
            "seed {} boxes {} calls {} {} {limit} needy {:?} {:?} beside {}",
            self.seed,
            self.boxes,
            self.calls,
            self.asks.name(),
            self.needy,
            self.course,
            self.beside
        )
    }
}
