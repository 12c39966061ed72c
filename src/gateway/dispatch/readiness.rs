//! When this box is ready for callers.
//!
//! The rule ([`Dispatcher::is_ready`]): it knows a table and the endpoints, is not stopping, and is
//! not cut off. It is cut off when two things come together, since each alone has other causes: no
//! endpoint of some service can be connected to and none is in the own failure domain, and no box
//! of another failure domain was heard for 0.7 s. It is ready again as soon as it hears one. The
//! platform then sends callers to boxes that can reach the service.
//!
//! Weighed: silence of other domains alone.

use super::Dispatcher;
use super::record::Record;

impl Dispatcher {
    /// Whether the box can answer callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_configured = self.table.is_some() && self.fleet.is_known();
        is_configured && self.stop_deadline.is_none() && !self.is_cut_off
    }

    /// Notes when this box is cut off from what it needs, and when it no longer is.
    pub(super) fn check_reach(&mut self) {
        let is_lost = self.is_cut_off || self.peers.knows_other_domains() && self.lacks_a_service();
        let is_cut_off = is_lost && !self.peers.has_seen_other_domains(self.now);
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

    fn lacks_a_service(&self) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        let mut services = table.services();
        services.any(|service| self.fleet.is_out_of_reach(&service.name, &self.cfg.domain))
    }
}
