//! Settings of a box in general: what is wrong with one, checks of single fields, and files of JSON
//! with comments. Which fields there are is told by [`crate::gateway::settings`] and
//! [`crate::keyed::settings`].
//!
//! All errors are found at once; each names the field, its value and the remedy.

pub mod file;

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;

/// The exit code of a daemon whose settings or log can't be used.
pub const BAD_SETTINGS: u8 = 2;

/// A setting that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The field that is wrong.
    pub field: String,
    /// The value it has.
    pub value: String,
    /// What to do about it.
    pub remedy: String,
}

impl SettingsError {
    /// Makes an error about one field.
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

/// A value for a field whose error has been noted already.
pub(crate) fn placeholder<T: FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse().expect("a placeholder is a valid value")
}

/// Collects errors while fields are checked.
#[derive(Default)]
pub(crate) struct Checker {
    /// What was found so far.
    pub(crate) errors: Vec<SettingsError>,
}

impl Checker {
    pub(crate) fn fail(&mut self, field: &str, value: &str, remedy: &str) {
        self.errors.push(SettingsError::new(field, value, remedy));
    }

    pub(crate) fn range(&mut self, field: &str, value: Option<u64>, least: u64, most: u64) -> u64 {
        let value = value.unwrap_or(least);
        if (least..=most).contains(&value) {
            return value;
        }
        let remedy = format!("give a number from {least} to {most}");
        self.fail(field, &value.to_string(), &remedy);
        least
    }

    pub(crate) fn number(&mut self, field: &str, value: Option<f64>, least: f64, most: f64) -> f64 {
        let value = value.unwrap_or(least);
        if (least..=most).contains(&value) {
            return value;
        }
        let remedy = format!("give a number from {least} to {most}");
        self.fail(field, &value.to_string(), &remedy);
        least
    }

    pub(crate) fn size(&mut self, field: &str, value: Option<u64>, least: u64, most: u64) -> usize {
        usize::try_from(self.range(field, value, least, most)).unwrap_or(usize::MAX)
    }

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

    pub(crate) fn millis(
        &mut self,
        field: &str,
        value: Option<u64>,
        (least, most): (u64, u64),
    ) -> Duration {
        Duration::from_millis(self.range(field, value, least, most))
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
