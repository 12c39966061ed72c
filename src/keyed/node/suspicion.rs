//! When a silent engine is suspected: one cost function with the weights of the bundle.
//!
//! Between tokens after [`suspect_after`], before the first token after [`suspect_first_after`].
//! Inputs: the engine's own gaps ([`super::gaps`]), or those of all engines until it is known well
//! enough; how many gaps of late were losses; what a false alarm would cost in engine time. Who
//! acts on it is `runs/silence.rs`: another run starts beside the silent one, and whoever yields
//! the next token first goes on.
//!
//! Waiting one more second costs resume latency if the engine is lost; suspecting too early costs
//! engine time if it is only slow. Let `h` be the chance that a token gap is a loss, and let the
//! gaps of a live engine fall off beyond their 99th percentile `p` as `(p / t)^a`. Then suspecting
//! at `t` costs `h * t * resume` for losses and `0.01 * (p / t)^a * extra_work * extra` for
//! false alarms, which is least at
//! `t = (0.01 * a * p^a * extra_work * extra / (h * resume))^(1 / (a + 1))`.
//! The result is kept between two bounds in units of `p`, since the fall-off is a guess.
//!
//! Weighed and measured (docs/MEASUREMENTS.md, "Recovery"): a fixed time-out (silent stalls took
//! 2.0 s at the median instead of 0.09) and two runs for each generation (2.1% of engine time extra
//! instead of 0.5%). Both are still settings. The gateway probes a silent engine before it leaves
//! it, `src/gateway/dispatch/suspicion.rs`.

use std::time::Duration;

use crate::schema::Weights;

/// How fast long gaps of a live engine become rare. A guess, which the two bounds below contain.
const TAIL: f64 = 4.0;
/// The share of gaps beyond the 99th percentile.
const BEYOND_P99: f64 = 0.01;
/// The least suspicion time in 99th percentiles.
const LEAST: f64 = 2.0;
/// The greatest suspicion time in 99th percentiles: the aim is to notice within four usual longest
/// gaps.
const MOST: f64 = 3.9;
/// The shortest suspicion time, which covers this box's own scheduling.
const FLOOR: Duration = Duration::from_millis(40);
/// The 99th percentile that an engine is taken to have before it was measured.
pub const UNKNOWN_P99: Duration = Duration::from_millis(400);
/// The time to the first token that an engine is taken to need before it was measured.
pub const UNKNOWN_FIRST: Duration = Duration::from_millis(1_500);
/// How much longer than usual a first token may take: 3 before a reset took 2 s to make good on an
/// engine that was silent as well.
const FIRST_FACTOR: u32 = 2;

/// What the decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct Stake {
    /// The endpoint's 99th percentile of token gaps.
    pub p99: Duration,
    /// Engine time that a false alarm would cost.
    pub extra_work: Duration,
    /// The chance that one token gap is a loss.
    pub loss_per_gap: f64,
}

/// Returns the silence after which an engine is to be suspected between tokens.
#[must_use]
pub fn suspect_after(stake: &Stake, weights: &Weights) -> Duration {
    let p99 = stake.p99.as_secs_f64();
    let extra = stake.extra_work.as_secs_f64() * weights.extra_second;
    let loss = stake.loss_per_gap.max(f64::MIN_POSITIVE) * weights.resume_second;
    let best = (BEYOND_P99 * TAIL * p99.powf(TAIL) * extra / loss).powf(1.0 / (TAIL + 1.0));
    let bounded = best.clamp(LEAST * p99, MOST * p99);
    Duration::from_secs_f64(bounded).max(FLOOR)
}

/// Returns the silence after which an engine is to be suspected before its first token.
#[must_use]
pub fn suspect_first_after(usual: Duration, prefill: Duration) -> Duration {
    (usual.max(prefill) * FIRST_FACTOR).max(FLOOR)
}

/// Counts losses and gaps, to say how likely a gap is a loss.
#[derive(Clone, Copy, Debug)]
pub struct LossRate {
    losses: f64,
    gaps: f64,
}

impl Default for LossRate {
    fn default() -> Self {
        // One loss in 100,000 gaps before anything was seen.
        Self {
            losses: 1.0,
            gaps: 100_000.0,
        }
    }
}

impl LossRate {
    /// Adds a gap that ended with a token.
    pub fn on_gap(&mut self) {
        self.gaps += 1.0;
    }

    /// Adds a loss.
    pub fn on_loss(&mut self) {
        self.losses += 1.0;
    }

    /// The chance that one gap is a loss.
    #[must_use]
    pub fn per_gap(&self) -> f64 {
        self.losses / self.gaps
    }
}

/// What it costs to go on elsewhere, in engine seconds and in seconds of resume latency.
#[derive(Clone, Copy, Debug)]
pub struct ResumeCost {
    /// Seconds until the next token.
    pub latency: f64,
    /// Extra seconds of engine time.
    pub extra: f64,
}

impl ResumeCost {
    /// The one figure by which ways to resume are compared.
    #[must_use]
    pub fn total(&self, weights: &Weights) -> f64 {
        self.latency * weights.resume_second + self.extra * weights.extra_second
    }
}
