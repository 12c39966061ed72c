//! A caller: an ordinary client of the boxes, which comes back with its cursor when an answer
//! breaks off, and checks what it gets.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use gotham::hyper::{Method, StatusCode};
use http_body_util::BodyExt;
use magpiemoor::http::{Answer as HttpAnswer, Call, Client, HttpError};
use magpiemoor::keyed::daemon::callers::problem::Problem;
use serde::Deserialize;
use serde_json::json;

use crate::keyed::engine::batch::{answer_length, token};
use crate::keyed::fleet::{MODEL, SERVICE};

/// How long a caller waits for the head of an answer.
const HEAD_LIMIT: Duration = Duration::from_secs(60);

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    token_ids: Vec<u32>,
    finish_reason: Option<String>,
}

/// A generation that a caller wants.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The key, or none to have one made.
    pub key: Option<String>,
    /// The organisation.
    pub organisation: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens.
    pub max_tokens: u32,
}

impl Wanted {
    /// A generation for the organisation of a small fleet.
    #[must_use]
    pub fn new(key: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            key: Some(key.to_owned()),
            organisation: "shop".to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
        }
    }

    fn call<'a>(&self, address: &'a str, cursor: Option<&str>) -> Call<'a> {
        let body = json!({
            "model": MODEL,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let mut call = Call::new(Method::POST, address, "/v1/completions")
            .header("organisation", self.organisation.clone())
            .header("content-type", "application/json")
            .body(body.to_string());
        if let Some(key) = &self.key {
            call = call.header("idempotency-key", key.clone());
        }
        if let Some(cursor) = cursor {
            call = call.header("last-event-id", cursor.to_owned());
        }
        call
    }
}

/// What a caller has of an answer.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// The tokens' ids.
    pub ids: Vec<u32>,
    /// The id of the last event.
    pub cursor: Option<String>,
    /// How the answer ended.
    pub finish: Option<String>,
    /// When each event came.
    pub times: Vec<Instant>,
    /// The refusal, if there was one.
    pub problem: Option<Problem>,
}

/// How one connection ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The answer is whole.
    Whole,
    /// The connection broke off.
    Cut,
    /// The request was refused.
    Refused,
}

/// Follows an answer on one connection; `on_tokens` sees the tokens as they come and says whether
/// to go on.
pub async fn follow(
    client: &Client,
    address: &str,
    wanted: &Wanted,
    received: &mut Received,
    mut on_tokens: impl FnMut(&[u32]) -> bool,
) -> Ended {
    let call = wanted.call(address, received.cursor.as_deref());
    let response = match client.open(call, HEAD_LIMIT).await {
        Ok(response) => response,
        Err(
            HttpError::Connect(_)
            | HttpError::Broken(_)
            | HttpError::TimedOut
            | HttpError::BadRequest(_),
        ) => {
            return Ended::Cut;
        }
    };
    if response.status() != StatusCode::OK {
        let body = response
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        received.problem = serde_json::from_slice(&body).ok();
        return Ended::Refused;
    }
    let mut events = response.into_body().into_data_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            received.problem = serde_json::from_str(&event.data).ok();
            return Ended::Refused;
        }
        if event.data == "[DONE]" {
            return Ended::Whole;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Ended::Cut;
        };
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ended::Cut;
        };
        received.finish = choice.finish_reason;
        if !choice.token_ids.is_empty() {
            received.times.push(Instant::now());
            received.ids.extend(&choice.token_ids);
            received.cursor = Some(event.id);
            if !on_tokens(&choice.token_ids) {
                return Ended::Cut;
            }
        }
    }
    Ended::Cut
}

/// Follows an answer to its end, coming back at the next box whenever it breaks off.
pub async fn follow_to_end(client: &Client, addresses: &[String], wanted: &Wanted) -> Received {
    /// How often a caller comes back.
    const MOST_RETURNS: u32 = 30;
    /// How long it waits before it does.
    const PAUSE: Duration = Duration::from_millis(50);
    let mut received = Received::default();
    for turn in 0..MOST_RETURNS {
        let address = &addresses[turn as usize % addresses.len()];
        match follow(client, address, wanted, &mut received, |_| true).await {
            Ended::Whole => return received,
            Ended::Refused if !may_come_back(&received) => return received,
            Ended::Refused | Ended::Cut => tokio::time::sleep(PAUSE).await,
        }
    }
    received
}

fn may_come_back(received: &Received) -> bool {
    received
        .problem
        .as_ref()
        .is_some_and(|p| p.retry_after_ms.is_some())
}

/// Says what is wrong with an answer: whether each token belongs to its place, and none is missing
/// or repeated. Tokens may come from any of the engines named.
#[must_use]
pub fn faults(received: &Received, wanted: &Wanted, engines: &[String]) -> Option<String> {
    let (length, _) = answer_length(&wanted.prompt, wanted.max_tokens);
    for (place, id) in received.ids.iter().enumerate() {
        let fits = engines
            .iter()
            .any(|name| token(name, &wanted.prompt, place).id == *id);
        if !fits {
            return Some(format!(
                "token {place} is {id}, which no engine gives there"
            ));
        }
    }
    if received.ids.len() != length {
        return Some(format!("{} tokens instead of {length}", received.ids.len()));
    }
    None
}

/// Makes a call of the fleet's plain service.
///
/// # Errors
///
/// That the box can't be reached, or broke off.
pub async fn service_call(
    client: &Client,
    address: &str,
    call: &str,
    key: Option<&str>,
    first: bool,
) -> Result<HttpAnswer, HttpError> {
    let path = format!("/v1/services/{SERVICE}/{call}");
    let mut request = Call::new(Method::POST, address, &path)
        .header("organisation", "shop")
        .header("priority", "quick")
        .header("content-type", "application/json")
        .body("{\"points\":5}");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    if first {
        request = request.header("idempotency-attempt", "1");
    }
    client.send(request, Duration::from_secs(10)).await
}
