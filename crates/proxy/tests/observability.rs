//! Metrics and traces as their collectors receive them.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream, UdpSocket},
    thread,
    time::Duration,
};

use hibiscusladder_proxy::{
    metrics::Metrics,
    trace::{Hop, Tracer},
};

/// Metrics that are not sent in the statsd format would not be visible to the operator.
#[test]
fn metrics_arrive_as_statsd_lines() {
    let collector = UdpSocket::bind("127.0.0.1:0").unwrap();
    collector.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let metrics = Metrics::to_statsd(collector.local_addr().unwrap()).unwrap();
    metrics.count("entry.batches");
    metrics.time("entry.batch", Duration::from_millis(12));
    metrics.gauge("entry.clients", 3);
    metrics.count_tagged("entry.rejected", "kind", "rate");
    drop(metrics);
    let mut received = String::new();
    while !received.contains("kind:rate") {
        let mut buf = [0; 2048];
        let count = collector.recv(&mut buf).unwrap();
        received.push_str(std::str::from_utf8(&buf[..count]).unwrap());
        received.push('\n');
    }
    for line in [
        "hibiscusladder.entry.batches:1|c",
        "hibiscusladder.entry.batch:12|ms",
        "hibiscusladder.entry.clients:3|g",
        "hibiscusladder.entry.rejected:1|c|#kind:rate",
    ] {
        assert!(received.lines().any(|got| got == line), "`{line}` is not in {received}");
    }
}

/// A span without its parent would not be part of the request's trace.
#[test]
fn spans_of_one_request_arrive_with_their_names() {
    let collector = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = collector.local_addr().unwrap();
    let received = thread::spawn(move || {
        let (stream, _) = collector.accept().unwrap();
        read_request(stream)
    });
    let url = format!("http://{address}/v1/traces");
    let tracer = Tracer::to_otlp(&url, "i1", "stgo-a").unwrap();
    let caller = tracer.span(Hop::Caller, "");
    let parent = caller.trace_parent();
    let entry = tracer.span(Hop::Entry, &parent);
    assert_eq!(parent.split('-').nth(1), entry.trace_parent().split('-').nth(1));
    drop(entry);
    drop(caller);
    tracer.shutdown();
    let request = received.join().unwrap();
    assert!(request.starts_with("POST /v1/traces HTTP/1.1"), "{request}");
    for text in ["caller", "entry", "hibiscusladder", "stgo-a"] {
        assert!(request.contains(text), "`{text}` is not in the request");
    }
}

/// An invalid trace context from a client must start a new trace and must not fail the request.
#[test]
fn invalid_trace_context_is_ignored() {
    let tracer = Tracer::disabled();
    for parent in
        ["", "00", "00-zz-yy-01", "00-00000000000000000000000000000000-0000000000000000-01"]
    {
        assert_eq!(&*tracer.span(Hop::Entry, parent).trace_parent(), "");
    }
}

/// Reads a request up to the end of its body, answers it, and returns it as lossy UTF-8.
fn read_request(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let count = stream.read(&mut buf).unwrap_or(0);
        bytes.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if count == 0 || is_complete(&text, bytes.len()) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            return text;
        }
    }
}

fn is_complete(text: &str, received: usize) -> bool {
    let Some((head, _)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length").then(|| value.parse::<usize>().ok())?
    });
    length.is_some_and(|length| received >= head.len() + 4 + length)
}
