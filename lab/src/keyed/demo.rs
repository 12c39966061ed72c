//! The demonstration: real processes on the loopback address, an engine and an entry box killed in
//! the middle of an answer, and a check that nothing was lost, repeated or run twice.

use std::time::{Duration, Instant};

use gotham::hyper::{Method, StatusCode};
use magpiemoor::cli::observe::format_entry;
use magpiemoor::http::Call;
use serde_json::{Value, json};

use crate::keyed::caller::{Ended, Received, Wanted, faults, follow, service_call};
use crate::keyed::engine::Behaviour;
use crate::keyed::engine::batch::answer_length;
use crate::keyed::fleet::{Fleet, MODEL, ONCE_CALL, Size};
use crate::keyed::running::RunningFleet;

/// The failure domains of the demonstration.
const DOMAINS: [&str; 2] = ["hafnar-hall", "hraun-hall"];
/// How long a deferrable request may take.
const DEFERRED_LIMIT: Duration = Duration::from_secs(10);
/// Tokens that the streaming answer may have.
const MAX_TOKENS: u32 = 240;
/// Tokens after which the engine is killed.
const KILL_ENGINE_AT: usize = 30;
/// Tokens after which the entry box is killed.
const KILL_BOX_AT: usize = 80;
/// The prompt of the deferrable request.
const DEFERRED_PROMPT: &str = "Summarise the settlement.";
/// Tokens that the deferrable answer may have.
const DEFERRED_TOKENS: u32 = 40;
/// The prompt of the streaming answer.
const PROMPT: &str =
    "Draft the member statement for the harbour bakery, with every purchase of the month.";

/// What the demonstration found.
#[derive(Debug)]
pub struct Outcome {
    /// Whether all held.
    pub held: bool,
    /// All findings.
    pub value: Value,
}

struct Demo {
    running: RunningFleet,
    quiet: bool,
}

impl Demo {
    fn say(&self, text: &str) {
        if !self.quiet {
            println!("{text}");
        }
    }

    fn start(quiet: bool) -> Result<Self, String> {
        let fleet = Fleet::plan(&Size {
            domains: DOMAINS.iter().map(ToString::to_string).collect(),
            boxes: 2,
            engines: 3,
            slots: 4,
            services: 1,
        })
        .map_err(|e| e.to_string())?;
        let behaviour = Behaviour {
            token_ms: 15.0,
            ..Behaviour::default()
        };
        let running = RunningFleet::start(fleet, behaviour).map_err(|e| e.to_string())?;
        Ok(Self { running, quiet })
    }
}

fn print_progress(quiet: bool, count: usize) {
    use std::io::Write;
    if !quiet {
        print!("\r  {count} tokens");
        let _ = std::io::stdout().flush();
    }
}

/// Runs the demonstration.
///
/// # Errors
///
/// That the processes could not be started or were not ready in time.
pub async fn run(quiet: bool) -> Result<Outcome, String> {
    let mut demo = Demo::start(quiet)?;
    demo.say("started 4 boxes in 2 failure domains, 3 engines, a plain service and a platform");
    demo.running.roll_bundle().await?;
    demo.say("rolled a signed bundle; waiting for the boxes");
    demo.running.wait_ready().await?;
    let deferred = defer(&demo).await?;
    demo.say(&format!("a deferrable request was accepted: {deferred}"));
    let once = run_once(&demo).await;
    demo.say(&format!(
        "a call that may not be repeated was sent twice: {once}"
    ));
    let stream = kill_in_the_middle(&mut demo).await;
    let result = wait_deferred(&demo, &deferred).await;
    demo.say(&format!(
        "the deferrable request: {}",
        if result { "done" } else { "not done" }
    ));
    let events = demo.running.timeline(Some("demo-")).await;
    if !quiet {
        println!("\nthe time line of the surviving boxes:");
        for entry in &events {
            println!("  {}", format_entry(entry));
        }
    }
    let held = stream["held"] == json!(true) && once["held"] == json!(true) && result;
    let value = json!({
        "held": held,
        "stream": stream,
        "once": once,
        "deferred_done": result,
        "events": events,
    });
    Ok(Outcome { held, value })
}

async fn defer(demo: &Demo) -> Result<String, String> {
    let body = json!({ "model": MODEL, "prompt": DEFERRED_PROMPT, "max_tokens": DEFERRED_TOKENS });
    let call = Call::new(Method::POST, demo.running.callers(2), "/v1/completions")
        .header("organisation", "shop")
        .header("prefer", "respond-async")
        .header("idempotency-key", "demo-deferred")
        .body(body.to_string());
    let answer = demo
        .running
        .client
        .send(call, DEFERRED_LIMIT)
        .await
        .map_err(|e| e.to_string())?;
    match answer.header("location") {
        Some(place) if answer.status == StatusCode::ACCEPTED => Ok(place.to_owned()),
        _ => Err(format!("not accepted: {} {}", answer.status, answer.text())),
    }
}

async fn wait_deferred(demo: &Demo, place: &str) -> bool {
    let began = Instant::now();
    while began.elapsed() < DEFERRED_LIMIT {
        let call = Call::new(Method::GET, demo.running.callers(3), place);
        if let Ok(answer) = demo.running.client.send(call, DEFERRED_LIMIT).await
            && answer.status == StatusCode::OK
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Sends a call at one box and the same again at another.
async fn run_once(demo: &Demo) -> Value {
    let key = Some("demo-redeem");
    let first = service_call(
        &demo.running.client,
        demo.running.callers(1),
        ONCE_CALL,
        key,
        true,
    )
    .await;
    let second = service_call(
        &demo.running.client,
        demo.running.callers(2),
        ONCE_CALL,
        key,
        false,
    )
    .await;
    let runs = Call::new(
        Method::GET,
        &demo.running.fleet.services[0].address,
        "/control/runs",
    );
    let runs = demo.running.client.send(runs, DEFERRED_LIMIT).await;
    let runs = runs
        .ok()
        .and_then(|a| serde_json::from_slice::<Value>(&a.body).ok());
    let count = runs.and_then(|r| r["demo-redeem"].as_u64()).unwrap_or(0);
    let answers: Vec<(u16, String)> = [first, second]
        .into_iter()
        .flatten()
        .map(|a| (a.status.as_u16(), a.text()))
        .collect();
    let same = answers.len() == 2 && answers[0] == answers[1];
    json!({ "held": count == 1 && same, "runs": count, "same_answer": same, "answers": answers })
}

/// Follows an answer while first its engine and then the caller's box is killed.
async fn kill_in_the_middle(demo: &mut Demo) -> Value {
    let wanted = Wanted::new("demo-stream", PROMPT, MAX_TOKENS);
    let mut received = Received::default();
    let client = demo.running.client.clone();
    let quiet = demo.quiet;
    demo.say("streaming an answer; its engine and then the caller's box will be killed");
    let (engine_died, engine_gap, lost_tokens) =
        follow_and_kill_engine(demo, &wanted, &mut received).await;
    let until_box = received.ids.len();
    let killed_at = Instant::now();
    demo.running.boxes[0].kill();
    demo.say(&format!(
        "\n  killed {} at token {until_box}; coming back at another box",
        demo.running.fleet.boxes[0].id
    ));
    let mut ended = Ended::Cut;
    let mut first_after = None;
    for turn in 0..20 {
        let address = demo.running.fleet.boxes[1 + turn % 3].callers.clone();
        let mut count = received.ids.len();
        ended = follow(&client, &address, &wanted, &mut received, |ids| {
            first_after.get_or_insert_with(Instant::now);
            count += ids.len();
            print_progress(quiet, count);
            true
        })
        .await;
        if ended == Ended::Whole {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let names: Vec<String> = demo
        .running
        .fleet
        .engines
        .iter()
        .map(|e| e.id.clone())
        .collect();
    let fault = faults(&received, &wanted, &names);
    let (length, _) = answer_length(PROMPT, MAX_TOKENS);
    let (deferred, _) = answer_length(DEFERRED_PROMPT, DEFERRED_TOKENS);
    let produced = tokens_produced(demo).await + lost_tokens;
    let extra = produced.saturating_sub((length + deferred) as u64);
    let box_gap = first_after.map(|at| at.duration_since(killed_at).as_millis() as u64);
    let held = ended == Ended::Whole && fault.is_none() && engine_died;
    demo.say(&format!(
        "\n  {} of {length} tokens, {}; {} ms without tokens after the engine's death, {} ms after the box's; {extra} extra tokens",
        received.ids.len(),
        fault.as_deref().unwrap_or("none missing or repeated"),
        engine_gap,
        box_gap.unwrap_or(0),
    ));
    json!({
        "held": held,
        "tokens": received.ids.len(),
        "expected": length,
        "fault": fault,
        "problem": received.problem,
        "engine_resume_ms": engine_gap,
        "box_resume_ms": box_gap,
        "extra_tokens": extra,
    })
}

/// Follows the answer at the first box, and kills its engine on the way.
async fn follow_and_kill_engine(
    demo: &mut Demo,
    wanted: &Wanted,
    received: &mut Received,
) -> (bool, u64, u64) {
    let client = demo.running.client.clone();
    let address = demo.running.callers(0).to_owned();
    let quiet = demo.quiet;
    let mut count = 0;
    follow(&client, &address, wanted, received, |ids| {
        count += ids.len();
        print_progress(quiet, count);
        count < KILL_ENGINE_AT
    })
    .await;
    // The stream goes on at the same box while the engine is found and killed.
    let place = demo.running.serving_engine("demo-stream").await;
    let mut spent = 0;
    if let Some(place) = place {
        spent = tokens_of(demo, &demo.running.fleet.engines[place].address).await;
        demo.running.engines[place].kill();
    }
    demo.say(&format!(
        "\n  killed {} at token {}",
        place.map_or("no engine", |place| &demo.running.fleet.engines[place].id),
        received.ids.len()
    ));
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    let mut count = received.ids.len();
    follow(&client, &address, wanted, received, |ids| {
        longest = longest.max(last.elapsed());
        last = Instant::now();
        count += ids.len();
        print_progress(quiet, count);
        count < KILL_BOX_AT
    })
    .await;
    (place.is_some(), longest.as_millis() as u64, spent)
}

/// Tokens that the engines that are left have produced.
async fn tokens_produced(demo: &Demo) -> u64 {
    let mut produced = 0;
    for plan in &demo.running.fleet.engines {
        produced += tokens_of(demo, &plan.address).await;
    }
    produced
}

/// Tokens that an engine has produced, or none if it is dead.
async fn tokens_of(demo: &Demo, address: &str) -> u64 {
    let call = Call::new(Method::GET, address, "/control/tokens");
    let answer = demo.running.client.send(call, Duration::from_secs(1)).await;
    answer.ok().and_then(|a| a.text().parse().ok()).unwrap_or(0)
}
