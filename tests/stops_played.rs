//! Stops of boxes in series while streams wait for room, in plays of whole fleets on a simulated
//! clock.
//!
//! `STOP_PLAYS` sets how many cases are played at each size, `STOP_FIRST` the first seed.

use magpiemoor_lab::gateway::parallel;
use magpiemoor_lab::gateway::stops::score::sum;
use magpiemoor_lab::gateway::stops::{Case, Outcome};

/// Boxes of the fleets that are played, and the cases at each size unless the environment says
/// otherwise.
const FLEETS: [(usize, u64); 4] = [(3, 4), (7, 4), (15, 4), (30, 1)];
/// The first seed unless the environment says otherwise.
const FIRST: u64 = 1;
/// Plays at once.
const THREADS: usize = 2;
/// The share of callers that may be handed back more than once, of all sizes: in a single play of a few
/// boxes that all stop at once nobody can serve those that come back.
const MOST_HANDED_BACK_AGAIN: f64 = 0.01;

fn number(name: &str, default: u64) -> u64 {
    let set = std::env::var(name).ok();
    set.map_or(default, |text| text.parse().expect("a whole number"))
}

fn play() -> Vec<Outcome> {
    let first = number("STOP_FIRST", FIRST);
    let cases = FLEETS.into_iter().flat_map(|(boxes, plays)| {
        let seeds = first..first + number("STOP_PLAYS", plays);
        seeds.map(move |seed| Case::draw(seed, boxes))
    });
    let cases: Vec<Case> = cases.collect();
    parallel::map(&cases, THREADS, Case::play)
}

/// Requests that waited at a box that was stopped got neither an answer nor a refusal; handed back,
/// they must not go from one stopping box to the next, nor be handed back while they could be served.
#[test]
fn every_request_is_answered_or_handed_back_when_boxes_stop_in_series() {
    let outcomes = play();
    for outcome in &outcomes {
        let counts = &outcome.counts;
        assert_eq!(counts.unanswered, 0, "{outcome}");
        assert_eq!(counts.handed_back_with_room, 0, "{outcome}");
    }
    let all = sum(&outcomes);
    assert!(all.handed_back > 0, "no play hands a request back: {all}");
    let again = all.handed_back_again_share();
    assert!(again < MOST_HANDED_BACK_AGAIN, "{all}");
}
