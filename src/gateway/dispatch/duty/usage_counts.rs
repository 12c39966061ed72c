//! Counts the requests of each organisation that began to run, by windows of the time of day.
//!
//! Each box counts its own requests and publishes the sums of the last windows each second. Sums
//! only grow, so lost, duplicated or late messages do no harm. Counts that a killed box had not
//! published are lost: those of about one second. Each incarnation of a box counts separately, so a
//! restarted box adds to its earlier counts. Boxes publish to the boxes of their own failure domain
//! that may hold the duty; the first of these sends the sums of the domain to the holder, and they
//! stand for all boxes of it.
//!
//! The alternative, one write to the store for each box and window, would cost hundreds of writes a
//! second, and a box without a path to the store could not make them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Holder, Now};
use crate::clock::UnixMillis;
use crate::schema::{
    BoxId, DomainId, Incarnation, Micros, OrganisationCount, OrganisationId, UsageCountUpdate,
    WindowCounts,
};

/// A window of the time of day: window `k` begins `k` lengths after the start of 1970.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window that contains a time of day.
    #[must_use]
    pub fn at(day: UnixMillis, length: Duration) -> Self {
        Self(day.0 / whole_millis(length))
    }

    /// Returns the end of the window.
    #[must_use]
    pub fn end(self, length: Duration) -> UnixMillis {
        UnixMillis((self.0 + 1).saturating_mul(whole_millis(length)))
    }

    /// Returns the following window.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn whole_millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// Windows in each update, so that counts survive a failure domain that is cut off for some
/// seconds.
const WINDOWS_PUBLISHED: u64 = 4;
/// Windows whose counts are kept.
const WINDOWS_KEPT: u64 = 16;
/// How long a window waits for a box from which nothing is received.
const ACTIVE_WITHIN: Duration = Duration::from_secs(6);
/// How long the counts of a reporter are kept after its last update.
const REPORTER_RETENTION: Duration = Duration::from_secs(120);
/// How long a box listens before it treats the known reporters as complete: each publishes once a
/// second.
const REPORTER_WARM_UP: Duration = Duration::from_secs(2);

type Counts = BTreeMap<OrganisationId, u64>;

/// The requests that began to run at this box.
#[derive(Debug)]
pub struct LocalCounts {
    length: Duration,
    windows: BTreeMap<Window, Counts>,
}

impl LocalCounts {
    /// Creates empty counts for windows of the given length.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request.
    pub fn count(&mut self, organisation: &OrganisationId, day: UnixMillis) {
        let window = self
            .windows
            .entry(Window::at(day, self.length))
            .or_default();
        *window.entry(organisation.clone()).or_default() += 1;
        while self.windows.len() > WINDOWS_KEPT as usize {
            self.windows.pop_first();
        }
    }

    /// Returns the sums of the last windows.
    #[must_use]
    pub fn update(&self, me: &Holder, day: UnixMillis) -> UsageCountUpdate {
        let current = Window::at(day, self.length);
        let first = Window(current.0.saturating_sub(WINDOWS_PUBLISHED - 1));
        let windows = self.windows.range(first..);
        let windows = windows.map(|(window, counts)| WindowCounts {
            window: window.0,
            counts: to_wire(counts),
        });
        UsageCountUpdate {
            from: me.id.clone(),
            incarnation: me.incarnation,
            of_domain: None,
            until_ms: day.0,
            windows: windows.collect(),
        }
    }
}

/// The source of reported counts.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Reporter {
    /// One incarnation of a box.
    Box(BoxId, Incarnation),
    /// A box of another failure domain, on behalf of all boxes there.
    Domain(DomainId),
}

/// The counts from one reporter.
#[derive(Debug)]
struct Reported {
    last_seen: Micros,
    until: UnixMillis,
    windows: BTreeMap<Window, Counts>,
}

impl Reported {
    /// Returns whether an update from the reporter was received recently.
    fn is_active(&self, now: Micros) -> bool {
        now.since(self.last_seen) < ACTIVE_WITHIN
    }
}

fn sums<'a>(reported: impl Iterator<Item = &'a Reported>, window: Window) -> Counts {
    let mut sums = Counts::new();
    let counts = reported.filter_map(|reported| reported.windows.get(&window));
    for (organisation, began) in counts.flatten() {
        *sums.entry(organisation.clone()).or_default() += began;
    }
    sums
}

fn to_wire(counts: &Counts) -> Vec<OrganisationCount> {
    let counts = counts
        .iter()
        .map(|(organisation, began)| OrganisationCount {
            organisation: organisation.clone(),
            began: *began,
        });
    counts.collect()
}

/// The counts from all reporters.
#[derive(Debug, Default)]
pub struct ReportedCounts {
    reporters: BTreeMap<Reporter, Reported>,
    since: Option<Micros>,
}

impl ReportedCounts {
    /// Merges an update from a reporter.
    pub fn on_update(&mut self, update: &UsageCountUpdate, now: Micros) {
        self.since.get_or_insert(now);
        let source = match &update.of_domain {
            Some(domain) => Reporter::Domain(domain.clone()),
            None => Reporter::Box(update.from.clone(), update.incarnation),
        };
        if !self.reporters.contains_key(&source) {
            self.reporters
                .retain(|_, reported| now.since(reported.last_seen) < REPORTER_RETENTION);
        }
        let reported = self.reporters.entry(source).or_insert_with(|| Reported {
            last_seen: now,
            until: UnixMillis(0),
            windows: BTreeMap::new(),
        });
        reported.last_seen = now;
        reported.until = reported.until.max(UnixMillis(update.until_ms));
        for window in &update.windows {
            let known = reported.windows.entry(Window(window.window)).or_default();
            for count in &window.counts {
                let began = known.entry(count.organisation.clone()).or_default();
                *began = (*began).max(count.began);
            }
        }
        while reported.windows.len() > WINDOWS_KEPT as usize {
            reported.windows.pop_first();
        }
    }

    /// Returns the reported counts of a window.
    #[must_use]
    pub fn totals(&self, window: Window) -> Counts {
        sums(self.reporters.values(), window)
    }

    /// Returns the sums over the boxes of this failure domain, with the time up to which all active
    /// ones have reported.
    #[must_use]
    pub fn domain_update(&self, me: &Holder, domain: &DomainId, now: Now) -> UsageCountUpdate {
        let local = self
            .reporters
            .iter()
            .filter_map(|(source, reported)| match source {
                Reporter::Box(..) => Some(reported),
                Reporter::Domain(_) => None,
            });
        let local: Vec<&Reported> = local.collect();
        let active = local
            .iter()
            .filter(|reported| reported.is_active(now.steady));
        let until = active
            .map(|reported| reported.until)
            .min()
            .unwrap_or_default();
        let windows = local.iter().flat_map(|reported| reported.windows.keys());
        let last = windows.max().copied().unwrap_or_default();
        let first = last.0.saturating_sub(WINDOWS_PUBLISHED - 1);
        let windows = (first..=last.0).map(|window| {
            let sums = sums(local.iter().copied(), Window(window));
            WindowCounts {
                window,
                counts: to_wire(&sums),
            }
        });
        UsageCountUpdate {
            from: me.id.clone(),
            incarnation: me.incarnation,
            of_domain: Some(domain.clone()),
            until_ms: until.0,
            windows: windows.collect(),
        }
    }

    /// Returns whether every active reporter has reported up to the end of a window, and each of
    /// the other failure domains has reported at all.
    #[must_use]
    pub fn is_complete(&self, end: UnixMillis, others: &[DomainId], now: Micros) -> bool {
        let is_warm = self
            .since
            .is_some_and(|since| now.since(since) >= REPORTER_WARM_UP);
        let mut reporters = self.reporters.values();
        let is_known = |domain: &DomainId| {
            self.reporters
                .contains_key(&Reporter::Domain(domain.clone()))
        };
        is_warm
            && others.iter().all(is_known)
            && reporters.all(|reported| reported.until >= end || !reported.is_active(now))
    }
}
