//! `demo`: a whole installation on loopback.

use super::{args::Demo, error::CliError};

/// Runs the demo.
pub(crate) fn run(_args: &Demo) -> Result<(), CliError> {
    Ok(())
}
