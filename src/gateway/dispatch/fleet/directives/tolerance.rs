//! Services whose endpoints fall over when they turn too many requests away.
//!
//! Such an endpoint states in each answer how many rejections a second it bears. The statement is
//! about all endpoints of its service. It holds until an answer comes without one some time after
//! the last that had one, since answers overtake each other, or until none has stated it for
//! [`TOLERANCE_LIFETIME`]. A request goes to such an endpoint only with a lease of one of its slots
//! ([`super::super::super::slots`]).
//!
//! Inputs: answers to this box, and leases that were granted to it. State: the statements by service,
//! and the leases that this box holds and has not used.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::schema::{EndpointId, Micros, ServiceId};

/// Time without a statement after which an answer without one ends it.
const END_AFTER: Duration = Duration::from_millis(500);
/// How long a statement holds if no answer repeats it.
const TOLERANCE_LIFETIME: Duration = Duration::from_secs(10);

/// Rejections a second that an endpoint bears, of requests of all boxes together.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Tolerance(pub u32);

impl fmt::Display for Tolerance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The error for a text that is not a tolerance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidTolerance {
    text: String,
}

impl fmt::Display for InvalidTolerance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.text;
        write!(
            f,
            "{text:?} is not a tolerance; give rejections a second as a whole number"
        )
    }
}

impl std::error::Error for InvalidTolerance {}

impl FromStr for Tolerance {
    type Err = InvalidTolerance;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.trim().parse().map(Self);
        parsed.map_err(|_| InvalidTolerance {
            text: text.to_owned(),
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    tolerance: Tolerance,
    since: Micros,
    last_seen: Micros,
}

/// Services that state a tolerance, and this box's leases of their slots.
#[derive(Debug, Default)]
pub struct Tolerances {
    stated: BTreeMap<ServiceId, Statement>,
    held: BTreeMap<EndpointId, u32>,
}

impl Tolerances {
    /// Applies an answer of an endpoint of a service; returns whether the service states a tolerance
    /// now and did not before, or the other way round.
    pub fn on_answer(
        &mut self,
        service: &ServiceId,
        stated: Option<Tolerance>,
        now: Micros,
    ) -> bool {
        let known = self.stated.get_mut(service);
        match (known, stated) {
            (Some(known), Some(tolerance)) => {
                known.tolerance = tolerance;
                known.last_seen = now;
                false
            }
            (None, Some(tolerance)) => {
                let statement = Statement {
                    tolerance,
                    since: now,
                    last_seen: now,
                };
                self.stated.insert(service.clone(), statement);
                true
            }
            (Some(known), None) if now.since(known.last_seen) >= END_AFTER => {
                self.stated.remove(service);
                true
            }
            (Some(_) | None, None) => false,
        }
    }

    /// Removes statements that were not repeated for [`TOLERANCE_LIFETIME`]; returns their services.
    pub fn take_expired(&mut self, now: Micros) -> Vec<ServiceId> {
        let is_expired = |stated: &Statement| now.since(stated.last_seen) >= TOLERANCE_LIFETIME;
        let stated = self.stated.iter();
        let expired = stated.filter(|(_, stated)| is_expired(stated));
        let expired: Vec<ServiceId> = expired.map(|(service, _)| service.clone()).collect();
        self.stated.retain(|_, stated| !is_expired(stated));
        expired
    }

    /// The tolerance that the endpoints of a service state.
    #[must_use]
    pub fn of(&self, service: &ServiceId) -> Option<Tolerance> {
        self.stated.get(service).map(|stated| stated.tolerance)
    }

    /// Since when this box has known of a service's tolerance.
    #[must_use]
    pub fn since(&self, service: &ServiceId) -> Option<Micros> {
        self.stated.get(service).map(|stated| stated.since)
    }

    /// Number of services that state a tolerance.
    #[must_use]
    pub fn count(&self) -> usize {
        self.stated.len()
    }

    /// Whether this box may send a request to an endpoint of a service: the service states no
    /// tolerance, or the box holds a lease of a slot of the endpoint.
    #[must_use]
    pub fn may_send(&self, service: &ServiceId, id: &EndpointId) -> bool {
        !self.stated.contains_key(service) || self.has_lease(id)
    }

    /// Whether this box holds a lease of a slot of an endpoint.
    #[must_use]
    pub fn has_lease(&self, id: &EndpointId) -> bool {
        self.held.contains_key(id)
    }

    /// Adds leases that were granted to this box.
    pub fn on_granted(&mut self, id: &EndpointId, leases: u32) {
        if leases > 0 {
            let held = self.held.entry(id.clone()).or_default();
            *held = held.saturating_add(leases);
        }
    }

    /// Takes a lease for an attempt; returns whether there was one.
    pub fn take_lease(&mut self, id: &EndpointId) -> bool {
        let Some(held) = self.held.get_mut(id) else {
            return false;
        };
        *held -= 1;
        if *held == 0 {
            self.held.remove(id);
        }
        true
    }

    /// Removes the leases of an endpoint that no request uses; returns how many.
    pub fn take_unused(&mut self, id: &EndpointId) -> u32 {
        self.held.remove(id).unwrap_or_default()
    }
}
