//! Which engine keeps the prompt of a caller that comes back in the middle of a stream.
//!
//! Nothing is written down of a stream. When its box is lost the caller comes back to another one
//! with the last event that it got. That box asks the engines that most likely keep the prompt
//! ([`Placer::likely`]), and makes the first attempt at the one that does; if none says so in time,
//! at the engine of least cost. A few small questions save prefilling thousands of tokens again: on
//! grown sahel trouble-1 28% of 276 prompts were found before most questions went to the own
//! domain, and 513,000 tokens instead of 378,000 after (commit aa642c5).
//!
//! [`Placer::likely`]: super::placement::Placer::likely

use super::Dispatcher;
use super::action::Action;
use super::event::RequestNumber;
use crate::schema::EndpointId;

impl Dispatcher {
    /// Asks for the engine that keeps a request's prompt.
    pub(super) fn locate(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(part) = request.arrival.parts.last() else {
            self.start_attempt_anywhere(number);
            return;
        };
        let likely = self
            .placer
            .likely(&self.fleet, &request.service, request.key);
        let among = likely
            .iter()
            .filter(|e| e.takes_work() && !e.is_avoided(self.now))
            .map(|e| (e.spec.id.clone(), e.spec.address));
        let action = Action::Locate {
            request: number,
            part: part.clone(),
            among: among.collect(),
        };
        self.actions.push(action);
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
            found.is_some_and(|e| e.takes_work() && !e.is_avoided(self.now))
        });
        match usable {
            Some(id) => self.start_attempt(number, &id, None),
            None => self.start_attempt_anywhere(number),
        }
    }
}
