//! The command `stops`.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use super::score::sum;
use super::{Beside, Case, Outcome};
use crate::gateway::parallel;

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
    Command::new("stops")
        .about("Play stops of boxes while streams wait for room, and judge what callers got")
        .arg(number("seed", "1", "Seed of the first play"))
        .arg(number("plays", "100", "How many plays"))
        .arg(number("boxes", "7", "Boxes, in three failure domains"))
        .arg(number("threads", "2", "Plays at once"))
        .arg(flag("each", "Print a line for each play"))
        .arg(flag("json", "Print the sums as JSON"))
}

/// Runs the plays; returns whether all requests were answered or refused.
#[must_use]
pub fn run(matches: &ArgMatches) -> bool {
    let number = |name: &str| *matches.get_one::<u64>(name).unwrap_or(&1);
    let boxes = number("boxes") as usize;
    let seeds = number("seed")..number("seed") + number("plays");
    let cases: Vec<Case> = seeds.map(|seed| Case::draw(seed, boxes)).collect();
    let outcomes = parallel::map(&cases, number("threads") as usize, Case::play);
    if matches.get_flag("each") {
        for outcome in &outcomes {
            println!("{outcome}");
        }
    }
    if matches.get_flag("json") {
        println!("{}", json!(sum(&outcomes)));
    } else {
        print_sums(&outcomes);
    }
    sum(&outcomes).unanswered == 0
}

/// Prints the sums of all plays, and of those with each fault beside.
fn print_sums(outcomes: &[Outcome]) {
    for beside in Beside::ALL {
        let of = outcomes.iter().filter(|o| o.case.beside == beside);
        println!("{:>14}  {}", beside.name(), sum(of));
    }
    println!("{:>14}  {}", "all", sum(outcomes));
}
