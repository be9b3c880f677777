//! Measures the slopes that `docs/CAPACITY.md` is worked out from.
//!
//! Usage: `cargo build --release && cargo run --release --example capacity -- <part>`, where the part is
//! `connections`, `statements`, `instances`, `databases`, `objects`, `table` or `work`. Further arguments replace
//! the points at which a part is measured.

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
    let part = arguments.next().unwrap_or_default();
    let points = arguments.map(|text| text.parse()).collect::<Result<Vec<usize>, _>>()?;
    let or = |defaults: &[usize]| if points.is_empty() { defaults.to_vec() } else { points };
    match part.as_str() {
        "connections" => connections::measure(&or(&[0, 500, 1000, 2000, 3000])),
        "statements" => statements::measure(&or(&[1, 4, 8, 16])),
        "instances" => instances::against_instances(&or(&[4, 8, 12, 24, 48])),
        "databases" => instances::against_databases(&or(&[1, 3, 6, 12])),
        "objects" => objects::measure(&or(&[0, 500, 1000, 2000])),
        "table" => table::measure_memory(&or(&[165, 330, 660, 1320])),
        "work" => table::measure_work(&or(&[8, 48, 155, 310, 620])),
        _ => {
            Err("name a part; see the documentation at the top of examples/capacity/main.rs".into())
        }
    }
}
