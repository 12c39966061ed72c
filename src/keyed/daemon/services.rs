//! The way to plain services.

use gotham::hyper::{Method, StatusCode};

use crate::http::{Call, HttpError};
use crate::keyed::daemon::Shared;
use crate::keyed::daemon::input::Input;
use crate::keyed::node::action::ServiceCall;
use crate::keyed::node::event::{Event, NotSent, ServiceOutcome};
use crate::schema::ServiceAnswer;

/// Makes a call and tells the control thread what came of it.
pub async fn call(call: ServiceCall, shared: Shared) {
    let outcome = ask(&call, &shared).await;
    let event = Event::Service {
        key: call.key,
        attempt: call.attempt,
        outcome,
    };
    shared.tell(Input::Event(event)).await;
}

async fn ask(call: &ServiceCall, shared: &Shared) -> ServiceOutcome {
    let path = format!("/v1/calls/{}/{}", call.service, call.call);
    let request = Call::new(Method::POST, &call.address, &path)
        .header("idempotency-key", call.key.to_string())
        .header("fence", call.epoch.to_string())
        .header("content-type", "application/json")
        .body(call.body.clone());
    let limit = call.give_up.since(shared.clock.now());
    // The last look at the clock before bytes leave: a process that was frozen on the way here
    // finds its lease over and sends nothing.
    if call
        .not_after
        .is_some_and(|until| shared.clock.now() >= until)
    {
        return ServiceOutcome::NotSent(NotSent::LeaseOver);
    }
    match shared.client.send(request, limit).await {
        Err(HttpError::Connect(_) | HttpError::BadRequest(_)) => {
            ServiceOutcome::NotSent(NotSent::Unreachable)
        }
        Err(HttpError::Broken(_) | HttpError::TimedOut) => ServiceOutcome::Lost,
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
            if answer.header("ran") == Some("no") {
                ServiceOutcome::NotSent(NotSent::Busy)
            } else {
                ServiceOutcome::Lost
            }
        }
        Ok(answer) => ServiceOutcome::Answered(ServiceAnswer {
            status: answer.status.as_u16(),
            body: answer.text(),
        }),
    }
}
