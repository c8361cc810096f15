//! Metrics in the Prometheus text format.

use std::sync::{Arc, Mutex};

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::driver::Driver;
use crate::node::Node;
use crate::refusal::ServiceRoom;
use crate::time::Ms;

/// Histogram buckets of response times, in seconds. They cover the response-time
/// goals of 120 to 500 ms and the deadlines of 1.5 to 10 s.
const RESPONSE_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.5, 1.0, 2.5, 10.0];

/// Values of the counters and gauges, with their `kind` labels.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sample {
    pub(crate) counters: Vec<(&'static str, u64)>,
    pub(crate) gauges: Vec<(&'static str, u64)>,
    /// Flows refused for lack of room, by priority.
    pub(crate) refused: Vec<(u32, u64)>,
    /// Room of the services.
    pub(crate) rooms: Vec<ServiceRoom>,
}

/// Metric instruments of an entry VM.
pub(crate) struct Metrics {
    registry: Registry,
    sample: Arc<Mutex<Sample>>,
    response_times: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the instruments and their registry.
    ///
    /// # Errors
    ///
    /// The exporter's error if it cannot be set up.
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
        let shared = sample.clone();
        meter
            .u64_observable_counter("burdocklever_events")
            .with_description("Decisions since the start, by kind")
            .with_callback(move |observer| {
                let sample = shared.lock().unwrap_or_else(|e| e.into_inner());
                for (kind, value) in &sample.counters {
                    observer.observe(*value, &[KeyValue::new("kind", *kind)]);
                }
                for (priority, flows) in &sample.refused {
                    let priority = KeyValue::new("priority", i64::from(*priority));
                    observer.observe(*flows, &[KeyValue::new("kind", "flows_refused"), priority]);
                }
            })
            .build();
        let shared = sample.clone();
        meter
            .u64_observable_gauge("burdocklever_state")
            .with_description("State held now, by kind")
            .with_callback(move |observer| {
                let sample = shared.lock().unwrap_or_else(|e| e.into_inner());
                for (kind, value) in &sample.gauges {
                    observer.observe(*value, &[KeyValue::new("kind", *kind)]);
                }
                for room in &sample.rooms {
                    let Some(occupancy) = room.occupancy else {
                        continue;
                    };
                    let service = KeyValue::new("service", room.service.to_string());
                    let labels = [KeyValue::new("kind", "occupancy_percent"), service];
                    observer.observe(u64::from(occupancy), &labels);
                }
            })
            .build();
        let response_times = meter
            .f64_histogram("burdocklever_answer")
            .with_unit("s")
            .with_description("Time from a request to the first byte of its answer")
            .with_boundaries(RESPONSE_BUCKETS_S.to_vec())
            .build();
        Ok(Metrics {
            registry,
            sample,
            response_times,
            _provider: provider,
        })
    }

    /// Records the time from a request to the first byte of its response.
    pub(crate) fn record_response_time(&self, sample: Ms) {
        self.response_times.record(sample.0 as f64 / 1000.0, &[]);
    }

    /// Encodes all metrics in the text format. `sample` has the values of the counters
    /// and gauges.
    pub(crate) fn encode(&self, sample: Sample) -> String {
        *self.sample.lock().unwrap_or_else(|e| e.into_inner()) = sample;
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::warn!(target: "metrics", "Cannot encode metrics: {error}.");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Reads the metrics of a node.
pub(crate) fn sample(driver: &Driver) -> Sample {
    let control_bytes = driver.control_bytes();
    driver.read(|node| sample_node(node, control_bytes))
}

fn sample_node(node: &Node, control_bytes: u64) -> Sample {
    let counts = node.counts();
    Sample {
        counters: vec![
            ("packets_delivered", counts.delivered),
            ("packets_dropped", counts.dropped),
            ("packets_of_unknown_flows", counts.unknown_flow),
            ("flows_opened", counts.opened),
            ("requests_answered", counts.answered),
            ("requests_refused", counts.refused),
            ("requests_unknown", counts.unknown),
            ("control_bytes_sent", control_bytes),
        ],
        gauges: vec![
            ("pins", node.pins() as u64),
            ("claims", node.claims() as u64),
            ("view", node.view().number.0),
            ("catalogue_version", node.catalogue().revision().0),
            ("ready", u64::from(node.is_ready())),
            ("lease", u64::from(node.holds_lease())),
        ],
        ..Sample::default()
    }
}
