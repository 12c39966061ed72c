//! The commands of `magpiemoor` and their options.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use serde_json::json;

use crate::cli::Output;

/// Builds the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("magpiemoor")
        .about("Signs and rolls out bundles, checks settings, and shows the state of the boxes")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print the result as JSON"),
        )
        .subcommand(bundle())
        .subcommand(config())
        .subcommand(
            Command::new("timeline")
                .about("Show the events of several boxes, merged in time order")
                .arg(boxes())
                .arg(option(
                    "subject",
                    "TEXT",
                    "Show only events about this request, box or endpoint",
                )),
        )
        .subcommand(
            Command::new("status")
                .about("Show the status of boxes")
                .arg(boxes()),
        )
        .subcommand(explain())
        .subcommand(
            Command::new("completions")
                .about("Print the completion script for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explain what happened to a request, from the decision logs of the boxes")
        .arg(
            Arg::new("failed")
                .long("failed")
                .action(ArgAction::SetTrue)
                .help("List the failed requests by cause; all arguments are then logs"),
        )
        .arg(
            Arg::new("streams")
                .long("streams")
                .action(ArgAction::SetTrue)
                .conflicts_with("failed")
                .help("Report on the streams of all requests; all arguments are then logs"),
        )
        .arg(
            Arg::new("placement")
                .long("placement")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["failed", "streams"])
                .help(
                    "Report the state that boxes assumed of endpoints when they placed attempts, \
                     and which boxes watched the store; all arguments are then logs",
                ),
        )
        .arg(
            Arg::new("rollouts")
                .long("rollouts")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["failed", "streams", "placement"])
                .help("Report on the roll-outs; all arguments are then logs"),
        )
        .arg(
            Arg::new("checks")
                .long("checks")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["failed", "streams", "placement", "rollouts"])
                .help("Report the checks of endpoints by reason; all arguments are then logs"),
        )
        .arg(
            Arg::new("words")
                .value_name("ID|LOG")
                .num_args(0..)
                .help("The id of the request, then logs; reads standard input if no log is given"),
        )
}

fn bundle() -> Command {
    Command::new("bundle")
        .about("Check, sign and roll out bundles")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a bundle source; all errors are shown at once")
                .arg(file("source", "Bundle source, JSON with comments")),
        )
        .subcommand(
            Command::new("keygen")
                .about("Create a signing key and print the public key for trusted_keys")
                .arg(out("File for the private key")),
        )
        .subcommand(
            Command::new("sign")
                .about("Sign a bundle source, or add a signature to a signed bundle")
                .arg(file("source", "Bundle source or signed bundle"))
                .arg(option("key", "FILE", "File with the private key").required(true))
                .arg(option("key-id", "NAME", "Name of the key in trusted_keys").required(true))
                .arg(out("File for the signed bundle")),
        )
        .subcommand(
            Command::new("roll")
                .about(
                    "Roll out a signed bundle; its version must be greater than the accepted one",
                )
                .arg(file("signed", "Signed bundle"))
                .arg(platform())
                .arg(
                    option(
                        "key-id",
                        "NAME",
                        "Name of the operator's key, recorded with the roll-out",
                    )
                    .required(true),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Show the accepted bundle, and the bundle in force on each box")
                .arg(platform())
                .arg(boxes().required(false)),
        )
}

fn config() -> Command {
    Command::new("config")
        .about("Check settings")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a settings file; all errors are shown at once")
                .arg(file("settings", "Settings file, JSON with comments")),
        )
        .subcommand(
            Command::new("sample").about("Print a commented sample with the default values"),
        )
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_name("FILE").help(help)
}

fn out(help: &'static str) -> Arg {
    option("out", "FILE", help).required(true)
}

fn platform() -> Arg {
    option(
        "platform",
        "IP:PORT",
        "Address of the platform's object API",
    )
    .required(true)
}

fn boxes() -> Arg {
    option("boxes", "IP:PORT,...", "Operators' addresses of the boxes")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .required(true)
}

/// Generates the completion script for a shell.
#[must_use]
pub fn completions(matches: &ArgMatches) -> Output {
    let mut buf = Vec::new();
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "magpiemoor", &mut buf);
    }
    let text = String::from_utf8(buf).unwrap_or_default();
    Output::new(text.clone(), json!({ "completions": text }))
}
