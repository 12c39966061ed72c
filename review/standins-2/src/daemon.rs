//! The project's own daemon as a process, started with the command of the deploy file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Wire;
use crate::sys;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/magpiemoor-platform";

/// The ports of all daemons of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub readiness: u16,
    pub metrics: u16,
    pub internal: u16,
}

/// A loopback address of this play.
pub fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), port)
}

/// Finds a port that is free on the first loopback addresses, for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let first = TcpListener::bind(address(1, 0)).expect("a free port");
        let port = first.local_addr().expect("an address").port();
        let tcp = (2..=30).all(|ip| TcpListener::bind(address(ip, port)).is_ok());
        let udp = (1..=30).all(|ip| UdpSocket::bind(address(ip, port)).is_ok());
        if tcp && udp {
            return port;
        }
    }
}

impl Ports {
    pub fn free() -> Self {
        Self {
            front: free_port(),
            readiness: free_port(),
            metrics: free_port(),
            internal: free_port(),
        }
    }
}

/// A daemon; killed when it is dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Plans a daemon and writes its settings, as the platform fills in `deploy/gateway.jsonc`.
    pub fn plan(ip: u8, zone: &str, ports: Ports, store: SocketAddr, folder: &Path) -> Self {
        let name = format!("edge-{zone}-{ip}");
        let settings = folder.join(format!("{name}.jsonc"));
        let text = format!(
            r#"{{
  "box_id": "{name}",
  "domain": "{zone}",
  "callers": "{front}",
  "health": "{readiness}",
  "metrics": "{metrics}",
  "peers_address": "{peers}",
  "seeds": ["127.0.0.1:{internal}", "127.0.0.2:{internal}", "127.0.0.3:{internal}"],
  "platform": "{store}",
  "retry_ratio": 0.8,
  "retry_reserve": 150,
  "retry_window_s": 10,
  "stop_grace_s": 8,
  "first_start": true,
  "rollout_share": 0.1,
  "rollout_reserve": 50,
  "log_level": "info"
}}
"#,
            front = address(ip, ports.front),
            readiness = address(ip, ports.readiness),
            metrics = address(ip, ports.metrics),
            peers = address(ip, ports.internal),
            internal = ports.internal,
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        Self {
            front: address(ip, ports.front),
            readiness: address(ip, ports.readiness),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("MAGPIEMOOR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            sys::signal(child.id(), signal);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut wire) = Wire::connect(self.readiness) else {
            return false;
        };
        let _ = wire.socket.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = wire.send(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        sent.is_ok() && wire.answer().is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the daemon is ready; returns whether it is.
    pub fn until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
