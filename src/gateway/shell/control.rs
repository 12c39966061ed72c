//! Control thread: owns the dispatcher, passes events to it and carries out its actions.
//!
//! No other thread accesses the dispatcher, so decisions are made sequentially. Actions that take
//! time run as tasks on the traffic threads, which report their results as [`super::input`].

use std::collections::HashMap;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::action::{Action, Command, Target};
use crate::gateway::dispatch::event::{Event, RequestNumber};
use crate::gateway::dispatch::record::Record;
use crate::gateway::shell::check_counts::CheckLog;
use crate::gateway::shell::dialect::ObjectKind;
use crate::gateway::shell::input::Input;
use crate::gateway::shell::{
    GatewayShared, datagram, duties, peers, probes, quarantine, relay, rollouts, snapshots, store,
    streams, transfer,
};

/// State of the control thread: the dispatcher, and the command channel of each open request.
pub struct Control {
    dispatcher: Dispatcher,
    shared: GatewayShared,
    traffic: Handle,
    gossip: Arc<UdpSocket>,
    commands: HashMap<RequestNumber, mpsc::UnboundedSender<Command>>,
    check_log: CheckLog,
}

impl Control {
    /// Creates the state; [`Self::run`] starts handling inputs.
    #[must_use]
    pub fn new(
        dispatcher: Dispatcher,
        shared: GatewayShared,
        traffic: Handle,
        gossip: Arc<UdpSocket>,
    ) -> Self {
        Self {
            dispatcher,
            shared,
            traffic,
            gossip,
            commands: HashMap::new(),
            check_log: CheckLog::default(),
        }
    }

    /// Handles inputs and timers until [`Input::Exit`] arrives or all senders are dropped.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        loop {
            let tick = self.shared.clock.instant(self.dispatcher.next_tick());
            let input = tokio::select! {
                biased;
                input = inputs.recv() => input,
                () = tokio::time::sleep_until(tick.into()) => Some(Input::Event(Event::Tick)),
            };
            match input {
                None | Some(Input::Exit) => {
                    let record = self.check_log.record(&self.shared.metrics.checks);
                    self.write(record.as_ref());
                    return;
                }
                Some(input) => self.handle_input(input),
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let event = match input {
            Input::Exit => return,
            Input::Event(event) => event,
            Input::RelayRequested { endpoint, reply } => {
                // The box that requested the tunnel may have given up.
                let _ = reply.send(self.dispatcher.admit_relay(&endpoint));
                return;
            }
            Input::Arrived {
                request,
                arrival,
                commands,
            } => {
                self.commands.insert(request, commands);
                Event::Arrived { request, arrival }
            }
        };
        if let Event::CallerDisconnected(request) = &event {
            self.commands.remove(request);
        }
        let changes_table = matches!(
            event,
            Event::Table(_) | Event::EndpointsListed { .. } | Event::Stop { .. }
        );
        let is_tick = matches!(event, Event::Tick);
        let was_ready = self.dispatcher.is_ready();
        let actions = self.dispatcher.handle(self.shared.clock.now(), event);
        for action in actions {
            self.perform(action);
        }
        if changes_table || was_ready != self.dispatcher.is_ready() {
            self.shared
                .set_table(self.dispatcher.table().cloned(), self.dispatcher.is_ready());
        }
        self.shared.set_active(self.dispatcher.active());
        if is_tick {
            self.update_gauges();
            self.write_checks();
        }
    }

    fn write(&self, record: Option<&Record>) {
        if let Some(record) = record {
            self.shared.record(record);
        }
    }

    /// Records the checks of endpoints since the last record, if that is due.
    fn write_checks(&mut self) {
        let now = self.shared.clock.now();
        let record = self.check_log.due_record(&self.shared.metrics.checks, now);
        self.write(record.as_ref());
    }

    fn update_gauges(&mut self) {
        let (local, all) = self.dispatcher.known_boxes();
        let gauge = |boxes| i64::try_from(boxes).unwrap_or(i64::MAX);
        self.shared.metrics.boxes_local.set(gauge(local));
        self.shared.metrics.boxes.set(gauge(all));
        if let Some(age) = self.dispatcher.store_answer_age() {
            let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
            self.shared.metrics.store_answer_age_ms.set(age);
        }
        let waiting = self.dispatcher.waiting_by_tier();
        self.shared.metrics.on_waiting(&waiting);
        let limited = self.dispatcher.fleet().directives.limits.count();
        let permits = self.dispatcher.take_permit_counts();
        self.shared.metrics.on_limits(limited, permits);
        let directives = &self.dispatcher.fleet().directives;
        let resting = directives.resting_count(self.shared.clock.now());
        let leaving = directives.leaving_count();
        self.shared.metrics.on_directives(resting, leaving);
        let now = self.shared.clock.now();
        let reporting = self.dispatcher.fleet().domains_with_load(now);
        self.shared.metrics.load_domains.set(gauge(reporting));
        let bounding = self.dispatcher.fleet().directives.tolerances.count();
        let leases = self.dispatcher.take_lease_counts();
        self.shared.metrics.on_leases(bounding, leases);
        let versions = self.dispatcher.take_stream_version_counts();
        self.shared.metrics.versions.on_counts(versions);
        let lost = self.dispatcher.lost_paths();
        self.shared.metrics.relays.lost_paths.set(gauge(lost));
        let unverified = self.dispatcher.fleet().unverified_count();
        let budgets = self.dispatcher.retry_budgets_left();
        self.shared.metrics.on_retry_state(unverified, &budgets);
        let speeds = &self.dispatcher.fleet().speeds;
        self.shared.metrics.on_speeds(speeds.differing_engines());
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Command { request, command } => self.command(request, command),
            Action::WatchStore(is_watching) => {
                self.shared.set_watching(ObjectKind::Table, is_watching);
                self.shared.set_watching(ObjectKind::Endpoints, is_watching);
            }
            Action::WatchRollouts(is_watching) => {
                self.shared.set_watching(ObjectKind::Rollouts, is_watching);
            }
            Action::CloseIdleConnections(address) => self.shared.pool.close_idle_at(address),
            Action::Record(record) => self.shared.record(&record),
            Action::Gossip { .. }
            | Action::GossipUsage { .. }
            | Action::PublishUsageCounts { .. }
            | Action::PublishDepartures { .. }
            | Action::PublishStoreAnswer { .. }
            | Action::PublishContact { .. }
            | Action::PublishIdentities { .. }
            | Action::PublishLoad { .. }
            | Action::PublishSpeeds { .. }
            | Action::PublishSlots { .. }
            | Action::PublishStreams { .. }
            | Action::PublishLimits { .. } => self.send_datagram(action),
            Action::FetchState { .. }
            | Action::ReadTable
            | Action::ReadQuarantine
            | Action::SaveQuarantine { .. }
            | Action::ReadStreams
            | Action::SaveStreams { .. }
            | Action::CallDutyStore(_)
            | Action::ReportUsage { .. }
            | Action::WriteRollout(_) => self.call_peer_or_store(action),
            Action::Probe { .. }
            | Action::CheckExited { .. }
            | Action::CheckPath { .. }
            | Action::Locate { .. }
            | Action::TakeSnapshot(_)
            | Action::DropSnapshot { .. }
            | Action::RequestIdentity { .. }
            | Action::Identify(_) => self.call_endpoints(action),
        }
    }

    /// Encodes the datagram of an action and spawns the task that sends it to peers.
    fn send_datagram(&self, action: Action) {
        let (to, datagram) = match action {
            Action::Gossip {
                to,
                state,
                crashes,
                holder,
            } => {
                let datagram = datagram::write_state(&state, &crashes);
                let with_holder = |message| datagram::with_holder(message, holder);
                (to, datagram.and_then(with_holder))
            }
            Action::GossipUsage {
                to,
                update,
                crashes,
            } => (to, datagram::write_usage(&update, &crashes)),
            Action::PublishUsageCounts { to, update } => {
                (to, datagram::write_usage_counts(&update))
            }
            Action::PublishDepartures { to, update } => (to, datagram::write_departures(&update)),
            Action::PublishStoreAnswer { to, watcher } => {
                (to, datagram::write_store_answer(&watcher))
            }
            Action::PublishContact { to, check } => {
                let from = &self.shared.settings.box_id;
                (to, datagram::write_contact(from, &check))
            }
            Action::PublishIdentities { to, update } => (to, datagram::write_identities(&update)),
            Action::PublishLoad { to, from, report } => (to, datagram::write_load(&from, &report)),
            Action::PublishSpeeds { to, update } => (to, datagram::write_speeds(&update)),
            Action::PublishLimits { to, update } => (to, datagram::write_limits(&update)),
            Action::PublishSlots { to, update } => (vec![to], datagram::write_slots(&update)),
            Action::PublishStreams { to, update } => (vec![to], datagram::write_streams(&update)),
            _ => return,
        };
        let gossip = Arc::clone(&self.gossip);
        self.spawn(peers::send(gossip, to, datagram, self.shared.clone()));
    }

    /// Spawns the task of an action that fetches from a peer or calls the platform's store.
    fn call_peer_or_store(&self, action: Action) {
        let shared = self.shared.clone();
        match action {
            Action::FetchState { from, kind, wanted } => {
                self.spawn(transfer::fetch(from, kind, wanted, shared));
            }
            Action::ReadTable => self.spawn(store::read_table(shared)),
            Action::ReadQuarantine => self.spawn(quarantine::read(shared)),
            Action::SaveQuarantine {
                request,
                is_quarantined,
            } => self.spawn(quarantine::write_object(request, is_quarantined, shared)),
            Action::ReadStreams => self.spawn(streams::read(shared)),
            Action::SaveStreams {
                records,
                name,
                is_first,
            } => self.spawn(streams::write(name, records, is_first, shared)),
            Action::WriteRollout(write) => self.spawn(rollouts::write_status(write, shared)),
            Action::CallDutyStore(call) => self.spawn(duties::call_store(call, shared)),
            Action::ReportUsage { token, window } => {
                self.spawn(duties::report(token, window, shared));
            }
            _ => {}
        }
    }

    /// Spawns the task of an action that calls endpoints for anything other than a caller's
    /// request.
    fn call_endpoints(&self, action: Action) {
        let shared = self.shared.clone();
        match action {
            Action::Probe {
                reason,
                endpoint,
                address,
                via,
                limit,
            } => {
                let target = Target::new(endpoint, address, via);
                self.spawn(probes::probe(reason, target, limit, shared));
            }
            Action::CheckExited {
                endpoint,
                address,
                via,
                limit,
            } => {
                let target = Target::new(endpoint.id.clone(), address, via);
                self.spawn(probes::check_exited(endpoint, target, limit, shared));
            }
            Action::CheckPath {
                service,
                endpoints,
                limit,
            } => self.spawn(relay::check_path(service, endpoints, limit, shared)),
            Action::Locate {
                request,
                part,
                among,
                via,
            } => {
                let target = |(endpoint, address)| Target::new(endpoint, address, via);
                let among = among.into_iter().map(target).collect();
                self.spawn(probes::locate(request, part, among, shared));
            }
            Action::TakeSnapshot(request) => self.spawn(snapshots::take(request, shared)),
            Action::DropSnapshot { engine, name } => {
                self.spawn(snapshots::discard(engine, name, shared));
            }
            Action::RequestIdentity { spec, path } => {
                self.spawn(probes::request_identity(spec, path, shared));
            }
            Action::Identify(spec) => self.spawn(probes::identify(spec, shared)),
            _ => {}
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.traffic.spawn(task);
    }

    fn command(&mut self, request: RequestNumber, command: Command) {
        let is_last = matches!(
            command,
            Command::Deliver | Command::Finish | Command::Refuse(_)
        );
        if let Some(commands) = self.commands.get(&request) {
            // Sending fails if the caller disconnected and the exchange has ended; that is
            // harmless.
            let _ = commands.send(command);
        }
        if is_last {
            self.commands.remove(&request);
        }
    }
}
