//! What all plays share: the folder, the record, the configuration and the verdict.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The host of all routes.
pub const HOST: &str = "shop.example";
/// The key of the usual tenant.
pub const KEY: &str = "key-of-shop";
/// The usual tenants, each with its key.
pub const TENANTS: [(&str, &str); 1] = [("shop", KEY)];

/// How a play ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The play could not run.
    Unplayed,
}

impl Verdict {
    pub fn code(&self) -> u8 {
        match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::Unplayed => 2,
        }
    }
}

/// The record of a play; clones write to the same file.
#[derive(Clone)]
pub struct Play {
    pub folder: PathBuf,
    pub has_trouble: bool,
    started: Instant,
    record: Arc<Mutex<File>>,
}

impl Play {
    /// Starts a play that writes its record into the folder of its case.
    pub fn start(case: &str) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            folder,
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            started: Instant::now(),
            record: Arc::new(Mutex::new(File::create(format!("{case}/record.txt"))?)),
        })
    }

    /// Writes a line with the time since the start.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = record.write_all(line.as_bytes());
    }

    /// Removes the temporary folder.
    pub fn end(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A route of a configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub attempts: u32,
}

/// A service of a configuration; an engine has slots and KV memory.
pub struct Service {
    pub name: &'static str,
    pub engine_slots: Option<u32>,
}

/// A configuration as the operator writes it; `tenants` have a name and a key.
pub fn config(
    version: u64,
    routes: &[Route],
    services: &[Service],
    tenants: &[(&str, &str)],
) -> String {
    let routes = routes.iter().map(|route| {
        let is_stream = route.kind == "streaming";
        format!(
            r#"{{"name":"r{}","host":"{HOST}","pathPrefix":"{}","type":"{}","timeoutMs":{},"targetLatencyMs":{},"priority":1,"service":"{}","maxAttempts":{},"anonymous":false,"sessionAffinity":{is_stream},"streamResume":{is_stream},"targetGapMs":700}}"#,
            route.prefix.replace('/', "-"), route.prefix, route.kind, route.timeout_ms, route.target_ms, route.service, route.attempts
        )
    });
    let services = services.iter().map(|service| {
        let engine = service.engine_slots.map_or(String::new(), |slots| {
            format!(r#","engine":{{"slots":{slots},"kvCapacityTokens":55000,"kvBytes":327680,"linkMbps":260000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"kvHandleS":4.0,"models":[{{"name":"m"}}]}}"#)
        });
        format!(r#"{{"name":"{}","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false{engine}}}"#, service.name)
    });
    let tenants = tenants
        .iter()
        .map(|(name, key)| format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1}}"#));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(","),
        tenants.collect::<Vec<_>>().join(",")
    )
}

/// An entry of the list of servers.
pub fn server_entry(service: &str, address: &str, zone: &str, slots: u32, state: &str) -> String {
    versioned_entry(service, "v1", address, zone, slots, state)
}

/// An entry of the list of servers, of a version of their software.
pub fn versioned_entry(
    service: &str,
    version: &str,
    address: &str,
    zone: &str,
    slots: u32,
    state: &str,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","coldRemainingMs":0,"sequence":1}}"#
    )
}
