//! Start-up and other messages that violate the protocol.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    time::Duration,
};

use hibiscusladder_proxy::{
    caller::frame::{Fields, Framer, row_columns, split_messages},
    classify::{Classifier, classify},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use support::{Cluster, DATABASE, Options, WORKSPACE};

/// Seed of all generated inputs.
const SEED: [u8; 32] = *b"hibiscusladder malformed inputs.";

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn connect(cluster: &Cluster) -> TcpStream {
    let stream = TcpStream::connect(cluster.instances[0].address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

/// Sends bytes, shuts down the write side, and returns all bytes that the proxy sent before it closed the connection.
fn exchange(mut stream: TcpStream, bytes: &[u8]) -> Vec<u8> {
    // The proxy may close the connection during the write.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

fn untyped(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap();
    [&length.to_be_bytes(), body].concat()
}

fn typed(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], untyped(body).as_slice()].concat()
}

fn startup() -> Vec<u8> {
    let body = format!("user\0{WORKSPACE}\0database\0{DATABASE}\0\0");
    untyped(&[&196_608_u32.to_be_bytes(), body.as_bytes()].concat())
}

/// Start-up message and password, after which the session accepts queries.
fn login(cluster: &Cluster) -> Vec<u8> {
    let password = format!("{}\0", cluster.key.expose());
    [startup(), typed(b'p', password.as_bytes())].concat()
}

fn assert_serves(cluster: &Cluster) {
    cluster.client(0).simple_query("SELECT 1").unwrap();
}

/// Guards against a start-up message that makes the session panic or hang, or stops the instance.
#[test]
fn startup_random() {
    let cluster = Cluster::start_with(Options { instances: 1, ..Options::default() });
    let any = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        prop::collection::vec(any::<u8>(), 0..200).prop_map(|body| untyped(&body)),
        prop::collection::vec(any::<u8>(), 0..60)
            .prop_map(|body| untyped(&[&196_608_u32.to_be_bytes(), body.as_slice()].concat())),
    ];
    runner(150)
        .run(&any, |bytes| {
            exchange(connect(&cluster), &bytes);
            Ok(())
        })
        .unwrap();
    assert_serves(&cluster);
}

/// Guards against a message of an authenticated client that makes the session panic or hang, or stops the instance.
#[test]
fn messages_random() {
    let cluster = Cluster::start_with(Options { instances: 1, ..Options::default() });
    let kinds = prop::sample::select(b"QPBDECHSXdcfFp\0\xff".to_vec());
    let message = (kinds, prop::collection::vec(any::<u8>(), 0..80))
        .prop_map(|(kind, body)| typed(kind, &body));
    let messages = prop::collection::vec(message, 1..6).prop_map(|messages| messages.concat());
    runner(150)
        .run(&messages, |bytes| {
            let login = login(&cluster);
            exchange(connect(&cluster), &[login, bytes].concat());
            Ok(())
        })
        .unwrap();
    assert_serves(&cluster);
}

/// Guards against messages of a client for which the proxy reserves memory without limit, before and after its
/// authentication.
#[test]
fn message_limit() {
    let cluster = Cluster::start_with(Options {
        instances: 1,
        limits: "batch_bytes = 4096",
        ..Options::default()
    });
    let huge = u32::MAX.to_be_bytes();
    let before = exchange(connect(&cluster), &huge);
    assert!(contains(&before, "08P01"), "{before:?}");
    let login = login(&cluster);
    let after = exchange(connect(&cluster), &[&login, b"Q".as_slice(), &huge].concat());
    assert!(contains(&after, "08P01") && contains(&after, "FATAL"), "{after:?}");
    // The limit applies to the sum of all messages of a batch.
    let parse = typed(b'P', &[b"s\0SELECT '".as_slice(), &[b'x'; 900], b"'\0\0\0"].concat());
    let batch = [login, parse.repeat(6)].concat();
    let after = exchange(connect(&cluster), &batch);
    assert!(contains(&after, "08P01") && contains(&after, "FATAL"), "{after:?}");
    assert_serves(&cluster);
}

/// Guards against a session that does not answer `Sync` after an error in an extended batch.
#[test]
fn broken_message_then_sync() {
    let cluster = Cluster::start_with(Options { instances: 1, ..Options::default() });
    let broken = [typed(b'B', b"\0"), typed(b'E', b"\0"), typed(b'S', b"")].concat();
    // No `Sync` follows a simple query, also when its text is not valid.
    let invalid = typed(b'Q', b"SELECT '\xff'\0");
    let query = [invalid, typed(b'Q', b"SELECT 41 + 1\0")].concat();
    let answer = exchange(connect(&cluster), &[login(&cluster), broken, query].concat());
    assert!(contains(&answer, "08P01"), "{answer:?}");
    assert!(contains(&answer, "42"), "{answer:?}");
}

/// Guards against a `Flush` without any answer, and against `ReadyForQuery` as a part of its answer.
#[test]
fn flush_after_describe() {
    let cluster = Cluster::start_with(Options { instances: 1, ..Options::default() });
    let prepare = [typed(b'P', b"s\0SELECT 41 + 1\0\0\0"), typed(b'D', b"Ss\0"), typed(b'H', b"")];
    let mut stream = connect(&cluster);
    stream.write_all(&[login(&cluster), prepare.concat()].concat()).unwrap();
    let mut answer = Vec::new();
    while !contains(&answer, "T\0\0\0") {
        let mut part = [0; 1024];
        let count = stream.read(&mut part).unwrap();
        assert!(count > 0, "{answer:?}");
        answer.extend_from_slice(&part[..count]);
    }
    let ready = |bytes: &[u8]| bytes.windows(6).filter(|part| part == b"Z\0\0\0\x05I").count();
    assert_eq!(ready(&answer), 1, "only the login ends with ReadyForQuery: {answer:?}");
    let run = [typed(b'B', b"\0s\0\0\0\0\0\0\0"), typed(b'E', b"\0\0\0\0\0"), typed(b'S', b"")];
    let rest = exchange(stream, &run.concat());
    assert!(contains(&rest, "42") && ready(&rest) == 1, "{rest:?}");
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes.windows(text.len()).any(|part| part == text.as_bytes())
}

/// Guards against panics in the parsers of messages and statements.
#[test]
fn parsers_random() {
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    runner(2_000)
        .run(&bytes, |bytes| {
            let mut framer = Framer::new(256);
            framer.push(&bytes);
            while let Ok(Some(frame)) = framer.pop() {
                prop_assert!(frame.size() <= 257);
            }
            let _ = split_messages(&bytes.clone().into());
            let _ = row_columns(&bytes);
            let mut fields = Fields::new(&bytes);
            while fields.text().is_some() {}
            classify(&String::from_utf8_lossy(&bytes));
            Ok(())
        })
        .unwrap();
}

/// Guards against a cache of classified statements that grows without limit.
#[test]
fn classifier_bounded() {
    let classifier = Classifier::default();
    for number in 0..20_000 {
        classifier.classify(&format!("SELECT {number}"));
    }
    assert!(classifier.size() <= 4096, "{}", classifier.size());
}
