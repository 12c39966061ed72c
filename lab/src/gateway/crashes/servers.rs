//! Servers that run requests, end under some of them, and come back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::event::EndpointSpec;
use magpiemoor::schema::{DomainId, EndpointId, EndpointIncarnation, Micros, StartTime};

use super::Case;

/// The service that they belong to.
pub const SERVICE: &str = "served";
/// Engines and plain servers of a failure domain, for each ten boxes.
const ENGINES_PER_TEN_BOXES: usize = 20;
const PLAIN_PER_TEN_BOXES: usize = 4;
/// The fewest of a domain.
const FEWEST_ENGINES: usize = 8;
const FEWEST_PLAIN: usize = 2;
/// Milliseconds of a prompt, and of an event.
const PROMPT_MS: u64 = 800;
const EVENT_MS: u64 = 30;
/// What a call takes.
const CALL: Duration = Duration::from_millis(30);
/// The time until a copied prompt is used.
const RESUMED: Duration = Duration::from_millis(60);

/// A run at a server, by a number of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunId(pub u64);

/// One server, in one life after the other.
#[derive(Debug)]
pub struct Server {
    /// What its entry says.
    pub spec: EndpointSpec,
    /// Whether it runs.
    pub is_up: bool,
    /// What it runs.
    pub runs: Vec<RunId>,
    /// How often it has started.
    starts: u32,
    busy_until: Micros,
}

/// All servers.
#[derive(Debug)]
pub struct Servers {
    case: Case,
    all: Vec<Server>,
    by_id: BTreeMap<EndpointId, usize>,
}

impl Servers {
    /// The servers of a case.
    #[must_use]
    pub fn new(case: Case) -> Self {
        let (per_ten, fewest) = if case.engines {
            (ENGINES_PER_TEN_BOXES, FEWEST_ENGINES)
        } else {
            (PLAIN_PER_TEN_BOXES, FEWEST_PLAIN)
        };
        let count = (case.boxes * per_ten / 30).max(fewest);
        let mut made = Self {
            case,
            all: Vec::new(),
            by_id: BTreeMap::new(),
        };
        for domain in 0..3 {
            for number in 0..count {
                let place = made.all.len();
                let spec = spec(&case, domain, number, 1);
                made.by_id.insert(spec.id.clone(), place);
                made.all.push(Server {
                    spec,
                    is_up: true,
                    runs: Vec::new(),
                    starts: 1,
                    busy_until: Micros::ZERO,
                });
            }
        }
        made
    }

    /// The entries of those that run.
    #[must_use]
    pub fn specs(&self) -> Vec<EndpointSpec> {
        let up = self.all.iter().filter(|server| server.is_up);
        up.map(|server| server.spec.clone()).collect()
    }

    /// A server by its place.
    #[must_use]
    pub fn at(&self, place: usize) -> &Server {
        &self.all[place]
    }

    /// The places of those that run, in a failure domain or in all.
    #[must_use]
    pub fn up(&self, domain: Option<&DomainId>) -> Vec<usize> {
        let servers = self.all.iter().enumerate();
        let up = servers.filter(|(_, server)| server.is_up);
        let up = up.filter(|(_, server)| domain.is_none_or(|of| server.spec.domain == *of));
        up.map(|(place, _)| place).collect()
    }

    /// The place of a server that runs in a life.
    #[must_use]
    pub fn find(&self, life: &EndpointId) -> Option<usize> {
        let place = *self.by_id.get(life)?;
        let server = &self.all[place];
        (server.is_up && server.spec.id == *life).then_some(place)
    }

    /// The server that listens at an address.
    #[must_use]
    pub fn listening_at(&self, address: SocketAddr) -> Option<usize> {
        let mut servers = self.all.iter();
        servers.position(|server| server.is_up && server.spec.address == address)
    }

    /// Begins a run; returns the time until its first event, or its answer.
    pub fn begin(&mut self, place: usize, run: RunId, resumed: bool, now: Micros) -> Duration {
        let is_engine = self.case.engines;
        let server = &mut self.all[place];
        server.runs.push(run);
        if !is_engine {
            return CALL;
        }
        if resumed {
            return RESUMED;
        }
        let free = server.busy_until.max(now);
        server.busy_until = free.after(Duration::from_millis(PROMPT_MS));
        server.busy_until.since(now)
    }

    /// The time of an event at a server.
    #[must_use]
    pub fn event_time(&self, place: usize) -> Duration {
        let beside = self.all[place].runs.len() as u64;
        Duration::from_millis(EVENT_MS + beside)
    }

    /// A run is over.
    pub fn end(&mut self, place: usize, run: RunId) {
        self.all[place].runs.retain(|other| *other != run);
    }

    /// A server ends; returns what it ran.
    pub fn crash(&mut self, place: usize) -> Vec<RunId> {
        let server = &mut self.all[place];
        server.is_up = false;
        std::mem::take(&mut server.runs)
    }

    /// A server starts again; returns its entry.
    pub fn restart(&mut self, place: usize, now: Micros) -> EndpointSpec {
        let case = self.case;
        let server = &mut self.all[place];
        server.starts += 1;
        server.is_up = true;
        server.busy_until = now;
        if case.keeps_ids {
            server.spec.born = Some(start_time(now));
        } else {
            let base = server.spec.id.split('.').next().unwrap_or_default();
            server.spec.id = id_of(base, server.starts);
            self.by_id.insert(server.spec.id.clone(), place);
        }
        server.spec.revision += 1;
        server.spec.clone()
    }

    /// The life that a server is in.
    #[must_use]
    pub fn life(&self, place: usize) -> EndpointIncarnation {
        self.all[place].spec.incarnation()
    }
}

/// The number of the failure domain of a server.
#[must_use]
pub fn domain_number(id: &EndpointId) -> usize {
    let number = id.split('-').nth(1);
    let number = number.and_then(|number| number.parse().ok());
    number.unwrap_or_default()
}

/// When a process started, by its own clock.
fn start_time(now: Micros) -> StartTime {
    StartTime(1_700_000_000_000 + now.0 / 1_000)
}

/// The id of a server in a life.
fn id_of(base: &str, start: u32) -> EndpointId {
    let id = format!("{base}.{start}");
    id.parse().expect("a short name")
}

fn spec(case: &Case, domain: usize, number: usize, start: u32) -> EndpointSpec {
    EndpointSpec {
        id: id_of(&format!("s-{domain}-{number}"), start),
        born: case.keeps_ids.then(|| start_time(Micros::ZERO)),
        revision: 1,
        service: SERVICE.parse().expect("a short name"),
        version: "v1".parse().expect("a short name"),
        address: (
            [10, 9, domain as u8, (number / 200) as u8 + 1],
            10_000 + (number % 200) as u16,
        )
            .into(),
        domain: format!("domain-{domain}").parse().expect("a short name"),
        slots: if case.engines { 24 } else { 6 },
        leaving: false,
        warm_up: Duration::ZERO,
    }
}
