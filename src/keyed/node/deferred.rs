//! Deferrable work: accepted once it is written where no loss of boxes can reach it, run in spare
//! capacity, and finished whatever fails.
//!
//! One box of each failure domain, the scribe, writes the accepted requests to the platform, many
//! in one object, and hands them to their homes to be run. While the platform is out, a box of
//! another failure domain holds a copy, and either of the two writes it when the platform returns.
//! A scribe that is replaced leaves nothing behind that the next one doesn't find in the platform.

mod batches;
mod holds;
mod running;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::keyed::node::Node;
use crate::keyed::node::action::PlatformOp;
use crate::keyed::node::config::{
    BATCH_BYTES, BATCH_ITEMS, FLUSH_DELAY, MAX_HOPS, RESULT_BYTES_PER_TOKEN, RETRY_AFTER,
};
use crate::keyed::node::event::Timer;
use crate::keyed::node::platform::Purpose;
use crate::keyed::node::roster::SCRIBE_SLICE;
use crate::schema::{
    BatchId, BoxId, Defer, DeferReply, DeferredResult, DeferredStatus, DomainId, Incarnation, Kept,
    Lookup, LookupReply, Member, Micros, Reason, Refusal, Refused, Request, RequestKey,
    RequestKind, WorkBatch,
};

/// How long a write of a batch is not repeated.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// How often results are written.
///
/// With [`FLUSH_DELAY`] it bounds a scribe's writes to about seven a second, so that those of all
/// failure domains keep to the platform's rate.
const RESULTS_EVERY: Duration = Duration::from_millis(300);
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
    batches: BTreeMap<BatchId, Batch>,
    by_key: BTreeMap<RequestKey, BatchId>,
    waiting: VecDeque<RequestKey>,
    running: BTreeMap<RequestKey, (BoxId, Micros)>,
    held: BTreeMap<BatchId, HeldBatch>,
    loaded: bool,
    listed: Option<Micros>,
    results_written: Option<Micros>,
}

impl Deferred {
    /// Starts without any work.
    #[must_use]
    pub fn new(life: Incarnation) -> Self {
        Self {
            life,
            next_batch: 0,
            gathering: Vec::new(),
            batches: BTreeMap::new(),
            by_key: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            held: BTreeMap::new(),
            loaded: false,
            listed: None,
            results_written: None,
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
        RequestKind::Generate(g) => g.prompt.len() + g.max_tokens as usize * RESULT_BYTES_PER_TOKEN,
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
