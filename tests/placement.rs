//! Placement prefers endpoints by the order of its costs; a changed constant must not change that
//! order.

use magpiemoor::gateway::dispatch::placement::costs::{
    AVOIDED, COLD, ENGINE_RUNNING, FAILING, FULL, NO_MEMORY, OTHER_DOMAIN_ENGINE,
    OTHER_DOMAIN_PLAIN, OWN_PROMPT, PLAIN_RUNNING, SAME_DOMAIN_AS_ATTEMPT, SAMPLE_RANK,
    SLOW_ANSWER, SUSPECTED, TIE_BREAK, TIE_BREAK_PLAIN,
};

#[test]
fn costs_keep_their_order() {
    let ascending = [
        PLAIN_RUNNING,
        TIE_BREAK_PLAIN,
        ENGINE_RUNNING,
        COLD,
        OTHER_DOMAIN_PLAIN,
        SAMPLE_RANK,
        TIE_BREAK,
        OTHER_DOMAIN_ENGINE,
        SLOW_ANSWER,
        OWN_PROMPT,
        FAILING,
        FULL,
        SUSPECTED,
        NO_MEMORY,
        AVOIDED,
    ];
    assert!(ascending.is_sorted_by(|a, b| a < b), "{ascending:?}");
}

#[test]
fn a_mirror_prefers_a_full_endpoint_over_one_in_the_domain_of_its_attempt() {
    const { assert!(SAME_DOMAIN_AS_ATTEMPT > FULL && SAME_DOMAIN_AS_ATTEMPT < NO_MEMORY) };
}

#[test]
fn no_sum_of_other_costs_reaches_an_avoided_endpoint() {
    let others = OTHER_DOMAIN_ENGINE
        + SLOW_ANSWER
        + OWN_PROMPT
        + FAILING
        + FULL
        + SUSPECTED
        + NO_MEMORY
        + TIE_BREAK;
    assert!(others < AVOIDED);
}
