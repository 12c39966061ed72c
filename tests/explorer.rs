//! Explores orders of failures: seeded lists of steps over a handful of nodes, with the promises
//! checked at every step and at the end. A case that breaks one is cut down to the steps it needs.
//!
//! `EXPLORER_SEEDS` sets how many lists are tried, `EXPLORER_FIRST` where they begin.

mod world;

use std::time::Duration;

use magpiemoor::keyed::node::event::Event;
use magpiemoor::schema::{BoxId, DeferredResult, DeferredStatus, Priority, Reason};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::World;
use world::callers::{generation, redeem};
use world::endpoints::Trouble;
use world::fixtures::{DOMAINS, key_in, running};

/// How many lists are tried unless the environment says otherwise.
const SEEDS: u64 = 150;
/// The most steps of a list.
const STEPS: usize = 24;
/// The longest pause between two steps.
const PAUSE_MS: u64 = 900;
/// How long all is well before the end is judged.
const CALM: Duration = Duration::from_secs(20);
/// Rounds in which callers come back at the end.
const ROUNDS: usize = 60;
const BOXES: usize = 3;
const ENGINES: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    Generate(String, String),
    Redeem(String, String),
    Defer(String, String),
    ComeBack(String, usize),
    Leave(usize),
    KillBox(String),
    StartBox(String),
    FreezeBox(String),
    ThawBox(String),
    StopBox(String),
    KillEngine(String),
    ReviveEngine(String),
    StallEngine(String, bool),
    FreezeEngine(String, bool),
    DoubleEngine(String),
    ServiceLoses(String, bool),
    Cut(String, String),
    Heal,
    PlatformOut,
    PlatformBack,
    LoseAnswers(u32),
    Stale(bool),
    ListLags(bool),
    Loss(bool),
    Roll,
}

fn steps(seed: u64) -> Vec<(Duration, Step)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = rng.random_range(4..=STEPS);
    (0..count)
        .map(|n| {
            let pause = Duration::from_micros(rng.random_range(0..PAUSE_MS * 1_000));
            // Most pauses are short, so that failures meet requests on their way.
            let pause = if rng.random_bool(0.6) {
                pause / 100
            } else {
                pause
            };
            (pause, step(&mut rng, n))
        })
        .collect()
}

fn step(rng: &mut ChaCha8Rng, n: usize) -> Step {
    let domain = (*DOMAINS.choose(rng).unwrap()).to_owned();
    let at = format!("{domain}-{}", rng.random_range(0..BOXES));
    let engine = format!("{domain}-engine-{}", rng.random_range(0..ENGINES));
    let till = format!("{domain}-till");
    let key = key_in(DOMAINS.choose(rng).unwrap(), &format!("key-{n}"));
    let place = rng.random_range(0..8);
    let on = rng.random();
    match rng.random_range(0..100) {
        0..=17 => Step::Generate(at, key),
        18..=35 => Step::Redeem(at, key),
        36..=41 => Step::Defer(at, key),
        42..=53 => Step::ComeBack(at, place),
        54..=55 => Step::Leave(place),
        56..=61 => Step::KillBox(at),
        62..=65 => Step::StartBox(at),
        66..=69 => Step::FreezeBox(at),
        70..=72 => Step::ThawBox(at),
        73..=75 => Step::StopBox(at),
        76..=78 => Step::KillEngine(engine),
        79 => Step::ReviveEngine(engine),
        80..=81 => Step::StallEngine(engine, on),
        82 => Step::FreezeEngine(engine, on),
        83 => Step::DoubleEngine(engine),
        84 => Step::ServiceLoses(till, on),
        85..=86 => Step::Cut(at, format!("{domain}-{}", rng.random_range(0..BOXES))),
        87 => Step::Cut("north".to_owned(), "south".to_owned()),
        88 => Step::Cut(domain, "platform".to_owned()),
        89 => Step::Heal,
        90..=91 => Step::PlatformOut,
        92 => Step::PlatformBack,
        93..=94 => Step::LoseAnswers(rng.random_range(1..4)),
        95 => Step::Stale(on),
        96 => Step::ListLags(on),
        97 => Step::Loss(on),
        _ => Step::Roll,
    }
}

struct Case {
    world: World,
    keys: Vec<String>,
    version: u64,
}

impl Case {
    fn take(&mut self, step: &Step) {
        let world = &mut self.world;
        let id = |name: &String| name.parse::<BoxId>().unwrap();
        match step {
            Step::Generate(at, key) => {
                self.keys.push(key.clone());
                world.send_request(at, generation(key, 60));
            }
            Step::Redeem(at, key) => {
                self.keys.push(key.clone());
                world.send_request(at, redeem(key));
            }
            Step::Defer(at, key) => {
                self.keys.push(key.clone());
                let mut request = generation(key, 30);
                request.priority = Priority::Deferrable;
                world.send_request(at, request);
            }
            Step::ComeBack(at, place) => {
                if let Some(key) = self.keys.get(*place).cloned() {
                    let caller = world.callers.get(&key);
                    if caller.finish.is_none() && caller.kept.is_none() {
                        world.come_back(at, &key);
                    }
                }
            }
            Step::Leave(place) => {
                if let Some(key) = self.keys.get(*place).cloned()
                    && world.callers.get(&key).waits
                {
                    world.caller_leaves(&key);
                }
            }
            Step::KillBox(name) => world.kill_box(&id(name)),
            Step::StartBox(name) => {
                if world.node(&id(name)).is_none() {
                    world.start_box(&id(name));
                }
            }
            Step::FreezeBox(name) => world.freeze_box(&id(name)),
            Step::ThawBox(name) => world.thaw_box(&id(name)),
            Step::StopBox(name) => world.give(&id(name), Event::Stop),
            Step::KillEngine(name) => world.kill_engine(name),
            Step::ReviveEngine(name) => world.engine_mut(name).alive = true,
            Step::StallEngine(name, on) => {
                world.engine_mut(name).trouble = if *on { Trouble::Stalled } else { Trouble::None }
            }
            Step::FreezeEngine(name, on) => {
                world.engine_mut(name).trouble = if *on { Trouble::Frozen } else { Trouble::None }
            }
            Step::DoubleEngine(name) => world.engine_mut(name).duplicates = 3,
            Step::ServiceLoses(name, on) => {
                world.services.get_mut(name).unwrap().lose_answers = *on;
            }
            Step::Cut(a, b) => world.cut(a, b),
            Step::Heal => world.cuts.clear(),
            Step::PlatformOut => world.platform_out(),
            Step::PlatformBack => world.platform.outage = false,
            Step::LoseAnswers(count) => world.platform.lose_answers = *count,
            Step::Stale(on) => world.platform.stale = *on,
            Step::ListLags(on) => world.platform.list_lags = *on,
            Step::Loss(on) => world.loss = if *on { 0.2 } else { 0.0 },
            Step::Roll => {
                self.version += 1;
                world.roll(self.version);
            }
        }
    }

    /// Mends everything and lets things come to rest.
    fn mend(&mut self) {
        let world = &mut self.world;
        world.cuts.clear();
        world.loss = 0.0;
        world.platform.outage = false;
        world.platform.stale = false;
        world.platform.lose_answers = 0;
        world.platform.list_lags = false;
        world.platform.catch_up();
        for engine in world.engines.values_mut() {
            engine.alive = true;
            engine.trouble = Trouble::None;
        }
        for service in world.services.values_mut() {
            service.lose_answers = false;
        }
        for id in world.box_ids() {
            world.thaw_box(&id);
        }
        world.run(Duration::from_secs(1));
        for id in world.box_ids() {
            if world.node(&id).is_none() {
                world.start_box(&id);
            }
        }
        world.run(CALM);
    }

    /// Lets every caller come back until it has its last word, and says who never got one.
    fn judge(&mut self) {
        for round in 0..ROUNDS {
            let mut open = 0;
            for key in self.keys.clone() {
                let at = format!("{}-{}", DOMAINS[round % 2], round % BOXES);
                open += usize::from(!self.press(&at, &key));
            }
            if open == 0 {
                break;
            }
            self.world.run(Duration::from_millis(500));
        }
        for key in self.keys.clone() {
            if !self.press("north-0", &key) {
                let caller = self.world.callers.get(&key);
                let text = format!(
                    "{key} never ended: {:?} {:?}",
                    caller.refusal, caller.status
                );
                self.world.violations.push(text);
            }
        }
        let running = self
            .world
            .box_ids()
            .into_iter()
            .filter(|id| self.world.node(id).is_some());
        let versions: Vec<u64> = running.map(|id| self.world.bundle_version(&id)).collect();
        if versions.iter().any(|v| *v != self.version) {
            let text = format!("bundle versions {versions:?} instead of {}", self.version);
            self.world.violations.push(text);
        }
        if !self.world.is_settled() {
            self.world.violations.push("slices stay closed".to_owned());
        }
    }

    /// Presses for a request's last word; returns whether it is there.
    fn press(&mut self, at: &str, key: &str) -> bool {
        let caller = self.world.callers.get(key);
        if caller.request.priority == Priority::Deferrable {
            return self.press_deferred(at, key);
        }
        let last = caller.finish.is_some()
            || caller.answer.is_some()
            || caller.refusal.as_ref().is_some_and(|r| {
                matches!(r.reason, Reason::StartOver | Reason::OutcomeUnknown)
                    && r.retry_after.is_none()
            });
        if !last && !caller.waits {
            self.world.come_back(at, key);
        }
        last
    }

    fn press_deferred(&mut self, at: &str, key: &str) -> bool {
        let caller = self.world.callers.get(key);
        if matches!(
            caller.status,
            Some(DeferredStatus::Done(DeferredResult::Text(_)))
        ) {
            return true;
        }
        if matches!(caller.status, Some(DeferredStatus::Missing)) && caller.kept.is_some() {
            self.world
                .violations
                .push(format!("{key} was accepted and is lost"));
        }
        if caller.kept.is_some() {
            self.world.look_up(at, key);
        } else if !caller.waits {
            self.world.come_back(at, key);
        }
        false
    }
}

/// Runs a list of steps; returns what it broke.
fn broken_by(seed: u64, steps: &[(Duration, Step)]) -> Vec<String> {
    run_case(seed, steps).violations
}

/// What the nodes noted about the keys and boxes of a broken case.
fn notes_of(world: &World) -> Vec<String> {
    let named = |n: &&(_, _, _, String, _)| world.violations.iter().any(|v| v.contains(&n.3));
    let general = [
        "box_started",
        "box_silent",
        "epoch",
        "removed_from_roster",
        "batch_accepted",
    ];
    let told = world
        .notes
        .iter()
        .filter(|n| named(n) || general.contains(&n.2));
    told.map(|n| format!("{} {} {} {} {}", n.0, n.1, n.2, n.3, n.4))
        .collect()
}

fn run_case(seed: u64, steps: &[(Duration, Step)]) -> World {
    let mut case = Case {
        world: running(seed, BOXES, ENGINES),
        keys: Vec::new(),
        version: 1,
    };
    for (pause, step) in steps {
        case.world.run(*pause);
        case.take(step);
    }
    case.world.run(Duration::from_secs(1));
    case.mend();
    case.judge();
    case.world
}

/// Leaves out every step that the case doesn't need.
fn cut_down(seed: u64, mut steps: Vec<(Duration, Step)>) -> Vec<(Duration, Step)> {
    let mut place = 0;
    while place < steps.len() {
        let mut fewer = steps.clone();
        let (pause, _) = fewer.remove(place);
        if let Some(next) = fewer.get_mut(place) {
            next.0 += pause;
        }
        if broken_by(seed, &fewer).is_empty() {
            place += 1;
        } else {
            steps = fewer;
        }
    }
    steps
}

fn from_environment(name: &str, otherwise: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(otherwise)
}

#[test]
fn no_order_of_failures_breaks_a_promise() {
    let first = from_environment("EXPLORER_FIRST", 0);
    let seeds = from_environment("EXPLORER_SEEDS", SEEDS);
    for seed in first..first + seeds {
        let steps = steps(seed);
        if !broken_by(seed, &steps).is_empty() {
            let needed = cut_down(seed, steps);
            let world = run_case(seed, &needed);
            let (broken, notes) = (&world.violations, notes_of(&world));
            panic!("seed {seed}: {needed:#?}\nbreaks {broken:#?}\nafter {notes:#?}");
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 0..5 {
        let steps = steps(seed);
        let (one, two) = (run_case(seed, &steps), run_case(seed, &steps));
        assert!(one.notes == two.notes, "seed {seed} went two ways");
    }
}
