//! Measures how processor time, memory and traffic grow with the load and the size of a deployment, as input of
//! `docs/CAPACITY.md`.
//!
//! Usage: `cargo build --release && cargo run --release --example capacity -- <measurement>`, where the
//! measurement is `connections`, `statements`, `instances`, `databases`, `objects`, `table` or `work`. Further
//! arguments replace its default points, such as the numbers of connections.

mod connections;
mod deployments;
mod instances;
mod objects;
mod statements;
#[path = "../support/mod.rs"]
mod support;
mod table;
mod traffic;
mod usage;
mod wire;

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let measurement = arguments.next().unwrap_or_default();
    let points = arguments.map(|text| text.parse()).collect::<Result<Vec<usize>, _>>()?;
    let points_or = |defaults: &[usize]| if points.is_empty() { defaults.to_vec() } else { points };
    match measurement.as_str() {
        "connections" => connections::measure(&points_or(&[0, 500, 1000, 2000, 3000])),
        "statements" => statements::measure(&points_or(&[1, 4, 8, 16])),
        "instances" => instances::measure_by_instances(&points_or(&[4, 8, 12, 24, 48])),
        "databases" => instances::measure_by_databases(&points_or(&[1, 3, 6, 12])),
        "objects" => objects::measure(&points_or(&[0, 500, 1000, 2000])),
        "table" => table::measure_memory(&points_or(&[165, 330, 660, 1320])),
        "work" => table::measure_work(&points_or(&[8, 48, 155, 310, 620])),
        _ => {
            Err("pass the name of a measurement; see the documentation at the top of examples/capacity/main.rs".into())
        }
    }
}
