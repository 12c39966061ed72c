//! Reads settings files, which are JSON with comments, and reports all invalid fields at once.

use std::path::Path;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::SettingsError;
use crate::schema::SettingsFile;

/// The field that errors of a whole file name.
pub(crate) const WHOLE_FILE: &str = "file";
/// The time for which a daemon that starts waits for a readable file.
const START_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which it reads the file again.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the settings of a daemon that starts. A file that is missing, or that isn't JSON with
/// comments, may be on its way, and is read again for up to [`START_TIMEOUT`]; a field that is
/// invalid fails at once.
///
/// # Errors
///
/// Returns the errors of the last time that the file was read.
pub fn read_at_start<T>(
    read: impl Fn() -> Result<T, Vec<SettingsError>>,
) -> Result<T, Vec<SettingsError>> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let errors = match read() {
            Ok(settings) => return Ok(settings),
            Err(errors) => errors,
        };
        let is_final = errors.iter().any(|e| e.field != WHOLE_FILE);
        if is_final || Instant::now() >= deadline {
            return Err(errors);
        }
        std::thread::sleep(START_RETRY_INTERVAL);
    }
}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// Returns one error for each field that is unknown or has a value of the wrong type, or a single
/// error if the file can't be read or isn't JSON with comments.
pub fn read(path: &Path) -> Result<SettingsFile, Vec<SettingsError>> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![SettingsError::new(
            WHOLE_FILE,
            &path.display().to_string(),
            &format!("{e}; pass the path of a readable file with --settings"),
        )]
    })?;
    parse(&text)
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// Fails like [`read`].
pub fn parse(text: &str) -> Result<SettingsFile, Vec<SettingsError>> {
    parse_as(text)
}

/// Parses the text of a settings file whose fields are those of `T`.
///
/// # Errors
///
/// Fails like [`read`].
pub fn parse_as<T: DeserializeOwned>(text: &str) -> Result<T, Vec<SettingsError>> {
    let value = parse_object(text).map_err(|e| vec![e])?;
    let mut errors = Vec::new();
    for (name, field) in &value {
        let single_field = Value::Object(Map::from_iter([(name.clone(), field.clone())]));
        if let Err(e) = serde_json::from_value::<T>(single_field) {
            errors.push(SettingsError::new(
                name,
                &field.to_string(),
                &field_remedy(&e),
            ));
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    serde_json::from_value(Value::Object(value))
        .map_err(|e| vec![SettingsError::new(WHOLE_FILE, "", &e.to_string())])
}

fn parse_object(text: &str) -> Result<Map<String, Value>, SettingsError> {
    let options = jsonc_parser::ParseOptions::default();
    let value: Value = jsonc_parser::parse_to_serde_value(text, &options)
        .map_err(|e| SettingsError::new(WHOLE_FILE, "", &format!("not JSON with comments: {e}")))?;
    match value {
        Value::Object(object) => Ok(object),
        other => Err(SettingsError::new(
            WHOLE_FILE,
            &other.to_string(),
            "the file must contain one JSON object in braces",
        )),
    }
}

fn field_remedy(e: &serde_json::Error) -> String {
    let text = e.to_string();
    if text.starts_with("unknown field") {
        "unknown setting; `magpiemoor config sample` lists all settings".to_owned()
    } else {
        format!("{text}; set a value of the expected type")
    }
}
