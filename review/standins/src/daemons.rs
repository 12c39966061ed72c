//! The project's daemons as separate processes, one in each of three zones, with the command of the
//! deploy file and settings after its template.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Wire;

pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// `run` of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/magpiemoor-platform";
const READY_LIMIT: Duration = Duration::from_secs(20);

/// One daemon.
pub struct Daemon {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
    later_settings: String,
}

/// All daemons; they are ended when this is dropped.
pub struct Daemons {
    pub all: Vec<Daemon>,
    folder: PathBuf,
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for daemon in &mut self.all {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Five ports that are free on all addresses: ports are alike on all machines.
fn free_ports(ips: &[String]) -> Result<[u16; 5], String> {
    let mut found = Vec::new();
    for _ in 0..500 {
        let any = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let port = any.local_addr().map_err(|e| e.to_string())?.port();
        drop(any);
        let is_free = |ip: &String| TcpListener::bind((ip.as_str(), port)).is_ok();
        if !found.contains(&port) && ips.iter().all(is_free) {
            found.push(port);
        }
        if let Ok(ports) = found.clone().try_into() {
            return Ok(ports);
        }
    }
    Err("no free ports".to_owned())
}

fn settings(
    name: &str,
    zone: &str,
    ip: &str,
    ports: &[u16; 5],
    seeds: &str,
    platform: SocketAddr,
    first: bool,
) -> String {
    let [front, readiness, metrics, peers, _] = ports;
    format!(
        r#"{{
  "box_id": "{name}", "domain": "{zone}",
  "callers": "{ip}:{front}", "health": "{ip}:{readiness}",
  "metrics": "{ip}:{metrics}", "peers_address": "{ip}:{peers}",
  "seeds": [{seeds}], "platform": "{platform}",
  "retry_ratio": 0.8, "retry_reserve": 150, "retry_window_s": 10,
  "stop_grace_s": 8, "first_start": {first}, "log_level": "info"
}}
"#
    )
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let output = File::options()
        .create(true)
        .append(true)
        .open(log)
        .map_err(|e| e.to_string())?;
    Command::new(PROGRAM)
        .env("MAGPIEMOOR_CONFIG", settings)
        .stdin(Stdio::null())
        .stderr(output.try_clone().map_err(|e| e.to_string())?)
        .stdout(output)
        .spawn()
        .map_err(|e| format!("{PROGRAM}: {e}"))
}

impl Daemons {
    /// Starts a daemon in each zone and waits until all are ready.
    pub fn start(platform: SocketAddr) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let ips: Vec<String> = (1..=3).map(|n| format!("127.0.1.{n}")).collect();
        let ports = free_ports(&ips)?;
        let seeds: Vec<String> = ips
            .iter()
            .map(|ip| format!(r#""{ip}:{}""#, ports[4]))
            .collect();
        let mut daemons = Self {
            all: Vec::new(),
            folder,
        };
        for (zone, ip) in ZONES.iter().zip(&ips) {
            let name = format!("edge-{zone}-1");
            let file = daemons.folder.join(format!("{name}.json"));
            let log = daemons.folder.join(format!("{name}.log"));
            let text = |first| settings(&name, zone, ip, &ports, &seeds.join(","), platform, first);
            let later_settings = text(false);
            fs::write(&file, text(true)).map_err(|e| e.to_string())?;
            let child = spawn(&file, &log)?;
            let address = |port: u16| {
                format!("{ip}:{port}")
                    .parse()
                    .map_err(|_| "address".to_owned())
            };
            daemons.all.push(Daemon {
                front: address(ports[0])?,
                readiness: address(ports[1])?,
                settings: file,
                child,
                later_settings,
            });
        }
        let end = Instant::now() + READY_LIMIT;
        while !daemons.all.iter().all(Daemon::is_ready) {
            if Instant::now() >= end {
                return Err("the daemons are not ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // Only the very first start of the whole system has `bootstrap`.
        for daemon in &daemons.all {
            fs::write(&daemon.settings, &daemon.later_settings).map_err(|e| e.to_string())?;
        }
        Ok(daemons)
    }
}

impl Daemon {
    fn is_ready(&self) -> bool {
        is_ready(self.readiness)
    }
}

/// Asks a daemon whether it is ready.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let limit = Duration::from_millis(500);
    let ask = || -> std::io::Result<bool> {
        let mut wire = Wire::connect(readiness, limit)?;
        wire.socket.set_read_timeout(Some(limit))?;
        wire.send(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        Ok(wire.read()?.is_some_and(|answer| answer.status() == 200))
    };
    ask().unwrap_or(false)
}
