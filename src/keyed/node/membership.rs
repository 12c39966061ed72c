//! What a node knows of the other boxes: rosters, heartbeats and the platform's list.

mod leases;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::keyed::node::config::NodeConfig;
use crate::keyed::node::roster::slice_of;
use crate::rendezvous;
use crate::schema::{
    BoxId, BundleMark, DomainId, Epoch, FleetList, FleetState, Heartbeat, Incarnation, Member,
    Micros, RequestKey, Roster, SliceId,
};

/// What is known of another box.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name, life and address.
    pub member: Member,
    /// Its failure domain.
    pub domain: DomainId,
    /// When it was last heard, if ever.
    pub heard: Option<Micros>,
    /// Whether its connection broke since it was last heard.
    pub lost: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The bundle it serves with.
    pub bundle: Option<BundleMark>,
}

/// A roster and the epoch it was read in.
#[derive(Clone, Debug)]
pub struct RosterView {
    /// The version of the platform's object.
    pub epoch: Epoch,
    /// The roster.
    pub roster: Roster,
    /// When this box first read this epoch.
    pub seen: Micros,
}

/// How the platform's list showed a box, and since when.
#[derive(Clone, Copy, Debug)]
struct Listed {
    state: FleetState,
    incarnation: Option<Incarnation>,
    since: Micros,
}

/// What a node knows of the other boxes.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    domain: DomainId,
    silence: Duration,
    remote_silence: Duration,
    lease: Duration,
    clock_bound: Duration,
    started: Micros,
    rosters: BTreeMap<DomainId, RosterView>,
    peers: BTreeMap<BoxId, Peer>,
    listed: BTreeMap<String, Listed>,
    fleet_version: u64,
    heard_epoch: Epoch,
    stopping: bool,
    confirmed: Option<Micros>,
    promises: BTreeMap<BoxId, Micros>,
    granted: BTreeMap<(BoxId, Incarnation), Micros>,
}

impl Membership {
    /// Starts with the seeds of the settings as the only known boxes.
    #[must_use]
    pub fn new(cfg: &NodeConfig, now: Micros) -> Self {
        let mut membership = Self {
            me: cfg.me.clone(),
            domain: cfg.domain.clone(),
            silence: cfg.silence(),
            remote_silence: cfg.remote_silence(),
            lease: cfg.lease,
            clock_bound: cfg.clock_bound,
            started: now,
            rosters: BTreeMap::new(),
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            fleet_version: 0,
            heard_epoch: Epoch(0),
            stopping: false,
            confirmed: None,
            promises: BTreeMap::new(),
            granted: BTreeMap::new(),
        };
        for seed in &cfg.seeds {
            let member = Member {
                id: seed.id.clone(),
                incarnation: Incarnation(0),
                address: seed.address.clone(),
            };
            membership.learn(member, &seed.domain);
        }
        membership
    }

    fn learn(&mut self, member: Member, domain: &DomainId) {
        if member.id == self.me.id {
            return;
        }
        match self.peers.get_mut(&member.id) {
            Some(peer) if peer.member.incarnation >= member.incarnation => {}
            Some(peer) => {
                peer.member = member;
                peer.heard = None;
                peer.lost = false;
                peer.stopping = false;
            }
            None => {
                let peer = Peer {
                    member: member.clone(),
                    domain: domain.clone(),
                    heard: None,
                    lost: false,
                    stopping: false,
                    bundle: None,
                };
                self.peers.insert(member.id, peer);
            }
        }
    }

    /// Takes in a heartbeat; returns whether it is of the sender's present life.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat, now: Micros) -> bool {
        let member = Member {
            id: beat.from.clone(),
            incarnation: beat.incarnation,
            address: beat.address.clone(),
        };
        self.learn(member, &beat.domain);
        let Some(peer) = self.peers.get_mut(&beat.from) else {
            return false;
        };
        if peer.member.incarnation != beat.incarnation {
            return false;
        }
        if beat.domain == self.domain {
            self.heard_epoch = self.heard_epoch.max(beat.epoch);
        }
        peer.heard = Some(now);
        peer.lost = false;
        peer.stopping = beat.stopping;
        peer.bundle.clone_from(&beat.bundle);
        true
    }

    /// Whether a message of this life of a box must be dropped because a later life is known.
    #[must_use]
    pub fn is_past_life(&self, from: &BoxId, incarnation: Incarnation) -> bool {
        self.peers
            .get(from)
            .is_some_and(|p| p.member.incarnation > incarnation)
    }

    /// Doesn't hold a pause of this box against the others.
    pub fn forgive(&mut self, pause: Duration) {
        for peer in self.peers.values_mut() {
            peer.heard = peer.heard.map(|heard| heard.after(pause));
        }
    }

    /// Notes that the connection to a box broke.
    pub fn on_lost(&mut self, id: &BoxId) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.lost = true;
        }
    }

    /// Takes in a roster that was asked for at `asked`; returns whether its epoch is new.
    pub fn on_roster(&mut self, roster: Roster, epoch: Epoch, asked: Micros, now: Micros) -> bool {
        let domain = roster.domain.clone();
        for member in &roster.members {
            self.learn(member.clone(), &domain);
        }
        let known = self.rosters.get(&domain).map(|v| v.epoch);
        if known.is_some_and(|known| known > epoch) {
            return false;
        }
        if domain == self.domain && roster_lists(&roster, &self.me) {
            self.confirmed = self.confirmed.max(Some(asked));
        }
        if known == Some(epoch) {
            return false;
        }
        self.rosters.insert(
            domain,
            RosterView {
                epoch,
                roster,
                seen: now,
            },
        );
        true
    }

    /// The roster of this box's own failure domain.
    #[must_use]
    pub fn own(&self) -> Option<&RosterView> {
        self.rosters.get(&self.domain)
    }

    /// The epoch of this box's own failure domain, or zero before it is known.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.own().map_or(Epoch(0), |v| v.epoch)
    }

    /// Whether a box of the own failure domain has spoken of a greater epoch than is known here.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.heard_epoch > self.epoch()
    }

    /// The roster of a failure domain, if it was ever read.
    #[must_use]
    pub fn roster_of(&self, domain: &DomainId) -> Option<&RosterView> {
        self.rosters.get(domain)
    }

    /// Whether the own roster lists this box in its present life.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.own()
            .is_some_and(|v| roster_lists(&v.roster, &self.me))
    }

    /// Takes in the platform's list.
    pub fn on_fleet(&mut self, list: &FleetList, now: Micros) {
        self.fleet_version = list.version;
        for entry in &list.entries {
            let listed = Listed {
                state: entry.state,
                incarnation: entry.incarnation,
                since: now,
            };
            match self.listed.get_mut(&entry.id) {
                Some(l) if l.state == entry.state && l.incarnation == entry.incarnation => {}
                Some(l) => *l = listed,
                None => {
                    self.listed.insert(entry.id.clone(), listed);
                }
            }
        }
    }

    /// The version of the platform's list that is known.
    #[must_use]
    pub fn fleet_version(&self) -> u64 {
        self.fleet_version
    }

    /// Notes that this box is stopping, and so takes no new work if another can.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// How the platform's list shows a box or an endpoint.
    #[must_use]
    pub fn listed_state(&self, id: &str) -> Option<FleetState> {
        self.listed.get(id).map(|l| l.state)
    }

    /// Since when the platform's list has said that this life of a box is gone.
    #[must_use]
    pub fn gone_since(&self, id: &BoxId, life: Incarnation) -> Option<Micros> {
        let listed = self.listed.get(id.as_str())?;
        let replaced = listed.incarnation.is_some_and(|i| i > life);
        (listed.state == FleetState::Gone || replaced).then_some(listed.since)
    }

    /// Looks up a box.
    #[must_use]
    pub fn peer(&self, id: &BoxId) -> Option<&Peer> {
        self.peers.get(id)
    }

    /// A box as a receiver of messages.
    #[must_use]
    pub fn member(&self, id: &BoxId) -> Option<&Member> {
        if id == &self.me.id {
            return Some(&self.me);
        }
        self.peers.get(id).map(|p| &p.member)
    }

    /// All other boxes that are known.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The live boxes of this failure domain that take work, this one among them.
    #[must_use]
    pub fn live_boxes(&self, now: Micros) -> Vec<&BoxId> {
        let near = self
            .peers
            .values()
            .filter(|p| p.domain == self.domain && !p.stopping);
        let mut live: Vec<&BoxId> = near
            .filter(|p| self.peer_is_live(p, now))
            .map(|p| &p.member.id)
            .collect();
        if live.is_empty() || !self.stopping {
            live.push(&self.me.id);
        }
        live
    }

    /// Whether a box is taken to be alive.
    #[must_use]
    pub fn is_live(&self, id: &BoxId, now: Micros) -> bool {
        if id == &self.me.id {
            return true;
        }
        self.peers
            .get(id)
            .is_some_and(|p| self.peer_is_live(p, now))
    }

    /// Whether a peer is taken to be alive; a box not heard yet has the benefit of the doubt for as
    /// long as this box is young.
    #[must_use]
    pub fn peer_is_live(&self, peer: &Peer, now: Micros) -> bool {
        if peer.lost {
            return false;
        }
        let silence = if peer.domain == self.domain {
            self.silence
        } else {
            self.remote_silence
        };
        now.since(peer.heard.unwrap_or(self.started)) <= silence
    }

    /// How long a box has been silent.
    #[must_use]
    pub fn silent_for(&self, id: &BoxId, now: Micros) -> Duration {
        let heard = self
            .peers
            .get(id)
            .and_then(|p| p.heard)
            .unwrap_or(self.started);
        now.since(heard)
    }

    /// The live boxes of a failure domain in the order in which they should serve a key.
    #[must_use]
    pub fn ranked(&self, domain: &DomainId, key: &RequestKey, now: Micros) -> Vec<Member> {
        self.ranked_for(domain, rendezvous::item(key), now)
    }

    /// The live boxes of a failure domain in their order for any item.
    #[must_use]
    pub fn ranked_for(&self, domain: &DomainId, item: u64, now: Micros) -> Vec<Member> {
        let mut names: Vec<&BoxId> = self
            .peers
            .values()
            .filter(|p| &p.domain == domain && !p.stopping)
            .filter(|p| self.is_reachable(p, now))
            .map(|p| &p.member.id)
            .collect();
        if domain == &self.domain && (names.is_empty() || !self.stopping) {
            names.push(&self.me.id);
        }
        let texts: Vec<&str> = names.iter().map(|n| n.as_str()).collect();
        let ranked = rendezvous::rank(&texts, item);
        ranked
            .iter()
            .filter_map(|text| names.iter().find(|n| n.as_str() == *text))
            .filter_map(|name| self.member(name).cloned())
            .collect()
    }

    /// Boxes of other failure domains send no heartbeats to most others, so those of a reachable
    /// domain count as alive until a connection to them breaks.
    fn is_reachable(&self, peer: &Peer, now: Micros) -> bool {
        if peer.domain == self.domain {
            return self.peer_is_live(peer, now);
        }
        !peer.lost && self.domain_is_reachable(&peer.domain, now)
    }

    /// Whether any box of a failure domain was heard lately.
    #[must_use]
    pub fn domain_is_reachable(&self, domain: &DomainId, now: Micros) -> bool {
        domain == &self.domain
            || self
                .peers
                .values()
                .any(|p| &p.domain == domain && self.peer_is_live(p, now))
    }

    /// The home of a slice as the roster of a failure domain has it.
    #[must_use]
    pub fn slice_home(&self, domain: &DomainId, slice: SliceId) -> Option<Member> {
        let view = self.rosters.get(domain)?;
        let home = &view.roster.slices.get(usize::from(slice.0))?.home;
        self.member(home).cloned()
    }

    /// The home of a key's slice.
    #[must_use]
    pub fn call_home(&self, domain: &DomainId, key: &RequestKey) -> Option<Member> {
        self.slice_home(domain, slice_of(key))
    }

    /// The successor of a slice of the own failure domain.
    #[must_use]
    pub fn successor(&self, slice: SliceId) -> Option<Member> {
        let place = self.own()?.roster.slices.get(usize::from(slice.0))?;
        self.member(place.successor.as_ref()?).cloned()
    }

    /// Whether this box is the home of a slice.
    #[must_use]
    pub fn is_home(&self, slice: SliceId) -> bool {
        self.is_listed()
            && self
                .own()
                .and_then(|v| v.roster.slices.get(usize::from(slice.0)))
                .is_some_and(|s| s.home == self.me.id)
    }

    /// Whether this box writes its failure domain's deferrable work.
    #[must_use]
    pub fn is_scribe(&self) -> bool {
        self.is_home(crate::keyed::node::roster::SCRIBE_SLICE)
    }
}

fn roster_lists(roster: &Roster, member: &Member) -> bool {
    roster
        .members
        .iter()
        .any(|m| m.id == member.id && m.incarnation == member.incarnation)
}
