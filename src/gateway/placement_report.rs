//! Compares the load that boxes assumed when they placed attempts with the actual load.
//!
//! Input are the decision log lines of all boxes in order of time. The report replays them: an
//! attempt runs from its `sent` record to its `ended` record, and its prompt is in prefill until its
//! first event. The attempts of a box end when the box restarts, since it has lost them.
//!
//! An endpoint counts as present if its last answer or event is no older than [`PRESENT_FOR_S`].
//! Free slots at an endpoint without traffic are therefore not seen, and the counts of attempts that
//! were sent to a full endpoint while another had room are lower bounds.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use serde::Serialize;

use crate::gateway::dispatch::record::{Record, STARTED, WATCHES_STORE};
use crate::gateway::explain::TimedLine;

/// Time for which an endpoint counts as present after an answer or event, in seconds. It is longer
/// than the pauses between calls of a service in use, and shorter than the time until the endpoint is
/// seen under its new id after a restart.
const PRESENT_FOR_S: f64 = 2.0;
/// Maximum time for which an attempt without a recorded end counts as running, in seconds.
const MAX_ATTEMPT_S: f64 = 30.0;

/// Counts of the attempts at the endpoints of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServicePlacement {
    /// Number of attempts.
    pub sent: u64,
    /// Attempts at an endpoint in the box's own failure domain.
    pub near: u64,
    /// Mean number of attempts that ran at the chosen endpoint.
    pub running: f64,
    /// Mean number of attempts that the box assumed to run at the chosen endpoint.
    pub running_believed: f64,
    /// Attempts at an endpoint that had no free slot.
    pub full: u64,
    /// Attempts at a full endpoint while another endpoint had a free slot.
    pub full_with_room_elsewhere: u64,
    /// Attempts at a full endpoint while another one in the box's own failure domain had a free slot.
    pub full_with_room_near: u64,
    /// Attempts that started with a prefill.
    pub prompts: u64,
    /// Prefills at an endpoint where another prefill was in progress.
    pub beside_a_prompt: u64,
    /// Prefills beside another one while an endpoint in the box's own failure domain had none.
    pub beside_a_prompt_with_room_near: u64,
}

/// The start of a box's watch of the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoreWatch {
    /// Time in seconds of the logs.
    pub seconds: f64,
    /// Name of the box.
    pub r#box: String,
    /// Reason, as recorded.
    pub why: String,
}

/// Placement of attempts, and the boxes that watched the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlacementReport {
    /// Counts by service.
    pub services: BTreeMap<String, ServicePlacement>,
    /// Starts of store watches in order of time.
    pub store: Vec<StoreWatch>,
}

/// An attempt in progress.
#[derive(Debug)]
struct RunningAttempt {
    r#box: String,
    started: f64,
    in_prefill: bool,
}

/// Replayed state of an endpoint.
#[derive(Debug, Default)]
struct Endpoint {
    service: String,
    domain: String,
    slots: usize,
    /// Time of the last answer or event.
    last_seen: f64,
    /// By request id and attempt number.
    attempts: HashMap<(String, u32), RunningAttempt>,
}

impl Endpoint {
    fn running(&self) -> usize {
        self.attempts.len()
    }

    fn in_prefill(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.in_prefill)
    }

    fn is_present(&self, now: f64) -> bool {
        now - self.last_seen <= PRESENT_FOR_S
    }
}

/// State of the fleet at the current line of the replay.
#[derive(Debug, Default)]
struct FleetReplay {
    endpoints: BTreeMap<String, Endpoint>,
    /// Failure domains by box.
    domains: HashMap<String, String>,
    /// Prompt lengths in tokens by request id.
    prompts: HashMap<String, u32>,
    report: PlacementReport,
}

/// Creates the report from lines that are sorted by time.
#[must_use]
pub fn report(lines: &[TimedLine]) -> PlacementReport {
    let mut replay = FleetReplay::default();
    for line in lines {
        replay.read(line.seconds, &line.line.r#box, &line.line.record);
    }
    for placement in replay.report.services.values_mut() {
        let sent = placement.sent.max(1) as f64;
        placement.running /= sent;
        placement.running_believed /= sent;
    }
    replay.report
}

impl FleetReplay {
    fn read(&mut self, now: f64, r#box: &str, record: &Record) {
        match record {
            Record::Arrived {
                request, prompt, ..
            } => {
                self.prompts.insert(request.clone(), *prompt);
            }
            Record::Sent { .. } => self.read_sent(now, r#box, record),
            Record::Begun {
                request, endpoint, ..
            }
            | Record::Resumed {
                request, endpoint, ..
            } => self.read_first_event(now, request, endpoint),
            Record::Ended {
                request,
                attempt,
                endpoint,
                after_ms: _,
                outcome,
                ..
            } => {
                let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
                    return;
                };
                endpoint.attempts.remove(&(request.clone(), *attempt));
                if outcome == "answered" || outcome == "stream_ended" {
                    endpoint.last_seen = now;
                }
            }
            Record::Process { state, detail } if state == STARTED => {
                self.domains.insert(r#box.to_owned(), detail.clone());
                for endpoint in self.endpoints.values_mut() {
                    endpoint.attempts.retain(|_, a| a.r#box != *r#box);
                }
            }
            Record::Process { state, detail } if state == WATCHES_STORE => {
                self.report.store.push(StoreWatch {
                    seconds: now,
                    r#box: r#box.to_owned(),
                    why: detail.clone(),
                });
            }
            _ => {}
        }
    }

    fn read_first_event(&mut self, now: f64, request: &str, endpoint: &str) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        endpoint.last_seen = now;
        for ((of, _), attempt) in &mut endpoint.attempts {
            if of == request {
                attempt.in_prefill = false;
            }
        }
    }

    fn read_sent(&mut self, now: f64, r#box: &str, record: &Record) {
        let Record::Sent {
            request,
            attempt,
            endpoint: id,
            service,
            domain,
            is_near,
            slots,
            from_backup,
            running: assumed,
            ..
        } = record
        else {
            return;
        };
        let chosen = self.endpoints.entry(id.clone()).or_default();
        chosen.service.clone_from(service);
        chosen.domain.clone_from(domain);
        chosen.slots = *slots as usize;
        chosen
            .attempts
            .retain(|_, a| now - a.started < MAX_ATTEMPT_S);
        let has_prompt = self.prompts.get(request).is_some_and(|tokens| *tokens > 0);
        let in_prefill = has_prompt && !from_backup;
        let own_domain = if *is_near {
            Some(domain)
        } else {
            self.domains.get(r#box)
        };
        let others = self.others(id, service, own_domain, now);
        let placement = self.report.services.entry(service.clone()).or_default();
        placement.sent += 1;
        placement.near += u64::from(*is_near);
        placement.running_believed += f64::from(*assumed);
        let Some(chosen) = self.endpoints.get_mut(id) else {
            return;
        };
        placement.count(chosen, others, in_prefill);
        let running = RunningAttempt {
            r#box: r#box.to_owned(),
            started: now,
            in_prefill,
        };
        chosen.attempts.insert((request.clone(), *attempt), running);
    }

    /// Summarises the present endpoints of a service other than the chosen one.
    fn others(
        &self,
        chosen: &str,
        service: &str,
        own_domain: Option<&String>,
        now: f64,
    ) -> OtherEndpoints {
        let mut found = OtherEndpoints::default();
        let others = self
            .endpoints
            .iter()
            .filter(|(id, e)| id.as_str() != chosen && e.service == service && e.is_present(now));
        for (_, endpoint) in others {
            let is_local = own_domain.is_some_and(|domain| endpoint.domain == *domain);
            let has_room = endpoint.running() < endpoint.slots;
            found.has_room |= has_room;
            found.has_local_room |= has_room && is_local;
            found.has_local_without_prefill |= is_local && !endpoint.in_prefill();
        }
        found
    }
}

/// Capacity at the endpoints that were not chosen.
#[derive(Clone, Copy, Debug, Default)]
struct OtherEndpoints {
    /// At least one had a free slot.
    has_room: bool,
    /// At least one in the box's own failure domain had a free slot.
    has_local_room: bool,
    /// At least one in the box's own failure domain had no prefill in progress.
    has_local_without_prefill: bool,
}

impl PlacementReport {
    /// Formats the report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (service, placement) in &self.services {
            // Writing to a `String` cannot fail.
            let _ = writeln!(text, "{service}");
            placement.write(&mut text);
        }
        let _ = writeln!(text, "boxes that started to watch the store");
        for (why, watches) in self.watches_by_reason() {
            let seconds: Vec<String> = watches.iter().map(|at| format!("{at:.1}")).collect();
            let count = watches.len();
            let _ = writeln!(text, "{count:>8}  {why}, at {} s", seconds.join(" "));
        }
        text.trim_end().to_owned()
    }

    fn watches_by_reason(&self) -> BTreeMap<&str, Vec<f64>> {
        let mut found: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for watch in &self.store {
            found.entry(&watch.why).or_default().push(watch.seconds);
        }
        found
    }
}

impl ServicePlacement {
    /// Counts an attempt at an endpoint, given the endpoint's state before the attempt.
    fn count(&mut self, chosen: &Endpoint, others: OtherEndpoints, in_prefill: bool) {
        self.running += chosen.running() as f64;
        if chosen.running() >= chosen.slots {
            self.full += 1;
            self.full_with_room_elsewhere += u64::from(others.has_room);
            self.full_with_room_near += u64::from(others.has_local_room);
        }
        self.prompts += u64::from(in_prefill);
        if in_prefill && chosen.in_prefill() {
            self.beside_a_prompt += 1;
            self.beside_a_prompt_with_room_near += u64::from(others.has_local_without_prefill);
        }
    }

    fn write(&self, text: &mut String) {
        let share = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        let rows = [
            ("attempts", self.sent, self.sent),
            ("in the box's own failure domain", self.near, self.sent),
            ("at an endpoint without a free slot", self.full, self.sent),
            (
                "  while another one had a free slot",
                self.full_with_room_elsewhere,
                self.sent,
            ),
            (
                "  while one in the own domain had a free slot",
                self.full_with_room_near,
                self.sent,
            ),
            ("that started with a prefill", self.prompts, self.sent),
            (
                "  while another prefill was in progress there",
                self.beside_a_prompt,
                self.prompts,
            ),
            (
                "  and an endpoint in the own domain had none",
                self.beside_a_prompt_with_room_near,
                self.prompts,
            ),
        ];
        for (label, count, of) in rows {
            // Writing to a `String` cannot fail.
            let _ = writeln!(text, "{count:>8}  {:>5.1}%  {label}", share(count, of));
        }
        let _ = writeln!(
            text,
            "{:>8.2}  attempts ran at the chosen endpoint on average, {:.2} as the box assumed",
            self.running, self.running_believed
        );
    }
}
