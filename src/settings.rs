//! Code that the settings of gateway boxes and keyed boxes share: errors, checks of single fields,
//! and files of JSON with comments. [`crate::gateway::settings`] and [`crate::keyed::settings`]
//! define the fields.
//!
//! A `Checker` collects the errors of all fields, so that an operator sees them at once. Each error
//! names the field, its value and the remedy.

pub mod file;

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;

/// An invalid setting.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The name of the invalid field, or `file` if the whole file can't be read.
    pub field: String,
    /// The value as given.
    pub value: String,
    /// What the operator has to change.
    pub remedy: String,
}

impl SettingsError {
    /// Creates an error about one field.
    #[must_use]
    pub fn new(field: &str, value: &str, remedy: &str) -> Self {
        Self {
            field: field.to_owned(),
            value: value.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {:?}: {}", self.field, self.value, self.remedy)
    }
}

impl std::error::Error for SettingsError {}

/// Parses a placeholder: a valid value for a field whose error is already recorded, so that the
/// check of the other fields can go on.
pub(crate) fn placeholder<T: FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse().expect("a placeholder is a valid value")
}

/// Checks single fields and collects their errors. After an error, each check still returns a valid
/// value, except [`Checker::parse`], which returns `None`.
#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) errors: Vec<SettingsError>,
}

impl Checker {
    /// Records an error about one field.
    pub(crate) fn fail(&mut self, field: &str, value: &str, remedy: &str) {
        self.errors.push(SettingsError::new(field, value, remedy));
    }

    /// Checks a whole number. Returns `min` if the number is missing or out of range; only a number
    /// out of range is an error.
    pub(crate) fn range(&mut self, field: &str, value: Option<u64>, min: u64, max: u64) -> u64 {
        let value = value.unwrap_or(min);
        if (min..=max).contains(&value) {
            return value;
        }
        let remedy = format!("give a number from {min} to {max}");
        self.fail(field, &value.to_string(), &remedy);
        min
    }

    /// Checks a fractional number in the same way as [`Checker::range`].
    pub(crate) fn number(&mut self, field: &str, value: Option<f64>, min: f64, max: f64) -> f64 {
        let value = value.unwrap_or(min);
        if (min..=max).contains(&value) {
            return value;
        }
        let remedy = format!("give a number from {min} to {max}");
        self.fail(field, &value.to_string(), &remedy);
        min
    }

    /// Checks a size or a count in the same way as [`Checker::range`].
    pub(crate) fn size(&mut self, field: &str, value: Option<u64>, min: u64, max: u64) -> usize {
        usize::try_from(self.range(field, value, min, max)).unwrap_or(usize::MAX)
    }

    /// Parses a field. A missing field is parsed as an empty text.
    pub(crate) fn parse<T: FromStr>(
        &mut self,
        field: &str,
        value: Option<String>,
        remedy: &str,
    ) -> Option<T> {
        let value = value.unwrap_or_default();
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.fail(field, &value, remedy);
        }
        parsed
    }

    /// Parses a field in the same way as [`Checker::parse`], and returns a placeholder after an
    /// error.
    pub(crate) fn or_placeholder<T: FromStr>(
        &mut self,
        field: &str,
        value: Option<String>,
        remedy: &str,
    ) -> T
    where
        T::Err: fmt::Debug,
    {
        self.parse(field, value, remedy)
            .unwrap_or_else(|| placeholder("placeholder"))
    }

    /// Checks a duration in milliseconds in the same way as [`Checker::range`].
    pub(crate) fn millis(
        &mut self,
        field: &str,
        value: Option<u64>,
        (min, max): (u64, u64),
    ) -> Duration {
        Duration::from_millis(self.range(field, value, min, max))
    }

    pub(crate) fn log_level(&mut self, value: Option<String>) -> LevelFilter {
        let remedy = "use off, error, warn, info, debug or trace";
        self.parse("log_level", value, remedy)
            .unwrap_or(LevelFilter::Info)
    }

    pub(crate) fn address(&mut self, field: &str, value: Option<String>) -> SocketAddr {
        self.parse(
            field,
            value,
            "give an IP number and a port, such as 127.0.0.1:8080",
        )
        .unwrap_or_else(|| placeholder("127.0.0.1:0"))
    }
}
