//! Detects requests that crash the endpoints that run them, and quarantines them.
//!
//! Callers retry a failed request at any box, and each retry gets all attempts of its route: two
//! such requests crashed 75 engines within a minute. Boxes therefore record, by [`Fingerprint`],
//! which requests were running when an endpoint crashed, exchange these records, and stop sending a
//! request that is found to cause crashes to any endpoint.
//!
//! The difficulty is attribution. All requests at an endpoint fail with it: 46 of 74 crashed
//! engines were also running up to eight innocent streams, and some of these streams met four
//! crashes in a row. A crash counts against a request unless
//!
//! - the request was served since, or got past the point of the crash at another endpoint;
//! - it came at another point of the request than the other crashes: a request that causes crashes
//!   does so at the same event, or the same time after its first event, on each run;
//! - a quarantined request was running at the same endpoint, which explains the crash;
//! - other endpoints of the same failure domain ended at the same time ([`super::fleet`]).
//!
//! A request is quarantined after [`QUARANTINE_AT`] crashes that count if it is the sole suspect
//! for at least one of them: all concurrent requests have since been served or got past the crash.
//! After two crashes the request is placed alone, and nothing is placed next to it
//! ([`super::attempts`]), so that the third crash is conclusive and affects no other request. Where
//! it can't be placed alone it is quarantined after [`QUARANTINE_UNCONDITIONALLY_AT`] crashes at the
//! same point that it has not got past, whatever their cause. A request is forgotten
//! [`CRASH_RETENTION`] after its last crash, so that servers that were repaired in the meantime get
//! it again.
//!
//! The module owns the crashes and, in `endings`, the sets of concurrent requests. Its input must be
//! endpoints that were verified to have ended, since a broken connection alone is no crash
//! ([`super::crashes`]). docs/design/quarantine.md compares this with counting per box, with
//! blaming all concurrent requests, and with asking the store.

mod endings;
mod suspect;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::schema::{EndpointId, Fingerprint, Micros};
use endings::Endings;
pub use suspect::Crash;
use suspect::Suspect;

/// Crashes after which a request is quarantined if it is the sole suspect for one of them. The
/// service allows three more arrivals of it from then on.
pub const QUARANTINE_AT: usize = 3;
/// Crashes at the same point after which a request is quarantined whatever their cause: two more
/// than [`QUARANTINE_AT`], which stays within the three further arrivals that the service allows.
const QUARANTINE_UNCONDITIONALLY_AT: usize = 5;
/// Crashes after which a request is placed alone at an endpoint, so that the next crash is
/// conclusive.
pub const ISOLATE_AT: usize = QUARANTINE_AT - 1;
/// How long a crash counts, and so how long a request stays quarantined after its last crash. Gives
/// an operator time to notice and repair the servers.
pub const CRASH_RETENTION: Duration = Duration::from_secs(30 * 60);
/// Delay from the last crash of a request to its evaluation. By then boxes of all failure domains
/// have reported the concurrent requests. With 50 ms, 8 of 88,000 innocent callers were quarantined
/// when up to 26 requests at boxes of other domains caused crashes at once (60 runs of
/// `magpiemoor-lab crashes`).
pub const EVALUATION_DELAY: Duration = Duration::from_millis(150);
/// Time from the start of a box until it receives all crash reports: its peers have learnt of it.
const INFORMED_AFTER: Duration = Duration::from_millis(500);
/// Requests that are remembered, some 300 bytes each.
const MAX_SUSPECTS: usize = 2_000;

/// Requests that were running at endpoints when these crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    endings: Endings,
    /// Since when this box receives all crash reports.
    informed_since: Micros,
    /// Requests whose changes the boxes of this failure domain have not received yet.
    unpublished: BTreeSet<Fingerprint>,
    /// Requests with new evidence since their last evaluation.
    pending_evaluation: BTreeSet<Fingerprint>,
    /// The quarantined request whose verdict was last added to a state message in turn.
    last_published: Option<Fingerprint>,
}

impl Quarantine {
    /// Creates the records of a box that starts.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            informed_since: now.after(INFORMED_AFTER),
            ..Self::default()
        }
    }

    /// Returns whether a request is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.quarantined.is_some())
    }

    /// Returns how many crashes count against a request.
    #[must_use]
    pub fn crashes_of(&self, request: Fingerprint) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| self.counted(request, suspect).len())
    }

    /// Returns whether this box recorded the last crash of a request. Only that box updates the
    /// stored quarantine list.
    #[must_use]
    pub fn is_recorded_here(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.is_recorded_here)
    }

    /// Returns the quarantined requests, each with the time of its quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, Micros)> {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(request, suspect)| Some((*request, suspect.quarantined?)))
    }

    /// Returns the number of remembered requests.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Records that an endpoint crashed while it ran a request.
    pub fn on_crash(&mut self, request: Fingerprint, crash: Crash, now: Micros) {
        self.unpublished.insert(request);
        if self.merge_crash(request, crash, true, now) {
            self.schedule_evaluation(&[request]);
        }
    }

    /// Evaluates the requests that are due; returns those that are quarantined from now on.
    pub fn evaluate(&mut self, now: Micros) -> Vec<Fingerprint> {
        let mut due = std::mem::take(&mut self.pending_evaluation);
        due.retain(|request| {
            let is_due = self.evaluation_due(*request) <= now;
            if !is_due {
                self.pending_evaluation.insert(*request);
            }
            is_due
        });
        due.retain(|request| self.quarantine_if_blamed(*request, now));
        due.into_iter().collect()
    }

    /// Returns when the next request is due for evaluation.
    #[must_use]
    pub fn next_evaluation(&self) -> Option<Micros> {
        let pending = self.pending_evaluation.iter();
        pending.map(|request| self.evaluation_due(*request)).min()
    }

    fn evaluation_due(&self, request: Fingerprint) -> Micros {
        let suspect = self.suspects.get(&request);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        let last = crashes.map(|crash| crash.at).max();
        last.unwrap_or_default().after(EVALUATION_DELAY)
    }

    /// Schedules requests for evaluation, together with all that ran concurrently with them:
    /// evidence that clears one request may leave another as the sole suspect.
    fn schedule_evaluation(&mut self, requests: &[Fingerprint]) {
        let suspects = requests.iter().filter_map(|r| self.suspects.get(r));
        let crashes = suspects.flat_map(|suspect| &suspect.crashes);
        let concurrent = crashes.flat_map(|c| self.endings.requests_at(&c.endpoint.id, c.at));
        let concurrent: Vec<_> = concurrent.chain(requests.iter().copied()).collect();
        self.pending_evaluation.extend(concurrent);
    }

    /// Records how far a request has got at an endpoint.
    pub fn on_progress(
        &mut self,
        request: Fingerprint,
        last_event: u64,
        ran: Duration,
        now: Micros,
    ) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        if suspect.on_progress(last_event, ran) {
            suspect.changed = now;
            self.unpublished.insert(request);
            self.schedule_evaluation(&[request]);
        }
    }

    /// Records that a request was answered.
    pub fn on_served(&mut self, request: Fingerprint, now: Micros) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        if !suspect.crashes.is_empty() {
            suspect.changed = now;
            self.unpublished.insert(request);
            self.schedule_evaluation(&[request]);
            self.merge_served(request, now, now);
        }
    }

    /// Returns whether a request, or a quarantined one, was running at an endpoint when that ended,
    /// if the endpoint's loss was noticed at this time.
    #[must_use]
    pub fn may_have_crashed(
        &self,
        request: Fingerprint,
        endpoint: &EndpointId,
        noticed: Micros,
    ) -> bool {
        let mut requests = self.endings.requests_lost_by(endpoint, noticed);
        requests.any(|other| other == request || self.is_quarantined(other))
    }

    /// Merges a crash into the records; returns whether it adds anything.
    fn merge_crash(
        &mut self,
        request: Fingerprint,
        crash: Crash,
        is_own: bool,
        now: Micros,
    ) -> bool {
        if now.since(crash.at) >= CRASH_RETENTION {
            return false;
        }
        self.endings.record(request, &crash);
        let suspect = self.suspects.entry(request).or_default();
        let is_new = suspect.on_crash(crash, is_own);
        if is_new {
            suspect.changed = now;
            self.evict_beyond(MAX_SUSPECTS);
        }
        is_new
    }

    /// Quarantines a request if the evidence suffices; returns whether it is quarantined from now
    /// on.
    fn quarantine_if_blamed(&mut self, request: Fingerprint, now: Micros) -> bool {
        let Some(suspect) = self.suspects.get(&request) else {
            return false;
        };
        if suspect.quarantined.is_some() || !self.is_blamed(request, suspect) {
            return false;
        }
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.quarantined = Some(now);
            suspect.changed = now;
        }
        self.unpublished.insert(request);
        true
    }

    /// Applies the quarantine rule that the module documentation states.
    fn is_blamed(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        let unpassed: Vec<&Crash> = suspect.unpassed().collect();
        if largest_group(&unpassed).len() >= QUARANTINE_UNCONDITIONALLY_AT {
            return true;
        }
        let counted = self.counted(request, suspect);
        let mut sole = counted
            .iter()
            .filter(|crash| self.is_sole_suspect(request, crash));
        counted.len() >= QUARANTINE_AT && sole.next().is_some()
    }

    /// Returns the crashes that count against a request: the largest group that came at the same
    /// point of it.
    fn counted<'a>(&self, request: Fingerprint, suspect: &'a Suspect) -> Vec<&'a Crash> {
        let unpassed = suspect.unpassed().filter(|crash| !crash.fell_with_domain);
        let unexplained = unpassed.filter(|crash| !self.is_explained(request, crash));
        let unexplained: Vec<&Crash> = unexplained.collect();
        largest_group(&unexplained)
    }

    /// Returns whether a quarantined request that is suspected of the crash was running there too.
    fn is_explained(&self, request: Fingerprint, crash: &Crash) -> bool {
        let mut others = self.concurrent_with(request, crash);
        others.any(|other| self.is_quarantined(other) && self.is_suspected_of(other, crash))
    }

    /// Returns whether all requests concurrent with this one are known and none of them is
    /// suspected of the crash any more. Of crashes before its start a box receives a part only.
    fn is_sole_suspect(&self, request: Fingerprint, crash: &Crash) -> bool {
        if crash.at < self.informed_since {
            return false;
        }
        let known = self.concurrent_with(request, crash).count();
        let mut others = self.concurrent_with(request, crash);
        known >= crash.beside as usize && others.all(|other| !self.is_suspected_of(other, crash))
    }

    fn is_suspected_of(&self, request: Fingerprint, crash: &Crash) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.is_suspected_of(crash))
    }

    /// Returns the other requests that were running at an endpoint when it crashed.
    fn concurrent_with<'a>(
        &'a self,
        request: Fingerprint,
        crash: &Crash,
    ) -> impl Iterator<Item = Fingerprint> + use<'a> {
        let requests = self.endings.requests_at(&crash.endpoint.id, crash.at);
        requests.filter(move |other| *other != request)
    }

    /// Removes expired records; returns the requests that are released from quarantine, each with
    /// whether this box recorded its last crash.
    pub fn forget_old(&mut self, now: Micros) -> Vec<(Fingerprint, bool)> {
        let is_old = |at: Micros| now.since(at) >= CRASH_RETENTION;
        self.endings.forget_old(is_old);
        let mut released = Vec::new();
        self.suspects.retain(|request, suspect| {
            let is_retained = !is_old(suspect.last());
            if !is_retained && suspect.quarantined.is_some() {
                released.push((*request, suspect.is_recorded_here));
            }
            is_retained
        });
        released
    }

    /// If there are more than `limit` requests, evicts a tenth of `limit` at once: first those that
    /// are not quarantined, then those with the fewest crashes, then the oldest.
    fn evict_beyond(&mut self, limit: usize) {
        if self.suspects.len() <= limit {
            return;
        }
        let mut all: Vec<_> = self
            .suspects
            .iter()
            .map(|(request, suspect)| {
                let weight = (suspect.quarantined.is_some(), suspect.crashes.len());
                (weight, suspect.last(), *request)
            })
            .collect();
        all.sort_unstable();
        for (_, _, request) in all.into_iter().take(limit / 10) {
            self.unpublished.remove(&request);
            if let Some(forgotten) = self.suspects.remove(&request) {
                self.endings.forget_request(request, &forgotten.crashes);
            }
        }
    }
}

/// Returns the largest group of crashes that came at the same point of a request: all at the same
/// event, or all the same time after the first event. Crashes that agree partly by one and partly by
/// the other form no group.
fn largest_group<'a>(crashes: &[&'a Crash]) -> Vec<&'a Crash> {
    let by_event = largest_agreeing(crashes, Crash::is_at_same_event);
    let by_time = largest_agreeing(crashes, Crash::is_at_same_time);
    if by_time.len() > by_event.len() {
        by_time
    } else {
        by_event
    }
}

/// Returns the crash with which most others agree, together with these.
fn largest_agreeing<'a>(
    crashes: &[&'a Crash],
    agree: fn(&Crash, &Crash) -> bool,
) -> Vec<&'a Crash> {
    let agreeing = |one: &Crash| -> Vec<&'a Crash> {
        let same = crashes.iter().filter(|other| agree(one, other));
        same.copied().collect()
    };
    let groups = crashes.iter().map(|one| agreeing(one));
    groups.max_by_key(Vec::len).unwrap_or_default()
}
