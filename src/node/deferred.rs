//! Deferrable work: accepted once it is written where no loss of boxes can reach it, run in spare
//! capacity, and finished whatever fails.
//!
//! One box of each failure domain, the scribe, writes the accepted requests to the platform, many
//! in one object, and hands them to their homes to be run. While the platform is out, a box of
//! another failure domain holds a copy, and either of the two writes it when the platform returns.
//! A scribe that is replaced leaves nothing behind that the next one doesn't find in the platform.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::node::Node;
use crate::node::action::{Expect, PlatformOp};
use crate::node::answers::Role;
use crate::node::config::{
    BATCH_BYTES, BATCH_ITEMS, BYTES_PER_TOKEN, DEFERRED_RUNNING, FLUSH_DELAY, MAX_HOPS, RETRY_AFTER,
};
use crate::node::event::{Object, PlatformAnswer, Timer};
use crate::node::platform::Purpose;
use crate::node::roster::SCRIBE_SLICE;
use crate::schema::{
    BatchId, BoxId, Defer, DeferReply, DeferredDone, DeferredResult, DeferredStatus, DomainId,
    Hold, HoldDone, HoldReply, Incarnation, Kept, Lookup, LookupReply, Member, Micros, Reason,
    Refusal, Refused, Request, RequestKey, RequestKind, RunDeferred, WorkBatch,
};

/// How long a write of a batch is not repeated.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// How often results are written.
const RESULTS_EVERY: Duration = Duration::from_millis(200);
/// How often the scribe looks for batches that others have written.
const LIST_EVERY: Duration = Duration::from_secs(10);
/// How long a home may be silent about work it was given before it is asked again.
const ASK_AGAIN: Duration = Duration::from_secs(5);
/// How long a batch held for another failure domain is left to that domain to write.
const HOLD_PATIENCE: Duration = Duration::from_secs(5);
/// How many unfinished requests a scribe keeps for each request that a box may hold.
const ITEMS_PER_REQUEST: usize = 4;

/// A batch of accepted work.
#[derive(Debug)]
struct Batch {
    items: Vec<Request>,
    results: HashMap<String, DeferredResult>,
    /// The version of the platform's object, once it is known to be there.
    version: Option<u64>,
    /// The box of another failure domain that holds the batch.
    holder: Option<BoxId>,
    waiters: Vec<(Member, u64)>,
    tried: Micros,
    writing: bool,
    dirty: bool,
}

impl Batch {
    fn is_kept(&self) -> Option<Kept> {
        match (self.version, &self.holder) {
            (Some(_), _) => Some(Kept::Platform),
            (None, Some(_)) => Some(Kept::TwoDomains),
            (None, None) => None,
        }
    }
}

/// A batch that is held for another failure domain.
#[derive(Debug)]
struct HeldBatch {
    domain: DomainId,
    items: Vec<Request>,
    since: Micros,
    tried: Micros,
}

/// The deferrable work that a node looks after.
#[derive(Debug)]
pub struct Deferred {
    life: Incarnation,
    next_batch: u64,
    gathering: Vec<(Request, Member, u64)>,
    batches: HashMap<BatchId, Batch>,
    by_key: HashMap<RequestKey, BatchId>,
    waiting: VecDeque<RequestKey>,
    running: HashMap<RequestKey, (BoxId, Micros)>,
    held: HashMap<BatchId, HeldBatch>,
    loaded: bool,
    listed: Option<Micros>,
}

impl Deferred {
    /// Starts without any work.
    #[must_use]
    pub fn new(life: Incarnation) -> Self {
        Self {
            life,
            next_batch: 0,
            gathering: Vec::new(),
            batches: HashMap::new(),
            by_key: HashMap::new(),
            waiting: VecDeque::new(),
            running: HashMap::new(),
            held: HashMap::new(),
            loaded: false,
            listed: None,
        }
    }

    fn gathered_bytes(&self) -> usize {
        self.gathering
            .iter()
            .map(|(request, _, _)| item_bytes(request))
            .sum()
    }
}

/// The most bytes that a request and its result may come to in a batch.
fn item_bytes(request: &Request) -> usize {
    match &request.kind {
        RequestKind::Generate(g) => g.prompt.len() + g.max_tokens as usize * BYTES_PER_TOKEN,
        RequestKind::Call(call) => call.body.len(),
    }
}

impl Node {
    /// A box asks the scribe to keep a request.
    pub(super) fn on_defer(&mut self, mut defer: Defer) {
        if !self.membership.is_scribe() {
            let scribe = self.membership.slice_home(&self.cfg.domain, SCRIBE_SLICE);
            match scribe.filter(|s| s.id != self.cfg.me.id && defer.hops < MAX_HOPS) {
                Some(scribe) => {
                    defer.hops += 1;
                    self.out.send(&scribe, defer);
                }
                None => self.defer_reply(&defer.receiver, defer.subscription, Kept::Nowhere),
            }
            return;
        }
        let key = &defer.request.key;
        if let Some(batch) = self
            .deferred
            .by_key
            .get(key)
            .and_then(|id| self.deferred.batches.get_mut(id))
        {
            match batch.is_kept() {
                Some(kept) => self.defer_reply(&defer.receiver, defer.subscription, kept),
                None => batch.waiters.push((defer.receiver, defer.subscription)),
            }
            return;
        }
        let full = self.deferred.by_key.len() >= self.cfg.max_requests * ITEMS_PER_REQUEST;
        let unsafe_now = !self.platform.is_reachable() && self.other_domain_box().is_none();
        if full || unsafe_now {
            return self.defer_reply(&defer.receiver, defer.subscription, Kept::Nowhere);
        }
        let bytes = self.deferred.gathered_bytes() + item_bytes(&defer.request);
        if bytes > BATCH_BYTES {
            self.flush_deferred();
        }
        self.deferred
            .gathering
            .push((defer.request, defer.receiver, defer.subscription));
        match self.deferred.gathering.len() {
            1 => self.out.timer(Timer::Flush, self.now.after(FLUSH_DELAY)),
            BATCH_ITEMS.. => self.flush_deferred(),
            _ => {}
        }
    }

    fn defer_reply(&mut self, to: &Member, subscription: u64, kept: Kept) {
        self.out.send(to, DeferReply { subscription, kept });
    }

    /// Writes the requests that have gathered as one batch.
    pub(super) fn flush_deferred(&mut self) {
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

    fn write_new_batch(&mut self, id: &BatchId) {
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
    pub(super) fn on_batch_written(&mut self, id: &BatchId, answer: &PlatformAnswer) {
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

    fn batch_is_kept(&mut self, id: &BatchId, version: u64) {
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
    fn accept_batch(&mut self, id: &BatchId, kept: Kept) {
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

    fn answer_waiters(&mut self, id: &BatchId, kept: Kept) {
        let Some(batch) = self.deferred.batches.get_mut(id) else {
            return;
        };
        for (to, subscription) in std::mem::take(&mut batch.waiters) {
            self.out.send(&to, DeferReply { subscription, kept });
        }
    }

    /// A live box of another failure domain.
    fn other_domain_box(&self) -> Option<Member> {
        let mut others: Vec<&Member> = self
            .membership
            .peers()
            .filter(|p| p.domain != self.cfg.domain && p.heard.is_some() && !p.stopping)
            .filter(|p| self.membership.peer_is_live(p, self.now))
            .map(|p| &p.member)
            .collect();
        others.sort_by(|a, b| a.id.cmp(&b.id));
        let count = others.len().max(1) as u64;
        let place = self.deferred.next_batch % count;
        others.get(place as usize).map(|m| (*m).clone())
    }

    /// Asks another failure domain to hold a batch; returns whether there is one to ask.
    fn ask_to_hold(&mut self, id: &BatchId) -> bool {
        let Some(other) = self.other_domain_box() else {
            return false;
        };
        let Some(batch) = self.deferred.batches.get(id) else {
            return false;
        };
        let hold = Hold {
            batch: id.clone(),
            domain: self.cfg.domain.clone(),
            items: batch.items.clone(),
        };
        self.out.send(&other, hold);
        true
    }

    /// Another failure domain asks this box to hold a batch.
    pub(super) fn on_hold(&mut self, from: &BoxId, hold: Hold) {
        let full = self.deferred.held.len() * BATCH_ITEMS >= self.cfg.max_requests;
        let Some(member) = self.member(from).filter(|_| !full) else {
            return;
        };
        let entry = HeldBatch {
            domain: hold.domain,
            items: hold.items,
            since: self.now,
            tried: self.now,
        };
        self.deferred.held.insert(hold.batch.clone(), entry);
        self.out.send(&member, HoldReply { batch: hold.batch });
    }

    /// Another failure domain holds a batch.
    pub(super) fn on_hold_reply(&mut self, from: &BoxId, reply: &HoldReply) {
        let Some(batch) = self.deferred.batches.get_mut(&reply.batch) else {
            return;
        };
        let news = batch.is_kept().is_none();
        if batch.version.is_none() {
            batch.holder = Some(from.clone());
        }
        if news {
            self.accept_batch(&reply.batch, Kept::TwoDomains);
        }
    }

    /// A batch that this box holds has reached the platform.
    pub(super) fn on_hold_done(&mut self, done: &HoldDone) {
        self.deferred.held.remove(&done.batch);
    }

    /// Looks after all deferrable work; called with every heartbeat.
    pub(super) fn tend_deferred(&mut self) {
        self.write_held();
        self.write_batches();
        if !self.membership.is_scribe() {
            self.stop_being_scribe();
            return;
        }
        let due = self
            .deferred
            .listed
            .is_none_or(|at| self.now.since(at) >= LIST_EVERY);
        if due {
            self.deferred.listed = Some(self.now);
            let prefix = format!("work/{}/", self.cfg.domain);
            self.call_platform(PlatformOp::List(prefix), Purpose::ListBatches);
        }
        self.ask_homes_again();
        self.run_deferred();
    }

    /// Forgets what the next scribe finds in the platform; what isn't there yet is still written.
    fn stop_being_scribe(&mut self) {
        let deferred = &mut self.deferred;
        deferred.loaded = false;
        deferred.listed = None;
        deferred.waiting.clear();
        deferred.running.clear();
        deferred
            .batches
            .retain(|_, b| b.version.is_none() || b.dirty);
        let batches = &deferred.batches;
        deferred.by_key.retain(|_, id| batches.contains_key(id));
    }

    fn write_batches(&mut self) {
        let now = self.now;
        let mut unwritten = Vec::new();
        let mut dirty = Vec::new();
        for (id, batch) in &self.deferred.batches {
            let waited = now.since(batch.tried);
            match batch.version {
                None if !batch.writing && waited >= WRITE_AGAIN => unwritten.push(id.clone()),
                Some(version) if batch.dirty && !batch.writing && waited >= RESULTS_EVERY => {
                    dirty.push((id.clone(), version));
                }
                _ => {}
            }
        }
        for id in unwritten {
            self.write_new_batch(&id);
        }
        for (id, version) in dirty {
            self.write_results(&id, version);
        }
    }

    fn write_results(&mut self, id: &BatchId, version: u64) {
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
    pub(super) fn on_results_written(&mut self, id: &BatchId, answer: &PlatformAnswer) {
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

    fn read_batch(&mut self, id: &BatchId) {
        let name = batch_name(&self.cfg.domain.clone(), id);
        self.call_platform(
            PlatformOp::Get { name, known: None },
            Purpose::ReadBatch(id.clone()),
        );
    }

    /// The platform said which batches there are.
    pub(super) fn on_batches_listed(&mut self, answer: PlatformAnswer) {
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
    pub(super) fn on_batch_read(&mut self, id: &BatchId, answer: PlatformAnswer) {
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

    /// Whether accepted work or its results are nowhere but in boxes.
    pub(super) fn has_unwritten(&self) -> bool {
        let deferred = &self.deferred;
        let unwritten = |b: &Batch| b.version.is_none() || b.dirty || b.writing;
        !deferred.gathering.is_empty()
            || !deferred.held.is_empty()
            || deferred.batches.values().any(unwritten)
    }

    /// Has another box hold all work that is nowhere but in boxes, as this one stops.
    pub(super) fn hand_over_unwritten(&mut self) {
        self.flush_deferred();
        let domain = self.cfg.domain.clone();
        let own = self
            .deferred
            .batches
            .iter()
            .filter(|(_, b)| b.version.is_none());
        let own = own.map(|(id, b)| (id.clone(), domain.clone(), b.items.clone()));
        let others = self.deferred.held.iter();
        let others = others.map(|(id, h)| (id.clone(), h.domain.clone(), h.items.clone()));
        let holds: Vec<Hold> = own
            .chain(others)
            .map(|(batch, domain, items)| Hold {
                batch,
                domain,
                items,
            })
            .collect();
        let scribe = u64::from(SCRIBE_SLICE.0);
        let near = self.membership.ranked_for(&domain, scribe, self.now);
        let near = near.into_iter().find(|m| m.id != self.cfg.me.id);
        let Some(to) = near.or_else(|| self.other_domain_box()) else {
            return;
        };
        for hold in holds {
            self.out.send(&to, hold);
        }
    }

    /// Writes batches that are held for another failure domain, once that had time to do so.
    fn write_held(&mut self) {
        let now = self.now;
        let due: Vec<BatchId> = self
            .deferred
            .held
            .iter()
            .filter(|(_, h)| {
                now.since(h.since) >= HOLD_PATIENCE && now.since(h.tried) >= WRITE_AGAIN
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(held) = self.deferred.held.get_mut(&id) else {
                continue;
            };
            held.tried = now;
            let value = batch_value(&id, &held.items, &HashMap::new());
            let domain = held.domain.clone();
            let name = batch_name(&domain, &id);
            let op = PlatformOp::Put {
                name,
                expect: Expect::Absent,
                value,
            };
            self.call_platform(op, Purpose::HeldBatch(id));
        }
    }

    /// The platform answered to a batch held for another failure domain.
    pub(super) fn on_held_written(&mut self, id: &BatchId, answer: &PlatformAnswer) {
        if matches!(
            answer,
            PlatformAnswer::Written(_) | PlatformAnswer::Conflict
        ) {
            self.deferred.held.remove(id);
        }
    }

    /// Hands waiting work to its homes, as much as may run at once.
    fn run_deferred(&mut self) {
        while self.deferred.running.len() < DEFERRED_RUNNING {
            let Some(key) = self.deferred.waiting.pop_front() else {
                return;
            };
            if !self.deferred.running.contains_key(&key) {
                self.hand_to_home(&key);
            }
        }
    }

    fn hand_to_home(&mut self, key: &RequestKey) {
        let batch = self
            .deferred
            .by_key
            .get(key)
            .and_then(|id| self.deferred.batches.get(id));
        let request = batch
            .filter(|b| !b.results.contains_key(key.as_str()))
            .and_then(|b| b.items.iter().find(|i| &i.key == key))
            .cloned();
        let Some(request) = request else {
            return;
        };
        let ranked = self.membership.ranked(&self.cfg.domain, key, self.now);
        if let Some(home) = ranked.first() {
            self.deferred
                .running
                .insert(key.clone(), (home.id.clone(), self.now));
            let scribe = self.cfg.me.id.clone();
            self.out.send(home, RunDeferred { request, scribe });
        }
    }

    fn ask_homes_again(&mut self) {
        let now = self.now;
        let overdue: Vec<RequestKey> = self
            .deferred
            .running
            .iter()
            .filter(|(_, (_, since))| now.since(*since) >= ASK_AGAIN)
            .map(|(key, _)| key.clone())
            .collect();
        for key in overdue {
            self.hand_to_home(&key);
        }
    }

    /// Hands work that a lost box was running to other homes.
    pub(super) fn redispatch_deferred(&mut self, lost: &BoxId) {
        let keys: Vec<RequestKey> = self
            .deferred
            .running
            .iter()
            .filter(|(_, (home, _))| home == lost)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.hand_to_home(&key);
        }
    }

    /// The scribe hands this box work to run.
    pub(super) fn on_run_deferred(&mut self, run: RunDeferred) {
        let key = run.request.key.clone();
        let role = self.answers.get(&key).map(|a| a.role.clone());
        match role {
            None => {
                if let Err(refusal) = self.start_answer(run.request.clone()) {
                    return self.deferred_failed(&run.scribe, &key, refusal);
                }
            }
            Some(Role::CopyOf(owner)) if self.membership.is_live(&owner, self.now) => {
                if let Some(member) = self.member(&owner) {
                    self.out.send(&member, run);
                }
                return;
            }
            Some(Role::CopyOf(_)) => self.take_over(&key),
            Some(Role::Producer) => {}
        }
        if let Some(answer) = self.answers.get_mut(&key) {
            answer.scribe = Some(run.scribe);
        }
        self.release(&key);
    }

    /// Work could not be started; only what can never run is reported as failed.
    fn deferred_failed(&mut self, scribe: &BoxId, key: &RequestKey, refusal: Refusal) {
        if refusal.retry_after.is_some() {
            return;
        }
        if let Some(member) = self.member(scribe) {
            let result = DeferredResult::Failed(refusal);
            self.out.send(
                &member,
                DeferredDone {
                    key: key.clone(),
                    result,
                },
            );
        }
    }

    /// A home has finished work.
    pub(super) fn on_deferred_done(&mut self, done: DeferredDone) {
        self.deferred.running.remove(&done.key);
        let temporary =
            matches!(&done.result, DeferredResult::Failed(r) if r.retry_after.is_some());
        if temporary {
            self.deferred.waiting.push_back(done.key);
            return;
        }
        let id = self.deferred.by_key.get(&done.key).cloned();
        let Some(batch) = id.and_then(|id| self.deferred.batches.get_mut(&id)) else {
            return;
        };
        let name = done.key.to_string();
        if let std::collections::hash_map::Entry::Vacant(entry) = batch.results.entry(name) {
            entry.insert(done.result);
            batch.dirty = true;
            self.stats.deferred_done += 1;
            self.out.note("deferred_done", &done.key, "");
        }
        self.run_deferred();
    }

    /// A box asks how deferrable work stands.
    pub(super) fn on_lookup(&mut self, mut lookup: Lookup) {
        if !self.membership.is_scribe() {
            let scribe = self.membership.slice_home(&self.cfg.domain, SCRIBE_SLICE);
            if let Some(scribe) =
                scribe.filter(|s| s.id != self.cfg.me.id && lookup.hops < MAX_HOPS)
            {
                lookup.hops += 1;
                return self.out.send(&scribe, lookup);
            }
            return self.refuse_lookup(&lookup);
        }
        let batch = self
            .deferred
            .by_key
            .get(&lookup.key)
            .and_then(|id| self.deferred.batches.get(id));
        let status = match batch {
            None if !self.deferred.loaded => return self.refuse_lookup(&lookup),
            None => DeferredStatus::Missing,
            Some(batch) => match batch.results.get(lookup.key.as_str()) {
                // A result is told once it is where no loss of boxes can reach it.
                Some(result) if !batch.dirty && !batch.writing => {
                    DeferredStatus::Done(result.clone())
                }
                _ => DeferredStatus::Accepted,
            },
        };
        let reply = LookupReply {
            subscription: lookup.subscription,
            status,
        };
        self.out.send(&lookup.receiver, reply);
    }

    fn refuse_lookup(&mut self, lookup: &Lookup) {
        let detail = "the box that knows of this work is being replaced; ask again soon";
        let refusal = Refusal::not_run(Reason::HomeUnreachable, RETRY_AFTER, detail);
        let refused = Refused {
            subscription: lookup.subscription,
            refusal,
        };
        self.out.send(&lookup.receiver, refused);
    }
}

/// The name of a batch's object in the platform.
fn batch_name(domain: &DomainId, id: &BatchId) -> String {
    format!("work/{domain}/{id}")
}

fn batch_value(
    id: &BatchId,
    items: &[Request],
    results: &HashMap<String, DeferredResult>,
) -> String {
    let batch = WorkBatch {
        batch: id.clone(),
        items: items.to_vec(),
        results: results.clone(),
    };
    serde_json::to_string(&batch).unwrap_or_default()
}
