//! What boxes believed of endpoints when they placed attempts, against what was so.
//!
//! The truth is counted from all boxes' lines: an attempt runs from its `sent` to its `ended`, and
//! reads its prompt until its first event. A box that starts anew has lost what it ran. An endpoint
//! counts as there while an answer or an event of it is no older than [`SEEN_FOR`], so that room at
//! one that nobody uses is not seen, and what is said of sends to full endpoints is a least figure.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use serde::Serialize;

use crate::gateway::dispatch::record::{Record, STARTED, WATCHES_STORE};
use crate::gateway::explain::TimedLine;

/// How long an endpoint counts as there after it was heard, in seconds: longer than a pause between
/// two calls of a service that is in use, shorter than a restart with its new id stays unseen.
const SEEN_FOR: f64 = 2.0;
/// The longest time that an attempt counts as running whose end no box wrote, in seconds.
const LONGEST_RUN: f64 = 30.0;

/// Attempts at the endpoints of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServicePlacement {
    /// Attempts that were begun.
    pub sent: u64,
    /// Those at an endpoint of the box's own failure domain.
    pub near: u64,
    /// Attempts that ran at the chosen endpoint, on average.
    pub running: f64,
    /// Those that the box knew of, on average.
    pub running_believed: f64,
    /// Attempts at an endpoint without a free slot.
    pub full: u64,
    /// Those of them while another endpoint had one.
    pub full_with_room_elsewhere: u64,
    /// Those of them while another one of the box's own failure domain had one.
    pub full_with_room_near: u64,
    /// Attempts that read a prompt.
    pub prompts: u64,
    /// Those at an endpoint that read another one.
    pub beside_a_prompt: u64,
    /// Those of them while an endpoint of the box's own failure domain read none.
    pub beside_a_prompt_with_room_near: u64,
}

/// A box that began to watch the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoreWatch {
    /// When, in seconds of the logs.
    pub seconds: f64,
    /// The box.
    pub r#box: String,
    /// Why.
    pub why: String,
}

/// How attempts were placed, and who watched the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlacementReport {
    /// Attempts by service.
    pub services: BTreeMap<String, ServicePlacement>,
    /// Who began to watch the store, in order.
    pub store: Vec<StoreWatch>,
}

/// An attempt that runs.
#[derive(Debug)]
struct Run {
    r#box: String,
    since: f64,
    reads_prompt: bool,
}

/// What is so at an endpoint.
#[derive(Debug, Default)]
struct Endpoint {
    service: String,
    domain: String,
    slots: usize,
    seen: f64,
    /// By request and attempt.
    runs: HashMap<(String, u32), Run>,
}

impl Endpoint {
    fn running(&self) -> usize {
        self.runs.len()
    }

    fn reads_prompt(&self) -> bool {
        self.runs.values().any(|run| run.reads_prompt)
    }

    fn is_there(&self, now: f64) -> bool {
        now - self.seen <= SEEN_FOR
    }
}

/// Where boxes stand, and what runs.
#[derive(Debug, Default)]
struct Fleet {
    endpoints: BTreeMap<String, Endpoint>,
    domains: HashMap<String, String>,
    prompts: HashMap<String, u32>,
    report: PlacementReport,
}

/// Makes the report of some lines, which are in order.
#[must_use]
pub fn report(lines: &[TimedLine]) -> PlacementReport {
    let mut fleet = Fleet::default();
    for line in lines {
        fleet.read(line.seconds, &line.line.r#box, &line.line.record);
    }
    for placement in fleet.report.services.values_mut() {
        let sent = placement.sent.max(1) as f64;
        placement.running /= sent;
        placement.running_believed /= sent;
    }
    fleet.report
}

impl Fleet {
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
                endpoint.runs.remove(&(request.clone(), *attempt));
                if outcome == "answered" || outcome == "stream_ended" {
                    endpoint.seen = now;
                }
            }
            Record::Process { state, detail } if state == STARTED => {
                self.domains.insert(r#box.to_owned(), detail.clone());
                for endpoint in self.endpoints.values_mut() {
                    endpoint.runs.retain(|_, run| run.r#box != *r#box);
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
        endpoint.seen = now;
        for ((of, _), run) in &mut endpoint.runs {
            if of == request {
                run.reads_prompt = false;
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
            running: believed,
            ..
        } = record
        else {
            return;
        };
        let chosen = self.endpoints.entry(id.clone()).or_default();
        chosen.service.clone_from(service);
        chosen.domain.clone_from(domain);
        chosen.slots = *slots as usize;
        chosen.runs.retain(|_, run| now - run.since < LONGEST_RUN);
        let has_prompt = self.prompts.get(request).is_some_and(|tokens| *tokens > 0);
        let reads_prompt = has_prompt && !from_backup;
        let home = if *is_near {
            Some(domain)
        } else {
            self.domains.get(r#box)
        };
        let others = self.others(id, service, home, now);
        let placement = self.report.services.entry(service.clone()).or_default();
        placement.sent += 1;
        placement.near += u64::from(*is_near);
        placement.running_believed += f64::from(*believed);
        let Some(chosen) = self.endpoints.get_mut(id) else {
            return;
        };
        placement.count(chosen, others, reads_prompt);
        let run = Run {
            r#box: r#box.to_owned(),
            since: now,
            reads_prompt,
        };
        chosen.runs.insert((request.clone(), *attempt), run);
    }

    /// What the endpoints of a service had to offer besides the chosen one.
    fn others(&self, chosen: &str, service: &str, home: Option<&String>, now: f64) -> Others {
        let mut found = Others::default();
        let others = self
            .endpoints
            .iter()
            .filter(|(id, e)| id.as_str() != chosen && e.service == service && e.is_there(now));
        for (_, endpoint) in others {
            let is_home = home.is_some_and(|home| endpoint.domain == *home);
            let has_room = endpoint.running() < endpoint.slots;
            found.has_room |= has_room;
            found.has_room_near |= has_room && is_home;
            found.reads_none_near |= is_home && !endpoint.reads_prompt();
        }
        found
    }
}

/// What other endpoints had to offer.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    /// One of them had a free slot.
    has_room: bool,
    /// One of the box's own failure domain had.
    has_room_near: bool,
    /// One of the box's own failure domain read no prompt.
    reads_none_near: bool,
}

impl PlacementReport {
    /// The report as a table for a person.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (service, placement) in &self.services {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{service}");
            placement.write(&mut text);
        }
        let _ = writeln!(text, "boxes that began to watch the store");
        for (why, watches) in self.watches_by_cause() {
            let seconds: Vec<String> = watches.iter().map(|at| format!("{at:.1}")).collect();
            let count = watches.len();
            let _ = writeln!(text, "{count:>8}  {why}, at {} s", seconds.join(" "));
        }
        text.trim_end().to_owned()
    }

    fn watches_by_cause(&self) -> BTreeMap<&str, Vec<f64>> {
        let mut found: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for watch in &self.store {
            found.entry(&watch.why).or_default().push(watch.seconds);
        }
        found
    }
}

impl ServicePlacement {
    /// Counts an attempt at an endpoint, as that was before it.
    fn count(&mut self, chosen: &Endpoint, others: Others, reads_prompt: bool) {
        self.running += chosen.running() as f64;
        if chosen.running() >= chosen.slots {
            self.full += 1;
            self.full_with_room_elsewhere += u64::from(others.has_room);
            self.full_with_room_near += u64::from(others.has_room_near);
        }
        self.prompts += u64::from(reads_prompt);
        if reads_prompt && chosen.reads_prompt() {
            self.beside_a_prompt += 1;
            self.beside_a_prompt_with_room_near += u64::from(others.reads_none_near);
        }
    }

    fn write(&self, text: &mut String) {
        let share = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        let rows = [
            ("attempts", self.sent, self.sent),
            ("in the box's own failure domain", self.near, self.sent),
            ("at an endpoint without a free slot", self.full, self.sent),
            (
                "  while another one had room",
                self.full_with_room_elsewhere,
                self.sent,
            ),
            (
                "  while one of the own domain had room",
                self.full_with_room_near,
                self.sent,
            ),
            ("that read a prompt", self.prompts, self.sent),
            (
                "  beside another prompt",
                self.beside_a_prompt,
                self.prompts,
            ),
            (
                "  while one of the own domain read none",
                self.beside_a_prompt_with_room_near,
                self.prompts,
            ),
        ];
        for (what, count, of) in rows {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{count:>8}  {:>5.1}%  {what}", share(count, of));
        }
        let _ = writeln!(
            text,
            "{:>8.2}  ran at the chosen endpoint, {:.2} of them were known",
            self.running, self.running_believed
        );
    }
}
