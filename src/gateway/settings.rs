//! Settings of a gateway box.
//!
//! Input is a settings file; [`defaults`] fills in the fields that it lacks. Every field is checked
//! against its range, and all errors of a file are returned together. The result is a
//! [`GatewaySettings`], whose values need no further check.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;

use crate::gateway::dispatch::duty::DutyPolicy;
use crate::gateway::dispatch::retry_budget::RetryPolicy;
use crate::gateway::dispatch::rollout::exposure::ExposureLimit;
use crate::schema::{BoxId, DomainId, GatewaySettingsFile};
use crate::settings::{Checker, SettingsError, file};

/// Minimum share of requests for a new version. With a share of 0 a roll-out would never get a
/// verdict.
const MIN_ROLLOUT_SHARE: f64 = 0.001;
/// Maximum number of requests for a new version in addition to its share.
const MAX_ROLLOUT_RESERVE: f64 = 1e6;

/// Allowed range of the length of a usage window and of the time for its report, in seconds.
const USAGE_TIME_RANGE_S: (f64, f64) = (0.1, 86_400.0);
/// Allowed range of the duration of a lease, in milliseconds.
const LEASE_RANGE_MS: (u64, u64) = (500, 600_000);

/// Settings of usage reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSettings {
    /// Address to which reports are sent.
    pub address: SocketAddr,
    /// Length of the windows, deadline of the reports and lease of the box that sends them.
    pub policy: DutyPolicy,
}

/// Checked settings of a gateway box.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this box, unique in the fleet.
    pub box_id: BoxId,
    /// Failure domain of this box.
    pub domain: DomainId,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub health: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address for other boxes, over UDP and TCP.
    pub peers_address: SocketAddr,
    /// Boxes to which the first gossip is sent.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Minimum number of boxes among which the retry budget is divided, from 1 to 10,000.
    pub fleet_boxes: usize,
    /// Bounds on retries.
    pub retries: RetryPolicy,
    /// Maximum duration of a graceful stop, from 0 to 3,600 s.
    pub stop_grace: Duration,
    /// Whether the fleet starts for the first time, so that no caller can have lost a box before.
    pub first_start: bool,
    /// Limit on the requests that a version may get before the time of its roll-out order has
    /// passed.
    pub exposure: ExposureLimit,
    /// Usage reports; `None` if usage is not reported.
    pub usage: Option<UsageSettings>,
    /// Interval between gossip messages, from 20 ms to 60 s.
    pub gossip: Duration,
    /// Timeout of a watch request to the platform's store, from 100 ms to 30 s.
    pub watch: Duration,
    /// Maximum total size of buffered request bodies in bytes, from 64 KiB to 1 TiB.
    pub held_bytes: usize,
    /// Number of threads that serve connections, from 1 to 64.
    pub traffic_threads: usize,
    /// Level of the process log.
    pub log_level: LevelFilter,
}

/// Returns the settings that apply where the file gives no value.
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
        watch_ms: Some(1_600),
        held_bytes: Some(64 << 20),
        traffic_threads: Some(1),
        log_level: Some("info".to_owned()),
    }
}

/// Reads and checks the settings file at `path`; missing fields get their defaults.
///
/// # Errors
///
/// Returns all errors of the file, each with the field, its value and a remedy.
pub fn read(path: &Path) -> Result<GatewaySettings, Vec<SettingsError>> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        let remedy = format!("{e}; name a readable settings file");
        vec![SettingsError::new(
            file::WHOLE_FILE,
            &path.display().to_string(),
            &remedy,
        )]
    })?;
    GatewaySettings::try_from(file::parse_as::<GatewaySettingsFile>(&text)?)
}

/// Merges two sets of settings; values of `file` take precedence over those of `fallback`.
fn merge(file: GatewaySettingsFile, fallback: GatewaySettingsFile) -> GatewaySettingsFile {
    GatewaySettingsFile {
        box_id: file.box_id.or(fallback.box_id),
        domain: file.domain.or(fallback.domain),
        callers: file.callers.or(fallback.callers),
        health: file.health.or(fallback.health),
        metrics: file.metrics.or(fallback.metrics),
        peers_address: file.peers_address.or(fallback.peers_address),
        seeds: file.seeds,
        platform: file.platform.or(fallback.platform),
        fleet_boxes: file.fleet_boxes.or(fallback.fleet_boxes),
        retry_ratio: file.retry_ratio.or(fallback.retry_ratio),
        retry_reserve: file.retry_reserve.or(fallback.retry_reserve),
        retry_window_s: file.retry_window_s.or(fallback.retry_window_s),
        stop_grace_s: file.stop_grace_s.or(fallback.stop_grace_s),
        first_start: file.first_start.or(fallback.first_start),
        rollout_share: file.rollout_share.or(fallback.rollout_share),
        rollout_reserve: file.rollout_reserve.or(fallback.rollout_reserve),
        usage_reports: file.usage_reports.or(fallback.usage_reports),
        usage_window_s: file.usage_window_s.or(fallback.usage_window_s),
        usage_late_s: file.usage_late_s.or(fallback.usage_late_s),
        lease_ms: file.lease_ms.or(fallback.lease_ms),
        gossip_ms: file.gossip_ms.or(fallback.gossip_ms),
        watch_ms: file.watch_ms.or(fallback.watch_ms),
        held_bytes: file.held_bytes.or(fallback.held_bytes),
        traffic_threads: file.traffic_threads.or(fallback.traffic_threads),
        log_level: file.log_level.or(fallback.log_level),
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
        share: check.number("rollout_share", share, MIN_ROLLOUT_SHARE, 1.0),
        reserve: check.number("rollout_reserve", reserve, 0.0, MAX_ROLLOUT_RESERVE),
    }
}

/// Returns the settings of usage reports, if the file has an address for them.
fn usage_settings(check: &mut Checker, file: &GatewaySettingsFile) -> Option<UsageSettings> {
    let address = check.address("usage_reports", Some(file.usage_reports.clone()?));
    let (window, late) = (file.usage_window_s, file.usage_late_s);
    Some(UsageSettings {
        address,
        policy: DutyPolicy {
            window: seconds(check, "usage_window_s", window, USAGE_TIME_RANGE_S),
            late: seconds(check, "usage_late_s", late, USAGE_TIME_RANGE_S),
            lease: check.millis("lease_ms", file.lease_ms, LEASE_RANGE_MS),
        },
    })
}

impl TryFrom<GatewaySettingsFile> for GatewaySettings {
    type Error = Vec<SettingsError>;

    fn try_from(file: GatewaySettingsFile) -> Result<Self, Self::Error> {
        let file = merge(file, defaults());
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
    (min, max): (f64, f64),
) -> Duration {
    Duration::from_secs_f64(check.number(field, value, min, max))
}

/// Parses the seed addresses. All boxes use the same port for each other, so a port in the text is
/// ignored.
fn seeds(check: &mut Checker, texts: &[String], port: u16) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for text in texts.iter().filter(|text| !text.is_empty()) {
        let ip = text.parse::<SocketAddr>().map(|a| a.ip());
        match ip.or_else(|_| text.parse::<IpAddr>()) {
            Ok(ip) => seeds.push(SocketAddr::new(ip, port)),
            Err(_) => check.fail("seeds", text, "give an IP address, with or without a port"),
        }
    }
    seeds
}
