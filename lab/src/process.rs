//! Processes that the laboratory starts, and ends whatever happens.

use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    /// What it is called.
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts this program again with other arguments; its output goes to `log`.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start(name: &str, args: &[&str], log: &Path) -> std::io::Result<Self> {
        Self::start_program(&std::env::current_exe()?, name, args, log)
    }

    /// Starts a program; its output goes to `log`.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start_program(
        program: &Path,
        name: &str,
        args: &[&str],
        log: &Path,
    ) -> std::io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let decisions = log.try_clone()?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(decisions)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// The process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits until it has ended; returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok()?.code()
    }

    /// Its exit code, if it has ended.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok()??.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The ports that are tried: below those that the system gives to outgoing connections, which could
/// otherwise take the port of a process that is about to be started again.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// How far apart the first ports of two processes lie.
const PORTS_PER_PROCESS: u32 = 100;

/// Finds ports of the loopback address that are free now; no two calls in a process get the same
/// one before all have been tried.
///
/// # Errors
///
/// That there are none.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    let all = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id() % (all / PORTS_PER_PROCESS) * PORTS_PER_PROCESS;
    let mut ports = Vec::new();
    for _ in 0..all {
        if ports.len() == count {
            return Ok(ports);
        }
        let place = (first + TRIED.fetch_add(1, Ordering::Relaxed)) % all;
        let port = PORTS.start + place as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
        }
    }
    Err(std::io::Error::other(
        "no free ports; end processes that listen",
    ))
}
