//! Memory of an instance against the contracts and keys of the configuration.

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
    deployments::{DATABASE, local},
    support::fleet::Fleet,
    usage::{Usage, line},
};

/// Time until the last change is applied.
const SETTLE: Duration = Duration::from_secs(5);

/// Writes up to each of `points` objects of a kind and prints rows.
pub(crate) fn measure(points: &[usize]) -> Result<(), Box<dyn Error>> {
    println!("| kind | objects | resident KiB |");
    println!("|---|---|---|");
    for kind in ["keys", "contracts"] {
        let fleet = Fleet::start(&local(3, 0), "")?;
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
            thread::sleep(SETTLE);
            let usage = Usage::of(instance.id())?;
            println!("| {kind} | {point} | {:.0} |", usage.rss_kib);
            measured.push((f64::from(u32::try_from(*point)?), usage.rss_kib));
        }
        let (slope, start) = line(&measured);
        println!("{kind}: {start:.0} KiB + {slope:.3} KiB each");
    }
    Ok(())
}

fn object(kind: &str, index: usize) -> Result<(String, serde_json::Value), Box<dyn Error>> {
    let mut random = [0; Key::RANDOM_BYTES];
    for (place, byte) in index.to_le_bytes().into_iter().enumerate() {
        random[place] = byte;
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
