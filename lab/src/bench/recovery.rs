//! Resume latency and extra work under kills, stalls, freezes and slow engines, for each way to
//! make good a broken generation, on the same seed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::Options;
use super::field::Field;
use super::load::{self, Mix, Outcome};
use super::report::{Times, plot, print_table};
use crate::caller::faults;
use crate::engine::{Behaviour, Fault};

/// The ways that are compared; the first is what was chosen.
const WAYS: [&str; 4] = ["resume", "restart", "timeout", "hedge"];
/// Time between two tokens of an engine.
const TOKEN_MS: f64 = 20.0;
/// Prompt bytes that an engine reads in a second.
const PREFILL_RATE: f64 = 40_000.0;
/// Bytes that an engine reads for one token of an answer.
const BYTES_PER_TOKEN: f64 = 4.0;
/// How long a dead engine stays away.
const AWAY: Duration = Duration::from_secs(2);
/// How many times slower a slow engine is.
const SLOW_DOWN: f64 = 1.7;

/// Something that is done to an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Blow {
    Kill,
    Stall,
    Freeze,
    Slow,
}

/// An engine lost its streams: when, and which answers it was producing.
struct Loss {
    blow: Blow,
    at: Instant,
    keys: Vec<String>,
}

/// Runs the suite.
///
/// # Errors
///
/// Says what could not be started.
pub async fn run(options: &Options) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for way in WAYS {
        let (row, line) = measure(options, way).await?;
        rows.push(row);
        lines.push((way.to_owned(), line));
    }
    let fields = [
        "way",
        "reset/count",
        "reset/p50_ms",
        "reset/p99_ms",
        "silent/p50_ms",
        "silent/p99_ms",
        "extra_percent",
        "suspected",
        "suspected_wrongly",
        "unsound",
    ];
    print_table(&rows, &fields);
    if let Some(path) = &options.svg {
        let axes = ("share of losses, percent", "ms to the next token");
        plot(path, "Time to the next token after a loss", axes, &lines)?;
    }
    Ok(rows)
}

async fn measure(options: &Options, way: &str) -> Result<(Value, Vec<(f64, f64)>), String> {
    let mut fleet = options.deployment.fleet(8)?;
    fleet.extra_settings = json!({ "recovery": way, "log_level": "warn" });
    let behaviour = Behaviour {
        deterministic: true,
        token_ms: TOKEN_MS,
        prefill_rate: PREFILL_RATE,
        ..Behaviour::default()
    };
    let mut field = Field::start(fleet, &behaviour, 2).await?;
    let mix = Mix {
        generations: 14.0,
        calls: 20.0,
        short: 20..80,
        long: 250..500,
        prompt_bytes: 2_048,
        templates: 8,
        organisations: vec![("shop".to_owned(), 1.0)],
        deadline_ms: None,
        patient: true,
    };
    let span = Duration::from_secs(options.seconds);
    let client = field.client.clone();
    let callers = field.callers();
    let (outcome, losses) = {
        let blows = strike(&mut field, span, options.seed);
        tokio::join!(
            load::run(&client, &callers, &mix, span, options.seed),
            blows
        )
    };
    Ok(judge(way, &field, &outcome, &losses).await)
}

/// Deals blows to engines at seeded times.
async fn strike(field: &mut Field, span: Duration, seed: u64) -> Vec<Loss> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xb10b);
    let mut losses = Vec::new();
    let began = Instant::now();
    let mut at = Duration::from_secs(3);
    let mut hurt: Vec<(Instant, usize)> = Vec::new();
    while at + Duration::from_secs(2) < span {
        tokio::time::sleep_until((began + at).into()).await;
        at += Duration::from_millis(rng.random_range(250..500));
        mend(field, &mut hurt);
        let blow = match rng.random_range(0..10) {
            0..=5 => Blow::Kill,
            6..=7 => Blow::Stall,
            8 => Blow::Freeze,
            _ => Blow::Slow,
        };
        let well: Vec<usize> = (0..field.engines.len())
            .filter(|n| !hurt.iter().any(|(_, h)| h == n))
            .filter(|n| !field.engines[*n].engine.running().is_empty())
            .collect();
        if well.is_empty() {
            continue;
        }
        let place = well[rng.random_range(0..well.len())];
        losses.push(deal(field, place, blow));
        hurt.push((Instant::now() + AWAY, place));
    }
    tokio::time::sleep(AWAY).await;
    for (until, _) in &mut hurt {
        *until = Instant::now();
    }
    mend(field, &mut hurt);
    losses
}

fn deal(field: &mut Field, place: usize, blow: Blow) -> Loss {
    let host = &mut field.engines[place];
    let keys = host
        .engine
        .running()
        .iter()
        .filter_map(|name| key_of(name))
        .collect();
    match blow {
        Blow::Kill => host.kill(),
        Blow::Stall => host.engine.change(|b| {
            b.faults.insert(Fault::Stalled);
        }),
        Blow::Freeze => host.engine.change(|b| {
            b.faults.insert(Fault::Frozen);
        }),
        Blow::Slow => host.engine.change(|b| b.slow_down = SLOW_DOWN),
    }
    Loss {
        blow,
        at: Instant::now(),
        keys,
    }
}

fn key_of(stream: &str) -> Option<String> {
    let mut fields = stream.rsplitn(3, '.');
    fields.next()?;
    fields.next()?;
    fields.next().map(str::to_owned)
}

fn mend(field: &mut Field, hurt: &mut Vec<(Instant, usize)>) {
    let now = Instant::now();
    hurt.retain(|(until, place)| {
        if *until > now {
            return true;
        }
        field.engines[*place].revive();
        false
    });
}

async fn judge(
    way: &str,
    field: &Field,
    outcome: &Outcome,
    losses: &[Loss],
) -> (Value, Vec<(f64, f64)>) {
    let by_key: HashMap<&str, &load::Sent> = outcome
        .sent
        .iter()
        .filter_map(|s| Some((s.wanted.key.as_deref()?, s)))
        .collect();
    let mut reset = Times::default();
    let mut silent = Times::default();
    let mut all = Vec::new();
    for loss in losses.iter().filter(|l| l.blow != Blow::Slow) {
        for sent in loss.keys.iter().filter_map(|k| by_key.get(k.as_str())) {
            let Some(after) = sent.received.times.iter().position(|t| *t > loss.at) else {
                continue;
            };
            let took = sent.received.times[after].duration_since(loss.at);
            // The engine's own reading of the prompt and the answer so far is not what is judged.
            let bytes = sent.wanted.prompt.len() as f64 + after as f64 * BYTES_PER_TOKEN;
            let beyond = took.saturating_sub(Duration::from_secs_f64(bytes / PREFILL_RATE));
            all.push(took.as_secs_f64() * 1_000.0);
            if loss.blow == Blow::Kill {
                reset.add(beyond);
            } else {
                silent.add(beyond);
            }
        }
    }
    let unsound: Vec<String> = outcome
        .sent
        .iter()
        .filter_map(|s| {
            let fault = faults(&s.received, &s.wanted, &[String::new()])?;
            let told = s.received.problem.as_ref().map(|p| p.detail.clone());
            Some(format!("{:?}: {fault}; told {told:?}", s.wanted.key))
        })
        .collect();
    let delivered: usize = outcome.sent.iter().map(|s| s.received.ids.len()).sum();
    let spent = field.spent();
    let useful =
        delivered as f64 * TOKEN_MS / 1_000.0 + spent.prefill_seconds - spent.resume_seconds;
    let wasted = (spent.tokens as f64 - delivered as f64).max(0.0) * TOKEN_MS / 1_000.0;
    let extra = (wasted + spent.resume_seconds) / useful * 100.0;
    let mut quick = Times::default();
    for called in &outcome.called {
        quick.add(called.took);
    }
    let row = json!({
        "way": way,
        "reset": reset.summary(),
        "silent": silent.summary(),
        "extra_percent": extra,
        "generations": outcome.sent.len(),
        "delivered_tokens": delivered,
        "suspected": field.metric("suspected_total").await,
        "suspected_wrongly": field.metric("suspected_wrongly_total").await,
        "imports": spent.imports,
        "quick": quick.summary(),
        "unsound": unsound.len(),
        "unsound_answers": unsound,
    });
    all.sort_by(f64::total_cmp);
    let count = all.len().max(1) as f64;
    let line = all
        .iter()
        .enumerate()
        .map(|(n, ms)| (n as f64 / count * 100.0, *ms))
        .collect();
    (row, line)
}
