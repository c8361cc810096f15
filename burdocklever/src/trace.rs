//! Tracing: a span for each hop of a request, appended to a file as JSON lines.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::SystemTime;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracerProvider, SpanData, SpanExporter};
use serde::Serialize;

/// Instrumentation scope of the spans.
const SCOPE: &str = "burdocklever";
/// Header that carries a trace context (W3C Trace Context, section 3.2).
const TRACEPARENT: &str = "traceparent";

/// A span as written to the file.
#[derive(Serialize)]
struct SpanLine {
    trace: String,
    span: String,
    parent: String,
    name: String,
    start_us: u128,
    micros: u128,
    fields: HashMap<String, String>,
}

/// Exporter that appends finished spans to a file.
#[derive(Debug)]
struct FileExporter {
    file: Mutex<File>,
    vm: Box<str>,
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut text = String::new();
        for span in &batch {
            let line = span_line(span, &self.vm);
            if let Ok(json) = serde_json::to_string(&line) {
                text.push_str(&json);
                text.push('\n');
            }
        }
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        file.write_all(text.as_bytes())
            .map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}

fn span_line(span: &SpanData, vm: &str) -> SpanLine {
    let mut fields: HashMap<String, String> = span
        .attributes
        .iter()
        .map(|kv| (kv.key.to_string(), kv.value.to_string()))
        .collect();
    fields.insert("vm".into(), vm.into());
    let micros = |t: SystemTime| {
        let since = t.duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |d| d.as_micros())
    };
    SpanLine {
        trace: span.span_context.trace_id().to_string(),
        span: span.span_context.span_id().to_string(),
        parent: span.parent_span_id.to_string(),
        name: span.name.to_string(),
        start_us: micros(span.start_time),
        micros: micros(span.end_time).saturating_sub(micros(span.start_time)),
        fields,
    }
}

/// Installs a global tracer that appends spans to the file at `path`. Spans are
/// written in batches; shutting the returned provider down writes the rest.
///
/// # Errors
///
/// The I/O error if the file cannot be opened.
pub fn open(path: &str, vm: &str) -> std::io::Result<SdkTracerProvider> {
    let file = File::options().create(true).append(true).open(path)?;
    let exporter = FileExporter {
        file: Mutex::new(file),
        vm: vm.into(),
    };
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .build();
    opentelemetry::global::set_tracer_provider(provider.clone());
    Ok(provider)
}

/// A span that ends when dropped.
pub(crate) struct Span {
    context: Context,
}

impl Span {
    /// Starts a span. Its parent is the one in `parent`, the value of a `traceparent`
    /// header, if that can be parsed.
    pub(crate) fn start(name: &'static str, parent: Option<&str>) -> Span {
        let tracer = opentelemetry::global::tracer_provider().tracer(SCOPE);
        let mut carrier = HashMap::new();
        if let Some(parent) = parent {
            carrier.insert(TRACEPARENT.to_string(), parent.to_string());
        }
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let span = tracer.start_with_context(name, &parent);
        let context = parent.with_span(span);
        Span { context }
    }

    /// Sets an attribute, written as a field of the span.
    pub(crate) fn set_attribute(&self, key: &'static str, value: &str) {
        let attribute = KeyValue::new(key, value.to_string());
        self.context.span().set_attribute(attribute);
    }

    /// Value of the `traceparent` header of requests made within this span.
    pub(crate) fn traceparent(&self) -> String {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT).unwrap_or_default()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
