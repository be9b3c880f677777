//! `check`: reports every error in a settings file.

use hibiscusladder_proxy::settings::Settings;

use super::{args::Check, error::CliError, output};

pub(crate) fn run(args: &Check) -> Result<(), CliError> {
    let settings = Settings::load(&args.config)?;
    let id = &settings.instance.id;
    output::line(&format!("{}: no errors (instance {id})", args.config.display()))
}
