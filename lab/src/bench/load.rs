//! Open-loop load: requests start when their time has come, whatever has become of the others.

use std::time::{Duration, Instant};

use magpiemoor::http::Client;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::report::Times;
use crate::caller::{Received, Wanted, follow_to_end, service_call};
use crate::fleet::REPEATABLE_CALL;

/// The share of generations that are long.
const LONG_SHARE: f64 = 0.13;

/// What is sent.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Generations a second.
    pub generations: f64,
    /// Quick calls a second.
    pub calls: f64,
    /// Tokens of short generations.
    pub short: std::ops::Range<u32>,
    /// Tokens of long generations.
    pub long: std::ops::Range<u32>,
    /// Bytes of a prompt.
    pub prompt_bytes: usize,
    /// How many prompts share the first three quarters of their bytes with others.
    pub templates: usize,
    /// Organisations with the share of the requests that each sends.
    pub organisations: Vec<(String, f64)>,
    /// The deadline of generations in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether refused callers come back.
    pub patient: bool,
}

/// A generation that was sent, and what came of it.
#[derive(Debug)]
pub struct Sent {
    /// What was wanted.
    pub wanted: Wanted,
    /// When it was sent.
    pub at: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What came.
    pub received: Received,
}

/// A quick call that was sent.
#[derive(Debug)]
pub struct Called {
    /// How long it took.
    pub took: Duration,
    /// The status, if there was an answer.
    pub status: Option<u16>,
}

/// Everything that was sent.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Generations.
    pub sent: Vec<Sent>,
    /// Quick calls.
    pub called: Vec<Called>,
}

/// Returns the prompt of a generation: a template that others share, and an end of its own.
#[must_use]
pub fn prompt(template: usize, own: u64, bytes: usize) -> String {
    let shared = bytes * 3 / 4;
    let head = format!("Template {template}: every line of the ledger, with dates and sums. ");
    let tail = format!("Member {own}: the purchases of the month, one by one. ");
    let mut text: String = head.chars().cycle().take(shared).collect();
    text.extend(tail.chars().cycle().take(bytes - shared));
    text
}

fn pick<'a>(shares: &'a [(String, f64)], rng: &mut ChaCha8Rng) -> &'a str {
    let whole: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut left = rng.random_range(0.0..whole);
    for (name, share) in shares {
        left -= share;
        if left <= 0.0 {
            return name;
        }
    }
    &shares[0].0
}

fn exponential(rate: f64, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Sends a mix for a while, and waits for what was sent.
pub async fn run(
    client: &Client,
    addresses: &[String],
    mix: &Mix,
    span: Duration,
    seed: u64,
) -> Outcome {
    let (generations, calls) = tokio::join!(
        generate(client, addresses, mix, span, seed),
        call(client, addresses, mix.calls, span, seed ^ 1),
    );
    Outcome {
        sent: generations,
        called: calls,
    }
}

/// Sends load to boxes that run, and sums up what came of it.
pub async fn try_boxes(
    boxes: &[String],
    organisation: &str,
    rate: u64,
    calls: u64,
    seconds: u64,
    seed: u64,
) -> Value {
    let mix = Mix {
        generations: rate as f64,
        calls: calls as f64,
        short: 20..80,
        long: 250..500,
        prompt_bytes: 2_048,
        templates: 8,
        organisations: vec![(organisation.to_owned(), 1.0)],
        deadline_ms: None,
        patient: true,
    };
    let span = Duration::from_secs(seconds);
    let outcome = run(&Client::default(), boxes, &mix, span, seed).await;
    let mut first = Times::default();
    let mut quick = Times::default();
    let mut failed = 0;
    for sent in &outcome.sent {
        match sent.received.times.first() {
            Some(at) => first.add(at.duration_since(sent.at)),
            None => failed += 1,
        }
    }
    for called in &outcome.called {
        quick.add(called.took);
        failed += usize::from(called.status != Some(200));
    }
    json!({
        "generations": outcome.sent.len(),
        "calls": outcome.called.len(),
        "failed": failed,
        "first_token": first.summary(),
        "quick": quick.summary(),
    })
}

async fn generate(
    client: &Client,
    addresses: &[String],
    mix: &Mix,
    span: Duration,
    seed: u64,
) -> Vec<Sent> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut count = 0_u64;
    if mix.generations <= 0.0 {
        return Vec::new();
    }
    loop {
        due += exponential(mix.generations, &mut rng);
        if due >= span {
            break;
        }
        count += 1;
        let range = if rng.random_bool(LONG_SHARE) {
            &mix.long
        } else {
            &mix.short
        };
        let template = rng.random_range(0..mix.templates.max(1));
        let wanted = Wanted {
            key: Some(format!("bench-{seed}-{count}")),
            organisation: pick(&mix.organisations, &mut rng).to_owned(),
            prompt: prompt(template, seed * 1_000_000 + count, mix.prompt_bytes),
            max_tokens: rng.random_range(range.clone()),
            priority: None,
            deadline_ms: mix.deadline_ms,
        };
        let turn = rng.random_range(0..addresses.len());
        let mut turned = addresses.to_vec();
        turned.rotate_left(turn);
        tokio::time::sleep_until((began + due).into()).await;
        let client = client.clone();
        let patient = mix.patient;
        tasks.push(tokio::spawn(async move {
            let at = Instant::now();
            let received = if patient {
                follow_to_end(&client, &turned, &wanted).await
            } else {
                let mut received = Received::default();
                crate::caller::follow(&client, &turned[0], &wanted, &mut received, |_| true).await;
                received
            };
            Sent {
                wanted,
                at,
                ended: Instant::now(),
                received,
            }
        }));
    }
    let mut sent = Vec::new();
    for task in tasks {
        sent.extend(task.await.ok());
    }
    sent
}

async fn call(
    client: &Client,
    addresses: &[String],
    rate: f64,
    span: Duration,
    seed: u64,
) -> Vec<Called> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    if rate <= 0.0 {
        return Vec::new();
    }
    loop {
        due += exponential(rate, &mut rng);
        if due >= span {
            break;
        }
        let address = addresses[rng.random_range(0..addresses.len())].clone();
        tokio::time::sleep_until((began + due).into()).await;
        let client = client.clone();
        tasks.push(tokio::spawn(async move {
            let at = Instant::now();
            let answer = service_call(&client, &address, REPEATABLE_CALL, None, false).await;
            Called {
                took: at.elapsed(),
                status: answer.ok().map(|a| a.status.as_u16()),
            }
        }));
    }
    let mut called = Vec::new();
    for task in tasks {
        called.extend(task.await.ok());
    }
    called
}
