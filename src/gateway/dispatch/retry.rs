//! The retry rule: whether the end of an attempt leads to an answer, another attempt or a refusal.
//!
//! [`after_attempt`] is the rule. An attempt that has not run is followed by another one for any
//! request. An attempt that may have run is followed by another one only if the route allows
//! repetition and the number of attempts that may have run is below the route's bound. A retry costs
//! budget ([`super::retry_budget`]) if the endpoint lost the request after taking it, refused it for
//! lack of capacity, answered with a server error, or turned out to be another instance than the one
//! that the request was meant for: in each case the request has arrived at a server, and the callers'
//! bound counts the next arrival. A retry is free if the connection failed or if a check before the
//! send found another process there ([`super::fleet::identities`]), since no server has seen the
//! request.
//!
//! Inputs: the outcome, and whether the request may run again. The endpoint's state is updated in
//! [`super::outcomes`].
//!
//! Charging every attempt would let a partition of one failure domain spend the budget on failed
//! connections that no server saw. Passing a server error on at once would make it the caller's
//! answer although another server might succeed; the gain is limited, as 53 of 62 calls that got
//! such an error got another one from a second server.

use super::event::{LEAST_ERROR_STATUS, NotRunCause, Outcome};

/// Maximum number of attempts of a request that reached a process or failed to connect: failed
/// connections cost no budget and need another bound. Above the largest bound of a route (5).
pub(super) const MAX_ATTEMPTS_PER_REQUEST: u32 = 12;
/// Maximum number of attempts of a request that ended with a check before the send. Each takes a
/// round trip and teaches all boxes which process is there, so a request may go through the endpoints
/// of a failure domain.
pub(super) const MAX_CHECKED_ATTEMPTS: u32 = 64;

/// The step that follows the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterAttempt {
    /// Pass the buffered answer on to the caller.
    Deliver,
    /// End the stream as complete.
    Finish,
    /// Start another attempt without using the retry budget.
    TryAgain,
    /// Start another attempt if the retry budget allows it, or else give the request up.
    Retry,
    /// Start another attempt if the retry budget allows it, or else pass the buffered answer on.
    RetryOrDeliver,
    /// Give the request up: the attempt may have run and must not be repeated.
    GiveUp,
}

/// Decides what follows from an outcome. `may_run_again` already counts the ended attempt as one
/// that may have run.
#[must_use]
pub fn after_attempt(outcome: &Outcome, may_run_again: bool) -> AfterAttempt {
    match outcome {
        Outcome::NotSent
        | Outcome::RelayFailed
        | Outcome::NotRun(NotRunCause::Restarted(_) | NotRunCause::Replaced(_)) => {
            AfterAttempt::TryAgain
        }
        Outcome::NotRun(NotRunCause::OtherInstance(_) | NotRunCause::NoRoom) => AfterAttempt::Retry,
        Outcome::Answered { status } if *status >= LEAST_ERROR_STATUS && may_run_again => {
            AfterAttempt::RetryOrDeliver
        }
        Outcome::Answered { .. } => AfterAttempt::Deliver,
        Outcome::StreamEnded => AfterAttempt::Finish,
        Outcome::Broken(_) | Outcome::Stopped if may_run_again => AfterAttempt::Retry,
        Outcome::Broken(_) | Outcome::Stopped => AfterAttempt::GiveUp,
    }
}
