//! Measures a deployment under each condition, with the default policies and with baseline policies.
//!
//! Usage: `cargo build --release && cargo run --release --example measure -- deployments/cordillera.toml`.
//! A second argument selects the condition (`calm`, `flood`, `failover` or `all`); a third one is the number
//! of runs under each condition with each set of policies. If the environment variable `MEASURE_DETAILS` is set,
//! the report of each run follows its row.

mod condition;
#[path = "../support/mod.rs"]
mod support;

use std::{error::Error, fs};

use hibiscusladder::load::{report::Report, run};

use self::{
    condition::Condition,
    support::{deployment::Deployment, fleet::Fleet},
};

/// Sets of policies to compare: the name in the results, and the section of the settings that selects them.
const POLICIES: [(&str, &str); 2] = [
    ("chosen", ""),
    ("baseline", "[policy]\nreads = \"primary\"\nqueue = \"fifo\"\nlimits = \"equal_split\"\n"),
];

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let path =
        arguments.next().ok_or("pass a deployment file, such as deployments/cordillera.toml")?;
    let deployment: Deployment = toml::from_str(&fs::read_to_string(path)?)?;
    let only_condition = arguments.next();
    let repeats: u32 = arguments.next().map_or(Ok(1), |text| text.parse())?;
    println!("{}", heading());
    for condition in Condition::ALL {
        if only_condition.as_deref().is_some_and(|name| name != condition.name() && name != "all") {
            continue;
        }
        for _ in 0..repeats {
            for (name, policy) in POLICIES {
                let report = measure(&deployment, condition, policy)?;
                println!("{}", row(&deployment.name, condition.name(), name, &report));
                if std::env::var_os("MEASURE_DETAILS").is_some() {
                    println!("{report}");
                }
            }
        }
    }
    Ok(())
}

fn measure(
    deployment: &Deployment,
    condition: Condition,
    policy: &str,
) -> Result<Report, Box<dyn Error>> {
    let fleet = Fleet::start(deployment, policy)?;
    let cfg = condition.load_config(deployment, &fleet)?;
    Ok(smol::block_on(run::run(&cfg))?)
}

fn heading() -> String {
    "| deployment | condition | policies | replica reads | write gap ms | worst workspace | worst goodput | worst p99 ms | \
     refused inside rate | unknown | stale, lost, doubled |\n|---|---|---|---|---|---|---|---|---|---|---|"
        .to_owned()
}

fn row(deployment: &str, condition: &str, policy: &str, report: &Report) -> String {
    let measures = &report.measures;
    let workspaces = measures.workspaces.iter();
    let p99 = workspaces.map(|workspace| workspace.p99_ms).fold(0.0, f64::max);
    let unknown = report.ledger.unknown_absent + report.ledger.unknown_present;
    format!(
        "| {deployment} | {condition} | {policy} | {:.1}% | {:.0} | {} | {:.3} | {p99:.0} | {:.2}% | {unknown} | {}, {}, {} |",
        report.replica_share.unwrap_or(0.0) * 100.0,
        measures.write_gap_ms,
        measures.worst_served,
        measures.worst_goodput,
        measures.wrongful_refusals * 100.0,
        measures.stale_reads,
        report.ledger.lost,
        report.ledger.doubled,
    )
}
