//! The command `limits`.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use super::report::Report;
use super::{Asks, Case, ConcurrentFault, Outcome};
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
    Command::new("limits")
        .about("Simulate servers that ask something of their callers, and judge what they got")
        .arg(number("seed", "1", "Seed of the first play"))
        .arg(number("plays", "100", "How many plays"))
        .arg(number("boxes", "30", "Boxes in all"))
        .arg(number("threads", "2", "Plays at once"))
        .arg(
            Arg::new("beside")
                .long("beside")
                .value_name("NAME")
                .value_parser(PossibleValuesParser::new(
                    ConcurrentFault::ALL.map(ConcurrentFault::name),
                ))
                .help("What goes wrong beside, in place of what the seed draws"),
        )
        .arg(
            Arg::new("asks")
                .long("asks")
                .value_name("NAME")
                .default_value(Asks::Limit.name())
                .value_parser(PossibleValuesParser::new(Asks::ALL.map(Asks::name)))
                .help("What servers in need ask for"),
        )
        .arg(
            Arg::new("each")
                .long("each")
                .action(ArgAction::SetTrue)
                .help("Print a line for each play"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}

/// Runs the cases; returns whether no server got more than it asked for.
#[must_use]
pub fn run(matches: &ArgMatches) -> bool {
    let number = |name: &str| *matches.get_one::<u64>(name).unwrap_or(&1);
    let boxes = number("boxes") as usize;
    let name = matches.get_one::<String>("beside");
    let beside = name.and_then(|name| ConcurrentFault::ALL.into_iter().find(|b| b.name() == name));
    let name = matches.get_one::<String>("asks");
    let asks = name.and_then(|name| Asks::ALL.into_iter().find(|a| a.name() == name));
    let seeds = number("seed")..number("seed") + number("plays");
    let cases = seeds.map(|seed| {
        let drawn = Case::draw(seed, boxes);
        let beside = beside.unwrap_or(drawn.beside);
        Case {
            beside,
            asks: asks.unwrap_or(drawn.asks),
            ..drawn
        }
    });
    let cases: Vec<Case> = cases.collect();
    let outcomes = parallel::map(&cases, number("threads") as usize, Case::run_paired);
    if matches.get_flag("each") {
        for outcome in &outcomes {
            println!("{outcome}");
        }
    }
    let report = Report::new(&outcomes);
    if matches.get_flag("json") {
        println!("{}", json!(report));
    } else {
        print!("{}", report.text());
    }
    !outcomes.iter().any(Outcome::is_over)
}
