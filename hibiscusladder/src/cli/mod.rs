//! Commands of the binary.

mod args;
mod check;
mod contract;
mod demo;
mod difference;
mod emulate;
mod error;
mod explain;
mod in_force;
mod key;
mod load;
mod log;
mod operator;
mod output;
mod serve;
mod status;
mod upstream;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use argh::FromArgs;
use miette::Report;

use self::{
    args::{Arguments, Command},
    error::CliError,
};

/// Name of the command in usage texts.
const COMMAND: &str = "hibiscusladder";

/// Parses the arguments and runs the command; prints its error with the remedy to the standard error stream.
pub(crate) fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match Arguments::from_args(&[COMMAND], &arguments) {
        Ok(arguments) => run(arguments.command),
        Err(exit) if exit.status.is_ok() => {
            let _ = writeln!(io::stdout(), "{}", exit.output);
            Ok(())
        }
        Err(exit) => Err(CliError::usage(&exit.output, &arguments)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "{:?}", Report::new(error));
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), CliError> {
    match command {
        Command::Serve(args) => serve::run(&args),
        Command::Gateway(args) => Ok(hibiscusladder_platform::run(args.config)?),
        Command::Explain(args) => explain::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Emulate(args) => emulate::run(&args),
        Command::Contract(args) => smol::block_on(contract::run(&args)),
        Command::Key(args) => smol::block_on(key::run(&args)),
        Command::Upstream(args) => smol::block_on(upstream::run(&args)),
        Command::Status(args) => smol::block_on(status::run(&args)),
        Command::Load(args) => load::run(&args),
    }
}
