//! Changes in the platform's store while the boxes that watch it are lost, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;
#[path = "gateway/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fixtures::GENEROUS;
use fleet::Fleet;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time within which a change must be in force, and a draining endpoint left.
const CHANGE_IN_FORCE_AFTER: Duration = Duration::from_secs(2);
/// Time in which boxes start and agree on their watchers.
const SETTLE: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(10);
/// Seeds of one run of the test.
const SEEDS: u64 = 24;

/// How the watchers of the store are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// The store gives them no answer.
    Silence,
    /// Their processes are killed and don't return during the play.
    Kill,
    /// Their processes are suspended.
    Freeze,
    /// The store gives them and another third of the boxes no answer.
    SilenceAndThird,
    /// The store gives no answer to them, nor to those that replaced them two seconds later.
    Series,
    /// The store gives no answer to the watchers of one domain.
    OneDomain,
}

const LOSSES: [Loss; 6] = [
    Loss::Silence,
    Loss::Kill,
    Loss::Freeze,
    Loss::SilenceAndThird,
    Loss::Series,
    Loss::OneDomain,
];

/// Boxes of each domain in the fleets that are played.
const FLEETS: [&[usize]; 6] = [
    &[3],
    &[3, 2, 2],
    &[4, 4, 4],
    &[6, 6, 6],
    &[8, 8, 8],
    &[20, 20, 20],
];
const LARGE_FLEET: [usize; 13] = [59, 40, 32, 28, 24, 22, 20, 18, 16, 14, 12, 8, 7];

struct Play {
    fleet: Fleet,
    rng: ChaCha8Rng,
    lost: BTreeSet<usize>,
}

impl Play {
    fn start(domains: &[usize], seed: u64) -> Self {
        let mut fleet = Fleet::starting(domains, GENEROUS, seed);
        fleet.run(SETTLE);
        Self {
            fleet,
            rng: ChaCha8Rng::seed_from_u64(seed),
            lost: BTreeSet::new(),
        }
    }

    fn watchers(&self) -> Vec<usize> {
        let boxes = self.fleet.boxes.iter().enumerate();
        let watching = boxes.filter(|(at, b)| b.is_watching() && !self.lost.contains(at));
        watching.map(|(at, _)| at).collect()
    }

    fn lose(&mut self, how: Loss) {
        let mut lost = self.watchers();
        match how {
            Loss::OneDomain => {
                let domain = self.fleet.boxes[lost[0]].domain.clone();
                lost.retain(|at| self.fleet.boxes[*at].domain == domain);
            }
            Loss::SilenceAndThird => {
                let all: Vec<usize> = (0..self.fleet.boxes.len()).collect();
                let third = all.len() / 3;
                lost.extend(all.choose_multiple(&mut self.rng, third));
            }
            Loss::Silence | Loss::Kill | Loss::Freeze | Loss::Series => {}
        }
        self.lost.extend(&lost);
        for at in lost {
            match how {
                Loss::Kill => self
                    .fleet
                    .lose_power(Duration::from_secs(60), |other| other == at),
                Loss::Freeze => self.fleet.pause(at, Duration::from_secs(60)),
                _ => {
                    self.fleet.turned_away.insert(at);
                }
            }
        }
    }

    /// Time until all boxes that are not lost have the last change.
    fn time_to_force(&mut self) -> Duration {
        let mut time = Duration::ZERO;
        let boxes: Vec<usize> = (0..self.fleet.boxes.len()).collect();
        while time < CHANGE_IN_FORCE_AFTER * 5 {
            let mut others = boxes.iter().filter(|at| !self.lost.contains(at));
            if others.all(|at| self.fleet.is_up_to_date(*at)) {
                break;
            }
            self.fleet.run(STEP);
            time += STEP;
        }
        time
    }

    fn change(&mut self) -> Duration {
        self.fleet.change_store();
        self.time_to_force()
    }
}

/// The longest time until a change was in force after the watchers were lost.
fn play(domains: &[usize], loss: Loss, seed: u64) -> Duration {
    let mut play = Play::start(domains, seed);
    let wait = play.rng.random_range(0..1_600);
    play.fleet.run(Duration::from_millis(wait));
    play.lose(loss);
    let wait = play.rng.random_range(0..400);
    play.fleet.run(Duration::from_millis(wait));
    let mut worst = play.change();
    if loss == Loss::Series {
        play.fleet.run(Duration::from_secs(2));
        play.lose(loss);
        worst = worst.max(play.change());
    }
    play.fleet.run(Duration::from_secs(1));
    worst.max(play.change())
}

/// Orders of roll-outs reached no box for 6 s after the box of each domain that watches them had
/// lost the store.
#[rstest]
#[case::silence(Loss::Silence, 1)]
#[case::kill(Loss::Kill, 2)]
#[case::freeze(Loss::Freeze, 3)]
#[case::series(Loss::Series, 4)]
fn orders_are_watched_by_another_box_in_time(#[case] loss: Loss, #[case] seed: u64) {
    let mut play = Play::start(&[6, 6, 6], seed);
    play.lose(loss);
    if loss == Loss::Series {
        play.fleet.run(CHANGE_IN_FORCE_AFTER);
        play.lose(loss);
    }
    play.fleet.run(CHANGE_IN_FORCE_AFTER);
    let boxes = play.fleet.boxes.iter().enumerate();
    let others = boxes.filter(|(at, _)| !play.lost.contains(at));
    let watching = others.filter(|(_, found)| found.watches_rollouts);
    let domains: BTreeSet<_> = watching.map(|(_, found)| &found.domain).collect();
    assert_eq!(domains.len(), 3, "{domains:?}");
}

fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("LOST_WATCHERS_FIRST").unwrap_or(1);
    first..first + number("LOST_WATCHERS_SEEDS").unwrap_or(SEEDS)
}

/// All boxes of a domain followed an old table and sent requests to draining endpoints for 5 s after
/// their watchers had lost the store: a watcher counted as fresh for 6 s after its last answer.
#[test]
fn a_change_is_in_force_in_time_though_all_watchers_of_the_store_are_lost() {
    let mut worst = Duration::ZERO;
    for seed in seeds() {
        let loss = LOSSES[seed as usize % LOSSES.len()];
        let domains = FLEETS[seed as usize / LOSSES.len() % FLEETS.len()];
        let time = play(domains, loss, seed);
        worst = worst.max(time);
        assert!(
            time < CHANGE_IN_FORCE_AFTER,
            "seed {seed}, {loss:?}, {domains:?}: {time:?}"
        );
    }
    println!("worst: {worst:?}");
}

/// The same bound holds in a fleet of 300 boxes.
#[rstest]
#[case(Loss::Silence, 1)]
#[case(Loss::SilenceAndThird, 2)]
fn a_change_is_in_force_in_time_in_a_large_fleet_without_its_watchers(
    #[case] loss: Loss,
    #[case] seed: u64,
) {
    let time = play(&LARGE_FLEET, loss, seed);
    assert!(time < CHANGE_IN_FORCE_AFTER, "{time:?}");
}

/// A store that is down for all must not be called by all boxes.
#[rstest]
#[case::small(&[3, 2, 2])]
#[case::large(&LARGE_FLEET)]
fn few_boxes_call_a_store_that_is_down_for_all(#[case] domains: &[usize]) {
    let mut play = Play::start(domains, 5);
    play.fleet.store_is_up = false;
    play.fleet.run(Duration::from_secs(10));
    let watchers = play.fleet.watchers();
    // The two watchers, the prompt candidates, and one further box each three seconds.
    assert!(watchers.values().all(|n| *n <= 2 + 8 + 4), "{watchers:?}");
    play.fleet.store_is_up = true;
    play.fleet.run(Duration::from_secs(12));
    let watchers = play.fleet.watchers();
    assert!(watchers.values().all(|n| *n <= 2), "{watchers:?}");
}

/// Calls in calm must not grow with the boxes: only the watchers call the store.
#[test]
fn calls_to_the_store_in_calm_grow_with_the_domains_only() {
    let calls = [&[4, 4, 4][..], &[40, 40, 40]].map(|domains| {
        let mut play = Play::start(domains, 6);
        play.fleet.store_calls = 0;
        play.fleet.run(Duration::from_secs(20));
        play.fleet.store_calls
    });
    assert!(calls[1] <= calls[0] + calls[0] / 10, "{calls:?}");
}
