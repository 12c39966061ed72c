//! Endpoints of two versions: how long they take, what fails, and what is wrong with a bad version.

use std::collections::BTreeMap;
use std::time::Duration;

use magpiemoor::gateway::dispatch::event::EndpointSpec;
use magpiemoor::schema::{EndpointId, Micros};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Case, Fault, Shows, Version};

/// The version that is there before the order.
pub const OLD: &str = "v1";
/// The version of the order.
pub const NEW: &str = "v2";
/// The service that moves.
pub const SERVICE: &str = "moving";
/// Plain endpoints of each version in a failure domain.
const PLAIN_PER_DOMAIN: u16 = 1;
/// What a call takes on average, and how much that varies (standard deviation of its logarithm).
const CALL_MS: f64 = 30.0;
const CALL_SPREAD: f64 = 0.45;
/// Shares of calls that a sound endpoint fails, on the first route and on the second.
const SOUND_FAILURES: [f64; 2] = [0.004, 0.14];
/// Milliseconds of a prompt, and of one event of a stream.
const PROMPT_MS: f64 = 1_000.0;
const EVENT_MS: f64 = 36.0;
/// Events of a stream.
pub const EVENTS: u64 = 100;
/// Events that are told together.
pub const EVENTS_TOGETHER: u64 = 4;
/// When a fault beside the order begins, after it.
pub const FAULT_AT: Duration = Duration::from_secs(3);
/// How long it lasts at endpoints.
const FAULT_FOR: Duration = Duration::from_secs(5);
/// How long the endpoints of a domain fail.
const DOMAIN_FAULT_FOR: Duration = Duration::from_millis(2_500);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Served {
    /// How long until it has an answer, or its first event.
    pub first: Duration,
    /// How long each event takes.
    pub event: Duration,
    /// Whether it fails.
    pub fails: bool,
    /// Whether the version is to blame for a bad answer.
    pub is_bad_version: bool,
}

/// All endpoints.
#[derive(Debug)]
pub struct Endpoints {
    case: Case,
    ordered: Micros,
    specs: Vec<EndpointSpec>,
    running: BTreeMap<EndpointId, u32>,
    /// When the prompts that an engine has taken are read.
    busy_until: BTreeMap<EndpointId, Micros>,
    /// Whether the old version has stopped.
    pub old_has_stopped: bool,
}

impl Endpoints {
    /// Endpoints for a case with an order at `ordered`.
    #[must_use]
    pub fn new(case: Case, ordered: Micros) -> Self {
        let count = if case.engines {
            case.traffic.engines_per_domain
        } else {
            PLAIN_PER_DOMAIN
        };
        let mut specs = Vec::new();
        for domain in 0..3 {
            for number in 0..count {
                for (version, port) in [(OLD, 10_000), (NEW, 20_000)] {
                    specs.push(spec(version, domain, number, port));
                }
            }
        }
        Self {
            case,
            ordered,
            specs,
            running: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            old_has_stopped: false,
        }
    }

    /// What the list says.
    #[must_use]
    pub fn specs(&self) -> Vec<EndpointSpec> {
        let listed = self.specs.iter();
        let listed = listed.filter(|s| !(self.old_has_stopped && s.version.as_str() == OLD));
        listed.cloned().collect()
    }

    /// Whether an endpoint is of the version of the order.
    #[must_use]
    pub fn is_new(&self, id: &EndpointId) -> bool {
        id.starts_with(NEW)
    }

    /// Serves a request, or `None` if nobody is there.
    pub fn serve(
        &mut self,
        id: &EndpointId,
        route: usize,
        resumed: bool,
        now: Micros,
        rng: &mut ChaCha8Rng,
    ) -> Option<Served> {
        if self.old_has_stopped && !self.is_new(id) {
            return None;
        }
        let running = self.running.entry(id.clone()).or_default();
        *running += 1;
        let load = *running - 1;
        let is_bad = self.is_new(id) && self.shows(route, load, now);
        let (mut slow, mut failing) = (1.0, 0.0);
        match self.case.version {
            Version::Failing(share) if is_bad => failing = share,
            Version::Slow(factor) if is_bad => slow = factor,
            _ => {}
        }
        let bad_fails = rng.random_bool(failing);
        let sound = if self.case.engines {
            0.0
        } else {
            SOUND_FAILURES[route]
        };
        let mut fails = bad_fails || rng.random_bool(sound) || self.is_down(id, now);
        if self.is_faulty(id, now) {
            match self.case.fault {
                Fault::Grey => fails |= rng.random_bool(0.4),
                Fault::Slow => slow *= 3.5,
                _ => {}
            }
        }
        let (first, event) = if self.case.engines {
            self.stream_times(id, resumed, slow, now)
        } else {
            let time = CALL_MS * (CALL_SPREAD * normal(rng)).exp() * slow;
            (millis(time), Duration::ZERO)
        };
        Some(Served {
            first,
            event,
            fails,
            is_bad_version: bad_fails || is_bad && slow > 1.0 && self.case.version != Version::Good,
        })
    }

    fn stream_times(
        &mut self,
        id: &EndpointId,
        resumed: bool,
        slow: f64,
        now: Micros,
    ) -> (Duration, Duration) {
        if resumed {
            return (millis(60.0 * slow), millis(EVENT_MS * slow));
        }
        let free = self.busy_until.entry(id.clone()).or_insert(now);
        let end = now.max(*free).after(millis(PROMPT_MS * slow));
        *free = end;
        (end.since(now), millis(EVENT_MS * slow))
    }

    /// A request has ended.
    pub fn end(&mut self, id: &EndpointId) {
        if let Some(running) = self.running.get_mut(id) {
            *running = running.saturating_sub(1);
        }
    }

    /// Whether the badness of the version shows.
    fn shows(&self, route: usize, load: u32, now: Micros) -> bool {
        match self.case.shows {
            Shows::AtOnce => true,
            Shows::Later(after) => now.since(self.ordered).as_secs_f64() >= after,
            Shows::OnOneRoute => route == 0,
            Shows::UnderLoad(from) => load >= from,
        }
    }

    /// Whether an endpoint is the one of its version that the fault strikes now.
    fn is_faulty(&self, id: &EndpointId, now: Micros) -> bool {
        let since = now.since(self.ordered.after(FAULT_AT));
        let lasts = now >= self.ordered.after(FAULT_AT) && since < FAULT_FOR;
        lasts && id.ends_with("-1-0")
    }

    /// Whether the failure domain of an endpoint fails.
    fn is_down(&self, id: &EndpointId, now: Micros) -> bool {
        let begin = self.ordered.after(FAULT_AT);
        let lasts = now >= begin && now.since(begin) < DOMAIN_FAULT_FOR;
        self.case.fault == Fault::Domain && lasts && id.contains("-2-")
    }
}

/// The failure domain of an endpoint, by its number.
#[must_use]
pub fn domain_of(id: &EndpointId) -> usize {
    let part = id.split('-').nth(1);
    part.and_then(|part| part.parse().ok()).unwrap_or_default()
}

fn spec(version: &str, domain: u16, number: u16, port: u16) -> EndpointSpec {
    let id = format!("{version}-{domain}-{number}");
    EndpointSpec {
        id: id.parse().expect("a short name"),
        born: None,
        revision: 1,
        service: SERVICE.parse().expect("a short name"),
        version: version.parse().expect("a short name"),
        address: ([10, 9, domain as u8, 1], port + number).into(),
        domain: format!("domain-{domain}").parse().expect("a short name"),
        slots: 24,
        leaving: false,
        warm_up: Duration::ZERO,
    }
}

fn millis(time: f64) -> Duration {
    Duration::from_secs_f64(time / 1_000.0)
}

/// A draw from the normal distribution, by twelve of an even one.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}
