//! Which requests wait for an endpoint, in which order, and which are refused as overload.
//!
//! The rule ([`Admission::admit`]): a request whose deadline would pass while it waits is refused
//! at once. A queue that is crowded refuses newcomers of an organisation that holds its share by
//! weight; a full one gives the newcomer the place of the newest request of the organisation that
//! holds the most for its weight, if that is more than the newcomer's would. Next is the most
//! urgent class, within it the organisation that was served least for its weight (start-time fair
//! queuing).
//!
//! Inputs: what waits, the mean time between two starts of late, the bundle's `queue_limit`. Owns:
//! the queues, one for the endpoints of a model or of a plain service. Weighed: refusing only when
//! the queue is full (refusals then took 2.3 s at the 99th percentile at twice the capacity, 3.3 ms
//! since, docs/MEASUREMENTS.md, "Rounds").
//!
//! The gateway has no queues: its engines queue themselves, and a request that can't be placed is
//! refused ([`crate::gateway::dispatch`]).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::schema::{Micros, ModelId, OrganisationId, Priority, RequestKey, ServiceId};

/// How fast the mean time between two starts follows new ones.
const SPACING_WEIGHT: f64 = 0.1;
/// The part of a queue, as a divisor, from which on organisations are held to their shares, so that
/// who has more than its share is refused at once, not after it has waited. The figure is chosen.
const CROWDED_PART: usize = 2;
/// Classes, the most urgent first.
const CLASSES: [Priority; 3] = [Priority::Quick, Priority::Interactive, Priority::Deferrable];

/// A set of endpoints that serve the same requests.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Pool {
    /// The engines of a model.
    Model(ModelId),
    /// The endpoints of a plain service.
    Service(ServiceId),
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub key: RequestKey,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The organisation's weight.
    pub weight: u32,
    /// The request's class.
    pub priority: Priority,
    /// What it will cost, in any unit that is the same for all requests of the pool.
    pub cost: f64,
    /// The time by which it must have started.
    pub deadline: Option<Micros>,
}

/// What became of a request that wanted to wait.
#[derive(Debug)]
pub enum Admitted {
    /// It waits.
    Queued,
    /// It waits, and this other one, which had waited, must be refused.
    Instead(Waiting),
    /// It must be refused: the queue is full.
    Full,
    /// It must be refused: its deadline can't be met.
    TooLate(Duration),
}

#[derive(Debug, Default)]
struct Class {
    waiting: BTreeMap<OrganisationId, VecDeque<Waiting>>,
    served: BTreeMap<OrganisationId, f64>,
    virtual_time: f64,
}

impl Class {
    fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    fn held_by(&self, organisation: &OrganisationId) -> usize {
        self.waiting.get(organisation).map_or(0, VecDeque::len)
    }

    /// The most that the newcomer's organisation may hold of a crowded queue, by its weight among
    /// those who wait.
    fn cap(&self, newcomer: &Waiting, limit: usize) -> usize {
        let others = self
            .waiting
            .iter()
            .filter(|(id, _)| **id != newcomer.organisation);
        let others = others
            .filter_map(|(_, line)| line.front())
            .map(|w| u64::from(w.weight));
        let own = u64::from(newcomer.weight.max(1));
        let all = own + others.sum::<u64>();
        let cap = limit as u64 * own / all;
        usize::try_from(cap).unwrap_or(limit).max(1)
    }

    /// When the organisation's next request starts, in virtual time.
    fn start_of(&self, organisation: &OrganisationId) -> f64 {
        let served = self.served.get(organisation).copied().unwrap_or(0.0);
        served.max(self.virtual_time)
    }

    fn next(&self) -> Option<OrganisationId> {
        self.waiting
            .keys()
            .min_by(|a, b| {
                let starts = self.start_of(a).total_cmp(&self.start_of(b));
                starts.then_with(|| a.cmp(b))
            })
            .cloned()
    }

    fn pop(&mut self) -> Option<Waiting> {
        let organisation = self.next()?;
        let start = self.start_of(&organisation);
        let queue = self.waiting.get_mut(&organisation)?;
        let waiting = queue.pop_front()?;
        if queue.is_empty() {
            self.waiting.remove(&organisation);
        }
        self.virtual_time = start;
        let finish = start + waiting.cost / f64::from(waiting.weight.max(1));
        self.served.insert(organisation, finish);
        if self.waiting.is_empty() {
            // Nobody waits, so nobody has been favoured.
            let virtual_time = self.virtual_time;
            self.served.retain(|_, finish| *finish > virtual_time);
        }
        Some(waiting)
    }

    /// The organisation that holds the most for its weight.
    fn greediest(&self) -> Option<(OrganisationId, f64)> {
        self.waiting
            .iter()
            .filter_map(|(id, queue)| {
                let weight = queue.front()?.weight.max(1);
                Some((id.clone(), queue.len() as f64 / f64::from(weight)))
            })
            .max_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(&b.0)))
    }

    fn take_newest(&mut self, organisation: &OrganisationId) -> Option<Waiting> {
        let queue = self.waiting.get_mut(organisation)?;
        let newest = queue.pop_back();
        if queue.is_empty() {
            self.waiting.remove(organisation);
        }
        newest
    }
}

/// The queue of one pool.
#[derive(Debug, Default)]
struct Queue {
    classes: [Class; 3],
    /// Seconds between two starts while work waits.
    spacing: Option<f64>,
    last_start: Option<Micros>,
}

impl Queue {
    fn class(&mut self, priority: Priority) -> &mut Class {
        let place = CLASSES
            .iter()
            .position(|c| *c == priority)
            .unwrap_or(CLASSES.len() - 1);
        &mut self.classes[place]
    }

    /// How many requests start before a new one of a class.
    fn ahead(&self, priority: Priority) -> usize {
        let classes = CLASSES.iter().zip(&self.classes);
        classes
            .filter(|(c, _)| **c <= priority)
            .map(|(_, class)| class.len())
            .sum()
    }

    fn expected_wait(&self, priority: Priority) -> Duration {
        let spacing = self.spacing.unwrap_or(0.0);
        Duration::from_secs_f64((self.ahead(priority) as f64 * spacing).min(3_600.0))
    }

    fn on_start(&mut self, now: Micros) {
        if let Some(last) = self.last_start {
            let spacing = now.since(last).as_secs_f64();
            let average = self.spacing.get_or_insert(spacing);
            *average += SPACING_WEIGHT * (spacing - *average);
        }
        self.last_start = (self.ahead(Priority::Deferrable) > 0).then_some(now);
    }
}

/// The queues of all pools.
#[derive(Debug, Default)]
pub struct Admission {
    queues: BTreeMap<Pool, Queue>,
}

impl Admission {
    /// Lets a request wait, if the queue has room and its deadline can be met.
    pub fn admit(&mut self, pool: &Pool, waiting: Waiting, limit: usize, now: Micros) -> Admitted {
        let queue = self.queues.entry(pool.clone()).or_default();
        let wait = queue.expected_wait(waiting.priority);
        if waiting
            .deadline
            .is_some_and(|deadline| now.after(wait) > deadline)
        {
            return Admitted::TooLate(wait);
        }
        let class = queue.class(waiting.priority);
        let held = class.held_by(&waiting.organisation);
        let crowded = class.len() >= limit / CROWDED_PART;
        if crowded && held >= class.cap(&waiting, limit) {
            return Admitted::Full;
        }
        if class.len() < limit {
            push(class, waiting);
            return Admitted::Queued;
        }
        let own = held + 1;
        let share = own as f64 / f64::from(waiting.weight.max(1));
        match class.greediest() {
            Some((greediest, most)) if most > share => {
                let Some(evicted) = class.take_newest(&greediest) else {
                    return Admitted::Full;
                };
                push(class, waiting);
                Admitted::Instead(evicted)
            }
            _ => Admitted::Full,
        }
    }

    /// Puts a request back to the head of its organisation's queue.
    pub fn put_back(&mut self, pool: &Pool, waiting: Waiting) {
        let queue = self.queues.entry(pool.clone()).or_default();
        let class = queue.class(waiting.priority);
        let line = class
            .waiting
            .entry(waiting.organisation.clone())
            .or_default();
        line.push_front(waiting);
    }

    /// Takes the next request of a pool.
    pub fn next(&mut self, pool: &Pool, now: Micros) -> Option<Waiting> {
        let queue = self.queues.get_mut(pool)?;
        let waiting = queue.classes.iter_mut().find_map(Class::pop)?;
        queue.on_start(now);
        Some(waiting)
    }

    /// Takes a request out, if it still waits.
    pub fn remove(&mut self, pool: &Pool, key: &RequestKey) -> Option<Waiting> {
        let queue = self.queues.get_mut(pool)?;
        for class in &mut queue.classes {
            for line in class.waiting.values_mut() {
                if let Some(place) = line.iter().position(|w| &w.key == key) {
                    let waiting = line.remove(place);
                    class.waiting.retain(|_, line| !line.is_empty());
                    return waiting;
                }
            }
        }
        None
    }

    /// Takes out everything whose deadline has passed.
    pub fn expired(&mut self, now: Micros) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            for class in &mut queue.classes {
                for line in class.waiting.values_mut() {
                    let late = |w: &Waiting| w.deadline.is_some_and(|d| d <= now);
                    expired.extend(line.iter().filter(|w| late(w)).cloned());
                    line.retain(|w| !late(w));
                }
                class.waiting.retain(|_, line| !line.is_empty());
            }
        }
        expired
    }

    /// How long a new request of a class would wait.
    #[must_use]
    pub fn expected_wait(&self, pool: &Pool, priority: Priority) -> Duration {
        self.queues
            .get(pool)
            .map_or(Duration::ZERO, |q| q.expected_wait(priority))
    }

    /// The pools in which something waits.
    #[must_use]
    pub fn busy_pools(&self) -> Vec<Pool> {
        let busy = self
            .queues
            .iter()
            .filter(|(_, q)| q.ahead(Priority::Deferrable) > 0);
        busy.map(|(pool, _)| pool.clone()).collect()
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues
            .values()
            .map(|q| q.ahead(Priority::Deferrable))
            .sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn push(class: &mut Class, waiting: Waiting) {
    class
        .waiting
        .entry(waiting.organisation.clone())
        .or_default()
        .push_back(waiting);
}
