//! Tiers order requests by the priority of their organisation, then by that of their route, and keep
//! that order in the ten ranks that engines know.

use magpiemoor::gateway::dispatch::priority::{Priority, Tier, Tiers};
use proptest::prelude::*;
use rstest::rstest;

fn priority(number: u64) -> Priority {
    Priority::try_from(number).unwrap()
}

fn tiers(organisations: &[Option<Priority>], routes: &[Option<Priority>]) -> Tiers {
    Tiers::new(organisations.iter().copied(), routes.iter().copied())
}

fn rank(
    tiers: &Tiers,
    organisation: impl Into<Option<Priority>>,
    route: impl Into<Option<Priority>>,
) -> Option<u8> {
    tiers.of(organisation.into(), route.into()).map(Tier::rank)
}

/// Where all organisations have a priority, urgent and ordinary routes would be served alike if it
/// replaced that of the route.
#[test]
fn the_route_decides_between_organisations_of_one_priority() {
    let tiers = tiers(
        &[Some(priority(0)), Some(priority(1))],
        &[Some(priority(0)), Some(priority(2))],
    );
    assert_eq!(rank(&tiers, priority(0), priority(0)), Some(0));
    assert_eq!(rank(&tiers, priority(0), priority(2)), Some(1));
    assert_eq!(rank(&tiers, priority(1), priority(0)), Some(2));
    assert_eq!(rank(&tiers, priority(1), priority(2)), Some(3));
}

#[test]
fn an_organisation_or_a_route_without_a_priority_has_the_middle_one() {
    let tiers = tiers(
        &[None, Some(priority(4)), Some(priority(6))],
        &[None, Some(priority(9))],
    );
    let middle = rank(&tiers, None, None);
    assert!(rank(&tiers, priority(4), None) < middle);
    assert!(middle < rank(&tiers, priority(6), None));
    assert!(middle < rank(&tiers, None, priority(9)));
}

#[rstest]
#[case::none_set(&[None], &[None, None])]
#[case::all_alike(&[Some(priority(1)); 2], &[Some(priority(2))])]
#[case::no_organisation(&[], &[Some(priority(1))])]
fn a_table_with_one_pair_of_priorities_has_no_tiers(
    #[case] organisations: &[Option<Priority>],
    #[case] routes: &[Option<Priority>],
) {
    let tiers = tiers(organisations, routes);
    assert_eq!(rank(&tiers, priority(1), priority(2)), None);
}

#[rstest]
#[case::negative("-1")]
#[case::too_large("10")]
#[case::huge("1000000000000000000000")]
#[case::fraction("1.5")]
#[case::text("urgent")]
#[case::empty("")]
fn a_number_out_of_range_is_no_priority(#[case] text: &str) {
    let error = text.parse::<Priority>().unwrap_err().to_string();
    assert!(error.contains("from 0 to 9"), "{error}");
}

proptest! {
    /// A table with more pairs than ranks would otherwise give an urgent request a later rank.
    #[test]
    fn ranks_keep_the_order_of_the_priorities(
        organisations in proptest::collection::vec(0..10_u64, 1..10),
        routes in proptest::collection::vec(0..10_u64, 1..10),
    ) {
        let organisations: Vec<_> = organisations.into_iter().map(|n| Some(priority(n))).collect();
        let routes: Vec<_> = routes.into_iter().map(|n| Some(priority(n))).collect();
        let tiers = tiers(&organisations, &routes);
        let pairs = organisations.iter().flat_map(|o| routes.iter().map(|r| (*o, *r)));
        let mut pairs: Vec<_> = pairs.collect();
        pairs.sort_unstable();
        let ranks: Vec<_> = pairs.iter().map(|(o, r)| rank(&tiers, *o, *r)).collect();
        prop_assert!(ranks.is_sorted(), "{ranks:?}");
        prop_assert!(ranks.iter().flatten().all(|rank| *rank <= 9));
    }
}
