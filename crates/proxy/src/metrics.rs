//! Metrics in the statsd format over UDP.
//!
//! Metric names are fixed, and tags and values never contain keys or statements.

use std::{fmt, io, net::SocketAddr, net::UdpSocket, time::Duration};

use cadence::{
    BufferedUdpMetricSink, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient,
    Timed,
};

/// Largest number of metrics that are queued for the sending thread; further ones are dropped, so that requests never
/// wait for metrics.
const QUEUE_LENGTH: usize = 4096;

/// Prefix of every metric name.
const PREFIX: &str = "hibiscusladder";

/// Sends counters, timers and gauges to a statsd daemon; does nothing when disabled.
pub struct Metrics {
    client: StatsdClient,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates metrics that are discarded.
    pub fn disabled() -> Self {
        Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) }
    }

    /// Creates metrics that are sent to the statsd daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when no UDP socket can be opened.
    pub fn to_statsd(address: SocketAddr) -> io::Result<Self> {
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(udp, QUEUE_LENGTH);
        Ok(Self { client: StatsdClient::from_sink(PREFIX, sink) })
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Adds one to the counter `name` with the tag `key` = `value`.
    pub fn count_tagged(&self, name: &str, key: &str, value: &str) {
        self.client.incr_with_tags(name).with_tag(key, value).send();
    }

    /// Records `duration` under the timer `name`, in whole milliseconds.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Sets the gauge `name` to `value`.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
