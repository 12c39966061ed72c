//! Readiness of this box for callers.
//!
//! The box is ready ([`Dispatcher::is_ready`]) if it has a table and an endpoint list, is not
//! stopping, and is not cut off. It is cut off if two conditions hold together, since each alone
//! has other causes: for some service no endpoint accepts connections and none is in the own
//! failure domain; and no message from a box of another failure domain arrived for 0.7 s. It is
//! ready again as soon as such a message arrives. The platform sends callers only to ready boxes,
//! so they reach boxes that can reach the service.
//!
//! Rejected alternative: missing messages of other domains alone.

use super::Dispatcher;
use super::record::Record;

impl Dispatcher {
    /// Whether the box can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_configured = self.table.is_some() && self.fleet.is_known();
        is_configured && !self.is_stopping() && !self.is_cut_off
    }

    /// Updates whether this box is cut off, and records a change.
    pub(super) fn check_connectivity(&mut self) {
        let lacks_endpoints =
            self.is_cut_off || self.peers.knows_other_domains() && self.has_unreachable_service();
        let is_cut_off = lacks_endpoints && !self.peers.has_seen_other_domains(self.now);
        if is_cut_off == self.is_cut_off {
            return;
        }
        self.is_cut_off = is_cut_off;
        let state = if is_cut_off { "cut_off" } else { "not_cut_off" };
        self.record(Record::Process {
            state: state.into(),
            detail: String::new(),
        });
    }

    fn has_unreachable_service(&self) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        let mut services = table.services();
        services.any(|service| self.fleet.is_out_of_reach(&service.name, &self.cfg.domain))
    }
}
