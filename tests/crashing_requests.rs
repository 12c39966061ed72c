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

/// Plays that broke a promise while this was built: all boxes killed and nothing kept; domains that
/// fell beside; innocent streams that met the crashes of several others; a server that was back under
/// its id before its birth was known.
#[rstest]
#[case::s9(9, 9)]
#[case::s12(12, 9)]
#[case::s49(49, 9)]
#[case::s54(54, 9)]
#[case::s69(69, 9)]
#[case::s71(71, 9)]
#[case::s86(86, 9)]
#[case::s108(108, 9)]
#[case::s130(130, 9)]
#[case::s135(135, 9)]
#[case::s9_30(9, 30)]
#[case::s29_30(29, 30)]
#[case::s49_30(49, 30)]
fn what_once_broke_a_promise_keeps_it(#[case] seed: u64, #[case] boxes: usize) {
    let played = Case::draw(seed, boxes).play();
    assert!(!played.is_over_budget(), "{played:?}");
    assert_eq!(played.blamed, 0, "{played:?}");
}

/// Many crashing requests at once, or servers that end by themselves each 0.7 s: an innocent request that
/// met three such ends at one point, and alone at the last, is taken for the cause.
#[rstest]
#[case::s117(117, 9)]
#[case::s158(158, 9)]
#[case::s242(242, 9)]
#[case::s248(248, 9)]
#[case::s265(265, 9)]
#[case::s277(277, 9)]
#[case::s42_30(42, 30)]
fn among_many_crashes_no_innocent_is_blamed(#[case] seed: u64, #[case] boxes: usize) {
    let played = Case::draw(seed, boxes).play();
    assert_eq!(played.blamed, 0, "{played:?}");
}

/// Nine crashing requests before six servers, and all boxes killed before one of them was decided about.
#[test]
fn evidence_that_led_to_no_verdict_yet_outlasts_all_boxes() {
    let played = Case::draw(166, 9).play();
    assert!(!played.is_over_budget(), "{played:?}");
}
