//! Simulates servers that ask something of their callers: a fleet of the real decision code on a
//! simulated clock in front of plain servers, of which some are overloaded or leaving for a while.
//! Runs are seeded, and judged by what servers and callers observed.
//!
//! [`fleet`] simulates boxes, links, servers and callers, [`score`] counts and judges, [`report`]
//! summarises many runs, and [`command`] is the command line. A [`Case`] determines a run completely.

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

/// What affected servers ask of their callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asks {
    /// A limit on the requests per second from all boxes together.
    Limit,
    /// A rest of [`score::REST`]: they turn all requests away, and each answer asks the box for it.
    Rest,
    /// No new work, because they are leaving.
    Departure,
}

impl Asks {
    /// All values.
    pub const ALL: [Self; 3] = [Self::Limit, Self::Rest, Self::Departure];

    /// Name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Rest => "rest",
            Self::Departure => "departure",
        }
    }
}

/// Which servers state directives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AffectedServers {
    /// One server.
    One,
    /// The servers of one failure domain.
    Domain,
    /// A third of the servers.
    Third,
    /// All servers.
    All,
}

/// How a limit changes after it was first stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitCourse {
    /// It stays the same.
    Steady,
    /// It triples twice.
    Rises,
    /// It falls to a third twice.
    Falls,
    /// It ends halfway.
    Ends,
    /// It ends and begins again every few seconds.
    Flickers,
    /// The server restarts under another id and states the limit again.
    Restarts,
}

/// Fault that occurs at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConcurrentFault {
    /// None.
    Nothing,
    /// A failure domain, its servers included, is cut off from the others.
    DomainCut,
    /// The platform's store is unavailable, so boxes learn of no change of the list.
    StoreOut,
    /// A third of the boxes are killed several times.
    BoxesKilled,
    /// All boxes are killed once.
    AllBoxesKilled,
    /// A third of the boxes pause for two seconds several times.
    BoxesFrozen,
    /// The call rate doubles.
    Burst,
}

impl ConcurrentFault {
    /// All values.
    pub const ALL: [Self; 7] = [
        Self::Nothing,
        Self::DomainCut,
        Self::StoreOut,
        Self::BoxesKilled,
        Self::AllBoxesKilled,
        Self::BoxesFrozen,
        Self::Burst,
    ];

    /// Name on the command line.
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

impl fmt::Display for ConcurrentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Calls per second and box.
    pub calls: f64,
    /// First limit of the affected servers; `None` if no server states a directive.
    pub limit: Option<RequestRate>,
    /// What they ask for. For other directives than a limit, `limit` only determines when they ask.
    pub asks: Asks,
    /// Servers that state directives.
    pub affected: AffectedServers,
    /// How the limit changes.
    pub course: LimitCourse,
    /// Fault that occurs at the same time.
    pub beside: ConcurrentFault,
}

/// Number of boxes from which a fleet has [`MANY_DOMAINS`] failure domains instead of
/// [`FEW_DOMAINS`].
const MANY_BOXES: usize = 200;
const MANY_DOMAINS: usize = 5;
const FEW_DOMAINS: usize = 3;
/// Limits from which a seed selects, in thousandths of a request per second.
const LIMITS: [u32; 6] = [0, 400, 1_900, 3_000, 10_000, 30_000];

impl Case {
    /// Returns the case that a seed determines.
    #[must_use]
    pub fn draw(seed: u64, boxes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limit = LIMITS.choose(&mut rng).copied().unwrap_or_default();
        let affected = [
            AffectedServers::One,
            AffectedServers::Domain,
            AffectedServers::Third,
            AffectedServers::All,
        ];
        let course = [
            LimitCourse::Steady,
            LimitCourse::Rises,
            LimitCourse::Falls,
            LimitCourse::Ends,
            LimitCourse::Flickers,
            LimitCourse::Restarts,
        ];
        let beside = if rng.random_bool(0.3) {
            ConcurrentFault::Nothing
        } else {
            *ConcurrentFault::ALL
                .choose(&mut rng)
                .unwrap_or(&ConcurrentFault::Nothing)
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
            affected: *affected.choose(&mut rng).unwrap_or(&AffectedServers::One),
            course: *course.choose(&mut rng).unwrap_or(&LimitCourse::Steady),
            beside,
        }
    }

    /// Runs the case.
    #[must_use]
    pub fn run(&self) -> Outcome {
        fleet::Fleet::new(*self).run()
    }

    /// Runs the case, and again without directives.
    #[must_use]
    pub fn run_paired(&self) -> Outcome {
        let without = Self {
            limit: None,
            ..*self
        };
        let without = without.run();
        Outcome {
            without: Some(without.callers),
            bytes_without: without.bytes_a_second,
            ..self.run()
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
            self.affected,
            self.course,
            self.beside
        )
    }
}
