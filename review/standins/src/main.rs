//! Stand-ins for the users' platform, servers and clients, and the cases that use them. Each case
//! starts the project's daemon as separate processes and ends them before it exits.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod daemons;
mod http;
mod ingress;
mod record;
mod server;
mod silent;
mod store;
mod surplus;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: review-standins surplus|silent RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "silent" => silent::run(record, has_trouble),
        "surplus" => surplus::run(record, has_trouble),
        _ => Err(format!("there is no case {case:?}")),
    };
    match outcome {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
