//! Plays of outages in which whole failure domains come back as other instances at the same
//! addresses, judged by the callers' bound on arrivals beyond the first of each request.
//!
//! The boxes, engines and callers are those of the plays of versions; a [`Case`] here has outages of
//! domains, a store that is out for some time, and something that goes wrong beside.

use std::fmt;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;

use super::{Beside, Case, Change, Outages, Outcome};
use crate::gateway::parallel;

/// How long the store may be out, in seconds.
const STORE_OUT_S: [u64; 5] = [0, 1, 5, 20, 60];
/// Share of the plays in which some boxes still reach the store.
const SERVES_SOME: f64 = 0.25;
/// Engines of each failure domain.
const ENGINES: usize = 24;

/// Draws a case by a seed.
#[must_use]
pub fn draw(seed: u64, boxes: usize) -> Case {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let changes = [Change::Sole, Change::Sole, Change::Mixed, Change::Replaces];
    let store_out_s = STORE_OUT_S.choose(&mut rng).copied().unwrap_or_default();
    Case {
        change: changes.choose(&mut rng).copied().unwrap_or(Change::Sole),
        beside: Beside::DRAWN[rng.random_range(0..Beside::DRAWN.len())],
        engines_crash: rng.random_bool(0.2),
        engines: ENGINES,
        outages: Some(Outages {
            domains: rng.random_range(1..=3),
            share: [0.5, 0.9, 1.0][rng.random_range(0..3)],
            store_out: Duration::from_secs(store_out_s),
            store_serves_some: rng.random_bool(SERVES_SOME),
        }),
        ..Case::draw(seed, boxes)
    }
}

/// Returns the command and its arguments.
#[must_use]
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::SetTrue)
            .help(help)
    };
    Command::new("retries")
        .about("Play outages of whole failure domains, and judge retries by the callers' bound")
        .arg(number("seed", "1", "Seed of the first play"))
        .arg(number("plays", "100", "How many plays"))
        .arg(number("boxes", "30", "Boxes, in three failure domains"))
        .arg(number("threads", "2", "Plays at once"))
        .arg(flag("each", "Print a line for each play"))
        .arg(flag("json", "Print the report as JSON"))
}

/// Runs the plays; returns whether all kept the bound and no stream holds events of two versions.
#[must_use]
pub fn run(matches: &ArgMatches) -> bool {
    let number = |name: &str| *matches.get_one::<u64>(name).unwrap_or(&1);
    let boxes = number("boxes") as usize;
    let seeds = number("seed")..number("seed") + number("plays");
    let cases: Vec<Case> = seeds.map(|seed| draw(seed, boxes)).collect();
    let outcomes = parallel::map(&cases, number("threads") as usize, Case::play);
    if matches.get_flag("each") {
        for outcome in &outcomes {
            println!("{}", Line(outcome));
        }
    }
    if matches.get_flag("json") {
        println!("{}", json!(Report::new(&outcomes)));
    } else {
        print_report(&outcomes);
    }
    outcomes
        .iter()
        .all(|o| o.counts.excess <= 0.0 && o.counts.joined == 0)
}

/// Prints the sums of all plays, and of those with each fault beside.
fn print_report(outcomes: &[Outcome]) {
    for beside in Beside::ALL {
        let of = outcomes.iter().filter(|o| o.case.beside == beside);
        println!("{:>16}  {}", beside.name(), Report::new(of));
    }
    println!("{:>16}  {}", "all", Report::new(outcomes));
}

/// One play in a line.
struct Line<'a>(&'a Outcome);

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { case, counts } = self.0;
        write!(f, "{case} {:?}", case.outages)?;
        write!(
            f,
            ": excess {:.0}, {} repeats of {} requests, {} turned away, {} of {} given up {:?}, joined {} {:?}, {} checks",
            counts.excess,
            counts.repeats,
            counts.requests,
            counts.turned_away,
            counts.given_up,
            counts.placeable,
            counts.given_up_stories,
            counts.joined,
            counts.joined_stories,
            counts.checks,
        )
    }
}

/// What many plays came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Plays.
    pub plays: usize,
    /// Plays with a window over the bound.
    pub over: usize,
    /// The greatest excess over the bound; negative if there was none.
    pub worst_excess: Option<f64>,
    /// Attempts of callers.
    pub requests: u64,
    /// Arrivals beyond the first of their request.
    pub repeats: u64,
    /// Arrivals turned away in the 10 s after an outage.
    pub turned_away: u64,
    /// Attempts of callers in the same time.
    pub requests_after_outage: u64,
    /// Attempts of callers whose box reached an engine.
    pub placeable: u64,
    /// Those of them that were given up.
    pub given_up: u64,
    /// Streams that hold events of two versions.
    pub joined: u64,
    /// Checks of engines.
    pub checks: u64,
}

impl Report {
    /// Adds up plays.
    #[must_use]
    pub fn new<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> Self {
        let mut report = Self::default();
        for Outcome { counts, .. } in outcomes {
            report.plays += 1;
            report.over += usize::from(counts.excess > 0.0);
            let worst = report.worst_excess.unwrap_or(f64::NEG_INFINITY);
            let worst = worst.max(counts.excess);
            report.worst_excess = worst.is_finite().then_some(worst);
            report.requests += counts.requests;
            report.repeats += counts.repeats;
            report.turned_away += counts.turned_away;
            report.requests_after_outage += counts.requests_after_outage;
            report.placeable += counts.placeable;
            report.given_up += counts.given_up;
            report.joined += counts.joined;
            report.checks += counts.checks;
        }
        report
    }

    /// Arrivals turned away for each request in the 10 s after an outage.
    #[must_use]
    pub fn turned_away_per_request(&self) -> f64 {
        self.turned_away as f64 / self.requests_after_outage.max(1) as f64
    }

    /// The share of requests given up of those that an engine could have served.
    #[must_use]
    pub fn given_up_share(&self) -> f64 {
        self.given_up as f64 / self.placeable.max(1) as f64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} plays: {} over the bound (worst {:.0}), {} repeats of {} requests, {:.4} turned away a request after an outage, {:.5} given up of {}, joined {}, {:.2} checks a request",
            self.plays,
            self.over,
            self.worst_excess.unwrap_or_default(),
            self.repeats,
            self.requests,
            self.turned_away_per_request(),
            self.given_up_share(),
            self.placeable,
            self.joined,
            self.checks as f64 / self.requests.max(1) as f64,
        )
    }
}
