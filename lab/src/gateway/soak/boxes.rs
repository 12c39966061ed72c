//! The boxes of a soak: started, stopped and replaced in overlapping series, and held to account for
//! how they ended.

use std::time::Duration;

use crate::gateway::fleet::{BoxPlan, Launcher};
use crate::process::Process;

/// A box that runs, or ran.
#[derive(Debug)]
struct Started {
    process: Process,
    /// Whether it was asked to stop or killed.
    may_end: bool,
}

/// The boxes, by the number of their plan.
#[derive(Debug)]
pub(super) struct Boxes {
    launcher: Launcher,
    plans: Vec<BoxPlan>,
    starts: usize,
    started: Vec<Option<Started>>,
    /// Boxes in their grace period whose successor has started.
    leaving: Vec<Process>,
    /// Boxes that ended without having been asked to, each with its reason.
    ended: Vec<String>,
}

impl Boxes {
    /// Starts a box for each plan.
    pub(super) fn start(launcher: Launcher, plans: Vec<BoxPlan>) -> Self {
        let mut boxes = Self {
            launcher,
            started: plans.iter().map(|_| None).collect(),
            plans,
            starts: 0,
            leaving: Vec::new(),
            ended: Vec::new(),
        };
        boxes.restart_ended();
        boxes
    }

    /// Starts the boxes that don't run; notes those that ended by themselves.
    pub(super) fn restart_ended(&mut self) {
        for number in 0..self.plans.len() {
            self.note_end(number);
            if self.started[number].is_none() {
                self.start_one(number);
            }
        }
    }

    /// Starts a box with a log of its own: its predecessor may still write.
    fn start_one(&mut self, number: usize) {
        self.starts += 1;
        let plan = &mut self.plans[number];
        let file = format!("{}-start-{}.log", plan.name, self.starts);
        plan.log.set_file_name(file);
        let process = self.launcher.start(plan).ok();
        self.started[number] = process.map(|process| Started {
            process,
            may_end: false,
        });
    }

    /// Forgets a box that has ended, and notes it if nobody asked it to.
    fn note_end(&mut self, number: usize) {
        let Some(started) = &mut self.started[number] else {
            return;
        };
        if started.process.is_running() {
            return;
        }
        if !started.may_end {
            let code = started.process.wait();
            let log = std::fs::read_to_string(&self.plans[number].log).unwrap_or_default();
            let last = log.lines().last().unwrap_or("nothing logged");
            self.ended.push(format!(
                "box {number} ended by itself, exit code {code:?}: {last}"
            ));
        }
        self.started[number] = None;
    }

    /// Notes the boxes that have ended by themselves until now; returns all of them.
    pub(super) fn ended_by_themselves(&mut self) -> Vec<String> {
        for number in 0..self.plans.len() {
            self.note_end(number);
        }
        std::mem::take(&mut self.ended)
    }

    /// Kills a box.
    pub(super) fn kill(&mut self, number: usize) {
        self.note_end(number);
        // Dropping a process kills it.
        self.started[number] = None;
    }

    /// Asks a box to stop.
    pub(super) fn terminate(&mut self, number: usize) {
        self.note_end(number);
        if let Some(started) = &mut self.started[number] {
            started.may_end = true;
            started.process.terminate();
        }
    }

    /// Asks a box to stop and starts its successor on its addresses at once.
    pub(super) fn replace(&mut self, number: usize) {
        self.terminate(number);
        if let Some(started) = self.started[number].take() {
            self.leaving.push(started.process);
        }
        self.start_one(number);
        self.leaving.retain_mut(Process::is_running);
    }

    /// Tells a box that its settings may have changed, which it may just have read.
    pub(super) async fn hang_up(&mut self, number: usize, starts_it: bool, after: Duration) {
        if starts_it {
            self.kill(number);
            self.start_one(number);
            tokio::time::sleep(after).await;
        }
        if let Some(started) = &self.started[number] {
            started.process.hang_up();
        }
    }

    /// Freezes a box for a while.
    pub(super) async fn freeze(&mut self, number: usize, pause: Duration) {
        if let Some(started) = &self.started[number] {
            started.process.freeze();
            tokio::time::sleep(pause).await;
            started.process.thaw();
        }
    }
}
