//! Selection of the boxes that watch the platform's store.
//!
//! Two boxes of each failure domain watch the store, since each call is paid for; the others get
//! its content from peers. There is no election. Where too few boxes watch, the first running boxes
//! of the domain ([`super::roster`]) by address begin to: the first at once, each further one
//! [`TAKEOVER_STEP`] later, so that a box that can't watch delays no other. A box that begins to
//! watch announces it before the store has answered, and stops when two others with smaller ids
//! have watched for [`HANDOVER_DELAY`]. Boxes may disagree on this for a while, which only costs a
//! few calls.
//!
//! The store may answer some boxes and not others, and the ones that it doesn't answer may be all
//! watchers. So trust in a watcher ends soon: each answer of the store is published to the own
//! domain at once, and a watcher gets one at least every [`MAX_ANSWER_INTERVAL`]. A domain in which
//! the store answered no watcher within [`CONFIRMED_FOR`] is *unconfirmed*: changes may be missed.
//! Its running boxes then begin to watch one after the other, [`UNCONFIRMED_STEP`] apart, and claims
//! don't count, until the store answers one of them. After the first [`PROMPT_CANDIDATES`] the others
//! follow slowly, so that a store that is down for all is not called by all.
//!
//! A box that starts waits for gossip first: if peers know watchers, it need not call the store. If
//! no peer knows any within [`START_WAIT_LOCAL`] of the first message, all boxes have just started,
//! and the first of them call the store; so does a box that receives no message for
//! [`START_WAIT_ALONE`].
//!
//! Inputs: the roster; which boxes the store has answered lately, according to this box and to
//! peers, with the age of the answer. State: this knowledge, and whether this box watches. Rejected
//! alternatives: every box watches (54,995 calls with 88 boxes where two watchers a domain make
//! 1,767); one elected watcher (needs the store or a consensus); each box that knows of too few
//! watchers begins (241 of 295 boxes began after a common power loss, `tests/large_fleet.rs`); boxes
//! that don't watch ask the store in turn (costs calls in calm, and a list for each question);
//! watchers say that they lost the store (a frozen or silenced one can't).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::roster::Roster;
use crate::schema::{BoxId, DomainId, Micros, StoreReader};

const WATCHERS_PER_DOMAIN: usize = 2;
/// Longest time between two answers of the store to a watcher: tables and endpoints are watched on
/// two connections, and their watches end half a period apart (`shell/watch_phase.rs`).
pub const MAX_ANSWER_INTERVAL: Duration = Duration::from_millis(800);
/// Age of the store's last answer to any watcher of a domain up to which the domain's knowledge is
/// confirmed: one interval, and the time of a call and of a datagram on busy boxes.
const CONFIRMED_FOR: Duration = Duration::from_millis(1_100);
/// Age of the store's answer up to which a watcher is fresh: two intervals.
const WATCHER_FRESH_FOR: Duration = Duration::from_millis(1_600);
/// Time for which watchers that are no longer fresh are kept.
const WATCHER_RETENTION: Duration = Duration::from_secs(20);
/// Time for which a box that begins to watch counts as a watcher before the store has answered it.
/// A claim is published like an answer of an age that confirms nothing.
const CLAIM_VALID_FOR: Duration = Duration::from_millis(500);
const _: () = assert!(
    CLAIM_VALID_FOR.as_millis() + CONFIRMED_FOR.as_millis() == WATCHER_FRESH_FOR.as_millis()
);
/// Time for which two others with smaller ids must have watched before a watcher stops.
const HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// Delay between two candidates of an unconfirmed domain: the time in which a list is read and the
/// answer published.
const UNCONFIRMED_STEP: Duration = Duration::from_millis(80);
/// Number of candidates of an unconfirmed domain that begin [`UNCONFIRMED_STEP`] apart.
const PROMPT_CANDIDATES: u32 = 8;
/// Delay between two later candidates.
const LATE_STEP: Duration = Duration::from_secs(3);
/// Limit on the boxes to which an answer of the store is published. Others learn of it by gossip,
/// and come after these in the order of candidates.
const MAX_ANSWER_RECEIVERS: usize = 32;
/// Wait of a starting box for a first message before it calls the store: the platform starts all
/// boxes within 300 ms, and a message and its reply take some time after that. With 150 ms 30 of 57
/// boxes of a domain read the store where the seeds start last (`tests/large_fleet.rs`).
const START_WAIT_ALONE: Duration = Duration::from_millis(350);
/// Wait of a starting box after the first message from its own domain for one that lists watchers:
/// one round of startup gossip. By a simulated clock, with at most four readers a domain, all of
/// 295 boxes are ready 380 ms after a power loss with 120 ms here, and 680 ms after it where all
/// wait [`START_WAIT_ALONE`] (`tests/large_fleet.rs`).
const START_WAIT_LOCAL: Duration = Duration::from_millis(50);
/// The same after the first message from another domain, whose sender may not know a box of this
/// domain yet: a domain of one or two boxes must not wait for others that never start.
const START_WAIT_REMOTE: Duration = Duration::from_millis(100);
/// Range of the random part of these waits, so that the first box to call the store can notify the
/// others.
const START_JITTER: Duration = Duration::from_millis(60);
/// Additional delay for each further candidate before it replaces a missing watcher; an
/// announcement spreads in the meantime.
const TAKEOVER_STEP: Duration = Duration::from_millis(500);
/// Mean time between decisions; each interval is drawn from 0.5 to 1.5 times this.
const DECISION_INTERVAL: Duration = Duration::from_millis(400);
/// Limit on the watchers listed in one message: 330 boxes in 13 domains have 26, and some that
/// change.
const MAX_PUBLISHED_WATCHERS: usize = 40;

#[derive(Clone, Debug)]
struct KnownWatcher {
    domain: DomainId,
    /// Time until which the last known answer of the store counts as fresh. The answer itself may
    /// be older than this box's clock.
    fresh_until: Micros,
    address: SocketAddr,
}

impl KnownWatcher {
    fn is_fresh(&self, now: Micros) -> bool {
        now < self.fresh_until
    }
}

/// Origin of the messages that a starting box has received.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Contact {
    /// No message yet.
    None,
    /// A message from another failure domain.
    Remote,
    /// A message from the own failure domain.
    Local,
}

/// Known store watchers, and this box's decision whether to watch.
#[derive(Debug)]
pub struct StoreWatchers {
    me: BoxId,
    domain: DomainId,
    known: BTreeMap<BoxId, KnownWatcher>,
    is_watching: bool,
    next_decision: Micros,
    has_decided: bool,
    contact: Contact,
    /// Time since which too few boxes watch the store.
    too_few_since: Option<Micros>,
    /// Time since which two others with smaller ids watch, if this box watches.
    enough_since: Option<Micros>,
    /// Time until which the domain's knowledge is confirmed by the store's answers, and the watcher
    /// that got the last one; `None` before the first answer.
    confirmed: Option<Confirmation>,
    /// Whether the domain was confirmed when that was recorded last.
    was_confirmed: bool,
}

/// The last answer of the store to a watcher of a domain.
#[derive(Clone, Debug)]
struct Confirmation {
    until: Micros,
    by: BoxId,
}

impl StoreWatchers {
    /// Starts without watching the store, since a peer may soon send its content. Boxes that start
    /// at the same moment decide at different times, so that the first can notify the others.
    #[must_use]
    pub fn new(me: BoxId, domain: DomainId, rng: &mut ChaCha8Rng, now: Micros) -> Self {
        Self {
            me,
            domain,
            known: BTreeMap::new(),
            is_watching: false,
            too_few_since: None,
            enough_since: None,
            confirmed: None,
            was_confirmed: false,
            next_decision: now.after(START_WAIT_ALONE + START_JITTER.mul_f64(rng.random())),
            has_decided: false,
            contact: Contact::None,
        }
    }

    /// Time of the next decision that can't wait for the next regular tick: the first one, and the
    /// turns of candidates in an unconfirmed domain.
    #[must_use]
    pub fn due(&self, now: Micros) -> Option<Micros> {
        if !self.has_decided {
            return Some(self.next_decision);
        }
        let until = self.confirmed.as_ref().filter(|_| !self.is_watching)?.until;
        if now < until {
            return Some(until);
        }
        let is_prompt = now.since(until) < UNCONFIRMED_STEP * PROMPT_CANDIDATES;
        is_prompt.then(|| now.after(UNCONFIRMED_STEP / 4))
    }

    /// Whether this box has decided to watch the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Records a message from another box; until the first decision it may bring that decision
    /// forward.
    pub fn on_contact(&mut self, contact: Contact, rng: &mut ChaCha8Rng, now: Micros) {
        if self.has_decided || contact <= self.contact {
            return;
        }
        self.contact = contact;
        let wait = match contact {
            Contact::None => START_WAIT_ALONE,
            Contact::Remote => START_WAIT_REMOTE,
            Contact::Local => START_WAIT_LOCAL,
        };
        let at = now.after(wait + START_JITTER.mul_f64(rng.random()) / 2);
        self.next_decision = self.next_decision.min(at);
    }

    /// Records an answer of the store to this box; returns it as it is published.
    pub fn on_answer(&mut self, address: SocketAddr, now: Micros) -> StoreReader {
        self.list_self(address, now.after(WATCHER_FRESH_FOR));
        self.confirm(&self.me.clone(), now.after(CONFIRMED_FOR));
        StoreReader {
            id: self.me.clone(),
            domain: self.domain.clone(),
            age_ms: 0,
            address: address.to_string(),
        }
    }

    /// Boxes to which an answer of the store to this box is published: the running boxes of the
    /// domain that would be the first to replace its watchers.
    #[must_use]
    pub fn answer_receivers(roster: &Roster, now: Micros) -> Vec<SocketAddr> {
        roster.running(now).take(MAX_ANSWER_RECEIVERS).collect()
    }

    fn confirm(&mut self, by: &BoxId, until: Micros) {
        let known = self.confirmed.as_ref().map(|known| known.until);
        if known.is_none_or(|known| known < until) {
            let by = by.clone();
            self.confirmed = Some(Confirmation { until, by });
        }
    }

    /// Age of the store's last answer to a watcher of the own domain, and that watcher; `None`
    /// before the first answer.
    #[must_use]
    pub fn last_answer(&self, now: Micros) -> Option<(Duration, &BoxId)> {
        let confirmed = self.confirmed.as_ref()?;
        let answered_at = confirmed.until.before(CONFIRMED_FOR);
        Some((now.since(answered_at), &confirmed.by))
    }

    /// The last answer and its watcher, as text for the decision log.
    #[must_use]
    pub fn describe_last_answer(&self, now: Micros) -> String {
        match self.last_answer(now) {
            Some((age, by)) => format!("store answered {by} {} ms ago", age.as_millis()),
            None => "no answer yet".to_owned(),
        }
    }

    /// Whether the domain is confirmed, if that has changed since the last call.
    pub fn confirmation_change(&mut self, now: Micros) -> Option<bool> {
        let is_confirmed = self.is_confirmed(now)?;
        let has_changed = is_confirmed != self.was_confirmed;
        self.was_confirmed = is_confirmed;
        has_changed.then_some(is_confirmed)
    }

    /// Whether the store answered a watcher of the own domain lately; `None` before the first
    /// answer.
    fn is_confirmed(&self, now: Micros) -> Option<bool> {
        self.confirmed.as_ref().map(|known| now < known.until)
    }

    /// Lists this box as a watcher until `fresh_until`.
    fn list_self(&mut self, address: SocketAddr, fresh_until: Micros) {
        let known = KnownWatcher {
            domain: self.domain.clone(),
            fresh_until,
            address,
        };
        self.known.insert(self.me.clone(), known);
    }

    /// Shifts all times by a process pause, so that the pause doesn't age entries.
    pub fn on_process_pause(&mut self, time: Duration) {
        for known in self.known.values_mut() {
            known.fresh_until = known.fresh_until.after(time);
        }
        if let Some(confirmed) = &mut self.confirmed {
            confirmed.until = confirmed.until.after(time);
        }
    }

    /// Whether `readers` contains enough watchers of a failure domain.
    #[must_use]
    pub fn are_enough(readers: &[StoreReader], domain: &DomainId) -> bool {
        let of_domain = readers.iter().filter(|reader| reader.domain == *domain);
        of_domain.count() >= WATCHERS_PER_DOMAIN
    }

    /// Processes the watchers that a peer has reported; keeps the most recent report of each.
    pub fn on_peer_watchers(&mut self, readers: &[StoreReader], now: Micros) {
        for reader in readers {
            if reader.id == self.me {
                continue;
            }
            let age = Duration::from_millis(reader.age_ms.into());
            let fresh_until = now.after(WATCHER_FRESH_FOR.saturating_sub(age));
            if reader.domain == self.domain && age < CONFIRMED_FOR {
                let until = now.after(CONFIRMED_FOR.saturating_sub(age));
                self.confirm(&reader.id, until);
            }
            let Ok(address) = reader.address.parse() else {
                continue;
            };
            let known = self.known.get(&reader.id);
            if known.is_none_or(|known| known.fresh_until < fresh_until) {
                let known = KnownWatcher {
                    domain: reader.domain.clone(),
                    fresh_until,
                    address,
                };
                self.known.insert(reader.id.clone(), known);
            }
        }
    }

    /// Fresh watchers of a failure domain, to be published there.
    #[must_use]
    pub fn watchers_of(&self, domain: &DomainId, now: Micros) -> Vec<StoreReader> {
        let fresh = self.known.iter().filter(|(id, known)| {
            let is_own = **id == self.me;
            known.domain == *domain && known.is_fresh(now) && (!is_own || self.is_watching)
        });
        fresh
            .take(MAX_PUBLISHED_WATCHERS)
            .map(|(id, known)| StoreReader {
                id: id.clone(),
                domain: known.domain.clone(),
                age_ms: WATCHER_FRESH_FOR
                    .saturating_sub(known.fresh_until.since(now))
                    .as_millis() as u32,
                address: known.address.to_string(),
            })
            .collect()
    }

    /// Decides, about every [`DECISION_INTERVAL`], whether this box watches the store; returns the
    /// new state if it has changed.
    pub fn decide(&mut self, roster: &Roster, rng: &mut ChaCha8Rng, now: Micros) -> Option<bool> {
        if now < self.next_decision && !self.is_turn(roster, now) {
            return None;
        }
        self.has_decided = true;
        self.next_decision = now.after(DECISION_INTERVAL.mul_f64(rng.random_range(0.5..1.5)));
        self.known
            .retain(|_, known| now < known.fresh_until.after(WATCHER_RETENTION));
        let is_needed = self.is_needed(roster, now);
        let has_changed = is_needed != self.is_watching;
        self.is_watching = is_needed;
        self.enough_since = self.enough_since.filter(|_| is_needed);
        self.too_few_since = self.too_few_since.filter(|_| !is_needed);
        if is_needed && has_changed {
            self.list_self(roster.own_address(), now.after(CLAIM_VALID_FOR));
        }
        has_changed.then_some(is_needed)
    }

    /// Whether this box is the first by id of the watchers of its domain; it then does the tasks
    /// that one box of a domain is enough for. In an unconfirmed domain the watchers of before keep
    /// their order, since the store may be down for all.
    #[must_use]
    pub fn is_first(&self, roster: &Roster, now: Micros) -> bool {
        let lost = self.confirmed.as_ref().filter(|c| c.until <= now);
        let lost = lost.map(|confirmed| self.unanswered_watchers(confirmed));
        let counts = |known: &KnownWatcher| match &lost {
            None => known.domain == self.domain && known.is_fresh(now),
            Some(lost) => lost.contains(&known.address),
        };
        let is_before = |id: &BoxId, known: &KnownWatcher| {
            *id < self.me && counts(known) && !roster.is_lost(known.address, now)
        };
        let is_candidate = lost
            .as_ref()
            .is_some_and(|lost| !lost.contains(&roster.own_address()));
        let mut others = self.known.iter();
        self.is_watching && !is_candidate && !others.any(|(id, known)| is_before(id, known))
    }

    /// Addresses of the fresh watchers in all domains, this box excluded.
    #[must_use]
    pub fn addresses(&self, now: Micros) -> Vec<SocketAddr> {
        let others = self.known.iter().filter(|(id, _)| **id != self.me);
        let fresh = others.filter(|(_, known)| known.is_fresh(now));
        fresh.map(|(_, known)| known.address).collect()
    }

    /// Number of other fresh watchers in the domain, as text for the decision log.
    #[must_use]
    pub fn describe_others(&self, now: Micros) -> String {
        let others = self.known.iter().filter(|(id, known)| {
            **id != self.me && known.domain == self.domain && known.is_fresh(now)
        });
        format!("others that watch: {}", others.count())
    }

    /// Whether this box is to begin to watch, since no watcher of its domain is answered.
    fn is_turn(&self, roster: &Roster, now: Micros) -> bool {
        let Some(confirmed) = self.confirmed.as_ref().filter(|c| c.until <= now) else {
            return false;
        };
        let me = roster.own_address();
        let lost = self.unanswered_watchers(confirmed);
        let candidates = roster.running(now).filter(|a| !lost.contains(a));
        let before_me = candidates.filter(|address| *address < me);
        let delay = unconfirmed_delay(before_me.count() as u32);
        !self.is_watching && now.since(confirmed.until) >= delay
    }

    /// Watchers of the domain from the time when it was confirmed. Boxes that began to watch since
    /// are not among them, so that they delay the next candidates.
    fn unanswered_watchers(&self, confirmed: &Confirmation) -> Vec<SocketAddr> {
        let began_since = confirmed.until.after(CLAIM_VALID_FOR);
        let of_domain = self.known.iter().filter(|(id, known)| {
            let is_lost = known.fresh_until < began_since || **id == confirmed.by;
            known.domain == self.domain && is_lost
        });
        of_domain.map(|(_, known)| known.address).collect()
    }

    fn is_needed(&mut self, roster: &Roster, now: Micros) -> bool {
        let others = self.known.iter().filter(|(id, known)| {
            let is_of_domain = **id != self.me && known.domain == self.domain;
            is_of_domain && known.is_fresh(now) && !roster.is_lost(known.address, now)
        });
        if self.is_watching {
            let before_me = others.filter(|(id, _)| **id < self.me);
            let are_enough = before_me.count() >= WATCHERS_PER_DOMAIN;
            return !self.may_hand_over(are_enough, now);
        }
        if self.is_confirmed(now) == Some(false) {
            return self.is_turn(roster, now);
        }
        let others: Vec<SocketAddr> = others.map(|(_, known)| known.address).collect();
        let missing = WATCHERS_PER_DOMAIN.saturating_sub(others.len());
        if missing == 0 {
            self.too_few_since = None;
            return false;
        }
        let too_few_since = *self.too_few_since.get_or_insert(now);
        let me = roster.own_address();
        let candidates = roster.running(now).filter(|a| !others.contains(a));
        let before_me = candidates.filter(|address| *address < me).count();
        let steps = (before_me + 1).saturating_sub(missing) as u32;
        now.since(too_few_since) >= TAKEOVER_STEP * steps
    }

    /// Whether enough others have watched for long enough that this box may stop.
    fn may_hand_over(&mut self, are_enough: bool, now: Micros) -> bool {
        if !are_enough {
            self.enough_since = None;
            return false;
        }
        let enough_since = *self.enough_since.get_or_insert(now);
        now.since(enough_since) >= HANDOVER_DELAY
    }
}

/// Time from which a box watches after its domain became unconfirmed, by the number of running boxes
/// before it.
fn unconfirmed_delay(before_me: u32) -> Duration {
    let prompt = before_me.min(PROMPT_CANDIDATES);
    UNCONFIRMED_STEP * prompt + LATE_STEP * (before_me - prompt)
}
