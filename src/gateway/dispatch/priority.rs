//! Priorities of requests: which are served first where there is not room for all.
//!
//! Operators set a priority for organisations and for routes. Requests are ordered by the priority
//! of their organisation first and by that of their route second, so an organisation's place does
//! not depend on the routes that it uses, and its own urgent requests still come before its others.
//! Letting the organisation's priority replace the route's was rejected: where all organisations
//! have one, the priorities of routes would have no effect.
//!
//! Engines know a single rank from 0 to 9 and admit and preempt by it. A table therefore numbers the
//! pairs that it contains in ascending order ([`Tiers`]), and a box uses the same rank for its own
//! decisions: with different orders, a request that a box sends first could wait longest at its
//! engine.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// Priority that operators set for an organisation or a route; the lowest number is served first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Priority(u8);

impl Priority {
    /// Served before all others.
    pub const HIGHEST: Self = Self(0);
    /// Served after all others.
    pub const LOWEST: Self = Self(9);
    /// Priority of an organisation or a route for which none is set.
    pub const DEFAULT: Self = Self(5);
}

impl Default for Priority {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a number or text is no priority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidPriority(String);

impl fmt::Display for InvalidPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(value) = self;
        write!(
            f,
            "priority {value} is not a whole number from {} to {}; set one",
            Priority::HIGHEST,
            Priority::LOWEST
        )
    }
}

impl std::error::Error for InvalidPriority {}

impl TryFrom<u64> for Priority {
    type Error = InvalidPriority;

    fn try_from(number: u64) -> Result<Self, Self::Error> {
        match u8::try_from(number) {
            Ok(rank) if rank <= Self::LOWEST.0 => Ok(Self(rank)),
            _ => Err(InvalidPriority(number.to_string())),
        }
    }
}

impl FromStr for Priority {
    type Err = InvalidPriority;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().parse::<u64>();
        let number = number.map_err(|_| InvalidPriority(format!("{text:?}")))?;
        Self::try_from(number)
    }
}

/// Rank of a request among all that a routing table can admit; the lowest is served first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Tier(u8);

impl Tier {
    /// Number of ranks that engines distinguish.
    const COUNT: usize = 10;

    /// Whether it is served before all others.
    #[must_use]
    pub fn is_first(self) -> bool {
        self.0 == 0
    }

    /// The rank, from 0 to 9.
    #[must_use]
    pub fn rank(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The priorities of an organisation and of a route, in the order in which they are compared.
type Pair = (Priority, Priority);

/// The tiers of a routing table, one for each pair of priorities that it contains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tiers {
    /// In ascending order; empty if the table has no two pairs to distinguish.
    pairs: Vec<Pair>,
}

impl Tiers {
    /// Numbers the pairs of the given priorities. Requests without an organisation, or of one
    /// without a priority, count as [`Priority::DEFAULT`], and so do routes without one.
    #[must_use]
    pub fn new(
        organisations: impl Iterator<Item = Option<Priority>>,
        routes: impl Iterator<Item = Option<Priority>>,
    ) -> Self {
        let organisations: BTreeSet<Priority> =
            organisations.map(Option::unwrap_or_default).collect();
        let routes: BTreeSet<Priority> = routes.map(Option::unwrap_or_default).collect();
        let pairs: Vec<Pair> = organisations
            .iter()
            .flat_map(|organisation| routes.iter().map(|route| (*organisation, *route)))
            .collect();
        let is_distinct = pairs.len() > 1;
        Self {
            pairs: if is_distinct { pairs } else { Vec::new() },
        }
    }

    /// The tier of a request; `None` if all requests of the table have the same one. A table with
    /// more pairs than ranks gives neighbouring pairs the same rank.
    #[must_use]
    pub fn of(&self, organisation: Option<Priority>, route: Option<Priority>) -> Option<Tier> {
        let pair = (organisation.unwrap_or_default(), route.unwrap_or_default());
        let count = self.pairs.len();
        let place = self.pairs.partition_point(|known| *known < pair);
        let place = place.min(count.checked_sub(1)?);
        let rank = if count <= Tier::COUNT {
            place
        } else {
            place * Tier::COUNT / count
        };
        u8::try_from(rank).ok().map(Tier)
    }
}
