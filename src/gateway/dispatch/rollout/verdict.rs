//! Whether a version is bad, sound, or not known yet.
//!
//! Its answers are compared with those of the other versions at the same time, in the same series and
//! the same failure domain, never with a constant: a sound endpoint may fail one call in seven, and
//! what strikes a domain or a link strikes both. An answer is bad if it failed or took longer than
//! [`SLOW_STEPS`] steps over the baseline's median; failures are also judged alone, since one in five
//! sound answers is slow by chance, among which some that fail don't stand out. The score is the logarithm of a likelihood ratio: how
//! much better the target's answers are explained if one in ten, four or two of them is bad beyond
//! the baseline's share, than if none is. Sums of such ratios may be looked at as often as one likes:
//! by chance one passes `ln x` in at most one of `x` sound orders.
//!
//! The fault of one endpoint is not that of its version: without the endpoint that has the most bad
//! answers the others must still have a score of [`OTHERS_FROM`], and what is sound goes by theirs
//! alone, where the version has others.
//!
//! The cheaper error is to roll a sound version back or to be late: each costs a missed duty, while a
//! bad version that gets all requests breaks the bound on exposure. So a version is sound only once
//! it has answered [`LEAST_ANSWERS`] times and nothing speaks against it; without answers it stays
//! where it is, also beyond its time.
//!
//! Weighed: shares against fixed bounds (every sound till of one users' site fails 14 in 100 of a
//! route), a test of means (one slow answer decides), and the score with all endpoints in it (one
//! failing endpoint of three rolls a sound version back).

use super::evidence::{Timed, is_of};
use crate::schema::{AnswerTimes, SeriesTally};

/// How many steps over the baseline's median a time is slow: twice as long; for first events 2.8 times,
/// since one prompt that is read before another doubles its time.
const SLOW_STEPS: usize = 2;
const SLOW_STEPS_FIRST_EVENT: usize = 3;
/// The shares of answers that are bad beyond the baseline's, which are held against it.
const EXCESSES: [f64; 3] = [0.1, 0.25, 0.5];
/// The score from which a version is bad: one in 1,100 for each excess by chance. False verdicts and
/// exposure with it are in docs/design/rollouts.md.
pub const BAD_FROM: f64 = 7.0;
/// The same for the newer part of the evidence alone, which is looked at anew all the time.
const BAD_FROM_RECENT: f64 = 8.5;
/// The score that the other endpoints must have besides, so that no single one decides: one in 33 by
/// chance, given that one endpoint is at fault.
const OTHERS_FROM: f64 = 3.5;
/// The score up to which nothing speaks against a version.
const SOUND_UP_TO: f64 = 2.0;
/// Answers of the target from which it can be sound: with one in four bad beyond the baseline, none of
/// twelve is in 3 of 100 cases. Computed.
pub const LEAST_ANSWERS: u32 = 12;
/// Answers of the baseline in a series below which it is no measure.
const LEAST_BASELINE: u32 = 12;
/// How many answers the share over all domains weighs in the share of one.
const POOLED_ANSWERS: f64 = 10.0;
/// The expected share of bad answers from which a domain tells nothing of a version: where nearly
/// all answers of the baseline are bad, those of any version are.
const MOST_EXPECTED: f64 = 0.95;
/// What is taken off a score where the version has one endpoint only, so that its fault and the
/// version's can't be told apart.
const SINGLE_ENDPOINT: f64 = 3.0;

/// Answers of a series in one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stratum {
    /// Of other versions.
    pub baseline: AnswerTimes,
    /// Of the target.
    pub target: AnswerTimes,
    /// Of the target's endpoint with the most bad ones.
    pub worst: AnswerTimes,
    /// Endpoints of the target that answered.
    pub servers: u32,
}

impl From<&SeriesTally> for Stratum {
    fn from(tally: &SeriesTally) -> Self {
        Self {
            baseline: tally.baseline.clone(),
            target: tally.target.clone(),
            worst: tally.worst.clone(),
            servers: tally.servers,
        }
    }
}

/// Answers of a series.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Its name.
    pub name: u32,
    /// Its failure domains.
    pub strata: Vec<Stratum>,
}

impl Series {
    /// Its name with the step from which its times are slow, if the baseline tells.
    #[must_use]
    pub fn slow_from(&self) -> Option<(u32, usize)> {
        let baseline = self.baseline()?;
        Some((self.name, slow_from(self.name, &baseline)))
    }

    /// The baseline of all domains, if it is a measure.
    fn baseline(&self) -> Option<AnswerTimes> {
        let mut pooled = AnswerTimes::default();
        for stratum in &self.strata {
            pooled.add_all(&stratum.baseline);
        }
        (pooled.all() >= LEAST_BASELINE).then_some(pooled)
    }
}

/// What is held of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is bad.
    Bad {
        /// Why, for operators.
        why: String,
    },
    /// Nothing speaks against it.
    Sound {
        /// What it is based on, for operators.
        why: String,
    },
    /// It has not answered enough, or something speaks against it.
    Open,
}

/// The step from which a time of a series is slow, by the baseline.
#[must_use]
pub fn slow_from(series: u32, baseline: &AnswerTimes) -> usize {
    let steps = if is_of(series, Timed::FirstEvent) {
        SLOW_STEPS_FIRST_EVENT
    } else {
        SLOW_STEPS
    };
    let answered = u64::from(baseline.all() - baseline.failed);
    let mut before = 0;
    for (step, count) in baseline.took.iter().enumerate() {
        before += u64::from(*count);
        if before * 2 > answered {
            return step + steps;
        }
    }
    usize::MAX
}

/// Answers, and how many of them are bad.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    all: f64,
    bad: f64,
}

impl Share {
    fn of(times: &AnswerTimes, slow_from: usize) -> Self {
        Self {
            all: times.all().into(),
            bad: times.bad(slow_from).into(),
        }
    }

    fn and(self, more: Self) -> Self {
        Self {
            all: self.all + more.all,
            bad: self.bad + more.bad,
        }
    }

    fn without(self, less: Self) -> Self {
        Self {
            all: (self.all - less.all).max(0.0),
            bad: (self.bad - less.bad).max(0.0),
        }
    }
}

/// What the target's answers in a domain weigh against its share of bad ones there.
struct Weighed {
    expected: f64,
    target: Share,
    worst: Share,
}

/// A series with the shares that its scores follow from.
struct Scored {
    strata: Vec<Weighed>,
    servers: u64,
}

/// Which answers are bad.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Those that failed.
    Failed,
    /// Those that failed and slow ones.
    Any,
}

impl Scored {
    fn new(series: &Series, fault: Fault) -> Option<Self> {
        let pooled = series.baseline()?;
        let slow_from = match fault {
            Fault::Failed => usize::MAX,
            Fault::Any => slow_from(series.name, &pooled),
        };
        let all = Share::of(&pooled, slow_from);
        let share = (all.bad + 0.5) / (all.all + 1.0);
        let strata = series.strata.iter().map(|stratum| {
            let own = Share::of(&stratum.baseline, slow_from);
            let weight = own.all + POOLED_ANSWERS;
            let expected = (own.bad + POOLED_ANSWERS * share) / weight;
            let error = (expected * (1.0 - expected) / weight).sqrt();
            Weighed {
                expected: expected + error,
                target: Share::of(&stratum.target, slow_from),
                worst: Share::of(&stratum.worst, slow_from),
            }
        });
        Some(Self {
            strata: strata.collect(),
            servers: series.strata.iter().map(|s| u64::from(s.servers)).sum(),
        })
    }

    /// The score of all endpoints for one excess.
    fn score(&self, excess: f64) -> f64 {
        let strata = self.strata.iter();
        let scores = strata.map(|weighed| ratio(weighed.target, weighed.expected, excess));
        scores.sum()
    }

    /// The score without the worst endpoint, if there is another.
    fn score_of_others(&self, excess: f64) -> f64 {
        let worst = self.strata.iter().enumerate();
        let worst = worst.max_by(|(_, a), (_, b)| a.worst.bad.total_cmp(&b.worst.bad));
        let worst = worst.map(|(place, _)| place).filter(|_| self.servers > 1);
        let scores = self.strata.iter().enumerate().map(|(place, weighed)| {
            let target = if Some(place) == worst {
                weighed.target.without(weighed.worst)
            } else {
                weighed.target
            };
            ratio(target, weighed.expected, excess)
        });
        let single = if self.servers > 1 {
            0.0
        } else {
            SINGLE_ENDPOINT
        };
        scores.sum::<f64>() - single
    }

    fn target(&self) -> Share {
        let shares = self.strata.iter().map(|weighed| weighed.target);
        shares.fold(Share::default(), Share::and)
    }
}

/// The logarithm of how much likelier answers are with an excess of bad ones than without; 0 where the
/// baseline is no measure.
fn ratio(answers: Share, expected: f64, excess: f64) -> f64 {
    if expected >= MOST_EXPECTED {
        return 0.0;
    }
    let with = expected + excess * (1.0 - expected);
    let fine = answers.all - answers.bad;
    answers.bad * (with / expected).ln() + fine * ((1.0 - with) / (1.0 - expected)).ln()
}

/// Scores of the target.
#[derive(Clone, Copy, Debug)]
struct Scores {
    /// Of all its endpoints.
    all: f64,
    /// Without the worst of them.
    others: f64,
}

/// The greatest scores of any series, or of all together.
fn greatest(scored: &[Scored]) -> Scores {
    let of = |score: fn(&Scored, f64) -> f64| {
        let greatest = EXCESSES.iter().map(|excess| {
            let each: Vec<f64> = scored.iter().map(|s| score(s, *excess)).collect();
            let sum: f64 = each.iter().sum();
            each.into_iter().fold(sum, f64::max)
        });
        greatest.fold(f64::NEG_INFINITY, f64::max)
    };
    Scores {
        all: of(Scored::score),
        others: of(Scored::score_of_others),
    }
}

/// Judges a version by all answers since the order, and by the newer ones alone.
#[must_use]
pub fn judge(all: &[Series], recent: Option<&[Series]>) -> Verdict {
    let recent = recent.unwrap_or_default();
    let by_failures = judge_by(Fault::Failed, all, recent);
    let by_all = judge_by(Fault::Any, all, recent);
    match (by_failures, by_all) {
        (Verdict::Bad { why }, _) | (_, Verdict::Bad { why }) => Verdict::Bad { why },
        (Verdict::Sound { .. }, Verdict::Sound { why }) => Verdict::Sound { why },
        _ => Verdict::Open,
    }
}

fn judge_by(fault: Fault, all: &[Series], recent: &[Series]) -> Verdict {
    let scored = |series: &[Series]| -> Vec<Scored> {
        let scored = series.iter().filter_map(|of| Scored::new(of, fault));
        scored.collect()
    };
    let (scored, recent) = (scored(all), scored(recent));
    if scored.is_empty() {
        return Verdict::Open;
    }
    let score = greatest(&scored);
    let newer = greatest(&recent);
    let shares = scored.iter().map(Scored::target);
    let target = shares.fold(Share::default(), Share::and);
    let bad = match fault {
        Fault::Failed => "failed",
        Fault::Any => "were bad",
    };
    let summary = format!(
        "{} of its {} answers {bad}, score {:.1}, lately {:.1}, without the worst endpoint {:.1} and \
         {:.1}",
        target.bad, target.all, score.all, newer.all, score.others, newer.others
    );
    let is_bad = |scores: Scores, from| scores.all >= from && scores.others >= OTHERS_FROM;
    if is_bad(score, BAD_FROM) || is_bad(newer, BAD_FROM_RECENT) {
        return Verdict::Bad { why: summary };
    }
    let answered = target.all >= f64::from(LEAST_ANSWERS);
    let nothing_against = score.others <= SOUND_UP_TO && newer.others <= SOUND_UP_TO;
    if answered && nothing_against {
        return Verdict::Sound { why: summary };
    }
    Verdict::Open
}
