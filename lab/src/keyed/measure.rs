//! The two figures of the product's own face that the users' bench doesn't play: how long a stream
//! pauses when its engine is killed, and which shares organisations get under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::keyed::caller::{Received, Wanted, faults, follow, follow_to_end};
use crate::keyed::engine::Behaviour;
use crate::keyed::fleet::{Fleet, Size};
use crate::keyed::running::RunningFleet;

/// The failure domains of the measured fleet.
const DOMAINS: [&str; 2] = ["hafnar-hall", "hraun-hall"];
/// Engines of the measured fleet.
const ENGINES: usize = 6;
/// Time between two tokens of an engine, in milliseconds.
const TOKEN_MS: f64 = 20.0;
/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// How long a stream runs before its engine is killed.
const BEFORE_KILL: Duration = Duration::from_millis(600);
/// Tokens of such a stream.
const STREAM_TOKENS: u32 = 200;

/// Slots of an engine under overload.
const SLOTS: u32 = 2;
/// Tokens of a generation under overload.
const OVERLOAD_TOKENS: u32 = 60;
/// Offered load, in capacities.
const OFFERED: f64 = 2.0;
/// Requests of a class that may wait at a box.
const QUEUE: u32 = 12;
/// Organisations with their weights; all send alike.
const ORGANISATIONS: [(&str, u32); 3] = [("large", 4), ("middle", 2), ("small", 1)];

/// Takes both figures and returns them.
///
/// # Errors
///
/// Says what could not be started.
pub async fn run(seed: u64, rounds: u32, overload: Duration) -> Result<Value, String> {
    Ok(json!({
        "seed": seed,
        "resume_after_kill": resume_after_kill(seed, rounds).await?,
        "overload": shares_under_overload(seed, overload).await?,
    }))
}

async fn start(slots: u32, adapt: impl FnOnce(&mut Fleet)) -> Result<RunningFleet, String> {
    let size = Size {
        domains: DOMAINS.iter().map(ToString::to_string).collect(),
        boxes: 2,
        engines: ENGINES,
        slots,
        services: 1,
    };
    let mut fleet = Fleet::plan(&size).map_err(|e| e.to_string())?;
    fleet.extra_settings = json!({ "log_level": "warn" });
    adapt(&mut fleet);
    let behaviour = Behaviour {
        token_ms: TOKEN_MS,
        ..Behaviour::default()
    };
    let running = RunningFleet::start(fleet, behaviour).map_err(|e| e.to_string())?;
    running.roll_bundle().await?;
    running.wait_ready().await?;
    Ok(running)
}

/// Kills the engine of one stream after the other; the time runs to the caller's next token.
async fn resume_after_kill(seed: u64, rounds: u32) -> Result<Value, String> {
    let mut running = start(8, |_| {}).await?;
    let addresses = addresses_of(&running);
    let names: Vec<String> = running.fleet.engines.iter().map(|e| e.id.clone()).collect();
    let mut pauses = histogram()?;
    let mut unsound = 0;
    for round in 0..rounds {
        let key = format!("kill-{seed}-{round}");
        let wanted = Wanted::new(&key, &format!("{key}: every purchase"), STREAM_TOKENS);
        let stream = tokio::spawn({
            let (client, wanted) = (running.client.clone(), wanted.clone());
            let addresses = addresses.clone();
            async move { follow_to_end(&client, &addresses, &wanted).await }
        });
        tokio::time::sleep(BEFORE_KILL).await;
        let engine = running.serving_engine(&key).await;
        if let Some(place) = engine {
            running.engines[place].kill();
        }
        let killed = Instant::now();
        let received = stream.await.map_err(|e| e.to_string())?;
        unsound += u32::from(faults(&received, &wanted, &names).is_some());
        if let Some(place) = engine {
            if let Some(next) = received.times.iter().find(|at| **at > killed) {
                record(&mut pauses, next.duration_since(killed));
            }
            running.restart_engine(place).map_err(|e| e.to_string())?;
        }
    }
    Ok(json!({ "rounds": rounds, "pause": summary(&pauses), "unsound": unsound }))
}

/// Offers twice the capacity, the same from each organisation.
async fn shares_under_overload(seed: u64, span: Duration) -> Result<Value, String> {
    let running = start(SLOTS, |fleet| {
        fleet.queue_limit = QUEUE;
        let organisations = ORGANISATIONS.iter().map(|(n, w)| ((*n).to_owned(), *w));
        fleet.organisations = organisations.collect();
    })
    .await?;
    let addresses = addresses_of(&running);
    let seconds_each = f64::from(OVERLOAD_TOKENS) * TOKEN_MS / 1_000.0;
    let rate = OFFERED * f64::from(SLOTS) * ENGINES as f64 / seconds_each;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = JoinSet::new();
    let began = Instant::now();
    for number in 0.. {
        let due = began + Duration::from_secs_f64(f64::from(number) / rate);
        if due >= began + span {
            break;
        }
        let (organisation, _) = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
        let mut wanted = Wanted::new(&format!("load-{seed}-{number}"), "a page", OVERLOAD_TOKENS);
        wanted.organisation = organisation.to_owned();
        let address = addresses[rng.random_range(0..addresses.len())].clone();
        let client = running.client.clone();
        tokio::time::sleep_until(due.into()).await;
        requests.spawn(async move {
            let at = Instant::now();
            let mut received = Received::default();
            follow(&client, &address, &wanted, &mut received, |_| true).await;
            (organisation, at.elapsed(), received)
        });
    }
    let mut refusals = histogram()?;
    let mut tokens: BTreeMap<&str, usize> = BTreeMap::new();
    let sent = requests.len();
    while let Some(ended) = requests.join_next().await {
        let (organisation, took, received) = ended.map_err(|e| e.to_string())?;
        if received.problem.is_some() {
            record(&mut refusals, took);
        } else {
            *tokens.entry(organisation).or_default() += received.ids.len();
        }
    }
    let all = tokens.values().sum::<usize>().max(1) as f64;
    let shares: BTreeMap<&str, f64> = tokens.iter().map(|(n, t)| (*n, *t as f64 / all)).collect();
    Ok(json!({
        "offered_capacities": OFFERED,
        "sent": sent,
        "tokens_per_second": all / span.as_secs_f64(),
        "refusal": summary(&refusals),
        "shares": shares,
    }))
}

fn addresses_of(running: &RunningFleet) -> Vec<String> {
    let boxes = running.fleet.boxes.iter();
    boxes.map(|plan| plan.callers.clone()).collect()
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).map_err(|e| e.to_string())
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record((time.as_micros() as u64).max(1));
}

fn summary(times: &Histogram<u64>) -> Value {
    let millis = |q: f64| times.value_at_quantile(q) as f64 / 1_000.0;
    json!({
        "count": times.len(),
        "p50_ms": millis(0.5),
        "p99_ms": millis(0.99),
        "max_ms": millis(1.0),
    })
}
