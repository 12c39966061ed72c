//! Answers on their way to a caller: as server-sent events, or whole.

use std::time::Instant;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;

use crate::http::{self, EVENT_STREAM};
use crate::keyed::daemon::Shared;
use crate::keyed::daemon::callers::parse::event_id;
use crate::keyed::daemon::callers::problem::Problem;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::action::Reply;
use crate::keyed::node::event::{CallerEvent, Event};
use crate::schema::{Finish, Ran, RequestKey, Token};

/// Tells the control thread when a caller has gone before its answer ended.
pub struct CallerGuard {
    connection: u64,
    shared: Shared,
    ended: bool,
}

impl CallerGuard {
    /// Guards a connection.
    #[must_use]
    pub fn new(connection: u64, shared: Shared) -> Self {
        Self {
            connection,
            shared,
            ended: false,
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let gone = Event::Caller {
            connection: self.connection,
            event: CallerEvent::Gone,
        };
        // Without room the answer runs on for nobody until it is swept.
        let _ = self.shared.inputs.try_send(Input::Event(gone));
    }
}

/// A caller that waits for replies.
pub struct Caller {
    /// The request's key.
    pub key: RequestKey,
    /// Where replies come from.
    pub received: mpsc::Receiver<Reply>,
    /// Tells when the caller has gone.
    pub guard: CallerGuard,
    /// When the caller asked.
    pub asked: Instant,
}

impl Caller {
    /// Waits for the next reply; a refusal comes as a problem.
    ///
    /// # Errors
    ///
    /// The refusal, or that the replies broke off.
    pub async fn next(&mut self) -> Result<Reply, Problem> {
        match self.received.recv().await {
            Some(Reply::Refused(refusal)) => {
                self.guard.ended = true;
                Err(Problem::refusal(&refusal, &self.key))
            }
            Some(reply) => {
                self.guard.ended = !matches!(reply, Reply::Tokens { .. });
                Ok(reply)
            }
            None => Err(self.cut()),
        }
    }

    /// The problem of an answer that broke off.
    #[must_use]
    pub fn cut(&self) -> Problem {
        let mut problem = Problem::mistake(
            StatusCode::SERVICE_UNAVAILABLE,
            "cut_off",
            "the answer broke off; come back with the same key and the id of the last event you have",
        );
        problem.ran = Ran::Unknown.to_string();
        problem.retry_after_ms = Some(1_000);
        problem.key = Some(self.key.to_string());
        problem
    }
}

/// Names the request's key in a response, so that a caller without one can come back.
pub fn name_key(response: &mut Response<Body>, key: &RequestKey) {
    if let Ok(value) = key.parse() {
        response.headers_mut().insert("idempotency-key", value);
    }
}

/// Sends an answer as server-sent events. The head waits for the first reply, so that a refusal has
/// its own status.
///
/// # Errors
///
/// The refusal.
pub async fn events(mut caller: Caller) -> Result<Response<Body>, Problem> {
    let first = caller.next().await?;
    let waited = caller.asked.elapsed().as_secs_f64();
    caller
        .guard
        .shared
        .metrics
        .first_reply_seconds
        .observe(waited);
    let key = caller.key.clone();
    let body = http::streaming(chunks(caller, first));
    let mut response = http::respond(StatusCode::OK, EVENT_STREAM, body);
    response.headers_mut().insert(
        "cache-control",
        gotham::hyper::header::HeaderValue::from_static("no-store"),
    );
    name_key(&mut response, &key);
    Ok(response)
}

enum Next {
    Reply(Caller, Box<Reply>),
    Wait(Caller),
    End,
}

fn chunks(caller: Caller, first: Reply) -> impl Stream<Item = Bytes> + Send + 'static {
    stream::unfold(Next::Reply(caller, Box::new(first)), |next| async move {
        match next {
            Next::End => None,
            Next::Reply(caller, reply) => Some(chunk(caller, *reply)),
            Next::Wait(mut caller) => match caller.next().await {
                Ok(reply) => Some(chunk(caller, reply)),
                Err(problem) => Some((problem_event(&problem), Next::End)),
            },
        }
    })
}

fn chunk(caller: Caller, reply: Reply) -> (Bytes, Next) {
    match reply {
        Reply::Tokens {
            generation,
            end,
            digest,
            tokens,
        } => {
            let id = event_id(generation, end, digest);
            let data = choice(&caller.key, &tokens, None);
            (
                Bytes::from(format!("id: {id}\ndata: {data}\n\n")),
                Next::Wait(caller),
            )
        }
        Reply::Finished(finish) => {
            let data = choice(&caller.key, &[], Some(finish));
            (
                Bytes::from(format!("data: {data}\n\ndata: [DONE]\n\n")),
                Next::End,
            )
        }
        Reply::Refused(_) | Reply::Answered(_) | Reply::Accepted(_) | Reply::Status(_) => {
            (problem_event(&caller.cut()), Next::End)
        }
    }
}

fn problem_event(problem: &Problem) -> Bytes {
    let data = serde_json::to_string(problem).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {data}\n\n"))
}

fn choice(key: &RequestKey, tokens: &[Token], finish: Option<Finish>) -> String {
    let text: String = tokens.iter().map(|t| t.text.as_str()).collect();
    let ids: Vec<u32> = tokens.iter().map(|t| t.id).collect();
    json!({
        "id": key,
        "object": "text_completion",
        "choices": [{ "index": 0, "text": text, "token_ids": ids, "finish_reason": finish }],
    })
    .to_string()
}

/// Sends an answer whole, once it is complete.
///
/// # Errors
///
/// The refusal.
pub async fn whole(mut caller: Caller) -> Result<Response<Body>, Problem> {
    let mut text = String::new();
    let mut ids = Vec::new();
    let finish = loop {
        match caller.next().await? {
            Reply::Tokens { tokens, .. } => {
                ids.extend(tokens.iter().map(|t| t.id));
                text.extend(tokens.iter().map(|t| t.text.as_str()));
            }
            Reply::Finished(finish) => break finish,
            _ => return Err(caller.cut()),
        }
    };
    let answer = json!({
        "id": caller.key,
        "object": "text_completion",
        "choices": [{ "index": 0, "text": text, "token_ids": ids, "finish_reason": finish }],
        "usage": { "completion_tokens": ids.len() },
    });
    let mut response = http::respond_json(StatusCode::OK, &answer);
    name_key(&mut response, &caller.key);
    Ok(response)
}
