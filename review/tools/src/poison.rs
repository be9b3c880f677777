//! Case: an entry of another writer that cannot be read, beside those of the members.

use std::{
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
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(7000);
/// `stable_window_ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(5000);

/// What the other writer left in the `spec` of its entry.
const FORMS: [(&str, &[u8]); 3] = [
    ("bytes that are no text", b"{\"service\":\"werkstatt\",\"address\":\"\xff\xfe\xc0\"}"),
    ("half of a surrogate pair", b"{\"service\":\"werkstatt\",\"address\":\"\\ud800\"}"),
    ("a number out of range", b"{\"service\":\"werkstatt\",\"sequence\":1e999}"),
];

pub fn run(setup: &Setup) -> bool {
    let broken = thread::scope(|scope| {
        let forms: Vec<_> = FORMS
            .iter()
            .enumerate()
            .map(|(number, form)| scope.spawn(move || run_form(setup, number, form)))
            .collect();
        forms.into_iter().map(|form| form.join().unwrap_or(false)).collect::<Vec<_>>()
    });
    broken.contains(&true)
}

fn run_form(setup: &Setup, number: usize, (name, spec): &(&str, &[u8])) -> bool {
    let record = &setup.record;
    let places = [("bern-nord", 0), ("solothurn", 0), ("lausanne-ost", 1)];
    let group = Group::start(record.clone(), &places, Duration::from_millis(10), 55);
    let store = Store::new(record.clone());
    store.put("config", "main", config(3, 55, &[("tenant-a", 500.0)]).as_bytes());
    let publish = |store: &Store, group: &Group| {
        for member in 0..MEMBERS {
            store.put("servers", &format!("m-{member}"), group.entry(member).as_bytes());
        }
    };
    publish(&store, &group);
    let serve = |member: usize| group.serve(member, Path::default()).expect("a port");
    let front = store.serve(group.clone(), (0..MEMBERS).map(serve).collect()).expect("a port");
    let gateway = format!("frontend-bern-nord-{}", number + 1);
    let zone = "bern-nord";
    let mut gateways =
        vec![Gateway::new(record, &setup.root, &setup.folder, &gateway, zone, front)];
    gateways[0].start();
    wait_until_ready(&gateways);
    thread::sleep(Duration::from_secs(3));
    if setup.trouble {
        record.write(&format!("form {number}: another writer puts an entry with {name}"));
        store.put("servers", "i-stray", spec);
    }
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    group.lock().members[0].leaving = true;
    publish(&store, &group);
    let acknowledged = Instant::now();
    record.write(&format!(
        "form {number}: the store accepts the report of the primary m-0 that it is draining"
    ));
    let mut clients = [None, None];
    let mut count = 0;
    while acknowledged.elapsed() < DRAIN + Duration::from_secs(4) {
        count += 1;
        let id = format!("f{number}-q{count}");
        let (database, text) =
            [("cure-status", "READ batch7"), ("order-ledger", "WRITE order7 x")][count % 2];
        let client = &mut clients[count % 2];
        if client.is_none() {
            *client = Client::open(gateways[0].callers, database, "key-tenant-a").ok();
        }
        match client.as_mut().map(|client| client.query(&id, text)) {
            Some(Ok(answer)) => record.write(&format!("request {id}, {text}: {answer:?}")),
            _ => *client = None,
        }
        publish(&store, &group);
        thread::sleep(Duration::from_millis(15));
    }
    let state = group.lock();
    let at_leaving = state.runs.iter().filter(|run| run.member == 0);
    let late: Vec<_> = at_leaving.filter(|run| run.at > acknowledged + DRAIN).collect();
    for run in &late {
        let after = run.at.saturating_duration_since(acknowledged).as_millis();
        record.write(&format!("m-0 runs {} {after} ms after the acknowledgement", run.id));
    }
    record.say(&format!(
        "form {number} ({name}): {} of {count} requests reached the leaving member m-0 later than {} ms",
        late.len(),
        DRAIN.as_millis()
    ));
    let broken = !late.is_empty();
    drop(state);
    for gateway in &mut gateways {
        gateway.kill();
        for line in gateway.log().lines().filter(|line| {
            line.contains("store_lost")
                || line.contains("member_changed")
                || line.contains("unreadable")
        }) {
            record.write(&format!("log of {}: {line}", gateway.name));
        }
    }
    broken
}
