//! Faults of the relay: tests of the proxy are only meaningful when each fault has its documented effect.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_testkit::fault_proxy::{Answers, FaultProxy, Faults};

/// Longest wait for an expected answer; long enough for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without an answer after which a connection counts as unresponsive.
const NO_ANSWER_WAIT: Duration = Duration::from_millis(150);

/// A server that sends every byte back, and counts the bytes that it receives.
struct Echo {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
}

fn start_echo() -> io::Result<Echo> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let received = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&received);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = Arc::clone(&counter);
            thread::spawn(move || echo_bytes(stream, &counter));
        }
    });
    Ok(Echo { address, received })
}

fn echo_bytes(mut stream: TcpStream, received: &AtomicUsize) -> io::Result<()> {
    let mut buf = [0; 4096];
    loop {
        let len = stream.read(&mut buf)?;
        if len == 0 {
            return Ok(());
        }
        received.fetch_add(len, Ordering::SeqCst);
        stream.write_all(&buf[..len])?;
    }
}

fn connect(proxy: &FaultProxy) -> io::Result<TcpStream> {
    TcpStream::connect(proxy.address())
}

/// Sends one byte and reads its echo; returns 0 when the connection is closed instead.
fn ping(stream: &mut TcpStream) -> io::Result<usize> {
    stream.write_all(b"x")?;
    read_byte(stream)
}

fn read_byte(stream: &mut TcpStream) -> io::Result<usize> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.read(&mut [0; 1])
}

/// Sends one byte, and returns whether no answer arrives while the connection stays open.
fn is_unresponsive(stream: &mut TcpStream) -> io::Result<bool> {
    stream.write_all(b"x")?;
    stream.set_read_timeout(Some(NO_ANSWER_WAIT))?;
    match stream.read_exact(&mut [0; 1]) {
        Ok(()) => Ok(false),
        Err(error) => {
            Ok(matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut))
        }
    }
}

/// Whether the result of a read shows that the connection was closed.
fn is_closed(result: &io::Result<usize>) -> bool {
    match result {
        Ok(len) => *len == 0,
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}

#[test]
fn cut_closes_and_refuses() -> io::Result<()> {
    let server = start_echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut open = connect(&proxy)?;
    assert_eq!(ping(&mut open)?, 1);
    proxy.set(Faults { cut: true, ..Faults::default() });
    assert!(is_closed(&read_byte(&mut open)));
    assert!(is_closed(&ping(&mut connect(&proxy)?)));
    assert_eq!(proxy.connections(), 0);
    proxy.set(Faults::default());
    assert_eq!(ping(&mut connect(&proxy)?)?, 1);
    Ok(())
}

#[test]
fn freeze_holds_bytes_and_releases_them() -> io::Result<()> {
    let server = start_echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut stream = connect(&proxy)?;
    assert_eq!(ping(&mut stream)?, 1);
    proxy.change(|faults| faults.freeze = true);
    assert!(is_unresponsive(&mut stream)?);
    assert_eq!(server.received.load(Ordering::SeqCst), 1);
    proxy.change(|faults| faults.freeze = false);
    assert_eq!(read_byte(&mut stream)?, 1);
    Ok(())
}

#[test]
fn blackhole_of_open_connections_does_not_affect_new_ones() -> io::Result<()> {
    let server = start_echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut old = connect(&proxy)?;
    assert_eq!(ping(&mut old)?, 1);
    proxy.blackhole_connections();
    assert!(is_unresponsive(&mut old)?);
    assert_eq!(server.received.load(Ordering::SeqCst), 1);
    let mut new = connect(&proxy)?;
    assert_eq!(ping(&mut new)?, 1);
    proxy.change(|faults| faults.blackhole = true);
    assert!(is_unresponsive(&mut new)?);
    proxy.change(|faults| faults.blackhole = false);
    assert!(is_unresponsive(&mut old)?, "a blackholed connection relays bytes again");
    Ok(())
}

#[test]
fn answers_are_lost_after_the_request_has_passed() -> io::Result<()> {
    let server = start_echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut stream = connect(&proxy)?;
    proxy.change(|faults| faults.answers = Answers::Discard);
    assert!(is_unresponsive(&mut stream)?);
    assert_eq!(server.received.load(Ordering::SeqCst), 1);
    proxy.change(|faults| faults.answers = Answers::CutNext(1));
    assert!(is_closed(&ping(&mut stream)));
    assert_eq!(server.received.load(Ordering::SeqCst), 2);
    assert_eq!(proxy.faults().answers, Answers::Pass);
    Ok(())
}

#[test]
fn delay_and_bandwidth_slow_the_relay_down() -> io::Result<()> {
    let server = start_echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut stream = connect(&proxy)?;
    proxy.set(Faults { delay: Duration::from_millis(60), ..Faults::default() });
    let start = Instant::now();
    ping(&mut stream)?;
    assert!(
        start.elapsed() >= Duration::from_millis(120),
        "a round trip took {:?}",
        start.elapsed()
    );
    proxy.set(Faults { bytes_per_second: Some(20_000), ..Faults::default() });
    let start = Instant::now();
    stream.write_all(&[0; 4_000])?;
    stream.read_exact(&mut [0; 4_000])?;
    assert!(start.elapsed() >= Duration::from_millis(200), "4 kB took {:?}", start.elapsed());
    Ok(())
}
