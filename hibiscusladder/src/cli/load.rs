//! `load`: offers load to instances and reports the measurements.

use std::{fs, path::Path};

use hibiscusladder_load::{config::LoadConfig, error::LoadError, plot, run};

use super::{args::Load, error::CliError, output};

/// Runs the load, prints the report and writes it to the files of `--json` and `--plot`.
pub(crate) fn run(args: &Load) -> Result<(), CliError> {
    let text = fs::read_to_string(&args.config).map_err(|error| file_error(&args.config, error))?;
    let cfg: LoadConfig = text.parse()?;
    let report = smol::block_on(run::run(&cfg))?;
    output::line(report.to_string().trim_end())?;
    if let Some(path) = &args.json {
        let json = serde_json::to_string_pretty(&report).map_err(std::io::Error::other)?;
        fs::write(path, json).map_err(|error| file_error(path, error))?;
    }
    if let Some(path) = &args.plot {
        let names: Vec<String> = cfg.workspaces.iter().map(|load| load.name.clone()).collect();
        plot::draw(path, &names, &report.records, cfg.run.seconds)?;
    }
    Ok(())
}

fn file_error(path: &Path, source: std::io::Error) -> LoadError {
    LoadError::File { path: path.display().to_string(), source }
}
