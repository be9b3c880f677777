//! Clients of the PostgreSQL proxy that misbehave.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    clients::{Crowd, read_all},
    support::Installation,
    watched::{check_use, count_descriptors, lock},
};

const SETTINGS: &str = "[limits]\nclient_connections = 150\nmemory_mb = 64\n\
    [times]\nclient_message = \"3s\"\nclient_answer = \"3s\"\n";
/// Longest message that the settings permit, without its type byte.
const LONGEST_MESSAGE: usize = 1 << 20;
/// Size of a large message that the settings permit.
const MESSAGE_BYTES: usize = 1_000_000;
/// Time in which the instance reads what all clients have sent.
const READ_TIME: Duration = Duration::from_secs(2);
/// Time within which a request has to be answered, with tries in new sessions.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test with one instance, and checks what the instance has used.
fn with_instance<F>(name: &str, test: F)
where
    F: FnOnce(SocketAddr, &str, &Installation) -> Crowd,
{
    let _alone = lock();
    let mut installation = Installation::start_with_settings(&["stgo-a"], SETTINGS);
    let key = installation.issue_key();
    let address = SocketAddr::from(([127, 0, 0, 1], installation.instances[0].port));
    let process = installation.instances[0].process.0.id();
    let (most, ended) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
    count_descriptors(process, &most, &ended);
    let crowd = test(address, &key, &installation);
    check_answer(&installation, &key, "SELECT 1");
    drop(crowd);
    let longest = "SELECT '".len() + "'".len() + 5;
    let text = format!("SELECT '{}'", "x".repeat(LONGEST_MESSAGE - longest));
    check_answer(&installation, &key, &text);
    ended.store(true, Ordering::Relaxed);
    let status = installation.instances[0].process.0.try_wait().expect("a status");
    assert_eq!(status, None, "{name}: the process has ended");
    check_use(process, most.load(Ordering::Relaxed), name, "in the folder of the test");
}

/// Checks that an ordinary request is answered; one that is refused is sent again.
fn check_answer(installation: &Installation, key: &str, text: &str) {
    let until = Instant::now() + ANSWER_TIMEOUT;
    loop {
        let client = installation.instances[0].connect(key);
        let error = match client.and_then(|mut client| client.batch_execute(text)) {
            Ok(()) => return,
            Err(error) => error,
        };
        assert!(Instant::now() < until, "no answer: {error:?}");
        thread::sleep(Duration::from_millis(100));
    }
}

fn message(kind: &[u8], body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).expect("a short body");
    [kind, &length.to_be_bytes(), body].concat()
}

/// Opens a session and reads up to the end of the start-up response.
fn open<S>(stream: &mut S, key: &str) -> io::Result<()>
where
    S: Read + Write,
{
    let names = b"\x00\x03\x00\x00user\0club-andino\0database\0padron\0\0";
    stream.write_all(&message(b"", names))?;
    stream.write_all(&message(b"p", format!("{key}\0").as_bytes()))?;
    let mut header = [0; 5];
    while header[0] != b'Z' {
        stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        stream.read_exact(&mut vec![0; length as usize - 4])?;
    }
    Ok(())
}

/// Guards against an instance that holds as much as its clients send: each client's message is legal, and all of them
/// together are more than the memory of the instance.
#[test]
fn serve_many_legal_messages_at_once() {
    const CLIENTS: usize = 100;
    with_instance("serve-messages", |address, key, _| {
        let crowd = Crowd::connect(address, CLIENTS);
        let query = format!("SELECT '{}'\0", "x".repeat(MESSAGE_BYTES));
        let query = message(b"Q", query.as_bytes());
        let (most, last) = query.split_at(query.len() - 1);
        crowd.at_once(
            |_, stream| {
                open(stream, key)?;
                stream.write_all(most)
            },
            |_, stream| {
                thread::sleep(READ_TIME);
                stream.write_all(last)?;
                read_all(stream)
            },
        );
        crowd
    });
}

/// Guards against connections that keep descriptors for as long as they like because they send nothing.
#[test]
fn serve_connections_that_send_nothing() {
    const CLIENTS: usize = 450;
    with_instance("serve-silent", |address, _, _| Crowd::connect(address, CLIENTS));
}

/// Guards against prepared statements of one session that grow without bound.
#[test]
fn serve_many_prepared_statements() {
    const STATEMENTS: usize = 200;
    const STATEMENT_BYTES: usize = 500_000;
    with_instance("serve-statements", |address, key, _| {
        let mut crowd = Crowd::connect(address, 1);
        crowd.for_each(|_, stream| open(stream, key));
        let filler = "x".repeat(STATEMENT_BYTES);
        crowd.for_each(|_, stream| {
            (0..STATEMENTS).try_for_each(|number| {
                let body = format!("s{number}\0SELECT '{filler}'\0\0\0");
                stream.write_all(&message(b"P", body.as_bytes()))?;
                stream.write_all(&message(b"S", b""))
            })
        });
        crowd
    });
}
