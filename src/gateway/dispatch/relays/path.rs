//! The direct path of this box to the endpoints of one service: whether connections can be made.
//!
//! A box can't tell from one failed connection whether the endpoint or its own path has failed. The
//! path is suspected once connections to a few endpoints failed within [`FAILURE_WINDOW`], or to all
//! of them if there are fewer. The box then connects to other endpoints
//! of the service, at once and each [`PATH_CHECK_INTERVAL`]. If none of them accepts, the path is lost; a
//! connection that is made shows that it works. So endpoints that fail while others work cost three
//! connections and change nothing else.
//!
//! Answers on connections that were open before don't count as evidence: in some cuts these live on
//! while new ones are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::schema::{EndpointId, Micros};

/// Time within which these connections fail.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Time between two checks of a suspected or lost path.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What a check changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// Nothing.
    None,
    /// The path works again.
    Restored,
    /// The path that was suspected is lost.
    Confirmed,
}

/// Whether new connections to the endpoints of a service can be made.
#[derive(Clone, Debug, Default)]
pub struct DirectPath {
    /// Endpoints to which a connection failed, and when it did last.
    failures: BTreeMap<EndpointId, Micros>,
    /// When the next check is due; `None` while nothing speaks against the path.
    next_check: Option<Micros>,
    /// Whether a check has failed since the path was suspected.
    is_confirmed: bool,
}

impl DirectPath {
    /// Whether the path is lost: it is suspected, and a check of it failed.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.is_suspected() && self.is_confirmed
    }

    fn is_suspected(&self) -> bool {
        self.next_check.is_some()
    }

    /// Handles a failed connection; returns whether the path is suspected from now on, as connections
    /// to `enough` endpoints failed lately.
    pub fn on_failure(&mut self, endpoint: &EndpointId, enough: usize, now: Micros) -> bool {
        self.failures
            .retain(|_, at| now.since(*at) < FAILURE_WINDOW);
        self.failures.insert(endpoint.clone(), now);
        let is_new = !self.is_suspected() && self.failures.len() >= enough;
        if is_new {
            self.next_check = Some(now);
            self.is_confirmed = false;
        }
        is_new
    }

    /// Handles the result of a check.
    pub fn on_checked(&mut self, is_reached: bool) -> PathChange {
        if !self.is_suspected() {
            return PathChange::None;
        }
        if is_reached {
            *self = Self::default();
            return PathChange::Restored;
        }
        let was_confirmed = std::mem::replace(&mut self.is_confirmed, true);
        if was_confirmed {
            PathChange::None
        } else {
            PathChange::Confirmed
        }
    }

    /// Whether a check is due; the next one is due [`PATH_CHECK_INTERVAL`] later.
    pub fn take_due_check(&mut self, now: Micros) -> bool {
        let is_due = self.next_check.is_some_and(|at| now >= at);
        if is_due {
            self.next_check = Some(now.after(PATH_CHECK_INTERVAL));
        }
        is_due
    }

    /// When the next check is due.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.next_check
    }

    /// Whether a connection to an endpoint failed lately.
    #[must_use]
    pub fn has_failed(&self, endpoint: &EndpointId) -> bool {
        self.failures.contains_key(endpoint)
    }

    /// The endpoints to which connections failed lately.
    pub fn failed(&self) -> impl Iterator<Item = &EndpointId> {
        self.failures.keys()
    }
}
