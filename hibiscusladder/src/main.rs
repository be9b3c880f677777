//! The `hibiscusladder` command.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
