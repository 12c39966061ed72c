//! Which requests were running at an endpoint when it ended.
//!
//! An ending is identified by the endpoint's id and its time, not by the incarnation: until a box
//! has learnt that an endpoint restarted under its id, it reports the next ending of that endpoint
//! under the previous incarnation. By incarnation, one ending could be recorded as two, so that an
//! innocent request would seem to have run alone; and two endings as one, so that a request would be
//! cleared by another one that had not run beside it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::suspect::Crash;
use crate::schema::{EndpointId, Fingerprint, Micros};

/// How far two reports of one ending may differ in time: each hop between boxes adds to its age. An
/// endpoint takes longer to restart.
const SAME_ENDING_WITHIN: Duration = Duration::from_secs(1);

/// How long after an ending attempts at the endpoint still fail.
const LOSS_NOTICED_WITHIN: Duration = Duration::from_secs(5);

/// Returns whether two reports of an endpoint's ending are about the same one.
pub(super) fn is_same_ending(one: Micros, other: Micros) -> bool {
    one.since(other).max(other.since(one)) < SAME_ENDING_WITHIN
}

/// One ending of an endpoint.
#[derive(Debug)]
struct Ending {
    at: Micros,
    requests: BTreeSet<Fingerprint>,
}

/// The endings of endpoints under requests.
#[derive(Debug, Default)]
pub(super) struct Endings {
    by_endpoint: BTreeMap<EndpointId, Vec<Ending>>,
}

impl Endings {
    /// Records that a request was running at an endpoint when it ended.
    pub fn record(&mut self, request: Fingerprint, crash: &Crash) {
        let id = crash.endpoint.id.clone();
        let endings = self.by_endpoint.entry(id).or_default();
        let known = endings
            .iter_mut()
            .find(|ending| is_same_ending(ending.at, crash.at));
        if let Some(ending) = known {
            ending.requests.insert(request);
            return;
        }
        endings.push(Ending {
            at: crash.at,
            requests: BTreeSet::from([request]),
        });
    }

    /// Returns all requests that were running at an endpoint when it ended at this time.
    pub fn requests_at<'a>(
        &'a self,
        endpoint: &EndpointId,
        at: Micros,
    ) -> impl Iterator<Item = Fingerprint> + use<'a> {
        let endings = self.by_endpoint.get(endpoint).into_iter().flatten();
        let same = endings.filter(move |ending| is_same_ending(ending.at, at));
        same.flat_map(|ending| ending.requests.iter().copied())
    }

    /// Returns all requests that were running at an endpoint when it ended, if its loss was noticed
    /// at this time: attempts at it fail until it is replaced, so that may be later.
    pub fn requests_lost_by<'a>(
        &'a self,
        endpoint: &EndpointId,
        noticed: Micros,
    ) -> impl Iterator<Item = Fingerprint> + use<'a> {
        let endings = self.by_endpoint.get(endpoint).into_iter().flatten();
        let span = noticed.before(LOSS_NOTICED_WITHIN)..noticed.after(SAME_ENDING_WITHIN);
        let lost = endings.filter(move |ending| span.contains(&ending.at));
        lost.flat_map(|ending| ending.requests.iter().copied())
    }

    /// Removes a request from the endings that its crashes are about.
    pub fn forget_request(&mut self, request: Fingerprint, crashes: &[Crash]) {
        for crash in crashes {
            let id = &crash.endpoint.id;
            let Some(endings) = self.by_endpoint.get_mut(id) else {
                continue;
            };
            for ending in endings.iter_mut() {
                if is_same_ending(ending.at, crash.at) {
                    ending.requests.remove(&request);
                }
            }
            endings.retain(|ending| !ending.requests.is_empty());
            if endings.is_empty() {
                self.by_endpoint.remove(id);
            }
        }
    }

    /// Removes the endings for which `is_old` holds.
    pub fn forget_old(&mut self, is_old: impl Fn(Micros) -> bool) {
        self.by_endpoint.retain(|_, endings| {
            endings.retain(|ending| !is_old(ending.at));
            !endings.is_empty()
        });
    }
}
