//! The operators' commands and the platform's object API: calls are tried again for a while, since
//! a person waits.

use std::time::Duration;

use gotham::hyper::StatusCode;

use crate::cli::CliError;
use crate::http::Client;
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::object_api::{ObjectApi, version_of};

/// How long one call may take.
const OPERATOR_CALL_LIMIT: Duration = Duration::from_secs(2);
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
    api: ObjectApi,
}

impl Platform {
    /// Names the platform; no connection is made yet.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            api: ObjectApi::new(address, Client::default()),
        }
    }

    fn unreachable(&self, what: &str) -> CliError {
        CliError::Unreachable(format!(
            "the platform at {} did not answer ({what}); try again when it is back",
            self.api.address()
        ))
    }

    /// Reads an object with its version.
    ///
    /// # Errors
    ///
    /// That the platform can't be reached.
    pub async fn get(&self, name: &str) -> Result<Option<(u64, String)>, CliError> {
        let op = PlatformOp::Get {
            name: name.to_owned(),
            known: None,
        };
        let mut last = String::new();
        for _ in 0..TRIES {
            match self.api.send(&op, OPERATOR_CALL_LIMIT).await {
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
        let op = PlatformOp::Put {
            name: name.to_owned(),
            expect,
            value: value.to_owned(),
        };
        match self.api.send(&op, OPERATOR_CALL_LIMIT).await {
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
