//! Calls of the platform: who asked for what, and what to do with the answer.
//!
//! Nothing here waits. A call that gets no answer may have been made all the same; whoever asked
//! settles that by reading.

use std::collections::BTreeMap;

use crate::backoff::doubled;
use crate::keyed::node::Node;
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::node::config::READS_PER_LEASE;
use crate::keyed::node::event::{Object, PlatformAnswer, Timer, roster_name};
use crate::keyed::node::retries::backoff;
use crate::keyed::node::roster;
use crate::schema::{BatchId, BoxId, DomainId, Epoch, Incarnation, Micros, RequestKey, Roster};

/// What a call of the platform was made for.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// To read a roster.
    ReadRoster(DomainId, Option<u64>),
    /// To change the own roster.
    WriteRoster,
    /// To read the list of boxes and endpoints.
    Fleet,
    /// To hold a call's intent.
    Intent(RequestKey),
    /// To read the bundle pointer.
    Pointer,
    /// To wait for a new bundle pointer.
    WatchPointer,
    /// To write a new batch of deferrable work.
    NewBatch(BatchId),
    /// To write the results of a batch.
    Results(BatchId),
    /// To find the batches there are.
    ListBatches,
    /// To read a batch.
    ReadBatch(BatchId),
    /// To write a batch that was held for another failure domain.
    HeldBatch(BatchId),
    /// For nothing whose answer matters.
    Forget,
}

/// The calls that have not been answered.
#[derive(Debug)]
pub struct Calls {
    open: BTreeMap<u64, Purpose>,
    roster_read: Option<u64>,
    roster_write: Option<u64>,
    write_failures: u32,
    write_after: Micros,
    listed: bool,
    removals: u32,
    join_after: Micros,
    reachable: bool,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            roster_read: None,
            roster_write: None,
            write_failures: 0,
            write_after: Micros::ZERO,
            listed: false,
            removals: 0,
            join_after: Micros::ZERO,
            reachable: false,
        }
    }
}

impl Calls {
    /// Whether the platform answered the last call.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }
}

/// Doublings of the wait of one lease before a box that was taken out joins again.
const REJOIN_DOUBLINGS: u32 = 4;

impl Node {
    /// Calls the platform.
    pub(super) fn call_platform(&mut self, op: PlatformOp, purpose: Purpose) -> u64 {
        self.stats.platform_calls += 1;
        let id = self.out.platform(op);
        self.platform.open.insert(id, purpose);
        id
    }

    /// Reads the own roster, and renews the lease if it still lists this box.
    pub(super) fn read_roster(&mut self) {
        let every = self.cfg.lease / READS_PER_LEASE;
        self.out.timer(Timer::Roster, self.now.after(every));
        self.read_roster_now();
        if self.membership.is_scribe() || self.slices.any_closed() || !self.membership.is_listed() {
            self.read_fleet();
        }
    }

    /// Reads the platform's list. The scribe does so for its failure domain; others only while they
    /// wait for a former holder to be gone.
    fn read_fleet(&mut self) {
        let domain = self.cfg.domain.clone();
        let known = self.membership.fleet_version();
        self.call_platform(PlatformOp::Fleet { domain, known }, Purpose::Fleet);
    }

    /// Reads the own roster, unless a read is under way.
    pub(super) fn read_roster_now(&mut self) {
        if self.platform.roster_read.is_some() {
            return;
        }
        let domain = self.cfg.domain.clone();
        let id = self.read_roster_of(&domain);
        self.platform.roster_read = Some(id);
    }

    /// Reads the roster of a failure domain, unless it still is the known one.
    pub(super) fn read_roster_of(&mut self, domain: &DomainId) -> u64 {
        let known = self.membership.roster_of(domain).map(|v| v.epoch.0);
        let op = PlatformOp::Get {
            name: roster_name(domain),
            known,
        };
        self.call_platform(op, Purpose::ReadRoster(domain.clone(), known))
    }

    /// Reads the rosters of the other failure domains, to know whom to forward to.
    pub(super) fn read_other_rosters(&mut self) {
        for domain in self.cfg.domains.clone() {
            if domain != self.cfg.domain {
                self.read_roster_of(&domain);
            }
        }
    }

    /// Reads the rosters of the failure domains of which none is known.
    pub(super) fn read_missing_rosters(&mut self) {
        for domain in self.cfg.domains.clone() {
            if self.membership.roster_of(&domain).is_none() && domain != self.cfg.domain {
                self.read_roster_of(&domain);
            }
        }
    }

    /// The platform answered, or didn't.
    pub(super) fn on_platform(&mut self, id: u64, asked: Micros, answer: PlatformAnswer) {
        let Some(purpose) = self.platform.open.remove(&id) else {
            return;
        };
        self.platform.reachable = answer != PlatformAnswer::NoAnswer;
        if self.platform.roster_read == Some(id) {
            self.platform.roster_read = None;
        }
        if self.platform.roster_write == Some(id) {
            self.platform.roster_write = None;
        }
        match purpose {
            Purpose::ReadRoster(domain, known) => {
                self.on_roster_read(&domain, known, asked, answer);
            }
            Purpose::WriteRoster => self.on_roster_written(&answer),
            Purpose::Fleet => self.on_fleet(answer),
            Purpose::Intent(key) => self.on_intent_written(&key, &answer),
            Purpose::Pointer | Purpose::WatchPointer => {
                let watched = matches!(purpose, Purpose::WatchPointer);
                self.on_pointer(answer, watched);
            }
            Purpose::NewBatch(batch) => self.on_batch_written(&batch, &answer),
            Purpose::Results(batch) => self.on_results_written(&batch, &answer),
            Purpose::ListBatches => self.on_batches_listed(answer),
            Purpose::ReadBatch(batch) => self.on_batch_read(&batch, answer),
            Purpose::HeldBatch(batch) => self.on_held_written(&batch, &answer),
            Purpose::Forget => {}
        }
    }

    fn on_roster_read(
        &mut self,
        domain: &DomainId,
        known: Option<u64>,
        asked: Micros,
        answer: PlatformAnswer,
    ) {
        let own = domain == &self.cfg.domain;
        match answer {
            PlatformAnswer::Object(Object { version, value, .. }) => {
                let Ok(roster) = serde_json::from_str::<Roster>(&value) else {
                    return self.out.note("roster_unreadable", domain, "");
                };
                let new = self
                    .membership
                    .on_roster(roster, Epoch(version), asked, self.now);
                if own && new {
                    self.out.note("epoch", version, "");
                    self.on_new_epoch();
                }
            }
            PlatformAnswer::Unchanged if own => {
                self.membership
                    .on_roster_unchanged(Epoch(known.unwrap_or(0)), asked);
            }
            PlatformAnswer::Missing => {}
            _ => return,
        }
        if own {
            self.join_if_missing();
        }
    }

    /// Adds this box to its roster if it isn't there in its present life. A box that was taken out
    /// waits, longer each time, so that two boxes that don't hear each other don't take turns.
    fn join_if_missing(&mut self) {
        let listed = self.membership.is_listed();
        let removed = std::mem::replace(&mut self.platform.listed, listed) && !listed;
        if removed && !self.stopping.is_begun() {
            self.platform.removals += 1;
            let wait = doubled(self.cfg.lease, self.platform.removals - 1, REJOIN_DOUBLINGS);
            self.platform.join_after = self.now.after(wait);
            self.out.note(
                "removed_from_roster",
                &self.cfg.me.id,
                format!("back in {wait:?}"),
            );
        }
        if listed || self.stopping.is_begun() || self.now < self.platform.join_after {
            return;
        }
        let present = self.membership.own().map(|v| v.roster.clone());
        let mark = self.new_mark();
        let next = roster::join(present.as_ref(), &self.cfg.domain, &self.cfg.me, mark);
        self.write_roster(&next);
    }

    /// Writes the own roster if its version is still the known one; one write at a time.
    pub(super) fn write_roster(&mut self, roster: &Roster) -> bool {
        if self.platform.roster_write.is_some() || self.now < self.platform.write_after {
            return false;
        }
        let epoch = self.membership.epoch();
        let expect = if epoch.0 == 0 {
            Expect::Absent
        } else {
            Expect::Version(epoch.0)
        };
        let op = PlatformOp::Put {
            name: roster_name(&self.cfg.domain),
            expect,
            value: serde_json::to_string(roster).unwrap_or_default(),
        };
        let id = self.call_platform(op, Purpose::WriteRoster);
        self.platform.roster_write = Some(id);
        true
    }

    /// Reads the roster back after a write. One that the platform did not take is followed by a
    /// pause that grows, so that no answer makes this box write and read without end.
    fn on_roster_written(&mut self, answer: &PlatformAnswer) {
        if matches!(answer, PlatformAnswer::Written(_)) {
            self.platform.write_failures = 0;
        } else {
            self.platform.write_failures += 1;
            let pause = backoff(self.platform.write_failures, &mut self.rng);
            self.platform.write_after = self.now.after(pause);
        }
        self.read_roster_now();
    }

    /// A number by which an own write is known.
    pub(super) fn new_mark(&mut self) -> u64 {
        rand::Rng::random(&mut self.rng)
    }

    fn on_fleet(&mut self, answer: PlatformAnswer) {
        let PlatformAnswer::Fleet(list) = answer else {
            return;
        };
        self.membership.on_fleet(&list, self.now);
        for entry in &list.entries {
            if entry.state != crate::schema::FleetState::Live
                && let Ok(endpoint) = entry.id.parse()
            {
                self.note_leaving(&endpoint, "the platform's list");
            }
        }
    }

    /// Changes the roster where this box has reason to: members that are gone, and slices that
    /// have been opened and still name former holders.
    pub(super) fn tend_roster(&mut self) {
        let Some(view) = self.membership.own().cloned() else {
            return;
        };
        if !self.membership.is_listed() || self.stopping.is_begun() {
            return;
        }
        let gone = self.members_gone(&view.roster);
        let mark = self.new_mark();
        if !gone.is_empty() {
            let next = roster::remove(&view.roster, &gone, &self.cfg.me.id, mark);
            self.write_roster(&next);
        } else if self.slices.settle_wanted() {
            let open = self.slices.open();
            let next = roster::settle(&view.roster, &self.cfg.me.id, &open, mark);
            self.write_roster(&next);
        }
    }

    /// Members that have been silent for long, if this box is the one to remove them.
    fn members_gone(&self, roster: &Roster) -> Vec<(BoxId, Incarnation)> {
        let silent = |m: &&crate::schema::Member| {
            m.id != self.cfg.me.id
                && self.membership.silent_for(&m.id, self.now) >= self.cfg.removal()
        };
        let gone: Vec<(BoxId, Incarnation)> = roster
            .members
            .iter()
            .filter(silent)
            .map(|m| (m.id.clone(), m.incarnation))
            .collect();
        let first_live = roster.members.iter().find(|m| !silent(m));
        let is_mine = first_live.is_some_and(|m| m.id == self.cfg.me.id);
        if is_mine { gone } else { Vec::new() }
    }
}
