//! Bytes and data segments of the TCP connections of processes, from the counters of their sockets.
//!
//! The counters are read with `ss` of iproute2. Connections that open and close between two readings are not
//! counted, such as those of the health check.

use std::{collections::HashMap, error::Error, process::Command};

/// One end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Socket {
    /// Id of the process that owns the socket.
    pub(crate) process: u32,
    /// Local port.
    pub(crate) local: u16,
    /// Port of the other end of the connection.
    pub(crate) peer: u16,
}

/// Traffic at one end of a connection: totals since it was opened, or rates per second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Flow {
    /// Bytes sent.
    pub(crate) sent: f64,
    /// Bytes received.
    pub(crate) received: f64,
    /// Segments with data, sent and received.
    pub(crate) messages: f64,
}

impl Flow {
    /// Bytes in both directions.
    pub(crate) fn bytes(self) -> f64 {
        self.sent + self.received
    }

    /// Sum of both flows.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            received: self.received + other.received,
            messages: self.messages + other.messages,
        }
    }

    /// Rates per second from the totals `before` to these totals, `seconds` later.
    fn rate(self, before: Self, seconds: f64) -> Self {
        Self {
            sent: (self.sent - before.sent) / seconds,
            received: (self.received - before.received) / seconds,
            messages: (self.messages - before.messages) / seconds,
        }
    }
}

/// All open connections at one time.
#[derive(Debug)]
pub(crate) struct Traffic(HashMap<Socket, Flow>);

impl Traffic {
    /// Reads the counters of all TCP connections that this user may see.
    pub(crate) fn capture() -> Result<Self, Box<dyn Error>> {
        let output = Command::new("ss").arg("-tinpHO").output()?;
        let text = String::from_utf8(output.stdout)?;
        Ok(Self(text.lines().filter_map(parse_line).collect()))
    }

    /// Rates per second of the connections that are open now, over the `seconds` since `before`.
    pub(crate) fn rates_since(&self, before: &Self, seconds: f64) -> Vec<(Socket, Flow)> {
        let rate = |(socket, flow): (&Socket, &Flow)| {
            let old = before.0.get(socket).copied().unwrap_or_default();
            (*socket, flow.rate(old, seconds))
        };
        self.0.iter().map(rate).collect()
    }
}

/// Parses the line of one connection in the output of `ss`.
fn parse_line(text: &str) -> Option<(Socket, Flow)> {
    let mut fields = text.split_whitespace().skip(3);
    let port = |address: &str| address.rsplit(':').next()?.parse().ok();
    let local = port(fields.next()?)?;
    let peer = port(fields.next()?)?;
    let process = text.split("pid=").nth(1)?.split(',').next()?.parse().ok()?;
    let value = |name: &str| -> f64 {
        let found = text.split_whitespace().find_map(|field| field.strip_prefix(name));
        found.and_then(|number| number.parse().ok()).unwrap_or(0.0)
    };
    let flow = Flow {
        sent: value("bytes_sent:"),
        received: value("bytes_received:"),
        messages: value("data_segs_out:") + value("data_segs_in:"),
    };
    Some((Socket { process, local, peer }, flow))
}
