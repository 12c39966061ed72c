//! Refusals as problem documents (RFC 9457), with whether the request ran and when to come back.

use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http;
use crate::schema::{Ran, Reason, Refusal, RequestKey};

/// The media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// A problem document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// What kind of problem it is.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened and what to do.
    pub detail: String,
    /// Whether the request ran: `no` or `unknown`.
    pub ran: String,
    /// When to come back, in milliseconds, if that helps.
    pub retry_after_ms: Option<u64>,
    /// The request's key, under which it may be sent again.
    pub key: Option<String>,
}

impl Problem {
    /// A mistake in a request, which has therefore not run.
    #[must_use]
    pub fn mistake(status: StatusCode, title: &str, detail: impl Into<String>) -> Self {
        Self {
            title: title.to_owned(),
            status: status.as_u16(),
            detail: detail.into(),
            ran: Ran::No.to_string(),
            retry_after_ms: None,
            key: None,
        }
    }

    /// A refusal by the node.
    #[must_use]
    pub fn refusal(refusal: &Refusal, key: &RequestKey) -> Self {
        Self {
            title: refusal.reason.to_string(),
            status: status_of(refusal.reason).as_u16(),
            detail: refusal.detail.clone(),
            ran: refusal.ran.to_string(),
            retry_after_ms: refusal.retry_after.map(|span| span.0),
            key: Some(key.to_string()),
        }
    }

    /// The problem as a response.
    #[must_use]
    pub fn respond(&self) -> Response<Body> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let text = serde_json::to_string(self).unwrap_or_default();
        let mut response = http::respond(status, PROBLEM_TYPE, http::full(text));
        if let Some(millis) = self.retry_after_ms {
            let seconds = millis.div_ceil(1_000).max(1);
            response.headers_mut().insert("retry-after", seconds.into());
        }
        if let Some(key) = self.key.as_ref().and_then(|k| k.parse().ok()) {
            response.headers_mut().insert("idempotency-key", key);
        }
        response
    }
}

fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownModel
        | Reason::UnknownService
        | Reason::UnknownOrganisation
        | Reason::UnknownRequest => StatusCode::NOT_FOUND,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::StartOver | Reason::OutcomeUnknown => StatusCode::CONFLICT,
        Reason::EngineFailed => StatusCode::BAD_GATEWAY,
        Reason::Overloaded
        | Reason::DeadlineUnreachable
        | Reason::NoEndpoint
        | Reason::HomeUnreachable
        | Reason::SliceClosed
        | Reason::NotDurable
        | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
