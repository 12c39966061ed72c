//! The verdict on a version: bad, sound or undecided.
//!
//! The target's answers are compared with those of the other versions at the same time, in the same
//! series and the same failure domain, never with a constant: a sound endpoint may fail one call in
//! seven, and a disturbance of a domain or a link affects both. An answer is bad if it failed or if
//! its time lies [`SLOW_BUCKETS`] histogram buckets or more over the baseline's median; a call that
//! takes less than [`MIN_SLOW_CALL_MS`] never is. Failures
//! are also judged alone, because one in five sound answers is slow by chance, which hides a few
//! failures. The score is the logarithm of a likelihood ratio: how much better the target's answers
//! are explained if one in ten, four or two of them is bad beyond the baseline's share than if none
//! is. Sums of such ratios may be tested as often as one likes: by chance a score exceeds `ln x` in
//! at most one of `x` sound orders.
//!
//! A fault of one endpoint is not a fault of its version. Without the endpoint that has the most
//! bad answers, the others must still reach a score of [`BAD_SCORE_OF_OTHERS`] for a bad verdict,
//! and the sound verdict depends on their score alone, where the version has other endpoints.
//!
//! Rolling a sound version back or being late is the cheaper error: each costs a missed duty, while
//! a bad version that gets all requests breaks the exposure limit. So a version is sound only once
//! it has answered [`MIN_ANSWERS_OF_SOUND`] times and its scores are low. Without answers the
//! verdict stays undecided, also after the order's time.
//!
//! Alternatives: shares against fixed bounds, where on some routes every sound endpoint fails 14 in
//! 100; a test of means, where one slow answer decides; and a score that always includes all
//! endpoints, where one failing endpoint of three rolls a sound version back.

use super::evidence::{TimeKind, bucket_of, series_has_kind};
use crate::schema::{AnswerTimes, SeriesTally};

/// Buckets over the baseline's median from which a time is slow: twice as long. For first events it
/// is 2.8 times as long, because one prompt that is read first doubles the time.
const SLOW_BUCKETS: usize = 2;
const SLOW_BUCKETS_FIRST_EVENT: usize = 3;
/// Time from which a call may be slow. Shorter ones are mostly the time of the box and of the link.
const MIN_SLOW_CALL_MS: f64 = 8.0;
/// Excess shares of bad answers over the baseline's that are tested.
const EXCESSES: [f64; 3] = [0.1, 0.25, 0.5];
/// Score from which a version is bad; a sound one reaches it by chance in one of 1,100 orders for
/// each excess. Rates of false verdicts and the exposure are in docs/design/rollouts.md.
pub const BAD_SCORE: f64 = 7.0;
/// The same for the recent evidence alone. It is higher because the recent evidence is a new sample
/// again and again.
const BAD_RECENT_SCORE: f64 = 8.5;
/// Score that the other endpoints must also reach, so that no single one decides. If one endpoint
/// is at fault, the others reach it by chance in one of 33 cases.
const BAD_SCORE_OF_OTHERS: f64 = 3.5;
/// Greatest score of a sound version.
const MAX_SOUND_SCORE: f64 = 2.0;
/// Answers of the target required for a sound verdict. If one in four is bad beyond the baseline,
/// twelve good answers in a row have a probability of 3 in 100.
pub const MIN_ANSWERS_OF_SOUND: u32 = 12;
/// Minimum number of baseline answers in a series to compare with.
const MIN_BASELINE_ANSWERS: u32 = 12;
/// Weight, in answers, of the share over all domains in the expected share of one domain.
const POOLED_WEIGHT: f64 = 10.0;
/// Expected share of bad answers from which a domain is ignored: where nearly all answers of the
/// baseline are bad, those of any version are.
const MAX_EXPECTED_SHARE: f64 = 0.95;
/// Subtracted from the score of a version with only one endpoint, since a fault of the endpoint
/// can't be told from one of the version.
const SINGLE_ENDPOINT_PENALTY: f64 = 3.0;

/// Answers of a series in one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stratum {
    /// Answers of other versions.
    pub baseline: AnswerTimes,
    /// Answers of the target.
    pub target: AnswerTimes,
    /// Answers of the target's endpoint that has the most bad ones.
    pub worst: AnswerTimes,
    /// Number of endpoints of the target that answered.
    pub endpoints: u32,
}

impl From<&SeriesTally> for Stratum {
    fn from(tally: &SeriesTally) -> Self {
        Self {
            baseline: tally.baseline.clone(),
            target: tally.target.clone(),
            worst: tally.worst.clone(),
            endpoints: tally.servers,
        }
    }
}

/// Answers of a series in all failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The number that [`super::evidence::series_of`] gives the series.
    pub name: u32,
    /// One entry per failure domain.
    pub strata: Vec<Stratum>,
}

impl Series {
    /// The series' name and the bucket from which its times are slow; `None` if the baseline has
    /// too few answers.
    #[must_use]
    pub fn slow_from(&self) -> Option<(u32, usize)> {
        let baseline = self.baseline()?;
        Some((self.name, slow_from(self.name, &baseline)))
    }

    /// The baseline over all domains; `None` if it has too few answers.
    fn baseline(&self) -> Option<AnswerTimes> {
        let mut pooled = AnswerTimes::default();
        for stratum in &self.strata {
            pooled.add_all(&stratum.baseline);
        }
        (pooled.all() >= MIN_BASELINE_ANSWERS).then_some(pooled)
    }
}

/// The verdict on a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The version is bad.
    Bad {
        /// The counts and scores behind it, for operators.
        why: String,
    },
    /// The version may receive all work.
    Sound {
        /// The counts and scores behind it, for operators.
        why: String,
    },
    /// The version has too few answers, or its scores are neither low enough nor high enough.
    Undecided,
}

/// The bucket from which a time of a series is slow, given the baseline.
#[must_use]
pub fn slow_from(series: u32, baseline: &AnswerTimes) -> usize {
    let buckets_over = if series_has_kind(series, TimeKind::FirstEvent) {
        SLOW_BUCKETS_FIRST_EVENT
    } else {
        SLOW_BUCKETS
    };
    let least = if series_has_kind(series, TimeKind::Call) {
        usize::from(bucket_of(MIN_SLOW_CALL_MS))
    } else {
        0
    };
    let answered = u64::from(baseline.all() - baseline.failed);
    let mut before = 0;
    for (bucket, count) in baseline.took.iter().enumerate() {
        before += u64::from(*count);
        if before * 2 > answered {
            return least.max(bucket + buckets_over);
        }
    }
    usize::MAX
}

/// Number of answers and of the bad ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerCounts {
    all: f64,
    bad: f64,
}

impl AnswerCounts {
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

/// The target's answers in a stratum and the share of bad answers expected there.
struct StratumShares {
    expected: f64,
    target: AnswerCounts,
    worst: AnswerCounts,
}

/// A series prepared for scoring.
struct ScoredSeries {
    strata: Vec<StratumShares>,
    endpoints: u64,
}

/// Which answers count as bad.
#[derive(Clone, Copy, Debug)]
enum BadAnswers {
    /// Those that failed.
    Failed,
    /// Those that failed and those that were slow.
    FailedOrSlow,
}

impl ScoredSeries {
    fn new(series: &Series, bad: BadAnswers) -> Option<Self> {
        let pooled = series.baseline()?;
        let slow_from = match bad {
            BadAnswers::Failed => usize::MAX,
            BadAnswers::FailedOrSlow => slow_from(series.name, &pooled),
        };
        let all = AnswerCounts::of(&pooled, slow_from);
        let share = (all.bad + 0.5) / (all.all + 1.0);
        let strata = series.strata.iter().map(|stratum| {
            let own = AnswerCounts::of(&stratum.baseline, slow_from);
            let weight = own.all + POOLED_WEIGHT;
            let expected = (own.bad + POOLED_WEIGHT * share) / weight;
            let error = (expected * (1.0 - expected) / weight).sqrt();
            StratumShares {
                expected: expected + error,
                target: AnswerCounts::of(&stratum.target, slow_from),
                worst: AnswerCounts::of(&stratum.worst, slow_from),
            }
        });
        Some(Self {
            strata: strata.collect(),
            endpoints: series.strata.iter().map(|s| u64::from(s.endpoints)).sum(),
        })
    }

    /// The score of all endpoints for one excess.
    fn score(&self, excess: f64) -> f64 {
        let strata = self.strata.iter();
        let scores =
            strata.map(|stratum| log_likelihood_ratio(stratum.target, stratum.expected, excess));
        scores.sum()
    }

    /// The score without the endpoint that has the most bad answers, if the target has another;
    /// else the score of its only endpoint less [`SINGLE_ENDPOINT_PENALTY`].
    fn score_of_others(&self, excess: f64) -> f64 {
        let worst = self.strata.iter().enumerate();
        let worst = worst.max_by(|(_, a), (_, b)| a.worst.bad.total_cmp(&b.worst.bad));
        let worst = worst.map(|(index, _)| index).filter(|_| self.endpoints > 1);
        let scores = self.strata.iter().enumerate().map(|(index, stratum)| {
            let target = if Some(index) == worst {
                stratum.target.without(stratum.worst)
            } else {
                stratum.target
            };
            log_likelihood_ratio(target, stratum.expected, excess)
        });
        let penalty = if self.endpoints > 1 {
            0.0
        } else {
            SINGLE_ENDPOINT_PENALTY
        };
        scores.sum::<f64>() - penalty
    }

    fn target(&self) -> AnswerCounts {
        let shares = self.strata.iter().map(|stratum| stratum.target);
        shares.fold(AnswerCounts::default(), AnswerCounts::and)
    }
}

/// The logarithm of how much likelier the answers are with an excess of bad ones than without; 0
/// where the baseline can't be compared with.
fn log_likelihood_ratio(answers: AnswerCounts, expected: f64, excess: f64) -> f64 {
    if expected >= MAX_EXPECTED_SHARE {
        return 0.0;
    }
    let with_excess = expected + excess * (1.0 - expected);
    let good = answers.all - answers.bad;
    answers.bad * (with_excess / expected).ln()
        + good * ((1.0 - with_excess) / (1.0 - expected)).ln()
}

/// Scores of the target.
#[derive(Clone, Copy, Debug)]
struct Scores {
    /// Score of all its endpoints.
    all: f64,
    /// Score without the endpoint that has the most bad answers.
    others: f64,
}

/// The highest scores of any single series or of the sum of all, over all excesses.
fn highest_scores(scored: &[ScoredSeries]) -> Scores {
    let of = |score: fn(&ScoredSeries, f64) -> f64| {
        let highest = EXCESSES.iter().map(|excess| {
            let each: Vec<f64> = scored.iter().map(|s| score(s, *excess)).collect();
            let sum: f64 = each.iter().sum();
            each.into_iter().fold(sum, f64::max)
        });
        highest.fold(f64::NEG_INFINITY, f64::max)
    };
    Scores {
        all: of(ScoredSeries::score),
        others: of(ScoredSeries::score_of_others),
    }
}

/// Judges a version by all answers since the order, and by the recent ones alone.
#[must_use]
pub fn judge(all: &[Series], recent: Option<&[Series]>) -> Verdict {
    let recent = recent.unwrap_or_default();
    let by_failures = judge_by(BadAnswers::Failed, all, recent);
    let by_all = judge_by(BadAnswers::FailedOrSlow, all, recent);
    match (by_failures, by_all) {
        (Verdict::Bad { why }, _) | (_, Verdict::Bad { why }) => Verdict::Bad { why },
        (Verdict::Sound { .. }, Verdict::Sound { why }) => Verdict::Sound { why },
        _ => Verdict::Undecided,
    }
}

fn judge_by(bad: BadAnswers, all: &[Series], recent: &[Series]) -> Verdict {
    let scored = |series: &[Series]| -> Vec<ScoredSeries> {
        let scored = series.iter().filter_map(|of| ScoredSeries::new(of, bad));
        scored.collect()
    };
    let (scored, recent) = (scored(all), scored(recent));
    if scored.is_empty() {
        return Verdict::Undecided;
    }
    let score = highest_scores(&scored);
    let recent_score = highest_scores(&recent);
    let shares = scored.iter().map(ScoredSeries::target);
    let target = shares.fold(AnswerCounts::default(), AnswerCounts::and);
    let verb = match bad {
        BadAnswers::Failed => "failed",
        BadAnswers::FailedOrSlow => "were bad",
    };
    let summary = format!(
        "{} of its {} answers {verb}, score {:.1}, recent score {:.1}, without the worst \
         endpoint {:.1} and {:.1}",
        target.bad, target.all, score.all, recent_score.all, score.others, recent_score.others
    );
    let is_bad = |scores: Scores, from| scores.all >= from && scores.others >= BAD_SCORE_OF_OTHERS;
    if is_bad(score, BAD_SCORE) || is_bad(recent_score, BAD_RECENT_SCORE) {
        return Verdict::Bad { why: summary };
    }
    let has_answers = target.all >= f64::from(MIN_ANSWERS_OF_SOUND);
    let has_low_scores = score.others <= MAX_SOUND_SCORE && recent_score.others <= MAX_SOUND_SCORE;
    if has_answers && has_low_scores {
        return Verdict::Sound { why: summary };
    }
    Verdict::Undecided
}
