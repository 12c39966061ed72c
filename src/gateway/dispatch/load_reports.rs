//! Reports of the load on engines between failure domains: who sends what, and when.
//!
//! The first store watcher of a domain sums what the boxes of its domain run at engines, which these
//! tell each other as attempts begin and end. It sends the sums to one box of each other domain, to
//! another one each time, every [`LOAD_REPORT_INTERVAL`], or earlier if the sum of KV memory has changed a
//! lot. The receiver forwards a report that is newer than the one it has to the boxes of its own
//! domain. So the bytes between domains grow with the number of domains, not with that of boxes, and
//! the work of forwarding is spread over the boxes. Nothing is sent while no engine is used.
//!
//! Whether a report is due is looked at when a tick or a message of the own domain is handled anyway,
//! so an idle box does not wake up for it; it has a tick for gossip every 300 ms.
//!
//! A report that is lost, or sent to a box that does not run, is followed by the next one after
//! [`LOAD_REPORT_INTERVAL`]. If the sender dies, the next store watcher sends once it has found that out,
//! after 3 s; meanwhile the reports expire and placement goes on without them.
//!
//! The receivers are not the store watchers of the other domain, because a box knows only those of
//! its own domain. State: the last report. What is known of other domains is in
//! [`super::fleet::domain_load`].

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::fleet::domain_load::MAX_ENGINES;
use super::request::millis;
use crate::schema::{EngineLoad, EngineLoadReport, Micros};

/// Time between two reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at the sum of KV memory, after each of which a report may be sent.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A report is sent before its interval is over if the sum of KV memory has changed by more than the
/// last reported sum divided by this.
const CHANGE_DIVISOR: u64 = 4;

/// When this box reports next, and what it reported last.
#[derive(Debug, Default)]
pub(super) struct LoadReports {
    next_check: Micros,
    /// Time and sum of KV memory of the last report.
    last: Option<(Micros, u64)>,
    /// Number of reports sent.
    sent: usize,
}

impl LoadReports {
    /// Whether a report with this sum of KV memory is to be sent now.
    fn is_due(&self, memory: u64, now: Micros) -> bool {
        let (at, reported) = self.last.unwrap_or_default();
        let has_changed = memory.abs_diff(reported) * CHANGE_DIVISOR > reported;
        has_changed || (memory > 0 && now.since(at) >= LOAD_REPORT_INTERVAL)
    }
}

impl Dispatcher {
    /// Sends the load of the own domain to the other domains, if this box reports and that is due.
    pub(super) fn publish_load_if_due(&mut self) {
        let now = self.now;
        if now < self.load_reports.next_check {
            return;
        }
        self.load_reports.next_check = now.after(LOAD_CHECK_INTERVAL);
        if !self.store_watchers.is_first(self.peers.roster(), now) {
            self.load_reports.last = None;
            return;
        }
        let engines = self.fleet.engine_loads(now);
        let memory = engines.iter().map(|load| u64::from(load.memory)).sum();
        if self.load_reports.is_due(memory, now) {
            self.load_reports.last = Some((now, memory));
            self.publish_load(engines);
        }
    }

    fn publish_load(&mut self, mut engines: Vec<EngineLoad>) {
        self.load_reports.sent += 1;
        let turn = self.load_reports.sent;
        let to = self.peers.next_of_each_other_domain(turn, self.now);
        if to.is_empty() {
            return;
        }
        engines.truncate(MAX_ENGINES);
        let report = EngineLoadReport {
            domain: self.cfg.domain.clone(),
            sent_at: millis(self.now.since(Micros::ZERO)),
            age_ms: 0,
            is_forwarded: false,
            engines,
        };
        self.send_load(to, report);
    }

    /// Applies a report of another domain and forwards it if it came directly from there.
    pub(super) fn on_peer_load(&mut self, report: &EngineLoadReport) {
        let is_own = report.domain == self.cfg.domain;
        if is_own || !self.fleet.on_domain_load(report, self.now) || report.is_forwarded {
            return;
        }
        let to = self.peers.of_own_domain(self.now);
        let forwarded = EngineLoadReport {
            is_forwarded: true,
            ..report.clone()
        };
        if !to.is_empty() {
            self.send_load(to, forwarded);
        }
    }

    fn send_load(&mut self, to: Vec<SocketAddr>, report: EngineLoadReport) {
        let from = self.cfg.me.clone();
        self.actions.push(Action::PublishLoad { to, from, report });
    }
}
