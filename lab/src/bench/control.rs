//! What control costs: processor time, memory and bytes of idle daemons, by the number of boxes;
//! and what a token costs a loaded one.

use std::time::Duration;

use serde_json::{Value, json};

use super::Options;
use super::field::Field;
use super::load::{self, Mix};
use super::report::print_table;
use crate::engine::Behaviour;
use crate::fleet::{Fleet, Size};

/// Boxes of one failure domain.
const BOXES: [usize; 4] = [2, 4, 8, 16];
/// Engines in all measurements.
const ENGINES: usize = 10;
/// Clock ticks in a second, as Linux reports processor time.
const TICKS: f64 = 100.0;

/// Runs the suite.
///
/// # Errors
///
/// Says what could not be started.
pub async fn run(options: &Options) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for boxes in BOXES {
        rows.push(measure(options, boxes).await?);
    }
    let fields = [
        "boxes",
        "cpu_percent",
        "memory_mb",
        "peer_bytes_in",
        "peer_bytes_out",
        "platform_bytes_in",
        "platform_reads",
        "platform_writes",
        "cpu_micros_per_token",
    ];
    print_table(&rows, &fields);
    Ok(rows)
}

struct Reading {
    cpu_seconds: f64,
    memory_mb: f64,
}

fn read_process(id: u32) -> Reading {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |place: usize| {
        fields
            .get(place)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|t| t.split_whitespace().next()?.parse::<f64>().ok());
    Reading {
        cpu_seconds: (ticks(11) + ticks(12)) / TICKS,
        memory_mb: kilobytes.unwrap_or(0.0) / 1_024.0,
    }
}

async fn measure(options: &Options, boxes: usize) -> Result<Value, String> {
    let size = Size {
        domains: vec!["hafnar-hall".to_owned()],
        boxes,
        engines: ENGINES,
        slots: 8,
        services: 1,
    };
    let mut fleet = Fleet::plan(&size).map_err(|e| e.to_string())?;
    fleet.extra_settings = json!({ "log_level": "warn" });
    let field = Field::start(fleet, &Behaviour::default(), 2).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = totals(&field).await;
    let counts = field.platform.counts();
    let span = Duration::from_secs(options.seconds);
    tokio::time::sleep(span).await;
    let after = totals(&field).await;
    let counted = field.platform.counts();
    let per = |before: f64, after: f64| (after - before) / span.as_secs_f64() / boxes as f64;
    let rate = |before: u64, after: u64| (after - before) as f64 / span.as_secs_f64();
    let loaded = load_boxes(&field, span, options.seed).await;
    Ok(json!({
        "boxes": boxes,
        "tokens": loaded.tokens,
        "cpu_micros_per_token": loaded.cpu_micros_per_token,
        "loaded_memory_mb": loaded.memory_mb,
        "cpu_percent": per(before.cpu, after.cpu) * 100.0,
        "memory_mb": after.memory / boxes as f64,
        "peer_bytes_in": per(before.bytes_in, after.bytes_in),
        "peer_bytes_out": per(before.bytes_out, after.bytes_out),
        "platform_bytes_in": per(before.platform, after.platform),
        "platform_reads": rate(counts.reads, counted.reads),
        "platform_writes": rate(counts.writes, counted.writes),
        "platform_watches": rate(counts.watches, counted.watches),
    }))
}

struct Loaded {
    tokens: usize,
    cpu_micros_per_token: f64,
    memory_mb: f64,
}

/// Sends generations for a while, and says what a token costs all boxes together.
async fn load_boxes(field: &Field, span: Duration, seed: u64) -> Loaded {
    let mix = Mix {
        generations: 15.0,
        calls: 0.0,
        short: 20..80,
        long: 100..200,
        prompt_bytes: 2_048,
        templates: 8,
        organisations: vec![("shop".to_owned(), 1.0)],
        deadline_ms: None,
        patient: true,
    };
    let before = totals(field).await;
    let outcome = load::run(&field.client, &field.callers(), &mix, span, seed).await;
    let after = totals(field).await;
    let tokens: usize = outcome.sent.iter().map(|s| s.received.ids.len()).sum();
    Loaded {
        tokens,
        cpu_micros_per_token: (after.cpu - before.cpu) * 1e6 / tokens.max(1) as f64,
        memory_mb: after.memory / field.boxes.len() as f64,
    }
}

struct Totals {
    cpu: f64,
    memory: f64,
    bytes_in: f64,
    bytes_out: f64,
    platform: f64,
}

async fn totals(field: &Field) -> Totals {
    let readings: Vec<Reading> = field.boxes.iter().map(|b| read_process(b.id())).collect();
    Totals {
        cpu: readings.iter().map(|r| r.cpu_seconds).sum(),
        memory: readings.iter().map(|r| r.memory_mb).sum(),
        bytes_in: field.metric("peer_bytes_in_total").await,
        bytes_out: field.metric("peer_bytes_out_total").await,
        platform: field.metric("platform_bytes_in_total").await,
    }
}
