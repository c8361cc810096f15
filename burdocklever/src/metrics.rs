//! Metrics in the Prometheus text form.

use std::sync::{Arc, Mutex};

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::driver::Driver;
use crate::node::Node;
use crate::time::Ms;

/// Bounds of the answer times' buckets in seconds: around the goals of 120 to
/// 500 ms and the deadlines of 1.5 to 10 s.
const ANSWER_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.5, 1.0, 2.5, 10.0];

/// Values that the instruments report.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sample {
    pub(crate) counters: Vec<(&'static str, u64)>,
    pub(crate) gauges: Vec<(&'static str, u64)>,
}

/// Instruments of one entry VM.
pub(crate) struct Metrics {
    registry: Registry,
    sample: Arc<Mutex<Sample>>,
    answers: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// The exporter's error.
    pub(crate) fn open() -> std::result::Result<Metrics, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("burdocklever");
        let sample = Arc::new(Mutex::new(Sample::default()));
        let read = sample.clone();
        meter
            .u64_observable_counter("burdocklever_events")
            .with_description("Decisions since the start, by kind")
            .with_callback(move |observer| {
                let sample = read.lock().unwrap_or_else(|e| e.into_inner());
                for (kind, value) in &sample.counters {
                    observer.observe(*value, &[KeyValue::new("kind", *kind)]);
                }
            })
            .build();
        let read = sample.clone();
        meter
            .u64_observable_gauge("burdocklever_state")
            .with_description("State held now, by kind")
            .with_callback(move |observer| {
                let sample = read.lock().unwrap_or_else(|e| e.into_inner());
                for (kind, value) in &sample.gauges {
                    observer.observe(*value, &[KeyValue::new("kind", *kind)]);
                }
            })
            .build();
        let answers = meter
            .f64_histogram("burdocklever_answer")
            .with_unit("s")
            .with_description("Time from a request to the first byte of its answer")
            .with_boundaries(ANSWER_BOUNDS.to_vec())
            .build();
        Ok(Metrics {
            registry,
            sample,
            answers,
            _provider: provider,
        })
    }

    /// Takes in how long an answer took.
    pub(crate) fn record_answer_time(&self, took: Ms) {
        self.answers.record(took.0 as f64 / 1000.0, &[]);
    }

    /// The current values as text.
    pub(crate) fn encode(&self, sample: Sample) -> String {
        *self.sample.lock().unwrap_or_else(|e| e.into_inner()) = sample;
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::warn!(target: "metrics", "Metrics not encoded: {error}.");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Values of a node.
pub(crate) fn sample(driver: &Driver) -> Sample {
    let control = driver.control_bytes();
    driver.read(|node| node_sample(node, control))
}

fn node_sample(node: &Node, control: u64) -> Sample {
    let c = node.counts();
    Sample {
        counters: vec![
            ("packets_delivered", c.delivered),
            ("packets_dropped", c.dropped),
            ("packets_of_unknown_flows", c.unknown_flow),
            ("flows_opened", c.opened),
            ("requests_answered", c.answered),
            ("requests_refused", c.refused),
            ("requests_unknown", c.unknown),
            ("control_bytes_sent", control),
        ],
        gauges: vec![
            ("pins", node.pins() as u64),
            ("claims", node.claims() as u64),
            ("view", node.view().number.0),
            ("catalogue_version", node.catalogue().through().0),
            ("ready", u64::from(node.is_ready())),
            ("lease", u64::from(node.holds_lease())),
        ],
    }
}
