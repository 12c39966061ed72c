//! Processes that the laboratory starts, and ends whatever happens.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Held while a process is started. Until its program runs, a child holds copies of all sockets that
/// were open when it was made: of 400 ports that were tried out meanwhile, 1 to 5 were then taken
/// (three runs of the test in `lab/tests/ports.rs`).
static STARTING: Mutex<()> = Mutex::new(());

/// Keeps processes from being started for as long as it is held.
pub(crate) fn hold_starts() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    /// What it is called.
    pub name: String,
    child: Child,
    /// Whether it was waited for, after which its id may be another process's.
    has_ended: AtomicBool,
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
        let starting = hold_starts();
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(decisions)
            .stderr(log)
            .spawn()?;
        drop(starting);
        Ok(Self {
            name: name.to_owned(),
            child,
            has_ended: AtomicBool::new(false),
        })
    }

    /// The process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if self.has_ended.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(pid) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.wait();
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells it that its settings may have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
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
        let status = self.child.wait().ok()?;
        self.has_ended.store(true, Ordering::Relaxed);
        status.code()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        let Ok(None) = self.child.try_wait() else {
            self.has_ended.store(true, Ordering::Relaxed);
            return false;
        };
        true
    }

    /// Its exit code, if it has ended.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        self.has_ended.store(true, Ordering::Relaxed);
        status.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
