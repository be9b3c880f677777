//! Bytes and data segments of the TCP connections of processes, from the counters of their sockets.
//!
//! The counters are read with `ss` of iproute2. Connections that open and close between two looks are not counted;
//! those of the health check are of that kind.

use std::{collections::HashMap, error::Error, process::Command};

/// One end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Socket {
    /// Process that holds it.
    pub(crate) process: u32,
    /// Own port.
    pub(crate) local: u16,
    /// Port of the other end.
    pub(crate) peer: u16,
}

/// What passed through an end of a connection.
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

    /// Both flows together.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            received: self.received + other.received,
            messages: self.messages + other.messages,
        }
    }

    /// This flow after `before` was taken off, for each of `seconds`.
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
    pub(crate) fn now() -> Result<Self, Box<dyn Error>> {
        let output = Command::new("ss").arg("-tinpHO").output()?;
        let text = String::from_utf8(output.stdout)?;
        Ok(Self(text.lines().filter_map(read).collect()))
    }

    /// Flows for each second since `before`.
    pub(crate) fn since(&self, before: &Self, seconds: f64) -> Vec<(Socket, Flow)> {
        let rate = |(socket, flow): (&Socket, &Flow)| {
            let old = before.0.get(socket).copied().unwrap_or_default();
            (*socket, flow.rate(old, seconds))
        };
        self.0.iter().map(rate).collect()
    }
}

fn read(text: &str) -> Option<(Socket, Flow)> {
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
