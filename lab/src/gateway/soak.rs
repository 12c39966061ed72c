//! A soak: real boxes before the stand-ins, random faults in overlapping series, and the promises
//! checked from what callers and servers see.
//!
//! The seed gives the order of faults and requests; when they meet depends on the machine. The faults
//! are in `faults`, the boxes and how they ended in `boxes`.

mod boxes;
mod faults;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::caller::{Asked, ask};
use super::fleet::{
    BoxPlan, HOST, KEY, Launcher, Outside, PAYMENTS, QUOTES, STREAMS, is_ready, until,
};
use super::server::{Pace, Server, event_text};
use super::store::Mood;
use super::wire::Message;
use boxes::Boxes;

/// Boxes that run.
const BOXES: usize = 3;
/// Model servers that run.
const MODELS: usize = 6;
/// Plain services that run.
const TILLS: usize = 4;
/// Callers that ask.
const CALLERS: u64 = 12;
/// Events of a stream.
const EVENTS: u64 = 30;
/// Time between events.
const GAP: Duration = Duration::from_millis(12);
/// How servers stream.
const PACE: Pace = Pace {
    events: EVENTS,
    gap: GAP,
    names_server: false,
};
/// How often a caller comes back for the rest of a stream.
const MOST_RETURNS: u32 = 4;
/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// The least and the longest time between faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 60..450;

/// What a soak found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Promises that were broken, in words.
    pub broken: Vec<String>,
    /// Requests by how they ended.
    pub ends: BTreeMap<String, u32>,
    /// Faults that were brought about.
    pub faults: Vec<String>,
}

/// What callers note, judged once all is over.
#[derive(Debug, Default)]
struct Notes {
    findings: Findings,
    /// Payments by id, with the status that the caller got.
    payments: Vec<(String, u16)>,
}

struct World {
    outside: Outside,
    plans: Vec<BoxPlan>,
    boxes: Boxes,
    /// Servers that are gone, for what they ran.
    gone: Vec<Server>,
    next_server: u32,
    version: u64,
    rng: ChaCha8Rng,
    faults: Vec<String>,
}

/// Runs a soak for a while; the boxes' logs lie in a folder that the findings name if any promise
/// was broken.
///
/// # Errors
///
/// What could not be started.
pub async fn run(launcher: Launcher, seed: u64, length: Duration) -> Result<Findings, String> {
    let mut world = World::start(launcher, seed).await?;
    let notes = Arc::new(Mutex::new(Notes::default()));
    let end = Instant::now() + length;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..CALLERS {
        let plans = world.plans.clone();
        let notes = Arc::clone(&notes);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
        callers.spawn(call_until(end, number, plans, notes, rng));
    }
    while Instant::now() < end {
        let pause = world.rng.random_range(FAULT_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        world.bring_fault().await;
    }
    world.calm();
    while callers.join_next().await.is_some() {}
    let notes = Arc::try_unwrap(notes).map_err(|_| "a caller still runs".to_owned())?;
    let notes = notes.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut findings = world.judge(notes);
    if !findings.broken.is_empty() {
        let kept = world.keep_logs(seed);
        findings.broken.push(format!("logs: {kept}"));
    }
    Ok(findings)
}

impl World {
    async fn start(launcher: Launcher, seed: u64) -> Result<Self, String> {
        let outside = Outside::start(MODELS, TILLS, PACE)
            .await
            .map_err(|e| e.to_string())?;
        let plans = outside.plan(BOXES).map_err(|e| e.to_string())?;
        let boxes = Boxes::start(launcher, plans.clone());
        for plan in &plans {
            until(|| is_ready(plan)).await;
        }
        Ok(Self {
            outside,
            plans,
            boxes,
            gone: Vec::new(),
            next_server: 100,
            version: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Vec::new(),
        })
    }

    fn calm(&mut self) {
        self.outside.store.set_mood(Mood::Well);
        for server in self.outside.models.iter().chain(&self.outside.tills) {
            server.name_limit(None);
            server.ask_for_rest(None);
        }
        self.boxes.restart_ended();
    }

    fn runs_of(&self, id: &str) -> usize {
        let live = self.outside.models.iter().chain(&self.outside.tills);
        live.chain(&self.gone)
            .flat_map(Server::runs)
            .filter(|run| run.id() == id)
            .count()
    }

    /// Holds what callers got against what servers ran.
    fn judge(&mut self, notes: Notes) -> Findings {
        let mut findings = notes.findings;
        for (id, status) in &notes.payments {
            let runs = self.runs_of(id);
            if runs > 1 {
                findings.broken.push(format!("{id} ran {runs} times"));
            }
            if *status == 503 && runs > 0 {
                findings
                    .broken
                    .push(format!("{id} got 503 and ran {runs} times"));
            }
            if *status == 200 && runs == 0 {
                findings.broken.push(format!("{id} got 200 and never ran"));
            }
        }
        findings.broken.extend(self.boxes.ended_by_themselves());
        findings.faults.clone_from(&self.faults);
        findings
    }

    /// Copies the boxes' logs to where they outlast the soak.
    fn keep_logs(&self, seed: u64) -> String {
        let folder = std::env::temp_dir().join(format!("magpiemoor-soak-{seed}"));
        let _ = std::fs::create_dir_all(&folder);
        let files = std::fs::read_dir(&self.outside.folder);
        let paths = files
            .into_iter()
            .flatten()
            .flatten()
            .map(|file| file.path());
        for path in paths.filter(|path| path.extension().is_some_and(|e| e == "log")) {
            if let Some(name) = path.file_name() {
                let _ = std::fs::copy(&path, folder.join(name));
            }
        }
        folder.display().to_string()
    }
}

async fn call_until(
    end: Instant,
    caller: u64,
    plans: Vec<BoxPlan>,
    notes: Arc<Mutex<Notes>>,
    mut rng: ChaCha8Rng,
) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("c{caller}-{number}");
        match rng.random_range(0..3) {
            0 => stream(&id, &plans, &notes, &mut rng).await,
            1 => call(QUOTES, &id, &plans, &notes, &mut rng).await,
            _ => call(PAYMENTS, &id, &plans, &notes, &mut rng).await,
        }
    }
}

async fn ask_any(plans: &[BoxPlan], asked: &Asked, rng: &mut ChaCha8Rng) -> Option<Message> {
    let plan = plans.choose(rng)?;
    let answer = tokio::time::timeout(PATIENCE, ask(plan.callers, asked, HOST, KEY)).await;
    if let Ok(Ok(answer)) = answer {
        return Some(answer);
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    None
}

fn note(notes: &Mutex<Notes>, end: &str, broken: Option<String>) {
    let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
    *notes.findings.ends.entry(end.to_owned()).or_default() += 1;
    notes.findings.broken.extend(broken);
}

async fn call(path: &str, id: &str, plans: &[BoxPlan], notes: &Mutex<Notes>, rng: &mut ChaCha8Rng) {
    let asked = Asked::call(&format!("{path}x"), id);
    let answer = ask_any(plans, &asked, rng).await;
    let status = answer.as_ref().map_or(0, Message::status);
    let foreign = answer
        .filter(|a| a.status() == 200 && a.is_whole && a.text() != format!("answer to {id}"))
        .map(|a| format!("{id} got {:?}", a.text()));
    note(notes, &format!("{path} {status}"), foreign);
    if path == PAYMENTS {
        let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
        notes.payments.push((id.to_owned(), status));
    }
}

/// Reads a stream to its end, coming back with the last event where it breaks off.
async fn stream(id: &str, plans: &[BoxPlan], notes: &Mutex<Notes>, rng: &mut ChaCha8Rng) {
    let part = format!("part-{id}");
    let mut got = 0;
    for attempt in 0..MOST_RETURNS {
        let mut asked = Asked::stream(&format!("{STREAMS}x"), &format!("{id}-{attempt}"), &part);
        asked.after_event = (got > 0).then_some(got);
        let Some(answer) = ask_any(plans, &asked, rng).await else {
            continue;
        };
        if answer.status() != 200 {
            continue;
        }
        let text = answer.text();
        let whole: String = (got + 1..=EVENTS).map(|e| event_text(&part, e)).collect();
        if !whole.starts_with(&text) {
            let broken = format!("{id}-{attempt} after event {got} got {text:?}");
            return note(notes, "stream wrong", Some(broken));
        }
        got += text.matches("id: ").count() as u64;
        if answer.is_whole {
            let short =
                (got < EVENTS).then(|| format!("{id}-{attempt} ended whole at event {got}"));
            return note(notes, "stream whole", short);
        }
        // Only whole events are passed on, so nothing of a torn one has to be dropped.
        let torn = !text.is_empty() && !text.ends_with("\n\n");
        if torn {
            note(
                notes,
                "stream torn",
                Some(format!("{id}-{attempt} got a torn event")),
            );
        }
    }
    note(notes, "stream given up", None);
}
