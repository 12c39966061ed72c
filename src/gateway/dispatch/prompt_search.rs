//! Prompt search: finds the engine that keeps the prompt of a caller that reconnects in the middle
//! of a stream.
//!
//! Boxes store nothing about a stream. When a box is lost its callers reconnect to another box with
//! the id of the last event they received. That box asks the engines that most likely keep the
//! prompt ([`Placer::prompt_candidates`]; suspected ones last), [`SEARCH_GROUP`] at a time, and sends
//! the first attempt to the first one that does. If none confirms in time, the attempt goes to the
//! engine of least cost. A few small requests save the prefill of thousands of tokens.
//!
//! The search ends once it could take longer than the prefill of the prompt. Where nothing shows
//! that the caller had an attempt before (it has no event id, but this box has just restarted), only
//! the first group is asked: most of these callers are new, and the prompt of one that is not is most
//! likely kept there.
//!
//! When many boxes lose power at once, all their callers reconnect within half a second. With all
//! engines asked at once, the answers of 24 engines for each caller filled links of 10 Mbit/s: one
//! search in seven (213 of 1,572) timed out, and connections to working engines took longer than
//! their limit, so that those engines were avoided. Without a search the figure for six of these
//! simulated runs was 0.0391.
//!
//! [`Placer::prompt_candidates`]: super::placement::Placer::prompt_candidates

use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::RequestNumber;
use super::probe_timing::prefill_time;
use super::request::Request;
use crate::schema::{EndpointId, Micros};

/// Number of engines asked at once. Each of them is asked even if another one of its group keeps the
/// prompt.
const SEARCH_GROUP: usize = 4;
/// Timeout of a group.
pub const GROUP_TIMEOUT: Duration = Duration::from_millis(80);

/// Whether another group may take longer than the prefill of the prompt. The length of a prompt that
/// the caller does not state is unknown, and such a prompt is searched for.
fn is_search_too_long(request: &Request, now: Micros) -> bool {
    let prompt = request.arrival.prompt.0;
    let searched = now.since(request.arrived);
    prompt > 0 && searched + GROUP_TIMEOUT >= prefill_time(prompt)
}

impl Dispatcher {
    /// Starts the search for the engine that keeps a request's prompt.
    pub(super) fn locate(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let now = self.now;
        let candidates =
            self.placer
                .prompt_candidates(&self.fleet, &request.service, request.key, now);
        let usable = candidates
            .into_iter()
            .filter(|e| self.may_resume_at(request, e) && !self.fleet.is_unreachable(e, now));
        let (suspected, others): (Vec<_>, Vec<_>) =
            usable.partition(|e| self.fleet.is_suspected(e, now));
        let ids = others.into_iter().chain(suspected);
        let mut ids: Vec<EndpointId> = ids.map(|e| e.spec.id.clone()).collect();
        if request.last_event.is_none() {
            ids.truncate(SEARCH_GROUP);
        }
        if let Some(request) = self.requests.get_mut(&number) {
            request.prompt_candidates = ids;
        }
        self.search_next_group(number);
    }

    /// Asks the next group of engines, or starts an attempt at the engine of least cost if none is
    /// left or the search takes too long.
    fn search_next_group(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if is_search_too_long(request, self.now) {
            request.prompt_candidates.clear();
        }
        let part = request.arrival.parts.last().cloned();
        let mut among = Vec::new();
        while among.len() < SEARCH_GROUP && !request.prompt_candidates.is_empty() {
            let id = request.prompt_candidates.remove(0);
            let engine = self.fleet.get(&id);
            let engine =
                engine.filter(|e| self.fleet.is_open(e, self.now) && !e.is_avoided(self.now));
            among.extend(engine.map(|e| (id, e.spec.address)));
        }
        let service = request.service.clone();
        let via = self.relay_to(&service);
        match part {
            Some(part) if !among.is_empty() => self.actions.push(Action::Locate {
                request: number,
                part,
                among,
                via,
            }),
            _ => self.start_attempt_anywhere(number),
        }
    }

    pub(super) fn on_located(&mut self, number: RequestNumber, endpoint: Option<EndpointId>) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.active.is_some() || request.attempts > 0 {
            return;
        }
        let usable = endpoint.filter(|id| {
            let found = self.fleet.get(id);
            found.is_some_and(|e| {
                let is_usable = self.fleet.may_send(e, self.now) && !e.is_avoided(self.now);
                is_usable && self.may_resume_at(request, e)
            })
        });
        match usable {
            Some(id) => self.start_attempt(number, &id, None),
            None => self.search_next_group(number),
        }
    }
}
