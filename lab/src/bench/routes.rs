//! Routing: the chosen cost against random and least-loaded, with prompts that share their
//! beginnings and engines whose prefix caches are too small for all of them.

use std::time::Duration;

use serde_json::{Value, json};

use super::Options;
use super::field::Field;
use super::load::{self, Mix};
use super::report::{Times, print_table};
use crate::engine::Behaviour;

/// The ways that are compared; the first is what was chosen.
const WAYS: [&str; 3] = ["cost", "random", "least_loaded"];

/// Runs the suite.
///
/// # Errors
///
/// Says what could not be started.
pub async fn run(options: &Options) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for way in WAYS {
        rows.push(measure(options, way).await?);
    }
    print_table(
        &rows,
        &[
            "way",
            "first/p50_ms",
            "first/p95_ms",
            "first/p99_ms",
            "cached_percent",
            "prefill_seconds",
        ],
    );
    Ok(rows)
}

async fn measure(options: &Options, way: &str) -> Result<Value, String> {
    let mut fleet = options.deployment.fleet(8)?;
    fleet.extra_settings = json!({ "routing": way, "log_level": "warn" });
    let behaviour = Behaviour {
        token_ms: 20.0,
        prefill_rate: 40_000.0,
        cache_blocks: 400,
        ..Behaviour::default()
    };
    let field = Field::start(fleet, &behaviour, 2).await?;
    let mix = Mix {
        generations: 25.0,
        calls: 0.0,
        short: 20..60,
        long: 100..200,
        prompt_bytes: 8_192,
        templates: 24,
        organisations: vec![("shop".to_owned(), 1.0)],
        deadline_ms: None,
        patient: true,
    };
    let span = Duration::from_secs(options.seconds);
    let outcome = load::run(&field.client, &field.callers(), &mix, span, options.seed).await;
    let mut first = Times::default();
    for sent in &outcome.sent {
        if let Some(at) = sent.received.times.first() {
            first.add(at.duration_since(sent.at));
        }
    }
    let spent = field.spent();
    let bytes = (spent.cached_bytes + spent.read_bytes).max(1) as f64;
    Ok(json!({
        "way": way,
        "first": first.summary(),
        "cached_percent": spent.cached_bytes as f64 / bytes * 100.0,
        "prefill_seconds": spent.prefill_seconds,
        "generations": outcome.sent.len(),
    }))
}
