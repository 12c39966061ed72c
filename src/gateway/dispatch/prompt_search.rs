//! Prompt search: finds the engine that keeps the prompt of a caller that reconnects in the middle
//! of a stream.
//!
//! Boxes store nothing about a stream. When a box is lost its callers reconnect to another box with
//! the id of the last event they received. That box asks the engines that most likely keep the
//! prompt ([`Placer::prompt_candidates`]), [`SEARCH_BATCH`] at a time, and sends the first attempt to
//! the one that does. If none confirms in time, the attempt goes to the engine of least cost. A few
//! small requests save the prefill of thousands of tokens.
//!
//! When many boxes lose power at once, all their callers reconnect within half a second. With all
//! engines asked at once, the answers of 24 engines for each caller filled links of 10 Mbit/s: one
//! search in seven (213 of 1,572) timed out, and connections to working engines took longer than
//! their limit, so that those engines were avoided. Without a search the figure for six of these
//! simulated runs was 0.0391.
//!
//! [`Placer::prompt_candidates`]: super::placement::Placer::prompt_candidates

use super::Dispatcher;
use super::action::Action;
use super::event::RequestNumber;
use crate::schema::EndpointId;

/// Number of engines asked at once. With 6, half of the searches take less than 20 ms over links of
/// all sizes; 24 overloads small links (see above). Values in between are untested.
const SEARCH_BATCH: usize = 6;

impl Dispatcher {
    /// Starts the search for the engine that keeps a request's prompt.
    pub(super) fn locate(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let candidates =
            self.placer
                .prompt_candidates(&self.fleet, &request.service, request.key, self.now);
        let ids = candidates.iter().map(|e| e.spec.id.clone()).collect();
        if let Some(request) = self.requests.get_mut(&number) {
            request.prompt_candidates = ids;
        }
        self.search_next_batch(number);
    }

    /// Asks the next batch of engines, or starts an attempt at the engine of least cost if none is
    /// left.
    fn search_next_batch(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let part = request.arrival.parts.last().cloned();
        let mut among = Vec::new();
        while among.len() < SEARCH_BATCH && !request.prompt_candidates.is_empty() {
            let id = request.prompt_candidates.remove(0);
            let engine = self.fleet.get(&id);
            let engine =
                engine.filter(|e| self.fleet.is_open(e, self.now) && !e.is_avoided(self.now));
            among.extend(engine.map(|e| (id, e.spec.address)));
        }
        match part {
            Some(part) if !among.is_empty() => self.actions.push(Action::Locate {
                request: number,
                part,
                among,
            }),
            _ => self.start_attempt_anywhere(number),
        }
    }

    pub(super) fn on_located(&mut self, number: RequestNumber, endpoint: Option<EndpointId>) {
        let is_waiting = self
            .requests
            .get(&number)
            .is_some_and(|request| request.active.is_none() && request.attempts == 0);
        if !is_waiting {
            return;
        }
        let usable = endpoint.filter(|id| {
            let found = self.fleet.get(id);
            found.is_some_and(|e| {
                let is_usable = self.fleet.may_send(e, self.now) && !e.is_avoided(self.now);
                is_usable && self.may_resume_at(e)
            })
        });
        match usable {
            Some(id) => self.start_attempt(number, &id, None),
            None => self.search_next_batch(number),
        }
    }
}
