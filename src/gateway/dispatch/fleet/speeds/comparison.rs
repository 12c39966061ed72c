//! Comparison of the engines of a service by one of their speeds.
//!
//! Most services have engines of equal speed, which must be chosen as if no speed was known. So an
//! engine's own speed counts only in a service whose engines clearly differ: more than
//! [`MIN_UNEVEN_SHARE`] of the known ones are off the median by more than [`UNEVEN`]. Single engines
//! off the median are taken for noise. Observations at engines of equal speed differ by up to a
//! fifth, depending on what else runs there.

use std::collections::BTreeMap;

use crate::schema::EndpointId;

/// Number of engines with a known speed from which they are compared.
const MIN_ENGINES: usize = 3;
/// Factor between an engine's speed and the median beyond which it is clearly different.
const UNEVEN: f64 = 1.33;
/// Share of the known engines that must be clearly different.
const MIN_UNEVEN_SHARE: f64 = 0.2;
/// The same in a service that counts as uneven already, so that this doesn't change to and fro.
const MIN_UNEVEN_SHARE_KEPT: f64 = 0.1;
/// Factor between two speeds up to which they count as equal.
const EQUAL: f64 = 1.1;
/// Greatest factor between an endpoint's speed and the median, in both directions. It limits the
/// effect of an endpoint that misleads about its speed.
pub(super) const MAX_FACTOR: f64 = 5.0;

/// Whether two speeds count as equal.
pub(super) fn are_equal(a: f64, b: f64) -> bool {
    is_within(EQUAL, a, b)
}

fn is_within(factor: f64, a: f64, b: f64) -> bool {
    a <= b * factor && b <= a * factor
}

/// The engines of a service compared by one speed.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparison {
    /// Median of the known speeds; `None` while too few are known.
    pub median: Option<f64>,
    /// Number of engines whose speed is known.
    pub known: usize,
    /// Speeds of the engines that differ; empty if the engines are even.
    own: BTreeMap<EndpointId, f64>,
}

impl Comparison {
    /// Compares the engines whose speed is known; `was_uneven` is the result of the last comparison.
    pub fn new(known: Vec<(EndpointId, f64)>, was_uneven: bool) -> Self {
        if known.len() < MIN_ENGINES {
            return Self::default();
        }
        let mut speeds: Vec<f64> = known.iter().map(|(_, speed)| *speed).collect();
        speeds.sort_by(f64::total_cmp);
        let median = speeds[speeds.len() / 2];
        let different = speeds.iter().filter(|s| !is_within(UNEVEN, **s, median));
        let min_share = if was_uneven {
            MIN_UNEVEN_SHARE_KEPT
        } else {
            MIN_UNEVEN_SHARE
        };
        let is_uneven = different.count() as f64 > speeds.len() as f64 * min_share;
        let differing = known
            .into_iter()
            .filter(|(_, speed)| is_uneven && !are_equal(*speed, median))
            .map(|(id, speed)| (id, speed.clamp(median / MAX_FACTOR, median * MAX_FACTOR)));
        Self {
            median: Some(median),
            known: speeds.len(),
            own: differing.collect(),
        }
    }

    /// The speed of an engine if it differs from the median.
    pub fn own(&self, id: &EndpointId) -> Option<f64> {
        self.own.get(id).copied()
    }

    /// Forgets the speed of an engine.
    pub fn forget(&mut self, id: &EndpointId) {
        self.own.remove(id);
    }

    /// Whether engines differ from the median.
    pub fn is_uneven(&self) -> bool {
        !self.own.is_empty()
    }

    /// Number of engines that differ from the median.
    pub fn differing(&self) -> usize {
        self.own.len()
    }

    /// The speed of an engine relative to the median, 1 if it is equal or unknown.
    pub fn factor(&self, id: &EndpointId) -> f64 {
        match (self.own(id), self.median) {
            (Some(own), Some(median)) => own / median,
            _ => 1.0,
        }
    }
}
