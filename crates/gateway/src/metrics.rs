//! Metrics over UDP.

use anyhow::Result;
use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use std::{net::SocketAddr, time::Duration};

/// Prefix of every metric.
const PREFIX: &str = "bambooroad.gateway";

/// Sender of metrics.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sender to `receiver`, or to nobody.
    ///
    /// # Errors
    /// The socket cannot be made.
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

    /// Counts one occurrence.
    pub fn count(&self, name: &str, tag: &str) {
        let _ = self.client.count_with_tags(name, 1).with_tag("kind", tag).try_send();
    }

    /// Reports a level.
    pub fn level(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Reports a duration.
    pub fn time(&self, name: &str, span: Duration) {
        let _ = self.client.time(name, span);
    }
}
