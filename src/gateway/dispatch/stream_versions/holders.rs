//! Which boxes hold the record of a stream.
//!
//! Two boxes of the failure domain that serves the stream, and two of one other domain: the loss of
//! any two boxes, or of a domain, leaves one of them. All boxes rank the boxes of their domain by
//! rendezvous hash and so agree on the two without a message, as far as their rosters agree. A box
//! doesn't know all boxes of other domains. It sends the record to any box there, which passes it on
//! to the two of its domain. The other domain is the first by rendezvous hash that is not the own one;
//! a box that asks doesn't know which domain served the stream, so it asks in several.

use std::net::SocketAddr;

use crate::gateway::dispatch::Dispatcher;
use crate::rendezvous;
use crate::schema::{DomainId, StreamKey};

/// Boxes of a failure domain that hold a record.
pub const HOLDERS_PER_DOMAIN: usize = 2;
/// Other failure domains that are asked for a record: the first one may have served the stream, or be
/// lost when the stream began.
pub const DOMAINS_ASKED: usize = 3;

/// The first boxes of a failure domain for a stream.
#[must_use]
pub fn rank_boxes(boxes: impl Iterator<Item = SocketAddr>, stream: StreamKey) -> Vec<SocketAddr> {
    let scored = boxes.map(|address| (rendezvous::score(&address.to_string(), stream.0), address));
    let mut scored: Vec<(u64, SocketAddr)> = scored.collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    let first = scored.into_iter().take(HOLDERS_PER_DOMAIN);
    first.map(|(_, address)| address).collect()
}

impl Dispatcher {
    /// The boxes of the own failure domain that hold the record of a stream, this one left out.
    pub(super) fn local_holders(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let me = self.cfg.address;
        let running = self.peers.roster().running(self.now);
        let mut holders = rank_boxes(running.chain([me]), stream);
        holders.retain(|address| *address != me);
        holders
    }

    /// The other failure domains, by their rank for a stream.
    fn rank_domains(&self, stream: StreamKey) -> Vec<DomainId> {
        let mut domains = self.peers.roster().other_domains();
        domains.sort_by_cached_key(|domain| std::cmp::Reverse(rendezvous::score(domain, stream.0)));
        domains
    }

    /// A box of the first other failure domain for a stream that has been heard of lately.
    pub(super) fn remote_holder(&mut self, stream: StreamKey) -> Option<SocketAddr> {
        let domains = self.rank_domains(stream);
        domains
            .iter()
            .find_map(|domain| self.peers.recent_in_domain(domain, &mut self.rng, self.now))
    }

    /// Boxes of the other failure domains that may hold the record of a stream, one of each.
    pub(super) fn remote_candidates(&mut self, stream: StreamKey) -> Vec<SocketAddr> {
        let domains = self.rank_domains(stream);
        let asked = domains.iter().take(DOMAINS_ASKED);
        asked
            .filter_map(|domain| self.peers.any_in_domain(domain, &mut self.rng, self.now))
            .collect()
    }
}
