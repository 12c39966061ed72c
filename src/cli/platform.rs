//! The client of the operators' commands for the platform's object API. It retries a failed call only
//! a few times, because a person waits for the result.

use std::time::Duration;

use gotham::hyper::StatusCode;

use crate::cli::CliError;
use crate::http::Client;
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::object_api::{ObjectApi, version_of};

/// The timeout for one call.
const OPERATOR_CALL_LIMIT: Duration = Duration::from_secs(2);
/// The number of attempts for a call that the platform does not answer or answers with an error.
const OPERATOR_CALL_ATTEMPTS: u32 = 5;
/// The delay between two attempts of a call.
const OPERATOR_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The outcome of a write.
#[derive(Debug, PartialEq)]
pub enum WriteOutcome {
    /// The object was written.
    Written,
    /// The object was not in the expected state, so nothing was written.
    Conflict,
    /// There was no usable answer; the object may have been written.
    Unknown,
}

/// A client of the platform's object API.
#[derive(Debug)]
pub struct Platform {
    api: ObjectApi,
}

impl Platform {
    /// Creates a client for the platform at `address`, without connecting yet.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            api: ObjectApi::new(address, Client::default()),
        }
    }

    fn unreachable(&self, reason: &str) -> CliError {
        CliError::Unreachable(format!(
            "the platform at {} did not answer ({reason}); try again when it is available",
            self.api.address()
        ))
    }

    /// Reads an object with its version; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached.
    pub async fn get(&self, name: &str) -> Result<Option<(u64, String)>, CliError> {
        let op = PlatformOp::Get {
            name: name.to_owned(),
            known: None,
        };
        let mut last = String::new();
        for _ in 0..OPERATOR_CALL_ATTEMPTS {
            match self.api.send(&op, OPERATOR_CALL_LIMIT).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    return Ok(Some((version_of(&answer).unwrap_or(0), answer.text())));
                }
                Ok(answer) if answer.status == StatusCode::NOT_FOUND => return Ok(None),
                Ok(answer) => last = answer.status.to_string(),
                Err(e) => last = e.to_string(),
            }
            tokio::time::sleep(OPERATOR_RETRY_DELAY).await;
        }
        Err(self.unreachable(&last))
    }

    /// Writes an object, without retries.
    pub async fn put(&self, name: &str, expect: Expect, value: &str) -> WriteOutcome {
        let op = PlatformOp::Put {
            name: name.to_owned(),
            expect,
            value: value.to_owned(),
        };
        match self.api.send(&op, OPERATOR_CALL_LIMIT).await {
            Ok(answer) if answer.status.is_success() => WriteOutcome::Written,
            Ok(answer) if answer.status == StatusCode::PRECONDITION_FAILED => {
                WriteOutcome::Conflict
            }
            Ok(_) | Err(_) => WriteOutcome::Unknown,
        }
    }

    /// Writes an object that is named by its content, so a conflict means that the same content was
    /// written before.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached.
    pub async fn put_content(&self, name: &str, value: &str) -> Result<(), CliError> {
        for _ in 0..OPERATOR_CALL_ATTEMPTS {
            match self.put(name, Expect::Absent, value).await {
                WriteOutcome::Written | WriteOutcome::Conflict => return Ok(()),
                WriteOutcome::Unknown => tokio::time::sleep(OPERATOR_RETRY_DELAY).await,
            }
        }
        Err(self.unreachable(name))
    }
}
