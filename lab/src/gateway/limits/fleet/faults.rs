//! Faults of boxes, links and the store while servers state directives.

use std::time::Duration;

use rand::Rng;

use super::{Fleet, Mail};
use crate::gateway::limits::ConcurrentFault;

/// Range of the time of the first fault, seconds: some seconds after the first directive.
const FIRST_FAULT: (f64, f64) = (7.5, 16.0);
/// Time between two faults, and their number.
const FAULT_PAUSE: Duration = Duration::from_secs(5);
const FAULTS: usize = 3;
/// Duration of a network partition, and the failure domain that is cut off.
const CUT_FOR: Duration = Duration::from_secs(6);
pub(super) const CUT_DOMAIN: usize = 0;
/// Duration of a store outage.
const STORE_OUT_FOR: Duration = Duration::from_secs(10);
/// Time until a killed box restarts.
const BOX_AWAY: Duration = Duration::from_secs(1);
/// Duration of a process pause.
const FROZEN_FOR: Duration = Duration::from_secs(2);
/// Duration of a burst of calls.
const BURST_FOR: Duration = Duration::from_secs(8);
/// Share of the boxes that a fault affects.
const STRUCK_SHARE: f64 = 1.0 / 3.0;

impl Fleet {
    pub(super) fn post_faults(&mut self) {
        let first = self.rng.random_range(FIRST_FAULT.0..FIRST_FAULT.1);
        for fault in 0..FAULTS {
            let at = Duration::from_secs_f64(first) + FAULT_PAUSE * fault as u32;
            self.mail.post(at, Mail::Fault(fault));
        }
    }

    pub(super) fn bring_fault(&mut self, number: usize) {
        let now = self.now();
        let is_first = number == 0;
        match self.case.beside {
            ConcurrentFault::DomainCut if is_first => self.cut_until = now.after(CUT_FOR),
            ConcurrentFault::StoreOut if is_first => {
                self.store_out_until = now.after(STORE_OUT_FOR);
            }
            ConcurrentFault::Burst if is_first => self.burst_until = now.after(BURST_FOR),
            ConcurrentFault::AllBoxesKilled if is_first => {
                for at in 0..self.boxes.len() {
                    self.kill_box(at);
                }
            }
            ConcurrentFault::BoxesKilled => self.strike_random(Self::kill_box),
            ConcurrentFault::BoxesFrozen => self.strike_random(Self::freeze_box),
            _ => {}
        }
    }

    fn strike_random(&mut self, strike: fn(&mut Self, usize)) {
        for at in 0..self.boxes.len() {
            if self.rng.random_bool(STRUCK_SHARE) {
                strike(self, at);
            }
        }
    }

    fn kill_box(&mut self, at: usize) {
        let life = self.boxes[at].life;
        self.boxes[at].is_running = false;
        self.boxes[at].life += 1;
        self.mail.post(BOX_AWAY, Mail::Start(at));
        self.forget_informed(at);
        self.lose_calls_of(at, life);
    }

    fn freeze_box(&mut self, at: usize) {
        let thaws = self.now().after(FROZEN_FOR);
        self.boxes[at].frozen_until = thaws;
        self.boxes[at].disturbed = thaws;
    }
}
