//! The command `versions`.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use super::score::Report;
use super::{Beside, Case, Change, Outcome};
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
    let choice = |name: &'static str, values: Vec<&'static str>, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NAME")
            .value_parser(PossibleValuesParser::new(values))
            .help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::SetTrue)
            .help(help)
    };
    Command::new("versions")
        .about(
            "Play streams before engines of several software versions, and judge what callers got",
        )
        .arg(number("seed", "1", "Seed of the first play"))
        .arg(number("plays", "100", "How many plays"))
        .arg(number("boxes", "7", "Boxes, in three failure domains"))
        .arg(number("threads", "2", "Plays at once"))
        .arg(choice(
            "change",
            Change::ALL.map(Change::name).to_vec(),
            "How versions change, in place of what the seed draws",
        ))
        .arg(choice(
            "beside",
            Beside::ALL.map(Beside::name).to_vec(),
            "What goes wrong beside, in place of what the seed draws",
        ))
        .arg(flag("each", "Print a line for each play"))
        .arg(flag("json", "Print the report as JSON"))
}

/// Runs the plays; returns whether no stream holds events of two versions.
#[must_use]
pub fn run(matches: &ArgMatches) -> bool {
    let number = |name: &str| *matches.get_one::<u64>(name).unwrap_or(&1);
    let name = |of: &str| matches.get_one::<String>(of).cloned().unwrap_or_default();
    let change = Change::ALL.into_iter().find(|c| c.name() == name("change"));
    let beside = Beside::ALL.into_iter().find(|b| b.name() == name("beside"));
    let boxes = number("boxes") as usize;
    let seeds = number("seed")..number("seed") + number("plays");
    let cases = seeds.map(|seed| {
        let drawn = Case::draw(seed, boxes);
        Case {
            change: change.unwrap_or(drawn.change),
            beside: beside.unwrap_or(drawn.beside),
            ..drawn
        }
    });
    let cases: Vec<Case> = cases.collect();
    let outcomes = parallel::map(&cases, number("threads") as usize, Case::play);
    if matches.get_flag("each") {
        for outcome in &outcomes {
            println!("{outcome}");
        }
    }
    if matches.get_flag("json") {
        println!("{}", json!(Report::new(&outcomes)));
    } else {
        print_report(&outcomes);
    }
    outcomes.iter().all(|outcome| outcome.counts.joined == 0)
}

/// Prints the sums of all plays, and of those with each change and each fault.
fn print_report(outcomes: &[Outcome]) {
    for change in Change::ALL {
        let of = outcomes.iter().filter(|o| o.case.change == change);
        println!("{:>16}  {}", change.name(), Report::new(of));
    }
    for beside in Beside::ALL {
        let of = outcomes.iter().filter(|o| o.case.beside == beside);
        println!("{:>16}  {}", beside.name(), Report::new(of));
    }
    println!("{:>16}  {}", "all", Report::new(outcomes));
}
