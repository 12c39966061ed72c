//! Whether this box can do its work where it stands: a box that is cut off from all endpoints of a
//! service, while boxes of other failure domains may reach them, says that it isn't ready, so that
//! the platform sends its callers there.
//!
//! Two things must come together, since each alone has other causes: no endpoint of the service
//! can be connected to, and no box of another failure domain is heard. The box is ready again as
//! soon as it hears one.

use super::Dispatcher;
use super::record::Record;

impl Dispatcher {
    /// Notes when this box is cut off from what it needs, and when it no longer is.
    pub(super) fn check_reach(&mut self) {
        let is_lost = self.is_cut_off || self.peers.knows_others() && self.lacks_a_service();
        let is_cut_off = is_lost && !self.peers.hears_others(self.now);
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
