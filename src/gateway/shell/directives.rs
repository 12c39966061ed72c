//! Directives in the heads of endpoints' answers: those that can't be parsed are reported as faults
//! and have no effect.

use crate::gateway::dispatch::fleet::directives::{AnswerDirectives, StatedLimit};
use crate::gateway::shell::dialect::StatedDirectives;
use crate::gateway::shell::faults::{FaultKind, Faults};

/// Returns the directives that could be parsed, and reports the others.
pub(super) fn without_faults(stated: StatedDirectives, faults: &Faults) -> AnswerDirectives {
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
    AnswerDirectives {
        limit,
        rest,
        is_leaving: stated.is_leaving,
    }
}
