//! Arrivals beyond the first of each request, summed over all boxes of simulated fleets, while whole
//! failure domains come back as other instances at the same addresses.

use magpiemoor_lab::gateway::versions::retries::draw;
use rstest::rstest;

/// A box that meets another instance at an endpoint's address must not go on from engine to engine of
/// the domain, nor leave each other box to find out the same.
#[rstest]
#[case::domain_cut_and_store_out_for_60_s(4, 30)]
#[case::engines_crash_and_store_out_for_20_s(37, 30)]
#[case::versions_replaced_and_store_out_for_20_s(65, 30)]
fn repeats_stay_within_the_bound_when_domains_come_back_as_other_instances(
    #[case] seed: u64,
    #[case] boxes: usize,
) {
    let case = draw(seed, boxes);
    let played = case.play();
    assert!(
        played.counts.excess <= 0.0,
        "{} too many: {played}",
        played.counts.excess
    );
}
