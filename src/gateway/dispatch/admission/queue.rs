//! The order in which requests of one service that wait for room at an engine are started.
//!
//! The order is by tier first. Within a tier come the requests that can still have their first event
//! in time, because a late request would take the slot of one that can be in time. Among these,
//! organisations share the starts by deficit round robin counted in tokens, with equal weights, so
//! that an organisation with many requests takes no more than its share while others wait; within an
//! organisation the request comes first that must start earliest. Late requests follow in the order
//! of their arrival.
//!
//! A request may start before others if only it fits into the free room. Its organisation is
//! charged for it as for any other start.

use std::collections::{BTreeMap, VecDeque};

use crate::gateway::dispatch::event::{RequestNumber, Tokens};
use crate::gateway::dispatch::priority::Tier;
use crate::schema::{Micros, OrganisationId};

/// Maximum number of waiting requests of a service.
pub const MAX_WAITING: usize = 500;
/// Maximum sum of the prompts of waiting requests of a service: 500 prompts of the usual 5,000
/// tokens.
pub const MAX_WAITING_PROMPTS: u64 = 2_500_000;
/// The quantum is at least the largest request divided by this, which bounds the turns that are
/// needed until a large request starts.
const MAX_TURNS: u32 = 8;

/// A request that waits for room at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Number of the request.
    pub number: RequestNumber,
    /// Rank of the request; without one it counts as most urgent.
    pub tier: Option<Tier>,
    /// Organisation of the caller, if known.
    pub organisation: Option<OrganisationId>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Prompt and maximum output; 0 if the caller did not state them.
    pub memory: Tokens,
    /// Time of arrival.
    pub arrived: Micros,
    /// Start of the wait.
    pub since: Micros,
    /// Latest start for which the first event is in time.
    pub latest_in_time: Micros,
    /// Latest start for which the answer is complete before the caller's deadline.
    pub latest_start: Micros,
}

impl Waiting {
    /// Whether the first event can no longer be in time.
    #[must_use]
    pub fn is_late(&self, now: Micros) -> bool {
        now > self.latest_in_time
    }
}

/// Organisation of waiting requests; anonymous ones count as one organisation.
type Owner = Option<OrganisationId>;

/// Requests of one organisation and their costs in tokens, the first to start first.
type Line = VecDeque<(RequestNumber, i64)>;

/// The deficit round robin among the organisations of one tier.
#[derive(Clone, Debug, Default)]
struct Round {
    /// Organisations with waiting requests; the first one has its turn.
    turns: VecDeque<Owner>,
    /// Tokens that each may still start; negative if it started a request outside of its turn.
    balances: BTreeMap<Owner, i64>,
    /// Whether the first one already got the quantum of its turn.
    is_credited: bool,
}

impl Round {
    /// Adds organisations that have no turn yet, after the others.
    fn join<'a>(&mut self, owners: impl Iterator<Item = &'a Owner>) {
        for owner in owners {
            if !self.balances.contains_key(owner) {
                self.balances.insert(owner.clone(), 0);
                self.turns.push_back(owner.clone());
            }
        }
    }

    /// Takes the next request out of the lines. Organisations without requests lose their turn and
    /// their balance.
    fn next(&mut self, lines: &mut BTreeMap<Owner, Line>, quantum: i64) -> Option<RequestNumber> {
        loop {
            let owner = self.turns.front()?.clone();
            let line = lines.get_mut(&owner);
            let Some((line, (number, cost))) =
                line.and_then(|l| l.front().copied().map(|f| (l, f)))
            else {
                self.turns.pop_front();
                self.balances.remove(&owner);
                self.is_credited = false;
                continue;
            };
            let balance = self.balances.entry(owner).or_default();
            if !self.is_credited {
                *balance += quantum;
                self.is_credited = true;
            }
            if *balance >= cost {
                *balance -= cost;
                line.pop_front();
                return Some(number);
            }
            self.turns.rotate_left(1);
            self.is_credited = false;
        }
    }
}

/// Groups requests of a tier by organisation, with their costs, and determines the quantum: the
/// median of the costs. A request without stated tokens costs one token.
fn lines_of<'a>(waiting: impl Iterator<Item = &'a Waiting>) -> (BTreeMap<Owner, Line>, i64) {
    let mut waiting: Vec<&Waiting> = waiting.collect();
    waiting.sort_by_key(|w| (w.latest_in_time, w.number));
    let mut lines: BTreeMap<Owner, Line> = BTreeMap::new();
    let mut costs: Vec<u32> = Vec::with_capacity(waiting.len());
    for request in waiting {
        let cost = request.memory.0.max(1);
        costs.push(cost);
        let line = lines.entry(request.organisation.clone()).or_default();
        line.push_back((request.number, i64::from(cost)));
    }
    costs.sort_unstable();
    let median = costs.get(costs.len() / 2).copied().unwrap_or(1);
    let largest = costs.last().copied().unwrap_or(1);
    let quantum = median.max(largest.div_ceil(MAX_TURNS));
    (lines, i64::from(quantum))
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<RequestNumber, Waiting>,
    rounds: BTreeMap<Option<Tier>, Round>,
}

impl WaitQueue {
    /// Adds a request.
    pub fn insert(&mut self, request: Waiting) {
        self.waiting.insert(request.number, request);
    }

    /// Removes and returns the last requests in the order that exceed the bounds of the queue.
    pub fn take_excess(&mut self, now: Micros) -> Vec<RequestNumber> {
        let mut excess = Vec::new();
        if self.is_within_bounds() {
            return excess;
        }
        let mut order = self.order(now);
        while !self.is_within_bounds()
            && let Some(last) = order.pop()
        {
            self.waiting.remove(&last);
            excess.push(last);
        }
        excess
    }

    fn is_within_bounds(&self) -> bool {
        let prompts = self.waiting.values().map(|w| u64::from(w.prompt.0));
        self.waiting.len() <= MAX_WAITING && prompts.sum::<u64>() <= MAX_WAITING_PROMPTS
    }

    /// Removes a request that does not start.
    pub fn remove(&mut self, number: RequestNumber) -> Option<Waiting> {
        let removed = self.waiting.remove(&number);
        if self.waiting.is_empty() {
            self.rounds.clear();
        }
        removed
    }

    /// Removes a request that starts now, and charges its organisation.
    pub fn start(&mut self, number: RequestNumber, now: Micros) -> Option<Waiting> {
        let request = self.waiting.get(&number)?.clone();
        let (mut lines, quantum) = lines_of(self.in_time(request.tier, now));
        let round = self.rounds.entry(request.tier).or_default();
        round.join(lines.keys());
        let mut after = round.clone();
        if after.next(&mut lines, quantum) == Some(number) {
            *round = after;
        } else if let Some(balance) = round.balances.get_mut(&request.organisation) {
            *balance -= i64::from(request.memory.0.max(1));
        }
        self.remove(number)
    }

    fn in_time(&self, tier: Option<Tier>, now: Micros) -> impl Iterator<Item = &Waiting> {
        let of_tier = self.waiting.values().filter(move |w| w.tier == tier);
        of_tier.filter(move |w| !w.is_late(now))
    }

    /// The requests in the order in which they start.
    #[must_use]
    pub fn order(&self, now: Micros) -> Vec<RequestNumber> {
        let mut tiers: Vec<Option<Tier>> = self.waiting.values().map(|w| w.tier).collect();
        tiers.sort_unstable();
        tiers.dedup();
        let mut order = Vec::with_capacity(self.waiting.len());
        for tier in tiers {
            let (mut lines, quantum) = lines_of(self.in_time(tier, now));
            let mut round = self.rounds.get(&tier).cloned().unwrap_or_default();
            round.join(lines.keys());
            order.extend(std::iter::from_fn(|| round.next(&mut lines, quantum)));
            let late = self.waiting.values();
            let late = late.filter(|w| w.tier == tier && w.is_late(now));
            let mut late: Vec<&Waiting> = late.collect();
            late.sort_by_key(|w| (w.arrived, w.number));
            order.extend(late.iter().map(|w| w.number));
        }
        order
    }

    /// A waiting request.
    #[must_use]
    pub fn get(&self, number: RequestNumber) -> Option<&Waiting> {
        self.waiting.get(&number)
    }

    /// Iterates over the waiting requests in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
