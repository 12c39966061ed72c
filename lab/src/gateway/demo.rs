//! The demonstration of the whole path in the platform's protocol: boxes, stand-ins, and a model
//! server that goes dark in the middle of a stream.

pub mod rollout;

use std::time::Duration;

use super::caller::{Asked, ask};
use super::fleet::{BoxPlan, HOST, KEY, Launcher, Outside, STREAMS, is_ready, until};
use super::server::{Pace, Server, event_text};
use crate::process::Process;

/// Boxes that are started.
const BOXES: usize = 2;
/// Model servers that are started.
const MODELS: usize = 4;
/// Plain services that are started.
const TILLS: usize = 2;
/// Events of the stream.
const EVENTS: u64 = 60;
/// Time between events.
const GAP: Duration = Duration::from_millis(25);
/// The event after which the server goes dark.
const DARK_AFTER: u64 = 20;
/// How long the boxes may take to be ready.
const PATIENCE: Duration = Duration::from_secs(20);
/// The last part of the prompt.
const PART: &str = "e4402b7d";

/// Runs the demonstration; returns whether no event was missing or came twice.
///
/// # Errors
///
/// What could not be started.
pub async fn run() -> Result<bool, String> {
    let pace = Pace {
        events: EVENTS,
        gap: GAP,
        names_server: false,
    };
    let deployment = start(BOXES, MODELS, TILLS, pace).await?;
    println!("{BOXES} boxes before {MODELS} model servers and {TILLS} plain services are ready");
    show_stream(&deployment.outside, &deployment.plans[0]).await
}

/// What a demonstration runs before.
struct Deployment {
    outside: Outside,
    plans: Vec<BoxPlan>,
    launcher: Launcher,
    boxes: Vec<Process>,
}

/// Starts stand-ins and boxes, and waits until the boxes are ready.
async fn start(
    boxes: usize,
    models: usize,
    tills: usize,
    pace: Pace,
) -> Result<Deployment, String> {
    let outside = Outside::start(models, tills, pace)
        .await
        .map_err(|e| e.to_string())?;
    let plans = outside.plan(boxes).map_err(|e| e.to_string())?;
    let launcher = Launcher::this_program().map_err(|e| e.to_string())?;
    let boxes: std::io::Result<Vec<Process>> = plans.iter().map(|p| launcher.start(p)).collect();
    let boxes = boxes.map_err(|e| e.to_string())?;
    let ready = until(|| async {
        for plan in &plans {
            if !is_ready(plan).await {
                return false;
            }
        }
        true
    });
    let in_time = tokio::time::timeout(PATIENCE, ready).await;
    in_time.map_err(|_| format!("the boxes were not ready in {PATIENCE:?}; see their logs"))?;
    Ok(Deployment {
        outside,
        plans,
        launcher,
        boxes,
    })
}

async fn show_stream(outside: &Outside, plan: &BoxPlan) -> Result<bool, String> {
    for model in &outside.models {
        model.fall_silent_after(DARK_AFTER);
    }
    let asked = Asked::stream(&format!("{STREAMS}demo"), "demo-1", PART);
    let (answer, first) = tokio::join!(
        ask(plan.callers, &asked, HOST, KEY),
        keep_others_awake(&outside.models)
    );
    let answer = answer.map_err(|e| e.to_string())?;
    println!(
        "{} answered and went dark after event {DARK_AFTER}",
        first.id
    );
    for model in outside.models.iter().filter(|m| m.id != first.id) {
        for run in model.runs() {
            let after = run.ask.header("last-event-id").unwrap_or("0").to_owned();
            let how = if run.has_read_prompt {
                "by reading the prompt again"
            } else {
                "from the copy of its memory"
            };
            println!("{} went on after event {after}, {how}", model.id);
        }
    }
    let whole: String = (1..=EVENTS).map(|event| event_text(PART, event)).collect();
    let held = answer.is_whole && answer.text() == whole;
    if held {
        println!("all {EVENTS} events came, none twice: held");
    } else {
        println!(
            "events are missing or came twice: NOT held\n{}",
            answer.text()
        );
    }
    Ok(held)
}

/// Waits for the server that runs the stream, and has the others stay as they are.
async fn keep_others_awake(models: &[Server]) -> &Server {
    until(|| async { models.iter().any(|m| !m.runs().is_empty()) }).await;
    let first = models.iter().find(|m| !m.runs().is_empty());
    let first = first.unwrap_or(&models[0]);
    for model in models.iter().filter(|m| m.id != first.id) {
        model.stay_awake();
    }
    first
}
