//! What changes in the service, and what goes wrong beside.

use std::time::Duration;

use magpiemoor::gateway::dispatch::event::{EndpointChange, EndpointSpec, Event};
use magpiemoor::schema::EndpointId;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::engines::VERSIONS;
use super::{DOMAINS, Fleet, Mail};
use crate::gateway::versions::{Beside, Change};

/// The failure domain that is cut off.
pub(super) const CUT_DOMAIN: usize = 1;
/// When versions change, and the pause between two engines that do.
const CHANGE_AFTER: (f64, f64) = (4.0, 9.0);
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// When things go wrong for the first time, the pause until the next time, and how often they do.
const FAULT_AFTER: (f64, f64) = (4.0, 10.0);
const FAULT_PAUSE: Duration = Duration::from_millis(3_500);
const FAULTS: usize = 3;
/// The share of boxes that are struck.
const STRUCK: f64 = 1.0 / 3.0;
const BOX_AWAY: Duration = Duration::from_secs(1);
const FROZEN_FOR: Duration = Duration::from_millis(2_500);
const CUT_FOR: Duration = Duration::from_secs(6);
const STORE_OUT_FOR: Duration = Duration::from_secs(7);
/// When engines crash first, the pause until others do, and their share.
const CRASH_AFTER: Duration = Duration::from_secs(4);
const CRASH_PAUSE: Duration = Duration::from_millis(2_500);
const CRASHING: f64 = 0.2;
/// How long an engine is away that crashed, in seconds.
const ENGINE_AWAY: (f64, f64) = (0.1, 0.8);
/// When the first domain is struck, and the pause until the next one is.
const OUTAGE_AFTER: Duration = Duration::from_secs(6);
const OUTAGE_PAUSE: Duration = Duration::from_millis(3_200);
/// How long before the first outage the store goes out.
const STORE_OUT_BEFORE: Duration = Duration::from_millis(300);
/// How long an engine is away that ended in an outage, in seconds.
const OUTAGE_ENGINE_AWAY: (f64, f64) = (1.0, 1.4);
/// How long an engine serves that leaves.
const DRAIN: Duration = Duration::from_millis(2_500);
/// The time until a box hears of a change of the list, in seconds.
const LISTED_WITHIN: (f64, f64) = (0.02, 0.6);

impl Fleet {
    pub(super) fn post_faults(&mut self) {
        let first = self.rng.random_range(CHANGE_AFTER.0..CHANGE_AFTER.1);
        self.mail
            .post(Duration::from_secs_f64(first), Mail::Change(0));
        let first = self.rng.random_range(FAULT_AFTER.0..FAULT_AFTER.1);
        for fault in 0..FAULTS {
            let at = Duration::from_secs_f64(first) + FAULT_PAUSE * fault as u32;
            self.mail.post(at, Mail::Fault(fault));
        }
        if let Some(outages) = self.case.outages {
            for number in 0..outages.domains {
                let at = OUTAGE_AFTER + OUTAGE_PAUSE * number as u32;
                self.mail.post(at, Mail::Outage(number % DOMAINS));
            }
        }
        if self.case.engines_crash || self.case.beside == Beside::EnginesCrash {
            self.mail.post(CRASH_AFTER, Mail::CrashEngines);
        }
    }

    /// Has all boxes that can hear of a change of the list, each after its own time.
    fn list_change(&mut self, change: &EndpointChange) {
        self.revision += 1;
        for at in 0..self.boxes.len() {
            if !self.hears_of_changes(at) {
                continue;
            }
            let after = self.rng.random_range(LISTED_WITHIN.0..LISTED_WITHIN.1);
            let event = Event::EndpointsChanged {
                changes: vec![change.clone()],
                at: self.revision,
            };
            self.post_event(at, Duration::from_secs_f64(after), event);
        }
    }

    fn list_engine(&mut self, engine: usize) {
        self.engines.at_mut(engine).spec.revision = self.revision + 1;
        let spec: EndpointSpec = self.engines.at(engine).spec.clone();
        self.list_change(&EndpointChange::Present(spec));
    }

    fn unlist(&mut self, id: EndpointId) {
        self.list_change(&EndpointChange::Absent(id));
    }

    pub(super) fn relist(&mut self) {
        for at in 0..self.boxes.len() {
            if self.boxes[at].is_running {
                self.send_list(at);
            }
        }
    }

    /// Makes the next step of the change of versions.
    pub(super) fn bring_change(&mut self, number: usize) {
        match self.case.change {
            Change::Appears if number == 0 => {
                let new = self.engines.of_version(VERSIONS[1]).into_iter();
                let new: Vec<usize> = new.filter(|e| !self.engines.at(*e).is_up).collect();
                for engine in new {
                    self.start_engine(engine, VERSIONS[1]);
                }
            }
            Change::Sole | Change::Mixed | Change::Appears => {}
            Change::Replaces => {
                let (old, new) = (
                    self.engines.of_version(VERSIONS[0]),
                    self.engines.of_version(VERSIONS[1]),
                );
                if let Some(engine) = new.get(number).filter(|e| !self.engines.at(**e).is_up) {
                    self.start_engine(*engine, VERSIONS[1]);
                }
                if number >= 2
                    && let Some(engine) = old.get(number - 2)
                {
                    self.drain_engine(*engine);
                }
                self.change_again(number, old.len() + 2);
            }
            Change::InPlace => {
                let first = self.engines.of_version(VERSIONS[0]).into_iter().next();
                if let Some(engine) = first.filter(|_| self.engines.serving().len() > 2) {
                    self.end_engine(engine);
                    self.start_engine(engine, VERSIONS[1]);
                }
                self.change_again(number, 9);
            }
            Change::Leaves => {
                let engine = self.engines.of_version(VERSIONS[0]).get(number).copied();
                if let Some(engine) = engine {
                    self.drain_engine(engine);
                    self.change_again(number, usize::MAX);
                }
            }
        }
    }

    fn change_again(&mut self, number: usize, most: usize) {
        if number + 1 < most {
            self.mail.post(CHANGE_PAUSE, Mail::Change(number + 1));
        }
    }

    fn start_engine(&mut self, engine: usize, version: &'static str) {
        self.engines.start_again(engine, version, self.revision + 1);
        self.list_engine(engine);
    }

    fn drain_engine(&mut self, engine: usize) {
        if !self.engines.at(engine).is_up {
            return;
        }
        self.engines.at_mut(engine).spec.leaving = true;
        self.list_engine(engine);
        self.mail.post(DRAIN, Mail::EngineEnds(engine));
    }

    /// Some engines end at once, and come back after a while.
    pub(super) fn crash_engines(&mut self) {
        self.mail.post(CRASH_PAUSE, Mail::CrashEngines);
        for engine in self.engines.serving() {
            if self.rng.random_bool(CRASHING) {
                self.end_engine(engine);
                let away = self.rng.random_range(ENGINE_AWAY.0..ENGINE_AWAY.1);
                self.mail
                    .post(Duration::from_secs_f64(away), Mail::EngineBack(engine));
            }
        }
    }

    /// Most engines of a failure domain end at once, and come back as other instances at their
    /// addresses. The store goes out before the first of these outages.
    pub(super) fn strike_domain(&mut self, domain: usize) {
        let Some(outages) = self.case.outages else {
            return;
        };
        let now = self.now();
        if domain == 0 && !outages.store_out.is_zero() {
            self.store_out_until = now.after(outages.store_out).before(STORE_OUT_BEFORE);
            self.mail
                .post(outages.store_out + BOX_AWAY / 4, Mail::Relist);
        }
        self.arrivals.on_outage(now);
        for engine in self.engines.up_in(domain) {
            if self.rng.random_bool(outages.share) {
                self.end_engine(engine);
                let (least, most) = OUTAGE_ENGINE_AWAY;
                let away = Duration::from_secs_f64(self.rng.random_range(least..most));
                self.mail.post(away, Mail::EngineBack(engine));
            }
        }
    }

    /// An engine that crashed is back, at times as another version of those that serve.
    pub(super) fn restart_engine(&mut self, engine: usize) {
        if self.engines.at(engine).is_up {
            return;
        }
        let version = self.engines.at(engine).version;
        let is_mixed = VERSIONS.iter().all(|v| self.engines.serving_of(v) > 0);
        let other = VERSIONS.iter().find(|v| **v != version).copied();
        let changes = is_mixed && self.rng.random_bool(0.3);
        let former = self.engines.at(engine).spec.id.clone();
        let next = other.filter(|_| changes).unwrap_or(version);
        self.start_engine(engine, next);
        if self.engines.at(engine).spec.id != former {
            self.unlist(former);
        }
    }

    pub(super) fn bring_fault(&mut self, number: usize) {
        let now = self.now();
        let is_first = number == 0;
        match self.case.beside {
            Beside::BoxesKilled => self.strike(Self::kill_box),
            Beside::BoxesFrozen => self.strike(Self::freeze_box),
            Beside::BoxesCut => self.strike(Self::isolate_box),
            Beside::DomainKilled => {
                for at in (number % DOMAINS..self.boxes.len()).step_by(DOMAINS) {
                    self.kill_box(at);
                }
            }
            Beside::AllBoxesKilled if is_first => {
                for at in 0..self.boxes.len() {
                    self.kill_box(at);
                }
            }
            Beside::DomainCut if is_first => {
                self.cut_until = now.after(CUT_FOR);
                self.mail.post(CUT_FOR + BOX_AWAY / 4, Mail::Relist);
            }
            Beside::StoreOut if is_first => {
                self.store_out_until = now.after(STORE_OUT_FOR);
                self.mail.post(STORE_OUT_FOR + BOX_AWAY / 4, Mail::Relist);
            }
            _ => {}
        }
    }

    fn strike(&mut self, strike: fn(&mut Self, usize)) {
        let count = (self.boxes.len() as f64 * STRUCK).ceil() as usize;
        let struck = (0..self.boxes.len()).choose_multiple(&mut self.rng, count);
        for at in struck {
            strike(self, at);
        }
    }

    fn kill_box(&mut self, at: usize) {
        if !self.boxes[at].is_running {
            return;
        }
        let life = self.boxes[at].life;
        self.boxes[at].is_running = false;
        self.boxes[at].life += 1;
        self.mail.post(BOX_AWAY, Mail::Start(at));
        self.lose_callers_of(at, life);
    }

    fn freeze_box(&mut self, at: usize) {
        let thaws = self.now().after(FROZEN_FOR);
        self.boxes[at].frozen_until = thaws;
        self.boxes[at].disturbed = thaws;
    }
}
