//! Queues are bounded and fair, what can't be met is refused at once, and retries stay a fixed
//! share of the work.

use std::collections::BTreeMap;
use std::time::Duration;

use magpiemoor::keyed::node::admission::{Admission, Admitted, Pool, Waiting};
use magpiemoor::keyed::node::endpoints::Endpoints;
use magpiemoor::keyed::node::gaps::Gaps;
use magpiemoor::keyed::node::prefixes::{Prefixes, blocks};
use magpiemoor::keyed::node::retries::{RetryBudgets, backoff};
use magpiemoor::keyed::node::suspicion::{Stake, suspect_after};
use magpiemoor::schema::{EndpointId, Micros, OrganisationId, Priority, Weights};
use rand::SeedableRng;
use rstest::rstest;

fn pool() -> Pool {
    Pool::Model("drafter".parse().unwrap())
}

fn waiting(n: usize, organisation: &str, weight: u32, priority: Priority) -> Waiting {
    Waiting {
        key: format!("{organisation}-{n}").parse().unwrap(),
        organisation: organisation.parse().unwrap(),
        weight,
        priority,
        cost: 1.0,
        deadline: None,
    }
}

fn order(admission: &mut Admission, count: usize) -> Vec<OrganisationId> {
    (0..count)
        .filter_map(|n| admission.next(&pool(), Micros(n as u64)))
        .map(|w| w.organisation)
        .collect()
}

#[test]
fn organisations_take_turns_by_weight() {
    let mut admission = Admission::default();
    for n in 0..70 {
        for (name, weight) in [("large", 4), ("middle", 2), ("small", 1)] {
            let item = waiting(n, name, weight, Priority::Interactive);
            assert!(matches!(
                admission.admit(&pool(), item, 10_000, Micros(0)),
                Admitted::Queued
            ));
        }
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for organisation in order(&mut admission, 70) {
        *counts.entry(organisation.to_string()).or_default() += 1;
    }
    assert_eq!(
        (counts["large"], counts["middle"], counts["small"]),
        (40, 20, 10)
    );
}

#[test]
fn urgent_classes_go_first() {
    let mut admission = Admission::default();
    for (n, priority) in [Priority::Deferrable, Priority::Interactive, Priority::Quick]
        .into_iter()
        .enumerate()
    {
        admission.admit(
            &pool(),
            waiting(n, &format!("{priority:?}"), 1, priority),
            10,
            Micros(0),
        );
    }
    let names: Vec<String> = order(&mut admission, 3)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(names, ["Quick", "Interactive", "Deferrable"]);
}

#[test]
fn a_crowded_queue_refuses_who_has_its_share_at_once() {
    let mut admission = Admission::default();
    let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
    for n in 0..100 {
        for (name, weight) in [("large", 4), ("small", 1)] {
            let item = waiting(n, name, weight, Priority::Interactive);
            match admission.admit(&pool(), item, 20, Micros(0)) {
                Admitted::Queued => *taken.entry(name).or_default() += 1,
                Admitted::Instead(evicted) => {
                    *taken.entry(name).or_default() += 1;
                    assert_eq!(evicted.organisation.as_str(), "small");
                    *taken.entry("small").or_default() -= 1;
                }
                Admitted::Full => {}
                Admitted::TooLate(wait) => panic!("there is no deadline, yet {wait:?}"),
            }
        }
    }
    assert_eq!(admission.len(), 20);
    assert!(taken["large"] >= 3 * taken["small"] - 5, "{taken:?}");
}

#[test]
fn a_newcomer_within_its_share_goes_before_the_greediest() {
    let mut admission = Admission::default();
    for n in 0..10 {
        admission.admit(
            &pool(),
            waiting(n, "greedy", 1, Priority::Interactive),
            10,
            Micros(0),
        );
    }
    let newcomer = waiting(0, "modest", 1, Priority::Interactive);
    let Admitted::Instead(evicted) = admission.admit(&pool(), newcomer, 10, Micros(0)) else {
        panic!("the greedy one should give way");
    };
    assert_eq!(evicted.key.as_str(), "greedy-9");
    assert_eq!(admission.len(), 10);
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_before_it_waits() {
    let mut admission = Admission::default();
    for n in 0..50 {
        admission.admit(
            &pool(),
            waiting(n, "shop", 1, Priority::Interactive),
            100,
            Micros(0),
        );
    }
    // One starts every 100 ms.
    for n in 1..20 {
        admission.next(&pool(), Micros(n * 100_000));
    }
    let now = Micros(2_000_000);
    let mut hurried = waiting(99, "hurried", 1, Priority::Interactive);
    hurried.deadline = Some(now.after(Duration::from_millis(500)));
    assert!(matches!(
        admission.admit(&pool(), hurried.clone(), 100, now),
        Admitted::TooLate(_)
    ));
    hurried.deadline = Some(now.after(Duration::from_secs(60)));
    assert!(matches!(
        admission.admit(&pool(), hurried, 100, now),
        Admitted::Queued
    ));
    assert_eq!(
        admission.expired(now.after(Duration::from_secs(61))).len(),
        1
    );
}

#[test]
fn retries_stay_a_fixed_share_of_first_tries() {
    let mut budgets = RetryBudgets::default();
    let shop: OrganisationId = "shop".parse().unwrap();
    let engine: EndpointId = "engine".parse().unwrap();
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.on_first_try(&shop, &engine, 10);
        retries += usize::from(budgets.take(&shop, &engine));
    }
    assert!((100..=103).contains(&retries), "{retries}");
}

#[test]
fn backoff_grows_and_varies() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let first: Vec<Duration> = (0..50).map(|_| backoff(1, &mut rng)).collect();
    let late: Vec<Duration> = (0..50).map(|_| backoff(20, &mut rng)).collect();
    assert!(first.iter().all(|b| *b <= Duration::from_millis(30)));
    assert!(
        late.iter()
            .all(|b| *b >= Duration::from_millis(500) && *b <= Duration::from_millis(1_500))
    );
    assert!(first.iter().any(|b| *b != first[0]));
}

#[rstest]
#[case::resume_weighs_more(10.0, 1.0)]
#[case::extra_weighs_more(1.0, 5.0)]
fn suspicion_keeps_between_its_bounds(#[case] resume_second: f64, #[case] extra_second: f64) {
    let weights = Weights {
        resume_second,
        extra_second,
    };
    let p99 = Duration::from_millis(50);
    for extra_ms in [1, 100, 10_000] {
        let extra_work = Duration::from_millis(extra_ms);
        let after = suspect_after(
            &Stake {
                p99,
                extra_work,
                loss_per_gap: 1e-5,
            },
            &weights,
        );
        assert!(after >= p99 * 2 && after < p99 * 4, "{after:?}");
    }
}

#[test]
fn dearer_extra_work_makes_suspicion_slower() {
    let stake = |extra_ms| Stake {
        p99: Duration::from_millis(50),
        extra_work: Duration::from_millis(extra_ms),
        loss_per_gap: 1e-4,
    };
    let weights = Weights {
        resume_second: 10.0,
        extra_second: 1.0,
    };
    assert!(suspect_after(&stake(800), &weights) > suspect_after(&stake(200), &weights));
    let frugal = Weights {
        resume_second: 1.0,
        extra_second: 5.0,
    };
    assert!(suspect_after(&stake(200), &frugal) > suspect_after(&stake(200), &weights));
}

#[test]
fn usual_times_follow_an_endpoint_that_changes() {
    let mut gaps = Gaps::default();
    assert_eq!(gaps.quantile(0.99), None);
    for _ in 0..5_000 {
        gaps.record(Duration::from_millis(10));
    }
    for _ in 0..5_000 {
        gaps.record(Duration::from_millis(40));
    }
    let median = gaps.quantile(0.5).unwrap();
    assert!(median > Duration::from_millis(39) && median < Duration::from_millis(41));
}

#[test]
fn cached_prefixes_are_known_by_endpoint() {
    let mut prefixes = Prefixes::default();
    let (one, two): (EndpointId, EndpointId) = ("one".parse().unwrap(), "two".parse().unwrap());
    let long = blocks(&"x".repeat(640));
    prefixes.stored(&one, &long[..3]);
    prefixes.stored(&two, &long);
    prefixes.evicted(&two, long[9]);
    let cached = prefixes.cached(&long);
    assert_eq!((cached[&one], cached[&two]), (3 * 64, 9 * 64));
    assert!(prefixes.cached(&blocks(&"y".repeat(640))).is_empty());
}

#[test]
fn an_endpoint_that_is_not_known_is_never_touched() {
    let mut endpoints = Endpoints::default();
    let id: EndpointId = "strange".parse().unwrap();
    endpoints.on_start(&id, Micros(1));
    endpoints.on_failure(&id, Micros(1));
    assert!(!endpoints.on_leaving(&id));
    assert_eq!(endpoints.iter().count(), 0);
}
