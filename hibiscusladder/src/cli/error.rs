//! Errors of the commands, each with a remedy.

use std::{io, path::PathBuf};

use hibiscusladder_core::contract::ContractErrors;
use hibiscusladder_load::error::LoadError;
use hibiscusladder_proxy::{platform::PlatformError, serve::ServeError, settings::SettingsErrors};
use miette::Diagnostic;
use thiserror::Error;

/// Error that a command reports.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CliError {
    /// The command line is not valid.
    #[error("{message}")]
    #[diagnostic(code(hibiscusladder::usage))]
    Usage {
        message: String,
        #[help]
        remedy: String,
    },
    /// The settings file has errors.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsErrors),
    /// The instance could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Serve(#[from] ServeError),
    /// The gateway could not run.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Gateway(#[from] hibiscusladder_platform::RunError),
    /// The platform could not be reached or rejected the call.
    #[error("{0}")]
    #[diagnostic(
        code(hibiscusladder::platform),
        help("check --platform and whether the platform's service runs, then repeat the command")
    )]
    Platform(#[from] PlatformError),
    /// Another operator changed the object after this command read it.
    #[error("{object} was changed by another operator to version {version}: {}", changes.join(", "))]
    #[diagnostic(
        code(hibiscusladder::conflict),
        help("nothing was written; read the current object and repeat the command based on it")
    )]
    Conflict { object: String, version: u64, changes: Vec<String> },
    /// Another operator deleted the object after this command read it.
    #[error("{object} was deleted by another operator")]
    #[diagnostic(
        code(hibiscusladder::conflict),
        help("nothing was written; repeat the command with --expect 0 to create it again")
    )]
    Deleted { object: String },
    /// The object does not exist.
    #[error("there is no {object}")]
    #[diagnostic(code(hibiscusladder::not_found))]
    NotFound {
        object: String,
        #[help]
        remedy: String,
    },
    /// A contract names a database that does not exist.
    #[error("the database `{name}` does not exist")]
    #[diagnostic(code(hibiscusladder::unknown_database))]
    UnknownDatabase {
        name: String,
        #[help]
        remedy: String,
    },
    /// The contract is not valid.
    #[error("{0}")]
    #[diagnostic(
        code(hibiscusladder::contract),
        help("correct the contract and put it again; nothing was written")
    )]
    Contract(#[from] ContractErrors),
    /// A file cannot be read.
    #[error("{} cannot be read: {reason}", path.display())]
    #[diagnostic(code(hibiscusladder::file))]
    File {
        path: PathBuf,
        reason: String,
        #[help]
        remedy: String,
    },
    /// The load run could not be configured, executed or reported.
    #[error("{0}")]
    #[diagnostic(code(hibiscusladder::load))]
    Load(#[from] LoadError),
    /// The change was accepted, but some instances did not confirm it.
    #[error(
        "version {version} was accepted, but is not confirmed by: {}", instances.join(", ")
    )]
    #[diagnostic(
        code(hibiscusladder::not_confirmed),
        help("the change stays in the store; check these instances with `hibiscusladder status`")
    )]
    NotConfirmed { version: u64, instances: Vec<String> },
    /// The emulator could not start.
    #[error("the emulator cannot start: {0}")]
    #[diagnostic(
        code(hibiscusladder::emulator),
        help("check that the addresses in its settings are free and belong to this machine")
    )]
    Emulator(io::Error),
    /// Output could not be written, a log could not be read, or the operating system refused a resource.
    #[error("{0}")]
    #[diagnostic(
        code(hibiscusladder::system),
        help(
            "check that files named in the message can be read, that the standard output can be \
             written, and the resource limits of the process"
        )
    )]
    System(#[from] io::Error),
}

impl CliError {
    /// Creates the error of an invalid command line from the first line of the parser's output.
    pub(crate) fn usage(output: &str, arguments: &[&str]) -> Self {
        let message = output.trim().lines().next().unwrap_or("the command line is not valid");
        let command: Vec<&str> =
            arguments.iter().copied().take_while(|word| !word.starts_with('-')).take(2).collect();
        let words =
            if command.is_empty() { String::new() } else { format!(" {}", command.join(" ")) };
        Self::Usage {
            message: message.to_owned(),
            remedy: format!("see `hibiscusladder{words} --help` for the options and commands"),
        }
    }
}
