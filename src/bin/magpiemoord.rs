//! The daemon of an entry box of the product's own face.

use std::process::ExitCode;

fn main() -> ExitCode {
    magpiemoor::keyed::command::run(std::env::args_os())
}
