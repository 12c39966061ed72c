//! How many requests of each organisation began to run, by windows of the time of day.
//!
//! Each box counts its own and tells the sums of the last windows each second; sums only grow, so a
//! message that is lost, comes twice or late does no harm. What a killed box had not told is lost: a
//! second's worth. A life of a box counts for itself, so one that starts again adds to what it was.
//! Boxes tell those of their own failure domain that may hold the duty; of these each domain's first
//! tells the holder the sums of the domain, which stand for all its boxes.
//!
//! Weighed: a write to the store for each box and window (hundreds of writes a second, and a box
//! without a path to the store can't), against counts that ride on messages between boxes, as here.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Holder, Now};
use crate::clock::UnixMillis;
use crate::schema::{
    BoxId, DomainId, Incarnation, Micros, OrganisationCount, OrganisationId, UsageCountUpdate,
    WindowCounts,
};

/// A window of the time of day: number `k` begins `k` lengths after the start of 1970.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Window(pub u64);

impl Window {
    /// The window of a time of day.
    #[must_use]
    pub fn at(day: UnixMillis, length: Duration) -> Self {
        Self(day.0 / whole_millis(length))
    }

    /// When it ends.
    #[must_use]
    pub fn end(self, length: Duration) -> UnixMillis {
        UnixMillis((self.0 + 1).saturating_mul(whole_millis(length)))
    }

    /// The one after it.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn whole_millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// Windows that a box tells of: a failure domain may be cut off for some seconds.
const WINDOWS_TOLD: u64 = 4;
/// Windows of which counts are kept.
const WINDOWS_KEPT: u64 = 16;
/// How long a box that says nothing is waited for.
const HEARD_WITHIN: Duration = Duration::from_secs(6);
/// How long what a life told is kept after it was heard last.
const LIFE_REMEMBERED: Duration = Duration::from_secs(120);
/// How long a box listens before it knows who counts: each tells once a second.
const LISTENS_FOR: Duration = Duration::from_secs(2);

type Counts = BTreeMap<OrganisationId, u64>;

/// What began at this box.
#[derive(Debug)]
pub struct BeganCounts {
    length: Duration,
    windows: BTreeMap<Window, Counts>,
}

impl BeganCounts {
    /// Nothing yet, in windows of a length.
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

    /// The sums of the last windows.
    #[must_use]
    pub fn news(&self, me: &Holder, day: UnixMillis) -> UsageCountUpdate {
        let current = Window::at(day, self.length);
        let first = Window(current.0.saturating_sub(WINDOWS_TOLD - 1));
        let windows = self.windows.range(first..);
        let windows = windows.map(|(window, counts)| WindowCounts {
            window: window.0,
            counts: told_counts(counts),
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

/// Who told what began.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Teller {
    /// A box, in one of its lives.
    Box(BoxId, Incarnation),
    /// Some box of another failure domain, for all boxes there.
    Domain(DomainId),
}

/// What a life of a box told.
#[derive(Debug)]
struct Told {
    heard: Micros,
    until: UnixMillis,
    windows: BTreeMap<Window, Counts>,
}

impl Told {
    /// Whether its teller was heard lately.
    fn is_heard(&self, now: Micros) -> bool {
        now.since(self.heard) < HEARD_WITHIN
    }
}

fn sums<'a>(told: impl Iterator<Item = &'a Told>, window: Window) -> Counts {
    let mut sums = Counts::new();
    let counts = told.filter_map(|told| told.windows.get(&window));
    for (organisation, began) in counts.flatten() {
        *sums.entry(organisation.clone()).or_default() += began;
    }
    sums
}

fn told_counts(counts: &Counts) -> Vec<OrganisationCount> {
    let counts = counts
        .iter()
        .map(|(organisation, began)| OrganisationCount {
            organisation: organisation.clone(),
            began: *began,
        });
    counts.collect()
}

/// What all boxes told.
#[derive(Debug, Default)]
pub struct Ledger {
    tellers: BTreeMap<Teller, Told>,
    since: Option<Micros>,
}

impl Ledger {
    /// Takes in what a box told.
    pub fn on_news(&mut self, news: &UsageCountUpdate, now: Micros) {
        self.since.get_or_insert(now);
        let teller = match &news.of_domain {
            Some(domain) => Teller::Domain(domain.clone()),
            None => Teller::Box(news.from.clone(), news.incarnation),
        };
        if !self.tellers.contains_key(&teller) {
            self.tellers
                .retain(|_, told| now.since(told.heard) < LIFE_REMEMBERED);
        }
        let told = self.tellers.entry(teller).or_insert_with(|| Told {
            heard: now,
            until: UnixMillis(0),
            windows: BTreeMap::new(),
        });
        told.heard = now;
        told.until = told.until.max(UnixMillis(news.until_ms));
        for window in &news.windows {
            let known = told.windows.entry(Window(window.window)).or_default();
            for count in &window.counts {
                let began = known.entry(count.organisation.clone()).or_default();
                *began = (*began).max(count.began);
            }
        }
        while told.windows.len() > WINDOWS_KEPT as usize {
            told.windows.pop_first();
        }
    }

    /// What began in a window, as far as it was told.
    #[must_use]
    pub fn totals(&self, window: Window) -> Counts {
        sums(self.tellers.values(), window)
    }

    /// The sums over the boxes of this box's failure domain, with the time until which all of them
    /// that are heard have told.
    #[must_use]
    pub fn domain_news(&self, me: &Holder, domain: &DomainId, now: Now) -> UsageCountUpdate {
        let near = self
            .tellers
            .iter()
            .filter_map(|(teller, told)| match teller {
                Teller::Box(..) => Some(told),
                Teller::Domain(_) => None,
            });
        let near: Vec<&Told> = near.collect();
        let heard = near.iter().filter(|told| told.is_heard(now.steady));
        let until = heard.map(|told| told.until).min().unwrap_or_default();
        let windows = near.iter().flat_map(|told| told.windows.keys());
        let last = windows.max().copied().unwrap_or_default();
        let first = last.0.saturating_sub(WINDOWS_TOLD - 1);
        let windows = (first..=last.0).map(|window| {
            let sums = sums(near.iter().copied(), Window(window));
            WindowCounts {
                window,
                counts: told_counts(&sums),
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

    /// Whether every box that was heard lately has told all of a window that ends at a time of day, and
    /// each of the other failure domains has told anything.
    #[must_use]
    pub fn is_whole(&self, end: UnixMillis, others: &[DomainId], now: Micros) -> bool {
        let listens = self
            .since
            .is_some_and(|since| now.since(since) >= LISTENS_FOR);
        let mut tellers = self.tellers.values();
        let is_known =
            |domain: &DomainId| self.tellers.contains_key(&Teller::Domain(domain.clone()));
        listens
            && others.iter().all(is_known)
            && tellers.all(|told| told.until >= end || !told.is_heard(now))
    }
}
