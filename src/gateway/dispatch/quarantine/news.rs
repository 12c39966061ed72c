//! What boxes tell each other of crashing requests.
//!
//! News go to all boxes of the own failure domain at once, and with the next states to some of other
//! domains, whose boxes pass them on in theirs. A request that is quarantined is told now and then as
//! long as it is, for boxes that were cut off or have started since.

use std::time::Duration;

use super::suspect::Crash;
use super::{Quarantine, Suspect};
use crate::schema::{CrashNews, CrashNote, Fingerprint, Micros, ServedNote};

/// How long after a change a request is told with each state. Chosen over the time in which all of
/// 295 boxes hear of it, not measured by itself.
const FRESH_FOR: Duration = Duration::from_secs(3);
/// How many crashes are told with a datagram, some 40 bytes each. Chosen, not measured.
const MOST_TOLD: usize = 16;

impl Quarantine {
    /// Takes in what another box told; returns the requests that are quarantined from now on. News from
    /// another failure domain are passed on in the own one.
    pub fn on_told(&mut self, news: &CrashNews, is_near: bool, now: Micros) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for note in &news.served {
            let at = now.before(Duration::from_millis(note.age_ms.into()));
            if self.take_served(note.request, at, now) {
                changed.push(note.request);
            }
        }
        for note in &news.crashes {
            if self.take_crash(note.request, Crash::told(note, now), now) {
                changed.push(note.request);
            }
        }
        if !is_near {
            self.untold.extend(&changed);
        }
        // Others may be to blame alone by what was told of these.
        let mut judged = self.beside_all(&changed);
        judged.retain(|request| self.judge_told(*request, is_near, now));
        judged
    }

    fn take_served(&mut self, request: Fingerprint, at: Micros, now: Micros) -> bool {
        let suspect = self.suspects.entry(request).or_default();
        let is_news = suspect.on_served(at);
        if is_news {
            suspect.changed = now;
        }
        is_news
    }

    /// Requests, and those that ran beside them when an endpoint ended.
    fn beside_all(&self, requests: &[Fingerprint]) -> Vec<Fingerprint> {
        let suspects = requests.iter().filter_map(|r| self.suspects.get(r));
        let crashes = suspects.flat_map(|suspect| &suspect.crashes);
        let lives = crashes.filter_map(|crash| self.lives.get(&crash.endpoint));
        let beside = lives.flat_map(|witnesses| witnesses.requests.iter().copied());
        let mut all: Vec<_> = beside.chain(requests.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Decides about a request by what was told; boxes of the own domain that told it know as much.
    fn judge_told(&mut self, request: Fingerprint, is_near: bool, now: Micros) -> bool {
        let was_untold = self.untold.contains(&request);
        let is_quarantined = self.judge(request, now);
        if is_near && !was_untold {
            self.untold.remove(&request);
        }
        is_quarantined
    }

    /// Whether boxes of the own failure domain are to be told something.
    #[must_use]
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// What boxes of the own failure domain have not been told, as much as a datagram holds.
    pub fn take_untold(&mut self, now: Micros) -> CrashNews {
        let mut news = CrashNews::default();
        while news.crashes.len() + news.served.len() < MOST_TOLD
            && let Some(request) = self.untold.pop_first()
        {
            if let Some(suspect) = self.suspects.get(&request) {
                tell(&mut news, request, suspect, now);
            }
        }
        news
    }

    /// What is told with the state of this box: what has changed lately, and one of those that are
    /// quarantined.
    pub fn news_for_state(&mut self, now: Micros) -> CrashNews {
        let mut news = CrashNews::default();
        if self.suspects.is_empty() {
            return news;
        }
        if let Some(request) = self.next_quarantined() {
            self.last_told = Some(request);
            tell(&mut news, request, &self.suspects[&request], now);
        }
        let is_fresh = |suspect: &Suspect| now.since(suspect.changed) < FRESH_FOR;
        let suspects = self.suspects.iter();
        let mut fresh: Vec<_> = suspects.filter(|(_, suspect)| is_fresh(suspect)).collect();
        fresh.sort_by_key(|(_, s)| std::cmp::Reverse((s.crashes.len(), s.changed)));
        for (request, suspect) in fresh {
            if news.crashes.len() + news.served.len() >= MOST_TOLD {
                break;
            }
            if Some(*request) != self.last_told || suspect.quarantined.is_none() {
                tell(&mut news, *request, suspect, now);
            }
        }
        news
    }

    /// All that is quarantined, for a box that has just started.
    #[must_use]
    pub fn quarantined_news(&self, now: Micros) -> CrashNews {
        let mut news = CrashNews::default();
        let quarantined = self
            .suspects
            .iter()
            .filter(|(_, s)| s.quarantined.is_some());
        for (request, suspect) in quarantined {
            tell(&mut news, *request, suspect, now);
        }
        news
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

fn tell(news: &mut CrashNews, request: Fingerprint, suspect: &Suspect, now: Micros) {
    let crashes = suspect.crashes.iter();
    let notes = crashes.map(|crash| -> CrashNote { crash.note(request, now) });
    news.crashes.extend(notes);
    news.served.extend(suspect.served.map(|at| ServedNote {
        request,
        age_ms: now.since(at).as_millis() as u32,
    }));
}
