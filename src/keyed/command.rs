//! The command line of `magpiemoord`: reads the settings, starts logging, and runs the daemon.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::exit::{DaemonError, finish};
use crate::keyed::daemon;
use crate::keyed::settings::{Settings, overlay};
use crate::schema::SettingsFile;
use crate::settings::{SettingsError, file};
use crate::{logs, signals};

/// Builds the daemon's command line.
#[must_use]
pub fn command() -> Command {
    Command::new("magpiemoord")
        .about("The daemon of an entry box: serves callers through engines that may fail")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .short('s')
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, JSON with comments; without it the defaults hold"),
        )
        .arg(text("box-id", "NAME", "Name of this entry box"))
        .arg(text("domain", "NAME", "Failure domain of this entry box"))
        .arg(text("callers", "IP:PORT", "Address for callers"))
        .arg(text("peers-address", "IP:PORT", "Address for other boxes"))
        .arg(text("operators", "IP:PORT", "Address for operators"))
        .arg(text(
            "platform",
            "IP:PORT",
            "Address of the platform's object API",
        ))
        .arg(text(
            "log-level",
            "LEVEL",
            "off, error, warn, info, debug or trace",
        ))
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Returns the settings that were given on the command line.
#[must_use]
pub fn overrides(matches: &ArgMatches) -> SettingsFile {
    let given = |name: &str| matches.get_one::<String>(name).cloned();
    SettingsFile {
        box_id: given("box-id"),
        domain: given("domain"),
        callers: given("callers"),
        peers_address: given("peers-address"),
        operators: given("operators"),
        platform: given("platform"),
        log_level: given("log-level"),
        ..SettingsFile::default()
    }
}

/// Runs the daemon with these arguments until it has stopped.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    signals::ignore_hangup();
    let matches = command().get_matches_from(arguments);
    finish("magpiemoord", run_daemon(&matches))
}

fn run_daemon(matches: &ArgMatches) -> Result<(), DaemonError> {
    let settings = file::read_at_start(|| read_settings(matches)).map_err(DaemonError::Settings)?;
    logs::start(settings.log_file.as_deref(), settings.log_level).map_err(DaemonError::Log)?;
    daemon::run(settings)
}

fn read_settings(matches: &ArgMatches) -> Result<Settings, Vec<SettingsError>> {
    let written = match matches.get_one::<PathBuf>("settings") {
        Some(path) => file::read(path)?,
        None => SettingsFile::default(),
    };
    Settings::try_from(overlay(overrides(matches), written))
}
