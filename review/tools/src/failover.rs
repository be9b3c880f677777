//! Case: an acknowledged commit is missing in the log of the member that is promoted.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup,
    client::Client,
    config,
    gateway::{Gateway, wait_until_ready},
    group::{Group, Path},
    store::Store,
};

const MEMBERS: usize = 3;

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let places = [("bern-nord", 0), ("solothurn", 0), ("lausanne-ost", 1)];
    let group = Group::start(record.clone(), &places, Duration::from_millis(5), 55);
    let store = Store::new(record.clone());
    store.put("config", "main", config(3, 55, &[("tenant-a", 500.0)]).as_bytes());
    publish(&store, &group);
    let mut gateways = Vec::new();
    let mut paths = Vec::new();
    // Of these two, the first is the one that starts a failover.
    for (name, zone) in
        [("frontend-bern-nord-1", "bern-nord"), ("frontend-solothurn-1", "solothurn")]
    {
        let own: Vec<Path> = (0..MEMBERS).map(|_| Path::default()).collect();
        let serve = |member: usize| group.serve(member, own[member].clone()).expect("a port");
        let front = store.serve(group.clone(), (0..MEMBERS).map(serve).collect()).expect("a port");
        gateways.push(Gateway::new(record, &setup.root, &setup.folder, name, zone, front));
        paths.push(own);
    }
    let (publisher, published) = (store.clone(), group.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(20));
            publish(&publisher, &published);
        }
    });
    gateways.iter_mut().for_each(Gateway::start);
    wait_until_ready(&gateways);
    thread::sleep(Duration::from_secs(5));

    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let writers: Vec<_> = (0..6)
        .map(|number| {
            let (address, name) = {
                let gateway = &gateways[number % gateways.len()];
                (gateway.callers, gateway.name.clone())
            };
            let (stop, acknowledged) = (stop.clone(), acknowledged.clone());
            let record = record.clone();
            thread::spawn(move || {
                let mut client: Option<Client> = None;
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("w{number}-{count}");
                    let answer = match &mut client {
                        Some(open) => open.query(&id, &format!("WRITE item{number} {id}")),
                        None => match Client::open(address, "order-ledger", "key-tenant-a") {
                            Ok(mut open) => {
                                let answer = open.query(&id, &format!("WRITE item{number} {id}"));
                                client = Some(open);
                                answer
                            }
                            Err(error) => Err(error),
                        },
                    };
                    match answer {
                        Ok(Ok(_)) => {
                            acknowledged.lock().unwrap().push((id.clone(), Instant::now()));
                            record.write(&format!("{name}: write {id}: acknowledged"));
                        }
                        Ok(Err((code, text))) => {
                            record.write(&format!("{name}: write {id}: {code} {text}"));
                        }
                        Err(error) => {
                            record.write(&format!("{name}: write {id}: {error}"));
                            client = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    if setup.trouble {
        record.write("fault: the primary m-0 is partitioned from frontend-bern-nord-1, for 6.5 s");
        paths[0][0].set_cut(true);
    }
    let cut_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    record.write("plan: m-0 reports draining");
    group.lock().members[0].leaving = true;
    // The planned replacement: the first failover.
    let promoted = wait_for_promotions(&group, 1, Duration::from_secs(6));
    let Some(first) = promoted else {
        record.say("no promotion: the case could not run");
        std::process::exit(2);
    };
    // The old primary follows the new one after this time.
    thread::sleep(Duration::from_millis(1300));
    if setup.trouble {
        let other = (1..MEMBERS).find(|member| *member != first).unwrap_or(1);
        record.write(&format!("fault: replica m-{other} receives nothing, for 6 s"));
        group.lock().members[other].deaf = true;
        let deaf_at = Instant::now();
        thread::sleep(Duration::from_millis(900));
        record.write(&format!("fault: the primary m-{first} crashes meanwhile, for 6 s"));
        group.crash(first);
        let crashed_at = Instant::now();
        while cut_at.elapsed() < Duration::from_millis(6500) {
            thread::sleep(Duration::from_millis(5));
        }
        record.write("m-0 is reachable for frontend-bern-nord-1 again");
        paths[0][0].set_cut(false);
        while deaf_at.elapsed() < Duration::from_secs(6) {
            thread::sleep(Duration::from_millis(5));
        }
        record.write(&format!("m-{other} receives again"));
        group.lock().members[other].deaf = false;
        while crashed_at.elapsed() < Duration::from_secs(6) {
            thread::sleep(Duration::from_millis(5));
        }
        record.write(&format!("m-{first} starts again with its log"));
        group.restart(first);
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        writer.join().ok();
    }
    let state = group.lock();
    let acknowledged = acknowledged.lock().unwrap();
    let mut broken = false;
    for promotion in &state.promotions {
        let missing: Vec<&str> = acknowledged
            .iter()
            .filter(|(id, at)| *at < promotion.at && !promotion.log.contains(id))
            .map(|(id, _)| &**id)
            .collect();
        record.say(&format!(
            "m-{} promoted to term {}: {} commits in its log, {} of the {} acknowledged before are missing {:?}",
            promotion.member,
            promotion.term,
            promotion.log.len(),
            missing.len(),
            acknowledged.iter().filter(|(_, at)| *at < promotion.at).count(),
            &missing[..missing.len().min(5)]
        ));
        broken |= !missing.is_empty();
    }
    drop(state);
    for gateway in &mut gateways {
        gateway.kill();
        for line in gateway.log().lines().filter(|line| line.contains("failover_")) {
            record.write(&format!("log of {}: {line}", gateway.name));
        }
    }
    broken
}

fn wait_for_promotions(group: &Group, count: usize, limit: Duration) -> Option<usize> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Some(promotion) = group.lock().promotions.get(count - 1) {
            return Some(promotion.member);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Writes the entries of the members that run; removes those of members that have been silent for three intervals.
fn publish(store: &Store, group: &Group) {
    for member in 0..MEMBERS {
        if group.is_running(member) {
            store.put("servers", &format!("m-{member}"), group.entry(member).as_bytes());
        }
    }
}
