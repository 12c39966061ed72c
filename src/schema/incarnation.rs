//! One incarnation of an endpoint: its id, and when its process started.
//!
//! A process that restarts under the same id keeps nothing of what it held. Written as `ID`, or as
//! `ID@START_TIME` where the endpoint reports when it started.

use std::fmt;
use std::str::FromStr;

use super::generated::error::ConversionError;
use super::{EndpointId, EndpointIncarnation, StartTime};

/// Separates the id from the start time.
const START_TIME_MARK: char = '@';

impl EndpointIncarnation {
    /// Whether two values can name the same incarnation: where one of them has no start time, the id
    /// decides.
    #[must_use]
    pub fn may_be(&self, other: &Self) -> bool {
        let is_other_start = self.born.zip(other.born).is_some_and(|(a, b)| a != b);
        self.id == other.id && !is_other_start
    }
}

impl From<EndpointId> for EndpointIncarnation {
    fn from(id: EndpointId) -> Self {
        Self { id, born: None }
    }
}

impl fmt::Display for EndpointIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(StartTime(born)) => write!(f, "{}{START_TIME_MARK}{born}", self.id),
            None => self.id.fmt(f),
        }
    }
}

impl FromStr for EndpointIncarnation {
    type Err = ConversionError;

    fn from_str(text: &str) -> Result<Self, ConversionError> {
        let parts = text.rsplit_once(START_TIME_MARK);
        let parts = parts.and_then(|(id, born)| Some((id, born.parse().ok()?)));
        let (id, born) = parts.map_or((text, None), |(id, born)| (id, Some(StartTime(born))));
        Ok(Self {
            id: id.parse()?,
            born,
        })
    }
}
