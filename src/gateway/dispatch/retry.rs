//! What follows from the end of an attempt: the answer is passed on, another attempt is made, or
//! the request is given up.
//!
//! [`after_attempt`] is the rule. An attempt that has not run leads to another one, whatever the
//! request; one that may have run does so only where the route allows a repetition and the number
//! of attempts that may have run is under the route's bound. Attempts that a server took and lost,
//! refused for lack of room, or answered with an error of its own are paid from the retry budget
//! ([`super::retry_budget`]); a connection that could not be made and an address that another
//! instance has taken over are not, since no server has seen the request.
//!
//! Inputs: the outcome, and of the request whether it may run again. What is done to the endpoint's
//! health meanwhile is in [`super::outcomes`]. Weighed: paying for every attempt (a cut of one
//! failure domain then spends the budget on connections that nobody saw), and passing a server's
//! own error on at once (it then is the caller's answer, though another server might do better: of
//! 62 redeem checks that met one on lundavik's calm day, 53 met another at a second server,
//! docs/MEASUREMENTS.md).

use super::event::{LEAST_ERROR_STATUS, NotRunCause, Outcome};

/// Attempts after which a request is given up, whatever came of them: connections that can't be
/// made are not paid for, so something else must end them. Above the greatest bound of a route (5).
pub(super) const MOST_ATTEMPTS: u32 = 12;

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterAttempt {
    /// Pass on the answer that is held.
    Deliver,
    /// End the stream as complete.
    Finish,
    /// Make another attempt, which costs no retry.
    TryAgain,
    /// Make another attempt if the budget has a retry, or else give up.
    Retry,
    /// Make another attempt if the budget has a retry, or else pass on the answer that is held.
    RetryOrDeliver,
    /// Give up: the attempt may have run and must not be repeated.
    GiveUp,
}

/// The rule; `may_run_again` counts the attempt that has ended.
#[must_use]
pub fn after_attempt(outcome: &Outcome, may_run_again: bool) -> AfterAttempt {
    match outcome {
        Outcome::NotSent | Outcome::NotRun(NotRunCause::OtherInstance(_)) => AfterAttempt::TryAgain,
        Outcome::NotRun(NotRunCause::NoRoom) => AfterAttempt::Retry,
        Outcome::Answered { status } if *status >= LEAST_ERROR_STATUS && may_run_again => {
            AfterAttempt::RetryOrDeliver
        }
        Outcome::Answered { .. } => AfterAttempt::Deliver,
        Outcome::StreamEnded => AfterAttempt::Finish,
        Outcome::Broken(_) | Outcome::Stopped if may_run_again => AfterAttempt::Retry,
        Outcome::Broken(_) | Outcome::Stopped => AfterAttempt::GiveUp,
    }
}
