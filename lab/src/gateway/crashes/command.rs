//! The command that plays crashing requests.

use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use super::report::Report;
use super::{Beside, Case, Outcome, picture};
use crate::gateway::parallel;

/// Its arguments.
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
    Command::new("crashes")
        .about("Play requests that crash their servers on made-up time and judge what came of them")
        .arg(number("seed", "1", "Seed of the first play"))
        .arg(number("plays", "100", "How many plays"))
        .arg(number("boxes", "30", "Boxes, in three failure domains"))
        .arg(number("threads", "4", "Plays at once"))
        .arg(
            Arg::new("beside")
                .long("beside")
                .value_name("NAME")
                .value_parser(PossibleValuesParser::new(Beside::ALL.map(Beside::name)))
                .help("What goes wrong beside, in place of what the seed draws"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw servers lost and the time until boxes know as SVG"),
        )
}

/// Plays; returns whether no promise was broken.
///
/// # Errors
///
/// Says what can't be drawn.
pub fn run(matches: &ArgMatches) -> Result<bool, String> {
    let number = |name: &str| *matches.get_one::<u64>(name).unwrap_or(&1);
    let boxes = number("boxes") as usize;
    let name = matches.get_one::<String>("beside");
    let beside = name.and_then(|name| Beside::ALL.into_iter().find(|b| b.name() == name));
    let seeds = number("seed")..number("seed") + number("plays");
    let cases = seeds.map(|seed| {
        let drawn = Case::draw(seed, boxes);
        let beside = beside.unwrap_or(drawn.beside);
        Case { beside, ..drawn }
    });
    let cases: Vec<Case> = cases.collect();
    let outcomes = parallel::map(&cases, number("threads") as usize, Case::play_paired);
    let report = Report::new(&outcomes);
    if matches.get_flag("json") {
        println!("{}", json!(report));
    } else {
        print!("{}", report.text());
    }
    if let Some(out) = matches.get_one::<PathBuf>("out") {
        picture::draw(&outcomes, out)?;
    }
    Ok(!outcomes.iter().any(Outcome::is_over_budget))
}
