//! Requests that crash every server that runs them, in whole fleets on made-up time.
//!
//! What users saw: alerts each half second that a model server doesn't answer, 75 servers lost in a
//! minute, and other callers' streams broken off again and again. Two requests ended each engine that
//! began to run them. A box that read one tried it at five engines, one after the other; its caller
//! sent it again, any other box read it, and began anew. Nothing remembered what had crashed.
//!
//! Evidence: boxes' logs have nineteen tries of the two requests with 76 attempts; 74 of the 75 engines
//! that broke a connection ran one of them, and attempts begin at 1 in each try.

use magpiemoor_lab::gateway::crashes::{Beside, Case, CrashAt};
use rstest::rstest;

fn case(engines: bool, crash: CrashAt, beside: Beside) -> Case {
    Case {
        seed: 3,
        boxes: 9,
        engines,
        culprits: 2,
        crash,
        keeps_ids: false,
        beside,
    }
}

#[rstest]
#[case::as_it_begins(true, CrashAt::Start)]
#[case::soon(true, CrashAt::Soon)]
#[case::with_an_answer_begun(true, CrashAt::Event)]
#[case::calls(false, CrashAt::Soon)]
fn a_request_that_crashed_three_servers_is_sent_to_no_more(
    #[case] engines: bool,
    #[case] crash: CrashAt,
) {
    let played = case(engines, crash, Beside::Nothing).play();
    assert!(!played.is_over_budget(), "{played:?}");
    assert_eq!(played.blamed, 0, "{played:?}");
}
