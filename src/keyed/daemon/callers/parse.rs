//! Turns callers' raw requests into checked ones; every mistake names its remedy.

use gotham::hyper::{HeaderMap, StatusCode};
use serde::Deserialize;

use crate::keyed::bundle::Bundle;
use crate::keyed::daemon::callers::problem::Problem;
use crate::keyed::digest;
use crate::schema::{
    AnswerDigest, CallName, CallRequest, Cursor, DomainId, GenerateRequest, Generation, Millis,
    OrganisationId, Priority, Request, RequestKey, RequestKind, ServiceId, TokenOffset,
};

/// Tokens that an answer may have if the caller doesn't say.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// The longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;

/// The body of a completion request; fields that aren't named here are ignored.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u64>,
    adapter: Option<String>,
    #[serde(default)]
    stream: bool,
}

/// A checked completion request.
#[derive(Debug, PartialEq)]
pub struct Completion {
    /// The request.
    pub request: Request,
    /// Whether the answer is wanted as it comes.
    pub stream: bool,
    /// Whether the caller doesn't wait for the answer.
    pub deferred: bool,
    /// Where the caller stands in the answer.
    pub cursor: Option<Cursor>,
}

fn bad(detail: impl Into<String>) -> Problem {
    Problem::mistake(StatusCode::BAD_REQUEST, "bad_request", detail)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    match headers.get(name).map(|v| v.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text.trim())),
        Some(Err(_)) => Err(bad(format!("header {name} must be plain ASCII"))),
    }
}

/// Checks a completion request.
///
/// # Errors
///
/// A problem that names what is wrong and what to do.
pub fn completion(
    headers: &HeaderMap,
    body: &[u8],
    bundle: &Bundle,
    domain: &DomainId,
) -> Result<Completion, Problem> {
    let raw: CompletionBody = serde_json::from_slice(body).map_err(|e| {
        bad(format!(
            "the body must be JSON with `model` and `prompt`: {e}"
        ))
    })?;
    let organisation = organisation(headers, bundle)?;
    let generate = generate(&raw, bundle)?;
    let kind = RequestKind::Generate(generate);
    let deferred = header(headers, "prefer")?.is_some_and(|p| p.contains("respond-async"));
    let request = request(headers, kind, organisation, bundle, domain, deferred)?;
    Ok(Completion {
        request,
        stream: raw.stream,
        deferred,
        cursor: cursor(headers)?,
    })
}

fn generate(raw: &CompletionBody, bundle: &Bundle) -> Result<GenerateRequest, Problem> {
    let unknown = || {
        let detail = format!(
            "no model {:?} in bundle {}; ask the operators for its name",
            raw.model,
            bundle.version()
        );
        Problem::mistake(StatusCode::NOT_FOUND, "unknown_model", detail)
    };
    let model = raw
        .model
        .parse()
        .ok()
        .and_then(|id| bundle.model(&id))
        .ok_or_else(unknown)?;
    let most = u64::from(model.max_tokens);
    let wanted = raw
        .max_tokens
        .unwrap_or_else(|| u64::from(DEFAULT_MAX_TOKENS).min(most));
    if wanted == 0 || wanted > most {
        return Err(bad(format!(
            "max_tokens is {wanted}; give a number from 1 to {most}"
        )));
    }
    let adapter = match &raw.adapter {
        None => None,
        Some(name) => {
            let known = model.adapters.iter().find(|a| a.as_str() == name);
            let detail = format!(
                "model {} has no adapter {name:?}; leave it out or ask the operators",
                model.id
            );
            Some(known.cloned().ok_or_else(|| bad(detail))?)
        }
    };
    Ok(GenerateRequest {
        model: model.id.clone(),
        adapter,
        prompt: raw.prompt.clone(),
        max_tokens: u32::try_from(wanted).unwrap_or(model.max_tokens),
    })
}

/// Checks a call of a plain service.
///
/// # Errors
///
/// A problem that names what is wrong and what to do.
pub fn call(
    headers: &HeaderMap,
    service: &str,
    call: &str,
    body: &[u8],
    bundle: &Bundle,
    domain: &DomainId,
) -> Result<Request, Problem> {
    let unknown = || {
        let detail = format!(
            "no call {service}/{call} in bundle {}; ask the operators for its name",
            bundle.version()
        );
        Problem::mistake(StatusCode::NOT_FOUND, "unknown_service", detail)
    };
    let service: ServiceId = service.parse().map_err(|_| unknown())?;
    let call: CallName = call.parse().map_err(|_| unknown())?;
    let spec = bundle.call(&service, &call).ok_or_else(unknown)?;
    let body = String::from_utf8(body.to_vec()).map_err(|_| bad("the body must be UTF-8"))?;
    let kind = RequestKind::Call(CallRequest {
        service,
        call,
        body,
        repeatable: spec.repeatable,
    });
    let organisation = organisation(headers, bundle)?;
    request(headers, kind, organisation, bundle, domain, false)
}

fn organisation(headers: &HeaderMap, bundle: &Bundle) -> Result<OrganisationId, Problem> {
    let named = match header(headers, "organisation")? {
        Some(name) => Some(name),
        None => header(headers, "openai-organization")?,
    };
    let Some(name) = named else {
        return Err(bad("name your organisation in the header Organisation"));
    };
    let known = name.parse().ok().and_then(|id| bundle.organisation(&id));
    let Some(organisation) = known else {
        let detail = format!(
            "no organisation {name:?} in bundle {}; check the header Organisation",
            bundle.version()
        );
        return Err(Problem::mistake(
            StatusCode::FORBIDDEN,
            "unknown_organisation",
            detail,
        ));
    };
    Ok(organisation.id.clone())
}

fn request(
    headers: &HeaderMap,
    kind: RequestKind,
    organisation: OrganisationId,
    bundle: &Bundle,
    domain: &DomainId,
    deferred: bool,
) -> Result<Request, Problem> {
    let (key, first) = key(headers, domain)?;
    let usual = bundle
        .organisation(&organisation)
        .map_or(Priority::Interactive, |o| o.priority);
    let priority = if deferred {
        Priority::Deferrable
    } else {
        priority(headers, usual)?
    };
    let canonical = serde_json::to_vec(&(&organisation, &kind)).unwrap_or_default();
    Ok(Request {
        key,
        first,
        organisation,
        priority,
        deadline: deadline(headers)?,
        body_hash: digest::body(&canonical),
        kind,
    })
}

/// The request's key, and whether it can't have been used before.
fn key(headers: &HeaderMap, domain: &DomainId) -> Result<(RequestKey, bool), Problem> {
    let Some(text) = header(headers, "idempotency-key")? else {
        let minted = format!(
            "{domain}{}{:016x}",
            RequestKey::DOMAIN_MARK,
            rand::random::<u64>()
        );
        let key = minted
            .parse()
            .map_err(|_| bad("the domain's name is too long for a key"))?;
        return Ok((key, true));
    };
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.~:".contains(c);
    if !text.chars().all(plain) {
        return Err(bad(
            "Idempotency-Key may hold letters, digits and - _ . ~ : only",
        ));
    }
    let key = text
        .parse()
        .map_err(|_| bad("Idempotency-Key must have 1 to 200 characters"))?;
    let first = match header(headers, "idempotency-attempt")? {
        None => false,
        Some(text) => {
            let attempt: u32 = text.parse().map_err(|_| {
                bad("Idempotency-Attempt must be a number: 1 for the first sending of a key")
            })?;
            attempt == 1
        }
    };
    Ok((key, first))
}

fn priority(headers: &HeaderMap, usual: Priority) -> Result<Priority, Problem> {
    match header(headers, "priority")? {
        None => Ok(usual),
        Some(text) => text.parse().map_err(|_| {
            bad(format!(
                "Priority is {text:?}; use quick, interactive or deferrable"
            ))
        }),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Millis>, Problem> {
    let Some(text) = header(headers, "deadline-ms")? else {
        return Ok(None);
    };
    let millis = text
        .parse()
        .ok()
        .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let remedy = format!("Deadline-Ms is {text:?}; give milliseconds from 1 to {MAX_DEADLINE_MS}");
    millis.map(|ms| Some(Millis(ms))).ok_or_else(|| bad(remedy))
}

fn cursor(headers: &HeaderMap) -> Result<Option<Cursor>, Problem> {
    let Some(text) = header(headers, "last-event-id")?.filter(|t| !t.is_empty()) else {
        return Ok(None);
    };
    let remedy = || {
        bad(
            "Last-Event-ID is not one that this service sent; send the id of the last event you have",
        )
    };
    parse_cursor(text).map(Some).ok_or_else(remedy)
}

/// Reads a cursor from an event's id.
#[must_use]
pub fn parse_cursor(text: &str) -> Option<Cursor> {
    let mut fields = text.split('.');
    let generation = fields.next()?.parse().ok()?;
    let offset = fields.next()?.parse().ok()?;
    let digest = u64::from_str_radix(fields.next()?, 16).ok()?;
    if fields.next().is_some() {
        return None;
    }
    Some(Cursor {
        generation: Generation(generation),
        offset: TokenOffset(offset),
        digest: AnswerDigest(digest),
    })
}

/// Writes a cursor as an event's id.
#[must_use]
pub fn event_id(generation: Generation, offset: TokenOffset, digest: AnswerDigest) -> String {
    format!("{generation}.{offset}.{:016x}", digest.0)
}
