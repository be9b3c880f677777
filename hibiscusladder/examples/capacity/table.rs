//! Memory of an instance by the number of databases that it does not poll, and processor time of its operations by
//! the number of instances in its membership.
//!
//! Both are measured on the state of one instance inside this process, since a fleet of hundreds does not fit on one
//! machine.

use std::{error::Error, hint::black_box, sync::Arc, time::Duration};

use hibiscusladder::{
    core::{
        config::{Change, Changes, Kind},
        database::{DatabaseRecord, MemberRecord},
        membership::{Heartbeat, InstanceInfo},
        name::{DataCentre, Database, MemberId},
        position::Term,
    },
    prelude::{Node, Settings},
    proxy::metrics::Metrics,
};
use rustix::time::{ClockId, clock_gettime};

use crate::{
    deployments::CENTRES,
    usage::{Usage, fit_line},
};

/// Number of databases of the planned deployment.
const DATABASES: usize = 660;

/// Repetitions of a short operation, for its mean processor time.
const REPETITIONS: u32 = 2_000;

/// Repetitions of a scan of all members, for its mean processor time.
const MEMBER_SCANS: u32 = 20;

/// Prints the memory that the state of an instance adds to this process, for each number of databases in `points`.
pub(crate) fn measure_memory(points: &[usize]) -> Result<(), Box<dyn Error>> {
    println!("| databases | more resident KiB |");
    println!("|---|---|");
    let mut measured = Vec::new();
    let mut nodes = Vec::new();
    for point in points {
        let before = Usage::of(std::process::id())?;
        let node = node()?;
        apply(&node, *point)?;
        let after = Usage::of(std::process::id())?;
        nodes.push(node);
        let added_kib = after.rss_kib - before.rss_kib;
        println!("| {point} | {added_kib:.0} |");
        measured.push((f64::from(u32::try_from(*point)?), added_kib));
    }
    let (slope, intercept) = fit_line(&measured);
    println!("databases: {intercept:.0} KiB + {slope:.3} KiB each");
    Ok(())
}

/// Prints the processor time of operations for each number of instances in `points`.
pub(crate) fn measure_work(points: &[usize]) -> Result<(), Box<dyn Error>> {
    println!(
        "| instances | find the home of a member us | scan all members of {DATABASES} databases ms | receive a heartbeat us | build a heartbeat us | check all instances for timeouts us | more resident KiB |"
    );
    println!("|---|---|---|---|---|---|---|");
    for point in points {
        let node = node()?;
        apply(&node, DATABASES)?;
        let before = Usage::of(std::process::id())?;
        let infos: Vec<_> = (0..*point).map(instance).collect();
        node.seed_instances(infos.clone());
        let after = Usage::of(std::process::id())?;
        let (database, member) = (Database::from("capacity-7"), MemberId::from("capacity-7-2"));
        let home_us =
            mean_cpu_us(REPETITIONS, || drop(black_box(node.home_of(&database, &member))));
        let scan_us = mean_cpu_us(MEMBER_SCANS, || {
            for (database, group) in node.groups().iter() {
                for member in &group.view().members {
                    black_box(node.is_home(database, &member.id));
                }
            }
        });
        let heartbeat = Heartbeat::new(infos[0].clone());
        node.receive_heartbeat(&heartbeat);
        let receive_us = mean_cpu_us(REPETITIONS, || node.receive_heartbeat(black_box(&heartbeat)));
        let build_us = mean_cpu_us(REPETITIONS, || drop(black_box(node.heartbeat(&infos[0].id))));
        let tick_us = mean_cpu_us(REPETITIONS, || drop(black_box(node.tick_membership())));
        println!(
            "| {point} | {home_us:.1} | {:.1} | {receive_us:.1} | {build_us:.1} | {tick_us:.1} | {:.0} |",
            scan_us / 1000.0,
            after.rss_kib - before.rss_kib
        );
    }
    Ok(())
}

/// Mean processor time of `work` in microseconds.
fn mean_cpu_us<F>(repeats: u32, mut work: F) -> f64
where
    F: FnMut(),
{
    let start = thread_cpu_seconds();
    for _ in 0..repeats {
        work();
    }
    (thread_cpu_seconds() - start) * 1e6 / f64::from(repeats)
}

/// Processor time of this thread in seconds.
fn thread_cpu_seconds() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default().as_secs_f64()
}

fn node() -> Result<Arc<Node>, Box<dyn Error>> {
    let mut settings =
        "[instance]\nid = \"measured\"\ndata_centre = \"stgo-a\"\nlisten = \"127.0.0.1:1\"\n\
                        rpc = \"127.0.0.1:2\"\nhealth = \"127.0.0.1:3\"\n\
                        [platform]\nurl = \"http://127.0.0.1:4\"\n\
                        [upstream]\nuser = \"proxy\"\npassword = \"proxy\"\n"
            .to_owned();
    for (name, region) in CENTRES {
        settings += &format!("[[topology]]\ndata_centre = \"{name}\"\nregion = \"{region}\"\n");
    }
    Ok(Node::new(Settings::parse("capacity", &settings)?, Metrics::disabled()))
}

fn instance(index: usize) -> InstanceInfo {
    let (centre, _) = CENTRES[index % CENTRES.len()];
    InstanceInfo::new(&format!("{centre}-{index}"), centre, &format!("10.0.0.1:{}", 1000 + index))
}

fn apply(node: &Node, databases: usize) -> Result<(), Box<dyn Error>> {
    let mut items = Vec::new();
    for (version, index) in (1..).zip(0..databases) {
        let record = record(index);
        let value = serde_json::to_string(&record)?;
        items.push(Change::put(Kind::Database, record.name.as_str(), version, &value));
    }
    let revision = u64::try_from(databases)?;
    let changes = Changes { revision, proof_age: Some(Duration::ZERO), complete: true, items };
    let outcome = node.apply_changes(changes, 0, node.now());
    if outcome.invalid.is_empty() { Ok(()) } else { Err("a database record is not valid".into()) }
}

fn record(index: usize) -> DatabaseRecord {
    let name = format!("capacity-{index}");
    let member = |position: usize| MemberRecord {
        id: format!("{name}-{position}").as_str().into(),
        data_centre: DataCentre::new(CENTRES[(index + position) % CENTRES.len()].0),
        address: format!("10.1.0.1:{}", 1000 + index),
        slots: 2,
        connections: 16,
    };
    let members: Vec<MemberRecord> = (1..=3).map(member).collect();
    DatabaseRecord {
        name: name.as_str().into(),
        term: Term(1),
        primary: Some(members[0].id.clone()),
        claimant: None,
        term_start: None,
        term_members: members.iter().map(|member| member.id.clone()).collect(),
        members,
    }
}
