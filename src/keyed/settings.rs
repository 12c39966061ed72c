//! The settings of an entry box of the product's own face: defaults, the settings file and the
//! command line meet here in one checked struct.

pub mod defaults;

use std::net::SocketAddr;
use std::time::Duration;

use ed25519_dalek::VerifyingKey;
use log::LevelFilter;

use crate::keyed::bundle::TrustedKeys;
use crate::schema::{BoxId, DomainId, PeerSeed, SettingsFile, TrustedKey};
use crate::settings::{Checker, SettingsError, placeholder};

pub use defaults::defaults;

/// The least time between heartbeats, below which they would crowd out traffic.
const MIN_HEARTBEAT_MS: u64 = 20;
/// How many heartbeats a lease must span, so that one lost packet costs nothing.
const HEARTBEATS_PER_LEASE: u64 = 4;
/// The greatest body that may be allowed, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// How a broken generation is made good.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recovery {
    /// Resume from the tokens held, suspecting by cost.
    Resume,
    /// Baseline: generate again from the prompt.
    Restart,
    /// Baseline: resume after a fixed time-out.
    Timeout,
    /// Baseline: run every generation twice.
    Hedge,
}

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Routing {
    /// The least expected cost.
    Cost,
    /// Baseline: any endpoint that serves the request.
    Random,
    /// Baseline: the least loaded endpoint.
    LeastLoaded,
}

/// The checked settings of an entry box.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This box.
    pub box_id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other boxes connect, by TCP and UDP.
    pub peers_address: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// All failure domains.
    pub domains: Vec<DomainId>,
    /// Boxes to speak to first.
    pub seeds: Vec<PeerSeed>,
    /// Keys that bundles may be signed with.
    pub trusted: TrustedKeys,
    /// How long a read of the roster lets this box act.
    pub lease: Duration,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// How far two clocks may drift apart over one lease.
    pub clock_bound: Duration,
    /// The greatest request body in bytes.
    pub max_body_bytes: usize,
    /// How many requests are held at once.
    pub max_requests: usize,
    /// How many tokens of answers are held at once.
    pub max_tokens_held: usize,
    /// How long a stop waits for streams.
    pub stop_grace: Duration,
    /// How many events the time line keeps.
    pub timeline_events: usize,
    /// Threads that move bytes.
    pub traffic_threads: usize,
    /// File for logs, if not standard error.
    pub log_file: Option<String>,
    /// How much is logged.
    pub log_level: LevelFilter,
    /// How broken generations are made good.
    pub recovery: Recovery,
    /// How endpoints are chosen.
    pub routing: Routing,
}

/// Lays settings over others: what `upper` gives, wins.
#[must_use]
pub fn overlay(upper: SettingsFile, lower: SettingsFile) -> SettingsFile {
    fn list<T>(upper: Vec<T>, lower: Vec<T>) -> Vec<T> {
        if upper.is_empty() { lower } else { upper }
    }
    SettingsFile {
        box_id: upper.box_id.or(lower.box_id),
        domain: upper.domain.or(lower.domain),
        callers: upper.callers.or(lower.callers),
        peers_address: upper.peers_address.or(lower.peers_address),
        operators: upper.operators.or(lower.operators),
        platform: upper.platform.or(lower.platform),
        domains: list(upper.domains, lower.domains),
        seeds: list(upper.seeds, lower.seeds),
        trusted_keys: list(upper.trusted_keys, lower.trusted_keys),
        signatures_needed: upper.signatures_needed.or(lower.signatures_needed),
        lease_ms: upper.lease_ms.or(lower.lease_ms),
        heartbeat_ms: upper.heartbeat_ms.or(lower.heartbeat_ms),
        clock_bound_ms: upper.clock_bound_ms.or(lower.clock_bound_ms),
        max_body_bytes: upper.max_body_bytes.or(lower.max_body_bytes),
        max_requests: upper.max_requests.or(lower.max_requests),
        max_tokens_held: upper.max_tokens_held.or(lower.max_tokens_held),
        stop_grace_ms: upper.stop_grace_ms.or(lower.stop_grace_ms),
        timeline_events: upper.timeline_events.or(lower.timeline_events),
        traffic_threads: upper.traffic_threads.or(lower.traffic_threads),
        log_file: upper.log_file.or(lower.log_file),
        log_level: upper.log_level.or(lower.log_level),
        recovery: upper.recovery.or(lower.recovery),
        routing: upper.routing.or(lower.routing),
    }
}

impl TryFrom<SettingsFile> for Settings {
    type Error = Vec<SettingsError>;

    /// Checks settings; whatever the file leaves out has its default.
    fn try_from(file: SettingsFile) -> Result<Self, Self::Error> {
        let file = overlay(file, defaults());
        let mut check = Checker::default();
        let heartbeat_ms = check.range("heartbeat_ms", file.heartbeat_ms, MIN_HEARTBEAT_MS, 10_000);
        let least_lease = heartbeat_ms * HEARTBEATS_PER_LEASE;
        let lease_ms = check.range("lease_ms", file.lease_ms, least_lease, 600_000);
        let clock_bound_ms = check.range("clock_bound_ms", file.clock_bound_ms, 1, lease_ms);
        let domain: Option<DomainId> = check.parse("domain", file.domain, "give a name");
        let domains = check.domains(&file.domains, domain.as_ref());
        let trusted = check.keys(&file.trusted_keys, file.signatures_needed);
        let settings = Self {
            box_id: check.or_placeholder("box_id", file.box_id, "give a name"),
            domain: domain.unwrap_or_else(|| placeholder("domain")),
            callers: check.address("callers", file.callers),
            peers_address: check.address("peers_address", file.peers_address),
            operators: check.address("operators", file.operators),
            platform: check.address("platform", file.platform),
            domains,
            seeds: check.seeds(file.seeds),
            trusted,
            lease: Duration::from_millis(lease_ms),
            heartbeat: Duration::from_millis(heartbeat_ms),
            clock_bound: Duration::from_millis(clock_bound_ms),
            max_body_bytes: check.size(
                "max_body_bytes",
                file.max_body_bytes,
                1_024,
                MAX_BODY_BYTES,
            ),
            max_requests: check.size("max_requests", file.max_requests, 1, 1_000_000),
            max_tokens_held: check.size("max_tokens_held", file.max_tokens_held, 1_000, 1 << 30),
            stop_grace: check.millis("stop_grace_ms", file.stop_grace_ms, (0, 3_600_000)),
            timeline_events: check.size("timeline_events", file.timeline_events, 1, 1_000_000),
            traffic_threads: check.size("traffic_threads", file.traffic_threads, 1, 64),
            log_file: file.log_file.filter(|f| !f.is_empty()),
            log_level: check.log_level(file.log_level),
            recovery: check.recovery(file.recovery),
            routing: check.routing(file.routing),
        };
        if check.errors.is_empty() {
            Ok(settings)
        } else {
            Err(check.errors)
        }
    }
}

impl Checker {
    fn domains(&mut self, names: &[String], own: Option<&DomainId>) -> Vec<DomainId> {
        let mut domains: Vec<DomainId> = Vec::new();
        for name in names {
            let Ok(domain) = name.parse::<DomainId>() else {
                self.fail("domains", name, "give every failure domain a name");
                continue;
            };
            if name.contains(crate::schema::RequestKey::DOMAIN_MARK) {
                self.fail(
                    "domains",
                    name,
                    "leave `~` out of names; it marks the domain in a key",
                );
            }
            domains.push(domain);
        }
        if let Some(own) = own
            && !domains.contains(own)
        {
            self.fail(
                "domains",
                &names.join(", "),
                "add this box's own domain to the list",
            );
        }
        domains.sort();
        domains.dedup();
        domains
    }

    fn seeds(&mut self, seeds: Vec<PeerSeed>) -> Vec<PeerSeed> {
        for seed in &seeds {
            if seed.address.parse::<SocketAddr>().is_err() {
                let remedy = format!("give seed {} an IP number and a port", seed.id);
                self.fail("seeds", &seed.address, &remedy);
            }
        }
        seeds
    }

    fn keys(&mut self, trusted: &[TrustedKey], needed: Option<u64>) -> TrustedKeys {
        let mut keys = Vec::new();
        for key in trusted {
            match parse_key(&key.public) {
                Some(public) => keys.push((key.id.clone(), public)),
                None => self.fail(
                    "trusted_keys",
                    &key.public,
                    &format!(
                        "give key {} as 64 hex digits, as `bundle keygen` prints it",
                        key.id
                    ),
                ),
            }
        }
        let most = u64::try_from(keys.len().max(1)).unwrap_or(1);
        let needed = self.size("signatures_needed", needed, 1, most);
        TrustedKeys { keys, needed }
    }

    fn recovery(&mut self, value: Option<String>) -> Recovery {
        match value.as_deref() {
            Some("resume") => return Recovery::Resume,
            Some("restart") => return Recovery::Restart,
            Some("timeout") => return Recovery::Timeout,
            Some("hedge") => return Recovery::Hedge,
            _ => {}
        }
        self.fail(
            "recovery",
            &value.unwrap_or_default(),
            "use resume, restart, timeout or hedge",
        );
        Recovery::Resume
    }

    fn routing(&mut self, value: Option<String>) -> Routing {
        match value.as_deref() {
            Some("cost") => return Routing::Cost,
            Some("random") => return Routing::Random,
            Some("least_loaded") => return Routing::LeastLoaded,
            _ => {}
        }
        self.fail(
            "routing",
            &value.unwrap_or_default(),
            "use cost, random or least_loaded",
        );
        Routing::Cost
    }
}

/// Reads a public key from hex.
#[must_use]
pub fn parse_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}
