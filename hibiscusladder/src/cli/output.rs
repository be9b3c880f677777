//! Output of the commands on the standard output.

use std::io::{self, Write};

use serde_json::Value;

use super::error::CliError;

/// Prints one line to the standard output.
pub(crate) fn line(text: &str) -> Result<(), CliError> {
    writeln!(io::stdout(), "{text}").map_err(CliError::from)
}

/// Prints `value` as indented JSON.
pub(crate) fn json(value: &Value) -> Result<(), CliError> {
    line(&format!("{value:#}"))
}

/// Prints a table whose columns are as wide as their longest cell.
pub(crate) fn table(headings: &[&str], rows: &[Vec<String>]) -> Result<(), CliError> {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.max().unwrap_or(0).max(headings[column].len())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let render = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    line(&render(headings.to_vec()))?;
    for row in rows {
        line(&render(row.iter().map(String::as_str).collect()))?;
    }
    Ok(())
}
