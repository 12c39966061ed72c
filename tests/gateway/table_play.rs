//! A seeded play of one box's decisions while routing tables of any content arrive in any order.
//!
//! Each caller has a model of its exchange, which checks every command: an attempt starts only while
//! none runs, and one final command ends the exchange.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{
    Arrival, AttemptNumber, EndpointChange, EndpointSpec, Event, Fault, NotRunCause, Outcome,
    ProbeResult, RequestNumber, SnapshotFailure, Tokens,
};
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::table::RoutingTable;
use magpiemoor::schema::{EndpointId, Micros, ServiceId};
use rand::seq::{IndexedMutRandom, IndexedRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{GENEROUS, PAYMENTS, QUOTES, STREAMS, World, changed, endpoint, listed};
use crate::table_changes::Tables;

/// Time in which requests, tables and changes of endpoints arrive.
const BUSY: Duration = Duration::from_secs(12);
/// Time after which every request must have ended.
const QUIET: Duration = Duration::from_secs(30);
/// Time between two looks at the endpoints' answers.
const STEP: Duration = Duration::from_millis(10);
/// Time after its deadline in which a request must end: requests are checked every 25 ms, with a step
/// of the play.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// Longest time without an attempt while an endpoint has plenty of room: the searches for a version
/// and for a prompt, two sweeps, and a delayed search.
const MAX_HELD: Duration = Duration::from_secs(2);
/// The same for a stream that has begun, which may wait for the retry budget.
const MAX_HELD_BEGUN: Duration = Duration::from_millis(6_500);
/// Time for which the box may avoid an endpoint that failed.
const DISTRUST: Duration = Duration::from_secs(15);
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Slots of each endpoint: few, so that streams wait for room.
const SLOTS: u32 = 3;
/// Time that the stop of the box takes.
const GRACE: Duration = Duration::from_secs(6);
/// A budget that is soon spent.
const SCARCE: RetryPolicy = RetryPolicy {
    ratio: 0.1,
    reserve: 2.0,
    window: Duration::from_secs(10),
};

/// An attempt at its endpoint.
struct Run {
    attempt: AttemptNumber,
    endpoint: EndpointId,
    next_event: Micros,
    ends_at: Micros,
    outcome: Outcome,
}

/// The exchange with one caller, as its task sees it.
struct Exchange {
    path: &'static str,
    memory: u32,
    targets: Vec<ServiceId>,
    due: Micros,
    run: Option<Run>,
    last_event: u64,
    last_outcome: Option<Outcome>,
    /// Since when it has no attempt although an endpoint has room.
    held_since: Option<Micros>,
    is_over: bool,
}

/// What became of the requests of a play.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub requests: usize,
    pub answered: usize,
    pub refused: BTreeMap<&'static str, usize>,
    pub tables: usize,
    pub longest_held: Duration,
    pub faults: Vec<String>,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.tables += other.tables;
        self.longest_held = self.longest_held.max(other.longest_held);
        for (reason, count) in &other.refused {
            *self.refused.entry(reason).or_default() += count;
        }
        self.faults.extend_from_slice(&other.faults);
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            answered,
            refused,
            tables,
            longest_held,
            ..
        } = self;
        write!(
            f,
            "{requests} requests, {answered} answered, refused {refused:?}, "
        )?;
        write!(f, "{tables} tables, longest held {longest_held:?}")
    }
}

pub struct Play {
    world: World,
    rng: ChaCha8Rng,
    tables: Tables,
    specs: Vec<EndpointSpec>,
    failed: BTreeMap<EndpointId, Micros>,
    exchanges: BTreeMap<RequestNumber, Exchange>,
    replies: Vec<Event>,
    stop_ends: Option<Micros>,
    counts: Counts,
}

fn specs() -> Vec<EndpointSpec> {
    let names = [
        ("engine-n1", "engines", "north"),
        ("engine-s1", "engines", "south"),
        ("spare-n1", "spares", "north"),
        ("spare-s1", "spares", "south"),
        ("till-n1", "till", "north"),
        ("till-s1", "till", "south"),
        ("desk-n1", "desk", "north"),
    ];
    let ports = 9_001..;
    let found = names
        .iter()
        .zip(ports)
        .map(|((id, service, domain), port)| EndpointSpec {
            slots: SLOTS,
            ..endpoint(id, service, domain, port)
        });
    found.collect()
}

impl Play {
    /// Plays a seed to its end; returns what became of its requests.
    pub fn run(seed: u64) -> Counts {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let policy = if rng.random_bool(0.5) {
            GENEROUS
        } else {
            SCARCE
        };
        let mut play = Self {
            world: World::empty(policy),
            rng,
            tables: Tables::default(),
            specs: specs(),
            failed: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            replies: Vec::new(),
            stop_ends: None,
            counts: Counts::default(),
        };
        play.start();
        play.pass(BUSY, true);
        play.pass(QUIET, false);
        for (number, exchange) in &play.exchanges {
            if !exchange.is_over {
                let text = format!("request {number} to {} never ended", exchange.path);
                play.counts.faults.push(text);
            }
        }
        play.counts
    }

    /// Hands the box its first table and list, in either order, sometimes after requests.
    fn start(&mut self) {
        let early = self.rng.random_range(0..4);
        for _ in 0..early {
            self.arrive();
            self.pass(Duration::from_millis(90), false);
        }
        let is_list_first = self.rng.random();
        if is_list_first {
            self.handle(listed(self.specs.clone()));
            self.pass(Duration::from_millis(40), false);
        }
        self.publish_table();
        if !is_list_first {
            self.handle(listed(self.specs.clone()));
        }
    }

    fn pass(&mut self, span: Duration, is_busy: bool) {
        let end = self.world.now.after(span);
        while self.world.now < end {
            let tick = self.world.dispatcher.next_tick();
            self.world.now = tick.clamp(
                self.world.now.after(Duration::from_millis(1)),
                self.world.now.after(STEP),
            );
            if tick <= self.world.now {
                self.handle(Event::Tick);
            }
            self.answer();
            // The process exits at the end of its stop.
            let has_exited = self.stop_ends.is_some_and(|at| self.world.now >= at);
            if is_busy && !has_exited {
                self.disturb();
            }
            self.judge();
        }
    }

    fn handle(&mut self, event: Event) {
        self.world.handle(event);
        for action in std::mem::take(&mut self.world.actions) {
            self.take(action);
        }
    }

    fn take(&mut self, action: Action) {
        match action {
            Action::Command { request, command } => self.obey(request, command),
            Action::Probe { endpoint, .. } => self.replies.push(Event::Probed {
                result: ProbeResult::of_reach(!self.failed.contains_key(&endpoint)),
                endpoint,
                born: None,
            }),
            Action::CheckExited { endpoint, .. } => self.replies.push(Event::Checked {
                endpoint,
                has_exited: false,
            }),
            Action::CheckPath { service, .. } => self.replies.push(Event::PathChecked {
                service,
                is_reached: true,
            }),
            Action::Locate { request, .. } => self.replies.push(Event::Located {
                request,
                endpoint: None,
            }),
            Action::TakeSnapshot(wanted) => self.replies.push(Event::SnapshotTaken {
                request: wanted.request,
                attempt: wanted.attempt,
                host: wanted.host,
                name: Err(SnapshotFailure::Refused),
            }),
            _ => {}
        }
    }

    /// Does what a command says, as the task of the request would.
    fn obey(&mut self, number: RequestNumber, command: Command) {
        let now = self.world.now;
        let Some(exchange) = self.exchanges.get_mut(&number) else {
            return;
        };
        let is_running = exchange.run.is_some();
        let fits = match &command {
            Command::Send(_) | Command::Refuse(_) => !is_running,
            Command::StopAttempt(_) => true,
            Command::Deliver => matches!(exchange.last_outcome, Some(Outcome::Answered { .. })),
            Command::Finish => exchange.last_outcome == Some(Outcome::StreamEnded),
        };
        if exchange.is_over || !fits {
            let text = format!("request {number}: {command:?} while it runs: {is_running}");
            self.counts.faults.push(text);
        }
        match command {
            Command::Send(attempt) => {
                let run = draw_run(&mut self.rng, now, exchange.path, &attempt);
                exchange.run = Some(run);
                exchange.held_since = None;
            }
            Command::StopAttempt(attempt) => {
                exchange.run.take_if(|run| run.attempt == attempt);
            }
            Command::Deliver | Command::Finish => {
                exchange.is_over = true;
                self.counts.answered += 1;
            }
            Command::Refuse(refusal) => {
                exchange.is_over = true;
                *self
                    .counts
                    .refused
                    .entry(refusal.reason.word())
                    .or_default() += 1;
            }
        }
    }

    /// Hands the box what endpoints have answered by now.
    fn answer(&mut self) {
        for event in std::mem::take(&mut self.replies) {
            self.handle(event);
        }
        let now = self.world.now;
        let numbers: Vec<RequestNumber> = self.exchanges.keys().copied().collect();
        for request in numbers {
            let Some(exchange) = self.exchanges.get_mut(&request) else {
                continue;
            };
            let Some(run) = exchange.run.as_mut() else {
                continue;
            };
            let attempt = run.attempt;
            if now >= run.ends_at {
                let outcome = run.outcome.clone();
                if matches!(outcome, Outcome::Broken(_) | Outcome::NotSent) {
                    self.failed.insert(run.endpoint.clone(), now);
                }
                exchange.run = None;
                exchange.last_outcome = Some(outcome.clone());
                self.handle(Event::Ended {
                    request,
                    attempt,
                    outcome,
                });
            } else if now >= run.next_event {
                run.next_event = now.after(EVENT_INTERVAL);
                exchange.last_event += 1;
                let last_event = exchange.last_event;
                self.handle(Event::Progress {
                    request,
                    attempt,
                    last_event,
                });
            }
        }
    }

    fn disturb(&mut self) {
        match self.rng.random_range(0..1_000) {
            0..=79 => self.arrive(),
            80..=94 => {
                // Several tables within one heartbeat, and an older one that comes late.
                for _ in 0..self.rng.random_range(1..4) {
                    self.publish_table();
                }
                if let Some(older) = self.tables.older(&mut self.rng) {
                    self.handle(Event::Table(Arc::new(older)));
                }
            }
            95..=100 => self.change_list(),
            101..=102 => self.disconnect(),
            103 if self.rng.random_bool(0.15) && self.stop_ends.is_none() => {
                self.stop_ends = Some(self.world.now.after(GRACE));
                self.handle(Event::Stop { grace: GRACE });
            }
            _ => {}
        }
    }

    fn publish_table(&mut self) {
        let parts = self.tables.next(&mut self.rng);
        self.counts.tables += 1;
        let table = RoutingTable::try_from(parts).expect("a valid table");
        self.handle(Event::Table(Arc::new(table)));
    }

    fn change_list(&mut self) {
        let Some(spec) = self.specs.choose_mut(&mut self.rng) else {
            return;
        };
        spec.revision += 1;
        let change = match self.rng.random_range(0..4) {
            0 => EndpointChange::Absent(spec.id.clone()),
            1 => {
                spec.leaving = true;
                EndpointChange::Present(spec.clone())
            }
            _ => {
                spec.leaving = false;
                EndpointChange::Present(spec.clone())
            }
        };
        // An entry that was dropped counts as leaving until it is back.
        spec.leaving |= matches!(change, EndpointChange::Absent(_));
        self.handle(changed(vec![change]));
    }

    fn disconnect(&mut self) {
        let open = self.exchanges.iter().filter(|(_, e)| !e.is_over);
        let open: Vec<RequestNumber> = open.map(|(number, _)| *number).collect();
        if let Some(number) = open.choose(&mut self.rng) {
            self.exchanges.remove(number);
            self.handle(Event::CallerDisconnected(*number));
        }
    }

    fn arrive(&mut self) {
        let path = *[STREAMS, STREAMS, STREAMS, QUOTES, PAYMENTS]
            .choose(&mut self.rng)
            .expect("paths");
        let mut arrival = self.world.arrival(path);
        arrival.key = Tables::draw_key(&mut self.rng);
        if path == STREAMS && self.rng.random_bool(0.2) {
            arrival.prompt = Tokens(0);
            arrival.output = Tokens(0);
        }
        if path == STREAMS && self.rng.random_bool(0.1) {
            arrival.after_event = Some(3);
            arrival.resumes = self.rng.random_bool(0.7).then(|| "request-0".to_owned());
        }
        let exchange = self.exchange_of(path, &arrival);
        // The number that `World::arrival` has put into the id.
        let number = arrival
            .id
            .trim_start_matches("request-")
            .parse()
            .expect("a number");
        let request = RequestNumber(number);
        self.exchanges.insert(request, exchange);
        self.counts.requests += 1;
        self.handle(Event::Arrived { request, arrival });
    }

    /// The exchange of a request, with its route in the table in force.
    fn exchange_of(&self, path: &'static str, arrival: &Arrival) -> Exchange {
        let timeout = arrival.timeout.unwrap_or_default();
        let route = self
            .world
            .dispatcher
            .table()
            .map(|t| t.route(&arrival.host, &arrival.path));
        let route = route.and_then(Result::ok);
        let longest = route
            .as_ref()
            .map_or(timeout, |route| route.timeout.min(timeout));
        let targets = route
            .iter()
            .flat_map(|r| r.targets.iter().map(|t| t.service.clone()));
        Exchange {
            path,
            memory: arrival.prompt.0 + arrival.output.0,
            targets: targets.collect(),
            due: self.world.now.after(longest + DEADLINE_SLACK),
            run: None,
            last_event: arrival.after_event.unwrap_or_default(),
            last_outcome: None,
            held_since: None,
            is_over: false,
        }
    }

    /// The KV memory of each run at an endpoint.
    fn runs_at(&self, id: &EndpointId) -> Vec<u32> {
        let open = self.exchanges.values().filter(|e| !e.is_over);
        let runs = open.filter(|e| e.run.as_ref().is_some_and(|run| run.endpoint == *id));
        runs.map(|e| e.memory).collect()
    }

    /// Whether an endpoint that has not failed lately has room for several requests like this one.
    fn has_plenty(&self, service: &ServiceId, memory: u32) -> bool {
        let now = self.world.now;
        self.specs.iter().any(|spec| {
            let failed = self.failed.get(&spec.id);
            let is_sound = failed.is_none_or(|at| now.since(*at) > DISTRUST);
            let runs = self.runs_at(&spec.id);
            // Each run may have a replica at another engine.
            let used = runs.iter().sum::<u32>() * 2;
            let free = Tables::least_memory().saturating_sub(used);
            let has_slot = runs.len() + 1 < SLOTS as usize;
            is_sound && !spec.leaving && spec.service == *service && has_slot && free > memory * 4
        })
    }

    /// Checks each open request: not past its time, and held only while there is no room for it.
    fn judge(&mut self) {
        let now = self.world.now;
        let is_free: Vec<(RequestNumber, bool)> = self
            .exchanges
            .iter()
            .filter(|(_, e)| !e.is_over)
            .map(|(number, e)| {
                let can_run = e.run.is_none()
                    && !e.targets.is_empty()
                    && e.targets
                        .iter()
                        .all(|service| self.has_plenty(service, e.memory));
                (*number, can_run)
            })
            .collect();
        for (number, can_run) in is_free {
            let stop_ends = self.stop_ends;
            let Some(exchange) = self.exchanges.get_mut(&number) else {
                continue;
            };
            let since = can_run.then(|| exchange.held_since.unwrap_or(now));
            exchange.held_since = since;
            let held = since.map_or(Duration::ZERO, |since| now.since(since));
            let has_events = exchange.last_event > 0;
            let longest = if has_events { MAX_HELD_BEGUN } else { MAX_HELD };
            let stop_due = stop_ends.map(|at| at.after(DEADLINE_SLACK));
            let due = stop_due.map_or(exchange.due, |at| at.min(exchange.due));
            let is_late = now > due;
            if is_late || held > longest {
                exchange.is_over = true;
                let path = exchange.path;
                let text = format!("request {number} to {path}: late {is_late}, held {held:?}");
                self.counts.faults.push(text);
            }
            self.counts.longest_held = self.counts.longest_held.max(held);
        }
        self.exchanges.retain(|_, e| !e.is_over);
    }
}

/// What an endpoint will make of an attempt: most succeed.
fn draw_run(rng: &mut ChaCha8Rng, now: Micros, path: &str, attempt: &Attempt) -> Run {
    let is_stream = path == STREAMS;
    let success = if is_stream {
        Outcome::StreamEnded
    } else {
        Outcome::Answered { status: 200 }
    };
    let outcome = match rng.random_range(0..40) {
        0 => Outcome::NotSent,
        1 => Outcome::NotRun(NotRunCause::NoRoom),
        2 => Outcome::Broken(Fault::Closed),
        3 if !is_stream => Outcome::Answered { status: 500 },
        _ => success,
    };
    let is_unsent = matches!(outcome, Outcome::NotSent | Outcome::NotRun(_));
    let longest = if is_unsent || !is_stream { 60 } else { 6_000 };
    let after = Duration::from_millis(rng.random_range(5..longest));
    let first_event = if is_stream && !is_unsent { 300 } else { 60_000 };
    Run {
        attempt: attempt.attempt,
        endpoint: attempt.endpoint.clone(),
        next_event: now.after(Duration::from_millis(first_event)),
        ends_at: now.after(after),
        outcome,
    }
}
