//! Requests that arrive: the route, the organisation, and the time that is left.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use super::action::{Command, Refusal, RefusalReason};
use super::event::{Arrival, RequestNumber};
use super::record::Record;
use super::request::Request;
use super::table::{KeyHolder, NoMatch, Route, RoutingTable};

/// When to come back to a box that has no configuration yet.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(300);

impl Dispatcher {
    pub(super) fn on_arrival(&mut self, number: RequestNumber, arrival: Arrival) {
        let Some(table) = self.table.clone() else {
            self.refuse_new(number, &arrival, RefusalReason::NoConfiguration);
            return;
        };
        match matching(&table, &arrival) {
            Err(NoMatch::Route) => self.refuse_new(number, &arrival, RefusalReason::NoRoute),
            Err(NoMatch::Key) => self.refuse_new(number, &arrival, RefusalReason::UnknownKey),
            Ok((route, holder)) => self.take_in(number, arrival, &table, route, holder),
        }
    }

    fn refuse_new(&mut self, number: RequestNumber, arrival: &Arrival, reason: RefusalReason) {
        let retry_after = (reason == RefusalReason::NoConfiguration).then_some(RETRY_UNCONFIGURED);
        self.record(Record::Refused {
            request: arrival.id.clone(),
            reason,
            after_ms: 0,
            attempts: 0,
            fault: None,
        });
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.tell(number, Command::Refuse(refusal));
    }

    fn take_in(
        &mut self,
        number: RequestNumber,
        arrival: Arrival,
        table: &RoutingTable,
        route: Arc<Route>,
        holder: Option<KeyHolder>,
    ) {
        let service = route.pick_target(self.rng.random()).clone();
        let patience = arrival.patience.unwrap_or(route.timeout);
        self.record(Record::Arrived {
            request: arrival.id.clone(),
            route: route.name.clone(),
            table: table.version().0,
            prompt: arrival.prompt.0,
        });
        self.budget.on_request(&service, self.now);
        let request = Request {
            deadline: self.now.after(patience.min(route.timeout)),
            arrived: self.now,
            engine: table.service(&service).and_then(|s| s.engine),
            last_event: arrival.after_event,
            arrival,
            route,
            service,
            holder,
            running: None,
            sendings: 0,
            runs: 0,
            tried: Vec::new(),
            has_begun: false,
            fault: None,
            next_look: None,
            without_endpoint: None,
        };
        self.requests.insert(number, request);
        self.send_somewhere(number);
    }
}

fn matching(
    table: &RoutingTable,
    arrival: &Arrival,
) -> Result<(Arc<Route>, Option<KeyHolder>), NoMatch> {
    let route = table.route(&arrival.host, &arrival.path)?;
    let holder = table.holder(&route, arrival.key.as_deref())?;
    Ok((route, holder))
}
