//! The daemon of an entry box.

use std::path::PathBuf;
use std::process::ExitCode;

use magpiemoor::keyed::daemon;
use magpiemoor::keyed::settings::{Settings, args, overlay};
use magpiemoor::logs;
use magpiemoor::schema::SettingsFile;
use magpiemoor::settings::{SettingsError, file};

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let settings = match read_settings(&matches) {
        Ok(settings) => settings,
        Err(errors) => {
            for e in errors {
                eprintln!("magpiemoord: {e}");
            }
            return ExitCode::from(2);
        }
    };
    if let Err(e) = logs::start(settings.log_file.as_deref(), settings.log_level) {
        eprintln!("magpiemoord: {e}");
        return ExitCode::from(2);
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(matches: &clap::ArgMatches) -> Result<Settings, Vec<SettingsError>> {
    let written = match matches.get_one::<PathBuf>("settings") {
        Some(path) => file::read(path)?,
        None => SettingsFile::default(),
    };
    Settings::try_from(overlay(args::overrides(matches), written))
}
