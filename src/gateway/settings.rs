//! The settings of a gateway box: the settings file and the defaults meet in one checked struct.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;

use crate::gateway::dispatch::duty::DutyPolicy;
use crate::gateway::dispatch::retry_budget::RetryPolicy;
use crate::gateway::dispatch::rollout::exposure::ExposureLimit;
use crate::schema::{BoxId, DomainId, GatewaySettingsFile};
use crate::settings::{Checker, SettingsError, file};

/// The least share of requests that a version may be tried with: with a share of 0 a roll-out would
/// stay unjudged for ever.
const LEAST_ROLLOUT_SHARE: f64 = 0.001;
/// The greatest number of requests that a version may get beyond its share.
const MOST_ROLLOUT_RESERVE: f64 = 1e6;

/// The least and the greatest length of a window of usage and time for its report, in seconds.
const USAGE_TIMES: (f64, f64) = (0.1, 86_400.0);
/// The least and the greatest length of a lease, in milliseconds.
const LEASES: (u64, u64) = (500, 600_000);

/// How usage is reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSettings {
    /// Where.
    pub address: SocketAddr,
    /// When, and by whom.
    pub policy: DutyPolicy,
}

/// The checked settings of a gateway box.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This box.
    pub box_id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub health: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where other boxes connect, by UDP and TCP.
    pub peers_address: SocketAddr,
    /// Boxes to speak to first.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub platform: SocketAddr,
    /// How many boxes share the retry budget at least.
    pub fleet_boxes: usize,
    /// How retries are bounded.
    pub retries: RetryPolicy,
    /// How long a stop may take.
    pub stop_grace: Duration,
    /// Whether the fleet starts for the first time.
    pub first_start: bool,
    /// What a version may get of its service's requests before its order's time is over.
    pub exposure: ExposureLimit,
    /// How usage is reported, if it is.
    pub usage: Option<UsageSettings>,
    /// Time between messages to peers.
    pub gossip: Duration,
    /// How long a watch waits.
    pub watch: Duration,
    /// Bytes of bodies that are held at once.
    pub held_bytes: usize,
    /// Threads that move bytes.
    pub traffic_threads: usize,
    /// How much is logged.
    pub log_level: LevelFilter,
}

/// The settings that hold where the file gives none.
#[must_use]
pub fn defaults() -> GatewaySettingsFile {
    GatewaySettingsFile {
        box_id: Some("box-1".to_owned()),
        domain: Some("domain-1".to_owned()),
        callers: Some("127.0.0.1:8740".to_owned()),
        health: Some("127.0.0.1:8749".to_owned()),
        metrics: Some("127.0.0.1:8750".to_owned()),
        peers_address: Some("127.0.0.1:8751".to_owned()),
        seeds: Vec::new(),
        platform: Some("127.0.0.1:8742".to_owned()),
        fleet_boxes: Some(8),
        retry_ratio: Some(0.2),
        retry_reserve: Some(50.0),
        retry_window_s: Some(10.0),
        stop_grace_s: Some(8.0),
        first_start: Some(true),
        rollout_share: Some(0.1),
        rollout_reserve: Some(50.0),
        usage_reports: None,
        usage_window_s: Some(5.0),
        usage_late_s: Some(10.0),
        lease_ms: Some(3_000),
        gossip_ms: Some(300),
        watch_ms: Some(3_000),
        held_bytes: Some(64 << 20),
        traffic_threads: Some(1),
        log_level: Some("info".to_owned()),
    }
}

/// Reads and checks the settings file at `path`; fields that it lacks have their defaults.
///
/// # Errors
///
/// All faults at once, each with the field, its value and the remedy.
pub fn read(path: &Path) -> Result<GatewaySettings, Vec<SettingsError>> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        let remedy = format!("{e}; name a readable settings file");
        vec![SettingsError::new(
            "file",
            &path.display().to_string(),
            &remedy,
        )]
    })?;
    GatewaySettings::try_from(file::parse_as::<GatewaySettingsFile>(&text)?)
}

/// Lays settings over others: what `upper` gives, wins.
fn overlay(upper: GatewaySettingsFile, lower: GatewaySettingsFile) -> GatewaySettingsFile {
    GatewaySettingsFile {
        box_id: upper.box_id.or(lower.box_id),
        domain: upper.domain.or(lower.domain),
        callers: upper.callers.or(lower.callers),
        health: upper.health.or(lower.health),
        metrics: upper.metrics.or(lower.metrics),
        peers_address: upper.peers_address.or(lower.peers_address),
        seeds: upper.seeds,
        platform: upper.platform.or(lower.platform),
        fleet_boxes: upper.fleet_boxes.or(lower.fleet_boxes),
        retry_ratio: upper.retry_ratio.or(lower.retry_ratio),
        retry_reserve: upper.retry_reserve.or(lower.retry_reserve),
        retry_window_s: upper.retry_window_s.or(lower.retry_window_s),
        stop_grace_s: upper.stop_grace_s.or(lower.stop_grace_s),
        first_start: upper.first_start.or(lower.first_start),
        rollout_share: upper.rollout_share.or(lower.rollout_share),
        rollout_reserve: upper.rollout_reserve.or(lower.rollout_reserve),
        usage_reports: upper.usage_reports.or(lower.usage_reports),
        usage_window_s: upper.usage_window_s.or(lower.usage_window_s),
        usage_late_s: upper.usage_late_s.or(lower.usage_late_s),
        lease_ms: upper.lease_ms.or(lower.lease_ms),
        gossip_ms: upper.gossip_ms.or(lower.gossip_ms),
        watch_ms: upper.watch_ms.or(lower.watch_ms),
        held_bytes: upper.held_bytes.or(lower.held_bytes),
        traffic_threads: upper.traffic_threads.or(lower.traffic_threads),
        log_level: upper.log_level.or(lower.log_level),
    }
}

fn retry_policy(
    check: &mut Checker,
    ratio: Option<f64>,
    reserve: Option<f64>,
    window_s: Option<f64>,
) -> RetryPolicy {
    RetryPolicy {
        ratio: check.number("retry_ratio", ratio, 0.0, 10.0),
        reserve: check.number("retry_reserve", reserve, 0.0, 1e6),
        window: seconds(check, "retry_window_s", window_s, (0.1, 600.0)),
    }
}

fn exposure_limit(check: &mut Checker, share: Option<f64>, reserve: Option<f64>) -> ExposureLimit {
    ExposureLimit {
        share: check.number("rollout_share", share, LEAST_ROLLOUT_SHARE, 1.0),
        reserve: check.number("rollout_reserve", reserve, 0.0, MOST_ROLLOUT_RESERVE),
    }
}

/// How usage is reported, if an address says where.
fn usage_settings(check: &mut Checker, file: &GatewaySettingsFile) -> Option<UsageSettings> {
    let address = check.address("usage_reports", Some(file.usage_reports.clone()?));
    let (window, late) = (file.usage_window_s, file.usage_late_s);
    Some(UsageSettings {
        address,
        policy: DutyPolicy {
            window: seconds(check, "usage_window_s", window, USAGE_TIMES),
            late: seconds(check, "usage_late_s", late, USAGE_TIMES),
            lease: check.millis("lease_ms", file.lease_ms, LEASES),
        },
    })
}

impl TryFrom<GatewaySettingsFile> for GatewaySettings {
    type Error = Vec<SettingsError>;

    fn try_from(file: GatewaySettingsFile) -> Result<Self, Self::Error> {
        let file = overlay(file, defaults());
        let mut check = Checker::default();
        let usage = usage_settings(&mut check, &file);
        let peers_address = check.address("peers_address", file.peers_address);
        let name = "give a name of 1 to 128 characters";
        let settings = Self {
            box_id: check.or_placeholder("box_id", file.box_id, name),
            domain: check.or_placeholder("domain", file.domain, name),
            callers: check.address("callers", file.callers),
            health: check.address("health", file.health),
            metrics: check.address("metrics", file.metrics),
            peers_address,
            seeds: seeds(&mut check, &file.seeds, peers_address.port()),
            platform: check.address("platform", file.platform),
            fleet_boxes: check.size("fleet_boxes", file.fleet_boxes, 1, 10_000),
            retries: retry_policy(
                &mut check,
                file.retry_ratio,
                file.retry_reserve,
                file.retry_window_s,
            ),
            stop_grace: seconds(
                &mut check,
                "stop_grace_s",
                file.stop_grace_s,
                (0.0, 3_600.0),
            ),
            first_start: file.first_start.unwrap_or(true),
            exposure: exposure_limit(&mut check, file.rollout_share, file.rollout_reserve),
            usage,
            gossip: check.millis("gossip_ms", file.gossip_ms, (20, 60_000)),
            watch: check.millis("watch_ms", file.watch_ms, (100, 30_000)),
            held_bytes: check.size("held_bytes", file.held_bytes, 1 << 16, 1 << 40),
            traffic_threads: check.size("traffic_threads", file.traffic_threads, 1, 64),
            log_level: check.log_level(file.log_level),
        };
        if check.errors.is_empty() {
            Ok(settings)
        } else {
            Err(check.errors)
        }
    }
}

fn seconds(
    check: &mut Checker,
    field: &str,
    value: Option<f64>,
    (least, most): (f64, f64),
) -> Duration {
    Duration::from_secs_f64(check.number(field, value, least, most))
}

/// Reads seeds; all boxes use the same port among themselves, so a port that is given is dropped.
fn seeds(check: &mut Checker, texts: &[String], port: u16) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for text in texts.iter().filter(|text| !text.is_empty()) {
        let ip = text.parse::<SocketAddr>().map(|a| a.ip());
        match ip.or_else(|_| text.parse::<IpAddr>()) {
            Ok(ip) => seeds.push(SocketAddr::new(ip, port)),
            Err(_) => check.fail("seeds", text, "give an IP number, with or without a port"),
        }
    }
    seeds
}
