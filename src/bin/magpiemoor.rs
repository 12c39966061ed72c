//! The binary of the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    magpiemoor::cli::run(&magpiemoor::cli::args::command().get_matches())
}
