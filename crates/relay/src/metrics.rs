//! Counters, gauges and latency histograms, served as text.
//!
//! `cadence` formats each metric. Its sink aggregates values in memory instead
//! of sending them, so the text can be read at any interval.

use cadence::{Counted, Gauged, MetricSink, StatsdClient, Timed};
use hdrhistogram::Histogram;
use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Prefix of all metrics.
const PREFIX: &str = "bambooroad.relay";
/// Longest duration in a histogram, in ms; longer ones are recorded as this.
const MAX_MS: u64 = 60_000;
/// Number of significant digits of a histogram.
const DIGITS: u8 = 1;
/// Quantiles in the output.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

#[derive(Debug, Default)]
struct Sums {
    counters: BTreeMap<Box<str>, u64>,
    gauges: BTreeMap<Box<str>, u64>,
    times: BTreeMap<Box<str>, Histogram<u32>>,
}

#[derive(Debug, Clone, Default)]
struct Sink {
    sums: Arc<Mutex<Sums>>,
}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sample) = Sample::parse(metric) {
            sums.add(&sample);
        }
        Ok(metric.len())
    }
}

struct Sample<'a> {
    name: Box<str>,
    value: u64,
    kind: &'a str,
}

impl<'a> Sample<'a> {
    /// Parses `name:value|kind|#tag:value`.
    fn parse(metric: &'a str) -> Option<Self> {
        let (name, rest) = metric.split_once(':')?;
        let mut fields = rest.split('|');
        let value = fields.next()?.parse().ok()?;
        let kind = fields.next()?;
        let name = match fields.next().and_then(|tags| tags.strip_prefix("#kind:")) {
            Some(tag) => format!("{name}{{kind=\"{tag}\"}}").into(),
            None => name.into(),
        };
        Some(Self { name, value, kind })
    }
}

impl Sums {
    fn add(&mut self, sample: &Sample<'_>) {
        let name = sample.name.clone();
        match sample.kind {
            "c" => *self.counters.entry(name).or_default() += sample.value,
            "g" => {
                self.gauges.insert(name, sample.value);
            }
            _ => {
                let times = self.times.entry(name).or_insert_with(|| {
                    Histogram::new_with_max(MAX_MS, DIGITS).expect("the bounds are valid")
                });
                times.saturating_record(sample.value);
            }
        }
    }
}

/// Metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    sink: Sink,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics without values.
    #[must_use]
    pub fn new() -> Self {
        let sink = Sink::default();
        Self { client: StatsdClient::from_sink(PREFIX, sink.clone()), sink }
    }

    /// Counts one occurrence.
    pub fn count(&self, name: &str, tag: &str) {
        self.client.count_with_tags(name, 1).with_tag("kind", tag).send();
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, name: &str, value: u64) {
        // This client's sink never fails.
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn record_time(&self, name: &str, duration: Duration) {
        // This client's sink never fails.
        let _ = self.client.time(name, duration);
    }

    /// Text with all metrics.
    #[must_use]
    pub fn render(&self) -> String {
        let sums = self.sink.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, value) in sums.counters.iter().chain(&sums.gauges) {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, times) in &sums.times {
            let _ = writeln!(text, "{name}_count {}", times.len());
            for quantile in QUANTILES {
                let value = times.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
        }
        text
    }
}
