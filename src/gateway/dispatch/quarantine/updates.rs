//! What boxes tell each other of crashing requests.
//!
//! News go to all boxes of the own failure domain at once, and with the next states to some of other
//! domains, whose boxes pass them on in theirs. A request that is quarantined is told now and then as
//! long as it is, for boxes that were cut off, and all of them to a box that has started.

use std::time::Duration;

use super::suspect::Crash;
use super::{CRASHES_KEPT_FOR, MOST_SUSPECTS, Quarantine, Suspect};
use crate::schema::{CrashReport, CrashUpdate, Fingerprint, Micros, RequestAge};

/// How long after a change a request is told with each state. Over the time in which all of 295
/// boxes hear of it by itself.
const FRESH_FOR: Duration = Duration::from_secs(3);
/// How many crashes are told with a datagram, some 40 bytes each.
const MOST_CRASHES_TOLD: usize = 16;

/// How many verdicts a box is told that has just started, some 13 bytes each.
const MOST_VERDICTS_TOLD: usize = 200;

impl Quarantine {
    /// Takes in what another box told; returns the requests that are quarantined from now on. News from
    /// another failure domain are passed on in the own one.
    pub fn on_told(&mut self, news: &CrashUpdate, is_near: bool, now: Micros) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for note in &news.served {
            let at = now.before(Duration::from_millis(note.age_ms.into()));
            self.reconsider(&[note.request]);
            if self.take_served(note.request, at, now) {
                changed.push(note.request);
            }
        }
        let mut quarantined = Vec::new();
        for told in &news.quarantined {
            let at = now.before(Duration::from_millis(told.age_ms.into()));
            if self.take_verdict(told.request, at, now) {
                quarantined.push(told.request);
            }
        }
        changed.extend(&quarantined);
        for note in &news.crashes {
            if self.take_crash(note.request, Crash::told(note, now), false, now) {
                changed.push(note.request);
            }
        }
        if !is_near {
            self.unpublished.extend(&changed);
        }
        self.reconsider(&changed);
        quarantined
    }

    /// Takes in that another box quarantined a request; returns whether that is news. Who has started
    /// since doesn't know who ran beside it, and could not come to the same verdict.
    fn take_verdict(&mut self, request: Fingerprint, at: Micros, now: Micros) -> bool {
        if now.since(at) >= CRASHES_KEPT_FOR {
            return false;
        }
        let suspect = self.suspects.entry(request).or_default();
        let was_served = suspect.served.is_some_and(|served| served >= at);
        if was_served || suspect.quarantined.is_some() {
            return false;
        }
        suspect.quarantined = Some(at);
        suspect.changed = now;
        self.forget_beyond(MOST_SUSPECTS);
        true
    }

    /// Takes in that a request was served; returns whether that is news.
    pub(super) fn take_served(&mut self, request: Fingerprint, at: Micros, now: Micros) -> bool {
        let suspect = self.suspects.entry(request).or_default();
        let is_news = suspect.on_served(at);
        if is_news {
            suspect.changed = now;
            self.forget_beyond(MOST_SUSPECTS);
        }
        is_news
    }

    /// Takes in what the platform keeps; returns the requests that are quarantined from now on.
    pub fn on_kept(&mut self, kept: &[RequestAge], now: Micros) -> Vec<Fingerprint> {
        let news = CrashUpdate {
            quarantined: kept.to_vec(),
            ..CrashUpdate::default()
        };
        self.on_told(&news, false, now)
    }

    /// Whether boxes of the own failure domain are to be told something.
    #[must_use]
    pub fn has_unpublished(&self) -> bool {
        !self.unpublished.is_empty()
    }

    /// What boxes of the own failure domain have not been told, as much as a datagram holds.
    pub fn take_unpublished(&mut self, now: Micros) -> CrashUpdate {
        let mut news = CrashUpdate::default();
        while size(&news) < MOST_CRASHES_TOLD
            && let Some(request) = self.unpublished.pop_first()
        {
            if let Some(suspect) = self.suspects.get(&request) {
                tell(&mut news, request, suspect, now);
            }
        }
        news
    }

    /// What is told with the state of this box: what has changed lately, and one of those that are
    /// quarantined.
    pub fn news_for_state(&mut self, now: Micros) -> CrashUpdate {
        let mut news = CrashUpdate::default();
        if self.suspects.is_empty() {
            return news;
        }
        if let Some(request) = self.next_quarantined() {
            self.last_told = Some(request);
            tell_verdict(&mut news, request, &self.suspects[&request], now);
        }
        let is_fresh = |suspect: &Suspect| now.since(suspect.changed) < FRESH_FOR;
        let suspects = self.suspects.iter();
        let mut fresh: Vec<_> = suspects.filter(|(_, suspect)| is_fresh(suspect)).collect();
        fresh.sort_by_key(|(_, s)| std::cmp::Reverse((s.crashes.len(), s.changed)));
        for (request, suspect) in fresh {
            if size(&news) >= MOST_CRASHES_TOLD {
                break;
            }
            tell(&mut news, *request, suspect, now);
        }
        news
    }

    /// What is quarantined, the latest first and as much as a datagram holds, for a box that has just
    /// started.
    #[must_use]
    pub fn verdicts(&self, now: Micros) -> CrashUpdate {
        let mut quarantined: Vec<_> = self
            .quarantined()
            .map(|(request, since)| request_age(request, since, now))
            .collect();
        quarantined.sort_by_key(|told| told.age_ms);
        quarantined.truncate(MOST_VERDICTS_TOLD);
        CrashUpdate {
            quarantined,
            ..CrashUpdate::default()
        }
    }

    fn next_quarantined(&self) -> Option<Fingerprint> {
        let is_quarantined = |request: &Fingerprint| self.is_quarantined(*request);
        let mut all = self.suspects.keys().copied();
        let next = all
            .clone()
            .find(|r| Some(*r) > self.last_told && is_quarantined(r));
        next.or_else(|| all.find(is_quarantined))
    }
}

fn tell(news: &mut CrashUpdate, request: Fingerprint, suspect: &Suspect, now: Micros) {
    let age = |at| request_age(request, at, now);
    let crashes = suspect.crashes.iter();
    let notes = crashes.map(|crash| -> CrashReport { crash.note(request, now) });
    news.crashes.extend(notes);
    news.served.extend(suspect.served.map(age));
    tell_verdict(news, request, suspect, now);
}

fn tell_verdict(news: &mut CrashUpdate, request: Fingerprint, suspect: &Suspect, now: Micros) {
    let is_told = news.quarantined.iter().any(|told| told.request == request);
    if !is_told {
        let since = suspect.quarantined;
        news.quarantined
            .extend(since.map(|at| request_age(request, at, now)));
    }
}

fn request_age(request: Fingerprint, at: Micros, now: Micros) -> RequestAge {
    let age_ms = now.since(at).as_millis() as u32;
    RequestAge { request, age_ms }
}

/// How much of a datagram is taken.
fn size(news: &CrashUpdate) -> usize {
    // The others are half as long.
    let short = news.served.len() + news.quarantined.len();
    news.crashes.len() + short / 2
}
