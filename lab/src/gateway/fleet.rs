//! A small deployment of the platform on the loopback address: store, servers, and the settings of
//! gateway boxes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use super::caller::connect;
use super::server::{Copies, Pace, Server};
use super::store::Store;
use crate::ports::free_ports;
use crate::process::Process;

/// The host of all routes.
pub const HOST: &str = "shop.example";
/// The key of the only organisation.
pub const KEY: &str = "key-of-shop";
/// Where streams go.
pub const STREAMS: &str = "/streams/";
/// Where calls go that may be repeated.
pub const QUOTES: &str = "/quotes/";
/// Where calls go that run at most once.
pub const PAYMENTS: &str = "/payments/";
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// The deployment.
pub struct Outside {
    /// The store.
    pub store: Store,
    /// Model servers, by turns in two zones.
    pub models: Vec<Server>,
    /// Plain services, by turns in two zones.
    pub tills: Vec<Server>,
    /// Copies of runs, shared by all model servers.
    pub copies: Copies,
    /// Where settings and logs lie.
    pub folder: PathBuf,
}

impl Drop for Outside {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The addresses of a gateway box.
#[derive(Clone, Debug)]
pub struct BoxPlan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub health: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its log.
    pub log: PathBuf,
}

/// How a gateway box is started.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// The program.
    pub program: PathBuf,
    /// Its arguments before the settings file.
    pub args: Vec<&'static str>,
}

impl Launcher {
    /// Starts boxes by running this program again.
    ///
    /// # Errors
    ///
    /// If the system doesn't tell which program this is.
    pub fn this_program() -> std::io::Result<Self> {
        Ok(Self {
            program: std::env::current_exe()?,
            args: vec!["gateway", "--settings"],
        })
    }

    /// Starts a box.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start(&self, plan: &BoxPlan) -> std::io::Result<Process> {
        let mut args = self.args.clone();
        args.push(plan.settings.to_str().unwrap_or_default());
        Process::start_program(&self.program, &plan.name, &args, &plan.log)
    }
}

/// The zone of the server or box with a number.
#[must_use]
pub fn zone(number: usize) -> &'static str {
    if number.is_multiple_of(2) {
        "north"
    } else {
        "south"
    }
}

/// The configuration with all routes.
#[must_use]
pub fn config(version: u64) -> Value {
    config_with(version, &[STREAMS, QUOTES, PAYMENTS], &[KEY])
}

/// A configuration with some of the routes and these keys.
#[must_use]
pub fn config_with(version: u64, paths: &[&str], keys: &[&str]) -> Value {
    let routes: Vec<Value> = paths.iter().map(|path| route(path)).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "models", "healthPath": "/healthz", "maxConnections": 100, "engine": {
                "slots": 8, "kvCapacityTokens": 55000, "backups": true, "moves": true, "kvHandleS": 4.0}},
            {"name": "tills", "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "shop", "apiKeys": keys, "priority": 1}],
    })
}

fn route(path: &str) -> Value {
    let (kind, service) = match path {
        STREAMS => ("streaming", "models"),
        QUOTES => ("safe", "tills"),
        _ => ("unsafe", "tills"),
    };
    let is_stream = path == STREAMS;
    json!({
        "name": path, "host": HOST, "pathPrefix": path, "type": kind, "service": service,
        "timeoutMs": if is_stream { 25000 } else { 3000 },
        "targetLatencyMs": if is_stream { 4500 } else { 1000 },
        "priority": 1, "maxAttempts": if is_stream { 5 } else { 2 }, "anonymous": false,
        "sessionAffinity": is_stream, "streamResume": is_stream, "targetGapMs": 700,
    })
}

impl Outside {
    /// Starts store and servers and writes the first configuration.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start(models: usize, tills: usize, pace: Pace) -> std::io::Result<Self> {
        let store = Store::start().await?;
        let copies = Copies::default();
        let folder =
            std::env::temp_dir().join(format!("magpiemoor-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&folder)?;
        let mut outside = Self {
            store,
            models: Vec::new(),
            tills: Vec::new(),
            copies: copies.clone(),
            folder,
        };
        for number in 0..models {
            let server =
                Server::start(&format!("model-{number}"), copies.clone(), pace.clone()).await?;
            outside.list(&server, "models", zone(number), "ready");
            outside.models.push(server);
        }
        for number in 0..tills {
            let server =
                Server::start(&format!("till-{number}"), copies.clone(), pace.clone()).await?;
            outside.list(&server, "tills", zone(number), "ready");
            outside.tills.push(server);
        }
        outside.store.put("config", "main", &config(1));
        Ok(outside)
    }

    /// Lists a server in the store.
    pub fn list(&self, server: &Server, service: &str, zone: &str, state: &str) {
        self.list_version(server, service, zone, state, "v1");
    }

    /// Lists a server of a version in the store.
    pub fn list_version(
        &self,
        server: &Server,
        service: &str,
        zone: &str,
        state: &str,
        version: &str,
    ) {
        let spec = json!({
            "service": service, "address": server.address().to_string(), "zone": zone,
            "version": version, "slots": 8, "state": state, "coldRemainingMs": 0, "sequence": 1,
            "born": server.born,
        });
        self.store.put("servers", &server.id, &spec);
    }

    /// Plans boxes and writes their settings: each has an address of its own, all the same ports.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn plan(&self, count: usize) -> std::io::Result<Vec<BoxPlan>> {
        let ports = free_ports(4)?;
        let ip = |number: usize| format!("127.0.0.{}", number + 1);
        let seeds: Vec<String> = (0..count.min(3)).map(ip).collect();
        let mut plans = Vec::new();
        for number in 0..count {
            let at = |port: usize| format!("{}:{}", ip(number), ports[port]);
            let name = format!("box-{number}");
            let settings = json!({
                "box_id": name, "domain": zone(number),
                "callers": at(0), "health": at(1), "metrics": at(2), "peers_address": at(3),
                "seeds": seeds, "platform": self.store.address().to_string(),
                "gossip_ms": 50, "watch_ms": 500, "retry_ratio": 1.0, "retry_reserve": 1000.0,
            });
            let file = self.folder.join(format!("{name}.jsonc"));
            std::fs::write(&file, settings.to_string())?;
            plans.push(BoxPlan {
                callers: at(0).parse().map_err(std::io::Error::other)?,
                health: at(1).parse().map_err(std::io::Error::other)?,
                settings: file,
                log: self.folder.join(format!("{name}.log")),
                zone: zone(number),
                name,
            });
        }
        Ok(plans)
    }
}

/// Asks a box whether it is ready.
pub async fn is_ready(plan: &BoxPlan) -> bool {
    let Ok(mut wire) = connect(plan.health).await else {
        return false;
    };
    let asked = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
    if wire.send(asked).await.is_err() {
        return false;
    }
    wire.read_answer().await.is_ok_and(|a| a.status() == 200)
}

/// Waits until a condition holds.
pub async fn until<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    while !condition().await {
        tokio::time::sleep(LOOK).await;
    }
}
