//! Batches of accepted work in the platform: written in groups, read back when an answer was lost.

use super::{Batch, RESULTS_EVERY, WRITE_AGAIN, batch_name, batch_value};
use crate::keyed::node::Node;
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::node::event::{Object, PlatformAnswer};
use crate::keyed::node::platform::Purpose;
use crate::schema::{BatchId, DeferReply, HoldDone, Kept, WorkBatch};
use std::collections::HashMap;

impl Node {
    /// Writes the requests that have gathered as one batch.
    pub(in crate::keyed::node) fn flush_deferred(&mut self) {
        if self.deferred.gathering.is_empty() {
            return;
        }
        let gathered = std::mem::take(&mut self.deferred.gathering);
        self.deferred.next_batch += 1;
        let name = format!(
            "{}-{}-{}",
            self.cfg.me.id, self.deferred.life, self.deferred.next_batch
        );
        let Ok(id) = BatchId::try_from(name) else {
            return;
        };
        let mut batch = Batch {
            items: Vec::new(),
            results: HashMap::new(),
            version: None,
            holder: None,
            waiters: Vec::new(),
            tried: self.now,
            writing: false,
            dirty: false,
        };
        for (request, receiver, subscription) in gathered {
            self.deferred.by_key.insert(request.key.clone(), id.clone());
            batch.items.push(request);
            batch.waiters.push((receiver, subscription));
        }
        self.deferred.batches.insert(id.clone(), batch);
        self.write_new_batch(&id);
        if !self.platform.is_reachable() {
            self.ask_to_hold(&id);
        }
    }

    pub(super) fn write_new_batch(&mut self, id: &BatchId) {
        let name = batch_name(&self.cfg.domain.clone(), id);
        let Some(batch) = self.deferred.batches.get_mut(id) else {
            return;
        };
        batch.tried = self.now;
        batch.writing = true;
        let value = batch_value(id, &batch.items, &batch.results);
        let op = PlatformOp::Put {
            name,
            expect: Expect::Absent,
            value,
        };
        self.call_platform(op, Purpose::NewBatch(id.clone()));
    }

    /// The platform answered to a new batch.
    pub(in crate::keyed::node) fn on_batch_written(
        &mut self,
        id: &BatchId,
        answer: &PlatformAnswer,
    ) {
        if let Some(batch) = self.deferred.batches.get_mut(id) {
            batch.writing = false;
        }
        match answer {
            PlatformAnswer::Written(version) => self.batch_is_kept(id, *version),
            // An earlier write of the same batch took effect and its answer was lost.
            PlatformAnswer::Conflict => self.read_batch(id),
            PlatformAnswer::NoAnswer => {
                let asked = self.ask_to_hold(id);
                if !asked {
                    self.answer_waiters(id, Kept::Unknown);
                }
            }
            _ => {}
        }
    }

    pub(super) fn batch_is_kept(&mut self, id: &BatchId, version: u64) {
        let Some(batch) = self.deferred.batches.get_mut(id) else {
            return;
        };
        let news = batch.is_kept().is_none();
        batch.version = Some(version);
        let holder = batch.holder.take();
        if let Some(member) = holder.and_then(|h| self.member(&h)) {
            self.out.send(&member, HoldDone { batch: id.clone() });
        }
        if news {
            self.accept_batch(id, Kept::Platform);
        }
    }

    /// Tells who waits that a batch is safe, and lets it run.
    pub(super) fn accept_batch(&mut self, id: &BatchId, kept: Kept) {
        self.answer_waiters(id, kept);
        let Some(batch) = self.deferred.batches.get(id) else {
            return;
        };
        self.stats.deferred_accepted += batch.items.len() as u64;
        self.out.note(
            "batch_accepted",
            id,
            format!("{} requests, {kept}", batch.items.len()),
        );
        for item in &batch.items {
            if !batch.results.contains_key(item.key.as_str()) {
                self.deferred.waiting.push_back(item.key.clone());
            }
        }
        self.run_deferred();
    }

    pub(super) fn answer_waiters(&mut self, id: &BatchId, kept: Kept) {
        let Some(batch) = self.deferred.batches.get_mut(id) else {
            return;
        };
        for (to, subscription) in std::mem::take(&mut batch.waiters) {
            self.out.send(&to, DeferReply { subscription, kept });
        }
    }

    pub(super) fn write_batches(&mut self) {
        let now = self.now;
        let mut unwritten = Vec::new();
        let mut dirty = None;
        for (id, batch) in &self.deferred.batches {
            let waited = now.since(batch.tried);
            match batch.version {
                None if !batch.writing && waited >= WRITE_AGAIN => unwritten.push(id.clone()),
                Some(version) if batch.dirty && !batch.writing => {
                    // The one that has waited longest goes first.
                    let first = dirty
                        .as_ref()
                        .is_none_or(|(tried, _, _)| batch.tried < *tried);
                    if first {
                        dirty = Some((batch.tried, id.clone(), version));
                    }
                }
                _ => {}
            }
        }
        for id in unwritten {
            self.write_new_batch(&id);
        }
        let last = self.deferred.results_written;
        let spaced = last.is_none_or(|at| now.since(at) >= RESULTS_EVERY);
        if let Some((_, id, version)) = dirty.filter(|_| spaced) {
            self.deferred.results_written = Some(now);
            self.write_results(&id, version);
        }
    }

    pub(super) fn write_results(&mut self, id: &BatchId, version: u64) {
        let name = batch_name(&self.cfg.domain.clone(), id);
        let Some(batch) = self.deferred.batches.get_mut(id) else {
            return;
        };
        batch.tried = self.now;
        batch.writing = true;
        batch.dirty = false;
        let value = batch_value(id, &batch.items, &batch.results);
        let op = PlatformOp::Put {
            name,
            expect: Expect::Version(version),
            value,
        };
        self.call_platform(op, Purpose::Results(id.clone()));
    }

    /// The platform answered to a write of results.
    pub(in crate::keyed::node) fn on_results_written(
        &mut self,
        id: &BatchId,
        answer: &PlatformAnswer,
    ) {
        let Some(batch) = self.deferred.batches.get_mut(id) else {
            return;
        };
        batch.writing = false;
        match answer {
            PlatformAnswer::Written(version) => batch.version = Some(*version),
            PlatformAnswer::Conflict => {
                batch.dirty = true;
                self.read_batch(id);
            }
            _ => batch.dirty = true,
        }
    }

    pub(super) fn read_batch(&mut self, id: &BatchId) {
        let name = batch_name(&self.cfg.domain.clone(), id);
        self.call_platform(
            PlatformOp::Get { name, known: None },
            Purpose::ReadBatch(id.clone()),
        );
    }

    /// The platform said which batches there are.
    pub(in crate::keyed::node) fn on_batches_listed(&mut self, answer: PlatformAnswer) {
        let PlatformAnswer::Names(names) = answer else {
            // No list; it is asked for again soon.
            self.deferred.listed = None;
            return;
        };
        self.deferred.loaded = true;
        for name in names {
            let id = name
                .rsplit('/')
                .next()
                .and_then(|n| n.parse::<BatchId>().ok());
            if let Some(id) = id.filter(|id| !self.deferred.batches.contains_key(id)) {
                self.read_batch(&id);
            }
        }
    }

    /// A batch was read.
    pub(in crate::keyed::node) fn on_batch_read(&mut self, id: &BatchId, answer: PlatformAnswer) {
        let PlatformAnswer::Object(Object { version, value, .. }) = answer else {
            return;
        };
        let Ok(read) = serde_json::from_str::<WorkBatch>(&value) else {
            return self.out.note("batch_unreadable", id, "");
        };
        match self.deferred.batches.get_mut(id) {
            Some(batch) => {
                // What was written first stays: a result never changes.
                let written = read.results.len();
                batch.results.extend(read.results);
                batch.dirty |= batch.results.len() > written;
                self.batch_is_kept(id, version);
            }
            None if self.membership.is_scribe() => {
                for item in &read.items {
                    self.deferred.by_key.insert(item.key.clone(), id.clone());
                }
                let batch = Batch {
                    items: read.items,
                    results: read.results,
                    version: Some(version),
                    holder: None,
                    waiters: Vec::new(),
                    tried: self.now,
                    writing: false,
                    dirty: false,
                };
                self.deferred.batches.insert(id.clone(), batch);
                self.accept_batch(id, Kept::Platform);
            }
            None => {}
        }
    }
}
