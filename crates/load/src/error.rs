//! Errors of the load tool; each message names the remedy.

use std::io;

use thiserror::Error;

/// Error that prevents a run from starting or finishing.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The load file is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("the load file is not valid: {0}; see docs/load.md for the keys")]
    Config(#[from] toml::de::Error),
    /// A value in the load file is not allowed.
    #[error("`{key}` is {problem}; {remedy}")]
    Value {
        /// Key in the load file.
        key: &'static str,
        /// The value, or a description of it such as "empty".
        problem: String,
        /// Advice to the user, such as "use at least one session".
        remedy: &'static str,
    },
    /// A statement that prepares or checks a database succeeded on no target.
    #[error(
        "workspace {workspace} cannot run a statement on target {target}: {source}; start the target first and check the key"
    )]
    Unreachable {
        /// Address of the target that was tried last.
        target: String,
        /// Workspace of the session.
        workspace: String,
        /// Error of the last attempt.
        source: ClientError,
    },
    /// A file cannot be read or written.
    #[error("cannot access {path}: {source}; check the path and its permissions")]
    File {
        /// Path as given.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The plot cannot be drawn.
    #[error("cannot draw the plot: {0}; choose another file with --plot")]
    Plot(String),
}

/// Error of a connection attempt or a statement.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The server answered with an error.
    #[error("{sqlstate}: {message}")]
    Server {
        /// SQLSTATE of five characters.
        sqlstate: String,
        /// Message of the server.
        message: String,
    },
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// No answer arrived within the timeout.
    #[error("no answer within the timeout")]
    Timeout,
    /// A message to the server could not be encoded, or a message from the server could not be decoded.
    #[error("malformed protocol message: {0}")]
    Protocol(String),
}
