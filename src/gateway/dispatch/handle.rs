//! Passes each event to the module that handles it.

use super::Dispatcher;
use super::action::Action;
use super::event::Event;
use crate::schema::Micros;

impl Dispatcher {
    /// Processes an event that happened at `now` and returns the actions that follow. `now` must
    /// not run backwards.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.detect_process_pause(now);
        self.now = now.max(self.now);
        match event {
            Event::Arrived { request, arrival } => self.on_arrival(request, arrival),
            Event::CallerDisconnected(_)
            | Event::Connected { .. }
            | Event::StreamOpened { .. }
            | Event::DirectivesRead { .. }
            | Event::Progress { .. }
            | Event::Ended { .. } => self.handle_attempt_event(event),
            Event::Tick => {
                self.next_check = None;
                self.on_tick();
            }
            Event::Stop { grace } => self.on_stop(grace),
            Event::Table(_)
            | Event::EndpointsListed { .. }
            | Event::EndpointsChanged { .. }
            | Event::Rollouts { .. }
            | Event::QuarantineRead(_)
            | Event::StoreAnswered
            | Event::PeerStoreAnswer(_)
            | Event::PeerContact(_)
            | Event::Peer(_)
            | Event::PeerUsage(_)
            | Event::PeerCrashes { .. }
            | Event::PeerUsageCounts(_)
            | Event::PeerHolder(_)
            | Event::PeerLimits(_)
            | Event::PeerSlots(_)
            | Event::PeerStreams(_)
            | Event::StreamsRead(_)
            | Event::StreamsSaved { .. }
            | Event::PeerDepartures(_)
            | Event::PeerIdentities(_)
            | Event::PeerLoad(_)
            | Event::PeerSpeeds(_)
            | Event::Fetched { .. }
            | Event::Seeds(_) => self.handle_update(event),
            Event::TimeOfDay(day) => self.on_time_of_day(day),
            Event::DutyAnswered { call, answer } => self.on_duty_answered(call, answer),
            Event::UsageReported { window, outcome } => self.on_usage_reported(window, outcome),
            Event::EndpointDirectives { .. }
            | Event::Probed { .. }
            | Event::Checked { .. }
            | Event::PathChecked { .. }
            | Event::RelayedConnectionFailed(_)
            | Event::IdentityReported { .. }
            | Event::Identified(_)
            | Event::Located { .. }
            | Event::SnapshotTaken { .. } => self.handle_endpoint_answer(event),
        }
        self.use_own_grants();
        self.serve_waiting();
        self.schedule_identities();
        self.schedule_request_check();
        std::mem::take(&mut self.actions)
    }

    /// Handles events from the tasks of requests.
    fn handle_attempt_event(&mut self, event: Event) {
        match event {
            Event::CallerDisconnected(request) => self.on_caller_disconnected(request),
            Event::Connected { request, attempt } => self.on_connected(request, attempt),
            Event::StreamOpened { request, attempt } => self.on_stream_opened(request, attempt),
            Event::DirectivesRead {
                request,
                attempt,
                directives,
            } => self.on_directives(request, attempt, &directives),
            Event::Progress {
                request,
                attempt,
                last_event,
            } => self.on_progress(request, attempt, last_event),
            Event::Ended {
                request,
                attempt,
                outcome,
            } => self.on_ended(request, attempt, &outcome),
            _ => {}
        }
    }

    /// Handles events from the store, peers and the settings.
    fn handle_update(&mut self, event: Event) {
        match event {
            Event::Table(table) => self.on_table(table),
            Event::EndpointsListed {
                specs,
                unreadable,
                at,
            } => self.on_listed(specs, &unreadable, at),
            Event::EndpointsChanged { changes, at } => self.on_changed(changes, at),
            Event::Rollouts {
                objects,
                removed,
                is_whole,
            } => self.on_rollouts(objects, &removed, is_whole),
            Event::QuarantineRead(kept) => self.on_quarantine_read(&kept),
            Event::StoreAnswered => self.on_store_answered(),
            Event::PeerStoreAnswer(watcher) => self.on_peer_store_answer(watcher),
            Event::PeerContact(check) => self.on_contact_check(check),
            Event::Peer(state) => self.on_peer(&state),
            Event::PeerUsage(update) => self.on_peer_usage(&update),
            Event::PeerCrashes { domain, update } => self.on_peer_crashes(domain.as_ref(), &update),
            Event::PeerUsageCounts(update) => self.on_peer_usage_counts(&update),
            Event::PeerHolder(holder) => self.on_peer_holder(&holder),
            Event::PeerLimits(update) => self.on_peer_limits(&update),
            Event::PeerSlots(update) => self.on_peer_slots(&update),
            Event::PeerStreams(update) => self.on_peer_streams(&update),
            Event::StreamsRead(records) => self.on_streams_read(&records),
            Event::StreamsSaved { is_saved } => self.on_streams_saved(is_saved),
            Event::PeerDepartures(update) => self.on_peer_departures(&update),
            Event::PeerIdentities(update) => self.on_peer_identities(&update),
            Event::PeerLoad(report) => self.on_peer_load(&report),
            Event::PeerSpeeds(update) => self.fleet.on_peer_speeds(&update, self.now),
            Event::Fetched {
                kind,
                from,
                outcome,
            } => self.on_fetched(kind, from, outcome),
            Event::Seeds(seeds) => self.peers.set_seeds(&seeds),
            _ => {}
        }
    }

    /// Handles answers of endpoints to anything but a caller's request.
    fn handle_endpoint_answer(&mut self, event: Event) {
        match event {
            Event::EndpointDirectives {
                endpoint,
                directives,
            } => self.on_endpoint_directives(endpoint.into(), &directives),
            Event::Probed {
                endpoint,
                result,
                born,
            } => self.on_probed(&endpoint, result, born),
            Event::Checked {
                endpoint,
                has_exited,
            } => self.on_checked(&endpoint, has_exited),
            Event::PathChecked {
                service,
                is_reached,
            } => self.on_path_checked(&service, is_reached),
            Event::RelayedConnectionFailed(endpoint) => {
                self.on_direct_failure(&endpoint);
            }
            Event::IdentityReported {
                endpoint,
                instance,
                born,
            } => self.on_identified(&endpoint, &instance, born),
            Event::Identified(spec) => self.on_successor_identified(spec),
            Event::Located { request, endpoint } => self.on_located(request, endpoint),
            Event::SnapshotTaken {
                request,
                attempt,
                host,
                name,
            } => self.on_snapshot_taken(request, attempt, &host, name),
            _ => {}
        }
    }
}
