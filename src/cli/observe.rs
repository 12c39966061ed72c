//! `magpiemoor timeline` and `magpiemoor status`: show the events and the status of boxes.

use std::time::Duration;

use clap::ArgMatches;
use gotham::hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::cli::{CliError, Output, block_on};
use crate::http::{Call, Client};
use crate::keyed::daemon::input::Status;
use crate::keyed::timeline::{Entry, merge};

/// The timeout for a call to a box.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Returns the addresses given with `--boxes`.
#[must_use]
pub fn addresses(matches: &ArgMatches) -> Vec<String> {
    matches
        .get_many::<String>("boxes")
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}

async fn get<T: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
) -> Result<T, CliError> {
    let unreachable = |reason: String| CliError::Unreachable(format!("box at {address}: {reason}"));
    let call = Call::new(Method::GET, address, path);
    let answer = client
        .send(call, ANSWER_LIMIT)
        .await
        .map_err(|e| unreachable(e.to_string()))?;
    if answer.status != StatusCode::OK {
        return Err(unreachable(format!(
            "got HTTP status {}, expected 200; check that this is the operators' address",
            answer.status
        )));
    }
    serde_json::from_slice(&answer.body).map_err(|e| unreachable(e.to_string()))
}

/// Fetches the status of a box.
///
/// # Errors
///
/// Fails if the box can't be reached.
pub async fn fetch_status(client: &Client, address: &str) -> Result<Status, CliError> {
    get(client, address, "/status").await
}

/// Fetches the time line of a box, limited to one subject if it is given.
///
/// # Errors
///
/// Fails if the box can't be reached.
pub async fn fetch_timeline(
    client: &Client,
    address: &str,
    subject: Option<&str>,
) -> Result<Vec<Entry>, CliError> {
    let path = subject.map_or("/timeline".to_owned(), |s| format!("/timeline?subject={s}"));
    get(client, address, &path).await
}

/// Shows the merged time line of several boxes, and lists the boxes that can't be reached.
///
/// # Errors
///
/// Fails if none of the boxes can be reached.
pub fn timeline(matches: &ArgMatches) -> Result<Output, CliError> {
    let subject = matches.get_one::<String>("subject").map(String::as_str);
    let mut unreachable = Vec::new();
    let mut lines = Vec::new();
    block_on(async {
        let client = Client::default();
        for address in addresses(matches) {
            match fetch_timeline(&client, &address, subject).await {
                Ok(line) => lines.push(line),
                Err(e) => unreachable.push(e.to_string()),
            }
        }
        Ok(())
    })?;
    if lines.is_empty() {
        return Err(CliError::Unreachable(unreachable.join("\n")));
    }
    let merged = merge(lines);
    let mut text: Vec<String> = merged.iter().map(format_entry).collect();
    text.extend(unreachable.iter().map(|s| format!("# not shown: {s}")));
    Ok(Output::new(
        text.join("\n"),
        json!({ "events": merged, "not_shown": unreachable }),
    ))
}

/// Formats an event as a line of text.
#[must_use]
pub fn format_entry(entry: &Entry) -> String {
    let (millis, counter) = (entry.at.millis(), entry.at.counter());
    format!(
        "{millis}.{counter:<3} {:<12} {:<20} {} {}",
        entry.source, entry.event, entry.subject, entry.detail
    )
}

/// Shows the status of boxes, and lists the boxes that can't be reached.
///
/// # Errors
///
/// Fails if none of the boxes can be reached.
pub fn status(matches: &ArgMatches) -> Result<Output, CliError> {
    let mut found = Vec::new();
    let mut unreachable = Vec::new();
    block_on(async {
        let client = Client::default();
        for address in addresses(matches) {
            match fetch_status(&client, &address).await {
                Ok(status) => found.push(status),
                Err(e) => unreachable.push(e.to_string()),
            }
        }
        Ok(())
    })?;
    if found.is_empty() {
        return Err(CliError::Unreachable(unreachable.join("\n")));
    }
    let mut text: Vec<String> = found.iter().map(format_status).collect();
    text.extend(unreachable.iter().map(|s| format!("# {s}")));
    Ok(Output::new(
        text.join("\n"),
        json!({ "boxes": found, "not_shown": unreachable }),
    ))
}

fn format_status(status: &Status) -> String {
    let bundle = status.bundle.map_or("none".to_owned(), |v| v.to_string());
    let ready = if status.ready { "ready" } else { "not ready" };
    format!(
        "{} in {}: {ready}, bundle {bundle}, epoch {}, {} slices open, {} answers, {} callers, live: {}",
        status.box_id,
        status.domain,
        status.epoch,
        status.open_slices,
        status.answers,
        status.callers,
        status.live.join(" ")
    )
}
