//! The control thread: owns the node, feeds it events, and has its actions carried out.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::keyed::daemon::fetch::PartCache;
use crate::keyed::daemon::input::{Input, Status};
use crate::keyed::daemon::peers::Links;
use crate::keyed::daemon::{Shared, engines, fetch, platform, services, timers};
use crate::keyed::node::Node;
use crate::keyed::node::action::{Action, Reply};
use crate::keyed::node::event::{CallerEvent, Event};
use crate::keyed::settings::Settings;
use crate::schema::Member;

/// Events of the time line that are changes of state, and so are logged.
const LOGGED: [&str; 13] = [
    "box_paused",
    "removed_from_roster",
    "box_started",
    "box_ready",
    "box_silent",
    "box_stopping",
    "box_stopped",
    "bundle_in_force",
    "bundle_refused",
    "epoch",
    "endpoint_leaving",
    "roster_unreadable",
    "pointer_unreadable",
];

/// The control thread's state.
pub struct Control {
    node: Node,
    shared: Shared,
    handle: Handle,
    links: Links,
    me: Member,
    timers: mpsc::UnboundedSender<timers::Subscription>,
    callers: HashMap<u64, mpsc::Sender<Reply>>,
    parts: PartCache,
    exit: bool,
}

impl Control {
    /// Makes the control thread's state; nothing runs yet but the timer service.
    #[must_use]
    pub fn new(node: Node, shared: Shared, handle: Handle, socket: Arc<UdpSocket>) -> Self {
        let (timers, subscriptions) = mpsc::unbounded_channel();
        handle.spawn(timers::run(subscriptions, shared.clone()));
        Self {
            me: node.me().clone(),
            node,
            links: Links::new(shared.clone(), handle.clone(), socket),
            shared,
            handle,
            timers,
            callers: HashMap::new(),
            parts: PartCache::default(),
            exit: false,
        }
    }

    /// Runs until the node says that the process may end.
    pub fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        self.step(Event::Start);
        while !self.exit {
            let Some(input) = inputs.blocking_recv() else {
                return;
            };
            self.take_in(input);
        }
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Caller {
                connection,
                event,
                replies,
            } => {
                self.callers.insert(connection, replies);
                self.step(Event::Caller { connection, event });
            }
            Input::Status(reply) => {
                self.update_metrics();
                let _ = reply.send(self.status());
            }
        }
    }

    fn step(&mut self, event: Event) {
        let began = Instant::now();
        if let Event::Caller {
            connection,
            event: CallerEvent::Gone,
        } = &event
        {
            self.callers.remove(connection);
        }
        let bundle_news = matches!(event, Event::Bundle { .. });
        let actions = self.node.handle(self.shared.clock.now(), event);
        if bundle_news {
            let mut bundle = self
                .shared
                .bundle
                .write()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            *bundle = self.node.bundle();
        }
        for action in actions {
            self.carry_out(action);
        }
        self.shared
            .metrics
            .step_seconds
            .observe(began.elapsed().as_secs_f64());
    }

    fn carry_out(&mut self, action: Action) {
        let shared = self.shared.clone();
        match action {
            Action::Reply { connection, reply } => self.reply(connection, reply),
            Action::Send { to, message } => self.links.send(&to, &self.me, *message),
            Action::Beat { to, heartbeat } => self.links.beat(&to, *heartbeat),
            Action::StartEngine(start) => {
                self.handle.spawn(engines::run(*start, shared));
            }
            Action::CancelEngine { address, stream } => {
                self.handle.spawn(engines::cancel(address, stream, shared));
            }
            Action::CallService(call) => {
                self.handle.spawn(services::call(*call, shared));
            }
            Action::PollLoad { endpoint, address } => {
                self.handle.spawn(engines::poll(endpoint, address, shared));
            }
            Action::Order(order) => {
                self.handle.spawn(engines::order(*order, shared));
            }
            Action::Platform { id, op } => {
                self.handle.spawn(platform::call(id, op, shared));
            }
            Action::FetchBundle { mark, from_peer } => {
                let parts = Arc::clone(&self.parts);
                self.handle
                    .spawn(fetch::fetch(mark, from_peer, parts, shared));
            }
            Action::SetTimer { timer, at } => {
                let _ = self.timers.send((timer, self.shared.clock.instant(at)));
            }
            Action::Note {
                event,
                subject,
                detail,
            } => {
                if LOGGED.contains(&event) {
                    log::info!("{event} {subject} {detail}");
                }
                self.shared.timeline.record(event, &subject, &detail);
            }
            Action::Exit => self.exit = true,
        }
    }

    fn reply(&mut self, connection: u64, reply: Reply) {
        let last = !matches!(reply, Reply::Tokens { .. });
        let Some(replies) = self.callers.get(&connection) else {
            return;
        };
        match replies.try_send(reply) {
            Ok(()) if !last => {}
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => {
                self.callers.remove(&connection);
            }
            Err(mpsc::error::TrySendError::Full(_)) => {
                // It reads too slowly for what may be kept for it; it can come back with its
                // cursor.
                self.shared.metrics.slow_callers.inc();
                self.callers.remove(&connection);
                self.step(Event::Caller {
                    connection,
                    event: CallerEvent::Gone,
                });
            }
        }
    }

    fn update_metrics(&self) {
        let bundle = self.node.bundle().map_or(0, |b| b.version().0);
        let epoch = self.node.membership().epoch().0;
        self.shared
            .metrics
            .update(self.node.stats(), &self.node.holds(), bundle, epoch);
    }

    fn status(&self) -> Status {
        let settings: &Settings = &self.shared.settings;
        let now = self.shared.clock.now();
        let membership = self.node.membership();
        let mut live: Vec<String> = membership
            .peers()
            .filter(|p| p.domain == settings.domain && membership.peer_is_live(p, now))
            .map(|p| p.member.id.to_string())
            .collect();
        live.push(settings.box_id.to_string());
        live.sort();
        let endpoints = self.node.endpoints();
        let mut leaving: Vec<String> = endpoints
            .iter()
            .filter(|(_, e)| e.leaving)
            .map(|(id, _)| id.to_string())
            .collect();
        leaving.sort();
        Status {
            box_id: settings.box_id.to_string(),
            domain: settings.domain.to_string(),
            incarnation: self.me.incarnation.0,
            epoch: membership.epoch().0,
            bundle: self.node.bundle().map(|b| b.version().0),
            ready: self.node.is_ready(),
            live,
            open_slices: self.node.open_slices(),
            answers: self.node.holds().answers,
            callers: self.node.holds().callers,
            leaving,
        }
    }
}
