//! Copies of the memory of runs: where they lie, which one a stream goes on from, and when another
//! one is made.
//!
//! An engine copies a run's memory to the holder that was named with the sending, for as long as
//! that holder is there. A holder may be lost while the run goes on, and after that a loss of the
//! engine itself would cost a whole prompt. So each stream that runs is looked after: once no copy
//! of it stands well, the engine is asked to copy the run to a better place, and again every now
//! and then, so that the copy stays young. Copies stand best outside the run's failure domain, and
//! for a run outside of this box's domain, inside of that.

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::{Action, BackupAt};
use super::event::{CopyName, RequestNumber, Try};
use super::fleet::Endpoint;
use super::record::Record;
use super::request::{Request, Running};
use super::sending::{demand, has_come};
use crate::schema::{EndpointId, Micros};

/// Time between two copies of the same run to the same holder.
const COPY_AGAIN: Duration = Duration::from_secs(3);
/// Time until another copy is asked for after one could not be made.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Time between two looks at the copies of a run.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How long a copy that may not have been answered counts as under way.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a run must have gone on before it is looked after: its first holder may still come up.
const SETTLING: Duration = Duration::from_millis(200);

/// A copy of a run's memory that another endpoint can go on from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Copy {
    /// The endpoint that holds it.
    pub holder: EndpointId,
    /// How it is named to that endpoint.
    pub at: BackupAt,
    /// When it is no longer kept.
    pub until: Micros,
}

/// A copy that this box asked for while the run went on.
#[derive(Clone, Debug)]
pub(super) struct ExtraCopy {
    /// The endpoint that holds it.
    holder: EndpointId,
    /// Its name, once it was made.
    name: Option<CopyName>,
    /// When it was asked for, if the answer has not come.
    asked: Option<Micros>,
    /// When it was made last.
    made: Micros,
    /// Tokens of memory that are counted for it at its holder.
    memory: u32,
}

/// How well a copy stands, from worst to best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Standing {
    /// Its holder is gone, or seems to be.
    Lost,
    /// A loss of the run's failure domain takes the copy as well.
    WithRun,
    /// A cut around this box's failure domain takes both.
    BothOutside,
    /// No loss of one failure domain takes the run and the copy.
    Safe,
}

impl Dispatcher {
    /// Has another copy of a stream's memory made if none stands well, or if the one is old.
    pub(super) fn tend_copies(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(running) = request.running.as_ref().filter(|_| has_copies(request)) else {
            return;
        };
        if !running.has_events || !has_come(Some(running.next_copy), now) {
            return;
        }
        let growing = self.standing(running.backup.as_ref(), running);
        let extra = running.extra.as_ref();
        let extra_standing = self.standing(extra.map(|copy| &copy.holder), running);
        if growing == Standing::Safe && extra.is_some() {
            self.give_up_extra(number);
            return;
        }
        let kept = extra.filter(|_| extra_standing > growing);
        let holder = match kept {
            Some(copy) if extra_standing == Standing::Safe => {
                let is_old = now.since(copy.made) >= COPY_AGAIN;
                is_old.then(|| copy.holder.clone())
            }
            _ => self.better_holder(request, running, growing.max(extra_standing)),
        };
        match holder {
            Some(holder) => self.ask_for_copy(number, &holder),
            None => self.look_again(number),
        }
    }

    /// A holder where a copy would stand better than the best one there is.
    fn better_holder(
        &self,
        request: &Request,
        running: &Running,
        best: Standing,
    ) -> Option<EndpointId> {
        if best == Standing::Safe {
            return None;
        }
        let engine = self.fleet.get(&running.endpoint)?;
        let wanted = [Standing::Safe, Standing::BothOutside, Standing::WithRun];
        let better = wanted.into_iter().filter(|standing| *standing > best);
        let mut found = better.filter_map(|standing| {
            let stands = |holder: &Endpoint| {
                !holder.is_avoided(self.now) && self.standing_at(holder, running) == standing
            };
            let demand = demand(request);
            self.placer
                .choose_holder(&self.fleet, demand, engine, stands, self.now)
        });
        found.next().map(|holder| holder.spec.id.clone())
    }

    /// Drops the copy that was asked for, since the one that grows stands well again.
    fn give_up_extra(&mut self, number: RequestNumber) {
        let request = self.requests.get_mut(&number);
        let Some(running) = request.and_then(|r| r.running.as_mut()) else {
            return;
        };
        let engine = running.address;
        if let Some(extra) = running.extra.take() {
            self.forget_extra(engine, &extra);
        }
    }

    fn look_again(&mut self, number: RequestNumber) {
        let next = self.now.after(LOOK_EVERY);
        let request = self.requests.get_mut(&number);
        if let Some(running) = request.and_then(|r| r.running.as_mut()) {
            running.next_copy = next;
        }
    }

    fn standing(&self, holder: Option<&EndpointId>, running: &Running) -> Standing {
        let holder = holder.and_then(|id| self.fleet.get(id));
        holder.map_or(Standing::Lost, |holder| self.standing_at(holder, running))
    }

    fn standing_at(&self, holder: &Endpoint, running: &Running) -> Standing {
        let now = self.now;
        // A single failure of its does not tell that its copies are lost.
        let seems_lost = !holder.takes_work()
            || self.fleet.is_doubted(holder, now)
            || self.fleet.is_unreachable(holder, now);
        if seems_lost {
            return Standing::Lost;
        }
        let own = &self.cfg.domain;
        if holder.spec.domain == running.domain {
            Standing::WithRun
        } else if running.domain != *own && holder.spec.domain != *own {
            Standing::BothOutside
        } else {
            Standing::Safe
        }
    }

    fn ask_for_copy(&mut self, number: RequestNumber, holder: &EndpointId) {
        let now = self.now;
        let Some(to) = self.fleet.get(holder).map(|e| e.spec.address) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let id = request.arrival.id.clone();
        let Some(running) = request.running.as_mut() else {
            return;
        };
        running.next_copy = now.after(COPY_LIMIT);
        let attempt = running.attempt;
        let engine = running.address;
        let memory = running.memory;
        let is_new = running.extra.as_ref().is_none_or(|c| c.holder != *holder);
        let former = if is_new { running.extra.take() } else { None };
        let extra = running.extra.get_or_insert_with(|| ExtraCopy {
            holder: holder.clone(),
            name: None,
            asked: None,
            made: now,
            memory,
        });
        extra.asked = Some(now);
        if let Some(former) = former {
            self.forget_extra(engine, &former);
        }
        if is_new && let Some(endpoint) = self.fleet.get_mut(holder) {
            endpoint.own.memory += memory;
        }
        self.actions.push(Action::CopyRun {
            request: number,
            attempt,
            run: id,
            engine,
            holder: holder.clone(),
            to,
            limit: COPY_LIMIT,
        });
    }

    /// A copy was made, or could not be.
    pub(super) fn on_copied(
        &mut self,
        number: RequestNumber,
        attempt: Try,
        holder: &EndpointId,
        name: Option<CopyName>,
    ) {
        let now = self.now;
        let Some(request) = self.running(number, attempt) else {
            return;
        };
        let id = request.arrival.id.clone();
        let Some(running) = request.running.as_mut() else {
            return;
        };
        let Some(extra) = running.extra.as_mut().filter(|c| c.holder == *holder) else {
            return;
        };
        let after = extra.asked.take().map(|at| now.since(at));
        let is_made = name.is_some();
        let is_first = extra.name.is_none();
        if is_made {
            extra.name = name;
            extra.made = now;
            running.next_copy = now;
        } else {
            running.next_copy = now.after(PAUSE_AFTER_FAILURE);
            let engine = running.address;
            if let Some(extra) = running.extra.take() {
                self.forget_extra(engine, &extra);
            }
        }
        if is_first || !is_made {
            let after = after.unwrap_or_default().as_millis();
            self.record(Record::Copied {
                request: id,
                holder: holder.to_string(),
                is_made,
                after_ms: u64::try_from(after).unwrap_or(u64::MAX),
            });
        }
    }

    /// Takes a copy that is not needed any more off the counts, and has it dropped.
    fn forget_extra(&mut self, engine: SocketAddr, extra: &ExtraCopy) {
        self.uncount_extra(extra);
        self.drop_extra(engine, extra);
    }

    /// Takes a copy off the counts.
    pub(super) fn uncount_extra(&mut self, extra: &ExtraCopy) {
        if let Some(endpoint) = self.fleet.get_mut(&extra.holder) {
            endpoint.own.memory = endpoint.own.memory.saturating_sub(extra.memory);
        }
    }

    /// Has what was copied of a run dropped, since nothing goes on from it.
    pub(super) fn drop_copies(&mut self, running: &Running) {
        if let Some(extra) = &running.extra {
            self.drop_extra(running.address, extra);
        }
    }

    /// Has a copy dropped by the engine that made it.
    fn drop_extra(&mut self, engine: SocketAddr, extra: &ExtraCopy) {
        if let Some(name) = extra.name.clone() {
            self.actions.push(Action::DropCopy { engine, name });
        }
    }

    /// The copies of a request's run that was lost, the best one first.
    pub(super) fn copies_of(&self, request: &Request, running: &Running) -> Vec<Copy> {
        let Some(engine) = request.engine else {
            return Vec::new();
        };
        // Memory is copied only once the prompt has been read.
        let growing = running.backup.as_ref().filter(|_| running.has_events);
        let growing = growing.and_then(|holder| {
            let address = self.fleet.get(holder)?.spec.address;
            Some(Copy {
                holder: holder.clone(),
                at: BackupAt {
                    address,
                    name: None,
                },
                until: self.now.after(engine.backup_kept),
            })
        });
        let extra = running.extra.as_ref().and_then(|extra| {
            let name = extra.name.clone()?;
            Some(Copy {
                holder: extra.holder.clone(),
                at: BackupAt {
                    address: running.address,
                    name: Some(name),
                },
                until: extra.made.after(engine.backup_kept),
            })
        });
        let mut copies: Vec<Copy> = growing.into_iter().chain(extra).collect();
        copies.sort_by_key(|copy| std::cmp::Reverse(self.standing(Some(&copy.holder), running)));
        copies
    }

    /// Takes the next copy that a request can go on from.
    pub(super) fn take_copy(&mut self, number: RequestNumber) -> Option<Copy> {
        let now = self.now;
        let request = self.requests.get_mut(&number)?;
        while !request.copies.is_empty() {
            let copy = request.copies.remove(0);
            let holder = self.fleet.get(&copy.holder);
            let is_usable = holder.is_some_and(|e| e.takes_work() && !e.is_avoided(now));
            if is_usable && now < copy.until {
                return Some(copy);
            }
        }
        None
    }
}

/// Whether copies of a request's runs can be asked for, and would be of use.
fn has_copies(request: &Request) -> bool {
    request.engine.is_some_and(|engine| engine.moves)
        && request.route.kind.may_repeat()
        && request.runs + 1 < request.route.attempts
}

/// When a run that begins now is first looked after.
pub(super) fn first_look(now: Micros) -> Micros {
    now.after(SETTLING)
}
