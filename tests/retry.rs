//! Decision tables: what follows an attempt, by its outcome, and with which reason a request is
//! refused.

use std::time::Duration;

use magpiemoor::gateway::dispatch::event::{Fault, NotRunCause, Outcome};
use magpiemoor::gateway::dispatch::refusal::{HasRun, Refusal, RefusalReason};
use magpiemoor::gateway::dispatch::retry::{AfterAttempt, after_attempt};
use rstest::rstest;

const STALLED: Outcome = Outcome::Broken(Fault::Silent);
const NO_ROOM: Outcome = Outcome::NotRun(NotRunCause::NoRoom);
const MISDIRECTED: Outcome = Outcome::NotRun(NotRunCause::OtherInstance(None));

#[rstest]
#[case::not_sent(Outcome::NotSent, AfterAttempt::TryAgain, AfterAttempt::TryAgain)]
#[case::misdirected(MISDIRECTED, AfterAttempt::Retry, AfterAttempt::Retry)]
#[case::no_room(NO_ROOM, AfterAttempt::Retry, AfterAttempt::Retry)]
#[case::answer(Outcome::Answered { status: 200 }, AfterAttempt::Deliver, AfterAttempt::Deliver)]
#[case::callers_fault(Outcome::Answered { status: 499 }, AfterAttempt::Deliver, AfterAttempt::Deliver)]
#[case::servers_fault(Outcome::Answered { status: 500 }, AfterAttempt::RetryOrDeliver, AfterAttempt::Deliver)]
#[case::stream_ended(Outcome::StreamEnded, AfterAttempt::Finish, AfterAttempt::Finish)]
#[case::broken(STALLED, AfterAttempt::Retry, AfterAttempt::GiveUp)]
#[case::stopped(Outcome::Stopped, AfterAttempt::Retry, AfterAttempt::GiveUp)]
fn what_follows_depends_on_the_outcome_and_on_whether_it_may_run_again(
    #[case] outcome: Outcome,
    #[case] if_may_run_again: AfterAttempt,
    #[case] if_may_not_run_again: AfterAttempt,
) {
    assert_eq!(after_attempt(&outcome, true), if_may_run_again);
    assert_eq!(after_attempt(&outcome, false), if_may_not_run_again);
}

/// A request that was not sent has arrived nowhere, so the next attempt is no repeat.
#[test]
fn an_attempt_that_a_check_ended_costs_no_retry() {
    let replaced = Outcome::NotRun(NotRunCause::Replaced("other".parse().unwrap()));
    assert!(replaced.is_unsent_by_check());
    assert_eq!(after_attempt(&replaced, true), AfterAttempt::TryAgain);
    assert_eq!(after_attempt(&replaced, false), AfterAttempt::TryAgain);
}

#[rstest]
#[case(
    HasRun::Never,
    RefusalReason::NoEndpoint,
    RefusalReason::ExpiredNotRun,
    true
)]
#[case(
    HasRun::Maybe,
    RefusalReason::EndpointFailed,
    RefusalReason::Expired,
    false
)]
fn only_requests_that_have_not_run_are_refused_with_a_retry_after(
    #[case] has_run: HasRun,
    #[case] without_attempt: RefusalReason,
    #[case] expired: RefusalReason,
    #[case] has_retry_after: bool,
) {
    assert_eq!(RefusalReason::without_attempt(has_run), without_attempt);
    assert_eq!(RefusalReason::when_expired(has_run), expired);
    for reason in [without_attempt, expired] {
        assert_eq!(Refusal::new(reason).retry_after.is_some(), has_retry_after);
    }
}

#[test]
fn a_box_that_stops_sends_callers_to_other_boxes_at_once() {
    let refusal = Refusal::new(RefusalReason::when_stopping(HasRun::Never));
    assert_eq!(refusal.reason, RefusalReason::StoppingNotRun);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(100)));
}
