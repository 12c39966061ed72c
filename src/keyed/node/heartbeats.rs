//! Heartbeats: what boxes tell each other all the time, and what is looked after at each of them.

use crate::keyed::node::Node;
use crate::keyed::node::action::Action;
use crate::keyed::node::config::{LOADS_PER_HEARTBEAT, REMOTE_HEARTBEATS};
use crate::keyed::node::event::Timer;
use crate::rendezvous;
use crate::schema::{
    BoxId, BundleVersion, EndpointId, Heartbeat, HybridTime, Incarnation, LoadReport, PromiseGrant,
};

/// Heartbeats between two sweeps of finished answers and old call records.
const SWEEP_HEARTBEATS: u64 = 10;
/// Heartbeats between two readings of the other failure domains' rosters.
const ROSTERS_HEARTBEATS: u64 = 300;
/// Heartbeats between two readings of a roster that isn't known yet.
const MISSING_ROSTER_HEARTBEATS: u64 = 4;

/// What the next heartbeats carry.
#[derive(Debug, Default)]
pub struct Beats {
    sequence: u64,
    grants: Vec<PromiseGrant>,
    loads: Vec<LoadReport>,
    leaving: Vec<EndpointId>,
    /// Boxes whose loss has been acted on.
    silent: Vec<BoxId>,
}

impl Beats {
    /// Lets the next heartbeats carry a load report.
    pub fn add_load(&mut self, report: LoadReport) {
        self.loads.retain(|l| l.endpoint != report.endpoint);
        self.loads.push(report);
    }

    /// Lets all heartbeats from now on say that an endpoint is leaving.
    pub fn add_leaving(&mut self, endpoint: &EndpointId) {
        if !self.leaving.contains(endpoint) {
            self.leaving.push(endpoint.clone());
        }
    }

    /// Says no more that an endpoint is leaving.
    pub fn remove_leaving(&mut self, endpoint: &EndpointId) {
        self.leaving.retain(|e| e != endpoint);
    }
}

impl Node {
    /// Sends heartbeats and looks after what is overdue.
    pub(super) fn beat(&mut self) {
        self.out
            .timer(Timer::Heartbeat, self.now.after(self.cfg.heartbeat));
        self.beats.sequence += 1;
        self.send_heartbeats();
        self.notice_silence();
        self.tend_roster();
        self.progress_slices();
        self.expire_waiting();
        self.dispatch_all();
        self.tend_deferred();
        self.tend_orders();
        if self.beats.sequence.is_multiple_of(SWEEP_HEARTBEATS) {
            self.sweep_answers();
            self.sweep_calls();
        }
        if self.beats.sequence.is_multiple_of(ROSTERS_HEARTBEATS) {
            self.read_other_rosters();
        } else if self
            .beats
            .sequence
            .is_multiple_of(MISSING_ROSTER_HEARTBEATS)
        {
            self.read_missing_rosters();
        }
        self.progress_stop();
    }

    fn send_heartbeats(&mut self) {
        let near = self.near_contacts();
        let far = if self.beats.sequence % REMOTE_HEARTBEATS == 1 {
            self.remote_contacts()
        } else {
            Vec::new()
        };
        let ask = self.membership.promise_ask(self.now);
        let kept = self.beats.loads.len().min(LOADS_PER_HEARTBEAT);
        let heartbeat = Heartbeat {
            from: self.cfg.me.id.clone(),
            incarnation: self.cfg.me.incarnation,
            domain: self.cfg.domain.clone(),
            address: self.cfg.me.address.clone(),
            sequence: self.beats.sequence,
            epoch: self.membership.epoch(),
            bundle: self.bundles.mark(),
            stopping: self.stopping.is_begun(),
            clock: HybridTime(0),
            ask,
            grants: std::mem::take(&mut self.beats.grants),
            loads: self.beats.loads.drain(..kept).collect(),
            leaving: self.beats.leaving.clone(),
        };
        self.stats.heartbeats += (near.len() + far.len()) as u64;
        if !far.is_empty() {
            // Other failure domains have their own views of their endpoints.
            let mut short = heartbeat.clone();
            short.grants.clear();
            short.loads.clear();
            short.ask = None;
            self.out.push(Action::Beat {
                to: far,
                heartbeat: Box::new(short),
            });
        }
        if !near.is_empty() {
            self.out.push(Action::Beat {
                to: near,
                heartbeat: Box::new(heartbeat),
            });
        }
    }

    /// All other boxes of the own failure domain.
    fn near_contacts(&self) -> Vec<String> {
        let peers = self.membership.peers();
        let near = peers.filter(|peer| peer.domain == self.cfg.domain);
        let mut near: Vec<String> = near.map(|peer| peer.member.address.clone()).collect();
        near.sort();
        near
    }

    /// One box of each other failure domain, spread so that each box there hears some of ours.
    fn remote_contacts(&self) -> Vec<String> {
        let item =
            rendezvous::item(&self.cfg.me.id).wrapping_add(self.beats.sequence / REMOTE_HEARTBEATS);
        let mut contacts = Vec::new();
        for domain in self.cfg.domains.iter().filter(|d| *d != &self.cfg.domain) {
            let mut names: Vec<&str> = self
                .membership
                .peers()
                .filter(|p| &p.domain == domain)
                .map(|p| p.member.id.as_str())
                .collect();
            names.sort_unstable();
            let ranked = rendezvous::rank(&names, item);
            let first = ranked.first().and_then(|name| name.parse::<BoxId>().ok());
            contacts.extend(first.and_then(|id| self.member(&id)).map(|m| m.address));
        }
        contacts
    }

    /// A heartbeat came.
    pub(super) fn on_heartbeat(&mut self, beat: &Heartbeat) {
        let life = self
            .membership
            .peer(&beat.from)
            .map(|p| p.member.incarnation);
        if life.is_some_and(|l| l != Incarnation(0) && l < beat.incarnation) {
            // The box was replaced: whatever its earlier life held is lost.
            self.after_peer_lost(&beat.from);
        }
        if !self.membership.on_heartbeat(beat, self.now) {
            return;
        }
        self.beats.silent.retain(|id| id != &beat.from);
        for grant in &beat.grants {
            self.membership.on_grant(&beat.from, grant);
        }
        if let Some(ask) = &beat.ask
            && beat.domain == self.cfg.domain
            && !self
                .slices
                .has_withdrawn(&beat.from, beat.incarnation, ask.epoch)
        {
            let grant = self
                .membership
                .grant(&beat.from, beat.incarnation, ask, self.now);
            self.beats.grants.extend(grant);
        }
        for report in &beat.loads {
            self.endpoints.on_report(report, self.now);
        }
        for endpoint in &beat.leaving {
            if self.endpoints.on_leaving(endpoint) {
                self.out
                    .note("endpoint_leaving", endpoint, "heard from a peer");
            }
        }
        if beat.domain == self.cfg.domain && beat.epoch > self.membership.epoch() {
            self.read_roster_now();
        }
        let newest = self.bundles.version().unwrap_or(BundleVersion(0));
        if let Some(mark) = beat.bundle.clone().filter(|m| m.version > newest) {
            self.fetch_from_peer(&beat.from, &mark);
        }
    }

    /// Acts on boxes that have fallen silent.
    fn notice_silence(&mut self) {
        let now = self.now;
        let silent: Vec<BoxId> = self
            .membership
            .peers()
            .filter(|p| p.domain == self.cfg.domain && p.heard.is_some())
            .filter(|p| !self.membership.peer_is_live(p, now))
            .map(|p| p.member.id.clone())
            .filter(|id| !self.beats.silent.contains(id))
            .collect();
        for id in silent {
            self.out.note("box_silent", &id, "");
            self.beats.silent.push(id.clone());
            self.after_peer_lost(&id);
        }
    }
}
