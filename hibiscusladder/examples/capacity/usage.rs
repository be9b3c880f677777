//! Processor time and memory of a process, from `/proc`.

use std::{fs, io};

/// Clock ticks per second in `/proc`, a fixed value of Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Processor time in seconds, in user and kernel mode.
    pub(crate) cpu: f64,
    /// Resident memory in KiB.
    pub(crate) rss_kib: f64,
}

impl Usage {
    /// Reads the usage of the process `id`.
    pub(crate) fn of(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The name in parentheses may hold spaces; utime and stime are the 12th and 13th fields after it.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 =
            fields.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<f64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|text| text.split_whitespace().next());
        let rss_kib = rss.and_then(|text| text.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        Ok(Self { cpu: ticks / TICKS_PER_SECOND, rss_kib })
    }
}

/// Slope and intercept of the least-squares line through `points`.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let mean = |values: &mut dyn Iterator<Item = f64>| -> f64 {
        let values: Vec<f64> = values.collect();
        values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap_or(u32::MAX))
    };
    let x = mean(&mut points.iter().map(|point| point.0));
    let y = mean(&mut points.iter().map(|point| point.1));
    let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, y - slope * x)
}
