//! The operators' command line.
//!
//! Every command prints text, or JSON with `--json`. The exit code of a failed command tells the
//! kind of failure.

pub mod args;
pub mod bundle;
pub mod config;
pub mod explain;
pub mod observe;
pub mod platform;

use std::fmt;
use std::process::ExitCode;

use clap::ArgMatches;
use serde_json::{Value, json};

/// The reason why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// The input is invalid; one line for each error.
    Invalid(Vec<String>),
    /// The change conflicts with a change by someone else.
    Conflict(String),
    /// A process or the platform can't be reached.
    Unreachable(String),
    /// A file can't be read or written.
    File(String),
}

impl CliError {
    /// Returns the exit code: 2 for invalid input, 3 for a conflict, 4 for a process or platform
    /// that can't be reached, 1 for a file or I/O error.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::File(_) => 1,
            Self::Invalid(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) => 4,
        }
    }

    fn lines(&self) -> Vec<String> {
        match self {
            Self::Invalid(lines) => lines.clone(),
            Self::Conflict(line) | Self::Unreachable(line) | Self::File(line) => vec![line.clone()],
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().join("\n"))
    }
}

/// The output of a command, in both forms.
#[derive(Debug)]
pub struct Output {
    /// The text, without a final line break.
    pub text: String,
    /// The value printed with `--json`.
    pub value: Value,
}

impl Output {
    /// Creates an output.
    #[must_use]
    pub fn new(text: impl Into<String>, value: Value) -> Self {
        Self {
            text: text.into(),
            value,
        }
    }
}

/// Runs the command given by `matches`, prints its output and returns the exit code of the process.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    let json = matches.get_flag("json");
    match dispatch(matches) {
        Ok(output) => {
            if json {
                println!("{}", output.value);
            } else if !output.text.is_empty() {
                println!("{}", output.text);
            }
            ExitCode::SUCCESS
        }
        Err(e) => {
            if json {
                println!("{}", json!({ "errors": e.lines() }));
            } else {
                for line in e.lines() {
                    eprintln!("magpiemoor: {line}");
                }
            }
            ExitCode::from(e.exit_code())
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<Output, CliError> {
    match matches.subcommand() {
        Some(("bundle", sub)) => bundle::run(sub),
        Some(("config", sub)) => config::run(sub),
        Some(("timeline", sub)) => observe::timeline(sub),
        Some(("status", sub)) => observe::status(sub),
        Some(("explain", sub)) => explain::run(sub),
        Some(("completions", sub)) => Ok(args::completions(sub)),
        _ => Err(CliError::Invalid(vec![
            "unknown command; see `magpiemoor --help`".to_owned(),
        ])),
    }
}

/// Runs a future to completion on this thread.
///
/// # Errors
///
/// Fails with the error of the future, or if the I/O runtime can't be started.
pub fn block_on<T>(future: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::File(e.to_string()))?
        .block_on(future)
}
