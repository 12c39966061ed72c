//! What endpoints answered since an order, pooled over boxes and failure domains.
//!
//! Answers of one kind form a series: those of a route, by the time that a call took, that a stream's
//! first event took for a thousand tokens of its prompt, or that one of its events took. A box counts
//! its own answers and those that the boxes of its domain tell; of other domains it is told the sums.
//! Times are kept in steps of half an octave, so that no typical time has to be known beforehand, and
//! by endpoint for the target, so that the fault of one endpoint can be told from that of a version.
//!
//! Owns: the counts, and what was known some seconds ago, since a version may turn bad late.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::verdict::{Series, Stratum, Verdict, judge};
use crate::schema::{
    AnswerTimes, DomainId, DomainTally, EndpointId, Micros, RolloutSample, SeriesTally,
};

/// The step that stands for an answer that failed.
pub const FAILED: u8 = u8::MAX;
/// Steps of time: from 1 ms to half a minute and more.
const STEPS: usize = 31;
/// Steps for each doubling of the time.
const STEPS_PER_DOUBLING: f64 = 2.0;
/// How far back the newer part of the evidence reaches: it must hold some answers of the target,
/// and few from before a version turned bad.
const RECENT: Duration = Duration::from_secs(4);
/// How often the counts are kept to be compared with.
const KEEP_EVERY: Duration = Duration::from_millis(500);

/// What of an answer is timed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timed {
    /// A whole call, in milliseconds.
    Call = 1,
    /// A stream's first event, in milliseconds for a thousand tokens of the prompt.
    FirstEvent = 2,
    /// A stream's events, in milliseconds each.
    Event = 3,
}

impl Timed {
    /// What is counted of each attempt once, whether or not its first event is.
    #[must_use]
    pub fn of_attempt(is_stream: bool) -> Self {
        if is_stream { Self::Event } else { Self::Call }
    }
}

/// What of an attempt was counted: each once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sampled {
    call: bool,
    first_event: bool,
    event: bool,
}

impl Sampled {
    /// What is counted of an attempt at an endpoint where tokens of other prompts are before its own.
    #[must_use]
    pub fn behind(tokens: u32) -> Self {
        Self {
            first_event: tokens > 0,
            ..Self::default()
        }
    }

    /// Notes that something is counted; returns whether it was not before.
    pub fn take(&mut self, timed: Timed) -> bool {
        let known = match timed {
            Timed::Call => &mut self.call,
            Timed::FirstEvent => &mut self.first_event,
            Timed::Event => &mut self.event,
        };
        !std::mem::replace(known, true)
    }
}

/// Bits of a series' name that tell what is timed.
const TIMED_BITS: u32 = 2;

/// The name of a series.
#[must_use]
pub fn series_of(route: &str, timed: Timed) -> u32 {
    let route = xxh3_64(route.as_bytes()) as u32;
    route << TIMED_BITS | timed as u32
}

/// Whether a series is of something that is timed.
#[must_use]
pub fn is_of(series: u32, timed: Timed) -> bool {
    series & ((1 << TIMED_BITS) - 1) == timed as u32
}

/// The step of a time.
#[must_use]
pub fn step_of(millis: f64) -> u8 {
    let step = STEPS_PER_DOUBLING * millis.max(1.0).log2();
    (step as usize).min(STEPS - 1) as u8
}

impl AnswerTimes {
    /// Counts an answer.
    pub fn add(&mut self, step: u8) {
        if step == FAILED {
            self.failed = self.failed.saturating_add(1);
            return;
        }
        let step = usize::from(step).min(STEPS - 1);
        if self.took.len() <= step {
            self.took.resize(step + 1, 0);
        }
        self.took[step] = self.took[step].saturating_add(1);
    }

    /// Counts the answers of another count too.
    pub fn add_all(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        if self.took.len() < other.took.len() {
            self.took.resize(other.took.len().min(STEPS), 0);
        }
        for (own, other) in self.took.iter_mut().zip(&other.took) {
            *own = own.saturating_add(*other);
        }
    }

    /// What has come since an earlier count.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let before = earlier.took.iter().copied().chain(std::iter::repeat(0));
        let took = self.took.iter().zip(before);
        Self {
            failed: self.failed.saturating_sub(earlier.failed),
            took: took.map(|(now, then)| now.saturating_sub(then)).collect(),
        }
    }

    /// All answers.
    #[must_use]
    pub fn all(&self) -> u32 {
        self.took
            .iter()
            .fold(self.failed, |sum, more| sum.saturating_add(*more))
    }

    /// Answers that failed, or took a step of time or a longer one.
    #[must_use]
    pub fn bad(&self, slow_from: usize) -> u32 {
        let slow = self.took.iter().skip(slow_from);
        slow.fold(self.failed, |sum, more| sum.saturating_add(*more))
    }
}

/// The answers of a series in the own domain.
#[derive(Clone, Debug, Default)]
struct Own {
    baseline: AnswerTimes,
    target: BTreeMap<EndpointId, AnswerTimes>,
}

/// What another domain told.
#[derive(Clone, Debug)]
struct Told {
    at: Micros,
    series: Vec<SeriesTally>,
}

/// What gets new work beside the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beside {
    /// Other versions.
    Others,
    /// Nothing: the service has switched.
    Nothing,
}

/// Requests to a service since an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requests {
    /// All of them.
    pub all: f64,
    /// Those to the target.
    pub of_target: f64,
    /// How many come in a second lately.
    pub rate: f64,
}

/// Counts of all series, by failure domain.
type Counts = BTreeMap<u32, BTreeMap<DomainId, SeriesTally>>;

/// What is known of the answers.
#[derive(Debug, Default)]
pub struct Evidence {
    own: BTreeMap<u32, Own>,
    others: BTreeMap<DomainId, Told>,
    kept: VecDeque<(Micros, Counts)>,
    /// The steps from which times are slow, by series, when the evidence was judged last.
    slow_from: BTreeMap<u32, usize>,
    /// Answers of this box that peers have not been told of.
    unpublished: Vec<RolloutSample>,
}

impl Evidence {
    /// Counts an answer that an endpoint gave to a box of the own domain.
    pub fn on_sample(&mut self, sample: &RolloutSample, is_target: bool) {
        let own = self.own.entry(sample.series).or_default();
        let times = if is_target {
            own.target.entry(sample.endpoint.clone()).or_default()
        } else {
            &mut own.baseline
        };
        times.add(sample.step);
    }

    /// Counts an answer that this box got itself, and keeps it to be told.
    pub fn on_own_sample(&mut self, sample: RolloutSample, is_target: bool) {
        self.on_sample(&sample, is_target);
        self.unpublished.push(sample);
    }

    /// Whether a step of time is slow for a series.
    #[must_use]
    pub fn is_slow(&self, series: u32, step: u8) -> bool {
        let slow_from = self.slow_from.get(&series);
        slow_from.is_some_and(|from| usize::from(step) >= *from)
    }

    /// The answers of this box since this was asked last, to be told.
    pub fn take_unpublished(&mut self) -> Vec<RolloutSample> {
        std::mem::take(&mut self.unpublished)
    }

    /// Takes in what another domain knows; what is older than what is known is of no use.
    pub fn on_tally(&mut self, tally: &DomainTally, at: Micros) {
        let known = self.others.get(&tally.domain);
        if known.is_some_and(|known| known.at >= at) {
            return;
        }
        let series = tally.series.clone();
        self.others
            .insert(tally.domain.clone(), Told { at, series });
    }

    /// The sums of the own domain, to be told to others.
    #[must_use]
    pub fn of_own(&self, domain: &DomainId) -> DomainTally {
        let series = self.own.iter().map(|(series, own)| own.sums(*series));
        DomainTally {
            domain: domain.clone(),
            age_ms: 0,
            is_clear: false,
            series: series.collect(),
        }
    }

    /// What other domains told, to be told inside the own one.
    #[must_use]
    pub fn of_others(&self, now: Micros) -> Vec<DomainTally> {
        let told = self.others.iter().map(|(domain, told)| DomainTally {
            domain: domain.clone(),
            age_ms: super::whole_millis(now.since(told.at)),
            is_clear: false,
            series: told.series.clone(),
        });
        told.collect()
    }

    fn counts(&self, domain: &DomainId) -> Counts {
        let mut counts = Counts::new();
        let own = self.of_own(domain);
        let others = self.others.iter().map(|(of, told)| (of, &told.series));
        for (of, series) in others.chain([(domain, &own.series)]) {
            for tally in series {
                let by_domain = counts.entry(tally.series).or_default();
                by_domain.insert(of.clone(), tally.clone());
            }
        }
        counts
    }

    /// How many requests came since the order, as far as they are counted: each attempt at a call, and
    /// each stream from its first events on. `None` before there is an earlier count to tell the rate.
    #[must_use]
    pub fn requests(&self, domain: &DomainId, now: Micros) -> Option<Requests> {
        let routes = self.routes(domain, now);
        routes.into_values().reduce(|sum, of| Requests {
            all: sum.all + of.all,
            of_target: sum.of_target + of.of_target,
            rate: sum.rate + of.rate,
        })
    }

    /// The same for each route, by the series of its attempts.
    #[must_use]
    pub fn routes(&self, domain: &DomainId, now: Micros) -> BTreeMap<u32, Requests> {
        let mut kept = self.kept.iter();
        let earlier = kept.find(|(at, _)| now.since(*at) <= RECENT && now > *at);
        let Some((at, then)) = earlier else {
            return BTreeMap::new();
        };
        let since = now.since(*at).as_secs_f64();
        let counts = self.counts(domain).into_iter();
        let of_attempts = counts.filter(|(series, _)| !is_of(*series, Timed::FirstEvent));
        let routes = of_attempts.map(|(series, by_domain)| {
            let (all, of_target) = attempts(&by_domain);
            let before = then.get(&series).map_or(0.0, |then| attempts(then).0);
            let rate = (all - before).max(0.0) / since;
            let requests = Requests {
                all,
                of_target,
                rate,
            };
            (series, requests)
        });
        routes.collect()
    }

    /// What is to be held of the target now, by all that is known and by its newer part; `beside` tells
    /// whether other versions get new work too.
    pub fn verdict(&mut self, domain: &DomainId, beside: Beside, now: Micros) -> Verdict {
        let counts = self.counts(domain);
        let earlier = self.kept.iter().rev();
        let mut earlier = earlier.filter(|(at, _)| now.since(*at) >= RECENT);
        let recent = earlier.next().map(|(_, then)| newer(&counts, then, beside));
        let all = series(&counts);
        self.slow_from = all.iter().filter_map(Series::slow_from).collect();
        let verdict = judge(&all, recent.as_ref().map(series).as_deref());
        let is_due = self
            .kept
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= KEEP_EVERY);
        if is_due {
            self.kept.push_back((now, counts));
            let is_old = |(at, _): &(Micros, Counts)| now.since(*at) > RECENT * 2;
            while self.kept.front().is_some_and(is_old) {
                self.kept.pop_front();
            }
        }
        verdict
    }
}

impl Own {
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

/// The attempts of a series, and those at the target.
fn attempts(by_domain: &BTreeMap<DomainId, SeriesTally>) -> (f64, f64) {
    let tallies = by_domain.values();
    tallies.fold((0.0, 0.0), |(all, of_target), tally| {
        let target = f64::from(tally.target.all());
        let baseline = f64::from(tally.baseline.all());
        (all + target + baseline, of_target + target)
    })
}

/// What has come since earlier counts.
fn newer(counts: &Counts, then: &Counts, beside: Beside) -> Counts {
    let since = |series: &u32, domain: &DomainId, now: &SeriesTally| {
        let then = then.get(series).and_then(|by_domain| by_domain.get(domain));
        then.map_or_else(
            || now.clone(),
            |then| {
                let target = now.target.since(&then.target);
                SeriesTally {
                    series: *series,
                    baseline: measure(&now.baseline, &then.baseline, &target, beside),
                    target,
                    worst: now.worst.since(&then.worst),
                    servers: now.servers,
                }
            },
        )
    };
    let newer = counts.iter().map(|(series, by_domain)| {
        let by_domain = by_domain.iter();
        let by_domain = by_domain.map(|(domain, now)| (domain.clone(), since(series, domain, now)));
        (*series, by_domain.collect())
    });
    newer.collect()
}

/// The baseline of the newer part: its newer answers, unless new work goes to the target alone or they
/// are fewer than the target's. A few last answers are no measure for many, and those of endpoints that
/// empty are faster than any before.
fn measure(
    baseline: &AnswerTimes,
    then: &AnswerTimes,
    target: &AnswerTimes,
    beside: Beside,
) -> AnswerTimes {
    let newer = baseline.since(then);
    if beside == Beside::Nothing || newer.all() < target.all() {
        baseline.clone()
    } else {
        newer
    }
}

fn series(counts: &Counts) -> Vec<Series> {
    let series = counts.iter().map(|(name, by_domain)| Series {
        name: *name,
        strata: by_domain.values().map(Stratum::from).collect(),
    });
    series.collect()
}
