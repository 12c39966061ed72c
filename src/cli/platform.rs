//! The command line's own way to the platform's object API.

use std::time::Duration;

use gotham::hyper::{Method, StatusCode};

use crate::cli::CliError;
use crate::http::{Call, Client};
use crate::keyed::daemon::platform::{object_path, version_of};
use crate::keyed::node::action::Expect;

/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// How often a call is tried that the platform didn't answer or asked to put off.
const TRIES: u32 = 5;
/// The wait between two tries.
const TRY_AGAIN: Duration = Duration::from_millis(300);

/// What came of a write.
#[derive(Debug, PartialEq)]
pub enum Written {
    /// It was made.
    Yes,
    /// The object was not as expected.
    Conflict,
    /// There was no answer; it may have been made.
    Unknown,
}

/// The platform's object API.
#[derive(Debug)]
pub struct Platform {
    address: String,
    client: Client,
}

impl Platform {
    /// Names the platform; no connection is made yet.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: Client::default(),
        }
    }

    fn unreachable(&self, what: &str) -> CliError {
        CliError::Unreachable(format!(
            "the platform at {} did not answer ({what}); try again when it is back",
            self.address
        ))
    }

    /// Reads an object with its version.
    ///
    /// # Errors
    ///
    /// That the platform can't be reached.
    pub async fn get(&self, name: &str) -> Result<Option<(u64, String)>, CliError> {
        let path = object_path(name);
        let mut last = String::new();
        for _ in 0..TRIES {
            let call = Call::new(Method::GET, &self.address, &path);
            match self.client.send(call, CALL_LIMIT).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    return Ok(Some((version_of(&answer).unwrap_or(0), answer.text())));
                }
                Ok(answer) if answer.status == StatusCode::NOT_FOUND => return Ok(None),
                Ok(answer) => last = answer.status.to_string(),
                Err(e) => last = e.to_string(),
            }
            tokio::time::sleep(TRY_AGAIN).await;
        }
        Err(self.unreachable(&last))
    }

    /// Writes an object once.
    pub async fn put(&self, name: &str, expect: Expect, value: &str) -> Written {
        let path = object_path(name);
        let call = Call::new(Method::PUT, &self.address, &path).body(value.to_owned());
        let call = match expect {
            Expect::Absent => call.header("if-none-match", "*"),
            Expect::Version(version) => call.header("if-match", format!("\"{version}\"")),
        };
        match self.client.send(call, CALL_LIMIT).await {
            Ok(answer) if answer.status.is_success() => Written::Yes,
            Ok(answer) if answer.status == StatusCode::PRECONDITION_FAILED => Written::Conflict,
            Ok(_) | Err(_) => Written::Unknown,
        }
    }

    /// Writes an object that is named by its content, so that any earlier write was the same.
    ///
    /// # Errors
    ///
    /// That the platform can't be reached.
    pub async fn put_content(&self, name: &str, value: &str) -> Result<(), CliError> {
        for _ in 0..TRIES {
            match self.put(name, Expect::Absent, value).await {
                Written::Yes | Written::Conflict => return Ok(()),
                Written::Unknown => tokio::time::sleep(TRY_AGAIN).await,
            }
        }
        Err(self.unreachable(name))
    }
}
