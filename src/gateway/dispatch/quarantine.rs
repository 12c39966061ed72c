//! Which requests crash the endpoints that run them (queries of death), and are quarantined for it.
//!
//! Callers send a failed request again, at any box, and each try gets all attempts of its route: two
//! such requests ended 75 engines in a minute. So boxes remember under which requests endpoints ended,
//! by [`Fingerprint`], tell each other, and send a request that is to blame nowhere any more.
//!
//! The difficulty is who is to blame. All that runs at an endpoint breaks off with it: of 74 engines
//! 46 ran up to eight innocent streams beside, and some of these met four crashes in a row. A crash
//! counts against a request unless
//!
//! - it was served since, or has got past the point of the crash at another endpoint;
//! - it came at another point than the others: a crash of the request's own doing comes at the same
//!   event, or as long after its first one, each time;
//! - a request that is quarantined ran there too: that explains it;
//! - others of the endpoint's failure domain ended at the same time ([`super::fleet`]).
//!
//! A request is quarantined after [`QUARANTINE_AT`] crashes that count, if at one of them it alone can
//! be to blame: all that ran beside it has been served since or got on. After two crashes it is placed
//! where nothing else runs, and nothing is placed beside it ([`super::attempts`]), so that the third one
//! tells, and costs nobody else. Where that can't be had it is quarantined after
//! [`QUARANTINE_ANYWAY_AT`] crashes that it is not past, whatever they came from. It is forgotten
//! [`CRASHES_KEPT_FOR`] after its last crash, so a server that was mended meanwhile gets it again.
//!
//! Owns: crashes and who was there. Relies on: endpoints that were checked to have ended, since a
//! connection that breaks alone is no crash ([`super::crashes`]). Weighed in docs/design/quarantine.md:
//! counting per box, blaming all that ran, and asking the store.

mod suspect;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::schema::{EndpointIncarnation, Fingerprint, Micros};
pub use suspect::Crash;
use suspect::Suspect;

/// Crashes after which a request is quarantined that alone can be to blame for one of them: the users'
/// rule allows three more arrivals from then on.
pub const QUARANTINE_AT: usize = 3;
/// Crashes after which it is quarantined in any case. Two more than above, so that it stays within
/// that rule.
const QUARANTINE_ANYWAY_AT: usize = 5;
/// Crashes after which a request is placed where nothing else runs: the next one decides.
pub const ALONE_AT: usize = QUARANTINE_AT - 1;
/// How long a crash counts, and so how long a request is quarantined after its last one. Chosen: an
/// operator notices and mends the servers meanwhile.
pub const CRASHES_KEPT_FOR: Duration = Duration::from_secs(30 * 60);
/// How long after its last crash a request is decided about: by then boxes of all failure domains have
/// told what ran beside. With 50 ms 8 of 88,000 innocent callers were quarantined beside up to 26
/// crashing requests at once, whose boxes were in other domains (`magpiemoor-lab crashes`, 60 plays).
pub const DECIDED_AFTER: Duration = Duration::from_millis(150);
/// How many requests are remembered: some 300 bytes each.
const MOST_SUSPECTS: usize = 2_000;

/// Who ran at a life of an endpoint when it ended.
#[derive(Debug, Default)]
struct Witnesses {
    at: Micros,
    requests: BTreeSet<Fingerprint>,
}

/// Requests under which endpoints ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    lives: BTreeMap<EndpointIncarnation, Witnesses>,
    /// What boxes of the own failure domain have not been told.
    unpublished: BTreeSet<Fingerprint>,
    /// Requests about which something has become known since they were decided about.
    undecided: BTreeSet<Fingerprint>,
    /// Which of the requests that are quarantined was told last for its own sake.
    last_told: Option<Fingerprint>,
}

impl Quarantine {
    /// Whether a request is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.quarantined.is_some())
    }

    /// How many crashes count against a request.
    #[must_use]
    pub fn crashes_of(&self, request: Fingerprint) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| self.counted(request, suspect).len())
    }

    /// Whether this box noted the last crash of a request: of all boxes it then sees to what follows.
    #[must_use]
    pub fn is_noted_here(&self, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.is_noted_here)
    }

    /// The requests that are quarantined, and since when.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, Micros)> {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(request, suspect)| Some((*request, suspect.quarantined?)))
    }

    /// How many requests are remembered.
    #[must_use]
    pub fn known(&self) -> usize {
        self.suspects.len()
    }

    /// Notes that an endpoint ended under a request.
    pub fn on_crash(&mut self, request: Fingerprint, crash: Crash, now: Micros) {
        self.unpublished.insert(request);
        if self.take_crash(request, crash, true, now) {
            self.reconsider(&[request]);
        }
    }

    /// Decides about requests of which enough is known; returns those that are quarantined from now on.
    pub fn decide(&mut self, now: Micros) -> Vec<Fingerprint> {
        let mut due = std::mem::take(&mut self.undecided);
        due.retain(|request| {
            let is_due = self.decided_at(*request) <= now;
            if !is_due {
                self.undecided.insert(*request);
            }
            is_due
        });
        due.retain(|request| self.judge(*request, now));
        due.into_iter().collect()
    }

    /// When the next request is to be decided about.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        let undecided = self.undecided.iter();
        undecided.map(|request| self.decided_at(*request)).min()
    }

    fn decided_at(&self, request: Fingerprint) -> Micros {
        let suspect = self.suspects.get(&request);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        let last = crashes.map(|crash| crash.at).max();
        last.unwrap_or_default().after(DECIDED_AFTER)
    }

    /// Has requests decided about again, and those that ran beside them: what became known of these may
    /// leave the others alone to blame.
    fn reconsider(&mut self, requests: &[Fingerprint]) {
        let suspects = requests.iter().filter_map(|r| self.suspects.get(r));
        let crashes = suspects.flat_map(|suspect| &suspect.crashes);
        let lives = crashes.filter_map(|crash| self.lives.get(&crash.endpoint));
        let beside = lives.flat_map(|witnesses| witnesses.requests.iter().copied());
        let beside: Vec<_> = beside.chain(requests.iter().copied()).collect();
        self.undecided.extend(beside);
    }

    /// Notes how far a request has come at an endpoint.
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
            self.reconsider(&[request]);
        }
    }

    /// Notes that a request was answered.
    pub fn on_served(&mut self, request: Fingerprint, now: Micros) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        if !suspect.crashes.is_empty() {
            suspect.changed = now;
            self.unpublished.insert(request);
            self.reconsider(&[request]);
            self.take_served(request, now, now);
        }
    }

    /// Whether a request, or one that is quarantined, ran at a life of an endpoint when that ended.
    #[must_use]
    pub fn may_have_ended(&self, request: Fingerprint, life: &EndpointIncarnation) -> bool {
        let witnesses = self.lives.get(life);
        witnesses.is_some_and(|witnesses| {
            let mut requests = witnesses.requests.iter();
            requests.any(|other| *other == request || self.is_quarantined(*other))
        })
    }

    /// Takes in a crash; returns whether it is news.
    fn take_crash(
        &mut self,
        request: Fingerprint,
        crash: Crash,
        is_own: bool,
        now: Micros,
    ) -> bool {
        if now.since(crash.at) >= CRASHES_KEPT_FOR {
            return false;
        }
        let witnesses = self.lives.entry(crash.endpoint.clone()).or_default();
        witnesses.at = witnesses.at.max(crash.at);
        witnesses.requests.insert(request);
        let suspect = self.suspects.entry(request).or_default();
        let is_news = suspect.on_crash(crash, is_own);
        if is_news {
            suspect.changed = now;
            self.forget_beyond(MOST_SUSPECTS);
        }
        is_news
    }

    /// Decides about a request; returns whether it is quarantined from now on.
    fn judge(&mut self, request: Fingerprint, now: Micros) -> bool {
        let Some(suspect) = self.suspects.get(&request) else {
            return false;
        };
        if suspect.quarantined.is_some() || !self.is_to_blame(request, suspect) {
            return false;
        }
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.quarantined = Some(now);
            suspect.changed = now;
        }
        self.unpublished.insert(request);
        true
    }

    /// The rule at the head of this module.
    fn is_to_blame(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        if suspect.open().count() >= QUARANTINE_ANYWAY_AT {
            return true;
        }
        let counted = self.counted(request, suspect);
        let mut alone = counted
            .iter()
            .filter(|crash| self.is_alone_to_blame(request, crash));
        counted.len() >= QUARANTINE_AT && alone.next().is_some()
    }

    /// Crashes that count against the request: the most that came at one point of it.
    fn counted<'a>(&self, request: Fingerprint, suspect: &'a Suspect) -> Vec<&'a Crash> {
        let open = suspect.open().filter(|crash| !crash.fell_with_domain);
        let open: Vec<&Crash> = open
            .filter(|crash| !self.is_explained(request, crash))
            .collect();
        let at_point_of = |one: &Crash| -> Vec<&'a Crash> {
            let same = open.iter().filter(|other| one.agrees_with(other));
            same.copied().collect()
        };
        let points = open.iter().map(|one| at_point_of(one));
        points.max_by_key(Vec::len).unwrap_or_default()
    }

    /// Whether a request that is quarantined ran there too.
    fn is_explained(&self, request: Fingerprint, crash: &Crash) -> bool {
        let mut others = self.others_at(request, crash);
        others.any(|other| self.is_quarantined(other) && self.is_suspected_of(other, crash))
    }

    /// Whether all that ran beside a request is known, and is not suspected any more.
    fn is_alone_to_blame(&self, request: Fingerprint, crash: &Crash) -> bool {
        let known = self.others_at(request, crash).count();
        let mut others = self.others_at(request, crash);
        known >= crash.beside as usize && others.all(|other| !self.is_suspected_of(other, crash))
    }

    fn is_suspected_of(&self, request: Fingerprint, crash: &Crash) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.is_suspected_of(&crash.endpoint))
    }

    /// Others that ran at an endpoint when it ended.
    fn others_at<'a>(
        &'a self,
        request: Fingerprint,
        crash: &Crash,
    ) -> impl Iterator<Item = Fingerprint> + use<'a> {
        let witnesses = self.lives.get(&crash.endpoint);
        let requests = witnesses
            .into_iter()
            .flat_map(|w| w.requests.iter().copied());
        requests.filter(move |other| *other != request)
    }

    /// Forgets what is old; returns the requests that are quarantined no more, and whether this box
    /// noted the last crash of each.
    pub fn forget_old(&mut self, now: Micros) -> Vec<(Fingerprint, bool)> {
        let is_old = |at: Micros| now.since(at) >= CRASHES_KEPT_FOR;
        self.lives.retain(|_, witnesses| !is_old(witnesses.at));
        let mut released = Vec::new();
        self.suspects.retain(|request, suspect| {
            let is_kept = !is_old(suspect.last());
            if !is_kept && suspect.quarantined.is_some() {
                released.push((*request, suspect.is_noted_here));
            }
            is_kept
        });
        released
    }

    /// Forgets the oldest of those that fewest crashes count against once there are too many, a tenth of
    /// all at once.
    fn forget_beyond(&mut self, most: usize) {
        if self.suspects.len() <= most {
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
        for (_, _, request) in all.into_iter().take(most / 10) {
            if let Some(forgotten) = self.suspects.remove(&request) {
                self.forget_lives_of(request, &forgotten);
            }
        }
    }

    fn forget_lives_of(&mut self, request: Fingerprint, forgotten: &Suspect) {
        self.unpublished.remove(&request);
        for crash in &forgotten.crashes {
            let Some(witnesses) = self.lives.get_mut(&crash.endpoint) else {
                continue;
            };
            witnesses.requests.remove(&request);
            if witnesses.requests.is_empty() {
                self.lives.remove(&crash.endpoint);
            }
        }
    }
}
