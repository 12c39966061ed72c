//! Directives in endpoints' answers: those that can't be parsed are reported as faults and have no
//! effect, the others are sent to the control thread.

use gotham::hyper::http::response;

use crate::gateway::dispatch::event::Event;
use crate::gateway::dispatch::fleet::directives::{AnswerDirectives, StatedLimit};
use crate::gateway::shell::GatewayShared;
use crate::gateway::shell::faults::FaultKind;
use crate::gateway::shell::input::Input;
use crate::schema::EndpointId;

/// Reads the directives that the head of an answer states; those that can't be parsed are reported
/// as faults.
pub(super) fn read(shared: &GatewayShared, head: &response::Parts) -> AnswerDirectives {
    let stated = shared.dialect.directives(head);
    let faults = &shared.faults;
    let limit = match stated.limit {
        Ok(limit) => limit.map_or(StatedLimit::None, StatedLimit::Rate),
        Err(e) => {
            faults.report(FaultKind::EndpointLimit, &e);
            StatedLimit::Unreadable
        }
    };
    let rest = stated.rest.unwrap_or_else(|e| {
        faults.report(FaultKind::EndpointRest, &e);
        None
    });
    let tolerance = stated.tolerance.unwrap_or_else(|e| {
        faults.report(FaultKind::EndpointTolerance, &e);
        None
    });
    AnswerDirectives {
        limit,
        tolerance,
        rest,
        is_leaving: stated.is_leaving,
    }
}

/// Sends the control thread what an endpoint states in an answer to anything but an attempt, if it
/// asks for a rest or says that it is leaving.
pub(super) async fn report(
    shared: &GatewayShared,
    endpoint: EndpointId,
    directives: AnswerDirectives,
) {
    if directives.rest.is_some() || directives.is_leaving {
        let event = Event::EndpointDirectives {
            endpoint,
            directives,
        };
        shared.send(Input::Event(event)).await;
    }
}
