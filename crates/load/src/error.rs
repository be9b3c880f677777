//! Errors of the load tool; each message names the remedy.

use std::io;

use thiserror::Error;

/// Why a run could not start or finish.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The description of the run cannot be read.
    #[error("the load file is not valid: {0}; see docs/load.md for the keys")]
    Config(#[from] toml::de::Error),
    /// A value of the description makes no sense.
    #[error("`{key}` is {problem}; {remedy}")]
    Value {
        /// Key in the file.
        key: &'static str,
        /// What is wrong with it.
        problem: String,
        /// What to write in its place.
        remedy: &'static str,
    },
    /// No target answers.
    #[error(
        "target {target} refused the session of workspace {workspace}: {source}; start it first and check the key"
    )]
    Unreachable {
        /// Address of the target.
        target: String,
        /// Workspace of the session.
        workspace: String,
        /// Cause.
        source: ClientError,
    },
    /// A file cannot be read or written.
    #[error("cannot access {path}: {source}; check the path and its permissions")]
    File {
        /// Path as given.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// The plot cannot be drawn.
    #[error("cannot draw the plot: {0}; choose another file with --plot")]
    Plot(String),
}

/// Why a statement got no result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The server answered with an error.
    #[error("{sqlstate}: {message}")]
    Server {
        /// Five characters.
        sqlstate: String,
        /// Text of the server.
        message: String,
    },
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// No answer came in time.
    #[error("no answer within the timeout")]
    Timeout,
    /// The server broke the protocol.
    #[error("unexpected message from the server: {0}")]
    Protocol(String),
}
