//! What engines get beyond the first arrival of each request, against the callers' bound.
//!
//! The bound sums all boxes, whatever goes wrong: in any window, arrivals beyond the first of their
//! request are at most a ratio of the requests and a reserve. Requests are those of the window, of
//! the window before it or of the one half a window before it, whichever holds the most.

use std::collections::HashSet;
use std::time::Duration;

use magpiemoor::schema::Micros;

use super::Place;
use crate::gateway::boxes::retry_policy;
use crate::gateway::versions::score::Counts;

/// Time after an outage in which arrivals that are turned away are counted apart.
const AFTER_OUTAGE: Duration = Duration::from_secs(10);

/// All arrivals of a play, in order of time.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    requests: Vec<Micros>,
    has_arrived: HashSet<Place>,
    /// Arrivals beyond the first of their request.
    repeats: Vec<Micros>,
    turned_away: Vec<Micros>,
    outages: Vec<Micros>,
}

impl Arrivals {
    /// A caller sent an attempt to a box.
    pub fn on_request(&mut self, now: Micros) {
        self.requests.push(now);
    }

    /// A box's attempt arrived at an engine.
    pub fn on_arrival(&mut self, place: Place, now: Micros) {
        if !self.has_arrived.insert(place) {
            self.repeats.push(now);
        }
    }

    /// A box's attempt arrived at an engine that is another instance than it was meant for.
    pub fn on_turned_away(&mut self, place: Place, now: Micros) {
        self.turned_away.push(now);
        self.on_arrival(place, now);
    }

    /// A failure domain was struck.
    pub fn on_outage(&mut self, now: Micros) {
        self.outages.push(now);
    }

    /// Adds what it came to.
    pub fn judge(&self, counts: &mut Counts) {
        counts.requests += self.requests.len() as u64;
        counts.repeats += self.repeats.len() as u64;
        let is_after = |at: &&Micros| {
            let mut outages = self.outages.iter();
            outages.any(|outage| **at >= *outage && at.since(*outage) < AFTER_OUTAGE)
        };
        counts.turned_away += self.turned_away.iter().filter(is_after).count() as u64;
        counts.requests_after_outage += self.requests.iter().filter(is_after).count() as u64;
        let excess = self.repeats.iter().map(|at| self.excess(*at));
        counts.excess = excess.fold(counts.excess, f64::max);
    }

    /// By how much the window that begins at a time exceeds the bound; negative if it doesn't.
    fn excess(&self, from: Micros) -> f64 {
        let policy = retry_policy();
        let window = policy.window;
        let requests = [Duration::ZERO, window / 2, window]
            .map(|earlier| count(&self.requests, from.before(earlier), window));
        let most = requests.into_iter().max().unwrap_or_default();
        let allowed = policy.ratio * most as f64 + policy.reserve;
        count(&self.repeats, from, window) as f64 - allowed
    }
}

/// How many of some times lie in a window.
fn count(times: &[Micros], from: Micros, window: Duration) -> usize {
    let before = |end: Micros| times.partition_point(|at| *at < end);
    before(from.after(window)) - before(from)
}
