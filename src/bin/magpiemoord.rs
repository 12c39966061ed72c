//! The daemon of an entry box that serves the product's own API.

use std::process::ExitCode;

fn main() -> ExitCode {
    magpiemoor::keyed::command::run(std::env::args_os())
}
