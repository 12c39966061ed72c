//! Orders of roll-outs on made-up time: a fleet of the real decision code before endpoints of two
//! versions, good and bad ones, with a fault beside or none; seeded, and judged by what endpoints saw.
//!
//! [`fleet`] holds the boxes, their links and the store, [`endpoints`] what endpoints do, [`score`]
//! what is counted, [`picture`] draws it. A [`Case`] is one order; the same case plays the same way each time.

pub mod endpoints;
pub mod fleet;
pub mod picture;
pub mod score;

use std::fmt;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::parallel;
pub use score::{Outcome, Report};

/// How a version is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Version {
    /// As the one before.
    Good,
    /// A part of its answers fail.
    Failing(f64),
    /// It takes several times as long.
    Slow(f64),
}

/// When a bad version shows that it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shows {
    /// From the beginning.
    AtOnce,
    /// So many seconds after the order.
    Later(f64),
    /// On one route only.
    OnOneRoute,
    /// Where an endpoint has this many requests or more at once.
    UnderLoad(u32),
}

/// What goes wrong beside the order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One endpoint of each version fails four in ten of its requests for some seconds.
    Grey,
    /// One endpoint of each version takes three and a half times as long for some seconds.
    Slow,
    /// The endpoints of one failure domain fail all requests for a while, in all versions.
    Domain,
    /// The store is down for four seconds.
    StoreDown,
    /// The store does what it is asked and doesn't answer, late.
    StoreLate,
    /// The box that wrote to the store last is killed, and comes back after three seconds.
    WriterKilled,
    /// All boxes are killed, and come back after a second.
    AllKilled,
    /// A failure domain is cut off from the others and from the store, early on.
    DomainCut,
    /// The same while the roll-out ends.
    DomainCutAtEnd,
    /// A box is frozen while the roll-out ends.
    BoxFrozenAtEnd,
}

impl Fault {
    /// Those that a seed draws one of.
    pub const DRAWN: [Self; 8] = [
        Self::None,
        Self::Grey,
        Self::Slow,
        Self::Domain,
        Self::StoreDown,
        Self::StoreLate,
        Self::WriterKilled,
        Self::AllKilled,
    ];
    /// Those that are played by their name only.
    pub const NAMED: [Self; 3] = [Self::DomainCut, Self::DomainCutAtEnd, Self::BoxFrozenAtEnd];

    /// All of them.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::DRAWN.into_iter().chain(Self::NAMED)
    }

    /// Its name, as on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Grey => "grey",
            Self::Slow => "slow",
            Self::Domain => "domain",
            Self::StoreDown => "store down",
            Self::StoreLate => "store late",
            Self::WriterKilled => "writer killed",
            Self::AllKilled => "all killed",
            Self::DomainCut => "domain cut",
            Self::DomainCutAtEnd => "domain cut at the end",
            Self::BoxFrozenAtEnd => "box frozen at the end",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// A decider that is wrong on purpose, to see whether the judge finds it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Decider {
    /// The real one.
    #[default]
    Real,
    /// It sends all requests to the target at once.
    AllAtOnce,
    /// It takes no version for bad.
    NeverBad,
    /// It sees failures at the target only, and takes those of a failure domain for its version's.
    BlamesDomain,
}

/// What callers ask of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Requests a second where the service is plain.
    pub calls_per_s: f64,
    /// Requests a second where it has model engines.
    pub streams_per_s: f64,
    /// Engines of each version in a failure domain.
    pub engines_per_domain: u16,
    /// The part of the requests that go to the first route.
    pub first_route: f64,
}

impl Traffic {
    /// All of them, by name.
    pub const NAMED: [(&'static str, Self); 3] = [
        ("even", Self::EVEN),
        ("thin route", Self::LOW_TRAFFIC_ROUTE),
        ("few", Self::FEW),
    ];

    /// Two routes with about as many requests.
    pub const EVEN: Self = Self {
        calls_per_s: 110.0,
        streams_per_s: 24.0,
        engines_per_domain: 12,
        first_route: 0.59,
    };
    /// More requests, of which few go to the first route.
    pub const LOW_TRAFFIC_ROUTE: Self = Self {
        calls_per_s: 254.0,
        streams_per_s: 39.0,
        engines_per_domain: 40,
        first_route: 0.057,
    };
    /// So few streams that a canary's ordinary share tells nothing.
    pub const FEW: Self = Self {
        calls_per_s: 40.0,
        streams_per_s: 3.0,
        engines_per_domain: 4,
        first_route: 0.59,
    };
}

/// One order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// What everything random follows from.
    pub seed: u64,
    /// Boxes in all, in three failure domains.
    pub boxes: usize,
    /// Whether the service has model engines.
    pub engines: bool,
    /// What callers ask of it.
    pub traffic: Traffic,
    /// How the version is.
    pub version: Version,
    /// When that shows.
    pub shows: Shows,
    /// What goes wrong beside.
    pub fault: Fault,
    /// Who decides.
    pub decider: Decider,
}

impl Case {
    /// A case drawn by a seed.
    #[must_use]
    pub fn draw(seed: u64, boxes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let version = match rng.random_range(0..4) {
            0 | 1 => Version::Good,
            2 => Version::Failing(rng.random_range(0.25..0.9)),
            _ => Version::Slow(rng.random_range(3.0..6.0)),
        };
        let shows = match rng.random_range(0..4) {
            0 => Shows::AtOnce,
            1 => Shows::Later(rng.random_range(1.0..6.0)),
            2 => Shows::OnOneRoute,
            _ => Shows::UnderLoad(1),
        };
        let fault = Fault::DRAWN[rng.random_range(0..Fault::DRAWN.len())];
        Self {
            seed,
            boxes,
            engines: rng.random_bool(0.25),
            traffic: Traffic::EVEN,
            version,
            shows,
            fault: if rng.random_bool(0.5) {
                Fault::None
            } else {
                fault
            },
            decider: Decider::Real,
        }
    }

    /// Whether the version is bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.version != Version::Good
    }

    /// Plays the order.
    #[must_use]
    pub fn play(&self) -> Outcome {
        fleet::Fleet::new(*self).play()
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let service = if self.engines { "engines" } else { "plain" };
        write!(
            f,
            "seed {} boxes {} {service} {:?} {:?} fault {}",
            self.seed, self.boxes, self.version, self.shows, self.fault
        )
    }
}

/// Plays orders on several threads; the order of the outcomes is that of the cases.
#[must_use]
pub fn play_all(cases: &[Case], threads: usize) -> Vec<Outcome> {
    parallel::map(cases, threads, Case::play)
}
