//! StatsD metrics over UDP.

use anyhow::Result;
use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use std::{net::SocketAddr, time::Duration};

/// Prefix of every metric's name.
const PREFIX: &str = "bambooroad.gateway";

/// Sender of metrics.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a sender to `receiver`; without one, metrics are discarded.
    ///
    /// # Errors
    /// A socket that cannot be created.
    pub fn new(receiver: Option<SocketAddr>) -> Result<Self> {
        let client = match receiver {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = std::net::UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self { client })
    }

    /// Increments a counter, tagged with `kind`.
    pub fn count(&self, name: &str, kind: &str) {
        let _ = self.client.count_with_tags(name, 1).with_tag("kind", kind).try_send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
