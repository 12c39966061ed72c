//! The operators' command line.
//!
//! Every command prints for a person, or with `--json` for a program, and ends with an exit code
//! that tells what kind of failure it was.

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

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// What was given can't be used; all that is wrong with it.
    Invalid(Vec<String>),
    /// Someone else's change stands in the way.
    Conflict(String),
    /// A process or the platform can't be reached.
    Unreachable(String),
    /// A file can't be read or written.
    File(String),
}

impl CliError {
    /// The exit code: 2 for what can't be used, 3 for a conflict, 4 for what can't be reached, 1
    /// for the rest.
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

/// What a command has to say.
#[derive(Debug)]
pub struct Output {
    /// For a person.
    pub text: String,
    /// For a program.
    pub value: Value,
}

impl Output {
    /// Makes an output.
    #[must_use]
    pub fn new(text: impl Into<String>, value: Value) -> Self {
        Self {
            text: text.into(),
            value,
        }
    }
}

/// Runs the command that was given and returns the process's exit code.
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
            "no such command; see `magpiemoor --help`".to_owned(),
        ])),
    }
}

/// Runs a future to its end on this thread.
///
/// # Errors
///
/// The future's, or that no thread can do input and output.
pub fn block_on<T>(future: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::File(e.to_string()))?
        .block_on(future)
}
