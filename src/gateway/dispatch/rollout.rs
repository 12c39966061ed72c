//! Roll-outs: the state machine that moves a service to endpoints of another version, and back if
//! that version is bad.
//!
//! Input is an operator's order, which names a service, a target version and a duration. The
//! endpoints of the target version already run next to the others. All boxes take part in the
//! decision and none owns it: boxes pool the results of attempts ([`evidence`]), each box judges
//! the pooled results by itself ([`verdict`]), and a box that enters a phase publishes it to all
//! boxes, which enter it too. Phases are ordered, and a box never goes back to an earlier one.
//!
//! | phase | new work goes to | entered when |
//! |---|---|---|
//! | `canary` | endpoints of other versions, a small share to the target ([`canary`]) | the order is seen |
//! | `switch` | the target; running streams move there | shortly before the order's time ends, a box that watches roll-outs judges the target sound |
//! | `bad` | endpoints of other versions only | any box judges the target bad, unless the roll-out is committed |
//! | `committed` | the target | no box has attempts at other versions; the status in the store is to be written |
//! | `completed`, `rolled_back` | the target; other versions | the object in the store says so |
//!
//! The object in the store is the only durable state: after a restart of all boxes, they read from
//! it which orders exist and which are finished. A status write names the revision that was read,
//! so of two concurrent writes one wins, and a late write changes nothing. A box that doesn't watch
//! the store keeps an order for [`CONFIRMATION_VALID_FOR`] after a watching box last confirmed it.
//!
//! Alternatives are discussed in docs/design/rollouts.md.

pub mod canary;
pub mod evidence;
pub mod exposure;
mod judging;
mod known;
mod order;
mod rules;
pub mod status;
pub mod verdict;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::fleet::Fleet;
use crate::schema::{
    DomainId, DomainTally, Micros, RolloutPhase, RolloutState, ServiceId, VersionId,
};
use canary::Canaries;
use evidence::{Evidence, FAILED, TimeKind};
use exposure::ExposureLimit;
use status::{ObjectState, StatusWrites};

pub use known::Rollouts;
pub use order::RolloutOrder;
pub use rules::{VersionRule, VersionRules};

/// How long an order stays valid without confirmation by a box that watches roll-outs. Replacing
/// failed watchers takes some 5 s.
const CONFIRMATION_VALID_FOR: Duration = Duration::from_secs(30);
/// How long before the end of the order's time streams at other versions move to the target. Taking
/// a snapshot and sending a message to all boxes take less.
const STREAMS_LEAVE_BEFORE_END: Duration = Duration::from_secs(1);
/// How long streams stay at other versions after a switch that happens after the order's time. Most
/// end on their own within it and need not be moved.
const STREAMS_LEAVE_LATE_AFTER: Duration = Duration::from_millis(3_500);
/// How long after a switch prompts pile up at the same engines. By then engines have read those
/// prompts, and boxes know of each other's placements.
const HERD_DURATION: Duration = Duration::from_millis(2_500);
/// How long the target receives all requests before the roll-out is committed. Faults that occur
/// only under the full load show within it.
const MIN_SWITCH_DURATION: Duration = Duration::from_millis(600);
/// How long a phase must have lasted before a box reports that it has left the other versions.
/// Requests placed before the phase began are counted by then.
const PHASE_SETTLED_AFTER: Duration = Duration::from_millis(100);
/// How long a box doesn't report that it has left the other versions after it had to send a request
/// to one of them because no endpoint of the target accepted it.
const FALLBACK_BLOCKS_LEAVING_FOR: Duration = Duration::from_millis(500);
/// Minimum time between two judgements of the evidence.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// The state of a roll-out at another box of the same failure domain.
#[derive(Clone, Copy, Debug)]
struct PeerProgress {
    phase: RolloutPhase,
    has_left: bool,
}

/// What the dispatcher has to do after a roll-out was evaluated or updated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A roll-out has entered a phase.
    Entered {
        /// The service that is rolled out.
        service: ServiceId,
        /// The version that the service moves to.
        target: VersionId,
        /// The phase entered, always later than the previous one.
        phase: RolloutPhase,
        /// The reason, for operators.
        why: String,
    },
    /// This box has left the other versions: report it to its failure domain at once.
    LeftOthers,
    /// All boxes of this failure domain have left the other versions: report it to the other
    /// domains at once.
    DomainLeftOthers,
    /// Write the status of an object to the store.
    WriteStatus(status::StatusWrite),
}

/// A duration in whole milliseconds, as messages between boxes carry it; saturates at about 49
/// days.
fn saturating_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The state of one roll-out at this box.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    /// Earliest time at which any box saw the order, as far as this box knows.
    first_seen: Micros,
    /// Time of the last confirmation by a box that watches roll-outs.
    confirmed_at: Micros,
    phase: RolloutPhase,
    phase_since: Micros,
    judged_at: Micros,
    /// Whether the last verdict was [`verdict::Verdict::Sound`].
    is_sound: bool,
    canaries: Canaries,
    /// Canary shares of the routes that have too few requests for the ordinary share, by series.
    low_traffic_routes: BTreeMap<u32, f64>,
    evidence: Evidence,
    /// Whether this box has left the other versions. Never reset: once it is reported, other boxes
    /// may stop serving the other versions at any time. When a box behind a cut link went back to
    /// another version after it had reported this, its request was cut (roll-out emulator, 12
    /// boxes, seed 4, one domain cut off at the end).
    has_left: bool,
    /// Whether it was published to the other domains that all boxes of this one have left the other
    /// versions.
    has_published_domain_left: bool,
    /// Time of the last attempt at another version after the switch, made because no endpoint of
    /// the target accepted it.
    fell_back_at: Option<Micros>,
    peers: BTreeMap<SocketAddr, PeerProgress>,
    /// For each other domain, the time of its last report and whether all its boxes have left the
    /// other versions.
    left_domains: BTreeMap<DomainId, (Micros, bool)>,
    object: Option<ObjectState>,
    writes: StatusWrites,
}

/// Inputs to a decision from outside the roll-out.
#[derive(Clone, Copy, Debug)]
pub struct RolloutContext<'a> {
    /// All known endpoints.
    pub fleet: &'a Fleet,
    /// The failure domain of this box.
    pub domain: &'a DomainId,
    /// Running boxes of this failure domain, except this one.
    pub local_peers: &'a [SocketAddr],
    /// Failure domains with running boxes, except this one.
    pub other_domains: &'a [DomainId],
    /// Whether this box watches roll-outs in the store for its domain.
    pub is_watching: bool,
    /// Whether the service has model engines.
    pub has_engines: bool,
    /// Expected run time of a request that has to move to the target; zero for calls, which end at
    /// the endpoint where they started.
    pub stream_time: Duration,
    /// Attempts of this box at endpoints of the service with other versions than the target.
    pub attempts_elsewhere: usize,
}

impl Rollout {
    fn new(order: RolloutOrder, first_seen: Micros, now: Micros) -> Self {
        Self {
            order,
            first_seen,
            confirmed_at: now,
            phase: RolloutPhase::Canary,
            phase_since: now,
            judged_at: Micros::ZERO,
            is_sound: false,
            canaries: Canaries::default(),
            low_traffic_routes: BTreeMap::new(),
            evidence: Evidence::default(),
            has_left: false,
            has_published_domain_left: false,
            fell_back_at: None,
            peers: BTreeMap::new(),
            left_domains: BTreeMap::new(),
            object: None,
            writes: StatusWrites::default(),
        }
    }

    /// The order that this roll-out carries out.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Time at which this box entered the current phase.
    #[must_use]
    pub fn phase_since(&self) -> Micros {
        self.phase_since
    }

    /// Time from which streams at other versions are to move to the target; `None` in phases that
    /// don't leave the other versions.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Micros> {
        let end = self.first_seen.after(self.order.duration);
        let at = if self.phase_since >= end {
            self.phase_since.after(STREAMS_LEAVE_LATE_AFTER)
        } else {
            end.before(STREAMS_LEAVE_BEFORE_END).max(self.phase_since)
        };
        self.leaves_others().then_some(at)
    }

    /// The results of attempts that the roll-out is judged by.
    #[must_use]
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Mutable access to the evidence, to add results.
    pub fn evidence_mut(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    /// Whether results of attempts are collected and judged in the current phase.
    #[must_use]
    pub fn is_judged(&self) -> bool {
        matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Switch)
    }

    /// Whether a result is counted now. Just after a switch all boxes choose among engines that all
    /// appear idle, so prompts pile up at some of them and slow down each other's streams; slow
    /// events are not counted for [`HERD_DURATION`] then.
    #[must_use]
    pub fn counts_result(&self, kind: TimeKind, bucket: u8, now: Micros) -> bool {
        let is_herd =
            self.phase == RolloutPhase::Switch && now.since(self.phase_since) < HERD_DURATION;
        match kind {
            TimeKind::FirstEvent => self.phase == RolloutPhase::Canary,
            TimeKind::Event => self.is_judged() && (bucket == FAILED || !is_herd),
            TimeKind::Call => self.is_judged(),
        }
    }

    /// Whether the object in the store says that the roll-out has ended, so that nothing is left to
    /// decide or do.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(
            self.phase,
            RolloutPhase::Completed | RolloutPhase::RolledBack
        )
    }

    /// Whether new work avoids all versions but the target.
    #[must_use]
    pub fn leaves_others(&self) -> bool {
        use RolloutPhase::{Committed, Completed, Switch};
        matches!(self.phase, Switch | Committed | Completed)
    }

    /// Whether a stream that a version began may get another attempt at that version: not once its
    /// servers are about to be stopped, nor at a version that was found bad.
    #[must_use]
    pub fn admits_bound(&self, version: &VersionId) -> bool {
        match self.phase {
            RolloutPhase::Canary | RolloutPhase::Switch | RolloutPhase::Completed => true,
            RolloutPhase::Committed => *version == self.order.target,
            RolloutPhase::Bad | RolloutPhase::RolledBack => *version != self.order.target,
        }
    }

    /// The probability with which a request that arrives now goes to the target; `series` is the
    /// series of its route's results.
    #[must_use]
    pub fn canary_share(&self, series: u32, now: Micros) -> f64 {
        if self.phase != RolloutPhase::Canary || self.canaries.endpoints().is_empty() {
            return 0.0;
        }
        let ordinary = self.canaries.share(now.since(self.first_seen));
        let of_route = self.low_traffic_routes.get(&series).copied();
        of_route.map_or(ordinary, |share| share.max(ordinary))
    }

    /// Which endpoints may take the attempts of a request.
    #[must_use]
    pub fn rules(&self, is_canary: bool) -> VersionRules<'_> {
        let target = &self.order.target;
        let attempts = match self.phase {
            RolloutPhase::Canary if is_canary => VersionRule::Among(self.canaries.endpoints()),
            RolloutPhase::Canary | RolloutPhase::Bad | RolloutPhase::RolledBack => {
                VersionRule::Except(target)
            }
            RolloutPhase::Switch | RolloutPhase::Committed | RolloutPhase::Completed => {
                VersionRule::Only(target)
            }
        };
        VersionRules::new(attempts)
    }

    /// Which endpoints may take an attempt if none that [`Self::rules`] admits accepts it.
    /// `has_others` tells whether an endpoint of another version than the target accepts work.
    #[must_use]
    pub fn fallback(&self, is_canary: bool, has_others: bool) -> Option<VersionRules<'_>> {
        let rules = self.rules(false);
        let any = VersionRules::default();
        match self.phase {
            RolloutPhase::Canary if has_others => is_canary.then_some(rules),
            RolloutPhase::Switch => (!self.has_left).then_some(any),
            RolloutPhase::Canary | RolloutPhase::Completed => Some(any),
            RolloutPhase::Bad | RolloutPhase::Committed | RolloutPhase::RolledBack => None,
        }
    }

    /// Enters `phase` if it is later than the current one.
    fn enter(&mut self, phase: RolloutPhase, why: String, now: Micros, effects: &mut Vec<Effect>) {
        if phase <= self.phase {
            return;
        }
        self.phase = phase;
        self.phase_since = now;
        effects.push(Effect::Entered {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase,
            why,
        });
    }

    /// Judges the evidence if that is due, and enters the phases that follow from it, the time and
    /// the reports of other boxes.
    fn evaluate(
        &mut self,
        limit: ExposureLimit,
        context: &RolloutContext<'_>,
        now: Micros,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if context.is_watching && self.object.is_some() {
            self.confirmed_at = now;
        }
        if self.is_judged() && now.since(self.judged_at) >= JUDGE_INTERVAL {
            self.judged_at = now;
            self.judge(limit, context, now, &mut effects);
        }
        if !self.has_left && self.may_leave(context.attempts_elsewhere, now) {
            self.has_left = true;
            effects.push(Effect::LeftOthers);
        }
        if !self.has_published_domain_left && context.is_watching && self.has_domain_left(context) {
            self.has_published_domain_left = true;
            effects.push(Effect::DomainLeftOthers);
        }
        let has_run_long_enough = now.since(self.phase_since) >= MIN_SWITCH_DURATION;
        let is_switched = self.phase == RolloutPhase::Switch && has_run_long_enough;
        if is_switched
            && self.is_sound
            && context.is_watching
            && self.have_all_domains_left(context)
        {
            let why = "no box has attempts at other versions".to_owned();
            self.enter(RolloutPhase::Committed, why, now, &mut effects);
        }
        if let Some(object) = self.object.as_ref().filter(|_| context.is_watching) {
            let write = self.writes.next(self.phase, object, context, now);
            effects.extend(write.map(Effect::WriteStatus));
        }
        effects
    }

    /// Whether this box has no attempts at other versions and hasn't lately needed one.
    fn may_leave(&self, attempts_elsewhere: usize, now: Micros) -> bool {
        let is_settled = now.since(self.phase_since) >= PHASE_SETTLED_AFTER;
        let needed_others = self
            .fell_back_at
            .is_some_and(|at| now.since(at) < FALLBACK_BLOCKS_LEAVING_FOR);
        self.leaves_others() && is_settled && attempts_elsewhere == 0 && !needed_others
    }

    /// Records that an attempt starts at an endpoint of `version`.
    pub fn on_attempt(&mut self, version: &VersionId, now: Micros) {
        if self.leaves_others() && *version != self.order.target {
            self.fell_back_at = Some(now);
        }
    }

    /// Whether all running boxes of this failure domain have left the other versions.
    fn has_domain_left(&self, context: &RolloutContext<'_>) -> bool {
        let has_left = |address: &SocketAddr| {
            let peer = self.peers.get(address);
            peer.is_some_and(|peer| peer.has_left && peer.phase >= RolloutPhase::Switch)
        };
        self.has_left && context.local_peers.iter().all(has_left)
    }

    /// Whether all running boxes of all failure domains have left the other versions.
    fn have_all_domains_left(&self, context: &RolloutContext<'_>) -> bool {
        let has_left = |domain: &DomainId| {
            let reported = self.left_domains.get(domain);
            reported.is_some_and(|(_, has_left)| *has_left)
        };
        self.has_domain_left(context) && context.other_domains.iter().all(has_left)
    }

    /// The state of this roll-out to publish to the boxes of `domain`.
    fn state_for(
        &self,
        domain: &DomainId,
        context: &RolloutContext<'_>,
        now: Micros,
    ) -> RolloutState {
        let age = |at: Micros| saturating_millis(now.since(at));
        RolloutState {
            service: self.order.service.clone(),
            order: self.order.id,
            target: self.order.target.clone(),
            duration_ms: saturating_millis(self.order.duration),
            age_ms: age(self.first_seen),
            seen_ms: age(self.confirmed_at),
            phase: self.phase,
            tallies: self.tallies_for(domain, context, now),
        }
    }

    /// The results to publish to the boxes of `domain`: none for a finished roll-out, since its
    /// object may stay in the store for weeks and each message would carry some 60 bytes per series
    /// and domain.
    fn tallies_for(
        &self,
        domain: &DomainId,
        context: &RolloutContext<'_>,
        now: Micros,
    ) -> Vec<DomainTally> {
        let mut tallies = Vec::new();
        if self.is_finished() {
            return tallies;
        }
        if domain == context.domain {
            tallies.extend(self.evidence.other_tallies(now));
        } else if self.is_judged() || self.leaves_others() {
            tallies.push(self.evidence.own_tally(context.domain));
        }
        for tally in &mut tallies {
            tally.is_clear = if tally.domain == *context.domain {
                self.has_domain_left(context)
            } else {
                let reported = self.left_domains.get(&tally.domain);
                reported.is_some_and(|(_, has_left)| *has_left)
            };
        }
        tallies
    }

    /// Merges the state of this order that a peer reported.
    fn on_peer_state(&mut self, state: &RolloutState, own: &DomainId, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        let at = |age_ms: u32| now.before(Duration::from_millis(age_ms.into()));
        self.first_seen = self.first_seen.min(at(state.age_ms));
        self.confirmed_at = self.confirmed_at.max(at(state.seen_ms));
        for tally in state.tallies.iter().filter(|tally| tally.domain != *own) {
            self.on_tally(tally, at(tally.age_ms));
        }
        self.enter(
            state.phase,
            "reported by a peer".to_owned(),
            now,
            &mut effects,
        );
        effects
    }

    fn on_tally(&mut self, tally: &DomainTally, at: Micros) {
        let known = self.left_domains.get(&tally.domain);
        if known.is_none_or(|(known, _)| *known < at) {
            let report = (at, tally.is_clear);
            self.left_domains.insert(tally.domain.clone(), report);
        }
        self.evidence.on_tally(tally, at);
    }
}
