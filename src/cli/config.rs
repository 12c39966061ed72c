//! `magpiemoor config`: checks a settings file and prints the sample.

use std::path::Path;

use clap::ArgMatches;
use serde_json::json;

use crate::cli::{CliError, Output};
use crate::keyed::settings::Settings;
use crate::settings::{SettingsError, file};

/// The commented sample settings file, whose values equal the defaults.
pub const SAMPLE: &str = include_str!("../../samples/magpiemoord.jsonc");

/// Runs a `config` subcommand.
///
/// # Errors
///
/// Fails with all errors of the settings.
pub fn run(matches: &ArgMatches) -> Result<Output, CliError> {
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("sample", _)) => Ok(Output::new(SAMPLE.trim_end(), json!({ "sample": SAMPLE }))),
        _ => Err(CliError::Invalid(vec![
            "unknown command; see `magpiemoor config --help`".to_owned(),
        ])),
    }
}

fn check(matches: &ArgMatches) -> Result<Output, CliError> {
    let path = matches
        .get_one::<String>("settings")
        .map_or("", String::as_str);
    let settings = file::read(Path::new(path))
        .and_then(Settings::try_from)
        .map_err(|errors| {
            CliError::Invalid(errors.iter().map(SettingsError::to_string).collect())
        })?;
    let line = format!(
        "{path} is valid: box {} in {}",
        settings.box_id, settings.domain
    );
    Ok(Output::new(
        line,
        json!({ "box": settings.box_id, "domain": settings.domain }),
    ))
}
