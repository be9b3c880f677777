//! The relay: each fault must do what its name says, or tests of the proxy prove nothing.

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

/// Longest wait for an answer that has to come; a busy machine may need long.
const PATIENCE: Duration = Duration::from_secs(10);
/// Time for which an answer that must not come is waited for.
const SILENCE: Duration = Duration::from_millis(150);

/// A server that sends every byte back, and counts the bytes.
struct Echo {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
}

fn echo() -> io::Result<Echo> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let received = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&received);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = Arc::clone(&counter);
            thread::spawn(move || answer(stream, &counter));
        }
    });
    Ok(Echo { address, received })
}

fn answer(mut stream: TcpStream, received: &AtomicUsize) -> io::Result<()> {
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

/// Sends one byte and waits for it; 0 when the connection is closed instead.
fn ping(stream: &mut TcpStream) -> io::Result<usize> {
    stream.write_all(b"x")?;
    wait(stream)
}

fn wait(stream: &mut TcpStream) -> io::Result<usize> {
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.read(&mut [0; 1])
}

/// Sends one byte; whether nothing comes back.
fn is_silent(stream: &mut TcpStream) -> io::Result<bool> {
    stream.write_all(b"x")?;
    stream.set_read_timeout(Some(SILENCE))?;
    match stream.read_exact(&mut [0; 1]) {
        Ok(()) => Ok(false),
        Err(error) => {
            Ok(matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut))
        }
    }
}

/// Whether the connection has ended.
fn is_closed(result: &io::Result<usize>) -> bool {
    match result {
        Ok(len) => *len == 0,
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}

#[test]
fn cut_closes_and_refuses() -> io::Result<()> {
    let server = echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut open = connect(&proxy)?;
    assert_eq!(ping(&mut open)?, 1);
    proxy.set(Faults { cut: true, ..Faults::default() });
    assert!(is_closed(&wait(&mut open)));
    assert!(is_closed(&ping(&mut connect(&proxy)?)));
    assert_eq!(proxy.connections(), 0);
    proxy.set(Faults::default());
    assert_eq!(ping(&mut connect(&proxy)?)?, 1);
    Ok(())
}

#[test]
fn freeze_holds_bytes_and_releases_them() -> io::Result<()> {
    let server = echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut stream = connect(&proxy)?;
    assert_eq!(ping(&mut stream)?, 1);
    proxy.change(|faults| faults.freeze = true);
    assert!(is_silent(&mut stream)?);
    assert_eq!(server.received.load(Ordering::SeqCst), 1);
    proxy.change(|faults| faults.freeze = false);
    assert_eq!(wait(&mut stream)?, 1);
    Ok(())
}

#[test]
fn silence_of_open_connections_spares_new_ones() -> io::Result<()> {
    let server = echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut old = connect(&proxy)?;
    assert_eq!(ping(&mut old)?, 1);
    proxy.blackhole_connections();
    assert!(is_silent(&mut old)?);
    assert_eq!(server.received.load(Ordering::SeqCst), 1);
    let mut new = connect(&proxy)?;
    assert_eq!(ping(&mut new)?, 1);
    proxy.change(|faults| faults.blackhole = true);
    assert!(is_silent(&mut new)?);
    proxy.change(|faults| faults.blackhole = false);
    assert!(is_silent(&mut old)?, "a silenced connection came back");
    Ok(())
}

#[test]
fn answers_are_lost_after_the_request_has_passed() -> io::Result<()> {
    let server = echo()?;
    let proxy = FaultProxy::start(server.address)?;
    let mut stream = connect(&proxy)?;
    proxy.change(|faults| faults.answers = Answers::Discard);
    assert!(is_silent(&mut stream)?);
    assert_eq!(server.received.load(Ordering::SeqCst), 1);
    proxy.change(|faults| faults.answers = Answers::CutNext(1));
    assert!(is_closed(&ping(&mut stream)));
    assert_eq!(server.received.load(Ordering::SeqCst), 2);
    assert_eq!(proxy.faults().answers, Answers::Pass);
    Ok(())
}

#[test]
fn delay_and_bandwidth_slow_the_relay_down() -> io::Result<()> {
    let server = echo()?;
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
