//! Offered load from half to twice the capacity: useful work, refusals, quick calls, and whether
//! organisations get their shares.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::Options;
use super::field::Field;
use super::load::{self, Mix, Outcome};
use super::report::{Times, plot, print_table};
use crate::engine::Behaviour;

/// Offered load in shares of the capacity.
const SHARES: [f64; 4] = [0.5, 1.0, 1.5, 2.0];
/// Slots of an engine.
const SLOTS: u32 = 2;
/// Time between two tokens of an engine.
const TOKEN_MS: f64 = 20.0;
/// Tokens that a generation has on average, of 40 to 80 wanted, of which an eighth is cut off.
const MEAN_TOKENS: f64 = 52.0;
/// Prompt bytes that an engine reads in a second.
const PREFILL_RATE: f64 = 100_000.0;
/// Bytes of a prompt.
const PROMPT_BYTES: usize = 1_024;
/// How long a plain service takes to answer, in milliseconds.
const ANSWER_MS: u64 = 5;
/// Requests of a class that may wait at a box.
const QUEUE: u32 = 12;
/// Organisations with their weights; all send alike.
const ORGANISATIONS: [(&str, u32); 3] = [("large", 4), ("middle", 2), ("small", 1)];

/// Runs the suite.
///
/// # Errors
///
/// Says what could not be started.
pub async fn run(options: &Options) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for share in SHARES {
        rows.push(measure(options, share).await?);
    }
    let fields = [
        "share",
        "tokens_per_second",
        "refused",
        "refusal/p99_ms",
        "quick/p50_ms",
        "quick/p99_ms",
        "first/p95_ms",
        "shares/large",
        "shares/middle",
        "shares/small",
    ];
    print_table(&rows, &fields);
    if let Some(path) = &options.svg {
        let line = |field: &str| {
            let point = |row: &Value| Some((row["share"].as_f64()?, row[field].as_f64()?));
            (field.to_owned(), rows.iter().filter_map(point).collect())
        };
        let axes = ("offered load in shares of the capacity", "tokens a second");
        plot(
            path,
            "Useful work under overload",
            axes,
            &[line("tokens_per_second")],
        )?;
    }
    Ok(rows)
}

async fn measure(options: &Options, share: f64) -> Result<Value, String> {
    let mut fleet = options.deployment.fleet(SLOTS)?;
    fleet.extra_settings = json!({ "log_level": "warn" });
    fleet.queue_limit = QUEUE;
    fleet.organisations = ORGANISATIONS
        .iter()
        .map(|(n, w)| ((*n).to_owned(), *w))
        .collect();
    fleet.organisations.push(("shop".to_owned(), 1));
    let behaviour = Behaviour {
        token_ms: TOKEN_MS,
        prefill_rate: PREFILL_RATE,
        queue: 2,
        ..Behaviour::default()
    };
    let field = Field::start(fleet, &behaviour, ANSWER_MS).await?;
    let per_generation = MEAN_TOKENS * TOKEN_MS / 1_000.0 + PROMPT_BYTES as f64 / PREFILL_RATE;
    let capacity = f64::from(SLOTS) * field.engines.len() as f64 / per_generation;
    let mix = Mix {
        generations: capacity * share,
        calls: 40.0,
        short: 40..80,
        long: 40..80,
        prompt_bytes: PROMPT_BYTES,
        templates: 4,
        organisations: ORGANISATIONS
            .iter()
            .map(|(n, _)| ((*n).to_owned(), 1.0))
            .collect(),
        deadline_ms: None,
        patient: false,
    };
    let span = Duration::from_secs(options.seconds);
    let outcome = load::run(&field.client, &field.callers(), &mix, span, options.seed).await;
    Ok(judge(share, &outcome, span))
}

fn judge(share: f64, outcome: &Outcome, span: Duration) -> Value {
    let mut refusal = Times::default();
    let mut first = Times::default();
    let mut quick = Times::default();
    let mut by_organisation: BTreeMap<&str, usize> = BTreeMap::new();
    let mut untrue = 0;
    let (mut tokens, mut refused, mut whole) = (0, 0, 0);
    for sent in &outcome.sent {
        if let Some(problem) = &sent.received.problem {
            refused += 1;
            refusal.add(sent.ended.duration_since(sent.at));
            untrue += usize::from(problem.ran == "no" && !sent.received.ids.is_empty());
            continue;
        }
        whole += 1;
        tokens += sent.received.ids.len();
        *by_organisation
            .entry(&sent.wanted.organisation)
            .or_default() += sent.received.ids.len();
        if let Some(at) = sent.received.times.first() {
            first.add(at.duration_since(sent.at));
        }
    }
    let mut calls_failed = 0;
    for called in &outcome.called {
        quick.add(called.took);
        calls_failed += usize::from(called.status != Some(200));
    }
    let whole_tokens = tokens.max(1) as f64;
    let shares: BTreeMap<&str, f64> = by_organisation
        .iter()
        .map(|(n, t)| (*n, *t as f64 / whole_tokens))
        .collect();
    json!({
        "share": share,
        "sent": outcome.sent.len(),
        "whole": whole,
        "refused": refused,
        "tokens_per_second": tokens as f64 / span.as_secs_f64(),
        "refusal": refusal.summary(),
        "first": first.summary(),
        "quick": quick.summary(),
        "calls_failed": calls_failed,
        "shares": shares,
        "untrue": untrue,
    })
}
