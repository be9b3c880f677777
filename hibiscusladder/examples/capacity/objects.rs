//! Memory of an instance by the number of contracts and of keys in the configuration.

use std::{error::Error, thread, time::Duration};

use hibiscusladder::{
    core::{
        contract::Contract,
        key::{Key, KeyRecord},
        name::Workspace,
    },
    prelude::{Expected, PlatformClient},
};

use crate::{
    deployments::{DATABASE, single_home},
    support::fleet::Fleet,
    usage::{Usage, fit_line},
};

/// Time until the instance has applied the last change.
const APPLY_TIME: Duration = Duration::from_secs(5);

/// Measures keys and contracts with each number of objects in `points`, which must grow, and prints the rows.
pub(crate) fn measure(points: &[usize]) -> Result<(), Box<dyn Error>> {
    println!("| kind | objects | resident KiB |");
    println!("|---|---|---|");
    for kind in ["keys", "contracts"] {
        let fleet = Fleet::start(&single_home(3, 0), "")?;
        let instance = &fleet.instances()[0];
        let client = PlatformClient::new(&fleet.platform(), Duration::from_secs(2));
        let mut written = 0;
        let mut measured = Vec::new();
        for point in points {
            while written < *point {
                let (name, value) = object(kind, written)?;
                smol::block_on(client.put(kind, &name, Expected::Absent, &value))?;
                written += 1;
            }
            thread::sleep(APPLY_TIME);
            let usage = Usage::of(instance.id())?;
            println!("| {kind} | {point} | {:.0} |", usage.rss_kib);
            measured.push((f64::from(u32::try_from(*point)?), usage.rss_kib));
        }
        let (slope, intercept) = fit_line(&measured);
        println!("{kind}: {intercept:.0} KiB + {slope:.3} KiB each");
    }
    Ok(())
}

fn object(kind: &str, index: usize) -> Result<(String, serde_json::Value), Box<dyn Error>> {
    let mut random = [0; Key::RANDOM_BYTES];
    for (position, byte) in index.to_le_bytes().into_iter().enumerate() {
        random[position] = byte;
    }
    let key = Key::from_random(&random);
    let workspace = format!("club-{index}");
    if kind == "keys" {
        let record = KeyRecord::new(&key, Workspace::new(&workspace));
        return Ok((key.id().to_string(), serde_json::to_value(&record)?));
    }
    let contract = Contract {
        workspace: workspace.as_str().into(),
        databases: vec![DATABASE.into()],
        rate: 50.0,
        burst: 100.0,
        weight: 1,
        keys: vec![key.id().clone()],
        routes: Vec::new(),
    };
    Ok((workspace, serde_json::to_value(&contract)?))
}
