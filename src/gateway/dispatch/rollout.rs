//! Roll-outs: how a service moves to endpoints of another version, and back if that one is bad.
//!
//! An operator's order names a service, a version and a time. The endpoints of that version stand
//! beside the others already. All boxes take part in the decision and none keeps it: what endpoints
//! answered is pooled ([`evidence`]), each box judges it by itself ([`verdict`]), and a phase that one
//! box has entered is told to all, who enter it too. A later phase is never left for an earlier one.
//!
//! | phase | new work goes to | entered when |
//! |---|---|---|
//! | `canary` | endpoints of other versions, a small share to the target ([`canary`]) | the order is seen |
//! | `switch` | the target; streams elsewhere go on there | a box that watches roll-outs finds nothing held against the target shortly before the time is over |
//! | `bad` | endpoints of other versions only | any box finds the target bad, unless it is committed |
//! | `committed` | the target | no box has work elsewhere, and the store is asked to say so |
//! | `completed`, `rolled_back` | the target; others | the store's object says so |
//!
//! The store's object is the only memory: a fleet that starts anew finds orders there, and which of
//! them are finished. Its status is written under the revision that was read, so of two that write one
//! wins, and a write that comes late changes nothing. Boxes that don't watch the store believe in an
//! order for [`VOUCHED_FOR`] after a box that does has vouched for it.
//!
//! Weighed in docs/design/rollouts.md.

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
use evidence::{Evidence, FAILED, Timed};
use exposure::ExposureLimit;
use status::{ObjectState, StatusWrites};

pub use known::Rollouts;
pub use order::RolloutOrder;
pub use rules::{VersionRule, VersionRules};

/// How long a box believes in an order that no box which watches roll-outs vouches for: longer than
/// new ones need to step in for watchers that died (some 5 s).
const VOUCHED_FOR: Duration = Duration::from_secs(30);
/// How long before the end of its time streams elsewhere leave for the target: a snapshot and a message
/// around all boxes take less.
const LEAVE_BEFORE_END: Duration = Duration::from_secs(1);
/// How long streams elsewhere stay where they are once an order switches that is late already: most
/// end by themselves, and need not be moved.
const LEAVE_LATE_AFTER: Duration = Duration::from_millis(3_500);
/// How long prompts meet at engines after a switch: they have been read by then, and boxes know of each
/// other's.
const HERD_FOR: Duration = Duration::from_millis(2_500);
/// How long the target has all requests before the roll-out is committed: what fails under the whole
/// load only shows by then.
const LEAST_SWITCH: Duration = Duration::from_millis(600);
/// How long a phase has lasted before a box says that it has left the other versions: requests that
/// were placed before are counted by then.
const PHASE_SETTLED_AFTER: Duration = Duration::from_millis(100);
/// How long a box that had to send a request to another version, since no endpoint of the target
/// took it, doesn't say that it has left the others.
const FELL_BACK_FOR: Duration = Duration::from_millis(500);
/// Least time between two looks at the evidence.
const JUDGE_EVERY: Duration = Duration::from_millis(100);

/// How far another box is.
#[derive(Clone, Copy, Debug)]
struct Noted {
    phase: RolloutPhase,
    is_clear: bool,
}

/// What follows for the box when roll-outs are looked at.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// A roll-out has entered a phase.
    Entered {
        /// The service.
        service: ServiceId,
        /// The version.
        target: VersionId,
        /// The phase.
        phase: RolloutPhase,
        /// Why, for operators.
        why: String,
    },
    /// This box has left the other versions: its domain is to know at once.
    Left,
    /// All boxes of the own domain have: other domains are to know at once.
    DomainLeft,
    /// The status of an object is to be written.
    Write(status::StatusWrite),
}

/// A time in whole milliseconds, as peers tell it; one over 49 days counts as 49 days.
fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// One roll-out.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    /// When the order was first seen by any box, as far as this one knows.
    seen_first: Micros,
    /// When a box that watches roll-outs vouched for it last.
    vouched: Micros,
    phase: RolloutPhase,
    phase_since: Micros,
    judged: Micros,
    /// Whether nothing spoke against the target when it was judged last.
    is_sound: bool,
    canaries: Canaries,
    /// The shares of the routes whose requests are too few for the canary's ordinary one, by series.
    low_traffic_routes: BTreeMap<u32, f64>,
    evidence: Evidence,
    /// Whether this box has left the other versions for good. It says so, and the others may then stop at
    /// any time: without this a box behind a cut link went back to them after it had said so, and the
    /// request was cut (emulator of roll-outs, 12 boxes, seed 4, a domain cut at the end).
    has_left: bool,
    /// Whether other domains were told at once that all boxes of the own one have left them.
    has_told_clear: bool,
    /// When a request went to another version last, since no endpoint of the target took it.
    fell_back: Option<Micros>,
    boxes: BTreeMap<SocketAddr, Noted>,
    /// Whether all boxes of other domains have left the other versions, and when they said so.
    clear_domains: BTreeMap<DomainId, (Micros, bool)>,
    object: Option<ObjectState>,
    writes: StatusWrites,
}

/// What a box knows beyond the roll-out when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// The endpoints.
    pub fleet: &'a Fleet,
    /// The own failure domain.
    pub domain: &'a DomainId,
    /// The running boxes of it, this one left out.
    pub near: &'a [SocketAddr],
    /// The failure domains with running boxes, the own one left out.
    pub others: &'a [DomainId],
    /// Whether this box watches roll-outs for its domain.
    pub is_watching: bool,
    /// Whether the service has model engines.
    pub has_engines: bool,
    /// How long a request runs that has to go on elsewhere when it leaves its endpoint: nothing for
    /// calls, which end where they are.
    pub moved: Duration,
    /// Attempts of this box at endpoints of the service with other versions than the target.
    pub elsewhere: usize,
}

impl Rollout {
    fn new(order: RolloutOrder, seen_first: Micros, now: Micros) -> Self {
        Self {
            order,
            seen_first,
            vouched: now,
            phase: RolloutPhase::Canary,
            phase_since: now,
            judged: Micros::ZERO,
            is_sound: false,
            canaries: Canaries::default(),
            low_traffic_routes: BTreeMap::new(),
            evidence: Evidence::default(),
            has_left: false,
            has_told_clear: false,
            fell_back: None,
            boxes: BTreeMap::new(),
            clear_domains: BTreeMap::new(),
            object: None,
            writes: StatusWrites::default(),
        }
    }

    /// The order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// How far it is.
    #[must_use]
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Since when it is that far.
    #[must_use]
    pub fn phase_since(&self) -> Micros {
        self.phase_since
    }

    /// Since when streams at other versions are to leave, if they are.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Micros> {
        let end = self.seen_first.after(self.order.duration);
        let at = if self.phase_since >= end {
            self.phase_since.after(LEAVE_LATE_AFTER)
        } else {
            end.before(LEAVE_BEFORE_END).max(self.phase_since)
        };
        self.leaves_others().then_some(at)
    }

    /// What is known of its endpoints' answers.
    #[must_use]
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// What is known of its endpoints' answers, to add to it.
    pub fn evidence_mut(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    /// Whether its endpoints' answers are of interest.
    #[must_use]
    pub fn is_judged(&self) -> bool {
        matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Switch)
    }

    /// Whether an answer tells of the version now. Just after a switch all boxes choose among engines that
    /// all look free, so prompts meet there, and streams are slow by each other's prompts.
    #[must_use]
    pub fn tells(&self, timed: Timed, step: u8, now: Micros) -> bool {
        let is_herd = self.phase == RolloutPhase::Switch && now.since(self.phase_since) < HERD_FOR;
        match timed {
            Timed::FirstEvent => self.phase == RolloutPhase::Canary,
            Timed::Event => self.is_judged() && (step == FAILED || !is_herd),
            Timed::Call => self.is_judged(),
        }
    }

    /// Whether the store says how it ended: nothing is to be found out or done any more.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(
            self.phase,
            RolloutPhase::Completed | RolloutPhase::RolledBack
        )
    }

    /// Whether new work is to leave other versions than the target.
    #[must_use]
    pub fn leaves_others(&self) -> bool {
        use RolloutPhase::{Committed, Completed, Switch};
        matches!(self.phase, Switch | Committed | Completed)
    }

    /// The probability with which a request that comes now goes to the target; `series` is that of its
    /// route's answers.
    #[must_use]
    pub fn canary_share(&self, series: u32, now: Micros) -> f64 {
        if self.phase != RolloutPhase::Canary || self.canaries.endpoints().is_empty() {
            return 0.0;
        }
        let of_all = self.canaries.share(now.since(self.seen_first));
        let of_route = self.low_traffic_routes.get(&series).copied();
        of_route.map_or(of_all, |share| share.max(of_all))
    }

    /// Where a request may go.
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
        let replicas = if self.leaves_others() {
            VersionRule::Only(target)
        } else {
            VersionRule::Except(target)
        };
        VersionRules { attempts, replicas }
    }

    /// Where an attempt may go if nothing that [`Self::rules`] admits takes it. `has_others` tells
    /// whether an endpoint of another version than the target takes work.
    #[must_use]
    pub fn fallback(&self, is_canary: bool, has_others: bool) -> Option<VersionRules<'_>> {
        let rules = self.rules(false);
        let any = VersionRules {
            attempts: VersionRule::Any,
            ..rules
        };
        match self.phase {
            RolloutPhase::Canary if has_others => is_canary.then_some(rules),
            RolloutPhase::Switch => (!self.has_left).then_some(any),
            RolloutPhase::Canary | RolloutPhase::Completed => Some(any),
            RolloutPhase::Bad | RolloutPhase::Committed | RolloutPhase::RolledBack => None,
        }
    }

    /// Enters a phase if it is a later one.
    fn enter(&mut self, phase: RolloutPhase, why: String, now: Micros, steps: &mut Vec<Step>) {
        if phase <= self.phase {
            return;
        }
        self.phase = phase;
        self.phase_since = now;
        steps.push(Step::Entered {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase,
            why,
        });
    }

    /// Looks at the evidence, the time and the other boxes.
    fn evaluate(
        &mut self,
        limit: ExposureLimit,
        around: &Surroundings<'_>,
        now: Micros,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        if around.is_watching && self.object.is_some() {
            self.vouched = now;
        }
        if self.is_judged() && now.since(self.judged) >= JUDGE_EVERY {
            self.judged = now;
            self.judge(limit, around, now, &mut steps);
        }
        if !self.has_left && self.may_leave(around.elsewhere, now) {
            self.has_left = true;
            steps.push(Step::Left);
        }
        if !self.has_told_clear && around.is_watching && self.is_domain_clear(around) {
            self.has_told_clear = true;
            steps.push(Step::DomainLeft);
        }
        let is_tried = now.since(self.phase_since) >= LEAST_SWITCH;
        let is_switched = self.phase == RolloutPhase::Switch && is_tried;
        if is_switched && self.is_sound && around.is_watching && self.is_clear(around) {
            let why = "no box has work at other versions".to_owned();
            self.enter(RolloutPhase::Committed, why, now, &mut steps);
        }
        if let Some(object) = self.object.as_ref().filter(|_| around.is_watching) {
            let write = self.writes.next(self.phase, object, around, now);
            steps.extend(write.map(Step::Write));
        }
        steps
    }

    /// Whether this box runs nothing at other versions and can do without them.
    fn may_leave(&self, elsewhere: usize, now: Micros) -> bool {
        let is_settled = now.since(self.phase_since) >= PHASE_SETTLED_AFTER;
        let needs_others = self
            .fell_back
            .is_some_and(|at| now.since(at) < FELL_BACK_FOR);
        self.leaves_others() && is_settled && elsewhere == 0 && !needs_others
    }

    /// Notes that an attempt begins at an endpoint of a version.
    pub fn on_attempt(&mut self, version: &VersionId, now: Micros) {
        if self.leaves_others() && *version != self.order.target {
            self.fell_back = Some(now);
        }
    }

    /// Whether all running boxes of the own domain have left the other versions.
    fn is_domain_clear(&self, around: &Surroundings<'_>) -> bool {
        let is_clear = |address: &SocketAddr| {
            let noted = self.boxes.get(address);
            noted.is_some_and(|noted| noted.is_clear && noted.phase >= RolloutPhase::Switch)
        };
        self.has_left && around.near.iter().all(is_clear)
    }

    /// Whether all running boxes of all domains have.
    fn is_clear(&self, around: &Surroundings<'_>) -> bool {
        let is_clear = |domain: &DomainId| {
            let told = self.clear_domains.get(domain);
            told.is_some_and(|(_, is_clear)| *is_clear)
        };
        self.is_domain_clear(around) && around.others.iter().all(is_clear)
    }

    /// What the boxes of a failure domain are told of it.
    fn told_to(&self, domain: &DomainId, around: &Surroundings<'_>, now: Micros) -> RolloutState {
        let age = |at: Micros| whole_millis(now.since(at));
        RolloutState {
            service: self.order.service.clone(),
            order: self.order.id,
            target: self.order.target.clone(),
            duration_ms: whole_millis(self.order.duration),
            age_ms: age(self.seen_first),
            seen_ms: age(self.vouched),
            phase: self.phase,
            tallies: self.tallies_for(domain, around, now),
        }
    }

    /// The answers that the boxes of a failure domain are told of. Of a finished roll-out there are
    /// none: its object may stay in the store for weeks, and some 60 bytes for each series and domain
    /// would go with each message.
    fn tallies_for(
        &self,
        domain: &DomainId,
        around: &Surroundings<'_>,
        now: Micros,
    ) -> Vec<DomainTally> {
        let mut tallies = Vec::new();
        if self.is_finished() {
            return tallies;
        }
        if domain == around.domain {
            tallies.extend(self.evidence.of_others(now));
        } else if self.is_judged() || self.leaves_others() {
            tallies.push(self.evidence.of_own(around.domain));
        }
        for tally in &mut tallies {
            tally.is_clear = if tally.domain == *around.domain {
                self.is_domain_clear(around)
            } else {
                let told = self.clear_domains.get(&tally.domain);
                told.is_some_and(|(_, is_clear)| *is_clear)
            };
        }
        tallies
    }

    /// Takes in what a box told of this order.
    fn on_told(&mut self, told: &RolloutState, own: &DomainId, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let at = |age_ms: u32| now.before(Duration::from_millis(age_ms.into()));
        self.seen_first = self.seen_first.min(at(told.age_ms));
        self.vouched = self.vouched.max(at(told.seen_ms));
        for tally in told.tallies.iter().filter(|tally| tally.domain != *own) {
            self.on_tally(tally, at(tally.age_ms));
        }
        self.enter(told.phase, "told by a peer".to_owned(), now, &mut steps);
        steps
    }

    fn on_tally(&mut self, tally: &DomainTally, at: Micros) {
        let known = self.clear_domains.get(&tally.domain);
        if known.is_none_or(|(known, _)| *known < at) {
            let clear = (at, tally.is_clear);
            self.clear_domains.insert(tally.domain.clone(), clear);
        }
        self.evidence.on_tally(tally, at);
    }
}
