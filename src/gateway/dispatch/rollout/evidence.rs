//! The evidence of a roll-out: results of attempts since the order, pooled over boxes and failure
//! domains.
//!
//! Results of one kind form a series: those of one route by the duration of calls, by the time to a
//! stream's first event per thousand tokens of its prompt, or by the time per event of a stream. A
//! box counts its own results and those that boxes of its failure domain report; other domains
//! report their sums. Times are counted in histogram buckets of half an octave, so that no typical
//! time has to be known in advance. Times of the target are counted per endpoint, so that a fault
//! of one endpoint can be told from one of the version.
//!
//! State: the counts, and snapshots of the counts of the last seconds, since a version may turn bad
//! late.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::verdict::{Series, Stratum, Verdict, judge};
use crate::schema::{
    AnswerTimes, DomainId, DomainTally, EndpointId, Micros, RolloutSample, SeriesTally,
};

/// The bucket number of a failed attempt.
pub const FAILED: u8 = u8::MAX;
/// Number of time buckets; they range from 1 ms to half a minute and more.
const BUCKETS: usize = 31;
/// Buckets per doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Length of the recent evidence: long enough for some answers of the target, and short enough for
/// few from before a version turned bad.
const RECENT_WINDOW: Duration = Duration::from_secs(4);
/// Time between two snapshots of the counts.
const EVIDENCE_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// The kinds of time that are measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeKind {
    /// Duration of a whole call, in milliseconds.
    Call = 1,
    /// Time to a stream's first event, in milliseconds per thousand tokens of the prompt.
    FirstEvent = 2,
    /// Time per event of a stream, in milliseconds.
    Event = 3,
}

impl TimeKind {
    /// The kind that is counted once for each attempt, whether or not its first event is.
    #[must_use]
    pub fn of_attempt(is_stream: bool) -> Self {
        if is_stream { Self::Event } else { Self::Call }
    }
}

/// The kinds already counted for an attempt; each is counted at most once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sampled {
    call: bool,
    first_event: bool,
    event: bool,
}

impl Sampled {
    /// The initial value for an attempt at an endpoint where `tokens` tokens of other prompts are
    /// queued before its own: the first event isn't counted if there are any.
    #[must_use]
    pub fn behind(tokens: u32) -> Self {
        Self {
            first_event: tokens > 0,
            ..Self::default()
        }
    }

    /// Marks a kind as counted; returns whether it was not counted before.
    pub fn take(&mut self, kind: TimeKind) -> bool {
        let known = match kind {
            TimeKind::Call => &mut self.call,
            TimeKind::FirstEvent => &mut self.first_event,
            TimeKind::Event => &mut self.event,
        };
        !std::mem::replace(known, true)
    }
}

/// Low bits of a series' name that hold its kind of time.
const KIND_BITS: u32 = 2;

/// The name of the series of a route and a kind of time.
#[must_use]
pub fn series_of(route: &str, kind: TimeKind) -> u32 {
    let route = xxh3_64(route.as_bytes()) as u32;
    route << KIND_BITS | kind as u32
}

/// Whether a series is of the given kind of time.
#[must_use]
pub fn series_has_kind(series: u32, kind: TimeKind) -> bool {
    series & ((1 << KIND_BITS) - 1) == kind as u32
}

/// The histogram bucket of a time.
#[must_use]
pub fn bucket_of(millis: f64) -> u8 {
    let bucket = BUCKETS_PER_DOUBLING * millis.max(1.0).log2();
    (bucket as usize).min(BUCKETS - 1) as u8
}

impl AnswerTimes {
    /// Counts one answer.
    pub fn add(&mut self, bucket: u8) {
        if bucket == FAILED {
            self.failed = self.failed.saturating_add(1);
            return;
        }
        let bucket = usize::from(bucket).min(BUCKETS - 1);
        if self.took.len() <= bucket {
            self.took.resize(bucket + 1, 0);
        }
        self.took[bucket] = self.took[bucket].saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn add_all(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        if self.took.len() < other.took.len() {
            self.took.resize(other.took.len().min(BUCKETS), 0);
        }
        for (own, other) in self.took.iter_mut().zip(&other.took) {
            *own = own.saturating_add(*other);
        }
    }

    /// The difference to an earlier state of the same histogram.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let previous = earlier.took.iter().copied().chain(std::iter::repeat(0));
        let took = self.took.iter().zip(previous);
        Self {
            failed: self.failed.saturating_sub(earlier.failed),
            took: took.map(|(now, then)| now.saturating_sub(then)).collect(),
        }
    }

    /// Number of all answers, including failed ones.
    #[must_use]
    pub fn all(&self) -> u32 {
        self.took
            .iter()
            .fold(self.failed, |sum, more| sum.saturating_add(*more))
    }

    /// Number of answers that failed or whose time is in bucket `slow_from` or a later one.
    #[must_use]
    pub fn bad(&self, slow_from: usize) -> u32 {
        let slow = self.took.iter().skip(slow_from);
        slow.fold(self.failed, |sum, more| sum.saturating_add(*more))
    }
}

/// Answers of a series in this failure domain.
#[derive(Clone, Debug, Default)]
struct OwnSeries {
    baseline: AnswerTimes,
    target: BTreeMap<EndpointId, AnswerTimes>,
}

/// The last report of another failure domain.
#[derive(Clone, Debug)]
struct DomainReport {
    at: Micros,
    series: Vec<SeriesTally>,
}

/// Whether versions other than the target still get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineTraffic {
    /// The other versions get new work.
    Ongoing,
    /// Only the target gets new work: the service has switched.
    Stopped,
}

/// Numbers of requests to a service since an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCounts {
    /// Requests to all versions.
    pub all: f64,
    /// Requests to the target.
    pub of_target: f64,
    /// Requests per second, lately.
    pub rate: f64,
}

/// Counts by series and failure domain.
type Counts = BTreeMap<u32, BTreeMap<DomainId, SeriesTally>>;

/// All results known to this box.
#[derive(Debug, Default)]
pub struct Evidence {
    own: BTreeMap<u32, OwnSeries>,
    other_domains: BTreeMap<DomainId, DomainReport>,
    snapshots: VecDeque<(Micros, Counts)>,
    /// For each series, the bucket from which its times are slow, as of the last verdict.
    slow_from: BTreeMap<u32, usize>,
    /// Results of this box that have not been published to peers.
    unpublished: Vec<RolloutSample>,
}

impl Evidence {
    /// Counts a result that a box of this failure domain got from an endpoint.
    pub fn on_sample(&mut self, sample: &RolloutSample, is_target: bool) {
        let own = self.own.entry(sample.series).or_default();
        let times = if is_target {
            own.target.entry(sample.endpoint.clone()).or_default()
        } else {
            &mut own.baseline
        };
        times.add(sample.step);
    }

    /// Counts a result that this box got itself and queues it for publication.
    pub fn on_own_sample(&mut self, sample: RolloutSample, is_target: bool) {
        self.on_sample(&sample, is_target);
        self.unpublished.push(sample);
    }

    /// Whether times in `bucket` are slow for a series.
    #[must_use]
    pub fn is_slow(&self, series: u32, bucket: u8) -> bool {
        let slow_from = self.slow_from.get(&series);
        slow_from.is_some_and(|from| usize::from(bucket) >= *from)
    }

    /// Removes and returns the unpublished results of this box.
    pub fn take_unpublished(&mut self) -> Vec<RolloutSample> {
        std::mem::take(&mut self.unpublished)
    }

    /// Replaces the report of another domain, unless the known one is as new.
    pub fn on_tally(&mut self, tally: &DomainTally, at: Micros) {
        let known = self.other_domains.get(&tally.domain);
        if known.is_some_and(|known| known.at >= at) {
            return;
        }
        let series = tally.series.clone();
        self.other_domains
            .insert(tally.domain.clone(), DomainReport { at, series });
    }

    /// The sums of this failure domain, to publish to other domains.
    #[must_use]
    pub fn own_tally(&self, domain: &DomainId) -> DomainTally {
        let series = self.own.iter().map(|(series, own)| own.sums(*series));
        DomainTally {
            domain: domain.clone(),
            age_ms: 0,
            is_clear: false,
            series: series.collect(),
        }
    }

    /// The last reports of other domains, to publish within this one.
    #[must_use]
    pub fn other_tallies(&self, now: Micros) -> Vec<DomainTally> {
        let tallies = self
            .other_domains
            .iter()
            .map(|(domain, report)| DomainTally {
                domain: domain.clone(),
                age_ms: super::saturating_millis(now.since(report.at)),
                is_clear: false,
                series: report.series.clone(),
            });
        tallies.collect()
    }

    fn counts(&self, domain: &DomainId) -> Counts {
        let mut counts = Counts::new();
        let own = self.own_tally(domain);
        let others = self
            .other_domains
            .iter()
            .map(|(of, report)| (of, &report.series));
        for (of, series) in others.chain([(domain, &own.series)]) {
            for tally in series {
                let by_domain = counts.entry(tally.series).or_default();
                by_domain.insert(of.clone(), tally.clone());
            }
        }
        counts
    }

    /// Numbers of requests since the order, as far as they are counted: each attempt at a call, and
    /// each stream once its first events have come. `None` until there is an earlier snapshot to
    /// compute the rate from.
    #[must_use]
    pub fn request_counts(&self, domain: &DomainId, now: Micros) -> Option<RequestCounts> {
        let routes = self.routes(domain, now);
        routes.into_values().reduce(|sum, of| RequestCounts {
            all: sum.all + of.all,
            of_target: sum.of_target + of.of_target,
            rate: sum.rate + of.rate,
        })
    }

    /// The same for each route, by the series of its attempts.
    #[must_use]
    pub fn routes(&self, domain: &DomainId, now: Micros) -> BTreeMap<u32, RequestCounts> {
        let mut snapshots = self.snapshots.iter();
        let earlier = snapshots.find(|(at, _)| now.since(*at) <= RECENT_WINDOW && now > *at);
        let Some((at, then)) = earlier else {
            return BTreeMap::new();
        };
        let since = now.since(*at).as_secs_f64();
        let counts = self.counts(domain).into_iter();
        let of_attempts =
            counts.filter(|(series, _)| !series_has_kind(*series, TimeKind::FirstEvent));
        let routes = of_attempts.map(|(series, by_domain)| {
            let (all, of_target) = attempts(&by_domain);
            let before = then.get(&series).map_or(0.0, |then| attempts(then).0);
            let rate = (all - before).max(0.0) / since;
            let requests = RequestCounts {
                all,
                of_target,
                rate,
            };
            (series, requests)
        });
        routes.collect()
    }

    /// The verdict on the target by all results and by the recent ones. `baseline_traffic` tells
    /// whether the other versions still get new work.
    pub fn verdict(
        &mut self,
        domain: &DomainId,
        baseline_traffic: BaselineTraffic,
        now: Micros,
    ) -> Verdict {
        let counts = self.counts(domain);
        let earlier = self.snapshots.iter().rev();
        let mut earlier = earlier.filter(|(at, _)| now.since(*at) >= RECENT_WINDOW);
        let recent = earlier
            .next()
            .map(|(_, then)| counts_since(&counts, then, baseline_traffic));
        let all = series(&counts);
        self.slow_from = all.iter().filter_map(Series::slow_from).collect();
        let verdict = judge(&all, recent.as_ref().map(series).as_deref());
        let is_due = self
            .snapshots
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= EVIDENCE_SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, counts));
            let is_old = |(at, _): &(Micros, Counts)| now.since(*at) > RECENT_WINDOW * 2;
            while self.snapshots.front().is_some_and(is_old) {
                self.snapshots.pop_front();
            }
        }
        verdict
    }
}

impl OwnSeries {
    fn sums(&self, series: u32) -> SeriesTally {
        let mut target = AnswerTimes::default();
        for times in self.target.values() {
            target.add_all(times);
        }
        let slow_from = super::verdict::slow_from(series, &self.baseline);
        let worst = self.target.values();
        let worst = worst.max_by_key(|times| times.bad(slow_from));
        SeriesTally {
            series,
            baseline: self.baseline.clone(),
            target,
            worst: worst.cloned().unwrap_or_default(),
            servers: self.target.len() as u32,
        }
    }
}

/// Number of attempts of a series, and of those at the target.
fn attempts(by_domain: &BTreeMap<DomainId, SeriesTally>) -> (f64, f64) {
    let tallies = by_domain.values();
    tallies.fold((0.0, 0.0), |(all, of_target), tally| {
        let target = f64::from(tally.target.all());
        let baseline = f64::from(tally.baseline.all());
        (all + target + baseline, of_target + target)
    })
}

/// The counts that have come since an earlier snapshot.
fn counts_since(counts: &Counts, then: &Counts, baseline_traffic: BaselineTraffic) -> Counts {
    let since = |series: &u32, domain: &DomainId, now: &SeriesTally| {
        let then = then.get(series).and_then(|by_domain| by_domain.get(domain));
        then.map_or_else(
            || now.clone(),
            |then| {
                let target = now.target.since(&then.target);
                SeriesTally {
                    series: *series,
                    baseline: recent_baseline(
                        &now.baseline,
                        &then.baseline,
                        &target,
                        baseline_traffic,
                    ),
                    target,
                    worst: now.worst.since(&then.worst),
                    servers: now.servers,
                }
            },
        )
    };
    let counts = counts.iter().map(|(series, by_domain)| {
        let by_domain = by_domain.iter();
        let by_domain = by_domain.map(|(domain, now)| (domain.clone(), since(series, domain, now)));
        (*series, by_domain.collect())
    });
    counts.collect()
}

/// The baseline to compare recent answers of the target with: the recent baseline answers, or all
/// of them if new work goes to the target alone or if fewer recent ones came than of the target. A
/// few last answers are no basis for judging many, and endpoints that run empty answer faster than
/// before.
fn recent_baseline(
    baseline: &AnswerTimes,
    then: &AnswerTimes,
    target: &AnswerTimes,
    baseline_traffic: BaselineTraffic,
) -> AnswerTimes {
    let recent = baseline.since(then);
    if baseline_traffic == BaselineTraffic::Stopped || recent.all() < target.all() {
        baseline.clone()
    } else {
        recent
    }
}

fn series(counts: &Counts) -> Vec<Series> {
    let series = counts.iter().map(|(name, by_domain)| Series {
        name: *name,
        strata: by_domain.values().map(Stratum::from).collect(),
    });
    series.collect()
}
