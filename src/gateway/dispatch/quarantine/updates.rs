//! Exchanges crash reports and quarantine verdicts between boxes.
//!
//! An update goes to all boxes of the same failure domain at once, and with the next state messages
//! to some boxes of other domains, which forward it within their own. Verdicts are repeated in turn
//! for as long as a request is quarantined, for boxes that were cut off, and a box that has started
//! gets all of them that fit a datagram.

use std::time::Duration;

use super::suspect::Crash;
use super::{CRASH_RETENTION, MAX_SUSPECTS, Quarantine, Suspect};
use crate::schema::{CrashReport, CrashUpdate, Fingerprint, Micros, RequestAge};

/// How long after its last change a request is included in each state message. Longer than the time
/// in which gossip reaches all of 295 boxes.
const REPEAT_FOR: Duration = Duration::from_secs(3);
/// Crashes per datagram, some 40 bytes each.
const MAX_CRASHES_PER_UPDATE: usize = 16;

/// Verdicts that are sent to a box that has just started, some 13 bytes each.
const MAX_VERDICTS_PER_UPDATE: usize = 200;

impl Quarantine {
    /// Merges an update from a peer; returns the requests that are quarantined from now on. Updates
    /// from another failure domain are forwarded within this one.
    pub fn on_peer_update(
        &mut self,
        update: &CrashUpdate,
        is_local: bool,
        now: Micros,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for report in &update.served {
            let at = now.before(Duration::from_millis(report.age_ms.into()));
            self.schedule_evaluation(&[report.request]);
            if self.merge_served(report.request, at, now) {
                changed.push(report.request);
            }
        }
        let mut quarantined = Vec::new();
        for verdict in &update.quarantined {
            let at = now.before(Duration::from_millis(verdict.age_ms.into()));
            if self.merge_verdict(verdict.request, at, now) {
                quarantined.push(verdict.request);
            }
        }
        changed.extend(&quarantined);
        for report in &update.crashes {
            if self.merge_crash(report.request, Crash::from_report(report, now), false, now) {
                changed.push(report.request);
            }
        }
        if !is_local {
            self.unpublished.extend(&changed);
        }
        self.schedule_evaluation(&changed);
        quarantined
    }

    /// Merges a quarantine verdict of another box; returns whether it is new. A box that has
    /// started since does not know the concurrent requests, so it could not reach the same verdict
    /// by itself.
    fn merge_verdict(&mut self, request: Fingerprint, at: Micros, now: Micros) -> bool {
        if now.since(at) >= CRASH_RETENTION {
            return false;
        }
        let suspect = self.suspects.entry(request).or_default();
        let was_served = suspect.served.is_some_and(|served| served >= at);
        if was_served || suspect.quarantined.is_some() {
            return false;
        }
        suspect.quarantined = Some(at);
        suspect.changed = now;
        self.evict_beyond(MAX_SUSPECTS);
        true
    }

    /// Records that a request was served; returns whether that is new.
    pub(super) fn merge_served(&mut self, request: Fingerprint, at: Micros, now: Micros) -> bool {
        let suspect = self.suspects.entry(request).or_default();
        let is_new = suspect.on_served(at);
        if is_new {
            suspect.changed = now;
            self.evict_beyond(MAX_SUSPECTS);
        }
        is_new
    }

    /// Merges the stored quarantine list; returns the requests that are quarantined from now on.
    pub fn on_stored(&mut self, stored: &[RequestAge], now: Micros) -> Vec<Fingerprint> {
        let update = CrashUpdate {
            quarantined: stored.to_vec(),
            ..CrashUpdate::default()
        };
        self.on_peer_update(&update, false, now)
    }

    /// Returns whether there are changes that the boxes of this failure domain have not received
    /// yet.
    #[must_use]
    pub fn has_unpublished(&self) -> bool {
        !self.unpublished.is_empty()
    }

    /// Takes the unpublished changes for the boxes of this failure domain, as many as a datagram
    /// holds.
    pub fn take_unpublished(&mut self, now: Micros) -> CrashUpdate {
        let mut update = CrashUpdate::default();
        while used_capacity(&update) < MAX_CRASHES_PER_UPDATE
            && let Some(request) = self.unpublished.pop_first()
        {
            if let Some(suspect) = self.suspects.get(&request) {
                add_suspect(&mut update, request, suspect, now);
            }
        }
        update
    }

    /// Returns what goes out with the state of this box: recent changes, and one quarantined
    /// request in turn.
    pub fn update_for_state(&mut self, now: Micros) -> CrashUpdate {
        let mut update = CrashUpdate::default();
        if self.suspects.is_empty() {
            return update;
        }
        if let Some(request) = self.next_quarantined() {
            self.last_published = Some(request);
            add_verdict(&mut update, request, &self.suspects[&request], now);
        }
        let is_fresh = |suspect: &Suspect| now.since(suspect.changed) < REPEAT_FOR;
        let suspects = self.suspects.iter();
        let mut fresh: Vec<_> = suspects.filter(|(_, suspect)| is_fresh(suspect)).collect();
        fresh.sort_by_key(|(_, s)| std::cmp::Reverse((s.crashes.len(), s.changed)));
        for (request, suspect) in fresh {
            if used_capacity(&update) >= MAX_CRASHES_PER_UPDATE {
                break;
            }
            add_suspect(&mut update, *request, suspect, now);
        }
        update
    }

    /// Returns the quarantined requests, the latest first and as many as a datagram holds, for a
    /// box that has just started.
    #[must_use]
    pub fn verdicts(&self, now: Micros) -> CrashUpdate {
        let mut quarantined: Vec<_> = self
            .quarantined()
            .map(|(request, since)| request_age(request, since, now))
            .collect();
        quarantined.sort_by_key(|verdict| verdict.age_ms);
        quarantined.truncate(MAX_VERDICTS_PER_UPDATE);
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
            .find(|r| Some(*r) > self.last_published && is_quarantined(r));
        next.or_else(|| all.find(is_quarantined))
    }
}

fn add_suspect(update: &mut CrashUpdate, request: Fingerprint, suspect: &Suspect, now: Micros) {
    let age = |at| request_age(request, at, now);
    let crashes = suspect.crashes.iter();
    let reports = crashes.map(|crash| -> CrashReport { crash.to_report(request, now) });
    update.crashes.extend(reports);
    update.served.extend(suspect.served.map(age));
    add_verdict(update, request, suspect, now);
}

fn add_verdict(update: &mut CrashUpdate, request: Fingerprint, suspect: &Suspect, now: Micros) {
    let is_included = update
        .quarantined
        .iter()
        .any(|verdict| verdict.request == request);
    if !is_included {
        let since = suspect.quarantined;
        update
            .quarantined
            .extend(since.map(|at| request_age(request, at, now)));
    }
}

fn request_age(request: Fingerprint, at: Micros, now: Micros) -> RequestAge {
    let age_ms = now.since(at).as_millis() as u32;
    RequestAge { request, age_ms }
}

/// Returns how much of [`MAX_CRASHES_PER_UPDATE`] an update uses.
fn used_capacity(update: &CrashUpdate) -> usize {
    // Served requests and verdicts take half as many bytes as a crash.
    let short = update.served.len() + update.quarantined.len();
    update.crashes.len() + short / 2
}
