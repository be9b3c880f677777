//! Draws a run as SVG: answered requests per second of each workspace over time.

use std::path::Path;

use plotters::prelude::*;

use crate::{
    error::LoadError,
    operation::{Outcome, Record},
};

const SIZE_PIXELS: (u32, u32) = (1000, 480);

/// Draws correctly answered requests per second, with one line for each workspace.
///
/// `names` are the names of the workspaces by their index, and `seconds` is the duration of the run.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn draw(
    path: &Path,
    names: &[String],
    records: &[Record],
    seconds: u64,
) -> Result<(), LoadError> {
    draw_chart(path, names, records, seconds).map_err(|error| LoadError::Plot(error.to_string()))
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw_chart(path: &Path, names: &[String], records: &[Record], seconds: u64) -> DrawResult {
    let lines: Vec<_> =
        (0..names.len()).map(|index| done_per_second(index, records, seconds)).collect();
    let highest = lines.iter().flatten().copied().max().unwrap_or(1).max(1);
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..seconds, 0..highest + 1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("answered requests per second").draw()?;
    for (index, (name, line)) in names.iter().zip(lines).enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = (0..).zip(line);
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}

fn done_per_second(workspace: usize, records: &[Record], seconds: u64) -> Vec<u64> {
    let mut counts = vec![0; usize::try_from(seconds).unwrap_or(0)];
    let done = records
        .iter()
        .filter(|record| record.workspace == workspace && record.outcome == Outcome::Done);
    for record in done {
        let second = usize::try_from(record.answered.as_secs()).unwrap_or(usize::MAX);
        if let Some(count) = counts.get_mut(second) {
            *count += 1;
        }
    }
    counts
}
