//! How a daemon ends: the reasons, the exit code of each, and the last line of its log.
//!
//! [`finish`] is the only way out of a daemon's command line. A process that ends without its last
//! line was killed by a signal or by the operating system; a panic of any thread leaves its message
//! and place on standard error, and so does a failed allocation, after which the process aborts.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use crate::settings::SettingsError;

/// Exit code of a daemon that can't run on this machine.
const CANNOT_RUN: u8 = 1;
/// Exit code of a daemon whose settings are invalid or whose log can't be opened.
pub const BAD_SETTINGS: u8 = 2;
/// Exit code of a daemon whose control thread panicked.
pub const CONTROL_PANICKED: u8 = 3;

/// The reason why a daemon ends without having been asked to.
#[derive(Debug)]
pub enum DaemonError {
    /// The settings can't be used.
    Settings(Vec<SettingsError>),
    /// The log can't be opened.
    Log(String),
    /// A socket can't be bound to its address.
    Listen {
        /// The name of the setting that holds the address.
        setting: &'static str,
        /// The address as set.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The operating system refused to start a thread.
    Threads(io::Error),
    /// The control thread panicked, and nothing decides any more.
    ControlPanicked,
}

impl DaemonError {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Log(_) => BAD_SETTINGS,
            Self::Listen { .. } | Self::Threads(_) => CANNOT_RUN,
            Self::ControlPanicked => CONTROL_PANICKED,
        }
    }
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&texts.join("; "))
            }
            Self::Log(error) => f.write_str(error),
            Self::Listen {
                setting,
                address,
                error,
            } => {
                write!(
                    f,
                    "{setting} = {address}: {error}; set it to a free address of this box"
                )
            }
            Self::Threads(error) => {
                write!(
                    f,
                    "threads can't be started: {error}; raise the thread limit of this user"
                )
            }
            Self::ControlPanicked => f.write_str(
                "the control thread panicked; its message is on standard error, report it",
            ),
        }
    }
}

impl std::error::Error for DaemonError {}

/// Writes the last line of a daemon's log, which names the reason of its end; returns its exit code.
///
/// The line goes to standard error, since the log may be what couldn't be opened.
#[must_use]
pub fn finish(program: &str, result: Result<(), DaemonError>) -> ExitCode {
    let (code, reason) = match result {
        Ok(()) => (0, "asked to stop".to_owned()),
        Err(e) => (e.exit_code(), e.to_string()),
    };
    // Standard error may be closed; the exit code still tells the reason.
    let _ = io::Write::write_fmt(
        &mut io::stderr(),
        format_args!("{program}: exits with code {code}: {reason}\n"),
    );
    ExitCode::from(code)
}
