//! Choice of the box that relays an attempt, and what is known of boxes as relays.
//!
//! A relay in the own failure domain is preferred, since its bytes cross no border. Each box uses a
//! few boxes of each domain, by rendezvous hash, and one of these at random for each attempt: the
//! load of a cut box spreads over several others, and pooled tunnels are reused. A relay that fails
//! is set aside with backoff, and the next one by the hash takes its place. Once [`LOCAL_TRIES`]
//! boxes of the own domain are set aside at once the whole domain is taken for cut, and boxes of
//! other domains relay.
//!
//! State: failures of relays and the last connection that each has made.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::backoff::doubled;
use crate::rendezvous;
use crate::schema::{BoxId, DomainId, Micros};

/// Relays of a failure domain that a box uses at the same time.
const RELAYS_USED: usize = 3;
/// Boxes of the own domain that must be set aside before boxes of other domains relay.
const LOCAL_TRIES: usize = 4;
/// Time for which a relay is set aside after its first failure.
const FIRST_ASIDE: Duration = Duration::from_secs(1);
/// Doublings of that time.
const MOST_DOUBLINGS: u32 = 2;
/// Age up to which a connection that a relay made shows that its own path works.
const VOUCHES_FOR: Duration = Duration::from_secs(2);

/// A box that can relay attempts.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Relay {
    /// Address at which other boxes reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// What is known of a box as a relay.
#[derive(Clone, Copy, Debug, Default)]
struct RelayHealth {
    failures: u32,
    aside_until: Micros,
    connected_at: Option<Micros>,
}

/// What this box knows of other boxes as relays.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    health: BTreeMap<SocketAddr, RelayHealth>,
}

impl RelayChoice {
    /// Chooses a relay among `candidates` for a box of a failure domain.
    #[must_use]
    pub fn choose(
        &self,
        me: &BoxId,
        domain: &DomainId,
        candidates: &[Relay],
        rng: &mut ChaCha8Rng,
        now: Micros,
    ) -> Option<Relay> {
        let (local, remote): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|relay| relay.domain == *domain);
        let aside = local.iter().filter(|r| self.is_aside(r.address, now));
        let local = if aside.count() < LOCAL_TRIES {
            self.usable(me, local, now)
        } else {
            Vec::new()
        };
        let used = if local.is_empty() {
            self.usable(me, remote, now)
        } else {
            local
        };
        used.choose(rng).map(|relay| (*relay).clone())
    }

    /// The first [`RELAYS_USED`] relays by rendezvous hash that are not set aside.
    fn usable<'a>(&self, me: &BoxId, among: Vec<&'a Relay>, now: Micros) -> Vec<&'a Relay> {
        let item = rendezvous::item(me.as_str());
        let mut usable = among;
        usable.retain(|relay| !self.is_aside(relay.address, now));
        usable.sort_by_key(|relay| {
            std::cmp::Reverse(rendezvous::score(&relay.address.to_string(), item))
        });
        usable.truncate(RELAYS_USED);
        usable
    }

    /// Whether a relay failed lately.
    #[must_use]
    pub fn is_aside(&self, relay: SocketAddr, now: Micros) -> bool {
        self.health
            .get(&relay)
            .is_some_and(|health| now < health.aside_until)
    }

    /// Whether a relay's failed connection shows that the endpoint has failed: the relay has reached
    /// another one lately.
    #[must_use]
    pub fn vouches(&self, relay: SocketAddr, now: Micros) -> bool {
        let health = self.health.get(&relay);
        let connected_at = health.and_then(|health| health.connected_at);
        connected_at.is_some_and(|at| now.since(at) < VOUCHES_FOR)
    }

    /// Handles a connection that a relay made.
    pub fn on_connected(&mut self, relay: SocketAddr, now: Micros) {
        let health = self.health.entry(relay).or_default();
        health.failures = 0;
        health.aside_until = Micros::ZERO;
        health.connected_at = Some(now);
    }

    /// Handles the failure of a relay.
    pub fn on_failed(&mut self, relay: SocketAddr, now: Micros) {
        let health = self.health.entry(relay).or_default();
        health.connected_at = None;
        if now < health.aside_until {
            return;
        }
        health.aside_until = now.after(doubled(FIRST_ASIDE, health.failures, MOST_DOUBLINGS));
        health.failures += 1;
    }

    /// Forgets all relays; called once no path is lost.
    pub fn clear(&mut self) {
        self.health.clear();
    }
}
